//! Bounds and times of the scheduler, each with its unit.

use std::time;

/// How many servers a request asks at the same time.
pub const CONCURRENT_ASKS: usize = 2;

/// How many candidates of a request are kept in all.
pub const CANDIDATES: usize = 4;

/// How long a client waits for the first answer to an ask before it asks again.
pub const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// How often a queued request confirms that it still waits.
pub const REASK_INTERVAL: time::Duration = time::Duration::from_millis(5_000);

/// How long a queued request is kept without a word from its client.
pub const QUEUE_ENTRY_TTL: time::Duration = time::Duration::from_millis(16_000);

/// How long a request waits for a place before it is refused.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_millis(30_000);

/// How long a new scheduler waits for clients to register the places that they hold.
pub const HANDOVER_GRACE: time::Duration = time::Duration::from_millis(600);

/// How often a scheduler examines the places and the queue of a server.
pub const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The age at which a place that the engine does not list is checked with its client.
pub const CHECK_AFTER: time::Duration = time::Duration::from_millis(3_000);

/// The age at which a place that only the engine lists is checked with its client.
pub const CHECK_LISTED_AFTER: time::Duration = time::Duration::from_millis(6_000);

/// How long a place lives without a sign of life from its client or its engine.
pub const PLACE_TTL: time::Duration = time::Duration::from_millis(12_000);

/// How long a held request may be without a place before its client is asked about it.
pub const ORPHAN_GRACE: time::Duration = time::Duration::from_millis(700);

/// How long a held request may be without a place while it is alive elsewhere, or while its
/// incarnation has never been seen.
pub const ORPHAN_LONG_GRACE: time::Duration = time::Duration::from_millis(8_000);

/// How often a client resends the registration of its places until it is acknowledged.
pub const REGISTER_RETRY: time::Duration = time::Duration::from_millis(150);

/// How often observations that show a server over its target are sent without another message.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The most requests that one server's queue holds for one phase.
pub const QUEUE_ENTRIES: usize = 256;

/// A workspace may hold this many times the free part of a queue.
pub const QUEUE_SHARE_OF_FREE: usize = 2;

/// How many workspaces an empty queue remembers.
pub const QUEUE_IDLE_FLOWS: usize = 64;

/// How long a request may be late before it takes turns with requests that are on time.
pub const AGE_BOUND: time::Duration = time::Duration::from_millis(4_000);

/// One of this many grants of a workspace goes to a request over the age bound.
pub const AGED_TURN: u32 = 8;

/// How many workspaces' heads are tried when the first does not fit the free memory.
pub const BYPASS_FLOWS: usize = 4;

/// How long a request that does not fit may be overtaken by smaller ones.
pub const BYPASS_AGE: time::Duration = time::Duration::from_millis(1_000);

/// Timers handled in one tick; the rest waits for the next one.
pub const TIMERS_PER_TICK: usize = 2_048;

/// The target for the time between tokens, in milliseconds.
pub const INTER_TOKEN_TARGET_MS: f64 = 42.0;

/// The share of the target up to which the limit grows.
pub const LIMIT_GROWTH_BELOW: f64 = 0.93;

/// The share of the target above which the limit shrinks.
pub const LIMIT_SHRINK_ABOVE: f64 = 1.0;

/// The least time between two changes of a limit.
pub const LIMIT_WINDOW: time::Duration = time::Duration::from_millis(1_000);

/// Prefill work that a server is given ahead, in milliseconds of its learned speed.
pub const PREFILL_WINDOW_MS: f64 = 120.0;

/// The prefill speed assumed before any is learned, in tokens a second.
pub const PREFILL_INITIAL_TOKENS_PER_S: f64 = 8_000.0;

/// The time for which a decode place is assumed to be held before any is learned, in milliseconds.
pub const DECODE_INITIAL_HOLD_MS: f64 = 4_000.0;

/// Consecutive failures after which a server is ejected.
pub const EJECT_FAILURES: u32 = 5;

/// How long a server is ejected the first time; it doubles with each further one.
pub const EJECT_BASE: time::Duration = time::Duration::from_millis(1_000);

/// The longest ejection, after which a server is tried with one request.
pub const EJECT_LIMIT: time::Duration = time::Duration::from_millis(10_000);

/// The wait assumed at a server whose scheduler does not answer, in milliseconds.
pub const SILENT_WAIT_MS: u32 = 5_000;

/// How long a server's answer about its queue guides further requests.
pub const HINT_TTL: time::Duration = time::Duration::from_millis(500);

/// How many processes that are no longer members are remembered.
pub const FORMER_MEMBERS: usize = 1_024;

/// The most places beyond its slots that a server is given, as a share of the slots, for requests
/// whose KV cache is still on its way.
pub const OVERLAP_LIMIT: f64 = 0.5;

/// How long the KV cache of a request beyond the slots may wait for a slot, in milliseconds; a
/// part of the life of an exported KV cache.
pub const OVERLAP_WAIT_MS: f64 = 250.0;

/// The factor on the expected time from a grant to the first token within which a request is taken
/// to meet its target.
pub const LEAD_MARGIN: f64 = 0.6;
