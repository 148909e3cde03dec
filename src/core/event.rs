//! The events that an instance's reducers handle.

use crate::core::configuration;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::message;
use crate::core::placement;
use crate::core::request;
use crate::core::scheduler;

/// An event from outside the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The sending process.
        incarnation: ids::Incarnation,
        /// The message.
        message: message::Message,
    },
    /// The log answered a read.
    Read {
        /// The stream.
        stream: log::Stream,
        /// The records, and the bounds of the stream.
        batch: log::Batch,
    },
    /// The log answered an append, or the append failed.
    Appended {
        /// The stream.
        stream: log::Stream,
        /// The token of the append.
        token: ids::AppendToken,
        /// The record's offset, or the reason why it is not known.
        outcome: log::AppendOutcome,
    },
    /// A read of the platform's instance list has finished.
    InstancesListed(Vec<membership::ListedInstance>),
    /// An operator proposes a document.
    Proposed(configuration::Proposal),
    /// An event of a request.
    Request(request::Event),
    /// A server reported its load.
    LoadReported(scheduler::Load),
    /// A server listed the requests that it holds.
    HeldRequestsListed {
        /// The server.
        server: ids::ServerId,
        /// The requests.
        held: Vec<scheduler::HeldRequest>,
    },
    /// A server's prefix cache has changed.
    CacheChanged {
        /// The server.
        server: ids::ServerId,
        /// The change.
        change: placement::CacheEvent,
    },
    /// The instance will leave soon and announces that to its peers.
    Announce,
    /// The instance stops accepting requests.
    Drain,
    /// The instance has no requests any more; it hands over its rights and leaves.
    Leave,
}
