//! The configuration in force: routes, services, workspaces and their limits.

use std::sync;
use std::time;

use bytes::Bytes;

use crate::core::collections;
use crate::core::ids;

/// The name of a service.
pub type ServiceId = sync::Arc<str>;

/// Whether a request may run again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// A route from a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The name of the route in log lines.
    pub name: String,
    /// The host of its requests, in lower case.
    pub host: String,
    /// The prefix of the paths of its requests; ends with a slash.
    pub path_prefix: String,
    /// Whether its answers are streams of events.
    pub is_stream: bool,
    /// Whether its requests may be repeated. Resumable streams may.
    pub repeat: Repeat,
    /// The maximum time that a request waits for its whole answer.
    pub timeout: time::Duration,
    /// The objective for the time to the whole answer or to the first event of a stream.
    pub objective: time::Duration,
    /// The time that a caller waits for the first event of a stream, or for the next one.
    pub first_event_timeout: time::Duration,
    /// The priority of its requests, 0 first.
    pub priority: u8,
    /// The services that its requests are distributed to, with weights.
    pub services: Vec<(ServiceId, u32)>,
    /// The maximum number of servers that a run of one request is sent to.
    pub attempts: u32,
    /// Whether its requests need no key.
    pub is_open: bool,
}

impl Route {
    /// Returns whether its answers are streams that may be resumed.
    pub fn is_resumable(&self) -> bool {
        self.is_stream && self.repeat == Repeat::Idempotent
    }

    /// Returns the time by which the caller of a request awaits the beginning of the answer.
    pub fn begin_by(&self, arrived: ids::Timestamp, expires: ids::Timestamp) -> ids::Timestamp {
        if self.is_stream { expires.min(arrived + self.first_event_timeout) } else { expires }
    }
}

/// The capacity of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineShape {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit into an engine's KV cache.
    pub memory_tokens: u32,
}

/// The bound on requests to the cold servers of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ColdBound {
    /// The time for which a server stays cold after a start.
    pub start: time::Duration,
    /// The requests a second that a cold server takes from the whole fleet; 0 for no bound.
    pub per_s: f64,
}

/// A service and its kind.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// The capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineShape>,
    /// The bound on requests to its cold servers; `None` if the peer that sent the configuration does
    /// not know it.
    #[serde(skip)]
    pub cold_bound: Option<ColdBound>,
}

/// A workspace with its keys and its limit.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: sync::Arc<str>,
    /// The SHA-256 digests of its keys.
    pub keys: Vec<ids::Digest>,
    /// The priority of its requests; overrides that of the route.
    pub priority: Option<u8>,
    /// The limit of its spending over the whole fleet, if there is one.
    pub limit: Option<Limit>,
}

/// A rate limit with a burst.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// The rate in tokens or requests per second.
    pub rate_per_s: f64,
    /// The amount that may be spent in addition to the rate.
    pub burst: f64,
    /// Whether the limit counts tokens; otherwise it counts requests.
    pub counts_tokens: bool,
    /// The tokens charged for a request without token counts.
    pub plain_tokens: f64,
}

/// The limits of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum idle time of a connection.
    pub idle: time::Duration,
}

/// The content of one version of the configuration.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Content {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<sync::Arc<Route>>,
    /// The services.
    pub services: Vec<Service>,
    /// The workspaces; `None` if callers need no key.
    pub workspaces: Option<Vec<sync::Arc<Workspace>>>,
    /// The limits of what callers may send.
    pub caller_limits: CallerLimits,
}

/// A version of the configuration with indexes for lookups.
#[derive(Debug)]
pub struct Catalog {
    /// The content of the version.
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

    /// Returns whether callers need keys.
    pub fn has_keys(&self) -> bool {
        self.content.workspaces.is_some()
    }

    /// Returns whether a peer of an older build has sent the configuration, without the bounds on
    /// requests to cold servers.
    pub fn lacks_cold_bounds(&self) -> bool {
        self.content.services.iter().any(|service| service.cold_bound.is_none())
    }

    /// Returns the capacity of a service's engines; `None` for plain services.
    pub fn engine(&self, service: &ServiceId) -> Option<EngineShape> {
        self.engines.get(service).copied()
    }
}

/// Returns the digest by which a key is stored and looked up.
pub fn key_digest(key: &Bytes) -> ids::Digest {
    use sha2::Digest as _;
    sha2::Sha256::digest(key).into()
}
