//! A token bucket with the rate that a server names, and time slots for requests without a grant.

use std::mem;
use std::time;

use crate::core::collections;
use crate::core::ids;

/// The lowest rate at which requests are sent to a server, whatever it names: only answers show that
/// a limit is withdrawn.
const MIN_RATE_PER_S: f64 = 0.2;

/// The unused part of a limit that may be used later, as a time at the limit's rate.
const BURST_PERIOD_S: f64 = 0.25;

/// The requests beyond a limit that are made up for later, as a time at the limit's rate.
const MAX_DEBT_PERIOD_S: f64 = 1.0;

/// The part of a limit that all instances together use without a grant. The owner of the service may
/// grant the whole limit to others at the same time, and half of it more is tolerated.
const UNGRANTED_SHARE: f64 = 0.5;

/// The time without any request after which a server with a limit is preferred to others.
const TRICKLE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The time for which an instance counts as one that knows of a limit; several intervals of its
/// reports.
const KEEPER_VALIDITY: time::Duration = time::Duration::from_millis(3_500);

/// The maximum number of granting instances that are distinguished in the counts of one server.
const MAX_GRANTERS: usize = 4;

/// The requests that an instance has sent to a server with a limit since the instance's start, by
/// the instance that granted them; `None` if none did.
pub type SendCounts = Vec<(Option<ids::Incarnation>, u64)>;

/// The part of a server's limit that an instance may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pacing {
    /// The whole limit: this instance grants the requests of all instances.
    Fleet,
    /// An equal part of `UNGRANTED_SHARE`: this instance sends without a grant, beside others.
    Share {
        /// The number of instances that may do the same.
        instances: usize,
    },
}

/// The use of a server's limit.
#[derive(Debug, Clone)]
pub struct Allowance {
    rate_per_s: f64,
    /// The requests that may be sent now; negative if more were sent than the limit allows.
    tokens: f64,
    updated: ids::Timestamp,
    /// When the limit was learned.
    since: ids::Timestamp,
    /// The offset of this instance's slots from those of others, as a part of their interval.
    phase: f64,
    /// The last slot that was used.
    used_slot: Option<u64>,
    last_sent: ids::Timestamp,
    /// The instances that keep the limit when they grant, with the time of their last report of it.
    keepers: collections::Map<ids::Incarnation, ids::Timestamp>,
    counts: SendCounts,
    /// When this instance has last counted a request of its own.
    last_counted: ids::Timestamp,
    /// The requests of each other instance that are known, without those granted by this one.
    others: collections::Map<ids::Incarnation, u64>,
}

impl Allowance {
    /// Starts to keep a limit that was just learned, of which nothing may be used at once.
    /// `phase` is a random number from 0 to 1 that differs between instances.
    pub fn new(rate_per_s: f64, phase: f64, now: ids::Timestamp) -> Self {
        Self {
            rate_per_s: rate_per_s.max(MIN_RATE_PER_S),
            tokens: 0.0,
            updated: now,
            since: now,
            phase,
            used_slot: None,
            last_sent: now,
            keepers: collections::Map::default(),
            counts: Vec::new(),
            last_counted: ids::Timestamp::ZERO,
            others: collections::Map::default(),
        }
    }

    /// Restarts with a limit that was named again after the server had withdrawn one.
    pub fn restart(&mut self, rate_per_s: f64, now: ids::Timestamp) {
        let (counts, others) = (mem::take(&mut self.counts), mem::take(&mut self.others));
        *self = Self { counts, others, ..Self::new(rate_per_s, self.phase, now) };
    }

    /// Allows one request at once, of a server to which nothing was sent before.
    pub fn allow_first(&mut self) {
        self.tokens = self.tokens.max(1.0);
    }

