//! Maintains the records that this instance writes: its own, snapshots and accusations.

use std::sync;

use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::attempt;
use crate::core::membership::record;
use crate::core::membership::roster;

impl membership::Membership {
    /// Joins, renews or retries this instance's own record when that is due.
    pub(super) fn maintain_record(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let read_position =
            attempt::ReadPosition { next: self.roster.next(), requested_at: self.read_at };
        if self.own_records.is_pending() {
            if self.leave_by.is_none() && !self.roster.is_known() {
                return;
            }
            let token = self.next_token();
            effects.extend(self.own_records.retry(read_position, token, now, &self.settings));
            return;
        }
        if !self.has_recent_read(now) || !self.roster.is_known() || self.leave_by.is_some() {
            return;
        }
        let Some(entry) = self.own_entry() else {
            if now >= self.rejoin_at {
                self.append_own_record(record::Record::Join, now, effects);
            }
            return;
        };
        if self.is_record_due(entry, now) {
            self.append_own_record(record::Record::Renew, now, effects);
        }
    }

    /// Returns whether this instance's record must be renewed: it is old, it is wrongly accused, or
    /// the leaving flag or the witnesses have changed.
    fn is_record_due(&self, entry: &roster::Entry, now: ids::Timestamp) -> bool {
        let since = self.own_records.current_sent_at();
        let is_old = now >= since + self.settings.renew_interval;
        let is_settled = now >= since + self.settings.lease;
        let is_wrongly_accused = entry.accused != 0 && now < self.promised_until(entry, now);
        is_old
            || is_wrongly_accused
            || entry.member.leaving != self.own.leaving
            || (is_settled && entry.witnesses != self.witnesses)
    }

    /// Appends a join or renewal record with the current witnesses.
    fn append_own_record(
        &mut self,
        kind: fn(record::MemberRecord) -> record::Record,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let mut member = self.own.clone();
        member.joined = self.own_entry().map_or(0, |entry| entry.member.joined);
        let sequence = self.own_records.next_sequence();
        let witnesses = self.witnesses.clone();
        let record = kind(record::MemberRecord { member, sequence, witnesses });
        let token = self.next_token();
        effects.push(self.own_records.append(record, token, now));
    }

    /// Returns whether the log's end was read within the last lease.
    pub(super) fn has_recent_read(&self, now: ids::Timestamp) -> bool {
        self.read_at + self.settings.lease > now && self.roster.next() > 0
    }

    /// Appends a snapshot when the last one in the log is too old.
    ///
    /// The members try in the order of their ids, each one lease after the previous one. A reader
    /// that finds neither the first record, nor a snapshot, nor the record of a member starts an
    /// empty fleet.
    pub(super) fn maintain_snapshot(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let read_position =
            attempt::ReadPosition { next: self.roster.next(), requested_at: self.read_at };
        if let Some(attempt) = &mut self.snapshot_append {
            if !attempt.is_finished(read_position, now, &self.settings) {
                return;
            }
            self.snapshot_append = None;
        }
        if !self.has_recent_read(now) || !self.is_snapshot_due() {
            self.snapshot_due_since = None;
            return;
        }
        let entries = self.roster.entries().iter();
        let rank = entries.take_while(|entry| entry.member.id < self.own.id).count();
        let wait = self.settings.lease * u32::try_from(rank).unwrap_or(u32::MAX);
        if now >= *self.snapshot_due_since.get_or_insert(now) + wait {
            let token = self.next_token();
            let body = record::encode(&record::Record::Snapshot(self.roster.snapshot()));
            self.snapshot_append = Some(attempt::AppendAttempt::new(token, now));
            effects.push(membership::Effect::Append { token, body });
        }
    }

    fn is_snapshot_due(&self) -> bool {
        if self.roster.is_known() {
            return self.own_entry().is_some()
                && self.roster.is_snapshot_due(self.settings.renew_interval);
        }
        self.roster.has_no_valid_member()
    }

    /// Accuses members to whom this witness's promises have expired, if it has recently read the
    /// log.
    pub(super) fn accuse_members(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let read_position =
            attempt::ReadPosition { next: self.roster.next(), requested_at: self.read_at };
        if let Some(pending) = &mut self.pending_accusations {
            if !pending.attempt.is_finished(read_position, now, &self.settings) {
                return;
            }
            self.pending_accusations = None;
        }
        if now >= self.lease.read_until() || self.leave_by.is_some() {
            return;
        }
        let Some(joined) = self.own_entry().map(|entry| entry.member.joined) else { return };
        let accusations = self.detector.due_accusations(&self.own.id, &self.roster, now);
        if accusations.is_empty() {
            return;
        }
        let token = self.next_token();
        let body = record::encode(&record::Record::Accuse {
            witness: self.own.id.clone(),
            joined,
            read: self.roster.next(),
            accusations: accusations.clone(),
        });
        self.pending_accusations = Some(membership::PendingAccusations {
            attempt: attempt::AppendAttempt::new(token, now),
            accusations,
        });
        effects.push(membership::Effect::Append { token, body });
    }

    /// Handles the outcome of an append.
    pub(super) fn on_appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        now: ids::Timestamp,
    ) {
        self.own_records.set_outcome(token, outcome, now);
        if let Some(attempt) = self.snapshot_append.as_mut().filter(|known| known.token() == token)
        {
            attempt.set_outcome(outcome, now);
        }
        let pending = self.pending_accusations.as_mut();
        let pending = pending.filter(|pending| pending.attempt.token() == token);
        let Some(pending) = pending else { return };
        pending.attempt.set_outcome(outcome, now);
        match outcome {
            log::AppendOutcome::At(_) => {}
            log::AppendOutcome::Refused => self.detector.withdraw_refused(&pending.accusations),
            log::AppendOutcome::Unknown => self.detector.set_outcome_unknown(&pending.accusations),
        }
    }

    /// Marks this instance as leaving in its own view, and announces it to the other members.
    pub(super) fn drain(&mut self, effects: &mut Vec<membership::Effect>) {
        self.own.leaving = true;
        let Some(entry) = self.own_entry() else { return };
        let mut own = entry.member.clone();
        own.leaving = true;
        self.published_view.announce(own);
        let view = sync::Arc::clone(self.published_view.view());
        for member in view.members.iter().filter(|member| member.id != self.own.id) {
            self.announce(member, effects);
        }
    }

    /// Ends the validity of this instance, then appends its leave record.
    pub(super) fn leave(&mut self, now: ids::Timestamp, effects: &mut Vec<membership::Effect>) {
        if self.leave_by.is_some() {
            return;
        }
        self.leave_by = Some(now + self.settings.leave_timeout);
        self.is_admitted = false;
        self.report_validity(now, effects);
        if self.own_records.is_empty() {
            return;
        }
        let id = self.own.id.clone();
        let incarnation = self.own.incarnation;
        let sequence = self.own_records.next_sequence();
        let token = self.next_token();
        let record = record::Record::Leave { id, incarnation, sequence };
        effects.push(self.own_records.append(record, token, now));
    }

    /// Reports the leave as finished once its record is in the log or the leave has timed out.
    pub(super) fn finish_leave(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let Some(leave_by) = self.leave_by.filter(|_| !self.is_leave_reported) else { return };
        if self.own_records.is_appended() || now >= leave_by {
            self.is_leave_reported = true;
            effects.push(membership::Effect::LeaveFinished);
        }
    }
}
