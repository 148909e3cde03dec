//! Gathers reports for each member, and keeps what is known of members' answers.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::{Effect, Escrow};
use crate::core::ids;

/// What an instance keeps for each other member.
#[derive(Debug, Clone, Default)]
pub(super) struct Peer {
    settled: collections::Map<message::Number, message::Settled>,
    refunds: Vec<message::Refund>,
    report_at: Option<ids::Timestamp>,
    suspect_until: Option<ids::Timestamp>,
    seen: Seen,
}

/// The numbers of the reports that were taken from one process of a member.
#[derive(Debug, Clone, Default)]
struct Seen {
    incarnation: ids::Incarnation,
    floor: message::Number,
    recent: VecDeque<message::Number>,
}

impl Seen {
    const MAX_RECENT: usize = 32;

    /// Tells whether a report is seen for the first time; one that is too old counts as seen.
    fn insert(&mut self, incarnation: ids::Incarnation, number: message::Number) -> bool {
        if self.incarnation != incarnation {
            *self = Self { incarnation, ..Self::default() };
        }
        if number < self.floor || self.recent.contains(&number) {
            return false;
        }
        self.recent.push_back(number);
        if self.recent.len() > Self::MAX_RECENT {
            let oldest = self.recent.pop_front().unwrap_or_default();
            self.floor = self.floor.max(oldest.saturating_add(1));
        }
        true
    }
}

impl Escrow {
    /// Notes the outcome of a grant for the next report to its giver.
    pub(super) fn report(
        &mut self,
        to: &ids::InstanceId,
        settled: message::Settled,
        now: ids::Timestamp,
    ) {
        self.report_within(constants::REPORT_DELAY_MS, to, settled, now);
    }

    /// Notes the outcome of a grant for a report to its giver within some milliseconds.
    pub(super) fn report_within(
        &mut self,
        delay_ms: u64,
        to: &ids::InstanceId,
        settled: message::Settled,
        now: ids::Timestamp,
    ) {
        let peer = self.peers.entry(to.clone()).or_default();
        if peer.settled.len() >= constants::MAX_REPORTS {
            return;
        }
        peer.settled.insert(settled.number, settled);
        peer.schedule(delay_ms, now);
    }

    /// Notes unused tokens for the next report to a quota holder.
    pub(super) fn report_refund(
        &mut self,
        to: &ids::InstanceId,
        refund: message::Refund,
        now: ids::Timestamp,
    ) {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.schedule(constants::REPORT_DELAY_MS, now);
        let same =
            |one: &message::Refund| (&one.workspace, one.hops) == (&refund.workspace, refund.hops);
        if let Some(known) = peer.refunds.iter_mut().find(|one| same(one)) {
            known.tokens = known.tokens.saturating_add(refund.tokens);
        } else if peer.refunds.len() < constants::MAX_REPORTS {
            peer.refunds.push(refund);
        }
    }

    /// Sends the reports that are due.
    pub(super) fn send_reports(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let due = |peer: &&mut Peer| peer.report_at.is_some_and(|at| at <= now);
        let mut number = self.next_number;
        let mut reports = Vec::new();
        for (to, peer) in &mut self.peers {
            let Some(peer) = Some(peer).filter(due) else { continue };
            peer.report_at = None;
            let mut settled: Vec<_> = peer.settled.drain().map(|(_, settled)| settled).collect();
            settled.sort_by_key(|settled| settled.number);
            let refunds = std::mem::take(&mut peer.refunds);
            let message = message::Message::Report { number, settled, refunds };
            number += 1;
            reports.push(Effect::Send { to: to.clone(), message });
        }
        self.next_number = number;
        effects.append(&mut reports);
    }

    /// Takes a report of another member.
    pub(super) fn reported(
        &mut self,
        (from, incarnation): (&ids::InstanceId, ids::Incarnation),
        report: (message::Number, Vec<message::Settled>, Vec<message::Refund>),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let (number, settled, refunds) = report;
        for settled in settled {
            self.settled(from, settled, now);
        }
        if !self.view.members.iter().any(|one| one.id == *from) {
            return;
        }
        let peer = self.peers.entry(from.clone()).or_default();
        if !peer.seen.insert(incarnation, number) {
            return;
        }
        for refund in refunds {
            self.with_account(&refund.workspace, |escrow, account| {
                escrow.refund(account, refund.tokens, refund.hops, now, effects);
            });
        }
    }

    /// Passes over a member that is silent, for a while.
    pub(super) fn suspect(&mut self, id: &ids::InstanceId, now: ids::Timestamp) {
        let until = now + time::Duration::from_millis(constants::SUSPECT_MS);
        self.peers.entry(id.clone()).or_default().suspect_until = Some(until);
    }

    /// Ends the passing over of a member that has answered.
    pub(super) fn trust(&mut self, id: &ids::InstanceId) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.suspect_until = None;
        }
    }

    /// Tells whether a member is passed over.
    pub(super) fn is_suspect(&self, id: &ids::InstanceId, now: ids::Timestamp) -> bool {
        let until = self.peers.get(id).and_then(|peer| peer.suspect_until);
        until.is_some_and(|until| until > now)
    }
}

impl Peer {
    fn schedule(&mut self, delay_ms: u64, now: ids::Timestamp) {
        let at = now + time::Duration::from_millis(delay_ms);
        self.report_at = Some(self.report_at.map_or(at, |known| known.min(at)));
    }
}
