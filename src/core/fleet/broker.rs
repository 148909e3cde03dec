//! Reservations, which one owner per service grants for all instances.
//!
//! Load pattern: several instances have waiting requests, and all choose the server that becomes free
//! before they learn of each other's choice.

use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::hedging;
use crate::core::fleet::ledger;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::placement;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// A claim of another instance that waits in this instance's queue.
#[derive(Debug, Clone)]
pub struct RemoteClaim {
    /// The claim.
    pub claim: claim::Claim,
    /// The address of the instance, which receives the response.
    pub from: std::net::SocketAddr,
}

/// A reservation that this instance has granted.
#[derive(Debug, Clone)]
pub struct Granted {
    /// The claim.
    pub claim: claim::Claim,
    /// The servers with reserved capacity.
    pub placement: placement::Placement,
    /// The expected time to the first event or whole answer.
    pub expected_ms: u64,
}

impl Fleet {
    /// Requests a reservation from the owner of the request's service; returns `false` if this
    /// instance places the request itself.
    pub(super) fn request_reservation(
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
        let (owner, owner_address) = (owner.incarnation, owner.peer_address);
        let Some(live) = self.requests.get_mut(&request) else { return false };
        live.attempt += 1;
        live.phase = live::Phase::AwaitingGrant(live::AwaitingGrant {
            owner,
            owner_address,
            first_sent: now,
            last_sent: now,
            last_confirmed: None,
        });
        self.send_reservation_request(request, owner_address, now, effects);
        true
    }

    fn send_reservation_request(
        &self,
        request: call::RequestNumber,
        to: std::net::SocketAddr,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let claim = &live.claim;
        let live::Phase::AwaitingGrant(awaiting) = &live.phase else { return };
        let knows_limits = self
            .servers
            .of_service(&claim.service)
            .any(|server| server.allowance().is_some() && server.is_kept_by(awaiting.owner, now));
        let reads_workspaces =
            knows_limits || self.peers.speaks(awaiting.owner, message::WORKSPACE_LEVEL);
        let workspace = claim.workspace.as_ref().filter(|_| reads_workspaces);
        let request = message::ReservationRequest {
            ticket: self.ticket(request, live.attempt),
            service: claim.service.clone(),
            tokens: claim.tokens,
            priority: claim.priority,
            objective_remaining_ms: waiting::millis(claim.objective_at.saturating_sub(now)),
            begin_remaining_ms: waiting::millis(claim.begin_by.saturating_sub(now)),
            tried: [
                self.unwilling_servers(claim, now),
                self.servers_unknown_to_be_evacuated(&claim.service, awaiting.owner),
            ]
            .concat(),
            domain: claim.domain.clone(),
            prompt: claim.prompt,
        };
        let message = match &claim.binding {
            // Builds that do not read the workspace state neither limits nor a protocol level.
            binding if let Some(workspace) = workspace => message::Message::ReserveForWorkspace {
                request,
                software_version: binding.version().cloned(),
                workspace: workspace.to_string(),
            },
            claim::Binding::Version(version) => {
                message::Message::ReserveAtVersion { request, software_version: version.clone() }
            }
            claim::Binding::Any | claim::Binding::Unknown => message::Message::Reserve(request),
        };
        effects.push(Effect::SendMessage { to, message });
    }

