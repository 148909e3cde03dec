//! The routing decisions of one instance, as a reducer: `Fleet::apply` takes an event and returns
//! effects. Instances keep no state on disk.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use rand::SeedableRng as _;

use crate::core::collections;
use crate::core::ids;

pub mod budget;
pub mod call;
pub mod catalog;
pub mod claim;
mod cold;
pub mod constants;
pub mod containment;
pub mod coordination;
pub mod crashes;
pub mod decision;
mod distribution;
pub mod estimate;
pub mod evacuation;
pub mod fairness;
pub mod hedging;
pub mod kept;
pub mod ledger;
pub mod message;
pub mod notices;
pub mod overload;
pub mod peers;
pub mod placement;
pub mod priorities;
pub mod quarantine;
pub mod quota;
pub mod recent;
pub mod refusal;
pub mod resumption;
pub mod server_limits;
pub mod server_load;
pub mod servers;
pub mod shutdown;
pub mod streams;
pub mod versions;
pub mod view;
pub mod work_times;

mod admission;
mod broker;
mod limits;
mod live;
mod outcomes;
mod throttle;
mod waiting;

/// The id under which a prefill server holds the KV cache of a prompt.
pub type HandleId = String;

/// The work that a server is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Run the whole request.
    Run,
    /// Run a request whose prompt the server already holds.
    Resume,
    /// Prefill the prompt and hold its KV cache for a decode server.
    Prefill,
    /// Fetch the KV cache of a prompt and generate the answer.
    Decode {
        /// The prefill server that holds the KV cache.
        source: net::SocketAddr,
        /// The KV cache handle at that server.
        handle: HandleId,
    },
}

/// A request that is sent to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The server's id in the store.
    pub server: ids::ServerId,
    /// The address at which the server listens.
    pub address: net::SocketAddr,
    /// The work that the server is asked to do.
    pub step: Step,
    /// The workspace that the request runs for.
    pub workspace: Option<sync::Arc<str>>,
    /// Whether callers have keys, which servers must not receive. A caller may send its key on a route
    /// that needs none, too.
    pub hides_keys: bool,
    /// The time until the request's deadline.
    pub remaining: time::Duration,
    /// The time after which an unresponsive server is abandoned; `None` if the step must not be
    /// repeated at another server.
    pub response_timeout: Option<time::Duration>,
    /// The time without an answer after which a hedge is due; `None` if there must be none.
    pub hedge_after: Option<time::Duration>,
}

/// The progress or the end of a request at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The prompt is prefilled.
    Prefilled {
        /// The KV cache handle at the server.
        handle: HandleId,
    },
    /// The head of the answer or the first event of its stream has arrived.
    Started,
    /// Events still arrive some time after the first one.
    Continued,
    /// An event was forwarded after which no other server can go on with the stream.
    PositionLost,
    /// The whole answer has arrived and was forwarded.
    Finished {
        /// The HTTP status of the answer.
        status: u16,
        /// Whether the answer states its end, beside that of its connection.
        is_end_marked: bool,
    },
    /// The whole answer reports a failure of the server. The answer is stored and not forwarded
    /// yet.
    Failed {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The server reports that it has not run the request.
    Rejected,
    /// Another server answers at the address; no server has run the request.
    Misdirected,
    /// Nothing was sent, for example because no connection could be opened.
    Unsent,
    /// The request was sent, and the connection ended before a whole answer came; nothing was
    /// forwarded.
    ConnectionLost,
    /// The request was sent, and the server did not answer within the response timeout of the
    /// dispatch.
    Unresponsive,
    /// The answer ended early, after a part of it was forwarded.
    Truncated,
    /// The answer has no end, or is longer than this instance takes.
    Endless,
}

