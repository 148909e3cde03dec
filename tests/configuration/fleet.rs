//! A simulated fleet of configuration reducers with an in-memory log and a message queue.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use galenayard::core::configuration::{self, Effect, Event, Message, record};
use galenayard::core::reducer::Reducer;
use galenayard::core::{log, membership};
use galenayard::document;

/// The duration of one step.
pub const STEP: Duration = Duration::from_millis(100);

/// The time of record 0, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// The fault that an append meets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The record is appended and the answer arrives.
    None,
    /// The record is appended and the answer is lost.
    AnswerLost,
    /// Neither the record nor an answer arrives.
    Lost,
    /// The log refuses the record.
    Refused,
}

pub struct Node {
    pub reducer: configuration::Configuration,
    pub next_read: u64,
    pub reads_log: bool,
    pub reaches_peers: bool,
    pub versions: Vec<u64>,
    pub fresh: bool,
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: BTreeMap<String, Node>,
    pub records: Vec<log::Record>,
    all_records: Vec<log::Record>,
    pub first: u64,
    pub log_is_up: bool,
    pub fault: Fault,
    pub outcomes: Vec<(String, u128, configuration::ProposalOutcome)>,
    log_retention: Duration,
    messages: VecDeque<(String, String, Message)>,
    pub trace: String,
}

impl Fleet {
    pub fn new(names: &[&str]) -> Self {
        Self::with_retention(names, Duration::from_secs(80))
    }

    /// Creates a fleet whose instances are configured with this retention of the log.
    pub fn with_retention(names: &[&str], log_retention: Duration) -> Self {
        let mut fleet = Self {
            log_retention,
            now: Duration::from_secs(1),
            nodes: BTreeMap::new(),
            records: Vec::new(),
            all_records: Vec::new(),
            first: 1,
            log_is_up: true,
            fault: Fault::None,
            outcomes: Vec::new(),
            messages: VecDeque::new(),
            trace: String::new(),
        };
        for name in names {
            fleet.start(name);
        }
        fleet
    }

    /// Starts an instance and passes the new view to all instances.
    pub fn start(&mut self, name: &str) {
        self.add(name);
        self.send_view();
    }

