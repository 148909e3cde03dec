//! The settings of one instance: its identity, addresses, limits and timeouts.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};

use crate::core::ids;
use crate::document;
use crate::schema;

mod constants;
mod rules;
pub mod shape;

/// The contents of a settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of the instance.
    pub instance: Instance,
    /// The addresses on which it listens.
    pub listen: Listen,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The secrets that all instances of a fleet share.
    pub fleet: Fleet,
    /// Bounds on the resources that callers may use.
    #[serde(default)]
    pub limits: Limits,
    /// The timeouts of connections, responses and the shutdown.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// The timing of the membership protocol; the same in the whole fleet.
    #[serde(default)]
    pub membership: Membership,
    /// Discovery of the instances by callers.
    #[serde(default)]
    pub discovery: Discovery,
    /// The policies for placement and limits.
    #[serde(default)]
    pub policy: Policy,
    /// Hedged requests.
    #[serde(default)]
    pub hedging: Hedging,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// The identity of the instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The name of the instance; a new process of the same name supersedes the old one.
    pub id: String,
    /// The failure domain in which the instance runs.
    pub failure_domain: String,
    /// The capacity of the instance relative to others.
    #[serde(default = "constants::default_weight")]
    pub weight: u32,
    /// The environment that the instance belongs to.
    pub environment: document::Environment,
}

/// The addresses on which the instance listens, and those that it advertises.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: net::SocketAddr,
    /// The address for peers.
    pub peers: net::SocketAddr,
    /// The address for operators.
    pub operators: net::SocketAddr,
    /// The address advertised to callers, if it differs from the listening address.
    #[serde(default)]
    pub advertised_callers: Option<net::SocketAddr>,
    /// The address advertised to peers, if it differs from the listening address.
    #[serde(default)]
    pub advertised_peers: Option<net::SocketAddr>,
}

impl Listen {
    /// Returns the address advertised to callers.
    pub fn caller_address(&self) -> net::SocketAddr {
        self.advertised_callers.unwrap_or(self.callers)
    }

    /// Returns the address advertised to peers.
    pub fn peer_address(&self) -> net::SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}

/// The addresses of the platform's services and what is known of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the log service.
    pub log: net::SocketAddr,
    /// The address of the instance list.
    pub instances: net::SocketAddr,
    /// How long the log keeps records, in milliseconds.
    #[serde(default = "constants::default_log_retention_ms")]
    pub log_retention_ms: u64,
}

impl Platform {
    /// Returns how long the log keeps records.
    pub fn log_retention(&self) -> time::Duration {
        time::Duration::from_millis(self.log_retention_ms)
    }
}

/// The secrets that all instances of a fleet share.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The secret with which peers authenticate to each other; at least 16 bytes.
    pub credential: String,
    /// The SHA-256 digest of the operator key in hexadecimal digits.
    pub operator_key_sha256: document::HexDigest,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Fleet").finish_non_exhaustive()
    }
}

impl Fleet {
    /// Returns the SHA-256 digest that the operator key must have.
    pub fn operator_key_digest(&self) -> ids::Digest {
        self.operator_key_sha256.0
    }
}

/// Bounds on the resources that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of open connections of callers.
    pub max_connections: usize,
    /// The maximum number of concurrent requests of callers.
    pub max_requests: usize,
    /// The maximum size of a request's line and headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time within which a caller must send the request line and headers, in milliseconds.
    pub request_send_timeout_ms: u64,
    /// The time within which a caller must send the body, in milliseconds.
    pub body_send_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: constants::MAX_CONNECTIONS,
            max_requests: constants::MAX_REQUESTS,
            header_bytes: constants::HEADER_BYTES,
            body_bytes: constants::BODY_BYTES,
            request_send_timeout_ms: constants::REQUEST_SEND_TIMEOUT_MS,
            body_send_timeout_ms: constants::BODY_SEND_TIMEOUT_MS,
        }
    }
}

/// The timeouts of connections, responses and the shutdown, in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// For opening a connection to a backend server.
    pub connect_ms: u64,
    /// For the first byte of a plain service's response.
    pub first_byte_ms: u64,
    /// For the response to a prefill.
    pub prefill_ms: u64,
    /// For the next data within a response.
    pub gap_ms: u64,
    /// For the first token after the handover of a KV cache.
    pub transfer_progress_ms: u64,
    /// For a complete request, from its arrival to its last byte.
    pub request_ms: u64,
    /// How long a pooled connection may stay unused.
    pub idle_connection_ms: u64,
    /// How long a graceful shutdown waits for the remaining requests.
    pub drain_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect_ms: constants::CONNECT_MS,
            first_byte_ms: constants::FIRST_BYTE_MS,
            prefill_ms: constants::PREFILL_MS,
            gap_ms: constants::GAP_MS,
            transfer_progress_ms: constants::TRANSFER_PROGRESS_MS,
            request_ms: constants::REQUEST_MS,
            idle_connection_ms: constants::IDLE_CONNECTION_MS,
            drain_ms: constants::DRAIN_MS,
        }
    }
}

