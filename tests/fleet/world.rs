//! A small world of instances, engines and plain servers in virtual time, without sockets.

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
use galenayard::core::fleet::message;
use galenayard::core::fleet::peers;
use galenayard::core::fleet::refusal;
use galenayard::core::fleet::servers;
use galenayard::core::ids;

/// One way between two instances.
const LATENCY: Duration = Duration::from_millis(2);
const TICK: Duration = Duration::from_millis(50);
pub const MEMORY_TOKENS: u32 = 96_000;
const STREAM: Duration = Duration::from_millis(3_000);
const PREFILL_TOKENS_PER_MS: f64 = 55.0;
pub const WORK: Duration = Duration::from_millis(30);
const PLAIN_QUEUE: usize = 24;

/// How servers treat what they are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    Sound,
    /// No connection can be opened.
    Unreachable,
    /// Requests are taken and the connection breaks.
    Breaks,
    /// Requests are rejected.
    Full,
    /// Every other request is answered with a failure.
    Errs,
}

#[derive(Debug)]
enum Action {
    Arrive { instance: usize, host: &'static str, tokens: Option<call::Tokens> },
    Tell { to: net::SocketAddr, from: net::SocketAddr, message: message::Message },
    Progress { instance: usize, request: u64, sends: u32, outcome: fleet::Outcome },
    Tick { instance: usize },
    Digest { instance: usize },
    Kill { instance: usize },
    List { listing: servers::Listing },
    SetHealth { server: Bytes, health: Health },
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
}

/// What has become of a request.
#[derive(Debug, Clone, Default)]
pub struct Record {
    pub host: &'static str,
    pub arrived: Duration,
    pub reads: u32,
    pub runs: u32,
    pub sends: u32,
    pub begun: Option<Duration>,
    pub finished: bool,
    pub refused: Option<refusal::Refusal>,
    pub refused_at: Option<Duration>,
    pub ends: u32,
    pub memory: Option<(Bytes, u32)>,
    pub last_send: Duration,
    pub last_server: Bytes,
}

pub struct World {
    pub now: Duration,
    instances: Vec<Option<fleet::Fleet>>,
    addresses: Vec<net::SocketAddr>,
    digests_every: Duration,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
    backends: Map<Bytes, Backend>,
    next_request: u64,
    /// The most instances that coordinated at once.
    pub most_coordinators: usize,
    /// Digests sent so far.
    pub datagrams: usize,
    pub records: Map<(usize, u64), Record>,
}

/// The limit of the workspace that `limited` is called for.
pub const LIMIT_PER_S: f64 = 100.0;
pub const LIMIT_BURST: f64 = 50.0;
pub const LIMIT_WINDOW: Duration = Duration::from_secs(8);
const KEY: &[u8] = b"key";

/// The time until the instances of a large fleet know who coordinates.
const SETTLED_AFTER: Duration = Duration::from_millis(2_500);

pub fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn route(host: &str, service: &str, repeat: catalog::Repeat, is_stream: bool) -> catalog::Route {
    let (timeout, objective) = if is_stream { (14_000, 900) } else { (1_000, 150) };
    catalog::Route {
        name: host.to_string(),
        host: host.to_string(),
        path_prefix: "/".to_string(),
        is_stream,
        repeat,
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(objective),
        first_event_timeout: Duration::from_millis(3_600),
        priority: 1,
        services: vec![(service.into(), 1)],
        attempts: 2,
        is_open: true,
    }
}

pub fn configuration() -> catalog::Catalog {
    let routes = [
        route("stream", "llm", catalog::Repeat::Once, true),
        route("order", "desk", catalog::Repeat::Once, false),
        route("query", "desk", catalog::Repeat::Idempotent, false),
        catalog::Route { is_open: false, ..route("limited", "desk", catalog::Repeat::Once, false) },
    ];
    let limit = catalog::Limit {
        rate_per_s: LIMIT_PER_S,
        burst: LIMIT_BURST,
        counts_tokens: false,
        plain_tokens: 1.0,
    };
    let workspace = catalog::Workspace {
        name: "w".into(),
        keys: vec![catalog::key_digest(&Bytes::from_static(KEY))],
        priority: None,
        limit: Some(limit),
    };
    let engine = catalog::EngineShape { slots: 64, memory_tokens: MEMORY_TOKENS };
    catalog::Catalog::new(catalog::Content {
        version: 1,
        routes: routes.into_iter().map(sync::Arc::new).collect(),
        services: vec![
            catalog::Service { name: "llm".into(), engine: Some(engine) },
            catalog::Service { name: "desk".into(), engine: None },
        ],
        workspaces: Some(vec![sync::Arc::new(workspace)]),
        caller_limits: catalog::CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            idle: Duration::from_secs(1),
        },
    })
}

