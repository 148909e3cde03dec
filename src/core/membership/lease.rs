//! Tracks until when this instance may act, by reads of the log and by promises of witnesses.
//!
//! The leases, which fence the previous holder by time, follow C. Gray and D. Cheriton, "Leases: an
//! efficient fault-tolerant mechanism for distributed file cache consistency", SOSP 1989.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership::witnesses;

/// The permissions that this instance holds, all measured from the time a request was sent.
#[derive(Debug)]
pub struct Lease {
    lease: time::Duration,
    read_until: ids::Timestamp,
    sequence: u64,
    /// The numbers of recent heartbeats and when they were sent.
    sent: Vec<(u64, ids::Timestamp)>,
    /// Until when each witness has promised not to accuse this instance.
    promised: collections::Map<ids::InstanceId, ids::Timestamp>,
}

impl Lease {
    /// Creates a lease without permissions; `lease` is how long each permission lasts.
    pub fn new(lease: time::Duration) -> Self {
        Self {
            lease,
            read_until: ids::Timestamp::ZERO,
            sequence: 0,
            sent: Vec::new(),
            promised: collections::Map::default(),
        }
    }

    /// Drops all permissions, as the membership that they were given to has ended.
    pub fn clear(&mut self) {
        self.read_until = ids::Timestamp::ZERO;
        self.sent.clear();
        self.promised.clear();
    }

    /// Extends the permission by a read, sent at `requested_at`, that reached the log's end and
    /// showed this instance as a member.
    pub fn extend_by_read(&mut self, requested_at: ids::Timestamp) {
        self.read_until = self.read_until.max(requested_at + self.lease);
    }

    /// Returns until when the last read of the log's end permits this instance to act.
    pub fn read_until(&self) -> ids::Timestamp {
        self.read_until
    }

    /// Returns the number of the heartbeats that are sent at `now`.
    pub fn start_heartbeats(&mut self, now: ids::Timestamp) -> u64 {
        self.sequence += 1;
        let lease = self.lease;
        self.sent.retain(|(_, sent_at)| *sent_at + lease > now);
        self.sent.push((self.sequence, now));
        self.promised.retain(|_, until| *until > now);
        self.sequence
    }

    /// Records a witness's promise, which answers the heartbeat of this number.
    pub fn on_promise(&mut self, witness: &ids::InstanceId, sequence: u64) {
        let Some((_, sent_at)) = self.sent.iter().find(|(number, _)| *number == sequence) else {
            return;
        };
        let until = self.promised.entry(witness.clone()).or_default();
        *until = (*until).max(*sent_at + self.lease);
    }

    /// Returns until when a quorum of these witnesses has promised not to accuse this instance.
    ///
    /// A record without witnesses allows no accusation. A record that names witnesses can be sent
    /// at `now` at the earliest, and its witnesses wait for one lease before they accuse.
    pub fn promised_until(
        &self,
        witnesses: &[ids::InstanceId],
        now: ids::Timestamp,
    ) -> ids::Timestamp {
        let quorum = witnesses::promise_quorum(witnesses.len());
        let Some(last) = quorum.checked_sub(1) else { return now + self.lease };
        let mut ends: Vec<_> =
            witnesses.iter().filter_map(|id| self.promised.get(id).copied()).collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        ends.get(last).copied().unwrap_or_default()
    }
}
