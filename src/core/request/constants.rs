//! Bounds of the request reducer.

use std::time;

/// Requests that one instance holds at once.
pub const MAX_LIVE_REQUESTS: usize = 20_000;

/// The longest that a request may take from arrival to its end.
pub const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(180);

/// The time within which the first token is due.
pub const FIRST_TOKEN_TARGET: time::Duration = time::Duration::from_millis(1_300);

/// Attempts at backend servers for one request.
pub const MAX_ATTEMPTS: u16 = 6;

/// Attempts at resuming one stream on the server that holds it.
pub const MAX_RESUMES: u16 = 2;

/// The age up to which an exported KV cache is offered to a second decode server, in milliseconds.
pub const KV_REUSE_MS: u64 = 500;

/// Tokens in one piece of engine memory.
pub const PIECE_TOKENS: u32 = 2_000;

/// Tokens expected per thousand bytes of prompt until an engine has counted some.
pub const INITIAL_TOKENS_PER_1000_BYTES: u64 = 250;

/// When a caller should come back to busy servers, in milliseconds.
pub const RETRY_AFTER_BUSY_MS: u64 = 1_000;

/// When a caller should come back to an instance that cannot accept requests, in milliseconds.
pub const RETRY_AFTER_ELSEWHERE_MS: u64 = 2_000;

/// Attempts at plain servers for one call.
pub const MAX_PLAIN_ATTEMPTS: u16 = 3;

/// Calls of one route that wait for room at its servers.
pub const MAX_QUEUED_PER_ROUTE: usize = 1_024;

/// The longest that a call waits for room at its servers.
pub const PLAIN_QUEUE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Time from a call's arrival after which it is not retried any more.
pub const PLAIN_RETRY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The longest pause before the first retry; it doubles with each further one.
pub const RETRY_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// The part of a retry that each call earns its route, in thousandths.
pub const RETRY_EARNED_PER_MILLE: u32 = 200;

/// Retries that a route can save up, in thousandths.
pub const RETRY_SAVED_PER_MILLE: u32 = 20_000;
