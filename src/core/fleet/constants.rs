//! Limits, timeouts and weights of routing over the fleet.

use std::time;

/// The time without a digest after which a peer no longer counts as live: several gossip intervals,
/// so that a few lost datagrams have no effect.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The time for which an unresponsive peer is remembered, so that it still receives digests with
/// this instance's address.
pub const PEER_RETENTION: time::Duration = time::Duration::from_secs(20);

/// The time without a digest after which a peer is assumed to spend its share of each rate; longer
/// than the gossip interval.
pub const ASSUMED_SPENDING_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The time for which a server entry that expired during an outage of the store stays usable: the
/// store guarantees that a live server is listed again within 2 s.
pub const EXPIRED_ENTRY_GRACE: time::Duration = time::Duration::from_secs(2);

/// The fleet size from which on coordinators grant reservations and count limits. Instances that
/// decide by each other's digests all take the same free place.
pub const MIN_COORDINATED_MEMBERS: usize = 2;

/// The number of instances that coordinate and read the store for all; the fleet tolerates the loss
/// of two at the same time.
pub const COORDINATORS: usize = 3;

/// The number of instances that may read the store while no coordinator can: a store that rejects a
/// third of the machines rejects all nine in 1 of 20,000 cases.
pub const FALLBACK_STORE_READERS: usize = 9;

/// The time without a digest after which a peer no longer counts as coordinator; longer than three
/// of its digest intervals.
pub const COORDINATOR_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// While no coordinator is active, the number of instances that may coordinate grows once in this
/// interval: several round trips, in which digests of higher ranked instances arrive.
pub const SUCCESSION_STEP: time::Duration = time::Duration::from_millis(100);

/// The time for which a member counts as live after a coordinator's last observation of it, unless
/// a coordinator reports it lost. In a fleet of 360, every member is observed within half of this
/// time.
pub const OBSERVATION_VALIDITY: time::Duration = time::Duration::from_secs(20);

/// The time for which coordinators repeat a change in every digest: several digests, as some are
/// lost.
pub const CHANGE_REPORT_PERIOD: time::Duration = time::Duration::from_secs(2);

/// The maximum number of changed members in one digest, to keep the datagram short.
pub const MAX_CHANGED_MEMBERS_PER_DIGEST: usize = 32;

/// The time that a coordinator has to answer a reservation request or charge before the instance
/// tries another one or decides itself: a tenth of the shortest objectives, and many round trips.
pub const COORDINATOR_RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(90);

/// The time without a confirmation by the owner after which a queued reservation request is taken
/// back and placed by the instance itself.
pub const QUEUE_CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// The time for which a caller that resumes a stream waits for the store to return its origin.
pub const ORIGIN_LOOKUP_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// The interval at which origins of streams are written to the store.
pub const ORIGIN_WRITE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The maximum number of origins in one message, so that it fits into a datagram.
pub const MAX_ORIGINS_PER_MESSAGE: usize = 500;

/// The maximum number of origins in one record, well below the store's limit of its size.
pub const MAX_ORIGINS_PER_RECORD: usize = 2_000;

/// The share of the fleet's retry budget that instances spend; the rest covers retries of instances
/// that ended within the window.
pub const RETRY_BUDGET_SHARE: f64 = 0.85;

/// The prefill speed that is assumed for a prefill server before any observation, in prompt tokens
/// per millisecond: that of current accelerators.
pub const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// The prefill speed that is assumed for a decode server before any observation, in prompt tokens
/// per millisecond.
pub const INITIAL_DECODE_PREFILL_TOKENS_PER_MS: f64 = 25.0;

/// The weight of a new observation in the moving average of a speed: five observations replace most
/// of the initial value.
pub const SPEED_SMOOTHING: f64 = 0.2;

/// The number of successes that are assumed of a server beside its recent requests, so that a single
/// failure of few requests does not rule it out.
pub const ASSUMED_SUCCESSES: f64 = 2.0;

/// The penalty in expected wait for a failure share of 1: a server that fails two of five requests
/// ranks behind one with a full queue, and the usual rate of errors has little effect.
pub const FAILURE_PENALTY_MS: f64 = 300.0;

/// The penalty of a decode server for a failure share of 1: one that has lost two of five streams ranks
/// behind one with a full KV cache.
pub const LOST_STREAM_PENALTY_MS: f64 = 1_000.0;

/// The time after which a request counts half in a server's failure share.
pub const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(3);

/// The number of consecutive failures after which a server is ejected.
pub const EJECTION_FAILURES: u32 = 3;

/// The length of a server's first ejection; it doubles with each consecutive ejection.
pub const MIN_EJECTION_PAUSE: time::Duration = time::Duration::from_millis(700);

