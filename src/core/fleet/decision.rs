//! Lines about decisions: what was decided, from which inputs, and how old they were.

use std::net;

use crate::core::fleet;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::ids;

/// A decision that touches a request or changes a belief.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// The version before; 0 if none.
        previous: u64,
    },
    /// The store's listing of a server has changed.
    ServerListed {
        /// The server.
        server: String,
        /// Whether it is listed still.
        is_listed: bool,
        /// Whether it leaves.
        is_draining: bool,
        /// The position of the entry.
        offset: ids::Offset,
    },
    /// A server gets no work for a while.
    ServerEjected {
        /// The server.
        server: String,
        /// The last evidence.
        evidence: servers::Evidence,
        /// The share of its recent requests that failed.
        failure_share: f64,
        /// How long.
        pause_ms: u64,
    },
    /// What workspaces spent before this instance started is known.
    PastLearned {
        /// How many workspaces were named.
        workspaces: usize,
        /// How long ago it was told.
        age_ms: u64,
    },
    /// A peer is heard for the first time, or again.
    PeerHeard {
        /// Its name.
        peer: String,
    },
    /// The owner of a service did not answer; this instance decides.
    OwnerSilent {
        /// The caller's id of the request.
        request: String,
        /// The incarnation of the owner.
        owner: ids::Incarnation,
        /// The time since it was asked.
        waited_ms: u64,
    },
    /// The coordinator that counts the limits did not answer; another one decides.
    KeeperSilent {
        /// The caller's id of the request.
        request: String,
        /// Where it is reached.
        keeper: Option<net::SocketAddr>,
        /// The time since it was asked.
        waited_ms: u64,
    },
    /// This instance begins or ends to coordinate the fleet.
    Coordinates {
        /// Whether it does now.
        coordinates: bool,
        /// The coordinators that go before it.
        before: usize,
    },
    /// A request is sent to a server.
    Sent {
        /// The caller's id of the request.
        request: String,
        /// The configuration version by which it was routed.
        version: u64,
        /// The server.
        server: String,
        /// What the server is asked to do.
        step: &'static str,
        /// Requests at the server, of all instances that were heard lately.
        load: u32,
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens that the caller expects to be generated.
        expected_tokens: u32,
        /// Tokens of memory that are taken at the server.
        memory_tokens: u32,
        /// The expected time to the first event or whole answer.
        expected_ms: u64,
        /// The time since the arrival.
        waited_ms: u64,
        /// The position of the server's entry in the store.
        offset: ids::Offset,
    },
    /// The first event of a stream is there.
    Started {
        /// The caller's id of the request.
        request: String,
        /// Its route.
        route: String,
        /// Its workspace, if it has one.
        workspace: Option<String>,
        /// The server.
        server: String,
        /// The time since it was sent there.
        elapsed_ms: u64,
        /// The time since the arrival.
        since_arrival_ms: u64,
    },
    /// A request at a server ended.
    Ended {
        /// The caller's id of the request.
        request: String,
        /// Its route.
        route: String,
        /// Its workspace, if it has one.
        workspace: Option<String>,
        /// The server.
        server: String,
        /// How.
        outcome: String,
        /// The time since it was sent.
        elapsed_ms: u64,
        /// The time since the arrival.
        since_arrival_ms: u64,
    },
    /// A request is ended without a server's answer.
    Refused {
        /// The caller's id of the request.
        request: String,
        /// Why.
        reason: refusal::Reason,
        /// The status.
        status: u16,
        /// The workspace, if the key was known.
        workspace: Option<String>,
        /// The configuration version.
        version: u64,
        /// The time since the arrival.
        waited_ms: u64,
        /// Requests that wait in this instance.
        waiting: usize,
        /// Whether a server may have run it.
        may_have_run: bool,
        /// When the caller may come back.
        retry_after_ms: Option<u64>,
        /// What the workspace's limit was compared with, if that is why.
        spending: Option<refusal::SpendingView>,
    },
    /// The caller has left.
    CallerLeft {
        /// The caller's id of the request.
        request: String,
        /// The time since the arrival.
        waited_ms: u64,
    },
}

impl Decision {
    /// Describes a change of the store's listing.
    pub fn listed(change: &servers::EntryChange) -> Self {
        match change {
            servers::EntryChange::Put(entry) => Self::ServerListed {
                server: fleet::text(&entry.id),
                is_listed: true,
                is_draining: entry.is_draining,
                offset: entry.offset,
            },
            servers::EntryChange::Removed { id, offset } => Self::ServerListed {
                server: fleet::text(id),
                is_listed: false,
                is_draining: false,
                offset: *offset,
            },
        }
    }

    /// Describes a server whose entry lapsed and did not come back.
    pub fn server_gone(server: &ids::ServerId) -> Self {
        Self::ServerListed {
            server: fleet::text(server),
            is_listed: false,
            is_draining: false,
            offset: 0,
        }
    }
}
