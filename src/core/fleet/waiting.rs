//! The order in which requests wait for places, and turning away.
//!
//! Load pattern: more prompts arrive than the engines can read within the objective. Requests that
//! can still meet it go first; late ones follow when a server is nearly idle; one whose time cannot
//! suffice is refused at once.

use std::sync;
use std::time;

use rand::RngExt as _;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::ledger;
use crate::core::fleet::live;
use crate::core::fleet::placement;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::ids;

/// Failed placements of a service after which the rest of its queue is not tried.
const FRUITLESS_PLACEMENTS: u32 = 4;

/// Who waits for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiter {
    /// A request of this instance.
    Local(call::RequestNumber),
    /// A claim of another instance.
    Remote(ledger::Ticket),
}

impl Fleet {
    /// Finds a place for a request, lets it wait, or refuses it.
    pub(super) fn seek_place(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.ask_owner(request, now, effects) || self.try_place(request, now, effects) {
            return;
        }
        if !self.refuse_hopeless(request, now, effects) {
            self.waiting.push(request);
        }
    }

    /// Refuses a request whose time cannot suffice.
    fn refuse_hopeless(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(live) = self.requests.get(&request) else { return false };
        let (claim, third) = (live.claim.clone(), live.expires.saturating_sub(now) / 3);
        let Some(wait) = self.hopeless(Waiter::Local(request), &claim, now) else { return false };
        let reason = refusal::Reason::NoCapacity;
        let refusal = refusal::Refusal::retry_after(reason, wait.min(third));
        self.refuse(request, refusal, now, effects);
        true
    }

    /// Spreads returning callers over a quarter more than the wait.
    pub(super) fn spread(&mut self, wait: time::Duration) -> time::Duration {
        let stretch = 1.0 + 0.25 * self.rng.random::<f64>();
        wait.mul_f64(stretch).clamp(constants::MIN_RETRY_AFTER, constants::MAX_RETRY_AFTER)
    }

    /// Gives places to those that wait: first those that can meet their objective, by rank and
    /// objective, then late ones by the end of their time.
    pub(super) fn pump(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.waiting.is_empty() && self.claims.is_empty() {
            return;
        }
        let mut fruitless: Vec<(catalog::ServiceId, u32)> = Vec::new();
        for (waiter, service) in self.queue(now) {
            let known = fruitless.iter().position(|(known, _)| *known == service);
            let index = known.unwrap_or_else(|| {
                fruitless.push((service, 0));
                fruitless.len() - 1
            });
            if fruitless[index].1 >= FRUITLESS_PLACEMENTS {
                continue;
            }
            let is_placed = match waiter {
                Waiter::Local(request) => self.try_place(request, now, effects),
                Waiter::Remote(ticket) => self.try_grant(ticket, now, effects),
            };
            if !is_placed {
                fruitless[index].1 += 1;
            }
        }
        let requests = &self.requests;
        self.waiting.retain(|request| {
            requests.get(request).is_some_and(|live| matches!(live.phase, live::Phase::Waiting))
        });
    }

    /// Returns all that wait, in their order.
    fn queue(&self, now: ids::Timestamp) -> Vec<(Waiter, catalog::ServiceId)> {
        let local = self.waiting.iter().filter_map(|request| {
            let live = self.requests.get(request)?;
            Some((Waiter::Local(*request), &live.claim))
        });
        let remote =
            self.claims.iter().map(|(ticket, remote)| (Waiter::Remote(*ticket), &remote.claim));
        let mut queue: Vec<_> = local.chain(remote).collect();
        queue.sort_by_key(|(_, claim)| claim.order(now));
        queue.into_iter().map(|(waiter, claim)| (waiter, claim.service.clone())).collect()
    }

    /// Puts a request back into the queue, or refuses it if it cannot be served.
    pub(super) fn wait_again(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(live) = self.requests.get_mut(&request) {
            live.phase = live::Phase::Waiting;
        }
        self.seek_place(request, now, effects);
    }

    /// Refuses all that wait and whose time cannot suffice any more.
    pub(super) fn drop_hopeless(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for request in self.waiting.clone() {
            self.refuse_hopeless(request, now, effects);
        }
        let tickets: Vec<_> = self.claims.keys().copied().collect();
        for ticket in tickets {
            self.decline(ticket, now, effects);
        }
    }

