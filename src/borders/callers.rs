//! The callers' side: HTTP/1.1 and HTTP/2, completions, plain calls and discovery.

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
mod turn;

/// The pause after the operating system refused to accept a connection.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// The interval of HTTP/2 pings to callers, by which silent connections are found.
const PING_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// The callers' side could not be served.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address cannot be listened on.
    #[error(
        "cannot listen for callers on {address}: {source}; check listen.callers in the settings"
    )]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
}

/// What each request's task needs.
pub struct Context {
    /// The way to the reducer.
    pub handle: handle::Handle,
    /// The engines.
    pub engines: sync::Arc<dyn engines::Engines>,
    /// The plain services.
    pub services: sync::Arc<dyn services::Services>,
    /// Bounds on what callers may use.
    pub limits: settings::Limits,
    /// How long a caller may keep the list of instances.
    pub discovery_ttl: time::Duration,
    /// The longest silence within a plain answer.
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
    /// Fails if the address is in use or not one of this machine.
    pub async fn bind(address: net::SocketAddr) -> Result<Self, ListenError> {
        let listener = tokio_net::TcpListener::bind(address)
            .await
            .map_err(|source| ListenError::Bind { address, source })?;
        Ok(Self { listener })
    }

    /// Returns the address that is listened on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell it.
    pub fn address(&self) -> std::io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `stop` is notified, then closes idle connections and waits for the
    /// others to finish their requests.
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
                tokio_time::sleep(ACCEPT_PAUSE).await;
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
                    log::debug!("connection of a caller ended: {failure}");
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
