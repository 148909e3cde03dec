//! Runs one instance of the fleet: sockets, timers and signals become events of `core::fleet`.

use std::io;
use std::net;
use std::path;
use std::rc;
use std::time;

pub mod body;
pub mod callers;
pub mod clock;
pub mod context;
pub mod dialect;
pub mod gossip;
pub mod lines;
pub mod meters;
pub mod mirror;
pub mod relay;
pub mod requests;
pub mod stop;
pub mod upstream;

use crate::core::fleet;

/// How often beliefs are reconsidered that only the passing of time changes.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The router could not run.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A socket could not be bound.
    #[error("cannot listen on {address}: {source}; free the port or change the settings")]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A signal handler could not be installed.
    #[error("cannot handle signals: {0}; check the limits of the process")]
    Signals(#[source] io::Error),
    /// The logger could not be set up.
    #[error(transparent)]
    Logger(#[from] lines::LoggerError),
    /// The metrics recorder could not be set up.
    #[error("cannot record metrics: {0}; start one instance in a process")]
    Metrics(String),
    /// The runtime could not be started.
    #[error("cannot start the runtime: {0}; check the limits of the process")]
    Runtime(#[source] io::Error),
    /// The settings cannot be used.
    #[error("{path}: {message}")]
    Settings {
        /// The settings file.
        path: path::PathBuf,
        /// What is wrong, and the remedy.
        message: String,
    },
}

/// Where an instance listens and how long it takes to stop.
#[derive(Debug, Clone)]
pub struct Options {
    /// How the decisions begin.
    pub fleet: fleet::Options,
    /// For callers.
    pub callers: net::SocketAddr,
    /// For questions whether it is ready, and for where to connect.
    pub discovery: Vec<net::SocketAddr>,
    /// For peers, by TCP and UDP.
    pub peers: net::SocketAddr,
    /// For metrics.
    pub metrics: Option<net::SocketAddr>,
    /// The time from a request to stop until the process is killed.
    pub grace: time::Duration,
}

/// Serves until the process is told to stop.
///
/// # Errors
///
/// Fails if a socket or a signal handler cannot be had.
pub async fn serve(
    options: Options,
    dialect: rc::Rc<dyn dialect::Dialect>,
    meters: rc::Rc<dyn meters::Exposition>,
) -> Result<rc::Rc<context::Context>, RouterError> {
    let listener = callers::bind(options.callers)?;
    let gossip = gossip::Gossip::bind(options.peers)?;
    let mirror = callers::bind(options.peers)?;
    let context = rc::Rc::new(context::Context::new(options.fleet.clone(), dialect));
    for address in &options.discovery {
        let listener = callers::bind(*address)?;
        tokio::task::spawn_local(callers::serve_discovery(listener, rc::Rc::clone(&context)));
    }
    if let Some(address) = options.metrics {
        let listener = callers::bind(address)?;
        tokio::task::spawn_local(callers::serve_metrics(listener, meters));
    }
    tokio::task::spawn_local(callers::serve(listener, rc::Rc::clone(&context)));
    tokio::task::spawn_local(gossip.run(rc::Rc::clone(&context)));
    tokio::task::spawn_local(mirror::serve(mirror, rc::Rc::clone(&context)));
    tokio::task::spawn_local(mirror::follow(rc::Rc::clone(&context)));
    tokio::task::spawn_local(tick(rc::Rc::clone(&context)));
    Ok(context)
}

async fn tick(context: rc::Rc<context::Context>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        context.apply(fleet::Event::Ticked);
    }
}
