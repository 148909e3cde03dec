//! The queue of requests that wait for a server, and the refusal of requests that cannot be served
//! in time.
//!
//! Load pattern: more prompts arrive than the engines can prefill within the objective. Requests
//! that can still meet it are placed first, late ones when a server is nearly idle, and requests
//! whose time cannot suffice are refused immediately.

use std::collections::BTreeSet;
use std::sync;
use std::time;

use rand::RngExt as _;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::hedging;
use crate::core::fleet::ledger;
use crate::core::fleet::live;
use crate::core::fleet::placement;
use crate::core::fleet::refusal;
use crate::core::fleet::server_limits;
use crate::core::fleet::servers;
use crate::core::ids;

/// The number of failed placements of a service after which the rest of its queue is skipped.
const MAX_FAILED_PLACEMENTS: u32 = 4;

/// An entry of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiter {
    /// A request that arrived at this instance.
    Local(call::RequestNumber),
    /// A request that another instance has sent a reservation request for.
    Remote(ledger::Ticket),
}

/// The requests of a service whose turn comes before that of another one.
#[derive(Debug, Default, Clone, Copy)]
struct Ahead {
    requests: f64,
    prefill_tokens: f64,
    kv_tokens: f64,
}

impl Ahead {
    fn add(&mut self, claim: &claim::Claim) {
        self.requests += 1.0;
        self.prefill_tokens += f64::from(claim.tokens.prompt_tokens);
        self.kv_tokens += f64::from(claim.tokens.memory_tokens());
    }
}

impl Fleet {
    /// Places a request, queues it, or refuses it if it cannot be served in time.
    pub(super) fn place_or_queue(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.refuse_if_quarantined(request, now, effects)
            || self.refuse_if_evacuated(request, now, effects)
        {
            return;
        }
        let Some(live) = self.requests.get(&request) else { return };
        let is_servable =
            self.has_generator(&live.claim, now) && self.pause_of_all(&live.claim, now).is_none();
        // The grant of the owner has led to no decode server.
        let is_held = live.held.is_some();
        // Where workspaces take turns, those that wait come first.
        let is_queued = self.is_shared_fairly(&live.claim.service, now);
        if is_servable && !is_held && self.request_reservation(request, now, effects) {
            return;
        }
        if is_servable && is_queued {
            self.waiting.push(request);
            self.place_waiting(now, effects);
            if self.waiting.contains(&request) {
                self.refuse_arrival(Waiter::Local(request), now, effects);
            }
            return;
        }
        if is_servable && self.try_place(request, now, effects) {
            return;
        }
        self.waiting.push(request);
        self.refuse_arrival(Waiter::Local(request), now, effects);
    }

    /// Refuses a request that has just joined the queue if it cannot be served in time, or those whose
    /// turn would come last if the queue is full; some at once, as that takes an order of all.
    pub(super) fn refuse_arrival(
        &mut self,
        waiter: Waiter,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.waiting.len() + self.claims.len() > constants::MAX_WAITING_REQUESTS {
            return self.refuse_last(constants::MAX_WAITING_REQUESTS * 15 / 16, now, effects);
        }
        let Some(claim) = self.claim_of(waiter) else { return };
        let is_servable = self.has_generator(claim, now);
        if self.takes_turns_in_overload(&claim.service) && !claim.is_late(now) && is_servable {
            // Its turn is among the first ones. The next tick judges all by one order of the queue.
            return;
        }
        let claim = claim.clone();
        let ahead = self.ahead_of(waiter, &claim, now);
        if let Some(wait) = self.retry_wait(waiter, &claim, ahead, now) {
            self.turn_away(waiter, wait, now, effects);
        }
    }

    /// Refuses a request that waits in the queue, or declines the claim of another instance.
    fn turn_away(
        &mut self,
        waiter: Waiter,
        wait: time::Duration,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let request = match waiter {
            Waiter::Local(request) => request,
            Waiter::Remote(ticket) => return self.decline(ticket, wait, effects),
        };
        if self.refuse_if_evacuated(request, now, effects) {
            return;
        }
        let Some(live) = self.requests.get(&request) else { return };
        let max_wait = live.expires.saturating_sub(now) / 3;
        let wait = wait.min(max_wait);
        let refusal = if self.has_generator(&live.claim, now) {
            self.no_capacity(live, wait, now)
        } else {
            refusal::Refusal::retry_after(refusal::Reason::NotResumable, wait)
        };
        self.refuse(request, refusal, now, effects);
    }

