//! The places that this instance's requests wait for and hold.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::assignment;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;
use crate::core::scheduler::timers;

/// A request and the phase that a place is for.
pub type Subject = (ids::RequestId, scheduler::Phase);

/// How one candidate stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stand {
    /// It was not asked.
    Idle,
    /// It was asked and has not answered.
    Asked,
    /// It has queued the request.
    Queued,
    /// It refused, but may take the request later.
    Deferred,
    /// It refused.
    Refused(message::Refusal),
}

#[derive(Debug)]
struct Candidate {
    server: ids::ServerId,
    ticket: message::Ticket,
    stand: Stand,
}

#[derive(Debug)]
struct Wait {
    demand: scheduler::Demand,
    since: ids::Timestamp,
    candidates: Vec<Candidate>,
    epoch: u64,
}

#[derive(Debug)]
struct Hold {
    server: ids::ServerId,
    ticket: message::Ticket,
    work_tokens: u32,
    memory_pieces: u32,
}

#[derive(Debug)]
enum Slot {
    Waiting(Wait),
    Holding(Hold),
}

/// What a server last said of its queue.
#[derive(Debug, Clone, Copy)]
struct Hint {
    wait_ms: u32,
    at: ids::Timestamp,
}

/// What is due at a later time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// A waiting request asks again.
    Wait(Subject, u64),
    /// A request has waited long enough for the server that holds its prefix.
    Delay(Subject, u64),
    /// Places are registered again with a server's scheduler.
    Register(ids::ServerId),
}

/// What each part of the client needs from outside.
#[derive(Debug)]
pub struct Context<'a> {
    /// Which instance schedules which server.
    pub assignment: &'a assignment::Assignment,
    /// Servers that take new work.
    pub in_service: &'a collections::Set<ids::ServerId>,
    /// The present time.
    pub now: ids::Timestamp,
}

/// All places and waits of this instance.
#[derive(Debug, Default)]
pub struct Client {
    discipline: scheduler::Discipline,
    slots: collections::Map<Subject, Slot>,
    tickets: collections::Map<message::Ticket, Subject>,
    by_server: collections::Map<ids::ServerId, collections::Set<message::Ticket>>,
    unregistered: collections::Set<ids::ServerId>,
    reports: collections::Map<(ids::ServerId, bool), message::Report>,
    urgent: collections::Set<(ids::ServerId, bool)>,
    hints: collections::Map<ids::ServerId, Hint>,
    timers: timers::Timers<Timer>,
    last_ticket: message::Ticket,
    epoch: u64,
    reported_at: ids::Timestamp,
}

impl Client {
    /// Creates a client without places.
    pub fn new(discipline: scheduler::Discipline) -> Self {
        Self { discipline, ..Self::default() }
    }

    /// Returns the number of requests that wait or hold.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Starts to wait for a place.
    pub fn place(
        &mut self,
        demand: scheduler::Demand,
        candidates: Vec<ids::ServerId>,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let subject = (demand.request, demand.phase);
        self.release(subject, context, out);
        let candidates = self.candidates(candidates, demand.phase, context);
        if candidates.is_empty() {
            out.effects.push(unplaced(subject, scheduler::Unplaced::NoServer));
            return;
        }
        if self.discipline == scheduler::Discipline::Direct {
            self.place_directly(subject, &demand, candidates, out);
            return;
        }
        self.epoch += 1;
        let wait = Wait { demand, since: context.now, candidates, epoch: self.epoch };
        self.timers.add(context.now + constants::ASK_TIMEOUT, Timer::Wait(subject, wait.epoch));
        self.slots.insert(subject, Slot::Waiting(wait));
        self.ask_next(subject, context, out);
    }

    /// Gives up a place or the wait for one.
    pub fn release(
        &mut self,
        subject: Subject,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        match self.slots.remove(&subject) {
            None => {}
            Some(Slot::Waiting(wait)) => self.withdraw(wait.candidates, context, out),
            Some(Slot::Holding(hold)) => {
                let decode = subject.1 == scheduler::Phase::Decode;
                let report = self.reports.remove(&(hold.server.clone(), decode));
                self.send_release(&hold.server, hold.ticket, report, context, out);
            }
        }
    }

