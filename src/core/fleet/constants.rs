//! The limits and weights of routing over the fleet.

use std::time;

/// How long a peer may be silent before it no longer counts as live: several gossip intervals, so
/// that a lost datagram or two changes nothing.
pub const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How long a silent peer is remembered, so that it is still told where this instance is.
pub const PEER_RETENTION: time::Duration = time::Duration::from_secs(20);

/// Silence after which a peer is assumed to spend its share of each rate: above the gossip interval.
pub const ASSUMED_SPENDING_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// How long a server entry that lapsed while the store was away may still be used: the store's
/// promise is that a live server is back within 2 s.
pub const EXPIRED_ENTRY_GRACE: time::Duration = time::Duration::from_secs(2);

/// Members from which on coordinators grant places and count limits. In smaller fleets each
/// instance hears of all work within some 20 ms and decides itself.
pub const MIN_COORDINATED_MEMBERS: usize = 16;

/// Instances that coordinate and read the store for all: two may be lost at once.
pub const COORDINATORS: usize = 3;

/// Instances that may read the store while no coordinator can: a store that turns away a third of
/// the machines turns away all of them once in 20,000 times.
pub const FALLBACK_STORE_READERS: usize = 9;

/// Silence after which a peer no longer coordinates, longer than three of its digests.
pub const COORDINATOR_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// The time after which the next instances by rank may coordinate while none is heard that does:
/// several round trips, in which the ones before them are heard.
pub const SUCCESSION_STEP: time::Duration = time::Duration::from_millis(100);

/// How long a member counts as live after a coordinator last told that it hears it, unless one tells
/// that it does not: every member is told of within half of that in a fleet of 360.
pub const OBSERVATION_VALIDITY: time::Duration = time::Duration::from_secs(20);

/// How long coordinators tell of a change in every digest: several digests, as some are lost.
pub const CHANGE_REPORT_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Changed members that one digest names at most, so that it stays a short datagram.
pub const MAX_CHANGED_MEMBERS_PER_DIGEST: usize = 32;

/// How long an owner may take to answer before an instance decides itself: a tenth of the shortest
/// objectives, and many round trips.
pub const COORDINATOR_RESPONSE_TIMEOUT: time::Duration = time::Duration::from_millis(90);

/// How long an owner may not confirm that a request waits there.
pub const QUEUE_CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// The share of the fleet's retry budget that an instance spends; the rest covers retries of
/// instances that ended within the window.
pub const RETRY_BUDGET_SHARE: f64 = 0.7;

/// Prompt tokens that a prefill server reads in a millisecond before its speed is known; a figure
/// of current accelerators, replaced by what is observed.
pub const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Prompt tokens that a decode server reads in a millisecond before its speed is known.
pub const INITIAL_DECODE_PREFILL_TOKENS_PER_MS: f64 = 25.0;

/// The weight of a new observation in a learned speed: five observations replace most of a guess.
pub const SPEED_SMOOTHING: f64 = 0.2;

/// The weight of a new outcome in a server's share of failures.
pub const FAILURE_SMOOTHING: f64 = 0.1;

/// How strongly a server's share of failures lengthens its expected wait: one that fails two of
/// five requests counts as behind a full queue, the usual errors of requests do not.
pub const FAILURE_PENALTY_MS: f64 = 300.0;

/// The time after which a failure counts half.
pub const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(3);

/// Consecutive failures after which a server gets no work for a while.
pub const EJECTION_FAILURES: u32 = 3;

/// The first pause of an ejected server; it doubles with each ejection in a row.
pub const MIN_EJECTION_PAUSE: time::Duration = time::Duration::from_millis(700);

/// The longest pause of an ejected server.
pub const MAX_EJECTION_PAUSE: time::Duration = time::Duration::from_secs(4);

/// The share of an engine's memory that is promised to requests; the rest covers caches and
/// requests that other instances have just sent.
pub const KV_CACHE_SHARE: f64 = 0.9;

/// The share of an engine's slots that is used, below the point at which it rejects requests.
pub const ENGINE_SLOT_SHARE: f64 = 0.8;

/// The work in milliseconds that may wait at an engine before requests that are late already are
/// kept back.
pub const LATE_BACKLOG_MS: f64 = 250.0;

/// The part of the objective that an expected first token may take; the rest covers errors of the
/// estimate.
pub const OBJECTIVE_SHARE: f64 = 0.85;

/// What the hand-over of a prompt's memory and a second connection cost on a quiet link.
pub const HANDOVER_MS: f64 = 12.0;

