//! Carries each accepted request from its arrival to exactly one end.

use std::collections as std_collections;
use std::net;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::claims;
use crate::core::collections;
use crate::core::configuration;
use crate::core::escrow;
use crate::core::ids;
use crate::core::reducer;
use crate::core::scheduler;
use crate::document;

pub mod constants;
mod estimator;
mod language;
mod plain;
#[cfg(test)]
mod tests;

/// A request that an instance has read from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The digest of the key that came with it.
    pub key: Option<ids::Digest>,
    /// What it asks for.
    pub target: Target,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A completion.
    Language(LanguageCall),
    /// A call of a plain service.
    Plain(PlainCall),
}

/// A request for a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LanguageCall {
    /// The model that the caller names.
    pub model: ids::ModelId,
    /// The length of the prompt.
    pub prompt_bytes: u64,
    /// The chain of hashes of the prompt's whole blocks.
    pub prefix: Vec<ids::BlockHash>,
    /// The most tokens that may be generated.
    pub output_limit_tokens: u32,
    /// Whether a second run gives the same output.
    pub deterministic: bool,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// The method.
    pub method: Bytes,
    /// The path, without the query.
    pub path: Bytes,
    /// The idempotency key, if one came with the call.
    pub idempotency_key: Option<Bytes>,
    /// The digest of method, path, query and body; of method, path and query alone where the body
    /// is not buffered.
    pub fingerprint: ids::Digest,
    /// Whether the body is buffered, so that the call can be sent again.
    pub replayable: bool,
}

/// Whether a request ran, as far as the system can truthfully say.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of it can have reached a backend server that would run it.
    No,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The route needs a key and none came, or the key is not known.
    Unauthenticated,
    /// The workspace may not use the route.
    Forbidden,
    /// No route matches the model or the path.
    NoRoute,
    /// The route exists but not for this method.
    Method,
    /// The workspace has used its tokens.
    Limit(escrow::Refusal),
    /// No place was to be had.
    Place(scheduler::Unplaced),
    /// The instance's configuration or keys are not recent enough.
    Stale,
    /// The instance has no valid lease.
    NotValid,
    /// The instance has as many requests as it may hold.
    TooManyRequests,
    /// The instance is shutting down and takes no new requests.
    Draining,
    /// Every attempt at a backend server failed.
    Failed(Fault),
    /// The idempotency key was used with another request.
    KeyReused,
    /// The idempotency key could not be recorded.
    ClaimUnavailable,
    /// Another request with the same idempotency key ran and its answer is not to be had.
    ClaimHeld,
    /// The request took longer than it may.
    Deadline,
}

/// A refusal as the caller is told it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// How an attempt at a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// No connection could be opened.
    Connect,
    /// No first byte came in time.
    FirstByte,
    /// The stream paused longer than it may.
    Gap,
    /// The connection ended early.
    Closed,
    /// The server answered with this status.
    Status(u16),
    /// The KV cache was gone on import.
    KvGone,
    /// The server had neither slot nor memory free.
    Full,
    /// The server does not know the request that was to be resumed.
    UnknownRequest,
    /// The answer belongs to another request.
    Crossed,
    /// The answer cannot be read.
    Malformed,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// How it failed.
    pub fault: Fault,
    /// Whether the server may have run the request.
    pub ran: Ran,
}

/// Tokens as the engine counts them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the cache held.
    pub cached_tokens: u32,
    /// Tokens that were generated.
    pub completion_tokens: u32,
}

/// What the request reducer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A document is in force.
    Applied(configuration::SharedSnapshot),
    /// Whether the known keys are recent enough to accept requests with.
    Fresh(bool),
    /// Whether this instance holds a valid lease.
    Validity(bool),
    /// The instance is shutting down.
    Drain,
    /// A caller's request was read.
    Arrived {
        /// The request.
        request: ids::RequestId,
        /// What came.
        arrival: Arrival,
    },
    /// The caller has gone away.
    Gone {
        /// The request.
        request: ids::RequestId,
    },
    /// The request's tokens are reserved.
    Admitted {
        /// The request.
        request: ids::RequestId,
    },
    /// The request's tokens cannot be had.
    Limited {
        /// The request.
        request: ids::RequestId,
        /// When they would be there, in milliseconds.
        retry_after_ms: u64,
        /// Why.
        reason: escrow::Refusal,
    },
    /// Candidates for a phase were chosen.
    Chosen {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The candidates, best first.
        candidates: Vec<ids::ServerId>,
        /// Prompt tokens that the best candidate's cache is believed to hold.
        cached_tokens: u32,
    },
    /// A place was granted.
    Placed {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The server.
        server: ids::ServerId,
        /// How long it took, in milliseconds.
        waited_ms: u32,
    },
    /// No place is to be had, or a granted one was lost.
    Unplaced {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// Why.
        reason: scheduler::Unplaced,
    },
    /// The claims reducer decided on the request's idempotency key.
    Claimed {
        /// The request.
        request: ids::RequestId,
        /// The decision.
        outcome: ClaimOutcome,
    },
    /// A prefill ended.
    Prefilled {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// What the engine counted.
        usage: Usage,
    },
    /// The first token, or the head of a plain answer, came.
    Started {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
    },
    /// More tokens came.
    Progressed {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// Tokens relayed to the caller so far, over all attempts.
        relayed_tokens: u32,
    },
    /// The whole answer was relayed.
    Ended {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// What the engine counted.
        usage: Usage,
        /// The answer to keep for callers that resend, if the request holds a claim.
        answer: Option<claims::Answer>,
    },
    /// An attempt failed.
    Failed {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// How.
        failure: Failure,
    },
}

