//! Refusals, failures, and whether a request ran.

use serde::{Deserialize, Serialize};

use crate::core::escrow;
use crate::core::request::constants;
use crate::core::scheduler;

/// Whether a request ran, as far as is known for certain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of it can have reached a backend server that would run it.
    No,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The route needs a key, and the request has none or an unknown one.
    Unauthenticated,
    /// The workspace may not use the route.
    Forbidden,
    /// No route matches the model or the path.
    NoRoute,
    /// The route exists but not for this method.
    #[serde(rename = "Method")]
    MethodNotAllowed,
    /// The request's tokens are not available within the workspace's limits.
    Limit(escrow::Refusal),
    /// There is no reservation or capacity on any backend server.
    #[serde(rename = "Place")]
    Unplaced(scheduler::UnplacedReason),
    /// The instance's configuration or keys are not recent enough.
    Stale,
    /// The instance has no valid lease.
    #[serde(rename = "NotValid")]
    NoLease,
    /// The instance handles as many requests as it may.
    TooManyRequests,
    /// The instance is shutting down and takes no new requests.
    Draining,
    /// Every attempt at a backend server failed; the last one with this fault.
    Failed(Fault),
    /// The idempotency key was used with another request.
    KeyReused,
    /// The idempotency key could not be recorded.
    ClaimUnavailable,
    /// Another request with the same idempotency key may have run, and its answer is not available.
    ClaimHeld,
    /// The request took longer than it may.
    Deadline,
}

/// A refusal as it is sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// The delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// How an attempt at a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fault {
    /// No connection could be opened.
    Connect,
    /// No first byte was received in time.
    FirstByte,
    /// The stream paused longer than it may.
    Gap,
    /// The connection ended early.
    Closed,
    /// The server answered with this status.
    Status(u16),
    /// The KV cache to import did not exist any more.
    KvGone,
    /// The server had no free slot or no free memory.
    Full,
    /// The server does not know the request that was to be resumed.
    UnknownRequest,
    /// The answer belongs to another request.
    Crossed,
    /// The answer cannot be read.
    Malformed,
}

/// A failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// How it failed.
    pub fault: Fault,
    /// Whether the server may have run the request.
    pub ran: Ran,
}

impl Reason {
    /// Returns the name that metrics, logs and callers see.
    pub fn name(&self) -> &'static str {
        match self {
            Reason::Unauthenticated => "unauthenticated",
            Reason::Forbidden => "forbidden",
            Reason::NoRoute => "no_route",
            Reason::MethodNotAllowed => "method_not_allowed",
            Reason::Limit(escrow::Refusal::OverRate) => "over_rate",
            Reason::Limit(escrow::Refusal::OverBurst) => "over_burst",
            Reason::Limit(escrow::Refusal::Unreachable) => "limits_unreachable",
            Reason::Limit(escrow::Refusal::QueueFull) => "limit_queue_full",
            Reason::Limit(escrow::Refusal::NoLimitConfigured) => "no_limit_configured",
            Reason::Unplaced(scheduler::UnplacedReason::NoServer) => "no_server",
            Reason::Unplaced(scheduler::UnplacedReason::QueueFull) => "server_queue_full",
            Reason::Unplaced(scheduler::UnplacedReason::WaitedTooLong) => "waited_too_long",
            Reason::Unplaced(scheduler::UnplacedReason::Lost) => "place_lost",
            Reason::Stale => "configuration_stale",
            Reason::NoLease => "no_lease",
            Reason::TooManyRequests => "instance_full",
            Reason::Draining => "draining",
            Reason::Failed(_) => "backend_server_failed",
            Reason::KeyReused => "idempotency_key_reused",
            Reason::ClaimUnavailable => "claim_unavailable",
            Reason::ClaimHeld => "claim_held",
            Reason::Deadline => "deadline",
        }
    }

    /// Returns the delay after which a caller should retry, if it does not depend on the workspace.
    pub(super) fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Reason::Unplaced(_) | Reason::TooManyRequests | Reason::Failed(_) => {
                Some(constants::RETRY_AFTER_BUSY_MS)
            }
            Reason::Stale | Reason::NoLease | Reason::Draining | Reason::ClaimUnavailable => {
                Some(constants::RETRY_AFTER_ELSEWHERE_MS)
            }
            _ => None,
        }
    }
}

impl Failure {
    /// Returns a failure before any byte of the request can have been sent.
    pub fn not_run(fault: Fault) -> Self {
        Self { fault, ran: Ran::No }
    }

    /// Returns a failure after which the server may have run the request.
    pub fn maybe_run(fault: Fault) -> Self {
        Self { fault, ran: Ran::Unknown }
    }
}
