//! Batches claims and releases, and appends each batch to the log as one record.

use std::time;

use crate::core::claims;
use crate::core::claims::constants;
use crate::core::claims::record;
use crate::core::collections;
use crate::core::ids;
use crate::core::log;

/// The claims and releases that wait to be appended, and the append in flight.
#[derive(Debug)]
pub struct Committer {
    incarnation: ids::Incarnation,
    interval: time::Duration,
    claims: Vec<record::Claim>,
    releases: Vec<u64>,
    in_flight: Option<InFlight>,
    awaiting_read: collections::Set<u64>,
    appended_at: Option<ids::Timestamp>,
    retry_at: ids::Timestamp,
    next_token: ids::AppendToken,
}

#[derive(Debug)]
struct InFlight {
    token: ids::AppendToken,
    sent_at: ids::Timestamp,
    record: record::Record,
}

impl Committer {
    /// Creates a committer with nothing to commit.
    pub fn new(incarnation: ids::Incarnation) -> Self {
        Self {
            incarnation,
            interval: constants::MIN_APPEND_INTERVAL,
            claims: Vec::new(),
            releases: Vec::new(),
            in_flight: None,
            awaiting_read: collections::Set::default(),
            appended_at: None,
            retry_at: ids::Timestamp::ZERO,
            next_token: 1,
        }
    }

    /// Sets the append interval so that all instances together stay within the append rate of the
    /// fleet.
    pub fn set_fleet_size(&mut self, members: usize) {
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        let share = time::Duration::from_secs(1) * members / constants::FLEET_APPENDS_PER_S;
        self.interval = share.max(constants::MIN_APPEND_INTERVAL);
    }

    /// Adds a claim to the next record.
    pub fn add_claim(
        &mut self,
        request: ids::RequestId,
        key: ids::Digest,
        fingerprint: ids::Digest,
    ) {
        self.claims.push(record::Claim { sequence: request as u64, key, fingerprint });
    }

    /// Adds a release to the next record.
    pub fn add_release(&mut self, request: ids::RequestId) {
        self.releases.push(request as u64);
    }

    /// Withdraws a claim; returns whether it may have been appended already.
    pub fn withdraw(&mut self, request: ids::RequestId) -> bool {
        let sequence = request as u64;
        let was_sent = self.may_be_sent(sequence);
        self.claims.retain(|claim| claim.sequence != sequence);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.record.claims.retain(|claim| claim.sequence != sequence);
        }
        self.awaiting_read.remove(&sequence);
        was_sent
    }

    /// Records that a claim was read back from the log.
    pub fn mark_read(&mut self, request: ids::RequestId) {
        self.awaiting_read.remove(&(request as u64));
    }

    fn may_be_sent(&self, sequence: u64) -> bool {
        let mut in_flight = self.in_flight.iter().flat_map(|in_flight| &in_flight.record.claims);
        in_flight.any(|claim| claim.sequence == sequence) || self.awaiting_read.contains(&sequence)
    }

    /// Appends the next record if no append is in flight and the interval has passed.
    pub fn flush(&mut self, now: ids::Timestamp, effects: &mut Vec<claims::Effect>) {
        self.expire_in_flight(now);
        let is_idle = self.claims.is_empty() && self.releases.is_empty();
        if is_idle || self.in_flight.is_some() || !self.interval_has_passed(now) {
            return;
        }
        let record = self.next_record();
        let token = self.next_token;
        self.next_token += 1;
        self.appended_at = Some(now);
        effects.push(claims::Effect::Append { token, body: record.encode() });
        self.in_flight = Some(InFlight { token, sent_at: now, record });
    }

    /// Handles the outcome of an append. After an unknown outcome the record is appended again.
    pub fn appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        now: ids::Timestamp,
        effects: &mut Vec<claims::Effect>,
    ) {
        if self.in_flight.as_ref().is_none_or(|in_flight| in_flight.token != token) {
            return;
        }
        let Some(in_flight) = self.in_flight.take() else { return };
        match outcome {
            log::AppendOutcome::At(_) => self.mark_awaiting_read(&in_flight.record),
            log::AppendOutcome::Refused => self.requeue(in_flight.record, now),
            log::AppendOutcome::Unknown => {
                self.mark_awaiting_read(&in_flight.record);
                self.requeue(in_flight.record, now);
            }
        }
        self.flush(now, effects);
    }

    /// Treats an append that was not answered in time as one of unknown outcome.
    fn expire_in_flight(&mut self, now: ids::Timestamp) {
        let is_late = self.in_flight.as_ref().is_some_and(|in_flight| {
            now.saturating_sub(in_flight.sent_at) >= constants::APPEND_TIMEOUT
        });
        if is_late && let Some(in_flight) = self.in_flight.take() {
            self.mark_awaiting_read(&in_flight.record);
            self.requeue(in_flight.record, now);
        }
    }

    fn mark_awaiting_read(&mut self, record: &record::Record) {
        self.awaiting_read.extend(record.claims.iter().map(|claim| claim.sequence));
    }

    /// Puts the content of a record back to be appended again; a second record with the same claims
    /// changes nothing.
    fn requeue(&mut self, record: record::Record, now: ids::Timestamp) {
        self.retry_at = now + constants::APPEND_RETRY_INTERVAL;
        self.claims.splice(0..0, record.claims);
        self.releases.splice(0..0, record.releases);
    }

    fn interval_has_passed(&self, now: ids::Timestamp) -> bool {
        let spaced = self.appended_at.is_none_or(|at| now.saturating_sub(at) >= self.interval);
        spaced && now >= self.retry_at
    }

    fn next_record(&mut self) -> record::Record {
        let releases = self.releases.len().min(constants::MAX_ENTRIES_PER_RECORD);
        let claims = self.claims.len().min(constants::MAX_ENTRIES_PER_RECORD - releases);
        record::Record {
            incarnation: self.incarnation,
            releases: self.releases.drain(..releases).collect(),
            claims: self.claims.drain(..claims).collect(),
        }
    }
}
