//! A simulation of instances, engines and plain servers in virtual time, without sockets.

mod backends;
mod cold;
mod crashes;
mod evacuations;
mod fixtures;
mod legs;
mod machines;
mod views;

use std::cmp;
use std::collections::BinaryHeap;
use std::net;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use galenayard::core::collections::Map;
use galenayard::core::fleet;
use galenayard::core::fleet::budget;
use galenayard::core::fleet::call;
use galenayard::core::fleet::catalog;
use galenayard::core::fleet::containment;
use galenayard::core::fleet::message;
use galenayard::core::fleet::notices;
use galenayard::core::fleet::peers;
use galenayard::core::fleet::quarantine;
use galenayard::core::fleet::refusal;
use galenayard::core::fleet::server_limits;
use galenayard::core::fleet::server_load;
use galenayard::core::fleet::servers;
use galenayard::core::fleet::shutdown;
use galenayard::core::fleet::streams;
use galenayard::core::fleet::versions;
use galenayard::core::ids;

pub use fixtures::address;
pub use fixtures::configuration;
pub use fixtures::entry;
pub use fixtures::listed;
pub use fixtures::new_fleet;
pub use fixtures::servers;
pub use fixtures::servers_of_two_versions;
pub use legs::Hedge;
pub use machines::Stating;

use fixtures::hedging_fleet;
use fixtures::member;
use fixtures::restarted_fleet;

/// The latency of a message between two instances, in one direction.
pub const LATENCY: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(50);
pub const MEMORY_TOKENS: u32 = 96_000;
const STREAM: Duration = Duration::from_millis(3_000);
const PREFILL_TOKENS_PER_MS: f64 = 55.0;
pub const WORK: Duration = Duration::from_millis(30);
const PLAIN_QUEUE: usize = 24;

/// The behaviour of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Another server answers at its address.
    Replaced,
    Healthy,
    /// Connections are refused.
    Unreachable,
    /// The server runs each request and drops the connection before the answer.
    DropsConnections,
    /// The server runs each request, and at once loses two of five answers.
    LosesAnswers,
    /// Every request is rejected without a run.
    RejectsRequests,
    /// The server answers every other request with a failure.
    AnswersErrors,
    /// The server takes each request and never answers.
    NeverAnswers,
}

/// What distinguishes a request that arrives.
#[derive(Debug, Clone, Default)]
pub struct Arrival {
    pub host: &'static str,
    pub tokens: Option<call::Tokens>,
    pub prompt: Option<call::PromptId>,
    pub shared_parts: Vec<call::PartId>,
    pub resumes: Option<call::StreamId>,
    /// What its caller sends: equal for requests that are the same.
    pub content: u64,
}

#[derive(Debug)]
enum Action {
    Arrive { instance: usize, call: Arrival },
    Crash { server: Bytes },
    Return { entry: servers::Entry },
    Message { to: net::SocketAddr, from: net::SocketAddr, message: message::Message },
    Progress { instance: usize, request: u64, sends: u32, outcome: fleet::Outcome },
    HedgeDue { instance: usize, request: u64, sends: u32 },
    Tick { instance: usize },
    Digest { instance: usize },
    Kill { instance: usize },
    List { change: servers::EntryChange },
    SetHealth { server: Bytes, health: Health },
    SetLimit { server: Bytes, limit_per_s: Option<f64> },
    Apply { instance: usize, event: fleet::Event },
}

struct Scheduled(Duration, u64, Action);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

struct Backend {
    health: Health,
    free_at: Vec<Duration>,
    memory_tokens: u32,
    most_memory_tokens: u32,
    prefill_tokens_per_ms: f64,
    /// The time that streams take, as a share of the usual one.
    stream_share: f64,
    /// The prompts sent for a handover and not prefilled yet.
    prefilling: u32,
    most_prefilling: u32,
    /// The prompts whose KV cache it holds.
    prompts: Vec<call::PromptId>,
    /// The limit that it names in its answers, in requests a second.
    limit_per_s: Option<f64>,
    /// What else its answers state.
    notice: notices::Notice,
    /// The machine that it shares with others, if its speed changes.
    machine: Option<machines::Machine>,
    /// The requests that reached it: when, and from which instance.
    arrivals: Vec<(Duration, usize)>,
}

