//! Holds each workspace's rate and burst as rights that are split over quota holders.
//!
//! The rules and the reasons for them are in `docs/design/escrow.md`.

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

/// What the escrow reducer is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
    /// This instance may spend and give rights, or no longer.
    Validity {
        /// Whether it may.
        valid: bool,
        /// When the permission runs out unless it is renewed.
        until: ids::Timestamp,
    },
    /// The configuration in force has changed; these are the limits of all its workspaces.
    #[serde(rename = "Limited")]
    LimitsChanged {
        /// The offset of the configuration record.
        version: ids::Offset,
        /// One limit for each workspace.
        limits: Vec<Limit>,
    },
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The sending process.
        incarnation: ids::Incarnation,
        /// What it says.
        message: Message,
    },
    /// A request asks for tokens.
    Reserve {
        /// The request.
        request: ids::RequestId,
        /// The workspace that pays.
        workspace: ids::WorkspaceId,
        /// The estimated cost.
        tokens: u64,
    },
    /// A request that was admitted has ended.
    Settle {
        /// The request.
        request: ids::RequestId,
        /// What it cost by the engine's own count.
        used_tokens: u64,
    },
    /// A request that waits for tokens is given up.
    Withdraw {
        /// The request.
        request: ids::RequestId,
    },
    /// The instance is leaving and hands its rights over.
    Leave,
}

/// What the escrow reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The member's name.
        to: ids::InstanceId,
        /// What to say.
        message: Message,
    },
    /// The tokens for a request are reserved.
    Admitted {
        /// The request.
        request: ids::RequestId,
    },
    /// The tokens for a request cannot be had soon.
    Refused {
        /// The request.
        request: ids::RequestId,
        /// Milliseconds until the tokens would be there.
        retry_after_ms: u64,
        /// Why.
        reason: Refusal,
    },
    /// All rights of this instance are handed over.
    HandedOver,
}

/// Why tokens were not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The workspace has used its rate and burst.
    OverRate,
    /// The request costs more than the workspace's burst.
    OverBurst,
    /// The quota holders did not answer in time.
    Unreachable,
    /// Too many requests of the workspace wait for tokens.
    QueueFull,
    /// The configuration in force has no limit for the workspace.
    #[serde(rename = "Unlimited")]
    NoLimitConfigured,
}

pub use message::Message;

/// The rights of this instance and the requests that wait for tokens.
#[derive(Debug, Default)]
pub struct Escrow {
    own: ids::InstanceId,
    incarnation: ids::Incarnation,
    settings: settings::Settings,
    valid_until: Option<ids::Timestamp>,
    joined: Option<ids::Offset>,
    view: membership::SharedView,
    newcomers: collections::Map<ids::InstanceId, ids::Offset>,
    departed: collections::Map<ids::InstanceId, ids::Incarnation>,
    limits_version: ids::Offset,
    accounts: collections::Map<ids::WorkspaceId, Box<account::Account>>,
    peers: collections::Map<ids::InstanceId, reports::Peer>,
    claiming: bool,
    next_number: message::Number,
    questions: collections::Map<message::Number, requester::Question>,
    question_order: VecDeque<(ids::Timestamp, message::Number)>,
    grants: collections::Map<(ids::InstanceId, message::Number), broker::Grant>,
    grant_order: VecDeque<(ids::Timestamp, (ids::InstanceId, message::Number))>,
    reservations: collections::Map<ids::RequestId, requester::Reservation>,
    leaving_since: Option<ids::Timestamp>,
    departs_at: ids::Timestamp,
    handed_over: bool,
}

impl Escrow {
    /// Creates the state of an instance without rights.
    pub fn new(own: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self::with_settings(own, incarnation, settings::Settings::default())
    }

    /// Creates the state of an instance without rights, with settings.
    pub fn with_settings(
        own: ids::InstanceId,
        incarnation: ids::Incarnation,
        settings: settings::Settings,
    ) -> Self {
        // The upper half comes from the incarnation: no process repeats another one's numbers.
        let next_number = incarnation >> 1;
        Self { own, incarnation, settings, next_number, ..Self::default() }
    }

