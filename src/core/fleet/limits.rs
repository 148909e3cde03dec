//! How a request's charge is taken from its workspace's limit: at once, or by a question to the
//! coordinator that counts the limits of a large fleet.
//!
//! Load pattern: one workspace sends many times its rate at hundreds of instances, each of which
//! sees a few requests a second.

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

/// How long the answer to a charge is kept for a question that is repeated.
const ANSWERS_FOR: time::Duration = time::Duration::from_secs(1);

impl Fleet {
    /// Takes a request's charge, or asks for it, and goes on with the request.
    pub(super) fn seek_charge(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let limited = live.workspace.clone().filter(|it| self.quotas.is_limited(&it.name));
        let Some(workspace) = limited else { return self.begin(request, now, effects) };
        let amount = charge_of(&live.call, workspace.limit);
        if !self.is_coordinated(now) {
            let members = u32::try_from(self.peers.members(now)).unwrap_or(u32::MAX);
            let digest_age = constants::DIGEST_INTERVAL_PER_MEMBER.saturating_mul(members);
            let taken = self.quotas.take(&workspace.name, amount, digest_age, now);
            return self.charged_here(request, &workspace.name, amount, taken, now, effects);
        }
        let charging = live::Charging { amount, keepers: Vec::new(), since: now, asked: now };
        self.ask_keeper(request, charging, now, effects);
    }

    /// Asks the first coordinator that was not asked yet, or decides without one.
    fn ask_keeper(
        &mut self,
        request: call::RequestNumber,
        charging: live::Charging,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let amount = charging.amount;
        let Some(live) = self.requests.get_mut(&request) else { return };
        let Some(workspace) = live.workspace.clone() else { return };
        let asked = &charging.keepers;
        let next = self
            .peers
            .coordinators(now)
            .into_iter()
            .find(|member| !asked.contains(&member.peer_address));
        let is_own = self.coordinates && next.is_none_or(|other| self.own.precedes(other));
        if let Some(to) = next.map(|member| member.peer_address).filter(|_| !is_own) {
            let mut charging = live::Charging { since: now, asked: now, ..charging };
            charging.keepers.push(to);
            live.attempt += 1;
            live.phase = live::Phase::Charging(charging);
            return self.tell_charge(request, to, amount, effects);
        }
        let name = &workspace.name;
        let taken = if is_own {
            self.quotas.take(name, amount, time::Duration::ZERO, now)
        } else {
            self.quotas.take_part(name, amount, self.peers.members(now), now)
        };
        self.charged_here(request, name, amount, taken, now, effects);
    }

    fn tell_charge(
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
            before: self.quotas.own_spent(&workspace.name),
            amount,
        };
        effects.push(Effect::SendMessage { to, message: message::Message::Charge(charge) });
    }

    fn charged_here(
        &mut self,
        request: call::RequestNumber,
        workspace: &quota::WorkspaceName,
        amount: f64,
        taken: Result<(), time::Duration>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match taken {
            Ok(()) => self.go_on(request, amount, now, effects),
            Err(wait) => {
                let spending = self.quotas.view(workspace, amount);
                self.refuse_over_limit(request, wait, spending, now, effects);
            }
        }
    }

    fn go_on(
        &mut self,
        request: call::RequestNumber,
        amount: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.charge = amount;
        }
        self.begin(request, now, effects);
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
        let third = live.expires.saturating_sub(now) / 3;
        let wait = self.spread(wait).min(third);
        let refusal = refusal::Refusal::retry_after(refusal::Reason::OverLimit, wait);
        self.refuse(request, refusal::Refusal { spending, ..refusal }, now, effects);
    }

    /// Answers a charge of a peer; views differ for a moment, so nobody checks who should count.
    pub(super) fn charge_asked(
        &mut self,
        from: net::SocketAddr,
        charge: &message::Charge,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.catalog.is_none() {
            // Without limits nothing can be compared; the peer asks another one.
            return;
        }
        let ticket = charge.ticket;
        let answer = match self.charged.get(&ticket) {
            Some((answer, _)) => *answer,
            None => {
                let name = quota::WorkspaceName::from(charge.workspace.as_str());
                let (before, amount) = (charge.before, charge.amount);
                let taken = self.quotas.take_for(ticket.holder, &name, before, amount, now);
                let wait_ms = taken.err().map(waiting::millis);
                let spending = self.quotas.view(&name, amount).filter(|_| wait_ms.is_some());
                message::Charged { ticket, wait_ms, spending }
            }
        };
        self.charged.insert(ticket, (answer, now));
        effects.push(Effect::SendMessage { to: from, message: message::Message::Charged(answer) });
    }

    /// Takes the answer to a charge.
    pub(super) fn charge_answered(
        &mut self,
        answer: message::Charged,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = answer.ticket;
        let Some(live) = self.requests.get(&ticket.request) else { return };
        let live::Phase::Charging(charging) = &live.phase else { return };
        if ticket != self.ticket(ticket.request, live.attempt) {
            return;
        }
        let amount = charging.amount;
        let Some(workspace) = live.workspace.clone() else { return };
        match answer.wait_ms {
            None => {
                self.quotas.note_taken(&workspace.name, amount, now);
                self.go_on(ticket.request, amount, now, effects);
            }
            Some(wait_ms) => {
                let wait = time::Duration::from_millis(wait_ms);
                self.refuse_over_limit(ticket.request, wait, answer.spending, now, effects);
            }
        }
    }

    /// Asks again where a coordinator does not answer, then the next one.
    pub(super) fn chase_charges(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let charging: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(request, live)| match &live.phase {
                live::Phase::Charging(charging) => Some((*request, charging.clone())),
                _ => None,
            })
            .collect();
        for (request, charging) in charging {
            if now >= charging.since + constants::COORDINATOR_RESPONSE_TIMEOUT {
                self.log_silent_keeper(request, &charging, now, effects);
                self.ask_keeper(request, charging, now, effects);
            } else if now >= charging.asked + constants::COORDINATOR_RESPONSE_TIMEOUT / 3 {
                let Some(to) = charging.keepers.last() else { continue };
                self.tell_charge(request, *to, charging.amount, effects);
                if let Some(live) = self.requests.get_mut(&request) {
                    live.phase = live::Phase::Charging(live::Charging { asked: now, ..charging });
                }
            }
        }
        self.charged.retain(|_, (_, at)| now < *at + ANSWERS_FOR);
    }

    fn log_silent_keeper(
        &self,
        request: call::RequestNumber,
        charging: &live::Charging,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        effects.push(Effect::Log(decision::Decision::KeeperSilent {
            request: fleet::text(&live.call.id),
            keeper: charging.keepers.last().copied(),
            waited_ms: waiting::millis(now.saturating_sub(charging.since)),
        }));
    }

    /// Gives back the charge of a request that certainly has not run.
    pub(super) fn give_back(
        &mut self,
        live: &live::Live,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(workspace) = live.workspace.as_ref().filter(|_| live.charge > 0.0) else { return };
        self.quotas.refund(&workspace.name, live.charge, now);
        if self.is_coordinated(now) {
            let tally = self.quotas.own_spent(&workspace.name);
            for coordinator in self.peers.coordinators(now) {
                let message = message::Message::Spent {
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

/// Returns what a request takes from its workspace's limit.
fn charge_of(call: &call::Call, limit: Option<catalog::Limit>) -> f64 {
    match (limit, call.tokens) {
        (None, _) => 0.0,
        (Some(limit), _) if !limit.counts_tokens => 1.0,
        (Some(limit), None) => limit.plain_tokens,
        (Some(_), Some(tokens)) => f64::from(tokens.total_tokens()),
    }
}
