//! Joins escrow reducers by a queue with faults, and checks what they admit.

use std::cmp;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use galenayard::core::escrow;
use galenayard::core::ids;
use galenayard::core::membership;
use galenayard::core::message::Message as Envelope;
use galenayard::core::reducer::Reducer;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// The instance's clock may be faster than another one's by 2%.
const LEASE_MARGIN_PERCENT: u64 = 5;
/// The longest time that a request may go without an answer at a running instance.
const ANSWER_BOUND_MS: u64 = 900;

/// What happens to a fleet.
#[derive(Debug, Clone)]
pub enum Action {
    Crash(usize),
    Restart(usize),
    /// The process stands still, for a time in milliseconds.
    Pause(usize, u64),
    /// The log records an eviction of a process that still runs.
    Evict(usize),
    /// The instance stops reading the log.
    CutLog(usize),
    HealLog(usize),
    /// Messages between two groups are lost; bit i stands for instance i.
    Partition(u32),
    /// Loss and duplication per thousand messages, and the longest delay.
    Noise {
        loss: u32,
        duplication: u32,
        delay_ms: u64,
    },
    /// The next messages of a kind are lost, twice delivered or late.
    Next(Mishap, &'static str),
    Leave(usize),
    Limit {
        rate: u64,
        burst: u64,
    },
    Reserve {
        at: usize,
        workspace: usize,
        tokens: u64,
    },
    /// Every instance runs and is connected from now on.
    Heal,
}

/// Requests of one size at equal distances.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub at: usize,
    pub workspace: usize,
    pub tokens: u64,
    pub every_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mishap {
    Lost,
    Twice,
    Late(u64),
}

#[derive(Debug)]
enum Step {
    Act(Action),
    Wake(usize, u64),
    Deliver { to: usize, from: usize, incarnation: ids::Incarnation, message: escrow::Message },
    Settle(Settlement),
    Limit { at: usize },
}

#[derive(Debug)]
struct Settlement {
    at: usize,
    incarnation: ids::Incarnation,
    request: ids::RequestId,
    used: u64,
}

struct Entry {
    at_us: u64,
    sequence: u64,
    step: Step,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}

#[derive(Debug, Clone)]
enum Record {
    Join { node: usize, incarnation: ids::Incarnation },
    Leaving { node: usize },
    Gone { node: usize, joined: u64 },
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
    log_cut: bool,
    cursor: usize,
    version: u64,
    members: BTreeMap<usize, Seen>,
    until: ids::Timestamp,
    renewed_us: u64,
    read_us: u64,
    requests: BTreeMap<ids::RequestId, Request>,
    held: Vec<(usize, u8)>,
    refunded: Vec<u64>,
    left: bool,
}

/// A member as one instance sees it.
#[derive(Debug, Clone)]
struct Seen {
    incarnation: ids::Incarnation,
    joined: u64,
    leaving: bool,
    gone_at: Option<ids::Timestamp>,
}

/// What one workspace has been granted, as a leaky bucket that must not exceed the burst.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    pub admitted_tokens: u64,
    pub admitted: u64,
    pub refused: u64,
    pub refusals: BTreeMap<String, u64>,
    pub peak_tokens: f64,
    level_tokens: f64,
    at_us: u64,
}

/// The traffic of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Options {
    pub nodes: usize,
    pub domains: usize,
    pub workspaces: usize,
    pub rate: u64,
    pub burst: u64,
    pub seed: u64,
    pub skews_ppm: Vec<i64>,
    pub latency_us: u64,
    pub tick_ms: u64,
    pub lease_ms: u64,
    pub settings: escrow::settings::Settings,
    /// Percentage of reserved tokens that a request uses.
    pub used_percent: u64,
    pub measure_bytes: bool,
    /// Whether every share is checked to have one holder after each event.
    pub check_holders: bool,
    pub trace: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nodes: 3,
            domains: 3,
            workspaces: 1,
            rate: 8_000,
            burst: 16_000,
            seed: 1,
            skews_ppm: Vec::new(),
            latency_us: 1_500,
            tick_ms: 20,
            lease_ms: 2_000,
            settings: escrow::settings::Settings::default(),
            used_percent: 100,
            measure_bytes: false,
            check_holders: true,
            trace: false,
        }
    }
}

