//! The state machine of one language request: admission, decode reservation, prefill reservation,
//! prefill, decode.
//!
//! The decode reservation comes before the prefill, since an exported KV cache is kept for less
//! than a second.

use std::net;

use serde::{Deserialize, Serialize};

use crate::core::escrow;
use crate::core::ids;
use crate::core::request;
use crate::core::request::constants;
use crate::core::scheduler;

mod attempts;
mod ends;
mod places;

type Effects = Vec<request::Effect>;

/// A language request that has not ended.
#[derive(Debug)]
pub struct Language {
    request: ids::RequestId,
    call: request::LanguageCall,
    key: Option<ids::Digest>,
    workspace: ids::WorkspaceId,
    route: ids::RouteId,
    arrived_at: ids::Timestamp,
    prompt_tokens: u32,
    stage: Stage,
    prefill: Option<Reservation>,
    decode: Option<Reservation>,
    export: Option<Reservation>,
    excluded: Vec<ids::ServerId>,
    attempts: ids::Attempt,
    uncertain_attempts: ids::Attempt,
    resumes: u16,
    prefilled_at: Option<ids::Timestamp>,
    relayed_tokens: u32,
    reported_tokens: u32,
    reported_at: ids::Timestamp,
    attempt_started_at: ids::Timestamp,
    first_token_at: Option<ids::Timestamp>,
    usage: request::Usage,
}

/// The stage of a request: what it waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Stage {
    Admitting,
    PlacingPrefill,
    PlacingDecode,
    Prefilling,
    Decoding,
    /// An attempt failed while this instance held no lease. Without a lease it gets no grants, so
    /// the request waits for one.
    AwaitingLease,
}

/// A granted reservation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Reservation {
    server: ids::ServerId,
    address: net::SocketAddr,
}

