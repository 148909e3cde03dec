//! Grants slots and engine memory of backend servers, one scheduling instance for each server.

use std::collections::VecDeque;
use std::time;

use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::configuration;
use crate::core::ids;
use crate::core::membership;
use crate::core::reducer;
use crate::document;

mod assignment;
mod client;
pub mod constants;
mod health;
mod limit;
pub mod message;
mod outbox;
mod queue;
mod server;
mod timers;

pub use message::Message;

/// The part of a language request that a place is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Filling the KV cache.
    Prefill,
    /// Generating tokens.
    Decode,
}

/// What a request needs of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The request.
    pub request: ids::RequestId,
    /// The phase.
    pub phase: Phase,
    /// The workspace that waits.
    pub workspace: ids::WorkspaceId,
    /// The work, in tokens.
    pub work_tokens: u32,
    /// Pieces of engine memory.
    pub memory_pieces: u32,
    /// How long the request has waited since its arrival, in milliseconds.
    pub age_ms: u32,
    /// Milliseconds from now within which the first token is due; negative when late.
    pub slack_ms: i32,
    /// The first blocks of the prompt's chain of hashes, for prefix affinity.
    pub prefix: Vec<ids::BlockHash>,
    /// The part of the work that the first candidate saves, since its cache is believed to hold
    /// it, in tokens.
    pub cached_tokens: u32,
}

/// How places are given.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discipline {
    /// Servers grant places, fairly over workspaces, and a request takes the first grant.
    #[default]
    Fair,
    /// As [`Discipline::Fair`], but a request waits for a server that holds its prefix for this
    /// share of the time that the cached part would take, before it asks another server.
    Delayed {
        /// The share.
        share: f64,
    },
    /// Each request has a place on its first candidate at once. A baseline to compare with.
    Direct,
}

/// What a running request shows of its server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The server.
    pub server: ids::ServerId,
    /// The phase.
    pub phase: Phase,
    /// Tokens that were processed: prompt tokens not found in the cache, or tokens generated.
    pub tokens: u32,
    /// The time they took, in milliseconds.
    pub elapsed_ms: u32,
    /// Requests on the server at the time as far as this instance knows, this one included.
    pub failed: bool,
}

/// A server's load as it reports it, with a lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server.
    pub server: ids::ServerId,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub queued: u32,
    /// Pieces of memory that are free.
    pub free_pieces: u32,
    /// The age of the measurement, in milliseconds.
    pub age_ms: u32,
}

/// A request that a server holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The request.
    pub request: ids::RequestId,
    /// Pieces of memory that it holds.
    pub pieces: u32,
    /// How long the server has held it, in milliseconds.
    pub age_ms: u32,
}

/// What the scheduler reducer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
    /// This instance may act as a scheduler, or no longer.
    Validity {
        /// Whether it may.
        valid: bool,
    },
    /// A document is in force.
    Applied(configuration::SharedSnapshot),
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The sending process.
        incarnation: ids::Incarnation,
        /// What it says.
        message: Message,
    },
    /// A request of this instance asks for a place on one of several servers.
    Place {
        /// What it needs.
        demand: Demand,
        /// The candidates, best first.
        candidates: Vec<ids::ServerId>,
    },
    /// A request of this instance gives up its place or its wait for one.
    Release {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: Phase,
    },
    /// A request of this instance has made progress on a server.
    Observed(Observation),
    /// A server reported its load.
    Loaded(Load),
    /// A server listed the requests that it holds.
    Listed {
        /// The server.
        server: ids::ServerId,
        /// The requests.
        held: Vec<Held>,
    },
}

/// What the scheduler reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The member's name.
        to: ids::InstanceId,
        /// What to say.
        message: Message,
    },
    /// The request has a place.
    Placed {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: Phase,
        /// The server.
        server: ids::ServerId,
        /// How long it waited, in milliseconds.
        waited_ms: u32,
    },
    /// The request cannot have a place on any candidate.
    Unplaced {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: Phase,
        /// Why.
        reason: Unplaced,
    },
    /// Cancel a request on a server, since nobody awaits it.
    Cancel {
        /// The server.
        server: ids::ServerId,
        /// The request.
        request: ids::RequestId,
    },
    /// Watch these servers: poll their load, their held requests and their cache events.
    Watch {
        /// The servers that this instance schedules.
        servers: Vec<ids::ServerId>,
    },
}

