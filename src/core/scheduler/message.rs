//! Messages between instances about reservations.

use serde::{Deserialize, Serialize};

use crate::core::ids;

/// A client's number for a reservation request at one server, unique within its incarnation.
pub type Ticket = u64;

/// The lower half of an incarnation: it distinguishes a process from earlier ones of the same
/// instance.
pub type Addressee = u32;

/// Returns the address of a process in the answers to it.
pub fn addressee(incarnation: ids::Incarnation) -> Addressee {
    incarnation as Addressee
}

/// What a client observed in one phase of a server since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tokens that were prefilled or generated.
    pub tokens: u32,
    /// The time that these tokens took, in milliseconds, summed over the observations.
    pub elapsed_ms: u32,
    /// The number of successful observations.
    pub observations: u32,
    /// Failed attempts since the last successful one.
    pub failures: u32,
}

/// A client's request for a reservation on one server. Resending it confirms that it still waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// The client's number for this reservation request.
    pub ticket: Ticket,
    /// The lower half of the request id; the upper half is the sender's incarnation.
    pub sequence: u64,
    /// The server on which to reserve.
    pub server: ids::ServerId,
    /// Whether the reservation is for decode; otherwise it is for prefill.
    pub decode: bool,
    /// The workspace that the request is charged to in fair queueing.
    pub workspace: ids::WorkspaceId,
    /// Prompt tokens to prefill, or the most tokens to generate.
    pub work_tokens: u32,
    /// KV cache memory to reserve, in pieces.
    pub memory_pieces: u32,
    /// How long the request has waited since its arrival, in milliseconds.
    pub age_ms: u32,
    /// Milliseconds within which the first token is due; negative when late.
    pub slack_ms: i32,
    /// What the client observed on the server in this phase.
    pub report: Option<Report>,
}

/// A reservation that a client holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The client's number for the reservation request.
    pub ticket: Ticket,
    /// The lower half of the request id.
    pub sequence: u64,
    /// Whether the reservation is for decode; otherwise it is for prefill.
    pub decode: bool,
    /// Prompt tokens to prefill, or the most tokens to generate.
    pub work_tokens: u32,
    /// Reserved KV cache memory, in pieces.
    pub memory_pieces: u32,
}

/// Why an owner does not queue a reservation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The queue, or the workspace's share of it, is full.
    Full,
    /// The document takes the server out of service.
    Leaving,
    /// The receiver does not own the server.
    Moved,
    /// The server is ejected because of repeated failures.
    #[serde(rename = "Sick")]
    Ejected,
}

/// A message between the client of a reservation and the owner of the server.
///
/// The variants' names on the wire are single letters, since each reservation takes several
/// messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Client to owner: requests a reservation.
    #[serde(rename = "a")]
    Reserve(ReservationRequest),
    /// Client to owner: releases a reservation or withdraws the request for one.
    #[serde(rename = "r")]
    Release {
        /// The server of the reservation.
        server: ids::ServerId,
        /// The client's number for the reservation request.
        ticket: Ticket,
        /// What the client observed on the server in this phase.
        report: Option<Report>,
    },
    /// Client to owner: declines a grant, since the client does not know the ticket any more.
    #[serde(rename = "d")]
    Decline {
        /// The client's number for the reservation request.
        ticket: Ticket,
    },
    /// Client to owner: reports what the client observed.
    #[serde(rename = "o")]
    Report {
        /// The server that was observed.
        server: ids::ServerId,
        /// Whether it was observed in decode; otherwise it was in prefill.
        decode: bool,
        /// The observations since the last report.
        report: Report,
    },
    /// Owner to client: grants a reservation.
    #[serde(rename = "g")]
    Grant {
        /// The process that requested the reservation.
        addressee: Addressee,
        /// The client's number for the reservation request.
        ticket: Ticket,
    },
    /// Owner to client: the reservation request is queued.
    #[serde(rename = "q")]
    Queued {
        /// The process that requested the reservation.
        addressee: Addressee,
        /// The client's number for the reservation request.
        ticket: Ticket,
        /// The expected wait, in milliseconds.
        wait_ms: u32,
    },
    /// Owner to client: the reservation request is refused.
    #[serde(rename = "f")]
    Refuse {
        /// The process that requested the reservation.
        addressee: Addressee,
        /// The client's number for the reservation request.
        ticket: Ticket,
        /// Why it is refused.
        refusal: Refusal,
    },
    /// Client to owner: registers reservations that the client holds, with a new owner or in answer
    /// to a check.
    #[serde(rename = "h")]
    Register {
        /// The server of the reservations.
        server: ids::ServerId,
        /// The reservations to register.
        #[serde(rename = "places")]
        reservations: Vec<Registration>,
    },
    /// Owner to client: acknowledges the registration of the client's reservations.
    #[serde(rename = "k")]
    Registered {
        /// The server of the reservations.
        server: ids::ServerId,
    },
    /// Owner to client: asks whether the client holds reservations for requests on a server.
    #[serde(rename = "c")]
    Check {
        /// The process that is asked.
        addressee: Addressee,
        /// The server of the reservations.
        server: ids::ServerId,
        /// The lower halves of the request ids.
        sequences: Vec<u64>,
    },
    /// Client to owner: the client holds no reservation for a request on a server.
    #[serde(rename = "u")]
    NotHeld {
        /// The server that the check was about.
        server: ids::ServerId,
        /// The lower half of the request id.
        sequence: u64,
        /// Whether the request is alive, with a reservation on another server or waiting for one.
        live: bool,
    },
}