impl Language {
    /// Checks a request and reserves its tokens.
    pub(super) fn admit(
        id: ids::RequestId,
        key: Option<ids::Digest>,
        call: request::LanguageCall,
        context: &request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> Result<Self, request::Reason> {
        let workspace = context.workspace_of(key).ok_or(request::Reason::Unauthenticated)?.clone();
        let snapshot = context.snapshot.as_ref().ok_or(request::Reason::Stale)?;
        let routes = &snapshot.document.language_routes;
        let route = routes
            .iter()
            .find(|route| route.model == call.model)
            .ok_or(request::Reason::NoRoute)?;
        if !route.workspaces.is_empty() && !route.workspaces.contains(&workspace) {
            return Err(request::Reason::Forbidden);
        }
        let prompt_tokens = context.estimator.prompt_tokens(&call.model, call.prompt_bytes);
        let tokens = u64::from(prompt_tokens) + u64::from(call.output_limit_tokens);
        effects.push(request::Effect::Escrow(escrow::Event::Reserve {
            request: id,
            workspace: workspace.clone(),
            tokens,
        }));
        Ok(Self {
            request: id,
            call,
            key,
            workspace,
            route: route.id.clone(),
            arrived_at: now,
            prompt_tokens,
            stage: Stage::Admitting,
            prefill: None,
            decode: None,
            export: None,
            excluded: Vec::new(),
            attempts: 0,
            uncertain_attempts: 0,
            resumes: 0,
            prefilled_at: None,
            relayed_tokens: 0,
            reported_tokens: 0,
            reported_at: now,
            attempt_started_at: now,
            first_token_at: None,
            usage: request::Usage::default(),
        })
    }

    /// Returns when the request arrived.
    pub(super) fn arrived_at(&self) -> ids::Timestamp {
        self.arrived_at
    }

    /// Applies one event to the request.
    pub(super) fn apply(
        &mut self,
        input: request::Input,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        match input {
            request::Input::Disconnected => self.end_disconnected(now, effects),
            request::Input::Deadline => self.end_refused(request::Reason::Deadline, now, effects),
            request::Input::Admitted => self.on_admitted(effects),
            request::Input::LeaseGranted => self.on_lease(effects),
            request::Input::Limited { retry_after_ms, reason } => {
                self.on_limited(retry_after_ms, reason, now, effects)
            }
            request::Input::Chosen { phase, candidates, cached_tokens } => {
                self.on_chosen(phase, candidates, cached_tokens, now, effects)
            }
            request::Input::Placed { phase, server, waited_ms } => {
                self.on_placed(phase, server, waited_ms, context, now, effects)
            }
            request::Input::Unplaced { phase, reason } => {
                self.on_unplaced(phase, reason, now, effects)
            }
            request::Input::Prefilled { attempt, usage } if attempt == self.attempts => {
                self.on_prefilled(usage, now, effects)
            }
            request::Input::Started { attempt } if attempt == self.attempts => {
                self.on_started(now, effects)
            }
            request::Input::Progressed { attempt, relayed_tokens } if attempt == self.attempts => {
                self.on_progressed(relayed_tokens, now, effects)
            }
            request::Input::Ended { attempt, usage, .. } if attempt == self.attempts => {
                self.on_ended(usage, context, now, effects)
            }
            request::Input::Failed { attempt, failure } if attempt == self.attempts => {
                self.on_failed(failure, context, now, effects)
            }
            request::Input::Prefilled { .. }
            | request::Input::Started { .. }
            | request::Input::Progressed { .. }
            | request::Input::Ended { .. }
            | request::Input::Failed { .. }
            | request::Input::Claimed(_) => request::Flow::Continue,
        }
    }

    fn on_admitted(&mut self, effects: &mut Effects) -> request::Flow {
        if self.stage != Stage::Admitting {
            return request::Flow::Continue;
        }
        self.explain(
            request::Step::Admitted {
                workspace: self.workspace.clone(),
                tokens: self.estimated_tokens(),
            },
            effects,
        );
        self.request_candidates(scheduler::Phase::Decode, effects);
        request::Flow::Continue
    }

    fn on_limited(
        &mut self,
        retry_after_ms: u64,
        reason: escrow::Refusal,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.stage != Stage::Admitting {
            return request::Flow::Continue;
        }
        let refusal = request::Refusal {
            reason: request::Reason::Limit(reason),
            ran: request::Ran::No,
            retry_after_ms: (reason != escrow::Refusal::OverBurst).then_some(retry_after_ms),
        };
        self.refuse(refusal, now, effects)
    }

    fn on_chosen(
        &mut self,
        phase: scheduler::Phase,
        candidates: Vec<ids::ServerId>,
        cached_tokens: u32,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.awaited_phase() != Some(phase) {
            return request::Flow::Continue;
        }
        if candidates.is_empty() {
            return self.end_refused(
                request::Reason::Unplaced(scheduler::UnplacedReason::NoServer),
                now,
                effects,
            );
        }
        let servers = candidates.clone();
        self.explain(request::Step::Candidates { phase, servers, cached_tokens }, effects);
        let demand = self.demand(phase, cached_tokens, now);
        effects.push(request::Effect::Scheduler(scheduler::Event::Place { demand, candidates }));
        request::Flow::Continue
    }

    fn on_placed(
        &mut self,
        phase: scheduler::Phase,
        server: ids::ServerId,
        waited_ms: u32,
        context: &request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        let address = context
            .server(&server)
            .filter(|found| !found.leaving)
            .and_then(|_| context.address(&server));
        if self.awaited_phase() != Some(phase) {
            return request::Flow::Continue;
        }
        let Some(address) = address else {
            self.release_phase(phase, effects);
            self.excluded.push(server);
            self.request_candidates(phase, effects);
            return request::Flow::Continue;
        };
        self.explain(request::Step::Placed { phase, server: server.clone(), waited_ms }, effects);
        let held = Some(Reservation { server, address });
        match phase {
            scheduler::Phase::Prefill => self.prefill = held,
            scheduler::Phase::Decode => self.decode = held,
        }
        if let Some(reason) = self.key_refusal(context) {
            return self.end_refused(reason, now, effects);
        }
        self.advance(now, effects)
    }

    /// Returns why the request's key does not permit it to run any more. An answer that was partly
    /// relayed is completed in any case.
    fn key_refusal(&self, context: &request::Context) -> Option<request::Reason> {
        if self.relayed_tokens > 0 {
            return None;
        }
        if context.workspace_of(self.key) != Some(&self.workspace) {
            return Some(request::Reason::Unauthenticated);
        }
        let is_unconfirmed = self.attempts == 0 && !context.fresh;
        is_unconfirmed.then_some(request::Reason::Stale)
    }

    /// Starts the next step after a reservation was granted or a decode attempt failed.
    fn advance(&mut self, now: ids::Timestamp, effects: &mut Effects) -> request::Flow {
        let is_kv_reusable = self.is_kv_reusable(now);
        if self.decode.is_none() {
            self.request_candidates(scheduler::Phase::Decode, effects);
        } else if is_kv_reusable {
            self.start_decode(request::Start::Import, now, effects);
        } else if self.prefill.is_none() {
            self.request_candidates(scheduler::Phase::Prefill, effects);
        } else {
            self.start_prefill(now, effects);
        }
        request::Flow::Continue
    }

    fn on_unplaced(
        &mut self,
        phase: scheduler::Phase,
        reason: scheduler::UnplacedReason,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.awaited_phase() != Some(phase) {
            return request::Flow::Continue;
        }
        if reason == scheduler::UnplacedReason::Lost {
            self.request_candidates(phase, effects);
            return request::Flow::Continue;
        }
        self.end_refused(request::Reason::Unplaced(reason), now, effects)
    }

    fn on_prefilled(
        &mut self,
        usage: request::Usage,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.stage != Stage::Prefilling {
            return request::Flow::Continue;
        }
        self.usage.prompt_tokens = usage.prompt_tokens;
        self.usage.cached_tokens = usage.cached_tokens;
        self.prefilled_at = Some(now);
        let computed = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        self.observe(scheduler::Phase::Prefill, computed, self.attempt_started_at, now, effects);
        self.export = self.prefill.clone();
        self.release_phase(scheduler::Phase::Prefill, effects);
        self.start_decode(request::Start::Import, now, effects);
        request::Flow::Continue
    }

    fn on_started(&mut self, now: ids::Timestamp, effects: &mut Effects) -> request::Flow {
        if self.stage != Stage::Decoding {
            return request::Flow::Continue;
        }
        self.export = None;
        self.reported_at = now;
        self.reported_tokens = self.relayed_tokens;
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            self.explain(request::Step::Started, effects);
        }
        request::Flow::Continue
    }