pub struct Fleet {
    pub now_us: u64,
    pub ledgers: Vec<Ledger>,
    pub traffic: Vec<Traffic>,
    pub kinds: BTreeMap<String, Traffic>,
    pub trace: String,
    pub faults: Vec<String>,
    options: Options,
    rate: u64,
    burst: u64,
    /// The largest rate and burst that were ever in force; instances learn of a change at
    /// different times.
    bound: (u64, u64),
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
    mishaps: Vec<(Mishap, &'static str)>,
}

impl Fleet {
    pub fn new(options: Options) -> Self {
        let mut fleet = Self {
            now_us: 0,
            ledgers: vec![Ledger::default(); options.workspaces],
            traffic: vec![Traffic::default(); options.nodes],
            kinds: BTreeMap::new(),
            trace: String::new(),
            faults: Vec::new(),
            rate: options.rate,
            burst: options.burst,
            bound: (options.rate, options.burst),
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
            mishaps: Vec::new(),
            options,
        };
        for index in 0..fleet.options.nodes {
            let node = fleet.node(index);
            fleet.nodes.push(node);
            fleet.start(index);
        }
        fleet
    }

    /// Schedules an action.
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

    /// Runs until a time in milliseconds and records what happens.
    pub fn run_traced(&mut self, until_ms: u64) {
        self.options.trace = true;
        self.run(until_ms);
        self.options.trace = false;
    }

    /// Schedules requests at equal distances.
    pub fn load(&mut self, load: Load, from_ms: u64, until_ms: u64) {
        for step in 0..(until_ms - from_ms) / load.every_ms {
            let (at, workspace, tokens) = (load.at, load.workspace, load.tokens);
            let action = Action::Reserve { at, workspace, tokens };
            self.at(from_ms + step * load.every_ms, action);
        }
    }

