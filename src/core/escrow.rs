//! Holds each workspace's rate and burst as rights that are split over quota holders.

use serde::{Deserialize, Serialize};

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
    /// The limits of all workspaces in the configuration of this version.
    Limited {
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
    /// The workspace has no limit in the configuration in force.
    Unlimited,
}

/// What instances tell each other about rights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// The rights of this instance and the requests that wait for tokens.
#[derive(Debug, Default)]
pub struct Escrow {}

impl Escrow {
    /// Creates the state of an instance without rights.
    pub fn new(_own: ids::InstanceId, _incarnation: ids::Incarnation) -> Self {
        Self {}
    }
}

impl reducer::Reducer for Escrow {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, _now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if let Event::Reserve { request, .. } = event {
            effects.push(Effect::Admitted { request });
        }
    }
}
