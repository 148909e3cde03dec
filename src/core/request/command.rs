//! What the task that serves a request is to do.

use std::net;

use serde::{Deserialize, Serialize};

use crate::core::claims;
use crate::core::ids;
use crate::core::request;

/// What the task that serves a request is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Fill the KV cache on a server and keep its transfer parameters.
    Prefill {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
        /// The engine's priority; lower runs first.
        priority: i32,
    },
    /// Generate tokens on a server, from the last prefill's KV cache if there is one.
    Decode {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
        /// The engine's priority; lower runs first.
        priority: i32,
        /// How the attempt relates to earlier ones.
        start: Start,
    },
    /// Forward a plain call.
    Forward {
        /// The attempt.
        attempt: ids::Attempt,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
        /// Whether only a connection may be used that is new or was in use a moment ago.
        fresh: bool,
        /// Whether the whole answer is to be reported for callers that resend.
        keep_answer: bool,
        /// When the call must no longer be sent, because its claim may run out.
        send_before: Option<ids::Timestamp>,
    },
    /// Answer with what an earlier request with the same idempotency key got.
    Replay {
        /// The earlier request.
        holder: ids::RequestId,
        /// Its answer.
        answer: claims::Answer,
    },
    /// Refuse the request, or end a stream that has begun with an error.
    Refuse(request::Refusal),
}

/// How a decode attempt relates to earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Start {
    /// Import the KV cache of the last prefill.
    Import,
    /// Prefill in place.
    #[serde(rename = "Whole")]
    Prefill,
    /// Resume the stream that the server holds at the first token not yet relayed.
    Resume,
}
