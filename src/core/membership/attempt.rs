//! Follows one append to the log until it is known whether its record stands.

use crate::core::ids;
use crate::core::log;
use crate::core::membership::settings;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Sent,
    Stands(ids::Offset),
    Refused,
    Unclear,
}

/// An append under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    token: ids::AppendToken,
    progress: Progress,
    since: ids::Timestamp,
}

/// How far the log has been read.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// The offset of the next record to read.
    pub next: ids::Offset,
    /// When the latest read was sent that reached the log's tail.
    pub requested_at: ids::Timestamp,
}

impl Attempt {
    /// Notes that an append leaves now.
    pub fn new(token: ids::AppendToken, now: ids::Timestamp) -> Self {
        Self { token, progress: Progress::Sent, since: now }
    }

    /// Returns the token of the append.
    pub fn token(&self) -> ids::AppendToken {
        self.token
    }

    /// Notes the log's answer.
    pub fn answer(&mut self, outcome: log::AppendOutcome, now: ids::Timestamp) {
        self.since = now;
        self.progress = match outcome {
            log::AppendOutcome::At(offset) => Progress::Stands(offset),
            log::AppendOutcome::Refused => Progress::Refused,
            log::AppendOutcome::Unknown => Progress::Unclear,
        };
    }

    /// Tells whether the log has taken the record.
    pub fn stands(&self) -> bool {
        matches!(self.progress, Progress::Stands(_))
    }

    /// Tells whether the append is over, so that a record that the roster does not show then may
    /// be appended again: after a pause if it was refused, after reading the log's tail if no
    /// answer came.
    pub fn is_over(
        &mut self,
        reading: Reading,
        now: ids::Timestamp,
        settings: &settings::Settings,
    ) -> bool {
        if self.progress == Progress::Sent && now >= self.since + settings.append_timeout {
            self.answer(log::AppendOutcome::Unknown, now);
        }
        match self.progress {
            Progress::Sent => false,
            Progress::Stands(offset) => reading.next > offset,
            Progress::Refused => now >= self.since + settings.heartbeat_interval,
            Progress::Unclear => reading.requested_at > self.since,
        }
    }
}