/// What the claims reducer decided on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request may run.
    Granted,
    /// Another request holds the claim and this is its answer.
    Answered {
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// Its answer.
        answer: claims::Answer,
    },
    /// The key was used with another request.
    Mismatch,
    /// The claim could not be recorded.
    Unavailable,
}

/// What the task that serves a request is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Fill the KV cache on a server and keep its transfer parameters.
    Prefill {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
        /// The engine's priority; lower runs first.
        priority: i32,
    },
    /// Generate tokens on a server, from the last prefill's KV cache if there is one.
    Decode {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
        /// The engine's priority; lower runs first.
        priority: i32,
        /// How the attempt relates to earlier ones.
        start: Start,
    },
    /// Forward a plain call.
    Forward {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
        /// Whether only a connection may be used that is new or was in use a moment ago.
        fresh: bool,
        /// Whether the whole answer is to be reported for callers that resend.
        keep_answer: bool,
        /// When the call must no longer be sent, because its claim may run out.
        send_before: Option<ids::Timestamp>,
    },
    /// Answer with what an earlier request with the same idempotency key got.
    Replay {
        /// The earlier request.
        holder: ids::RequestId,
        /// Its answer.
        answer: claims::Answer,
    },
    /// Refuse the request, or end a stream that has begun with an error.
    Refuse(Refusal),
}

/// How a decode attempt relates to earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Start {
    /// Import the KV cache of the last prefill.
    Import,
    /// Prefill in place.
    Whole,
    /// Resume the stream that the server holds at the first token not yet relayed.
    Resume,
}

/// What the request reducer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell the request's task what to do.
    Command {
        /// The request.
        request: ids::RequestId,
        /// The command.
        command: Command,
    },
    /// Cancel the request on a server, so that the server frees what it holds.
    Cancel {
        /// The request.
        request: ids::RequestId,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Tell the escrow reducer.
    Escrow(escrow::Event),
    /// Tell the placement reducer.
    Choose {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The model.
        model: ids::ModelId,
        /// The chain of hashes of the prompt's blocks.
        prefix: Vec<ids::BlockHash>,
        /// The prompt's estimated length.
        prompt_tokens: u32,
        /// Servers to leave out.
        avoid: Vec<ids::ServerId>,
    },
    /// Tell the scheduler reducer.
    Scheduler(scheduler::Event),
    /// Tell the claims reducer.
    Claims(claims::Event),
    /// A decision to keep for `galenayard explain`.
    Explain {
        /// The request.
        request: ids::RequestId,
        /// The decision.
        step: Step,
    },
    /// The request is over and forgotten.
    Closed {
        /// The request.
        request: ids::RequestId,
        /// Its summary, for metrics.
        summary: Summary,
    },
}

/// One decision on a request, as `galenayard explain` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// It arrived.
    Arrived,
    /// It was admitted for a workspace at an estimated cost.
    Admitted {
        /// The workspace.
        workspace: ids::WorkspaceId,
        /// The estimated cost.
        tokens: u64,
    },
    /// Candidates were chosen.
    Candidates {
        /// The phase.
        phase: scheduler::Phase,
        /// The candidates.
        servers: Vec<ids::ServerId>,
        /// Tokens that the best one's cache is believed to hold.
        cached_tokens: u32,
    },
    /// A place was granted.
    Placed {
        /// The phase.
        phase: scheduler::Phase,
        /// The server.
        server: ids::ServerId,
        /// How long it waited, in milliseconds.
        waited_ms: u32,
    },
    /// An attempt began.
    Attempted {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
    },
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: ids::Attempt,
        /// How.
        failure: Failure,
    },
    /// The first token or the head of the answer came.
    Started,
    /// The whole answer was relayed.
    Ended {
        /// What the engine counted.
        usage: Usage,
    },
    /// It was refused.
    Refused(Refusal),
    /// The caller went away.
    Gone,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller has the whole answer.
    Answered,
    /// The caller has a refusal.
    Refused,
    /// The caller went away.
    Gone,
}