/// An input of the reducer.
#[derive(Debug, Clone)]
pub enum Event {
    /// A configuration was read from the store or received from a peer.
    Configured(sync::Arc<catalog::Catalog>),
    /// Server entries in the store have changed.
    ServersChanged {
        /// The changes, in the order of the store.
        changes: Vec<servers::EntryChange>,
        /// The ids of all servers in a complete listing, and the position of the next change after
        /// it.
        complete: Option<(collections::Set<ids::ServerId>, ids::StorePosition)>,
        /// The state of the store from which the changes were read.
        source: servers::Source,
        /// The position after the sender's last change, if a peer sent the changes.
        sender_position: Option<ids::StorePosition>,
    },
    /// A message of a peer was received.
    Received {
        /// The address of the peer.
        from: net::SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// The store has listed members of the fleet.
    MembersDiscovered(Vec<peers::Member>),
    /// The recent spending of workspaces, from the store or from a peer.
    SpendingHistory(Vec<quota::Spending>),
    /// The head or body of a request is invalid.
    RequestUnreadable {
        /// The caller's id of the request, as far as it can be read.
        id: Bytes,
        /// The reason for the refusal.
        reason: refusal::Reason,
    },
    /// A valid request was received.
    Arrived {
        /// The number of the request within this instance.
        request: call::RequestNumber,
        /// The request as routing sees it.
        call: call::Call,
    },
    /// The head of a server's answer was received.
    AnswerReceived {
        /// The number of the request, or of its second leg.
        request: call::RequestNumber,
        /// What the answer states about the rate limit of its server.
        limit: server_limits::Statement,
        /// What the answer states about further requests to its server.
        notice: notices::Notice,
        /// What the answer states about the load of its server.
        load: server_load::Reading,
        /// Whether the answer is certainly one to this request.
        is_authentic: bool,
    },
    /// The time has passed after which a request at a server is to be hedged.
    HedgeDue {
        /// The number of the request.
        request: call::RequestNumber,
    },
    /// A request at a server has progressed or ended.
    RequestProgressed {
        /// The number of the request, or of its second leg.
        request: call::RequestNumber,
        /// The progress or the end.
        outcome: Outcome,
    },
    /// The caller has disconnected before the end of its request.
    CallerDisconnected {
        /// The number of the request.
        request: call::RequestNumber,
    },
    /// The deadline of a request has passed.
    RequestExpired {
        /// The number of the request.
        request: call::RequestNumber,
    },
    /// An engine has listed the prompts whose KV cache it holds.
    PromptsListed {
        /// The id of the engine.
        server: ids::ServerId,
        /// The prompts.
        prompts: Vec<call::PromptId>,
    },
    /// It was checked whether a server has ended.
    ServerProbed {
        /// The id of the server.
        server: ids::ServerId,
        /// The start of its process, in milliseconds of its own clock.
        born_ms: u64,
        /// How it answers.
        reachability: containment::Reachability,
    },
    /// The quarantines in the store were read.
    QuarantinesRead(Vec<quarantine::Report>),
    /// An operator lifts a quarantine.
    QuarantineLifted(quarantine::QuarantineId),
    /// Evacuations of failure domains were read from the store.
    EvacuationsRead {
        /// The changes, in the order of the store.
        changes: Vec<evacuation::Change>,
        /// The position after a listing of the newest record of each key, if the changes are one.
        complete: Option<ids::StorePosition>,
        /// The state of the store from which the changes were read.
        source: servers::Source,
    },
    /// The software versions of services in the store were read, or written.
    SoftwareVersionsRead(Vec<versions::ServiceVersions>),
    /// All origins of streams in the store were read, after the software versions.
    StreamOriginsRead(Vec<streams::Origin>),
    /// The settings were reloaded.
    SettingsChanged {
        /// The new bounds on retries.
        retries: budget::RetryBounds,
        /// The new length of the window over which limits hold.
        quota_window: time::Duration,
    },
    /// This instance shuts down.
    ShutdownStarted(shutdown::Shutdown),
    /// A periodic tick; timeouts are checked on it.
    Ticked,
}

/// An output of the reducer, which the router carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Accept a request and start the timer of its deadline.
    Admit {
        /// The number of the request.
        request: call::RequestNumber,
        /// The deadline of the request.
        expires: ids::Timestamp,
        /// Whether its answer is a stream of events.
        is_stream: bool,
    },
    /// Send a request to a server.
    Send {
        /// The number of the request.
        request: call::RequestNumber,
        /// The server and the work.
        dispatch: Dispatch,
    },
    /// Send a request to a second server, beside the first one. Its events bear the number of the
    /// second leg.
    SendSecond {
        /// The number of the request.
        request: call::RequestNumber,
        /// The server and the work.
        dispatch: Dispatch,
    },
    /// End a request with an answer of this instance.
    Refuse {
        /// The number of the request.
        request: call::RequestNumber,
        /// The reason, and the details for the caller.
        refusal: refusal::Refusal,
    },
    /// Forward the stored answer of the server that failed.
    DeliverFailure {
        /// The number of the request.
        request: call::RequestNumber,
    },
    /// Free the KV cache of a prompt at a prefill server.
    ReleaseKvCache {
        /// The address of the prefill server.
        address: net::SocketAddr,
        /// The KV cache handle at that server.
        handle: HandleId,
    },
    /// List the prompts whose KV cache an engine holds.
    ListPrompts {
        /// The id of the engine.
        server: ids::ServerId,
        /// The address of the engine.
        address: net::SocketAddr,
    },
    /// Check whether a server has ended.
    ProbeServer {
        /// The id of the server.
        server: ids::ServerId,
        /// The start of its process, in milliseconds of its own clock.
        born_ms: u64,
        /// The address of the server.
        address: net::SocketAddr,
    },
    /// Read the software versions of services and the origins of streams in the store.
    ReadStreamOrigins,
    /// Write the software versions of services to the store.
    StoreVersions,
    /// Send peers the changed load with the next digest that is due.
    PublishLoad,
    /// Send peers a change that affects all instances immediately.
    AnnounceChange,
    /// Send a message to one peer.
    SendMessage {
        /// The address of the peer.
        to: net::SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// Write a log line about a decision.
    Log(decision::Decision),
}

/// The inputs of a new instance's state.
#[derive(Debug, Clone)]
pub struct Options {
    /// This instance as a member of the fleet.
    pub own: peers::Member,
    /// The failure domain of this instance.
    pub domain: String,
    /// Whether the whole fleet starts for the first time, so that nothing can have been spent
    /// before.
    pub is_first_start: bool,
    /// The length of the window over which limits hold.
    pub quota_window: time::Duration,
    /// The fleet's bounds on retries.
    pub retries: budget::RetryBounds,
    /// The share of requests that may be hedged; 0 for none.
    pub hedge_share: f64,
    /// The addresses of peers that are known from the settings.
    pub seeds: Vec<net::SocketAddr>,
    /// The seed of the random choices that spread load.
    pub seed: u64,
}

/// The routing state of one instance.
pub struct Fleet {
    own: peers::Member,
    domain: String,
    catalog: Option<sync::Arc<catalog::Catalog>>,
    servers: servers::Directory,
    kept: kept::KeptPrompts,
    origins: streams::Origins,
    stored_versions: versions::StoredVersions,
    containment: containment::Containment,
    evacuation: evacuation::Operation,
    /// Whether engines may hold prompts that this instance does not know of.
    has_unlisted_prompts: bool,
    /// Whether the fleet was running before this instance started.
    has_joined: bool,
    lists_prompts_until: Option<ids::Timestamp>,
    peers: peers::Peers,
    quotas: quota::Quotas,
    pending_history: Option<(Vec<quota::Spending>, ids::Timestamp)>,
    budget: budget::RetryBudget,
    hedging: hedging::Hedging,
    requests: collections::Map<call::RequestNumber, live::LiveRequest>,
    waiting: Vec<call::RequestNumber>,
    claims: collections::Map<ledger::Ticket, broker::RemoteClaim>,
    grants: collections::Map<ledger::Ticket, broker::Granted>,
    /// Servers whose limit or use of it is to be reported.
    limit_reports: throttle::DueReports,
    /// Servers that have turned cold, to be reported.
    cold_reports: Vec<message::ColdReport>,
    recent_use: fairness::RecentUse,
    overloads: overload::Overloads,
    lower_turns: priorities::LowerTurns,
    charge_responses: collections::Map<ledger::Ticket, (message::ChargeResponse, ids::Timestamp)>,
    ledger: ledger::Ledger,
    servers_position: ids::StorePosition,
    seeds: Vec<net::SocketAddr>,
    is_coordinator: bool,
    /// When this coordinator last told all peers the level of the protocol that it speaks.
    protocol_level_sent: Option<ids::Timestamp>,
    /// Since when it is known that a peer has a newer configuration.
    outdated_since: Option<ids::Timestamp>,
    /// Other instances have counted the limits, so that this one does not know all spending.
    has_left_counting_to_peers: bool,
    /// The store has listed the other instances.
    has_discovered_members: bool,
    reads_store: bool,
    sequence: u64,
    last_tick: ids::Timestamp,
    shutdown: Option<shutdown::Shutdown>,
    rng: rand_chacha::ChaCha8Rng,
}

impl Fleet {
    /// Creates the state of an instance that has just started.
    pub fn new(options: Options) -> Self {
        let mut servers = servers::Directory::default();
        servers.set_first_start(options.is_first_start);
        Self {
            own: options.own,
            domain: options.domain,
            catalog: None,
            servers,
            kept: kept::KeptPrompts::default(),
            origins: streams::Origins::default(),
            stored_versions: versions::StoredVersions::default(),
            containment: containment::Containment::default(),
            evacuation: evacuation::Operation::default(),
            has_unlisted_prompts: !options.is_first_start,
            has_joined: !options.is_first_start,
            lists_prompts_until: None,
            peers: peers::Peers::default(),
            quotas: quota::Quotas::new(options.quota_window, options.is_first_start),
            pending_history: None,
            hedging: hedging::Hedging::new(options.hedge_share, &options.retries),
            budget: budget::RetryBudget::new(options.retries, !options.is_first_start),
            requests: collections::Map::default(),
            waiting: Vec::new(),
            claims: collections::Map::default(),
            grants: collections::Map::default(),
            limit_reports: throttle::DueReports::default(),
            cold_reports: Vec::new(),
            recent_use: fairness::RecentUse::default(),
            overloads: overload::Overloads::default(),
            lower_turns: priorities::LowerTurns::default(),
            charge_responses: collections::Map::default(),
            ledger: ledger::Ledger::default(),
            servers_position: 0,
            seeds: options.seeds,
            is_coordinator: false,
            protocol_level_sent: None,
            outdated_since: None,
            has_left_counting_to_peers: false,
            has_discovered_members: false,
            reads_store: false,
            sequence: 0,
            last_tick: ids::Timestamp::ZERO,
            shutdown: None,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(options.seed),
        }
    }

