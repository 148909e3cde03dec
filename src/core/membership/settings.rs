//! The settings of the membership reducer: durations and limits.

use std::time;

use crate::core::membership::constants;

/// The settings of the membership reducer; all instances of a fleet must use the same values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How long a permission to act lasts, from the time at which the request for it was sent.
    pub lease: time::Duration,
    /// The interval between heartbeats to a witness; at most a third of the lease.
    pub heartbeat_interval: time::Duration,
    /// The margin for differing clock rates; 1/40 of the lease is used if that is longer.
    pub clock_margin: time::Duration,
    /// The maximum number of witnesses that a record names; at most 32.
    pub max_witnesses: usize,
    /// The age at which an instance renews its record.
    pub renew_interval: time::Duration,
    /// The age at which a record expires and no longer makes its instance a member.
    ///
    /// The log must retain records for longer than this. An instance that has not renewed its
    /// record for 19/20 of this time stops acting as a member.
    pub record_expiry: time::Duration,
    /// How long a leaving instance waits for the log to confirm its leave record.
    pub leave_timeout: time::Duration,
    /// How long an append may remain unanswered before its outcome counts as unknown.
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
    /// Shortens the record expiry and the renew interval to fit a log that retains records for
    /// `retention`.
    pub fn with_log_retention(mut self, retention: time::Duration) -> Self {
        let longest = retention * constants::EXPIRY_RETENTION_PERCENT / 100;
        self.record_expiry = self.record_expiry.min(longest);
        let longest = self.record_expiry / constants::RENEWALS_PER_EXPIRY;
        self.renew_interval = self.renew_interval.min(longest);
        self
    }

    /// Returns the lease plus the clock margin: after this time, permissions from before an event
    /// have expired on every clock.
    pub fn lease_with_margin(&self) -> time::Duration {
        self.lease + self.clock_margin.max(self.lease / constants::CLOCK_MARGIN_DIVISOR)
    }

    /// Returns how long an instance may act on a record, from the time at which it sent the record.
    pub fn record_lifetime(&self) -> time::Duration {
        self.record_expiry - self.record_expiry / constants::EXPIRY_MARGIN_DIVISOR
    }
}
