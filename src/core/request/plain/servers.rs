//! The plain servers from this instance's view: outstanding calls and health.

use xxhash_rust::xxh3;

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler::health;

/// The outstanding calls and the health of all plain servers.
#[derive(Debug, Default)]
pub struct Servers {
    servers: collections::Map<ids::ServerId, Server>,
    released: bool,
}

#[derive(Debug, Default)]
struct Server {
    outstanding: u32,
    health: health::Health,
}

/// A server that a call may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The server's id.
    pub id: ids::ServerId,
    /// The most calls that this instance sends to it at the same time.
    pub slots: u32,
}

/// The result of choosing a server for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// The call is sent to this server.
    Server(ids::ServerId),
    /// No server has capacity at the moment.
    AllBusy,
}

/// How a call on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server answered.
    Answered,
    /// The server failed.
    Failed,
    /// The call was abandoned for a reason that is independent of the server.
    Abandoned,
}

impl Servers {
    /// Chooses the less loaded of two random servers that are healthy and have capacity. Servers
    /// that the call has tried are used only if there are no others.
    ///
    /// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        tried_servers: &[ids::ServerId],
        draw: u64,
        now: ids::Timestamp,
    ) -> Choice {
        let eligible = self.eligible(candidates, now);
        let free: Vec<_> = eligible.into_iter().filter(|one| self.has_capacity(one, now)).collect();
        let untried: Vec<_> =
            free.iter().filter(|one| !tried_servers.contains(&one.id)).copied().collect();
        let pool = if untried.is_empty() { free } else { untried };
        match self.less_loaded(&pool, draw) {
            Some(chosen) => Choice::Server(chosen.id.clone()),
            None => Choice::AllBusy,
        }
    }

    /// Records that a call is sent to a server.
    pub fn begin(&mut self, id: &ids::ServerId) {
        self.servers.entry(id.clone()).or_default().outstanding += 1;
    }

    /// Records that a call on a server has ended.
    pub fn end(&mut self, id: &ids::ServerId, ending: Ending, slots: u32, now: ids::Timestamp) {
        let server = self.servers.entry(id.clone()).or_default();
        server.outstanding = server.outstanding.saturating_sub(1);
        self.released = true;
        match ending {
            Ending::Answered => server.health.succeeded(now, slots),
            Ending::Failed => drop(server.health.failed(1, now)),
            Ending::Abandoned => {}
        }
    }

    /// Returns whether a call has ended since the last call of this method.
    pub fn take_released(&mut self) -> bool {
        std::mem::take(&mut self.released)
    }

    /// Drops the servers that `is_listed` does not accept and that have no outstanding calls.
    pub fn retain<F: Fn(&ids::ServerId) -> bool>(&mut self, is_listed: F) {
        self.servers.retain(|id, server| server.outstanding > 0 || is_listed(id));
    }

    /// Returns the servers that are not ejected. If they are less than half of all, ejected ones
    /// are added up to half.
    fn eligible<'a>(&self, candidates: &'a [Candidate], now: ids::Timestamp) -> Vec<&'a Candidate> {
        let (mut eligible, ejected): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|one| !self.is_ejected(&one.id, now));
        let floor = candidates.len().div_ceil(2);
        let missing = floor.saturating_sub(eligible.len());
        eligible.extend(ejected.into_iter().take(missing));
        eligible
    }

    fn is_ejected(&self, id: &ids::ServerId, now: ids::Timestamp) -> bool {
        self.servers.get(id).is_some_and(|server| server.health.is_ejected(now))
    }

    /// Returns whether a server has capacity for one more call. A server that is readmitted after
    /// an ejection has a small allowance at first.
    fn has_capacity(&self, candidate: &Candidate, now: ids::Timestamp) -> bool {
        let Some(server) = self.servers.get(&candidate.id) else { return candidate.slots > 0 };
        let allowance = server.health.allowance().filter(|_| !server.health.is_ejected(now));
        let capacity =
            allowance.map_or(candidate.slots, |allowance| allowance.min(candidate.slots));
        server.outstanding < capacity
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
        self.servers.get(&candidate.id).map_or(0, |server| server.outstanding)
    }
}

/// Returns a pseudo-random number for an attempt, the same at each call.
pub fn draw(request: ids::RequestId, attempt: ids::Attempt) -> u64 {
    xxh3::xxh3_64_with_seed(&request.to_le_bytes(), u64::from(attempt))
}
