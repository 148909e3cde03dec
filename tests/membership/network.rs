//! A simulated fleet of membership reducers, with virtual time, and a network and a log that fail
//! on demand.

use std::collections;
use std::sync;
use std::time;

use bytes::Bytes;
use galenayard::core::ids;
use galenayard::core::log;
use galenayard::core::membership;
use galenayard::core::membership::settings;
use galenayard::core::reducer::Reducer;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const POLL_TIMEOUT_MS: u64 = 400;
const APPEND_TIMEOUT_MS: u64 = 500;
const BATCH_RECORDS: usize = 4;
const MAX_LATE_MS: u64 = 3_000;
/// How much longer the log retains records than they make their instances members.
const RETENTION_MARGIN_MS: u64 = 5_000;
const EPOCH_MS: u64 = 1_700_000_000_000;

/// The faults of the network and the log; the rates are per mille.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    pub max_delay_ms: u64,
    pub lost: u64,
    pub duplicated: u64,
    pub append_lost: u64,
    pub answer_lost: u64,
    pub append_late: u64,
}

pub const NO_FAULTS: Conditions = Conditions {
    max_delay_ms: 1,
    lost: 0,
    duplicated: 0,
    append_lost: 0,
    answer_lost: 0,
    append_late: 0,
};

pub fn settings() -> settings::Settings {
    settings::Settings {
        lease: time::Duration::from_millis(1_000),
        heartbeat_interval: time::Duration::from_millis(300),
        clock_margin: time::Duration::from_millis(30),
        renew_interval: time::Duration::from_millis(2_500),
        record_expiry: time::Duration::from_secs(8),
        leave_timeout: time::Duration::from_secs(2),
        append_timeout: time::Duration::from_secs(1),
        ..settings::Settings::default()
    }
}

enum Input {
    Tick,
    Event(membership::Event),
    ToLog(Request),
}

enum Request {
    Read { from: ids::Offset, requested_at: ids::Timestamp },
    Append { token: ids::AppendToken, body: Bytes, answer_ms: Option<u64> },
}

/// One process, with the view and the validity that its effects have reported to other reducers.
pub struct Node {
    pub member: membership::Member,
    pub reducer: membership::Membership,
    pub view: membership::SharedView,
    pub is_running: bool,
    until: ids::Timestamp,
    rate: u64,
    started_ms: u64,
    polled_ms: u64,
    paused_until_ms: u64,
    log_cut_until_ms: u64,
    peers_cut_until_ms: u64,
    routine_effects: usize,
}

impl Node {
    fn clock(&self, now_ms: u64) -> ids::Timestamp {
        time::Duration::from_micros((now_ms - self.started_ms) * self.rate)
    }

    /// Returns whether the other reducers of this process would act on its rights.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.is_running && self.clock(now_ms) < self.until
    }
}

/// A simulated fleet with its network and its log.
pub struct Network {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub conditions: Conditions,
    pub settings: settings::Settings,
    pub tick_ms: u64,
    pub log_down_until_ms: u64,
    /// The bit set of the slots on one side of a partition, and when the partition ends.
    pub partition: (u64, u64),
    pub retention_ms: u64,
    pub trace: Vec<String>,
    records: Vec<log::Record>,
    first: usize,
    members_by_offset: collections::BTreeMap<ids::Offset, Vec<membership::Member>>,
    queue: collections::BTreeMap<(u64, u64), (usize, ids::Incarnation, Input)>,
    has_changed: bool,
    sequence: u64,
    incarnations: ids::Incarnation,
    random: ChaCha8Rng,
}

impl Network {
    pub fn new(seed: u64, settings: settings::Settings) -> Self {
        Self {
            now_ms: 0,
            nodes: Vec::new(),
            conditions: NO_FAULTS,
            tick_ms: 100,
            log_down_until_ms: 0,
            partition: (0, 0),
            retention_ms: settings.record_expiry.as_millis() as u64 + RETENTION_MARGIN_MS,
            trace: Vec::new(),
            records: Vec::new(),
            first: 0,
            members_by_offset: collections::BTreeMap::new(),
            queue: collections::BTreeMap::new(),
            has_changed: false,
            sequence: 0,
            incarnations: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            settings,
        }
    }