    /// Returns the number of shares of a workspace that valid running instances hold.
    pub fn held_shares(&self, workspace: usize) -> usize {
        let acting = (0..self.nodes.len()).filter(|index| self.acts(*index));
        acting
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
            self.acts(*index) && self.nodes[*index].held.contains(&(workspace, share))
        })
    }

    /// Returns all requests that have no answer.
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
            log_cut: false,
            cursor: 0,
            version: 0,
            members: BTreeMap::new(),
            until: time::Duration::ZERO,
            renewed_us: 0,
            read_us: 0,
            requests: BTreeMap::new(),
            held: Vec::new(),
            refunded: vec![0; self.options.workspaces],
            left: false,
        }
    }

    /// Draws an incarnation; numbers derived from it are short unless their size is measured.
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
        fresh.log_cut = old.log_cut;
        self.nodes[index] = fresh;
        self.join(index);
        let generation = self.nodes[index].generation;
        self.limit_at(index);
        self.schedule(self.now_us, Step::Wake(index, generation));
    }

    fn join(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation;
        self.log.push(Record::Join { node: index, incarnation });
    }

    fn schedule(&mut self, at_us: u64, step: Step) {
        self.sequence += 1;
        self.queue.push(Entry { at_us, sequence: self.sequence, step });
    }

    fn local(&self, index: usize) -> ids::Timestamp {
        let skew = self.nodes[index].skew_ppm;
        let true_us = self.now_us as i64;
        time::Duration::from_micros((true_us + true_us * skew / 1_000_000 + 1_000_000) as u64)
    }

    fn acts(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.running && self.local(index) < node.until
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Act(action) => self.act(action),
            Step::Wake(index, generation) => self.wake(index, generation),
            Step::Deliver { to, from, incarnation, message } => {
                if !self.nodes[to].running {
                    return;
                }
                if self.postpone(to) {
                    let at_us = self.nodes[to].paused_until_us;
                    self.schedule(at_us, Step::Deliver { to, from, incarnation, message });
                    return;
                }
                let from = self.nodes[from].id.clone();
                self.apply(to, escrow::Event::Received { from, incarnation, message });
            }
            Step::Settle(settlement) => self.settle(settlement),
            Step::Limit { at } => self.limit_at(at),
        }
    }

    fn settle(&mut self, settlement: Settlement) {
        let at = settlement.at;
        let node = &self.nodes[at];
        if !node.running || node.incarnation != settlement.incarnation {
            return;
        }
        if self.postpone(at) {
            let at_us = self.nodes[at].paused_until_us;
            self.schedule(at_us, Step::Settle(settlement));
            return;
        }
        let (request, used_tokens) = (settlement.request, settlement.used);
        self.apply(at, escrow::Event::Settle { request, used_tokens });
    }

    fn postpone(&self, index: usize) -> bool {
        self.now_us < self.nodes[index].paused_until_us
    }

    fn wake(&mut self, index: usize, generation: u64) {
        if !self.nodes[index].running || self.nodes[index].generation != generation {
            return;
        }
        if self.postpone(index) {
            let at_us = self.nodes[index].paused_until_us;
            self.schedule(at_us, Step::Wake(index, generation));
            return;
        }
        if self.now_us >= self.nodes[index].read_us + self.options.lease_ms * 1_000 / 20 {
            self.read(index);
        }
        self.renew(index);
        self.apply(index, escrow::Event::Tick);
        self.check_answers(index);
        let at_us = self.now_us + self.options.tick_ms * 1_000;
        self.schedule(at_us, Step::Wake(index, generation));
    }

    /// Folds the log's records into the view of one instance.
    fn read(&mut self, index: usize) {
        let now = self.local(index);
        let margin =
            time::Duration::from_millis(self.options.lease_ms * (100 + LEASE_MARGIN_PERCENT) / 100);
        let end = if self.nodes[index].log_cut { self.nodes[index].cursor } else { self.log.len() };
        let node = &mut self.nodes[index];
        node.read_us = self.now_us;
        let mut changed = false;
        for offset in node.cursor..end {
            changed = true;
            match self.log[offset].clone() {
                Record::Join { node: joiner, incarnation } => {
                    let joined = offset as u64 + 1;
                    let seen = Seen { incarnation, joined, leaving: false, gone_at: None };
                    node.members.insert(joiner, seen);
                }
                Record::Leaving { node: leaver } => {
                    if let Some(seen) = node.members.get_mut(&leaver) {
                        seen.leaving = true;
                    }
                }
                Record::Gone { node: gone, joined } => {
                    let seen = node.members.get_mut(&gone).filter(|one| one.joined == joined);
                    let Some(seen) = seen else { continue };
                    seen.gone_at.get_or_insert(now + margin);
                    if gone == index {
                        node.members.remove(&gone);
                    }
                }
            }
        }
        node.cursor = end;
        node.version = end as u64;
        let before = node.members.len();
        node.members.retain(|_, seen| seen.gone_at.is_none_or(|at| at > now));
        changed |= node.members.len() != before;
        let gone = !node.members.contains_key(&index) && !node.left;
        let rejoin = gone && self.latest_join(index).is_some_and(|joined| joined <= end as u64);
        if changed {
            self.show_view(index);
        }
        if rejoin {
            self.join(index);
        }
    }

    fn show_view(&mut self, index: usize) {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
        let node = &self.nodes[index];
        let members = node.members.iter().map(|(number, seen)| membership::Member {
            id: self.nodes[*number].id.clone(),
            incarnation: seen.incarnation,
            failure_domain: self.nodes[*number].domain.clone(),
            weight: 1,
            peer_address: address,
            caller_address: address,
            leaving: seen.leaving,
            joined: seen.joined,
        });
        let view = membership::View { version: node.version, members: members.collect() };
        self.apply(index, escrow::Event::Viewed(sync::Arc::new(view)));
    }

    /// Renews the lease, unless the log has a record of the eviction.
    fn renew(&mut self, index: usize) {
        let due = self.now_us >= self.nodes[index].renewed_us + self.options.lease_ms * 1_000 / 4;
        if !due || !self.is_member(index) {
            return;
        }
        let until = self.local(index) + time::Duration::from_millis(self.options.lease_ms);
        self.nodes[index].renewed_us = self.now_us;
        self.nodes[index].until = until;
        self.apply(index, escrow::Event::Validity { valid: true, until });
    }

    /// Tells whether an instance has read its join and the log has no later eviction.
    pub fn is_member(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let Some(seen) = node.members.get(&index) else { return false };
        let evicted = self.log.iter().any(|record| {
            matches!(record, Record::Gone { node, joined } if *node == index && *joined == seen.joined)
        });
        seen.incarnation == node.incarnation && !evicted
    }

    fn latest_join(&self, index: usize) -> Option<u64> {
        let is_join =
            |record: &Record| matches!(record, Record::Join { node, .. } if *node == index);
        self.log.iter().rposition(is_join).map(|offset| offset as u64 + 1)
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
                // The witnesses accuse it when its lease has run out.
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
            Action::CutLog(index) => self.nodes[index].log_cut = true,
            Action::HealLog(index) => self.nodes[index].log_cut = false,
            Action::Partition(groups) => self.partition = groups,
            Action::Noise { loss, duplication, delay_ms } => {
                self.loss = loss;
                self.duplication = duplication;
                self.delay_ms = delay_ms;
            }
            Action::Next(mishap, kind) => self.mishaps.push((mishap, kind)),
            Action::Leave(index) => {
                if self.nodes[index].running && !self.postpone(index) {
                    self.apply(index, escrow::Event::Leave);
                }
            }
            Action::Limit { rate, burst } => self.change_limit(rate, burst),
            Action::Reserve { at, workspace, tokens } => self.reserve(at, workspace, tokens),
            Action::Heal => self.heal(),
        }
    }

    fn evict(&mut self, index: usize) {
        let Some(joined) = self.latest_join(index) else { return };
        let node = &self.nodes[index];
        let since_us = self.now_us.saturating_sub(node.renewed_us);
        let restarted =
            node.running && !self.postpone(index) && since_us < self.options.lease_ms * 1_000 / 8;
        let own = node.members.get(&index).is_some_and(|seen| seen.joined == joined);
        if restarted && !own {
            return;
        }
        self.log.push(Record::Gone { node: index, joined });
    }

    fn heal(&mut self) {
        self.loss = 0;
        self.duplication = 0;
        self.delay_ms = 0;
        self.partition = 0;
        self.mishaps.clear();
        for index in 0..self.nodes.len() {
            self.nodes[index].log_cut = false;
            if self.postpone(index) {
                self.nodes[index].paused_until_us = self.now_us;
                self.nodes[index].generation += 1;
                let generation = self.nodes[index].generation;
                self.schedule(self.now_us, Step::Wake(index, generation));
            }
            if !self.nodes[index].running && !self.nodes[index].left {
                self.start(index);
            }
        }
    }

    fn change_limit(&mut self, rate: u64, burst: u64) {
        self.rate = rate;
        self.burst = burst;
        self.bound = (self.bound.0.max(rate), self.bound.1.max(burst));
        self.limit_version += 1;
        for index in 0..self.nodes.len() {
            let lag_us = self.rng.next_u64() % 1_000_000;
            self.schedule(self.now_us + lag_us, Step::Limit { at: index });
        }
    }

    fn limit_at(&mut self, index: usize) {
        if !self.nodes[index].running {
            return;
        }
        let limits = (0..self.options.workspaces).map(|workspace| escrow::Limit {
            workspace: name(workspace),
            rate_tokens_per_s: self.rate,
            burst_tokens: self.burst,
        });
        let event =
            escrow::Event::Limited { version: self.limit_version, limits: limits.collect() };
        self.apply(index, event);
    }

    fn reserve(&mut self, at: usize, workspace: usize, tokens: u64) {
        self.requests += 1;
        if !self.nodes[at].running || self.postpone(at) || self.nodes[at].left {
            return;
        }
        let request = ids::request_id(self.nodes[at].incarnation, self.requests);
        let entry = Request { workspace, tokens, at_us: self.now_us };
        self.nodes[at].requests.insert(request, entry);
        let workspace = name(workspace);
        self.apply(at, escrow::Event::Reserve { request, workspace, tokens });
    }

    fn apply(&mut self, index: usize, event: escrow::Event) {
        let now = self.local(index);
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
            self.carry_out(index, effect);
        }
    }

    fn carry_out(&mut self, index: usize, effect: escrow::Effect) {
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
                    self.log.push(Record::Gone { node: index, joined });
                }
                self.nodes[index].left = true;
            }
        }
    }

    fn admitted(&mut self, index: usize, request: ids::RequestId) {
        let Some(entry) = self.nodes[index].requests.remove(&request) else {
            self.faults.push(format!("request {request} admitted twice"));
            return;
        };
        let (rate, burst) = self.bound;
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
            self.faults.push(text);
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

    fn send(&mut self, from: usize, to: &Bytes, message: escrow::Message) {
        let needs_kind = self.options.measure_bytes || !self.mishaps.is_empty();
        let kind = if needs_kind { kind(&message) } else { String::new() };
        if self.options.measure_bytes {
            let envelope = Envelope::Escrow(message.clone());
            let bytes = rmp_serde::to_vec(&envelope).map_or(0, |bytes| bytes.len()) as u64;
            for traffic in [&mut self.traffic[from], self.kinds.entry(kind.clone()).or_default()] {
                traffic.messages += 1;
                traffic.bytes += bytes;
            }
        }
        let Some(to) = self.nodes.iter().position(|node| node.id == *to) else { return };
        let partition = self.partition;
        let side = |index: usize| partition & (1 << index.min(31)) != 0;
        let mishap = self.mishaps.iter().position(|(_, name)| *name == kind);
        let mishap = mishap.map(|index| self.mishaps.remove(index).0);
        let lost = self.chance(self.loss) || mishap == Some(Mishap::Lost);
        if side(from) != side(to) || lost {
            return;
        }
        let twice = self.chance(self.duplication) || mishap == Some(Mishap::Twice);
        let late_ms = if let Some(Mishap::Late(ms)) = mishap { ms } else { 0 };
        for _ in 0..1 + usize::from(twice) {
            let jitter_us =
                if self.delay_ms == 0 { 0 } else { self.rng.next_u64() % (self.delay_ms * 1_000) };
            let at_us = self.now_us + self.options.latency_us + jitter_us + late_ms * 1_000;
            let incarnation = self.nodes[from].incarnation;
            let message = message.clone();
            self.schedule(at_us, Step::Deliver { to, from, incarnation, message });
        }
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.next_u32() % 1_000 < per_mille
    }

    fn check_status(&mut self, index: usize) {
        let mut held = Vec::new();
        for status in self.nodes[index].escrow.status() {
            let workspace = number(&status.workspace);
            let known = &mut self.nodes[index].refunded[workspace];
            let refunded = status.refunded_tokens.saturating_sub(*known);
            *known = status.refunded_tokens;
            if refunded > 0 {
                // What a request did not use may be spent by another one from now on.
                let rate = self.bound.0 as f64;
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
            if !self.acts(other) || !self.acts(index) {
                continue;
            }
            let both =
                self.nodes[index].held.iter().find(|one| self.nodes[other].held.contains(one));
            if let Some((workspace, share)) = both {
                let text = format!(
                    "{:.3} ms: share {share} of w{workspace} held by i{index} and i{other}",
                    self.now_us as f64 / 1e3
                );
                self.faults.push(text);
            }
        }
    }

    fn check_answers(&mut self, index: usize) {
        let node = &self.nodes[index];
        let since_us = node.paused_until_us;
        for (request, entry) in &node.requests {
            let age_us = self.now_us - entry.at_us.max(since_us);
            if age_us > ANSWER_BOUND_MS * 1_000 {
                self.faults.push(format!("request {request} has waited {age_us} us"));
            }
        }
    }
}

impl Ledger {
    fn spend(&mut self, tokens: f64, rate: f64, now_us: u64) {
        let elapsed_s = (now_us - self.at_us) as f64 / 1e6;
        self.level_tokens = (self.level_tokens - elapsed_s * rate).max(0.0) + tokens;
        self.peak_tokens = self.peak_tokens.max(self.level_tokens);
        self.at_us = now_us;
    }
}

/// Returns the name of a workspace.
pub fn name(workspace: usize) -> Bytes {
    Bytes::from(format!("w{workspace}"))
}

fn number(workspace: &Bytes) -> usize {
    std::str::from_utf8(&workspace[1..]).ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn kind(message: &escrow::Message) -> String {
    let text = format!("{message:?}");
    text.split([' ', '{', '(']).next().unwrap_or_default().to_owned()
}

fn describe(event: &escrow::Event) -> String {
    match event {
        escrow::Event::Received { from, message, .. } => {
            format!("<- {} {message:?}", String::from_utf8_lossy(from))
        }
        escrow::Event::Viewed(view) => {
            let members = view.members.iter().map(|one| {
                let leaving = if one.leaving { "(leaving)" } else { "" };
                format!("{}@{}{leaving}", String::from_utf8_lossy(&one.id), one.joined)
            });
            format!("Viewed {} {}", view.version, members.collect::<Vec<_>>().join(" "))
        }
        escrow::Event::Reserve { request, tokens, .. } => {
            format!("Reserve r{} {tokens}", *request as u64)
        }
        other => format!("{other:?}"),
    }
}

fn describe_effect(effect: &escrow::Effect) -> String {
    match effect {
        escrow::Effect::Send { to, message } => {
            format!("{} {message:?}", String::from_utf8_lossy(to))
        }
        escrow::Effect::Admitted { request } => format!("Admitted r{}", *request as u64),
        escrow::Effect::Refused { request, retry_after_ms, reason } => {
            format!("Refused r{} {reason:?} retry after {retry_after_ms} ms", *request as u64)
        }
        escrow::Effect::HandedOver => "HandedOver".to_owned(),
    }
}
