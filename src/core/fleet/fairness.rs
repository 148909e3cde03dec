//! Fair shares of workspaces at services that cannot answer all requests.
//!
//! Load patterns: servers in need take a few requests a second, one workspace sends many times that,
//! and the others some requests now and then; or a service is in overload, and one workspace sends
//! several times its share.

use std::time;

use crate::core::collections;
use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::estimate;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The time after which a use counts half.
const USE_HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// The time after which what remains of a use, a thousandth, is forgotten.
const USE_RETENTION: time::Duration = time::Duration::from_secs(20);

/// A workspace's use of a service; `None` stands for requests without a known workspace.
type User = (catalog::ServiceId, Option<quota::WorkspaceName>);

/// A workspace whose requests of one priority wait at a service.
type Taker<'a> = (&'a catalog::ServiceId, Option<&'a quota::WorkspaceName>, u8);

/// What limits the requests that a service can answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// The requests that the limits of its servers allow.
    Requests,
    /// The time in slots of plain servers.
    SlotTime,
    /// The KV cache at the engines that generate answers, over time.
    Memory,
    /// The prompt tokens that engines prefill.
    Prefill,
}

/// Amounts of all resources.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Usage {
    requests: f64,
    slot_ms: f64,
    memory_token_ms: f64,
    prefill_tokens: f64,
}

impl Usage {
    /// Returns what a claim is expected to use at a service whose requests take `work_ms`.
    fn of(claim: &claim::Claim, work_ms: f64) -> Self {
        let mut usage = Self { requests: 1.0, ..Self::default() };
        if claim.engine.is_some() {
            usage.memory_token_ms = f64::from(claim.tokens.memory_tokens()) * work_ms;
            usage.prefill_tokens = f64::from(claim.tokens.prompt_tokens);
        } else {
            usage.slot_ms = work_ms;
        }
        usage
    }

    /// Returns the amount of a resource.
    fn amount(self, resource: Resource) -> f64 {
        match resource {
            Resource::Requests => self.requests,
            Resource::SlotTime => self.slot_ms,
            Resource::Memory => self.memory_token_ms,
            Resource::Prefill => self.prefill_tokens,
        }
    }

    fn map<F: Fn(f64) -> f64>(self, change: F) -> Self {
        Self {
            requests: change(self.requests),
            slot_ms: change(self.slot_ms),
            memory_token_ms: change(self.memory_token_ms),
            prefill_tokens: change(self.prefill_tokens),
        }
    }

    fn plus(self, other: Self) -> Self {
        let sum = Self {
            requests: self.requests + other.requests,
            slot_ms: self.slot_ms + other.slot_ms,
            memory_token_ms: self.memory_token_ms + other.memory_token_ms,
            prefill_tokens: self.prefill_tokens + other.prefill_tokens,
        };
        sum.map(|amount| amount.max(0.0))
    }
}

/// A use whose amounts are halved in each half-life.
#[derive(Debug, Default, Clone, Copy)]
struct Decaying {
    usage: Usage,
    at: ids::Timestamp,
}

impl Decaying {
    fn now(self, now: ids::Timestamp) -> Usage {
        let weight = estimate::decayed_weight(now.saturating_sub(self.at), USE_HALF_LIFE);
        self.usage.map(|amount| amount * weight)
    }

    fn add(&mut self, usage: Usage, now: ids::Timestamp) {
        *self = Self { usage: self.now(now).plus(usage), at: now };
    }
}

/// The recent use of services by workspaces, and by all together.
#[derive(Debug, Default)]
pub struct RecentUse {
    uses: collections::Map<User, Decaying>,
    totals: collections::Map<catalog::ServiceId, Decaying>,
    last_cleaned: ids::Timestamp,
}

impl RecentUse {
    /// Adds to the use of a workspace, or corrects it by a negative amount.
    pub fn record(
        &mut self,
        service: &catalog::ServiceId,
        workspace: Option<&quota::WorkspaceName>,
        usage: Usage,
        now: ids::Timestamp,
    ) {
        self.uses.entry((service.clone(), workspace.cloned())).or_default().add(usage, now);
        self.totals.entry(service.clone()).or_default().add(usage, now);
        if now.saturating_sub(self.last_cleaned) >= USE_HALF_LIFE {
            self.last_cleaned = now;
            self.uses.retain(|_, recorded| now.saturating_sub(recorded.at) < USE_RETENTION);
        }
    }

    /// Returns a workspace's recent use of a resource of a service.
    fn amount(&self, user: &User, resource: Resource, now: ids::Timestamp) -> f64 {
        self.uses.get(user).map_or(0.0, |recorded| recorded.now(now).amount(resource))
    }