    /// Starts a process in a new slot; its clock runs at `rate` per mille of true time.
    pub fn start(&mut self, name: &str, failure_domain: usize, rate: u64) -> usize {
        let slot = self.nodes.len();
        self.incarnations += 1;
        let member = membership::Member {
            id: Bytes::copy_from_slice(name.as_bytes()),
            incarnation: self.incarnations,
            failure_domain: Bytes::from(format!("domain-{failure_domain}")),
            weight: 1,
            peer_address: ([127, 0, 0, 1], 7_000 + slot as u16).into(),
            caller_address: ([127, 0, 0, 1], 8_000 + slot as u16).into(),
            leaving: false,
            joined: 0,
        };
        self.nodes.push(Node {
            reducer: membership::Membership::new(member.clone(), self.settings.clone()),
            view: sync::Arc::default(),
            is_running: true,
            until: ids::Timestamp::ZERO,
            rate,
            started_ms: self.now_ms,
            polled_ms: 0,
            paused_until_ms: 0,
            log_cut_until_ms: 0,
            peers_cut_until_ms: 0,
            routine_effects: 0,
            member,
        });
        self.push(self.tick_ms, slot, Input::Tick);
        slot
    }

    pub fn crash(&mut self, slot: usize) {
        self.nodes[slot].is_running = false;
    }

    pub fn pause(&mut self, slot: usize, duration_ms: u64) {
        self.nodes[slot].paused_until_ms = self.now_ms + duration_ms;
    }

    pub fn cut_log(&mut self, slot: usize, duration_ms: u64) {
        self.nodes[slot].log_cut_until_ms = self.now_ms + duration_ms;
    }

    pub fn cut_peers(&mut self, slot: usize, duration_ms: u64) {
        self.nodes[slot].peers_cut_until_ms = self.now_ms + duration_ms;
    }

    /// Ends all faults of the network, the log and the processes; crashed processes stay down.
    pub fn end_faults(&mut self) {
        self.conditions = NO_FAULTS;
        self.log_down_until_ms = 0;
        self.partition = (0, 0);
        for node in &mut self.nodes {
            (node.paused_until_ms, node.log_cut_until_ms, node.peers_cut_until_ms) = (0, 0, 0);
        }
    }

    /// Returns whether all running processes are valid and the view of each holds exactly these.
    pub fn has_recovered(&self) -> bool {
        let running = || self.nodes.iter().filter(|node| node.is_running);
        let name = |member: &membership::Member| (member.id.clone(), member.incarnation);
        let mut members: Vec<_> = running().map(|node| name(&node.member)).collect();
        members.sort();
        running().all(|node| {
            let seen: Vec<_> = node.view.members.iter().map(name).collect();
            node.is_valid(self.now_ms) && seen == members
        })
    }

