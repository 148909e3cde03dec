//! The log and the views of the in-test fleet.

use std::{net, sync, time};

use galenayard::core::{escrow, membership};

use super::{Fleet, LEASE_MARGIN_PERCENT, Record, Seen, Step};

impl Fleet {
    /// Folds the log's records into the view of one instance.
    pub(super) fn read(&mut self, index: usize) {
        let now = self.local(index);
        let margin =
            time::Duration::from_millis(self.options.lease_ms * (100 + LEASE_MARGIN_PERCENT) / 100);
        let end = if self.nodes[index].log_cut { self.nodes[index].cursor } else { self.log.len() };
        let node = &mut self.nodes[index];
        node.read_us = self.now_us;
        let mut changed = false;
        for offset in node.cursor..end {
            changed = true;
            match self.log[offset].clone() {
                Record::Join { node: joiner, incarnation } => {
                    let joined = offset as u64 + 1;
                    let seen = Seen { incarnation, joined, leaving: false, gone_at: None };
                    node.members.insert(joiner, seen);
                }
                Record::Leaving { node: leaver } => {
                    if let Some(seen) = node.members.get_mut(&leaver) {
                        seen.leaving = true;
                    }
                }
                Record::Gone { node: gone, joined } => {
                    let seen = node.members.get_mut(&gone).filter(|one| one.joined == joined);
                    let Some(seen) = seen else { continue };
                    seen.gone_at.get_or_insert(now + margin);
                    if gone == index {
                        node.members.remove(&gone);
                    }
                }
            }
        }
        node.cursor = end;
        node.version = end as u64;
        let before = node.members.len();
        node.members.retain(|_, seen| seen.gone_at.is_none_or(|at| at > now));
        changed |= node.members.len() != before;
        let gone = !node.members.contains_key(&index) && !node.left;
        let rejoin = gone && self.latest_join(index).is_some_and(|joined| joined <= end as u64);
        if changed {
            self.show_view(index);
        }
        if rejoin {
            self.join(index);
        }
    }

    pub(super) fn show_view(&mut self, index: usize) {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
        let node = &self.nodes[index];
        let members = node.members.iter().map(|(number, seen)| membership::Member {
            id: self.nodes[*number].id.clone(),
            incarnation: seen.incarnation,
            failure_domain: self.nodes[*number].domain.clone(),
            weight: 1,
            peer_address: address,
            caller_address: address,
            leaving: seen.leaving,
            joined: seen.joined,
        });
        let view = membership::View { version: node.version, members: members.collect() };
        self.apply(index, escrow::Event::Viewed(sync::Arc::new(view)));
    }

    /// Renews the lease, unless the log has a record of the eviction.
    pub(super) fn renew(&mut self, index: usize) {
        let due = self.now_us >= self.nodes[index].renewed_us + self.options.lease_ms * 1_000 / 4;
        if !due || !self.is_member(index) {
            return;
        }
        let until = self.local(index) + time::Duration::from_millis(self.options.lease_ms);
        self.nodes[index].renewed_us = self.now_us;
        self.nodes[index].until = until;
        self.apply(index, escrow::Event::Validity { valid: true, until });
    }

    /// Tells whether an instance has read its join and the log has no later eviction.
    pub fn is_member(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let Some(seen) = node.members.get(&index) else { return false };
        let evicted = self.log.iter().any(|record| {
            matches!(record, Record::Gone { node, joined } if *node == index && *joined == seen.joined)
        });
        seen.incarnation == node.incarnation && !evicted
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
            node.running && !self.postpone(index) && since_us < self.options.lease_ms * 1_000 / 8;
        let own = node.members.get(&index).is_some_and(|seen| seen.joined == joined);
        if restarted && !own {
            return;
        }
        self.log.push(Record::Gone { node: index, joined });
    }

    pub(super) fn heal(&mut self) {
        self.loss = 0;
        self.duplication = 0;
        self.delay_ms = 0;
        self.partition = 0;
        self.mishaps.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].log_cut = false;
            if self.postpone(index) {
                self.nodes[index].paused_until_us = self.now_us;
                self.nodes[index].generation += 1;
                let generation = self.nodes[index].generation;
                self.schedule(self.now_us, Step::Wake(index, generation));
            }
            if !self.nodes[index].running && !self.nodes[index].left {
                self.start(index);
            }
        }
    }
}
