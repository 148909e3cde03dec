//! Places that are granted by one owner for each service, in fleets too large for each instance to
//! know all work at once.
//!
//! Load pattern: each of many instances sees a request a second, and all choose the same server
//! before they hear of each other.

use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::ledger;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::placement;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// A claim of another instance that waits here.
#[derive(Debug, Clone)]
pub struct RemoteClaim {
    /// What is claimed.
    pub claim: claim::Claim,
    /// Where the answer goes.
    pub from: std::net::SocketAddr,
}

impl Fleet {
    /// Asks the owner of the request's service for a place; `false` if this instance decides.
    pub(super) fn ask_owner(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.is_coordinated(now) {
            return false;
        }
        let Some(live) = self.requests.get(&request) else { return false };
        let Some(owner) = self.owner(&live.claim.service, now) else { return false };
        if owner.incarnation == self.own.incarnation {
            return false;
        }
        let (owner, to) = (owner.incarnation, owner.peer_address);
        let Some(live) = self.requests.get_mut(&request) else { return false };
        live.attempt += 1;
        live.phase =
            live::Phase::Asking(live::Asking { owner, to, since: now, asked: now, heard: None });
        self.tell_ask(request, to, now, effects);
        true
    }

    fn tell_ask(
        &self,
        request: call::RequestNumber,
        to: std::net::SocketAddr,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let claim = &live.claim;
        let ask = message::Ask {
            ticket: self.ticket(request, live.attempt),
            service: claim.service.clone(),
            tokens: claim.tokens,
            priority: claim.priority,
            objective_left_ms: waiting::millis(claim.objective_at.saturating_sub(now)),
            begin_left_ms: waiting::millis(claim.begin_by.saturating_sub(now)),
            tried: claim.tried.clone(),
            domain: claim.domain.clone(),
        };
        effects.push(Effect::SendMessage { to, message: message::Message::Ask(ask) });
    }

