//! Log lines of routing decisions: the decision, its inputs and their age.

use std::net;

use crate::core::fleet;
use crate::core::fleet::hedging;
use crate::core::fleet::quarantine;
use crate::core::fleet::refusal;
use crate::core::fleet::resumption;
use crate::core::fleet::server_load;
use crate::core::fleet::servers;
use crate::core::ids;

/// How a server marks the end of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Framing {
    /// The answer has a length.
    Length,
    /// The answer has chunks and a last one.
    Chunked,
    /// The answer ends with its connection.
    ConnectionClose,
}

impl Framing {
    /// Returns the name of the framing in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::ConnectionClose => "connection_close",
        }
    }
}

/// Why relaying a server's stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEnd {
    /// The whole stream was relayed.
    Finished,
    /// The caller has disconnected.
    CallerDisconnected,
    /// The request's deadline has passed.
    Expired,
    /// The connection to the server failed.
    Interrupted,
    /// The server's stream ended after a part of an event.
    InsideEvent,
    /// The server's answer has no end, or an event of it.
    Endless,
}

impl StreamEnd {
    /// Returns the name of the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::CallerDisconnected => "caller_disconnected",
            Self::Expired => "expired",
            Self::Interrupted => "interrupted",
            Self::InsideEvent => "inside_event",
            Self::Endless => "endless",
        }
    }
}

/// A part of a server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerPart {
    /// The head, with interim ones.
    Head,
    /// The whole body, or as much of it as is kept before it is relayed.
    Body,
    /// An event of a stream.
    Event,
}

impl AnswerPart {
    /// Returns the name of the part in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Event => "event",
        }
    }
}

/// Where an instance learned of the limit of a server, that it leaves, or of an evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// From an answer of the server.
    Answer,
    /// From another instance.
    Peer,
    /// From the store.
    Store,
    /// From a store that was restored from a copy.
    RestoredStore,
}

