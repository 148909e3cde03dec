//! What follows from how a request went at a server: retries, hand-overs and ends.

use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::Outcome;
use crate::core::fleet::Step;
use crate::core::fleet::call;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::placement;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The shortest time in which a repeated run can still be answered.
const LEAST_TIME_FOR_RETRY: time::Duration = time::Duration::from_millis(40);

impl Step {
    /// Returns the name for log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Prefill => "prefill",
            Self::Decode { .. } => "decode",
        }
    }
}

impl Fleet {
    pub(super) fn progress(
        &mut self,
        request: call::RequestNumber,
        outcome: Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        let live::Phase::AtServer(at) = live.phase.clone() else { return };
        if outcome == Outcome::Started {
            return self.start(request, &at, now, effects);
        }
        live.phase = live::Phase::Ending;
        let request_id = fleet::text(&live.call.id);
        self.free(&at);
        effects.push(Effect::Publish);
        effects.push(Effect::Log(decision::Decision::Ended {
            request: request_id,
            server: fleet::text(&at.server),
            outcome: describe(&outcome),
            elapsed_ms: waiting::millis(now.saturating_sub(at.sent)),
        }));
        self.learn(&at, &outcome, now, effects);
        match outcome {
            Outcome::Started => {}
            Outcome::Prefilled { handle } => self.hand_over(request, &at, handle, now, effects),
            Outcome::Finished { .. } => self.finish(request, now),
            Outcome::Failed { .. } => self.retry_failed(request, &at, now, effects),
            Outcome::Rejected => self.retry_rejected(request, &at, now, effects),
            Outcome::Unsent => self.retry_unsent(request, &at, now, effects),
            Outcome::Broken | Outcome::Cut => self.retry_broken(request, &at, now, effects),
        }
        self.pump(now, effects);
    }

    fn start(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.may_have_run = true;
        live.is_relaying = live.route.is_stream;
        let read = servers::Load { requests: 0, memory_tokens: 0, ..at.load };
        if let live::Phase::AtServer(at) = &mut live.phase {
            at.is_started = true;
            at.load.reading = 0;
            at.load.unread_tokens = 0;
        }
        self.servers.subtract_load(&at.server, read);
        if at.load.unread_tokens > 0 {
            let elapsed = now.saturating_sub(at.sent);
            self.servers.note_reading(&at.server, at.tokens_to_read, elapsed);
        }
        effects.push(Effect::Publish);
        effects.push(Effect::Log(decision::Decision::Started {
            request: fleet::text(&live.call.id),
            server: fleet::text(&at.server),
            elapsed_ms: waiting::millis(now.saturating_sub(at.sent)),
            since_arrival_ms: waiting::millis(now.saturating_sub(live.arrived)),
        }));
        self.pump(now, effects);
    }

    fn learn(
        &mut self,
        at: &live::AtServer,
        outcome: &Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let elapsed = now.saturating_sub(at.sent);
        let evidence = match outcome {
            Outcome::Started | Outcome::Rejected => return,
            Outcome::Prefilled { .. } => {
                self.servers.note_reading(&at.server, at.tokens_to_read, elapsed);
                servers::Evidence::Answered
            }
            Outcome::Finished { .. } => {
                self.servers.note_work(&at.server, elapsed);
                servers::Evidence::Answered
            }
            Outcome::Failed { .. } => servers::Evidence::Failed,
            Outcome::Broken | Outcome::Cut => servers::Evidence::Failed,
            Outcome::Unsent => servers::Evidence::Unreachable,
        };
        let Some(pause) = self.servers.note_evidence(&at.server, evidence, now) else { return };
        let failure_share = self.servers.get(&at.server).map_or(1.0, |server| server.failure_share);
        effects.push(Effect::Log(decision::Decision::ServerEjected {
            server: fleet::text(&at.server),
            evidence,
            failure_share,
            pause_ms: waiting::millis(pause),
        }));
    }

    fn hand_over(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        handle: fleet::HandleId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.prefilled_at = Some(at.server.clone());
        let Some(source) = self.servers.get(&at.server).map(|server| server.entry.address) else {
            return self.wait_again(request, now, effects);
        };
        let view = placement::View { domain: &self.domain, tried: &live.tried, now };
        let reserved = at.reserved.as_ref().map(|(decode, _)| decode);
        let reserved = reserved.and_then(|decode| self.servers.get(decode));
        let reserved =
            reserved.filter(|server| server.is_usable(now)).map(|server| server.entry.id.clone());
        let found = reserved.or_else(|| {
            let tokens = live.tokens();
            let engine = live.engine?;
            placement::decode(&self.servers, &live.service, engine, tokens, 1.0, view)
        });
        match found {
            Some(server) => {
                self.send(request, &server, Step::Decode { source, handle }, 0.0, now, effects);
            }
            None => {
                effects.push(Effect::Release { address: source, handle });
                self.wait_again(request, now, effects);
            }
        }
    }

