//! A sliding window of spending.

use std::collections::VecDeque;
use std::time;

use crate::core::ids;

/// The resolution of the window.
pub(super) const SLOT: time::Duration = time::Duration::from_millis(250);

/// Spending by the time at which it expires.
#[derive(Debug, Default, Clone)]
pub(super) struct Window {
    /// Pairs of an expiry time and an amount, in ascending order.
    pub(super) slots: VecDeque<(ids::Timestamp, f64)>,
    /// The sum of all slots.
    pub(super) total: f64,
}

impl Window {
    /// Drops the spending that has expired.
    pub(super) fn expire(&mut self, now: ids::Timestamp) {
        while let Some((expires, amount)) = self.slots.front().copied() {
            if now < expires {
                return;
            }
            self.slots.pop_front();
            self.total -= amount;
        }
        self.total = 0.0;
    }

    /// Adds spending that expires at the given time.
    pub(super) fn add(&mut self, amount: f64, expires: ids::Timestamp) {
        if amount == 0.0 {
            return;
        }
        self.total += amount;
        match self.slots.back_mut() {
            Some((last, sum)) if expires < *last + SLOT => *sum += amount,
            _ => self.slots.push_back((expires, amount)),
        }
    }

    /// Returns the time until `excess` has expired; `None` if the window holds less.
    pub(super) fn wait(&self, excess: f64, now: ids::Timestamp) -> Option<time::Duration> {
        let mut remaining = excess;
        for (expires, amount) in &self.slots {
            remaining -= amount;
            if remaining <= 0.0 {
                return Some(expires.saturating_sub(now));
            }
        }
        None
    }
}
