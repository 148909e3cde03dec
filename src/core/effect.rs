//! The effects of an instance's reducers.

use std::net;

use bytes::Bytes;

use crate::core::configuration;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::message;
use crate::core::request;

/// An effect for the shell to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: ids::InstanceId,
        /// The peer's address.
        address: net::SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// Append a record to a stream of the log.
    Append {
        /// The stream.
        stream: log::Stream,
        /// The token that identifies the log's answer.
        token: ids::AppendToken,
        /// The encoded record.
        body: Bytes,
    },
    /// Send a command to the task of a request.
    Command {
        /// The request.
        request: ids::RequestId,
        /// The command.
        command: request::Command,
    },
    /// Cancel a request on an engine.
    Cancel {
        /// The request.
        request: ids::RequestId,
        /// The engine.
        server: ids::ServerId,
        /// The engine's address.
        address: net::SocketAddr,
    },
    /// Read the complete contents of a server's prefix cache again.
    Resynchronise {
        /// The server.
        server: ids::ServerId,
    },
    /// Poll the load, the held requests and the cache events of these servers, and of no others.
    Watch {
        /// The servers and their addresses.
        servers: Vec<(ids::ServerId, net::SocketAddr)>,
    },
    /// The membership view has changed.
    ViewChanged(membership::SharedView),
    /// Another document is in force.
    Applied(configuration::SharedSnapshot),
    /// This instance became valid or invalid: whether it may act on its rights.
    Validity(bool),
    /// The known keys became recent enough to accept requests, or no longer are.
    KeysFresh(bool),
    /// A record of the configuration stream, or a peer's checkpoint, was ignored.
    RecordIgnored {
        /// The record's offset, or the version of the checkpoint.
        offset: ids::Offset,
        /// The reason, and what an operator can do about it.
        reason: String,
    },
    /// The outcome of an operator's proposal is known, or the proposal has timed out.
    ProposalDecided {
        /// The id of the proposal.
        proposal: u128,
        /// Its outcome.
        outcome: configuration::ProposalOutcome,
    },
    /// A decision on a request, recorded to explain the request later.
    Explain {
        /// The request.
        request: ids::RequestId,
        /// The decision.
        step: request::Step,
    },
    /// A request has ended.
    RequestClosed {
        /// The request.
        request: ids::RequestId,
        /// Its summary.
        summary: request::Summary,
    },
    /// This instance has handed over all its rights.
    HandedOver,
    /// The process may stop: the instance's leave record is in the log or has timed out.
    LeaveFinished,
}