/// Why a request has no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Unplaced {
    /// No candidate is in service.
    NoServer,
    /// The queue of every candidate is full.
    QueueFull,
    /// The request waited as long as it may.
    WaitedTooLong,
    /// The place was lost before it was used.
    Lost,
}

/// What the scheduling instance counts for one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Places that are granted or registered.
    pub places: u32,
    /// Pieces of memory that these places hold.
    pub memory_pieces: u32,
    /// How many decodes may run at once.
    pub decode_limit: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// An owned server and the number of its sweeps' timer.
#[derive(Debug)]
struct Owned {
    server: server::Server,
    generation: u64,
}

/// The places that this instance grants and those it asks for.
#[derive(Debug)]
pub struct Scheduler {
    own: ids::InstanceId,
    incarnation: ids::Incarnation,
    valid: bool,
    assignment: assignment::Assignment,
    capacities: collections::Map<ids::ServerId, server::Capacity>,
    in_service: collections::Set<ids::ServerId>,
    weights: collections::Map<ids::WorkspaceId, u32>,
    owned: collections::Map<ids::ServerId, Owned>,
    client: client::Client,
    sweeps: timers::Timers<(ids::ServerId, u64)>,
    generation: u64,
    local: VecDeque<Message>,
}

impl Scheduler {
    /// Creates the state of an instance that schedules no server.
    pub fn new(own: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self {
            own,
            incarnation,
            valid: false,
            assignment: assignment::Assignment::default(),
            capacities: collections::Map::default(),
            in_service: collections::Set::default(),
            weights: collections::Map::default(),
            owned: collections::Map::default(),
            client: client::Client::default(),
            sweeps: timers::Timers::default(),
            generation: 0,
            local: VecDeque::new(),
        }
    }

    /// Creates the state of an instance that gives places by a discipline.
    pub fn with_discipline(
        own: ids::InstanceId,
        incarnation: ids::Incarnation,
        discipline: Discipline,
    ) -> Self {
        let mut scheduler = Self::new(own, incarnation);
        scheduler.client = client::Client::new(discipline);
        scheduler
    }

    /// Returns what is counted for a server, if this instance schedules it.
    pub fn usage(&self, server: &ids::ServerId) -> Option<Usage> {
        self.owned.get(server).map(|owned| owned.server.usage())
    }

    /// Returns how many places this instance's requests hold or wait for.
    pub fn subjects(&self) -> usize {
        self.client.len()
    }

    fn client(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(&mut client::Client, &client::Context<'_>, &mut outbox::Outbox<'_>),
    ) {
        let context =
            client::Context { assignment: &self.assignment, in_service: &self.in_service, now };
        let mut out = outbox::Outbox { own: &self.own, local: &mut self.local, effects };
        act(&mut self.client, &context, &mut out);
    }

