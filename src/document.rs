//! The configuration document: workspaces, keys, backend servers and routes of one environment.

use std::net;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::ids;

pub mod constants;
pub mod hex;
mod rules;
pub mod shape;
#[cfg(test)]
mod tests;
mod validation;

pub use validation::parse;

/// A configuration document, as an operator writes it in TOML.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The workspaces and their keys.
    pub workspaces: Vec<Workspace>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The routes from models to the engines that serve them.
    pub language_routes: Vec<LanguageRoute>,
    /// The routes from request paths to the plain servers that serve them.
    pub plain_routes: Vec<PlainRoute>,
}

/// A customer with its own rate limit and keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name of the workspace, unique in the document.
    pub id: ids::WorkspaceId,
    /// The rate limit over the whole fleet, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The most unused tokens that may accumulate for a burst.
    pub burst_tokens: u64,
    /// The share of a contended server, relative to the weights of other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The keys that authenticate callers of the workspace.
    #[serde(default)]
    pub keys: Vec<Key>,
}

/// A caller's key, stored only as a digest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// A name for the key that is not secret, unique in the workspace.
    pub id: Bytes,
    /// The SHA-256 digest of the key, as 64 hexadecimal digits.
    pub sha256: Bytes,
}

impl Key {
    /// Parses the stored digest; `None` if it is not 64 hexadecimal digits.
    pub fn digest(&self) -> Option<ids::Digest> {
        hex::parse_digest(std::str::from_utf8(&self.sha256).ok()?)
    }
}

/// A separate deployment of instances and servers, with its own log and document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Environment {
    /// For testing a document before it is used in production.
    Trial,
    /// For serving customers.
    Production,
}

impl Environment {
    /// Returns the environment's name, which is also its key in a server's `addresses`.
    pub fn as_str(self) -> &'static str {
        match self {
            Environment::Trial => "trial",
            Environment::Production => "production",
        }
    }

    /// Parses the name of an environment; `None` if it is unknown.
    pub fn parse(name: &str) -> Option<Environment> {
        match name {
            "trial" => Some(Environment::Trial),
            "production" => Some(Environment::Production),
            _ => None,
        }
    }
}

/// A SHA-256 digest that is serialized as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HexDigest(pub ids::Digest);

impl TryFrom<String> for HexDigest {
    type Error = hex::InvalidDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        hex::parse_digest(&text).map(HexDigest).ok_or(hex::InvalidDigest)
    }
}

impl From<HexDigest> for String {
    fn from(digest: HexDigest) -> String {
        hex::format(&digest.0)
    }
}

/// The kind of service that a backend server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A language engine, which has a role, models and a KV cache.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// The phases of a language request that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills prompts, which fills their KV caches.
    Prefill,
    /// Decodes, which generates the output tokens.
    Decode,
    /// Prefills and decodes.
    Both,
}

/// A backend server to which requests are routed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name of the server, unique in the document.
    pub id: ids::ServerId,
    /// Whether the server is an engine or a plain service.
    pub kind: Kind,
    /// The phases that an engine runs; not used for plain servers.
    #[serde(default = "default_role")]
    pub role: Role,
    /// The failure domain that the server belongs to.
    pub failure_domain: ids::FailureDomain,
    /// The models that an engine can run; empty for plain servers.
    #[serde(default)]
    pub models: Vec<ids::ModelId>,
    /// The number of requests that the server can run at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The capacity of an engine's KV cache, in pieces of about two thousand tokens each.
    #[serde(default = "default_memory_pieces")]
    pub memory_pieces: u32,
    /// The rate of an engine's link for KV cache transfers, in bytes per second.
    #[serde(default = "default_link_bytes_per_s")]
    pub link_bytes_per_s: u64,
    /// Whether an engine refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the server is being removed and takes no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// The server's address in each environment, by the environment's name.
    pub addresses: collections::Map<String, net::SocketAddr>,
}

/// A route from a model to the engines that serve it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LanguageRoute {
    /// The name of the route, unique among the routes of both kinds.
    pub id: ids::RouteId,
    /// The model that callers name in their requests.
    pub model: ids::ModelId,
    /// The engines that serve the route.
    pub servers: Vec<ids::ServerId>,
    /// The workspaces that may use the route; all if empty.
    #[serde(default)]
    pub workspaces: Vec<ids::WorkspaceId>,
}

/// A route from a path prefix to the plain servers that serve it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainRoute {
    /// The name of the route, unique among the routes of both kinds.
    pub id: ids::RouteId,
    /// The prefix of the request path, matched by whole segments; the longest match wins.
    pub path_prefix: Bytes,
    /// The HTTP methods that the route matches; all if empty.
    #[serde(default)]
    pub methods: Vec<Bytes>,
    /// Whether a request may be retried; if not set, its method decides.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// The servers that serve the route.
    pub servers: Vec<ids::ServerId>,
    /// The workspaces that may use the route; all if empty.
    #[serde(default)]
    pub workspaces: Vec<ids::WorkspaceId>,
    /// Whether the route can be used without a key.
    #[serde(default)]
    pub open: bool,
}

fn default_weight() -> u32 {
    1
}

fn default_role() -> Role {
    Role::Both
}

fn default_slots() -> u32 {
    20
}

fn default_memory_pieces() -> u32 {
    64
}

fn default_link_bytes_per_s() -> u64 {
    10_000_000_000
}
