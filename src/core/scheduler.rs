//! Grants slots and engine memory of backend servers, one scheduling instance for each server.

use serde::{Deserialize, Serialize};

use crate::core::configuration;
use crate::core::ids;
use crate::core::membership;

mod assignment;
mod client;
pub mod constants;
pub(in crate::core) mod health;
mod instance;
mod limit;
pub mod message;
mod outbox;
mod queue;
mod server;
mod timers;

pub use instance::Scheduler;
pub use message::Message;

/// The part of a language request that a place is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Filling the KV cache.
    Prefill,
    /// Generating tokens.
    Decode,
}

/// What a request needs of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The request.
    pub request: ids::RequestId,
    /// The phase.
    pub phase: Phase,
    /// The workspace that waits.
    pub workspace: ids::WorkspaceId,
    /// The work, in tokens.
    pub work_tokens: u32,
    /// Pieces of engine memory.
    pub memory_pieces: u32,
    /// How long the request has waited since its arrival, in milliseconds.
    pub age_ms: u32,
    /// Milliseconds from now within which the first token is due; negative when late.
    pub slack_ms: i32,
    /// The first blocks of the prompt's chain of hashes, for prefix affinity.
    pub prefix: Vec<ids::BlockHash>,
    /// The part of the work that the first candidate saves, since its cache is believed to hold
    /// it, in tokens.
    pub cached_tokens: u32,
}

/// How places are given.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// Servers grant places, fairly over workspaces, and a request takes the first grant.
    #[default]
    Fair,
    /// As [`Discipline::Fair`], but a request waits for a server that holds its prefix for this
    /// share of the time that the cached part would take, before it asks another server.
    Delayed {
        /// The share.
        share: f64,
    },
    /// Each request has a place on its first candidate at once. A baseline to compare with.
    Direct,
}

/// What a running request shows of its server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The server.
    pub server: ids::ServerId,
    /// The phase.
    pub phase: Phase,
    /// Tokens that were processed: prompt tokens not found in the cache, or tokens generated.
    pub tokens: u32,
    /// The time they took, in milliseconds.
    pub elapsed_ms: u32,
    /// Requests on the server at the time as far as this instance knows, this one included.
    pub failed: bool,
}

/// A server's load as it reports it, with a lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: ids::ServerId,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub queued: u32,
    /// Pieces of memory that are free.
    pub free_pieces: u32,
    /// The age of the measurement, in milliseconds.
    pub age_ms: u32,
}

/// A request that a server holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRequest {
    /// The request.
    pub request: ids::RequestId,
    /// Pieces of memory that it holds.
    pub pieces: u32,
    /// How long the server has held it, in milliseconds.
    pub age_ms: u32,
}

/// What the scheduler reducer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
    /// This instance may act as a scheduler, or no longer.
    Validity {
        /// Whether it may.
        valid: bool,
    },
    /// A document is in force.
    Applied(configuration::SharedSnapshot),
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The sending process.
        incarnation: ids::Incarnation,
        /// What it says.
        message: Message,
    },
    /// A request of this instance asks for a place on one of several servers.
    Place {
        /// What it needs.
        demand: Demand,
        /// The candidates, best first.
        candidates: Vec<ids::ServerId>,
    },
    /// A request of this instance gives up its place or its wait for one.
    Release {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: Phase,
    },
    /// A request of this instance has made progress on a server.
    Observed(Observation),
    /// A server reported its load.
    LoadReported(Load),
    /// A server listed the requests that it holds.
    HeldRequestsListed {
        /// The server.
        server: ids::ServerId,
        /// The requests.
        held: Vec<HeldRequest>,
    },
}

/// What the scheduler reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The member's name.
        to: ids::InstanceId,
        /// What to say.
        message: Message,
    },
    /// The request has a place.
    Placed {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: Phase,
        /// The server.
        server: ids::ServerId,
        /// How long it waited, in milliseconds.
        waited_ms: u32,
    },
    /// The request cannot have a place on any candidate.
    Unplaced {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: Phase,
        /// Why.
        reason: UnplacedReason,
    },
    /// Cancel a request on a server, since nobody awaits it.
    Cancel {
        /// The server.
        server: ids::ServerId,
        /// The request.
        request: ids::RequestId,
    },
    /// Watch these servers: poll their load, their held requests and their cache events.
    Watch {
        /// The servers that this instance schedules.
        servers: Vec<ids::ServerId>,
    },
}

/// Why a request has no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnplacedReason {
    /// No candidate is in service.
    NoServer,
    /// The queue of every candidate is full.
    QueueFull,
    /// The request waited as long as it may.
    WaitedTooLong,
    /// The place was lost before it was used.
    Lost,
}

/// What the scheduling instance counts for one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Places that are granted or registered.
    pub places: u32,
    /// Pieces of memory that these places hold.
    pub memory_pieces: u32,
    /// How many decodes may run at once.
    pub decode_limit: u32,
    /// Requests that wait.
    pub queued: u32,
}