    /// Processes all inputs that are due until a time, and checks the invariants after each.
    pub fn run(&mut self, until_ms: u64) -> Result<(), String> {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((at_ms, sequence), (slot, incarnation, input)) = entry.remove_entry();
            self.now_ms = at_ms;
            let node = &self.nodes[slot];
            if let Input::ToLog(request) = input {
                self.handle_request(slot, incarnation, request);
            } else if node.paused_until_ms > at_ms {
                let key = (node.paused_until_ms, sequence);
                self.queue.insert(key, (slot, incarnation, input));
            } else if node.is_running && node.member.incarnation == incarnation {
                let next = self.nodes[slot].reducer.next_offset();
                self.deliver(slot, input);
                if self.nodes[slot].reducer.next_offset() != next {
                    self.check_members(slot)?;
                }
                if std::mem::take(&mut self.has_changed) {
                    self.check_views()?;
                }
            }
        }
        self.now_ms = until_ms;
        Ok(())
    }

    /// Applies an event to a process at the current time.
    pub fn apply(&mut self, slot: usize, event: membership::Event) {
        let mut effects = Vec::new();
        let now = self.nodes[slot].clock(self.now_ms);
        self.nodes[slot].reducer.apply(event, now, &mut effects);
        for effect in effects {
            self.trace_effect(slot, &effect);
            self.carry_out(slot, effect);
        }
    }

    fn deliver(&mut self, slot: usize, input: Input) {
        match input {
            Input::Tick => {
                self.push(self.tick_ms, slot, Input::Tick);
                self.apply(slot, membership::Event::Tick);
                self.poll(slot);
            }
            Input::Event(event) => {
                if let membership::Event::Read(_) = &event {
                    self.nodes[slot].polled_ms = 0;
                }
                self.apply(slot, event);
            }
            Input::ToLog(_) => {}
        }
    }

    fn poll(&mut self, slot: usize) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[slot];
        if node.polled_ms != 0 && now_ms < node.polled_ms + POLL_TIMEOUT_MS {
            return;
        }
        node.polled_ms = now_ms;
        let (from, requested_at) = (node.reducer.next_offset(), node.clock(now_ms));
        let delay_ms = self.delay_ms();
        self.push(delay_ms, slot, Input::ToLog(Request::Read { from, requested_at }));
    }

    fn carry_out(&mut self, slot: usize, effect: membership::Effect) {
        match effect {
            membership::Effect::Send { to, address, message } => {
                self.send(slot, &to, address, message);
            }
            membership::Effect::Append { token, body } => self.append(slot, token, body),
            membership::Effect::ViewChanged(view) => {
                self.nodes[slot].view = view;
                self.has_changed = true;
            }
            membership::Effect::Validity { valid, until } => {
                self.has_changed = true;
                self.nodes[slot].until = if valid { until } else { ids::Timestamp::ZERO };
            }
            membership::Effect::LeaveFinished => self.crash(slot),
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: &ids::InstanceId,
        address: std::net::SocketAddr,
        message: membership::Message,
    ) {
        let known = |node: &Node| node.member.peer_address == address && node.member.id == *to;
        let Some(slot) = self.nodes.iter().position(known) else { return };
        let is_cut = |node: &Node| node.peers_cut_until_ms > self.now_ms;
        let (partition, until_ms) = self.partition;
        let is_partitioned =
            until_ms > self.now_ms && (partition >> from ^ partition >> slot) & 1 == 1;
        if is_partitioned
            || is_cut(&self.nodes[from])
            || is_cut(&self.nodes[slot])
            || self.happens(self.conditions.lost)
        {
            return;
        }
        let copies = 1 + usize::from(self.happens(self.conditions.duplicated));
        let sender = self.nodes[from].member.clone();
        for _ in 0..copies {
            let (from, incarnation) = (sender.id.clone(), sender.incarnation);
            let message = message.clone();
            let event = membership::Event::Received { from, incarnation, message };
            let delay_ms = self.delay_ms();
            self.push(delay_ms, slot, Input::Event(event));
        }
    }

    fn append(&mut self, slot: usize, token: ids::AppendToken, body: Bytes) {
        let is_late = self.happens(self.conditions.append_late);
        let is_unanswered = is_late || self.happens(self.conditions.answer_lost);
        let is_cut = self.nodes[slot].log_cut_until_ms > self.now_ms;
        let is_lost = is_cut || self.happens(self.conditions.append_lost);
        if is_unanswered || is_lost {
            let outcome = log::AppendOutcome::Unknown;
            let event = membership::Event::Appended { token, outcome };
            self.push(APPEND_TIMEOUT_MS, slot, Input::Event(event));
        }
        if !is_lost {
            let answer_ms = (!is_unanswered).then(|| self.delay_ms());
            let late_ms = if is_late { self.random.next_u64() % MAX_LATE_MS } else { 0 };
            let delay_ms = self.delay_ms() + late_ms;
            let request = Request::Append { token, body, answer_ms };
            self.push(delay_ms, slot, Input::ToLog(request));
        }
    }

    fn handle_request(&mut self, slot: usize, incarnation: ids::Incarnation, request: Request) {
        let is_up = self.log_down_until_ms <= self.now_ms;
        match request {
            Request::Read { from, requested_at } => {
                if is_up && self.nodes[slot].log_cut_until_ms <= self.now_ms {
                    let batch = self.batch(from, requested_at);
                    let delay_ms = self.delay_ms();
                    let event = membership::Event::Read(batch);
                    self.push_to(delay_ms, slot, incarnation, Input::Event(event));
                }
            }
            Request::Append { token, body, answer_ms } => {
                let offset = self.records.len() as u64 + 1;
                let outcome = if is_up {
                    let time_ms = EPOCH_MS + self.now_ms;
                    self.records.push(log::Record { offset, time_ms, body });
                    log::AppendOutcome::At(offset)
                } else {
                    log::AppendOutcome::Refused
                };
                let event = membership::Event::Appended { token, outcome };
                if let Some(answer_ms) = answer_ms {
                    self.push_to(answer_ms, slot, incarnation, Input::Event(event));
                }
            }
        }
    }

    fn batch(&mut self, from: ids::Offset, requested_at: ids::Timestamp) -> log::Batch {
        let oldest_ms = (EPOCH_MS + self.now_ms).saturating_sub(self.retention_ms);
        let kept = &self.records[self.first..];
        self.first += kept.iter().take_while(|record| record.time_ms < oldest_ms).count();
        let start = self.first.max(from.saturating_sub(1) as usize);
        let records = self.records[start..].iter().take(BATCH_RECORDS).cloned().collect();
        let (first, next) = (self.first as u64 + 1, self.records.len() as u64 + 1);
        log::Batch { requested_at, first, next, records }
    }

    fn happens(&mut self, per_mille: u64) -> bool {
        per_mille > 0 && self.random.next_u64() % 1_000 < per_mille
    }

    fn delay_ms(&mut self) -> u64 {
        1 + self.random.next_u64() % self.conditions.max_delay_ms
    }

    fn push(&mut self, delay_ms: u64, slot: usize, input: Input) {
        self.push_to(delay_ms, slot, self.nodes[slot].member.incarnation, input);
    }

    fn push_to(&mut self, delay_ms: u64, slot: usize, incarnation: ids::Incarnation, input: Input) {
        self.sequence += 1;
        self.queue.insert((self.now_ms + delay_ms, self.sequence), (slot, incarnation, input));
    }

    /// Checks that all readers derive the same members at the same offset.
    fn check_members(&mut self, slot: usize) -> Result<(), String> {
        let recorded = self.nodes[slot].reducer.recorded_view();
        if !self.nodes[slot].reducer.knows_members() {
            return Ok(());
        }
        let known =
            self.members_by_offset.entry(recorded.version).or_insert(recorded.members.clone());
        if *known != recorded.members {
            return Err(format!(
                "{} ms: two readers hold different members at {}",
                self.now_ms, recorded.version
            ));
        }
        Ok(())
    }

    /// Checks that any two valid processes are in each other's view and have different names.
    ///
    /// Then no two of them hold the same right, whatever rule assigns rights to names in a view.
    fn check_views(&self) -> Result<(), String> {
        let valid: Vec<_> = self.nodes.iter().filter(|node| node.is_valid(self.now_ms)).collect();
        for one in &valid {
            for other in &valid {
                let (own, peer) = (&one.member, &other.member);
                let has_same_name = own.id == peer.id && own.incarnation != peer.incarnation;
                if has_same_name || !one.view.members.iter().any(|member| member.id == peer.id) {
                    let now_ms = self.now_ms;
                    return Err(format!(
                        "{now_ms} ms: the view of valid {:?} lacks valid {:?}",
                        own.id, peer.id
                    ));
                }
            }
        }
        Ok(())
    }

    /// Adds an effect to the trace; routine effects are only counted.
    fn trace_effect(&mut self, slot: usize, effect: &membership::Effect) {
        let node = &mut self.nodes[slot];
        let name = String::from_utf8_lossy(&node.member.id).into_owned();
        let text = match effect {
            membership::Effect::Validity { valid: true, until } if node.until.is_zero() => {
                format!("valid until {} ms of its clock", until.as_millis())
            }
            membership::Effect::Validity { valid: false, .. } => "not valid".to_owned(),
            membership::Effect::ViewChanged(view) => {
                let text = |id: &Bytes| String::from_utf8_lossy(id).into_owned();
                let members = view.members.iter().map(|member| {
                    let mark = if member.leaving { "(leaving)" } else { "" };
                    format!("{}{mark}", text(&member.id))
                });
                format!("view {}: {}", view.version, members.collect::<Vec<_>>().join(" "))
            }
            membership::Effect::Append { token, body } => {
                format!("append {token}: {}", record_text(body))
            }
            membership::Effect::Send {
                to, message: membership::Message::Welcome { .. }, ..
            } => {
                format!("welcome to {}", String::from_utf8_lossy(to))
            }
            membership::Effect::LeaveFinished => "left".to_owned(),
            _ => {
                node.routine_effects += 1;
                return;
            }
        };
        let routine = std::mem::take(&mut node.routine_effects);
        let routine =
            if routine > 0 { format!(" (after {routine} routine effects)") } else { String::new() };
        self.trace.push(format!("{:>7} {name}: {text}{routine}", self.now_ms));
    }
}

