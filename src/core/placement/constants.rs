//! Limits, timeouts and thresholds of placement.

use std::time;

/// The most candidates that are chosen for a request.
pub const MAX_CANDIDATES: usize = 4;

/// Prompt tokens in one block of the hash chain.
pub const BLOCK_TOKENS: u32 = 256;

/// The most servers that rendezvous hashing scores for one prompt; a larger pool is split into
/// groups.
pub const GROUP_SERVERS: usize = 32;

/// Requests in one generation of the popularity counts; the generation before the last is dropped.
pub const POPULARITY_WINDOW: u32 = 2_048;

/// The most prefixes in one generation of the popularity counts.
pub const MAX_POPULARITY_PREFIXES: usize = 16_384;

/// Requests that must be counted before any prefix counts as popular.
pub const MIN_POPULARITY_REQUESTS: u32 = 32;

/// A prefix is popular when its work exceeds the fair share of this many servers.
pub const POPULAR_SERVER_SHARES: f64 = 1.0;

/// The most blocks tracked of one server's prefix cache.
pub const MAX_CACHE_BLOCKS: usize = 65_536;

/// How long the known content of a cache is used without an event.
pub const CACHE_TTL: time::Duration = time::Duration::from_millis(10_000);

/// How long to wait for a snapshot after a gap before it is requested again.
pub const RESYNCHRONISE_RETRY: time::Duration = time::Duration::from_millis(1_000);

/// A server with at least this many more cached prompt tokens than the first candidate is ranked
/// before it.
pub const MIN_CACHE_GAIN_TOKENS: u32 = 512;

/// The prefill speed assumed before the first sample, in tokens per second.
pub const INITIAL_PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// The time between tokens assumed before the first sample, in milliseconds.
pub const INITIAL_INTER_TOKEN_MS: f64 = 42.0;

/// The fewest tokens from which the prefill speed is sampled.
pub const MIN_PREFILL_SAMPLE: u32 = 256;

/// Consecutive failures after which a server is avoided.
pub const AVOID_FAILURES: u32 = 3;

/// How long a server is avoided after its last failure.
pub const AVOID_TIME: time::Duration = time::Duration::from_millis(2_000);

/// The most reservations that are tracked for the least-outstanding policy.
pub const MAX_OUTSTANDING: usize = 65_536;
