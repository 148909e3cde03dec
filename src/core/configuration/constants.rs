//! Limits and durations of the configuration reducer.

use std::time;

/// How long the log retains records if the settings do not state it.
pub const DEFAULT_LOG_RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);

/// The maximum size of a record, in bytes: a document, its entry and its history.
pub const MAX_RECORD_BYTES: usize = 640 * 1024;

/// The maximum length of an operator's name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// The maximum number of versions in the history.
pub const MAX_HISTORY: usize = 256;

/// The maximum number of versions of the history in a checkpoint.
pub const MAX_SHARED_HISTORY: usize = 64;

/// The maximum number of records that wait for an earlier record or for a snapshot.
pub const MAX_WAITING_RECORDS: usize = 1_024;

/// The maximum size of all waiting records together, in bytes.
pub const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// How many records a snapshot must be ahead so that the records in between are skipped.
pub const CATCH_UP_RECORDS: u64 = 32;

/// The maximum number of proposals without an outcome on one instance.
pub const MAX_PROPOSALS: usize = 16;

/// The maximum number of proposals of unknown outcome that are remembered.
pub const MAX_UNKNOWN_OUTCOMES: usize = 64;

/// How long a proposal may take before its outcome is reported as unknown.
pub const PROPOSAL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long keys stay valid without a complete read of the log or an answer from a peer.
pub const KEY_FRESHNESS_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long after the last complete read the log counts as unreachable; longer than two long polls.
pub const LOG_READ_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// The interval between pulls, from one peer each, while the log can be read.
pub const PULL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// The interval between pulls while the log cannot be read.
pub const URGENT_PULL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The number of peers for each pull while the log cannot be read.
pub const URGENT_PULL_PEERS: usize = 2;

/// The maximum number of pulls that wait for an answer.
pub const MAX_OPEN_PULLS: usize = 32;

/// The number of peers that a new version is announced to.
pub const ANNOUNCE_PEERS: usize = 3;

/// The number of peers that must have answered before a new instance relies on their document
/// without having read the log.
pub const INITIAL_ANSWERS: usize = 3;

/// The interval between the pulls of a new instance until `INITIAL_ANSWERS` peers have answered.
pub const INITIAL_PULL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long a new instance waits for further answers after the first one.
pub const INITIAL_ANSWERS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The number of snapshots within the log's retention.
pub const SNAPSHOTS_PER_RETENTION: u32 = 8;

/// The number of changes after which a snapshot is appended, so that a new reader has few to apply.
pub const CHANGES_PER_SNAPSHOT: u32 = 64;

/// The additional delay, for each member by rank, before it appends a snapshot that is still due.
pub const SNAPSHOT_STAGGER: time::Duration = time::Duration::from_secs(5);

/// How long an instance waits to read back its snapshot before it appends another one.
pub const SNAPSHOT_RETRY: time::Duration = time::Duration::from_secs(10);
