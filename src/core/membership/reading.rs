//! Follows the membership stream and what its records change for this instance.

use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::constants;
use crate::core::membership::roster;
use crate::core::membership::witnesses;

impl membership::Membership {
    /// Takes in a batch of the membership stream.
    pub(super) fn read(&mut self, batch: &log::Batch, now: ids::Timestamp) {
        let mut changes = Vec::new();
        let next = self.roster.next();
        if next < batch.first {
            self.known_from = batch.next;
        }
        let is_at_tail = self.roster.read(batch, &mut changes);
        if self.roster.next() != next {
            self.outlook.invalidate();
        }
        let has_lost = self.has_lost_membership(&changes);
        for change in &changes {
            self.follow(change, now);
        }
        if has_lost && self.entry().is_none() && self.leave_by.is_none() {
            self.journal.abandon();
        }
        if !changes.is_empty() {
            let members = self.roster.entries().iter().map(|entry| &entry.member);
            let limit = self.settings.max_witnesses;
            self.witnesses = witnesses::choose(&self.own.id, members, limit);
        }
        if is_at_tail {
            self.read_at = self.read_at.max(batch.requested_at);
        }
        if is_at_tail && self.entry().is_some() {
            self.lease.confirm(batch.requested_at);
        }
        self.journal.resolve(self.roster.sequence(&self.own.id, self.own.incarnation));
    }

    /// Tells whether these changes ended a membership of this process.
    fn has_lost_membership(&self, changes: &[roster::Change]) -> bool {
        changes.iter().any(|change| match change {
            roster::Change::Removed(entry, _) => {
                entry.member.id == self.own.id && entry.member.incarnation == self.own.incarnation
            }
            roster::Change::Updated(_) => false,
        })
    }

    fn follow(&mut self, change: &roster::Change, now: ids::Timestamp) {
        match change {
            roster::Change::Updated(id) => {
                if let Some(entry) = self.roster.entry(id) {
                    self.watch.update(entry, now);
                }
            }
            roster::Change::Removed(entry, cause) => {
                let member = &entry.member;
                self.watch.remove(&member.id, now);
                if *cause != roster::Cause::Left {
                    self.outlook.depart(member.clone(), now + self.settings.guard());
                }
                if member.id == self.own.id && member.incarnation == self.own.incarnation {
                    self.removed(now);
                }
            }
        }
    }

    /// Gives up everything that this instance held as a member.
    fn removed(&mut self, now: ids::Timestamp) {
        self.lease.clear();
        self.welcomed.clear();
        self.is_admitted = false;
        let doublings = self.evictions.min(constants::MAX_REJOIN_DOUBLINGS);
        self.rejoin_at = now + self.settings.lease * (1 << doublings);
        self.evictions += 1;
    }
}