    /// Sends reservation requests without a response again. After the timeout, this instance places
    /// the request itself.
    pub(super) fn resend_reservation_requests(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let awaiting: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(request, live)| match &live.phase {
                live::Phase::AwaitingGrant(awaiting) => Some((*request, awaiting.clone())),
                _ => None,
            })
            .collect();
        for (request, awaiting) in awaiting {
            let confirmed = awaiting.last_confirmed.unwrap_or(awaiting.first_sent);
            let limit = if awaiting.last_confirmed.is_some() {
                constants::QUEUE_CONFIRMATION_TIMEOUT
            } else {
                constants::COORDINATOR_RESPONSE_TIMEOUT
            };
            if now >= confirmed + limit {
                self.log_unresponsive_owner(request, &awaiting, now, effects);
                self.place_without_owner(request, &awaiting, now, effects);
            } else if now >= awaiting.last_sent + limit / 3 {
                self.send_reservation_request(request, awaiting.owner_address, now, effects);
                if let Some(live) = self.requests.get_mut(&request)
                    && let live::Phase::AwaitingGrant(awaiting) = &mut live.phase
                {
                    awaiting.last_sent = now;
                }
            }
        }
    }

    fn log_unresponsive_owner(
        &self,
        request: call::RequestNumber,
        awaiting: &live::AwaitingGrant,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        effects.push(Effect::Log(decision::Decision::OwnerUnresponsive {
            request: fleet::text(&live.call.id),
            owner: awaiting.owner,
            waited_ms: waiting::millis(now.saturating_sub(awaiting.first_sent)),
        }));
    }

    fn place_without_owner(
        &mut self,
        request: call::RequestNumber,
        awaiting: &live::AwaitingGrant,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if hedging::is_second_leg(request) {
            return self.drop_second_leg(request, hedging::Obstacle::OwnerUnresponsive, effects);
        }
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.phase = live::Phase::Waiting;
        let ticket =
            ledger::Ticket { holder: self.own.incarnation, request, attempt: live.attempt };
        live.attempt += 1;
        self.send_progress(
            awaiting.owner_address,
            ticket,
            ended(None, time::Duration::ZERO),
            effects,
        );
        if !self.try_place(request, now, effects) {
            self.waiting.push(request);
        }
    }

    /// Reports the progress of a request to the owner that granted its reservation.
    pub(super) fn report_progress(
        &self,
        request: call::RequestNumber,
        progress: message::Progress,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let Some(to) = live.grant.map(|grant| grant.owner_address) else { return };
        let ticket = self.ticket(live.ticket_number(request), live.attempt);
        self.send_progress(to, ticket, progress, effects);
    }

    /// Reports to an owner that a request that has ended needs no reservation any more.
    pub(super) fn report_end(
        &self,
        request: call::RequestNumber,
        live: &live::LiveRequest,
        effects: &mut Vec<Effect>,
    ) {
        let to = match &live.phase {
            live::Phase::AwaitingGrant(awaiting) => Some(awaiting.owner_address),
            _ => live.grant.map(|grant| grant.owner_address),
        };
        if let Some(to) = to {
            let ticket = self.ticket(live.ticket_number(request), live.attempt);
            self.send_progress(to, ticket, ended(None, time::Duration::ZERO), effects);
        }
    }

    fn send_progress(
        &self,
        to: std::net::SocketAddr,
        ticket: ledger::Ticket,
        progress: message::Progress,
        effects: &mut Vec<Effect>,
    ) {
        let message = message::Message::Progress { ticket, progress };
        effects.push(Effect::SendMessage { to, message });
    }

    /// Warns the instances that place requests about a server.
    pub(super) fn send_warning(
        &self,
        server: &ids::ServerId,
        finding: message::Finding,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let message = message::Message::ServerWarning { server: server.clone(), finding };
        self.send_to_placing_peers(&message, now, effects);
    }

    /// Applies a message of a peer.
    pub(super) fn receive(
        &mut self,
        from: std::net::SocketAddr,
        message: message::Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            message::Message::Digest(digest) => self.receive_digest(&digest, now, effects),
            message::Message::Observations(members) => self.observe_members(&members, true, now),
            message::Message::Charge(charge) => self.receive_charge(from, &charge, now, effects),
            message::Message::ChargeResponse(answer) => self.finish_charge(answer, now, effects),
            message::Message::Refunded { holder, workspace, tally } => {
                self.quotas.apply_tally(holder, &workspace, tally, now);
            }
            message::Message::ServerWarning { server, finding } => match finding {
                message::Finding::HandlesExpire => self.servers.pause_handover(&server, now),
                message::Finding::Fails => self.servers.record_warning(&server),
            },
            message::Message::Reserve(request) => {
                self.reserve_remote(from, request, claim::Binding::Any, None, now, effects);
            }
            message::Message::ReserveAtVersion { request, software_version } => {
                let binding = claim::Binding::Version(software_version);
                self.reserve_remote(from, request, binding, None, now, effects);
            }
            message::Message::ReserveForWorkspace { request, software_version, workspace } => {
                let binding = software_version.map_or(claim::Binding::Any, claim::Binding::Version);
                let workspace = Some(quota::WorkspaceName::from(workspace));
                self.reserve_remote(from, request, binding, workspace, now, effects);
            }
            message::Message::StreamsBegun(origins) => self.receive_origins(origins, now, effects),
            message::Message::StreamUnknown { stream } => {
                self.receive_unknown_stream(stream, now, effects);
            }
            message::Message::StreamQuery { stream } => {
                self.answer_stream_query(from, stream, now, effects);
            }
            message::Message::Grant { ticket, placement, expected_ms, entries } => {
                self.receive_granted_entries(ticket, entries, now, effects);
                self.receive_grant(from, ticket, placement, expected_ms, now, effects);
            }
            message::Message::Queued { ticket } => self.confirm_queued(ticket, now, effects),
            message::Message::Decline { ticket, retry_after_ms } => {
                let Some(request) = self.pending_request(ticket) else { return };
                if self.refuse_if_evacuated(request, now, effects) {
                    return;
                }
                let Some(live) = self.requests.get(&request) else { return };
                let wait = time::Duration::from_millis(retry_after_ms);
                let refusal = self.no_capacity(live, wait, now);
                self.refuse(request, refusal, now, effects);
            }
            message::Message::ServerLimits(limits) => {
                self.receive_limits(&limits, now, effects);
            }
            message::Message::ServersCold(reports) => {
                self.receive_cold_reports(&reports, now, effects);
            }
            message::Message::ServerLoads(reports) => self.receive_load_reports(&reports, now),
            message::Message::ServerCrashed(report) => {
                self.apply_crash(&report, Some(from), now, effects);
            }
            message::Message::RequestsSurvived { features, age_ms } => {
                self.receive_survival(&features, age_ms, now);
            }
            message::Message::ServerLeaving { server, born_ms } => {
                let source = decision::Source::Peer;
                self.mark_leaving(&server, born_ms, source, now, effects);
            }
            message::Message::Quarantines(reports) => {
                self.receive_quarantines(&reports, now, effects);
            }
            message::Message::Evacuations(reports) => {
                self.receive_evacuations(from, &reports, now, effects);
            }
            message::Message::ProtocolLevel { from, level } => {
                self.peers.record_protocol_level(from, level);
            }
            message::Message::Progress { ticket, progress } => {
                self.receive_progress(ticket, progress, now, effects);
            }
        }
    }

    /// Returns the request that still waits for the response with this ticket.
    pub(super) fn pending_request(&self, ticket: ledger::Ticket) -> Option<call::RequestNumber> {
        let live = self.requests.get(&ticket.request)?;
        let is_awaiting = matches!(live.phase, live::Phase::AwaitingGrant(_));
        let is_own = ticket.holder == self.own.incarnation && ticket.attempt == live.attempt;
        (is_awaiting && is_own).then_some(ticket.request)
    }

    fn confirm_queued(
        &mut self,
        ticket: ledger::Ticket,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.pending_request(ticket) else { return };
        if hedging::is_second_leg(request) {
            return self.drop_second_leg(request, hedging::Obstacle::ShortOfRoom, effects);
        }
        if let Some(live) = self.requests.get_mut(&request)
            && let live::Phase::AwaitingGrant(awaiting) = &mut live.phase
        {
            awaiting.last_confirmed = Some(now);
        }
    }

    fn receive_grant(
        &mut self,
        from: std::net::SocketAddr,
        ticket: ledger::Ticket,
        placement: placement::Placement,
        expected_ms: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.pending_request(ticket) else { return };
        let live::Phase::AwaitingGrant(awaiting) = &self.requests[&request].phase else { return };
        let awaiting = awaiting.clone();
        if self.evacuated_server(&placement).is_some() {
            self.log_evacuated_grant(request, &placement, &awaiting, effects);
            return self.place_without_owner(request, &awaiting, now, effects);
        }
        let is_willing = |server| self.servers.get(server).is_some_and(|it| it.is_willing(now));
        let is_known = placement.servers().all(is_willing);
        let generator = placement.servers().last().and_then(|server| self.servers.get(server));
        let binding = &self.requests[&request].claim.binding;
        let is_allowed = generator.is_some_and(|server| binding.allows(server));
        if !is_known || !is_allowed {
            // This instance does not know the server yet, or the owner has an older entry of it or does
            // not know what it has asked of this instance.
            self.log_unresponsive_owner(request, &awaiting, now, effects);
            return self.place_without_owner(request, &awaiting, now, effects);
        }
        if !self.is_within_limits(&placement, awaiting.owner, now) {
            self.log_declined_grant(request, &placement, &awaiting, effects);
            return self.place_without_owner(request, &awaiting, now, effects);
        }
        if let Some(live) = self.requests.get_mut(&request) {
            let owner = awaiting.owner;
            live.grant = Some(live::Grant { owner, owner_address: from, received: now });
            live.order = None;
        }
        self.use_placement(request, placement, expected_ms as f64, now, effects);
    }

    /// Receives a reservation request as owner of the service. It does not check that this instance
    /// is the owner, as views of the coordinators differ for short times.
    fn reserve_remote(
        &mut self,
        from: std::net::SocketAddr,
        request: message::ReservationRequest,
        binding: claim::Binding,
        workspace: Option<quota::WorkspaceName>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let ticket = request.ticket;
        if let Some(Granted { placement, expected_ms, .. }) = self.grants.get(&ticket).cloned() {
            self.send_grant(from, ticket, placement, expected_ms, now, effects);
            return;
        }
        let engine = self.catalog.as_ref().and_then(|catalog| catalog.engine(&request.service));
        let objective = time::Duration::from_millis(request.objective_remaining_ms);
        let start_time = match self.claims.get(&ticket) {
            // A request that is sent again has less time left, which says nothing about its work.
            Some(known) if engine.is_none() => known.claim.start_time,
            _ => self.start_time(engine, &request.service, request.tokens, objective),
        };
        let arrived = self.claims.get(&ticket).map_or(now, |known| known.claim.arrived);
        let claim = claim::Claim {
            engine,
            start_time,
            tokens: request.tokens,
            prompt: request.prompt,
            workspace,
            priority: request.priority,
            arrived,
            objective_at: now + objective,
            begin_by: now + time::Duration::from_millis(request.begin_remaining_ms),
            tried: request.tried,
            domain: request.domain,
            service: request.service,
            binding,
        };
        // Where workspaces take turns, those that wait come first.
        let is_queued = self.is_shared_fairly(&claim.service, now);
        self.claims.insert(ticket, RemoteClaim { claim, from });
        let is_granted = if is_queued {
            self.place_waiting(now, effects);
            !self.claims.contains_key(&ticket)
        } else {
            self.try_grant(ticket, now, effects)
        };
        if !is_granted {
            self.refuse_arrival(waiting::Waiter::Remote(ticket), now, effects);
        }
        if !self.claims.contains_key(&ticket) {
            return;
        }
        effects
            .push(Effect::SendMessage { to: from, message: message::Message::Queued { ticket } });
    }

    /// Grants a reservation to a claim of another instance; returns `false` if there is no
    /// placement now.
    pub(super) fn try_grant(
        &mut self,
        ticket: ledger::Ticket,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(remote) = self.claims.get(&ticket) else { return false };
        let Some((placement, expected_ms)) = self.choose(&remote.claim, false, now) else {
            return false;
        };
        let (to, claim) = (remote.from, remote.claim.clone());
        self.claims.remove(&ticket);
        self.record_prompt(&claim, &placement, now);
        self.take_allowances(&claim, &placement, now);
        let reservations = placement.loads(&claim);
        self.ledger.insert(ticket, reservations, &mut self.servers, now);
        let expected_ms = expected_ms as u64;
        let granted = Granted { claim, placement: placement.clone(), expected_ms };
        self.grants.insert(ticket, granted);
        self.send_grant(to, ticket, placement, expected_ms, now, effects);
        true
    }

    fn send_grant(
        &self,
        to: std::net::SocketAddr,
        ticket: ledger::Ticket,
        placement: placement::Placement,
        expected_ms: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let entries = self.granted_entries(&placement, now);
        let message = message::Message::Grant { ticket, placement, expected_ms, entries };
        effects.push(Effect::SendMessage { to, message });
    }

    /// Adds servers of a grant whose entries this instance has not read yet.
    pub(super) fn add_granted_servers(
        &mut self,
        entries: Vec<servers::Entry>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for entry in entries {
            self.apply_server_change(
                servers::EntryChange::Put(entry),
                servers::Source::Steady,
                now,
                effects,
            );
        }
    }

    /// Declines a claim of another instance that cannot be served in time.
    pub(super) fn decline(
        &mut self,
        ticket: ledger::Ticket,
        wait: time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        let Some(remote) = self.claims.remove(&ticket) else { return };
        let retry_after_ms = waiting::millis(wait);
        let message = message::Message::Decline { ticket, retry_after_ms };
        effects.push(Effect::SendMessage { to: remote.from, message });
    }

    fn receive_progress(
        &mut self,
        ticket: ledger::Ticket,
        progress: message::Progress,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match progress {
            message::Progress::Prefilled { server, tokens, elapsed_ms } => {
                let elapsed = time::Duration::from_millis(elapsed_ms);
                self.servers.record_prefill(&server, tokens, elapsed);
                self.servers.record_answered(&server);
                self.record_prefilled(ticket, &server, now);
            }
            message::Progress::Ended { evidence, elapsed_ms } => {
                self.claims.remove(&ticket);
                let granted = self.grants.remove(&ticket);
                self.ledger.end(ticket, &mut self.servers, now);
                if let Some((server, evidence)) = evidence {
                    self.servers.record_evidence(&server, evidence, now);
                    if evidence == servers::Evidence::Answered {
                        self.servers.record_answered(&server);
                        let elapsed = time::Duration::from_millis(elapsed_ms);
                        if let Some(granted) = &granted {
                            let expected_ms = granted.expected_ms as f64;
                            self.check_stated_load(&server, elapsed, expected_ms, now, effects);
                        }
                        self.servers.record_work(&server, elapsed, now);
                        if let Some(granted) = granted {
                            self.correct_use(&granted.claim, elapsed, now);
                        }
                    }
                }
            }
        }
        self.place_waiting(now, effects);
    }

    /// Removes the prefill load of a request. After a handover only the decode server keeps a
    /// reservation.
    fn record_prefilled(
        &mut self,
        ticket: ledger::Ticket,
        server: &ids::ServerId,
        now: ids::Timestamp,
    ) {
        let Some(mut reservations) = self.ledger.reservations(&ticket).cloned() else { return };
        let is_handover = reservations.len() > 1;
        if is_handover {
            reservations.retain(|(placement, _)| placement != server);
        }
        for (_, load) in &mut reservations {
            *load = servers::Load { prefilling: 0, tokens_to_prefill: 0, ..*load };
        }
        self.ledger.insert(ticket, reservations, &mut self.servers, now);
    }

    /// Removes the claims and reservations of instances that no longer count as live.
    pub(super) fn drop_lost_holders(&mut self, now: ids::Timestamp) {
        let live = self.live_incarnations(now);
        self.claims.retain(|ticket, _| live.contains(&ticket.holder));
        self.ledger.retain_holders(|holder| live.contains(&holder), &mut self.servers, now);
        let ledger = &self.ledger;
        self.grants.retain(|ticket, _| ledger.reservations(ticket).is_some());
    }
}

/// Returns the message that a request no longer needs its reservation.
pub(super) fn ended(
    evidence: Option<(ids::ServerId, servers::Evidence)>,
    elapsed: time::Duration,
) -> message::Progress {
    message::Progress::Ended { evidence, elapsed_ms: waiting::millis(elapsed) }
}