impl Backend {
    fn new(entry: &servers::Entry) -> Self {
        Self {
            health: Health::Healthy,
            free_at: vec![Duration::ZERO; if entry.stage.is_some() { 1 } else { 6 }],
            memory_tokens: 0,
            most_memory_tokens: 0,
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            stream_share: 1.0,
            prefilling: 0,
            most_prefilling: 0,
            prompts: Vec::new(),
            limit_per_s: None,
            notice: notices::Notice::default(),
            machine: None,
            arrivals: Vec::new(),
        }
    }
}

/// The events of one request.
#[derive(Debug, Clone, Default)]
pub struct Record {
    pub host: &'static str,
    pub arrived: Duration,
    pub prompt: Option<call::PromptId>,
    pub prefills: u32,
    pub runs: u32,
    pub sends: u32,
    pub begun: Option<Duration>,
    pub finished: bool,
    /// When the whole answer has arrived, whichever send brought it.
    pub answered: Option<Duration>,
    pub refused: Option<refusal::Refusal>,
    pub refused_at: Option<Duration>,
    pub ends: u32,
    pub memory: Option<(Bytes, u32)>,
    pub last_send: Duration,
    pub last_server: Bytes,
    /// The servers whose events reached the caller.
    pub begun_at: Vec<Bytes>,
    /// The stream that it resumes.
    pub resumes: Option<call::StreamId>,
    /// The parts of its prompt that others may share.
    pub shared_parts: Vec<call::PartId>,
    /// What its caller sends: equal for requests that are the same.
    pub content: u64,
    /// Whether it is at a server.
    pub is_in_flight: bool,
}

/// A call that reached a server.
#[derive(Debug, Clone)]
pub struct ServerCall {
    pub at: Duration,
    /// The instance and its number of the request.
    pub request: (usize, u64),
    pub server: Bytes,
    /// Whether it is a prefill that the server accepts.
    pub is_accepted_prefill: bool,
}

pub struct World {
    pub now: Duration,
    instances: Vec<Option<fleet::Fleet>>,
    /// When each instance started; its own clock begins then.
    started: Vec<Duration>,
    addresses: Vec<net::SocketAddr>,
    digests_every: Duration,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
    backends: Map<Bytes, Backend>,
    next_request: u64,
    /// The maximum number of simultaneous coordinators.
    pub most_coordinators: usize,
    /// The number of digests sent so far, one per receiver.
    pub datagrams: usize,
    /// The reports on loads that servers state: when and by which instance each was sent.
    pub load_reports: Vec<(Duration, usize, Bytes)>,
    /// The software versions in the store.
    pub stored_versions: Vec<versions::ServiceVersions>,
    /// The origins of streams in the store, and the number of records that hold them.
    pub stored_origins: Vec<streams::Origin>,
    pub origin_records: usize,
    /// The quarantines in the store.
    pub stored_quarantines: Vec<quarantine::Report>,
    /// The number of messages on limits and cold servers sent so far, one per receiver.
    pub limit_messages: usize,
    /// The number of released KV caches.
    pub releases: usize,
    /// The calls that reached a server, in their order.
    pub calls: Vec<ServerCall>,
    pub records: Map<(usize, u64), Record>,
    /// The source of the work of plain requests; without one each takes the mean.
    plain_work: Option<rand_chacha::ChaCha8Rng>,
    /// Instances of an older build, which knows of no limits.
    pub older: Vec<usize>,
    /// Instances whose messages are lost in both directions.
    pub muted: Vec<usize>,
    /// The instances that do not reach the store.
    pub without_store: Vec<usize>,
    /// The parts of prompts that end each server that begins to answer them.
    pub crashing_parts: Vec<call::PartId>,
    /// The requests that end each server that begins to run them.
    pub crashing_contents: Vec<u64>,
    /// The crashes, with the id of the server.
    pub crashes: Vec<(Duration, Bytes)>,
    /// The offset of the last change of an entry in the store.
    store_end: u64,
    /// The entries of the servers.
    entries: Map<Bytes, servers::Entry>,
    /// The configuration in the store.
    catalog: sync::Arc<catalog::Catalog>,
    /// Instances that cannot connect to a server.
    pub cut_off: Vec<(usize, &'static str)>,
    /// When each instance first received an answer that names a limit, by server.
    pub notified: Map<(Bytes, usize), Duration>,
    /// When instances received answers with a notice.
    pub notices: Vec<(Duration, Bytes, usize)>,
    /// The evacuations in the store.
    pub evacuations: evacuations::Store,
    /// The calls to servers beside requests of callers: when, from which instance, to which address.
    pub side_calls: Vec<(Duration, usize, net::SocketAddr)>,
    /// The second sends of requests, in their order.
    pub hedges: Vec<legs::Hedge>,
    work: legs::Work,
}

/// The limit of the workspace that sends requests to the host `limited`.
pub const LIMIT_PER_S: f64 = 100.0;
pub const LIMIT_BURST: f64 = 50.0;
pub const LIMIT_WINDOW: Duration = Duration::from_secs(8);
const KEY: &[u8] = b"key";

/// The fleet's bounds on retries.
pub const RETRY_RATIO: f64 = 0.2;
pub const RETRY_SLACK: f64 = 30.0;

/// Returns the key with which callers send to a host.
fn key_for(host: &'static str) -> Option<Bytes> {
    match host {
        "limited" => Some(Bytes::from_static(KEY)),
        // The names of these workspaces are their keys.
        "busy" | "quiet" | "calm" | "urgent" => Some(Bytes::from_static(host.as_bytes())),
        _ => host.strip_suffix("-stream").map(|name| Bytes::from_static(name.as_bytes())),
    }
}

/// The time until the instances of a large fleet agree on the coordinators.
const COORDINATION_WARMUP: Duration = Duration::from_millis(2_500);

impl World {
    /// Starts instances and servers, and runs them until the instances know each other.
    pub fn new(instances: usize, digests_every: Duration, entries: &[servers::Entry]) -> Self {
        Self::with_options(instances, digests_every, entries, Vec::new(), 0.0)
    }

