//! Measures how long this instance may act: by reads of the log and by promises of witnesses.
//!
//! Leases with a fencing of the old holder by time follow C. Gray and D. Cheriton, "Leases: an
//! efficient fault-tolerant mechanism for distributed file cache consistency", SOSP 1989.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership::witnesses;

/// The permissions that this instance holds, all measured from the sending of a request.
#[derive(Debug)]
pub struct Lease {
    lease: time::Duration,
    read_until: ids::Timestamp,
    sequence: u64,
    sent: Vec<(u64, ids::Timestamp)>,
    promised: collections::Map<ids::InstanceId, ids::Timestamp>,
}

impl Lease {
    /// Creates a state without permission.
    pub fn new(lease: time::Duration) -> Self {
        Self {
            lease,
            read_until: ids::Timestamp::ZERO,
            sequence: 0,
            sent: Vec::new(),
            promised: collections::Map::default(),
        }
    }

    /// Drops all permissions, as the membership that they were given for has ended.
    pub fn clear(&mut self) {
        self.read_until = ids::Timestamp::ZERO;
        self.sent.clear();
        self.promised.clear();
    }

    /// Notes that a read sent at this time showed this instance as a member at the log's tail.
    pub fn confirm(&mut self, requested_at: ids::Timestamp) {
        self.read_until = self.read_until.max(requested_at + self.lease);
    }

    /// Returns until when the last read of the log's tail permits this instance to act.
    pub fn read_until(&self) -> ids::Timestamp {
        self.read_until
    }

    /// Notes that heartbeats leave now and returns their number.
    pub fn send(&mut self, now: ids::Timestamp) -> u64 {
        self.sequence += 1;
        let lease = self.lease;
        self.sent.retain(|(_, sent_at)| *sent_at + lease > now);
        self.sent.push((self.sequence, now));
        self.promised.retain(|_, until| *until > now);
        self.sequence
    }

    /// Notes a witness's answer to a heartbeat.
    pub fn promise(&mut self, witness: &ids::InstanceId, sequence: u64) {
        let Some((_, sent_at)) = self.sent.iter().find(|(number, _)| *number == sequence) else {
            return;
        };
        let until = self.promised.entry(witness.clone()).or_default();
        *until = (*until).max(*sent_at + self.lease);
    }

    /// Returns until when a quorum of these witnesses has promised not to accuse.
    ///
    /// Without witnesses nobody can accuse; a record that names some can be sent at `now` at the
    /// earliest, and its witnesses wait for a lease.
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
