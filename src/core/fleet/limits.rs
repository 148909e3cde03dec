//! Charging a request to its workspace's limit, through the coordinator that counts the limits.
//!
//! Load pattern: one workspace sends many times its rate at hundreds of instances, each of which
//! receives a few requests a second.

use std::net;
use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::ledger;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::quota;
use crate::core::fleet::refusal;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The time for which the response to a charge is kept, in case the charge is sent again.
const RESPONSE_RETENTION: time::Duration = time::Duration::from_secs(1);

impl Fleet {
    /// Charges a request to its workspace's limit, directly or through a coordinator, and continues
    /// with the request once it is charged.
    pub(super) fn take_charge(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let limited = live.workspace.clone().filter(|it| self.quotas.is_limited(&it.name));
        let Some(workspace) = limited else { return self.start_placement(request, now, effects) };
        let amount = charge_of(&live.call, workspace.limit);
        if !self.is_coordinated(now) {
            let members = u32::try_from(self.peers.instance_count(now)).unwrap_or(u32::MAX);
            let digest_age = constants::DIGEST_INTERVAL_PER_MEMBER.saturating_mul(members);
            let name = &workspace.name;
            let result = self.quotas.take(name, amount, digest_age, now);
            let result = result.map_err(|wait| (wait, self.quotas.view(name, amount)));
            return self.apply_local_charge(request, amount, result, now, effects);
        }
        let awaiting = live::AwaitingCharge {
            amount,
            coordinators: Vec::new(),
            first_sent: now,
            last_sent: now,
        };
        self.request_charge(request, awaiting, now, effects);
    }

    /// Sends the charge to the highest ranked coordinator that was not tried yet. Without one, this
    /// instance decides.
    fn request_charge(
        &mut self,
        request: call::RequestNumber,
        awaiting: live::AwaitingCharge,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let amount = awaiting.amount;
        let Some(live) = self.requests.get_mut(&request) else { return };
        let Some(workspace) = live.workspace.clone() else { return };
        let tried = &awaiting.coordinators;
        let next = self
            .peers
            .coordinators(now)
            .into_iter()
            .find(|member| !tried.contains(&member.peer_address));
        let is_own = self.is_coordinator && next.is_none_or(|other| self.own.ranks_above(other));
        if let Some(to) = next.map(|member| member.peer_address).filter(|_| !is_own) {
            let mut awaiting = live::AwaitingCharge { first_sent: now, last_sent: now, ..awaiting };
            awaiting.coordinators.push(to);
            live.attempt += 1;
            live.phase = live::Phase::AwaitingCharge(awaiting);
            return self.send_charge(request, to, amount, effects);
        }
        let name = &workspace.name;
        let result = if is_own {
            let result = self.quotas.take(name, amount, time::Duration::ZERO, now);
            result.map_err(|wait| (wait, self.quotas.view(name, amount)))
        } else {
            let members = self.peers.member_count(now);
            let result = self.quotas.take_equal_share(name, amount, members, now);
            result.map_err(|wait| (wait, self.quotas.equal_share_view(name, amount, members)))
        };
        self.apply_local_charge(request, amount, result, now, effects);
    }

    fn send_charge(
        &self,
        request: call::RequestNumber,
        to: net::SocketAddr,
        amount: f64,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let Some(workspace) = &live.workspace else { return };
        let charge = message::Charge {
            ticket: self.ticket(request, live.attempt),
            workspace: workspace.name.to_string(),
            baseline: self.quotas.own_spent(&workspace.name),
            amount,
        };
        effects.push(Effect::SendMessage { to, message: message::Message::Charge(charge) });
    }

    fn apply_local_charge(
        &mut self,
        request: call::RequestNumber,
        amount: f64,
        result: Result<(), (time::Duration, Option<refusal::SpendingView>)>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match result {
            Ok(()) => self.continue_charged(request, amount, now, effects),
            Err((wait, spending)) => {
                self.refuse_over_limit(request, wait, spending, now, effects);
            }
        }
    }

