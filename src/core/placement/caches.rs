//! Tracks the content of the prefix caches of the servers that this instance owns.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::placement;
use crate::core::placement::constants;

#[derive(Debug, Default)]
struct Cache {
    sequence: u64,
    blocks: collections::Set<ids::BlockHash>,
    requested_at: Option<ids::Timestamp>,
    last_event_at: ids::Timestamp,
}

/// The known content of the prefix caches, by server index.
#[derive(Debug, Default)]
pub struct Caches {
    servers: collections::Map<usize, Cache>,
}

impl Caches {
    /// Drops the content of all caches.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    /// Applies a change; returns whether a snapshot must be read, because an event is missing.
    pub fn apply(
        &mut self,
        server: usize,
        change: placement::CacheEvent,
        now: ids::Timestamp,
    ) -> bool {
        let is_new = !self.servers.contains_key(&server);
        let cache = self.servers.entry(server).or_default();
        cache.last_event_at = now;
        let sequence = match &change {
            placement::CacheEvent::Snapshot { sequence, blocks } => {
                cache.replace(*sequence, blocks);
                return false;
            }
            placement::CacheEvent::Stored { sequence, .. }
            | placement::CacheEvent::Evicted { sequence, .. } => *sequence,
        };
        if !is_new && sequence <= cache.sequence {
            return false;
        }
        if is_new || sequence > cache.sequence + 1 || cache.requested_at.is_some() {
            return cache.request_snapshot(now);
        }
        cache.sequence = sequence;
        cache.apply(change);
        false
    }

    /// Returns the servers whose cache content is known and current, with the number of blocks that
    /// each holds from the start of a chain.
    pub fn depths<'a>(
        &'a self,
        chain: &'a [ids::BlockHash],
        now: ids::Timestamp,
    ) -> impl Iterator<Item = (usize, usize)> + 'a {
        let is_usable = move |cache: &Cache| {
            cache.requested_at.is_none() && cache.last_event_at + constants::CACHE_TTL > now
        };
        let known = self.servers.iter().filter(move |(_, cache)| is_usable(cache));
        known.map(|(server, cache)| (*server, cache.depth(chain)))
    }
}

impl Cache {
    fn replace(&mut self, sequence: u64, blocks: &[ids::BlockHash]) {
        self.sequence = sequence;
        self.requested_at = None;
        self.blocks = blocks.iter().take(constants::MAX_CACHE_BLOCKS).copied().collect();
    }

    fn apply(&mut self, change: placement::CacheEvent) {
        match change {
            placement::CacheEvent::Stored { blocks, .. } => {
                let free = constants::MAX_CACHE_BLOCKS.saturating_sub(self.blocks.len());
                self.blocks.extend(blocks.into_iter().take(free));
            }
            placement::CacheEvent::Evicted { blocks, .. } => {
                blocks.iter().for_each(|block| {
                    self.blocks.remove(block);
                });
            }
            placement::CacheEvent::Snapshot { .. } => {}
        }
    }

    fn request_snapshot(&mut self, now: ids::Timestamp) -> bool {
        let recent = |requested: time::Duration| requested + constants::RESYNCHRONISE_RETRY > now;
        if self.requested_at.is_some_and(recent) {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    /// Returns how many blocks from the start of a chain are cached. A block is cached only
    /// together with all blocks before it, so a binary search finds the boundary.
    fn depth(&self, chain: &[ids::BlockHash]) -> usize {
        chain.partition_point(|block| self.blocks.contains(block))
    }
}
