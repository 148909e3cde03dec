//! Reserves tokens for the requests of this instance and settles them when the requests end.

use std::time;

use crate::core::escrow::account;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::{Effect, Escrow, Refusal};
use crate::core::ids;

/// Tokens that were reserved for a request that runs.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    workspace: ids::WorkspaceId,
    tokens: u64,
}

/// A question to a broker.
#[derive(Debug, Clone)]
pub(super) struct Question {
    workspace: ids::WorkspaceId,
    request: ids::RequestId,
    to: ids::InstanceId,
    tokens: u64,
    sent_at: ids::Timestamp,
}

impl Escrow {
    /// Asks for tokens for a request.
    pub(super) fn reserve(
        &mut self,
        request: ids::RequestId,
        workspace: &ids::WorkspaceId,
        tokens: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.with_account(workspace, |escrow, account| {
            escrow.wait_for(account, request, tokens, now, effects);
        });
        if known.is_none() {
            let reason = Refusal::NoLimitConfigured;
            effects.push(Effect::Refused { request, retry_after_ms: 0, reason });
        }
    }

    /// Settles a reservation to what the request has cost.
    pub(super) fn settle(
        &mut self,
        request: ids::RequestId,
        used_tokens: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(reservation) = self.reservations.remove(&request) else { return };
        let unused_tokens = reservation.tokens.saturating_sub(used_tokens);
        let debt_tokens = used_tokens.saturating_sub(reservation.tokens);
        self.with_account(&reservation.workspace, |escrow, account| {
            account.debt_tokens = account.debt_tokens.saturating_add(debt_tokens);
            escrow.refund(account, unused_tokens, 0, now, effects);
        });
    }

    /// Gives up a request that waits.
    pub(super) fn withdraw(&mut self, request: ids::RequestId) {
        for account in self.accounts.values_mut() {
            let own = account::Origin::Own(request);
            account.queue.retain(|queued| queued.origin != own);
            let Some(index) = position(account, request) else { continue };
            if let Some(waiting) = account.waiting.remove(index) {
                account.debt_tokens += waiting.debt_tokens;
            }
        }
    }

    /// Admits a request that waited.
    pub(super) fn admit(
        &mut self,
        account: &mut account::Account,
        request: ids::RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = position(account, request) else { return };
        let Some(waiting) = account.waiting.remove(index) else { return };
        let workspace = account.limit.workspace.clone();
        if self.reservations.len() < constants::MAX_RESERVATIONS {
            let reservation = Reservation { workspace, tokens: waiting.tokens };
            self.reservations.insert(request, reservation);
        }
        effects.push(Effect::Admitted { request });
    }

    /// Refuses a request that waited.
    pub(super) fn refuse(
        &mut self,
        account: &mut account::Account,
        request: ids::RequestId,
        (retry_after_ms, reason): (u64, Refusal),
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = position(account, request) else { return };
        let Some(waiting) = account.waiting.remove(index) else { return };
        account.debt_tokens += waiting.debt_tokens;
        effects.push(Effect::Refused { request, retry_after_ms, reason });
    }

    /// Takes tokens that a broker granted; a grant that comes too late or twice is given back.
    pub(super) fn granted(
        &mut self,
        from: &ids::InstanceId,
        (number, ttl_ms): (message::Number, u64),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(question) = self.answered(from, number) else { return };
        let ttl = time::Duration::from_millis(ttl_ms).min(constants::grant_ttl());
        if now >= question.sent_at + ttl {
            return;
        }
        let usable = self.may_act(now);
        let admitted = self.with_account(&question.workspace, |escrow, account| {
            let waits = usable && position(account, question.request).is_some();
            if waits {
                escrow.admit(account, question.request, effects);
            }
            waits
        });
        let mut settled = message::Settled { number, ..message::Settled::default() };
        match admitted {
            Some(true) => settled.spent_tokens = question.tokens,
            _ => settled.returned_tokens = question.tokens,
        }
        self.report(from, settled, now);
    }

    /// Takes a broker's refusal.
    pub(super) fn denied(
        &mut self,
        from: &ids::InstanceId,
        number: message::Number,
        refusal: (u64, Refusal),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(question) = self.answered(from, number) else { return };
        self.with_account(&question.workspace, |escrow, account| {
            let Some(index) = position(account, question.request) else { return };
            if account.waiting[index].number != Some(number) {
                return;
            }
            match refusal.1 {
                Refusal::NoLimitConfigured | Refusal::Unreachable => {
                    escrow.ask_next(account, index, now, effects);
                }
                _ => escrow.refuse(account, question.request, refusal, effects),
            }
        });
    }

    /// Notes that a request waits in a broker's queue.
    pub(super) fn queued(&mut self, from: &ids::InstanceId, number: message::Number) {
        self.trust(from);
        let Some(question) = self.questions.get(&number) else { return };
        let Some(account) = self.accounts.get_mut(&question.workspace) else { return };
        let waiting = account.waiting.iter_mut().find(|one| one.number == Some(number));
        if let Some(waiting) = waiting {
            waiting.queued = true;
        }
    }

