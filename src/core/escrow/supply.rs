//! Estimates the tokens that a broker can obtain for a workspace, and how many to pull.

use std::time;

use crate::core::collections;
use crate::core::escrow::Escrow;
use crate::core::escrow::account;
use crate::core::escrow::constants;
use crate::core::ids;

const MICROTOKEN_MS_PER_TOKEN_S: u128 = 1_000 * constants::MICROTOKENS_PER_TOKEN as u128;

/// The tokens that this instance can obtain for a workspace, as far as it knows.
pub(super) struct Supply {
    /// The other quota holders that are not marked as unresponsive.
    pub holders: Vec<Holder>,
    /// Tokens that this instance can grant immediately.
    pub available_tokens: u64,
    /// The refill rate of all shares of this instance and of `holders`.
    rate_microtokens_per_s: u64,
}

/// Another quota holder of the workspace.
pub(super) struct Holder {
    /// Its name.
    pub id: ids::InstanceId,
    /// The number of shares that it is to hold according to the view.
    shares: u64,
    /// Its estimated level in tokens.
    pub tokens: u64,
    /// Whether a pull that was sent to it has neither been answered nor timed out.
    pub has_pending_pull: bool,
}

impl Supply {
    /// Returns all tokens that are estimated to be available now.
    pub fn total_tokens(&self) -> u64 {
        self.available_tokens + self.holders.iter().map(|holder| holder.tokens).sum::<u64>()
    }

    /// Returns the estimated tokens of holders without an open pull.
    fn pullable_tokens(&self) -> u64 {
        self.holders
            .iter()
            .filter(|holder| !holder.has_pending_pull)
            .map(|holder| holder.tokens)
            .sum()
    }

    /// Returns whether a pull is open.
    pub fn is_awaiting_pulls(&self) -> bool {
        self.holders.iter().any(|holder| holder.has_pending_pull)
    }

    /// Returns the tokens that must be available beyond the need of the first request before a pull
    /// is sent, so that a workspace over its rate does not cause pulls for each of its requests.
    fn batch_tokens(
        &self,
        queued_tokens: u64,
        deadline: ids::Timestamp,
        now: ids::Timestamp,
    ) -> u64 {
        let urgent = time::Duration::from_millis(constants::ANSWER_TIMEOUT_MS);
        if queued_tokens <= self.total_tokens() || deadline <= now + urgent {
            return 0;
        }
        self.refill_tokens(constants::PULL_BATCH_MS)
    }

    /// Returns the refill of all shares of this instance and of `holders` in some time.
    fn refill_tokens(&self, time_ms: u64) -> u64 {
        self.rate_microtokens_per_s / 1_000 * time_ms / constants::MICROTOKENS_PER_TOKEN
    }

    /// Returns the time until `tokens` more are refilled; `None` if nothing is refilled.
    pub fn time_to_refill(&self, tokens: u64) -> Option<time::Duration> {
        let rate = u128::from(self.rate_microtokens_per_s);
        if rate == 0 {
            return None;
        }
        let wait_ms = (u128::from(tokens) * MICROTOKEN_MS_PER_TOKEN_S).div_ceil(rate);
        Some(time::Duration::from_millis(u64::try_from(wait_ms).unwrap_or(u64::MAX)))
    }

    /// Returns how many tokens to pull: those for the queued requests, if the first of them can be
    /// granted with them, and a prefetch according to recent demand.
    pub fn tokens_to_pull(&self, account: &account::Account, now: ids::Timestamp) -> u64 {
        let prefetch = account.demand.tokens_per_s(now) / constants::PREFETCH_DIVISOR;
        let available = self.available_tokens;
        let Some(first) = account.queue.front() else {
            return if self.should_prefetch(account, prefetch, now) { prefetch } else { 0 };
        };
        let queued_tokens: u64 = account.queue.iter().map(|queued| queued.tokens).sum();
        let min_tokens = first.tokens + self.batch_tokens(queued_tokens, first.deadline, now);
        if min_tokens > available + self.pullable_tokens() {
            return 0;
        }
        (queued_tokens + prefetch).saturating_sub(available)
    }

    /// Returns whether to pull `prefetch` tokens although no request is queued.
    fn should_prefetch(
        &self,
        account: &account::Account,
        prefetch: u64,
        now: ids::Timestamp,
    ) -> bool {
        if self.is_awaiting_pulls() || account.pooled_tokens(now) >= prefetch {
            return false;
        }
        if prefetch.min(self.pullable_tokens()) < self.refill_tokens(constants::PULL_BATCH_MS) {
            return false;
        }
        self.available_tokens < prefetch / 2 || self.is_unbalanced(account)
    }

    /// Returns whether another quota holder has a much higher level for each of its shares than
    /// this instance. A full bucket does not refill, so uneven levels would lose a part of the
    /// rate.
    fn is_unbalanced(&self, account: &account::Account) -> bool {
        let shares = account.bucket.shares();
        if shares == 0 {
            return false;
        }
        let own = account.bucket.level_tokens() / shares;
        let capacity = account.bucket.share_capacity_microtokens();
        let gap = capacity / constants::MICROTOKENS_PER_TOKEN / constants::IMBALANCE_DIVISOR;
        let levels = self.holders.iter().map(|holder| holder.tokens / holder.shares);
        levels.max().is_some_and(|most| most > own + gap)
    }
}

impl Escrow {
    /// Returns the supply of a workspace.
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
            let tokens = estimated_tokens(account, &id, count, now);
            let mut pulls = account.pulls.values();
            let has_pending_pull = pulls.any(|pull| pull.holder == id && !pull.overdue);
            holders.push(Holder { id, shares: count, tokens, has_pending_pull });
        }
        Supply {
            holders,
            available_tokens: account.pooled_tokens(now) + account.bucket.level_tokens(),
            rate_microtokens_per_s: rate * account.bucket.share_rate_microtokens_per_s(),
        }
    }
}

/// Estimates the level of a quota holder: its last reported level and the refill since then, or its
/// full capacity if it has not reported any.
fn estimated_tokens(
    account: &account::Account,
    holder: &ids::InstanceId,
    shares: u64,
    now: ids::Timestamp,
) -> u64 {
    let capacity = account.bucket.share_capacity_microtokens() * shares;
    let capacity_tokens = capacity / constants::MICROTOKENS_PER_TOKEN;
    let Some(reported) = account.reported_levels.get(holder) else { return capacity_tokens };
    let elapsed_ms = now.saturating_sub(reported.received_at).as_millis();
    let rate = u128::from(account.bucket.share_rate_microtokens_per_s() * shares);
    let refilled = rate * elapsed_ms / MICROTOKEN_MS_PER_TOKEN_S;
    let refilled_tokens = u64::try_from(refilled).unwrap_or(u64::MAX);
    reported.level_tokens.saturating_add(refilled_tokens).min(capacity_tokens)
}
