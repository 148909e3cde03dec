//! Durations and limits of claims.

use std::time;

/// Time for which a claim holds its key, by the log's clock; the log must retain records for
/// longer.
pub const CLAIM_WINDOW: time::Duration = time::Duration::from_secs(15 * 60);

/// Time after the end of the claim window for which a claim stays in memory.
pub const CLAIM_RETENTION_MARGIN: time::Duration = time::Duration::from_secs(60);

/// Time within which a claim must be read back from the log; otherwise its request is refused as
/// not run.
pub const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time from a call's arrival after which it is no longer sent under its claim, so that a process
/// that was paused does not send it when another call may hold the key.
pub const SEND_WINDOW: time::Duration = time::Duration::from_secs(450);

/// Interval at which a waiting request polls its key's holder for the answer, or checks whether the
/// key was released.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time without a message from the instance of a claim's holder after which its outcome counts as
/// unknown.
pub const HOLDER_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Shortest interval between two appends of one instance.
pub const MIN_APPEND_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Appends per second that all instances together may make for claims.
pub const FLEET_APPENDS_PER_S: u32 = 200;

/// Delay before a failed append is retried.
pub const APPEND_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time without an answer after which the outcome of an append counts as unknown.
pub const APPEND_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Most claims and releases in one record.
pub const MAX_ENTRIES_PER_RECORD: usize = 512;

/// Most requests of one instance that wait for claims or answers.
pub const MAX_WAITING: usize = 8_192;

/// Most claims that an instance keeps in memory.
pub const MAX_CLAIMS: usize = 150_000;

/// Most bytes of answers that an instance stores, including the overhead of each.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Bytes that each stored answer counts for in addition to its body and content type.
pub const ANSWER_OVERHEAD_BYTES: usize = 128;
