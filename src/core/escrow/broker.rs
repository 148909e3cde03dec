//! Grants tokens to those who wait, from the shares held here and from other quota holders.

use std::cmp;
use std::time;

use crate::core::escrow::account;
use crate::core::escrow::bucket;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::settings;
use crate::core::escrow::{Effect, Escrow, Refusal};
use crate::core::ids;

/// Tokens that were granted to another instance, and where they came from.
#[derive(Debug, Clone)]
pub(super) struct Grant {
    workspace: ids::WorkspaceId,
    parts: Vec<Part>,
    settled: message::Settled,
    expires_at: ids::Timestamp,
}

/// A part of a grant.
#[derive(Debug, Clone)]
struct Part {
    source: Source,
    open_tokens: u64,
}

/// Where a part of a grant came from.
#[derive(Debug, Clone)]
enum Source {
    /// The bucket of this instance.
    Bucket(bucket::DebitId),
    /// A lot pulled from a quota holder.
    Lot(message::Number),
}

impl Escrow {
    /// Puts a request for tokens into the queue of this broker.
    pub(super) fn enqueue(
        &mut self,
        account: &mut account::Account,
        queued: account::Queued,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if account.queue.len() >= constants::MAX_QUEUED {
            let refusal = (constants::RESERVE_WAIT_MS, Refusal::QueueFull);
            self.deny(account, queued.origin, refusal, effects);
            return;
        }
        let origin = queued.origin.clone();
        account.queue.push_back(queued);
        self.serve(account, now, effects);
        let account::Origin::Peer(to, number) = origin else { return };
        let waits = |queued: &account::Queued| is_from(queued, &to, number);
        if account.queue.iter().any(waits) {
            effects.push(Effect::Send { to, message: message::Message::Queued { number } });
        }
    }

    /// Takes a question of another instance, once.
    pub(super) fn asked(
        &mut self,
        workspace: &ids::WorkspaceId,
        queued: account::Queued,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let account::Origin::Peer(from, number) = queued.origin.clone() else { return };
        let granted = self.grants.contains_key(&(from.clone(), number));
        if !self.may_act(now) || granted || queued.tokens == 0 {
            return;
        }
        let refused = self.with_account(workspace, |escrow, account| {
            if queued.tokens > account.most_tokens() {
                return Some(Refusal::OverBurst);
            }
            if !account.queue.iter().any(|queued| is_from(queued, &from, number)) {
                escrow.enqueue(account, queued, now, effects);
            }
            None
        });
        if let Some(reason) = refused.unwrap_or(Some(Refusal::NoLimitConfigured)) {
            let message = message::Message::Deny { number, retry_after_ms: 0, reason };
            effects.push(Effect::Send { to: from, message });
        }
    }

    /// Takes a quota holder's answer to a pull.
    pub(super) fn pull_answered(
        &mut self,
        from: &ids::InstanceId,
        answer: (message::Number, u64, u64),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let mut accounts = self.accounts.values();
        let pulling = accounts
            .find(|account| account.pulls.get(&answer.0).is_some_and(|pull| pull.holder == *from));
        let Some(workspace) = pulling.map(|account| account.limit.workspace.clone()) else {
            return;
        };
        self.with_account(&workspace, |escrow, account| {
            escrow.pulled(account, answer, now, effects);
        });
    }

    /// Grants what can be granted, denies what is hopeless, and pulls what is missing.
    pub(super) fn serve(
        &mut self,
        account: &mut account::Account,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        account.bucket.refill(now);
        if !self.may_act(now) {
            return;
        }
        while let Some(queued) = account.queue.pop_front() {
            if !self.grant(account, &queued, now, effects) {
                account.queue.push_front(queued);
                break;
            }
        }
        self.deny_hopeless(account, now, effects);
        self.pull(account, now, effects);
    }