    /// Tells whether this instance may spend and give rights.
    fn may_act(&self, now: ids::Timestamp) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    fn draw_number(&mut self) -> message::Number {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Lends an account and the rest of the state; `None` if the workspace has no limit.
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

    /// Drops all rights when the permission to hold them has run out.
    fn lapse(&mut self, now: ids::Timestamp) {
        if self.valid_until.is_some_and(|until| until <= now) {
            self.valid_until = None;
            self.forfeit();
        }
    }

    fn validity(
        &mut self,
        valid: bool,
        until: ids::Timestamp,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let was_valid = self.valid_until.is_some();
        self.valid_until = valid.then_some(until).filter(|until| *until > now);
        if self.valid_until.is_none() {
            self.forfeit();
        }
        if was_valid != self.valid_until.is_some() {
            self.advance_claims(now, effects);
        }
    }

    fn limited(
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
        let mut former = std::mem::take(&mut self.accounts);
        for limit in limits {
            let mut account = former.remove(&limit.workspace).unwrap_or_else(|| {
                let drift = self.settings.clock_drift_ppm;
                Box::new(account::Account::new(limit.clone(), drift, now))
            });
            account.bucket.limit(limit.rate_tokens_per_s, limit.burst_tokens, now);
            account.limit = limit;
            self.accounts.insert(account.limit.workspace.clone(), account);
        }
        for request in former.values().flat_map(|account| &account.waiting) {
            let (request, reason) = (request.request, Refusal::NoLimitConfigured);
            effects.push(Effect::Refused { request, retry_after_ms: 0, reason });
        }
        self.rank(now);
        self.advance_claims(now, effects);
    }

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.expire_grants(now);
        self.expire_questions(now);
        if self.claiming {
            self.advance_claims(now, effects);
        }
        self.advance_leave(now, effects);
        let active = self.accounts.iter().filter(|(_, account)| account.is_active());
        let mut workspaces: Vec<_> = active.map(|(workspace, _)| workspace.clone()).collect();
        workspaces.sort();
        for workspace in workspaces {
            self.with_account(&workspace, |escrow, account| {
                escrow.tidy(account, now);
                escrow.advance_waiting(account, now, effects);
                escrow.serve(account, now, effects);
            });
        }
        self.send_reports(now, effects);
    }

    fn received(
        &mut self,
        (from, incarnation): (ids::InstanceId, ids::Incarnation),
        message: Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Claim { number, joined, version, claims } => {
                let claim = rights::ClaimMessage { number, joined, version, claims };
                self.claimed(&from, claim, now, effects);
            }
            Message::Permit { number, free, handed } => {
                self.permitted(&from, number, free, handed);
                self.advance_claims(now, effects);
            }
            Message::Depart => self.departing(from, incarnation, now, effects),
            Message::Ask { number, workspace, tokens, wait_ms } => {
                let wait_ms = wait_ms.min(self.settings.reserve_wait_ms);
                let deadline = now + time::Duration::from_millis(wait_ms);
                let origin = account::Origin::Peer(from, number);
                let queued = account::Queued { origin, tokens, deadline };
                self.asked(&workspace, queued, now, effects);
            }
            Message::Queued { number } => self.queued(&from, number),
            Message::Grant { number, ttl_ms } => {
                self.granted(&from, (number, ttl_ms), now, effects);
            }
            Message::Deny { number, retry_after_ms, reason } => {
                self.denied(&from, number, (retry_after_ms, reason), now, effects);
            }
            Message::Pull { number, workspace, tokens } => {
                let to = from.clone();
                let known = self.with_account(&workspace, |escrow, account| {
                    escrow.pulled_from(account, from, (number, tokens), now, effects);
                });
                if known.is_none() {
                    let message = Message::Pulled { number, tokens: 0, left_tokens: 0 };
                    effects.push(Effect::Send { to, message });
                }
            }
            Message::Pulled { number, tokens, left_tokens } => {
                self.pull_answered(&from, (number, tokens, left_tokens), now, effects);
            }
            Message::Report { number, settled, refunds } => {
                let report = (number, settled, refunds);
                self.reported((&from, incarnation), report, now, effects);
            }
        }
    }
}

impl reducer::Reducer for Escrow {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.lapse(now);
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Viewed(view) => self.view(view, now, effects),
            Event::Validity { valid, until } => self.validity(valid, until, now, effects),
            Event::LimitsChanged { version, limits } => self.limited(version, limits, now, effects),
            Event::Received { from, incarnation, message } => {
                self.received((from, incarnation), message, now, effects);
            }
            Event::Reserve { request, workspace, tokens } => {
                self.reserve(request, &workspace, tokens, now, effects);
            }
            Event::Settle { request, used_tokens } => {
                self.settle(request, used_tokens, now, effects);
            }
            Event::Withdraw { request } => self.withdraw(request),
            Event::Leave => self.leave(now, effects),
        }
    }
}
