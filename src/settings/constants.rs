//! Default values of settings.

/// The maximum number of open connections of callers.
pub const MAX_CONNECTIONS: usize = 4_096;

/// The maximum number of concurrent requests of callers.
pub const MAX_REQUESTS: usize = 4_096;

/// The maximum size of a request's line and headers, in bytes.
pub const HEADER_BYTES: usize = 16 * 1024;

/// The maximum size of a request's body, in bytes.
pub const BODY_BYTES: usize = 4 * 1024 * 1024;

/// Milliseconds within which a caller must send the request line and headers.
pub const REQUEST_SEND_TIMEOUT_MS: u64 = 5_000;

/// Milliseconds within which a caller must send the body.
pub const BODY_SEND_TIMEOUT_MS: u64 = 20_000;

/// Milliseconds for opening a connection to a backend server.
pub const CONNECT_MS: u64 = 500;

/// Milliseconds for the first byte of a plain service's response.
pub const FIRST_BYTE_MS: u64 = 10_000;

/// Milliseconds for the response to a prefill.
pub const PREFILL_MS: u64 = 20_000;

/// Milliseconds for the next data within a response.
pub const GAP_MS: u64 = 3_000;

/// Milliseconds for the first token after the handover of a KV cache.
pub const TRANSFER_PROGRESS_MS: u64 = 700;

/// Milliseconds for a complete request.
pub const REQUEST_MS: u64 = 600_000;

/// Milliseconds that a pooled connection may stay unused.
pub const IDLE_CONNECTION_MS: u64 = 15_000;

/// Milliseconds that a graceful shutdown waits for the remaining requests.
pub const DRAIN_MS: u64 = 630_000;

/// Milliseconds that an instance stays valid without a renewal.
pub const LEASE_MS: u64 = 3_000;

/// Milliseconds between two renewals of a lease.
pub const HEARTBEAT_MS: u64 = 500;

/// Milliseconds that callers may cache the list of instances.
pub const DISCOVERY_TTL_MS: u64 = 5_000;

/// Returns the weight of an instance whose settings give none.
pub fn default_weight() -> u32 {
    1
}

/// Milliseconds for which the log keeps records.
const LOG_RETENTION_MS: u64 = 24 * 3_600_000;

/// Returns the retention of the log if the settings give none.
pub fn default_log_retention_ms() -> u64 {
    LOG_RETENTION_MS
}
