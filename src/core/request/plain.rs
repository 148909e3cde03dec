//! The life of one call of a plain service: route, claim, attempts.

use crate::core::claims;
use crate::core::configuration;
use crate::core::ids;
use crate::core::request;
use crate::core::request::constants;
use crate::core::scheduler;

type Effects = Vec<request::Effect>;

mod budget;
mod routes;
mod servers;
mod waits;

/// What the plain calls of an instance share.
#[derive(Debug, Default)]
pub struct Shared {
    budgets: budget::Budgets,
    servers: servers::Servers,
    waits: waits::Waits,
}

impl Shared {
    /// Forgets what a new document no longer names.
    pub(super) fn retain(&mut self, snapshot: &configuration::Snapshot) {
        self.servers.retain(|id| snapshot.server(id).is_some());
        let routes = &snapshot.document.plain_routes;
        self.budgets.retain(|id| routes.iter().any(|route| route.id == *id));
    }

    /// Takes the next call whose timer is due.
    pub(super) fn take_due(&mut self, now: ids::Timestamp) -> Option<ids::RequestId> {
        self.waits.take_due(now)
    }

    /// Returns the routes with calls that wait for room, if a call has ended since the last time.
    pub(super) fn take_freed(&mut self) -> Vec<ids::RouteId> {
        if self.servers.take_freed() { self.waits.routes() } else { Vec::new() }
    }

    /// Returns the call of a route that has waited longest for room.
    pub(super) fn front(&self, route: &ids::RouteId) -> Option<ids::RequestId> {
        self.waits.front(route)
    }
}

/// A plain call that has not ended.
#[derive(Debug)]
pub struct Plain {
    request: ids::RequestId,
    key: Option<ids::Digest>,
    workspace: Option<ids::WorkspaceId>,
    route: ids::RouteId,
    servers: Vec<ids::ServerId>,
    idempotent: bool,
    replayable: bool,
    claimed: bool,
    granted: bool,
    arrived_at: ids::Timestamp,
    first_byte_at: Option<ids::Timestamp>,
    tried: Vec<ids::ServerId>,
    attempts: ids::Attempt,
    unclear_attempts: ids::Attempt,
    under_way: Option<servers::Candidate>,
    queued_at: Option<ids::Timestamp>,
    timer: Option<ids::Timestamp>,
}

