//! Builds an instance from its settings and runs it until it has left the fleet.

use std::sync;
use std::time;

use bytes::Bytes;
use metrics_exporter_prometheus as exporter;
use tokio::signal::unix;
use tokio::sync as tokio_sync;
use tokio::time as tokio_time;

use crate::borders::callers;
use crate::borders::engines::openai;
use crate::borders::http;
use crate::borders::operators;
use crate::borders::peers;
use crate::borders::platform;
use crate::borders::platform::http_instances;
use crate::borders::platform::http_log;
use crate::borders::services;
use crate::core::escrow;
use crate::core::event;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::placement;
use crate::core::request;
use crate::core::scheduler;
use crate::core::state;
use crate::settings;
use crate::shell::driver;
use crate::shell::explain;
use crate::shell::handle;
use crate::shell::log_reader;
use crate::shell::logging;
use crate::shell::operations;

/// The upper bounds of histogram buckets, in milliseconds.
const BUCKETS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 30.0, 42.0, 60.0, 100.0, 250.0, 500.0, 1_300.0, 2_500.0, 5_000.0,
    15_000.0, 60_000.0,
];

/// The interval between two reads of the platform's instance list.
const INSTANCE_LIST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How long a read of the configuration or claims stream waits for a new record.
const READ_WAIT: time::Duration = time::Duration::from_millis(500);

