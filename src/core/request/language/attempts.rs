//! Starts attempts at engines.

use crate::core::ids;
use crate::core::request;
use crate::core::request::constants;
use crate::core::request::language;

impl language::Language {
    pub(super) fn start_prefill(&mut self, now: ids::Timestamp, effects: &mut language::Effects) {
        let Some(held) = self.prefill.clone() else { return };
        self.start_attempt(language::Stage::Prefilling, &held.server, now, effects);
        let command = request::Command::Prefill {
            attempt: self.attempts,
            server: held.server,
            address: held.address,
            priority: self.priority(now),
        };
        effects.push(request::Effect::Command { request: self.request, command });
    }

    pub(super) fn start_decode(
        &mut self,
        start: request::Start,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) {
        let Some(held) = self.decode.clone() else { return };
        self.start_attempt(language::Stage::Decoding, &held.server, now, effects);
        let command = request::Command::Decode {
            attempt: self.attempts,
            server: held.server,
            address: held.address,
            priority: self.priority(now),
            start,
        };
        effects.push(request::Effect::Command { request: self.request, command });
    }

    pub(super) fn start_attempt(
        &mut self,
        stage: language::Stage,
        server: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) {
        self.stage = stage;
        self.attempts += 1;
        self.uncertain_attempts += 1;
        self.attempt_started_at = now;
        let step = request::Step::Attempted { attempt: self.attempts, server: server.clone() };
        self.explain(step, effects);
    }

    /// Returns the priority inside an engine: the older a request, the earlier it runs.
    pub(super) fn priority(&self, now: ids::Timestamp) -> i32 {
        let age = now.saturating_sub(self.arrived_at);
        -i32::try_from(age.as_millis() / 100).unwrap_or(i32::MAX)
    }

    pub(super) fn is_kv_reusable(&self, now: ids::Timestamp) -> bool {
        let Some(prefilled_at) = self.prefilled_at else { return false };
        let age = now.saturating_sub(prefilled_at);
        self.relayed_tokens == 0 && age.as_millis() < u128::from(constants::MAX_KV_REUSE_AGE_MS)
    }
}
