//! A fake of the platform's append-only log.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::{http, network, settings};

/// Largest record.
const RECORD_LIMIT_BYTES: usize = 1 << 20;

/// Longest long poll.
const POLL_LIMIT_MS: u64 = 30_000;

/// Most records in one answer.
const READ_LIMIT_RECORDS: u64 = 1_000;

/// Settings of a log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// One-way network latency.
    #[serde(rename = "latency_ms", deserialize_with = "settings::millis")]
    pub latency: Duration,
    /// Time for which a record is kept.
    #[serde(rename = "retention_ms", deserialize_with = "settings::millis")]
    pub retention: Duration,
    /// Appends taken in a second.
    pub appends_per_s: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency: Duration::ZERO,
            retention: Duration::from_secs(3_600),
            appends_per_s: 400.0,
        }
    }
}

/// A command that changes the faults; a field left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Whether all calls are answered with 503.
    pub outage: Option<bool>,
    /// Delay before each call takes effect.
    pub slow_ms: Option<u64>,
    /// Number of coming appends whose answer is lost after their effect.
    pub lose_answers: Option<u64>,
    /// Offset of the log's clock.
    pub clock_offset_ms: Option<i64>,
    /// Makes the connections that are open now silent for good.
    pub silence: bool,
    /// Drops all connections and refuses new ones for this time.
    pub refuse_ms: Option<u64>,
}

/// The record of what the log has done.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Records {
    /// Newest offset of each stream.
    pub newest: BTreeMap<String, u64>,
    /// Appends that took effect.
    pub appended: u64,
    /// Bytes of the appends that took effect.
    pub appended_bytes: u64,
    /// Appends refused for the rate.
    pub refused: u64,
    /// Appends whose answer was lost.
    pub lost_answers: u64,
    /// Requests that carried an `authorization` header.
    pub authorization_seen: u64,
}

#[derive(Clone, Debug)]
struct Record {
    offset: u64,
    time_ms: u64,
    at: Instant,
    body: Bytes,
}

#[derive(Debug, Default)]
struct Stream {
    newest: u64,
    records: VecDeque<Record>,
}

#[derive(Debug)]
struct State {
    streams: BTreeMap<String, Stream>,
    records: Records,
    allowance: f64,
    allowance_at: Instant,
    faults: Command,
}

/// A fake log.
#[derive(Debug)]
pub struct Log {
    config: Config,
    network: Arc<network::Network>,
    state: Mutex<State>,
    appended: watch::Sender<u64>,
}

/// A log that runs until the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Its server.
    pub server: http::Server,
    /// The log itself.
    pub log: Arc<Log>,
}

/// Starts a log.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let network = Arc::new(network::Network::default());
    let latency = config.latency;
    let log = Arc::new(Log::new(config, Arc::clone(&network)));
    let server = http::serve(listener, network, latency, Arc::clone(&log))?;
    Ok(Handle { server, log })
}

impl Log {
    /// A copy of the ledger.
    pub fn records(&self) -> Records {
        let state = self.state();
        let mut records = state.records.clone();
        records.newest =
            state.streams.iter().map(|(name, stream)| (name.clone(), stream.newest)).collect();
        records.authorization_seen = self.network.authorization_seen();
        records
    }

    /// Carries out a fault command.
    pub fn command(&self, command: &Command) {
        let mut state = self.state();
        let faults = &mut state.faults;
        faults.outage = command.outage.or(faults.outage);
        faults.slow_ms = command.slow_ms.or(faults.slow_ms);
        faults.lose_answers = command.lose_answers.or(faults.lose_answers);
        faults.clock_offset_ms = command.clock_offset_ms.or(faults.clock_offset_ms);
        drop(state);
        if command.silence {
            self.network.silence();
        }
        if let Some(down_ms) = command.refuse_ms {
            self.network.crash(Duration::from_millis(down_ms));
        }
    }

    /// Makes an empty log.
    pub fn new(config: Config, network: Arc<network::Network>) -> Self {
        let state = State {
            streams: BTreeMap::new(),
            records: Records::default(),
            allowance: config.appends_per_s,
            allowance_at: Instant::now(),
            faults: Command::default(),
        };
        Self { config, network, state: Mutex::new(state), appended: watch::Sender::new(0) }
    }

