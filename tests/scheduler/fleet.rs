//! Several scheduler reducers, connected by a queue that delays, loses and repeats messages.

use std::fmt::Write;
use std::net;
use std::sync;
use std::time;

use galenayard::core::collections;
use galenayard::core::configuration;
use galenayard::core::ids;
use galenayard::core::membership;
use galenayard::core::reducer::Reducer;
use galenayard::core::scheduler;
use galenayard::document;

/// One process of an instance.
pub struct Node {
    pub incarnation: ids::Incarnation,
    pub scheduler: scheduler::Scheduler,
}

/// A message in transit.
struct Delivery {
    at_ms: u64,
    order: u64,
    from: ids::InstanceId,
    incarnation: ids::Incarnation,
    to: ids::InstanceId,
    message: scheduler::Message,
}

/// Returns the delays in milliseconds of a message's copies; none if it is lost.
pub type Transport = Box<dyn FnMut() -> Vec<u64>>;

pub struct Fleet {
    pub now_ms: u64,
    pub nodes: collections::Map<ids::InstanceId, Node>,
    pub outcomes: Vec<(ids::InstanceId, scheduler::Effect)>,
    pub trace: String,
    snapshot: configuration::SharedSnapshot,
    deliveries: Vec<Delivery>,
    order: u64,
    transport: Transport,
    quiet: bool,
}

/// Returns a server of the document.
pub fn server(id: &str, role: document::Role, slots: u32, pieces: u32) -> document::Server {
    document::Server {
        id: ids::ServerId::copy_from_slice(id.as_bytes()),
        kind: document::Kind::Engine,
        role,
        failure_domain: "d".into(),
        models: vec!["m".into()],
        slots,
        memory_pieces: pieces,
        link_bytes_per_s: 1,
        checks_fencing: true,
        leaving: false,
        addresses: collections::Map::default(),
    }
}

/// Returns a workspace with a weight.
pub fn workspace(id: &str, weight: u32) -> document::Workspace {
    document::Workspace {
        id: ids::WorkspaceId::copy_from_slice(id.as_bytes()),
        rate_tokens_per_s: 1,
        burst_tokens: 1,
        weight,
        keys: Vec::new(),
    }
}

/// Returns a demand of 100 tokens and one piece.
pub fn demand(
    request: ids::RequestId,
    phase: scheduler::Phase,
    workspace: &str,
) -> scheduler::Demand {
    scheduler::Demand {
        request,
        phase,
        workspace: ids::WorkspaceId::copy_from_slice(workspace.as_bytes()),
        work_tokens: 100,
        memory_pieces: 1,
        age_ms: 0,
        slack_ms: 1_300,
        prefix: Vec::new(),
        cached_tokens: 0,
    }
}

impl Fleet {
    /// Creates a fleet whose members all have the same view.
    pub fn new(
        members: &[(&str, ids::Incarnation)],
        document: document::Document,
        transport: Transport,
    ) -> Self {
        let snapshot = sync::Arc::new(configuration::Snapshot::new(1, [0; 32], document));
        let mut fleet = Self {
            now_ms: 1_000,
            nodes: collections::Map::default(),
            outcomes: Vec::new(),
            trace: String::new(),
            snapshot,
            deliveries: Vec::new(),
            order: 0,
            transport,
            quiet: false,
        };
        for (id, incarnation) in members {
            fleet.start(id, *incarnation);
        }
        fleet.view(members);
        fleet
    }

    /// Replaces the transport for further messages.
    pub fn transport(&mut self, transport: Transport) {
        self.transport = transport;
    }

    /// Stops tracing.
    pub fn quiet(&mut self) {
        self.quiet = true;
        self.trace.clear();
    }

    /// Starts a process.
    pub fn start(&mut self, id: &str, incarnation: ids::Incarnation) {
        let id = ids::InstanceId::copy_from_slice(id.as_bytes());
        let scheduler = scheduler::Scheduler::new(id.clone(), incarnation);
        self.nodes.insert(id.clone(), Node { incarnation, scheduler });
        let snapshot = sync::Arc::clone(&self.snapshot);
        self.apply(&id, scheduler::Event::Applied(snapshot));
        self.apply(&id, scheduler::Event::Validity { valid: true });
    }

    /// Stops a process without notice to the others.
    pub fn kill(&mut self, id: &str) {
        self.nodes.remove(id.as_bytes());
    }

    /// Applies a document at all processes.
    pub fn document(&mut self, document: document::Document) {
        self.snapshot = sync::Arc::new(configuration::Snapshot::new(2, [0; 32], document));
        for id in self.names() {
            let snapshot = sync::Arc::clone(&self.snapshot);
            self.apply(&id, scheduler::Event::Applied(snapshot));
        }
    }

    /// Gives every process a view of these members.
    pub fn view(&mut self, members: &[(&str, ids::Incarnation)]) {
        for id in self.names() {
            self.view_of(&id, members);
        }
    }

