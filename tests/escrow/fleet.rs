//! Simulates a fleet of escrow reducers on a faulty network, and checks what they admit.

use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;
use std::time;

use bytes::Bytes;
use galenayard::core::escrow;
use galenayard::core::ids;
use galenayard::core::reducer::Reducer;
use rand_chacha::rand_core::{Rng, SeedableRng};

mod actions;
mod ledger;
mod members;
mod network;
mod queue;
mod trace;

pub use actions::{Action, Load, MessageFault, Options, Traffic};
pub use ledger::Ledger;
use queue::{Entry, Settlement, Step};
use trace::{describe, describe_effect, kind};

/// Percentage added to the lease time after which an evicted member leaves a view; the clock of an
/// instance may be faster than another one's by 2%.
const LEASE_MARGIN_PERCENT: u64 = 5;
/// The longest time that a running instance may take to admit or refuse a request.
const ANSWER_BOUND_MS: u64 = 900;

#[derive(Debug, Clone)]
enum Record {
    Join { node: usize, incarnation: ids::Incarnation },
    Leaving { node: usize },
    Removed { node: usize, joined: u64 },
}

struct Request {
    workspace: usize,
    tokens: u64,
    at_us: u64,
}

struct Node {
    id: Bytes,
    domain: Bytes,
    escrow: escrow::Escrow,
    incarnation: ids::Incarnation,
    generation: u64,
    skew_ppm: i64,
    running: bool,
    paused_until_us: u64,
    log_disconnected: bool,
    next_offset: usize,
    version: u64,
    members: BTreeMap<usize, MemberState>,
    until: ids::Timestamp,
    renewed_us: u64,
    read_us: u64,
    requests: BTreeMap<ids::RequestId, Request>,
    held: Vec<(usize, u8)>,
    refunded: Vec<u64>,
    has_left: bool,
}

/// The state of a member according to the log records that one instance has read.
#[derive(Debug, Clone)]
struct MemberState {
    incarnation: ids::Incarnation,
    joined: u64,
    leaving: bool,
    removed_at: Option<ids::Timestamp>,
}

pub struct Fleet {
    pub now_us: u64,
    pub ledgers: Vec<Ledger>,
    pub traffic: Vec<Traffic>,
    pub kinds: BTreeMap<String, Traffic>,
    pub trace: String,
    pub violations: Vec<String>,
    options: Options,
    rate: u64,
    burst: u64,
    /// The largest rate and burst that were ever in force. Admissions are checked against these,
    /// because instances apply a change at different times.
    max_limit: (u64, u64),
    limit_version: u64,
    nodes: Vec<Node>,
    log: Vec<Record>,
    queue: BinaryHeap<Entry>,
    sequence: u64,
    requests: u64,
    starts: u64,
    rng: rand_chacha::ChaCha8Rng,
    loss: u32,
    duplication: u32,
    delay_ms: u64,
    partition: u32,
    message_faults: Vec<(MessageFault, &'static str)>,
}

impl Fleet {
    pub fn new(options: Options) -> Self {
        let mut fleet = Self {
            now_us: 0,
            ledgers: vec![Ledger::default(); options.workspaces],
            traffic: vec![Traffic::default(); options.nodes],
            kinds: BTreeMap::new(),
            trace: String::new(),
            violations: Vec::new(),
            rate: options.rate,
            burst: options.burst,
            max_limit: (options.rate, options.burst),
            limit_version: 1,
            nodes: Vec::new(),
            log: Vec::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            requests: 0,
            starts: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(options.seed),
            loss: 0,
            duplication: 0,
            delay_ms: 0,
            partition: 0,
            message_faults: Vec::new(),
            options,
        };
        for index in 0..fleet.options.nodes {
            let node = fleet.node(index);
            fleet.nodes.push(node);
            fleet.start(index);
        }
        fleet
    }

    /// Schedules an action at a time in milliseconds.
    pub fn at(&mut self, at_ms: u64, action: Action) {
        self.schedule(at_ms * 1_000, Step::Act(action));
    }

    /// Runs until a time in milliseconds.
    pub fn run(&mut self, until_ms: u64) {
        while self.queue.peek().is_some_and(|entry| entry.at_us <= until_ms * 1_000) {
            let Some(entry) = self.queue.pop() else { return };
            self.now_us = self.now_us.max(entry.at_us);
            self.step(entry.step);
        }
        self.now_us = until_ms * 1_000;
    }

    /// Runs until a time in milliseconds and records the events and effects in `trace`.
    pub fn run_traced(&mut self, until_ms: u64) {
        self.options.trace = true;
        self.run(until_ms);
        self.options.trace = false;
    }