    fn on_progressed(
        &mut self,
        relayed_tokens: u32,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        self.relayed_tokens = self.relayed_tokens.max(relayed_tokens);
        let tokens = self.relayed_tokens.saturating_sub(self.reported_tokens);
        if tokens > 0 {
            self.observe(scheduler::Phase::Decode, tokens, self.reported_at, now, effects);
            self.reported_tokens = self.relayed_tokens;
            self.reported_at = now;
        }
        request::Flow::Continue
    }

    fn on_ended(
        &mut self,
        usage: request::Usage,
        context: &mut request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.stage != Stage::Decoding {
            return request::Flow::Continue;
        }
        self.usage.prompt_tokens = usage.prompt_tokens.max(self.usage.prompt_tokens);
        self.usage.completion_tokens = usage.completion_tokens;
        context.estimator.learn(&self.call.model, self.call.prompt_bytes, usage.prompt_tokens);
        self.explain(request::Step::Ended { usage: self.usage }, effects);
        self.release_all(effects);
        self.settle_tokens(self.used_tokens(), effects);
        self.close(request::Outcome::Answered, None, now, effects)
    }

    fn on_failed(
        &mut self,
        failure: request::Failure,
        context: &request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        self.explain(request::Step::Failed { attempt: self.attempts, failure }, effects);
        if failure.ran == request::Ran::No {
            self.uncertain_attempts = self.uncertain_attempts.saturating_sub(1);
        }
        match self.stage {
            Stage::Prefilling => self.on_prefill_failed(failure, context, now, effects),
            Stage::Decoding => self.on_decode_failed(failure, context, now, effects),
            _ => request::Flow::Continue,
        }
    }

    fn on_prefill_failed(
        &mut self,
        failure: request::Failure,
        context: &request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        self.observe_failure(scheduler::Phase::Prefill, failure.fault, now, effects);
        self.cancel(scheduler::Phase::Prefill, effects);
        self.exclude_server(scheduler::Phase::Prefill, failure.fault);
        self.release_phase(scheduler::Phase::Prefill, effects);
        if self.attempts >= constants::MAX_ATTEMPTS {
            return self.end_refused(request::Reason::Failed(failure.fault), now, effects);
        }
        if !context.valid {
            return self.await_lease(effects);
        }
        self.request_candidates(scheduler::Phase::Prefill, effects);
        request::Flow::Continue
    }

    fn on_decode_failed(
        &mut self,
        failure: request::Failure,
        context: &request::Context,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) -> request::Flow {
        if self.can_resume(failure.fault) {
            self.resumes += 1;
            self.start_decode(request::Start::Resume, now, effects);
            return request::Flow::Continue;
        }
        self.observe_failure(scheduler::Phase::Decode, failure.fault, now, effects);
        self.cancel(scheduler::Phase::Decode, effects);
        self.exclude_server(scheduler::Phase::Decode, failure.fault);
        self.release_phase(scheduler::Phase::Decode, effects);
        let output_is_known = failure.fault != request::Fault::Malformed;
        let repeatable = self.relayed_tokens == 0 || (self.call.deterministic && output_is_known);
        if self.attempts >= constants::MAX_ATTEMPTS || !repeatable {
            return self.end_refused(request::Reason::Failed(failure.fault), now, effects);
        }
        if failure.fault == request::Fault::KvGone {
            self.prefilled_at = None;
        }
        if !self.is_kv_reusable(now) {
            self.cancel_export(effects);
        }
        if !context.valid {
            return self.await_lease(effects);
        }
        self.advance(now, effects)
    }

    /// Releases all reservations until this instance holds a lease again.
    fn await_lease(&mut self, effects: &mut Effects) -> request::Flow {
        self.cancel_export(effects);
        self.release_all(effects);
        self.prefilled_at = None;
        self.excluded.clear();
        self.stage = Stage::AwaitingLease;
        request::Flow::Continue
    }

    /// Starts again with the decode reservation when this instance has a lease again.
    fn on_lease(&mut self, effects: &mut Effects) -> request::Flow {
        if self.stage == Stage::AwaitingLease {
            self.request_candidates(scheduler::Phase::Decode, effects);
        }
        request::Flow::Continue
    }

    /// Returns whether to resume the stream: after these faults the server probably still holds it.
    fn can_resume(&self, fault: request::Fault) -> bool {
        let held =
            matches!(fault, request::Fault::Closed | request::Fault::Gap | request::Fault::Crossed);
        held && self.relayed_tokens > 0 && self.resumes < constants::MAX_RESUMES
    }

    fn explain(&self, step: request::Step, effects: &mut Effects) {
        effects.push(request::Effect::Explain { request: self.request, step });
    }
}
