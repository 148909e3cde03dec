//! Grants reservations of slots and KV cache memory on engines.
//!
//! For each engine exactly one instance, its owner, grants the reservations. Every instance is also
//! a client that requests reservations for its own requests.

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

/// The part of a language request that a reservation is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Computing the KV cache of the prompt.
    Prefill,
    /// Generating tokens.
    Decode,
}

/// What a request needs from a server in one phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The request that needs the reservation.
    pub request: ids::RequestId,
    /// The phase that the reservation is for.
    pub phase: Phase,
    /// The workspace that the request is charged to in fair queueing.
    pub workspace: ids::WorkspaceId,
    /// Prompt tokens to prefill, or the most tokens to generate.
    pub work_tokens: u32,
    /// KV cache memory to reserve, in pieces.
    pub memory_pieces: u32,
    /// How long the request has waited since its arrival, in milliseconds.
    pub age_ms: u32,
    /// Milliseconds from now within which the first token is due; negative when late.
    pub slack_ms: i32,
    /// The hash chain of the prompt's blocks.
    pub prefix: Vec<ids::BlockHash>,
    /// Prompt tokens that the first candidate's prefix cache is estimated to hold. They reduce the
    /// work at that candidate only.
    pub cached_tokens: u32,
}

/// How reservations are granted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// Owners grant reservations fairly over workspaces, and a request takes the first grant.
    #[default]
    Fair,
    /// As [`Discipline::Fair`], but a request that is queued at the server with its cached prefix
    /// waits there for a share of the prefill time that the cache saves before it also requests a
    /// reservation on another server.
    Delayed {
        /// The share of the saved prefill time to wait.
        share: f64,
    },
    /// Each request immediately has a reservation on its first candidate. A baseline for
    /// comparisons.
    Direct,
}

/// One measurement of a server by a request that runs on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The server that was measured.
    pub server: ids::ServerId,
    /// The phase in which the request ran.
    pub phase: Phase,
    /// Prompt tokens that were prefilled (without cached ones), or tokens that were generated.
    pub tokens: u32,
    /// The time that these tokens took, in milliseconds.
    pub elapsed_ms: u32,
    /// Whether the attempt failed; the token count then says nothing.
    pub failed: bool,
}

/// A server's load as reported by its engine; it lags behind the reservations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server that reported the load.
    pub server: ids::ServerId,
    /// Requests that the engine runs.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub queued: u32,
    /// Free KV cache memory, in pieces.
    pub free_pieces: u32,
    /// How long ago the engine measured the load, in milliseconds.
    pub age_ms: u32,
}

/// A request that an engine runs, or whose KV cache it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRequest {
    /// The id that the issuing instance gave to the request.
    pub request: ids::RequestId,
    /// KV cache memory that it occupies, in pieces.
    pub pieces: u32,
    /// How long the engine has held it, in milliseconds.
    pub age_ms: u32,
}

/// An input of the scheduler reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A periodic tick, on which due timers run.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
    /// This instance's lease has become valid or invalid.
    Validity {
        /// Whether the lease is valid, so that this instance may grant reservations.
        valid: bool,
    },
    /// A configuration document has come into force.
    Applied(configuration::SharedSnapshot),
    /// A message from a peer arrived.
    Received {
        /// The instance that sent it.
        from: ids::InstanceId,
        /// The incarnation of the sending process.
        incarnation: ids::Incarnation,
        /// The content of the message.
        message: Message,
    },
    /// A request of this instance needs a reservation on one of several servers.
    Place {
        /// What the request needs.
        demand: Demand,
        /// The candidate servers, best first.
        candidates: Vec<ids::ServerId>,
    },
    /// A request of this instance releases its reservation or stops waiting for one.
    Release {
        /// The request that had or awaited the reservation.
        request: ids::RequestId,
        /// The phase of the reservation.
        phase: Phase,
    },
    /// A request of this instance has made progress on a server, or failed there.
    Observed(Observation),
    /// A server reported its load.
    LoadReported(Load),
    /// An engine listed the requests that it holds.
    HeldRequestsListed {
        /// The server of the engine.
        server: ids::ServerId,
        /// All requests that the engine holds.
        held: Vec<HeldRequest>,
    },
}

/// An output of the scheduler reducer, to be carried out by its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The instance to send to.
        to: ids::InstanceId,
        /// The content of the message.
        message: Message,
    },
    /// A request has a reservation.
    Placed {
        /// The request that waited for it.
        request: ids::RequestId,
        /// The phase of the reservation.
        phase: Phase,
        /// The server of the reservation.
        server: ids::ServerId,
        /// How long the request waited, in milliseconds.
        waited_ms: u32,
    },
    /// A request gets no reservation on any candidate.
    Unplaced {
        /// The request that waited.
        request: ids::RequestId,
        /// The phase of the reservation.
        phase: Phase,
        /// Why there is no reservation.
        reason: UnplacedReason,
    },
    /// Cancel an orphaned request: no instance waits for its output.
    Cancel {
        /// The server that holds the request.
        server: ids::ServerId,
        /// The request to cancel.
        request: ids::RequestId,
    },
    /// Poll the load, the held requests and the cache events of these servers, and of no others.
    Watch {
        /// The servers that this instance owns.
        servers: Vec<ids::ServerId>,
    },
}

/// Why a request has no reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnplacedReason {
    /// No candidate is in service.
    NoServer,
    /// The queue of every candidate is full.
    QueueFull,
    /// The request waited for the longest time allowed.
    WaitedTooLong,
    /// The reservation was lost before it was used.
    Lost,
}

/// What the owner of a server counts for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Reservations that were granted here or registered by clients.
    #[serde(rename = "places")]
    pub reservations: u32,
    /// KV cache memory of these reservations, in pieces.
    pub memory_pieces: u32,
    /// How many decodes may run at the same time.
    pub decode_limit: u32,
    /// Requests in the queues for prefill and decode.
    pub queued: u32,
}
