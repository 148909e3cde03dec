//! Appends this process's join, renewal and leave records, one at a time, and retries each until it
//! is in the log.

use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::attempt;
use crate::core::membership::record;
use crate::core::membership::settings;

/// A record whose append is not confirmed by reading it back.
#[derive(Debug)]
struct Pending {
    record: record::Record,
    /// When the record was first sent.
    sent_at: ids::Timestamp,
    attempt: attempt::AppendAttempt,
}

/// The membership records of this process.
#[derive(Debug, Default)]
pub struct OwnRecords {
    /// The number of the latest record.
    sequence: u64,
    pending: Option<Pending>,
    /// When the record that the roster shows was first sent.
    current_sent_at: ids::Timestamp,
}

impl OwnRecords {
    /// Returns the number of the next record.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns whether no record was ever appended.
    pub fn is_empty(&self) -> bool {
        self.sequence == 0
    }

    /// Returns whether a record is pending.
    pub fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns when the record that the roster shows for this process was first sent.
    pub fn current_sent_at(&self) -> ids::Timestamp {
        self.current_sent_at
    }

    /// Returns the witnesses that the pending record names; it may already be in the log.
    pub fn pending_witnesses(&self) -> Option<&[ids::InstanceId]> {
        match &self.pending.as_ref()?.record {
            record::Record::Join(own) | record::Record::Renew(own) => Some(&own.witnesses),
            _ => None,
        }
    }

    /// Appends a record in place of the pending one, which its higher number supersedes.
    pub fn append(
        &mut self,
        record: record::Record,
        token: ids::AppendToken,
        now: ids::Timestamp,
    ) -> membership::Effect {
        let body = record::encode(&record);
        let attempt = attempt::AppendAttempt::new(token, now);
        self.pending = Some(Pending { record, sent_at: now, attempt });
        membership::Effect::Append { token, body }
    }

    /// Sets the outcome of an append of the pending record.
    pub fn set_outcome(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        now: ids::Timestamp,
    ) {
        let pending = self.pending.as_mut();
        if let Some(pending) = pending.filter(|pending| pending.attempt.token() == token) {
            pending.attempt.set_outcome(outcome, now);
        }
    }

    /// Confirms the pending record once the roster has applied it; `sequence` is the highest number
    /// of this process's records that the roster has applied.
    pub fn set_latest_read(&mut self, sequence: Option<u64>) {
        if sequence >= Some(self.sequence)
            && let Some(pending) = self.pending.take()
        {
            self.current_sent_at = pending.sent_at;
        }
    }

    /// Discards the pending record, as the membership that it renews has ended.
    pub fn discard_pending(&mut self) {
        self.pending = None;
    }

    /// Returns whether the log has confirmed the pending record, or there is none.
    pub fn is_appended(&self) -> bool {
        self.pending.as_ref().is_none_or(|pending| pending.attempt.is_appended())
    }

    /// Appends the pending record again if its last append is finished and the roster does not show
    /// it.
    pub fn retry(
        &mut self,
        read_position: attempt::ReadPosition,
        token: ids::AppendToken,
        now: ids::Timestamp,
        settings: &settings::Settings,
    ) -> Option<membership::Effect> {
        let pending = self.pending.as_mut()?;
        if !pending.attempt.is_finished(read_position, now, settings) {
            return None;
        }
        pending.attempt = attempt::AppendAttempt::new(token, now);
        Some(membership::Effect::Append { token, body: record::encode(&pending.record) })
    }
}
