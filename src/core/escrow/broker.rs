//! The broker of a workspace: grants tokens to queued requests, from the bucket of this instance
//! and from tokens pulled from other quota holders.

use std::cmp;
use std::time;

use crate::core::escrow::account;
use crate::core::escrow::bucket;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::settings;
use crate::core::escrow::{Effect, Escrow, Refusal};
use crate::core::ids;

/// Tokens that were granted to another instance, and their sources.
#[derive(Debug, Clone)]
pub(super) struct Grant {
    workspace: ids::WorkspaceId,
    parts: Vec<GrantPart>,
    settled: message::GrantOutcome,
    expires_at: ids::Timestamp,
}

/// The tokens of a grant that come from one source.
#[derive(Debug, Clone)]
struct GrantPart {
    source: Source,
    unsettled_tokens: u64,
}

/// The source of a part of a grant.
#[derive(Debug, Clone)]
enum Source {
    /// The bucket of this instance.
    Bucket(bucket::DebitId),
    /// Tokens pulled from a quota holder, by the number of the pull.
    PulledGrant(message::Number),
}

impl Escrow {
    /// Adds a request for tokens to the queue of this broker, and confirms it to another instance
    /// if it has to wait.
    pub(super) fn enqueue(
        &mut self,
        account: &mut account::Account,
        queued: account::QueuedRequest,
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
        self.serve_queue(account, now, effects);
        let account::Origin::Peer(to, number) = origin else { return };
        let waits = |queued: &account::QueuedRequest| is_request_of(queued, &to, number);
        if account.queue.iter().any(waits) {
            effects.push(Effect::Send { to, message: message::Message::Queued { number } });
        }
    }

    /// Handles a token request of another instance; a repeated one is ignored.
    pub(super) fn receive_token_request(
        &mut self,
        workspace: &ids::WorkspaceId,
        queued: account::QueuedRequest,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let account::Origin::Peer(from, number) = queued.origin.clone() else { return };
        let granted = self.grants.contains_key(&(from.clone(), number));
        if !self.is_valid(now) || granted || queued.tokens == 0 {
            return;
        }
        let refused = self.with_account(workspace, |escrow, account| {
            if queued.tokens > account.max_request_tokens() {
                return Some(Refusal::OverBurst);
            }
            if !account.queue.iter().any(|queued| is_request_of(queued, &from, number)) {
                escrow.enqueue(account, queued, now, effects);
            }
            None
        });
        if let Some(reason) = refused.unwrap_or(Some(Refusal::NoLimitConfigured)) {
            let message = message::Message::Deny { number, retry_after_ms: 0, reason };
            effects.push(Effect::Send { to: from, message });
        }
    }