impl Timeouts {
    /// Returns the timeout for opening a connection.
    pub fn connect(&self) -> time::Duration {
        time::Duration::from_millis(self.connect_ms)
    }

    /// Returns the timeout for the first byte of a plain service's response.
    pub fn first_byte(&self) -> time::Duration {
        time::Duration::from_millis(self.first_byte_ms)
    }

    /// Returns the timeout for the response to a prefill.
    pub fn prefill(&self) -> time::Duration {
        time::Duration::from_millis(self.prefill_ms)
    }

    /// Returns the timeout for the next data within a response.
    pub fn gap(&self) -> time::Duration {
        time::Duration::from_millis(self.gap_ms)
    }

    /// Returns the timeout for the first token after the handover of a KV cache.
    pub fn transfer_progress(&self) -> time::Duration {
        time::Duration::from_millis(self.transfer_progress_ms)
    }

    /// Returns the timeout for a complete request.
    pub fn request(&self) -> time::Duration {
        time::Duration::from_millis(self.request_ms)
    }

    /// Returns how long a pooled connection may stay unused.
    pub fn idle_connection(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_connection_ms)
    }

    /// Returns how long a graceful shutdown waits for the remaining requests.
    pub fn drain(&self) -> time::Duration {
        time::Duration::from_millis(self.drain_ms)
    }
}

/// The timing of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// The duration of a lease: how long an instance stays valid without a renewal, in
    /// milliseconds.
    pub lease_ms: u64,
    /// The interval at which an instance renews its lease, in milliseconds.
    pub heartbeat_ms: u64,
}

impl Default for Membership {
    fn default() -> Self {
        Self { lease_ms: constants::LEASE_MS, heartbeat_ms: constants::HEARTBEAT_MS }
    }
}

/// Discovery of the instances by callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long callers may cache the list of instances, in milliseconds.
    pub ttl_ms: u64,
}

impl Default for Discovery {
    fn default() -> Self {
        Self { ttl_ms: constants::DISCOVERY_TTL_MS }
    }
}

/// The policies for placement and limits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The policy that chooses engines for a request.
    pub placement: Placement,
    /// The policy that enforces the limits of workspaces across instances.
    pub limits: LimitPolicy,
}

/// The policy that chooses engines for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// By cached prefixes, load and speed.
    #[default]
    Affinity,
    /// Round robin; a baseline for measurements.
    RoundRobin,
    /// The engine with the fewest outstanding requests; a baseline for measurements.
    LeastOutstanding,
}

/// The policy that enforces the limits of workspaces across instances.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// By escrowed token rights that the instances grant to each other.
    #[default]
    Escrow,
    /// By an equal share of the limit for each instance; a baseline for measurements.
    RateOverN,
}

/// Hedged requests, which `serve` does not send: its instances route through other modules than
/// those of `node`. A share above 0 is refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hedging {
    /// The share of requests that may be hedged.
    pub share: f64,
}

/// Logging.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level that is written.
    pub level: LogLevel,
}

/// The severity of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the instance handled.
    Warn,
    /// Start and stop of the instance, changes of its configuration, and the end of each request.
    #[default]
    Info,
    /// Decisions on requests, and failed calls that are retried.
    Debug,
    /// All messages.
    Trace,
}

impl LogLevel {
    /// Parses the name of a level; `None` if there is no such level.
    pub fn parse(name: &str) -> Option<LogLevel> {
        match name {
            "error" => Some(LogLevel::Error),
            "warn" => Some(LogLevel::Warn),
            "info" => Some(LogLevel::Info),
            "debug" => Some(LogLevel::Debug),
            "trace" => Some(LogLevel::Trace),
            _ => None,
        }
    }

    /// Returns the filter of the `log` crate for this level.
    pub fn filter(self) -> log::LevelFilter {
        match self {
            LogLevel::Error => log::LevelFilter::Error,
            LogLevel::Warn => log::LevelFilter::Warn,
            LogLevel::Info => log::LevelFilter::Info,
            LogLevel::Debug => log::LevelFilter::Debug,
            LogLevel::Trace => log::LevelFilter::Trace,
        }
    }
}

impl Settings {
    /// Parses and validates a settings file; the error lists all faults found.
    pub fn parse(text: &str) -> Result<Settings, schema::Faults> {
        let settings: Settings = schema::read(text, &shape::SETTINGS)?;
        rules::check(&settings, text)?;
        Ok(settings)
    }
}