    /// Answers a broker that asks for tokens of the shares held here.
    pub(super) fn pulled_from(
        &mut self,
        account: &mut account::Account,
        from: ids::InstanceId,
        (number, tokens): (message::Number, u64),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        account.bucket.refill(now);
        if !self.may_act(now) || self.grants.contains_key(&(from.clone(), number)) {
            return;
        }
        let waiting = account.queue.iter().map(|queued| queued.tokens).sum();
        let spare_tokens = account.bucket.level_tokens().saturating_sub(waiting);
        let tokens = tokens.min(spare_tokens);
        if tokens > 0 {
            if self.grant_order.len() >= constants::MAX_GRANTS {
                return;
            }
            let Some(debit) = account.bucket.debit(tokens, now) else { return };
            let part = Part { source: Source::Bucket(debit), open_tokens: tokens };
            self.remember_grant(account, (from.clone(), number), vec![part], now);
        }
        let left_tokens = account.bucket.level_tokens();
        let message = message::Message::Pulled { number, tokens, left_tokens };
        effects.push(Effect::Send { to: from, message });
    }

    /// Takes tokens that a quota holder gave.
    pub(super) fn pulled(
        &mut self,
        account: &mut account::Account,
        (number, tokens, left_tokens): (message::Number, u64, u64),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pull) = account.pulls.remove(&number) else { return };
        let estimate = account::Estimate { left_tokens, at: now };
        account.estimates.insert(pull.holder.clone(), estimate);
        self.trust(&pull.holder);
        let expires_at = pull.sent_at + constants::grant_ttl();
        if tokens > 0 && expires_at > now {
            account.lots.push(account::Lot {
                holder: pull.holder,
                number,
                given_tokens: tokens,
                free_tokens: tokens,
                settled: message::Settled { number, ..message::Settled::default() },
                expires_at,
            });
        }
        self.serve(account, now, effects);
    }

    /// Takes a report on a grant.
    pub(super) fn settled(
        &mut self,
        from: &ids::InstanceId,
        settled: message::Settled,
        now: ids::Timestamp,
    ) {
        let key = (from.clone(), settled.number);
        let Some(mut grant) = self.grants.remove(&key) else { return };
        let workspace = grant.workspace.clone();
        self.with_account(&workspace, |escrow, account| {
            escrow.settle_parts(account, &mut grant, settled, now);
        });
        if grant.parts.iter().any(|part| part.open_tokens > 0) {
            self.grants.insert(key, grant);
        }
    }

    /// Gives back pulled tokens that were not needed, and forgets what has expired.
    pub(super) fn tidy(&mut self, account: &mut account::Account, now: ids::Timestamp) {
        let mut lots = std::mem::take(&mut account.lots);
        for lot in lots.iter_mut().filter(|lot| lot.free_tokens > 0 && !lot.is_usable(now)) {
            lot.settled.returned_tokens += std::mem::take(&mut lot.free_tokens);
            self.report(&lot.holder, lot.settled, now);
        }
        lots.retain(|lot| lot.expires_at > now && lot.is_open());
        account.lots = lots;
        let timeout = time::Duration::from_millis(constants::ASK_TIMEOUT_MS);
        let mut silent = Vec::new();
        for pull in account.pulls.values_mut().filter(|pull| !pull.overdue) {
            if pull.sent_at + timeout <= now {
                pull.overdue = true;
                silent.push(pull.holder.clone());
            }
        }
        account.pulls.retain(|_, pull| pull.sent_at + constants::grant_ttl() > now);
        silent.iter().for_each(|holder| self.suspect(holder, now));
    }

    /// Forgets grants that have expired.
    pub(super) fn expire_grants(&mut self, now: ids::Timestamp) {
        while let Some((expires_at, key)) = self.grant_order.front() {
            if *expires_at > now {
                return;
            }
            self.grants.remove(key);
            self.grant_order.pop_front();
        }
    }

    fn grant(
        &mut self,
        account: &mut account::Account,
        queued: &account::Queued,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let pooled = account.pooled_tokens(now).min(queued.tokens);
        let own = queued.tokens - pooled;
        if own > account.bucket.level_tokens() || self.grant_order.len() >= constants::MAX_GRANTS {
            return false;
        }
        account.demand.add(queued.tokens, now);
        match &queued.origin {
            account::Origin::Own(request) => {
                account.bucket.spend(own, now);
                for part in self.take_lots(account, pooled, now) {
                    self.settle_lot(account, &part.source, (part.open_tokens, 0), now);
                }
                self.admit(account, *request, effects);
            }
            account::Origin::Peer(to, number) => {
                let mut parts = self.take_lots(account, pooled, now);
                let ttl = self.ttl_of(account, &parts, now);
                if let Some(debit) = account.bucket.debit(own, now).filter(|_| own > 0) {
                    parts.push(Part { source: Source::Bucket(debit), open_tokens: own });
                }
                self.remember_grant(account, (to.clone(), *number), parts, now);
                let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
                let message = message::Message::Grant { number: *number, ttl_ms };
                effects.push(Effect::Send { to: to.clone(), message });
            }
        }
        true
    }

    fn take_lots(
        &self,
        account: &mut account::Account,
        tokens: u64,
        now: ids::Timestamp,
    ) -> Vec<Part> {
        let mut missing = tokens;
        let mut parts = Vec::new();
        for lot in account.lots.iter_mut().filter(|lot| lot.is_usable(now)) {
            let taken = lot.free_tokens.min(missing);
            lot.free_tokens -= taken;
            missing -= taken;
            if taken > 0 {
                parts.push(Part { source: Source::Lot(lot.number), open_tokens: taken });
            }
        }
        parts
    }

    fn ttl_of(
        &self,
        account: &account::Account,
        parts: &[Part],
        now: ids::Timestamp,
    ) -> time::Duration {
        let numbers: Vec<_> = parts.iter().filter_map(|part| part.source.lot()).collect();
        let lots = account.lots.iter().filter(|lot| numbers.contains(&lot.number));
        let lives = lots.map(|lot| lot.expires_at.saturating_sub(now));
        lives.min().unwrap_or(constants::grant_ttl())
    }

    fn remember_grant(
        &mut self,
        account: &account::Account,
        key: (ids::InstanceId, message::Number),
        parts: Vec<Part>,
        now: ids::Timestamp,
    ) {
        let expires_at = now + constants::giver_ttl();
        let settled = message::Settled { number: key.1, ..message::Settled::default() };
        let workspace = account.limit.workspace.clone();
        self.grants.insert(key.clone(), Grant { workspace, parts, settled, expires_at });
        self.grant_order.push_back((expires_at, key));
    }

    fn settle_parts(
        &mut self,
        account: &mut account::Account,
        grant: &mut Grant,
        settled: message::Settled,
        now: ids::Timestamp,
    ) {
        if grant.expires_at <= now {
            return;
        }
        let known = grant.settled;
        let mut spent = settled.spent_tokens.saturating_sub(known.spent_tokens);
        let mut returned = settled.returned_tokens.saturating_sub(known.returned_tokens);
        grant.settled.spent_tokens = known.spent_tokens.max(settled.spent_tokens);
        grant.settled.returned_tokens = known.returned_tokens.max(settled.returned_tokens);
        for part in &mut grant.parts {
            let part_spent = spent.min(part.open_tokens);
            part.open_tokens -= part_spent;
            spent -= part_spent;
            let part_returned = returned.min(part.open_tokens);
            part.open_tokens -= part_returned;
            returned -= part_returned;
            self.settle_part(account, &part.source, (part_spent, part_returned), now);
        }
    }

    fn settle_part(
        &mut self,
        account: &mut account::Account,
        source: &Source,
        (spent, returned): (u64, u64),
        now: ids::Timestamp,
    ) {
        match source {
            Source::Bucket(debit) => account.bucket.settle(*debit, spent, returned, now),
            Source::Lot(_) => self.settle_lot(account, source, (spent, returned), now),
        }
    }

    fn settle_lot(
        &mut self,
        account: &mut account::Account,
        source: &Source,
        (spent, returned): (u64, u64),
        now: ids::Timestamp,
    ) {
        let Some(number) = source.lot() else { return };
        let Some(index) = account.lots.iter().position(|lot| lot.number == number) else { return };
        let lot = &mut account.lots[index];
        lot.settled.spent_tokens += spent;
        lot.free_tokens += returned;
        let lot = lot.clone();
        if !lot.is_open() {
            account.lots.remove(index);
            self.report(&lot.holder, lot.settled, now);
        } else if spent > 0 {
            let delay_ms = constants::OPEN_LOT_REPORT_DELAY_MS;
            self.report_within(delay_ms, &lot.holder, lot.settled, now);
        }
    }

    fn deny_hopeless(
        &mut self,
        account: &mut account::Account,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if account.queue.is_empty() {
            return;
        }
        let supply = self.supply(account, now);
        let total = supply.total_tokens();
        let mut ahead = 0;
        let queue = std::mem::take(&mut account.queue);
        for queued in queue {
            let missing = (ahead + queued.tokens).saturating_sub(total);
            let wait = supply.time_to_refill(missing);
            let late = wait.is_some_and(|wait| now + wait > queued.deadline);
            if queued.deadline <= now || (late && !supply.is_asking()) {
                let reason = wait.map_or(Refusal::Unreachable, |_| Refusal::OverRate);
                let retry = wait.unwrap_or(time::Duration::from_millis(constants::SUSPECT_MS));
                let retry_ms = u64::try_from(retry.as_millis()).unwrap_or(u64::MAX);
                self.deny(account, queued.origin, (retry_ms.max(1), reason), effects);
            } else {
                ahead += queued.tokens;
                account.queue.push_back(queued);
            }
        }
    }

    fn deny(
        &mut self,
        account: &mut account::Account,
        origin: account::Origin,
        (retry_after_ms, reason): (u64, Refusal),
        effects: &mut Vec<Effect>,
    ) {
        match origin {
            account::Origin::Own(request) => {
                self.refuse(account, request, (retry_after_ms, reason), effects);
            }
            account::Origin::Peer(to, number) => {
                let message = message::Message::Deny { number, retry_after_ms, reason };
                effects.push(Effect::Send { to, message });
            }
        }
    }

    fn pull(
        &mut self,
        account: &mut account::Account,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.settings.policy == settings::Policy::EqualSplit {
            return;
        }
        if account.queue.is_empty() && account.demand.tokens_per_s(now) == 0 {
            return;
        }
        let mut supply = self.supply(account, now);
        let mut wanted = supply.wanted_tokens(account, now);
        supply.holders.retain(|holder| !holder.asked && holder.tokens > 0);
        supply.holders.sort_by_key(|holder| cmp::Reverse(holder.tokens));
        for holder in supply.holders {
            let tokens = wanted.min(holder.tokens);
            if tokens == 0 {
                return;
            }
            wanted -= tokens;
            self.send_pull(account, &holder.id, tokens, now, effects);
        }
    }

    fn send_pull(
        &mut self,
        account: &mut account::Account,
        holder: &ids::InstanceId,
        tokens: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let number = self.draw_number();
        let pull = account::Pull { holder: holder.clone(), sent_at: now, overdue: false };
        account.pulls.insert(number, pull);
        let workspace = account.limit.workspace.clone();
        let message = message::Message::Pull { number, workspace, tokens };
        effects.push(Effect::Send { to: holder.clone(), message });
    }
}

impl Source {
    fn lot(&self) -> Option<message::Number> {
        match self {
            Source::Lot(number) => Some(*number),
            Source::Bucket(_) => None,
        }
    }
}

/// Tells whether a queue entry stands for a question of another instance.
fn is_from(queued: &account::Queued, from: &ids::InstanceId, number: message::Number) -> bool {
    matches!(&queued.origin, account::Origin::Peer(id, n) if id == from && *n == number)
}
