//! Commands to the task that serves a request.

use std::net;

use serde::{Deserialize, Serialize};

use crate::core::claims;
use crate::core::ids;
use crate::core::request;

/// A command to the task that serves a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Prefill the prompt on a server and keep the transfer parameters of its KV cache.
    Prefill {
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The server to send to.
        server: ids::ServerId,
        /// The server's address.
        address: net::SocketAddr,
        /// The engine's priority; lower runs first.
        priority: i32,
    },
    /// Generate tokens on a server, from the last prefill's KV cache if there is one.
    Decode {
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The server to send to.
        server: ids::ServerId,
        /// The server's address.
        address: net::SocketAddr,
        /// The engine's priority; lower runs first.
        priority: i32,
        /// How the attempt continues earlier ones.
        start: Start,
    },
    /// Forward a plain call.
    Forward {
        /// The number of the attempt.
        attempt: ids::Attempt,
        /// The server to send to.
        server: ids::ServerId,
        /// The server's address.
        address: net::SocketAddr,
        /// Whether to report the whole answer, so that it can be replayed to callers that resend.
        keep_answer: bool,
        /// The time after which the call must not be sent, because its claim may expire.
        send_before: Option<ids::Timestamp>,
    },
    /// Answer with the recorded answer of an earlier request with the same idempotency key.
    Replay {
        /// The earlier request.
        holder: ids::RequestId,
        /// The answer of the earlier request.
        answer: claims::Answer,
    },
    /// Refuse the request, or end a stream that has begun with an error.
    Refuse(request::Refusal),
}

/// How a decode attempt continues earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Start {
    /// Import the KV cache of the last prefill.
    Import,
    /// Prefill the prompt on the decode server.
    #[serde(rename = "Whole")]
    Prefill,
    /// Resume the stream that the server still holds, at the first token that was not relayed.
    Resume,
}