    /// Gives one process a view of these members.
    pub fn view_of(&mut self, id: &ids::InstanceId, members: &[(&str, ids::Incarnation)]) {
        let members = members.iter().map(|(id, incarnation)| member(id, *incarnation)).collect();
        let view = sync::Arc::new(membership::View { version: self.now_ms, members });
        self.apply(id, scheduler::Event::Viewed(view));
    }

    /// Returns the instance that owns a server.
    pub fn owner(&self, server: &str) -> ids::InstanceId {
        let owns = |id: &&ids::InstanceId| self.nodes[*id].scheduler.usage(&key(server)).is_some();
        self.names().iter().find(owns).expect("no owner").clone()
    }

    /// Returns what the owner counts for a server.
    pub fn usage(&self, server: &str) -> scheduler::Usage {
        self.nodes[&self.owner(server)].scheduler.usage(&key(server)).expect("usage")
    }

    /// Applies an event at a named process.
    pub fn event(&mut self, id: &str, event: scheduler::Event) {
        self.apply(&key(id), event);
    }

    /// Requests a reservation.
    pub fn place(&mut self, id: &str, demand: scheduler::Demand, candidates: &[&str]) {
        let candidates = candidates.iter().map(|server| key(server)).collect();
        self.event(id, scheduler::Event::Place { demand, candidates });
    }

    /// Releases a reservation.
    pub fn release(&mut self, id: &str, request: ids::RequestId, phase: scheduler::Phase) {
        self.event(id, scheduler::Event::Release { request, phase });
    }

    /// Delivers a message from a process, which may have stopped.
    pub fn deliver(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        to: &str,
        message: scheduler::Message,
    ) {
        let from = from.clone();
        self.event(to, scheduler::Event::Received { from, incarnation, message });
    }

    /// Lets time pass.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.deliver_due();
            if self.now_ms.is_multiple_of(50) {
                for id in self.names() {
                    self.apply(&id, scheduler::Event::Tick);
                }
            }
        }
    }

    /// Writes a line into the trace.
    pub fn note(&mut self, text: &str) {
        let _ = writeln!(self.trace, "-- {text}");
    }

    pub fn names(&self) -> Vec<ids::InstanceId> {
        let mut names: Vec<_> = self.nodes.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    fn deliver_due(&mut self) {
        loop {
            let due = self.deliveries.iter().enumerate().filter(|(_, p)| p.at_ms <= self.now_ms);
            let Some(next) = due.min_by_key(|(_, p)| (p.at_ms, p.order)).map(|(index, _)| index)
            else {
                return;
            };
            let Delivery { from, incarnation, to, message, .. } = self.deliveries.swap_remove(next);
            if self.nodes.contains_key(&to) {
                self.apply(&to, scheduler::Event::Received { from, incarnation, message });
            }
        }
    }

    pub fn apply(&mut self, id: &ids::InstanceId, event: scheduler::Event) {
        let now = time::Duration::from_millis(self.now_ms);
        let Some(node) = self.nodes.get_mut(id) else { return };
        let mut effects = Vec::new();
        node.scheduler.apply(event, now, &mut effects);
        let incarnation = node.incarnation;
        for effect in effects {
            self.trace_effect(id, &effect);
            match effect {
                scheduler::Effect::Send { to, message } => {
                    self.send(id, incarnation, to, message);
                }
                outcome => self.outcomes.push((id.clone(), outcome)),
            }
        }
    }

    fn send(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        to: ids::InstanceId,
        message: scheduler::Message,
    ) {
        for delay_ms in (self.transport)() {
            self.order += 1;
            self.deliveries.push(Delivery {
                at_ms: self.now_ms + delay_ms,
                order: self.order,
                from: from.clone(),
                incarnation,
                to: to.clone(),
                message: message.clone(),
            });
        }
    }

    fn trace_effect(&mut self, id: &ids::InstanceId, effect: &scheduler::Effect) {
        if self.quiet {
            return;
        }
        let id = String::from_utf8_lossy(id);
        let line = match effect {
            scheduler::Effect::Send { to, message } => {
                format!("{id} to {}: {message:?}", String::from_utf8_lossy(to))
            }
            other => format!("{id}: {other:?}"),
        };
        let _ = writeln!(self.trace, "{:>6} {line}", self.now_ms);
    }
}

/// Returns a name as an id.
pub fn key(name: &str) -> ids::ServerId {
    ids::ServerId::copy_from_slice(name.as_bytes())
}

fn member(id: &str, incarnation: ids::Incarnation) -> membership::Member {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    membership::Member {
        id: key(id),
        incarnation,
        failure_domain: "d".into(),
        weight: 1,
        peer_address: address,
        caller_address: address,
        leaving: false,
        joined: 1,
    }
}
