//! Default durations and limits of the membership reducer.

use std::time;

/// How long a permission to act lasts, from the time at which the request for it was sent.
pub const LEASE: time::Duration = time::Duration::from_millis(3_000);

/// The interval between heartbeats to a witness.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The margin for clocks whose rates differ by up to 2 % over a lease.
pub const CLOCK_MARGIN: time::Duration = time::Duration::from_millis(150);

/// The minimum clock margin is the lease divided by this.
pub const CLOCK_MARGIN_DIVISOR: u32 = 40;

/// The maximum record expiry, in percent of the log's retention.
pub const EXPIRY_RETENTION_PERCENT: u32 = 75;

/// The minimum number of renewals of a record before it would expire.
pub const RENEWALS_PER_EXPIRY: u32 = 8;

/// The age at which an instance renews its record.
pub const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(3_600);

/// The age, by the log's clock, at which a record expires and its instance is no longer a member.
pub const RECORD_EXPIRY: time::Duration = time::Duration::from_secs(24 * 3_600);

/// An instance stops acting on its record before the record expires, by the expiry divided by this.
pub const EXPIRY_MARGIN_DIVISOR: u32 = 20;

/// How long a leaving instance waits for the log to confirm its leave record.
pub const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How long an append may remain unanswered before its outcome counts as unknown.
pub const APPEND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The maximum number of witnesses that a record names.
pub const MAX_WITNESSES: usize = 7;

/// The maximum number of members in a roster.
pub const MAX_MEMBERS: usize = 4_096;

/// The maximum number of announcements kept that the roster does not show yet.
pub const MAX_ANNOUNCED: usize = 64;

/// How often the delay before an evicted instance rejoins is doubled at most.
pub const MAX_REJOIN_DOUBLINGS: u32 = 5;

/// The maximum number of records that a reader buffers while it looks for a snapshot.
pub const MAX_BACKLOG_RECORDS: usize = 65_536;
