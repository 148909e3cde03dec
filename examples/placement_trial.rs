//! Compares placement policies in a discrete-event model of two sites with a virtual clock.
//!
//! `cargo run --release --example placement_trial` prints one line for each site, load and policy.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Write;
use std::time::Duration;

use galenayard::core::collections::Map;
use galenayard::core::ids;
use galenayard::core::placement;
use galenayard::core::reducer::Reducer;
use galenayard::core::scheduler;

#[path = "placement_trial/engines.rs"]
mod engines;
#[path = "placement_trial/site.rs"]
mod site;

const RUN_MS: f64 = 90_000.0;
const WARM_UP_MS: f64 = 20_000.0;
const HOP_MS: f64 = 1.5;
const TICK_MS: f64 = 25.0;
const KV_LIFE_MS: f64 = 800.0;
const LINK_TOKENS_PER_MS: f64 = 100.0;
const FIRST_TOKEN_MS: f64 = 1_300.0;
const INTER_TOKEN_MS: f64 = 42.0;
const PROGRESS_TOKENS: u32 = 32;
const ATTEMPTS: u32 = 3;
const SEEDS: u64 = 10;

/// What happens at a point of virtual time.
enum Happening {
    Arrive,
    Tick(usize),
    Message { to: usize, from: usize, message: scheduler::Message },
    PrefillArrives(u64, usize),
    PrefillEnds(usize),
    KvArrives(u64),
    KvExpires(u64, u32),
    Step(usize),
}

struct Node {
    scheduler: scheduler::Scheduler,
    placement: placement::Placement,
}

/// A request on its way.
struct Live {
    call: site::Call,
    node: usize,
    arrived_ms: f64,
    decode: Option<usize>,
    prefill: Option<usize>,
    started: bool,
    first_ms: f64,
    done_tokens: u32,
    mark_ms: f64,
    attempts: u32,
    computed_tokens: u32,
}

/// Sums of one run, for each workspace.
#[derive(Default, Clone)]
struct Sums {
    offered: u64,
    good: u64,
}

struct Trial {
    site: site::Site,
    now_ms: f64,
    order: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: Map<u64, Happening>,
    nodes: Vec<Node>,
    prefills: Vec<engines::Prefill>,
    decodes: Vec<engines::Decode>,
    live: Map<u64, Live>,
    sums: Vec<Sums>,
    prefilled_tokens: u64,
    wasted_tokens: u64,
    first_misses: u64,
    pace_misses: u64,
    unplaced: u64,
    messages: u64,
    bytes: u64,
}

impl Trial {
    fn new(site: site::Site, policy: placement::Policy, discipline: scheduler::Discipline) -> Self {
        let nodes = (0..site.instances).map(|index| {
            let mut scheduler = scheduler::Scheduler::with_discipline(
                site::instance(index),
                site::incarnation(index),
                discipline,
            );
            let mut placement = placement::Placement::with_policy(index as u64, policy);
            let (snapshot, view) = (site.snapshot(), site.view());
            let mut effects = Vec::new();
            let start = Duration::ZERO;
            scheduler.apply(scheduler::Event::Validity { valid: true }, start, &mut effects);
            scheduler.apply(scheduler::Event::Applied(snapshot.clone()), start, &mut effects);
            scheduler.apply(scheduler::Event::Viewed(view), start, &mut effects);
            placement.apply(placement::Event::Applied(snapshot), start, &mut Vec::new());
            Node { scheduler, placement }
        });
        Self {
            nodes: nodes.collect(),
            prefills: site.prefill_speeds.iter().map(|s| engines::Prefill::new(*s)).collect(),
            decodes: site.decode_speeds.iter().map(|s| engines::Decode::new(*s)).collect(),
            sums: vec![Sums::default(); site::WORKSPACES],
            site,
            now_ms: 0.0,
            order: 0,
            heap: BinaryHeap::new(),
            happenings: Map::default(),
            live: Map::default(),
            prefilled_tokens: 0,
            wasted_tokens: 0,
            first_misses: 0,
            pace_misses: 0,
            unplaced: 0,
            messages: 0,
            bytes: 0,
        }
    }

    fn run(&mut self) {
        self.after(1_000.0, Happening::Arrive);
        (0..self.nodes.len()).for_each(|node| self.after(node as f64, Happening::Tick(node)));
        while let Some(Reverse((at_us, order))) = self.heap.pop() {
            self.now_ms = at_us as f64 / 1_000.0;
            if self.now_ms > RUN_MS {
                return;
            }
            if let Some(happening) = self.happenings.remove(&order) {
                self.happen(happening);
            }
        }
    }