    /// A server's scheduler granted a place.
    pub fn granted(
        &mut self,
        from: &ids::InstanceId,
        server: ids::ServerId,
        ticket: message::Ticket,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(subject) = self.tickets.get(&ticket).copied() else {
            out.send(from, message::Message::Release { server, ticket, report: None });
            return;
        };
        if let Some(Slot::Holding(_)) = self.slots.get(&subject) {
            return;
        }
        let Some(Slot::Waiting(wait)) = self.slots.remove(&subject) else { return };
        let first = wait.candidates.first().is_some_and(|first| first.ticket == ticket);
        let hold = Hold {
            server: server.clone(),
            ticket,
            work_tokens: work_tokens(&wait.demand, first),
            memory_pieces: wait.demand.memory_pieces,
        };
        self.hints.remove(&server);
        self.slots.insert(subject, Slot::Holding(hold));
        let (request, phase) = subject;
        let others = wait.candidates.into_iter().filter(|other| other.ticket != ticket).collect();
        self.withdraw(others, context, out);
        let waited_ms = millis(context.now.saturating_sub(wait.since));
        out.effects.push(scheduler::Effect::Placed { request, phase, server, waited_ms });
    }

    /// A server's scheduler queued the request: another candidate is asked, too.
    pub fn queued(
        &mut self,
        server: ids::ServerId,
        ticket: message::Ticket,
        wait_ms: u32,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        self.hints.insert(server, Hint { wait_ms, at: context.now });
        let Some(subject) = self.tickets.get(&ticket).copied() else { return };
        let Some(Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        let candidate = wait.candidates.iter_mut().find(|candidate| candidate.ticket == ticket);
        let Some(candidate) = candidate else { return };
        let first_answer = candidate.stand != Stand::Queued;
        candidate.stand = Stand::Queued;
        if !first_answer {
            return;
        }
        let delay = delay(self.discipline, &wait.demand);
        if delay.is_zero() {
            self.ask_next(subject, context, out);
            return;
        }
        self.timers.add(context.now + delay, Timer::Delay(subject, wait.epoch));
    }

    /// A server's scheduler does not queue the request.
    pub fn refused(
        &mut self,
        ticket: message::Ticket,
        refusal: message::Refusal,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(subject) = self.tickets.get(&ticket).copied() else { return };
        let Some(Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        let candidate = wait.candidates.iter_mut().find(|candidate| candidate.ticket == ticket);
        let Some(candidate) = candidate else { return };
        candidate.stand = match refusal {
            message::Refusal::Moved | message::Refusal::Sick => Stand::Deferred,
            message::Refusal::Full | message::Refusal::Leaving => Stand::Refused(refusal),
        };
        self.ask_next(subject, context, out);
        self.fail_if_refused(subject, out);
    }

    /// A scheduler acknowledged the registration of a server's places.
    pub fn kept(&mut self, server: &ids::ServerId) {
        self.unregistered.remove(server);
    }

    /// A scheduler asks whether requests have places on a server.
    pub fn checked(
        &mut self,
        from: &ids::InstanceId,
        server: ids::ServerId,
        requests: &[ids::RequestId],
        out: &mut outbox::Outbox<'_>,
    ) {
        let mut places = Vec::new();
        for &request in requests {
            let phases = [scheduler::Phase::Prefill, scheduler::Phase::Decode];
            let slots = phases.map(|phase| self.slots.get(&(request, phase)));
            let here = phases.iter().zip(&slots).filter_map(|(&phase, slot)| match slot {
                Some(Slot::Holding(hold)) if hold.server == server => {
                    Some(registration((request, phase), hold))
                }
                _ => None,
            });
            let before = places.len();
            places.extend(here);
            if places.len() > before {
                continue;
            }
            let live = slots.iter().any(Option::is_some);
            let (server, sequence) = (server.clone(), request as u64);
            out.send(from, message::Message::Unheld { server, sequence, live });
        }
        if !places.is_empty() {
            out.send(from, message::Message::Hold { server, places });
        }
    }

    /// Notes what a request showed of its server, to be told with a later message.
    pub fn observed(&mut self, observation: &scheduler::Observation) {
        let decode = observation.phase == scheduler::Phase::Decode;
        let key = (observation.server.clone(), decode);
        let report = self.reports.entry(key.clone()).or_default();
        if observation.failed {
            report.failures = report.failures.saturating_add(1);
            self.urgent.insert(key);
            return;
        }
        report.failures = 0;
        report.observations = report.observations.saturating_add(1);
        report.tokens = report.tokens.saturating_add(observation.tokens);
        report.elapsed_ms = report.elapsed_ms.saturating_add(observation.elapsed_ms);
        let slow_ms = f64::from(report.tokens) * constants::INTER_TOKEN_TARGET_MS;
        if decode && f64::from(report.elapsed_ms) > slow_ms {
            self.urgent.insert(key);
        }
    }

    /// Registers places with new schedulers and asks these again for what is waited for.
    pub fn moved(
        &mut self,
        servers: &[ids::ServerId],
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        for server in servers {
            self.register(server, context, out);
            for subject in self.waiting_at(server) {
                self.ask_server(subject, server, context, out);
            }
        }
    }

    /// Drops the asks at servers that take no new work.
    pub fn withdraw_from(
        &mut self,
        servers: &[ids::ServerId],
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        for server in servers {
            for subject in self.waiting_at(server) {
                self.refuse_candidate(subject, server, context, out);
            }
        }
    }

    /// Handles what is due.
    pub fn tick(&mut self, context: &Context<'_>, out: &mut outbox::Outbox<'_>) {
        for _ in 0..constants::TIMERS_PER_TICK {
            match self.timers.pop_due(context.now) {
                None => break,
                Some(Timer::Wait(subject, epoch)) => self.wait_due(subject, epoch, context, out),
                Some(Timer::Delay(subject, epoch)) => self.delay_due(subject, epoch, context, out),
                Some(Timer::Register(server)) if self.unregistered.contains(&server) => {
                    self.register(&server, context, out);
                }
                Some(Timer::Register(_)) => {}
            }
        }
        self.send_urgent_reports(context, out);
    }

    fn candidates(
        &self,
        servers: Vec<ids::ServerId>,
        phase: scheduler::Phase,
        context: &Context<'_>,
    ) -> Vec<Candidate> {
        let mut servers: Vec<_> = servers
            .into_iter()
            .filter(|server| context.in_service.contains(server))
            .take(constants::CANDIDATES)
            .collect();
        let affine = usize::from(phase == scheduler::Phase::Prefill).min(servers.len());
        servers[affine..].sort_by_key(|server| self.hinted_wait_ms(server, context.now));
        let idle = |server| Candidate { server, ticket: 0, stand: Stand::Idle };
        servers.into_iter().map(idle).collect()
    }

    fn hinted_wait_ms(&self, server: &ids::ServerId, now: ids::Timestamp) -> u32 {
        let hint = self.hints.get(server).filter(|hint| hint.at + constants::HINT_TTL > now);
        hint.map_or(0, |hint| hint.wait_ms)
    }

    fn ask_next(&mut self, subject: Subject, context: &Context<'_>, out: &mut outbox::Outbox<'_>) {
        let Some(Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        let open = |stand| matches!(stand, Stand::Asked | Stand::Queued);
        let asked = wait.candidates.iter().filter(|candidate| open(candidate.stand)).count();
        if asked >= constants::CONCURRENT_ASKS {
            return;
        }
        let next = wait.candidates.iter().position(|candidate| candidate.stand == Stand::Idle);
        if let Some(index) = next {
            self.ask(subject, index, context, out);
        }
    }

    fn ask_server(
        &mut self,
        subject: Subject,
        server: &ids::ServerId,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        let index = wait.candidates.iter().position(|candidate| candidate.server == *server);
        if let Some(index) = index {
            self.ask(subject, index, context, out);
        }
    }

    fn ask(
        &mut self,
        subject: Subject,
        index: usize,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        let candidate = &mut wait.candidates[index];
        if candidate.ticket == 0 {
            self.last_ticket += 1;
            candidate.ticket = self.last_ticket;
            self.tickets.insert(candidate.ticket, subject);
            let tickets = self.by_server.entry(candidate.server.clone()).or_default();
            tickets.insert(candidate.ticket);
        }
        if candidate.stand != Stand::Queued {
            candidate.stand = Stand::Asked;
        }
        let Some(owner) = context.assignment.owner(&candidate.server) else { return };
        let decode = subject.1 == scheduler::Phase::Decode;
        let report = self.reports.remove(&(candidate.server.clone(), decode));
        let waited_ms = millis(context.now.saturating_sub(wait.since));
        let demand = &wait.demand;
        let ask = message::Ask {
            ticket: candidate.ticket,
            sequence: demand.request as u64,
            server: candidate.server.clone(),
            decode,
            workspace: demand.workspace.clone(),
            work_tokens: work_tokens(demand, index == 0),
            memory_pieces: demand.memory_pieces,
            age_ms: demand.age_ms.saturating_add(waited_ms),
            slack_ms: demand.slack_ms.saturating_sub(waited_ms as i32),
            report,
        };
        out.send(owner, message::Message::Ask(ask));
    }

    fn place_directly(
        &mut self,
        subject: Subject,
        demand: &scheduler::Demand,
        candidates: Vec<Candidate>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(Candidate { server, ticket, .. }) = candidates.into_iter().next() else { return };
        let (work_tokens, memory_pieces) = (demand.work_tokens, demand.memory_pieces);
        let hold = Hold { server: server.clone(), ticket, work_tokens, memory_pieces };
        self.slots.insert(subject, Slot::Holding(hold));
        let (request, phase) = subject;
        out.effects.push(scheduler::Effect::Placed { request, phase, server, waited_ms: 0 });
    }

    fn delay_due(
        &mut self,
        subject: Subject,
        epoch: u64,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        if wait.epoch == epoch {
            self.ask_next(subject, context, out);
        }
    }

    fn wait_due(
        &mut self,
        subject: Subject,
        epoch: u64,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        if wait.epoch != epoch {
            return;
        }
        let deadline = wait.since + constants::WAIT_LIMIT;
        if deadline <= context.now {
            self.release(subject, context, out);
            out.effects.push(unplaced(subject, scheduler::Unplaced::WaitedTooLong));
            return;
        }
        let silent = wait.candidates.iter().any(|c| c.stand == Stand::Asked);
        let deferred = wait.candidates.iter().any(|c| c.stand == Stand::Deferred);
        let asked: Vec<_> = (0..wait.candidates.len())
            .filter(|&index| {
                !matches!(wait.candidates[index].stand, Stand::Idle | Stand::Refused(_))
            })
            .collect();
        for index in asked {
            self.ask(subject, index, context, out);
        }
        if silent {
            self.ask_next(subject, context, out);
        }
        let pause =
            if silent || deferred { constants::ASK_TIMEOUT * 2 } else { constants::REASK_INTERVAL };
        self.timers.add((context.now + pause).min(deadline), Timer::Wait(subject, epoch));
    }

    fn fail_if_refused(&mut self, subject: Subject, out: &mut outbox::Outbox<'_>) {
        let Some(Slot::Waiting(wait)) = self.slots.get(&subject) else { return };
        let refusals: Vec<_> = wait
            .candidates
            .iter()
            .filter_map(|candidate| match candidate.stand {
                Stand::Refused(refusal) => Some(refusal),
                _ => None,
            })
            .collect();
        if refusals.len() < wait.candidates.len() {
            return;
        }
        let reason = if refusals.contains(&message::Refusal::Full) {
            scheduler::Unplaced::QueueFull
        } else {
            scheduler::Unplaced::NoServer
        };
        if let Some(Slot::Waiting(wait)) = self.slots.remove(&subject) {
            wait.candidates.iter().for_each(|c| self.forget_ticket(&c.server, c.ticket));
        }
        out.effects.push(unplaced(subject, reason));
    }

    fn refuse_candidate(
        &mut self,
        subject: Subject,
        server: &ids::ServerId,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        let candidate = wait.candidates.iter_mut().find(|c| c.server == *server);
        let Some(candidate) = candidate else { return };
        candidate.stand = Stand::Refused(message::Refusal::Leaving);
        let ticket = candidate.ticket;
        self.send_release(server, ticket, None, context, out);
        self.ask_next(subject, context, out);
        self.fail_if_refused(subject, out);
    }

    fn withdraw(
        &mut self,
        candidates: Vec<Candidate>,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        for candidate in candidates {
            match candidate.stand {
                Stand::Idle => {}
                Stand::Asked | Stand::Queued | Stand::Deferred => {
                    self.send_release(&candidate.server, candidate.ticket, None, context, out);
                }
                Stand::Refused(_) => self.forget_ticket(&candidate.server, candidate.ticket),
            }
        }
    }

    fn send_release(
        &mut self,
        server: &ids::ServerId,
        ticket: message::Ticket,
        report: Option<message::Report>,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        self.forget_ticket(server, ticket);
        let Some(owner) = context.assignment.owner(server) else { return };
        let server = server.clone();
        out.send(owner, message::Message::Release { server, ticket, report });
    }

    fn forget_ticket(&mut self, server: &ids::ServerId, ticket: message::Ticket) {
        self.tickets.remove(&ticket);
        let Some(tickets) = self.by_server.get_mut(server) else { return };
        tickets.remove(&ticket);
        if tickets.is_empty() {
            self.by_server.remove(server);
        }
    }

    fn waiting_at(&self, server: &ids::ServerId) -> Vec<Subject> {
        let Some(tickets) = self.by_server.get(server) else { return Vec::new() };
        let subjects = tickets.iter().filter_map(|ticket| self.tickets.get(ticket));
        let waiting =
            |subject: &&Subject| matches!(self.slots.get(subject), Some(Slot::Waiting(_)));
        let mut subjects: Vec<_> = subjects.filter(waiting).copied().collect();
        subjects.sort_unstable();
        subjects
    }

    fn register(
        &mut self,
        server: &ids::ServerId,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        self.unregistered.remove(server);
        let Some(tickets) = self.by_server.get(server) else { return };
        let subjects = tickets.iter().filter_map(|ticket| self.tickets.get(ticket));
        let mut places: Vec<_> = subjects
            .filter_map(|subject| match self.slots.get(subject) {
                Some(Slot::Holding(hold)) => Some(registration(*subject, hold)),
                _ => None,
            })
            .collect();
        if places.is_empty() {
            return;
        }
        places.sort_unstable_by_key(|place| place.ticket);
        self.unregistered.insert(server.clone());
        let due = context.now + constants::REGISTER_RETRY;
        self.timers.add(due, Timer::Register(server.clone()));
        let Some(owner) = context.assignment.owner(server) else { return };
        out.send(owner, message::Message::Hold { server: server.clone(), places });
    }

    fn send_urgent_reports(&mut self, context: &Context<'_>, out: &mut outbox::Outbox<'_>) {
        let due = self.reported_at + constants::REPORT_INTERVAL <= context.now;
        if self.urgent.is_empty() || !due {
            return;
        }
        self.reported_at = context.now;
        let mut urgent: Vec<_> = self.urgent.drain().collect();
        urgent.sort_unstable();
        for key in urgent {
            let Some(report) = self.reports.remove(&key) else { continue };
            let Some(owner) = context.assignment.owner(&key.0) else { continue };
            let (server, decode) = key;
            out.send(owner, message::Message::Report { server, decode, report });
        }
    }
}

/// Delay scheduling in the manner of CAVA (Hwang et al.): the wait for the place that holds the
/// data is proportional to what it saves.
fn delay(discipline: scheduler::Discipline, demand: &scheduler::Demand) -> time::Duration {
    let scheduler::Discipline::Delayed { share } = discipline else { return time::Duration::ZERO };
    let saved_s = f64::from(demand.cached_tokens) / constants::PREFILL_INITIAL_TOKENS_PER_S;
    time::Duration::from_secs_f64(saved_s * share)
}

/// Returns the work at a candidate; the first one is believed to hold the cached part.
fn work_tokens(demand: &scheduler::Demand, first: bool) -> u32 {
    let cached_tokens = if first { demand.cached_tokens } else { 0 };
    demand.work_tokens.saturating_sub(cached_tokens).max(1)
}

fn registration(subject: Subject, hold: &Hold) -> message::Registration {
    message::Registration {
        ticket: hold.ticket,
        sequence: subject.0 as u64,
        decode: subject.1 == scheduler::Phase::Decode,
        work_tokens: hold.work_tokens,
        memory_pieces: hold.memory_pieces,
    }
}

fn unplaced(subject: Subject, reason: scheduler::Unplaced) -> scheduler::Effect {
    scheduler::Effect::Unplaced { request: subject.0, phase: subject.1, reason }
}

fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
