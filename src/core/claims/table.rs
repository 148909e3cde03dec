//! The claims in the order of the log: the first one on a key holds it for the claim window.

use std::collections as std_collections;
use std::time;

use crate::core::claims::constants;
use crate::core::collections;
use crate::core::ids;

/// A claim that holds a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The request that holds it.
    pub request: ids::RequestId,
    /// The digest of the request.
    pub fingerprint: ids::Digest,
    /// The digest of workspace and idempotency key.
    pub key: ids::Digest,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    claim: Claim,
    time_ms: u64,
}

/// All claims that hold, as far as the stream was read.
#[derive(Debug, Default)]
pub struct Table {
    offset: ids::Offset,
    time_ms: u64,
    read_at: ids::Timestamp,
    held: collections::Map<ids::Digest, Held>,
    keys: collections::Map<ids::RequestId, ids::Digest>,
    order: std_collections::VecDeque<(u64, ids::RequestId)>,
}

impl Table {
    /// Returns the offset of the last record that was read.
    pub fn offset(&self) -> ids::Offset {
        self.offset
    }

    /// Returns whether no further claim can be remembered.
    pub fn is_full(&self) -> bool {
        self.order.len() >= constants::MAX_CLAIMS
    }

    /// Moves on to a record.
    pub fn advance(&mut self, offset: ids::Offset, time_ms: u64, now: ids::Timestamp) {
        self.offset = offset;
        self.time_ms = self.time_ms.max(time_ms);
        self.read_at = now;
    }

    /// Records a claim made at `time_ms` by the log's clock and returns the one that holds the key.
    pub fn claim(&mut self, claim: Claim, time_ms: u64) -> Claim {
        if let Some(held) = self.held.get(&claim.key)
            && is_live(held, time_ms)
        {
            return held.claim;
        }
        self.held.insert(claim.key, Held { claim, time_ms });
        self.keys.insert(claim.request, claim.key);
        self.order.push_back((time_ms, claim.request));
        claim
    }

    /// Returns the claim that holds a key at the moment.
    pub fn holder(&self, key: &ids::Digest, now: ids::Timestamp) -> Option<Claim> {
        let held = self.held.get(key)?;
        is_live(held, self.log_time_ms(now)).then_some(held.claim)
    }

    /// Frees the key that a request holds.
    pub fn release(&mut self, request: ids::RequestId) {
        let Some(key) = self.keys.remove(&request) else { return };
        if self.held.get(&key).is_some_and(|held| held.claim.request == request) {
            self.held.remove(&key);
        }
    }

    /// Forgets claims whose window has passed.
    pub fn prune(&mut self, now: ids::Timestamp) {
        let log_time_ms = self.log_time_ms(now);
        let keep_ms = millis(constants::CLAIM_WINDOW + constants::CLAIM_KEEP);
        while let Some(&(time_ms, request)) = self.order.front() {
            if time_ms + keep_ms > log_time_ms {
                return;
            }
            self.order.pop_front();
            self.release(request);
        }
    }

    /// Returns the log's clock, which stands at least at the newest record's time.
    fn log_time_ms(&self, now: ids::Timestamp) -> u64 {
        self.time_ms + millis(now.saturating_sub(self.read_at))
    }
}

fn is_live(held: &Held, time_ms: u64) -> bool {
    time_ms.saturating_sub(held.time_ms) < millis(constants::CLAIM_WINDOW)
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
