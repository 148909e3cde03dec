//! The state machine of one call of a plain service: route, claim, attempts.

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

/// State that is shared by all plain calls of an instance.
#[derive(Debug, Default)]
pub struct SharedState {
    budgets: budget::Budgets,
    servers: servers::Servers,
    waits: waits::Waits,
}

impl SharedState {
    /// Drops the state of servers and routes that are not in a new document.
    pub(super) fn retain(&mut self, snapshot: &configuration::Snapshot) {
        self.servers.retain(|id| snapshot.server(id).is_some());
        let routes = &snapshot.document.plain_routes;
        self.budgets.retain(|id| routes.iter().any(|route| route.id == *id));
    }

    /// Removes and returns the next call whose timer is due.
    pub(super) fn take_due(&mut self, now: ids::Timestamp) -> Option<ids::RequestId> {
        self.waits.take_due(now)
    }

    /// Returns the routes with queued calls, if a call has ended since the last time.
    pub(super) fn take_released(&mut self) -> Vec<ids::RouteId> {
        if self.servers.take_released() { self.waits.routes() } else { Vec::new() }
    }

    /// Returns the call of a route that was queued first.
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
    has_claim: bool,
    claim_granted: bool,
    arrived_at: ids::Timestamp,
    first_byte_at: Option<ids::Timestamp>,
    tried_servers: Vec<ids::ServerId>,
    attempts: ids::Attempt,
    uncertain_attempts: ids::Attempt,
    current_server: Option<servers::Candidate>,
    queued_at: Option<ids::Timestamp>,
    resume_at: Option<ids::Timestamp>,
}

