//! Schedules snapshots, so that the log always holds what is in force for new readers.

use std::time;

use crate::core::configuration::constants;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;

/// A snapshot that was sent and not read back yet.
#[derive(Debug, Clone, Copy)]
struct PendingSnapshot {
    token: ids::AppendToken,
    sent_at: ids::Timestamp,
}

/// The schedule of the snapshots of one instance.
#[derive(Debug)]
pub struct Retention {
    own: ids::InstanceId,
    interval: time::Duration,
    /// The position among the members that are not leaving, sorted by id.
    rank: Option<u32>,
    /// The offset that a new reader has to start from.
    retained_from: Option<ids::Offset>,
    /// When the next snapshot is due for the first member by rank.
    due_at: Option<ids::Timestamp>,
    /// When the log was last read.
    observed_at: Option<ids::Timestamp>,
    /// When the log became readable after the last outage.
    log_up_since: ids::Timestamp,
    /// The changes since the last snapshot.
    changes: u32,
    pending_snapshot: Option<PendingSnapshot>,
}

impl Retention {
    /// Creates the schedule for a log that retains records for `log_retention`.
    pub fn new(own: ids::InstanceId, log_retention: time::Duration) -> Self {
        Self {
            own,
            interval: log_retention / constants::SNAPSHOTS_PER_RETENTION,
            rank: None,
            retained_from: None,
            due_at: None,
            observed_at: None,
            log_up_since: ids::Timestamp::ZERO,
            changes: 0,
            pending_snapshot: None,
        }
    }

    /// Sets how long the log retains records.
    pub fn with_log_retention(mut self, log_retention: time::Duration) -> Self {
        self.interval = log_retention / constants::SNAPSHOTS_PER_RETENTION;
        self
    }

    /// Sets this instance's rank from the view; the member with the lowest id appends first.
    pub fn set_rank(&mut self, view: &membership::View) {
        let mut staying = view.members.iter().filter(|member| !member.leaving);
        let rank = staying.position(|member| member.id == self.own);
        self.rank = rank.and_then(|rank| u32::try_from(rank).ok());
    }

    /// Handles the observation that a reader that starts at `from` finds what is in force.
    pub fn on_retained(&mut self, from: ids::Offset, now: ids::Timestamp) {
        if self.retained_from.is_some_and(|retained_from| from < retained_from) {
            return;
        }
        self.retained_from = Some(from);
        self.due_at = Some(now + self.interval);
        self.changes = 0;
        self.pending_snapshot = None;
    }

    /// Counts a change that took effect; a snapshot becomes due after many of them.
    pub fn on_change(&mut self, now: ids::Timestamp) {
        self.changes += 1;
        if self.changes >= constants::CHANGES_PER_SNAPSHOT {
            self.make_due(now);
        }
    }

    /// Makes a snapshot due if the log no longer holds the records that a new reader needs.
    pub fn observe(&mut self, batch: &log::Batch, now: ids::Timestamp) {
        let is_timed_out = |at| now.saturating_sub(at) >= constants::LOG_READ_TIMEOUT;
        if self.observed_at.is_none_or(is_timed_out) {
            self.log_up_since = now;
        }
        self.observed_at = Some(now);
        match self.retained_from {
            None if batch.first <= 1 => self.on_retained(1, now),
            Some(retained_from) if batch.first <= retained_from => {}
            _ => self.make_due(now),
        }
    }

    fn make_due(&mut self, now: ids::Timestamp) {
        self.due_at = Some(self.due_at.map_or(now, |due_at| due_at.min(now)));
    }

    /// Returns whether this instance should append a snapshot now.
    pub fn is_due(&self, now: ids::Timestamp) -> bool {
        let (Some(rank), Some(due_at)) = (self.rank, self.due_at) else { return false };
        let waits = self
            .pending_snapshot
            .is_some_and(|sent| now.saturating_sub(sent.sent_at) < constants::SNAPSHOT_RETRY);
        // The stagger also counts from the end of an outage, so that not all members append then.
        let first_at = due_at.max(self.log_up_since);
        !waits && now >= first_at + constants::SNAPSHOT_STAGGER * rank
    }

    /// Records that a snapshot is sent at `now`.
    pub fn on_append(&mut self, token: ids::AppendToken, now: ids::Timestamp) {
        self.pending_snapshot = Some(PendingSnapshot { token, sent_at: now });
    }

    /// Returns whether this is the append of the pending snapshot.
    ///
    /// The log's answer does not matter: the snapshot counts once it is read back, and another one
    /// is appended if that takes too long.
    pub fn is_own_append(&self, token: ids::AppendToken) -> bool {
        self.pending_snapshot.is_some_and(|sent| sent.token == token)
    }
}
