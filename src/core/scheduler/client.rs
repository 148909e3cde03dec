//! The reservations that this instance's requests wait for and hold.

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

/// A request and the phase that a reservation is for.
pub type RequestPhase = (ids::RequestId, scheduler::Phase);

/// The state of a reservation request at one candidate server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No reservation was requested there.
    Unsent,
    /// A reservation was requested and the owner has not answered yet.
    Sent,
    /// The owner has not answered in time; another candidate is tried as well.
    TimedOut,
    /// The owner has queued the reservation request.
    Queued,
    /// The owner refused for a reason that passes, so the request is sent again later.
    Deferred,
    /// The owner refused for good.
    Refused(message::Refusal),
}

#[derive(Debug)]
struct Candidate {
    server: ids::ServerId,
    ticket: message::Ticket,
    state: State,
}

#[derive(Debug)]
struct PendingReservation {
    demand: scheduler::Demand,
    since: ids::Timestamp,
    candidates: Vec<Candidate>,
    epoch: u64,
}

#[derive(Debug)]
struct HeldReservation {
    server: ids::ServerId,
    ticket: message::Ticket,
    work_tokens: u32,
    memory_pieces: u32,
}

#[derive(Debug)]
enum Entry {
    Waiting(PendingReservation),
    Holding(HeldReservation),
}

/// The wait at a server that its owner last reported.
#[derive(Debug, Clone, Copy)]
struct WaitEstimate {
    wait_ms: u32,
    at: ids::Timestamp,
}

/// A timer of the client; the number is the epoch of the wait that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Send the reservation requests of a waiting request again.
    Retry(RequestPhase, u64),
    /// Stop waiting only for the server that holds the cached prefix; see
    /// [`scheduler::Discipline::Delayed`].
    Delay(RequestPhase, u64),
    /// Register the held reservations of a server with its owner again.
    Register(ids::ServerId),
}

/// State outside the client that its operations read.
#[derive(Debug)]
pub struct Context<'a> {
    /// The owner of each server.
    pub assignment: &'a assignment::Assignment,
    /// Servers that take new work.
    pub in_service: &'a collections::Set<ids::ServerId>,
    /// The current time.
    pub now: ids::Timestamp,
}

/// All reservations that this instance's requests hold or wait for.
#[derive(Debug, Default)]
pub struct Client {
    discipline: scheduler::Discipline,
    entries: collections::Map<RequestPhase, Entry>,
    tickets: collections::Map<message::Ticket, RequestPhase>,
    tickets_by_server: collections::Map<ids::ServerId, collections::Set<message::Ticket>>,
    unregistered: collections::Set<ids::ServerId>,
    reports: collections::Map<(ids::ServerId, bool), message::Report>,
    urgent_reports: collections::Set<(ids::ServerId, bool)>,
    wait_estimates: collections::Map<ids::ServerId, WaitEstimate>,
    timers: timers::Timers<Timer>,
    last_ticket: message::Ticket,
    epoch: u64,
    reported_at: ids::Timestamp,
}

impl Client {
    /// Creates a client without reservations.
    pub fn new(discipline: scheduler::Discipline) -> Self {
        Self { discipline, ..Self::default() }
    }

    /// Returns the number of reservations that are held or waited for.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Starts to wait for a reservation, and requests it from the best candidate.
    pub fn place(
        &mut self,
        demand: scheduler::Demand,
        candidates: Vec<ids::ServerId>,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let key = (demand.request, demand.phase);
        self.release(key, context, out);
        let candidates = self.candidates(candidates, demand.phase, context);
        if candidates.is_empty() {
            out.effects.push(unplaced(key, scheduler::UnplacedReason::NoServer));
            return;
        }
        if self.discipline == scheduler::Discipline::Direct {
            self.reserve_directly(key, &demand, candidates, out);
            return;
        }
        self.epoch += 1;
        let wait = PendingReservation { demand, since: context.now, candidates, epoch: self.epoch };
        self.timers.add(
            context.now + constants::RESERVATION_REQUEST_TIMEOUT,
            Timer::Retry(key, wait.epoch),
        );
        self.entries.insert(key, Entry::Waiting(wait));
        self.request_next(key, context, out);
    }

    /// Releases a reservation or stops waiting for one.
    pub fn release(
        &mut self,
        key: RequestPhase,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        match self.entries.remove(&key) {
            None => {}
            Some(Entry::Waiting(wait)) => self.withdraw(wait.candidates, context, out),
            Some(Entry::Holding(hold)) => {
                let decode = key.1 == scheduler::Phase::Decode;
                let report = self.reports.remove(&(hold.server.clone(), decode));
                self.send_release(&hold.server, hold.ticket, report, context, out);
            }
        }
    }