    /// Returns when the caller may come back if no server can begin the answer while it waits.
    pub(super) fn hopeless(
        &mut self,
        waiter: Waiter,
        claim: &claim::Claim,
        now: ids::Timestamp,
    ) -> Option<time::Duration> {
        let left = claim.begin_by.saturating_sub(now);
        let drain_ms = match claim.engine {
            Some(engine) => self.engine_drain_ms(waiter, claim, engine, now),
            None => self.plain_drain_ms(waiter, claim, now),
        };
        let is_full = self.waiting.len() + self.claims.len() >= constants::MAX_WAITING_REQUESTS;
        // Without usable servers the time is infinite or undefined.
        if drain_ms <= left.as_secs_f64() * 1_000.0 && !is_full {
            return None;
        }
        let drain = if drain_ms.is_finite() { drain_ms } else { 0.0 };
        Some(self.spread(time::Duration::from_secs_f64(drain / 1_000.0)))
    }

    /// Returns the claims that go before one, if they all are placed.
    fn ahead<'a>(
        &'a self,
        waiter: Waiter,
        claim: &'a claim::Claim,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &'a claim::Claim> {
        let order = claim.order(now);
        let local = self
            .waiting
            .iter()
            .filter(move |other| waiter != Waiter::Local(**other))
            .filter_map(|other| self.requests.get(other))
            .map(|other| &other.claim);
        let remote = self
            .claims
            .iter()
            .filter(move |(other, _)| waiter != Waiter::Remote(**other))
            .map(|(_, other)| &other.claim);
        local
            .chain(remote)
            .filter(move |other| other.service == claim.service && other.order(now) <= order)
    }

    /// Returns the servers that a claim may still use.
    fn untried<'a>(
        &'a self,
        claim: &'a claim::Claim,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &'a servers::Server> {
        let usable = self.servers.of(&claim.service).filter(move |server| server.is_usable(now));
        usable.filter(|server| !claim.tried.contains(&server.entry.id))
    }

    /// Returns the time until the engines have read the prompts ahead and freed the memory that
    /// they need.
    fn engine_drain_ms(
        &self,
        waiter: Waiter,
        claim: &claim::Claim,
        engine: catalog::EngineShape,
        now: ids::Timestamp,
    ) -> f64 {
        let (mut unread, mut memory) = (0.0, 0.0);
        for other in self.ahead(waiter, claim, now) {
            unread += f64::from(other.tokens.prompt_tokens);
            memory += f64::from(other.tokens.memory_tokens());
        }
        let (mut rate, mut capacity) = (0.0, 0.0);
        for server in self.untried(claim, now) {
            rate += server.tokens_per_ms;
            if server.entry.stage != Some(servers::Stage::Prefill) {
                capacity += f64::from(engine.memory_tokens);
            }
        }
        let own_ms =
            f64::from(claim.tokens.prompt_tokens) / constants::INITIAL_PREFILL_TOKENS_PER_MS;
        (unread / rate).max(memory / capacity * constants::STREAM_DURATION_MS) + own_ms
    }

    /// Returns the time until the plain servers have worked off the requests ahead.
    fn plain_drain_ms(&self, waiter: Waiter, claim: &claim::Claim, now: ids::Timestamp) -> f64 {
        let (mut slots, mut work_ms) = (0.0, 0.0_f64);
        for server in self.untried(claim, now) {
            slots += f64::from(server.entry.slots);
            work_ms = work_ms.max(server.work_ms);
        }
        self.ahead(waiter, claim, now).count() as f64 * work_ms / slots + work_ms / 2.0
    }

