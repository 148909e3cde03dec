//! A part of the placements for less urgent work.
//!
//! Load pattern: urgent requests alone fill a service for some seconds, and less urgent ones wait
//! beside them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::core::collections;
use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::waiting;

/// The number of placements of one priority after which a less urgent request that waits gets one: a
/// tenth of all.
const PLACEMENTS_PER_LOWER: u32 = 9;

/// The placements of each priority at a service since the last less urgent one.
#[derive(Debug, Default, Clone)]
pub struct LowerTurns {
    placements: collections::Map<(catalog::ServiceId, u8), u32>,
}

/// The requests of one priority, with their positions in the queue.
struct Level<T> {
    placements: u32,
    requests: VecDeque<(usize, T)>,
}

impl LowerTurns {
    /// Records a placement at a service where requests of `waiting` priorities wait.
    pub fn record(&mut self, service: &catalog::ServiceId, placed: u8, waiting: &BTreeSet<u8>) {
        for priority in waiting.range(..placed) {
            self.placements.insert((service.clone(), *priority), 0);
        }
        let key = (service.clone(), placed);
        if waiting.last().is_some_and(|last| *last > placed) {
            *self.placements.entry(key).or_default() += 1;
        } else {
            self.placements.remove(&key);
        }
    }

    /// Gives less urgent requests of one service their part of the order of its queue.
    fn interleave<T>(&self, service: &catalog::ServiceId, requests: Vec<(u8, T)>) -> Vec<T> {
        let mut by_priority: BTreeMap<u8, VecDeque<(usize, T)>> = BTreeMap::new();
        for (position, (priority, request)) in requests.into_iter().enumerate() {
            by_priority.entry(priority).or_default().push_back((position, request));
        }
        let levels = by_priority.into_iter().map(|(priority, requests)| {
            let placements = self.placements.get(&(service.clone(), priority));
            Level { placements: placements.copied().unwrap_or_default(), requests }
        });
        let mut levels: Vec<_> = levels.collect();
        let mut ordered = Vec::new();
        while let Some(index) = next_level(&levels) {
            for level in &mut levels[..index] {
                level.placements = 0;
            }
            let is_last = index + 1 == levels.len();
            let level = &mut levels[index];
            level.placements = if is_last { 0 } else { level.placements + 1 };
            ordered.extend(level.requests.pop_front().map(|(_, request)| request));
            levels.retain(|level| !level.requests.is_empty());
        }
        ordered
    }
}

/// Returns the level whose first request is placed next: the first in the queue of those that are not
/// behind a level which is due to a lower one.
fn next_level<T>(levels: &[Level<T>]) -> Option<usize> {
    let is_due = |level: &Level<T>| level.placements >= PLACEMENTS_PER_LOWER;
    let from = levels.iter().take_while(|level| is_due(level)).count();
    let from = from.min(levels.len().checked_sub(1)?);
    (from..levels.len())
        .min_by_key(|index| levels[*index].requests.front().map(|(position, _)| *position))
}

impl Fleet {
    /// Gives less urgent requests their part of the placements, at services where requests of several
    /// priorities wait. `queue` is in the order of priorities.
    pub(super) fn share_with_lower_priorities<'a>(
        &self,
        queue: Vec<(waiting::Waiter, &'a claim::Claim)>,
    ) -> Vec<(waiting::Waiter, &'a claim::Claim)> {
        let mut first: collections::Map<&catalog::ServiceId, u8> = collections::Map::default();
        let has_several = queue.iter().any(|(_, claim)| {
            *first.entry(&claim.service).or_insert(claim.priority) != claim.priority
        });
        if !has_several {
            return queue;
        }
        let mut by_service: collections::Map<&'a catalog::ServiceId, Vec<(u8, _)>> =
            collections::Map::default();
        for (waiter, claim) in queue {
            let requests = by_service.entry(&claim.service).or_default();
            requests.push((claim.priority, (waiter, claim)));
        }
        // The order between services is of no effect, as they share no servers.
        let ordered = by_service
            .into_iter()
            .flat_map(|(service, requests)| self.lower_turns.interleave(service, requests));
        ordered.collect()
    }
}

#[cfg(test)]
mod tests;
