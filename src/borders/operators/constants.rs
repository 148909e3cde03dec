//! Limits and timeouts of the server for operators.

use std::time;

/// Open connections of operators.
pub const MAX_CONNECTIONS: usize = 64;

/// Concurrent requests on one HTTP/2 connection.
pub const MAX_STREAMS: u32 = 16;

/// Maximum size of the request line and headers, in bytes.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// How long a client may take to send the request line and headers.
pub const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long a client may take to send the body.
pub const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Maximum size of a body that is not a document, in bytes.
pub const MAX_SMALL_BODY_BYTES: usize = 4 * 1024;

/// Delay before the next accept after the operating system failed one.
pub const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// How long a shutdown waits for open requests of operators.
pub const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// The interval of HTTP/2 pings, which detect unresponsive connections.
pub const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