    /// Applies an event and returns the effects to carry out.
    pub fn apply(&mut self, event: Event, now: ids::Timestamp) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::Configured(catalog) => self.configure(catalog, now, &mut effects),
            Event::ServersChanged { changes, complete, source, sender_position } => {
                let changed =
                    self.apply_server_changes(changes, complete, source, now, &mut effects);
                self.server_list_changed(sender_position.or(changed), now, &mut effects);
            }
            Event::Received { from, message } => self.receive(from, message, now, &mut effects),
            Event::MembersDiscovered(members) => {
                self.has_discovered_members = true;
                for member in &members {
                    if member.incarnation != self.own.incarnation {
                        self.peers.discover(member, now);
                    }
                }
            }
            Event::SpendingHistory(spending) => {
                self.pending_history.get_or_insert((spending, now));
                self.load_history(now, &mut effects);
            }
            Event::RequestUnreadable { id, reason } => {
                let refusal = refusal::Refusal::new(reason);
                self.log_refusal(&text(&id), refusal, None, None, now, &mut effects);
            }
            Event::Arrived { request, call } => self.arrive(request, call, now, &mut effects),
            Event::AnswerReceived { request, limit, notice, load, is_authentic } => {
                let request = self.leg_number(request);
                self.receive_load(request, load, now, &mut effects);
                self.receive_notice(request, notice, now, &mut effects);
                self.receive_statement(request, limit, is_authentic, now, &mut effects);
            }
            Event::RequestProgressed { request, outcome } => {
                self.progress_leg(request, outcome, now, &mut effects);
            }
            Event::HedgeDue { request } => self.hedge(request, now, &mut effects),
            Event::CallerDisconnected { request } => self.disconnect(request, now, &mut effects),
            Event::RequestExpired { request } => self.expire_request(request, now, &mut effects),
            Event::PromptsListed { server, prompts } => {
                for prompt in prompts {
                    self.kept.record(prompt, &server, now);
                }
            }
            Event::ServerProbed { server, born_ms, reachability } => {
                self.receive_probe(server, born_ms, reachability, now, &mut effects);
            }
            Event::QuarantinesRead(reports) => {
                self.receive_quarantines(&reports, now, &mut effects);
            }
            Event::QuarantineLifted(id) => self.lift_quarantine(id, now, &mut effects),
            Event::EvacuationsRead { changes, complete, source } => {
                self.read_evacuations(&changes, complete, source, now, &mut effects);
            }
            Event::SoftwareVersionsRead(stored) => self.read_versions(&stored, now),
            Event::StreamOriginsRead(origins) => {
                self.apply_stored_origins(origins, now, &mut effects);
            }
            Event::SettingsChanged { retries, quota_window } => {
                self.budget.set_bounds(retries);
                self.quotas.set_window(quota_window);
            }
            Event::ShutdownStarted(shutdown) => {
                self.start_shutdown(shutdown, now, &mut effects);
            }
            Event::Ticked => self.tick(now, &mut effects),
        }
        effects
    }

    fn configure(
        &mut self,
        catalog: sync::Arc<catalog::Catalog>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let version = catalog.content.version;
        let previous = self.version();
        let completes = version == previous && self.lacks_cold_bounds();
        if version < previous || (version == previous && !completes) {
            return;
        }
        self.quotas.configure(&catalog, now);
        self.configure_cold(&catalog, now, effects);
        self.catalog = Some(catalog);
        self.load_history(now, effects);
        effects.push(Effect::Log(decision::Decision::Configured { version, previous }));
        effects.push(Effect::AnnounceChange);
    }

    /// Applies changes of server entries; returns the position after the last effective one.
    fn apply_server_changes(
        &mut self,
        changes: Vec<servers::EntryChange>,
        complete: Option<(collections::Set<ids::ServerId>, ids::StorePosition)>,
        source: servers::Source,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Option<ids::StorePosition> {
        let mut changed = None;
        for change in changes {
            let end = change.offset() + 1;
            if self.apply_server_change(change, source, now, effects) {
                changed = changed.max(Some(end));
            }
        }
        if let Some((listed, end)) = complete {
            let last = end.saturating_sub(1);
            for server in self.servers.retain_listed(&listed, last, source, now) {
                effects.push(Effect::Log(decision::Decision::server_gone(&server)));
                changed = changed.max(Some(end));
            }
        }
        changed
    }

    /// Applies one change of a server entry; returns whether the view of the server changed.
    fn apply_server_change(
        &mut self,
        change: servers::EntryChange,
        source: servers::Source,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let line = decision::Decision::listed(&change);
        let server = change.id().clone();
        let has_changed = self.servers.apply(change, source, now);
        if has_changed {
            effects.push(Effect::Log(line));
        }
        self.refresh_cold(&server, now, effects);
        has_changed
    }

    fn server_list_changed(
        &mut self,
        changed: Option<ids::StorePosition>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(position) = changed {
            self.servers_position = self.servers_position.max(position);
            self.ledger.recount(&mut self.servers);
            effects.push(Effect::AnnounceChange);
        }
        self.report_cold(now, effects);
        self.list_prompts(now, effects);
        self.announce_origins(now, effects);
        self.store_versions(now, effects);
        self.place_waiting(now, effects);
    }

    /// Lists the prompts that engines hold once this instance coordinates a fleet that was running
    /// before, as their entries become known.
    fn list_prompts(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if !self.has_unlisted_prompts || !self.is_coordinator {
            return;
        }
        let until = *self.lists_prompts_until.get_or_insert(now + constants::PROMPT_LISTING_PERIOD);
        self.has_unlisted_prompts = now <= until;
        for (server, address) in self.servers.take_unlisted_decode_servers(now) {
            self.count_call(&server, now);
            effects.push(Effect::ListPrompts { server, address });
        }
    }

    fn load_history(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let Some((spending, received)) = self.pending_history.take() else { return };
        let age_ms = waiting::millis(now.saturating_sub(received));
        if self.quotas.load_history(&spending, age_ms, now) {
            let workspaces = spending.len();
            effects.push(Effect::Log(decision::Decision::HistoryLoaded { workspaces, age_ms }));
        } else if self.catalog.is_none() {
            self.pending_history = Some((spending, received));
        }
    }

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let step = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        self.update_coordinator_role(now, effects);
        self.repeat_protocol_level(now, effects);
        self.assume_spending(step, now);
        for server in self.servers.delete_expired(now) {
            effects.push(Effect::Log(decision::Decision::server_gone(&server)));
        }
        for removed in self.peers.remove_unresponsive(now) {
            self.quotas.remove_peer(removed);
        }
        self.update_peer_sync(now);
        self.list_prompts(now, effects);
        self.drop_lost_holders(now);
        self.resend_charges(now, effects);
        self.resend_reservation_requests(now, effects);
        self.end_lookups(now, effects);
        self.end_cold_times(now, effects);
        self.report_limits(now, effects);
        self.maintain_containment(now, effects);
        self.maintain_evacuations(now, effects);
        self.return_to_owners(now, effects);
        self.refuse_held(now, effects);
        self.refuse_unservable(now, effects);
        self.place_waiting(now, effects);
    }
}

/// Returns an id as text for a log line.
fn text(name: &Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}
