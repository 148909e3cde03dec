//! HTTP server for callers (HTTP/1.1 and HTTP/2): completions, plain calls and discovery.

use std::net;
use std::sync;
use std::time;

use hyper::body;
use hyper::service;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio::net as tokio_net;
use tokio::sync as tokio_sync;
use tokio::time as tokio_time;

use crate::borders::engines;
use crate::borders::services;
use crate::borders::timer;
use crate::settings;
use crate::shell::handle;

mod completion;
mod discovery;
mod errors;
mod language;
mod plain;
mod read;
mod relay;
mod reply;
mod routes;
mod step;

/// Delay before the next accept after the operating system failed one.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// The interval of HTTP/2 pings to callers, which detect unresponsive connections.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// The server for callers could not start.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The listening socket could not be opened.
    #[error(
        "cannot listen for callers on {address}: {source}; check listen.callers in the settings"
    )]
    Bind {
        /// The address of `listen.callers`.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Shared state of the tasks that serve requests.
pub struct Context {
    /// Sends events to the reducer and receives its commands.
    pub handle: handle::Handle,
    /// The client for language engines.
    pub engines: sync::Arc<dyn engines::Engines>,
    /// The client for plain services.
    pub services: sync::Arc<dyn services::Services>,
    /// Limits on connections, headers, bodies and send times.
    pub limits: settings::Limits,
    /// How long callers may cache the list of instances, sent as `ttl_ms`.
    pub discovery_ttl: time::Duration,
    /// The maximum time between two body frames of a plain service's response.
    pub frame_timeout: time::Duration,
}

/// The listening socket for callers.
#[derive(Debug)]
pub struct Server {
    listener: tokio_net::TcpListener,
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
        Ok(Self { listener })
    }

    /// Returns the local address of the listening socket.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot return the address.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `stop` is notified, then closes idle connections and waits until the
    /// requests on the others have finished.
    pub async fn run(self, context: sync::Arc<Context>, stop: sync::Arc<tokio_sync::Notify>) {
        let connections =
            sync::Arc::new(tokio_sync::Semaphore::new(context.limits.max_connections));
        let graceful = graceful::GracefulShutdown::new();
        let builder = connection_builder(&context.limits);
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.notified() => break,
            };
            let Ok((stream, caller)) = accepted else {
                tokio_time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = sync::Arc::clone(&connections).try_acquire_owned() else {
                metrics::counter!("galenayard_connections_refused").increment(1);
                continue;
            };
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let context = sync::Arc::clone(&context);
            let service = service::service_fn(move |request: hyper::Request<body::Incoming>| {
                let context = sync::Arc::clone(&context);
                async move {
                    Ok::<_, std::convert::Infallible>(routes::serve(context, caller, request).await)
                }
            });
            let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
            let connection = graceful.watch(connection.into_owned());
            tokio::spawn(async move {
                if let Err(failure) = connection.await {
                    log::debug!("caller connection failed: {failure}");
                }
                drop(permit);
            });
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

fn connection_builder(limits: &settings::Limits) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(timer::PauseAwareTimer)
        .header_read_timeout(time::Duration::from_millis(limits.request_send_timeout_ms))
        .max_buf_size(limits.header_bytes.max(8 * 1024));
    builder
        .http2()
        .timer(timer::PauseAwareTimer)
        .keep_alive_interval(PING_INTERVAL)
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    builder
}
