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

/// Everything that an instance learns from its settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// What the instances of one fleet share.
    pub fleet: Fleet,
    /// Bounds on what callers may use.
    #[serde(default)]
    pub limits: Limits,
    /// How long each wait may last.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// The timing of the membership protocol; the same in the whole fleet.
    #[serde(default)]
    pub membership: Membership,
    /// What callers are told about the instances.
    #[serde(default)]
    pub discovery: Discovery,
    /// Which policies decide.
    #[serde(default)]
    pub policy: Policy,
    /// What is logged.
    #[serde(default)]
    pub log: Log,
}

/// Who the instance is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// The name of the instance; a new process of the same name supersedes the old one.
    pub id: String,
    /// Where the instance stands.
    pub failure_domain: String,
    /// The size of the instance relative to others.
    #[serde(default = "constants::default_weight")]
    pub weight: u32,
    /// The environment that the instance belongs to.
    pub environment: document::Environment,
}

/// Where the instance listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: net::SocketAddr,
    /// The address for peers.
    pub peers: net::SocketAddr,
    /// The address for operators.
    pub operators: net::SocketAddr,
    /// The address that callers are told, if it differs from the one listened on.
    #[serde(default)]
    pub advertised_callers: Option<net::SocketAddr>,
    /// The address that peers are told, if it differs from the one listened on.
    #[serde(default)]
    pub advertised_peers: Option<net::SocketAddr>,
}

impl Listen {
    /// Returns the address that callers are told.
    pub fn caller_address(&self) -> net::SocketAddr {
        self.advertised_callers.unwrap_or(self.callers)
    }

    /// Returns the address that peers are told.
    pub fn peer_address(&self) -> net::SocketAddr {
        self.advertised_peers.unwrap_or(self.peers)
    }
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the log service.
    pub log: net::SocketAddr,
    /// The address of the instance list.
    pub instances: net::SocketAddr,
    /// How long the log keeps records.
    #[serde(default = "constants::default_log_retention_ms")]
    pub log_retention_ms: u64,
}

impl Platform {
    /// Returns how long the log keeps records.
    pub fn log_retention(&self) -> time::Duration {
        time::Duration::from_millis(self.log_retention_ms)
    }
}

/// What the instances of one fleet share.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The secret that peers prove to each other; at least 16 bytes.
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
    /// Returns the digest that an operator key must have.
    pub fn operator_key_digest(&self) -> ids::Digest {
        self.operator_key_sha256.0
    }
}

/// Bounds on what callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers that are open at once.
    pub max_connections: usize,
    /// Requests of callers that are under way at once.
    pub max_requests: usize,
    /// Bytes of a request's line and headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds within which a caller sends the request line and headers.
    pub request_send_timeout_ms: u64,
    /// Milliseconds within which a caller sends the body.
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

/// How long each wait may last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timeouts {
    /// Opening a connection to a backend server.
    pub connect_ms: u64,
    /// The first byte of a plain service's answer.
    pub first_byte_ms: u64,
    /// The answer to a prefill.
    pub prefill_ms: u64,
    /// The longest silence within an answer.
    pub gap_ms: u64,
    /// The first token after a KV cache was handed over.
    pub transfer_progress_ms: u64,
    /// A whole request, from its arrival to its last byte.
    pub request_ms: u64,
    /// The longest time that a pooled connection stays unused.
    pub idle_connection_ms: u64,
    /// The longest time that a graceful shutdown waits for requests under way.
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

    /// Returns the timeout for the first byte of a plain service's answer.
    pub fn first_byte(&self) -> time::Duration {
        time::Duration::from_millis(self.first_byte_ms)
    }

    /// Returns the timeout for the answer to a prefill.
    pub fn prefill(&self) -> time::Duration {
        time::Duration::from_millis(self.prefill_ms)
    }

    /// Returns the longest silence within an answer.
    pub fn gap(&self) -> time::Duration {
        time::Duration::from_millis(self.gap_ms)
    }

    /// Returns the timeout for the first token after a hand-over of a KV cache.
    pub fn transfer_progress(&self) -> time::Duration {
        time::Duration::from_millis(self.transfer_progress_ms)
    }

    /// Returns the timeout for a whole request.
    pub fn request(&self) -> time::Duration {
        time::Duration::from_millis(self.request_ms)
    }

    /// Returns how long a pooled connection may stay unused.
    pub fn idle_connection(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_connection_ms)
    }

    /// Returns how long a graceful shutdown waits for requests under way.
    pub fn drain(&self) -> time::Duration {
        time::Duration::from_millis(self.drain_ms)
    }
}

/// The timing of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// How long an instance stays valid without a renewal.
    pub lease_ms: u64,
    /// How often an instance renews its lease.
    pub heartbeat_ms: u64,
}

impl Default for Membership {
    fn default() -> Self {
        Self { lease_ms: constants::LEASE_MS, heartbeat_ms: constants::HEARTBEAT_MS }
    }
}

/// What callers are told about the instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long callers may keep the list of instances.
    pub ttl_ms: u64,
}

impl Default for Discovery {
    fn default() -> Self {
        Self { ttl_ms: constants::DISCOVERY_TTL_MS }
    }
}

/// Which policies decide.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How engines are chosen.
    pub placement: Placement,
    /// How the limits of workspaces are kept.
    pub limits: LimitPolicy,
}

/// How engines are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// By cached prefixes, load and speed.
    #[default]
    Affinity,
    /// One after the other; a baseline for measurements.
    RoundRobin,
    /// The one with the fewest requests under way; a baseline for measurements.
    LeastOutstanding,
}

/// How the limits of workspaces are kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitPolicy {
    /// By rights that the instances lend each other.
    #[default]
    Escrow,
    /// By an equal share for each instance; a baseline for measurements.
    RateOverN,
}

/// What is logged.
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
    /// Failures that were dealt with.
    Warn,
    /// The life of the instance and of its requests.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Parses the name of a level.
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
    /// Parses and checks a settings file; reports all faults at once.
    pub fn parse(text: &str) -> Result<Settings, schema::Faults> {
        let settings: Settings = schema::read(text, &shape::SETTINGS)?;
        rules::check(&settings, text)?;
        Ok(settings)
    }
}