    fn after(&mut self, delay_ms: f64, happening: Happening) {
        self.order += 1;
        let at_us = ((self.now_ms + delay_ms) * 1_000.0) as u64;
        self.heap.push(Reverse((at_us, self.order)));
        self.happenings.insert(self.order, happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive => self.arrive(),
            Happening::Tick(node) => {
                self.schedule(node, scheduler::Event::Tick);
                self.after(TICK_MS, Happening::Tick(node));
            }
            Happening::Message { to, from, message } => {
                let (from, incarnation) = (site::instance(from), site::incarnation(from));
                self.schedule(to, scheduler::Event::Received { from, incarnation, message });
            }
            Happening::PrefillArrives(number, server) => {
                self.prefills[server].queue.push_back(number);
                self.start_prefill(server);
            }
            Happening::PrefillEnds(server) => self.end_prefill(server),
            Happening::KvArrives(number) => self.start_decode(number),
            Happening::KvExpires(number, attempt) => self.expire(number, attempt),
            Happening::Step(server) => self.step(server),
        }
    }

    fn arrive(&mut self) {
        let gap_ms = self.site.next_gap_ms();
        self.after(gap_ms, Happening::Arrive);
        let call = self.site.next_call();
        let (number, node) = (call.number, call.number as usize % self.nodes.len());
        if self.counted(self.now_ms) {
            self.sums[call.workspace].offered += 1;
        }
        let live = Live {
            call,
            node,
            arrived_ms: self.now_ms,
            decode: None,
            prefill: None,
            started: false,
            first_ms: 0.0,
            done_tokens: 0,
            mark_ms: 0.0,
            attempts: 0,
            computed_tokens: 0,
        };
        self.live.insert(number, live);
        self.choose(number, scheduler::Phase::Decode);
    }

    fn counted(&self, arrived_ms: f64) -> bool {
        (WARM_UP_MS..RUN_MS - WARM_UP_MS).contains(&arrived_ms)
    }

    fn now(&self) -> ids::Timestamp {
        Duration::from_secs_f64(self.now_ms / 1_000.0)
    }

    fn choose(&mut self, number: u64, phase: scheduler::Phase) {
        let now = self.now();
        let live = &self.live[&number];
        let (node, request) = (live.node, site::request(live.node, number));
        let (model, prefix) = (site::MODEL.into(), live.call.prefix.clone());
        let prompt_tokens = live.call.prompt_tokens;
        let choose = placement::Event::Choose {
            request,
            phase,
            model,
            prefix,
            prompt_tokens,
            excluded: Vec::new(),
        };
        let mut effects = Vec::new();
        self.nodes[node].placement.apply(choose, now, &mut effects);
        for effect in effects {
            let placement::Effect::Chosen { candidates, cached_tokens, .. } = effect else {
                continue;
            };
            let demand = self.demand(number, phase, cached_tokens);
            self.schedule(node, scheduler::Event::Place { demand, candidates });
        }
    }

    fn demand(&self, number: u64, phase: scheduler::Phase, cached: u32) -> scheduler::Demand {
        let live = &self.live[&number];
        let decode = phase == scheduler::Phase::Decode;
        let age_ms = (self.now_ms - live.arrived_ms) as u32;
        let prompt_tokens = live.call.prompt_tokens;
        scheduler::Demand {
            request: site::request(live.node, number),
            phase,
            workspace: site::workspace(live.call.workspace),
            work_tokens: if decode { live.call.output_tokens } else { prompt_tokens },
            memory_pieces: (prompt_tokens + live.call.output_tokens).div_ceil(2_000),
            age_ms,
            slack_ms: FIRST_TOKEN_MS as i32 - age_ms as i32,
            prefix: Vec::new(),
            cached_tokens: if decode { 0 } else { cached },
        }
    }