/// The time within which an instance that leaves hands over its rights and records its leave.
const LEAVE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// An instance could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The listener for callers could not be opened.
    #[error(transparent)]
    Callers(#[from] callers::ListenError),
    /// The listener for peers could not be opened.
    #[error(transparent)]
    Peers(#[from] peers::ServerError),
    /// The listener for operators could not be opened.
    #[error(transparent)]
    Operators(#[from] operators::ListenError),
    /// Logging could not be set up.
    #[error(transparent)]
    Logging(#[from] logging::LoggingError),
    /// Metrics could not be set up.
    #[error("metrics cannot be set up: {0}; start one instance per process")]
    Metrics(#[from] exporter::BuildError),
    /// The handlers of the termination signals could not be installed.
    #[error("cannot receive signals: {0}; run the instance where signals are allowed")]
    Signals(std::io::Error),
}

/// Runs an instance until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if a listening socket cannot be opened, or if logging, metrics or signal handlers cannot
/// be set up.
pub async fn serve(settings: settings::Settings) -> Result<(), ServeError> {
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(ServeError::Signals)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(ServeError::Signals)?;
    let instance = start(&settings).await?;
    ::log::info!(instance = settings.instance.id; "instance started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    ::log::info!("shutting down; a second signal terminates the instance immediately");
    tokio::select! {
        () = instance.stop(&settings) => ::log::info!("instance left the fleet"),
        _ = terminate.recv() => ::log::warn!("terminated by a second signal"),
        _ = interrupt.recv() => ::log::warn!("terminated by a second signal"),
    }
    Ok(())
}

/// A running instance.
struct Instance {
    handle: handle::Handle,
    published: tokio_sync::watch::Sender<handle::Published>,
    stop_callers: sync::Arc<tokio_sync::Notify>,
}

async fn start(settings: &settings::Settings) -> Result<Instance, ServeError> {
    let logging = sync::Arc::new(logging::Logging::start(settings.log.level)?);
    let recorder = prometheus()?;
    let started = time::Instant::now();
    let incarnation: ids::Incarnation = rand::random();
    let callers_server = callers::Server::bind(settings.listen.callers).await?;
    let peers_server = peers::Server::bind(settings.listen.peers).await?;
    let operators_server = operators::Server::bind(settings.listen.operators).await?;
    let (inputs, receiver) = tokio_sync::mpsc::channel(handle::INPUT_QUEUE_CAPACITY);
    let (published, watch) = tokio_sync::watch::channel(handle::Published::default());
    let explanations = sync::Arc::new(explain::Explanations::default());
    let handle = handle::Handle::new(inputs, watch, explanations, incarnation, started);

    let client = http::Client::new(http::Timeouts {
        connect: settings.timeouts.connect(),
        idle: settings.timeouts.idle_connection(),
    });
    let engines = sync::Arc::new(openai::OpenAi::new(client.clone(), engine_timeouts(settings)));
    let log: sync::Arc<dyn platform::Log> =
        sync::Arc::new(http_log::HttpLog::new(client.clone(), settings.platform.log));
    let credential: sync::Arc<str> = sync::Arc::from(settings.fleet.credential.as_str());
    let identity = peers::Identity {
        id: Bytes::from(settings.instance.id.clone()),
        incarnation,
        credential: sync::Arc::clone(&credential),
    };
    let borders = driver::Borders {
        log: sync::Arc::clone(&log),
        engines: sync::Arc::clone(&engines) as _,
        peers: sync::Arc::new(peers::GrpcPeers::new(identity)),
    };
    let state = state::State::new(state_options(settings, incarnation));
    let driver = driver::Driver::new(state, borders, handle.clone(), published.clone());
    tokio::spawn(driver.run(receiver));

    let context = callers::Context {
        handle: handle.clone(),
        engines,
        services: sync::Arc::new(services::HttpServices::new(
            client.clone(),
            settings.timeouts.first_byte(),
        )),
        limits: settings.limits.clone(),
        discovery_ttl: time::Duration::from_millis(settings.discovery.ttl_ms),
        frame_timeout: settings.timeouts.gap(),
    };
    let stop_callers = sync::Arc::new(tokio_sync::Notify::new());
    tokio::spawn(callers_server.run(sync::Arc::new(context), sync::Arc::clone(&stop_callers)));
    let operations = operations::Operations::new(
        handle.clone(),
        settings.instance.id.clone(),
        recorder,
        logging,
    );
    tokio::spawn(operators_server.run(
        sync::Arc::new(operations),
        settings.fleet.operator_key_digest(),
        sync::Arc::new(tokio_sync::Notify::new()),
    ));
    tokio::spawn(serve_peers(peers_server, credential, handle.clone()));
    spawn_platform_readers(settings, log, client, &handle);
    Ok(Instance { handle, published, stop_callers })
}

/// Installs the metrics recorder of this process.
fn prometheus() -> Result<exporter::PrometheusHandle, exporter::BuildError> {
    exporter::PrometheusBuilder::new()
        .set_buckets_for_metric(exporter::Matcher::Suffix("_ms".to_string()), &BUCKETS_MS)?
        .install_recorder()
}

fn engine_timeouts(settings: &settings::Settings) -> openai::Timeouts {
    openai::Timeouts {
        prefill: settings.timeouts.prefill(),
        first_token: settings.timeouts.transfer_progress(),
        event_timeout: settings.timeouts.gap(),
    }
}

fn state_options(settings: &settings::Settings, incarnation: ids::Incarnation) -> state::Options {
    let membership = membership::settings::Settings {
        lease: time::Duration::from_millis(settings.membership.lease_ms),
        heartbeat_interval: time::Duration::from_millis(settings.membership.heartbeat_ms),
        ..membership::settings::Settings::default()
    }
    .with_log_retention(settings.platform.log_retention());
    let policy = match settings.policy.limits {
        settings::LimitPolicy::Escrow => escrow::settings::Policy::Escrow,
        settings::LimitPolicy::RateOverN => escrow::settings::Policy::EqualSplit,
    };
    let requests = request::RequestLimits {
        max_live_requests: settings.limits.max_requests,
        request_timeout: settings.timeouts.request(),
    };
    state::Options {
        requests,
        own: own_member(settings, incarnation),
        environment: settings.instance.environment,
        log_retention: settings.platform.log_retention(),
        seed: incarnation,
        membership,
        escrow: escrow::settings::Settings { policy, ..escrow::settings::Settings::default() },
        placement: match settings.policy.placement {
            settings::Placement::Affinity => placement::Policy::Affinity,
            settings::Placement::RoundRobin => placement::Policy::RoundRobin,
            settings::Placement::LeastOutstanding => placement::Policy::LeastOutstanding,
        },
        scheduler: match settings.policy.placement {
            settings::Placement::Affinity => scheduler::Discipline::Fair,
            settings::Placement::RoundRobin | settings::Placement::LeastOutstanding => {
                scheduler::Discipline::Direct
            }
        },
    }
}

fn own_member(settings: &settings::Settings, incarnation: ids::Incarnation) -> membership::Member {
    membership::Member {
        id: Bytes::from(settings.instance.id.clone()),
        incarnation,
        failure_domain: Bytes::from(settings.instance.failure_domain.clone()),
        weight: settings.instance.weight,
        peer_address: settings.listen.peer_address(),
        caller_address: settings.listen.caller_address(),
        leaving: false,
        joined: 0,
    }
}

async fn serve_peers(server: peers::Server, credential: sync::Arc<str>, handle: handle::Handle) {
    let receiver: sync::Arc<dyn peers::Receiver> = sync::Arc::new(handle);
    if let Err(failure) = server.run(credential, receiver, std::future::pending()).await {
        ::log::error!("{failure}");
    }
}

/// Starts the tasks that read the log's streams and the instance list.
fn spawn_platform_readers(
    settings: &settings::Settings,
    log: sync::Arc<dyn platform::Log>,
    client: http::Client,
    handle: &handle::Handle,
) {
    for stream in log::Stream::ALL {
        let wait = match stream {
            log::Stream::Membership => {
                time::Duration::from_millis(settings.membership.heartbeat_ms)
            }
            log::Stream::Configuration | log::Stream::Claims => READ_WAIT,
        };
        tokio::spawn(log_reader::follow(sync::Arc::clone(&log), stream, wait, handle.clone()));
    }
    let list = http_instances::HttpInstances::new(client, settings.platform.instances);
    tokio::spawn(poll_instance_list(sync::Arc::new(list), handle.clone()));
}

async fn poll_instance_list(list: sync::Arc<dyn platform::Instances>, handle: handle::Handle) {
    let mut interval = tokio_time::interval(INSTANCE_LIST_INTERVAL);
    interval.set_missed_tick_behavior(tokio_time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match list.list().await {
            Ok(listed) => handle.event(event::Event::InstancesListed(listed)).await,
            Err(failure) => ::log::debug!("{failure}"),
        }
    }
}

impl Instance {
    /// Shuts the instance down: marks it as leaving, gives callers time to fetch the new list of
    /// instances, stops accepting callers, waits for the remaining requests and leaves the fleet.
    async fn stop(&self, settings: &settings::Settings) {
        self.published.send_modify(|published| published.leaving = true);
        self.handle.event(event::Event::Announce).await;
        tokio_time::sleep(time::Duration::from_millis(settings.discovery.ttl_ms)).await;
        self.stop_callers.notify_one();
        self.handle.event(event::Event::Drain).await;
        let drained = self.wait_until(|published| published.live_requests == 0);
        if tokio_time::timeout(settings.timeouts.drain(), drained).await.is_err() {
            let remaining = self.handle.published().live_requests;
            ::log::warn!(requests = remaining; "drain timeout expired; aborting the remaining requests");
        }
        self.handle.event(event::Event::Leave).await;
        let left = self.wait_until(|published| published.has_left);
        if tokio_time::timeout(LEAVE_TIMEOUT, left).await.is_err() {
            ::log::warn!(
                "the leave is not recorded; peers evict this instance when its lease expires"
            );
        }
    }

    async fn wait_until<C: FnMut(&handle::Published) -> bool>(&self, condition: C) {
        let mut watch = self.handle.watch();
        drop(watch.wait_for(condition).await);
    }
}