pub fn entry(name: &str, service: &str, stage: Option<servers::Stage>) -> servers::Entry {
    servers::Entry {
        id: Bytes::from(name.to_string()),
        service: service.into(),
        address: address(1),
        domain: "a".to_string(),
        slots: if stage.is_some() { 64 } else { 6 },
        is_draining: false,
        stage,
        cold_ms: 0,
        born_ms: 1,
        offset: 1,
    }
}

impl World {
    /// Instances that hear of each other before the first request, and servers.
    pub fn new(instances: usize, digests_every: Duration, entries: &[servers::Entry]) -> Self {
        let addresses: Vec<_> = (0..instances).map(|index| address(1_000 + index as u16)).collect();
        let mut world = Self {
            now: Duration::ZERO,
            instances: Vec::new(),
            addresses,
            digests_every,
            queue: BinaryHeap::new(),
            sequence: 0,
            backends: Map::default(),
            next_request: 0,
            most_coordinators: 0,
            datagrams: 0,
            records: Map::default(),
        };
        for index in 0..instances {
            world.instances.push(Some(new_fleet(index, world.addresses[index])));
        }
        for entry in entries {
            let backend = Backend {
                health: Health::Sound,
                free_at: vec![Duration::ZERO; if entry.stage.is_some() { 1 } else { 6 }],
                memory_tokens: 0,
                most_memory_tokens: 0,
            };
            world.backends.insert(entry.id.clone(), backend);
        }
        let catalog = sync::Arc::new(configuration());
        for index in 0..instances {
            // The store names all instances.
            let members = (0..instances).map(|other| member(other, world.addresses[other]));
            world.apply(index, fleet::Event::Introduced(members.collect()));
            world.apply(index, fleet::Event::Configured(sync::Arc::clone(&catalog)));
            let listings = entries.iter().cloned().map(servers::Listing::Present).collect();
            world.apply(index, listed(listings));
            let offset = Duration::from_millis(index as u64);
            world.schedule(offset, Action::Tick { instance: index });
            world.schedule(offset, Action::Digest { instance: index });
        }
        world.run((digests_every * 2).max(SETTLED_AFTER));
        world
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.sequence += 1;
        self.queue.push(Scheduled(self.now + after, self.sequence, action));
    }

    /// Lets a request arrive after a while.
    pub fn arrive(
        &mut self,
        after: Duration,
        instance: usize,
        host: &'static str,
        tokens: Option<call::Tokens>,
    ) {
        self.schedule(after, Action::Arrive { instance, host, tokens });
    }

    /// Gives some instances another version of the configuration.
    pub fn configure(&mut self, instances: &[usize], version: u64) {
        let content = catalog::Content { version, ..configuration().content };
        let catalog = sync::Arc::new(catalog::Catalog::new(content));
        for index in instances {
            self.apply(*index, fleet::Event::Configured(sync::Arc::clone(&catalog)));
        }
    }

    /// Returns the peer that an instance would ask for a newer configuration.
    pub fn newer_peer(&mut self, instance: usize) -> Option<net::SocketAddr> {
        let now = self.now;
        self.instances[instance].as_mut()?.newer_peer(now)
    }

    /// Returns the addresses that an instance names to callers.
    pub fn caller_addresses(&self, instance: usize) -> Vec<net::SocketAddr> {
        let fleet = self.instances[instance].as_ref();
        fleet.map(|fleet| fleet.caller_addresses(self.now)).unwrap_or_default()
    }

