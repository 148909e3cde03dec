//! Limits, timeouts and targets of the request reducer.

use std::time;

/// The most requests that one instance handles at the same time.
pub const MAX_LIVE_REQUESTS: usize = 20_000;

/// The longest time from a request's arrival to its end.
pub const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(180);

/// The target for the time from arrival to the first token.
pub const FIRST_TOKEN_TARGET: time::Duration = time::Duration::from_millis(1_300);

/// The most attempts at engines for one language request.
pub const MAX_ATTEMPTS: u16 = 6;

/// The most attempts to resume a stream on the server that holds it.
pub const MAX_RESUMES: u16 = 2;

/// The age up to which an exported KV cache is offered to a second decode server, in milliseconds.
pub const MAX_KV_REUSE_AGE_MS: u64 = 500;

/// Tokens that fit into one piece of KV cache memory.
pub const PIECE_TOKENS: u32 = 2_000;

/// Tokens per 1000 bytes of prompt assumed until an engine has reported a count.
pub const INITIAL_TOKENS_PER_1000_BYTES: u64 = 250;

/// The delay after which a caller should retry when servers are busy, in milliseconds.
pub const RETRY_AFTER_BUSY_MS: u64 = 1_000;

/// The delay after which a caller should retry when this instance accepts no requests, in
/// milliseconds.
pub const RETRY_AFTER_ELSEWHERE_MS: u64 = 2_000;

/// The most attempts at plain servers for one call.
pub const MAX_PLAIN_ATTEMPTS: u16 = 3;

/// The most calls of one route that are queued for capacity at its servers.
pub const MAX_QUEUED_PER_ROUTE: usize = 1_024;

/// The longest time that a call is queued for capacity at its servers.
pub const PLAIN_QUEUE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The time from a call's arrival after which it is not retried.
pub const PLAIN_RETRY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The longest pause before the first retry; it doubles with each further one.
pub const RETRY_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// The share of a retry that each call adds to its route's budget, in thousandths.
pub const RETRY_EARNED_PER_MILLE: u32 = 200;

/// The largest and initial retry budget of a route, in thousandths of a retry.
pub const MAX_RETRIES_PER_MILLE: u32 = 20_000;
