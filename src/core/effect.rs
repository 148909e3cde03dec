//! Everything that an instance does about events.

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
        /// Where it listens.
        address: net::SocketAddr,
        /// What to say.
        message: message::Message,
    },
    /// Append a record to a stream of the log.
    Append {
        /// The stream.
        stream: log::Stream,
        /// The token that the answer carries.
        token: ids::AppendToken,
        /// The record's bytes.
        body: Bytes,
    },
    /// Tell a request's task what to do.
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
        /// Its address.
        address: net::SocketAddr,
    },
    /// Read a server's prefix cache as a whole.
    Resynchronise {
        /// The server.
        server: ids::ServerId,
    },
    /// Poll the load, the held requests and the cache events of these servers and no others.
    Watch {
        /// The servers and their addresses.
        servers: Vec<(ids::ServerId, net::SocketAddr)>,
    },
    /// The view has changed.
    ViewChanged(membership::SharedView),
    /// A document is in force.
    Applied(configuration::SharedSnapshot),
    /// This instance may act on its rights, or no longer.
    Validity(bool),
    /// The known keys are recent enough to accept requests with, or no longer.
    KeysFresh(bool),
    /// A record of the configuration stream was ignored.
    RecordIgnored {
        /// The record's offset.
        offset: ids::Offset,
        /// Why, and what to do about it.
        reason: String,
    },
    /// An operator's proposal has ended.
    ProposalDecided {
        /// The proposal.
        proposal: u128,
        /// How it ended.
        outcome: configuration::ProposalOutcome,
    },
    /// A decision on a request, to be kept for explanation.
    Explain {
        /// The request.
        request: ids::RequestId,
        /// The decision.
        step: request::Step,
    },
    /// A request is over.
    RequestClosed {
        /// The request.
        request: ids::RequestId,
        /// Its summary.
        summary: request::Summary,
    },
    /// All rights are handed over.
    HandedOver,
    /// The instance's leave is on record; it may stop.
    LeaveFinished,
}
