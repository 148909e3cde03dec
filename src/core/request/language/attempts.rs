//! Starts attempts at engines.

use crate::core::ids;
use crate::core::request;
use crate::core::request::constants;
use crate::core::request::language;

impl language::Language {
    pub(super) fn start_prefill(&mut self, now: ids::Timestamp, effects: &mut language::Effects) {
        let Some(place) = self.prefill.clone() else { return };
        self.begin_attempt(language::Stage::Prefilling, &place.server, now, effects);
        let command = request::Command::Prefill {
            attempt: self.attempts,
            server: place.server,
            address: place.address,
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
        let Some(place) = self.decode.clone() else { return };
        self.begin_attempt(language::Stage::Decoding, &place.server, now, effects);
        let command = request::Command::Decode {
            attempt: self.attempts,
            server: place.server,
            address: place.address,
            priority: self.priority(now),
            start,
        };
        effects.push(request::Effect::Command { request: self.request, command });
    }

    pub(super) fn begin_attempt(
        &mut self,
        stage: language::Stage,
        server: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) {
        self.stage = stage;
        self.attempts += 1;
        self.unclear_attempts += 1;
        self.attempt_began_at = now;
        let step = request::Step::Attempted { attempt: self.attempts, server: server.clone() };
        self.explain(step, effects);
    }

    /// Requests whose first token is late run before others inside an engine.
    pub(super) fn priority(&self, now: ids::Timestamp) -> i32 {
        let age = now.saturating_sub(self.arrived_at);
        -i32::try_from(age.as_millis() / 100).unwrap_or(i32::MAX)
    }

    pub(super) fn kv_is_fresh(&self, now: ids::Timestamp) -> bool {
        let Some(prefilled_at) = self.prefilled_at else { return false };
        let age = now.saturating_sub(prefilled_at);
        self.relayed_tokens == 0 && age.as_millis() < u128::from(constants::KV_REUSE_MS)
    }
}
