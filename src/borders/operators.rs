//! The operators' side: metrics, status, explanations and changes of the document, for holders of
//! the operator key.

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

/// The document in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentDocument {
    /// The entry of the record that put it in force.
    pub entry: configuration::Entry,
    /// Its bytes.
    pub body: Bytes,
}

/// What the operators' side asks of the instance.
pub trait Operations: Send + Sync {
    /// Proposes a document and waits for the verdict.
    fn propose(
        &self,
        proposal: configuration::Proposal,
    ) -> future::BoxFuture<'_, configuration::ProposalOutcome>;

    /// Returns the document in force.
    fn current(&self) -> future::BoxFuture<'_, Option<CurrentDocument>>;

    /// Returns the versions that were in force, oldest first.
    fn history(&self) -> future::BoxFuture<'_, Vec<configuration::Entry>>;

    /// Returns a summary of the instance's state.
    fn status(&self) -> future::BoxFuture<'_, serde_json::Value>;

    /// Returns the decisions on a request; `None` if they are not kept.
    fn explain(&self, request: ids::RequestId) -> future::BoxFuture<'_, Option<serde_json::Value>>;

    /// Returns the instances of the fleet.
    fn instances(&self) -> future::BoxFuture<'_, serde_json::Value>;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Sets the least severe level that is logged.
    fn set_log_level(&self, level: settings::LogLevel);
}

/// The operators' side could not be served.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address cannot be listened on.
    #[error(
        "cannot listen for operators on {address}: {source}; check listen.operators in the settings"
    )]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
}

/// How long a client may take to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The request line and headers.
    pub headers: time::Duration,
    /// The body.
    pub body: time::Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { headers: constants::HEADER_TIMEOUT, body: constants::BODY_TIMEOUT }
    }
}

/// What each request needs.
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
    /// Fails if the address is in use or not one of this machine.
    pub async fn bind(address: net::SocketAddr) -> Result<Self, ListenError> {
        let listener = tokio_net::TcpListener::bind(address)
            .await
            .map_err(|source| ListenError::Bind { address, source })?;
        Ok(Self { listener, timeouts: Timeouts::default() })
    }

    /// Sets other timeouts.
    pub fn with_timeouts(self, timeouts: Timeouts) -> Self {
        Self { timeouts, ..self }
    }

    /// Returns the address that is listened on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves operators whose key has the digest until `stop` is notified.
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
                tokio_time::sleep(constants::ACCEPT_PAUSE).await;
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
                    log::debug!("connection of an operator ended: {failure}");
                }
                drop(permit);
            });
        }
        drop(self.listener);
        let closed = tokio_time::timeout(constants::SHUTDOWN_TIMEOUT, graceful.shutdown());
        if closed.await.is_err() {
            log::warn!("connections of operators are cut");
        }
    }
}

fn connection_builder(timeouts: Timeouts) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(timeouts.headers)
        .max_buf_size(constants::HEADER_BYTES);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .keep_alive_interval(constants::PING_INTERVAL)
        .max_concurrent_streams(constants::MAX_STREAMS)
        .max_header_list_size(constants::HEADER_BYTES as u32);
    builder
}
