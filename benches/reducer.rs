//! Events a second through the scheduler and placement reducers at two sizes of a fleet.
//!
//! One instance schedules all servers, so that it does the work of both sides. In each iteration
//! the oldest request ends and a new one takes its place.

use std::collections::VecDeque;
use std::net;
use std::sync;
use std::time;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use galenayard::core::collections;
use galenayard::core::configuration;
use galenayard::core::ids;
use galenayard::core::membership;
use galenayard::core::placement;
use galenayard::core::reducer::Reducer;
use galenayard::core::scheduler;
use galenayard::document;

const OWN: &[u8] = b"instance";
const INCARNATION: ids::Incarnation = 1;
/// One in this many live requests is being prefilled.
const LIVE_PER_PREFILL: u64 = 40;
/// Choose, place, placed, observed twice, release twice, for each phase.
const EVENTS_PER_REQUEST: u64 = 14;
const PROMPT_BLOCKS: u64 = 16;
const STEP: time::Duration = time::Duration::from_micros(100);
const STEPS_PER_TICK: u64 = 500;

/// The size of a fleet.
struct Size {
    name: &'static str,
    servers: u64,
    workspaces: u64,
    live: u64,
}

const SIZES: [Size; 2] = [
    Size { name: "12_servers_100_live", servers: 12, workspaces: 5, live: 100 },
    Size { name: "1400_servers_20000_live", servers: 1_400, workspaces: 300, live: 20_000 },
];

struct Bench {
    scheduler: scheduler::Scheduler,
    placement: placement::Placement,
    workspaces: Vec<ids::WorkspaceId>,
    live: VecDeque<ids::RequestId>,
    prefilling: VecDeque<ids::RequestId>,
    prefills: usize,
    places: collections::Map<(ids::RequestId, scheduler::Phase), ids::ServerId>,
    effects: Vec<scheduler::Effect>,
    chosen: Vec<placement::Effect>,
    now: ids::Timestamp,
    steps: u64,
}

impl Bench {
    fn new(size: &Size) -> Self {
        let snapshot = sync::Arc::new(configuration::Snapshot::new(1, [0; 32], document(size)));
        let mut bench = Self {
            scheduler: scheduler::Scheduler::new(OWN.into(), INCARNATION),
            placement: placement::Placement::new(1),
            workspaces: (0..size.workspaces).map(workspace).collect(),
            live: VecDeque::new(),
            prefilling: VecDeque::new(),
            prefills: (size.live / LIVE_PER_PREFILL).max(1) as usize,
            places: collections::Map::default(),
            effects: Vec::new(),
            chosen: Vec::new(),
            now: time::Duration::from_secs(1),
            steps: 0,
        };
        bench.schedule(scheduler::Event::Validity { valid: true });
        bench.schedule(scheduler::Event::Applied(snapshot.clone()));
        bench.schedule(scheduler::Event::Viewed(view()));
        bench.place(placement::Event::Applied(snapshot));
        for _ in 0..size.live {
            bench.start();
        }
        bench
    }

    /// Ends the oldest request and starts a new one.
    fn step(&mut self) {
        if let Some(request) = self.live.pop_front() {
            self.end(request, scheduler::Phase::Decode);
        }
        self.start();
    }

    fn start(&mut self) {
        self.steps += 1;
        self.now += STEP;
        if self.steps.is_multiple_of(STEPS_PER_TICK) {
            self.schedule(scheduler::Event::Tick);
        }
        let request = ids::request_id(INCARNATION, self.steps);
        self.live.push_back(request);
        self.begin(request, scheduler::Phase::Decode);
        self.begin(request, scheduler::Phase::Prefill);
        self.prefilling.push_back(request);
        if self.prefilling.len() > self.prefills
            && let Some(request) = self.prefilling.pop_front()
        {
            self.end(request, scheduler::Phase::Prefill);
        }
    }

