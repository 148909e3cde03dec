//! The log, membership views and leases of the simulated fleet.

use std::{net, sync, time};

use galenayard::core::{escrow, membership};

use super::{Fleet, LEASE_MARGIN_PERCENT, MemberState, Record, Step};

impl Fleet {
    /// Applies new log records to the view of one instance, and rejoins if it was evicted.
    pub(super) fn read_log(&mut self, index: usize) {
        let now = self.local_time(index);
        let margin =
            time::Duration::from_millis(self.options.lease_ms * (100 + LEASE_MARGIN_PERCENT) / 100);
        let end = if self.nodes[index].log_disconnected {
            self.nodes[index].next_offset
        } else {
            self.log.len()
        };
        let node = &mut self.nodes[index];
        node.read_us = self.now_us;
        let mut changed = false;
        for offset in node.next_offset..end {
            changed = true;
            match self.log[offset].clone() {
                Record::Join { node: joiner, incarnation } => {
                    let joined = offset as u64 + 1;
                    let state =
                        MemberState { incarnation, joined, leaving: false, removed_at: None };
                    node.members.insert(joiner, state);
                }
                Record::Leaving { node: leaver } => {
                    if let Some(state) = node.members.get_mut(&leaver) {
                        state.leaving = true;
                    }
                }
                Record::Removed { node: removed, joined } => {
                    let state = node.members.get_mut(&removed).filter(|one| one.joined == joined);
                    let Some(state) = state else { continue };
                    state.removed_at.get_or_insert(now + margin);
                    if removed == index {
                        node.members.remove(&removed);
                    }
                }
            }
        }
        node.next_offset = end;
        node.version = end as u64;
        let before = node.members.len();
        node.members.retain(|_, state| state.removed_at.is_none_or(|at| at > now));
        changed |= node.members.len() != before;
        let not_member = !node.members.contains_key(&index) && !node.has_left;
        let rejoin =
            not_member && self.latest_join(index).is_some_and(|joined| joined <= end as u64);
        if changed {
            self.send_view(index);
        }
        if rejoin {
            self.join(index);
        }
    }

    pub(super) fn send_view(&mut self, index: usize) {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
        let node = &self.nodes[index];
        let members = node.members.iter().map(|(number, state)| membership::Member {
            id: self.nodes[*number].id.clone(),
            incarnation: state.incarnation,
            failure_domain: self.nodes[*number].domain.clone(),
            weight: 1,
            peer_address: address,
            caller_address: address,
            leaving: state.leaving,
            joined: state.joined,
        });
        let view = membership::View { version: node.version, members: members.collect() };
        self.apply(index, escrow::Event::Viewed(sync::Arc::new(view)));
    }

    /// Renews the lease if it is due and the instance was not evicted.
    pub(super) fn renew_lease(&mut self, index: usize) {
        let due = self.now_us >= self.nodes[index].renewed_us + self.options.lease_ms * 1_000 / 4;
        if !due || !self.is_member(index) {
            return;
        }
        let until = self.local_time(index) + time::Duration::from_millis(self.options.lease_ms);
        self.nodes[index].renewed_us = self.now_us;
        self.nodes[index].until = until;
        self.apply(index, escrow::Event::Validity { valid: true, until });
    }

    /// Returns whether an instance has read its join and the log has no later eviction.
    pub fn is_member(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let Some(state) = node.members.get(&index) else { return false };
        let evicted = self.log.iter().any(|record| {
            matches!(record, Record::Removed { node, joined } if *node == index && *joined == state.joined)
        });
        state.incarnation == node.incarnation && !evicted
    }

    pub(super) fn latest_join(&self, index: usize) -> Option<u64> {
        let is_join =
            |record: &Record| matches!(record, Record::Join { node, .. } if *node == index);
        self.log.iter().rposition(is_join).map(|offset| offset as u64 + 1)
    }

    pub(super) fn evict(&mut self, index: usize) {
        let Some(joined) = self.latest_join(index) else { return };
        let node = &self.nodes[index];
        let since_us = self.now_us.saturating_sub(node.renewed_us);
        let restarted =
            node.running && !self.is_paused(index) && since_us < self.options.lease_ms * 1_000 / 8;
        let own = node.members.get(&index).is_some_and(|state| state.joined == joined);
        if restarted && !own {
            return;
        }
        self.log.push(Record::Removed { node: index, joined });
    }

    pub(super) fn heal(&mut self) {
        self.loss = 0;
        self.duplication = 0;
        self.delay_ms = 0;
        self.partition = 0;
        self.message_faults.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].log_disconnected = false;
            if self.is_paused(index) {
                self.nodes[index].paused_until_us = self.now_us;
                self.nodes[index].generation += 1;
                let generation = self.nodes[index].generation;
                self.schedule(self.now_us, Step::Tick(index, generation));
            }
            if !self.nodes[index].running && !self.nodes[index].has_left {
                self.start(index);
            }
        }
    }
}
