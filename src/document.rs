//! The operator's document: workspaces, keys, backend servers and routes of one environment.

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

/// The whole document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The workspaces and their keys.
    pub workspaces: Vec<Workspace>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// Which engines serve which models.
    pub language_routes: Vec<LanguageRoute>,
    /// Which plain servers serve which paths.
    pub plain_routes: Vec<PlainRoute>,
}

/// A customer with a rate of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name of the workspace.
    pub id: ids::WorkspaceId,
    /// Tokens that become available each second over the whole fleet.
    pub rate_tokens_per_s: u64,
    /// The most tokens that may be saved up.
    pub burst_tokens: u64,
    /// The share of a contended server relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The keys that act for the workspace.
    #[serde(default)]
    pub keys: Vec<Key>,
}

/// A key, kept as a digest only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// A name for the key that may be shown.
    pub id: Bytes,
    /// The SHA-256 digest of the key in hexadecimal digits.
    pub sha256: Bytes,
}

impl Key {
    /// Parses the stored digest; `None` if it is not 64 hexadecimal digits.
    pub fn digest(&self) -> Option<ids::Digest> {
        hex::parse_digest(std::str::from_utf8(&self.sha256).ok()?)
    }
}

/// A set of instances and servers with a log and a document of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Environment {
    /// Where a document is tried.
    Trial,
    /// Where customers are served.
    Production,
}

impl Environment {
    /// Returns the name under which a server's addresses list the environment.
    pub fn as_str(self) -> &'static str {
        match self {
            Environment::Trial => "trial",
            Environment::Production => "production",
        }
    }

    /// Parses the name of an environment.
    pub fn parse(name: &str) -> Option<Environment> {
        match name {
            "trial" => Some(Environment::Trial),
            "production" => Some(Environment::Production),
            _ => None,
        }
    }
}

/// A SHA-256 digest that is written as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HexDigest(pub ids::Digest);

impl TryFrom<String> for HexDigest {
    type Error = hex::NotADigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        hex::parse_digest(&text).map(HexDigest).ok_or(hex::NotADigest)
    }
}

impl From<HexDigest> for String {
    fn from(digest: HexDigest) -> String {
        hex::format(&digest.0)
    }
}

/// What a backend server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A language engine.
    Engine,
    /// A plain service.
    Plain,
}

/// What a language engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It fills KV caches.
    Prefill,
    /// It generates tokens.
    Decode,
    /// It does both.
    Both,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name of the server.
    pub id: ids::ServerId,
    /// What it is.
    pub kind: Kind,
    /// What it does, if it is an engine.
    #[serde(default = "default_role")]
    pub role: Role,
    /// Where it stands.
    pub failure_domain: ids::FailureDomain,
    /// The models it can run, if it is an engine.
    #[serde(default)]
    pub models: Vec<ids::ModelId>,
    /// Requests that it can run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Pieces of engine memory, each of about two thousand tokens.
    #[serde(default = "default_memory_pieces")]
    pub memory_pieces: u32,
    /// The rate of its link for KV cache transfers.
    #[serde(default = "default_link_bytes_per_s")]
    pub link_bytes_per_s: u64,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Its address in each environment.
    pub addresses: collections::Map<String, net::SocketAddr>,
}

/// Which engines serve a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LanguageRoute {
    /// The name of the route.
    pub id: ids::RouteId,
    /// The model that callers name.
    pub model: ids::ModelId,
    /// The engines that serve it.
    pub servers: Vec<ids::ServerId>,
    /// The workspaces that may use it; all if empty.
    #[serde(default)]
    pub workspaces: Vec<ids::WorkspaceId>,
}

/// Which plain servers serve a part of the path space.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainRoute {
    /// The name of the route.
    pub id: ids::RouteId,
    /// The start of the path, matched by whole segments; the longest match wins.
    pub path_prefix: Bytes,
    /// The methods; all if empty.
    #[serde(default)]
    pub methods: Vec<Bytes>,
    /// Whether a call may be repeated; by its method if not set.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// The servers that serve it.
    pub servers: Vec<ids::ServerId>,
    /// The workspaces that may use it; all if empty.
    #[serde(default)]
    pub workspaces: Vec<ids::WorkspaceId>,
    /// Whether it needs no key.
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