impl Plain {
    /// Checks a call and starts it, or asks for its claim first.
    pub(super) fn admit(
        id: ids::RequestId,
        key: Option<ids::Digest>,
        call: request::PlainCall,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> Result<Option<Self>, request::Reason> {
        let snapshot = context.snapshot.clone().ok_or(request::Reason::Stale)?;
        let route = routes::find(&snapshot.document.plain_routes, &call)?;
        let workspace = match route.open {
            true => None,
            false => {
                let workspace =
                    context.workspace_of(key).ok_or(request::Reason::Unauthenticated)?;
                if !route.workspaces.is_empty() && !route.workspaces.contains(workspace) {
                    return Err(request::Reason::Forbidden);
                }
                Some(workspace.clone())
            }
        };
        let idempotent = route.idempotent.unwrap_or_else(|| routes::is_idempotent(&call.method));
        let mut plain = Self {
            request: id,
            key,
            workspace,
            route: route.id.clone(),
            servers: route.servers.clone(),
            idempotent,
            replayable: call.replayable,
            claimed: false,
            granted: false,
            arrived_at: now,
            first_byte_at: None,
            tried: Vec::new(),
            attempts: 0,
            unclear_attempts: 0,
            under_way: None,
            queued_at: None,
            timer: None,
        };
        context.plain.budgets.earn(&plain.route);
        match call.idempotency_key {
            Some(name) if !idempotent => {
                let key = claims::key_digest(plain.workspace.as_ref(), &name);
                let fingerprint = call.fingerprint;
                let event = claims::Event::Claim { request: id, key, fingerprint };
                plain.claimed = true;
                effects.push(request::Effect::Claims(event));
                Ok(Some(plain))
            }
            _ => match plain.dispatch(context, now, effects) {
                request::Flow::Continue => Ok(Some(plain)),
                request::Flow::Close => Ok(None),
            },
        }
    }

    /// Returns when the call arrived.
    pub(super) fn arrived_at(&self) -> ids::Timestamp {
        self.arrived_at
    }

    /// Applies one event to the call and, if that ends it, frees what it holds.
    pub(super) fn apply(
        &mut self,
        input: request::Input,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        let flow = self.on_input(input, context, now, effects);
        self.conclude(flow, context, now)
    }

    /// Goes on after a wait for room or for the time of the next attempt.
    pub(super) fn wake(
        &mut self,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.timer.is_none() {
            return request::Flow::Continue;
        }
        let flow = self.dispatch(context, now, effects);
        self.conclude(flow, context, now)
    }

    /// Frees what the call holds if it has ended.
    fn conclude(
        &mut self,
        flow: request::Flow,
        context: &mut request::Context,
        now: ids::Timestamp,
    ) -> request::Flow {
        if flow == request::Flow::Close {
            self.release(servers::Ending::GivenUp, context, now);
            self.stop_waiting(context);
        }
        flow
    }

    fn on_input(
        &mut self,
        input: request::Input,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        match input {
            request::Input::Disconnected => self.end_disconnected(now, effects),
            request::Input::Deadline => self.end_refused(request::Reason::Deadline, now, effects),
            request::Input::Claimed(outcome) => self.on_claimed(outcome, context, now, effects),
            request::Input::Started { attempt } if attempt == self.attempts => {
                self.first_byte_at.get_or_insert(now);
                effects.push(self.explained(request::Step::Started));
                request::Flow::Continue
            }
            request::Input::Ended { attempt, usage, answer } if attempt == self.attempts => {
                self.release(servers::Ending::Answered, context, now);
                self.settle(answer.unwrap_or(claims::Answer::Unknown), effects);
                effects.push(self.explained(request::Step::Ended { usage }));
                self.close(request::Outcome::Answered, None, now, effects)
            }
            request::Input::Failed { attempt, failure } if attempt == self.attempts => {
                self.on_failed(failure, context, now, effects)
            }
            _ => request::Flow::Continue,
        }
    }

    fn on_claimed(
        &mut self,
        outcome: request::ClaimOutcome,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.granted {
            return request::Flow::Continue;
        }
        match outcome {
            request::ClaimOutcome::Granted => {
                self.granted = true;
                self.dispatch(context, now, effects)
            }
            request::ClaimOutcome::Answered { holder, answer } => {
                self.claimed = false;
                let command = request::Command::Replay { holder, answer };
                effects.push(request::Effect::Command { request: self.request, command });
                self.close(request::Outcome::Answered, None, now, effects)
            }
            request::ClaimOutcome::Mismatch => {
                self.claimed = false;
                self.end_refused(request::Reason::KeyReused, now, effects)
            }
            request::ClaimOutcome::Unavailable => {
                self.claimed = false;
                self.end_refused(request::Reason::ClaimUnavailable, now, effects)
            }
        }
    }

    /// Sends the call to a server, or queues it until one has room.
    fn dispatch(
        &mut self,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        self.stop_timer(context);
        if let Some(workspace) = &self.workspace
            && !context.still_holds(self.key, workspace)
        {
            return self.end_refused(request::Reason::Unauthenticated, now, effects);
        }
        let candidates = self.candidates(context);
        if candidates.is_empty() {
            let reason = request::Reason::Unplaced(scheduler::UnplacedReason::NoServer);
            return self.end_refused(reason, now, effects);
        }
        if !context.plain.waits.is_next(&self.route, self.request) {
            return self.queue(context, now, effects);
        }
        let draw = servers::draw(self.request, self.attempts);
        match context.plain.servers.choose(&candidates, &self.tried, draw, now) {
            servers::Choice::Busy => self.queue(context, now, effects),
            servers::Choice::Server(id) => {
                let chosen = candidates.into_iter().find(|candidate| candidate.id == id);
                self.send(chosen, context, now, effects)
            }
        }
    }

    fn send(
        &mut self,
        chosen: Option<servers::Candidate>,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        let address = chosen.as_ref().and_then(|chosen| context.address(&chosen.id));
        let (Some(chosen), Some(address)) = (chosen, address) else {
            let reason = request::Reason::Unplaced(scheduler::UnplacedReason::NoServer);
            return self.end_refused(reason, now, effects);
        };
        self.stop_waiting(context);
        context.plain.servers.begin(&chosen.id);
        self.attempts += 1;
        self.unclear_attempts += 1;
        let server = chosen.id.clone();
        let step = request::Step::Attempted { attempt: self.attempts, server: server.clone() };
        effects.push(self.explained(step));
        self.tried.push(server.clone());
        self.under_way = Some(chosen);
        let command = request::Command::Forward {
            attempt: self.attempts,
            server,
            address,
            fresh: !self.idempotent,
            keep_answer: self.claimed,
            send_before: self.claimed.then(|| self.arrived_at + claims::constants::SEND_WINDOW),
        };
        effects.push(request::Effect::Command { request: self.request, command });
        request::Flow::Continue
    }

    /// Waits for room at a server, for a bounded time and behind a bounded number of others.
    fn queue(
        &mut self,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.queued_at.is_none() && !context.plain.waits.join(&self.route, self.request) {
            let reason = request::Reason::Unplaced(scheduler::UnplacedReason::QueueFull);
            return self.end_refused(reason, now, effects);
        }
        let until = *self.queued_at.get_or_insert(now) + constants::PLAIN_QUEUE_TIMEOUT;
        if now >= until {
            let reason = request::Reason::Unplaced(scheduler::UnplacedReason::WaitedTooLong);
            return self.end_refused(reason, now, effects);
        }
        self.start_timer(until, context);
        request::Flow::Continue
    }

    fn start_timer(&mut self, at: ids::Timestamp, context: &mut request::Context) {
        self.timer = Some(at);
        context.plain.waits.set_timer(at, self.request);
    }

    fn stop_timer(&mut self, context: &mut request::Context) {
        if let Some(at) = self.timer.take() {
            context.plain.waits.clear_timer(at, self.request);
        }
    }

    fn stop_waiting(&mut self, context: &mut request::Context) {
        self.stop_timer(context);
        if self.queued_at.take().is_some() {
            context.plain.waits.leave(&self.route, self.request);
        }
    }

    /// Frees the place at the server of the attempt that has ended.
    fn release(
        &mut self,
        ending: servers::Ending,
        context: &mut request::Context,
        now: ids::Timestamp,
    ) {
        if let Some(server) = self.under_way.take() {
            context.plain.servers.end(&server.id, ending, server.slots, now);
        }
    }

    /// Returns the servers that are not leaving.
    fn candidates(&self, context: &request::Context) -> Vec<servers::Candidate> {
        let in_service = self.servers.iter().filter_map(|id| context.server(id));
        in_service
            .filter(|server| !server.leaving)
            .map(|server| servers::Candidate { id: server.id.clone(), slots: server.slots })
            .collect()
    }

    fn on_failed(
        &mut self,
        failure: request::Failure,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        effects.push(self.explained(request::Step::Failed { attempt: self.attempts, failure }));
        let not_run = failure.ran == request::Ran::No;
        if not_run {
            self.unclear_attempts = self.unclear_attempts.saturating_sub(1);
        }
        self.release(servers::Ending::Failed, context, now);
        if !self.may_retry(failure, now) || !context.plain.budgets.spend(&self.route) {
            return self.end_refused(request::Reason::Failed(failure.fault), now, effects);
        }
        let is_untried = |one: &servers::Candidate| !self.tried.contains(&one.id);
        if not_run && self.candidates(context).iter().any(is_untried) {
            return self.dispatch(context, now, effects);
        }
        self.start_timer(now + budget::backoff(self.request, self.attempts), context);
        request::Flow::Continue
    }

    fn may_retry(&self, failure: request::Failure, now: ids::Timestamp) -> bool {
        let may_repeat = self.replayable && (self.idempotent || failure.ran == request::Ran::No);
        let in_time = now.saturating_sub(self.arrived_at) < constants::PLAIN_RETRY_TIMEOUT;
        let begun = self.first_byte_at.is_some();
        may_repeat && in_time && !begun && self.attempts < constants::MAX_PLAIN_ATTEMPTS
    }

    fn end_disconnected(&mut self, now: ids::Timestamp, effects: &mut Effects) -> request::Flow {
        effects.push(self.explained(request::Step::Disconnected));
        self.settle_unfinished(effects);
        self.close(request::Outcome::Disconnected, None, now, effects)
    }

    fn end_refused(
        &mut self,
        reason: request::Reason,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        let ran = match self.unclear_attempts {
            0 => request::Ran::No,
            _ => request::Ran::Unknown,
        };
        let may_come_back = ran == request::Ran::No || self.idempotent;
        let retry_after_ms = reason.retry_after_ms().filter(|_| may_come_back);
        let refusal = request::Refusal { reason, ran, retry_after_ms };
        effects.push(self.explained(request::Step::Refused(refusal.clone())));
        let command = request::Command::Refuse(refusal.clone());
        effects.push(request::Effect::Command { request: self.request, command });
        self.settle_unfinished(effects);
        self.close(request::Outcome::Refused, Some(refusal), now, effects)
    }

    fn settle_unfinished(&mut self, effects: &mut Effects) {
        if self.claimed && !self.granted {
            let event = claims::Event::Withdraw { request: self.request };
            effects.push(request::Effect::Claims(event));
            return;
        }
        let answer = match self.unclear_attempts {
            0 => claims::Answer::NotRun,
            _ => claims::Answer::Unknown,
        };
        self.settle(answer, effects);
    }

    fn settle(&mut self, answer: claims::Answer, effects: &mut Effects) {
        if self.claimed {
            let event = claims::Event::Settled { request: self.request, answer };
            effects.push(request::Effect::Claims(event));
        }
    }

    fn close(
        &self,
        outcome: request::Outcome,
        refusal: Option<request::Refusal>,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        let since_arrival = |at: ids::Timestamp| {
            u32::try_from(at.saturating_sub(self.arrived_at).as_millis()).unwrap_or(u32::MAX)
        };
        let summary = request::Summary {
            workspace: self.workspace.clone(),
            route: Some(self.route.clone()),
            outcome,
            refusal,
            first_token_ms: self.first_byte_at.map(since_arrival),
            whole_ms: since_arrival(now),
            usage: request::Usage::default(),
            attempts: self.attempts,
        };
        effects.push(request::Effect::Closed { request: self.request, summary });
        request::Flow::Close
    }

    fn explained(&self, step: request::Step) -> request::Effect {
        request::Effect::Explain { request: self.request, step }
    }
}