    /// Tells instances whether the store answers them.
    pub fn set_reads_store(&mut self, instances: &[usize], reads_store: bool) {
        for index in instances {
            if let Some(fleet) = self.instances[*index].as_mut() {
                fleet.set_reads_store(reads_store);
            }
        }
    }

    /// Returns the instances that ask the store.
    pub fn store_readers(&self) -> Vec<usize> {
        let fleets = self.instances.iter().enumerate();
        let reads = |fleet: &fleet::Fleet| fleet.should_read_store(self.now);
        let readers = fleets.filter(|(_, fleet)| fleet.as_ref().is_some_and(reads));
        readers.map(|(index, _)| index).collect()
    }

    /// Returns the instances that coordinate.
    pub fn coordinators(&self) -> Vec<usize> {
        let fleets = self.instances.iter().enumerate();
        let coordinating =
            fleets.filter(|(_, fleet)| fleet.as_ref().is_some_and(fleet::Fleet::coordinates));
        coordinating.map(|(index, _)| index).collect()
    }

    /// Returns the peer that an instance would ask for newer servers.
    pub fn peer_with_newer_servers(&self, instance: usize) -> Option<net::SocketAddr> {
        self.instances[instance].as_ref()?.peer_with_newer_servers(self.now)
    }

    /// Lets an instance read the store's list of servers, which ends before `end`.
    pub fn read_list(&mut self, instance: usize, entries: &[servers::Entry], end: ids::Offset) {
        if let Some(fleet) = self.instances[instance].as_mut() {
            fleet.set_reads_store(true);
        }
        let names = entries.iter().map(|entry| entry.id.clone()).collect();
        let listings = entries.iter().cloned().map(servers::Listing::Present).collect();
        let complete = Some((names, end));
        let event =
            fleet::Event::Listed { listings, complete, is_after_outage: false, told_at: None };
        self.apply(instance, event);
    }

    /// Gives an instance a change that was read after the store was away.
    pub fn list_after_outage(&mut self, instance: usize, listing: servers::Listing) {
        let event = fleet::Event::Listed {
            listings: vec![listing],
            complete: None,
            is_after_outage: true,
            told_at: None,
        };
        self.apply(instance, event);
    }

    /// Gives an instance one change of the list of servers.
    pub fn list_at(&mut self, instance: usize, listing: servers::Listing) {
        self.apply(instance, listed(vec![listing]));
    }

    /// Returns the servers that an instance tells a peer whose last change came before `position`.
    pub fn servers_since(&self, instance: usize, position: ids::Offset) -> Vec<servers::Entry> {
        let fleet = self.instances[instance].as_ref();
        fleet.map(|fleet| fleet.server_entries_since(position)).unwrap_or_default()
    }

    /// Returns the names that an instance tells a peer whose last change came before `position`, if
    /// it does not know all removals since then.
    pub fn names_told(&self, instance: usize, position: ids::Offset) -> Option<Vec<ids::ServerId>> {
        self.instances[instance].as_ref()?.server_names_unless_remembered(position)
    }

    /// Returns the removals that an instance tells a peer whose last change came before `position`.
    pub fn removals_since(&self, instance: usize, position: ids::Offset) -> Vec<servers::Removal> {
        let fleet = self.instances[instance].as_ref();
        fleet.map(|fleet| fleet.server_removals_since(position)).unwrap_or_default()
    }

    /// Returns whether an instance knows a server.
    pub fn knows_server(&self, instance: usize, name: &str) -> bool {
        let name = Bytes::from(name.to_string());
        let entries = self.instances[instance].as_ref().map(fleet::Fleet::server_entries);
        entries.unwrap_or_default().iter().any(|entry| entry.id == name)
    }

    /// Tells an instance to leave.
    pub fn leave(&mut self, instance: usize, streams_until: Duration) {
        self.apply(instance, fleet::Event::Leaving { streams_until });
    }

    /// Tells every instance of something.
    pub fn tell_all(&mut self, event: &fleet::Event) {
        for index in 0..self.instances.len() {
            self.apply(index, event.clone());
        }
    }

