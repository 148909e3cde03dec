//! What instances tell each other about places.

use serde::{Deserialize, Serialize};

use crate::core::ids;

/// A client's number for one ask of one server, unique within its incarnation.
pub type Ticket = u64;

/// The lower half of an incarnation: it tells a process from earlier ones of the same name.
pub type Addressee = u32;

/// Returns how answers to a process are addressed.
pub fn addressee(incarnation: ids::Incarnation) -> Addressee {
    incarnation as Addressee
}

/// What a client observed on a server since it last told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tokens that were processed.
    pub tokens: u32,
    /// The time they took, in milliseconds, summed over the observations.
    pub elapsed_ms: u32,
    /// Successful observations.
    pub observations: u32,
    /// Failed attempts since the last successful one.
    pub failures: u32,
}

/// A request for a place on one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The client's number for it.
    pub ticket: Ticket,
    /// The lower half of the request id; the upper one is the sender's incarnation.
    pub sequence: u64,
    /// The server.
    pub server: ids::ServerId,
    /// Whether the place is for decode.
    pub decode: bool,
    /// The workspace that waits.
    pub workspace: ids::WorkspaceId,
    /// The work, in tokens.
    pub work_tokens: u32,
    /// Pieces of engine memory.
    pub memory_pieces: u32,
    /// How long the request has waited since its arrival, in milliseconds.
    pub age_ms: u32,
    /// Milliseconds within which the first token is due.
    pub slack_ms: i32,
    /// What the client observed on the server in this phase.
    pub report: Option<Report>,
}

/// A place that a client holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The client's number for it.
    pub ticket: Ticket,
    /// The lower half of the request id.
    pub sequence: u64,
    /// Whether the place is for decode.
    pub decode: bool,
    /// The work, in tokens.
    pub work_tokens: u32,
    /// Pieces of engine memory.
    pub memory_pieces: u32,
}

/// Why a scheduler does not queue a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue is full, or the workspace's part of it.
    Full,
    /// The server is leaving.
    Leaving,
    /// Another instance schedules the server.
    Moved,
    /// The server is ejected.
    Sick,
}

/// A message between the client of a place and the scheduler that grants it.
///
/// The variants' names on the wire are single letters, since a place costs several messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a place.
    #[serde(rename = "a")]
    Ask(Ask),
    /// Gives up a place or the wait for one.
    #[serde(rename = "r")]
    Release {
        /// The server.
        server: ids::ServerId,
        /// The client's number for it.
        ticket: Ticket,
        /// What the client observed on the server in this phase.
        report: Option<Report>,
    },
    /// Gives up a place that the client no longer knows.
    #[serde(rename = "d")]
    Decline {
        /// The client's number for it.
        ticket: Ticket,
    },
    /// Tells what a client observed.
    #[serde(rename = "o")]
    Report {
        /// The server.
        server: ids::ServerId,
        /// Whether it concerns decode.
        decode: bool,
        /// What was observed.
        report: Report,
    },
    /// Grants a place.
    #[serde(rename = "g")]
    Grant {
        /// The process that asked.
        addressee: Addressee,
        /// The client's number for it.
        ticket: Ticket,
    },
    /// The request is queued.
    #[serde(rename = "q")]
    Queued {
        /// The process that asked.
        addressee: Addressee,
        /// The client's number for it.
        ticket: Ticket,
        /// The expected wait, in milliseconds.
        wait_ms: u32,
    },
    /// The request is not queued.
    #[serde(rename = "f")]
    Refuse {
        /// The process that asked.
        addressee: Addressee,
        /// The client's number for it.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
    },
    /// Registers places that the client holds, with a new scheduler or in answer to a check.
    #[serde(rename = "h")]
    Hold {
        /// The server.
        server: ids::ServerId,
        /// The places.
        places: Vec<Registration>,
    },
    /// Acknowledges the registration of a server's places.
    #[serde(rename = "k")]
    Kept {
        /// The server.
        server: ids::ServerId,
    },
    /// Asks whether the client holds places for requests on a server.
    #[serde(rename = "c")]
    Check {
        /// The process that is asked.
        addressee: Addressee,
        /// The server.
        server: ids::ServerId,
        /// The lower halves of the request ids.
        sequences: Vec<u64>,
    },
    /// The client holds no place for a request on a server.
    #[serde(rename = "u")]
    Unheld {
        /// The server.
        server: ids::ServerId,
        /// The lower half of the request id.
        sequence: u64,
        /// Whether the request is alive, with a place elsewhere or waiting for one.
        live: bool,
    },
}
