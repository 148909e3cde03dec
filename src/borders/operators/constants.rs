//! Bounds of the operators' side.

use std::time;

/// Connections of operators that are open at once.
pub const MAX_CONNECTIONS: usize = 64;

/// Requests at once on one HTTP/2 connection.
pub const MAX_STREAMS: u32 = 16;

/// Bytes of a request's line and headers.
pub const HEADER_BYTES: usize = 16 * 1024;

/// How long a client may take to send the request line and headers.
pub const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long a client may take to send the body.
pub const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Bytes of a body that is not a document.
pub const SMALL_BODY_BYTES: usize = 4 * 1024;

/// The pause after the operating system refused to accept a connection.
pub const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// How long a shutdown waits for requests of operators.
pub const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// The interval of HTTP/2 pings, by which silent connections are found.
pub const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);