    /// Starts an instance without a view.
    pub fn add(&mut self, name: &str) {
        self.note(&format!("start {name}"));
        let seed = name.bytes().map(u64::from).sum();
        let options = configuration::Options {
            log_retention: self.log_retention,
            ..configuration::Options::default()
        };
        let reducer = configuration::Configuration::new(Bytes::from(name.to_string()), seed)
            .with_options(options);
        let node = Node {
            reducer,
            next_read: 1,
            reads_log: true,
            reaches_peers: true,
            versions: Vec::new(),
            fresh: false,
        };
        self.nodes.insert(name.to_string(), node);
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).expect("a running instance")
    }

    fn send_view(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        let members = names.iter().map(|name| member(name)).collect();
        let view = Arc::new(membership::View { version: 1, members });
        for name in names {
            self.event(&name, Event::ViewChanged(Arc::clone(&view)));
        }
    }

    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.trace, "# {text}");
    }

    /// Advances time by one step: reads of the log, ticks, and messages until none remains.
    pub fn step(&mut self) {
        self.step_without_delivery();
        self.deliver();
    }

    /// Advances time by one step without delivering messages.
    pub fn step_without_delivery(&mut self) {
        self.now += STEP;
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            self.read(name);
            self.event(name, Event::Tick);
        }
    }

    pub fn steps(&mut self, count: usize) {
        (0..count).for_each(|_| self.step());
    }

    /// Reads the log at one instance.
    pub fn read(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if !self.log_is_up || !node.reads_log {
            return;
        }
        let next = self.records.len() as u64 + 1;
        let from = node.next_read.max(self.first);
        let records: Vec<log::Record> =
            self.records.iter().filter(|record| record.offset >= from).cloned().collect();
        node.next_read = next;
        let batch = log::Batch { requested_at: self.now, first: self.first, next, records };
        self.event(name, Event::Read(batch));
    }

    pub fn deliver(&mut self) {
        while !self.messages.is_empty() {
            self.deliver_some(1);
        }
    }

    /// Delivers the oldest messages.
    pub fn deliver_some(&mut self, count: usize) {
        for _ in 0..count {
            let Some((from, to, message)) = self.messages.pop_front() else { return };
            let reaches = |name: &str| self.nodes.get(name).is_some_and(|node| node.reaches_peers);
            if reaches(&from) && reaches(&to) {
                let from = Bytes::from(from);
                self.event(&to, Event::Received { from, message });
            }
        }
    }

    /// Drops the next messages.
    pub fn drop_messages(&mut self, count: usize) {
        let count = count.min(self.messages.len());
        self.messages.drain(..count);
    }

    /// Queues the oldest message once more, at the end.
    pub fn duplicate(&mut self) {
        let oldest = self.messages.front().cloned();
        self.messages.extend(oldest);
    }

    /// Moves the oldest message to the end of the queue.
    pub fn reorder(&mut self) {
        let count = 1.min(self.messages.len());
        self.messages.rotate_left(count);
    }

    /// Returns the offset from which a new reader needs the log.
    pub fn retained_from(&self) -> u64 {
        let snapshots = self.records.iter().rev().filter(|record| record.offset >= self.first);
        let mut snapshots = snapshots.filter_map(decode_snapshot);
        snapshots.next().map_or(self.first, |snapshot| snapshot.next)
    }

    /// Returns the versions and proposals that take effect for a reader of the complete log.
    pub fn effective(&self) -> Vec<(u64, u128)> {
        let mut effective: Vec<(u64, u128)> = Vec::new();
        for record in &self.all_records {
            let Ok(record::Record::Change(change)) = record::Record::decode(&record.body) else {
                continue;
            };
            let current = effective.last().map_or(0, |(version, _)| *version);
            let repeated = effective.iter().any(|(_, proposal)| *proposal == change.proposal);
            if change.base == current && !repeated {
                effective.push((record.offset, change.proposal));
            }
        }
        effective
    }

    pub fn propose(&mut self, name: &str, id: u128, base: u64, author: &str, body: &str) {
        self.note(&format!("{author} proposes {id} on {base} at {name}"));
        let proposal = configuration::Proposal {
            id,
            base,
            author: Bytes::from(author.to_string()),
            body: Bytes::from(body.to_string()),
        };
        self.event(name, Event::Proposed(proposal));
    }

    /// Appends bytes to the log.
    pub fn put(&mut self, body: Bytes) -> u64 {
        let offset = self.records.len() as u64 + 1;
        let record = log::Record { offset, time_ms: EPOCH_MS + offset, body };
        self.all_records.push(record.clone());
        self.records.push(record);
        offset
    }

    pub fn event(&mut self, name: &str, event: Event) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        let mut effects = Vec::new();
        node.reducer.apply(event, self.now, &mut effects);
        for effect in effects {
            self.carry_out(name, effect);
        }
    }

    fn carry_out(&mut self, name: &str, effect: Effect) {
        let line = describe(&effect);
        let seconds = self.now.as_secs_f64();
        let _ = writeln!(self.trace, "{seconds:>6.1} {name}: {line}");
        match effect {
            Effect::Send { to, message } => {
                let to = String::from_utf8(to.to_vec()).expect("names are text");
                self.messages.push_back((name.to_string(), to, message));
            }
            Effect::Append { token, body } => self.append(name, token, body),
            Effect::Applied(snapshot) => {
                self.nodes
                    .get_mut(name)
                    .expect("a running instance")
                    .versions
                    .push(snapshot.version);
            }
            Effect::KeysFresh(fresh) => {
                self.nodes.get_mut(name).expect("a running instance").fresh = fresh
            }
            Effect::ProposalDecided { proposal, outcome } => {
                self.outcomes.push((name.to_string(), proposal, outcome));
            }
            Effect::RecordIgnored { .. } => {}
        }
    }

    fn append(&mut self, name: &str, token: u64, body: Bytes) {
        let reaches = self.log_is_up && self.nodes[name].reads_log;
        let outcome = match self.fault {
            _ if !reaches => log::AppendOutcome::Unknown,
            Fault::None => log::AppendOutcome::At(self.put(body)),
            Fault::AnswerLost => {
                self.put(body);
                log::AppendOutcome::Unknown
            }
            Fault::Lost => log::AppendOutcome::Unknown,
            Fault::Refused => log::AppendOutcome::Refused,
        };
        self.event(name, Event::Appended { token, outcome });
    }

    /// Drops the records before an offset from the log.
    pub fn expire(&mut self, first: u64) {
        self.note(&format!("records before {first} expire"));
        self.first = first;
        self.records.iter_mut().filter(|record| record.offset < first).for_each(|record| {
            record.body = Bytes::new();
        });
    }

    pub fn summary(&self) -> String {
        let mut summary = String::new();
        for (name, node) in &self.nodes {
            let status = node.reducer.status(self.now);
            let _ = writeln!(summary, "{name}: version {} fresh {}", status.version, status.fresh);
        }
        summary
    }

    /// Returns the lines of the trace that contain a word.
    pub fn lines(&self, word: &str) -> String {
        let lines: Vec<&str> = self.trace.lines().filter(|line| line.contains(word)).collect();
        lines.join("\n")
    }

    /// Returns the trace and the state of all instances.
    pub fn report(&self) -> String {
        format!("{}\n{}", self.trace, self.summary())
    }
}

