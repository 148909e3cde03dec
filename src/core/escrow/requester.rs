//! Reserves tokens for the requests of this instance, and settles the reservations when they end.

use std::time;

use crate::core::escrow::account;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::{Effect, Escrow, Refusal};
use crate::core::ids;

/// Tokens that are reserved for a running request.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    workspace: ids::WorkspaceId,
    tokens: u64,
}

/// A request for tokens that was sent to a broker.
#[derive(Debug, Clone)]
pub(super) struct TokenRequest {
    workspace: ids::WorkspaceId,
    request: ids::RequestId,
    to: ids::InstanceId,
    tokens: u64,
    sent_at: ids::Timestamp,
}

impl Escrow {
    /// Starts to reserve tokens for a request.
    pub(super) fn reserve(
        &mut self,
        request: ids::RequestId,
        workspace: &ids::WorkspaceId,
        tokens: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let known = self.with_account(workspace, |escrow, account| {
            escrow.start_waiting(account, request, tokens, now, effects);
        });
        if known.is_none() {
            let reason = Refusal::NoLimitConfigured;
            effects.push(Effect::Refused { request, retry_after_ms: 0, reason });
        }
    }

    /// Settles a reservation: unused tokens are refunded, and tokens used beyond it become debt.
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

    /// Drops a waiting request that was cancelled.
    pub(super) fn withdraw(&mut self, request: ids::RequestId) {
        for account in self.accounts.values_mut() {
            let own = account::Origin::Own(request);
            account.queue.retain(|queued| queued.origin != own);
            let Some(index) = waiting_index(account, request) else { continue };
            if let Some(waiting) = account.waiting.remove(index) {
                account.debt_tokens += waiting.debt_tokens;
            }
        }
    }

    /// Admits a waiting request and records its reservation.
    pub(super) fn admit(
        &mut self,
        account: &mut account::Account,
        request: ids::RequestId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = waiting_index(account, request) else { return };
        let Some(waiting) = account.waiting.remove(index) else { return };
        let workspace = account.limit.workspace.clone();
        if self.reservations.len() < constants::MAX_RESERVATIONS {
            let reservation = Reservation { workspace, tokens: waiting.tokens };
            self.reservations.insert(request, reservation);
        }
        effects.push(Effect::Admitted { request });
    }

    /// Refuses a waiting request.
    pub(super) fn refuse(
        &mut self,
        account: &mut account::Account,
        request: ids::RequestId,
        (retry_after_ms, reason): (u64, Refusal),
        effects: &mut Vec<Effect>,
    ) {
        let Some(index) = waiting_index(account, request) else { return };
        let Some(waiting) = account.waiting.remove(index) else { return };
        account.debt_tokens += waiting.debt_tokens;
        effects.push(Effect::Refused { request, retry_after_ms, reason });
    }

    /// Handles a grant of a broker: admits the request, or returns the tokens if it no longer
    /// waits.
    ///
    /// A grant that has expired or arrives twice is ignored.
    pub(super) fn receive_grant(
        &mut self,
        from: &ids::InstanceId,
        (number, ttl_ms): (message::Number, u64),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(token_request) = self.take_token_request(from, number) else { return };
        let ttl = time::Duration::from_millis(ttl_ms).min(constants::grant_ttl());
        if now >= token_request.sent_at + ttl {
            return;
        }
        let usable = self.is_valid(now);
        let admitted = self.with_account(&token_request.workspace, |escrow, account| {
            let waits = usable && waiting_index(account, token_request.request).is_some();
            if waits {
                escrow.admit(account, token_request.request, effects);
            }
            waits
        });
        let mut settled = message::GrantOutcome { number, ..message::GrantOutcome::default() };
        match admitted {
            Some(true) => settled.spent_tokens = token_request.tokens,
            _ => settled.returned_tokens = token_request.tokens,
        }
        self.queue_outcome(from, settled, now);
    }

    /// Handles a denial of a broker.
    pub(super) fn receive_denial(
        &mut self,
        from: &ids::InstanceId,
        number: message::Number,
        refusal: (u64, Refusal),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(token_request) = self.take_token_request(from, number) else { return };
        self.with_account(&token_request.workspace, |escrow, account| {
            let Some(index) = waiting_index(account, token_request.request) else { return };
            if account.waiting[index].token_request != Some(number) {
                return;
            }
            match refusal.1 {
                Refusal::NoLimitConfigured | Refusal::Unreachable => {
                    escrow.ask_next_broker(account, index, now, effects);
                }
                _ => escrow.refuse(account, token_request.request, refusal, effects),
            }
        });
    }

    /// Handles a broker's confirmation that a request waits in its queue.
    pub(super) fn receive_queued(&mut self, from: &ids::InstanceId, number: message::Number) {
        self.clear_suspicion(from);
        let Some(token_request) = self.token_requests.get(&number) else { return };
        let Some(account) = self.accounts.get_mut(&token_request.workspace) else { return };
        let waiting = account.waiting.iter_mut().find(|one| one.token_request == Some(number));
        if let Some(waiting) = waiting {
            waiting.is_queued = true;
        }
    }

