//! A sliding window of spending.

use std::collections::VecDeque;
use std::time;

use crate::core::ids;

/// The grain in which spending is remembered.
pub(super) const SLOT: time::Duration = time::Duration::from_millis(250);

/// What was spent, by the time at which it leaves the window.
#[derive(Debug, Default, Clone)]
pub(super) struct Window {
    /// By the time at which they leave.
    pub(super) slots: VecDeque<(ids::Timestamp, f64)>,
    /// What all slots hold.
    pub(super) total: f64,
}

impl Window {
    /// Drops what has left the window.
    pub(super) fn expire(&mut self, now: ids::Timestamp) {
        while let Some((leaves, amount)) = self.slots.front().copied() {
            if now < leaves {
                return;
            }
            self.slots.pop_front();
            self.total -= amount;
        }
        self.total = 0.0;
    }

    /// Adds spending that leaves the window at some time.
    pub(super) fn add(&mut self, amount: f64, leaves: ids::Timestamp) {
        if amount == 0.0 {
            return;
        }
        self.total += amount;
        match self.slots.back_mut() {
            Some((last, sum)) if leaves < *last + SLOT => *sum += amount,
            _ => self.slots.push_back((leaves, amount)),
        }
    }

    /// Returns the time until `excess` has left the window; `None` if it holds less.
    pub(super) fn wait(&self, excess: f64, now: ids::Timestamp) -> Option<time::Duration> {
        let mut left = excess;
        for (leaves, amount) in &self.slots {
            left -= amount;
            if left <= 0.0 {
                return Some(leaves.saturating_sub(now));
            }
        }
        None
    }
}
