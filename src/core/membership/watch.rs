//! The duties of a witness: promises to members, and accusations once promises have run out.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership::record;
use crate::core::membership::roster;

/// A member that this instance has promised something or is a witness of.
#[derive(Debug, Clone, Default)]
struct Watched {
    /// No accusation before this time.
    quiet_until: ids::Timestamp,
    /// The accusation that this instance has made or may have made.
    accused: Option<Accused>,
}

#[derive(Debug, Clone, Copy)]
struct Accused {
    /// The record of the member that the accusation refers to.
    record: ids::Offset,
    /// Whether an append of it ended without an answer.
    in_doubt: bool,
}

/// What this instance has promised and which accusations it has made.
#[derive(Debug)]
pub struct Watch {
    guard: time::Duration,
    watched: collections::Map<ids::InstanceId, Watched>,
    absent: collections::Map<ids::InstanceId, ids::Timestamp>,
    resumed_at: ids::Timestamp,
}

impl Watch {
    /// Creates the state of a witness that has promised nothing.
    ///
    /// `guard` is the lease plus the clock margin.
    pub fn new(guard: time::Duration) -> Self {
        Self {
            guard,
            watched: collections::Map::default(),
            absent: collections::Map::default(),
            resumed_at: ids::Timestamp::ZERO,
        }
    }

    /// Notes that this instance may have missed heartbeats until now.
    pub fn resume(&mut self, now: ids::Timestamp) {
        self.resumed_at = now;
    }

    /// Notes a new record of a member, which may name this instance for the first time.
    pub fn update(&mut self, entry: &roster::Entry, now: ids::Timestamp) {
        self.absent.remove(&entry.member.id);
        self.extend(&entry.member.id, now);
    }

    /// Notes that a member is none any more.
    pub fn remove(&mut self, id: &ids::InstanceId, now: ids::Timestamp) {
        self.watched.remove(id);
        self.absent.insert(id.clone(), now);
    }

    /// Notes a heartbeat of a member that has read its own record at `record`, and tells whether
    /// it may be promised anything: not if an accusation that still counts may be under way.
    pub fn hear(&mut self, id: &ids::InstanceId, record: ids::Offset, now: ids::Timestamp) -> bool {
        self.extend(id, now);
        let accused = self.watched.get(id).and_then(|watched| watched.accused);
        accused.is_none_or(|accused| accused.record < record)
    }

    /// Returns the accusations that are due, and notes them as made.
    pub fn accuse(
        &mut self,
        own: &ids::InstanceId,
        roster: &roster::Roster,
        now: ids::Timestamp,
    ) -> Vec<record::Accusation> {
        let mut accusations = Vec::new();
        self.absent.retain(|id, _| roster.entry(id).is_none());
        self.watched.retain(|id, known| known.quiet_until > now || roster.entry(id).is_some());
        for entry in roster.entries().iter().filter(|entry| entry.witnesses.contains(own)) {
            let watched = self.watched.entry(entry.member.id.clone()).or_default();
            let quiet_until = watched.quiet_until.max(self.resumed_at + self.guard);
            if now < quiet_until {
                continue;
            }
            let absent = absent_witnesses(&mut self.absent, self.guard, entry, roster, now);
            let due = entry.bits(|id| id == own || absent.contains(id));
            if due & !entry.accused == 0 {
                continue;
            }
            let earlier = watched.accused.filter(|accused| accused.record == entry.record);
            let in_doubt = earlier.is_some_and(|accused| accused.in_doubt);
            watched.accused = Some(Accused { record: entry.record, in_doubt });
            let member = entry.member.id.clone();
            accusations.push(record::Accusation { member, record: entry.record, absent });
        }
        accusations
    }

    /// Notes that an append of accusations ended without an answer.
    pub fn doubt(&mut self, accusations: &[record::Accusation]) {
        for accused in self.accused(accusations).flatten() {
            accused.in_doubt = true;
        }
    }

    /// Takes back accusations that the log has refused and that are surely not in it.
    pub fn retract(&mut self, accusations: &[record::Accusation]) {
        for accused in self.accused(accusations) {
            *accused = accused.filter(|accused| accused.in_doubt);
        }
    }

    fn accused(
        &mut self,
        accusations: &[record::Accusation],
    ) -> impl Iterator<Item = &mut Option<Accused>> {
        let is_accused = |id: &ids::InstanceId, known: &Watched| {
            let record = known.accused.map(|accused| accused.record);
            accusations
                .iter()
                .any(|accusation| accusation.member == *id && Some(accusation.record) == record)
        };
        let accused = self.watched.iter_mut().filter(move |(id, known)| is_accused(id, known));
        accused.map(|(_, known)| &mut known.accused)
    }

    fn extend(&mut self, id: &ids::InstanceId, now: ids::Timestamp) {
        let watched = self.watched.entry(id.clone()).or_default();
        watched.quiet_until = watched.quiet_until.max(now + self.guard);
    }
}

/// Returns those witnesses of a member that have been absent for so long that no promise of
/// theirs can still hold: a lease until they stopped acting and a lease of their last promise.
fn absent_witnesses(
    absent: &mut collections::Map<ids::InstanceId, ids::Timestamp>,
    guard: time::Duration,
    entry: &roster::Entry,
    roster: &roster::Roster,
    now: ids::Timestamp,
) -> Vec<ids::InstanceId> {
    let missing = entry.witnesses.iter().filter(|id| roster.entry(id).is_none());
    missing
        .filter(|id| {
            let since = *absent.entry((*id).clone()).or_insert(now);
            now >= since + guard + guard
        })
        .cloned()
        .collect()
}
