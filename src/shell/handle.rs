//! The way from tasks to the reducer, and what the reducer has published.

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

/// Inputs that wait for the reducer.
pub const INPUT_QUEUE: usize = 16_384;

/// The commands for one request.
pub type Commands = tokio_sync::mpsc::UnboundedReceiver<request::Command>;

/// A question to the state.
pub type Query = Box<dyn FnOnce(&state::State) + Send>;

/// What the reducer's task takes.
pub enum Input {
    /// An event for the reducer.
    Event(event::Event),
    /// A request whose task waits for commands.
    Open {
        /// The request.
        request: ids::RequestId,
        /// What came.
        arrival: request::Arrival,
        /// Where its commands go.
        commands: tokio_sync::mpsc::UnboundedSender<request::Command>,
    },
    /// A document that an operator proposes.
    Propose {
        /// The proposal.
        proposal: configuration::Proposal,
        /// Where the verdict goes.
        verdict: tokio_sync::oneshot::Sender<configuration::ProposalOutcome>,
    },
    /// A question to the state.
    Query(Query),
}

/// What the reducer has published last.
#[derive(Debug, Clone, Default)]
pub struct Published {
    /// The members.
    pub view: membership::SharedView,
    /// The document in force.
    pub snapshot: Option<configuration::SharedSnapshot>,
    /// Whether this instance holds a valid lease.
    pub valid: bool,
    /// Whether the keys are recent enough to accept requests with.
    pub fresh: bool,
    /// Whether this instance is leaving.
    pub leaving: bool,
    /// Requests that have not ended.
    pub live_requests: usize,
    /// Whether the instance's leave is on record.
    pub left: bool,
}

/// Shared access to the reducer's task.
#[derive(Clone)]
pub struct Handle {
    inputs: tokio_sync::mpsc::Sender<Input>,
    published: tokio_sync::watch::Receiver<Published>,
    explanations: sync::Arc<explain::Explanations>,
    incarnation: ids::Incarnation,
    next_request: sync::Arc<atomic::AtomicU64>,
    started: time::Instant,
}

impl Handle {
    /// Creates a handle to the task that takes from the other end of `inputs`.
    pub fn new(
        inputs: tokio_sync::mpsc::Sender<Input>,
        published: tokio_sync::watch::Receiver<Published>,
        explanations: sync::Arc<explain::Explanations>,
        incarnation: ids::Incarnation,
        started: time::Instant,
    ) -> Self {
        let next_request = sync::Arc::new(atomic::AtomicU64::new(1));
        Self { inputs, published, explanations, incarnation, next_request, started }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> ids::Timestamp {
        self.started.elapsed()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> ids::Incarnation {
        self.incarnation
    }

    /// Draws a new request id.
    pub fn next_request(&self) -> ids::RequestId {
        let sequence = self.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        ids::request_id(self.incarnation, sequence)
    }

    /// Returns what the reducer has published last.
    pub fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// Returns a receiver of what the reducer publishes.
    pub fn watch(&self) -> tokio_sync::watch::Receiver<Published> {
        self.published.clone()
    }

    /// Returns the kept decisions.
    pub fn explanations(&self) -> &explain::Explanations {
        &self.explanations
    }

    /// Hands an event to the reducer; waits while its queue is full.
    pub async fn event(&self, event: event::Event) {
        self.input(Input::Event(event)).await;
    }

    /// Hands an event of a request to the reducer.
    pub async fn request_event(&self, event: request::Event) {
        self.event(event::Event::Request(event)).await;
    }

    /// Registers a request and returns its commands.
    pub async fn open(&self, request: ids::RequestId, arrival: request::Arrival) -> Commands {
        let (commands, receiver) = tokio_sync::mpsc::unbounded_channel();
        self.input(Input::Open { request, arrival, commands }).await;
        receiver
    }

    /// Proposes a document and waits for the verdict.
    pub async fn propose(
        &self,
        proposal: configuration::Proposal,
    ) -> configuration::ProposalOutcome {
        let (verdict, receiver) = tokio_sync::oneshot::channel();
        self.input(Input::Propose { proposal, verdict }).await;
        receiver.await.unwrap_or(configuration::ProposalOutcome::Unknown)
    }

    /// Asks the state a question; `None` if the reducer's task has ended.
    pub async fn query<A, Q>(&self, question: Q) -> Option<A>
    where
        A: Send + 'static,
        Q: FnOnce(&state::State) -> A + Send + 'static,
    {
        let (answer, receiver) = tokio_sync::oneshot::channel();
        let query: Query = Box::new(move |state| drop(answer.send(question(state))));
        self.input(Input::Query(query)).await;
        receiver.await.ok()
    }

    async fn input(&self, input: Input) {
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
