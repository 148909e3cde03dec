//! The inputs of the request reducer.

use serde::{Deserialize, Serialize};

use crate::core::claims;
use crate::core::configuration;
use crate::core::escrow;
use crate::core::ids;
use crate::core::request;
use crate::core::scheduler;

/// An input of the request reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A periodic tick, on which due timers run.
    Tick,
    /// A configuration document has come into force.
    Applied(configuration::SharedSnapshot),
    /// Whether the configuration with its keys is recent enough to accept requests.
    KeysFresh(bool),
    /// Whether this instance holds a valid lease.
    Validity(bool),
    /// The instance is shutting down.
    Drain,
    /// A caller's request was received.
    Arrived {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The content of the request.
        arrival: request::Arrival,
    },
    /// The caller has disconnected.
    Disconnected {
        /// The request that the event is for.
        request: ids::RequestId,
    },
    /// The request's tokens are reserved.
    Admitted {
        /// The request that the event is for.
        request: ids::RequestId,
    },
    /// The request's tokens are not available within its workspace's limits.
    Limited {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The time until they are expected to be available, in milliseconds.
        retry_after_ms: u64,
        /// Why the tokens are not available.
        reason: escrow::Refusal,
    },
    /// Candidates for a phase were chosen.
    Chosen {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The phase to run.
        phase: scheduler::Phase,
        /// The candidates, best first.
        candidates: Vec<ids::ServerId>,
        /// Prompt tokens that the first candidate's prefix cache is estimated to hold.
        cached_tokens: u32,
    },
    /// A reservation was granted.
    Placed {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The phase to run.
        phase: scheduler::Phase,
        /// The server of the reservation.
        server: ids::ServerId,
        /// How long the request waited for it, in milliseconds.
        waited_ms: u32,
    },
    /// There is no reservation to be granted, or a granted one was lost.
    Unplaced {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The phase to run.
        phase: scheduler::Phase,
        /// Why there is no reservation.
        reason: scheduler::UnplacedReason,
    },
    /// The claims reducer decided on the request's idempotency key.
    Claimed {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The decision on the claim.
        outcome: ClaimOutcome,
    },
    /// A prefill ended.
    Prefilled {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The engine's token counts.
        usage: request::Usage,
    },
    /// The first token, or the head of a plain answer, was received.
    Started {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The number of the attempt.
        attempt: ids::Attempt,
    },
    /// More tokens were received and relayed.
    Progressed {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// Tokens relayed to the caller so far, over all attempts.
        relayed_tokens: u32,
    },
    /// The whole answer was relayed.
    Ended {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The engine's token counts.
        usage: request::Usage,
        /// The answer to replay to callers that resend, if the request holds a claim.
        answer: Option<claims::Answer>,
    },
    /// An attempt failed.
    Failed {
        /// The request that the event is for.
        request: ids::RequestId,
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// How the attempt failed.
        failure: request::Failure,
    },
}

/// The decision of the claims reducer on a request's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request may run.
    Granted,
    /// Another request holds the claim and this is its answer.
    Answered {
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// The recorded answer.
        answer: claims::Answer,
    },
    /// The key was used with another request.
    Mismatch,
    /// The claim could not be recorded.
    Unavailable,
}
