//! Appends this instance's own join, renewal and leave records, one at a time, until each stands.

use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::attempt;
use crate::core::membership::record;
use crate::core::membership::settings;

/// A record that may or may not stand in the log.
#[derive(Debug)]
struct Pending {
    record: record::Record,
    sent_at: ids::Timestamp,
    attempt: attempt::Attempt,
}

/// The records of this process.
#[derive(Debug, Default)]
pub struct Journal {
    sequence: u64,
    pending: Option<Pending>,
    standing_since: ids::Timestamp,
}

impl Journal {
    /// Returns the number of the next record.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Tells whether no record was ever appended.
    pub fn is_empty(&self) -> bool {
        self.sequence == 0
    }

    /// Tells whether a record is pending.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns when the record was first sent that made this instance the member it is.
    pub fn standing_since(&self) -> ids::Timestamp {
        self.standing_since
    }

    /// Returns the witnesses that the pending record names, as it may already stand.
    pub fn pending_witnesses(&self) -> Option<&[ids::InstanceId]> {
        match &self.pending.as_ref()?.record {
            record::Record::Join(own) | record::Record::Renew(own) => Some(&own.witnesses),
            _ => None,
        }
    }

    /// Appends a record in place of the pending one, which its number makes void.
    pub fn propose(
        &mut self,
        record: record::Record,
        token: ids::AppendToken,
        now: ids::Timestamp,
    ) -> membership::Effect {
        let body = record::encode(&record);
        let attempt = attempt::Attempt::new(token, now);
        self.pending = Some(Pending { record, sent_at: now, attempt });
        membership::Effect::Append { token, body }
    }

    /// Notes the log's answer to an append.
    pub fn answer(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        now: ids::Timestamp,
    ) {
        let pending = self.pending.as_mut();
        if let Some(pending) = pending.filter(|pending| pending.attempt.token() == token) {
            pending.attempt.answer(outcome, now);
        }
    }

    /// Notes the highest number among this process's records that the roster has taken in.
    pub fn resolve(&mut self, sequence: Option<u64>) {
        if sequence >= Some(self.sequence)
            && let Some(pending) = self.pending.take()
        {
            self.standing_since = pending.sent_at;
        }
    }

    /// Forgets a pending record, since the membership that it was to renew has ended.
    pub fn abandon(&mut self) {
        self.pending = None;
    }

    /// Tells whether the log has taken the pending record, or there is none.
    pub fn stands(&self) -> bool {
        self.pending.as_ref().is_none_or(|pending| pending.attempt.stands())
    }

    /// Appends the pending record again if its last append is over and the roster lacks it.
    pub fn retry(
        &mut self,
        reading: attempt::Reading,
        token: ids::AppendToken,
        now: ids::Timestamp,
        settings: &settings::Settings,
    ) -> Option<membership::Effect> {
        let pending = self.pending.as_mut()?;
        if !pending.attempt.is_over(reading, now, settings) {
            return None;
        }
        pending.attempt = attempt::Attempt::new(token, now);
        Some(membership::Effect::Append { token, body: record::encode(&pending.record) })
    }
}