fn decode_snapshot(record: &log::Record) -> Option<record::Checkpoint> {
    match record::Record::decode(&record.body) {
        Ok(record::Record::Snapshot(snapshot)) => Some(snapshot),
        _ => None,
    }
}

pub fn member(name: &str) -> membership::Member {
    membership::Member {
        id: Bytes::from(name.to_string()),
        incarnation: 1,
        failure_domain: Bytes::from_static(b"a"),
        weight: 1,
        peer_address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        caller_address: net::SocketAddr::from(([127, 0, 0, 1], 2)),
        leaving: false,
        joined: 1,
    }
}

fn describe(effect: &Effect) -> String {
    match effect {
        Effect::Send { to, message } => format!("send {to:?} {}", describe_message(message)),
        Effect::Append { token, body } => {
            let record = match record::Record::decode(body) {
                Ok(record::Record::Change(change)) => format!("change on {}", change.base),
                Ok(record::Record::Snapshot(snapshot)) => {
                    format!("snapshot of {} at {}", snapshot.version, snapshot.next)
                }
                Err(malformed) => malformed.to_string(),
            };
            format!("append {token}: {record}, {} bytes", body.len())
        }
        Effect::Applied(snapshot) => {
            let keys = snapshot.document.workspaces.iter().map(|workspace| workspace.keys.len());
            format!("applied {} with {} keys", snapshot.version, keys.sum::<usize>())
        }
        effect => format!("{effect:?}"),
    }
}

fn describe_message(message: &Message) -> String {
    match message {
        Message::Answer { sequence, state } => {
            let document = match &state.document {
                Some(document) if document.edit_of > 0 => {
                    format!("an edit of {}", document.edit_of)
                }
                Some(_) => "the document".to_string(),
                None => "no document".to_string(),
            };
            let (version, next) = (state.version, state.next);
            format!("Answer {sequence}: version {version} at {next}, {document}")
        }
        message => format!("{message:?}"),
    }
}

/// Returns a valid document of one workspace, with a key for each of the given bytes.
pub fn document(rate: u64, keys: &[u8]) -> String {
    let mut text = format!(
        "[[workspaces]]\nid = \"north\"\nrate_tokens_per_s = {rate}\nburst_tokens = 1000\n"
    );
    for key in keys {
        let digest = document::hex::format(&[*key; 32]);
        let _ = write!(text, "\n[[workspaces.keys]]\nid = \"key-{key}\"\nsha256 = \"{digest}\"\n");
    }
    text
}
