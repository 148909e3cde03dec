//! The configuration in force: routes, services, workspaces and their limits.

use std::sync;
use std::time;

use bytes::Bytes;

use crate::core::collections;
use crate::core::ids;

/// The name of a service.
pub type ServiceId = sync::Arc<str>;

/// Whether a request of a route may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    Once,
}

/// A route.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// The beginning of the paths it serves.
    pub path_prefix: String,
    /// Whether its answers are streams of events.
    pub is_stream: bool,
    /// Whether its requests may be repeated; resumable streams may.
    pub repeat: Repeat,
    /// The longest time a request is kept waiting for its whole answer.
    pub timeout: time::Duration,
    /// The time within which the answer, or its first event, is wanted.
    pub objective: time::Duration,
    /// How long a caller waits for the first event of a stream, or for the next one.
    pub first_event_timeout: time::Duration,
    /// The rank, 0 first.
    pub priority: u8,
    /// The services it may go to, with weights.
    pub services: Vec<(ServiceId, u32)>,
    /// The servers to which one request may be sent.
    pub attempts: u32,
    /// Whether it needs no key.
    pub is_open: bool,
}

/// What is known of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineShape {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit the memory.
    pub memory_tokens: u32,
}

/// A service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The engine's shape if language engines serve it.
    pub engine: Option<EngineShape>,
}

/// A workspace and its limit.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// Its name.
    pub name: sync::Arc<str>,
    /// The digests of its keys.
    pub keys: Vec<ids::Digest>,
    /// The rank that goes before the route's.
    pub priority: Option<u8>,
    /// The limit, if there is one.
    pub limit: Option<Limit>,
}

/// A rate with a burst.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// What is refilled a second.
    pub rate_per_s: f64,
    /// What may be spent at once.
    pub burst: f64,
    /// Whether tokens are counted; requests otherwise.
    pub counts_tokens: bool,
    /// Tokens of a request that names none.
    pub plain_tokens: f64,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// The longest head, in bytes.
    pub header_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    pub idle: time::Duration,
}

/// Everything of one version.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Content {
    /// The version; higher ones replace lower ones.
    pub version: u64,
    /// The routes.
    pub routes: Vec<sync::Arc<Route>>,
    /// The services.
    pub services: Vec<Service>,
    /// The workspaces; `None` if callers need no key.
    pub workspaces: Option<Vec<sync::Arc<Workspace>>>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
}

/// A version with its indexes.
#[derive(Debug)]
pub struct Catalog {
    /// The content.
    pub content: Content,
    by_host: collections::Map<String, collections::Map<String, sync::Arc<Route>>>,
    by_key: collections::Map<ids::Digest, sync::Arc<Workspace>>,
    engines: collections::Map<ServiceId, EngineShape>,
}

impl Catalog {
    /// Builds the indexes of a version.
    pub fn new(content: Content) -> Self {
        let mut by_host: collections::Map<String, collections::Map<_, _>> =
            collections::Map::default();
        for route in &content.routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), sync::Arc::clone(route));
        }
        let mut by_key = collections::Map::default();
        for workspace in content.workspaces.iter().flatten() {
            for key in &workspace.keys {
                by_key.insert(*key, sync::Arc::clone(workspace));
            }
        }
        let engines = content
            .services
            .iter()
            .filter_map(|service| Some((sync::Arc::clone(&service.name), service.engine?)))
            .collect();
        Self { content, by_host, by_key, engines }
    }

    /// Returns the route with the longest prefix of `path` on `host`.
    ///
    /// Prefixes end with a slash, so only the path's own directories are looked up.
    pub fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let prefixes = self.by_host.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// Returns the workspace that holds the key with this digest.
    pub fn workspace(&self, key: &ids::Digest) -> Option<&sync::Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Returns whether callers show keys.
    pub fn has_keys(&self) -> bool {
        self.content.workspaces.is_some()
    }

    /// Returns the shape of a service's engines; `None` for plain services.
    pub fn engine(&self, service: &ServiceId) -> Option<EngineShape> {
        self.engines.get(service).copied()
    }
}

/// Returns the digest under which a key is kept.
pub fn key_digest(key: &Bytes) -> ids::Digest {
    use sha2::Digest as _;
    sha2::Sha256::digest(key).into()
}