    /// Starts instances, of which some are of an older build, and servers.
    pub fn with_older(
        instances: usize,
        digests_every: Duration,
        entries: &[servers::Entry],
        older: Vec<usize>,
    ) -> Self {
        Self::with_options(instances, digests_every, entries, older, 0.0)
    }

    /// Starts instances that may hedge a share of requests.
    pub fn with_hedging(
        hedge_share: f64,
        instances: usize,
        digests_every: Duration,
        entries: &[servers::Entry],
    ) -> Self {
        Self::with_options(instances, digests_every, entries, Vec::new(), hedge_share)
    }

    fn with_options(
        instances: usize,
        digests_every: Duration,
        entries: &[servers::Entry],
        older: Vec<usize>,
        hedge_share: f64,
    ) -> Self {
        let addresses: Vec<_> = (0..instances).map(|index| address(1_000 + index as u16)).collect();
        let mut world = Self {
            now: Duration::ZERO,
            instances: Vec::new(),
            started: vec![Duration::ZERO; instances],
            addresses,
            digests_every,
            queue: BinaryHeap::new(),
            sequence: 0,
            backends: Map::default(),
            next_request: 0,
            most_coordinators: 0,
            datagrams: 0,
            load_reports: Vec::new(),
            stored_versions: Vec::new(),
            stored_origins: Vec::new(),
            origin_records: 0,
            stored_quarantines: Vec::new(),
            limit_messages: 0,
            releases: 0,
            calls: Vec::new(),
            records: Map::default(),
            plain_work: None,
            older,
            muted: Vec::new(),
            without_store: Vec::new(),
            crashing_parts: Vec::new(),
            crashing_contents: Vec::new(),
            crashes: Vec::new(),
            store_end: 1,
            entries: entries.iter().map(|entry| (entry.id.clone(), entry.clone())).collect(),
            catalog: sync::Arc::new(configuration()),
            cut_off: Vec::new(),
            notified: Map::default(),
            notices: Vec::new(),
            evacuations: evacuations::Store::default(),
            side_calls: Vec::new(),
            hedges: Vec::new(),
            work: legs::Work::default(),
        };
        for index in 0..instances {
            let fleet = hedging_fleet(index, world.addresses[index], hedge_share);
            world.instances.push(Some(fleet));
        }
        for entry in entries {
            world.backends.insert(entry.id.clone(), Backend::new(entry));
        }
        let catalog = sync::Arc::clone(&world.catalog);
        for index in 0..instances {
            // The store lists all instances.
            let members = (0..instances).map(|other| member(other, world.addresses[other]));
            world.apply(index, fleet::Event::MembersDiscovered(members.collect()));
            world.apply(index, fleet::Event::Configured(sync::Arc::clone(&catalog)));
            let changes = entries.iter().cloned().map(servers::EntryChange::Put).collect();
            world.apply(index, listed(changes));
            let offset = Duration::from_millis(index as u64);
            world.schedule(offset, Action::Tick { instance: index });
            world.schedule(offset, Action::Digest { instance: index });
        }
        world.run((digests_every * 2).max(COORDINATION_WARMUP));
        world
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.sequence += 1;
        self.queue.push(Scheduled(self.now + after, self.sequence, action));
    }