    fn begin(&mut self, request: ids::RequestId, phase: scheduler::Phase) {
        let catalogue = self.steps % 977;
        self.place(placement::Event::Choose {
            request,
            phase,
            model: b"m".as_slice().into(),
            prefix: (0..PROMPT_BLOCKS).map(|block| catalogue << 32 | block).collect(),
            prompt_tokens: 4_200,
            excluded: Vec::new(),
        });
        let Some(placement::Effect::Chosen { candidates, .. }) = self.chosen.pop() else { return };
        let workspace = (self.steps % self.workspaces.len() as u64) as usize;
        let demand = scheduler::Demand {
            request,
            phase,
            workspace: self.workspaces[workspace].clone(),
            work_tokens: 100,
            memory_pieces: 1,
            age_ms: 0,
            slack_ms: 1_300,
            prefix: Vec::new(),
            cached_tokens: 0,
        };
        self.schedule(scheduler::Event::Place { demand, candidates });
    }

    fn end(&mut self, request: ids::RequestId, phase: scheduler::Phase) {
        let Some(server) = self.places.remove(&(request, phase)) else { return };
        let observation =
            scheduler::Observation { server, phase, tokens: 100, elapsed_ms: 2_500, failed: false };
        self.place(placement::Event::Observed(observation.clone()));
        self.schedule(scheduler::Event::Observed(observation));
        self.place(placement::Event::Released { request, phase });
        self.schedule(scheduler::Event::Release { request, phase });
    }

    fn place(&mut self, event: placement::Event) {
        self.placement.apply(event, self.now, &mut self.chosen);
    }

    fn schedule(&mut self, event: scheduler::Event) {
        self.scheduler.apply(event, self.now, &mut self.effects);
        for effect in self.effects.drain(..) {
            if let scheduler::Effect::Placed { request, phase, server, .. } = effect {
                self.places.insert((request, phase), server.clone());
                let placed = placement::Event::Placed { request, phase, server };
                self.placement.apply(placed, self.now, &mut self.chosen);
            }
        }
    }
}

fn workspace(number: u64) -> ids::WorkspaceId {
    format!("workspace-{number}").into()
}

fn document(size: &Size) -> document::Document {
    let servers = (0..size.servers).map(|number| document::Server {
        id: format!("server-{number}").into(),
        kind: document::Kind::Engine,
        role: if number % 3 == 0 { document::Role::Prefill } else { document::Role::Decode },
        failure_domain: "d".into(),
        models: vec!["m".into()],
        slots: 60,
        memory_pieces: 120,
        link_bytes_per_s: 1,
        checks_fencing: true,
        leaving: false,
        addresses: collections::Map::default(),
    });
    let servers: Vec<_> = servers.collect();
    let route = document::LanguageRoute {
        id: "r".into(),
        model: "m".into(),
        servers: servers.iter().map(|server| server.id.clone()).collect(),
        workspaces: Vec::new(),
    };
    let workspaces = (0..size.workspaces).map(|number| document::Workspace {
        id: workspace(number),
        rate_tokens_per_s: 1,
        burst_tokens: 1,
        weight: 1,
        keys: Vec::new(),
    });
    document::Document {
        workspaces: workspaces.collect(),
        servers,
        language_routes: vec![route],
        ..document::Document::default()
    }
}

fn view() -> membership::SharedView {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let member = membership::Member {
        id: OWN.into(),
        incarnation: INCARNATION,
        failure_domain: "d".into(),
        weight: 1,
        peer_address: address,
        caller_address: address,
        leaving: false,
        joined: 1,
    };
    sync::Arc::new(membership::View { version: 1, members: vec![member] })
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("scheduler_and_placement");
    group.throughput(Throughput::Elements(EVENTS_PER_REQUEST));
    for size in &SIZES {
        let mut bench = Bench::new(size);
        group.bench_function(size.name, |bencher| bencher.iter(|| bench.step()));
    }
    group.finish();
}

criterion_group!(benches, requests);
criterion_main!(benches);
