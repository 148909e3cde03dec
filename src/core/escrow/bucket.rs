//! The token bucket for the shares that this instance holds of one workspace.

use std::collections::VecDeque;

use crate::core::escrow::constants;
use crate::core::ids;

/// Identifies one debit of a bucket.
pub type DebitId = u64;

const MICROS_PER_S: u128 = 1_000_000;
const PPM: u128 = 1_000_000;

/// Tokens that were granted to another instance and may still be spent there.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Debit {
    id: DebitId,
    unsettled_microtokens: u64,
    expires_at: ids::Timestamp,
}

/// The part of a bucket that passes with a share to its next holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareBalance {
    /// The level that comes with the share, in millionths of a token.
    pub level_microtokens: u64,
    /// Tokens granted by the former holder that may still be spent, in millionths of a token.
    pub outstanding_microtokens: u64,
}

/// A token bucket whose refill stops where level and outstanding debits reach the capacity.
#[derive(Debug, Clone, Default)]
pub struct Bucket {
    rate_tokens_per_s: u64,
    burst_tokens: u64,
    clock_drift_ppm: u32,
    shares: u64,
    parts: u64,
    level_microtokens: u64,
    outstanding_microtokens: u64,
    debits: VecDeque<Debit>,
    next_debit: DebitId,
    refilled_at: ids::Timestamp,
}

impl Bucket {
    /// Creates an empty bucket without shares, for a limit that is divided into `parts`.
    pub fn new(parts: u64, clock_drift_ppm: u32) -> Self {
        Self { parts: parts.max(1), clock_drift_ppm, ..Self::default() }
    }

    /// Sets the rate and burst of the whole limit.
    pub fn set_limit(&mut self, rate_tokens_per_s: u64, burst_tokens: u64, now: ids::Timestamp) {
        self.refill(now);
        self.rate_tokens_per_s = rate_tokens_per_s;
        self.burst_tokens = burst_tokens;
        self.clamp_level();
    }

    /// Sets the number of equal parts that the whole limit is divided into.
    pub fn set_parts(&mut self, parts: u64, now: ids::Timestamp) {
        self.refill(now);
        self.parts = parts.max(1);
        self.clamp_level();
    }

    /// Adds a share with the balance that its former holder handed over.
    pub fn add_share(&mut self, balance: ShareBalance, now: ids::Timestamp) {
        self.refill(now);
        self.shares += 1;
        self.record_debit(balance.outstanding_microtokens, now);
        self.level_microtokens = self.level_microtokens.saturating_add(balance.level_microtokens);
        self.clamp_level();
    }

    /// Removes one share and returns its part of the level and of the outstanding debits.
    ///
    /// The debits stay in this bucket too, until they are settled or expire.
    pub fn remove_share(&mut self, now: ids::Timestamp) -> ShareBalance {
        self.refill(now);
        if self.shares == 0 {
            return ShareBalance::default();
        }
        let balance = ShareBalance {
            level_microtokens: self.level_microtokens / self.shares,
            outstanding_microtokens: self.outstanding_microtokens.div_ceil(self.shares),
        };
        self.shares -= 1;
        self.level_microtokens -= balance.level_microtokens;
        balance
    }

    /// Drops all shares and the level; debits stay outstanding until they are settled or expire.
    pub fn drop_shares(&mut self) {
        self.shares = 0;
        self.level_microtokens = 0;
    }

    /// Takes tokens that are spent immediately; returns whether the level sufficed.
    pub fn spend(&mut self, tokens: u64, now: ids::Timestamp) -> bool {
        self.refill(now);
        let Some(level) = self.level_microtokens.checked_sub(microtokens(tokens)) else {
            return false;
        };
        self.level_microtokens = level;
        true
    }

    /// Takes tokens that another instance may spend until the grant expires; `None` if the level
    /// does not suffice.
    pub fn debit(&mut self, tokens: u64, now: ids::Timestamp) -> Option<DebitId> {
        if !self.spend(tokens, now) {
            return None;
        }
        Some(self.record_debit(microtokens(tokens), now))
    }

