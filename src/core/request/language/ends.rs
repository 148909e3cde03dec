//! Ends a request and releases everything that it holds.

use crate::core::escrow;
use crate::core::ids;
use crate::core::request;
use crate::core::request::language;
use crate::core::scheduler;

impl language::Language {
    pub(super) fn settle_tokens(&self, used_tokens: u64, effects: &mut language::Effects) {
        let request = self.request;
        let event = match self.stage {
            language::Stage::Admitting => escrow::Event::Withdraw { request },
            _ => escrow::Event::Settle { request, used_tokens },
        };
        effects.push(request::Effect::Escrow(event));
    }

    pub(super) fn estimated_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.call.output_limit_tokens)
    }

    pub(super) fn used_tokens(&self) -> u64 {
        let generated = self.usage.completion_tokens.max(self.relayed_tokens);
        u64::from(self.usage.prompt_tokens) + u64::from(generated)
    }

    pub(super) fn end_disconnected(
        &mut self,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) -> request::Flow {
        self.explain(request::Step::Disconnected, effects);
        self.release_everything(effects);
        self.close(request::Outcome::Disconnected, None, now, effects)
    }

    pub(super) fn end_refused(
        &mut self,
        reason: request::Reason,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) -> request::Flow {
        let ran = match self.uncertain_attempts {
            0 => request::Ran::No,
            _ => request::Ran::Unknown,
        };
        let refusal = request::Refusal { retry_after_ms: reason.retry_after_ms(), reason, ran };
        self.refuse(refusal, now, effects)
    }

    pub(super) fn refuse(
        &mut self,
        refusal: request::Refusal,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) -> request::Flow {
        self.explain(request::Step::Refused(refusal.clone()), effects);
        let command = request::Command::Refuse(refusal.clone());
        effects.push(request::Effect::Command { request: self.request, command });
        self.release_everything(effects);
        self.close(request::Outcome::Refused, Some(refusal), now, effects)
    }

    /// Cancels running attempts, releases all reservations and settles the tokens.
    pub(super) fn release_everything(&mut self, effects: &mut language::Effects) {
        if matches!(self.stage, language::Stage::Prefilling) {
            self.cancel(scheduler::Phase::Prefill, effects);
        }
        if matches!(self.stage, language::Stage::Decoding) {
            self.cancel(scheduler::Phase::Decode, effects);
        }
        self.cancel_export(effects);
        self.release_all(effects);
        self.settle_tokens(self.used_tokens(), effects);
    }

    pub(super) fn close(
        &self,
        outcome: request::Outcome,
        refusal: Option<request::Refusal>,
        now: ids::Timestamp,
        effects: &mut language::Effects,
    ) -> request::Flow {
        let since_arrival = |at: ids::Timestamp| {
            u32::try_from(at.saturating_sub(self.arrived_at).as_millis()).unwrap_or(u32::MAX)
        };
        let summary = request::Summary {
            workspace: Some(self.workspace.clone()),
            route: Some(self.route.clone()),
            outcome,
            refusal,
            first_token_ms: self.first_token_at.map(since_arrival),
            whole_ms: since_arrival(now),
            usage: self.usage,
            attempts: self.attempts,
        };
        effects.push(request::Effect::Closed { request: self.request, summary });
        request::Flow::Close
    }
}