/// A decision about a request, or a change of the view of the fleet.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A new configuration is in force.
    Configured {
        /// The version of the configuration.
        version: u64,
        /// The version it replaces; 0 if there was none.
        previous: u64,
    },
    /// The store's entry of a server has changed.
    ServerListed {
        /// The id of the server.
        server: String,
        /// Whether the store still lists the server.
        is_listed: bool,
        /// Whether the server is draining.
        is_draining: bool,
        /// The version of its software, if it is known.
        software_version: Option<servers::SoftwareVersion>,
        /// The position of the change in the store; 0 if the entry expired or is missing from a
        /// complete listing.
        offset: ids::StorePosition,
    },
    /// A server is ejected: it gets no work for some time.
    ServerEjected {
        /// The id of the server.
        server: String,
        /// The evidence that caused the ejection.
        evidence: servers::Evidence,
        /// The share of the server's recent requests that failed.
        failure_share: f64,
        /// The length of the ejection.
        pause_ms: u64,
    },
    /// The rate limit that a server names was learned, changed or withdrawn.
    ServerLimitChanged {
        /// The id of the server.
        server: String,
        /// Its service.
        service: String,
        /// The limit in force, in requests a second from the whole fleet; `None` if there is none.
        rate_per_s: Option<f64>,
        /// The limit before.
        previous_per_s: Option<f64>,
        /// Where this instance learned of it.
        source: Source,
        /// The time since the request was sent whose answer shows it.
        age_ms: u64,
        /// The number of servers of the service with a limit.
        limited_servers: usize,
        /// The sum of their limits.
        service_rate_per_s: f64,
    },
    /// A server of a service that bounds requests to cold servers has turned cold or warm.
    ServerCold {
        /// The id of the server.
        server: String,
        /// Its service.
        service: String,
        /// The bound, in requests a second from the whole fleet; `None` if the server is warm.
        bound_per_s: Option<f64>,
        /// The time for which it is still cold.
        remaining_ms: u64,
        /// Where the figure comes from.
        source: servers::ColdSource,
        /// The time since this instance has read the figure.
        age_ms: u64,
        /// The number of cold servers of the service.
        cold_servers: usize,
    },
    /// A server states that it leaves: it gets no more requests until it starts again.
    ServerLeaving {
        /// The id of the server.
        server: String,
        /// Where this instance learned of it.
        source: Source,
    },
    /// A server wants no requests of this instance for some time.
    ServerPaused {
        /// The id of the server.
        server: String,
        /// The caller's id of the request that it has turned away.
        request: String,
        /// The time.
        pause_ms: u64,
    },
    /// A server names a limit that is not a number of requests a second; it is ignored.
    ServerLimitInvalid {
        /// The id of the server.
        server: String,
        /// The caller's id of the request.
        request: String,
        /// The limit that stays in force.
        rate_per_s: Option<f64>,
    },
    /// A server states a load that is not valid, or several; it is ignored.
    ServerLoadInvalid {
        /// The id of the server.
        server: String,
        /// The caller's id of the request.
        request: String,
    },
    /// A server states that it is empty while its answers take far longer than expected, or no longer
    /// does so. While it does, what it states is ignored.
    ServerLoadContradicted {
        /// The id of the server.
        server: String,
        /// Whether its answers contradict it now.
        is_contradicted: bool,
        /// Its newest statement.
        stated_load: Option<server_load::StatedLoad>,
        /// The time that the last answer took.
        elapsed_ms: u64,
        /// The time that was expected for it.
        expected_ms: u64,
    },
    /// The spending before the start of this instance was loaded.
    #[serde(rename = "past_learned")]
    HistoryLoaded {
        /// The number of workspaces in the spending history.
        workspaces: usize,
        /// The age of the spending history.
        age_ms: u64,
    },
    /// The first digest of a peer was received, or the first one after a timeout.
    #[serde(rename = "peer_heard")]
    PeerActive {
        /// The name of the peer.
        peer: String,
    },
    /// The owner of a service did not answer in time; this instance places the request itself.
    #[serde(rename = "owner_silent")]
    OwnerUnresponsive {
        /// The caller's id of the request.
        request: String,
        /// The incarnation of the owner.
        owner: ids::Incarnation,
        /// The time since the first reservation request for this attempt.
        waited_ms: u64,
    },
    /// A grant is not used, as the owner may not know of the limit that a server of it names.
    GrantDeclined {
        /// The caller's id of the request.
        request: String,
        /// The incarnation of the owner.
        owner: ids::Incarnation,
        /// The id of the server.
        server: String,
        /// The limit, in requests a second from the whole fleet.
        limit_per_s: f64,
    },
    /// The coordinator that counts the limits did not answer in time; the next one is tried, or
    /// this instance decides.
    #[serde(rename = "keeper_silent")]
    LimitCoordinatorUnresponsive {
        /// The caller's id of the request.
        request: String,
        /// The address of the coordinator.
        #[serde(rename = "keeper")]
        coordinator: Option<net::SocketAddr>,
        /// The time since the first charge was sent to that coordinator.
        waited_ms: u64,
    },
    /// This instance starts or stops to coordinate the fleet.
    Coordinates {
        /// Whether this instance coordinates now.
        coordinates: bool,
        /// The number of instances ranked higher as coordinators.
        #[serde(rename = "before")]
        ranked_higher: usize,
    },
    /// A service enters or leaves overload at this instance.
    OverloadChanged {
        /// The service.
        service: String,
        /// Whether it is in overload now.
        is_overloaded: bool,
        /// The number of requests that wait and can still meet their objective.
        waiting: usize,
        /// The longest time that one of them has waited.
        oldest_wait_ms: u64,
        /// The number of requests that the service's servers can take.
        room_requests: u64,
        /// The tokens that fit into the KV caches of its engines.
        #[serde(skip_serializing_if = "Option::is_none")]
        room_memory_tokens: Option<u64>,
    },
    /// A request is sent to a server.
    Sent {
        /// The caller's id of the request.
        request: String,
        /// The version of the configuration that routed the request.
        version: u64,
        /// The id of the server.
        server: String,
        /// The version of the server's software, if it is known.
        software_version: Option<servers::SoftwareVersion>,
        /// The stream that the caller resumes, if it does.
        resumes: Option<String>,
        /// The work that the server is asked to do.
        step: &'static str,
        /// The calls that servers may have received for the request before, without the first
        /// prefill that one accepted; each call after the first one counts towards the budget of
        /// retries.
        repeats: u32,
        /// The first of the parts of its prompt that other requests may share.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        shared_parts: Vec<String>,
        /// The requests at the server before this one, as far as this instance knows.
        load: u32,
        /// The prompt tokens that the server has to prefill for this request; 0 for a plain or
        /// decode step.
        prompt_tokens: u32,
        /// The output tokens that the caller expects.
        expected_tokens: u32,
        /// The KV cache tokens reserved at the server before this request.
        memory_tokens: u32,
        /// The expected time to the first event or to the whole plain answer.
        expected_ms: u64,
        /// The time since the request arrived.
        waited_ms: u64,
        /// The position of the server's entry in the store.
        offset: ids::StorePosition,
        /// The order in which this instance placed it; absent if the owner of the service did.
        #[serde(skip_serializing_if = "Option::is_none")]
        order: Option<&'static str>,
        /// The share of the workspace in the recent use of what the service is short of, by which
        /// workspaces take turns; absent if they do not, or if the owner placed it.
        #[serde(skip_serializing_if = "Option::is_none")]
        use_share: Option<f64>,
        /// The limit of the server that is in force, in requests a second from the whole fleet.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<f64>,
        /// The bound on requests to the server while it is cold, in requests a second.
        #[serde(skip_serializing_if = "Option::is_none")]
        cold_per_s: Option<f64>,
        /// The limits of the service's servers, if any has one.
        #[serde(skip_serializing_if = "Option::is_none")]
        limits: Option<refusal::LimitView>,
        /// The load that the server has stated, if it has.
        #[serde(skip_serializing_if = "Option::is_none")]
        stated_load: Option<server_load::StatedLoad>,
    },
    /// A request that is still without an answer is sent to a second server.
    HedgeSent {
        /// The caller's id of the request.
        request: String,
        /// The service.
        service: String,
        /// The id of the server that has not answered yet.
        first_server: String,
        /// The id of the second server.
        server: String,
        /// The time since the request was sent to the first server.
        elapsed_ms: u64,
        /// The time after which the hedge was due.
        delay_ms: u64,
        /// The quantile of recent times that this is.
        quantile: f64,
        /// The number of these times.
        sample: usize,
        /// The time since the newest of them.
        age_ms: u64,
        /// The hedges that this instance may still send for the service.
        hedges_left: f64,
    },
    /// A request that may be hedged is not.
    HedgeNotSent {
        /// The caller's id of the request.
        request: String,
        /// The service.
        service: String,
        /// The reason.
        obstacle: hedging::Obstacle,
    },
    /// One of the two sends of a request was answered, has failed, or both were cancelled.
    HedgeEnded {
        /// The caller's id of the request.
        request: String,
        /// The service.
        service: String,
        /// The id of the second server.
        server: String,
        /// How it has ended.
        end: hedging::HedgeEnd,
        /// The time for which both servers had the request.
        extra_work_ms: u64,
    },
    /// The first event of a stream has arrived.
    Started {
        /// The caller's id of the request.
        request: String,
        /// The name of the route.
        route: String,
        /// The name of the workspace, if there is one.
        workspace: Option<String>,
        /// The id of the server.
        server: String,
        /// The time since the request was sent to the server.
        elapsed_ms: u64,
        /// The time since the request arrived.
        since_arrival_ms: u64,
    },
    /// A request at a server has ended.
    Ended {
        /// The caller's id of the request.
        request: String,
        /// The name of the route.
        route: String,
        /// The name of the workspace, if there is one.
        workspace: Option<String>,
        /// The id of the server.
        server: String,
        /// The outcome and the HTTP status, if there is one.
        outcome: String,
        /// The time since the request was sent to the server.
        elapsed_ms: u64,
        /// The time since the request arrived.
        since_arrival_ms: u64,
    },
    /// The origin of a stream that a caller resumes was looked up.
    StreamResumed {
        /// The caller's id of the request.
        request: String,
        /// The stream, as the caller names it.
        resumes: String,
        /// Where the origin comes from.
        source: resumption::OriginSource,
        /// The service that began the stream.
        service: Option<String>,
        /// The software version that began the stream; without one the request is refused.
        software_version: Option<servers::SoftwareVersion>,
        /// The time since this instance learned the origin.
        age_ms: Option<u64>,
        /// The time that the lookup took.
        waited_ms: u64,
        /// Whether the store was read for it.
        is_store_read: bool,
    },
    /// A server's stream has ended, or was abandoned.
    StreamEnded {
        /// The caller's id of the request.
        request: String,
        /// The id of the server.
        server: String,
        /// How the server marks the end of the stream.
        framing: Framing,
        /// Why relaying the stream ended.
        end: StreamEnd,
        /// The id of the last whole event that was relayed, if it has one.
        last_event: Option<String>,
        /// The number of bytes after the last whole event.
        partial_bytes: usize,
    },
    /// A server's answer has no end, or is longer than this instance takes; its connection is closed.
    AnswerTooLong {
        /// The caller's id of the request.
        request: String,
        /// The id of the server.
        server: String,
        /// The part of the answer that is too long.
        part: AnswerPart,
        /// The length that this instance takes, in bytes.
        limit_bytes: usize,
        /// The memory that all answers took, in bytes.
        held_bytes: usize,
    },
    /// A request is ended by an answer of this instance.
    Refused {
        /// The caller's id of the request.
        request: String,
        /// The reason for the refusal.
        reason: refusal::Reason,
        /// The HTTP status of the answer.
        status: u16,
        /// The name of the workspace, if the key was known.
        workspace: Option<String>,
        /// The version of the configuration in force.
        version: u64,
        /// The time since the request arrived.
        waited_ms: u64,
        /// The number of requests that wait for a server in this instance.
        waiting: usize,
        /// Whether a server may have run it.
        may_have_run: bool,
        /// The time after which the caller may retry.
        retry_after_ms: Option<u64>,
        /// The spending that was compared with the workspace's limit, if the limit is the reason.
        spending: Option<refusal::SpendingView>,
        /// The id of the quarantine, if one is the reason.
        #[serde(skip_serializing_if = "Option::is_none")]
        quarantine: Option<String>,
        /// The limits of the service's servers, if any has one.
        #[serde(skip_serializing_if = "Option::is_none")]
        limits: Option<refusal::LimitView>,
    },
    /// A server has ended with requests that began there shortly before.
    ServerCrashed {
        /// The id of the server.
        server: String,
        /// Its service.
        service: String,
        /// The features of the requests.
        suspects: Vec<String>,
        /// The time since it has ended.
        age_ms: u64,
        /// The instance that has observed it; `None` for this one.
        reporter: Option<net::SocketAddr>,
    },
    /// Requests with some features crash servers and are refused from now on.
    Quarantined {
        /// The id of the quarantine.
        quarantine: String,
        /// The service.
        service: String,
        /// The features.
        pattern: Vec<String>,
        /// The software versions of the servers that crashed; the quarantine ends with them.
        software_versions: Vec<Option<servers::SoftwareVersion>>,
        /// The number of crashes.
        crashes: u32,
        /// Some of the servers that crashed; empty if a peer or the store has named the quarantine.
        servers: Vec<String>,
        /// The time since the first of these crashes.
        first_crash_age_ms: Option<u64>,
        /// The time until the features are tried again.
        remaining_ms: u64,
        /// The number of quarantines in force, with this one.
        quarantines: usize,
    },
    /// A quarantine has ended: its time has passed, other software serves, or an operator has lifted it.
    QuarantineEnded {
        /// The id of the quarantine.
        quarantine: String,
        /// The service.
        service: String,
        /// The features.
        pattern: Vec<String>,
        /// Whether an operator has lifted it.
        is_lifted: bool,
        /// The number of quarantines in force.
        quarantines: usize,
    },
    /// An evacuation of a failure domain has come into force or was lifted.
    DomainEvacuated {
        /// The failure domain.
        domain: String,
        /// Whether the domain is evacuated from now on.
        is_in_force: bool,
        /// The position of the record in the store.
        position: ids::StorePosition,
        /// Where this instance learned of it.
        source: Source,
        /// The time since an instance first read the record.
        age_ms: u64,
        /// The same, if this instance was running then.
        #[serde(skip_serializing_if = "Option::is_none")]
        delay_ms: Option<u64>,
        /// The number of servers of the domain.
        servers: usize,
        /// All evacuated domains.
        evacuated_domains: Vec<String>,
    },
    /// The number of requests that are left in an evacuated domain has changed.
    DomainDraining {
        /// The failure domain.
        domain: String,
        /// The number of its servers.
        servers: usize,
        /// The requests there, as far as this coordinator knows.
        requests: u32,
        /// The time since this instance learned of the evacuation.
        elapsed_ms: u64,
    },
    /// No request is left in an evacuated domain.
    DomainDrained {
        /// The failure domain.
        domain: String,
        /// The number of its servers.
        servers: usize,
        /// The time since this instance learned of the evacuation.
        elapsed_ms: u64,
    },
    /// A domain whose evacuation was lifted gets its usual share of requests of this instance again.
    DomainReturned {
        /// The failure domain.
        domain: String,
        /// The time since the lifting.
        elapsed_ms: u64,
        /// The share before the evacuation.
        usual_share: f64,
        /// The share now.
        share: f64,
    },
    /// A service has lost its last server by evacuations, or has one again.
    ServiceEvacuated {
        /// The service.
        service: String,
        /// Whether all its servers are in evacuated domains.
        is_evacuated: bool,
        /// The number of services for which this holds.
        services: usize,
    },
    /// A grant is not used, as a server of it is in an evacuated domain.
    GrantEvacuated {
        /// The caller's id of the request.
        request: String,
        /// The incarnation of the owner.
        owner: ids::Incarnation,
        /// The id of the server.
        server: String,
        /// The failure domain.
        domain: String,
    },
    /// A caller has disconnected before the end of its request.
    #[serde(rename = "caller_left")]
    CallerDisconnected {
        /// The caller's id of the request.
        request: String,
        /// The time since the request arrived.
        waited_ms: u64,
    },
}

impl Decision {
    /// Returns the line about a change of a server entry.
    pub fn listed(change: &servers::EntryChange) -> Self {
        match change {
            servers::EntryChange::Put(entry) => Self::ServerListed {
                server: fleet::text(&entry.id),
                is_listed: true,
                is_draining: entry.is_draining,
                software_version: entry.software_version.clone(),
                offset: entry.offset,
            },
            servers::EntryChange::Removed { id, offset } => Self::ServerListed {
                server: fleet::text(id),
                is_listed: false,
                is_draining: false,
                software_version: None,
                offset: *offset,
            },
        }
    }

    /// Returns the line about a server whose entry expired or is missing from a complete listing.
    pub fn server_gone(server: &ids::ServerId) -> Self {
        Self::ServerListed {
            server: fleet::text(server),
            is_listed: false,
            is_draining: false,
            software_version: None,
            offset: 0,
        }
    }
}

/// Returns the id of a quarantine as text.
pub fn quarantine_name(id: quarantine::QuarantineId) -> String {
    format!("{id:016x}")
}
