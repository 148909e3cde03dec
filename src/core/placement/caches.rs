//! Follows the prefix caches of the servers that this instance watches.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::placement;
use crate::core::placement::constants;

#[derive(Debug, Default)]
struct Cache {
    sequence: u64,
    blocks: collections::Set<ids::BlockHash>,
    asked_at: Option<ids::Timestamp>,
    heard_at: ids::Timestamp,
}

/// The known content of the watched servers' caches.
#[derive(Debug, Default)]
pub struct Caches {
    servers: collections::Map<usize, Cache>,
}

impl Caches {
    /// Forgets all servers.
    pub fn clear(&mut self) {
        self.servers.clear();
    }

    /// Applies a change; returns whether the server's snapshot has to be read again.
    pub fn apply(
        &mut self,
        server: usize,
        change: placement::CacheEvent,
        now: ids::Timestamp,
    ) -> bool {
        let new = !self.servers.contains_key(&server);
        let cache = self.servers.entry(server).or_default();
        cache.heard_at = now;
        let sequence = match &change {
            placement::CacheEvent::Snapshot { sequence, blocks } => {
                cache.replace(*sequence, blocks);
                return false;
            }
            placement::CacheEvent::Stored { sequence, .. }
            | placement::CacheEvent::Evicted { sequence, .. } => *sequence,
        };
        if !new && sequence <= cache.sequence {
            return false;
        }
        if new || sequence > cache.sequence + 1 || cache.asked_at.is_some() {
            return cache.ask(now);
        }
        cache.sequence = sequence;
        cache.change(change);
        false
    }

    /// Returns the servers whose content is known, with the number of blocks from the start of a
    /// chain that each holds.
    pub fn depths<'a>(
        &'a self,
        chain: &'a [ids::BlockHash],
        now: ids::Timestamp,
    ) -> impl Iterator<Item = (usize, usize)> + 'a {
        let fresh = move |cache: &Cache| {
            cache.asked_at.is_none() && cache.heard_at + constants::CACHE_TTL > now
        };
        let known = self.servers.iter().filter(move |(_, cache)| fresh(cache));
        known.map(|(server, cache)| (*server, cache.depth(chain)))
    }
}

impl Cache {
    fn replace(&mut self, sequence: u64, blocks: &[ids::BlockHash]) {
        self.sequence = sequence;
        self.asked_at = None;
        self.blocks = blocks.iter().take(constants::CACHE_BLOCKS).copied().collect();
    }

    fn change(&mut self, change: placement::CacheEvent) {
        match change {
            placement::CacheEvent::Stored { blocks, .. } => {
                let room = constants::CACHE_BLOCKS.saturating_sub(self.blocks.len());
                self.blocks.extend(blocks.into_iter().take(room));
            }
            placement::CacheEvent::Evicted { blocks, .. } => {
                blocks.iter().for_each(|block| {
                    self.blocks.remove(block);
                });
            }
            placement::CacheEvent::Snapshot { .. } => {}
        }
    }

    fn ask(&mut self, now: ids::Timestamp) -> bool {
        let recent = |asked: time::Duration| asked + constants::RESYNCHRONISE_RETRY > now;
        if self.asked_at.is_some_and(recent) {
            return false;
        }
        self.asked_at = Some(now);
        true
    }

    /// A chain's block is held only with all before it, so the boundary is found by bisection.
    fn depth(&self, chain: &[ids::BlockHash]) -> usize {
        chain.partition_point(|block| self.blocks.contains(block))
    }
}
