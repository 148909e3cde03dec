//! The messages between instances, encoded as MessagePack. The order of fields and the names of
//! variants are part of the protocol.

use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::crashes;
use crate::core::fleet::evacuation;
use crate::core::fleet::ledger;
use crate::core::fleet::peers;
use crate::core::fleet::placement;
use crate::core::fleet::quarantine;
use crate::core::fleet::quota;
use crate::core::fleet::refusal;
use crate::core::fleet::server_limits;
use crate::core::fleet::server_load;
use crate::core::fleet::servers;
use crate::core::fleet::streams;
use crate::core::ids;

/// The level of the protocol that this build speaks: it reads all variants of `Message`. Builds
/// before levels count as level 0.
pub const PROTOCOL_LEVEL: u16 = 1;

/// The level from which on owners read `ReserveForWorkspace` in any case.
pub const WORKSPACE_LEVEL: u16 = 1;

/// A request for a reservation, sent to the owner of a service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ReservationRequest {
    /// The ticket that the response refers to.
    pub ticket: ledger::Ticket,
    /// The service that the request is for.
    pub service: catalog::ServiceId,
    /// The tokens of the request.
    pub tokens: call::Tokens,
    /// The priority, 0 first.
    pub priority: u8,
    /// The time until the objective of the request is missed.
    #[serde(rename = "objective_left_ms")]
    pub objective_remaining_ms: u64,
    /// The time until the caller gives up waiting for the first event or answer.
    #[serde(rename = "begin_left_ms")]
    pub begin_remaining_ms: u64,
    /// Servers to which the request was sent already.
    pub tried: Vec<ids::ServerId>,
    /// The failure domain of the sender.
    pub domain: String,
    /// The id of the prompt, if the request contains one.
    #[serde(default)]
    pub prompt: Option<call::PromptId>,
}

/// A request to take an amount from a workspace's limit, sent to the coordinator that counts the
/// limits.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Charge {
    /// The ticket that the response refers to.
    pub ticket: ledger::Ticket,
    /// The name of the workspace.
    pub workspace: String,
    /// The workspace's spending at the sender since the sender's start, without this charge.
    #[serde(rename = "before")]
    pub baseline: quota::Tally,
    /// The amount that the request spends.
    pub amount: f64,
}

/// The response to a charge.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ChargeResponse {
    /// The ticket of the charge.
    pub ticket: ledger::Ticket,
    /// The time until the limit allows the charge; `None` if the charge was taken.
    pub wait_ms: Option<u64>,
    /// The spending that was compared with the limit, if the charge was not taken.
    pub spending: Option<refusal::SpendingView>,
}

/// The progress of a request at a server, sent to the owner that granted the reservation.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// The prompt is prefilled.
    #[serde(rename = "read")]
    Prefilled {
        /// The server that has prefilled the prompt.
        server: ids::ServerId,
        /// The prompt tokens that the server had to prefill up to the end of this prompt.
        tokens: u32,
        /// The time since the request was sent to the server.
        elapsed_ms: u64,
    },
    /// The request has ended, or needs no reservation any more.
    Ended {
        /// The server and the evidence about its health, if the end of the request gives any.
        evidence: Option<(ids::ServerId, servers::Evidence)>,
        /// The time since the request was sent to the server.
        elapsed_ms: u64,
    },
}

/// An observation about the health of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// A decode server could not fetch a KV cache from this prefill server.
    #[serde(rename = "handles_lapse")]
    HandlesExpire,
    /// The server was ejected after failed requests. The cause may lie with the reporting instance.
    Fails,
}

/// An answer that named a limit.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct NamedLimit {
    /// The requests a second that the server takes from the whole fleet.
    pub rate_per_s: f64,
    /// The time since the request was sent.
    pub sent_age_ms: u64,
    /// The time since the answer was received.
    pub received_age_ms: u64,
}

/// What an instance knows of the rate limit of a server, and how it uses it.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LimitReport {
    /// The id of the server.
    pub server: ids::ServerId,
    /// The start of its process, in milliseconds of its own clock.
    pub born_ms: u64,
    /// The newest answer that named a limit.
    pub named: Option<NamedLimit>,
    /// The time since the newest request was sent whose answer named none.
    pub unlimited_age_ms: Option<u64>,
    /// The requests that the sender has sent to the server.
    pub sends: server_limits::SendCounts,
}

/// What an instance knows of a cold server.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ColdReport {
    /// The id of the server.
    pub server: ids::ServerId,
    /// The start of its process, in milliseconds of its own clock.
    pub born_ms: u64,
    /// The time for which it is still cold.
    pub remaining_ms: u64,
}

