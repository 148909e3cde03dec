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

mod holds;
mod waits;

/// A request and the phase that a place is for.
pub type Subject = (ids::RequestId, scheduler::Phase);

/// How one candidate stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stand {
    /// It was not asked.
    Idle,
    /// It was asked and has not answered.
    Asked,
    /// It was asked and has not answered in time; another is asked in its place.
    Silent,
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
            out.effects.push(unplaced(subject, scheduler::UnplacedReason::NoServer));
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
        ticket: message::Ticket,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(subject) = self.tickets.get(&ticket).copied() else {
            out.send(from, message::Message::Decline { ticket });
            return;
        };
        let Some(server) = self.candidate_server(subject, ticket) else { return };
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
        ticket: message::Ticket,
        wait_ms: u32,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(subject) = self.tickets.get(&ticket).copied() else { return };
        let Some(Slot::Waiting(wait)) = self.slots.get_mut(&subject) else { return };
        let candidate = wait.candidates.iter_mut().find(|candidate| candidate.ticket == ticket);
        let Some(candidate) = candidate else { return };
        self.hints.insert(candidate.server.clone(), Hint { wait_ms, at: context.now });
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

    /// Returns the server that a waiting request has asked under a number.
    fn candidate_server(&self, subject: Subject, ticket: message::Ticket) -> Option<ids::ServerId> {
        let Some(Slot::Waiting(wait)) = self.slots.get(&subject) else { return None };
        let candidate = wait.candidates.iter().find(|candidate| candidate.ticket == ticket)?;
        Some(candidate.server.clone())
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
                Stand::Asked | Stand::Silent | Stand::Queued | Stand::Deferred => {
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

fn unplaced(subject: Subject, reason: scheduler::UnplacedReason) -> scheduler::Effect {
    scheduler::Effect::Unplaced { request: subject.0, phase: subject.1, reason }
}

fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
