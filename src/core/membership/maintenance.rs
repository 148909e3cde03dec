//! Keeps this instance's records in the log right: its own, snapshots and accusations.

use std::sync;

use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::attempt;
use crate::core::membership::record;
use crate::core::membership::roster;

impl membership::Membership {
    /// Keeps this instance's record in the log right.
    pub(super) fn maintain_record(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let reading = attempt::Reading { next: self.roster.next(), requested_at: self.read_at };
        if self.journal.is_pending() {
            if self.leave_by.is_none() && !self.roster.is_known() {
                return;
            }
            let token = self.next_token();
            effects.extend(self.journal.retry(reading, token, now, &self.settings));
            return;
        }
        if !self.has_read(now) || !self.roster.is_known() || self.leave_by.is_some() {
            return;
        }
        let Some(entry) = self.entry() else {
            if now >= self.rejoin_at {
                self.describe(record::Record::Join, now, effects);
            }
            return;
        };
        if self.is_record_due(entry, now) {
            self.describe(record::Record::Renew, now, effects);
        }
    }

    fn is_record_due(&self, entry: &roster::Entry, now: ids::Timestamp) -> bool {
        let since = self.journal.standing_since();
        let is_old = now >= since + self.settings.renew_interval;
        let is_settled = now >= since + self.settings.lease;
        let is_wrongly_accused = entry.accused != 0 && now < self.promised_until(entry, now);
        is_old
            || is_wrongly_accused
            || entry.member.leaving != self.own.leaving
            || (is_settled && entry.witnesses != self.witnesses)
    }

    fn describe(
        &mut self,
        kind: fn(record::MemberRecord) -> record::Record,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let mut member = self.own.clone();
        member.joined = self.entry().map_or(0, |entry| entry.member.joined);
        let sequence = self.journal.next_sequence();
        let witnesses = self.witnesses.clone();
        let record = kind(record::MemberRecord { member, sequence, witnesses });
        let token = self.next_token();
        effects.push(self.journal.propose(record, token, now));
    }

    /// Tells whether the log's tail was read within a lease.
    pub(super) fn has_read(&self, now: ids::Timestamp) -> bool {
        self.read_at + self.settings.lease > now && self.roster.next() > 0
    }

    /// Keeps a recent snapshot in the log.
    ///
    /// The members take the duty in the order of their ids, a lease after one another. A reader
    /// that finds neither the first record, nor a snapshot, nor the record of a member starts an
    /// empty fleet.
    pub(super) fn maintain_snapshot(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let reading = attempt::Reading { next: self.roster.next(), requested_at: self.read_at };
        if let Some(attempt) = &mut self.snapshot {
            if !attempt.is_over(reading, now, &self.settings) {
                return;
            }
            self.snapshot = None;
        }
        if !self.has_read(now) || !self.is_snapshot_due() {
            self.snapshot_due = None;
            return;
        }
        let entries = self.roster.entries().iter();
        let rank = entries.take_while(|entry| entry.member.id < self.own.id).count();
        let wait = self.settings.lease * u32::try_from(rank).unwrap_or(u32::MAX);
        if now >= *self.snapshot_due.get_or_insert(now) + wait {
            let token = self.next_token();
            let body = record::encode(&record::Record::Snapshot(self.roster.snapshot()));
            self.snapshot = Some(attempt::Attempt::new(token, now));
            effects.push(membership::Effect::Append { token, body });
        }
    }

    fn is_snapshot_due(&self) -> bool {
        if self.roster.is_known() {
            return self.entry().is_some()
                && self.roster.is_snapshot_due(self.settings.renew_interval);
        }
        self.roster.is_orphaned()
    }

    /// Accuses members whose promises have run out, as a witness that reads the log.
    pub(super) fn accuse(&mut self, now: ids::Timestamp, effects: &mut Vec<membership::Effect>) {
        let reading = attempt::Reading { next: self.roster.next(), requested_at: self.read_at };
        if let Some(accusation) = &mut self.accusation {
            if !accusation.attempt.is_over(reading, now, &self.settings) {
                return;
            }
            self.accusation = None;
        }
        if now >= self.lease.read_until() || self.leave_by.is_some() {
            return;
        }
        let Some(joined) = self.entry().map(|entry| entry.member.joined) else { return };
        let accusations = self.watch.accuse(&self.own.id, &self.roster, now);
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
        self.accusation = Some(membership::PendingAccusations {
            attempt: attempt::Attempt::new(token, now),
            accusations,
        });
        effects.push(membership::Effect::Append { token, body });
    }

    /// Takes in the log's answer to an append.
    pub(super) fn appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        now: ids::Timestamp,
    ) {
        self.journal.answer(token, outcome, now);
        if let Some(attempt) = self.snapshot.as_mut().filter(|known| known.token() == token) {
            attempt.answer(outcome, now);
        }
        let accusation = self.accusation.as_mut();
        let accusation = accusation.filter(|accusation| accusation.attempt.token() == token);
        let Some(accusation) = accusation else { return };
        accusation.attempt.answer(outcome, now);
        match outcome {
            log::AppendOutcome::At(_) => {}
            log::AppendOutcome::Refused => self.watch.retract(&accusation.accusations),
            log::AppendOutcome::Unknown => self.watch.doubt(&accusation.accusations),
        }
    }

    /// Shows this instance as leaving, in its own view first.
    pub(super) fn drain(&mut self, effects: &mut Vec<membership::Effect>) {
        self.own.leaving = true;
        let Some(entry) = self.entry() else { return };
        let mut own = entry.member.clone();
        own.leaving = true;
        self.outlook.announce(own);
        let view = sync::Arc::clone(self.outlook.view());
        for member in view.members.iter().filter(|member| member.id != self.own.id) {
            self.announce(member, effects);
        }
    }

    /// Ends the validity of this instance, then appends its leave.
    pub(super) fn leave(&mut self, now: ids::Timestamp, effects: &mut Vec<membership::Effect>) {
        if self.leave_by.is_some() {
            return;
        }
        self.leave_by = Some(now + self.settings.leave_timeout);
        self.is_admitted = false;
        self.report(now, effects);
        if self.journal.is_empty() {
            return;
        }
        let id = self.own.id.clone();
        let incarnation = self.own.incarnation;
        let sequence = self.journal.next_sequence();
        let token = self.next_token();
        let record = record::Record::Leave { id, incarnation, sequence };
        effects.push(self.journal.propose(record, token, now));
    }

    /// Reports the leave once it stands or has taken too long.
    pub(super) fn finish_leave(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let Some(leave_by) = self.leave_by.filter(|_| !self.has_left) else { return };
        if self.journal.stands() || now >= leave_by {
            self.has_left = true;
            effects.push(membership::Effect::LeaveFinished);
        }
    }
}
