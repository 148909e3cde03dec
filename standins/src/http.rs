//! The HTTP server and client shared by the stand-ins.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators};
use hyper::body::Incoming;
use hyper::service;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::client::legacy;
use hyper_util::rt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::network;

/// Largest request body that a stand-in reads whole.
pub const BODY_LIMIT_BYTES: usize = 16 << 20;

/// Any error of a body or of a call.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer.
pub type Body = combinators::UnsyncBoxBody<Bytes, BoxError>;

/// An answer, or an error that closes the connection without one.
pub type Reply = Result<Response<Body>, BoxError>;

/// What a stand-in serves.
pub trait Service: Send + Sync + Sized + 'static {
    /// A command that makes it fail.
    type Command: DeserializeOwned + Send;

    /// What it has done.
    type Records: Serialize;

    /// A copy of what it has done.
    fn records(&self) -> Self::Records;

    /// Carries out a fault command.
    fn command(&self, command: &Self::Command);

    /// Answers one request of the protocol that it stands in for.
    fn answer(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// A stand-in that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its connections.
    pub network: Arc<network::Network>,
    task: JoinHandle<()>,
}

impl Server {
    /// Waits until the server ends, which it does not do by itself.
    pub async fn join(&mut self) {
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.network.crash(Duration::MAX);
        self.task.abort();
    }
}

/// Serves `handler` on `listener`; each answer takes `latency` in each direction.
///
/// # Errors
///
/// Fails if the address of the listener is unknown.
pub fn serve(
    listener: TcpListener,
    network: Arc<network::Network>,
    latency: Duration,
    handler: Arc<impl Service>,
) -> io::Result<Server> {
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept_all(listener, address, Arc::clone(&network), latency, handler));
    Ok(Server { address, network, task })
}

async fn accept_all(
    mut listener: TcpListener,
    address: SocketAddr,
    network: Arc<network::Network>,
    latency: Duration,
    handler: Arc<impl Service>,
) {
    let mut crashes = network.crashes();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let link = network.open();
                    tokio::spawn(connection(stream, link, network.crashes(), latency, Arc::clone(&handler)));
                }
            }
            _ = crashes.changed() => {
                let down = crashes.borrow_and_update().down;
                drop(listener);
                tokio::time::sleep(down).await;
                listener = network::rebind(address).await;
            }
        }
    }
}

async fn connection(
    stream: TcpStream,
    link: network::Link,
    mut crashes: tokio::sync::watch::Receiver<network::Crash>,
    latency: Duration,
    handler: Arc<impl Service>,
) {
    let _best_effort = stream.set_nodelay(true);
    let guarded = rt::TokioIo::new(network::GuardedStream { stream, link: link.clone() });
    let service = service::service_fn(move |request| {
        answer(request, link.clone(), latency, Arc::clone(&handler))
    });
    let served = hyper::server::conn::http1::Builder::new()
        .half_close(false)
        .serve_connection(guarded, service);
    tokio::select! {
        _ = served => {}
        _ = crashes.changed() => {}
    }
}

async fn answer(
    mut request: Request<Incoming>,
    link: network::Link,
    latency: Duration,
    handler: Arc<impl Service>,
) -> Reply {
    if request.headers().contains_key(header::AUTHORIZATION) {
        link.count_authorization();
    }
    request.extensions_mut().insert(link);
    pause(latency).await;
    let reply = route(handler, request).await;
    pause(latency).await;
    reply
}

async fn route(handler: Arc<impl Service>, request: Request<Incoming>) -> Reply {
    match request.uri().path() {
        "/__records" => json(StatusCode::OK, &handler.records()),
        "/__faults" => match read_json(request).await {
            Ok(command) => {
                handler.command(&command);
                json(StatusCode::OK, &serde_json::json!({}))
            }
            Err(reply) => reply,
        },
        _ => handler.answer(request).await,
    }
}

/// Reads a JSON body, or gives the answer that refuses it.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Reply> {
    let bytes = read_body(request.into_body()).await.map_err(Err)?;
    serde_json::from_slice(&bytes)
        .map_err(|fault| error(StatusCode::BAD_REQUEST, "invalid_request", &fault.to_string()))
}

/// Sleeps unless the time is zero.
pub async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Reads a whole body of at most [`BODY_LIMIT_BYTES`].
pub async fn read_body(body: Incoming) -> Result<Bytes, BoxError> {
    Ok(Limited::new(body, BODY_LIMIT_BYTES).collect().await?.to_bytes())
}

/// Wraps bytes as a body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Answers with a JSON value.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let response = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(full(serde_json::to_vec(value)?))?;
    Ok(response)
}

/// Answers with an error in the OpenAI shape.
pub fn error(status: StatusCode, kind: &str, message: &str) -> Reply {
    json(status, &serde_json::json!({"error": {"type": kind, "message": message}}))
}

/// Splits a query string into its fields.
pub fn query(request: &Request<Incoming>) -> HashMap<String, String> {
    let text = request.uri().query().unwrap_or_default();
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Reads one numeric field of a query.
pub fn query_number(fields: &HashMap<String, String>, name: &str, default: u64) -> u64 {
    fields.get(name).and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A pooled HTTP client.
pub type Client = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// Builds a client; its connections are kept for at most `idle`.
pub fn client(idle: Duration) -> Client {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_nodelay(true);
    legacy::Client::builder(rt::TokioExecutor::new()).pool_idle_timeout(idle).build(connector)
}

/// Sends a JSON value and reads the JSON answer with its status.
pub async fn call_json(
    client: &Client,
    method: hyper::Method,
    url: &str,
    body: &serde_json::Value,
) -> Result<(StatusCode, serde_json::Value), BoxError> {
    let request = Request::builder()
        .method(method)
        .uri(url)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
    let response = client.request(request).await?;
    let status = response.status();
    let bytes = read_body(response.into_body()).await?;
    Ok((status, serde_json::from_slice(&bytes).unwrap_or(serde_json::Value::Null)))
}

/// Reads a JSON value from a URL within `limit`.
///
/// # Errors
///
/// Fails if no answer comes in time, or if it is not a success.
pub async fn fetch_json(
    client: &Client,
    url: &str,
    limit: Duration,
) -> Result<serde_json::Value, BoxError> {
    let nothing = serde_json::Value::Null;
    let call = call_json(client, hyper::Method::GET, url, &nothing);
    let (status, value) = tokio::time::timeout(limit, call).await??;
    if !status.is_success() {
        return Err(format!("{url} answered {status}: {value}").into());
    }
    Ok(value)
}
