//! Runs one instance of the fleet: turns input of sockets, timers and signals into events of
//! `core::fleet` and executes the resulting effects.

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
pub mod exchange;
pub mod gossip;
pub mod hedged;
pub mod lines;
pub mod memory;
pub mod meters;
pub mod mirror;
pub mod relay;
pub mod requests;
pub mod stop;
pub mod upstream;

use crate::core::fleet;

/// How often the fleet state updates what depends on time alone, such as timeouts of peers.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The router could not start.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A listener or socket could not be bound to its address.
    #[error("cannot listen on {address}: {source}; free the port or change the settings")]
    Bind {
        /// The address from the settings.
        address: net::SocketAddr,
        /// The error of the operating system.
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
    /// The settings file is missing or invalid.
    #[error("{path}: {message}")]
    Settings {
        /// The path of the settings file, or the variable that should hold it.
        path: path::PathBuf,
        /// What is wrong and how to correct it.
        message: String,
    },
}

/// The options of an instance: its initial fleet state, its addresses and its grace period.
#[derive(Debug, Clone)]
pub struct Options {
    /// The options of the fleet state.
    pub fleet: fleet::Options,
    /// The address on which callers connect.
    pub callers: net::SocketAddr,
    /// The addresses for readiness checks and address discovery.
    pub discovery: Vec<net::SocketAddr>,
    /// The address for peers, used for both TCP and UDP.
    pub peers: net::SocketAddr,
    /// The address on which metrics are scraped, if any.
    pub metrics: Option<net::SocketAddr>,
    /// The memory that the process may take, in bytes.
    pub memory_bytes: usize,
    /// The grace period: the time from SIGTERM until the process is killed.
    pub grace: time::Duration,
}

/// Binds all sockets and starts the tasks of an instance, which run until the process ends.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub async fn serve(
    options: Options,
    dialect: rc::Rc<dyn dialect::Dialect>,
    meters: rc::Rc<dyn meters::Exposition>,
) -> Result<rc::Rc<context::Context>, RouterError> {
    let listener = callers::bind(options.callers)?;
    let gossip = gossip::Gossip::bind(options.peers)?;
    let mirror = callers::bind(options.peers)?;
    let context = context::Context::new(options.fleet.clone(), dialect, options.memory_bytes);
    for address in &options.discovery {
        let listener = callers::bind(*address)?;
        tokio::task::spawn_local(callers::serve_discovery(listener, rc::Rc::clone(&context)));
    }
    if let Some(address) = options.metrics {
        let listener = callers::bind(address)?;
        let operators = callers::serve_operators(listener, meters, rc::Rc::clone(&context));
        tokio::task::spawn_local(operators);
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
        let in_progress = context.read(|fleet| fleet.in_progress());
        meters::record_in_progress(in_progress, context.caller_connections.get());
    }
}