    /// Sends a request to the best place if there is one and the time is right.
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
        let Some((place, expected_ms)) = self.choose(&live.claim, now) else { return false };
        self.use_place(request, place, expected_ms, now, effects);
        true
    }

    /// Returns the best place for a claim. Late ones get one only where on-time ones have plenty.
    pub(super) fn choose(
        &self,
        claim: &claim::Claim,
        now: ids::Timestamp,
    ) -> Option<(placement::Place, f64)> {
        let memory_share = if claim.is_late(now) {
            constants::LATE_KV_CACHE_SHARE
        } else {
            constants::KV_CACHE_SHARE
        };
        let view = placement::View { claim, memory_share, now };
        let placed = placement::best(&self.servers, view)?;
        let to_objective_ms = claim.objective_at.saturating_sub(now).as_secs_f64() * 1_000.0;
        let will_be_late = placed.expected_ms > to_objective_ms * constants::OBJECTIVE_SHARE;
        let has_backlog = placed.backlog_ms > constants::LATE_BACKLOG_MS;
        if claim.engine.is_some() && will_be_late && has_backlog {
            return None;
        }
        Some((placed.place, placed.expected_ms))
    }

    /// Sends a request to its place.
    pub(super) fn use_place(
        &mut self,
        request: call::RequestNumber,
        place: placement::Place,
        expected_ms: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match place {
            placement::Place::Plain(server) | placement::Place::Direct(server) => {
                self.send(request, &server, fleet::Step::Run, expected_ms, now, effects);
            }
            placement::Place::Handover { prefill, decode } => {
                self.send(request, &prefill, fleet::Step::Prefill, expected_ms, now, effects);
                self.reserve(request, decode);
            }
        }
    }

    /// Sets memory aside at the decode server until the prompt is read.
    fn reserve(&mut self, request: call::RequestNumber, decode: ids::ServerId) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        let memory_tokens = live.claim.tokens.memory_tokens();
        let live::Phase::AtServer(at) = &mut live.phase else { return };
        let load = servers::Load { requests: 1, memory_tokens, ..servers::Load::default() };
        self.servers.add_load(&decode, load);
        at.reserved = Some((decode, load));
    }

    /// Counts the work of a request at servers as ended.
    pub(super) fn free(&mut self, at: &live::AtServer) {
        self.servers.subtract_load(&at.server, at.load);
        if let Some((decode, load)) = &at.reserved {
            self.servers.subtract_load(decode, *load);
        }
    }

    /// Sends a request to a server and counts its load there.
    pub(super) fn send(
        &mut self,
        request: call::RequestNumber,
        server: &ids::ServerId,
        step: fleet::Step,
        expected_ms: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        let Some(known) = self.servers.get(server) else { return };
        let tokens = live.claim.tokens;
        let one = servers::Load { requests: 1, ..servers::Load::default() };
        let memory_tokens = tokens.memory_tokens();
        let unread = servers::Load { reading: 1, unread_tokens: tokens.prompt_tokens, ..one };
        let load = match (&step, live.claim.engine) {
            (_, None) => one,
            (fleet::Step::Decode { .. }, Some(_)) => servers::Load { memory_tokens, ..one },
            (fleet::Step::Prefill, Some(_)) => unread,
            (fleet::Step::Run, Some(_)) => servers::Load { memory_tokens, ..unread },
        };
        if step != fleet::Step::Prefill {
            live.arrivals += 1;
        }
        let ahead = known.load();
        live.phase = live::Phase::AtServer(live::AtServer {
            server: server.clone(),
            step: step.clone(),
            load,
            sent: now,
            tokens_to_read: ahead.unread_tokens + load.unread_tokens,
            reserved: None,
            is_started: false,
        });
        effects.push(Effect::Log(decision::Decision::Sent {
            request: fleet::text(&live.call.id),
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.content.version),
            server: fleet::text(server),
            step: step.name(),
            load: ahead.requests,
            prompt_tokens: load.unread_tokens,
            expected_tokens: tokens.expected_tokens,
            memory_tokens: ahead.memory_tokens,
            expected_ms: expected_ms as u64,
            waited_ms: millis(now.saturating_sub(live.arrived)),
            offset: known.entry.offset,
        }));
        let may_repeat = step == fleet::Step::Prefill
            || (live.is_idempotent() && live.arrivals < live.route.attempts);
        let silence_ms =
            expected_ms * constants::RESPONSE_TIMEOUT_FACTOR + constants::RESPONSE_TIMEOUT_EXTRA_MS;
        let response_timeout = time::Duration::from_secs_f64(silence_ms / 1_000.0);
        let dispatch = fleet::Dispatch {
            server: server.clone(),
            address: known.entry.address,
            response_timeout: may_repeat.then_some(response_timeout),
            step,
            workspace: live.workspace.as_ref().map(|workspace| sync::Arc::clone(&workspace.name)),
            remaining: live.expires.saturating_sub(now),
        };
        self.servers.add_load(server, load);
        effects.push(Effect::Send { request, dispatch });
        effects.push(Effect::PublishLoad);
    }
}

/// Returns whole milliseconds.
pub(super) fn millis(span: time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