    /// Schedules the requests of a load.
    pub fn load(&mut self, load: Load, from_ms: u64, until_ms: u64) {
        for step in 0..(until_ms - from_ms) / load.every_ms {
            let (at, workspace, tokens) = (load.at, load.workspace, load.tokens);
            let action = Action::Reserve { at, workspace, tokens };
            self.at(from_ms + step * load.every_ms, action);
        }
    }

    /// Returns the number of shares of a workspace that instances with a valid lease hold.
    pub fn held_shares(&self, workspace: usize) -> usize {
        let valid = (0..self.nodes.len()).filter(|index| self.has_lease(*index));
        valid
            .map(|index| self.nodes[index].held.iter().filter(|one| one.0 == workspace).count())
            .sum()
    }

    /// Returns the status of an instance.
    pub fn status(&self, index: usize) -> Vec<escrow::status::Status> {
        self.nodes[index].escrow.status()
    }

    /// Returns the index of the instance that holds a share.
    pub fn holder(&self, workspace: usize, share: u8) -> Option<usize> {
        (0..self.nodes.len()).find(|index| {
            self.has_lease(*index) && self.nodes[*index].held.contains(&(workspace, share))
        })
    }

    /// Returns the number of requests without an answer at running instances.
    pub fn unanswered(&self) -> usize {
        self.nodes.iter().filter(|node| node.running).map(|node| node.requests.len()).sum()
    }

    fn node(&mut self, index: usize) -> Node {
        let incarnation = self.incarnation(index);
        let id = Bytes::from(format!("i{index}"));
        let settings = self.options.settings.clone();
        Node {
            escrow: escrow::Escrow::with_settings(id.clone(), incarnation, settings),
            domain: Bytes::from(format!("d{}", index % self.options.domains)),
            id,
            incarnation,
            generation: 0,
            skew_ppm: self.options.skews_ppm.get(index).copied().unwrap_or(0),
            running: false,
            paused_until_us: 0,
            log_disconnected: false,
            next_offset: 0,
            version: 0,
            members: BTreeMap::new(),
            until: time::Duration::ZERO,
            renewed_us: 0,
            read_us: 0,
            requests: BTreeMap::new(),
            held: Vec::new(),
            refunded: vec![0; self.options.workspaces],
            has_left: false,
        }
    }

    /// Draws an incarnation. The numbers derived from it are kept short to make traces readable,
    /// unless the size of messages is measured.
    fn incarnation(&mut self, index: usize) -> ids::Incarnation {
        self.starts += 1;
        if self.options.measure_bytes {
            return self.rng.next_u64();
        }
        2 * (1_000_000 * (index as u64 + 1) + 10_000 * self.starts)
    }

    fn start(&mut self, index: usize) {
        let mut fresh = self.node(index);
        let old = &self.nodes[index];
        fresh.generation = old.generation + 1;
        fresh.running = true;
        fresh.log_disconnected = old.log_disconnected;
        self.nodes[index] = fresh;
        self.join(index);
        let generation = self.nodes[index].generation;
        self.send_limits(index);
        self.schedule(self.now_us, Step::Tick(index, generation));
    }

    fn join(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.log.push(Record::Join { node: index, incarnation });
    }

    fn schedule(&mut self, at_us: u64, step: Step) {
        self.sequence += 1;
        self.queue.push(Entry { at_us, sequence: self.sequence, step });
    }

    fn local_time(&self, index: usize) -> ids::Timestamp {
        let skew = self.nodes[index].skew_ppm;
        let true_us = self.now_us as i64;
        time::Duration::from_micros((true_us + true_us * skew / 1_000_000 + 1_000_000) as u64)
    }

    fn has_lease(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.running && self.local_time(index) < node.until
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Act(action) => self.act(action),
            Step::Tick(index, generation) => self.tick(index, generation),
            Step::Deliver { to, from, incarnation, message } => {
                if !self.nodes[to].running {
                    return;
                }
                if self.is_paused(to) {
                    let at_us = self.nodes[to].paused_until_us;
                    self.schedule(at_us, Step::Deliver { to, from, incarnation, message });
                    return;
                }
                let from = self.nodes[from].id.clone();
                self.apply(to, escrow::Event::Received { from, incarnation, message });
            }
            Step::Settle(settlement) => self.settle(settlement),
            Step::Limit { at } => self.send_limits(at),
        }
    }

