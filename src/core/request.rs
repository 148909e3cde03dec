//! The request reducer: takes each accepted request from its arrival to exactly one outcome.

use std::collections as std_collections;
use std::net;
use std::time;

use crate::core::claims;
use crate::core::collections;
use crate::core::configuration;
use crate::core::escrow;
use crate::core::ids;
use crate::core::reducer;
use crate::core::scheduler;
use crate::document;

mod call;
mod command;
pub mod constants;
mod effect;
mod estimator;
mod event;
mod language;
mod plain;
mod refusal;
mod summary;
#[cfg(test)]
mod tests;

pub use call::{Arrival, LanguageCall, PlainCall, Target};
pub use command::{Command, Start};
pub use effect::Effect;
pub use event::{ClaimOutcome, Event};
pub use refusal::{Failure, Fault, Ran, Reason, Refusal};
pub use summary::{Outcome, Step, Summary, Usage};

/// The state of all requests of this instance that have not ended.
#[derive(Debug, Default)]
pub struct Requests {
    bounds: RequestLimits,
    context: Context,
    language: collections::Map<ids::RequestId, language::Language>,
    plain: collections::Map<ids::RequestId, plain::Plain>,
    deadlines: std_collections::BTreeSet<(ids::Timestamp, ids::RequestId)>,
}

/// Limits on requests that an operator can set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLimits {
    /// The most requests that the instance handles at the same time.
    pub max_live_requests: usize,
    /// The longest time from a request's arrival to its end.
    pub request_timeout: time::Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_live_requests: constants::MAX_LIVE_REQUESTS,
            request_timeout: constants::REQUEST_TIMEOUT,
        }
    }
}

/// State that is shared by all requests.
#[derive(Debug, Default)]
struct Context {
    environment: Option<document::Environment>,
    snapshot: Option<configuration::SharedSnapshot>,
    fresh: bool,
    valid: bool,
    draining: bool,
    estimator: estimator::Estimator,
    plain: plain::SharedState,
}

/// Whether a request continues after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    Close,
}

impl Requests {
    /// Creates the state of an instance without requests.
    pub fn new(environment: document::Environment, bounds: RequestLimits) -> Self {
        let context = Context { environment: Some(environment), ..Context::default() };
        Self { context, bounds, ..Self::default() }
    }

    /// Returns the number of requests that have not ended.
    pub fn live(&self) -> usize {
        self.language.len() + self.plain.len()
    }

    fn arrive(
        &mut self,
        request: ids::RequestId,
        arrival: Arrival,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Explain { request, step: Step::Arrived });
        if self.live() >= self.bounds.max_live_requests {
            return refuse_immediately(request, Reason::TooManyRequests, effects);
        }
        if let Some(reason) = self.context.unready_reason() {
            return refuse_immediately(request, reason, effects);
        }
        let key = arrival.key;
        match arrival.target {
            Target::Language(call) => {
                match language::Language::admit(request, key, call, &self.context, now, effects) {
                    Ok(language) => drop(self.language.insert(request, language)),
                    Err(reason) => return refuse_immediately(request, reason, effects),
                }
            }
            Target::Plain(call) => {
                match plain::Plain::admit(request, key, call, &mut self.context, now, effects) {
                    Ok(Some(plain)) => drop(self.plain.insert(request, plain)),
                    Ok(None) => return,
                    Err(reason) => return refuse_immediately(request, reason, effects),
                }
            }
        }
        self.deadlines.insert((now + self.bounds.request_timeout, request));
    }

    fn on_tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        while let Some(request) = self.context.plain.take_due(now) {
            self.resume(request, now, effects);
        }
    }

    /// Resumes queued plain calls while their servers have capacity.
    fn resume_queued(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for route in self.context.plain.take_released() {
            while let Some(request) = self.context.plain.front(&route) {
                self.resume(request, now, effects);
                if self.context.plain.front(&route) == Some(request) {
                    break;
                }
            }
        }
    }

    fn expire(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            self.forward(request, Input::Deadline, now, effects);
        }
    }

    /// Records whether the lease is valid. When it becomes valid, requests whose attempts failed
    /// without a lease continue.
    fn on_validity(&mut self, valid: bool, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let is_granted = valid && !self.context.valid;
        self.context.valid = valid;
        if !is_granted {
            return;
        }
        let mut requests: Vec<ids::RequestId> = self.language.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            self.forward(request, Input::LeaseGranted, now, effects);
        }
    }

    fn forward(
        &mut self,
        request: ids::RequestId,
        input: Input,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(language) = self.language.get_mut(&request) {
            if language.apply(input, &mut self.context, now, effects) == Flow::Close {
                let deadline = language.arrived_at() + self.bounds.request_timeout;
                self.language.remove(&request);
                self.deadlines.remove(&(deadline, request));
            }
        } else if let Some(plain) = self.plain.get_mut(&request)
            && plain.apply(input, &mut self.context, now, effects) == Flow::Close
        {
            self.remove_plain(request);
        }
    }

    /// Resumes a plain call that waited for capacity or for its next attempt.
    fn resume(&mut self, request: ids::RequestId, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if let Some(plain) = self.plain.get_mut(&request)
            && plain.resume(&mut self.context, now, effects) == Flow::Close
        {
            self.remove_plain(request);
        }
    }

    fn remove_plain(&mut self, request: ids::RequestId) {
        if let Some(plain) = self.plain.remove(&request) {
            let deadline = plain.arrived_at() + self.bounds.request_timeout;
            self.deadlines.remove(&(deadline, request));
        }
    }
}