    fn continue_charged(
        &mut self,
        request: call::RequestNumber,
        amount: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.charge = amount;
        }
        self.start_placement(request, now, effects);
    }

    fn refuse_over_limit(
        &mut self,
        request: call::RequestNumber,
        wait: time::Duration,
        spending: Option<refusal::SpendingView>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let max_wait = live.expires.saturating_sub(now) / 3;
        let wait = self.jittered(wait).min(max_wait);
        let refusal = refusal::Refusal::retry_after(refusal::Reason::OverLimit, wait);
        self.refuse(request, refusal::Refusal { spending, ..refusal }, now, effects);
    }

    /// Responds to a charge of a peer. It does not check that this instance should count, as views
    /// of the coordinators differ for short times.
    pub(super) fn receive_charge(
        &mut self,
        from: net::SocketAddr,
        charge: &message::Charge,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.catalog.is_none() {
            // Without a configuration the limits are unknown; the peer tries another coordinator.
            return;
        }
        let ticket = charge.ticket;
        let answer = match self.charge_responses.get(&ticket) {
            Some((answer, _)) => *answer,
            None => {
                let name = quota::WorkspaceName::from(charge.workspace.as_str());
                let (baseline, amount) = (charge.baseline, charge.amount);
                let result = self.quotas.take_for_peer(ticket.holder, &name, baseline, amount, now);
                let wait_ms = result.err().map(waiting::millis);
                let spending = self.quotas.view(&name, amount).filter(|_| wait_ms.is_some());
                message::ChargeResponse { ticket, wait_ms, spending }
            }
        };
        self.charge_responses.insert(ticket, (answer, now));
        effects.push(Effect::SendMessage {
            to: from,
            message: message::Message::ChargeResponse(answer),
        });
    }

    /// Applies the response to a charge.
    pub(super) fn finish_charge(
        &mut self,
        answer: message::ChargeResponse,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = answer.ticket;
        let Some(live) = self.requests.get(&ticket.request) else { return };
        let live::Phase::AwaitingCharge(awaiting) = &live.phase else { return };
        if ticket != self.ticket(ticket.request, live.attempt) {
            return;
        }
        let amount = awaiting.amount;
        let Some(workspace) = live.workspace.clone() else { return };
        match answer.wait_ms {
            None => {
                self.quotas.record_taken(&workspace.name, amount, now);
                self.continue_charged(ticket.request, amount, now, effects);
            }
            Some(wait_ms) => {
                let wait = time::Duration::from_millis(wait_ms);
                self.refuse_over_limit(ticket.request, wait, answer.spending, now, effects);
            }
        }
    }

    /// Sends charges without a response again, and after the response timeout to the next
    /// coordinator.
    pub(super) fn resend_charges(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let awaiting: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(request, live)| match &live.phase {
                live::Phase::AwaitingCharge(awaiting) => Some((*request, awaiting.clone())),
                _ => None,
            })
            .collect();
        for (request, awaiting) in awaiting {
            if now >= awaiting.first_sent + constants::COORDINATOR_RESPONSE_TIMEOUT {
                self.log_unresponsive_coordinator(request, &awaiting, now, effects);
                self.request_charge(request, awaiting, now, effects);
            } else if now >= awaiting.last_sent + constants::COORDINATOR_RESPONSE_TIMEOUT / 3 {
                let Some(to) = awaiting.coordinators.last() else { continue };
                self.send_charge(request, *to, awaiting.amount, effects);
                if let Some(live) = self.requests.get_mut(&request) {
                    live.phase = live::Phase::AwaitingCharge(live::AwaitingCharge {
                        last_sent: now,
                        ..awaiting
                    });
                }
            }
        }
        self.charge_responses.retain(|_, (_, at)| now < *at + RESPONSE_RETENTION);
    }

    fn log_unresponsive_coordinator(
        &self,
        request: call::RequestNumber,
        awaiting: &live::AwaitingCharge,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        effects.push(Effect::Log(decision::Decision::LimitCoordinatorUnresponsive {
            request: fleet::text(&live.call.id),
            coordinator: awaiting.coordinators.last().copied(),
            waited_ms: waiting::millis(now.saturating_sub(awaiting.first_sent)),
        }));
    }

    /// Returns the charge of a request that certainly has not run.
    pub(super) fn refund_charge(
        &mut self,
        live: &live::LiveRequest,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(workspace) = live.workspace.as_ref().filter(|_| live.charge > 0.0) else { return };
        self.quotas.refund(&workspace.name, live.charge, now);
        if self.is_coordinated(now) {
            let tally = self.quotas.own_spent(&workspace.name);
            for coordinator in self.peers.coordinators(now) {
                let message = message::Message::Refunded {
                    holder: self.own.incarnation,
                    workspace: workspace.name.to_string(),
                    tally,
                };
                effects.push(Effect::SendMessage { to: coordinator.peer_address, message });
            }
        }
    }

    pub(super) fn ticket(&self, request: call::RequestNumber, attempt: u32) -> ledger::Ticket {
        ledger::Ticket { holder: self.own.incarnation, request, attempt }
    }
}

/// Returns the amount that a request takes from its workspace's limit.
fn charge_of(call: &call::Call, limit: Option<catalog::Limit>) -> f64 {
    match (limit, call.tokens) {
        (None, _) => 0.0,
        (Some(limit), _) if !limit.counts_tokens => 1.0,
        (Some(limit), None) => limit.plain_tokens,
        (Some(_), Some(tokens)) => f64::from(tokens.total_tokens()),
    }
}
