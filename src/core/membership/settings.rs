//! The durations and bounds that an operator may set.

use std::time;

use crate::core::membership::constants;

/// The settings of the membership reducer; all instances of a fleet must use the same ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How long a permission lasts, from the sending of the request that obtained it.
    pub lease: time::Duration,
    /// The time between two heartbeats to a witness; at most a third of the lease.
    pub heartbeat_interval: time::Duration,
    /// The allowance for clock rates that differ; 1/40 of the lease if that is more.
    pub clock_margin: time::Duration,
    /// The most witnesses that a record names; at most 32.
    pub max_witnesses: usize,
    /// The age at which an instance replaces its record.
    pub renew_interval: time::Duration,
    /// The age at which a record no longer makes its instance a member.
    ///
    /// The log must keep records longer than this. An instance that has not reached the log for
    /// 19/20 of this time stops acting as a member.
    pub record_expiry: time::Duration,
    /// How long a leaving instance waits for the log to take its leave record.
    pub leave_timeout: time::Duration,
    /// How long an append may stay unanswered before its outcome counts as unknown.
    pub append_timeout: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: constants::LEASE,
            heartbeat_interval: constants::HEARTBEAT_INTERVAL,
            clock_margin: constants::CLOCK_MARGIN,
            max_witnesses: constants::MAX_WITNESSES,
            renew_interval: constants::RENEW_INTERVAL,
            record_expiry: constants::RECORD_EXPIRY,
            leave_timeout: constants::LEAVE_TIMEOUT,
            append_timeout: constants::APPEND_TIMEOUT,
        }
    }
}

impl Settings {
    /// Fits the life of records to a log that keeps them for `retention`.
    pub fn with_log_retention(mut self, retention: time::Duration) -> Self {
        let longest = retention * constants::EXPIRY_RETENTION_PERCENT / 100;
        self.record_expiry = self.record_expiry.min(longest);
        let longest = self.record_expiry / constants::RENEWALS_PER_EXPIRY;
        self.renew_interval = self.renew_interval.min(longest);
        self
    }

    /// Returns how long after an event all permissions from before it have surely run out.
    pub fn guard(&self) -> time::Duration {
        self.lease + self.clock_margin.max(self.lease / constants::CLOCK_MARGIN_DIVISOR)
    }

    /// Returns how long an instance may act on a record, from the sending of the record.
    pub fn record_lifetime(&self) -> time::Duration {
        self.record_expiry - self.record_expiry / constants::EXPIRY_MARGIN_DIVISOR
    }
}
