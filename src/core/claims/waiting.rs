//! Requests that wait for their claim or for the answer of the request that holds it.

use crate::core::claims::constants;
use crate::core::ids;

/// A request of this instance that waits for its claim or for another's answer.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The digest of workspace and idempotency key.
    pub key: ids::Digest,
    /// The digest of the request.
    pub fingerprint: ids::Digest,
    /// When it began to wait for its claim.
    pub since: ids::Timestamp,
    /// What it waits for.
    pub stage: Stage,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Its own claim to be read in the log.
    Committing,
    /// The answer of the request that holds the claim.
    Asking { holder: ids::RequestId, asked_at: ids::Timestamp, heard_at: ids::Timestamp },
    /// The release of a claim whose holder has not run to be read in the log.
    Blocked { checked_at: ids::Timestamp },
}

impl Waiting {
    /// Returns whether it is time to ask again or to give up.
    pub fn is_due(&self, now: ids::Timestamp) -> bool {
        match self.stage {
            Stage::Committing => now.saturating_sub(self.since) >= constants::CLAIM_TIMEOUT,
            Stage::Asking { asked_at: at, .. } | Stage::Blocked { checked_at: at } => {
                now.saturating_sub(at) >= constants::ASK_INTERVAL
            }
        }
    }
}
