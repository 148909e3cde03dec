//! The consequences of a request's progress at a server: handovers, retries and the end of the
//! request.

use std::net;
use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::Outcome;
use crate::core::fleet::Step;
use crate::core::fleet::broker;
use crate::core::fleet::call;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::placement;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::fleet::shutdown;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The minimum time before the deadline in which a retry can still be answered.
pub(super) const MIN_RETRY_TIME: time::Duration = time::Duration::from_millis(40);

impl Step {
    /// Returns the name of the step in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Run => "run",
            Self::Resume => "resume",
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
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = live.phase.clone() else { return };
        match outcome {
            Outcome::Started => return self.record_started(request, &at, now, effects),
            Outcome::Continued => return self.record_survival(request, &at, now, effects),
            Outcome::PositionLost => {
                if let Some(live) = self.requests.get_mut(&request) {
                    live.is_position_lost = true;
                }
                return;
            }
            _ => {}
        }
        self.end_at_server(request, &at, &outcome, now, effects);
        match outcome {
            Outcome::Started | Outcome::Continued | Outcome::PositionLost => {}
            Outcome::Prefilled { handle } => self.hand_over(request, &at, handle, now, effects),
            Outcome::Finished { .. } => self.finish(request, now, effects),
            Outcome::Failed { .. } => self.retry_failed(request, &at, now, effects),
            Outcome::Rejected => {
                self.pause_failed_handover(request, &at, now, effects);
                self.retry_rejected(request, &at, now, effects);
            }
            Outcome::Misdirected => self.retry_rejected(request, &at, now, effects),
            Outcome::Unsent => self.retry_unsent(request, &at, now, effects),
            Outcome::ConnectionLost
            | Outcome::Unresponsive
            | Outcome::Truncated
            | Outcome::Endless => self.retry_broken(request, &at, now, effects),
        }
        self.place_waiting(now, effects);
    }

    /// Ends the stay of a request, or of one of its legs, at a server.
    pub(super) fn end_at_server(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        outcome: &Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.phase = live::Phase::Ending;
        live.count_arrival(at, outcome);
        effects.push(Effect::Log(decision::Decision::Ended {
            request: fleet::text(&live.call.id),
            route: live.route.name.clone(),
            workspace: live.workspace_name(),
            server: fleet::text(&at.server),
            outcome: describe(outcome),
            elapsed_ms: waiting::millis(now.saturating_sub(at.sent)),
            since_arrival_ms: waiting::millis(now.saturating_sub(live.arrived)),
        }));
        self.release_load(at);
        effects.push(Effect::PublishLoad);
        self.update_server_estimates(at, outcome, now, effects);
        self.note_end(request, at, outcome, now, effects);
        self.report_outcome(request, at, outcome, now, effects);
    }

    fn record_started(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        self.bind_started_stream(request, &at.server, now, effects);
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.may_have_run = true;
        let prefilled = servers::Load { requests: 0, memory_tokens: 0, ..at.load };
        if let live::Phase::AtServer(at) = &mut live.phase {
            at.started = Some(now);
            at.load.prefilling = 0;
            at.load.tokens_to_prefill = 0;
        }
        self.servers.subtract_load(&at.server, prefilled);
        let elapsed = now.saturating_sub(at.sent);
        if at.load.tokens_to_prefill > 0 {
            self.servers.record_prefill(&at.server, at.queued_prefill_tokens, elapsed);
        }
        effects.push(Effect::PublishLoad);
        effects.push(Effect::Log(decision::Decision::Started {
            request: fleet::text(&live.call.id),
            route: live.route.name.clone(),
            workspace: live.workspace_name(),
            server: fleet::text(&at.server),
            elapsed_ms: waiting::millis(elapsed),
            since_arrival_ms: waiting::millis(now.saturating_sub(live.arrived)),
        }));
        if at.load.tokens_to_prefill > 0 {
            self.report_prefilled(request, at, elapsed, effects);
        }
        self.place_waiting(now, effects);
    }

    fn report_prefilled(
        &self,
        request: call::RequestNumber,
        at: &live::AtServer,
        elapsed: time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        let progress = message::Progress::Prefilled {
            server: at.server.clone(),
            tokens: at.queued_prefill_tokens,
            elapsed_ms: waiting::millis(elapsed),
        };
        self.report_progress(request, progress, effects);
    }

    /// Reports the progress or end at a server to the owner that granted the reservation.
    fn report_outcome(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        outcome: &Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let elapsed = now.saturating_sub(at.sent);
        if matches!(outcome, Outcome::Prefilled { .. }) {
            return self.report_prefilled(request, at, elapsed, effects);
        }
        if let Some(live) = self.requests.get(&request)
            && live.grant.is_none()
            && matches!(outcome, Outcome::Finished { .. })
        {
            let claim = live.claim.clone();
            self.correct_use(&claim, elapsed, now);
        }
        let evidence = evidence(outcome).map(|evidence| (at.server.clone(), evidence));
        self.report_progress(request, broker::ended(evidence, elapsed), effects);
        if let Some(live) = self.requests.get_mut(&request) {
            live.grant = None;
            if let Some(hedge) = &mut live.hedge {
                hedge.is_promoted = false;
            }
        }
    }

    fn update_server_estimates(
        &mut self,
        at: &live::AtServer,
        outcome: &Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let elapsed = now.saturating_sub(at.sent);
        match outcome {
            Outcome::Prefilled { .. } => {
                self.servers.record_prefill(&at.server, at.queued_prefill_tokens, elapsed);
            }
            Outcome::Finished { .. } => {
                self.check_stated_load(&at.server, elapsed, at.expected_ms, now, effects);
                self.servers.record_work(&at.server, elapsed, now);
            }
            _ => {}
        }
        let Some(evidence) = evidence(outcome) else { return };
        if *outcome == Outcome::Endless {
            // Together with the evidence below it ejects the server at once.
            self.servers.record_warning(&at.server);
        }
        let Some(pause) = self.servers.record_evidence(&at.server, evidence, now) else { return };
        self.send_warning(&at.server, message::Finding::Fails, now, effects);
        let server = self.servers.get(&at.server);
        let failure_share = server.map_or(1.0, |server| server.failure_share(now));
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
        live.prefill_server = Some(at.server.clone());
        let Some(source) = self.servers.get(&at.server).map(|server| server.entry.address) else {
            return self.wait_again(request, now, effects);
        };
        let reserved = at.decode_reservation.as_ref().map(|(decode, _)| decode);
        let reserved = reserved.and_then(|decode| self.servers.get(decode));
        let binding = self.requests.get(&request).map(|live| &live.claim.binding);
        let reserved = reserved
            .filter(|server| server.is_usable(now) && server.is_willing(now))
            .filter(|server| server.is_counted_since(at.sent))
            .filter(|server| binding.is_some_and(|binding| binding.allows(server)))
            .map(|server| server.entry.id.clone());
        self.send_to_decode_server(request, reserved, source, handle, now, effects);
    }

    /// Sends a prefilled request to a decode server: the given one, or the best one with capacity.
    /// Without any, the KV cache is held while the request waits for one.
    fn send_to_decode_server(
        &mut self,
        request: call::RequestNumber,
        reserved: Option<ids::ServerId>,
        source: net::SocketAddr,
        handle: fleet::HandleId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(refusal) = self.quarantine_refusal(request, now) {
            self.release_kv_cache(request, source, handle, now, effects);
            return self.refuse(request, refusal, now, effects);
        }
        let Some(live) = self.requests.get(&request) else { return };
        let is_reserved = reserved.is_some();
        let found = reserved.or_else(|| {
            let query = self.query(&live.claim, true, 1.0, now);
            placement::best_decode_server(&self.servers, live.claim.engine?, query)
        });
        match found {
            Some(server) => {
                let step = Step::Decode { source, handle };
                let (service, repeats) = (live.claim.service.clone(), live.repeats_of(&step));
                if !self.pay_for_repeats(request, repeats, now) {
                    self.release_kv_cache_of(request, &step, now, effects);
                    return self.refuse_unserved(request, now, effects);
                }
                if !is_reserved {
                    self.servers.take_allowance(&server, self.pacing(&service, now), now);
                }
                let expected_ms = constants::DECODE_START_MS;
                self.send(request, &server, step, expected_ms, now, effects);
            }
            None => {
                if let Some(live) = self.requests.get_mut(&request) {
                    let held = live::HeldPrompt { source, handle, since: now };
                    live.held.get_or_insert(held);
                }
                self.wait_again(request, now, effects);
            }
        }
    }

    /// Sends a request whose KV cache is held to a decode server; returns whether there is one.
    pub(super) fn try_place_held(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(live) = self.requests.get(&request) else { return false };
        let Some(engine) = live.claim.engine else { return false };
        let query = self.query(&live.claim, true, 1.0, now);
        let Some(server) = placement::best_decode_server(&self.servers, engine, query) else {
            return false;
        };
        let held = self.requests.get_mut(&request).and_then(|live| live.held.take());
        let Some(live::HeldPrompt { source, handle, .. }) = held else { return false };
        let service = self.requests[&request].claim.service.clone();
        self.servers.take_allowance(&server, self.pacing(&service, now), now);
        self.send_to_decode_server(request, Some(server), source, handle, now, effects);
        true
    }

    /// Refuses requests whose KV cache was held for too long: other instances may reach decode servers
    /// that this one does not.
    pub(super) fn refuse_held(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let is_overdue = |live: &live::LiveRequest| {
            let since = live.held.as_ref().map(|held| held.since);
            since.is_some_and(|since| now.saturating_sub(since) >= constants::MAX_HELD_PROMPT_WAIT)
        };
        let overdue = self.requests.iter().filter(|(_, live)| is_overdue(live));
        let mut overdue: Vec<_> = overdue.map(|(request, _)| *request).collect();
        overdue.sort_unstable();
        for request in overdue {
            self.refuse_unserved(request, now, effects);
        }
    }

    fn finish(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.may_have_run = true;
        }
        self.end_request(request, now, effects);
    }

    fn retry_failed(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.has_failed_answer = at.step != Step::Prefill;
        }
        if !self.retry_sent(request, at, now, effects) {
            effects.push(Effect::DeliverFailure { request });
            self.end_request(request, now, effects);
        }
    }

    fn retry_broken(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if !self.retry_sent(request, at, now, effects) {
            let refusal = refusal::Refusal::new(refusal::Reason::OutcomeUnknown);
            self.refuse(request, refusal, now, effects);
        }
    }

    /// Retries a request that a server received, if that is allowed; returns whether it is. A
    /// prefill may always be repeated, a run only under the rules of its route.
    fn retry_sent(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if at.step == Step::Prefill {
            self.retry_prefill(request, at, now, effects);
            return true;
        }
        if let Some(live) = self.requests.get_mut(&request) {
            live.may_have_run = true;
        }
        // Only streams go on after a part of their answer was forwarded.
        let can_go_on = self
            .requests
            .get(&request)
            .is_some_and(|live| live.route.is_stream && !live.is_position_lost);
        let may_crash_servers =
            self.requests.get(&request).is_some_and(|live| self.may_crash_servers(live, at, now));
        let is_allowed = (can_go_on || !at.is_started())
            && !may_crash_servers
            && self.may_run_again(request, now);
        if is_allowed {
            self.retry_elsewhere(request, at, now, effects);
        }
        is_allowed
    }

    /// Pauses handovers from the prefill server whose KV cache the decode server could not fetch.
    fn pause_failed_handover(
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
            self.send_warning(&source, message::Finding::HandlesExpire, now, effects);
        }
    }

    fn retry_rejected(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if at.step == Step::Prefill {
            return self.retry_prefill(request, at, now, effects);
        }
        let repeats = match at.step {
            // The next decode server fetches the same KV cache.
            Step::Decode { .. } => 1,
            Step::Run | Step::Resume | Step::Prefill => self.max_repeats_of_retry(request),
        };
        if self.pay_for_retry(request, repeats, now) {
            return self.retry_not_run(request, at, now, effects);
        }
        self.refuse_unserved(request, now, effects);
    }

    /// Retries a prefill at another server. Only the first prefill is free of the retry budget.
    fn retry_prefill(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let repeats = self.max_repeats_of_retry(request);
        if self.pay_for_retry(request, repeats, now) {
            return self.retry_elsewhere(request, at, now, effects);
        }
        self.refuse_unserved(request, now, effects);
    }

    /// Pays for the repeats of a retry; returns whether they are paid and there is time for it.
    fn pay_for_retry(
        &mut self,
        request: call::RequestNumber,
        repeats: u32,
        now: ids::Timestamp,
    ) -> bool {
        let Some(live) = self.requests.get(&request) else { return false };
        let has_time = live.expires > now + MIN_RETRY_TIME;
        has_time && live.can_try_another_server() && self.pay_for_repeats(request, repeats, now)
    }

    fn max_repeats_of_retry(&self, request: call::RequestNumber) -> u32 {
        self.requests.get(&request).map_or(1, live::LiveRequest::max_repeats_of_retry)
    }

    /// Takes repeats of a request from the budget, as far as they are not paid yet; returns whether all
    /// are paid.
    pub(super) fn pay_for_repeats(
        &mut self,
        request: call::RequestNumber,
        repeats: u32,
        now: ids::Timestamp,
    ) -> bool {
        // The seeds are instances that this one may not know yet.
        let members = self.peers.member_count(now).max(self.seeds.len());
        let Some(live) = self.requests.get_mut(&request) else { return false };
        let missing = repeats.saturating_sub(live.prepaid_repeats);
        if missing > 0 && !self.budget.spend(&live.claim.service, missing, members, now) {
            return false;
        }
        live.prepaid_repeats += missing;
        true
    }

    fn retry_unsent(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        if at.step != Step::Prefill {
            live.run_attempts = live.run_attempts.saturating_sub(1);
        }
        if live.can_try_another_server() && live.expires > now + MIN_RETRY_TIME {
            return self.retry_not_run(request, at, now, effects);
        }
        self.refuse_unserved(request, now, effects);
    }

    fn may_run_again(&mut self, request: call::RequestNumber, now: ids::Timestamp) -> bool {
        let Some(live) = self.requests.get(&request) else { return false };
        let has_time = live.expires > now + MIN_RETRY_TIME;
        let is_allowed =
            live.is_idempotent() && live.run_attempts < live.route.attempts && has_time;
        let repeats = live.max_repeats_of_retry();
        is_allowed && self.pay_for_repeats(request, repeats, now)
    }

    fn retry_elsewhere(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.claim.tried.push(at.server.clone());
        }
        self.wait_again(request, now, effects);
    }

    /// Retries a request that its server did not run. After a handover the prefill server still
    /// holds the KV cache, which another decode server can fetch.
    fn retry_not_run(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Step::Decode { source, handle } = &at.step else {
            return self.retry_elsewhere(request, at, now, effects);
        };
        if let Some(live) = self.requests.get_mut(&request) {
            live.claim.tried.push(at.server.clone());
        }
        self.send_to_decode_server(request, None, *source, handle.clone(), now, effects);
    }

    /// Refuses a request that no server accepted.
    pub(super) fn refuse_unserved(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let max_wait = live.expires.saturating_sub(now) / 3;
        let wait = constants::MIN_RETRY_AFTER.min(max_wait);
        let refusal = refusal::Refusal::retry_after(refusal::Reason::NoRetry, wait);
        self.refuse(request, refusal, now, effects);
    }

    fn prefill_server(&self, request: call::RequestNumber) -> Option<ids::ServerId> {
        let live = self.requests.get(&request)?;
        live.prefill_server.clone()
    }

    pub(super) fn disconnect(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.abandon(request, now, effects) else { return };
        effects.push(Effect::Log(decision::Decision::CallerDisconnected {
            request: fleet::text(&live.call.id),
            waited_ms: waiting::millis(now.saturating_sub(live.arrived)),
        }));
        effects.push(Effect::PublishLoad);
        self.place_waiting(now, effects);
    }

    pub(super) fn expire_request(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let is_at_server =
            matches!(&live.phase, live::Phase::AtServer(at) if at.step != Step::Prefill);
        let is_cut_short = self.ends_before(live, now);
        if !is_at_server && !live.may_have_run {
            let reason = refusal::Reason::NoCapacity;
            let wait = constants::MIN_RETRY_AFTER;
            let no_capacity = || refusal::Refusal::retry_after(reason, wait);
            let refusal = if is_cut_short { shutdown::leaving() } else { no_capacity() };
            return self.refuse(request, refusal, now, effects);
        }
        let reason =
            if is_cut_short { refusal::Reason::OutcomeUnknown } else { refusal::Reason::TimedOut };
        let refusal = refusal::Refusal::new(reason);
        self.release_unused_kv_cache(request, now, effects);
        if let Some(live) = self.requests.get_mut(&request) {
            live.may_have_run = true;
        }
        self.refuse(request, refusal, now, effects);
        effects.push(Effect::PublishLoad);
        self.place_waiting(now, effects);
    }

    fn abandon(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Option<live::LiveRequest> {
        self.release_unused_kv_cache(request, now, effects);
        let live = self.requests.get_mut(&request)?;
        if matches!(&live.phase, live::Phase::AtServer(at) if at.step != Step::Prefill) {
            live.may_have_run = true;
        }
        self.end_request(request, now, effects)
    }

    /// Frees the KV cache of a request that ends before a decode server had capacity.
    pub(super) fn release_held_prompt(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let held = self.requests.get_mut(&request).and_then(|live| live.held.take());
        if let Some(held) = held {
            self.release_kv_cache(request, held.source, held.handle, now, effects);
        }
    }

    fn release_kv_cache_of(
        &mut self,
        request: call::RequestNumber,
        step: &Step,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Step::Decode { source, handle } = step {
            self.release_kv_cache(request, *source, handle.clone(), now, effects);
        }
    }

    /// Frees a KV cache that the decode server may not have fetched.
    fn release_unused_kv_cache(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        if let live::Phase::AtServer(at) = &live.phase
            && !at.is_started()
        {
            let step = at.step.clone();
            self.release_kv_cache_of(request, &step, now, effects);
        }
    }

    fn release_kv_cache(
        &mut self,
        request: call::RequestNumber,
        address: net::SocketAddr,
        handle: fleet::HandleId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(server) = self.prefill_server(request) else { return };
        let is_kept_from =
            |server: &servers::Server| server.is_evacuated() || !server.pause(now).is_zero();
        if self.servers.get(&server).is_some_and(is_kept_from) {
            // The handle expires by itself.
            return;
        }
        if self.is_cold_bound_used_up(&server, now) {
            return;
        }
        self.count_call(&server, now);
        effects.push(Effect::ReleaseKvCache { address, handle });
    }
}

