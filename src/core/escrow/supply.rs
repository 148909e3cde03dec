//! Estimates what could be had for a workspace, and plans what to pull from quota holders.

use std::time;

use crate::core::collections;
use crate::core::escrow::Escrow;
use crate::core::escrow::account;
use crate::core::escrow::constants;
use crate::core::ids;

const MICROTOKEN_MS_PER_TOKEN_S: u128 = 1_000 * constants::MICROTOKENS_PER_TOKEN as u128;

/// What could be had for a workspace, from this instance's point of view.
pub(super) struct Supply {
    /// The other quota holders that answer.
    pub holders: Vec<Holder>,
    /// Tokens that this instance can grant at once.
    pub ready_tokens: u64,
    /// The refill of all shares that can be reached.
    rate_microtokens_per_s: u64,
}

/// Another quota holder.
pub(super) struct Holder {
    /// Its name.
    pub id: ids::InstanceId,
    /// The shares that it holds according to the view.
    shares: u64,
    /// Tokens that it is likely to have.
    pub tokens: u64,
    /// Whether it has a question to answer.
    pub asked: bool,
}

impl Supply {
    /// Returns all tokens that can be had now.
    pub fn total_tokens(&self) -> u64 {
        self.ready_tokens + self.holders.iter().map(|holder| holder.tokens).sum::<u64>()
    }

    fn idle_tokens(&self) -> u64 {
        self.holders.iter().filter(|holder| !holder.asked).map(|holder| holder.tokens).sum()
    }

    /// Tells whether an answer of a quota holder is awaited.
    pub fn is_asking(&self) -> bool {
        self.holders.iter().any(|holder| holder.asked)
    }

    /// Returns the tokens to wait for beyond the first request's need, so that a workspace over
    /// its rate does not cause a round of messages for each of its requests.
    fn batch_tokens(&self, asked: u64, deadline: ids::Timestamp, now: ids::Timestamp) -> u64 {
        let urgent = time::Duration::from_millis(constants::ASK_TIMEOUT_MS);
        if asked <= self.total_tokens() || deadline <= now + urgent {
            return 0;
        }
        self.refill_tokens(constants::PULL_BATCH_MS)
    }

    fn refill_tokens(&self, time_ms: u64) -> u64 {
        self.rate_microtokens_per_s / 1_000 * time_ms / constants::MICROTOKENS_PER_TOKEN
    }

    /// Returns the time until so many more tokens have been refilled.
    pub fn time_to_refill(&self, tokens: u64) -> Option<time::Duration> {
        let rate = u128::from(self.rate_microtokens_per_s);
        if rate == 0 {
            return None;
        }
        let wait_ms = (u128::from(tokens) * MICROTOKEN_MS_PER_TOKEN_S).div_ceil(rate);
        Some(time::Duration::from_millis(u64::try_from(wait_ms).unwrap_or(u64::MAX)))
    }

    /// Returns how many tokens to pull: for those who wait, if the first of them can be served,
    /// and for the demand of the next moments.
    pub fn wanted_tokens(&self, account: &account::Account, now: ids::Timestamp) -> u64 {
        let ahead = account.demand.tokens_per_s(now) / constants::PREFETCH_FRACTION;
        let ready = self.ready_tokens;
        let Some(first) = account.queue.front() else {
            return if self.is_low(account, ahead, now) { ahead } else { 0 };
        };
        let asked: u64 = account.queue.iter().map(|queued| queued.tokens).sum();
        let least = first.tokens + self.batch_tokens(asked, first.deadline, now);
        if least > ready + self.idle_tokens() {
            return 0;
        }
        (asked + ahead).saturating_sub(ready)
    }

    /// Tells whether to pull `ahead` tokens although nobody waits.
    fn is_low(&self, account: &account::Account, ahead: u64, now: ids::Timestamp) -> bool {
        if self.is_asking() || account.pooled_tokens(now) >= ahead {
            return false;
        }
        if ahead.min(self.idle_tokens()) < self.refill_tokens(constants::PULL_BATCH_MS) {
            return false;
        }
        self.ready_tokens < ahead / 2 || self.is_uneven(account)
    }

    /// Tells whether another quota holder is much fuller than this instance. A full bucket does
    /// not refill, so that uneven levels would cost a part of the rate.
    fn is_uneven(&self, account: &account::Account) -> bool {
        let shares = account.bucket.shares();
        if shares == 0 {
            return false;
        }
        let own = account.bucket.level_tokens() / shares;
        let capacity = account.bucket.share_capacity_microtokens();
        let gap = capacity / constants::MICROTOKENS_PER_TOKEN / constants::UNEVEN_FRACTION;
        let levels = self.holders.iter().map(|holder| holder.tokens / holder.shares);
        levels.max().is_some_and(|most| most > own + gap)
    }
}

impl Escrow {
    /// Returns what could be had for a workspace.
    pub(super) fn supply(&self, account: &account::Account, now: ids::Timestamp) -> Supply {
        let mut shares: collections::Map<&ids::InstanceId, u64> = collections::Map::default();
        for holder in account.holders.iter().filter(|holder| **holder != self.own) {
            *shares.entry(holder).or_default() += 1;
        }
        let mut rate = account.bucket.shares();
        let mut holders = Vec::new();
        for id in account.brokers() {
            let Some(count) = shares.get(&id).copied() else { continue };
            if self.is_suspect(&id, now) {
                continue;
            }
            rate += count;
            let tokens = expected_tokens(account, &id, count, now);
            let mut pulls = account.pulls.values();
            let asked = pulls.any(|pull| pull.holder == id && !pull.overdue);
            holders.push(Holder { id, shares: count, tokens, asked });
        }
        Supply {
            holders,
            ready_tokens: account.pooled_tokens(now) + account.bucket.level_tokens(),
            rate_microtokens_per_s: rate * account.bucket.share_rate_microtokens_per_s(),
        }
    }
}

/// Returns what a quota holder is likely to have, refilled since its last answer.
fn expected_tokens(
    account: &account::Account,
    holder: &ids::InstanceId,
    shares: u64,
    now: ids::Timestamp,
) -> u64 {
    let capacity = account.bucket.share_capacity_microtokens() * shares;
    let capacity_tokens = capacity / constants::MICROTOKENS_PER_TOKEN;
    let Some(estimate) = account.estimates.get(holder) else { return capacity_tokens };
    let elapsed_ms = now.saturating_sub(estimate.at).as_millis();
    let rate = u128::from(account.bucket.share_rate_microtokens_per_s() * shares);
    let refilled = rate * elapsed_ms / MICROTOKEN_MS_PER_TOKEN_S;
    let refilled_tokens = u64::try_from(refilled).unwrap_or(u64::MAX);
    estimate.left_tokens.saturating_add(refilled_tokens).min(capacity_tokens)
}
