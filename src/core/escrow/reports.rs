//! Batches the reports to each other member, and tracks which members are unresponsive.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::{Effect, Escrow};
use crate::core::ids;

/// The reports for one other member, and whether it responds.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerState {
    settled: collections::Map<message::Number, message::GrantOutcome>,
    refunds: Vec<message::Refund>,
    next_report_at: Option<ids::Timestamp>,
    suspect_until: Option<ids::Timestamp>,
    seen_reports: SeenReports,
}

/// The numbers of the reports that were handled from one process of a member.
#[derive(Debug, Clone, Default)]
struct SeenReports {
    incarnation: ids::Incarnation,
    min_number: message::Number,
    recent: VecDeque<message::Number>,
}

impl SeenReports {
    const MAX_RECENT: usize = 32;

    /// Returns whether a report is new, and remembers it. One that is older than the remembered
    /// ones counts as handled.
    fn insert(&mut self, incarnation: ids::Incarnation, number: message::Number) -> bool {
        if self.incarnation != incarnation {
            *self = Self { incarnation, ..Self::default() };
        }
        if number < self.min_number || self.recent.contains(&number) {
            return false;
        }
        self.recent.push_back(number);
        if self.recent.len() > Self::MAX_RECENT {
            let oldest = self.recent.pop_front().unwrap_or_default();
            self.min_number = self.min_number.max(oldest.saturating_add(1));
        }
        true
    }
}

impl Escrow {
    /// Adds the outcome of a grant to the next report to its issuer.
    pub(super) fn queue_outcome(
        &mut self,
        to: &ids::InstanceId,
        settled: message::GrantOutcome,
        now: ids::Timestamp,
    ) {
        self.queue_outcome_within(constants::REPORT_DELAY_MS, to, settled, now);
    }

    /// Adds the outcome of a grant to a report to its issuer that is sent within `delay_ms`.
    pub(super) fn queue_outcome_within(
        &mut self,
        delay_ms: u64,
        to: &ids::InstanceId,
        settled: message::GrantOutcome,
        now: ids::Timestamp,
    ) {
        let peer = self.peers.entry(to.clone()).or_default();
        if peer.settled.len() >= constants::MAX_REPORTS {
            return;
        }
        peer.settled.insert(settled.number, settled);
        peer.schedule(delay_ms, now);
    }

    /// Adds unused tokens to the next report to a quota holder.
    pub(super) fn queue_refund(
        &mut self,
        to: &ids::InstanceId,
        refund: message::Refund,
        now: ids::Timestamp,
    ) {
        let peer = self.peers.entry(to.clone()).or_default();
        peer.schedule(constants::REPORT_DELAY_MS, now);
        let same =
            |one: &message::Refund| (&one.workspace, one.hops) == (&refund.workspace, refund.hops);
        if let Some(pending) = peer.refunds.iter_mut().find(|one| same(one)) {
            pending.tokens = pending.tokens.saturating_add(refund.tokens);
        } else if peer.refunds.len() < constants::MAX_REPORTS {
            peer.refunds.push(refund);
        }
    }

    /// Sends the reports whose delay has passed.
    pub(super) fn send_reports(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let due = |peer: &&mut PeerState| peer.next_report_at.is_some_and(|at| at <= now);
        let mut number = self.next_number;
        let mut reports = Vec::new();
        for (to, peer) in &mut self.peers {
            let Some(peer) = Some(peer).filter(due) else { continue };
            peer.next_report_at = None;
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

    /// Handles a report of another member. Outcomes may repeat; refunds are credited once.
    pub(super) fn receive_report(
        &mut self,
        (from, incarnation): (&ids::InstanceId, ids::Incarnation),
        report: (message::Number, Vec<message::GrantOutcome>, Vec<message::Refund>),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let (number, settled, refunds) = report;
        for settled in settled {
            self.settle_grant(from, settled, now);
        }
        if !self.view.members.iter().any(|one| one.id == *from) {
            return;
        }
        let peer = self.peers.entry(from.clone()).or_default();
        if !peer.seen_reports.insert(incarnation, number) {
            return;
        }
        for refund in refunds {
            self.with_account(&refund.workspace, |escrow, account| {
                escrow.refund(account, refund.tokens, refund.hops, now, effects);
            });
        }
    }

    /// Marks a member as unresponsive for the suspicion period, so that it is not asked for tokens.
    pub(super) fn suspect(&mut self, id: &ids::InstanceId, now: ids::Timestamp) {
        let until = now + time::Duration::from_millis(constants::SUSPECT_MS);
        self.peers.entry(id.clone()).or_default().suspect_until = Some(until);
    }

    /// Unmarks a member that has answered.
    pub(super) fn clear_suspicion(&mut self, id: &ids::InstanceId) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.suspect_until = None;
        }
    }

    /// Returns whether a member is marked as unresponsive.
    pub(super) fn is_suspect(&self, id: &ids::InstanceId, now: ids::Timestamp) -> bool {
        let until = self.peers.get(id).and_then(|peer| peer.suspect_until);
        until.is_some_and(|until| until > now)
    }
}

impl PeerState {
    fn schedule(&mut self, delay_ms: u64, now: ids::Timestamp) {
        let at = now + time::Duration::from_millis(delay_ms);
        self.next_report_at = Some(self.next_report_at.map_or(at, |pending| pending.min(at)));
    }
}
