//! The servers that have stated that they leave, or in answers that they want a pause.

use std::time;

use crate::core::fleet::recent;
use crate::core::fleet::servers;
use crate::core::ids;

/// The time for which it is remembered what a server has asked for, as its entry may be removed and
/// listed again.
const RETENTION: time::Duration = time::Duration::from_secs(3_600);

/// The maximum number of servers of which it is remembered.
const MAX_CLOSURES: usize = 4_096;

/// What a server has asked for since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Closure {
    /// It leaves.
    pub(super) is_leaving: bool,
    /// When it takes requests of this instance again.
    pub(super) paused_until: ids::Timestamp,
}

/// What servers have asked for, by their lives.
#[derive(Debug)]
pub(super) struct Closures(recent::RecentMap<(ids::ServerId, u64), Closure>);

impl Default for Closures {
    fn default() -> Self {
        Self(recent::RecentMap::new(RETENTION, MAX_CLOSURES))
    }
}

impl Closures {
    /// Returns what the server of an entry has asked for.
    pub(super) fn of(&self, entry: &servers::Entry, now: ids::Timestamp) -> Closure {
        let known = self.0.get(&(entry.id.clone(), entry.born_ms), now);
        known.map(|(closure, _)| *closure).unwrap_or_default()
    }
}

impl servers::Server {
    /// Returns whether the server takes more requests of this instance, as far as its answers tell.
    pub fn is_willing(&self, now: ids::Timestamp) -> bool {
        !self.closure.is_leaving && self.pause(now).is_zero()
    }

    /// Returns the time until the server takes requests of this instance again.
    pub fn pause(&self, now: ids::Timestamp) -> time::Duration {
        self.closure.paused_until.saturating_sub(now)
    }
}

impl servers::Directory {
    /// Notes that a server leaves, which holds until it starts again; returns whether that is new.
    pub fn mark_leaving(&mut self, id: &ids::ServerId, born_ms: u64, now: ids::Timestamp) -> bool {
        let closure = self.closure_of(id, born_ms, now);
        self.close(id, born_ms, Closure { is_leaving: true, ..closure }, now);
        !closure.is_leaving
    }

    /// Notes that an entry states that its server drains. An entry of the same life that does not is
    /// from an older copy of the store, even if its position is higher.
    pub(super) fn remember_draining(&mut self, entry: &servers::Entry, now: ids::Timestamp) {
        // Without the start of its process, the next incarnation could not be told apart.
        if entry.born_ms != 0 {
            self.mark_leaving(&entry.id, entry.born_ms, now);
        }
    }

    /// Pauses a server for requests of this instance until a time, unless a longer pause holds.
    pub fn pause(
        &mut self,
        id: &ids::ServerId,
        born_ms: u64,
        until: ids::Timestamp,
        now: ids::Timestamp,
    ) {
        let closure = self.closure_of(id, born_ms, now);
        let paused_until = closure.paused_until.max(until);
        self.close(id, born_ms, Closure { paused_until, ..closure }, now);
    }

    fn closure_of(&self, id: &ids::ServerId, born_ms: u64, now: ids::Timestamp) -> Closure {
        let known = self.closures.0.get(&(id.clone(), born_ms), now);
        known.map(|(closure, _)| *closure).unwrap_or_default()
    }

    fn close(&mut self, id: &ids::ServerId, born_ms: u64, closure: Closure, now: ids::Timestamp) {
        self.closures.0.record((id.clone(), born_ms), closure, now);
        if let Some(server) = self.servers.get_mut(id).filter(|it| it.entry.born_ms == born_ms) {
            server.closure = closure;
        }
    }
}
