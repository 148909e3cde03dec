//! Limits, timeouts and targets of the scheduler.

use std::time;

/// Servers at which a request waits for a reservation at the same time.
pub const CONCURRENT_RESERVATION_REQUESTS: usize = 2;

/// Candidate servers of a request that are considered; further ones are dropped.
pub const MAX_CANDIDATES: usize = 4;

/// How long a client waits for the first answer to a reservation request before it resends it.
pub const RESERVATION_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// How often a client confirms to the owner that a queued request still waits.
pub const QUEUE_REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(5_000);

/// How long an owner keeps a queued request without a message from its client.
pub const QUEUE_ENTRY_TTL: time::Duration = time::Duration::from_millis(16_000);

/// How long a request waits for a reservation before it is refused.
pub const MAX_WAIT: time::Duration = time::Duration::from_millis(30_000);

/// How long a new owner of a server grants nothing, while clients register the reservations that
/// they hold.
pub const HANDOVER_GRACE: time::Duration = time::Duration::from_millis(600);

/// How often an owner drops expired reservations and queue entries of a server.
pub const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long a reservation goes without confirmation by its client or its engine before the client
/// is asked about it.
pub const CHECK_AFTER: time::Duration = time::Duration::from_millis(3_000);

/// How long a reservation that the engine lists goes without confirmation by its client before the
/// client is asked about it.
pub const CHECK_LISTED_AFTER: time::Duration = time::Duration::from_millis(6_000);

/// How long a reservation is kept without confirmation by its client or its engine.
pub const RESERVATION_TTL: time::Duration = time::Duration::from_millis(12_000);

/// How long an engine may hold a request without a reservation before its client is asked about
/// it.
pub const ORPHAN_GRACE: time::Duration = time::Duration::from_millis(700);

/// How long an engine may hold a request without a reservation here while its client says that
/// it is alive, or while its incarnation was never a member, before it is canceled.
pub const ORPHAN_LONG_GRACE: time::Duration = time::Duration::from_millis(8_000);

/// How often a client resends the registration of its reservations until it is acknowledged.
pub const REGISTER_RETRY: time::Duration = time::Duration::from_millis(150);

/// The shortest time between separate reports of failures and of decodes above the inter-token
/// target; other observations are sent only with the next message to the owner.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The most requests that wait for one phase of one server.
pub const MAX_QUEUE_ENTRIES: usize = 256;

/// A workspace may hold this many times the free entries of a queue.
pub const QUEUE_SHARE_FACTOR: usize = 2;

/// Workspaces whose start tags an empty queue keeps; with more, all tags are reset.
pub const MAX_IDLE_FLOWS: usize = 64;

/// The age at which a request that cannot meet its first-token target any more is overdue and
/// takes turns with the requests that still can.
pub const OVERDUE_AGE: time::Duration = time::Duration::from_millis(4_000);

/// One of this many grants of a workspace goes to an overdue request.
pub const OVERDUE_GRANT_INTERVAL: u32 = 8;

/// Workspaces whose first request is tried when the one before does not fit the free memory.
pub const MAX_BYPASS_FLOWS: usize = 4;

/// The age up to which a request that does not fit may be overtaken by smaller ones.
pub const MAX_BYPASS_AGE: time::Duration = time::Duration::from_millis(1_000);

/// The most timers handled in one tick; the others are handled in the next one.
pub const MAX_TIMERS_PER_TICK: usize = 2_048;

/// The target for the 95th percentile of the time between tokens, in milliseconds.
pub const INTER_TOKEN_TARGET_MS: f64 = 42.0;

/// The decode limit grows while the time between tokens is below this share of the target.
pub const LIMIT_GROWTH_BELOW: f64 = 0.93;

/// The decode limit shrinks when the time between tokens is above this share of the target.
pub const LIMIT_SHRINK_ABOVE: f64 = 1.0;

/// The shortest time between two changes of a decode limit.
pub const LIMIT_CHANGE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// A server is granted no further prefill while its granted prefill work takes longer than this at
/// its learned speed, in milliseconds.
pub const PREFILL_WINDOW_MS: f64 = 120.0;

/// The prefill speed assumed before the first sample, in tokens per second.
pub const INITIAL_PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// The time for which a decode reservation is assumed to be held before the first sample, in
/// milliseconds.
pub const INITIAL_DECODE_HOLD_MS: f64 = 4_000.0;

/// Consecutive failures after which a server is ejected.
pub const EJECT_FAILURES: u32 = 5;

/// The length of the first ejection of a server; it doubles with each further one.
pub const MIN_EJECTION: time::Duration = time::Duration::from_millis(1_000);

/// The longest ejection of a server.
pub const MAX_EJECTION: time::Duration = time::Duration::from_millis(10_000);

/// The wait assumed at a server whose owner does not answer, in milliseconds.
pub const UNRESPONSIVE_WAIT_MS: u32 = 5_000;

/// How long an owner's estimate of the wait at its server is used to rank candidates.
pub const WAIT_ESTIMATE_TTL: time::Duration = time::Duration::from_millis(500);

/// The most incarnations remembered that were members and are not any more.
pub const MAX_FORMER_MEMBERS: usize = 1_024;

/// The most reservations granted beyond the slots of a server, as a share of the slots. They are
/// for requests whose prompt is still prefilled or whose KV cache is still in transfer.
pub const MAX_OVERLAP_SHARE: f64 = 0.5;

/// How long a transferred KV cache may wait for a slot, in milliseconds. It must be shorter than
/// the lifetime of an exported KV cache.
pub const MAX_OVERLAP_WAIT_MS: f64 = 250.0;

/// A request counts as able to meet its first-token target while this share of the expected time
/// from the grant to the first token remains.
pub const LEAD_TIME_FACTOR: f64 = 0.6;