    /// Asks the next broker for requests whose broker is unresponsive, and refuses requests whose
    /// deadline has passed.
    pub(super) fn advance_waiting(
        &mut self,
        account: &mut account::Account,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let timeout = time::Duration::from_millis(constants::ANSWER_TIMEOUT_MS);
        let grace = time::Duration::from_millis(constants::ANSWER_GRACE_MS);
        let requests: Vec<_> = account.waiting.iter().map(|waiting| waiting.request).collect();
        for request in requests {
            let Some(index) = waiting_index(account, request) else { continue };
            let waiting = &account.waiting[index];
            if now >= waiting.deadline + grace {
                let retry_after_ms = constants::SUSPECT_MS;
                self.refuse(account, request, (retry_after_ms, Refusal::Unreachable), effects);
                continue;
            }
            if waiting.is_queued || now < waiting.asked_at + timeout {
                continue;
            }
            if let Some(unresponsive) =
                waiting.asked_brokers.last().cloned().filter(|id| *id != self.own)
            {
                self.suspect(&unresponsive, now);
            }
            self.ask_next_broker(account, index, now, effects);
        }
    }

    /// Drops token requests whose grants could no longer be spent.
    pub(super) fn expire_token_requests(&mut self, now: ids::Timestamp) {
        while let Some((sent_at, number)) = self.token_request_order.front() {
            if *sent_at + constants::grant_ttl() > now {
                return;
            }
            self.token_requests.remove(number);
            self.token_request_order.pop_front();
        }
    }

    /// Puts unused tokens back into the bucket, and passes those that exceed its capacity on to the
    /// next quota holder.
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
        let remaining_tokens = account.bucket.credit(tokens, now);
        account.refunded_tokens += tokens - remaining_tokens;
        if remaining_tokens > 0 {
            self.forward_refund(account, remaining_tokens, hops, now);
        }
        self.serve_queue(account, now, effects);
    }

    fn start_waiting(
        &mut self,
        account: &mut account::Account,
        request: ids::RequestId,
        tokens: u64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let max_request_tokens = account.max_request_tokens();
        if tokens > max_request_tokens {
            let reason = Refusal::OverBurst;
            effects.push(Effect::Refused { request, retry_after_ms: 0, reason });
            return;
        }
        let full = self.token_request_order.len() >= constants::MAX_TOKEN_REQUESTS;
        if full || account.waiting.len() >= self.settings.max_waiting {
            let retry_after_ms = self.settings.reserve_wait_ms;
            let reason = Refusal::QueueFull;
            effects.push(Effect::Refused { request, retry_after_ms, reason });
            return;
        }
        let debt_tokens = account.debt_tokens.min(max_request_tokens - tokens);
        if tokens + debt_tokens == 0 {
            effects.push(Effect::Admitted { request });
            return;
        }
        account.debt_tokens -= debt_tokens;
        account.waiting.push_back(account::WaitingRequest {
            request,
            tokens,
            debt_tokens,
            deadline: now + time::Duration::from_millis(self.settings.reserve_wait_ms),
            asked_brokers: Vec::new(),
            token_request: None,
            asked_at: now,
            is_queued: false,
        });
        self.ask_next_broker(account, account.waiting.len() - 1, now, effects);
    }

    /// Requests tokens from the next quota holder that this request has not asked yet.
    fn ask_next_broker(
        &mut self,
        account: &mut account::Account,
        index: usize,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let waiting = &account.waiting[index];
        if waiting.asked_brokers.contains(&self.own) {
            return;
        }
        let mut brokers = account.brokers();
        brokers.retain(|id| !waiting.asked_brokers.contains(id) && !self.is_suspect(id, now));
        // Any member can act as a broker, so the instance itself is the last one to be asked.
        let broker = brokers.into_iter().next().unwrap_or_else(|| self.own.clone());
        let waiting = &mut account.waiting[index];
        waiting.asked_brokers.push(broker.clone());
        waiting.asked_at = now;
        waiting.is_queued = broker == self.own;
        if broker != self.own {
            self.send_token_request(account, index, broker, now, effects);
            return;
        }
        waiting.token_request = None;
        let queued = account::QueuedRequest {
            origin: account::Origin::Own(waiting.request),
            tokens: waiting.tokens_to_request(),
            deadline: waiting.deadline,
        };
        self.enqueue(account, queued, now, effects);
    }

    fn send_token_request(
        &mut self,
        account: &mut account::Account,
        index: usize,
        to: ids::InstanceId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let number = self.allocate_number();
        let waiting = &mut account.waiting[index];
        waiting.token_request = Some(number);
        let token_request = TokenRequest {
            workspace: account.limit.workspace.clone(),
            request: waiting.request,
            to: to.clone(),
            tokens: waiting.tokens_to_request(),
            sent_at: now,
        };
        let wait = waiting.deadline.saturating_sub(now);
        let message = message::Message::TokenRequest {
            number,
            workspace: token_request.workspace.clone(),
            tokens: token_request.tokens,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        self.token_requests.insert(number, token_request);
        self.token_request_order.push_back((now, number));
        effects.push(Effect::Send { to, message });
    }

    fn take_token_request(
        &mut self,
        from: &ids::InstanceId,
        number: message::Number,
    ) -> Option<TokenRequest> {
        self.clear_suspicion(from);
        if self.token_requests.get(&number).is_none_or(|token_request| token_request.to != *from) {
            return None;
        }
        self.token_requests.remove(&number)
    }

    fn forward_refund(
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
        self.queue_refund(to, refund, now);
    }
}

fn waiting_index(account: &account::Account, request: ids::RequestId) -> Option<usize> {
    account.waiting.iter().position(|waiting| waiting.request == request)
}
