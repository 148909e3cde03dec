//! Keeps what is due at a later time in the order of that time.

use std::cmp;
use std::collections::BinaryHeap;

use crate::core::ids;

/// Due items, earliest first. An item that is no longer wanted is dropped by its owner when due.
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
