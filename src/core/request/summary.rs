//! What is kept of a request for explanations and metrics.

use serde::{Deserialize, Serialize};

use crate::core::ids;
use crate::core::request;
use crate::core::scheduler;

/// Tokens as the engine counts them.
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
    /// It arrived.
    Arrived,
    /// It was admitted for a workspace at an estimated cost.
    Admitted {
        /// The workspace.
        workspace: ids::WorkspaceId,
        /// The estimated cost.
        tokens: u64,
    },
    /// Candidates were chosen.
    Candidates {
        /// The phase.
        phase: scheduler::Phase,
        /// The candidates.
        servers: Vec<ids::ServerId>,
        /// Tokens that the best one's cache is believed to hold.
        cached_tokens: u32,
    },
    /// A place was granted.
    Placed {
        /// The phase.
        phase: scheduler::Phase,
        /// The server.
        server: ids::ServerId,
        /// How long it waited, in milliseconds.
        waited_ms: u32,
    },
    /// An attempt began.
    Attempted {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
    },
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: ids::Attempt,
        /// How.
        failure: request::Failure,
    },
    /// The first token or the head of the answer came.
    Started,
    /// The whole answer was relayed.
    Ended {
        /// What the engine counted.
        usage: Usage,
    },
    /// It was refused.
    Refused(request::Refusal),
    /// The caller went away.
    #[serde(rename = "Gone")]
    Disconnected,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The caller has the whole answer.
    Answered,
    /// The caller has a refusal.
    Refused,
    /// The caller went away.
    #[serde(rename = "Gone")]
    Disconnected,
}

/// What the metrics keep of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The workspace, if a key named one.
    pub workspace: Option<ids::WorkspaceId>,
    /// The route, if one matched.
    pub route: Option<ids::RouteId>,
    /// How it ended.
    pub outcome: Outcome,
    /// Why it was refused.
    pub refusal: Option<request::Refusal>,
    /// Milliseconds from arrival to the first token or answer head.
    pub first_token_ms: Option<u32>,
    /// Milliseconds from arrival to the end.
    pub whole_ms: u32,
    /// What the engine counted.
    pub usage: Usage,
    /// Attempts at backend servers.
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