fn record_text(body: &Bytes) -> String {
    use galenayard::core::membership::record;
    let names = |ids: &[Bytes]| {
        let names: Vec<_> = ids.iter().map(|id| String::from_utf8_lossy(id)).collect();
        names.join(" ")
    };
    match record::decode(body) {
        Some(record::Record::Join(content)) => {
            format!("join {} naming [{}]", content.sequence, names(&content.witnesses))
        }
        Some(record::Record::Renew(content)) => {
            let leaving = if content.member.leaving { " leaving" } else { "" };
            format!("renew {}{leaving} naming [{}]", content.sequence, names(&content.witnesses))
        }
        Some(record::Record::Snapshot(snapshot)) => {
            format!("snapshot {} of {} members", snapshot.version, snapshot.entries.len())
        }
        Some(record::Record::Leave { sequence, .. }) => format!("leave {sequence}"),
        Some(record::Record::Accuse { accusations, .. }) => {
            let text = |accusation: &record::Accusation| {
                let member = names(std::slice::from_ref(&accusation.member));
                format!("{member}@{} absent [{}]", accusation.record, names(&accusation.absent))
            };
            format!("accuse {}", accusations.iter().map(text).collect::<Vec<_>>().join(", "))
        }
        None => "not a record".to_owned(),
    }
}