impl Plain {
    /// Checks a call and starts it, or claims its idempotency key first. Returns `None` if the call
    /// ends immediately.
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
            has_claim: false,
            claim_granted: false,
            arrived_at: now,
            first_byte_at: None,
            tried_servers: Vec::new(),
            attempts: 0,
            uncertain_attempts: 0,
            current_server: None,
            queued_at: None,
            resume_at: None,
        };
        context.plain.budgets.deposit(&plain.route);
        match call.idempotency_key {
            Some(name) if !idempotent => {
                let key = claims::key_digest(plain.workspace.as_ref(), &name);
                let fingerprint = call.fingerprint;
                let event = claims::Event::Claim { request: id, key, fingerprint };
                plain.has_claim = true;
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

    /// Applies one event to the call and, if that ends it, releases what it holds.
    pub(super) fn apply(
        &mut self,
        input: request::Input,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        let flow = self.on_input(input, context, now, effects);
        self.release_if_closed(flow, context, now)
    }

    /// Continues after a wait for capacity or for the next attempt.
    pub(super) fn resume(
        &mut self,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.resume_at.is_none() {
            return request::Flow::Continue;
        }
        let flow = self.dispatch(context, now, effects);
        self.release_if_closed(flow, context, now)
    }

    /// Releases what the call holds if it has ended.
    fn release_if_closed(
        &mut self,
        flow: request::Flow,
        context: &mut request::Context,
        now: ids::Timestamp,
    ) -> request::Flow {
        if flow == request::Flow::Close {
            self.release(servers::Ending::Abandoned, context, now);
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
                effects.push(self.explain_effect(request::Step::Started));
                request::Flow::Continue
            }
            request::Input::Ended { attempt, usage, answer } if attempt == self.attempts => {
                self.release(servers::Ending::Answered, context, now);
                self.settle(answer.unwrap_or(claims::Answer::Unknown), effects);
                effects.push(self.explain_effect(request::Step::Ended { usage }));
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
        if self.claim_granted {
            return request::Flow::Continue;
        }
        match outcome {
            request::ClaimOutcome::Granted => {
                self.claim_granted = true;
                self.dispatch(context, now, effects)
            }
            request::ClaimOutcome::Answered { holder, answer } => {
                self.has_claim = false;
                let command = request::Command::Replay { holder, answer };
                effects.push(request::Effect::Command { request: self.request, command });
                self.close(request::Outcome::Answered, None, now, effects)
            }
            request::ClaimOutcome::Mismatch => {
                self.has_claim = false;
                self.end_refused(request::Reason::KeyReused, now, effects)
            }
            request::ClaimOutcome::Unavailable => {
                self.has_claim = false;
                self.end_refused(request::Reason::ClaimUnavailable, now, effects)
            }
        }
    }

    /// Sends the call to a server, or queues it until one has capacity.
    fn dispatch(
        &mut self,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        self.stop_timer(context);
        if let Some(workspace) = &self.workspace
            && !context.is_key_valid(self.key, workspace)
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
        match context.plain.servers.choose(&candidates, &self.tried_servers, draw, now) {
            servers::Choice::AllBusy => self.queue(context, now, effects),
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
        self.uncertain_attempts += 1;
        let server = chosen.id.clone();
        let step = request::Step::Attempted { attempt: self.attempts, server: server.clone() };
        effects.push(self.explain_effect(step));
        self.tried_servers.push(server.clone());
        self.current_server = Some(chosen);
        let command = request::Command::Forward {
            attempt: self.attempts,
            server,
            address,
            keep_answer: self.has_claim,
            send_before: self.has_claim.then(|| self.arrived_at + claims::constants::SEND_WINDOW),
        };
        effects.push(request::Effect::Command { request: self.request, command });
        request::Flow::Continue
    }

    /// Queues the call for capacity at a server, for a limited time and in a queue of limited
    /// length.
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
        self.resume_at = Some(at);
        context.plain.waits.set_timer(at, self.request);
    }

    fn stop_timer(&mut self, context: &mut request::Context) {
        if let Some(at) = self.resume_at.take() {
            context.plain.waits.clear_timer(at, self.request);
        }
    }

    fn stop_waiting(&mut self, context: &mut request::Context) {
        self.stop_timer(context);
        if self.queued_at.take().is_some() {
            context.plain.waits.leave(&self.route, self.request);
        }
    }

    /// Records the end of the current attempt at its server.
    fn release(
        &mut self,
        ending: servers::Ending,
        context: &mut request::Context,
        now: ids::Timestamp,
    ) {
        if let Some(server) = self.current_server.take() {
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
        effects
            .push(self.explain_effect(request::Step::Failed { attempt: self.attempts, failure }));
        let not_run = failure.ran == request::Ran::No;
        if not_run {
            self.uncertain_attempts = self.uncertain_attempts.saturating_sub(1);
        }
        self.release(servers::Ending::Failed, context, now);
        if !self.may_retry(failure, now) || !context.plain.budgets.withdraw(&self.route) {
            return self.end_refused(request::Reason::Failed(failure.fault), now, effects);
        }
        let is_untried = |one: &servers::Candidate| !self.tried_servers.contains(&one.id);
        if not_run && self.candidates(context).iter().any(is_untried) {
            return self.dispatch(context, now, effects);
        }
        self.start_timer(now + budget::backoff(self.request, self.attempts), context);
        request::Flow::Continue
    }

    fn may_retry(&self, failure: request::Failure, now: ids::Timestamp) -> bool {
        let may_repeat = self.replayable && (self.idempotent || failure.ran == request::Ran::No);
        let is_in_time = now.saturating_sub(self.arrived_at) < constants::PLAIN_RETRY_TIMEOUT;
        let has_output = self.first_byte_at.is_some();
        may_repeat && is_in_time && !has_output && self.attempts < constants::MAX_PLAIN_ATTEMPTS
    }

    fn end_disconnected(&mut self, now: ids::Timestamp, effects: &mut Effects) -> request::Flow {
        effects.push(self.explain_effect(request::Step::Disconnected));
        self.settle_without_answer(effects);
        self.close(request::Outcome::Disconnected, None, now, effects)
    }

    fn end_refused(
        &mut self,
        reason: request::Reason,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        let ran = match self.uncertain_attempts {
            0 => request::Ran::No,
            _ => request::Ran::Unknown,
        };
        let may_retry_later = ran == request::Ran::No || self.idempotent;
        let retry_after_ms = reason.retry_after_ms().filter(|_| may_retry_later);
        let refusal = request::Refusal { reason, ran, retry_after_ms };
        effects.push(self.explain_effect(request::Step::Refused(refusal.clone())));
        let command = request::Command::Refuse(refusal.clone());
        effects.push(request::Effect::Command { request: self.request, command });
        self.settle_without_answer(effects);
        self.close(request::Outcome::Refused, Some(refusal), now, effects)
    }

    fn settle_without_answer(&mut self, effects: &mut Effects) {
        if self.has_claim && !self.claim_granted {
            let event = claims::Event::Withdraw { request: self.request };
            effects.push(request::Effect::Claims(event));
            return;
        }
        let answer = match self.uncertain_attempts {
            0 => claims::Answer::NotRun,
            _ => claims::Answer::Unknown,
        };
        self.settle(answer, effects);
    }

    fn settle(&mut self, answer: claims::Answer, effects: &mut Effects) {
        if self.has_claim {
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

    fn explain_effect(&self, step: request::Step) -> request::Effect {
        request::Effect::Explain { request: self.request, step }
    }
}
