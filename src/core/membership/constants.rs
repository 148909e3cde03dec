//! Default durations and the bounds of the membership tables.

use std::time;

/// How long a permission lasts, from the sending of the request that obtained it.
pub const LEASE: time::Duration = time::Duration::from_millis(3_000);

/// The time between two heartbeats to a witness.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The allowance for clocks whose rates differ by up to 2 % over a lease.
pub const CLOCK_MARGIN: time::Duration = time::Duration::from_millis(150);

/// The least allowance for clocks as a share of the lease: its reciprocal.
pub const CLOCK_MARGIN_DIVISOR: u32 = 40;

/// The longest record expiry as a share of the time that the log keeps records, in percent.
pub const EXPIRY_RETENTION_PERCENT: u32 = 75;

/// How often at least a record is renewed before it expires.
pub const RENEWALS_PER_EXPIRY: u32 = 8;

/// The age at which an instance replaces its record.
pub const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(3_600);

/// The age, by the log's clock, at which a record no longer makes its instance a member.
pub const RECORD_EXPIRY: time::Duration = time::Duration::from_secs(24 * 3_600);

/// The share of the record expiry after which the instance itself stops: its reciprocal.
pub const EXPIRY_MARGIN_DIVISOR: u32 = 20;

/// How long a leaving instance waits for the log to take its leave record.
pub const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How long an append may stay unanswered before its outcome counts as unknown.
pub const APPEND_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The most witnesses that a record names.
pub const MAX_WITNESSES: usize = 7;

/// The most members that a roster holds.
pub const MAX_MEMBERS: usize = 4_096;

/// The most joins known from their announcement only.
pub const MAX_ANNOUNCED: usize = 64;

/// The most doublings of the wait before an evicted instance joins again.
pub const MAX_REJOIN_DOUBLINGS: u32 = 5;

/// The most records that a reader keeps while it looks for a snapshot.
pub const MAX_BACKLOG_RECORDS: usize = 65_536;
