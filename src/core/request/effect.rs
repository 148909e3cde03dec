//! The outputs of the request reducer.

use std::net;

use crate::core::claims;
use crate::core::escrow;
use crate::core::ids;
use crate::core::request;
use crate::core::scheduler;

/// An output of the request reducer, to be carried out by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a command to the task that serves a request.
    Command {
        /// The request of the task.
        request: ids::RequestId,
        /// The command to carry out.
        command: request::Command,
    },
    /// Cancel a request on a server, so that the server frees its slot and memory.
    Cancel {
        /// The request to cancel.
        request: ids::RequestId,
        /// The server that runs or holds the request.
        server: ids::ServerId,
        /// The server's address.
        address: net::SocketAddr,
    },
    /// Apply an event to the escrow reducer.
    Escrow(escrow::Event),
    /// Choose candidate servers with the placement reducer.
    Choose {
        /// The request that needs a server.
        request: ids::RequestId,
        /// The phase to run on it.
        phase: scheduler::Phase,
        /// The model that it must serve.
        model: ids::ModelId,
        /// The hash chain of the prompt's blocks.
        prefix: Vec<ids::BlockHash>,
        /// The prompt's estimated length, in tokens.
        prompt_tokens: u32,
        /// Servers to exclude, since this request failed on them.
        excluded: Vec<ids::ServerId>,
    },
    /// Apply an event to the scheduler reducer.
    Scheduler(scheduler::Event),
    /// Apply an event to the claims reducer.
    Claims(claims::Event),
    /// Record a decision for `galenayard explain`.
    Explain {
        /// The request that the decision is about.
        request: ids::RequestId,
        /// The decision to record.
        step: request::Step,
    },
    /// The request has ended and its state is removed.
    Closed {
        /// The request that ended.
        request: ids::RequestId,
        /// The request's summary, for its log line and the metrics.
        summary: request::Summary,
    },
}
