//! Times and bounds of claims.

use std::time;

/// Time for which a claim holds, by the log's clock; the log must keep records longer.
pub const CLAIM_WINDOW: time::Duration = time::Duration::from_secs(15 * 60);

/// Time beyond the window for which an expired claim is remembered.
pub const CLAIM_KEEP: time::Duration = time::Duration::from_secs(60);

/// Time within which a claim must be read back before its request is refused as not run.
pub const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time from a call's arrival after which it is not sent under its claim any more, so that a
/// process that was paused does not send it when another call may hold the key.
pub const SEND_WINDOW: time::Duration = time::Duration::from_secs(450);

/// Time between two questions for the answer of a claim's holder.
pub const ASK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time without a word from a claim's holder after which its outcome counts as unknown.
pub const ASK_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The shortest time between two appends of one instance.
pub const MIN_APPEND_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Appends a second that all instances together may make for claims.
pub const FLEET_APPENDS_PER_S: u32 = 200;

/// Time after which a failed append is tried again.
pub const APPEND_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time without an answer after which an append counts as lost.
pub const APPEND_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Claims and releases in one record.
pub const MAX_ENTRIES_PER_RECORD: usize = 512;

/// Requests of one instance that wait for claims or answers.
pub const MAX_WAITING: usize = 8_192;

/// Claims that an instance remembers.
pub const MAX_CLAIMS: usize = 150_000;

/// Answers that an instance keeps, in bytes of their bodies.
pub const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Bytes that each kept answer counts for beside its body.
pub const ANSWER_OVERHEAD_BYTES: usize = 128;
