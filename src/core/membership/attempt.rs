//! Tracks one append until it is known whether its record is in the log.

use crate::core::ids;
use crate::core::log;
use crate::core::membership::settings;

/// The progress of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Sent,
    Appended(ids::Offset),
    Refused,
    /// No answer came; the record may be in the log.
    Unknown,
}

/// An append in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendAttempt {
    token: ids::AppendToken,
    progress: Progress,
    /// When the append was sent or its outcome arrived.
    updated_at: ids::Timestamp,
}

/// How far the log has been read.
#[derive(Debug, Clone, Copy)]
pub struct ReadPosition {
    /// The offset of the next record to read.
    pub next: ids::Offset,
    /// When the latest read that reached the log's end was sent.
    pub requested_at: ids::Timestamp,
}

impl AppendAttempt {
    /// Starts tracking an append that is sent at `now`.
    pub fn new(token: ids::AppendToken, now: ids::Timestamp) -> Self {
        Self { token, progress: Progress::Sent, updated_at: now }
    }

    /// Returns the token of the append.
    pub fn token(&self) -> ids::AppendToken {
        self.token
    }

    /// Sets the outcome that the log reported.
    pub fn set_outcome(&mut self, outcome: log::AppendOutcome, now: ids::Timestamp) {
        self.updated_at = now;
        self.progress = match outcome {
            log::AppendOutcome::At(offset) => Progress::Appended(offset),
            log::AppendOutcome::Refused => Progress::Refused,
            log::AppendOutcome::Unknown => Progress::Unknown,
        };
    }

    /// Returns whether the log has confirmed the record.
    pub fn is_appended(&self) -> bool {
        matches!(self.progress, Progress::Appended(_))
    }

    /// Returns whether the append is finished, so that its record may be appended again if the
    /// roster does not show it.
    ///
    /// A refused append finishes after one heartbeat interval, an append without an answer after a
    /// later read of the log's end.
    pub fn is_finished(
        &mut self,
        read_position: ReadPosition,
        now: ids::Timestamp,
        settings: &settings::Settings,
    ) -> bool {
        if self.progress == Progress::Sent && now >= self.updated_at + settings.append_timeout {
            self.set_outcome(log::AppendOutcome::Unknown, now);
        }
        match self.progress {
            Progress::Sent => false,
            Progress::Appended(offset) => read_position.next > offset,
            Progress::Refused => now >= self.updated_at + settings.heartbeat_interval,
            Progress::Unknown => read_position.requested_at > self.updated_at,
        }
    }
}
