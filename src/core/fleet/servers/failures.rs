//! The share of a server's recent requests that failed.
//!
//! Load pattern: some servers lose a part of their answers while they look healthy. A lost answer
//! frees its place at once, so that such a server seems to be the least loaded one and attracts
//! further requests.

use crate::core::fleet::constants;
use crate::core::fleet::estimate;
use crate::core::ids;

/// The recent requests at a server, with weights that are halved in each half-life.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Failures {
    failed: f64,
    all: f64,
    updated: ids::Timestamp,
}

impl Failures {
    /// Counts a request.
    pub(super) fn record(&mut self, has_failed: bool, now: ids::Timestamp) {
        let weight = self.weight(now);
        self.failed = self.failed * weight + f64::from(u8::from(has_failed));
        self.all = self.all * weight + 1.0;
        self.updated = now;
    }

    /// Returns the share of recent requests that failed. Without requests it falls, as a server that
    /// is avoided would otherwise never be tried again.
    pub(super) fn share(self, now: ids::Timestamp) -> f64 {
        let weight = self.weight(now);
        self.failed * weight / (self.all * weight + constants::ASSUMED_SUCCESSES)
    }

    fn weight(self, now: ids::Timestamp) -> f64 {
        estimate::decayed_weight(now.saturating_sub(self.updated), constants::FAILURE_HALF_LIFE)
    }
}
