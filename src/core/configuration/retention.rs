//! Decides when to append a snapshot, so that the log never drops what is in force.

use std::time;

use crate::core::configuration::constants;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;

/// A snapshot that was appended and not read back yet.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    token: ids::AppendToken,
    sent_at: ids::Timestamp,
}

/// The age of what a new reader of the log would start from.
#[derive(Debug)]
pub struct Retention {
    own: ids::InstanceId,
    interval: time::Duration,
    rank: Option<u32>,
    kept_from: Option<ids::Offset>,
    due_at: Option<ids::Timestamp>,
    observed_at: Option<ids::Timestamp>,
    up_since: ids::Timestamp,
    changes: u32,
    in_flight: Option<InFlight>,
}

impl Retention {
    /// Creates the schedule of an instance for a log that keeps records for `log_retention`.
    pub fn new(own: ids::InstanceId, log_retention: time::Duration) -> Self {
        Self {
            own,
            interval: log_retention / constants::SNAPSHOTS_PER_RETENTION,
            rank: None,
            kept_from: None,
            due_at: None,
            observed_at: None,
            up_since: ids::Timestamp::ZERO,
            changes: 0,
            in_flight: None,
        }
    }

    /// Sets how long the log keeps records.
    pub fn with_log_retention(mut self, log_retention: time::Duration) -> Self {
        self.interval = log_retention / constants::SNAPSHOTS_PER_RETENTION;
        self
    }

    /// Takes the own rank from the view; the member of the lowest id goes first.
    pub fn view(&mut self, view: &membership::View) {
        let mut staying = view.members.iter().filter(|member| !member.leaving);
        let rank = staying.position(|member| member.id == self.own);
        self.rank = rank.and_then(|rank| u32::try_from(rank).ok());
    }

    /// Notes that the log holds what is in force from an offset on.
    pub fn kept(&mut self, from: ids::Offset, now: ids::Timestamp) {
        if self.kept_from.is_some_and(|kept_from| from < kept_from) {
            return;
        }
        self.kept_from = Some(from);
        self.due_at = Some(now + self.interval);
        self.changes = 0;
        self.in_flight = None;
    }

    /// Notes that a change took effect.
    pub fn changed(&mut self, now: ids::Timestamp) {
        self.changes += 1;
        if self.changes >= constants::CHANGES_PER_SNAPSHOT {
            self.hasten(now);
        }
    }

    /// Compares the start of the log with what a new reader needs of it.
    pub fn observe(&mut self, batch: &log::Batch, now: ids::Timestamp) {
        let lapse = |at| now.saturating_sub(at) >= constants::LOG_LAPSE;
        if self.observed_at.is_none_or(lapse) {
            self.up_since = now;
        }
        self.observed_at = Some(now);
        match self.kept_from {
            None if batch.first <= 1 => self.kept(1, now),
            Some(kept_from) if batch.first <= kept_from => {}
            _ => self.hasten(now),
        }
    }

    fn hasten(&mut self, now: ids::Timestamp) {
        self.due_at = Some(self.due_at.map_or(now, |due_at| due_at.min(now)));
    }

    /// Returns whether this instance should append a snapshot now.
    pub fn is_due(&self, now: ids::Timestamp) -> bool {
        let (Some(rank), Some(due_at)) = (self.rank, self.due_at) else { return false };
        let waits = self
            .in_flight
            .is_some_and(|sent| now.saturating_sub(sent.sent_at) < constants::SNAPSHOT_RETRY);
        // The members take turns from the end of an outage as well.
        let first_at = due_at.max(self.up_since);
        !waits && now >= first_at + constants::SNAPSHOT_STAGGER * rank
    }

    /// Notes that a snapshot is being appended.
    pub fn append(&mut self, token: ids::AppendToken, now: ids::Timestamp) {
        self.in_flight = Some(InFlight { token, sent_at: now });
    }

    /// Returns whether an append was a snapshot.
    ///
    /// The snapshot is awaited in the stream whatever the log answers, and appended again if it
    /// does not come.
    pub fn owns(&self, token: ids::AppendToken) -> bool {
        self.in_flight.is_some_and(|sent| sent.token == token)
    }
}