    /// Schedules the arrival of a request.
    pub fn arrive(
        &mut self,
        after: Duration,
        instance: usize,
        host: &'static str,
        tokens: Option<call::Tokens>,
    ) {
        let call = Arrival { host, tokens, ..Arrival::default() };
        self.schedule(after, Action::Arrive { instance, call });
    }

    /// Schedules the arrival of a stream with the given prompt.
    pub fn arrive_with_prompt(&mut self, after: Duration, instance: usize, prompt: call::PromptId) {
        let (host, tokens, prompt) = ("stream", Some(PROMPT), Some(prompt));
        let call = Arrival { host, tokens, prompt, ..Arrival::default() };
        self.schedule(after, Action::Arrive { instance, call });
    }

    /// Schedules the arrival of a resumable stream, or of a caller that resumes one.
    pub fn arrive_resumable(
        &mut self,
        after: Duration,
        instance: usize,
        resumes: Option<call::StreamId>,
    ) {
        let (host, tokens) = ("resumable", Some(PROMPT));
        let call = Arrival { host, tokens, resumes, ..Arrival::default() };
        self.schedule(after, Action::Arrive { instance, call });
    }

    /// Cuts all streams that a server generates now.
    pub fn cut_streams(&mut self, server: &str) {
        let is_cut = |record: &Record| {
            let at = record.memory.as_ref().is_some_and(|(at, _)| at == server.as_bytes());
            at && !record.begun_at.is_empty() && !record.finished
        };
        let cut: Vec<_> = self.records.iter().filter(|(_, record)| is_cut(record)).collect();
        let mut cut: Vec<_> = cut.into_iter().map(|(id, record)| (*id, record.sends)).collect();
        cut.sort_unstable();
        for ((instance, request), sends) in cut {
            self.free_memory(instance, request);
            let outcome = fleet::Outcome::Truncated;
            self.schedule(Duration::ZERO, Action::Progress { instance, request, sends, outcome });
        }
    }

    /// Applies another version of the configuration at some instances.
    pub fn configure(&mut self, instances: &[usize], version: u64) {
        let content = catalog::Content { version, ..configuration().content };
        let catalog = sync::Arc::new(catalog::Catalog::new(content));
        for index in instances {
            self.apply(*index, fleet::Event::Configured(sync::Arc::clone(&catalog)));
        }
    }

    /// Starts the shutdown of an instance.
    pub fn leave(&mut self, instance: usize, shutdown: shutdown::Shutdown) {
        self.apply(instance, fleet::Event::ShutdownStarted(shutdown));
    }

    /// Applies an event at every instance.
    pub fn apply_to_all(&mut self, event: &fleet::Event) {
        for index in 0..self.instances.len() {
            self.apply(index, event.clone());
        }
    }

    /// Restarts all instances at the same time. Each knows from the store the previous incarnations
    /// of the others, and the new ones of the instances that were restarted before it.
    pub fn restart_all(&mut self, entries: &[servers::Entry]) {
        let count = self.addresses.len();
        let old: Vec<_> = (0..count).map(|index| member(index, self.addresses[index])).collect();
        let new = |index: usize| {
            let incarnation = (count + index) as u64 + 1;
            peers::Member { incarnation, started_unix_ms: incarnation, ..old[index].clone() }
        };
        for index in 0..count {
            self.instances[index] = Some(restarted_fleet(new(index)));
            self.started[index] = self.now;
            let announced =
                (0..count).map(|other| if other < index { new(other) } else { old[other].clone() });
            self.apply(index, fleet::Event::MembersDiscovered(announced.collect()));
            self.read_evacuations_at_start(index);
            let catalog = sync::Arc::clone(&self.catalog);
            self.apply(index, fleet::Event::Configured(catalog));
            let changes = entries.iter().cloned().map(servers::EntryChange::Put).collect();
            self.apply(index, listed(changes));
            self.apply(index, fleet::Event::SpendingHistory(Vec::new()));
            let quarantines = self.stored_quarantines.clone();
            self.apply(index, fleet::Event::QuarantinesRead(quarantines));
        }
    }

