//! A fake plain service that records each call that took effect.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{http, network, settings};

/// Calls kept; later ones are only counted.
const CALL_LIMIT: usize = 500_000;

/// Settings of a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// One-way network latency.
    #[serde(rename = "latency_ms", deserialize_with = "settings::millis")]
    pub latency: Duration,
    /// Time that each call takes.
    #[serde(rename = "work_ms", deserialize_with = "settings::millis")]
    pub work_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency: Duration::ZERO,
            work_time: Duration::from_millis(5),
        }
    }
}

/// A call that took effect.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Call {
    /// The body's `id`, else `x-request-id`.
    pub id: String,
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Time since the Unix epoch.
    pub at_ms: u64,
    /// Whether an answer was sent.
    pub answered: bool,
}

/// The record of one plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Records {
    /// Calls that took effect, in order.
    pub calls: Vec<Call>,
    /// Calls that took effect and were not kept for want of room.
    pub dropped: u64,
    /// Calls that read only.
    pub reads: u64,
    /// Requests that carried an `authorization` header.
    pub authorization_seen: u64,
}

/// A command that changes the faults; a field left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Number of coming calls whose answer is lost after their effect.
    pub lose_answers: Option<u64>,
    /// Delay before each effect.
    pub delay_ms: Option<u64>,
    /// Makes the connections that are open now silent for good.
    pub silence: bool,
    /// Drops all connections and refuses new ones for this time.
    pub refuse_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    records: Records,
    lose_answers: u64,
    delay_ms: u64,
}

/// A fake plain service.
#[derive(Debug)]
pub struct Plain {
    work_time: Duration,
    network: Arc<network::Network>,
    state: Mutex<State>,
}

/// A plain service that runs until the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Its server.
    pub server: http::Server,
    /// The service itself.
    pub plain: Arc<Plain>,
}

/// Starts a plain service.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let network = Arc::new(network::Network::default());
    let plain = Arc::new(Plain {
        work_time: config.work_time,
        network: Arc::clone(&network),
        state: Mutex::default(),
    });
    let server = http::serve(listener, network, config.latency, Arc::clone(&plain))?;
    Ok(Handle { server, plain })
}

impl http::Service for Plain {
    type Command = Command;
    type Records = Records;

    fn records(&self) -> Records {
        self.records()
    }

    fn command(&self, command: &Command) {
        self.command(command);
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> http::Reply {
        match (request.method(), request.uri().path()) {
            (_, "/echo") => {
                Ok(Response::new(request.into_body().map_err(http::BoxError::from).boxed_unsync()))
            }
            (&Method::GET | &Method::HEAD, path) => {
                let path = path.to_owned();
                self.wait().await;
                self.state().records.reads += 1;
                http::json(StatusCode::OK, &json!({"path": path, "stock": 7}))
            }
            _ => execute(&self, request).await,
        }
    }
}

impl Plain {
    /// A copy of the ledger.
    pub fn records(&self) -> Records {
        let mut records = self.state().records.clone();
        records.authorization_seen = self.network.authorization_seen();
        records
    }

    /// Carries out a fault command.
    pub fn command(&self, command: &Command) {
        let mut state = self.state();
        state.lose_answers = command.lose_answers.unwrap_or(state.lose_answers);
        state.delay_ms = command.delay_ms.unwrap_or(state.delay_ms);
        drop(state);
        if command.silence {
            self.network.silence();
        }
        if let Some(down_ms) = command.refuse_ms {
            self.network.crash(Duration::from_millis(down_ms));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait(&self) {
        let delay = Duration::from_millis(self.state().delay_ms);
        http::pause(self.work_time + delay).await;
    }

    /// Records a call and returns how often its id took effect, or `None` if its answer is lost.
    fn execute(&self, id: &str, method: &Method, path: &str) -> Option<usize> {
        let mut state = self.state();
        let answered = state.lose_answers == 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        let call = Call {
            id: id.to_owned(),
            method: method.to_string(),
            path: path.to_owned(),
            at_ms: http::unix_ms(),
            answered,
        };
        if state.records.calls.len() < CALL_LIMIT {
            state.records.calls.push(call);
        } else {
            state.records.dropped += 1;
        }
        answered.then(|| state.records.calls.iter().filter(|call| call.id == id).count())
    }
}

async fn execute(plain: &Plain, request: Request<Incoming>) -> http::Reply {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let header = request.headers().get("x-request-id").and_then(|value| value.to_str().ok());
    let header = header.unwrap_or_default().to_owned();
    let bytes = http::read_body(request.into_body()).await?;
    let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    let id = body["id"].as_str().map_or(header, ToOwned::to_owned);
    plain.wait().await;
    let Some(times) = plain.execute(&id, &method, &path) else {
        return Err("the answer is lost".into());
    };
    http::json(StatusCode::OK, &json!({"id": id, "done": true, "times": times}))
}
