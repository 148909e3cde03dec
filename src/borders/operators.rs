//! HTTP server for operators: metrics, status, explanations of decisions, and changes to the
//! configuration document. Requests need the operator key.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::future;
use hyper::body;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::net as tokio_net;
use tokio::sync as tokio_sync;
use tokio::time as tokio_time;

use crate::core::configuration;
use crate::core::ids;
use crate::settings;

pub mod api;
mod constants;
mod reply;
mod routes;

/// The configuration document in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentDocument {
    /// The log entry that put the document in force.
    pub entry: configuration::Entry,
    /// The document's text.
    pub body: Bytes,
}

/// Operations of the instance that operators can call.
pub trait Operations: Send + Sync {
    /// Proposes a document and waits until it is accepted or refused.
    fn propose(
        &self,
        proposal: configuration::Proposal,
    ) -> future::BoxFuture<'_, configuration::ProposalOutcome>;

    /// Returns the document in force.
    fn current(&self) -> future::BoxFuture<'_, Option<CurrentDocument>>;

    /// Returns the entries of the versions that have been in force, oldest first.
    fn history(&self) -> future::BoxFuture<'_, Vec<configuration::Entry>>;

    /// Returns a summary of the instance's state as JSON.
    fn status(&self) -> future::BoxFuture<'_, serde_json::Value>;

    /// Returns the logged decisions on a request; `None` if this instance does not keep them.
    fn explain(&self, request: ids::RequestId) -> future::BoxFuture<'_, Option<serde_json::Value>>;

    /// Returns the instances of the fleet as JSON.
    fn instances(&self) -> future::BoxFuture<'_, serde_json::Value>;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Sets the log level: the least severe level that is logged.
    fn set_log_level(&self, level: settings::LogLevel);
}

/// The server for operators could not start.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The listening socket could not be opened.
    #[error(
        "cannot listen for operators on {address}: {source}; check listen.operators in the settings"
    )]
    Bind {
        /// The address of `listen.operators`.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Timeouts for receiving a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For the request line and headers.
    pub headers: time::Duration,
    /// For the body.
    pub body: time::Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { headers: constants::HEADER_TIMEOUT, body: constants::BODY_TIMEOUT }
    }
}

/// Shared state of all requests.
struct Context {
    operations: sync::Arc<dyn Operations>,
    key_digest: ids::Digest,
    timeouts: Timeouts,
}

/// The listening socket for operators.
#[derive(Debug)]
pub struct Server {
    listener: tokio_net::TcpListener,
    timeouts: Timeouts,
}

impl Server {
    /// Opens the listening socket.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or not an address of this machine.
    pub async fn bind(address: net::SocketAddr) -> Result<Self, ListenError> {
        let listener = tokio_net::TcpListener::bind(address)
            .await
            .map_err(|source| ListenError::Bind { address, source })?;
        Ok(Self { listener, timeouts: Timeouts::default() })
    }

    /// Replaces the default timeouts.
    pub fn with_timeouts(self, timeouts: Timeouts) -> Self {
        Self { timeouts, ..self }
    }

    /// Returns the local address of the listening socket.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot return the address.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves operators whose key has the SHA-256 digest `key_digest`, until `stop` is notified.
    pub async fn run(
        self,
        operations: sync::Arc<dyn Operations>,
        key_digest: ids::Digest,
        stop: sync::Arc<tokio_sync::Notify>,
    ) {
        let timeouts = self.timeouts;
        let context = sync::Arc::new(Context { operations, key_digest, timeouts });
        let connections = sync::Arc::new(tokio_sync::Semaphore::new(constants::MAX_CONNECTIONS));
        let graceful = graceful::GracefulShutdown::new();
        let builder = connection_builder(timeouts);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.notified() => break,
            };
            let Ok((stream, _)) = accepted else {
                tokio_time::sleep(constants::ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = sync::Arc::clone(&connections).try_acquire_owned() else { continue };
            let context = sync::Arc::clone(&context);
            let service = service::service_fn(move |request: hyper::Request<body::Incoming>| {
                let context = sync::Arc::clone(&context);
                async move { Ok::<_, std::convert::Infallible>(routes::serve(&context, request).await) }
            });
            let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
            let connection = graceful.watch(connection.into_owned());
            tokio::spawn(async move {
                if let Err(failure) = connection.await {
                    log::debug!("operator connection failed: {failure}");
                }
                drop(permit);
            });
        }
        drop(self.listener);
        let closed = tokio_time::timeout(constants::SHUTDOWN_TIMEOUT, graceful.shutdown());
        if closed.await.is_err() {
            log::warn!("operator connections still open after the shutdown timeout are closed");
        }
    }
}

fn connection_builder(timeouts: Timeouts) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(timeouts.headers)
        .max_buf_size(constants::MAX_HEADER_BYTES);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .keep_alive_interval(constants::PING_INTERVAL)
        .max_concurrent_streams(constants::MAX_STREAMS)
        .max_header_list_size(constants::MAX_HEADER_BYTES as u32);
    builder
}