/// The advantage that a decode server which reads the prompt itself must promise over a hand-over:
/// its reading holds up the streams there.
pub const MIN_DIRECT_GAIN_MS: f64 = 60.0;

/// The longest reading of a prompt between two events of other streams: half of the pause that
/// callers accept.
pub const MAX_PREFILL_BETWEEN_EVENTS_MS: f64 = 150.0;

/// What a decode server without free memory costs against an empty one, so that memory is taken
/// evenly.
pub const FULL_KV_CACHE_PENALTY_MS: f64 = 200.0;

/// The part of a request's expected output that counts as memory: requests of different age share
/// an engine, and half of their output is there on average.
pub const OUTPUT_KV_CACHE_SHARE: f64 = 0.7;

/// The share of an engine's memory beyond which no request is placed that is late already.
pub const LATE_KV_CACHE_SHARE: f64 = 0.75;

/// How long a prefill server whose handles could not be taken is used for no hand-over.
pub const HANDOVER_PAUSE: time::Duration = time::Duration::from_secs(3);

/// The time for which a stream holds its memory, for estimates of waits.
pub const STREAM_DURATION_MS: f64 = 3_500.0;

/// What a slow engine and messages between instances take beyond the expected reading of a prompt.
pub const OBJECTIVE_MARGIN_MS: f64 = 60.0;

/// Requests for each slot of a plain server, so that a slot is not idle during a round trip.
pub const PLAIN_REQUESTS_PER_SLOT: f64 = 1.5;

/// The work time of a plain request before any has been observed.
pub const INITIAL_PLAIN_WORK_MS: f64 = 30.0;

/// What a server in another failure domain costs more than one in the own.
pub const OTHER_DOMAIN_PENALTY_MS: f64 = 6.0;

/// Servers to which one request may be tried at most, connections that failed included.
pub const MAX_TRIED_SERVERS: u32 = 4;

/// Time kept back before a deadline so that the answer still reaches the caller.
pub const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(15);

/// Requests that wait in one instance at most: a bound on memory.
pub const MAX_WAITING_REQUESTS: usize = 2_000;

/// The shortest `Retry-After`.
pub const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// The `Retry-After` of an instance that leaves: callers come back at once, to another one.
pub const SHUTDOWN_RETRY_AFTER: time::Duration = time::Duration::from_millis(10);

/// The longest `Retry-After`: a third of a long deadline.
pub const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(4);

/// Prompts that a prefill server is given at once: one that it reads, and one so that it is not
/// idle during a round trip.
pub const MAX_PREFILLS_PER_PREFILL_SERVER: u32 = 2;

/// Prompts that a decode server is given at once to read itself: engines read a piece of each
/// between two tokens, so that more prompts slow down every stream there.
pub const MAX_PREFILLS_PER_DECODE_SERVER: u32 = 1;

/// Unchanged members that one digest names.
pub const UNCHANGED_MEMBERS_PER_DIGEST: usize = 6;

/// Members that one message to a newcomer names.
pub const MEMBERS_PER_MESSAGE: usize = 32;

/// Addresses in one answer to callers: they read no more.
pub const MAX_CALLER_ADDRESSES: usize = 64;

/// The shortest time between digests, for each member of a small fleet: bounds the datagrams to 125
/// a second in each direction.
pub const DIGEST_INTERVAL_PER_MEMBER: time::Duration = time::Duration::from_millis(8);

/// How long an instance that starts waits for most peers before it hands out what is left of a
/// limit that is nearly reached: peers hear of each other within a few digests.
pub const PEER_SYNC_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// The share of known peers that must be heard before that.
pub const PEER_SYNC_SHARE: f64 = 0.8;

/// The share of a limit above which that applies.
pub const UNSYNCED_LIMIT_SHARE: f64 = 0.6;

/// How often the fleet's spending is written to the store.
pub const SPENDING_WRITE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How many times the expected time a server may take for a step that can be repeated elsewhere.
pub const RESPONSE_TIMEOUT_FACTOR: f64 = 3.0;

/// What such a server is given beyond that: a busy instance and a slow link are no reason to repeat.
pub const RESPONSE_TIMEOUT_EXTRA_MS: f64 = 300.0;

/// The time in which a decode server takes the memory of a prompt over a link that is slow.
pub const DECODE_START_MS: f64 = 100.0;

/// The difference of uptimes up to which a peer counts as started together with this instance.
pub const MAX_COMMON_START_DIFFERENCE: time::Duration = time::Duration::from_millis(3_000);
