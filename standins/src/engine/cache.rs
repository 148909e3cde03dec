//! The prefix cache of a fake engine with its events, which are late and have gaps.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Events kept for readers.
const EVENT_LIMIT: usize = 1_024;

/// What happened to the blocks of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The blocks came into the cache.
    Stored,
    /// The blocks left the cache.
    Evicted,
}

/// One published change of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Number of the event; rises by one for each change, published or not.
    pub sequence: u64,
    /// What happened.
    pub kind: Change,
    /// Hashes as decimal strings.
    pub blocks: Vec<String>,
    #[serde(skip)]
    visible_at: Instant,
}

/// A least-recently-used set of prefix blocks.
#[derive(Debug)]
pub struct Cache {
    limit: usize,
    delay: Duration,
    drop_every: u64,
    tick: u64,
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<Event>,
}

impl Cache {
    /// Makes an empty cache of `limit` blocks.
    pub fn new(limit: usize, delay: Duration, drop_every: u64) -> Self {
        Self {
            limit,
            delay,
            drop_every,
            tick: 0,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Counts the leading blocks that are cached, and marks them as used.
    pub fn hit(&mut self, blocks: &[u64]) -> usize {
        let found = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        blocks[..found].iter().for_each(|block| self.touch(*block));
        found
    }

    /// Stores blocks and evicts those that were not used for longest.
    pub fn store(&mut self, blocks: &[u64], now: Instant) {
        let new: Vec<u64> =
            blocks.iter().copied().filter(|block| !self.used_at.contains_key(block)).collect();
        blocks.iter().for_each(|block| self.touch(*block));
        let mut evicted = Vec::new();
        while self.used_at.len() > self.limit {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&block);
            evicted.push(block);
        }
        self.publish(Change::Stored, &new, now);
        self.publish(Change::Evicted, &evicted, now);
    }

    /// Drops all blocks and events, as a restart does.
    pub fn clear(&mut self) {
        self.used_at.clear();
        self.by_use.clear();
        self.events.clear();
        self.sequence += 1;
    }

    /// Number of the newest change, and all blocks as decimal strings.
    pub fn snapshot(&self) -> (u64, Vec<String>) {
        (self.sequence, self.by_use.values().map(ToString::to_string).collect())
    }

    /// First number kept, and the events from `from` that are visible by now.
    pub fn events(&self, from: u64, now: Instant) -> (u64, Vec<Event>) {
        let first = self.events.front().map_or(self.sequence + 1, |event| event.sequence);
        let visible =
            self.events.iter().filter(|event| event.sequence >= from && event.visible_at <= now);
        (first, visible.cloned().collect())
    }

    fn touch(&mut self, block: u64) {
        self.tick += 1;
        if let Some(old) = self.used_at.insert(block, self.tick) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.tick, block);
    }

    fn publish(&mut self, kind: Change, blocks: &[u64], now: Instant) {
        if blocks.is_empty() {
            return;
        }
        self.sequence += 1;
        if self.drop_every != 0 && self.sequence.is_multiple_of(self.drop_every) {
            return;
        }
        let blocks = blocks.iter().map(ToString::to_string).collect();
        let visible_at = now + self.delay;
        self.events.push_back(Event { sequence: self.sequence, kind, blocks, visible_at });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
