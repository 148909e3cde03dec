//! Access to the reducer's task from other tasks: its input queue and the state that it publishes.

use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::future;
use tokio::sync as tokio_sync;

use crate::borders::peers;
use crate::core::configuration;
use crate::core::event;
use crate::core::ids;
use crate::core::membership;
use crate::core::message;
use crate::core::request;
use crate::core::state;
use crate::shell::explain;

/// The capacity of the queue of inputs to the reducer; senders wait while it is full.
pub const INPUT_QUEUE_CAPACITY: usize = 16_384;

/// The receiver of the commands that the reducer sends for one request.
pub type Commands = tokio_sync::mpsc::UnboundedReceiver<request::Command>;

/// A read-only query that the reducer's task runs on its state.
pub type Query = Box<dyn FnOnce(&state::State) + Send>;

/// An input to the reducer's task.
pub enum Input {
    /// An event for the reducer.
    Event(event::Event),
    /// A new request, whose task waits for commands.
    Open {
        /// The id of the request.
        request: ids::RequestId,
        /// What is known of the request on arrival.
        arrival: request::Arrival,
        /// The channel on which the reducer's commands for the request are sent.
        commands: tokio_sync::mpsc::UnboundedSender<request::Command>,
    },
    /// A configuration document that an operator proposes.
    Propose {
        /// The document and the version that it replaces.
        proposal: configuration::Proposal,
        /// The channel on which the outcome is sent.
        reply: tokio_sync::oneshot::Sender<configuration::ProposalOutcome>,
    },
    /// A read-only query of the state.
    Query(Query),
}

/// The part of the state that the reducer publishes to other tasks.
#[derive(Debug, Clone, Default)]
pub struct Published {
    /// The members of the fleet, as this instance knows them.
    pub view: membership::SharedView,
    /// The configuration document in force; `None` until the first one is known.
    pub snapshot: Option<configuration::SharedSnapshot>,
    /// Whether this instance holds a valid lease.
    pub valid: bool,
    /// Whether the known keys are recent enough to accept requests.
    pub fresh: bool,
    /// Whether this instance is shutting down gracefully.
    pub leaving: bool,
    /// The number of requests that have not ended.
    pub live_requests: usize,
    /// Whether the process may stop: the leave record of this instance is in the log, or waiting
    /// for it has timed out.
    pub has_left: bool,
}

/// A cloneable handle to the reducer's task.
#[derive(Clone)]
pub struct Handle {
    inputs: tokio_sync::mpsc::Sender<Input>,
    published: tokio_sync::watch::Receiver<Published>,
    explanations: sync::Arc<explain::Explanations>,
    incarnation: ids::Incarnation,
    next_request_id: sync::Arc<atomic::AtomicU64>,
    started: time::Instant,
}

impl Handle {
    /// Creates a handle to the task that receives from the other end of `inputs`.
    pub fn new(
        inputs: tokio_sync::mpsc::Sender<Input>,
        published: tokio_sync::watch::Receiver<Published>,
        explanations: sync::Arc<explain::Explanations>,
        incarnation: ids::Incarnation,
        started: time::Instant,
    ) -> Self {
        let next_request_id = sync::Arc::new(atomic::AtomicU64::new(1));
        Self { inputs, published, explanations, incarnation, next_request_id, started }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> ids::Timestamp {
        self.started.elapsed()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> ids::Incarnation {
        self.incarnation
    }

    /// Returns a new request id, unique within the fleet.
    pub fn next_request_id(&self) -> ids::RequestId {
        let sequence = self.next_request_id.fetch_add(1, atomic::Ordering::Relaxed);
        ids::request_id(self.incarnation, sequence)
    }

    /// Returns the most recently published part of the state.
    pub fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// Returns a receiver that is notified when the published part of the state changes.
    pub fn watch(&self) -> tokio_sync::watch::Receiver<Published> {
        self.published.clone()
    }

    /// Returns the buffer of decisions on recent requests.
    pub fn explanations(&self) -> &explain::Explanations {
        &self.explanations
    }

    /// Sends an event to the reducer; waits while its queue is full.
    pub async fn event(&self, event: event::Event) {
        self.send_input(Input::Event(event)).await;
    }

    /// Sends an event of a request to the reducer; waits while its queue is full.
    pub async fn request_event(&self, event: request::Event) {
        self.event(event::Event::Request(event)).await;
    }

    /// Registers a request and returns the receiver of its commands.
    pub async fn open(&self, request: ids::RequestId, arrival: request::Arrival) -> Commands {
        let (commands, receiver) = tokio_sync::mpsc::unbounded_channel();
        self.send_input(Input::Open { request, arrival, commands }).await;
        receiver
    }

    /// Proposes a configuration document and waits for the outcome.
    pub async fn propose(
        &self,
        proposal: configuration::Proposal,
    ) -> configuration::ProposalOutcome {
        let (reply, receiver) = tokio_sync::oneshot::channel();
        self.send_input(Input::Propose { proposal, reply }).await;
        receiver.await.unwrap_or(configuration::ProposalOutcome::Unknown)
    }

    /// Runs a query on the state and returns its result; `None` if the reducer's task has ended.
    pub async fn query<A, Q>(&self, query: Q) -> Option<A>
    where
        A: Send + 'static,
        Q: FnOnce(&state::State) -> A + Send + 'static,
    {
        let (result, receiver) = tokio_sync::oneshot::channel();
        let boxed: Query = Box::new(move |state| drop(result.send(query(state))));
        self.send_input(Input::Query(boxed)).await;
        receiver.await.ok()
    }

    async fn send_input(&self, input: Input) {
        if self.inputs.send(input).await.is_err() {
            log::debug!("the reducer's task has ended");
        }
    }
}

impl peers::Receiver for Handle {
    fn receive(
        &self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        message: message::Message,
    ) -> future::BoxFuture<'_, ()> {
        Box::pin(self.event(event::Event::Received { from, incarnation, message }))
    }
}