impl Context {
    /// Returns why this instance accepts no requests at the moment, if it does not.
    fn unready_reason(&self) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Draining);
        }
        if !self.valid {
            return Some(Reason::NoLease);
        }
        if !self.fresh || self.snapshot.is_none() {
            return Some(Reason::Stale);
        }
        None
    }

    fn workspace_of(&self, key: Option<ids::Digest>) -> Option<&ids::WorkspaceId> {
        self.snapshot.as_ref()?.workspace_of(&key?)
    }

    /// Returns whether a key is known to belong to a workspace, by keys that are recent enough.
    fn is_key_valid(&self, key: Option<ids::Digest>, workspace: &ids::WorkspaceId) -> bool {
        self.fresh && self.workspace_of(key) == Some(workspace)
    }

    fn server(&self, id: &ids::ServerId) -> Option<&document::Server> {
        let snapshot = self.snapshot.as_ref()?;
        snapshot.server(id)
    }

    fn address(&self, id: &ids::ServerId) -> Option<net::SocketAddr> {
        self.server(id)?.addresses.get(self.environment?.as_str()).copied()
    }
}

/// An event for one request.
#[derive(Debug, Clone, PartialEq)]
enum Input {
    Deadline,
    Disconnected,
    LeaseGranted,
    Admitted,
    Limited { retry_after_ms: u64, reason: escrow::Refusal },
    Chosen { phase: scheduler::Phase, candidates: Vec<ids::ServerId>, cached_tokens: u32 },
    Placed { phase: scheduler::Phase, server: ids::ServerId, waited_ms: u32 },
    Unplaced { phase: scheduler::Phase, reason: scheduler::UnplacedReason },
    Claimed(ClaimOutcome),
    Prefilled { attempt: ids::Attempt, usage: Usage },
    Started { attempt: ids::Attempt },
    Progressed { attempt: ids::Attempt, relayed_tokens: u32 },
    Ended { attempt: ids::Attempt, usage: Usage, answer: Option<claims::Answer> },
    Failed { attempt: ids::Attempt, failure: Failure },
}

impl reducer::Reducer for Requests {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.on_tick(now, effects),
            Event::Applied(snapshot) => {
                self.context.plain.retain(&snapshot);
                self.context.snapshot = Some(snapshot);
            }
            Event::KeysFresh(fresh) => self.context.fresh = fresh,
            Event::Validity(valid) => self.on_validity(valid, now, effects),
            Event::Drain => self.context.draining = true,
            Event::Arrived { request, arrival } => self.arrive(request, arrival, now, effects),
            other => {
                if let Some((request, input)) = into_input(other) {
                    self.forward(request, input, now, effects);
                }
            }
        }
        self.resume_queued(now, effects);
    }
}

fn into_input(event: Event) -> Option<(ids::RequestId, Input)> {
    Some(match event {
        Event::Disconnected { request } => (request, Input::Disconnected),
        Event::Admitted { request } => (request, Input::Admitted),
        Event::Limited { request, retry_after_ms, reason } => {
            (request, Input::Limited { retry_after_ms, reason })
        }
        Event::Chosen { request, phase, candidates, cached_tokens } => {
            (request, Input::Chosen { phase, candidates, cached_tokens })
        }
        Event::Placed { request, phase, server, waited_ms } => {
            (request, Input::Placed { phase, server, waited_ms })
        }
        Event::Unplaced { request, phase, reason } => (request, Input::Unplaced { phase, reason }),
        Event::Claimed { request, outcome } => (request, Input::Claimed(outcome)),
        Event::Prefilled { request, attempt, usage } => {
            (request, Input::Prefilled { attempt, usage })
        }
        Event::Started { request, attempt } => (request, Input::Started { attempt }),
        Event::Progressed { request, attempt, relayed_tokens } => {
            (request, Input::Progressed { attempt, relayed_tokens })
        }
        Event::Ended { request, attempt, usage, answer } => {
            (request, Input::Ended { attempt, usage, answer })
        }
        Event::Failed { request, attempt, failure } => {
            (request, Input::Failed { attempt, failure })
        }
        Event::Tick
        | Event::Applied(_)
        | Event::KeysFresh(_)
        | Event::Validity(_)
        | Event::Drain
        | Event::Arrived { .. } => return None,
    })
}

/// Refuses a request that has no state yet.
fn refuse_immediately(request: ids::RequestId, reason: Reason, effects: &mut Vec<Effect>) {
    let refusal = Refusal { retry_after_ms: reason.retry_after_ms(), reason, ran: Ran::No };
    let summary = Summary::refused(refusal.clone());
    effects.push(Effect::Explain { request, step: Step::Refused(refusal.clone()) });
    effects.push(Effect::Command { request, command: Command::Refuse(refusal) });
    effects.push(Effect::Closed { request, summary });
}