    fn claim_of(&self, waiter: Waiter) -> Option<&claim::Claim> {
        match waiter {
            Waiter::Local(request) => self.requests.get(&request).map(|live| &live.claim),
            Waiter::Remote(ticket) => self.claims.get(&ticket).map(|remote| &remote.claim),
        }
    }

    /// Adds up to a quarter to a wait at random, so that callers do not all retry at the same time.
    pub(super) fn jittered(&mut self, wait: time::Duration) -> time::Duration {
        let stretch = 1.0 + 0.25 * self.rng.random::<f64>();
        wait.mul_f64(stretch).clamp(constants::MIN_RETRY_AFTER, constants::MAX_RETRY_AFTER)
    }

    /// Places queued requests: first those that can meet their objective, by priority and
    /// objective or age, then late ones by the time at which their callers give up.
    pub(super) fn place_waiting(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.waiting.is_empty() && self.claims.is_empty() {
            if !self.overloads.is_empty() {
                self.update_overloads(now, effects);
            }
            return;
        }
        let mut failed: Vec<((catalog::ServiceId, claim::Binding), u32)> = Vec::new();
        let queue = self.queue(now);
        let mut priorities: Vec<(catalog::ServiceId, BTreeSet<u8>)> = Vec::new();
        for (_, priority, (service, _)) in &queue {
            match priorities.iter_mut().find(|(known, _)| known == service) {
                Some((_, priorities)) => {
                    priorities.insert(*priority);
                }
                None => priorities.push((service.clone(), BTreeSet::from([*priority]))),
            }
        }
        for (waiter, priority, pool) in queue {
            let service = pool.0.clone();
            let known = failed.iter().position(|(known, _)| *known == pool);
            let index = known.unwrap_or_else(|| {
                failed.push((pool, 0));
                failed.len() - 1
            });
            if failed[index].1 >= MAX_FAILED_PLACEMENTS {
                continue;
            }
            let is_placed = match waiter {
                Waiter::Local(request) => self.try_place(request, now, effects),
                Waiter::Remote(ticket) => self.try_grant(ticket, now, effects),
            };
            if !is_placed {
                failed[index].1 += 1;
            } else if let Some((_, waiting)) = priorities.iter().find(|it| it.0 == service) {
                self.lower_turns.record(&service, priority, waiting);
            }
        }
        let requests = &self.requests;
        self.waiting.retain(|request| {
            requests.get(request).is_some_and(|live| matches!(live.phase, live::Phase::Waiting))
        });
        self.update_overloads(now, effects);
    }

    /// Returns all requests that wait in this instance's queue, in no order.
    pub(super) fn waiters(&self) -> impl Iterator<Item = (Waiter, &claim::Claim)> {
        let local = self.waiting.iter().filter_map(|request| {
            let live = self.requests.get(request)?;
            Some((Waiter::Local(*request), &live.claim))
        });
        let remote = self.claims.iter();
        local.chain(remote.map(|(ticket, remote)| (Waiter::Remote(*ticket), &remote.claim)))
    }

    /// Puts claims into the order of placement.
    fn ranked<'a>(
        &self,
        claims: impl Iterator<Item = (Waiter, &'a claim::Claim)>,
        now: ids::Timestamp,
    ) -> Vec<(Waiter, &'a claim::Claim)> {
        let order =
            |claim: &claim::Claim| claim.order(self.overloads.contains(&claim.service), now);
        let mut queue: Vec<_> =
            claims.map(|(waiter, claim)| (order(claim), waiter, claim)).collect();
        queue.sort_by_key(|(order, ..)| *order);
        let queue = queue.into_iter().map(|(_, waiter, claim)| (waiter, claim)).collect();
        self.share_with_lower_priorities(self.take_turns(queue, now))
    }

    /// Returns the queue in the order of placement, with the priority of each and the pool of servers
    /// that it waits for, and without the requests for plain services whose servers are full.
    fn queue(
        &self,
        now: ids::Timestamp,
    ) -> Vec<(Waiter, u8, (catalog::ServiceId, claim::Binding))> {
        let mut rooms: Vec<(&catalog::ServiceId, bool)> = Vec::new();
        let waiters = self.waiters().filter(|(_, claim)| {
            let known = rooms.iter().find(|(service, _)| *service == &claim.service);
            known.map(|(_, has_room)| *has_room).unwrap_or_else(|| {
                let has_room = self.may_have_room(&claim.service, now);
                rooms.push((&claim.service, has_room));
                has_room
            })
        });
        let queue = self.ranked(waiters, now);
        let pool = |claim: &claim::Claim| (claim.service.clone(), claim.binding.clone());
        queue.into_iter().map(|(waiter, claim)| (waiter, claim.priority, pool(claim))).collect()
    }