    /// Settles a part of a debit: some of its tokens were spent and some are returned.
    ///
    /// A debit that has expired counts as spent; its tokens cannot be returned.
    pub fn settle(&mut self, id: DebitId, spent: u64, returned: u64, now: ids::Timestamp) {
        self.refill(now);
        let Ok(index) = self.debits.binary_search_by_key(&id, |debit| debit.id) else { return };
        let debit = &mut self.debits[index];
        let spent_microtokens = microtokens(spent).min(debit.unsettled_microtokens);
        debit.unsettled_microtokens -= spent_microtokens;
        let returned_microtokens = microtokens(returned).min(debit.unsettled_microtokens);
        debit.unsettled_microtokens -= returned_microtokens;
        self.outstanding_microtokens -= spent_microtokens + returned_microtokens;
        if self.shares > 0 {
            self.level_microtokens += returned_microtokens;
        }
        self.clamp_level();
    }

    /// Puts back tokens that were reserved and not used; returns those that exceed the free
    /// capacity.
    pub fn credit(&mut self, tokens: u64, now: ids::Timestamp) -> u64 {
        self.refill(now);
        let free_tokens = self.free_capacity() / constants::MICROTOKENS_PER_TOKEN;
        let credited = tokens.min(free_tokens);
        self.level_microtokens += microtokens(credited);
        tokens - credited
    }

    /// Refills the bucket up to `now` and expires debits, each at its own time.
    pub fn refill(&mut self, now: ids::Timestamp) {
        while let Some(debit) = self.debits.front() {
            let expires_at = debit.expires_at;
            let unsettled_microtokens = debit.unsettled_microtokens;
            if unsettled_microtokens > 0 && expires_at > now {
                break;
            }
            if unsettled_microtokens > 0 {
                self.refill_until(expires_at);
                self.outstanding_microtokens -= unsettled_microtokens;
            }
            self.debits.pop_front();
        }
        self.refill_until(now);
    }

    /// Returns the level in whole tokens.
    pub fn level_tokens(&self) -> u64 {
        self.level_microtokens / constants::MICROTOKENS_PER_TOKEN
    }

    /// Returns the level in millionths of a token.
    pub fn level_microtokens(&self) -> u64 {
        self.level_microtokens
    }

    /// Returns the granted tokens that may still be spent, rounded up to whole tokens.
    pub fn outstanding_tokens(&self) -> u64 {
        self.outstanding_microtokens.div_ceil(constants::MICROTOKENS_PER_TOKEN)
    }

    /// Returns the number of shares held.
    pub fn shares(&self) -> u64 {
        self.shares
    }

    /// Returns the capacity of one share in millionths of a token.
    pub fn share_capacity_microtokens(&self) -> u64 {
        microtokens(self.burst_tokens) / self.parts
    }

    /// Returns the refill rate of one share in millionths of a token per second, reduced so that a
    /// clock that runs too fast by `clock_drift_ppm` does not exceed the limit.
    pub fn share_rate_microtokens_per_s(&self) -> u64 {
        let rate = u128::from(microtokens(self.rate_tokens_per_s)) / u128::from(self.parts);
        let safe = rate * PPM / (PPM + u128::from(self.clock_drift_ppm));
        u64::try_from(safe).unwrap_or(u64::MAX)
    }

    fn capacity(&self) -> u64 {
        self.share_capacity_microtokens().saturating_mul(self.shares)
    }

    fn free_capacity(&self) -> u64 {
        let used = self.level_microtokens.saturating_add(self.outstanding_microtokens);
        self.capacity().saturating_sub(used)
    }

    fn clamp_level(&mut self) {
        let most = self.capacity().saturating_sub(self.outstanding_microtokens);
        self.level_microtokens = self.level_microtokens.min(most);
    }

    fn refill_until(&mut self, until: ids::Timestamp) {
        let elapsed = until.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(until);
        let rate = u128::from(self.share_rate_microtokens_per_s()) * u128::from(self.shares);
        let gain = rate.saturating_mul(elapsed.as_micros()) / MICROS_PER_S;
        let gain = u64::try_from(gain).unwrap_or(u64::MAX);
        self.level_microtokens += gain.min(self.free_capacity());
    }

    fn record_debit(&mut self, amount_microtokens: u64, now: ids::Timestamp) -> DebitId {
        let id = self.next_debit;
        self.next_debit += 1;
        self.outstanding_microtokens += amount_microtokens;
        let expires_at = now.max(self.refilled_at) + constants::issuer_grant_ttl();
        self.debits.push_back(Debit { id, unsettled_microtokens: amount_microtokens, expires_at });
        id
    }
}

/// Converts whole tokens to millionths of a token.
pub fn microtokens(tokens: u64) -> u64 {
    tokens.saturating_mul(constants::MICROTOKENS_PER_TOKEN)
}