/// What an instance has observed of the crash of a server.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct CrashReport {
    /// The id of the server.
    pub server: ids::ServerId,
    /// The start of its process, in milliseconds of its own clock.
    pub born_ms: u64,
    /// The time since it has ended.
    pub age_ms: u64,
    /// Its service.
    pub service: catalog::ServiceId,
    /// The version of its software, if it is known.
    pub software_version: Option<servers::SoftwareVersion>,
    /// The requests of this instance that began there shortly before.
    pub suspects: Vec<crashes::Suspect>,
    /// Those of their features that servers have survived before.
    pub survived: Vec<crashes::Feature>,
}

/// What an instance knows of the rate limits of servers.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LimitReports {
    /// The sender.
    pub from: ids::Incarnation,
    /// The reports, one for each server.
    pub reports: Vec<LimitReport>,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The periodic state of an instance.
    Digest(peers::Digest),
    /// A coordinator's observations, for an instance that has just started.
    #[serde(rename = "sightings")]
    Observations(Vec<peers::Observation>),
    /// A charge to be taken from a workspace's limit.
    Charge(Charge),
    /// The decision on a charge.
    #[serde(rename = "charged")]
    ChargeResponse(ChargeResponse),
    /// A charge was returned, as its request did not run.
    #[serde(rename = "spent")]
    Refunded {
        /// The instance at which the workspace has spent.
        holder: ids::Incarnation,
        /// The name of the workspace.
        workspace: String,
        /// The workspace's spending at that instance since the instance's start.
        tally: quota::Tally,
    },
    /// A warning about the health of a server.
    #[serde(rename = "warn")]
    ServerWarning {
        /// The id of the server.
        server: ids::ServerId,
        /// The observation.
        finding: Finding,
    },
    /// A reservation is requested.
    #[serde(rename = "ask")]
    Reserve(ReservationRequest),
    /// A reservation is granted.
    Grant {
        /// The ticket of the reservation request.
        ticket: ledger::Ticket,
        /// The servers with reserved capacity.
        #[serde(rename = "place")]
        placement: placement::Placement,
        /// The expected time to the first event or whole answer.
        expected_ms: u64,
        /// The entries of those servers that were listed so recently that the receiver may lack
        /// them.
        entries: Vec<servers::Entry>,
    },
    /// A reservation is requested for a stream that has begun at a software version.
    ReserveAtVersion {
        /// The request.
        request: ReservationRequest,
        /// The version.
        software_version: servers::SoftwareVersion,
    },
    /// A reservation is requested for a workspace, of an owner that has stated limits or
    /// `WORKSPACE_LEVEL`.
    ReserveForWorkspace {
        /// The request.
        request: ReservationRequest,
        /// The software version at which the request's stream has begun, if it has.
        software_version: Option<servers::SoftwareVersion>,
        /// The name of the workspace.
        workspace: String,
    },
    /// Streams have begun; also the answer to a query.
    StreamsBegun(Vec<streams::Origin>),
    /// The origin of a stream is requested.
    StreamQuery {
        /// The key of the stream.
        stream: call::StreamKey,
    },
    /// The sender does not know the origin of a stream.
    StreamUnknown {
        /// The key of the stream.
        stream: call::StreamKey,
    },
    /// The reservation request waits in the owner's queue.
    #[serde(rename = "queue")]
    Queued {
        /// The ticket of the reservation request.
        ticket: ledger::Ticket,
    },
    /// The reservation request is declined, as no server can begin the answer in time.
    Decline {
        /// The ticket of the reservation request.
        ticket: ledger::Ticket,
        /// The time after which the caller may retry.
        retry_after_ms: u64,
    },
    /// The rate limits that servers name. Older builds ignore them.
    ServerLimits(LimitReports),
    /// The loads that plain servers state, for the owner of their service. Older builds ignore them.
    ServerLoads(Vec<server_load::LoadReport>),
    /// A server has crashed. Older builds ignore it, as the two below.
    ServerCrashed(CrashReport),
    /// A server has survived a request, which clears its features of earlier crashes.
    RequestsSurvived {
        /// The features.
        features: Vec<crashes::Feature>,
        /// The time since the request was sent.
        age_ms: u64,
    },
    /// The requests that are refused as they crash servers.
    Quarantines(Vec<quarantine::Report>),
    /// A server has stated that it leaves. Older builds ignore it.
    ServerLeaving {
        /// The id of the server.
        server: ids::ServerId,
        /// The start of its process, in milliseconds of its own clock.
        born_ms: u64,
    },
    /// The newest known record on the evacuation of each domain. Older builds ignore it.
    Evacuations(Vec<evacuation::Report>),
    /// Servers have turned cold. Older builds ignore it.
    ServersCold(Vec<ColdReport>),
    /// The level of the protocol that the sender speaks. Older builds ignore it.
    ProtocolLevel {
        /// The incarnation of the sender.
        from: ids::Incarnation,
        /// The level.
        level: u16,
    },
    /// A request with a reservation has progressed or ended.
    Progress {
        /// The ticket of the grant.
        ticket: ledger::Ticket,
        /// The progress or the end.
        progress: Progress,
    },
}
