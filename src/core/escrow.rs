//! Enforces each workspace's rate and burst over the whole fleet.
//!
//! A workspace's limit is divided into equal shares. Each share is held by one instance, its quota
//! holder, which refills a token bucket for it. Requests get their tokens from the workspace's
//! broker, which takes them from its own bucket or pulls them from the other quota holders. The
//! protocol and the reasons for it are in `docs/design/escrow.md`.

pub mod account;
pub mod bucket;
pub mod constants;
pub mod message;
pub mod ranking;
pub mod settings;
pub mod status;

mod broker;
mod reports;
mod requester;
mod rights;
mod supply;

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::time;

use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::ids;
use crate::core::membership;
use crate::core::reducer;

/// The rate and burst of one workspace over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// Tokens that become available each second.
    pub rate_tokens_per_s: u64,
    /// The most tokens that may be saved up.
    pub burst_tokens: u64,
}

/// An input of the escrow reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The periodic tick, which drives timeouts, retries and refills.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
    /// The lease of this instance was renewed or lost; without it, it may not spend or grant
    /// tokens.
    Validity {
        /// Whether the instance holds its lease.
        valid: bool,
        /// When the lease expires unless it is renewed.
        until: ids::Timestamp,
    },
    /// The configuration in force has changed; these are the limits of all its workspaces.
    #[serde(rename = "Limited")]
    NewLimits {
        /// The offset of the configuration record.
        version: ids::Offset,
        /// One limit for each workspace.
        limits: Vec<Limit>,
    },
    /// A message from another instance arrived.
    Received {
        /// The sender.
        from: ids::InstanceId,
        /// The incarnation of the sending process.
        incarnation: ids::Incarnation,
        /// The message.
        message: Message,
    },
    /// A request needs tokens before it may run.
    Reserve {
        /// The request.
        request: ids::RequestId,
        /// The workspace whose limit is charged.
        workspace: ids::WorkspaceId,
        /// The estimated cost of the request.
        tokens: u64,
    },
    /// A request that was admitted has ended.
    Settle {
        /// The request.
        request: ids::RequestId,
        /// The tokens it used, as counted by the engine.
        used_tokens: u64,
    },
    /// A request that waits for tokens was cancelled.
    Withdraw {
        /// The request.
        request: ids::RequestId,
    },
    /// The instance is shutting down and hands its shares over to other members.
    Leave,
}

/// An output of the escrow reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: ids::InstanceId,
        /// The message.
        message: Message,
    },
    /// The tokens for a request are reserved; it may run.
    Admitted {
        /// The request.
        request: ids::RequestId,
    },
    /// The tokens for a request are not available within its wait.
    Refused {
        /// The request.
        request: ids::RequestId,
        /// Milliseconds after which the tokens are expected to be available.
        retry_after_ms: u64,
        /// Why it was refused.
        reason: Refusal,
    },
    /// The handover has ended: no other member is to take over a share of this instance, or the
    /// lease or the handover timeout has expired.
    HandedOver,
}

/// Why tokens were not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The workspace has used its rate and burst.
    OverRate,
    /// The request needs more tokens than the workspace's burst, so it can never be granted.
    OverBurst,
    /// No broker or quota holder answered in time.
    Unreachable,
    /// Too many requests of the workspace wait for tokens already.
    QueueFull,
    /// The configuration in force has no limit for the workspace.
    #[serde(rename = "Unlimited")]
    NoLimitConfigured,
}

pub use message::Message;

/// The shares and grants of this instance, and its requests that wait for tokens.
#[derive(Debug, Default)]
pub struct Escrow {
    own: ids::InstanceId,
    incarnation: ids::Incarnation,
    settings: settings::Settings,
    valid_until: Option<ids::Timestamp>,
    joined: Option<ids::Offset>,
    view: membership::SharedView,
    new_instances: collections::Map<ids::InstanceId, ids::Offset>,
    leaving_members: collections::Map<ids::InstanceId, ids::Incarnation>,
    limits_version: ids::Offset,
    accounts: collections::Map<ids::WorkspaceId, Box<account::Account>>,
    peers: collections::Map<ids::InstanceId, reports::PeerState>,
    has_open_claims: bool,
    next_number: message::Number,
    token_requests: collections::Map<message::Number, requester::TokenRequest>,
    token_request_order: VecDeque<(ids::Timestamp, message::Number)>,
    grants: collections::Map<(ids::InstanceId, message::Number), broker::Grant>,
    grant_order: VecDeque<(ids::Timestamp, (ids::InstanceId, message::Number))>,
    reservations: collections::Map<ids::RequestId, requester::Reservation>,
    leaving_since: Option<ids::Timestamp>,
    resend_leaving_at: ids::Timestamp,
    handed_over: bool,
}

impl Escrow {
    /// Creates the state of an instance without shares, with default settings.
    pub fn new(own: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self::with_settings(own, incarnation, settings::Settings::default())
    }

    /// Creates the state of an instance without shares.
    pub fn with_settings(
        own: ids::InstanceId,
        incarnation: ids::Incarnation,
        settings: settings::Settings,
    ) -> Self {
        // Derived from the random incarnation, so that a restarted process does not repeat the
        // numbers of its predecessor; halved, so that counting up cannot overflow.
        let next_number = incarnation >> 1;
        Self { own, incarnation, settings, next_number, ..Self::default() }
    }

