//! Bounds and times of the configuration reducer.

use std::time;

/// How long the log keeps records if the settings do not say.
pub const DEFAULT_LOG_RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);

/// The longest record that is read, in bytes: a document, its entry and its history.
pub const MAX_RECORD_BYTES: usize = 640 * 1024;

/// The longest name of an operator, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Versions that the history keeps.
pub const MAX_HISTORY: usize = 256;

/// Versions of the history that a checkpoint carries.
pub const MAX_SHARED_HISTORY: usize = 64;

/// Records that wait for an earlier one or for a snapshot.
pub const MAX_WAITING_RECORDS: usize = 1_024;

/// Bytes of the records that wait.
pub const MAX_WAITING_BYTES: usize = 4 * 1024 * 1024;

/// Records by which a snapshot must be ahead to be applied before the records in between.
pub const CATCH_UP_RECORDS: u64 = 32;

/// Proposals under way at once on one instance.
pub const MAX_PROPOSALS: usize = 16;

/// Proposals of unknown outcome that are remembered.
pub const MAX_UNCERTAIN: usize = 64;

/// How long a proposal may take before its outcome is reported as unknown.
pub const PROPOSAL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long keys stay in use without news from the log or from a peer.
pub const KEYS_STALE: time::Duration = time::Duration::from_secs(3);

/// The age of the last read at which the log counts as unreachable; longer than two long polls.
pub const LOG_LAPSE: time::Duration = time::Duration::from_millis(2_500);

/// How often one peer is asked while the log can be read.
pub const PULL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// How often peers are asked while the log cannot be read.
pub const URGENT_PULL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Peers asked at once while the log cannot be read.
pub const URGENT_PULL_PEERS: usize = 2;

/// Pulls whose answers are awaited.
pub const MAX_OPEN_PULLS: usize = 32;

/// Peers that are told of a new version at once.
pub const ANNOUNCE_PEERS: usize = 3;

/// Peers that must have answered before a new instance relies on their document alone.
pub const FIRST_ANSWERS: usize = 3;

/// How often a new instance asks peers until that many have answered.
pub const FIRST_PULL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long a new instance waits for more than one peer's answer.
pub const FIRST_ANSWERS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The part of the log's retention after which a snapshot is appended again.
pub const SNAPSHOTS_PER_RETENTION: u32 = 8;

/// Changes after which a snapshot is appended, so that a new reader has few to apply.
pub const CHANGES_PER_SNAPSHOT: u32 = 64;

/// By how much later each further member appends a snapshot that is still missing.
pub const SNAPSHOT_STAGGER: time::Duration = time::Duration::from_secs(5);

/// How long an instance waits to read back its snapshot before it appends another.
pub const SNAPSHOT_RETRY: time::Duration = time::Duration::from_secs(10);