    fn settle(&mut self, settlement: Settlement) {
        let at = settlement.at;
        let node = &self.nodes[at];
        if !node.running || node.incarnation != settlement.incarnation {
            return;
        }
        if self.is_paused(at) {
            let at_us = self.nodes[at].paused_until_us;
            self.schedule(at_us, Step::Settle(settlement));
            return;
        }
        let (request, used_tokens) = (settlement.request, settlement.used);
        self.apply(at, escrow::Event::Settle { request, used_tokens });
    }

    fn is_paused(&self, index: usize) -> bool {
        self.now_us < self.nodes[index].paused_until_us
    }

    fn tick(&mut self, index: usize, generation: u64) {
        if !self.nodes[index].running || self.nodes[index].generation != generation {
            return;
        }
        if self.is_paused(index) {
            let at_us = self.nodes[index].paused_until_us;
            self.schedule(at_us, Step::Tick(index, generation));
            return;
        }
        if self.now_us >= self.nodes[index].read_us + self.options.lease_ms * 1_000 / 20 {
            self.read_log(index);
        }
        self.renew_lease(index);
        self.apply(index, escrow::Event::Tick);
        self.check_answers(index);
        let at_us = self.now_us + self.options.tick_ms * 1_000;
        self.schedule(at_us, Step::Tick(index, generation));
    }

    fn act(&mut self, action: Action) {
        if self.options.trace {
            let noise = matches!(action, Action::Reserve { .. });
            if !noise {
                let _ = writeln!(self.trace, "{:>9.3} -- {action:?}", self.now_us as f64 / 1e3);
            }
        }
        match action {
            Action::Crash(index) => {
                self.nodes[index].running = false;
                self.nodes[index].requests.clear();
                // The instance is evicted when its lease has expired.
                self.at(self.now_us / 1_000 + self.options.lease_ms, Action::Evict(index));
            }
            Action::Restart(index) => {
                if !self.nodes[index].running {
                    self.start(index);
                }
            }
            Action::Pause(index, ms) => {
                self.nodes[index].paused_until_us = self.now_us + ms * 1_000;
                if ms > self.options.lease_ms {
                    self.at(self.now_us / 1_000 + self.options.lease_ms, Action::Evict(index));
                }
            }
            Action::Evict(index) => self.evict(index),
            Action::DisconnectLog(index) => self.nodes[index].log_disconnected = true,
            Action::ReconnectLog(index) => self.nodes[index].log_disconnected = false,
            Action::Partition(groups) => self.partition = groups,
            Action::Noise { loss, duplication, delay_ms } => {
                self.loss = loss;
                self.duplication = duplication;
                self.delay_ms = delay_ms;
            }
            Action::NextMessage(fault, kind) => self.message_faults.push((fault, kind)),
            Action::Leave(index) => {
                if self.nodes[index].running && !self.is_paused(index) {
                    self.apply(index, escrow::Event::Leave);
                }
            }
            Action::Limit { rate, burst } => self.change_limit(rate, burst),
            Action::Reserve { at, workspace, tokens } => self.reserve(at, workspace, tokens),
            Action::Heal => self.heal(),
        }
    }

    fn change_limit(&mut self, rate: u64, burst: u64) {
        self.rate = rate;
        self.burst = burst;
        self.max_limit = (self.max_limit.0.max(rate), self.max_limit.1.max(burst));
        self.limit_version += 1;
        for index in 0..self.nodes.len() {
            let lag_us = self.rng.next_u64() % 1_000_000;
            self.schedule(self.now_us + lag_us, Step::Limit { at: index });
        }
    }

    fn send_limits(&mut self, index: usize) {
        if !self.nodes[index].running {
            return;
        }
        let limits = (0..self.options.workspaces).map(|workspace| escrow::Limit {
            workspace: name(workspace),
            rate_tokens_per_s: self.rate,
            burst_tokens: self.burst,
        });
        let event =
            escrow::Event::NewLimits { version: self.limit_version, limits: limits.collect() };
        self.apply(index, event);
    }

    fn reserve(&mut self, at: usize, workspace: usize, tokens: u64) {
        self.requests += 1;
        if !self.nodes[at].running || self.is_paused(at) || self.nodes[at].has_left {
            return;
        }
        let request = ids::request_id(self.nodes[at].incarnation, self.requests);
        let entry = Request { workspace, tokens, at_us: self.now_us };
        self.nodes[at].requests.insert(request, entry);
        let workspace = name(workspace);
        self.apply(at, escrow::Event::Reserve { request, workspace, tokens });
    }