    /// Asks the next quota holder where one is silent, and refuses what has waited too long.
    pub(super) fn advance_waiting(
        &mut self,
        account: &mut account::Account,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let timeout = time::Duration::from_millis(constants::ASK_TIMEOUT_MS);
        let grace = time::Duration::from_millis(constants::ANSWER_GRACE_MS);
        let requests: Vec<_> = account.waiting.iter().map(|waiting| waiting.request).collect();
        for request in requests {
            let Some(index) = position(account, request) else { continue };
            let waiting = &account.waiting[index];
            if now >= waiting.deadline + grace {
                let retry_after_ms = constants::SUSPECT_MS;
                self.refuse(account, request, (retry_after_ms, Refusal::Unreachable), effects);
                continue;
            }
            if waiting.queued || now < waiting.asked_at + timeout {
                continue;
            }
            if let Some(silent) = waiting.tried.last().cloned().filter(|id| *id != self.own) {
                self.suspect(&silent, now);
            }
            self.ask_next(account, index, now, effects);
        }
    }

    /// Forgets questions whose answers can no longer be used.
    pub(super) fn expire_questions(&mut self, now: ids::Timestamp) {
        while let Some((sent_at, number)) = self.question_order.front() {
            if *sent_at + constants::grant_ttl() > now {
                return;
            }
            self.questions.remove(number);
            self.question_order.pop_front();
        }
    }

    /// Puts unused tokens back into a bucket, here or at the next quota holder.
    pub(super) fn refund(
        &mut self,
        account: &mut account::Account,
        tokens: u64,
        hops: u8,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if tokens == 0 {
            return;
        }
        let left_tokens = account.bucket.credit(tokens, now);
        account.refunded_tokens += tokens - left_tokens;
        if left_tokens > 0 {
            self.pass_refund(account, left_tokens, hops, now);
        }
        self.serve(account, now, effects);
    }

    fn wait_for(
        &mut self,
        account: &mut account::Account,
        request: ids::RequestId,
        tokens: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let most_tokens = account.most_tokens();
        if tokens > most_tokens {
            let reason = Refusal::OverBurst;
            effects.push(Effect::Refused { request, retry_after_ms: 0, reason });
            return;
        }
        let full = self.question_order.len() >= constants::MAX_QUESTIONS;
        if full || account.waiting.len() >= self.settings.max_waiting {
            let retry_after_ms = self.settings.reserve_wait_ms;
            let reason = Refusal::QueueFull;
            effects.push(Effect::Refused { request, retry_after_ms, reason });
            return;
        }
        let debt_tokens = account.debt_tokens.min(most_tokens - tokens);
        if tokens + debt_tokens == 0 {
            effects.push(Effect::Admitted { request });
            return;
        }
        account.debt_tokens -= debt_tokens;
        account.waiting.push_back(account::Waiting {
            request,
            tokens,
            debt_tokens,
            deadline: now + time::Duration::from_millis(self.settings.reserve_wait_ms),
            tried: Vec::new(),
            number: None,
            asked_at: now,
            queued: false,
        });
        self.ask_next(account, account.waiting.len() - 1, now, effects);
    }

    /// Asks the next quota holder that has not been asked for this request.
    fn ask_next(
        &mut self,
        account: &mut account::Account,
        index: usize,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let waiting = &account.waiting[index];
        if waiting.tried.contains(&self.own) {
            return;
        }
        let mut brokers = account.brokers();
        brokers.retain(|id| !waiting.tried.contains(id) && !self.is_suspect(id, now));
        // Any member can act as a broker, so that the instance itself is the last resort.
        let broker = brokers.into_iter().next().unwrap_or_else(|| self.own.clone());
        let waiting = &mut account.waiting[index];
        waiting.tried.push(broker.clone());
        waiting.asked_at = now;
        waiting.queued = broker == self.own;
        if broker != self.own {
            self.ask(account, index, broker, now, effects);
            return;
        }
        waiting.number = None;
        let queued = account::Queued {
            origin: account::Origin::Own(waiting.request),
            tokens: waiting.cost_tokens(),
            deadline: waiting.deadline,
        };
        self.enqueue(account, queued, now, effects);
    }

    fn ask(
        &mut self,
        account: &mut account::Account,
        index: usize,
        to: ids::InstanceId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let number = self.draw_number();
        let waiting = &mut account.waiting[index];
        waiting.number = Some(number);
        let question = Question {
            workspace: account.limit.workspace.clone(),
            request: waiting.request,
            to: to.clone(),
            tokens: waiting.cost_tokens(),
            sent_at: now,
        };
        let wait = waiting.deadline.saturating_sub(now);
        let message = message::Message::Ask {
            number,
            workspace: question.workspace.clone(),
            tokens: question.tokens,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        self.questions.insert(number, question);
        self.question_order.push_back((now, number));
        effects.push(Effect::Send { to, message });
    }

    fn answered(&mut self, from: &ids::InstanceId, number: message::Number) -> Option<Question> {
        self.trust(from);
        if self.questions.get(&number).is_none_or(|question| question.to != *from) {
            return None;
        }
        self.questions.remove(&number)
    }

    fn pass_refund(
        &mut self,
        account: &account::Account,
        tokens: u64,
        hops: u8,
        now: ids::Timestamp,
    ) {
        let brokers = account.brokers();
        if usize::from(hops) >= brokers.len() {
            return;
        }
        let next = brokers.iter().position(|id| *id == self.own).map_or(0, |index| index + 1);
        let Some(to) = brokers.get(next % brokers.len()).filter(|id| **id != self.own) else {
            return;
        };
        let workspace = account.limit.workspace.clone();
        let refund = message::Refund { workspace, tokens, hops: hops + 1 };
        self.report_refund(to, refund, now);
    }
}

fn position(account: &account::Account, request: ids::RequestId) -> Option<usize> {
    account.waiting.iter().position(|waiting| waiting.request == request)
}