    /// Takes a grant: withdraws from the other candidates, or declines if it is not wanted any
    /// more.
    pub fn on_grant(
        &mut self,
        from: &ids::InstanceId,
        ticket: message::Ticket,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(key) = self.tickets.get(&ticket).copied() else {
            out.send(from, message::Message::Decline { ticket });
            return;
        };
        let Some(server) = self.candidate_server(key, ticket) else { return };
        let Some(Entry::Waiting(wait)) = self.entries.remove(&key) else { return };
        let is_first = wait.candidates.first().is_some_and(|first| first.ticket == ticket);
        let hold = HeldReservation {
            server: server.clone(),
            ticket,
            work_tokens: work_tokens(&wait.demand, is_first),
            memory_pieces: wait.demand.memory_pieces,
        };
        self.wait_estimates.remove(&server);
        self.entries.insert(key, Entry::Holding(hold));
        let (request, phase) = key;
        let others = wait.candidates.into_iter().filter(|other| other.ticket != ticket).collect();
        self.withdraw(others, context, out);
        let waited_ms = millis(context.now.saturating_sub(wait.since));
        out.effects.push(scheduler::Effect::Placed { request, phase, server, waited_ms });
    }

    /// Records that an owner queued the request. On its first such answer, another candidate is
    /// tried as well, after the discipline's delay.
    pub fn on_queued(
        &mut self,
        ticket: message::Ticket,
        wait_ms: u32,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(key) = self.tickets.get(&ticket).copied() else { return };
        let Some(Entry::Waiting(wait)) = self.entries.get_mut(&key) else { return };
        let candidate = wait.candidates.iter_mut().find(|candidate| candidate.ticket == ticket);
        let Some(candidate) = candidate else { return };
        self.wait_estimates
            .insert(candidate.server.clone(), WaitEstimate { wait_ms, at: context.now });
        let is_first_answer = candidate.state != State::Queued;
        candidate.state = State::Queued;
        if !is_first_answer {
            return;
        }
        let delay = delay(self.discipline, &wait.demand);
        if delay.is_zero() {
            self.request_next(key, context, out);
            return;
        }
        self.timers.add(context.now + delay, Timer::Delay(key, wait.epoch));
    }

    /// Records that an owner refused the request, and tries another candidate.
    pub fn on_refused(
        &mut self,
        ticket: message::Ticket,
        refusal: message::Refusal,
        context: &Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(key) = self.tickets.get(&ticket).copied() else { return };
        let Some(Entry::Waiting(wait)) = self.entries.get_mut(&key) else { return };
        let candidate = wait.candidates.iter_mut().find(|candidate| candidate.ticket == ticket);
        let Some(candidate) = candidate else { return };
        candidate.state = match refusal {
            message::Refusal::Moved | message::Refusal::Ejected => State::Deferred,
            message::Refusal::Full | message::Refusal::Leaving => State::Refused(refusal),
        };
        self.request_next(key, context, out);
        self.fail_if_all_refused(key, out);
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, context: &Context<'_>, out: &mut outbox::Outbox<'_>) {
        for _ in 0..constants::MAX_TIMERS_PER_TICK {
            match self.timers.pop_due(context.now) {
                None => break,
                Some(Timer::Retry(key, epoch)) => self.retry_due(key, epoch, context, out),
                Some(Timer::Delay(key, epoch)) => self.delay_due(key, epoch, context, out),
                Some(Timer::Register(server)) if self.unregistered.contains(&server) => {
                    self.register(&server, context, out);
                }
                Some(Timer::Register(_)) => {}
            }
        }
        self.send_urgent_reports(context, out);
    }

    /// Returns the server that a waiting request used a ticket for.
    fn candidate_server(
        &self,
        key: RequestPhase,
        ticket: message::Ticket,
    ) -> Option<ids::ServerId> {
        let Some(Entry::Waiting(wait)) = self.entries.get(&key) else { return None };
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
            match candidate.state {
                State::Unsent => {}
                State::Sent | State::TimedOut | State::Queued | State::Deferred => {
                    self.send_release(&candidate.server, candidate.ticket, None, context, out);
                }
                State::Refused(_) => self.forget_ticket(&candidate.server, candidate.ticket),
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
        let Some(tickets) = self.tickets_by_server.get_mut(server) else { return };
        tickets.remove(&ticket);
        if tickets.is_empty() {
            self.tickets_by_server.remove(server);
        }
    }
}

/// Returns how long to wait only for the server with the cached prefix. As in CAVA (Hwang et al.),
/// the delay is proportional to the time that the cache saves.
fn delay(discipline: scheduler::Discipline, demand: &scheduler::Demand) -> time::Duration {
    let scheduler::Discipline::Delayed { share } = discipline else { return time::Duration::ZERO };
    let saved_s = f64::from(demand.cached_tokens) / constants::INITIAL_PREFILL_TOKENS_PER_S;
    time::Duration::from_secs_f64(saved_s * share)
}

/// Returns the work at a candidate; only the first one is estimated to have the cached part.
fn work_tokens(demand: &scheduler::Demand, is_first: bool) -> u32 {
    let cached_tokens = if is_first { demand.cached_tokens } else { 0 };
    demand.work_tokens.saturating_sub(cached_tokens).max(1)
}

fn registration(key: RequestPhase, hold: &HeldReservation) -> message::Registration {
    message::Registration {
        ticket: hold.ticket,
        sequence: key.0 as u64,
        decode: key.1 == scheduler::Phase::Decode,
        work_tokens: hold.work_tokens,
        memory_pieces: hold.memory_pieces,
    }
}

fn unplaced(key: RequestPhase, reason: scheduler::UnplacedReason) -> scheduler::Effect {
    scheduler::Effect::Unplaced { request: key.0, phase: key.1, reason }
}

fn millis(duration: time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