    /// Handles a quota holder's answer to a pull.
    pub(super) fn receive_pull_reply(
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
            escrow.take_pulled_tokens(account, answer, now, effects);
        });
    }

    /// Grants queued requests in order, denies those that cannot be granted before their deadlines,
    /// and pulls the tokens that are missing.
    pub(super) fn serve_queue(
        &mut self,
        account: &mut account::Account,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        account.bucket.refill(now);
        if !self.is_valid(now) {
            return;
        }
        while let Some(queued) = account.queue.pop_front() {
            if !self.try_grant(account, &queued, now, effects) {
                account.queue.push_front(queued);
                break;
            }
        }
        self.deny_unservable(account, now, effects);
        self.send_pulls(account, now, effects);
    }

    /// Answers a pull of another broker with tokens that no request in the queue here needs.
    pub(super) fn answer_pull(
        &mut self,
        account: &mut account::Account,
        from: ids::InstanceId,
        (number, tokens): (message::Number, u64),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        account.bucket.refill(now);
        if !self.is_valid(now) || self.grants.contains_key(&(from.clone(), number)) {
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
            let part = GrantPart { source: Source::Bucket(debit), unsettled_tokens: tokens };
            self.record_grant(account, (from.clone(), number), vec![part], now);
        }
        let remaining_tokens = account.bucket.level_tokens();
        let message = message::Message::PullReply { number, tokens, remaining_tokens };
        effects.push(Effect::Send { to: from, message });
    }

    /// Adds the tokens of a quota holder's answer, and serves the queue with them.
    pub(super) fn take_pulled_tokens(
        &mut self,
        account: &mut account::Account,
        (number, tokens, level_tokens): (message::Number, u64, u64),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pull) = account.pulls.remove(&number) else { return };
        let reported = account::ReportedLevel { level_tokens, received_at: now };
        account.reported_levels.insert(pull.holder.clone(), reported);
        self.clear_suspicion(&pull.holder);
        let expires_at = pull.sent_at + constants::grant_ttl();
        if tokens > 0 && expires_at > now {
            account.pulled.push(account::PulledGrant {
                holder: pull.holder,
                number,
                granted_tokens: tokens,
                available_tokens: tokens,
                settled: message::GrantOutcome { number, ..message::GrantOutcome::default() },
                expires_at,
            });
        }
        self.serve_queue(account, now, effects);
    }

    /// Settles a grant according to a report of its recipient.
    pub(super) fn settle_grant(
        &mut self,
        from: &ids::InstanceId,
        settled: message::GrantOutcome,
        now: ids::Timestamp,
    ) {
        let key = (from.clone(), settled.number);
        let Some(mut grant) = self.grants.remove(&key) else { return };
        let workspace = grant.workspace.clone();
        self.with_account(&workspace, |escrow, account| {
            escrow.settle_parts(account, &mut grant, settled, now);
        });
        if grant.parts.iter().any(|part| part.unsettled_tokens > 0) {
            self.grants.insert(key, grant);
        }
    }

    /// Returns pulled tokens that would expire unused, drops expired ones, and suspects quota
    /// holders that have not answered a pull.
    pub(super) fn expire_pulled(&mut self, account: &mut account::Account, now: ids::Timestamp) {
        let mut pulled = std::mem::take(&mut account.pulled);
        for grant in
            pulled.iter_mut().filter(|grant| grant.available_tokens > 0 && !grant.is_usable(now))
        {
            grant.settled.returned_tokens += std::mem::take(&mut grant.available_tokens);
            self.queue_outcome(&grant.holder, grant.settled, now);
        }
        pulled.retain(|grant| grant.expires_at > now && grant.is_open());
        account.pulled = pulled;
        let timeout = time::Duration::from_millis(constants::ANSWER_TIMEOUT_MS);
        let mut unresponsive = Vec::new();
        for pull in account.pulls.values_mut().filter(|pull| !pull.overdue) {
            if pull.sent_at + timeout <= now {
                pull.overdue = true;
                unresponsive.push(pull.holder.clone());
            }
        }
        account.pulls.retain(|_, pull| pull.sent_at + constants::grant_ttl() > now);
        unresponsive.iter().for_each(|holder| self.suspect(holder, now));
    }

    /// Drops issued grants that have expired.
    pub(super) fn expire_grants(&mut self, now: ids::Timestamp) {
        while let Some((expires_at, key)) = self.grant_order.front() {
            if *expires_at > now {
                return;
            }
            self.grants.remove(key);
            self.grant_order.pop_front();
        }
    }

    fn try_grant(
        &mut self,
        account: &mut account::Account,
        queued: &account::QueuedRequest,
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
                for part in self.take_pulled(account, pooled, now) {
                    self.settle_pulled(account, &part.source, (part.unsettled_tokens, 0), now);
                }
                self.admit(account, *request, effects);
            }
            account::Origin::Peer(to, number) => {
                let mut parts = self.take_pulled(account, pooled, now);
                let ttl = self.remaining_ttl(account, &parts, now);
                if let Some(debit) = account.bucket.debit(own, now).filter(|_| own > 0) {
                    parts.push(GrantPart { source: Source::Bucket(debit), unsettled_tokens: own });
                }
                self.record_grant(account, (to.clone(), *number), parts, now);
                let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
                let message = message::Message::Grant { number: *number, ttl_ms };
                effects.push(Effect::Send { to: to.clone(), message });
            }
        }
        true
    }

    fn take_pulled(
        &self,
        account: &mut account::Account,
        tokens: u64,
        now: ids::Timestamp,
    ) -> Vec<GrantPart> {
        let mut missing = tokens;
        let mut parts = Vec::new();
        for grant in account.pulled.iter_mut().filter(|grant| grant.is_usable(now)) {
            let taken = grant.available_tokens.min(missing);
            grant.available_tokens -= taken;
            missing -= taken;
            if taken > 0 {
                parts.push(GrantPart {
                    source: Source::PulledGrant(grant.number),
                    unsettled_tokens: taken,
                });
            }
        }
        parts
    }

    fn remaining_ttl(
        &self,
        account: &account::Account,
        parts: &[GrantPart],
        now: ids::Timestamp,
    ) -> time::Duration {
        let numbers: Vec<_> = parts.iter().filter_map(|part| part.source.pulled_grant()).collect();
        let pulled = account.pulled.iter().filter(|grant| numbers.contains(&grant.number));
        let lives = pulled.map(|grant| grant.expires_at.saturating_sub(now));
        lives.min().unwrap_or(constants::grant_ttl())
    }

    fn record_grant(
        &mut self,
        account: &account::Account,
        key: (ids::InstanceId, message::Number),
        parts: Vec<GrantPart>,
        now: ids::Timestamp,
    ) {
        let expires_at = now + constants::issuer_grant_ttl();
        let settled = message::GrantOutcome { number: key.1, ..message::GrantOutcome::default() };
        let workspace = account.limit.workspace.clone();
        self.grants.insert(key.clone(), Grant { workspace, parts, settled, expires_at });
        self.grant_order.push_back((expires_at, key));
    }

    fn settle_parts(
        &mut self,
        account: &mut account::Account,
        grant: &mut Grant,
        settled: message::GrantOutcome,
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
            let part_spent = spent.min(part.unsettled_tokens);
            part.unsettled_tokens -= part_spent;
            spent -= part_spent;
            let part_returned = returned.min(part.unsettled_tokens);
            part.unsettled_tokens -= part_returned;
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
            Source::PulledGrant(_) => self.settle_pulled(account, source, (spent, returned), now),
        }
    }

    fn settle_pulled(
        &mut self,
        account: &mut account::Account,
        source: &Source,
        (spent, returned): (u64, u64),
        now: ids::Timestamp,
    ) {
        let Some(number) = source.pulled_grant() else { return };
        let Some(index) = account.pulled.iter().position(|p| p.number == number) else { return };
        let grant = &mut account.pulled[index];
        grant.settled.spent_tokens += spent;
        grant.available_tokens += returned;
        let grant = grant.clone();
        if !grant.is_open() {
            account.pulled.remove(index);
            self.queue_outcome(&grant.holder, grant.settled, now);
        } else if spent > 0 {
            let delay_ms = constants::OPEN_GRANT_REPORT_DELAY_MS;
            self.queue_outcome_within(delay_ms, &grant.holder, grant.settled, now);
        }
    }

    fn deny_unservable(
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
            if queued.deadline <= now || (late && !supply.is_awaiting_pulls()) {
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

    fn send_pulls(
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
        let mut wanted = supply.tokens_to_pull(account, now);
        supply.holders.retain(|holder| !holder.has_pending_pull && holder.tokens > 0);
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
        let number = self.allocate_number();
        let pull = account::PendingPull { holder: holder.clone(), sent_at: now, overdue: false };
        account.pulls.insert(number, pull);
        let workspace = account.limit.workspace.clone();
        let message = message::Message::Pull { number, workspace, tokens };
        effects.push(Effect::Send { to: holder.clone(), message });
    }
}

impl Source {
    fn pulled_grant(&self) -> Option<message::Number> {
        match self {
            Source::PulledGrant(number) => Some(*number),
            Source::Bucket(_) => None,
        }
    }
}

/// Returns whether a queue entry is the token request with this number of another instance.
fn is_request_of(
    queued: &account::QueuedRequest,
    from: &ids::InstanceId,
    number: message::Number,
) -> bool {
    matches!(&queued.origin, account::Origin::Peer(id, n) if id == from && *n == number)
}