    /// Queues a request again after a failed attempt, or refuses it if it cannot be served in time.
    pub(super) fn wait_again(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.phase = live::Phase::Waiting;
        }
        self.place_or_queue(request, now, effects);
    }

    /// Refuses all queued requests that can no longer be served in time behind those whose turn comes
    /// before.
    pub(super) fn refuse_unservable(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.refuse_last(constants::MAX_WAITING_REQUESTS, now, effects);
    }

    /// Refuses all queued requests that can no longer be served in time, and those behind the first
    /// `places` ones.
    fn refuse_last(&mut self, mut places: usize, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let queue = self.ranked(self.waiters(), now);
        let queue: Vec<_> =
            queue.into_iter().map(|(waiter, claim)| (waiter, claim.clone())).collect();
        let mut kept: collections::Map<catalog::ServiceId, Ahead> = collections::Map::default();
        for (waiter, claim) in queue {
            let ahead = kept.get(&claim.service).copied().unwrap_or_default();
            let wait = match self.retry_wait(waiter, &claim, ahead, now) {
                None if places == 0 => Some(self.jittered(time::Duration::ZERO)),
                wait => wait,
            };
            if let Some(wait) = wait {
                self.turn_away(waiter, wait, now, effects);
                continue;
            }
            places -= 1;
            kept.entry(claim.service.clone()).or_default().add(&claim);
        }
    }

    /// Returns the time after which the caller may retry if no server can begin the answer in time,
    /// behind the requests `ahead`.
    fn retry_wait(
        &mut self,
        waiter: Waiter,
        claim: &claim::Claim,
        ahead: Ahead,
        now: ids::Timestamp,
    ) -> Option<time::Duration> {
        if !self.has_generator(claim, now) {
            return Some(self.jittered(time::Duration::ZERO));
        }
        if matches!(waiter, Waiter::Local(_))
            && let Some(pause) = self.pause_of_all(claim, now)
        {
            return Some(pause.max(constants::MIN_RETRY_AFTER));
        }
        let remaining = claim.begin_by.saturating_sub(now);
        let drain_ms = match claim.engine {
            Some(engine) => self.engine_drain_ms(ahead, claim, engine, now),
            None => self.plain_drain_ms(ahead, claim, now),
        };
        let drain_ms = drain_ms + self.limit_wait_ms(claim, now);
        // Without usable servers the drain time is infinite or undefined.
        if drain_ms <= remaining.as_secs_f64() * 1_000.0 {
            return None;
        }
        let drain = if drain_ms.is_finite() { drain_ms } else { 0.0 };
        Some(self.jittered(time::Duration::from_secs_f64(drain / 1_000.0)))
    }

    /// Returns the queued claims of the same service that are placed before `claim`.
    fn ahead_of(&self, waiter: Waiter, claim: &claim::Claim, now: ids::Timestamp) -> Ahead {
        let mut ahead = Ahead::default();
        let others = self.waiters().filter(|(_, other)| other.service == claim.service);
        if self.is_shared_fairly(&claim.service, now) {
            let queue = self.ranked(others, now);
            let before = queue.into_iter().take_while(|(other, _)| *other != waiter);
            before.for_each(|(_, other)| ahead.add(other));
        } else {
            let order = claim.order(false, now);
            let before = others
                .filter(|(other, _)| *other != waiter)
                .filter(|(_, other)| other.order(false, now) <= order);
            before.for_each(|(_, other)| ahead.add(other));
        }
        ahead
    }

    /// Returns whether a server is listed that may go on with the stream of a claim; `true` for a
    /// request without events.
    fn has_generator(&self, claim: &claim::Claim, now: ids::Timestamp) -> bool {
        if claim.binding == claim::Binding::Any {
            return true;
        }
        self.servers.of_service(&claim.service).any(|server| {
            server.is_available(now)
                && server.entry.stage != Some(servers::Stage::Prefill)
                && claim.binding.allows(server)
                && !claim.tried.contains(&server.entry.id)
        })
    }

    /// Returns the usable servers that the request was not sent to yet.
    fn untried<'a>(
        &'a self,
        claim: &'a claim::Claim,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &'a servers::Server> {
        let accepts_partial_failures = self.accepts_partial_failures(claim);
        let usable = self
            .servers
            .of_service(&claim.service)
            .filter(move |server| server.may_take(accepts_partial_failures, now));
        usable.filter(|server| !claim.tried.contains(&server.entry.id))
    }

    /// Returns the time until the limit of the first server allows a request that may generate the
    /// answer, if all these servers have limits.
    fn limit_wait_ms(&self, claim: &claim::Claim, now: ids::Timestamp) -> f64 {
        let generators = self
            .untried(claim, now)
            .filter(|server| server.entry.stage != Some(servers::Stage::Prefill))
            .filter(|server| claim.binding.allows(server));
        // Also without a grant the limit counts as a whole: the owner answers again soon.
        let pacing = server_limits::Pacing::Fleet;
        let wait = generators.map(|server| server.limit_wait(pacing, now)).min();
        wait.unwrap_or_default().as_secs_f64() * 1_000.0
    }

    /// Returns the time until the engines have prefilled the prompts ahead and freed the KV cache
    /// that they need, plus the prefill of the claim's own prompt.
    fn engine_drain_ms(
        &self,
        ahead: Ahead,
        claim: &claim::Claim,
        engine: catalog::EngineShape,
        now: ids::Timestamp,
    ) -> f64 {
        let Ahead { prefill_tokens, kv_tokens, .. } = ahead;
        let (mut rate, mut capacity) = (0.0, 0.0);
        for server in self.untried(claim, now) {
            let prompts_per_s =
                server.tokens_per_ms * 1_000.0 / f64::from(claim.tokens.prompt_tokens.max(1));
            rate += server.tokens_per_ms * server.capped_rate_per_s(prompts_per_s) / prompts_per_s;
            if server.entry.stage != Some(servers::Stage::Prefill) && claim.binding.allows(server) {
                let memory_tokens = f64::from(engine.memory_tokens);
                let streams_per_s = memory_tokens * 1_000.0
                    / (f64::from(claim.tokens.memory_tokens().max(1))
                        * constants::STREAM_DURATION_MS);
                let capped = server.capped_rate_per_s(streams_per_s) / streams_per_s;
                capacity += memory_tokens * capped;
            }
        }
        let own_ms =
            f64::from(claim.tokens.prompt_tokens) / constants::INITIAL_PREFILL_TOKENS_PER_MS;
        (prefill_tokens / rate).max(kv_tokens / capacity * constants::STREAM_DURATION_MS) + own_ms
    }

    /// Returns the time until the plain servers have served the requests ahead.
    fn plain_drain_ms(&self, ahead: Ahead, claim: &claim::Claim, now: ids::Timestamp) -> f64 {
        let (mut slots, mut work_ms) = (0.0, 0.0_f64);
        for server in self.untried(claim, now).filter(|server| claim.binding.allows(server)) {
            let expected_ms = server.expected_work_ms(now);
            let requests_per_s = f64::from(server.entry.slots) * 1_000.0 / expected_ms;
            slots += server.capped_rate_per_s(requests_per_s) * expected_ms / 1_000.0;
            work_ms = work_ms.max(expected_ms);
        }
        ahead.requests * work_ms / slots + work_ms / 2.0
    }

    /// Sends a queued request to the best placement; returns `false` if there is none now.
    pub(super) fn try_place(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(live) = self.requests.get(&request) else { return false };
        if !matches!(live.phase, live::Phase::Waiting) {
            return false;
        }
        if live.held.is_some() {
            return self.try_place_held(request, now, effects);
        }
        let Some((placement, expected_ms)) = self.choose(&live.claim, true, now) else {
            return false;
        };
        let claim = live.claim.clone();
        let order = (self.order_of(&claim, now), self.use_share(&claim, now));
        if let Some(live) = self.requests.get_mut(&request) {
            live.order = Some(order);
        }
        self.record_prompt(&claim, &placement, now);
        self.take_allowances(&claim, &placement, now);
        self.use_placement(request, placement, expected_ms, now, effects);
        true
    }

    /// Returns the expected time from placing a request until its answer begins; for a plain request
    /// a high quantile of it, up to half of its objective. Otherwise, a slow server would make all
    /// requests late.
    pub(super) fn start_time(
        &self,
        engine: Option<catalog::EngineShape>,
        service: &catalog::ServiceId,
        tokens: call::Tokens,
        objective: time::Duration,
    ) -> time::Duration {
        if engine.is_none() {
            return self.servers.upper_work(service).min(objective / 2);
        }
        let prefill_ms = self.servers.prefill_ms(service, tokens.prompt_tokens);
        let start_ms = prefill_ms + constants::HANDOVER_MS + constants::OBJECTIVE_MARGIN_MS;
        time::Duration::from_secs_f64(start_ms / 1_000.0)
    }

    /// Remembers which engine will hold the prompt of a placed request.
    pub(super) fn record_prompt(
        &mut self,
        claim: &claim::Claim,
        placement: &placement::Placement,
        now: ids::Timestamp,
    ) {
        if let (Some(prompt), Some(engine)) = (claim.prompt, placement.servers().last()) {
            self.kept.record(prompt, engine, now);
        }
    }

    /// Returns the best placement of a claim and its expected time. A claim that will miss its
    /// objective gets one only at engines with a short backlog.
    pub(super) fn choose(
        &self,
        claim: &claim::Claim,
        is_local: bool,
        now: ids::Timestamp,
    ) -> Option<(placement::Placement, f64)> {
        let memory_share = if claim.is_late(now) {
            constants::LATE_KV_CACHE_SHARE
        } else {
            constants::KV_CACHE_SHARE
        };
        let query = self.query(claim, is_local, memory_share, now);
        let kept = claim
            .prompt
            .and_then(|prompt| self.kept.engine(prompt, now))
            .and_then(|engine| placement::kept_placement(&self.servers, engine, query));
        let best = kept.or_else(|| placement::best(&self.servers, query))?;
        let to_objective_ms = claim.objective_at.saturating_sub(now).as_secs_f64() * 1_000.0;
        let will_be_late = best.expected_ms > to_objective_ms * constants::OBJECTIVE_SHARE;
        let has_backlog = best.backlog_ms > constants::LATE_BACKLOG_MS;
        if claim.engine.is_some() && will_be_late && has_backlog {
            return None;
        }
        Some((best.placement, best.expected_ms))
    }

    /// Sends a request to the server of its placement, or to the first one of a handover.
    pub(super) fn use_placement(
        &mut self,
        request: call::RequestNumber,
        placement: placement::Placement,
        expected_ms: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match placement {
            placement::Placement::Plain(server) | placement::Placement::Direct(server) => {
                self.send_or_refuse(request, &server, fleet::Step::Run, expected_ms, now, effects);
            }
            placement::Placement::Kept(server) => {
                self.send_or_refuse(
                    request,
                    &server,
                    fleet::Step::Resume,
                    expected_ms,
                    now,
                    effects,
                );
            }
            placement::Placement::Handover { prefill, decode } => {
                self.send_or_refuse(
                    request,
                    &prefill,
                    fleet::Step::Prefill,
                    expected_ms,
                    now,
                    effects,
                );
                self.reserve_decode(request, decode);
            }
        }
    }

    /// Reserves KV cache at the decode server while the prompt is prefilled.
    fn reserve_decode(&mut self, request: call::RequestNumber, decode: ids::ServerId) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        let memory_tokens = live.claim.tokens.memory_tokens();
        let live::Phase::AtServer(at) = &mut live.phase else { return };
        let load = servers::Load { requests: 1, memory_tokens, ..servers::Load::default() };
        self.servers.add_load(&decode, load);
        at.decode_reservation = Some((decode, load));
    }

    /// Subtracts the load of a request from its servers.
    pub(super) fn release_load(&mut self, at: &live::AtServer) {
        self.servers.subtract_load(&at.server, at.load);
        if let Some((decode, load)) = &at.decode_reservation {
            self.servers.subtract_load(decode, *load);
        }
    }

    /// Sends a request to a server, or refuses it if the budget of retries does not pay for that.
    fn send_or_refuse(
        &mut self,
        request: call::RequestNumber,
        server: &ids::ServerId,
        step: fleet::Step,
        expected_ms: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.refuse_if_quarantined(request, now, effects) {
            return;
        }
        let Some(live) = self.requests.get(&request) else { return };
        let repeats = live.repeats_of(&step);
        if !self.pay_for_repeats(request, repeats, now) {
            return self.refuse_unserved(request, now, effects);
        }
        self.send(request, server, step, expected_ms, now, effects);
    }

    /// Sends a request, whose repeats are paid, to a server and adds its load there.
    pub(super) fn send(
        &mut self,
        request: call::RequestNumber,
        server: &ids::ServerId,
        step: fleet::Step,
        expected_ms: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.servers.get(server) else { return };
        let limits = self.limit_view(&known.entry.service, now);
        let Some(live) = self.requests.get_mut(&request) else { return };
        let tokens = live.claim.tokens;
        let one = servers::Load { requests: 1, ..servers::Load::default() };
        let memory_tokens = tokens.memory_tokens();
        let prefill_load =
            servers::Load { prefilling: 1, tokens_to_prefill: tokens.prompt_tokens, ..one };
        let load = match (&step, live.claim.engine) {
            (_, None) => one,
            (fleet::Step::Decode { .. } | fleet::Step::Resume, Some(_)) => {
                servers::Load { memory_tokens, ..one }
            }
            (fleet::Step::Prefill, Some(_)) => prefill_load,
            (fleet::Step::Run, Some(_)) => servers::Load { memory_tokens, ..prefill_load },
        };
        if step != fleet::Step::Prefill {
            live.run_attempts += 1;
        }
        let repeats = live.arrivals;
        live.arrivals += 1;
        live.prepaid_repeats = live.prepaid_repeats.saturating_sub(u32::from(repeats > 0));
        if step != fleet::Step::Prefill {
            let unused = std::mem::take(&mut live.prepaid_repeats);
            self.budget.refund(&live.claim.service, unused);
        }
        let ahead = known.load();
        let limit_per_s = known.allowance().map(server_limits::Allowance::rate_per_s);
        live.phase = live::Phase::AtServer(live::AtServer {
            server: server.clone(),
            born_ms: known.entry.born_ms,
            step: step.clone(),
            load,
            sent: now,
            expected_ms,
            queued_prefill_tokens: ahead.tokens_to_prefill + load.tokens_to_prefill,
            decode_reservation: None,
            started: None,
            is_repeat: repeats > 0,
        });
        let hedge_after = match self.hedging.delay(live, &step, now) {
            Ok(delay) => delay,
            Err(obstacle) => {
                hedging::log_obstacle(live, obstacle, effects);
                None
            }
        };
        effects.push(Effect::Log(decision::Decision::Sent {
            request: fleet::text(&live.call.id),
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.content.version),
            server: fleet::text(server),
            software_version: known.entry.software_version.clone(),
            resumes: live.call.resumes.as_ref().map(fleet::text),
            step: step.name(),
            repeats,
            shared_parts: call::part_names(&live.call.shared_parts),
            load: ahead.requests,
            prompt_tokens: load.tokens_to_prefill,
            expected_tokens: tokens.expected_tokens,
            memory_tokens: ahead.memory_tokens,
            expected_ms: expected_ms as u64,
            waited_ms: millis(now.saturating_sub(live.arrived)),
            offset: known.entry.offset,
            order: live.order.map(|(order, _)| order.name()),
            use_share: live.order.and_then(|(_, share)| share),
            limit_per_s,
            cold_per_s: known.cold_per_s(),
            limits,
            stated_load: known.stated_load(now),
        }));
        let may_repeat = step == fleet::Step::Prefill
            || (live.is_idempotent() && live.run_attempts < live.route.attempts);
        let response_timeout_ms =
            expected_ms * constants::RESPONSE_TIMEOUT_FACTOR + constants::RESPONSE_TIMEOUT_EXTRA_MS;
        let response_timeout = time::Duration::from_secs_f64(response_timeout_ms / 1_000.0);
        let dispatch = fleet::Dispatch {
            server: server.clone(),
            address: known.entry.address,
            response_timeout: may_repeat.then_some(response_timeout),
            step,
            workspace: live.workspace.as_ref().map(|workspace| sync::Arc::clone(&workspace.name)),
            hides_keys: self.catalog.as_ref().is_none_or(|catalog| catalog.has_keys()),
            remaining: live.expires.saturating_sub(now),
            hedge_after,
        };
        self.servers.add_load(server, load);
        self.count_limited_send(request, server, now);
        self.count_domain(server, now);
        if hedging::is_second_leg(request) {
            self.note_second_sent(request, server, now, effects);
            effects.push(Effect::SendSecond { request: hedging::first_leg(request), dispatch });
        } else {
            effects.push(Effect::Send { request, dispatch });
        }
        effects.push(Effect::PublishLoad);
    }
}

/// Returns a duration in whole milliseconds.
pub(super) fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