    /// Changes the limit.
    pub fn set_rate(&mut self, rate_per_s: f64, now: ids::Timestamp) {
        self.tokens = self.tokens_at(now);
        self.updated = now;
        self.rate_per_s = rate_per_s.max(MIN_RATE_PER_S);
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Returns the rate at which requests are sent, in requests a second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Returns when the limit was learned.
    pub fn since(&self) -> ids::Timestamp {
        self.since
    }

    fn max_tokens(&self) -> f64 {
        1.0 + self.rate_per_s * BURST_PERIOD_S
    }

    fn tokens_at(&self, now: ids::Timestamp) -> f64 {
        let elapsed_s = now.saturating_sub(self.updated).as_secs_f64();
        (self.tokens + elapsed_s * self.rate_per_s).min(self.max_tokens())
    }

    /// Returns the time until the next request may be sent; zero if one may be sent now.
    pub fn wait(&self, pacing: Pacing, now: ids::Timestamp) -> time::Duration {
        match pacing {
            Pacing::Fleet => {
                let missing = (1.0 - self.tokens_at(now)).max(0.0);
                time::Duration::from_secs_f64(missing / self.rate_per_s)
            }
            Pacing::Share { instances } => {
                let slot = self.slot(instances, now);
                if slot.is_open && self.used_slot != Some(slot.number) {
                    return time::Duration::ZERO;
                }
                slot.until_next
            }
        }
    }

    /// Uses the allowance for one request.
    pub fn take(&mut self, pacing: Pacing, now: ids::Timestamp) {
        if let Pacing::Share { instances } = pacing {
            self.used_slot = Some(self.slot(instances, now).number);
        }
        self.debit(1.0, now);
    }

    fn debit(&mut self, requests: f64, now: ids::Timestamp) {
        let max_debt = 1.0 + self.rate_per_s * MAX_DEBT_PERIOD_S;
        self.tokens = (self.tokens_at(now) - requests).max(-max_debt);
        self.updated = now;
        self.last_sent = now;
    }

    /// Returns whether the server has had no request for so long that it should get the next one.
    pub fn is_idle(&self, now: ids::Timestamp) -> bool {
        now.saturating_sub(self.last_sent) >= TRICKLE_INTERVAL
    }

    /// Returns the present slot of this instance. The slots of all instances are spread over an
    /// interval in which the server takes one request from each, and one that is not used lapses:
    /// after a silence, instances would else send all at once.
    fn slot(&self, instances: usize, now: ids::Timestamp) -> Slot {
        let instances = instances.max(1) as f64;
        let length_s = 1.0 / (self.rate_per_s * UNGRANTED_SHARE);
        let interval_s = length_s * instances;
        let elapsed_s = now.saturating_sub(self.since).as_secs_f64();
        // The first slot begins up to one interval after the limit was learned.
        let position = elapsed_s / interval_s - self.phase;
        let number = position.floor();
        let into_slot_s = (position - number) * interval_s;
        Slot {
            number: number.max(0.0) as u64,
            is_open: number >= 0.0 && into_slot_s < length_s,
            until_next: time::Duration::from_secs_f64(
                (interval_s - into_slot_s).clamp(MIN_WAIT_S, MAX_WAIT_S),
            ),
        }
    }

    /// Counts a request that `own` sends; one that another instance has granted takes from the
    /// allowance now.
    pub fn count_sent(
        &mut self,
        granter: Option<ids::Incarnation>,
        own: ids::Incarnation,
        now: ids::Timestamp,
    ) {
        self.last_counted = now;
        if granter.is_some_and(|granter| granter != own) {
            self.debit(1.0, now);
        }
        if let Some((_, count)) = self.counts.iter_mut().find(|(known, _)| *known == granter) {
            *count += 1;
            return;
        }
        let granters = self.counts.iter().filter(|(granter, _)| granter.is_some()).count();
        let oldest = self.counts.iter().position(|(granter, _)| granter.is_some());
        if let Some(oldest) = oldest.filter(|_| granters >= MAX_GRANTERS) {
            // A former owner counts the requests that it granted twice, which slows down only it.
            let (_, oldest) = self.counts.remove(oldest);
            match self.counts.iter_mut().find(|(known, _)| known.is_none()) {
                Some((_, ungranted)) => *ungranted += oldest,
                None => self.counts.push((None, oldest)),
            }
        }
        self.counts.push((granter, 1));
    }

    /// Returns when this instance has last counted a request of its own.
    pub fn last_counted(&self) -> ids::Timestamp {
        self.last_counted
    }

    /// Returns the requests that this instance has sent.
    pub fn counts(&self) -> &SendCounts {
        &self.counts
    }

    /// Applies the counts of another instance: what `own` has not granted takes from the allowance.
    pub fn apply_counts(
        &mut self,
        holder: ids::Incarnation,
        counts: &SendCounts,
        own: ids::Incarnation,
        now: ids::Timestamp,
    ) {
        let granted_elsewhere = counts.iter().filter(|(granter, _)| *granter != Some(own));
        let total: u64 = granted_elsewhere.map(|(_, count)| *count).fold(0, u64::saturating_add);
        let known = self.others.entry(holder).or_insert(0);
        let new = total.saturating_sub(*known);
        *known = total.max(*known);
        if new > 0 {
            self.debit(new as f64, now);
        }
    }

    /// Records that an instance knows of the limit.
    pub fn record_keeper(&mut self, keeper: ids::Incarnation, now: ids::Timestamp) {
        self.keepers.insert(keeper, now);
    }

    /// Returns whether an instance has stated recently that it knows of the limit. Older builds do
    /// not know of any, and an owner that has just started may not.
    pub fn is_kept_by(&self, granter: ids::Incarnation, now: ids::Timestamp) -> bool {
        let recorded = self.keepers.get(&granter);
        recorded.is_some_and(|recorded| now.saturating_sub(*recorded) <= KEEPER_VALIDITY)
    }

    /// Forgets what is known of instances for which `is_live` returns `false`.
    pub fn retain_holders<F: Fn(ids::Incarnation) -> bool>(&mut self, is_live: F) {
        self.others.retain(|holder, _| is_live(*holder));
        self.keepers.retain(|keeper, _| is_live(*keeper));
    }
}

/// The bounds of the wait for a slot, in seconds.
const MIN_WAIT_S: f64 = 0.001;
const MAX_WAIT_S: f64 = 3_600.0;

/// A time slot in which an instance may send one request without a grant.
struct Slot {
    number: u64,
    is_open: bool,
    until_next: time::Duration,
}

#[cfg(test)]
mod tests;
