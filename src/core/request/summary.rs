//! The decisions on a request, for explanations, and its summary, for metrics.

use serde::{Deserialize, Serialize};

use crate::core::ids;
use crate::core::request;
use crate::core::scheduler;

/// Token counts as reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the cache held.
    pub cached_tokens: u32,
    /// Tokens that were generated.
    pub completion_tokens: u32,
}

/// One decision on a request, as `galenayard explain` shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// The request arrived.
    Arrived,
    /// The request's tokens were reserved.
    Admitted {
        /// The workspace that is charged.
        workspace: ids::WorkspaceId,
        /// The reserved tokens: the estimated prompt and the most output.
        tokens: u64,
    },
    /// Candidates were chosen.
    Candidates {
        /// The phase to run.
        phase: scheduler::Phase,
        /// The candidates, best first.
        servers: Vec<ids::ServerId>,
        /// Prompt tokens that the first candidate's prefix cache is estimated to hold.
        cached_tokens: u32,
    },
    /// A reservation was granted.
    Placed {
        /// The phase that it is for.
        phase: scheduler::Phase,
        /// The server of the reservation.
        server: ids::ServerId,
        /// How long the request waited for it, in milliseconds.
        waited_ms: u32,
    },
    /// An attempt began.
    Attempted {
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The server of the attempt.
        server: ids::ServerId,
    },
    /// An attempt failed.
    Failed {
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// How the attempt failed.
        failure: request::Failure,
    },
    /// The first token or the head of the answer was received.
    Started,
    /// The whole answer was relayed.
    Ended {
        /// The engine's token counts.
        usage: Usage,
    },
    /// The request was refused.
    Refused(request::Refusal),
    /// The caller disconnected.
    #[serde(rename = "Gone")]
    Disconnected,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer was relayed to the caller.
    Answered,
    /// The request was refused, perhaps after a part of the answer.
    Refused,
    /// The caller disconnected.
    #[serde(rename = "Gone")]
    Disconnected,
}

/// The result of a request, for its log line and the metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The workspace of the request's key, if the key is known.
    pub workspace: Option<ids::WorkspaceId>,
    /// The route, if one matched.
    pub route: Option<ids::RouteId>,
    /// How the request ended.
    pub outcome: Outcome,
    /// The refusal, if the request was refused.
    pub refusal: Option<request::Refusal>,
    /// Milliseconds from arrival to the first token or answer head.
    pub first_token_ms: Option<u32>,
    /// Milliseconds from arrival to the end.
    pub whole_ms: u32,
    /// The engine's token counts.
    pub usage: Usage,
    /// The number of attempts at backend servers.
    pub attempts: ids::Attempt,
}

impl Summary {
    pub(super) fn refused(refusal: request::Refusal) -> Self {
        Self {
            workspace: None,
            route: None,
            outcome: Outcome::Refused,
            refusal: Some(refusal),
            first_token_ms: None,
            whole_ms: 0,
            usage: Usage::default(),
            attempts: 0,
        }
    }
}