    /// Starts all instances again, which know what the store tells: the others as they were, and
    /// those of this start that were announced before.
    pub fn restart_all(&mut self, entries: &[servers::Entry]) {
        let count = self.addresses.len();
        let old: Vec<_> = (0..count).map(|index| member(index, self.addresses[index])).collect();
        let new = |index: usize| {
            let incarnation = (count + index) as u64 + 1;
            peers::Member { incarnation, started_unix_ms: incarnation, ..old[index].clone() }
        };
        for index in 0..count {
            self.instances[index] = Some(restarted_fleet(new(index)));
            let announced =
                (0..count).map(|other| if other < index { new(other) } else { old[other].clone() });
            self.apply(index, fleet::Event::Introduced(announced.collect()));
            self.apply(index, fleet::Event::Configured(sync::Arc::new(configuration())));
            let listings = entries.iter().cloned().map(servers::Listing::Present).collect();
            self.apply(index, listed(listings));
            self.apply(index, fleet::Event::PastSpending(Vec::new()));
        }
    }

    pub fn kill(&mut self, after: Duration, instance: usize) {
        self.schedule(after, Action::Kill { instance });
    }

    pub fn list(&mut self, after: Duration, listing: servers::Listing) {
        self.schedule(after, Action::List { listing });
    }

    pub fn set_health(&mut self, after: Duration, server: &str, health: Health) {
        let server = Bytes::from(server.to_string());
        self.schedule(after, Action::SetHealth { server, health });
    }

    /// Returns the most memory that requests have held at a server.
    pub fn most_memory(&self, server: &str) -> u32 {
        self.backends[&Bytes::from(server.to_string())].most_memory_tokens
    }