/// What the metrics keep of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The workspace, if a key named one.
    pub workspace: Option<ids::WorkspaceId>,
    /// The route, if one matched.
    pub route: Option<ids::RouteId>,
    /// How it ended.
    pub outcome: Outcome,
    /// Why it was refused.
    pub refusal: Option<Refusal>,
    /// Milliseconds from arrival to the first token or answer head.
    pub first_token_ms: Option<u32>,
    /// Milliseconds from arrival to the end.
    pub whole_ms: u32,
    /// What the engine counted.
    pub usage: Usage,
    /// Attempts at backend servers.
    pub attempts: ids::Attempt,
}

/// All requests of this instance that have not ended.
#[derive(Debug, Default)]
pub struct Requests {
    context: Context,
    language: collections::Map<ids::RequestId, language::Language>,
    plain: collections::Map<ids::RequestId, plain::Plain>,
    deadlines: std_collections::BTreeSet<(ids::Timestamp, ids::RequestId)>,
}

/// What every request may consult.
#[derive(Debug, Default)]
struct Context {
    environment: Option<document::Environment>,
    snapshot: Option<configuration::SharedSnapshot>,
    fresh: bool,
    valid: bool,
    draining: bool,
    estimator: estimator::Estimator,
    plain: plain::Shared,
}

/// Whether a request goes on after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    Close,
}

impl Requests {
    /// Creates the state of an instance without requests.
    pub fn new(environment: document::Environment) -> Self {
        let context = Context { environment: Some(environment), ..Context::default() };
        Self { context, ..Self::default() }
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
        if self.live() >= constants::MAX_LIVE_REQUESTS {
            return refuse_at_once(request, Reason::TooManyRequests, effects);
        }
        if let Some(reason) = self.context.unready() {
            return refuse_at_once(request, reason, effects);
        }
        let key = arrival.key;
        match arrival.target {
            Target::Language(call) => {
                match language::Language::admit(request, key, call, &self.context, now, effects) {
                    Ok(language) => drop(self.language.insert(request, language)),
                    Err(reason) => return refuse_at_once(request, reason, effects),
                }
            }
            Target::Plain(call) => {
                match plain::Plain::admit(request, key, call, &mut self.context, now, effects) {
                    Ok(Some(plain)) => drop(self.plain.insert(request, plain)),
                    Ok(None) => return,
                    Err(reason) => return refuse_at_once(request, reason, effects),
                }
            }
        }
        self.deadlines.insert((now + constants::REQUEST_TIMEOUT, request));
    }

    fn on_tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        while let Some(request) = self.context.plain.take_due(now) {
            self.wake(request, now, effects);
        }
    }

    /// Wakes plain calls that wait for room, as many as there is room for.
    fn wake_queued(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for route in self.context.plain.take_freed() {
            while let Some(request) = self.context.plain.front(&route) {
                self.wake(request, now, effects);
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

    /// Requests whose attempts failed without a lease go on once there is one.
    fn on_validity(&mut self, valid: bool, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let is_new = valid && !self.context.valid;
        self.context.valid = valid;
        if !is_new {
            return;
        }
        let mut requests: Vec<ids::RequestId> = self.language.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            self.forward(request, Input::Leased, now, effects);
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
                let deadline = language.arrived_at() + constants::REQUEST_TIMEOUT;
                self.language.remove(&request);
                self.deadlines.remove(&(deadline, request));
            }
        } else if let Some(plain) = self.plain.get_mut(&request)
            && plain.apply(input, &mut self.context, now, effects) == Flow::Close
        {
            self.forget_plain(request);
        }
    }

    /// Lets a plain call go on that waited for room or for the time of its next attempt.
    fn wake(&mut self, request: ids::RequestId, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if let Some(plain) = self.plain.get_mut(&request)
            && plain.wake(&mut self.context, now, effects) == Flow::Close
        {
            self.forget_plain(request);
        }
    }

    fn forget_plain(&mut self, request: ids::RequestId) {
        if let Some(plain) = self.plain.remove(&request) {
            let deadline = plain.arrived_at() + constants::REQUEST_TIMEOUT;
            self.deadlines.remove(&(deadline, request));
        }
    }
}

impl Context {
    /// Returns why no request can be accepted at the moment.
    fn unready(&self) -> Option<Reason> {
        if self.draining {
            return Some(Reason::Draining);
        }
        if !self.valid {
            return Some(Reason::NotValid);
        }
        if !self.fresh || self.snapshot.is_none() {
            return Some(Reason::Stale);
        }
        None
    }

