//! Ejects a server that fails again and again and returns it slowly.

use std::time;

use crate::core::ids;
use crate::core::scheduler::constants;

/// Whether a server takes requests, and how many.
#[derive(Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<ids::Timestamp>,
    allowance: Option<u32>,
}

impl Health {
    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: ids::Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the most requests that may run while the server returns; `None` without a bound.
    pub fn allowance(&self) -> Option<u32> {
        self.allowance
    }

    /// Notes a successful request.
    pub fn succeeded(&mut self, now: ids::Timestamp, enough: u32) {
        self.failures = 0;
        if self.is_ejected(now) {
            return;
        }
        self.ejected_until = None;
        let Some(allowance) = self.allowance.as_mut() else { return };
        *allowance += 1;
        if *allowance >= enough {
            self.allowance = None;
            self.ejections = 0;
        }
    }

    /// Notes failed requests; returns whether they eject the server.
    pub fn failed(&mut self, failures: u32, now: ids::Timestamp) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.failures = self.failures.saturating_add(failures);
        let returning = self.allowance.is_some();
        if self.failures < constants::EJECT_FAILURES && !returning {
            return false;
        }
        self.ejected_until = Some(now + self.backoff());
        self.ejections = self.ejections.saturating_add(1);
        self.allowance = Some(1);
        self.failures = 0;
        true
    }

    fn backoff(&self) -> time::Duration {
        let doubled = constants::EJECT_BASE * 2u32.saturating_pow(self.ejections.min(8));
        doubled.min(constants::EJECT_LIMIT)
    }
}
