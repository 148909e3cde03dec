//! The table of claims, applied in log order: the first claim of a key holds it for the claim
//! window.

use std::collections as std_collections;
use std::time;

use crate::core::claims::constants;
use crate::core::collections;
use crate::core::ids;

/// A claim that holds a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The request that made the claim.
    pub request: ids::RequestId,
    /// The digest of method, path and body of the request.
    pub fingerprint: ids::Digest,
    /// The digest of workspace and idempotency key.
    pub key: ids::Digest,
}

#[derive(Debug, Clone, Copy)]
struct HeldClaim {
    claim: Claim,
    time_ms: u64,
}

/// The claims that hold a key, as of the last record that was read.
#[derive(Debug, Default)]
pub struct Table {
    offset: ids::Offset,
    time_ms: u64,
    read_at: ids::Timestamp,
    held: collections::Map<ids::Digest, HeldClaim>,
    keys: collections::Map<ids::RequestId, ids::Digest>,
    order: std_collections::VecDeque<(u64, ids::RequestId)>,
}

impl Table {
    /// Returns the offset of the last record that was read.
    pub fn offset(&self) -> ids::Offset {
        self.offset
    }

    /// Returns whether the table has no capacity for another claim.
    pub fn is_full(&self) -> bool {
        self.order.len() >= constants::MAX_CLAIMS
    }

    /// Sets the position and the clock to those of a record that is read next.
    pub fn advance(&mut self, offset: ids::Offset, time_ms: u64, now: ids::Timestamp) {
        self.offset = offset;
        self.time_ms = self.time_ms.max(time_ms);
        self.read_at = now;
    }

    /// Adds a claim made at `time_ms` by the log's clock, unless the key is held, and returns the
    /// claim that holds the key.
    pub fn claim(&mut self, claim: Claim, time_ms: u64) -> Claim {
        if let Some(held) = self.held.get(&claim.key)
            && is_live(held, time_ms)
        {
            return held.claim;
        }
        self.held.insert(claim.key, HeldClaim { claim, time_ms });
        self.keys.insert(claim.request, claim.key);
        self.order.push_back((time_ms, claim.request));
        claim
    }

    /// Returns the claim that holds a key now.
    pub fn holder(&self, key: &ids::Digest, now: ids::Timestamp) -> Option<Claim> {
        let held = self.held.get(key)?;
        is_live(held, self.log_time_ms(now)).then_some(held.claim)
    }

    /// Releases the key that a request holds.
    pub fn release(&mut self, request: ids::RequestId) {
        let Some(key) = self.keys.remove(&request) else { return };
        if self.held.get(&key).is_some_and(|held| held.claim.request == request) {
            self.held.remove(&key);
        }
    }

    /// Removes claims whose window and retention margin have passed.
    pub fn prune(&mut self, now: ids::Timestamp) {
        let log_time_ms = self.log_time_ms(now);
        let keep_ms = millis(constants::CLAIM_WINDOW + constants::CLAIM_RETENTION_MARGIN);
        while let Some(&(time_ms, request)) = self.order.front() {
            if time_ms + keep_ms > log_time_ms {
                return;
            }
            self.order.pop_front();
            self.release(request);
        }
    }

    /// Estimates the log's clock: the time of the newest record and the time since it was read.
    fn log_time_ms(&self, now: ids::Timestamp) -> u64 {
        self.time_ms + millis(now.saturating_sub(self.read_at))
    }
}

fn is_live(held: &HeldClaim, time_ms: u64) -> bool {
    time_ms.saturating_sub(held.time_ms) < millis(constants::CLAIM_WINDOW)
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
