//! The plain servers as this instance sees them: calls under way and signs of sickness.

use xxhash_rust::xxh3;

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler::health;

/// What is known of the plain servers.
#[derive(Debug, Default)]
pub struct Servers {
    known: collections::Map<ids::ServerId, Server>,
    freed: bool,
}

#[derive(Debug, Default)]
struct Server {
    outstanding: u32,
    health: health::Health,
}

/// A server that a call may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub id: ids::ServerId,
    /// Calls that it takes at once from this instance.
    pub slots: u32,
}

/// The server that a call is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// This one.
    Server(ids::ServerId),
    /// None yet: all have as many calls as they take.
    Busy,
}

/// How a call on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server answered.
    Answered,
    /// The server failed.
    Failed,
    /// The call was given up; this says nothing of the server.
    GivenUp,
}

impl Servers {
    /// Chooses the less loaded of two servers drawn from those that are healthy and have room;
    /// servers that the call has tried come last.
    ///
    /// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        tried: &[ids::ServerId],
        draw: u64,
        now: ids::Timestamp,
    ) -> Choice {
        let eligible = self.eligible(candidates, now);
        let free: Vec<_> = eligible.into_iter().filter(|one| self.has_room(one, now)).collect();
        let untried: Vec<_> = free.iter().filter(|one| !tried.contains(&one.id)).copied().collect();
        let pool = if untried.is_empty() { free } else { untried };
        match self.less_loaded(&pool, draw) {
            Some(chosen) => Choice::Server(chosen.id.clone()),
            None => Choice::Busy,
        }
    }

    /// Notes that a call is sent to a server.
    pub fn begin(&mut self, id: &ids::ServerId) {
        self.known.entry(id.clone()).or_default().outstanding += 1;
    }

    /// Notes that a call on a server has ended.
    pub fn end(&mut self, id: &ids::ServerId, ending: Ending, slots: u32, now: ids::Timestamp) {
        let server = self.known.entry(id.clone()).or_default();
        server.outstanding = server.outstanding.saturating_sub(1);
        self.freed = true;
        match ending {
            Ending::Answered => server.health.succeeded(now, slots),
            Ending::Failed => drop(server.health.failed(1, now)),
            Ending::GivenUp => {}
        }
    }

    /// Returns whether a call has ended since the last time this was asked.
    pub fn take_freed(&mut self) -> bool {
        std::mem::take(&mut self.freed)
    }

    /// Forgets the servers that `is_listed` does not name and that have no calls under way.
    pub fn retain<F: Fn(&ids::ServerId) -> bool>(&mut self, is_listed: F) {
        self.known.retain(|id, server| server.outstanding > 0 || is_listed(id));
    }

    /// Returns the servers that are not ejected, and ejected ones until half of all are eligible.
    fn eligible<'a>(&self, candidates: &'a [Candidate], now: ids::Timestamp) -> Vec<&'a Candidate> {
        let (mut eligible, ejected): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|one| !self.is_ejected(&one.id, now));
        let floor = candidates.len().div_ceil(2);
        let missing = floor.saturating_sub(eligible.len());
        eligible.extend(ejected.into_iter().take(missing));
        eligible
    }

    fn is_ejected(&self, id: &ids::ServerId, now: ids::Timestamp) -> bool {
        self.known.get(id).is_some_and(|server| server.health.is_ejected(now))
    }

    /// Returns whether a server takes one more call; a returning server takes few at first.
    fn has_room(&self, candidate: &Candidate, now: ids::Timestamp) -> bool {
        let Some(server) = self.known.get(&candidate.id) else { return candidate.slots > 0 };
        let allowance = server.health.allowance().filter(|_| !server.health.is_ejected(now));
        let room = allowance.map_or(candidate.slots, |allowance| allowance.min(candidate.slots));
        server.outstanding < room
    }

    fn less_loaded<'a>(&self, pool: &[&'a Candidate], draw: u64) -> Option<&'a Candidate> {
        let count = u64::try_from(pool.len()).ok().filter(|count| *count > 0)?;
        let first = draw % count;
        let second = match count {
            1 => 0,
            _ => (first + 1 + (draw >> 32) % (count - 1)) % count,
        };
        let first = pool.get(usize::try_from(first).ok()?)?;
        let second = pool.get(usize::try_from(second).ok()?)?;
        let is_second = self.outstanding(second) < self.outstanding(first);
        Some(if is_second { second } else { first })
    }

    fn outstanding(&self, candidate: &Candidate) -> u32 {
        self.known.get(&candidate.id).map_or(0, |server| server.outstanding)
    }
}

/// Draws a number for an attempt that is the same whenever it is drawn.
pub fn draw(request: ids::RequestId, attempt: ids::Attempt) -> u64 {
    xxh3::xxh3_64_with_seed(&request.to_le_bytes(), u64::from(attempt))
}
