//! Claims on idempotency keys that are decided by the order of records in the log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::core::ids;
use crate::core::log;
use crate::core::reducer;

/// Digests a workspace and the idempotency key that one of its callers chose.
pub fn key_digest(workspace: Option<&ids::WorkspaceId>, key: &Bytes) -> ids::Digest {
    let mut hasher = sha2::Sha256::new();
    if let Some(workspace) = workspace {
        hasher.update((workspace.len() as u64).to_le_bytes());
        hasher.update(workspace);
    }
    hasher.update(key);
    hasher.finalize().into()
}

/// What the claims reducer is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The log answered a read of the claims stream.
    Read(log::Batch),
    /// The log answered an append to the claims stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// Where the record stands, or why that is not known.
        outcome: log::AppendOutcome,
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
    /// A request with an idempotency key asks to be the one that runs.
    Claim {
        /// The request.
        request: ids::RequestId,
        /// The digest of workspace and idempotency key.
        key: ids::Digest,
        /// The digest of method, path and body.
        fingerprint: ids::Digest,
    },
    /// The request that holds a claim has ended.
    Settled {
        /// The request.
        request: ids::RequestId,
        /// How it ended.
        answer: Answer,
    },
    /// A request that waits for its claim is given up.
    Withdraw {
        /// The request.
        request: ids::RequestId,
    },
}

/// The answer to a request that held a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The backend server answered.
    Whole {
        /// The status code.
        status: u16,
        /// The content type.
        content_type: Bytes,
        /// The body.
        body: Bytes,
    },
    /// The answer is too large to keep.
    TooLarge {
        /// The status code.
        status: u16,
    },
    /// The request certainly did not run; the key may be claimed again.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

/// What the claims reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The member's name.
        to: ids::InstanceId,
        /// What to say.
        message: Message,
    },
    /// Append a record to the claims stream.
    Append {
        /// The token that the answer carries.
        token: ids::AppendToken,
        /// The record's bytes.
        body: Bytes,
    },
    /// The request holds the claim and may run.
    Granted {
        /// The request.
        request: ids::RequestId,
    },
    /// Another request holds the claim; its answer stands for this request too.
    Answered {
        /// The request.
        request: ids::RequestId,
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// The holder's answer.
        answer: Answer,
    },
    /// The key was used with another body.
    Mismatch {
        /// The request.
        request: ids::RequestId,
    },
    /// The claim could not be recorded in time; the request has not run.
    Unavailable {
        /// The request.
        request: ids::RequestId,
    },
}

/// What instances tell each other about claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// The claims that this instance knows and those it waits for.
#[derive(Debug, Default)]
pub struct Claims {}

impl Claims {
    /// Creates the state of an instance that knows no claims.
    pub fn new(_own: ids::InstanceId, _incarnation: ids::Incarnation) -> Self {
        Self {}
    }
}

impl reducer::Reducer for Claims {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, _now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if let Event::Claim { request, .. } = event {
            effects.push(Effect::Unavailable { request });
        }
    }
}
