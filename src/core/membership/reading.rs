//! Applies the membership stream and the consequences of its records for this instance.

use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::constants;
use crate::core::membership::roster;
use crate::core::membership::witnesses;

impl membership::Membership {
    /// Handles a batch of the membership stream.
    pub(super) fn on_read(&mut self, batch: &log::Batch, now: ids::Timestamp) {
        let mut changes = Vec::new();
        let next = self.roster.next();
        if next < batch.first {
            self.own_joins_from = batch.next;
        }
        let is_at_tail = self.roster.apply_batch(batch, &mut changes);
        if self.roster.next() != next {
            self.published_view.invalidate();
        }
        let has_lost = self.has_lost_membership(&changes);
        for change in &changes {
            self.apply_change(change, now);
        }
        if has_lost && self.own_entry().is_none() && self.leave_by.is_none() {
            self.own_records.discard_pending();
        }
        if !changes.is_empty() {
            let members = self.roster.entries().iter().map(|entry| &entry.member);
            let limit = self.settings.max_witnesses;
            self.witnesses = witnesses::choose(&self.own.id, members, limit);
        }
        if is_at_tail {
            self.read_at = self.read_at.max(batch.requested_at);
        }
        if is_at_tail && self.own_entry().is_some() {
            self.lease.extend_by_read(batch.requested_at);
        }
        self.own_records.set_latest_read(self.roster.sequence(&self.own.id, self.own.incarnation));
    }

    /// Returns whether these changes ended a membership of this process.
    fn has_lost_membership(&self, changes: &[roster::Change]) -> bool {
        changes.iter().any(|change| match change {
            roster::Change::Removed(entry, _) => {
                entry.member.id == self.own.id && entry.member.incarnation == self.own.incarnation
            }
            roster::Change::Updated(_) => false,
        })
    }

    /// Passes a change of the roster on to the failure detector and the view.
    fn apply_change(&mut self, change: &roster::Change, now: ids::Timestamp) {
        match change {
            roster::Change::Updated(id) => {
                if let Some(entry) = self.roster.entry(id) {
                    self.detector.on_record(entry, now);
                }
            }
            roster::Change::Removed(entry, cause) => {
                let member = &entry.member;
                self.detector.on_removal(&member.id, now);
                if *cause != roster::Cause::Left {
                    self.published_view
                        .retain_removed(member.clone(), now + self.settings.lease_with_margin());
                }
                if member.id == self.own.id && member.incarnation == self.own.incarnation {
                    self.on_own_removal(now);
                }
            }
        }
    }

    /// Drops all permissions after this process was removed, and schedules the next join.
    ///
    /// The delay doubles with each removal that follows another one.
    fn on_own_removal(&mut self, now: ids::Timestamp) {
        self.lease.clear();
        self.welcomed_by.clear();
        self.is_admitted = false;
        let doublings = self.consecutive_removals.min(constants::MAX_REJOIN_DOUBLINGS);
        self.rejoin_at = now + self.settings.lease * (1 << doublings);
        self.consecutive_removals += 1;
    }
}
