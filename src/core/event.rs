//! Everything that can happen to an instance.

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
        /// What it says.
        message: message::Message,
    },
    /// The log answered a read.
    Read {
        /// The stream.
        stream: log::Stream,
        /// What it holds.
        batch: log::Batch,
    },
    /// The log answered an append, or the append failed.
    Appended {
        /// The stream.
        stream: log::Stream,
        /// The token of the append.
        token: ids::AppendToken,
        /// Where the record stands, or why that is not known.
        outcome: log::AppendOutcome,
    },
    /// The platform's instance list was read.
    InstancesListed(Vec<membership::ListedInstance>),
    /// An operator proposes a document.
    Proposed(configuration::Proposal),
    /// Something happened to a request.
    Request(request::Event),
    /// A server reported its load.
    LoadReported(scheduler::Load),
    /// A server listed the requests that it holds.
    HeldRequestsListed {
        /// The server.
        server: ids::ServerId,
        /// The requests.
        held: Vec<scheduler::Held>,
    },
    /// A server's prefix cache has changed.
    CacheChanged {
        /// The server.
        server: ids::ServerId,
        /// The change.
        change: placement::CacheEvent,
    },
    /// The instance will leave soon and is to be shown as leaving.
    Announce,
    /// The instance stops accepting requests.
    Drain,
    /// The instance has no requests left and hands its rights over.
    Leave,
}
