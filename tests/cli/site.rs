//! An environment of one instance: a configuration reducer and a log in memory, served to
//! operators on a loopback address.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use galenayard::borders::operators::{CurrentDocument, Operations, Server, Timeouts};
use galenayard::cli;
use galenayard::core::configuration::{
    self, Configuration, Effect, Entry, Event, Proposal, ProposalOutcome,
};
use galenayard::core::reducer::Reducer;
use galenayard::core::{ids, log};
use galenayard::document::Environment;
use galenayard::settings::LogLevel;
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::sync::Notify;

pub const KEY: &str = "sample-operator-key";
pub const REQUEST: &str = "000000000000000a000000000000000b";

/// How the next proposal ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// It takes effect and its outcome is not known.
    Unknown,
    /// The log is down.
    Unavailable,
}

struct Inner {
    reducer: Configuration,
    records: Vec<log::Record>,
    now: Duration,
    fault: Fault,
    proposals: Vec<u128>,
    level: Option<LogLevel>,
}

struct Instance {
    inner: Mutex<Inner>,
}

impl Instance {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no test panics while it holds the lock")
    }
}

impl Inner {
    /// Applies an event, carries out appends, and returns the outcomes.
    fn apply(&mut self, event: Event) -> Vec<(u128, ProposalOutcome)> {
        let mut effects = Vec::new();
        self.now += Duration::from_millis(1);
        self.reducer.apply(event, self.now, &mut effects);
        let mut outcomes = Vec::new();
        for effect in effects {
            match effect {
                Effect::Append { token, body } => {
                    let offset = self.records.len() as u64 + 1;
                    self.records.push(log::Record { offset, time_ms: 1_764_000_000_000, body });
                    let outcome = log::AppendOutcome::At(offset);
                    outcomes.extend(self.apply(Event::Appended { token, outcome }));
                    outcomes.extend(self.read());
                }
                Effect::ProposalDecided { proposal, outcome } => outcomes.push((proposal, outcome)),
                _ => {}
            }
        }
        outcomes
    }

    fn read(&mut self) -> Vec<(u128, ProposalOutcome)> {
        let next = self.records.len() as u64 + 1;
        let records = self.records.clone();
        self.apply(Event::Read(log::Batch { requested_at: self.now, first: 1, next, records }))
    }

    fn propose(&mut self, proposal: Proposal) -> ProposalOutcome {
        let id = proposal.id;
        self.proposals.push(id);
        let fault = std::mem::replace(&mut self.fault, Fault::None);
        if fault == Fault::Unavailable {
            return ProposalOutcome::Unavailable;
        }
        let outcomes = self.apply(Event::Proposed(proposal));
        if fault == Fault::Unknown {
            return ProposalOutcome::Unknown;
        }
        let outcome = outcomes.into_iter().find(|(proposal, _)| *proposal == id);
        outcome.map_or(ProposalOutcome::Unknown, |(_, outcome)| outcome)
    }
}

impl Operations for Instance {
    fn propose(&self, proposal: Proposal) -> BoxFuture<'_, ProposalOutcome> {
        async move { self.lock().propose(proposal) }.boxed()
    }

    fn current(&self) -> BoxFuture<'_, Option<CurrentDocument>> {
        let inner = self.lock();
        let current = inner.reducer.current_body();
        let current = current
            .map(|(entry, body)| CurrentDocument { entry: entry.clone(), body: body.clone() });
        async move { current }.boxed()
    }

    fn history(&self) -> BoxFuture<'_, Vec<Entry>> {
        let history = self.lock().reducer.history().cloned().collect();
        async move { history }.boxed()
    }

    fn status(&self) -> BoxFuture<'_, Value> {
        let inner = self.lock();
        let version = inner.reducer.status(inner.now).version;
        async move { json!({ "version": version }) }.boxed()
    }

    fn explain(&self, request: ids::RequestId) -> BoxFuture<'_, Option<Value>> {
        let known = ids::request_text(request) == REQUEST;
        async move { known.then(|| json!([{ "at_ms": 1, "step": "arrived" }])) }.boxed()
    }

    fn instances(&self) -> BoxFuture<'_, Value> {
        async move { json!({ "instances": [{ "id": "entry-1" }] }) }.boxed()
    }

    fn metrics(&self) -> String {
        "galenayard_requests 1\n".to_string()
    }

    fn set_log_level(&self, level: LogLevel) {
        self.lock().level = Some(level);
    }
}

/// A running environment.
pub struct Site {
    pub address: SocketAddr,
    pub key_file: PathBuf,
    instance: Arc<Instance>,
    directory: PathBuf,
    runtime: Runtime,
}

impl Site {
    pub fn new(environment: Environment) -> Self {
        Self::with_timeouts(environment, Timeouts::default())
    }

    pub fn with_timeouts(environment: Environment, timeouts: Timeouts) -> Self {
        let options = configuration::Options { environment, ..Default::default() };
        let reducer = Configuration::new(Bytes::from_static(b"entry-1"), 1).with_options(options);
        let mut inner = Inner {
            reducer,
            records: Vec::new(),
            now: Duration::ZERO,
            fault: Fault::None,
            proposals: Vec::new(),
            level: None,
        };
        inner.read();
        let instance = Arc::new(Instance { inner: Mutex::new(inner) });
        let runtime = Runtime::new().expect("a runtime");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = runtime.block_on(Server::bind(address)).expect("a free port");
        let server = server.with_timeouts(timeouts);
        let address = server.address().expect("a bound address");
        let digest = configuration::content::digest(KEY.as_bytes());
        let operations: Arc<dyn Operations> = Arc::clone(&instance) as _;
        runtime.spawn(server.run(operations, digest, Arc::new(Notify::new())));
        let directory = std::env::temp_dir().join(format!(
            "galenayard-cli-{}-{}",
            std::process::id(),
            address.port()
        ));
        std::fs::create_dir_all(&directory).expect("a directory");
        let key_file = directory.join("key");
        std::fs::write(&key_file, format!("{KEY}\n")).expect("a key file");
        Self { address, key_file, instance, directory, runtime }
    }

    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    pub fn fail(&self, fault: Fault) {
        self.instance.lock().fault = fault;
    }

    pub fn records(&self) -> usize {
        self.instance.lock().records.len()
    }

    pub fn proposals(&self) -> Vec<u128> {
        self.instance.lock().proposals.clone()
    }

    pub fn level(&self) -> Option<LogLevel> {
        self.instance.lock().level
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    /// Runs a command with `ADDRESS`, `KEY` and `DIR` replaced.
    pub fn run(&self, line: &str) -> Ended {
        let line = line
            .replace("ADDRESS", &self.address.to_string())
            .replace("KEY", &self.key_file.display().to_string())
            .replace("DIR", &self.directory.display().to_string());
        let ended = run(&line);
        let shown = |text: String| {
            text.replace(&self.directory.display().to_string(), "DIR")
                .replace(&self.address.to_string(), "ADDRESS")
        };
        Ended { exit: ended.exit, out: shown(ended.out), err: shown(ended.err) }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// How a command ended and what it wrote.
#[derive(Debug)]
pub struct Ended {
    pub exit: cli::Exit,
    pub out: String,
    pub err: String,
}

impl std::fmt::Display for Ended {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "exit {}\n{}{}", self.exit.code(), self.out, self.err)
    }
}

/// Runs a command whose arguments are separated by blanks.
pub fn run(line: &str) -> Ended {
    let arguments: Vec<OsString> = line.split_whitespace().map(OsString::from).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(arguments, &mut out, &mut err);
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    Ended { exit, out: text(out), err: text(err) }
}
