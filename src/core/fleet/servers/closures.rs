//! The servers that have stated in answers that they leave.

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
    pub fn is_willing(&self, _now: ids::Timestamp) -> bool {
        !self.closure.is_leaving
    }
}

impl servers::Directory {
    /// Notes that a server leaves, which holds until it starts again; returns whether that is new.
    pub fn mark_leaving(&mut self, id: &ids::ServerId, born_ms: u64, now: ids::Timestamp) -> bool {
        let life = (id.clone(), born_ms);
        let known = self.closures.0.get(&life, now).map(|(closure, _)| *closure);
        let closure = Closure { is_leaving: true };
        self.closures.0.record(life, closure, now);
        if let Some(server) = self.servers.get_mut(id).filter(|it| it.entry.born_ms == born_ms) {
            server.closure = closure;
        }
        known != Some(closure)
    }
}
