//! What instances tell each other.

use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::ledger;
use crate::core::fleet::peers;
use crate::core::fleet::placement;
use crate::core::fleet::quota;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::ids;

/// A request for a place, to the owner of a service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Ask {
    /// What the answer refers to.
    pub ticket: ledger::Ticket,
    /// The service.
    pub service: catalog::ServiceId,
    /// Its tokens.
    pub tokens: call::Tokens,
    /// The rank, 0 first.
    pub priority: u8,
    /// The time until its objective is missed.
    pub objective_left_ms: u64,
    /// The time until its caller leaves.
    pub begin_left_ms: u64,
    /// Servers that it has tried.
    pub tried: Vec<ids::ServerId>,
    /// The failure domain of the sender.
    pub domain: String,
}

/// A question whether a workspace's limit has room, to the coordinator that counts it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// What the answer refers to.
    pub ticket: ledger::Ticket,
    /// The workspace.
    pub workspace: String,
    /// What it has spent at the sender since that started.
    pub before: quota::Tally,
    /// What the request spends.
    pub amount: f64,
}

/// The answer to a charge.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Charged {
    /// The ticket of the charge.
    pub ticket: ledger::Ticket,
    /// The time until the limit has room; `None` if the charge was taken.
    pub wait_ms: Option<u64>,
    /// What was compared.
    pub spending: Option<refusal::SpendingView>,
}

/// How a request went at its place.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Its prompt is read.
    Read {
        /// The server.
        server: ids::ServerId,
        /// Prompt tokens that the server has read for it and before it.
        tokens: u32,
        /// The time since it was sent.
        elapsed_ms: u64,
    },
    /// It has ended, or needs no place any more.
    Ended {
        /// The server and what its end tells of it.
        evidence: Option<(ids::ServerId, servers::Evidence)>,
        /// The time since it was sent.
        elapsed_ms: u64,
    },
}

/// What an instance has found out about a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// Memory that it kept could not be taken.
    HandlesLapse,
    /// Requests there failed again and again. It may be so for the finder only.
    Fails,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// What all peers are told.
    Digest(peers::Digest),
    /// Some members that a coordinator hears, for a newcomer.
    Sightings(Vec<peers::Sighting>),
    /// A charge is asked for.
    Charge(Charge),
    /// A charge was taken or not.
    Charged(Charged),
    /// A request gave back its charge.
    Spent {
        /// The instance at which it has.
        holder: ids::Incarnation,
        /// The workspace.
        workspace: String,
        /// What it has spent there since the instance started.
        tally: quota::Tally,
    },
    /// A server is in trouble.
    Warn {
        /// The server.
        server: ids::ServerId,
        /// What was found.
        finding: Finding,
    },
    /// A place is asked for.
    Ask(Ask),
    /// A place is granted.
    Grant {
        /// The ask's ticket.
        ticket: ledger::Ticket,
        /// The place.
        place: placement::Place,
        /// The expected time to the first event or whole answer.
        expected_ms: u64,
        /// The entries of its servers that were listed just now.
        entries: Vec<servers::Entry>,
    },
    /// The ask waits at its owner.
    Queue {
        /// The ask's ticket.
        ticket: ledger::Ticket,
    },
    /// No place will be had in time.
    Decline {
        /// The ask's ticket.
        ticket: ledger::Ticket,
        /// When the caller may come back.
        retry_after_ms: u64,
    },
    /// A request at its place went on.
    Progress {
        /// The grant's ticket.
        ticket: ledger::Ticket,
        /// How.
        progress: Progress,
    },
}
