//! A map that drops its entries some time after they were recorded.

use std::collections::VecDeque;
use std::hash;
use std::time;

use crate::core::collections;
use crate::core::ids;

/// Entries with the time at which they were last recorded.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    retention: time::Duration,
    max_entries: usize,
    entries: collections::Map<K, (V, ids::Timestamp)>,
    by_age: VecDeque<(ids::Timestamp, K)>,
}

impl<K: Clone + Eq + hash::Hash, V> RecentMap<K, V> {
    /// Creates a map that holds up to `max_entries` entries for `retention`.
    pub fn new(retention: time::Duration, max_entries: usize) -> Self {
        Self {
            retention,
            max_entries,
            entries: collections::Map::default(),
            by_age: VecDeque::new(),
        }
    }

    /// Records an entry, in place of an earlier one with the same key.
    pub fn record(&mut self, key: K, value: V, now: ids::Timestamp) {
        self.drop_old(now);
        self.entries.insert(key.clone(), (value, now));
        self.by_age.push_back((now, key));
    }

    /// Returns a recent entry and its age.
    pub fn get(&self, key: &K, now: ids::Timestamp) -> Option<(&V, time::Duration)> {
        let (value, recorded) = self.entries.get(key)?;
        let age = now.saturating_sub(*recorded);
        (age <= self.retention).then_some((value, age))
    }

    /// Returns the number of entries, which may have expired since the last one was recorded.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn drop_old(&mut self, now: ids::Timestamp) {
        while let Some((recorded, key)) = self.by_age.front() {
            let is_old = now.saturating_sub(*recorded) > self.retention;
            if !is_old && self.by_age.len() < self.max_entries {
                return;
            }
            // An entry that was recorded again since stays.
            if self.entries.get(key).is_some_and(|(_, last)| last == recorded) {
                self.entries.remove(key);
            }
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