    fn finish(&mut self, request: call::RequestNumber, now: ids::Timestamp) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.may_have_run = true;
        }
        self.end(request, now);
    }

    fn retry_failed(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if at.step == Step::Prefill {
            return self.retry_elsewhere(request, at, now, effects);
        }
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.may_have_run = true;
        if self.may_run_again(request, now) {
            return self.retry_elsewhere(request, at, now, effects);
        }
        effects.push(Effect::Deliver { request });
        self.end(request, now);
    }

    fn retry_rejected(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Step::Decode { .. } = at.step
            && let Some(source) = self.prefill_server(request)
        {
            self.servers.pause_handover(&source, now);
        }
        let Some(live) = self.requests.get(&request) else { return };
        let service = live.service.clone();
        let is_free = at.step == Step::Prefill && live.prefills <= 1;
        let members = self.peers.members(now);
        let has_time = live.expires > now + LEAST_TIME_FOR_RETRY && live.has_tries_left();
        if is_free || (has_time && self.budget.spend(&service, members, now)) {
            return self.retry_elsewhere(request, at, now, effects);
        }
        self.refuse_unserved(request, now, effects);
    }

    fn retry_unsent(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        if at.step == Step::Prefill {
            live.prefills = live.prefills.saturating_sub(1);
        } else {
            live.arrivals = live.arrivals.saturating_sub(1);
        }
        if live.has_tries_left() && live.expires > now + LEAST_TIME_FOR_RETRY {
            return self.retry_elsewhere(request, at, now, effects);
        }
        self.refuse_unserved(request, now, effects);
    }

    fn retry_broken(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if at.step == Step::Prefill {
            return self.retry_elsewhere(request, at, now, effects);
        }
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.may_have_run = true;
        if self.may_run_again(request, now) {
            return self.retry_elsewhere(request, at, now, effects);
        }
        let refusal = refusal::Refusal::new(refusal::Reason::OutcomeUnknown);
        self.refuse(request, refusal, now, effects);
    }

    fn may_run_again(&mut self, request: call::RequestNumber, now: ids::Timestamp) -> bool {
        let Some(live) = self.requests.get(&request) else { return false };
        let has_time = live.expires > now + LEAST_TIME_FOR_RETRY;
        let may = live.is_idempotent() && live.arrivals < live.route.attempts && has_time;
        let service = live.service.clone();
        let members = self.peers.members(now);
        may && self.budget.spend(&service, members, now)
    }

    fn retry_elsewhere(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.tried.push(at.server.clone());
        }
        self.wait_again(request, now, effects);
    }

    /// Refuses a request that no server took; one that may have run is not called unserved.
    fn refuse_unserved(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let refusal = if live.may_have_run {
            refusal::Refusal::new(refusal::Reason::OutcomeUnknown)
        } else {
            let third = live.expires.saturating_sub(now) / 3;
            let wait = fleet::constants::RETRY_AFTER_LEAST.min(third);
            refusal::Refusal::retry_after(refusal::Reason::NoRetry, wait)
        };
        self.refuse(request, refusal, now, effects);
    }

    fn prefill_server(&self, request: call::RequestNumber) -> Option<ids::ServerId> {
        let live = self.requests.get(&request)?;
        live.prefilled_at.clone()
    }

    pub(super) fn leave(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.abandon(request, now, effects) else { return };
        effects.push(Effect::Log(decision::Decision::CallerLeft {
            request: fleet::text(&live.call.id),
            waited_ms: waiting::millis(now.saturating_sub(live.arrived)),
        }));
        effects.push(Effect::Publish);
        self.pump(now, effects);
    }

    pub(super) fn expire(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let is_at_server =
            matches!(&live.phase, live::Phase::AtServer(at) if at.step != Step::Prefill);
        if !is_at_server && !live.may_have_run {
            let reason = refusal::Reason::NoCapacity;
            let wait = fleet::constants::RETRY_AFTER_LEAST;
            let refusal = refusal::Refusal::retry_after(reason, wait);
            return self.refuse(request, refusal, now, effects);
        }
        let refusal = refusal::Refusal::new(refusal::Reason::TimedOut);
        self.release_untaken(request, effects);
        if let Some(live) = self.requests.get_mut(&request) {
            live.may_have_run = true;
        }
        self.refuse(request, refusal, now, effects);
        effects.push(Effect::Publish);
        self.pump(now, effects);
    }

    fn abandon(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Option<live::Live> {
        self.release_untaken(request, effects);
        let live = self.requests.get_mut(&request)?;
        if matches!(&live.phase, live::Phase::AtServer(at) if at.step != Step::Prefill) {
            live.may_have_run = true;
        }
        self.end(request, now)
    }

    /// Frees memory of a prompt that the decode server may not have taken.
    fn release_untaken(&self, request: call::RequestNumber, effects: &mut Vec<Effect>) {
        let Some(live) = self.requests.get(&request) else { return };
        if let live::Phase::AtServer(at) = &live.phase
            && let Step::Decode { source, handle } = &at.step
            && !at.is_started
        {
            effects.push(Effect::Release { address: *source, handle: handle.clone() });
        }
    }
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Prefilled { .. } => "prefilled".to_string(),
        Outcome::Started => "started".to_string(),
        Outcome::Finished { status } => format!("finished {status}"),
        Outcome::Failed { status } => format!("failed {status}"),
        Outcome::Rejected => "rejected".to_string(),
        Outcome::Unsent => "unsent".to_string(),
        Outcome::Broken => "broken".to_string(),
        Outcome::Cut => "cut".to_string(),
    }
}
