//! Failure detection by a witness: it promises members not to accuse them, and accuses them once
//! its promises have expired.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership::record;
use crate::core::membership::roster;

/// A member that this instance is a witness of or has made a promise to.
#[derive(Debug, Clone, Default)]
struct MonitoredMember {
    /// The member must not be accused before this time.
    no_accusation_until: ids::Timestamp,
    /// The latest accusation that this instance has appended, or may have appended.
    sent_accusation: Option<SentAccusation>,
}

/// An accusation that is or may be in the log.
#[derive(Debug, Clone, Copy)]
struct SentAccusation {
    /// The offset of the member's record that the accusation refers to.
    record: ids::Offset,
    /// Whether an append of it ended without an answer, so that it may still take effect.
    is_outcome_unknown: bool,
}

/// The promises and accusations that this instance has made as a witness.
#[derive(Debug)]
pub struct FailureDetector {
    lease_with_margin: time::Duration,
    monitored: collections::Map<ids::InstanceId, MonitoredMember>,
    /// The instances that are not in the roster, and since when.
    absent: collections::Map<ids::InstanceId, ids::Timestamp>,
    /// When this process was last found to have missed ticks.
    resumed_at: ids::Timestamp,
}

impl FailureDetector {
    /// Creates the state of a witness that has made no promise.
    pub fn new(lease_with_margin: time::Duration) -> Self {
        Self {
            lease_with_margin,
            monitored: collections::Map::default(),
            absent: collections::Map::default(),
            resumed_at: ids::Timestamp::ZERO,
        }
    }

    /// Postpones all accusations, as this instance may have missed heartbeats until `now`.
    pub fn on_resume(&mut self, now: ids::Timestamp) {
        self.resumed_at = now;
    }

    /// Handles a new record of a member, which may name this instance as a witness for the first
    /// time.
    pub fn on_record(&mut self, entry: &roster::Entry, now: ids::Timestamp) {
        self.absent.remove(&entry.member.id);
        self.postpone_accusation(&entry.member.id, now);
    }

    /// Handles the removal of a member from the roster.
    pub fn on_removal(&mut self, id: &ids::InstanceId, now: ids::Timestamp) {
        self.monitored.remove(id);
        self.absent.insert(id.clone(), now);
    }

    /// Handles a heartbeat of a member that has read its own record at `record`; returns whether a
    /// promise may be made to it.
    ///
    /// No promise may be made while an accusation against that record may take effect.
    pub fn on_heartbeat(
        &mut self,
        id: &ids::InstanceId,
        record: ids::Offset,
        now: ids::Timestamp,
    ) -> bool {
        self.postpone_accusation(id, now);
        let accused = self.monitored.get(id).and_then(|monitored| monitored.sent_accusation);
        accused.is_none_or(|accused| accused.record < record)
    }

    /// Returns the accusations that are due, and marks them as sent.
    pub fn due_accusations(
        &mut self,
        own: &ids::InstanceId,
        roster: &roster::Roster,
        now: ids::Timestamp,
    ) -> Vec<record::Accusation> {
        let mut accusations = Vec::new();
        self.absent.retain(|id, _| roster.entry(id).is_none());
        self.monitored
            .retain(|id, known| known.no_accusation_until > now || roster.entry(id).is_some());
        for entry in roster.entries().iter().filter(|entry| entry.witnesses.contains(own)) {
            let monitored = self.monitored.entry(entry.member.id.clone()).or_default();
            let no_accusation_until =
                monitored.no_accusation_until.max(self.resumed_at + self.lease_with_margin);
            if now < no_accusation_until {
                continue;
            }
            let absent =
                absent_witnesses(&mut self.absent, self.lease_with_margin, entry, roster, now);
            let due = entry.bits(|id| id == own || absent.contains(id));
            if due & !entry.accused == 0 {
                continue;
            }
            let earlier =
                monitored.sent_accusation.filter(|accused| accused.record == entry.record);
            let is_outcome_unknown = earlier.is_some_and(|accused| accused.is_outcome_unknown);
            monitored.sent_accusation =
                Some(SentAccusation { record: entry.record, is_outcome_unknown });
            let member = entry.member.id.clone();
            accusations.push(record::Accusation { member, record: entry.record, absent });
        }
        accusations
    }

    /// Marks accusations whose append ended without an answer.
    pub fn set_outcome_unknown(&mut self, accusations: &[record::Accusation]) {
        for accused in self.sent_accusations(accusations).flatten() {
            accused.is_outcome_unknown = true;
        }
    }

    /// Forgets accusations that the log has refused, unless an earlier append of them may have
    /// taken effect.
    pub fn withdraw_refused(&mut self, accusations: &[record::Accusation]) {
        for accused in self.sent_accusations(accusations) {
            *accused = accused.filter(|accused| accused.is_outcome_unknown);
        }
    }

    /// Returns the sent accusations that these refer to.
    fn sent_accusations(
        &mut self,
        accusations: &[record::Accusation],
    ) -> impl Iterator<Item = &mut Option<SentAccusation>> {
        let is_accused = |id: &ids::InstanceId, known: &MonitoredMember| {
            let record = known.sent_accusation.map(|accused| accused.record);
            accusations
                .iter()
                .any(|accusation| accusation.member == *id && Some(accusation.record) == record)
        };
        let accused = self.monitored.iter_mut().filter(move |(id, known)| is_accused(id, known));
        accused.map(|(_, known)| &mut known.sent_accusation)
    }

    /// Allows no accusation of a member for a lease and its clock margin from `now`.
    fn postpone_accusation(&mut self, id: &ids::InstanceId, now: ids::Timestamp) {
        let monitored = self.monitored.entry(id.clone()).or_default();
        monitored.no_accusation_until =
            monitored.no_accusation_until.max(now + self.lease_with_margin);
    }
}

/// Returns the witnesses of a member that have been absent for so long that their promises have
/// expired: one lease until they stopped acting, and one lease for their last promise.
fn absent_witnesses(
    absent: &mut collections::Map<ids::InstanceId, ids::Timestamp>,
    lease_with_margin: time::Duration,
    entry: &roster::Entry,
    roster: &roster::Roster,
    now: ids::Timestamp,
) -> Vec<ids::InstanceId> {
    let missing = entry.witnesses.iter().filter(|id| roster.entry(id).is_none());
    missing
        .filter(|id| {
            let since = *absent.entry((*id).clone()).or_insert(now);
            now >= since + lease_with_margin + lease_with_margin
        })
        .cloned()
        .collect()
}
