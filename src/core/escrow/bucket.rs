//! The token bucket for the shares that this instance holds of one workspace.

use std::collections::VecDeque;

use crate::core::escrow::constants;
use crate::core::ids;

/// Names one debit of a bucket.
pub type DebitId = u64;

const MICROS_PER_S: u128 = 1_000_000;
const PPM: u128 = 1_000_000;

/// Tokens that were given away and may still be spent.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Debit {
    id: DebitId,
    left_microtokens: u64,
    expires_at: ids::Timestamp,
}

/// What passes with a share from one holder to the next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Portion {
    /// The level that comes with the share, in millionths of a token.
    pub level_microtokens: u64,
    /// What the former holder gave away and what may still be spent, in millionths of a token.
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
    /// Creates an empty bucket without shares of a limit that is divided into `parts`.
    pub fn new(parts: u64, clock_drift_ppm: u32) -> Self {
        Self { parts: parts.max(1), clock_drift_ppm, ..Self::default() }
    }

    /// Sets the whole limit that the shares are parts of.
    pub fn limit(&mut self, rate_tokens_per_s: u64, burst_tokens: u64, now: ids::Timestamp) {
        self.refill(now);
        self.rate_tokens_per_s = rate_tokens_per_s;
        self.burst_tokens = burst_tokens;
        self.clamp();
    }

    /// Sets the number of equal parts that the whole limit is divided into.
    pub fn divide(&mut self, parts: u64, now: ids::Timestamp) {
        self.refill(now);
        self.parts = parts.max(1);
        self.clamp();
    }

    /// Adds a share with what its former holder passed on.
    pub fn add_share(&mut self, portion: Portion, now: ids::Timestamp) {
        self.refill(now);
        self.shares += 1;
        self.record(portion.outstanding_microtokens, now);
        self.level_microtokens = self.level_microtokens.saturating_add(portion.level_microtokens);
        self.clamp();
    }

    /// Takes one share out and returns what its next holder needs to know.
    pub fn remove_share(&mut self, now: ids::Timestamp) -> Portion {
        self.refill(now);
        if self.shares == 0 {
            return Portion::default();
        }
        let portion = Portion {
            level_microtokens: self.level_microtokens / self.shares,
            outstanding_microtokens: self.outstanding_microtokens.div_ceil(self.shares),
        };
        self.shares -= 1;
        self.level_microtokens -= portion.level_microtokens;
        portion
    }

    /// Drops all shares and the level; outstanding debits are remembered until they expire.
    pub fn forfeit(&mut self) {
        self.shares = 0;
        self.level_microtokens = 0;
    }

    /// Takes tokens for spending at once.
    pub fn spend(&mut self, tokens: u64, now: ids::Timestamp) -> bool {
        self.refill(now);
        let Some(level) = self.level_microtokens.checked_sub(microtokens(tokens)) else {
            return false;
        };
        self.level_microtokens = level;
        true
    }

    /// Takes tokens that another instance may spend until the grant expires.
    pub fn debit(&mut self, tokens: u64, now: ids::Timestamp) -> Option<DebitId> {
        if !self.spend(tokens, now) {
            return None;
        }
        Some(self.record(microtokens(tokens), now))
    }

    /// Ends a part of a debit: tokens that were spent and tokens that come back.
    ///
    /// A debit that has expired counts as spent, and nothing comes back.
    pub fn settle(&mut self, id: DebitId, spent: u64, returned: u64, now: ids::Timestamp) {
        self.refill(now);
        let Ok(index) = self.debits.binary_search_by_key(&id, |debit| debit.id) else { return };
        let debit = &mut self.debits[index];
        let spent_microtokens = microtokens(spent).min(debit.left_microtokens);
        debit.left_microtokens -= spent_microtokens;
        let returned_microtokens = microtokens(returned).min(debit.left_microtokens);
        debit.left_microtokens -= returned_microtokens;
        self.outstanding_microtokens -= spent_microtokens + returned_microtokens;
        if self.shares > 0 {
            self.level_microtokens += returned_microtokens;
        }
        self.clamp();
    }

    /// Puts tokens back that were reserved and not used; returns those that find no room.
    pub fn credit(&mut self, tokens: u64, now: ids::Timestamp) -> u64 {
        self.refill(now);
        let room_tokens = self.room() / constants::MICROTOKENS_PER_TOKEN;
        let credited = tokens.min(room_tokens);
        self.level_microtokens += microtokens(credited);
        tokens - credited
    }

    /// Adds what has become available since the last call, and expires debits on the way.
    pub fn refill(&mut self, now: ids::Timestamp) {
        while let Some(debit) = self.debits.front() {
            let expires_at = debit.expires_at;
            let left_microtokens = debit.left_microtokens;
            if left_microtokens > 0 && expires_at > now {
                break;
            }
            if left_microtokens > 0 {
                self.gain_until(expires_at);
                self.outstanding_microtokens -= left_microtokens;
            }
            self.debits.pop_front();
        }
        self.gain_until(now);
    }

    /// Returns the whole tokens that can be taken.
    pub fn level_tokens(&self) -> u64 {
        self.level_microtokens / constants::MICROTOKENS_PER_TOKEN
    }

    /// Returns the level in millionths of a token.
    pub fn level_microtokens(&self) -> u64 {
        self.level_microtokens
    }

    /// Returns what has been given away and may still be spent, in whole tokens.
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

    /// Returns the refill of one share in millionths of a token a second, for a clock that may be
    /// too fast.
    pub fn share_rate_microtokens_per_s(&self) -> u64 {
        let rate = u128::from(microtokens(self.rate_tokens_per_s)) / u128::from(self.parts);
        let safe = rate * PPM / (PPM + u128::from(self.clock_drift_ppm));
        u64::try_from(safe).unwrap_or(u64::MAX)
    }

    fn capacity(&self) -> u64 {
        self.share_capacity_microtokens().saturating_mul(self.shares)
    }

    fn room(&self) -> u64 {
        let used = self.level_microtokens.saturating_add(self.outstanding_microtokens);
        self.capacity().saturating_sub(used)
    }

    fn clamp(&mut self) {
        let most = self.capacity().saturating_sub(self.outstanding_microtokens);
        self.level_microtokens = self.level_microtokens.min(most);
    }

    fn gain_until(&mut self, until: ids::Timestamp) {
        let elapsed = until.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(until);
        let rate = u128::from(self.share_rate_microtokens_per_s()) * u128::from(self.shares);
        let gain = rate.saturating_mul(elapsed.as_micros()) / MICROS_PER_S;
        let gain = u64::try_from(gain).unwrap_or(u64::MAX);
        self.level_microtokens += gain.min(self.room());
    }

    fn record(&mut self, amount_microtokens: u64, now: ids::Timestamp) -> DebitId {
        let id = self.next_debit;
        self.next_debit += 1;
        self.outstanding_microtokens += amount_microtokens;
        let expires_at = now.max(self.refilled_at) + constants::giver_ttl();
        self.debits.push_back(Debit { id, left_microtokens: amount_microtokens, expires_at });
        id
    }
}

/// Converts whole tokens to millionths of a token.
pub fn microtokens(tokens: u64) -> u64 {
    tokens.saturating_mul(constants::MICROTOKENS_PER_TOKEN)
}