    /// Lets time pass.
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
            Action::Arrive { instance, host, tokens } => self.arrived(instance, host, tokens),
            Action::Tell { to, from, message } => {
                if let Some(index) = self.addresses.iter().position(|known| *known == to) {
                    self.apply(index, fleet::Event::Told { from, message });
                }
            }
            Action::Progress { instance, request, sends, outcome } => {
                self.progressed(instance, request, sends, outcome);
            }
            Action::Tick { instance } => {
                self.apply(instance, fleet::Event::Ticked);
                self.schedule(TICK, Action::Tick { instance });
            }
            Action::Digest { instance } => self.tell_digest(instance),
            Action::Kill { instance } => self.instances[instance] = None,
            Action::List { listing } => {
                for index in 0..self.instances.len() {
                    self.apply(index, listed(vec![listing.clone()]));
                }
            }
            Action::SetHealth { server, health } => {
                if let Some(backend) = self.backends.get_mut(&server) {
                    backend.health = health;
                }
            }
        }
    }

    fn arrived(&mut self, instance: usize, host: &'static str, tokens: Option<call::Tokens>) {
        if self.instances[instance].is_none() {
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        let record = Record { host, arrived: self.now, ..Record::default() };
        self.records.insert((instance, request), record);
        let call = call::Call {
            id: Bytes::from(request.to_string()),
            host: host.to_string(),
            path: "/x".to_string(),
            key: (host == "limited").then(|| Bytes::from_static(KEY)),
            deadline: None,
            tokens,
        };
        self.apply(instance, fleet::Event::Arrived { request, call });
    }

    fn tell_digest(&mut self, instance: usize) {
        let targets = self.send_parcels(instance);
        let Some(fleet) = self.instances[instance].as_ref() else { return };
        let next = if fleet.is_coordinated(self.now) {
            fleet.pace(targets, self.now).longest
        } else {
            self.digests_every
        };
        self.schedule(next, Action::Digest { instance });
    }

    fn note_coordinators(&mut self) {
        self.most_coordinators = self.most_coordinators.max(self.coordinators().len());
    }

    fn send_parcels(&mut self, instance: usize) -> usize {
        let now = self.now;
        let Some(fleet) = self.instances[instance].as_mut() else { return 0 };
        let parcels = fleet.parcels(now);
        let from = self.addresses[instance];
        let mut targets = 0;
        for parcel in parcels {
            targets += parcel.to.len();
            for to in parcel.to {
                let message = message::Message::Digest(parcel.digest.clone());
                self.schedule(LATENCY, Action::Tell { to, from, message });
            }
        }
        self.datagrams += targets;
        targets
    }

    fn apply(&mut self, instance: usize, event: fleet::Event) {
        let now = self.now;
        let Some(fleet) = self.instances[instance].as_mut() else { return };
        for effect in fleet.apply(event, now) {
            self.carry_out(instance, effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: fleet::Effect) {
        match effect {
            fleet::Effect::Send { request, dispatch } => self.serve(instance, request, &dispatch),
            fleet::Effect::Refuse { request, refusal } => {
                let now = self.now;
                let record = self.record(instance, request);
                record.refused = Some(refusal);
                record.refused_at = Some(now);
                record.ends += 1;
                // The shell drops the connection, and the server stops.
                record.sends += 1;
                self.free_memory(instance, request);
            }
            fleet::Effect::Deliver { request } => self.record(instance, request).ends += 1,
            fleet::Effect::Tell { to, message } => {
                let from = self.addresses[instance];
                self.schedule(LATENCY, Action::Tell { to, from, message });
            }
            fleet::Effect::Announce => {
                self.note_coordinators();
                self.send_parcels(instance);
            }
            fleet::Effect::Admit { .. }
            | fleet::Effect::Release { .. }
            | fleet::Effect::Publish
            | fleet::Effect::Log(_) => {}
        }
    }

    fn record(&mut self, instance: usize, request: u64) -> &mut Record {
        self.records.entry((instance, request)).or_default()
    }

    fn serve(&mut self, instance: usize, request: u64, dispatch: &fleet::Dispatch) {
        let now = self.now;
        let sends = {
            let record = self.record(instance, request);
            record.sends += 1;
            record.last_send = now;
            record.last_server = dispatch.server.clone();
            record.sends
        };
        let health = self.backends[&dispatch.server].health;
        let unhealthy = match health {
            Health::Sound => None,
            Health::Errs if request.is_multiple_of(2) => None,
            Health::Errs => {
                let is_run = dispatch.step != fleet::Step::Prefill;
                self.record(instance, request).runs += u32::from(is_run);
                Some((WORK, fleet::Outcome::Failed { status: 500 }))
            }
            Health::Unreachable => Some((Duration::from_millis(2), fleet::Outcome::Unsent)),
            Health::Full => Some((Duration::from_millis(2), fleet::Outcome::Rejected)),
            Health::Breaks => {
                let is_run = dispatch.step != fleet::Step::Prefill;
                self.record(instance, request).runs += u32::from(is_run);
                Some((Duration::from_millis(20), fleet::Outcome::Broken))
            }
        };
        if let Some((after, outcome)) = unhealthy {
            self.schedule(after, Action::Progress { instance, request, sends, outcome });
            return;
        }
        if dispatch.server.starts_with(b"desk") {
            return self.serve_plain(instance, request, sends, dispatch);
        }
        self.serve_engine(instance, request, sends, dispatch);
    }

    fn serve_plain(
        &mut self,
        instance: usize,
        request: u64,
        sends: u32,
        dispatch: &fleet::Dispatch,
    ) {
        let now = self.now;
        let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
        backend.free_at.sort_unstable();
        let begins = backend.free_at[0].max(now);
        if begins > now + WORK * (PLAIN_QUEUE as u32 / 6) {
            let outcome = fleet::Outcome::Rejected;
            self.schedule(LATENCY, Action::Progress { instance, request, sends, outcome });
            return;
        }
        backend.free_at[0] = begins + WORK;
        let after = begins + WORK - now;
        let record = self.record(instance, request);
        record.runs += 1;
        record.begun = Some(now + after);
        let outcome = fleet::Outcome::Finished { status: 200 };
        self.schedule(after, Action::Progress { instance, request, sends, outcome });
    }

    fn serve_engine(
        &mut self,
        instance: usize,
        request: u64,
        sends: u32,
        dispatch: &fleet::Dispatch,
    ) {
        let now = self.now;
        let is_decode = matches!(dispatch.step, fleet::Step::Decode { .. });
        let rate = match dispatch.step {
            fleet::Step::Prefill => PREFILL_TOKENS_PER_MS,
            _ => PREFILL_TOKENS_PER_MS / 2.0,
        };
        let reading = if is_decode {
            Duration::from_millis(5)
        } else {
            Duration::from_secs_f64(f64::from(PROMPT.prompt_tokens) / rate / 1_000.0)
        };
        let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
        let begins = if is_decode { now } else { backend.free_at[0].max(now) };
        if !is_decode {
            backend.free_at[0] = begins + reading;
        }
        let after = begins + reading - now;
        if !is_decode {
            self.record(instance, request).reads += 1;
        }
        if dispatch.step == fleet::Step::Prefill {
            let outcome = fleet::Outcome::Prefilled { handle: "h".to_string() };
            self.schedule(after, Action::Progress { instance, request, sends, outcome });
            return;
        }
        let Some(backend) = self.backends.get_mut(&dispatch.server) else { return };
        let held = PROMPT.prompt_tokens + PROMPT.expected_tokens / 2;
        backend.memory_tokens += held;
        backend.most_memory_tokens = backend.most_memory_tokens.max(backend.memory_tokens);
        let record = self.record(instance, request);
        record.runs += 1;
        record.memory = Some((dispatch.server.clone(), held));
        let started = fleet::Outcome::Started;
        self.schedule(after, Action::Progress { instance, request, sends, outcome: started });
        let outcome = fleet::Outcome::Finished { status: 200 };
        self.schedule(after + STREAM, Action::Progress { instance, request, sends, outcome });
    }

    fn free_memory(&mut self, instance: usize, request: u64) {
        if let Some((server, held)) = self.record(instance, request).memory.take()
            && let Some(backend) = self.backends.get_mut(&server)
        {
            backend.memory_tokens -= held;
        }
    }

    fn progressed(&mut self, instance: usize, request: u64, sends: u32, outcome: fleet::Outcome) {
        let now = self.now;
        let record = self.record(instance, request);
        if record.sends != sends {
            return;
        }
        match &outcome {
            fleet::Outcome::Started => record.begun = Some(now),
            fleet::Outcome::Finished { .. } => {
                record.finished = true;
                record.ends += 1;
                self.free_memory(instance, request);
            }
            _ => {}
        }
        self.apply(instance, fleet::Event::Progressed { request, outcome });
    }
}

/// The tokens of every prompt in this world.
pub const PROMPT: call::Tokens =
    call::Tokens { prompt_tokens: 5_200, output_tokens: 6_000, expected_tokens: 3_500 };

fn listed(listings: Vec<servers::Listing>) -> fleet::Event {
    fleet::Event::Listed { listings, complete: None, is_after_outage: false, told_at: None }
}

fn member(index: usize, address: net::SocketAddr) -> peers::Member {
    peers::Member {
        name: format!("instance-{index}"),
        incarnation: index as u64 + 1,
        peer_address: address,
        caller_address: address,
        is_ready: true,
        capacity_cores: 0.25,
        started_unix_ms: index as u64,
    }
}

/// An instance of a system that starts for the first time, and knows nothing yet.
pub fn new_fleet(index: usize, own: net::SocketAddr) -> fleet::Fleet {
    let is_first_start = true;
    fleet::Fleet::new(options(member(index, own), is_first_start))
}

fn restarted_fleet(own: peers::Member) -> fleet::Fleet {
    let is_first_start = false;
    fleet::Fleet::new(options(own, is_first_start))
}

fn options(own: peers::Member, is_first_start: bool) -> fleet::Options {
    fleet::Options {
        seed: own.incarnation,
        own,
        domain: "a".to_string(),
        is_first_start,
        quota_window: LIMIT_WINDOW,
        retries: budget::RetryBounds { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) },
        seeds: vec![address(1_000)],
    }
}

/// Three prefill engines, six decode engines and three plain servers.
pub fn servers() -> Vec<servers::Entry> {
    let engine = |index: usize| {
        let stage = if index < 3 { servers::Stage::Prefill } else { servers::Stage::Decode };
        entry(&format!("llm-{index}"), "llm", Some(stage))
    };
    let plain = |index: usize| entry(&format!("desk-{index}"), "desk", None);
    (0..9).map(engine).chain((0..3).map(plain)).collect()
}
