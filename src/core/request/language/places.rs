//! Requests and releases reservations on engines, and reports observations of them.

use crate::core::ids;
use crate::core::request;
use crate::core::request::constants;
use crate::core::request::language;
use crate::core::scheduler;

impl language::Language {
    pub(super) fn request_candidates(
        &mut self,
        phase: scheduler::Phase,
        effects: &mut language::Effects,
    ) {
        self.stage = match phase {
            scheduler::Phase::Prefill => language::Stage::PlacingPrefill,
            scheduler::Phase::Decode => language::Stage::PlacingDecode,
        };
        effects.push(request::Effect::Choose {
            request: self.request,
            phase,
            model: self.call.model.clone(),
            prefix: self.call.prefix.clone(),
            prompt_tokens: self.prompt_tokens,
            excluded: self.excluded.clone(),
        });
    }

    pub(super) fn demand(
        &self,
        phase: scheduler::Phase,
        cached_tokens: u32,
        now: ids::Timestamp,
    ) -> scheduler::Demand {
        let age = now.saturating_sub(self.arrived_at);
        let total = self.prompt_tokens.saturating_add(self.call.output_limit_tokens);
        let (work_tokens, memory_tokens) = match phase {
            scheduler::Phase::Prefill => (self.prompt_tokens, self.prompt_tokens),
            scheduler::Phase::Decode => (self.call.output_limit_tokens, total),
        };
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let target_ms = constants::FIRST_TOKEN_TARGET.as_millis() as i64;
        scheduler::Demand {
            request: self.request,
            phase,
            workspace: self.workspace.clone(),
            work_tokens,
            memory_pieces: memory_tokens.div_ceil(constants::PIECE_TOKENS).max(1),
            age_ms,
            slack_ms: i32::try_from(target_ms - i64::from(age_ms)).unwrap_or(i32::MIN),
            prefix: self.call.prefix.clone(),
            cached_tokens,
        }
    }

    pub(super) fn awaited_phase(&self) -> Option<scheduler::Phase> {
        match self.stage {
            language::Stage::PlacingPrefill => Some(scheduler::Phase::Prefill),
            language::Stage::PlacingDecode => Some(scheduler::Phase::Decode),
            _ => None,
        }
    }

    pub(super) fn reservation(&self, phase: scheduler::Phase) -> Option<&language::Reservation> {
        match phase {
            scheduler::Phase::Prefill => self.prefill.as_ref(),
            scheduler::Phase::Decode => self.decode.as_ref(),
        }
    }

    pub(super) fn observe(
        &self,
        phase: scheduler::Phase,
        tokens: u32,
        since: ids::Timestamp,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) {
        self.report(phase, tokens, since, false, now, effects);
    }

    pub(super) fn observe_failure(
        &self,
        phase: scheduler::Phase,
        fault: request::Fault,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) {
        let is_server_fault = !matches!(fault, request::Fault::Full | request::Fault::KvGone);
        if is_server_fault {
            self.report(phase, 0, self.attempt_started_at, true, now, effects);
        }
    }

    pub(super) fn report(
        &self,
        phase: scheduler::Phase,
        tokens: u32,
        since: ids::Timestamp,
        failed: bool,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) {
        let Some(held) = self.reservation(phase) else { return };
        let elapsed = now.saturating_sub(since).as_millis();
        let observation = scheduler::Observation {
            server: held.server.clone(),
            phase,
            tokens,
            elapsed_ms: u32::try_from(elapsed).unwrap_or(u32::MAX),
            failed,
        };
        effects.push(request::Effect::Scheduler(scheduler::Event::Observed(observation)));
    }

    pub(super) fn exclude_server(&mut self, phase: scheduler::Phase, fault: request::Fault) {
        if fault == request::Fault::KvGone {
            return;
        }
        if let Some(server) = self.reservation(phase).map(|held| held.server.clone()) {
            self.excluded.push(server);
        }
    }

    pub(super) fn cancel(&self, phase: scheduler::Phase, effects: &mut language::Effects) {
        if let Some(held) = self.reservation(phase) {
            effects.push(request::Effect::Cancel {
                request: self.request,
                server: held.server.clone(),
                address: held.address,
            });
        }
    }

    /// Cancels the request on the prefill server that holds its exported KV cache.
    pub(super) fn cancel_export(&mut self, effects: &mut language::Effects) {
        if let Some(held) = self.export.take() {
            effects.push(request::Effect::Cancel {
                request: self.request,
                server: held.server,
                address: held.address,
            });
        }
    }

    /// Releases the reservation of a phase, or stops waiting for it.
    pub(super) fn release_phase(
        &mut self,
        phase: scheduler::Phase,
        effects: &mut language::Effects,
    ) {
        match phase {
            scheduler::Phase::Prefill => self.prefill = None,
            scheduler::Phase::Decode => self.decode = None,
        }
        let event = scheduler::Event::Release { request: self.request, phase };
        effects.push(request::Effect::Scheduler(event));
    }

    pub(super) fn release_all(&mut self, effects: &mut language::Effects) {
        if self.stage == language::Stage::Admitting {
            return;
        }
        if self.prefill.is_some() || self.stage == language::Stage::PlacingPrefill {
            self.release_phase(scheduler::Phase::Prefill, effects);
        }
        if self.decode.is_some() || self.stage == language::Stage::PlacingDecode {
            self.release_phase(scheduler::Phase::Decode, effects);
        }
    }
}