/// The maximum length of an ejection.
pub const MAX_EJECTION_PAUSE: time::Duration = time::Duration::from_secs(4);

/// The share of an engine's KV cache that is granted to requests; the rest covers caches and
/// requests that other instances have sent most recently.
pub const KV_CACHE_SHARE: f64 = 0.9;

/// The share of an engine's slots that is used, below the point at which it rejects requests.
pub const ENGINE_SLOT_SHARE: f64 = 0.8;

/// The backlog of an engine in milliseconds above which requests that miss their objective anyway
/// are held back.
pub const LATE_BACKLOG_MS: f64 = 250.0;

/// The part of the remaining objective that the expected time to the first token may take; the rest
/// covers errors of the estimate.
pub const OBJECTIVE_SHARE: f64 = 0.85;

/// The cost of a handover of the KV cache, with its second connection, on an idle link.
pub const HANDOVER_MS: f64 = 12.0;

/// The gain in expected time that a decode server must offer over a handover to prefill a prompt
/// itself, as its prefill delays the streams there.
pub const MIN_DIRECT_GAIN_MS: f64 = 60.0;

/// The longest prefill between two events of other streams at a decode server: half of the pause
/// that callers accept.
pub const MAX_PREFILL_BETWEEN_EVENTS_MS: f64 = 150.0;

/// The penalty of a decode server with a full KV cache against an empty one, so that the caches
/// fill evenly.
pub const FULL_KV_CACHE_PENALTY_MS: f64 = 200.0;

/// The penalty of a decode server at which streams take twice the usual time: it gets streams once
/// the KV cache of the others is half full.
pub const SLOW_STREAM_PENALTY_MS: f64 = 100.0;

/// The excess over the usual time of streams above which a decode server is not avoided more.
pub const MAX_PACE_EXCESS: f64 = 2.0;

/// The time after which the pace of a server without completed streams counts half.
pub const PACE_HALF_LIFE: time::Duration = time::Duration::from_secs(20);

/// The part of a request's expected output that counts as KV cache: requests of different age share
/// an engine, and half of their output is there on average.
pub const OUTPUT_KV_CACHE_SHARE: f64 = 0.7;

/// The share of an engine's KV cache above which no request is placed that misses its objective.
pub const LATE_KV_CACHE_SHARE: f64 = 0.75;

/// The time for which requests that were lost at a server are remembered while it is not known whether
/// the server has ended: several intervals after which the entry of one that has is removed.
pub const LOSS_RETENTION: time::Duration = time::Duration::from_secs(10);

/// The maximum number of requests in the report of a crash, to keep the datagram short.
pub const MAX_SUSPECTS_PER_REPORT: usize = 16;

/// The time after the report of a crash in which its cause may be found: servers return after some
/// seconds, and survivals take some more to clear a feature.
pub const CRASH_DECISION_PERIOD: time::Duration = time::Duration::from_secs(20);

/// The interval at which causes are searched for without a new report.
pub const CAUSE_SEARCH_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The interval at which the report of a crash is repeated, as datagrams get lost.
pub const CRASH_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// The number of times that the report of a crash is repeated.
pub const CRASH_REPORT_REPEATS: u32 = 3;

/// The interval at which quarantines are repeated to all instances: several of them pass before the
/// fifth crash for those that have missed the first ones.
pub const QUARANTINE_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(2_000);

/// The interval at which changed quarantines are written to the store.
pub const QUARANTINE_WRITE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The maximum number of evacuated servers that a reservation request names to an owner of an older
/// build, to keep the datagram short.
pub const MAX_EVACUATED_PER_REQUEST: usize = 64;

/// The maximum number of quarantines in one message, to keep the datagram short.
pub const MAX_QUARANTINES_PER_MESSAGE: usize = 8;

/// The time for which a prefilled prompt waits for a decode server: longer than most ejections.
pub const MAX_HELD_PROMPT_WAIT: time::Duration = time::Duration::from_millis(1_500);

/// The time for which a prefill server gets no handover after one of its KV cache handles was
/// rejected.
pub const HANDOVER_PAUSE: time::Duration = time::Duration::from_secs(3);

/// The time for which an instance that begins to coordinate lists what engines hold: the entries of
/// a large fleet arrive in several parts.
pub const PROMPT_LISTING_PERIOD: time::Duration = time::Duration::from_secs(3);

/// The time for which a stream is assumed to hold its KV cache, for estimates of waits.
pub const STREAM_DURATION_MS: f64 = 3_500.0;

/// The time that a slow engine and messages between instances take beyond the expected prefill of a
/// prompt.
pub const OBJECTIVE_MARGIN_MS: f64 = 60.0;

