//! Listens for callers, for discovery and readiness checks, and for scrapes of metrics.

use std::convert;
use std::io;
use std::net;
use std::rc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::http;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::sync;

use crate::core::fleet;
use crate::core::fleet::decision;
use crate::core::fleet::quarantine;
use crate::core::fleet::refusal;
use crate::router;
use crate::router::body;
use crate::router::context;
use crate::router::dialect;
use crate::router::meters;
use crate::router::requests;
use crate::router::upstream;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The limits on heads, bodies and idle connections before a configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 * 1_024;
const DEFAULT_BODY_BYTES: usize = 4 * 1_024 * 1_024;
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// How long an instance that has just started leaves connections unaccepted until it has a
/// configuration. It usually has one within some milliseconds, while a refusal costs each caller a
/// retry.
const CONFIGURATION_GRACE: time::Duration = time::Duration::from_millis(250);

/// How often it checks for the configuration in that time.
const CONFIGURATION_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// How long a connection without a request may still send its first one once the instance takes no
/// more connections. A caller that has just connected has its request on the way.
const FIRST_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// The delay after a connection could not be accepted: file descriptors may be free again by then.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// The path under which operators list and lift quarantines.
const QUARANTINES_PATH: &str = "/quarantines";

/// A quarantine as operators see it.
#[derive(serde::Serialize)]
struct ListedQuarantine<'a> {
    id: String,
    #[serde(flatten)]
    report: &'a quarantine::Report,
}

/// Listens on a TCP address.
///
/// # Errors
///
/// Fails if the address cannot be bound, for instance because it is in use.
pub fn bind(address: net::SocketAddr) -> Result<tokio::net::TcpListener, router::RouterError> {
    let listen = || -> io::Result<tokio::net::TcpListener> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| router::RouterError::Bind { address, source })
}

/// Accepts callers' connections and serves their requests until the instance takes no more.
pub async fn serve(listener: tokio::net::TcpListener, context: rc::Rc<context::Context>) {
    if tokio::time::timeout(CONFIGURATION_GRACE, wait_for_configuration(&context)).await.is_err() {
        log::warn!("no configuration yet; requests are refused until there is one");
    }
    let mut closing = context.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener) => accepted,
            // The sender lives as long as the context.
            _ = closing.wait_for(|is_closing| *is_closing) => return,
        };
        let Some(stream) = accepted else { continue };
        let connections = &context.caller_connections;
        connections.set(connections.get() + 1);
        tokio::task::spawn_local(serve_connection(stream, rc::Rc::clone(&context)));
    }
}

async fn wait_for_configuration(context: &context::Context) {
    while context.read(|fleet| fleet.catalog().is_none()) {
        tokio::time::sleep(CONFIGURATION_CHECK_INTERVAL).await;
    }
}