/// Returns the evidence that an outcome gives about the server's health.
fn evidence(outcome: &Outcome) -> Option<servers::Evidence> {
    match outcome {
        Outcome::Started | Outcome::Continued | Outcome::PositionLost | Outcome::Rejected => None,
        Outcome::Misdirected => Some(servers::Evidence::Replaced),
        Outcome::Prefilled { .. } | Outcome::Finished { .. } => Some(servers::Evidence::Answered),
        Outcome::Failed { .. } => Some(servers::Evidence::Erred),
        Outcome::ConnectionLost | Outcome::Truncated => Some(servers::Evidence::Failed),
        Outcome::Unsent | Outcome::Unresponsive | Outcome::Endless => {
            Some(servers::Evidence::Unreachable)
        }
    }
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Prefilled { .. } => "prefilled".to_string(),
        Outcome::Started => "started".to_string(),
        Outcome::Continued => "continued".to_string(),
        Outcome::PositionLost => "position lost".to_string(),
        Outcome::Finished { status, .. } => format!("finished {status}"),
        Outcome::Failed { status } => format!("failed {status}"),
        Outcome::Rejected => "rejected".to_string(),
        Outcome::Misdirected => "misdirected".to_string(),
        Outcome::Unsent => "unsent".to_string(),
        Outcome::ConnectionLost => "broken".to_string(),
        Outcome::Unresponsive => "silent".to_string(),
        Outcome::Truncated => "cut".to_string(),
        Outcome::Endless => "endless".to_string(),
    }
}
