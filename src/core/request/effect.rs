//! What the request reducer wants done.

use std::net;

use crate::core::claims;
use crate::core::escrow;
use crate::core::ids;
use crate::core::request;
use crate::core::scheduler;

/// What the request reducer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Tell the request's task what to do.
    Command {
        /// The request.
        request: ids::RequestId,
        /// The command.
        command: request::Command,
    },
    /// Cancel the request on a server, so that the server frees what it holds.
    Cancel {
        /// The request.
        request: ids::RequestId,
        /// The server.
        server: ids::ServerId,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Tell the escrow reducer.
    Escrow(escrow::Event),
    /// Tell the placement reducer.
    Choose {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The model.
        model: ids::ModelId,
        /// The chain of hashes of the prompt's blocks.
        prefix: Vec<ids::BlockHash>,
        /// The prompt's estimated length.
        prompt_tokens: u32,
        /// Servers to leave out.
        excluded: Vec<ids::ServerId>,
    },
    /// Tell the scheduler reducer.
    Scheduler(scheduler::Event),
    /// Tell the claims reducer.
    Claims(claims::Event),
    /// A decision to keep for `galenayard explain`.
    Explain {
        /// The request.
        request: ids::RequestId,
        /// The decision.
        step: request::Step,
    },
    /// The request is over and forgotten.
    Closed {
        /// The request.
        request: ids::RequestId,
        /// Its summary, for metrics.
        summary: request::Summary,
    },
}
