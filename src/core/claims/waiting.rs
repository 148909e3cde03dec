//! Requests that wait for their claim or for the answer of the request that holds it.

use crate::core::claims::constants;
use crate::core::ids;

/// A request of this instance that waits for its claim or for another request's answer.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// The digest of workspace and idempotency key.
    pub key: ids::Digest,
    /// The digest of method, path and body of the request.
    pub fingerprint: ids::Digest,
    /// When it started to wait for its claim.
    pub since: ids::Timestamp,
    /// What it waits for.
    pub stage: Stage,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its own claim has to be read back from the log.
    Committing,
    /// The request that holds the key has to be answered.
    AwaitingAnswer { holder: ids::RequestId, asked_at: ids::Timestamp, received_at: ids::Timestamp },
    /// The holder did not run; the release of its claim has to be read from the log.
    AwaitingRelease { polled_at: ids::Timestamp },
}

impl WaitingRequest {
    /// Returns whether the request is to be given up, to poll the holder, or to check for the
    /// release.
    pub fn is_due(&self, now: ids::Timestamp) -> bool {
        match self.stage {
            Stage::Committing => now.saturating_sub(self.since) >= constants::CLAIM_TIMEOUT,
            Stage::AwaitingAnswer { asked_at: at, .. }
            | Stage::AwaitingRelease { polled_at: at } => {
                now.saturating_sub(at) >= constants::POLL_INTERVAL
            }
        }
    }
}
