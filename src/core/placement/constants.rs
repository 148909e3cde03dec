//! Bounds and times of placement, each with its unit.

use std::time;

/// How many candidates a request is given.
pub const CANDIDATES: usize = 4;

/// Tokens in one block of a prompt.
pub const BLOCK_TOKENS: u32 = 256;

/// Servers that are compared in one step of rendezvous hashing; a larger pool is cut in groups.
pub const GROUP_SERVERS: usize = 32;

/// Requests after which the older half of the popularity counts is forgotten.
pub const POPULARITY_REQUESTS: u32 = 2_048;

/// The most prefixes in one half of the popularity counts.
pub const POPULARITY_PREFIXES: usize = 16_384;

/// Requests that must be counted before any prefix is called popular.
pub const POPULARITY_LEAST_REQUESTS: u32 = 32;

/// A prefix is popular when its share of the work exceeds this many servers' fair share.
pub const POPULAR_SERVERS: f64 = 1.0;

/// The most blocks kept of one server's prefix cache.
pub const CACHE_BLOCKS: usize = 65_536;

/// How long the known content of a cache is used without news of it.
pub const CACHE_TTL: time::Duration = time::Duration::from_millis(10_000);

/// How long a gap waits for its snapshot before the snapshot is asked for again.
pub const RESYNCHRONISE_RETRY: time::Duration = time::Duration::from_millis(1_000);

/// Cached tokens that a server must have over the first candidate to go before it.
pub const CACHE_GAIN_TOKENS: u32 = 512;

/// The prefill speed assumed before any is learned, in tokens a second.
pub const PREFILL_INITIAL_TOKENS_PER_S: f64 = 8_000.0;

/// The time between tokens assumed before any is learned, in milliseconds.
pub const INTER_TOKEN_INITIAL_MS: f64 = 42.0;

/// The fewest tokens that make a sample of the prefill speed.
pub const PREFILL_SAMPLE_TOKENS: u32 = 256;

/// Consecutive failures after which a server is avoided.
pub const AVOID_FAILURES: u32 = 3;

/// How long a failing server is avoided.
pub const AVOID_TIME: time::Duration = time::Duration::from_millis(2_000);

/// The most places that are counted for the least-outstanding policy.
pub const OUTSTANDING_PLACES: usize = 65_536;
