//! Derives the published view, which holds every instance that may still be valid, from the roster.

use std::sync;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership;
use crate::core::membership::constants;
use crate::core::membership::roster;

/// A member that was removed from the roster and may still act as a member.
#[derive(Debug, Clone)]
pub struct RemovedMember {
    /// The member.
    pub member: membership::Member,
    /// The time by which it has stopped acting.
    pub until: ids::Timestamp,
}

/// The published view, with the members that it holds in addition to the roster.
#[derive(Debug, Default)]
pub struct PublishedView {
    removed: Vec<RemovedMember>,
    /// Members that have announced a join or leave that the roster does not show yet.
    announced: Vec<membership::Member>,
    published: membership::SharedView,
    /// Whether the view must be derived again.
    is_stale: bool,
}

impl PublishedView {
    /// Returns the view that was last published.
    pub fn view(&self) -> &membership::SharedView {
        &self.published
    }

    /// Returns the members that were removed from the roster and may still act as members.
    pub fn removed_members(&self) -> &[RemovedMember] {
        &self.removed
    }

    /// Marks the view as out of date after a change of the roster.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Keeps a removed member in the view until its permissions have expired.
    pub fn retain_removed(&mut self, mut member: membership::Member, until: ids::Timestamp) {
        let announced = self.announced(&member.id);
        member.leaving |= announced
            .is_some_and(|announced| announced.joined == member.joined && announced.leaving);
        self.removed.retain(|removed| removed.member.id != member.id);
        self.removed.push(RemovedMember { member, until });
        self.is_stale = true;
    }

    /// Adds a member's announcement of its join or leave; returns false if there is no room for it.
    pub fn announce(&mut self, member: membership::Member) -> bool {
        self.announced.retain(|known| known.id != member.id);
        if self.announced.len() >= constants::MAX_ANNOUNCED {
            return false;
        }
        self.announced.push(member);
        self.is_stale = true;
        true
    }

    /// Returns a member's announcement that the roster does not show yet.
    pub fn announced(&self, id: &ids::InstanceId) -> Option<&membership::Member> {
        self.announced.iter().find(|member| member.id == *id)
    }

    /// Derives the view again if it is out of date; returns it if its members have changed.
    pub fn publish(
        &mut self,
        roster: &roster::Roster,
        now: ids::Timestamp,
    ) -> Option<membership::SharedView> {
        let removed = self.removed.len();
        self.removed.retain(|removed| removed.until > now);
        if !self.is_stale && self.removed.len() == removed {
            return None;
        }
        self.is_stale = false;
        self.announced.retain(|member| adds_to_roster(roster, member));
        let members = self.members(roster);
        if members == self.published.members {
            return None;
        }
        let version = roster.next().saturating_sub(1);
        self.published = sync::Arc::new(membership::View { version, members });
        Some(sync::Arc::clone(&self.published))
    }

    fn members(&self, roster: &roster::Roster) -> Vec<membership::Member> {
        let mut members: collections::Map<&ids::InstanceId, &membership::Member> =
            self.removed.iter().map(|removed| (&removed.member.id, &removed.member)).collect();
        members.extend(roster.entries().iter().map(|entry| (&entry.member.id, &entry.member)));
        members.extend(self.announced.iter().map(|member| (&member.id, member)));
        let mut members: Vec<_> = members.into_values().cloned().collect();
        members.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        members
    }
}

/// Returns whether an announcement is newer than the roster: a join that was not read yet, or a
/// leave that the member's record does not show yet.
fn adds_to_roster(roster: &roster::Roster, member: &membership::Member) -> bool {
    if member.joined >= roster.next() {
        return true;
    }
    let entry = roster.entry(&member.id);
    entry.is_some_and(|entry| entry.member.joined == member.joined && !entry.member.leaving)
        && member.leaving
}