    /// Appends a record; `None` if the rate is exceeded.
    pub fn append(&self, stream: &str, body: Bytes) -> Option<u64> {
        let now = Instant::now();
        let mut state = self.state();
        let gained = (now - state.allowance_at).as_secs_f64() * self.config.appends_per_s;
        state.allowance = (state.allowance + gained).min(self.config.appends_per_s);
        state.allowance_at = now;
        if state.allowance < 1.0 {
            state.records.refused += 1;
            return None;
        }
        state.allowance -= 1.0;
        state.records.appended += 1;
        state.records.appended_bytes += u64::try_from(body.len()).unwrap_or(0);
        let time_ms =
            http::unix_ms().saturating_add_signed(state.faults.clock_offset_ms.unwrap_or(0));
        let stream = state.streams.entry(stream.to_owned()).or_default();
        stream.newest += 1;
        let offset = stream.newest;
        stream.records.push_back(Record { offset, time_ms, at: now, body });
        drop(state);
        self.appended.send_modify(|count| *count += 1);
        Some(offset)
    }

    fn read(&self, name: &str, from: u64, limit: u64) -> (u64, u64, Vec<Value>) {
        let now = Instant::now();
        let mut state = self.state();
        let Some(stream) = state.streams.get_mut(name) else { return (1, 1, Vec::new()) };
        while stream.records.front().is_some_and(|record| record.at + self.config.retention < now) {
            stream.records.pop_front();
        }
        let next = stream.newest + 1;
        let first = stream.records.front().map_or(next, |record| record.offset);
        let wanted = stream.records.iter().filter(|record| record.offset >= from);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        (first, next, wanted.take(limit).map(record_entry).collect())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn loses_answer(&self) -> bool {
        let mut state = self.state();
        let left = state.faults.lose_answers.unwrap_or(0);
        if left == 0 {
            return false;
        }
        state.faults.lose_answers = Some(left - 1);
        state.records.lost_answers += 1;
        true
    }
}

fn record_entry(record: &Record) -> Value {
    json!({
        "offset": record.offset,
        "time_ms": record.time_ms,
        "body": BASE64_STANDARD.encode(&record.body),
    })
}

impl http::Service for Log {
    type Command = Command;
    type Records = Records;

    fn records(&self) -> Records {
        self.records()
    }

    fn command(&self, command: &Command) {
        self.command(command);
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> http::Reply {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["v1", "streams", stream, "records"]) => {
                append(&self, stream, request).await
            }
            (&Method::GET, ["v1", "streams", stream, "records"]) => {
                read(&self, stream, &request).await
            }
            _ => http::error(StatusCode::NOT_FOUND, "not_found", "no such path"),
        }
    }
}

/// Waits as long as the log is slow; false in an outage.
async fn is_up(log: &Log) -> bool {
    let slow_ms = log.state().faults.slow_ms.unwrap_or(0);
    http::pause(Duration::from_millis(slow_ms)).await;
    !log.state().faults.outage.unwrap_or(false)
}

fn outage() -> http::Reply {
    http::error(StatusCode::SERVICE_UNAVAILABLE, "outage", "the log is down")
}

async fn append(log: &Log, stream: &str, request: Request<Incoming>) -> http::Reply {
    let body = http::read_body(request.into_body()).await?;
    if !is_up(log).await {
        return outage();
    }
    if body.len() > RECORD_LIMIT_BYTES {
        return http::error(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "the record is too large");
    }
    let Some(offset) = log.append(stream, body) else {
        return http::error(StatusCode::TOO_MANY_REQUESTS, "rate", "too many appends");
    };
    if log.loses_answer() {
        return Err("the answer is lost".into());
    }
    http::json(StatusCode::OK, &json!({"offset": offset}))
}

async fn read(log: &Log, stream: &str, request: &Request<Incoming>) -> http::Reply {
    let fields = http::query(request);
    let from = http::query_number(&fields, "from", 1);
    let limit = http::query_number(&fields, "max", READ_LIMIT_RECORDS).min(READ_LIMIT_RECORDS);
    let wait_ms = http::query_number(&fields, "wait_ms", 0).min(POLL_LIMIT_MS);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut appended = log.appended.subscribe();
    loop {
        if !is_up(log).await {
            return outage();
        }
        let (first, next, records) = log.read(stream, from, limit);
        if !records.is_empty() || Instant::now() >= deadline {
            let answer = json!({"first": first, "next": next, "records": records});
            return http::json(StatusCode::OK, &answer);
        }
        let _timeout = tokio::time::timeout_at(deadline, appended.changed()).await;
    }
}