    fn schedule(&mut self, node: usize, event: scheduler::Event) {
        let now = self.now();
        let mut effects = Vec::new();
        self.nodes[node].scheduler.apply(event, now, &mut effects);
        for effect in effects {
            match effect {
                scheduler::Effect::Send { to, message } => self.send(node, &to, message),
                scheduler::Effect::Placed { request, phase, server, .. } => {
                    self.placed(request as u64, phase, server);
                }
                scheduler::Effect::Unplaced { request, .. } => {
                    self.unplaced += 1;
                    self.abandon(request as u64);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &ids::InstanceId, message: scheduler::Message) {
        self.messages += 1;
        self.bytes += rmp_serde::to_vec(&message).map_or(0, |bytes| bytes.len() as u64);
        let to = site::instance_index(to);
        self.after(HOP_MS, Happening::Message { to, from, message });
    }

    fn placed(&mut self, number: u64, phase: scheduler::Phase, id: ids::ServerId) {
        let server = site::server_index(&id);
        let Some(live) = self.live.get_mut(&number) else { return };
        let (node, request) = (live.node, site::request(live.node, number));
        match phase {
            scheduler::Phase::Decode => live.decode = Some(server),
            scheduler::Phase::Prefill => live.prefill = Some(server),
        }
        let placed = placement::Event::Placed { request, phase, server: id };
        let now = self.now();
        self.nodes[node].placement.apply(placed, now, &mut Vec::new());
        match phase {
            scheduler::Phase::Decode => self.choose(number, scheduler::Phase::Prefill),
            scheduler::Phase::Prefill => {
                self.after(HOP_MS, Happening::PrefillArrives(number, server));
            }
        }
    }

    fn start_prefill(&mut self, server: usize) {
        let live = &self.live;
        let started = self.prefills[server].start(self.now_ms, |number| {
            live.get(&number).map(|live| (live.call.prefix.clone(), live.call.prompt_tokens))
        });
        if let Some((tokens, time_ms)) = started {
            self.prefilled_tokens += u64::from(tokens);
            self.after(time_ms, Happening::PrefillEnds(server));
        }
    }

    fn end_prefill(&mut self, server: usize) {
        if let Some((number, tokens, elapsed_ms)) = self.prefills[server].end(self.now_ms) {
            let id = site::prefill_server(server);
            self.observe(number, scheduler::Phase::Prefill, id, tokens, elapsed_ms);
            self.release(number, scheduler::Phase::Prefill);
            if let Some(live) = self.live.get_mut(&number) {
                live.attempts += 1;
                live.computed_tokens = tokens;
                let attempt = live.attempts;
                let transfer_ms = f64::from(live.call.prompt_tokens) / LINK_TOKENS_PER_MS;
                self.after(HOP_MS + transfer_ms, Happening::KvArrives(number));
                self.after(
                    HOP_MS + transfer_ms + KV_LIFE_MS,
                    Happening::KvExpires(number, attempt),
                );
            }
        }
        self.start_prefill(server);
    }

    fn start_decode(&mut self, number: u64) {
        let Some(server) = self.live.get(&number).and_then(|live| live.decode) else { return };
        self.decodes[server].queue.push_back(number);
        self.admit(server);
    }

    fn admit(&mut self, server: usize) {
        while let Some(number) = self.decodes[server].admit() {
            if let Some(live) = self.live.get_mut(&number) {
                live.started = true;
                live.mark_ms = self.now_ms;
                self.decodes[server].running.push(number);
            }
        }
        if let Some(step_ms) = self.decodes[server].next_step_ms() {
            self.after(step_ms, Happening::Step(server));
        }
    }

    /// The KV cache is gone unless decode has begun: its prefill was in vain.
    fn expire(&mut self, number: u64, attempt: u32) {
        let Some(live) = self.live.get(&number) else { return };
        if live.started || live.attempts != attempt {
            return;
        }
        self.wasted_tokens += u64::from(live.computed_tokens);
        self.decodes.iter_mut().for_each(|decode| decode.queue.retain(|queued| *queued != number));
        if attempt >= ATTEMPTS {
            self.abandon(number);
            return;
        }
        self.choose(number, scheduler::Phase::Prefill);
    }

    fn step(&mut self, server: usize) {
        self.decodes[server].stepping = false;
        for number in self.decodes[server].running.clone() {
            let Some(live) = self.live.get_mut(&number) else { continue };
            live.done_tokens += 1;
            if live.done_tokens == 1 {
                live.first_ms = self.now_ms;
            }
            let done = live.done_tokens >= live.call.output_tokens;
            if done || live.done_tokens.is_multiple_of(PROGRESS_TOKENS) {
                let elapsed_ms = self.now_ms - std::mem::replace(&mut live.mark_ms, self.now_ms);
                let whole = live.done_tokens.is_multiple_of(PROGRESS_TOKENS);
                let tokens =
                    if whole { PROGRESS_TOKENS } else { live.done_tokens % PROGRESS_TOKENS };
                let id = site::decode_server(server);
                self.observe(number, scheduler::Phase::Decode, id, tokens, elapsed_ms);
            }
            if done {
                self.decodes[server].running.retain(|running| *running != number);
                self.finish(number);
            }
        }
        self.admit(server);
    }

    fn observe(
        &mut self,
        number: u64,
        phase: scheduler::Phase,
        server: ids::ServerId,
        tokens: u32,
        elapsed_ms: f64,
    ) {
        let Some(node) = self.live.get(&number).map(|live| live.node) else { return };
        let elapsed_ms = elapsed_ms as u32;
        let observation =
            scheduler::Observation { server, phase, tokens, elapsed_ms, failed: false };
        let now = self.now();
        let observed = placement::Event::Observed(observation.clone());
        self.nodes[node].placement.apply(observed, now, &mut Vec::new());
        self.schedule(node, scheduler::Event::Observed(observation));
    }

    fn release(&mut self, number: u64, phase: scheduler::Phase) {
        let Some(node) = self.live.get(&number).map(|live| live.node) else { return };
        let request = site::request(node, number);
        let now = self.now();
        let released = placement::Event::Released { request, phase };
        self.nodes[node].placement.apply(released, now, &mut Vec::new());
        self.schedule(node, scheduler::Event::Release { request, phase });
    }

    fn abandon(&mut self, number: u64) {
        self.release(number, scheduler::Phase::Prefill);
        self.release(number, scheduler::Phase::Decode);
        self.live.remove(&number);
    }

    fn finish(&mut self, number: u64) {
        let live = &self.live[&number];
        let first_ms = live.first_ms - live.arrived_ms;
        let pace_ms = (self.now_ms - live.first_ms) / f64::from(live.done_tokens.max(2) - 1);
        let (late, slow) = (first_ms > FIRST_TOKEN_MS, pace_ms > INTER_TOKEN_MS);
        let (workspace, counted) = (live.call.workspace, self.counted(live.arrived_ms));
        if counted {
            self.sums[workspace].good += u64::from(!late && !slow);
            self.first_misses += u64::from(late);
            self.pace_misses += u64::from(slow);
        }
        self.abandon(number);
    }
}

/// Prints the means of several runs.
fn report(name: &str, load: f64, runs: &[Trial]) -> std::io::Result<()> {
    let mean =
        |value: &dyn Fn(&Trial) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    let share = |sums: &[Sums]| {
        let good: u64 = sums.iter().map(|sums| sums.good).sum();
        100.0 * good as f64 / sums.iter().map(|sums| sums.offered).sum::<u64>().max(1) as f64
    };
    let percent = |count: u64, trial: &Trial| {
        100.0 * count as f64 / trial.sums.iter().map(|sums| sums.offered).sum::<u64>() as f64
    };
    let calls = |trial: &Trial| trial.site.calls() as f64;
    let worst = |trial: &Trial| trial.sums[1..].chunks(1).map(&share).fold(100.0, f64::min);
    let wasted = |trial: &Trial| trial.wasted_tokens as f64 / trial.prefilled_tokens as f64;
    writeln!(
        std::io::stdout(),
        "{:<11} {load:.1} {name:<24} good {:5.1}%  late {:4.1}%  slow {:4.1}%  unplaced {:4.1}%  \
         worst {:5.1}%  hog {:5.1}%  prefilled {:4.0}  wasted {:4.1}%  {:4.1} messages {:3.0} bytes",
        runs[0].site.name,
        mean(&|trial| share(&trial.sums)),
        mean(&|trial| percent(trial.first_misses, trial)),
        mean(&|trial| percent(trial.pace_misses, trial)),
        mean(&|trial| percent(trial.unplaced, trial)),
        mean(&|trial| worst(trial)),
        mean(&|trial| share(&trial.sums[..1])),
        mean(&|trial| trial.prefilled_tokens as f64 / calls(trial)),
        mean(&|trial| 100.0 * wasted(trial)),
        mean(&|trial| trial.messages as f64 / calls(trial)),
        mean(&|trial| trial.bytes as f64 / calls(trial)),
    )
}

fn main() -> std::io::Result<()> {
    use placement::Policy::{Affinity, LeastOutstanding, RoundRobin};
    use scheduler::Discipline::{Delayed, Direct, Fair};
    let policies = [
        ("affinity", Affinity, Fair),
        ("affinity, delay 0.5", Affinity, Delayed { share: 0.5 }),
        ("affinity, delay 1.0", Affinity, Delayed { share: 1.0 }),
        ("least outstanding", LeastOutstanding, Fair),
        ("round robin", RoundRobin, Fair),
        ("least outstanding direct", LeastOutstanding, Direct),
        ("round robin direct", RoundRobin, Direct),
    ];
    for load in [0.7, 0.9, 1.1] {
        for make in [site::consortium, site::cooperative] {
            for (name, policy, discipline) in policies {
                let runs = (1..=SEEDS).map(|seed| {
                    let mut trial = Trial::new(make(load, seed), policy, discipline);
                    trial.run();
                    trial
                });
                report(name, load, &runs.collect::<Vec<_>>())?;
            }
        }
    }
    Ok(())
}
