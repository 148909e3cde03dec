//! Requests a reservation from candidate servers until one is granted.

use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::client;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;

impl client::Client {
    pub(super) fn request_next(
        &mut self,
        key: client::RequestPhase,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Entry::Waiting(wait)) = self.entries.get(&key) else { return };
        let open = |state| matches!(state, client::State::Sent | client::State::Queued);
        let requested = wait.candidates.iter().filter(|candidate| open(candidate.state)).count();
        if requested >= constants::CONCURRENT_RESERVATION_REQUESTS {
            return;
        }
        let next =
            wait.candidates.iter().position(|candidate| candidate.state == client::State::Unsent);
        if let Some(index) = next {
            self.send_request(key, index, context, out);
        }
    }

    pub(super) fn request_from(
        &mut self,
        key: client::RequestPhase,
        server: &ids::ServerId,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Entry::Waiting(wait)) = self.entries.get(&key) else { return };
        let index = wait.candidates.iter().position(|candidate| candidate.server == *server);
        if let Some(index) = index {
            self.send_request(key, index, context, out);
        }
    }

    fn send_request(
        &mut self,
        key: client::RequestPhase,
        index: usize,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Entry::Waiting(wait)) = self.entries.get_mut(&key) else { return };
        let candidate = &mut wait.candidates[index];
        if candidate.ticket == 0 {
            self.last_ticket += 1;
            candidate.ticket = self.last_ticket;
            self.tickets.insert(candidate.ticket, key);
            let tickets = self.tickets_by_server.entry(candidate.server.clone()).or_default();
            tickets.insert(candidate.ticket);
        }
        if !matches!(candidate.state, client::State::Queued | client::State::TimedOut) {
            candidate.state = client::State::Sent;
        }
        let Some(owner) = context.assignment.owner(&candidate.server) else { return };
        let decode = key.1 == scheduler::Phase::Decode;
        let report = self.reports.remove(&(candidate.server.clone(), decode));
        let waited_ms = client::millis(context.now.saturating_sub(wait.since));
        let demand = &wait.demand;
        let request = message::ReservationRequest {
            ticket: candidate.ticket,
            sequence: demand.request as u64,
            server: candidate.server.clone(),
            decode,
            workspace: demand.workspace.clone(),
            work_tokens: client::work_tokens(demand, index == 0),
            memory_pieces: demand.memory_pieces,
            age_ms: demand.age_ms.saturating_add(waited_ms),
            slack_ms: demand.slack_ms.saturating_sub(waited_ms as i32),
            report,
        };
        out.send(owner, message::Message::Reserve(request));
    }

    pub(super) fn retry_due(
        &mut self,
        key: client::RequestPhase,
        epoch: u64,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Entry::Waiting(wait)) = self.entries.get_mut(&key) else { return };
        if wait.epoch != epoch {
            return;
        }
        let deadline = wait.since + constants::MAX_WAIT;
        if deadline <= context.now {
            self.release(key, context, out);
            out.effects.push(client::unplaced(key, scheduler::UnplacedReason::WaitedTooLong));
            return;
        }
        let timed_out = self.mark_timed_out(key, context.now);
        let Some(client::Entry::Waiting(wait)) = self.entries.get(&key) else { return };
        let queued = wait.candidates.iter().any(|c| c.state == client::State::Queued);
        let requested: Vec<_> = (0..wait.candidates.len())
            .filter(|&index| {
                !matches!(
                    wait.candidates[index].state,
                    client::State::Unsent | client::State::Refused(_)
                )
            })
            .collect();
        for index in requested {
            self.send_request(key, index, context, out);
        }
        if timed_out {
            for _ in 0..constants::CONCURRENT_RESERVATION_REQUESTS {
                self.request_next(key, context, out);
            }
        }
        let retry_soon = timed_out || !queued;
        let pause = if retry_soon {
            constants::RESERVATION_REQUEST_TIMEOUT * 2
        } else {
            constants::QUEUE_REFRESH_INTERVAL
        };
        self.timers.add((context.now + pause).min(deadline), client::Timer::Retry(key, epoch));
    }

    /// Marks the candidates whose owners have not answered; returns whether there are any.
    fn mark_timed_out(&mut self, key: client::RequestPhase, now: ids::Timestamp) -> bool {
        let Some(client::Entry::Waiting(wait)) = self.entries.get_mut(&key) else { return false };
        let mut is_any = false;
        for candidate in &mut wait.candidates {
            if matches!(candidate.state, client::State::Sent | client::State::TimedOut) {
                candidate.state = client::State::TimedOut;
                let wait_ms = constants::UNRESPONSIVE_WAIT_MS;
                self.wait_estimates
                    .insert(candidate.server.clone(), client::WaitEstimate { wait_ms, at: now });
                is_any = true;
            }
        }
        is_any
    }

    pub(super) fn delay_due(
        &mut self,
        key: client::RequestPhase,
        epoch: u64,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Entry::Waiting(wait)) = self.entries.get(&key) else { return };
        if wait.epoch == epoch {
            self.request_next(key, context, out);
        }
    }

    pub(super) fn reserve_directly(
        &mut self,
        key: client::RequestPhase,
        demand: &scheduler::Demand,
        candidates: Vec<client::Candidate>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Candidate { server, ticket, .. }) = candidates.into_iter().next() else {
            return;
        };
        let (work_tokens, memory_pieces) = (demand.work_tokens, demand.memory_pieces);
        let hold =
            client::HeldReservation { server: server.clone(), ticket, work_tokens, memory_pieces };
        self.entries.insert(key, client::Entry::Holding(hold));
        let (request, phase) = key;
        out.effects.push(scheduler::Effect::Placed { request, phase, server, waited_ms: 0 });
    }

    pub(super) fn fail_if_all_refused(
        &mut self,
        key: client::RequestPhase,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Entry::Waiting(wait)) = self.entries.get(&key) else { return };
        let refusals: Vec<_> = wait
            .candidates
            .iter()
            .filter_map(|candidate| match candidate.state {
                client::State::Refused(refusal) => Some(refusal),
                _ => None,
            })
            .collect();
        if refusals.len() < wait.candidates.len() {
            return;
        }
        let reason = if refusals.contains(&message::Refusal::Full) {
            scheduler::UnplacedReason::QueueFull
        } else {
            scheduler::UnplacedReason::NoServer
        };
        if let Some(client::Entry::Waiting(wait)) = self.entries.remove(&key) {
            wait.candidates.iter().for_each(|c| self.forget_ticket(&c.server, c.ticket));
        }
        out.effects.push(client::unplaced(key, reason));
    }

    pub(super) fn refuse_candidate(
        &mut self,
        key: client::RequestPhase,
        server: &ids::ServerId,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Entry::Waiting(wait)) = self.entries.get_mut(&key) else { return };
        let candidate = wait.candidates.iter_mut().find(|c| c.server == *server);
        let Some(candidate) = candidate else { return };
        candidate.state = client::State::Refused(message::Refusal::Leaving);
        let ticket = candidate.ticket;
        self.send_release(server, ticket, None, context, out);
        self.request_next(key, context, out);
        self.fail_if_all_refused(key, out);
    }

    pub(super) fn waiting_at(&self, server: &ids::ServerId) -> Vec<client::RequestPhase> {
        let Some(tickets) = self.tickets_by_server.get(server) else { return Vec::new() };
        let keys = tickets.iter().filter_map(|ticket| self.tickets.get(ticket));
        let waiting = |key: &&client::RequestPhase| {
            matches!(self.entries.get(key), Some(client::Entry::Waiting(_)))
        };
        let mut keys: Vec<_> = keys.filter(waiting).copied().collect();
        keys.sort_unstable();
        keys
    }

    pub(super) fn candidates(
        &self,
        servers: Vec<ids::ServerId>,
        phase: scheduler::Phase,
        context: &client::Context<'_>,
    ) -> Vec<client::Candidate> {
        let mut servers: Vec<_> = servers
            .into_iter()
            .filter(|server| context.in_service.contains(server))
            .take(constants::MAX_CANDIDATES)
            .collect();
        let affine = usize::from(phase == scheduler::Phase::Prefill).min(servers.len());
        servers[affine..].sort_by_key(|server| self.estimated_wait_ms(server, context.now));
        let idle = |server| client::Candidate { server, ticket: 0, state: client::State::Unsent };
        servers.into_iter().map(idle).collect()
    }

    fn estimated_wait_ms(&self, server: &ids::ServerId, now: ids::Timestamp) -> u32 {
        let estimate = self
            .wait_estimates
            .get(server)
            .filter(|estimate| estimate.at + constants::WAIT_ESTIMATE_TTL > now);
        estimate.map_or(0, |estimate| estimate.wait_ms)
    }
}