    pub fn kill(&mut self, after: Duration, instance: usize) {
        self.schedule(after, Action::Kill { instance });
    }

    pub fn list(&mut self, after: Duration, change: servers::EntryChange) {
        self.schedule(after, Action::List { change });
    }

    pub fn set_health(&mut self, after: Duration, server: &str, health: Health) {
        let server = Bytes::from(server.to_string());
        self.schedule(after, Action::SetHealth { server, health });
    }

    /// Changes the limit that a server names in its answers.
    pub fn set_limit(&mut self, after: Duration, server: &str, limit_per_s: Option<f64>) {
        let server = Bytes::from(server.to_string());
        self.schedule(after, Action::SetLimit { server, limit_per_s });
    }

    /// Changes what a server states in its answers from now on.
    pub fn set_notice(&mut self, server: &str, notice: notices::Notice) {
        let backend = self.backends.get_mut(&Bytes::from(server.to_string()));
        backend.expect("the server exists").notice = notice;
    }

    /// Returns the requests that reached a server: when, and from which instance.
    pub fn arrivals(&self, server: &str) -> &[(Duration, usize)] {
        &self.backends[&Bytes::from(server.to_string())].arrivals
    }

    /// Changes the prefill speed of a server to a share of the usual one.
    pub fn set_prefill_speed(&mut self, server: &str, share: f64) {
        let backend = self.backends.get_mut(&Bytes::from(server.to_string()));
        backend.expect("the server exists").prefill_tokens_per_ms = PREFILL_TOKENS_PER_MS * share;
    }

    /// Changes the time that streams take at a server to a share of the usual one.
    pub fn set_stream_share(&mut self, server: &str, share: f64) {
        let backend = self.backends.get_mut(&Bytes::from(server.to_string()));
        backend.expect("the server exists").stream_share = share;
    }

    /// Returns the number of streams that have begun and not ended.
    pub fn streams_in_progress(&self) -> usize {
        self.records.values().filter(|record| record.begun.is_some() && !record.finished).count()
    }

    /// Returns the maximum number of prompts that a server had to prefill for handovers at once.
    pub fn most_prefilling(&self, server: &str) -> u32 {
        self.backends[&Bytes::from(server.to_string())].most_prefilling
    }