    fn server(
        &mut self,
        id: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
        act: impl FnOnce(&mut server::Server, &assignment::Assignment, &mut outbox::Outbox<'_>),
    ) -> bool {
        let Some(owned) = self.owned.get_mut(id) else { return false };
        let mut out = outbox::Outbox { own: &self.own, local: &mut self.local, effects };
        act(&mut owned.server, &self.assignment, &mut out);
        if self.valid {
            owned.server.grant(now, &mut out);
        }
        true
    }

    fn viewed(&mut self, view: &membership::View, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let change = self.assignment.update_view(view);
        self.free_places_of(&change.gone, now, effects);
        self.follow(&change.moved, now, effects);
    }

    fn applied(
        &mut self,
        snapshot: &configuration::Snapshot,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let document = &snapshot.document;
        let workspaces = document.workspaces.iter();
        self.weights =
            workspaces.map(|workspace| (workspace.id.clone(), workspace.weight)).collect();
        let engines = document.servers.iter().filter(|s| s.kind == document::Kind::Engine);
        self.capacities = engines.map(|engine| (engine.id.clone(), capacity(engine))).collect();
        let mut servers: Vec<_> = self.capacities.keys().cloned().collect();
        servers.sort_unstable();
        let added = self.assignment.update_servers(&servers);
        let former = std::mem::take(&mut self.in_service);
        let serving = servers.into_iter().filter(|id| self.capacities[id].in_service);
        self.in_service = serving.collect();
        let mut stopped: Vec<_> = former.difference(&self.in_service).cloned().collect();
        stopped.sort_unstable();
        self.configure_owned(now, effects);
        self.follow(&added, now, effects);
        self.client(now, effects, |client, context, out| {
            client.withdraw_from(&stopped, context, out);
        });
    }

    fn configure_owned(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let before = self.owned.len();
        self.owned.retain(|id, _| self.capacities.contains_key(id));
        let mut owned: Vec<_> = self.owned.keys().cloned().collect();
        owned.sort_unstable();
        for id in owned {
            let capacity = self.capacities[&id];
            self.server(&id, now, effects, |server, _, out| server.configure(capacity, out));
        }
        if self.owned.len() < before {
            self.watch(effects);
        }
    }

    /// Takes up or gives up the scheduling of servers, and tells new schedulers what is held.
    fn follow(&mut self, moved: &[ids::ServerId], now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let mut changed = false;
        for id in moved {
            let is_owner = self.assignment.owner(id) == Some(&self.own);
            if is_owner && !self.owned.contains_key(id) {
                self.take_up(id, now);
                changed = true;
            }
            if !is_owner {
                changed |= self.owned.remove(id).is_some();
            }
        }
        if changed {
            self.watch(effects);
        }
        self.client(now, effects, |client, context, out| client.moved(moved, context, out));
    }

    fn take_up(&mut self, id: &ids::ServerId, now: ids::Timestamp) {
        let Some(capacity) = self.capacities.get(id).copied() else { return };
        let alone = self.assignment.members() <= 1;
        let grace = if alone { time::Duration::ZERO } else { constants::HANDOVER_GRACE };
        let server = server::Server::new(id.clone(), capacity, now + grace, now);
        self.generation += 1;
        let generation = self.generation;
        self.sweeps.add(server.ready_at(), (id.clone(), generation));
        self.owned.insert(id.clone(), Owned { server, generation });
    }

    fn free_places_of(
        &mut self,
        gone: &[ids::Incarnation],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if gone.is_empty() {
            return;
        }
        let mut owned: Vec<_> = self.owned.keys().cloned().collect();
        owned.sort_unstable();
        for id in owned {
            self.server(&id, now, effects, |server, _, _| {
                gone.iter().for_each(|incarnation| server.client_gone(*incarnation, now));
            });
        }
    }

    fn watch(&self, effects: &mut Vec<Effect>) {
        let mut servers: Vec<_> = self.owned.keys().cloned().collect();
        servers.sort_unstable();
        effects.push(Effect::Watch { servers });
    }

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for _ in 0..constants::TIMERS_PER_TICK {
            let Some((id, generation)) = self.sweeps.pop_due(now) else { break };
            if self.owned.get(&id).is_none_or(|owned| owned.generation != generation) {
                continue;
            }
            self.server(&id, now, effects, |server, _, out| server.sweep(now, out));
            self.sweeps.add(now + constants::SWEEP_INTERVAL, (id, generation));
        }
        self.client(now, effects, |client, context, out| client.tick(context, out));
    }