    fn apply(&mut self, index: usize, event: escrow::Event) {
        let now = self.local_time(index);
        let quiet = matches!(event, escrow::Event::Tick | escrow::Event::Validity { .. });
        let steady = matches!(event, escrow::Event::Tick | escrow::Event::Reserve { .. });
        let text = if self.options.trace { describe(&event) } else { String::new() };
        let mut effects = Vec::new();
        self.nodes[index].escrow.apply(event, now, &mut effects);
        if self.options.trace && !(quiet && effects.is_empty()) {
            let _ = writeln!(self.trace, "{:>9.3} i{index} {text}", self.now_us as f64 / 1e3);
        }
        if self.options.check_holders && (!steady || !effects.is_empty()) {
            self.check_status(index);
        }
        for effect in effects {
            if self.options.trace {
                let _ = writeln!(self.trace, "             => {}", describe_effect(&effect));
            }
            self.perform(index, effect);
        }
    }

    fn perform(&mut self, index: usize, effect: escrow::Effect) {
        match effect {
            escrow::Effect::Send { to, message } => self.send(index, &to, message),
            escrow::Effect::Admitted { request } => self.admitted(index, request),
            escrow::Effect::Refused { request, reason, .. } => {
                let Some(entry) = self.nodes[index].requests.remove(&request) else { return };
                let ledger = &mut self.ledgers[entry.workspace];
                ledger.refused += 1;
                *ledger.refusals.entry(format!("{reason:?}")).or_default() += 1;
            }
            escrow::Effect::HandedOver => {
                self.log.push(Record::Leaving { node: index });
                if let Some(joined) = self.latest_join(index) {
                    self.log.push(Record::Removed { node: index, joined });
                }
                self.nodes[index].has_left = true;
            }
        }
    }

    fn admitted(&mut self, index: usize, request: ids::RequestId) {
        let Some(entry) = self.nodes[index].requests.remove(&request) else {
            self.violations.push(format!("request {request} admitted twice"));
            return;
        };
        let (rate, burst) = self.max_limit;
        let ledger = &mut self.ledgers[entry.workspace];
        ledger.admitted += 1;
        ledger.admitted_tokens += entry.tokens;
        ledger.spend(entry.tokens as f64, rate as f64, self.now_us);
        if ledger.level_tokens > burst as f64 + 0.01 {
            let text = format!(
                "{:.3} ms: {:.2} tokens over the burst",
                self.now_us as f64 / 1e3,
                ledger.level_tokens - burst as f64
            );
            self.violations.push(text);
        }
        let tokens = entry.tokens;
        let used = tokens * self.options.used_percent / 100;
        if used == tokens {
            return;
        }
        let at_us = self.now_us + 20_000 + self.rng.next_u64() % 500_000;
        let incarnation = self.nodes[index].incarnation;
        let settlement = Settlement { at: index, incarnation, request, used };
        self.schedule(at_us, Step::Settle(settlement));
    }

    fn check_status(&mut self, index: usize) {
        let mut held = Vec::new();
        for status in self.nodes[index].escrow.status() {
            let workspace = number(&status.workspace);
            let known = &mut self.nodes[index].refunded[workspace];
            let refunded = status.refunded_tokens.saturating_sub(*known);
            *known = status.refunded_tokens;
            if refunded > 0 {
                // Other requests may spend the tokens that a request did not use.
                let rate = self.max_limit.0 as f64;
                self.ledgers[workspace].spend(-(refunded as f64), rate, self.now_us);
            }
            held.extend(status.held_shares.iter().map(|share| (workspace, *share)));
        }
        if held == self.nodes[index].held {
            return;
        }
        self.nodes[index].held = held;
        if self.options.settings.policy == escrow::settings::Policy::EqualSplit {
            return;
        }
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            if !self.has_lease(other) || !self.has_lease(index) {
                continue;
            }
            let both =
                self.nodes[index].held.iter().find(|one| self.nodes[other].held.contains(one));
            if let Some((workspace, share)) = both {
                let text = format!(
                    "{:.3} ms: share {share} of w{workspace} held by i{index} and i{other}",
                    self.now_us as f64 / 1e3
                );
                self.violations.push(text);
            }
        }
    }

    fn check_answers(&mut self, index: usize) {
        let node = &self.nodes[index];
        let since_us = node.paused_until_us;
        for (request, entry) in &node.requests {
            let age_us = self.now_us - entry.at_us.max(since_us);
            if age_us > ANSWER_BOUND_MS * 1_000 {
                self.violations.push(format!("request {request} has waited {age_us} us"));
            }
        }
    }
}

/// Returns the name of a workspace.
pub fn name(workspace: usize) -> Bytes {
    Bytes::from(format!("w{workspace}"))
}

fn number(workspace: &Bytes) -> usize {
    std::str::from_utf8(&workspace[1..]).ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}