    fn workspace_of(&self, key: Option<ids::Digest>) -> Option<&ids::WorkspaceId> {
        self.snapshot.as_ref()?.workspace_of(&key?)
    }

    /// Returns whether a key still acts for a workspace.
    fn still_holds(&self, key: Option<ids::Digest>, workspace: &ids::WorkspaceId) -> bool {
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

/// An event on its way to one request.
#[derive(Debug, Clone, PartialEq)]
enum Input {
    Deadline,
    Gone,
    Leased,
    Admitted,
    Limited { retry_after_ms: u64, reason: escrow::Refusal },
    Chosen { phase: scheduler::Phase, candidates: Vec<ids::ServerId>, cached_tokens: u32 },
    Placed { phase: scheduler::Phase, server: ids::ServerId, waited_ms: u32 },
    Unplaced { phase: scheduler::Phase, reason: scheduler::Unplaced },
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
            Event::Fresh(fresh) => self.context.fresh = fresh,
            Event::Validity(valid) => self.on_validity(valid, now, effects),
            Event::Drain => self.context.draining = true,
            Event::Arrived { request, arrival } => self.arrive(request, arrival, now, effects),
            other => {
                if let Some((request, input)) = into_input(other) {
                    self.forward(request, input, now, effects);
                }
            }
        }
        self.wake_queued(now, effects);
    }
}

fn into_input(event: Event) -> Option<(ids::RequestId, Input)> {
    Some(match event {
        Event::Gone { request } => (request, Input::Gone),
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
        | Event::Fresh(_)
        | Event::Validity(_)
        | Event::Drain
        | Event::Arrived { .. } => return None,
    })
}

/// Refuses a request of which nothing is kept.
fn refuse_at_once(request: ids::RequestId, reason: Reason, effects: &mut Vec<Effect>) {
    let refusal = Refusal { retry_after_ms: reason.retry_after_ms(), reason, ran: Ran::No };
    let summary = Summary::refused(refusal.clone());
    effects.push(Effect::Explain { request, step: Step::Refused(refusal.clone()) });
    effects.push(Effect::Command { request, command: Command::Refuse(refusal) });
    effects.push(Effect::Closed { request, summary });
}

impl Reason {
    /// Returns the name that metrics, logs and callers see.
    pub fn name(&self) -> &'static str {
        match self {
            Reason::Unauthenticated => "unauthenticated",
            Reason::Forbidden => "forbidden",
            Reason::NoRoute => "no_route",
            Reason::Method => "method_not_allowed",
            Reason::Limit(escrow::Refusal::OverRate) => "over_rate",
            Reason::Limit(escrow::Refusal::OverBurst) => "over_burst",
            Reason::Limit(escrow::Refusal::Unreachable) => "limits_unreachable",
            Reason::Limit(escrow::Refusal::QueueFull) => "limit_queue_full",
            Reason::Limit(escrow::Refusal::Unlimited) => "no_limit_configured",
            Reason::Place(scheduler::Unplaced::NoServer) => "no_server",
            Reason::Place(scheduler::Unplaced::QueueFull) => "server_queue_full",
            Reason::Place(scheduler::Unplaced::WaitedTooLong) => "waited_too_long",
            Reason::Place(scheduler::Unplaced::Lost) => "place_lost",
            Reason::Stale => "configuration_stale",
            Reason::NotValid => "no_lease",
            Reason::TooManyRequests => "instance_full",
            Reason::Draining => "draining",
            Reason::Failed(_) => "backend_server_failed",
            Reason::KeyReused => "idempotency_key_reused",
            Reason::ClaimUnavailable => "claim_unavailable",
            Reason::ClaimHeld => "claim_held",
            Reason::Deadline => "deadline",
        }
    }

    /// Returns when a caller should come back, where that does not depend on the workspace.
    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Reason::Place(_) | Reason::TooManyRequests | Reason::Failed(_) => {
                Some(constants::RETRY_AFTER_BUSY_MS)
            }
            Reason::Stale | Reason::NotValid | Reason::Draining | Reason::ClaimUnavailable => {
                Some(constants::RETRY_AFTER_ELSEWHERE_MS)
            }
            _ => None,
        }
    }
}

impl Summary {
    fn refused(refusal: Refusal) -> Self {
        Self {
            workspace: None,
            route: None,
            outcome: Outcome::Refused,
            refusal: Some(refusal),
            first_token_ms: None,
            whole_ms: 0,
            usage: Usage::default(),
            attempts: 0,
        }
    }
}
