//! The life of one call of a plain service: route, claim, attempts.

use bytes::Bytes;

use crate::core::claims;
use crate::core::ids;
use crate::core::request;
use crate::core::request::constants;
use crate::document;

type Effects = Vec<request::Effect>;

/// What is known of the plain servers.
#[derive(Debug, Default)]
pub struct Servers {
    next: usize,
}

impl Servers {
    /// Chooses the next server in turn.
    fn choose(&mut self, candidates: &[ids::ServerId]) -> Option<ids::ServerId> {
        if candidates.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        candidates.get(self.next % candidates.len()).cloned()
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
    avoid: Vec<ids::ServerId>,
    attempts: ids::Attempt,
    unclear_attempts: ids::Attempt,
    under_way: bool,
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
        let route = find_route(&snapshot.document.plain_routes, &call)?;
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
        let idempotent = route.idempotent.unwrap_or_else(|| is_idempotent(&call.method));
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
            avoid: Vec::new(),
            attempts: 0,
            unclear_attempts: 0,
            under_way: false,
        };
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

    /// Applies one event to the call.
    pub(super) fn apply(
        &mut self,
        input: request::Input,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        match input {
            request::Input::Gone => self.end_gone(now, effects),
            request::Input::Deadline => self.end_refused(request::Reason::Deadline, now, effects),
            request::Input::Claimed(outcome) => self.on_claimed(outcome, context, now, effects),
            request::Input::Started { attempt } if attempt == self.attempts => {
                self.first_byte_at.get_or_insert(now);
                effects.push(self.explained(request::Step::Started));
                request::Flow::Continue
            }
            request::Input::Ended { attempt, usage, answer } if attempt == self.attempts => {
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
        if self.under_way {
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

    fn dispatch(
        &mut self,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if let Some(workspace) = &self.workspace
            && !context.still_holds(self.key, workspace)
        {
            return self.end_refused(request::Reason::Unauthenticated, now, effects);
        }
        let candidates = self.candidates(context);
        let Some(server) = context.servers.choose(&candidates) else {
            return self.end_refused(request::Reason::NoRoute, now, effects);
        };
        let Some(address) = context.address(&server) else {
            return self.end_refused(request::Reason::NoRoute, now, effects);
        };
        self.attempts += 1;
        self.unclear_attempts += 1;
        self.under_way = true;
        let step = request::Step::Attempted { attempt: self.attempts, server: server.clone() };
        effects.push(self.explained(step));
        self.avoid.push(server.clone());
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

    /// Returns the servers that are not leaving, those that have not failed this call first.
    fn candidates(&self, context: &request::Context) -> Vec<ids::ServerId> {
        let in_service =
            |id: &&ids::ServerId| context.server(id).is_some_and(|server| !server.leaving);
        let all: Vec<_> = self.servers.iter().filter(in_service).cloned().collect();
        let untried: Vec<_> = all.iter().filter(|id| !self.avoid.contains(id)).cloned().collect();
        if untried.is_empty() { all } else { untried }
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
        let may_repeat = self.replayable && (self.idempotent || not_run);
        let begun = self.first_byte_at.is_some();
        if may_repeat && !begun && self.attempts < constants::MAX_PLAIN_ATTEMPTS {
            return self.dispatch(context, now, effects);
        }
        self.end_refused(request::Reason::Failed(failure.fault), now, effects)
    }

    fn end_gone(&mut self, now: ids::Timestamp, effects: &mut Effects) -> request::Flow {
        effects.push(self.explained(request::Step::Gone));
        self.settle_unfinished(effects);
        self.close(request::Outcome::Gone, None, now, effects)
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

/// Returns the route with the longest matching prefix that allows the method.
fn find_route<'a>(
    routes: &'a [document::PlainRoute],
    call: &request::PlainCall,
) -> Result<&'a document::PlainRoute, request::Reason> {
    let matching = routes.iter().filter(|route| matches_prefix(&route.path_prefix, &call.path));
    let mut best = None;
    let mut path_is_known = false;
    for route in matching {
        path_is_known = true;
        let allowed = route.methods.is_empty() || route.methods.contains(&call.method);
        let length = route.path_prefix.len();
        let longer =
            best.is_none_or(|found: &document::PlainRoute| length > found.path_prefix.len());
        if allowed && longer {
            best = Some(route);
        }
    }
    best.ok_or(match path_is_known {
        true => request::Reason::Method,
        false => request::Reason::NoRoute,
    })
}

/// Returns whether a path lies under a prefix, by whole segments.
fn matches_prefix(prefix: &Bytes, path: &Bytes) -> bool {
    let Some(rest) = path.strip_prefix(prefix.as_ref()) else { return false };
    rest.is_empty() || prefix.ends_with(b"/") || rest.starts_with(b"/")
}

/// Returns whether a method is idempotent by RFC 9110, section 9.2.2.
fn is_idempotent(method: &Bytes) -> bool {
    matches!(method.as_ref(), b"GET" | b"HEAD" | b"OPTIONS" | b"TRACE" | b"PUT" | b"DELETE")
}