    /// Returns the recent use of a service by all workspaces.
    fn total(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> Usage {
        self.totals.get(service).map_or_else(Usage::default, |recorded| recorded.now(now))
    }
}

/// What the workspaces of a service share now.
#[derive(Debug, Clone, Copy)]
struct Shared {
    resource: Resource,
    work_ms: f64,
}

impl Fleet {
    /// Returns whether all usable servers of a service name limits.
    fn is_limited(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> bool {
        self.limit_view(service, now).is_some_and(|limits| limits.unlimited_servers == 0)
    }

    /// Returns whether the workspaces take turns at a service: all its usable servers name limits, or
    /// it is in overload.
    pub(super) fn is_shared_fairly(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> bool {
        self.takes_turns_in_overload(service) || self.is_limited(service, now)
    }

    fn shared(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> Option<Shared> {
        let resource = if self.is_limited(service, now) {
            Resource::Requests
        } else if self.takes_turns_in_overload(service) {
            self.bottleneck(service, now)
        } else {
            return None;
        };
        Some(Shared { resource, work_ms: self.usual_work_ms(service) })
    }

    /// Returns the resource that a service is shorter of: the one whose recent use would take its
    /// servers longer.
    fn bottleneck(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> Resource {
        let engine = self.catalog.as_ref().and_then(|catalog| catalog.engine(service));
        let Some(engine) = engine else { return Resource::SlotTime };
        let (mut memory_tokens, mut tokens_per_ms) = (0.0, 0.0);
        for server in self.servers.of_service(service).filter(|server| server.is_usable(now)) {
            if server.entry.stage != Some(servers::Stage::Prefill) {
                memory_tokens += f64::from(engine.memory_tokens) * constants::KV_CACHE_SHARE;
            }
            if server.entry.stage != Some(servers::Stage::Decode) {
                tokens_per_ms += server.tokens_per_ms;
            }
        }
        let total = self.recent_use.total(service, now);
        let prefill_ms = total.prefill_tokens / tokens_per_ms;
        // Without a prefill server, the share is infinite or undefined.
        let is_prefill =
            prefill_ms.is_finite() && prefill_ms > total.memory_token_ms / memory_tokens;
        if is_prefill { Resource::Prefill } else { Resource::Memory }
    }

    /// Returns the time that a request of a service usually takes at its server.
    fn usual_work_ms(&self, service: &catalog::ServiceId) -> f64 {
        let is_engine = self.catalog.as_ref().is_some_and(|it| it.engine(service).is_some());
        if is_engine {
            let usual_ms = self.servers.usual_stream_ms(service);
            return usual_ms.unwrap_or(constants::STREAM_DURATION_MS);
        }
        let servers = self.servers.of_service(service).map(|server| server.work_ms);
        let (sum, count) = servers.fold((0.0, 0), |(sum, count), ms| (sum + ms, count + 1));
        if count == 0 { constants::INITIAL_PLAIN_WORK_MS } else { sum / f64::from(count) }
    }

    /// Records that a request is placed, with what it is expected to use.
    pub(super) fn record_use(&mut self, claim: &claim::Claim, now: ids::Timestamp) {
        let usage = Usage::of(claim, self.usual_work_ms(&claim.service));
        self.recent_use.record(&claim.service, claim.workspace.as_ref(), usage, now);
    }

    /// Corrects the recorded use of a request by the time that it has taken.
    pub(super) fn correct_use(
        &mut self,
        claim: &claim::Claim,
        elapsed: time::Duration,
        now: ids::Timestamp,
    ) {
        let difference_ms = elapsed.as_secs_f64() * 1_000.0 - self.usual_work_ms(&claim.service);
        let usage = Usage { requests: 0.0, prefill_tokens: 0.0, ..Usage::of(claim, difference_ms) };
        self.recent_use.record(&claim.service, claim.workspace.as_ref(), usage, now);
    }

    /// Returns a workspace's recent use of what its service is short of, as a share of the use by all;
    /// `None` if workspaces do not take turns.
    pub(super) fn use_share(&self, claim: &claim::Claim, now: ids::Timestamp) -> Option<f64> {
        let resource = self.shared(&claim.service, now)?.resource;
        let user = (claim.service.clone(), claim.workspace.clone());
        let total = self.recent_use.total(&claim.service, now).amount(resource);
        let share = self.recent_use.amount(&user, resource, now) / total.max(f64::MIN_POSITIVE);
        Some((share * 1_000.0).round() / 1_000.0)
    }

    /// Puts claims of the same priority at shared services into turns: each workspace gets one in
    /// turn, those with more recent use later. `queue` is in the order of claims. In overload, late
    /// claims keep their order behind the others.
    pub(super) fn take_turns<'a>(
        &self,
        queue: Vec<(waiting::Waiter, &'a claim::Claim)>,
        now: ids::Timestamp,
    ) -> Vec<(waiting::Waiter, &'a claim::Claim)> {
        if !self.servers.may_have_limits() && self.overloads.is_empty() {
            return queue;
        }
        let mut services: collections::Map<&catalog::ServiceId, Option<Shared>> =
            collections::Map::default();
        let mut turns: collections::Map<Taker<'_>, f64> = collections::Map::default();
        let mut ranked = Vec::with_capacity(queue.len());
        for (position, (waiter, claim)) in queue.into_iter().enumerate() {
            let shared =
                *services.entry(&claim.service).or_insert_with(|| self.shared(&claim.service, now));
            let is_late = claim.is_late(now);
            let shared = shared.filter(|it| it.resource == Resource::Requests || !is_late);
            let is_behind = is_late && shared.is_none();
            let turn = shared.map_or(0.0, |Shared { resource, work_ms }| {
                let taker = (&claim.service, claim.workspace.as_ref(), claim.priority);
                let turn = turns.entry(taker).or_insert_with(|| {
                    let user = (claim.service.clone(), claim.workspace.clone());
                    self.recent_use.amount(&user, resource, now)
                });
                *turn += Usage::of(claim, work_ms).amount(resource);
                *turn
            });
            ranked.push(((is_behind, claim.priority), turn, position, waiter, claim));
        }
        ranked.sort_by(|one, other| {
            let by_turn = one.0.cmp(&other.0).then(one.1.total_cmp(&other.1));
            by_turn.then(one.2.cmp(&other.2))
        });
        ranked.into_iter().map(|(.., waiter, claim)| (waiter, claim)).collect()
    }
}

#[cfg(test)]
mod tests;