    /// Asks again, or decides itself, where an owner does not answer.
    pub(super) fn chase_asks(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let asking: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(request, live)| match &live.phase {
                live::Phase::Asking(asking) => Some((*request, asking.clone())),
                _ => None,
            })
            .collect();
        for (request, asking) in asking {
            let heard = asking.heard.unwrap_or(asking.since);
            let limit = if asking.heard.is_some() {
                constants::QUEUE_CONFIRMATION_TIMEOUT
            } else {
                constants::COORDINATOR_RESPONSE_TIMEOUT
            };
            if now >= heard + limit {
                self.place_alone(request, &asking, now, effects);
            } else if now >= asking.asked + limit / 3 {
                self.tell_ask(request, asking.to, now, effects);
                if let Some(live) = self.requests.get_mut(&request)
                    && let live::Phase::Asking(asking) = &mut live.phase
                {
                    asking.asked = now;
                }
            }
        }
    }

    fn place_alone(
        &mut self,
        request: call::RequestNumber,
        asking: &live::Asking,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.phase = live::Phase::Waiting;
        let ticket =
            ledger::Ticket { holder: self.own.incarnation, request, attempt: live.attempt };
        live.attempt += 1;
        effects.push(Effect::Log(fleet::decision::Decision::OwnerSilent {
            request: fleet::text(&live.call.id),
            owner: asking.owner,
            waited_ms: waiting::millis(now.saturating_sub(asking.since)),
        }));
        self.tell_progress(asking.to, ticket, ended(None, time::Duration::ZERO), effects);
        if !self.try_place(request, now, effects) {
            self.waiting.push(request);
        }
    }

    /// Tells the owner that granted a request's place how it went.
    pub(super) fn report(
        &self,
        request: call::RequestNumber,
        progress: message::Progress,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let Some(to) = live.granted_by else { return };
        self.tell_progress(to, self.ticket(request, live.attempt), progress, effects);
    }

    /// Tells an owner that a request that has left needs no place any more.
    pub(super) fn report_end(
        &self,
        request: call::RequestNumber,
        live: &live::Live,
        effects: &mut Vec<Effect>,
    ) {
        let to = match &live.phase {
            live::Phase::Asking(asking) => Some(asking.to),
            _ => live.granted_by,
        };
        if let Some(to) = to {
            let ticket = self.ticket(request, live.attempt);
            self.tell_progress(to, ticket, ended(None, time::Duration::ZERO), effects);
        }
    }

    fn tell_progress(
        &self,
        to: std::net::SocketAddr,
        ticket: ledger::Ticket,
        progress: message::Progress,
        effects: &mut Vec<Effect>,
    ) {
        let message = message::Message::Progress { ticket, progress };
        effects.push(Effect::SendMessage { to, message });
    }

    /// Tells those who place requests what was found out about a server.
    pub(super) fn warn(
        &self,
        server: &ids::ServerId,
        finding: message::Finding,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for to in self.listeners(now) {
            let message = message::Message::Warn { server: server.clone(), finding };
            effects.push(Effect::SendMessage { to, message });
        }
    }

    /// Takes a message of a peer.
    pub(super) fn told(
        &mut self,
        from: std::net::SocketAddr,
        message: message::Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            message::Message::Digest(digest) => self.hear(&digest, now, effects),
            message::Message::Sightings(sightings) => self.sight(&sightings, true, now),
            message::Message::Charge(charge) => self.charge_asked(from, &charge, now, effects),
            message::Message::Charged(answer) => self.charge_answered(answer, now, effects),
            message::Message::Spent { holder, workspace, tally } => {
                self.quotas.heard_of(holder, &workspace, tally, now);
            }
            message::Message::Warn { server, finding } => match finding {
                message::Finding::HandlesLapse => self.servers.pause_handover(&server, now),
                message::Finding::Fails => self.servers.suspect(&server),
            },
            message::Message::Ask(ask) => self.asked(from, ask, now, effects),
            message::Message::Grant { ticket, place, expected_ms, entries } => {
                self.list_granted(entries, now, effects);
                self.granted(from, ticket, place, expected_ms, now, effects);
            }
            message::Message::Queue { ticket } => self.queued(ticket, now),
            message::Message::Decline { ticket, retry_after_ms } => {
                let Some(request) = self.asked_for(ticket) else { return };
                let wait = time::Duration::from_millis(retry_after_ms);
                let reason = refusal::Reason::NoCapacity;
                self.refuse(request, refusal::Refusal::retry_after(reason, wait), now, effects);
            }
            message::Message::Progress { ticket, progress } => {
                self.progressed(ticket, progress, now, effects);
            }
        }
    }

    /// Returns the request that still asks with this ticket.
    fn asked_for(&self, ticket: ledger::Ticket) -> Option<call::RequestNumber> {
        let live = self.requests.get(&ticket.request)?;
        let is_asking = matches!(live.phase, live::Phase::Asking(_));
        let is_own = ticket.holder == self.own.incarnation && ticket.attempt == live.attempt;
        (is_asking && is_own).then_some(ticket.request)
    }

    fn queued(&mut self, ticket: ledger::Ticket, now: ids::Timestamp) {
        let Some(request) = self.asked_for(ticket) else { return };
        if let Some(live) = self.requests.get_mut(&request)
            && let live::Phase::Asking(asking) = &mut live.phase
        {
            asking.heard = Some(now);
        }
    }

    fn granted(
        &mut self,
        from: std::net::SocketAddr,
        ticket: ledger::Ticket,
        place: placement::Place,
        expected_ms: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.asked_for(ticket) else { return };
        let is_known = place.servers().all(|server| self.servers.get(server).is_some());
        if !is_known {
            // The listing of the server has not reached this instance yet.
            let live::Phase::Asking(asking) = &self.requests[&request].phase else { return };
            let asking = asking.clone();
            return self.place_alone(request, &asking, now, effects);
        }
        if let Some(live) = self.requests.get_mut(&request) {
            live.granted_by = Some(from);
        }
        self.use_place(request, place, expected_ms as f64, now, effects);
    }

    /// Takes an ask as the owner of its service; views differ for a moment, so nobody checks that
    /// it is the owner.
    fn asked(
        &mut self,
        from: std::net::SocketAddr,
        ask: message::Ask,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = ask.ticket;
        if let Some((place, expected_ms)) = self.grants.get(&ticket).cloned() {
            self.tell_grant(from, ticket, place, expected_ms, now, effects);
            return;
        }
        let engine = self.catalog.as_ref().and_then(|catalog| catalog.engine(&ask.service));
        let objective_at = now + time::Duration::from_millis(ask.objective_left_ms);
        let claim = claim::Claim {
            engine,
            tokens: ask.tokens,
            priority: ask.priority,
            objective_at,
            begin_by: now + time::Duration::from_millis(ask.begin_left_ms),
            tried: ask.tried,
            domain: ask.domain,
            service: ask.service,
        };
        self.claims.insert(ticket, RemoteClaim { claim, from });
        if self.try_grant(ticket, now, effects) || self.decline(ticket, now, effects) {
            return;
        }
        effects.push(Effect::SendMessage { to: from, message: message::Message::Queue { ticket } });
    }

    /// Grants a place to a claim of another instance if there is one.
    pub(super) fn try_grant(
        &mut self,
        ticket: ledger::Ticket,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(remote) = self.claims.get(&ticket) else { return false };
        let Some((place, expected_ms)) = self.choose(&remote.claim, now) else { return false };
        let (to, claim) = (remote.from, remote.claim.clone());
        self.claims.remove(&ticket);
        let places = place.loads(&claim);
        self.ledger.enter(ticket, places, &mut self.servers, now);
        let expected_ms = expected_ms as u64;
        self.grants.insert(ticket, (place.clone(), expected_ms));
        self.tell_grant(to, ticket, place, expected_ms, now, effects);
        true
    }

    fn tell_grant(
        &self,
        to: std::net::SocketAddr,
        ticket: ledger::Ticket,
        place: placement::Place,
        expected_ms: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let servers = place.servers().filter_map(|server| self.servers.get(server));
        let new = servers.filter(|server| server.is_new(now));
        let entries = new.map(|server| server.entry.clone()).collect();
        let message = message::Message::Grant { ticket, place, expected_ms, entries };
        effects.push(Effect::SendMessage { to, message });
    }

    /// Takes servers of which the store's listing has not reached this instance yet.
    fn list_granted(
        &mut self,
        entries: Vec<servers::Entry>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for entry in entries {
            let is_after_outage = false;
            self.list_one(servers::EntryChange::Put(entry), is_after_outage, now, effects);
        }
    }

    /// Declines a claim of another instance whose time cannot suffice.
    pub(super) fn decline(
        &mut self,
        ticket: ledger::Ticket,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(remote) = self.claims.get(&ticket) else { return false };
        let (to, claim) = (remote.from, remote.claim.clone());
        let Some(wait) = self.hopeless(waiting::Waiter::Remote(ticket), &claim, now) else {
            return false;
        };
        self.claims.remove(&ticket);
        let retry_after_ms = waiting::millis(wait);
        let message = message::Message::Decline { ticket, retry_after_ms };
        effects.push(Effect::SendMessage { to, message });
        true
    }

    fn progressed(
        &mut self,
        ticket: ledger::Ticket,
        progress: message::Progress,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match progress {
            message::Progress::Read { server, tokens, elapsed_ms } => {
                let elapsed = time::Duration::from_millis(elapsed_ms);
                self.servers.note_reading(&server, tokens, elapsed);
                self.read(ticket, &server, now);
            }
            message::Progress::Ended { evidence, elapsed_ms } => {
                self.claims.remove(&ticket);
                self.grants.remove(&ticket);
                self.ledger.end(ticket, &mut self.servers, now);
                if let Some((server, evidence)) = evidence {
                    self.servers.note_evidence(&server, evidence, now);
                    if evidence == servers::Evidence::Answered {
                        let elapsed = time::Duration::from_millis(elapsed_ms);
                        self.servers.note_work(&server, elapsed);
                    }
                }
            }
        }
        self.pump(now, effects);
    }

    /// Counts a prompt as read: a prefill server is free, a decode server goes on.
    fn read(&mut self, ticket: ledger::Ticket, server: &ids::ServerId, now: ids::Timestamp) {
        let Some(mut places) = self.ledger.places(&ticket).cloned() else { return };
        let is_handover = places.len() > 1;
        if is_handover {
            places.retain(|(place, _)| place != server);
        }
        for (_, load) in &mut places {
            *load = servers::Load { reading: 0, unread_tokens: 0, ..*load };
        }
        self.ledger.enter(ticket, places, &mut self.servers, now);
    }

    /// Forgets the claims and grants of instances that are gone.
    pub(super) fn forget_gone(&mut self, now: ids::Timestamp) {
        let live = self.live_holders(now);
        self.claims.retain(|ticket, _| live.contains(&ticket.holder));
        self.ledger.retain_holders(|holder| live.contains(&holder), &mut self.servers, now);
        let ledger = &self.ledger;
        self.grants.retain(|ticket, _| ledger.places(ticket).is_some());
    }
}

/// Returns the end of a request at its place.
pub(super) fn ended(
    evidence: Option<(ids::ServerId, servers::Evidence)>,
    elapsed: time::Duration,
) -> message::Progress {
    message::Progress::Ended { evidence, elapsed_ms: waiting::millis(elapsed) }
}