/// The number of requests sent to a plain server per slot, so that a slot is not idle during a
/// round trip.
pub const PLAIN_REQUESTS_PER_SLOT: f64 = 1.5;

/// The time that is assumed for a plain request before any observation.
pub const INITIAL_PLAIN_WORK_MS: f64 = 30.0;

/// The penalty of a server in another failure domain.
pub const OTHER_DOMAIN_PENALTY_MS: f64 = 6.0;

/// The maximum number of servers to which one request is sent, failed connections included.
pub const MAX_TRIED_SERVERS: u32 = 4;

/// The time reserved before a deadline for the answer to reach the caller.
pub const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(15);

/// The maximum number of requests that wait in one instance; bounds the memory that they take.
pub const MAX_WAITING_REQUESTS: usize = 2_000;

/// The minimum `Retry-After`.
pub const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// The `Retry-After` of an instance that shuts down: callers retry immediately, at another
/// instance.
pub const SHUTDOWN_RETRY_AFTER: time::Duration = time::Duration::from_millis(10);

/// The maximum `Retry-After`: a third of a long deadline.
pub const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(4);

/// The number of prompts sent to a prefill server at the same time: one in progress, and one so
/// that the server is not idle during a round trip.
pub const MAX_PREFILLS_PER_PREFILL_SERVER: u32 = 2;

/// The number of prompts sent to a decode server for prefill at the same time: engines prefill a
/// chunk of each between two tokens, so that more prompts slow down every stream there.
pub const MAX_PREFILLS_PER_DECODE_SERVER: u32 = 1;

/// The number of unchanged members in one digest.
pub const UNCHANGED_MEMBERS_PER_DIGEST: usize = 6;

/// The number of members in one message to a new instance.
pub const MEMBERS_PER_MESSAGE: usize = 32;

/// The maximum number of addresses in one answer to callers, which read no more.
pub const MAX_CALLER_ADDRESSES: usize = 64;

/// The minimum time between two digests, per member of a small fleet: limits the datagrams to 125 a
/// second in each direction.
pub const DIGEST_INTERVAL_PER_MEMBER: time::Duration = time::Duration::from_millis(8);

/// The time that an instance waits after its start for digests of most peers before it spends the
/// rest of a limit that is nearly used up; peers receive each other's digests within a few
/// intervals.
pub const PEER_SYNC_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// The share of known peers that must be live to end this wait earlier.
pub const PEER_SYNC_SHARE: f64 = 0.8;

/// The share of a limit above which the wait applies.
pub const UNSYNCED_LIMIT_SHARE: f64 = 0.6;

/// The interval at which the fleet's spending is written to the store.
pub const SPENDING_WRITE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The response timeout of a step that can be repeated at another server, as a multiple of its
/// expected time.
pub const RESPONSE_TIMEOUT_FACTOR: f64 = 3.0;

/// The time added to that response timeout: a busy instance or a slow link is no reason to repeat a
/// step.
pub const RESPONSE_TIMEOUT_EXTRA_MS: f64 = 300.0;

/// The time in which a decode server fetches the KV cache of a prompt over a slow link.
pub const DECODE_START_MS: f64 = 100.0;

/// The difference of uptimes up to which a peer counts as started together with this instance.
pub const MAX_COMMON_START_DIFFERENCE: time::Duration = time::Duration::from_millis(3_000);

/// The time after the start of an instance in a running fleet for which servers without an answer get
/// one request at a time. An answer shows whether its server names a limit.
pub const PROBING_PERIOD: time::Duration = time::Duration::from_millis(1_000);

/// The maximum age of digests of most instances with which an owner grants whole limits: two of
/// their intervals, and shorter than the time after which another instance takes over.
pub const OWNER_CONTACT_PERIOD: time::Duration = time::Duration::from_millis(800);

/// The interval at which instances repeat what they know of limits that servers name.
pub const LIMIT_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The time for which the withdrawal of a limit is repeated.
pub const LIMIT_WITHDRAWAL_REPORT_PERIOD: time::Duration = time::Duration::from_secs(5);

/// The time after a start at which an instance with half a core lists the members in the store, if no
/// coordinator has told it of them; one with a tenth of a core waits nine times as long.
pub const MEMBER_LISTING_DELAY: time::Duration = time::Duration::from_millis(30);

/// The maximum of that time; coordinators that start at the same time are known by then.
pub const MAX_MEMBER_LISTING_DELAY: time::Duration = time::Duration::from_millis(400);

/// The maximum number of reports on limits in one message, to keep the datagram short.
pub const MAX_LIMIT_REPORTS_PER_MESSAGE: usize = 32;

/// The time by which the age of an answer may be reported too low, for its way between instances.
pub const LIMIT_REPORT_DELAY: time::Duration = time::Duration::from_millis(50);
