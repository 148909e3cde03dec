//! A queue of timers, ordered by the time at which they are due.

use std::cmp;
use std::collections::BinaryHeap;

use crate::core::ids;

/// Timers, earliest first. There is no removal: a caller ignores an outdated timer when it is due.
#[derive(Debug)]
pub struct Timers<T: Ord> {
    heap: BinaryHeap<cmp::Reverse<(ids::Timestamp, T)>>,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new() }
    }
}

impl<T: Ord> Timers<T> {
    /// Adds an item that is due at `at`.
    pub fn add(&mut self, at: ids::Timestamp, item: T) {
        self.heap.push(cmp::Reverse((at, item)));
    }

    /// Removes and returns the earliest item if it is due.
    pub fn pop_due(&mut self, now: ids::Timestamp) -> Option<T> {
        if self.heap.peek()?.0.0 > now {
            return None;
        }
        self.heap.pop().map(|cmp::Reverse((_, item))| item)
    }
}
