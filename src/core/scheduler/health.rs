//! Ejects a server after consecutive failures and readmits it step by step.

use std::time;

use crate::core::ids;
use crate::core::scheduler::constants;

/// The failures of a server, its ejection, and its allowance while it is readmitted.
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

    /// Returns the most requests that may run while the server is readmitted; `None` if it is
    /// healthy.
    pub fn allowance(&self) -> Option<u32> {
        self.allowance
    }

    /// Records a successful request. The server is healthy again when its allowance reaches
    /// `full_allowance`.
    pub fn succeeded(&mut self, now: ids::Timestamp, full_allowance: u32) {
        self.failures = 0;
        if self.is_ejected(now) {
            return;
        }
        self.ejected_until = None;
        let Some(allowance) = self.allowance.as_mut() else { return };
        *allowance += 1;
        if *allowance >= full_allowance {
            self.allowance = None;
            self.ejections = 0;
        }
    }

    /// Records failed requests; returns whether they eject the server. One failure is enough while
    /// it is readmitted.
    pub fn failed(&mut self, failures: u32, now: ids::Timestamp) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.failures = self.failures.saturating_add(failures);
        let is_readmitted = self.allowance.is_some();
        if self.failures < constants::EJECT_FAILURES && !is_readmitted {
            return false;
        }
        self.ejected_until = Some(now + self.backoff());
        self.ejections = self.ejections.saturating_add(1);
        self.allowance = Some(1);
        self.failures = 0;
        true
    }

    fn backoff(&self) -> time::Duration {
        let backoff = constants::MIN_EJECTION * 2u32.saturating_pow(self.ejections.min(8));
        backoff.min(constants::MAX_EJECTION)
    }
}
