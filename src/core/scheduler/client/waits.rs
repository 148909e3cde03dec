//! Asks candidate servers for a place until one grants it.

use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::client;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;

impl client::Client {
    pub(super) fn ask_next(
        &mut self,
        subject: client::Subject,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        let open = |stand| matches!(stand, client::Stand::Asked | client::Stand::Queued);
        let asked = wait.candidates.iter().filter(|candidate| open(candidate.stand)).count();
        if asked >= constants::CONCURRENT_ASKS {
            return;
        }
        let next =
            wait.candidates.iter().position(|candidate| candidate.stand == client::Stand::Idle);
        if let Some(index) = next {
            self.ask(subject, index, context, out);
        }
    }

    pub(super) fn ask_server(
        &mut self,
        subject: client::Subject,
        server: &ids::ServerId,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        let index = wait.candidates.iter().position(|candidate| candidate.server == *server);
        if let Some(index) = index {
            self.ask(subject, index, context, out);
        }
    }

    fn ask(
        &mut self,
        subject: client::Subject,
        index: usize,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        let candidate = &mut wait.candidates[index];
        if candidate.ticket == 0 {
            self.last_ticket += 1;
            candidate.ticket = self.last_ticket;
            self.tickets.insert(candidate.ticket, subject);
            let tickets = self.by_server.entry(candidate.server.clone()).or_default();
            tickets.insert(candidate.ticket);
        }
        if !matches!(candidate.stand, client::Stand::Queued | client::Stand::Silent) {
            candidate.stand = client::Stand::Asked;
        }
        let Some(owner) = context.assignment.owner(&candidate.server) else { return };
        let decode = subject.1 == scheduler::Phase::Decode;
        let report = self.reports.remove(&(candidate.server.clone(), decode));
        let waited_ms = client::millis(context.now.saturating_sub(wait.since));
        let demand = &wait.demand;
        let ask = message::Ask {
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
        out.send(owner, message::Message::Ask(ask));
    }

    pub(super) fn wait_due(
        &mut self,
        subject: client::Subject,
        epoch: u64,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        if wait.epoch != epoch {
            return;
        }
        let deadline = wait.since + constants::WAIT_LIMIT;
        if deadline <= context.now {
            self.release(subject, context, out);
            out.effects.push(client::unplaced(subject, scheduler::UnplacedReason::WaitedTooLong));
            return;
        }
        let silent = self.note_silence(subject, context.now);
        let Some(client::Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        let queued = wait.candidates.iter().any(|c| c.stand == client::Stand::Queued);
        let asked: Vec<_> = (0..wait.candidates.len())
            .filter(|&index| {
                !matches!(
                    wait.candidates[index].stand,
                    client::Stand::Idle | client::Stand::Refused(_)
                )
            })
            .collect();
        for index in asked {
            self.ask(subject, index, context, out);
        }
        if silent {
            for _ in 0..constants::CONCURRENT_ASKS {
                self.ask_next(subject, context, out);
            }
        }
        let hurried = silent || !queued;
        let pause = if hurried { constants::ASK_TIMEOUT * 2 } else { constants::REASK_INTERVAL };
        self.timers.add((context.now + pause).min(deadline), client::Timer::Wait(subject, epoch));
    }

    /// Marks the candidates that have not answered; returns whether there are any.
    fn note_silence(&mut self, subject: client::Subject, now: ids::Timestamp) -> bool {
        let Some(client::Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return false };
        let mut is_any = false;
        for candidate in &mut wait.candidates {
            if matches!(candidate.stand, client::Stand::Asked | client::Stand::Silent) {
                candidate.stand = client::Stand::Silent;
                let wait_ms = constants::SILENT_WAIT_MS;
                self.hints.insert(candidate.server.clone(), client::Hint { wait_ms, at: now });
                is_any = true;
            }
        }
        is_any
    }

    pub(super) fn delay_due(
        &mut self,
        subject: client::Subject,
        epoch: u64,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        if wait.epoch == epoch {
            self.ask_next(subject, context, out);
        }
    }

    pub(super) fn place_directly(
        &mut self,
        subject: client::Subject,
        demand: &scheduler::Demand,
        candidates: Vec<client::Candidate>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Candidate { server, ticket, .. }) = candidates.into_iter().next() else {
            return;
        };
        let (work_tokens, memory_pieces) = (demand.work_tokens, demand.memory_pieces);
        let hold = client::Hold { server: server.clone(), ticket, work_tokens, memory_pieces };
        self.slots.insert(subject, client::Slot::Holding(hold));
        let (request, phase) = subject;
        out.effects.push(scheduler::Effect::Placed { request, phase, server, waited_ms: 0 });
    }

    pub(super) fn fail_if_refused(
        &mut self,
        subject: client::Subject,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        let refusals: Vec<_> = wait
            .candidates
            .iter()
            .filter_map(|candidate| match candidate.stand {
                client::Stand::Refused(refusal) => Some(refusal),
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
        if let Some(client::Slot::Waiting(wait)) = self.slots.remove(&subject) {
            wait.candidates.iter().for_each(|c| self.forget_ticket(&c.server, c.ticket));
        }
        out.effects.push(client::unplaced(subject, reason));
    }

    pub(super) fn refuse_candidate(
        &mut self,
        subject: client::Subject,
        server: &ids::ServerId,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(client::Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        let candidate = wait.candidates.iter_mut().find(|c| c.server == *server);
        let Some(candidate) = candidate else { return };
        candidate.stand = client::Stand::Refused(message::Refusal::Leaving);
        let ticket = candidate.ticket;
        self.send_release(server, ticket, None, context, out);
        self.ask_next(subject, context, out);
        self.fail_if_refused(subject, out);
    }

    pub(super) fn waiting_at(&self, server: &ids::ServerId) -> Vec<client::Subject> {
        let Some(tickets) = self.by_server.get(server) else { return Vec::new() };
        let subjects = tickets.iter().filter_map(|ticket| self.tickets.get(ticket));
        let waiting = |subject: &&client::Subject| {
            matches!(self.slots.get(subject), Some(client::Slot::Waiting(_)))
        };
        let mut subjects: Vec<_> = subjects.filter(waiting).copied().collect();
        subjects.sort_unstable();
        subjects
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
            .take(constants::CANDIDATES)
            .collect();
        let affine = usize::from(phase == scheduler::Phase::Prefill).min(servers.len());
        servers[affine..].sort_by_key(|server| self.hinted_wait_ms(server, context.now));
        let idle = |server| client::Candidate { server, ticket: 0, stand: client::Stand::Idle };
        servers.into_iter().map(idle).collect()
    }

    fn hinted_wait_ms(&self, server: &ids::ServerId, now: ids::Timestamp) -> u32 {
        let hint = self.hints.get(server).filter(|hint| hint.at + constants::HINT_TTL > now);
        hint.map_or(0, |hint| hint.wait_ms)
    }
}
