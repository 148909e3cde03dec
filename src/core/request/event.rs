//! What the request reducer is told.

use serde::{Deserialize, Serialize};

use crate::core::claims;
use crate::core::configuration;
use crate::core::escrow;
use crate::core::ids;
use crate::core::request;
use crate::core::scheduler;

/// What the request reducer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A document is in force.
    Applied(configuration::SharedSnapshot),
    /// Whether the known keys are recent enough to accept requests with.
    ConfigurationFresh(bool),
    /// Whether this instance holds a valid lease.
    Validity(bool),
    /// The instance is shutting down.
    Drain,
    /// A caller's request was read.
    Arrived {
        /// The request.
        request: ids::RequestId,
        /// What came.
        arrival: request::Arrival,
    },
    /// The caller has gone away.
    Disconnected {
        /// The request.
        request: ids::RequestId,
    },
    /// The request's tokens are reserved.
    Admitted {
        /// The request.
        request: ids::RequestId,
    },
    /// The request's tokens cannot be had.
    Limited {
        /// The request.
        request: ids::RequestId,
        /// When they would be there, in milliseconds.
        retry_after_ms: u64,
        /// Why.
        reason: escrow::Refusal,
    },
    /// Candidates for a phase were chosen.
    Chosen {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The candidates, best first.
        candidates: Vec<ids::ServerId>,
        /// Prompt tokens that the best candidate's cache is believed to hold.
        cached_tokens: u32,
    },
    /// A place was granted.
    Placed {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The server.
        server: ids::ServerId,
        /// How long it took, in milliseconds.
        waited_ms: u32,
    },
    /// No place is to be had, or a granted one was lost.
    Unplaced {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// Why.
        reason: scheduler::UnplacedReason,
    },
    /// The claims reducer decided on the request's idempotency key.
    Claimed {
        /// The request.
        request: ids::RequestId,
        /// The decision.
        outcome: ClaimOutcome,
    },
    /// A prefill ended.
    Prefilled {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// What the engine counted.
        usage: request::Usage,
    },
    /// The first token, or the head of a plain answer, came.
    Started {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
    },
    /// More tokens came.
    Progressed {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// Tokens relayed to the caller so far, over all attempts.
        relayed_tokens: u32,
    },
    /// The whole answer was relayed.
    Ended {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// What the engine counted.
        usage: request::Usage,
        /// The answer to keep for callers that resend, if the request holds a claim.
        answer: Option<claims::Answer>,
    },
    /// An attempt failed.
    Failed {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::Attempt,
        /// How.
        failure: request::Failure,
    },
}

/// What the claims reducer decided on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request may run.
    Granted,
    /// Another request holds the claim and this is its answer.
    Answered {
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// Its answer.
        answer: claims::Answer,
    },
    /// The key was used with another request.
    Mismatch,
    /// The claim could not be recorded.
    Unavailable,
}
