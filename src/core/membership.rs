//! Decides which instances are members, and whether this one may still act as one.

use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::core::ids;
use crate::core::log;
use crate::core::reducer;

/// One instance as its latest record describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The configured name of the instance.
    pub id: ids::InstanceId,
    /// The process that is the member; an older process of the same name is not.
    pub incarnation: ids::Incarnation,
    /// Where the instance stands.
    pub failure_domain: ids::FailureDomain,
    /// The size of the instance relative to others.
    pub weight: u32,
    /// Where peers reach it.
    pub peer_address: net::SocketAddr,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// The offset of its join record.
    pub joined: ids::Offset,
}

/// The members at one position of the membership stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The offset of the last record that the view includes.
    pub version: ids::Offset,
    /// The members in the order of their ids.
    pub members: Vec<Member>,
}

/// An entry of the platform's instance list, which lags and serves as a hint only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The configured name of the instance.
    pub id: ids::InstanceId,
    /// Where peers reach it.
    pub peer_address: net::SocketAddr,
}

/// Shared ownership of a view.
pub type SharedView = sync::Arc<View>;

/// What the membership reducer is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The sending process.
        incarnation: ids::Incarnation,
        /// What it says.
        message: Message,
    },
    /// The log answered a read of the membership stream.
    Read(log::Batch),
    /// The log answered an append to the membership stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// Where the record stands, or why that is not known.
        outcome: log::AppendOutcome,
    },
    /// The platform's instance list was read.
    Listed(Vec<Listed>),
    /// The instance is to leave gracefully.
    Leave,
}

/// What the membership reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: ids::InstanceId,
        /// Where the peer listens.
        address: net::SocketAddr,
        /// What to say.
        message: Message,
    },
    /// Append a record to the membership stream.
    Append {
        /// The token that the answer carries.
        token: ids::AppendToken,
        /// The record's bytes.
        body: bytes::Bytes,
    },
    /// The view has changed.
    Viewed(SharedView),
    /// This instance may act on its rights from now on, or no longer.
    Validity {
        /// Whether it may act.
        valid: bool,
        /// When the permission runs out unless it is renewed.
        until: ids::Timestamp,
    },
    /// The instance's leave is on record; it may stop.
    Left,
}

/// What instances tell each other about membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a witness for a promise.
    Heartbeat {
        /// A number that the answer repeats.
        sequence: u64,
    },
    /// Promises not to accuse the asker for a lease from the receipt of the heartbeat.
    Promise {
        /// The number of the heartbeat.
        sequence: u64,
    },
}

/// The membership of the fleet as this instance knows it.
#[derive(Debug)]
pub struct Membership {
    own: Member,
}

impl Membership {
    /// Creates the state of an instance that has not joined yet.
    pub fn new(own: Member) -> Self {
        Self { own }
    }
}

impl reducer::Reducer for Membership {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if let Event::Listed(_) = event {
            let view = View { version: 1, members: vec![self.own.clone()] };
            effects.push(Effect::Viewed(sync::Arc::new(view)));
            effects.push(Effect::Validity { valid: true, until: now });
        }
    }
}
