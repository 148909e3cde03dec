//! The task that owns the state: applies inputs one at a time and executes the resulting effects.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use tokio::sync as tokio_sync;
use tokio::time as tokio_time;

use crate::borders::engines;
use crate::borders::peers;
use crate::borders::platform;
use crate::core::collections;
use crate::core::configuration;
use crate::core::effect;
use crate::core::event;
use crate::core::ids;
use crate::core::log;
use crate::core::request;
use crate::core::state;
use crate::shell::explain;
use crate::shell::handle;
use crate::shell::journal;
use crate::shell::watchers;

/// The interval between two ticks of the reducer.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Attempts to cancel a request on an engine. A request that is still held after that shows up in
/// the engine's list of held requests.
const CANCEL_ATTEMPTS: u32 = 3;

/// The pause between two attempts to cancel a request.
const CANCEL_PAUSE: time::Duration = time::Duration::from_millis(200);

/// The maximum number of concurrent cancellations; further ones are dropped.
const MAX_CONCURRENT_CANCELS: usize = 1_024;

/// The external services that effects are sent to.
pub struct Borders {
    /// The platform's log, to which records are appended.
    pub log: sync::Arc<dyn platform::Log>,
    /// The client of the engines.
    pub engines: sync::Arc<dyn engines::Engines>,
    /// The client that sends messages to other instances.
    pub peers: sync::Arc<dyn peers::Peers>,
}

/// Owns the state and applies every input to it, in a single task.
pub struct Driver {
    state: state::State,
    borders: Borders,
    handle: handle::Handle,
    published: tokio_sync::watch::Sender<handle::Published>,
    requests: collections::Map<ids::RequestId, tokio_sync::mpsc::UnboundedSender<request::Command>>,
    proposals: collections::Map<u128, tokio_sync::oneshot::Sender<configuration::ProposalOutcome>>,
    watchers: watchers::Watchers,
    cancel_permits: sync::Arc<tokio_sync::Semaphore>,
}

impl Driver {
    /// Creates the driver; [`Driver::run`] starts it.
    pub fn new(
        state: state::State,
        borders: Borders,
        handle: handle::Handle,
        published: tokio_sync::watch::Sender<handle::Published>,
    ) -> Self {
        let engines = sync::Arc::clone(&borders.engines);
        Self {
            state,
            borders,
            watchers: watchers::Watchers::new(engines, handle.clone()),
            handle,
            published,
            requests: collections::Map::default(),
            proposals: collections::Map::default(),
            cancel_permits: sync::Arc::new(tokio_sync::Semaphore::new(MAX_CONCURRENT_CANCELS)),
        }
    }

    /// Applies inputs and ticks until the process ends.
    pub async fn run(mut self, mut inputs: tokio_sync::mpsc::Receiver<handle::Input>) {
        let mut ticks = tokio_time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio_time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.apply(event::Event::Tick),
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
            }
        }
    }

    fn handle_input(&mut self, input: handle::Input) {
        match input {
            handle::Input::Event(event) => self.apply(event),
            handle::Input::Open { request, arrival, commands } => {
                self.requests.insert(request, commands);
                let event = request::Event::Arrived { request, arrival };
                self.apply(event::Event::Request(event));
            }
            handle::Input::Propose { proposal, reply } => {
                self.proposals.retain(|_, pending| !pending.is_closed());
                self.proposals.insert(proposal.id, reply);
                self.apply(event::Event::Proposed(proposal));
            }
            handle::Input::Query(query) => query(&self.state),
        }
    }

    fn apply(&mut self, event: event::Event) {
        let now = self.handle.now();
        for effect in self.state.apply(event, now) {
            self.execute(effect, now);
        }
        let live_requests = self.state.live_requests();
        self.published.send_if_modified(|published| {
            let changed = published.live_requests != live_requests;
            published.live_requests = live_requests;
            changed
        });
    }

    fn execute(&mut self, effect: effect::Effect, now: ids::Timestamp) {
        match effect {
            effect::Effect::Send { address, message, .. } => {
                self.borders.peers.send(address, &message);
            }
            effect::Effect::Append { stream, token, body } => self.append(stream, token, body),
            effect::Effect::Command { request, command } => self.send_command(request, command),
            effect::Effect::Cancel { request, address, .. } => self.cancel(request, address),
            effect::Effect::Resynchronise { server } => self.watchers.resynchronise(&server),
            effect::Effect::Watch { servers } => self.watchers.set(servers),
            effect::Effect::ViewChanged(view) => self.publish(|published| published.view = view),
            effect::Effect::Applied(snapshot) => self.on_applied(snapshot),
            effect::Effect::Validity(valid) => self.on_validity(valid),
            effect::Effect::KeysFresh(fresh) => self.publish(|published| published.fresh = fresh),
            effect::Effect::RecordIgnored { offset, reason } => {
                ::log::warn!(offset = offset; "configuration record ignored: {reason}");
            }
            effect::Effect::ProposalDecided { proposal, outcome } => {
                if let Some(reply) = self.proposals.remove(&proposal) {
                    drop(reply.send(outcome));
                }
            }
            effect::Effect::Explain { request, step } => {
                if ::log::log_enabled!(::log::Level::Debug) {
                    let text = explain::describe(&step);
                    ::log::debug!(request = ids::request_text(request); "{text}");
                }
                self.handle.explanations().push(request, step, now);
            }
            effect::Effect::RequestClosed { request, summary } => {
                self.requests.remove(&request);
                journal::record(request, &summary);
            }
            effect::Effect::HandedOver => ::log::info!("all rights handed over"),
            effect::Effect::LeaveFinished => self.publish(|published| published.has_left = true),
        }
    }

    fn on_applied(&mut self, snapshot: configuration::SharedSnapshot) {
        ::log::info!(version = snapshot.version; "configuration document in force");
        self.publish(|published| published.snapshot = Some(snapshot));
    }

    fn on_validity(&mut self, valid: bool) {
        let was_valid = self.published.borrow().valid;
        if was_valid != valid {
            ::log::info!(valid = valid; "lease validity changed");
            self.publish(|published| published.valid = valid);
        }
    }

    fn publish<C: FnOnce(&mut handle::Published)>(&self, change: C) {
        self.published.send_modify(change);
    }

    fn append(&self, stream: log::Stream, token: ids::AppendToken, body: Bytes) {
        let log = sync::Arc::clone(&self.borders.log);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let outcome = log.append(stream, body).await;
            handle.event(event::Event::Appended { stream, token, outcome }).await;
        });
    }

    fn send_command(&self, request: ids::RequestId, command: request::Command) {
        if let Some(commands) = self.requests.get(&request) {
            drop(commands.send(command));
        }
    }

    fn cancel(&self, request: ids::RequestId, address: net::SocketAddr) {
        let Ok(permit) = sync::Arc::clone(&self.cancel_permits).try_acquire_owned() else { return };
        let engines = sync::Arc::clone(&self.borders.engines);
        tokio::spawn(async move {
            for _ in 0..CANCEL_ATTEMPTS {
                match engines.cancel(address, request).await {
                    Ok(()) => break,
                    Err(failure) => ::log::debug!("{failure}"),
                }
                tokio_time::sleep(CANCEL_PAUSE).await;
            }
            drop(permit);
        });
    }
}