/// Accepts a connection; returns `None` after a failure, which it logs.
pub async fn accept(listener: &tokio::net::TcpListener) -> Option<tokio::net::TcpStream> {
    let accepted = match listener.accept().await {
        Ok((stream, _)) => upstream::configure_socket(&stream).map(|()| stream),
        Err(failure) => Err(failure),
    };
    match accepted {
        Ok(stream) => Some(stream),
        Err(failure) => {
            log::warn!("cannot accept a connection: {failure}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_connection(stream: tokio::net::TcpStream, context: rc::Rc<context::Context>) {
    let limits = context.read(|fleet| fleet.catalog().map(|catalog| catalog.content.caller_limits));
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle);
    let shared = rc::Rc::clone(&context);
    let first_request = rc::Rc::new(sync::Notify::new());
    let received = rc::Rc::clone(&first_request);
    let service = service::service_fn(move |request| {
        received.notify_one();
        let context = rc::Rc::clone(&shared);
        async move { Ok::<_, convert::Infallible>(serve_request(context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(8_192) * 2)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = context.closing.subscribe();
    let may_close = async {
        // The sender lives as long as the context.
        let _ = closing.wait_for(|is_closing| *is_closing).await;
        // A connection that stays silent is closed all the same.
        let _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first_request.notified()).await;
    };
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = may_close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(failure) = served {
        log::debug!("a caller's connection failed: {failure}");
    }
    let connections = &context.caller_connections;
    connections.set(connections.get().saturating_sub(1));
}

async fn serve_request(
    context: rc::Rc<context::Context>,
    request: http::Request<Incoming>,
) -> requests::Response {
    let (head, incoming) = request.into_parts();
    let body_bytes = context.read(|fleet| {
        fleet
            .catalog()
            .map_or(DEFAULT_BODY_BYTES, |catalog| catalog.content.caller_limits.body_bytes)
    });
    let mut response = match Limited::new(incoming, body_bytes).collect().await {
        Ok(body) => {
            let body: Bytes = body.to_bytes();
            let version = head.version;
            let response = requests::serve(rc::Rc::clone(&context), head, body).await;
            match version {
                http::Version::HTTP_10 => with_length(response, &context).await,
                _ => response,
            }
        }
        Err(failure) => {
            let is_over_limit = failure.is::<http_body_util::LengthLimitError>();
            let reason = if is_over_limit {
                refusal::Reason::BodyTooLong
            } else {
                refusal::Reason::Malformed
            };
            context.refuse_unreadable(&head, reason)
        }
    };
    if *context.stopping.borrow() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    response
}

/// Collects the body of a response. HTTP/1.0 has no chunks: its callers could not tell a stream that
/// broke off from a whole one.
async fn with_length(
    response: requests::Response,
    context: &context::Context,
) -> requests::Response {
    let (head, body) = response.into_parts();
    let max_bytes = context.memory.max_buffered_bytes();
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => http::Response::from_parts(head, body::Body::full(body.to_bytes())),
        Err(failure) => {
            log::debug!("a stream to a caller of HTTP/1.0 is not delivered: {failure}");
            let refusal = refusal::Refusal::new(refusal::Reason::OutcomeUnknown);
            context.dialect.write_refusal(refusal)
        }
    }
}

/// Serves readiness checks and the addresses to which callers may connect.
pub async fn serve_discovery(listener: tokio::net::TcpListener, context: rc::Rc<context::Context>) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let shared = rc::Rc::clone(&context);
        let service = service::service_fn(move |request: http::Request<Incoming>| {
            let response = answer_discovery_query(&shared, &request.into_parts().0);
            async move { Ok::<_, convert::Infallible>(response) }
        });
        tokio::task::spawn_local(serve_auxiliary_connection(stream, service));
    }
}

fn answer_discovery_query(
    context: &context::Context,
    head: &http::request::Parts,
) -> requests::Response {
    match context.dialect.read_discovery_query(head) {
        dialect::DiscoveryQuery::Readiness if context.read(|fleet| fleet.is_ready()) => {
            status_only(http::StatusCode::OK)
        }
        dialect::DiscoveryQuery::Readiness => status_only(http::StatusCode::SERVICE_UNAVAILABLE),
        dialect::DiscoveryQuery::CallerAddresses => {
            let now = context.now();
            let addresses = context.read(|fleet| fleet.caller_addresses(now));
            if addresses.is_empty() {
                return status_only(http::StatusCode::SERVICE_UNAVAILABLE);
            }
            context.dialect.write_caller_addresses(&addresses)
        }
        dialect::DiscoveryQuery::Unknown => status_only(http::StatusCode::NOT_FOUND),
    }
}

/// Serves operators: metrics, and the quarantines of requests that crash servers.
pub async fn serve_operators(
    listener: tokio::net::TcpListener,
    meters: rc::Rc<dyn meters::Exposition>,
    context: rc::Rc<context::Context>,
) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let (meters, context) = (rc::Rc::clone(&meters), rc::Rc::clone(&context));
        let service = service::service_fn(move |request: http::Request<Incoming>| {
            let response = answer_operator(&*meters, &context, &request.into_parts().0);
            async move { Ok::<_, convert::Infallible>(response) }
        });
        tokio::task::spawn_local(serve_auxiliary_connection(stream, service));
    }
}

/// Responds to an operator; any path but that of the quarantines leads to the metrics.
fn answer_operator(
    meters: &dyn meters::Exposition,
    context: &context::Context,
    head: &http::request::Parts,
) -> requests::Response {
    let Some(id) = head.uri.path().strip_prefix(QUARANTINES_PATH) else {
        return http::Response::new(body::Body::full(meters.render()));
    };
    if head.method == http::Method::DELETE {
        let id = quarantine::QuarantineId::from_str_radix(id.trim_start_matches('/'), 16);
        let Ok(id) = id else { return status_only(http::StatusCode::NOT_FOUND) };
        context.apply(fleet::Event::QuarantineLifted(id));
    }
    let now = context.now();
    let reports = context.read(|fleet| fleet.quarantines(now));
    let listed: Vec<_> = reports
        .iter()
        .filter(|report| !report.is_lifted)
        .map(|report| ListedQuarantine { id: decision::quarantine_name(report.id()), report })
        .collect();
    match serde_json::to_vec(&listed) {
        Ok(text) => http::Response::new(body::Body::full(text)),
        Err(failure) => {
            log::error!("cannot encode the quarantines: {failure}");
            status_only(http::StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn status_only(status: http::StatusCode) -> requests::Response {
    let mut response = http::Response::new(body::Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

async fn serve_auxiliary_connection<S>(stream: tokio::net::TcpStream, service: S)
where
    S: service::HttpService<Incoming, ResBody = body::Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .serve_connection(rt::TokioIo::new(stream), service);
    if let Err(failure) = connection.await {
        log::debug!("a connection for discovery or metrics failed: {failure}");
    }
}