    /// Returns whether this instance holds a valid lease, and so may spend and grant tokens.
    fn is_valid(&self, now: ids::Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    fn allocate_number(&mut self) -> message::Number {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Calls `act` with an account and the rest of the state; `None` if the workspace has no limit.
    ///
    /// The account is taken out of the map meanwhile, so that both can be borrowed mutably.
    fn with_account<T>(
        &mut self,
        workspace: &ids::WorkspaceId,
        act: impl FnOnce(&mut Self, &mut account::Account) -> T,
    ) -> Option<T> {
        let (workspace, mut account) = self.accounts.remove_entry(workspace)?;
        let result = act(self, &mut account);
        self.accounts.insert(workspace, account);
        Some(result)
    }

    /// Drops all shares once the lease has expired.
    fn expire_lease(&mut self, now: ids::Timestamp) {
        if self.valid_until.is_some_and(|until| until <= now) {
            self.valid_until = None;
            self.drop_all_shares();
        }
    }

    fn set_validity(
        &mut self,
        valid: bool,
        until: ids::Timestamp,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let was_valid = self.valid_until.is_some();
        self.valid_until = valid.then_some(until).filter(|until| *until > now);
        if self.valid_until.is_none() {
            self.drop_all_shares();
        }
        if was_valid != self.valid_until.is_some() {
            self.advance_claims(now, effects);
        }
    }

    fn set_limits(
        &mut self,
        version: ids::Offset,
        limits: Vec<Limit>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if version < self.limits_version {
            return;
        }
        self.limits_version = version;
        let mut previous = std::mem::take(&mut self.accounts);
        for limit in limits {
            let mut account = previous.remove(&limit.workspace).unwrap_or_else(|| {
                let drift = self.settings.clock_drift_ppm;
                Box::new(account::Account::new(limit.clone(), drift, now))
            });
            account.bucket.set_limit(limit.rate_tokens_per_s, limit.burst_tokens, now);
            account.limit = limit;
            self.accounts.insert(account.limit.workspace.clone(), account);
        }
        for request in previous.values().flat_map(|account| &account.waiting) {
            let (request, reason) = (request.request, Refusal::NoLimitConfigured);
            effects.push(Effect::Refused { request, retry_after_ms: 0, reason });
        }
        self.assign_holders(now);
        self.advance_claims(now, effects);
    }

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.expire_grants(now);
        self.expire_token_requests(now);
        if self.has_open_claims {
            self.advance_claims(now, effects);
        }
        self.advance_leaving(now, effects);
        let active = self.accounts.iter().filter(|(_, account)| account.has_pending_work());
        let mut workspaces: Vec<_> = active.map(|(workspace, _)| workspace.clone()).collect();
        workspaces.sort();
        for workspace in workspaces {
            self.with_account(&workspace, |escrow, account| {
                escrow.expire_pulled(account, now);
                escrow.advance_waiting(account, now, effects);
                escrow.serve_queue(account, now, effects);
            });
        }
        self.send_reports(now, effects);
    }

    fn receive(
        &mut self,
        (from, incarnation): (ids::InstanceId, ids::Incarnation),
        message: Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Claim { number, joined, version, claims } => {
                let claim = rights::ClaimMessage { number, joined, version, claims };
                self.receive_claim(&from, claim, now, effects);
            }
            Message::Permit { number, free, handed } => {
                self.receive_permit(&from, number, free, handed);
                self.advance_claims(now, effects);
            }
            Message::Leaving => self.receive_leaving(from, incarnation, now, effects),
            Message::TokenRequest { number, workspace, tokens, wait_ms } => {
                let wait_ms = wait_ms.min(self.settings.reserve_wait_ms);
                let deadline = now + time::Duration::from_millis(wait_ms);
                let origin = account::Origin::Peer(from, number);
                let queued = account::QueuedRequest { origin, tokens, deadline };
                self.receive_token_request(&workspace, queued, now, effects);
            }
            Message::Queued { number } => self.receive_queued(&from, number),
            Message::Grant { number, ttl_ms } => {
                self.receive_grant(&from, (number, ttl_ms), now, effects);
            }
            Message::Deny { number, retry_after_ms, reason } => {
                self.receive_denial(&from, number, (retry_after_ms, reason), now, effects);
            }
            Message::Pull { number, workspace, tokens } => {
                let to = from.clone();
                let known = self.with_account(&workspace, |escrow, account| {
                    escrow.answer_pull(account, from, (number, tokens), now, effects);
                });
                if known.is_none() {
                    let message = Message::PullReply { number, tokens: 0, remaining_tokens: 0 };
                    effects.push(Effect::Send { to, message });
                }
            }
            Message::PullReply { number, tokens, remaining_tokens } => {
                self.receive_pull_reply(&from, (number, tokens, remaining_tokens), now, effects);
            }
            Message::Report { number, settled, refunds } => {
                let report = (number, settled, refunds);
                self.receive_report((&from, incarnation), report, now, effects);
            }
        }
    }
}

impl reducer::Reducer for Escrow {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.expire_lease(now);
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Viewed(view) => self.apply_view(view, now, effects),
            Event::Validity { valid, until } => self.set_validity(valid, until, now, effects),
            Event::NewLimits { version, limits } => self.set_limits(version, limits, now, effects),
            Event::Received { from, incarnation, message } => {
                self.receive((from, incarnation), message, now, effects);
            }
            Event::Reserve { request, workspace, tokens } => {
                self.reserve(request, &workspace, tokens, now, effects);
            }
            Event::Settle { request, used_tokens } => {
                self.settle(request, used_tokens, now, effects);
            }
            Event::Withdraw { request } => self.withdraw(request),
            Event::Leave => self.start_leaving(now, effects),
        }
    }
}