    /// Returns the maximum number of KV cache tokens that requests held at a server.
    pub fn most_memory(&self, server: &str) -> u32 {
        self.backends[&Bytes::from(server.to_string())].most_memory_tokens
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0 <= end) {
            let Some(Scheduled(at, _, action)) = self.queue.pop() else { return };
            self.now = at;
            self.act(action);
        }
        self.now = end;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive { instance, call } => self.arrived(instance, call),
            Action::Crash { server } => self.crash(&server),
            Action::Return { entry } => self.return_server(entry),
            Action::Message { to, from, message } => {
                let index = self.addresses.iter().position(|known| *known == to);
                let from_index = self.addresses.iter().position(|known| *known == from);
                let is_lost = |index: &usize| {
                    let is_unknown = self.older.contains(index)
                        && matches!(
                            message,
                            message::Message::ServerLimits(_)
                                | message::Message::ServerLoads(_)
                                | message::Message::ServerCrashed(_)
                                | message::Message::RequestsSurvived { .. }
                                | message::Message::Quarantines(_)
                                | message::Message::ServerLeaving { .. }
                                | message::Message::ServersCold(_)
                                | message::Message::ReserveForWorkspace { .. }
                        );
                    let is_muted =
                        |index: Option<usize>| index.is_some_and(|it| self.muted.contains(&it));
                    let is_older = |index: Option<usize>| {
                        index.is_some_and(|index| self.older.contains(&index))
                    };
                    // Older builds neither send nor read these.
                    let is_new = matches!(
                        message,
                        message::Message::Evacuations(_) | message::Message::ProtocolLevel { .. }
                    );
                    let is_unknown =
                        is_unknown || is_new && (is_older(Some(*index)) || is_older(from_index));
                    is_unknown || is_muted(Some(*index)) || is_muted(from_index)
                };
                if let Some(index) = index.filter(|index| !is_lost(index)) {
                    self.apply(index, fleet::Event::Received { from, message });
                }
            }
            Action::Progress { instance, request, sends, outcome } => {
                self.progressed(instance, request, sends, outcome);
            }
            Action::HedgeDue { instance, request, sends } => {
                let record = self.record(instance, request);
                if record.sends == sends && record.is_in_flight {
                    self.apply(instance, fleet::Event::HedgeDue { request });
                }
            }
            Action::Tick { instance } => {
                self.apply(instance, fleet::Event::Ticked);
                self.read_evacuations(instance);
                self.store_versions(instance);
                self.store_origins(instance);
                self.store_quarantines(instance);
                self.schedule(TICK, Action::Tick { instance });
            }
            Action::Digest { instance } => self.send_digest(instance),
            Action::Kill { instance } => self.instances[instance] = None,
            Action::List { change } => {
                for index in 0..self.instances.len() {
                    self.apply(index, listed(vec![change.clone()]));
                }
            }
            Action::Apply { instance, event } => self.apply(instance, event),
            Action::SetLimit { server, limit_per_s } => {
                let backend = self.backends.get_mut(&server).expect("the server exists");
                backend.limit_per_s = limit_per_s;
            }
            Action::SetHealth { server, health } => {
                if let Some(backend) = self.backends.get_mut(&server) {
                    backend.health = health;
                }
            }
        }
    }

    fn arrived(&mut self, instance: usize, arrival: Arrival) {
        if self.instances[instance].is_none() {
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        let Arrival { host, tokens, prompt, shared_parts, resumes, content } = arrival;
        let record = Record {
            host,
            arrived: self.now,
            prompt,
            resumes: resumes.clone(),
            shared_parts: shared_parts.clone(),
            content,
            ..Record::default()
        };
        self.records.insert((instance, request), record);
        let call = call::Call {
            id: Bytes::from(request.to_string()),
            host: host.to_string(),
            path: "/x".to_string(),
            key: key_for(host),
            deadline: None,
            tokens,
            prompt,
            shared_parts,
            content: (content != 0).then_some(content.into()),
            resumes,
        };
        self.apply(instance, fleet::Event::Arrived { request, call });
    }

    fn send_digest(&mut self, instance: usize) {
        let targets = self.send_digests(instance);
        let now = self.clock(instance);
        let Some(fleet) = self.instances[instance].as_ref() else { return };
        let next = if fleet.is_coordinated(now) {
            fleet.digest_schedule(targets, now).max_interval
        } else {
            self.digests_every
        };
        self.schedule(next, Action::Digest { instance });
    }

    fn note_coordinators(&mut self) {
        self.most_coordinators = self.most_coordinators.max(self.coordinators().len());
    }

    fn send_digests(&mut self, instance: usize) -> usize {
        let now = self.clock(instance);
        let Some(fleet) = self.instances[instance].as_mut() else { return 0 };
        let digests = fleet.addressed_digests(now);
        let from = self.addresses[instance];
        let mut targets = 0;
        for addressed in digests {
            targets += addressed.to.len();
            for to in addressed.to {
                let message = message::Message::Digest(addressed.digest.clone());
                self.schedule(LATENCY, Action::Message { to, from, message });
            }
        }
        self.datagrams += targets;
        targets
    }

    fn apply(&mut self, instance: usize, event: fleet::Event) {
        let now = self.clock(instance);
        let Some(fleet) = self.instances[instance].as_mut() else { return };
        for effect in fleet.apply(event, now) {
            self.carry_out(instance, effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: fleet::Effect) {
        match effect {
            fleet::Effect::Send { request, dispatch } => self.serve(instance, request, &dispatch),
            fleet::Effect::SendSecond { request, dispatch } => {
                self.send_second(instance, request, &dispatch);
            }
            fleet::Effect::Refuse { request, refusal } => {
                let is_whole = false;
                self.answer_leg(instance, request, is_whole);
                let now = self.now;
                let record = self.record(instance, request);
                record.refused = Some(refusal);
                record.refused_at = Some(now);
                record.ends += 1;
                // After a refusal the router closes the connection to the server. The higher count
                // makes the simulation ignore later progress at that server.
                record.sends += 1;
                record.is_in_flight = false;
                self.free_memory(instance, request);
            }
            fleet::Effect::DeliverFailure { request } => self.record(instance, request).ends += 1,
            fleet::Effect::SendMessage { to, message } => {
                if let message::Message::ServerLoads(reports) = &message {
                    let servers = reports.iter().map(|report| report.server.clone());
                    self.load_reports.extend(servers.map(|server| (self.now, instance, server)));
                }
                let from = self.addresses[instance];
                self.limit_messages += usize::from(matches!(
                    message,
                    message::Message::ServerLimits(_) | message::Message::ServersCold(_)
                ));
                self.schedule(LATENCY, Action::Message { to, from, message });
            }
            fleet::Effect::AnnounceChange => {
                self.note_coordinators();
                self.send_digests(instance);
            }
            fleet::Effect::ReleaseKvCache { address, .. } => {
                self.side_calls.push((self.now, instance, address));
                self.releases += 1;
                let at_address = |entry: &&servers::Entry| entry.address == address;
                let server = self.entries.values().find(at_address).map(|entry| entry.id.clone());
                self.note_call(&server.expect("the server exists"), instance);
            }
            fleet::Effect::ListPrompts { server, address } => {
                self.side_calls.push((self.now, instance, address));
                self.note_call(&server, instance);
                let prompts = self.backends[&server].prompts.clone();
                let event = fleet::Event::PromptsListed { server, prompts };
                self.schedule(LATENCY * 2, Action::Apply { instance, event });
            }
            fleet::Effect::ProbeServer { server, born_ms, .. } => {
                let has_ended = self.backends[&server].health == Health::Unreachable;
                let reachability = match has_ended {
                    true => containment::Reachability::Refuses,
                    false => containment::Reachability::Accepts,
                };
                let event = fleet::Event::ServerProbed { server, born_ms, reachability };
                self.schedule(LATENCY * 2, Action::Apply { instance, event });
            }
            fleet::Effect::ReadStreamOrigins if self.without_store.contains(&instance) => {}
            fleet::Effect::ReadStreamOrigins => {
                let versions = fleet::Event::SoftwareVersionsRead(self.stored_versions.clone());
                let origins = fleet::Event::StreamOriginsRead(self.stored_origins.clone());
                for event in [versions, origins] {
                    self.schedule(LATENCY * 2, Action::Apply { instance, event });
                }
            }
            fleet::Effect::StoreVersions => self.store_versions(instance),
            fleet::Effect::Admit { .. } | fleet::Effect::PublishLoad | fleet::Effect::Log(_) => {}
        }
    }

    /// Writes the origins of streams to the store, if the instance is to do so.
    fn store_origins(&mut self, instance: usize) {
        let now = self.clock(instance);
        let Some(fleet) = self.instances[instance].as_mut() else { return };
        if fleet.is_limit_coordinator(now) {
            let origins = fleet.take_unstored_origins(now);
            self.origin_records += usize::from(!origins.is_empty());
            self.stored_origins.extend(origins);
        }
    }

    /// Writes the software versions to the store, if the instance is to do so. It reads them first.
    fn store_versions(&mut self, instance: usize) {
        let now = self.clock(instance);
        let is_writer = |fleet: &fleet::Fleet| {
            fleet.is_limit_coordinator(now) && !self.without_store.contains(&instance)
        };
        if self.instances[instance].as_ref().is_some_and(is_writer) {
            let stored = fleet::Event::SoftwareVersionsRead(self.stored_versions.clone());
            self.apply(instance, stored);
            let fleet = self.instances[instance].as_ref();
            if let Some(versions) = fleet.and_then(|fleet| fleet.versions_to_store(now)) {
                self.stored_versions = versions;
            }
        }
    }

    /// Writes the quarantines to the store, if the instance is to do so.
    fn store_quarantines(&mut self, instance: usize) {
        let now = self.clock(instance);
        let Some(fleet) = self.instances[instance].as_mut() else { return };
        if fleet.is_limit_coordinator(now)
            && let Some(reports) = fleet.take_unstored_quarantines(now)
        {
            self.stored_quarantines = reports;
        }
    }

    /// Returns the time on the clock of an instance.
    fn clock(&self, instance: usize) -> Duration {
        self.now - self.started[instance]
    }

    fn record(&mut self, instance: usize, request: u64) -> &mut Record {
        self.records.entry((instance, request)).or_default()
    }
}

/// The token counts of every prompt in the simulation.
pub const PROMPT: call::Tokens =
    call::Tokens { prompt_tokens: 5_200, output_tokens: 6_000, expected_tokens: 3_500 };