    fn receive(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        message: Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Ask(ask) => self.asked(ask, from, incarnation, now, effects),
            Message::Release { server, ticket, report } => {
                self.server(&server, now, effects, |server, _, out| {
                    server.release((incarnation, ticket), report, now, out);
                });
            }
            Message::Report { server, decode, report } => {
                self.server(&server, now, effects, |server, _, out| {
                    server.report(decode, report, now, out);
                });
            }
            Message::Hold { server, places } => {
                self.held(server, places, from, incarnation, now, effects);
            }
            Message::Unheld { server, sequence, live } => {
                self.server(&server, now, effects, |server, _, out| {
                    server.unheld(incarnation, sequence, live, now, out);
                });
            }
            answer => self.answered(from, answer, now, effects),
        }
    }

    fn answered(
        &mut self,
        from: &ids::InstanceId,
        answer: Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let own = self.incarnation;
        self.client(now, effects, |client, context, out| match answer {
            Message::Grant { server, incarnation, ticket } if incarnation == own => {
                client.granted(from, server, ticket, context, out);
            }
            Message::Queued { server, incarnation, ticket, wait_ms } if incarnation == own => {
                client.queued(server, ticket, wait_ms, context, out);
            }
            Message::Refuse { incarnation, ticket, refusal, .. } if incarnation == own => {
                client.refused(ticket, refusal, context, out);
            }
            Message::Check { incarnation, server, sequences } if incarnation == own => {
                let requests = sequences.iter().map(|&s| ids::request_id(own, s));
                let requests: Vec<_> = requests.collect();
                client.checked(from, server, &requests, out);
            }
            Message::Kept { server } => client.kept(&server),
            _ => {}
        });
    }

    fn asked(
        &mut self,
        ask: message::Ask,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let id = ask.server.clone();
        let (key, decode) = ((incarnation, ask.ticket), ask.decode);
        let workspace = ask.workspace.clone();
        let weight = self.weights.get(&workspace).copied().unwrap_or(1);
        let terms = server::Terms { weight, may_grant: self.valid };
        let known = self.server(&id, now, effects, |server, _, out| {
            server.ask(ask, from, incarnation, terms, now, out);
        });
        let mut out = outbox::Outbox { own: &self.own, local: &mut self.local, effects };
        let Some(owned) = self.owned.get(&id).filter(|_| known) else {
            let (incarnation, ticket) = key;
            let refusal = message::Refusal::Moved;
            out.send(from, Message::Refuse { server: id, incarnation, ticket, refusal });
            return;
        };
        owned.server.answer_queued(key, decode, &workspace, from, now, &mut out);
    }

    fn held(
        &mut self,
        id: ids::ServerId,
        places: Vec<message::Registration>,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        self.server(&id, now, effects, |server, _, out| {
            server.hold(from, incarnation, places, now);
            out.send(from, Message::Kept { server: id.clone() });
        });
    }

    fn deliver_local(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let own = self.own.clone();
        while let Some(message) = self.local.pop_front() {
            self.receive(&own, self.incarnation, message, now, effects);
        }
    }
}

impl reducer::Reducer for Scheduler {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Viewed(view) => self.viewed(&view, now, effects),
            Event::Validity { valid } => self.valid = valid,
            Event::Applied(snapshot) => self.applied(&snapshot, now, effects),
            Event::Received { from, incarnation, message } => {
                self.receive(&from, incarnation, message, now, effects);
            }
            Event::Place { demand, candidates } => {
                self.client(now, effects, |client, context, out| {
                    client.place(demand, candidates, context, out);
                });
            }
            Event::Release { request, phase } => {
                self.client(now, effects, |client, context, out| {
                    client.release((request, phase), context, out);
                });
            }
            Event::Observed(observation) => self.client.observed(&observation),
            Event::Loaded(load) => {
                let id = load.server.clone();
                self.server(&id, now, effects, |server, _, _| server.loaded(&load, now));
            }
            Event::Listed { server, held } => {
                self.server(&server, now, effects, |server, assignment, out| {
                    server.listed(&held, assignment, now, out);
                });
            }
        }
        self.deliver_local(now, effects);
    }
}

fn capacity(engine: &document::Server) -> server::Capacity {
    server::Capacity {
        slots: engine.slots,
        memory_pieces: engine.memory_pieces,
        in_service: !engine.leaving,
    }
}
