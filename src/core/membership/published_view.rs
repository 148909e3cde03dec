//! Derives the published view from the roster: it holds every instance that may still be valid.

use std::sync;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership;
use crate::core::membership::constants;
use crate::core::membership::roster;

/// A member that was removed and may not have noticed yet.
#[derive(Debug, Clone)]
pub struct Departing {
    /// The member.
    pub member: membership::Member,
    /// When it has surely stopped acting.
    pub until: ids::Timestamp,
}

/// The published view and what it adds to the roster.
#[derive(Debug, Default)]
pub struct Outlook {
    departing: Vec<Departing>,
    announced: Vec<membership::Member>,
    published: membership::SharedView,
    is_stale: bool,
}

impl Outlook {
    /// Returns the published view.
    pub fn view(&self) -> &membership::SharedView {
        &self.published
    }

    /// Returns the members that were removed and may not have noticed yet.
    pub fn departing(&self) -> &[Departing] {
        &self.departing
    }

    /// Notes that the roster has changed.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Keeps a removed member in the view until its permissions have run out.
    pub fn depart(&mut self, mut member: membership::Member, until: ids::Timestamp) {
        let announced = self.announced(&member.id);
        member.leaving |= announced
            .is_some_and(|announced| announced.joined == member.joined && announced.leaving);
        self.departing.retain(|departing| departing.member.id != member.id);
        self.departing.push(Departing { member, until });
        self.is_stale = true;
    }

    /// Takes in what a member tells of itself; false if there is no room for it.
    pub fn announce(&mut self, member: membership::Member) -> bool {
        self.announced.retain(|known| known.id != member.id);
        if self.announced.len() >= constants::MAX_ANNOUNCED {
            return false;
        }
        self.announced.push(member);
        self.is_stale = true;
        true
    }

    /// Returns what this member has told of itself and the roster does not show yet.
    pub fn announced(&self, id: &ids::InstanceId) -> Option<&membership::Member> {
        self.announced.iter().find(|member| member.id == *id)
    }

    /// Derives the view again and returns it if its members have changed.
    pub fn publish(
        &mut self,
        roster: &roster::Roster,
        now: ids::Timestamp,
    ) -> Option<membership::SharedView> {
        let departing = self.departing.len();
        self.departing.retain(|departing| departing.until > now);
        if !self.is_stale && self.departing.len() == departing {
            return None;
        }
        self.is_stale = false;
        self.announced.retain(|member| is_news(roster, member));
        let members = self.members(roster);
        if members == self.published.members {
            return None;
        }
        let version = roster.next().saturating_sub(1);
        self.published = sync::Arc::new(membership::View { version, members });
        Some(sync::Arc::clone(&self.published))
    }

    fn members(&self, roster: &roster::Roster) -> Vec<membership::Member> {
        let mut members: collections::Map<&ids::InstanceId, &membership::Member> = self
            .departing
            .iter()
            .map(|departing| (&departing.member.id, &departing.member))
            .collect();
        members.extend(roster.entries().iter().map(|entry| (&entry.member.id, &entry.member)));
        members.extend(self.announced.iter().map(|member| (&member.id, member)));
        let mut members: Vec<_> = members.into_values().cloned().collect();
        members.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        members
    }
}

/// Tells whether an announcement says more than the roster: a join not read yet, or a departure
/// that is not on record yet.
fn is_news(roster: &roster::Roster, member: &membership::Member) -> bool {
    if member.joined >= roster.next() {
        return true;
    }
    let entry = roster.entry(&member.id);
    entry.is_some_and(|entry| entry.member.joined == member.joined && !entry.member.leaving)
        && member.leaving
}
