//! The scheduler reducer of one instance: the servers that it owns, and the reservations that it
//! requests as a client.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::configuration;
use crate::core::ids;
use crate::core::membership;
use crate::core::reducer;
use crate::core::scheduler;
use crate::core::scheduler::assignment;
use crate::core::scheduler::client;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;
use crate::core::scheduler::queue;
use crate::core::scheduler::server;
use crate::core::scheduler::timers;
use crate::document;

/// A server that this instance owns. The generation distinguishes its sweep timer from timers of
/// earlier ownerships of the same server.
#[derive(Debug)]
struct OwnedServer {
    server: server::Server,
    generation: u64,
}

/// The reservations that this instance grants and those that it requests.
#[derive(Debug)]
pub struct Scheduler {
    own: ids::InstanceId,
    incarnation: ids::Incarnation,
    lease_valid: bool,
    assignment: assignment::Assignment,
    capacities: collections::Map<ids::ServerId, server::Capacity>,
    in_service: collections::Set<ids::ServerId>,
    weights: collections::Map<ids::WorkspaceId, u32>,
    owned: collections::Map<ids::ServerId, OwnedServer>,
    client: client::Client,
    sweep_timers: timers::Timers<(ids::ServerId, u64)>,
    generation: u64,
    messages: VecDeque<scheduler::Message>,
}

impl Scheduler {
    /// Creates the state of an instance that owns no server yet and grants fairly.
    pub fn new(own: ids::InstanceId, incarnation: ids::Incarnation) -> Self {
        Self {
            own,
            incarnation,
            lease_valid: false,
            assignment: assignment::Assignment::default(),
            capacities: collections::Map::default(),
            in_service: collections::Set::default(),
            weights: collections::Map::default(),
            owned: collections::Map::default(),
            client: client::Client::default(),
            sweep_timers: timers::Timers::default(),
            generation: 0,
            messages: VecDeque::new(),
        }
    }

    /// Creates the state of an instance with a discipline.
    pub fn with_discipline(
        own: ids::InstanceId,
        incarnation: ids::Incarnation,
        discipline: scheduler::Discipline,
    ) -> Self {
        let mut scheduler = Self::new(own, incarnation);
        scheduler.client = client::Client::new(discipline);
        scheduler
    }

    /// Returns what is counted for a server, if this instance owns it.
    pub fn usage(&self, server: &ids::ServerId) -> Option<scheduler::Usage> {
        self.owned.get(server).map(|owned| owned.server.usage())
    }

    /// Returns how many reservations this instance's requests hold or wait for.
    pub fn open_reservations(&self) -> usize {
        self.client.len()
    }

    fn with_client(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
        act: impl FnOnce(&mut client::Client, &client::Context<'_>, &mut outbox::Outbox<'_>),
    ) {
        let context =
            client::Context { assignment: &self.assignment, in_service: &self.in_service, now };
        let mut out = outbox::Outbox { own: &self.own, messages: &mut self.messages, effects };
        act(&mut self.client, &context, &mut out);
    }

    fn with_server(
        &mut self,
        id: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
        act: impl FnOnce(&mut server::Server, &assignment::Assignment, &mut outbox::Outbox<'_>),
    ) -> bool {
        let Some(owned) = self.owned.get_mut(id) else { return false };
        let mut out = outbox::Outbox { own: &self.own, messages: &mut self.messages, effects };
        act(&mut owned.server, &self.assignment, &mut out);
        if self.lease_valid {
            owned.server.grant(now, &mut out);
        }
        true
    }

    fn on_view(
        &mut self,
        view: &membership::View,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let change = self.assignment.update_view(view);
        self.release_departed_clients(&change.departed, now, effects);
        self.update_owned(&change.reassigned, now, effects);
    }

    fn on_document(
        &mut self,
        snapshot: &configuration::Snapshot,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
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
        self.update_owned(&added, now, effects);
        self.with_client(now, effects, |client, context, out| {
            client.withdraw_from(&stopped, context, out);
        });
        self.client.retain_servers(|server| self.capacities.contains_key(server));
    }

    fn configure_owned(&mut self, now: ids::Timestamp, effects: &mut Vec<scheduler::Effect>) {
        let owned_before = self.owned.len();
        self.owned.retain(|id, _| self.capacities.contains_key(id));
        let mut owned: Vec<_> = self.owned.keys().cloned().collect();
        owned.sort_unstable();
        for id in owned {
            let capacity = self.capacities[&id];
            self.with_server(&id, now, effects, |server, _, out| server.configure(capacity, out));
        }
        if self.owned.len() < owned_before {
            self.watch(effects);
        }
    }

    /// Starts or stops owning servers, and registers held reservations with new owners.
    fn update_owned(
        &mut self,
        moved: &[ids::ServerId],
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let mut changed = false;
        for id in moved {
            let is_owner = self.assignment.owner(id) == Some(&self.own);
            if is_owner && !self.owned.contains_key(id) {
                self.add_owned(id, now);
                changed = true;
            }
            if !is_owner {
                changed |= self.owned.remove(id).is_some();
            }
        }
        if changed {
            self.watch(effects);
        }
        self.with_client(now, effects, |client, context, out| client.on_move(moved, context, out));
    }

    fn add_owned(&mut self, id: &ids::ServerId, now: ids::Timestamp) {
        let Some(capacity) = self.capacities.get(id).copied() else { return };
        let alone = self.assignment.members() <= 1;
        let grace = if alone { time::Duration::ZERO } else { constants::HANDOVER_GRACE };
        let server = server::Server::new(id.clone(), capacity, now + grace, now);
        self.generation += 1;
        let generation = self.generation;
        self.sweep_timers.add(server.ready_at(), (id.clone(), generation));
        self.owned.insert(id.clone(), OwnedServer { server, generation });
    }

    fn release_departed_clients(
        &mut self,
        departed: &[ids::Incarnation],
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        if departed.is_empty() {
            return;
        }
        let mut owned: Vec<_> = self.owned.keys().cloned().collect();
        owned.sort_unstable();
        for id in owned {
            self.with_server(&id, now, effects, |server, _, _| {
                departed.iter().for_each(|incarnation| server.release_client(*incarnation, now));
            });
        }
    }

    fn watch(&self, effects: &mut Vec<scheduler::Effect>) {
        let mut servers: Vec<_> = self.owned.keys().cloned().collect();
        servers.sort_unstable();
        effects.push(scheduler::Effect::Watch { servers });
    }

    fn on_tick(&mut self, now: ids::Timestamp, effects: &mut Vec<scheduler::Effect>) {
        for _ in 0..constants::MAX_TIMERS_PER_TICK {
            let Some((id, generation)) = self.sweep_timers.pop_due(now) else { break };
            if self.owned.get(&id).is_none_or(|owned| owned.generation != generation) {
                continue;
            }
            self.with_server(&id, now, effects, |server, _, out| server.sweep(now, out));
            self.sweep_timers.add(now + constants::SWEEP_INTERVAL, (id, generation));
        }
        self.with_client(now, effects, |client, context, out| client.tick(context, out));
    }

    fn on_message(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        message: scheduler::Message,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        match message {
            scheduler::Message::Reserve(req) => self.reserve(req, from, incarnation, now, effects),
            scheduler::Message::Release { server, ticket, report } => {
                self.with_server(&server, now, effects, |server, _, out| {
                    server.release((incarnation, ticket), report, now, out);
                });
            }
            scheduler::Message::Decline { ticket } => {
                self.on_decline((incarnation, ticket), now, effects);
            }
            scheduler::Message::Report { server, decode, report } => {
                self.with_server(&server, now, effects, |server, _, out| {
                    server.on_report(decode, report, now, out);
                });
            }
            scheduler::Message::Register { server, reservations } => {
                self.on_register(server, reservations, from, incarnation, now, effects);
            }
            scheduler::Message::NotHeld { server, sequence, live } => {
                self.with_server(&server, now, effects, |server, _, out| {
                    server.on_not_held(incarnation, sequence, live, now, out);
                });
            }
            answer => self.on_answer(from, answer, now, effects),
        }
    }

    /// Releases a reservation that its client does not know. The message has only a ticket, so all
    /// owned servers are searched for it.
    fn on_decline(
        &mut self,
        key: queue::Key,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let holder = self.owned.iter().find(|(_, owned)| owned.server.has_reservation(key));
        let Some(id) = holder.map(|(id, _)| id.clone()) else { return };
        self.with_server(&id, now, effects, |server, _, out| server.release(key, None, now, out));
    }

    fn on_answer(
        &mut self,
        from: &ids::InstanceId,
        answer: scheduler::Message,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let incarnation = self.incarnation;
        let own = message::addressee(incarnation);
        self.with_client(now, effects, |client, context, out| match answer {
            scheduler::Message::Grant { addressee, ticket } if addressee == own => {
                client.on_grant(from, ticket, context, out);
            }
            scheduler::Message::Queued { addressee, ticket, wait_ms } if addressee == own => {
                client.on_queued(ticket, wait_ms, context, out);
            }
            scheduler::Message::Refuse { addressee, ticket, refusal } if addressee == own => {
                client.on_refused(ticket, refusal, context, out);
            }
            scheduler::Message::Check { addressee, server, sequences } if addressee == own => {
                let requests = sequences.iter().map(|&s| ids::request_id(incarnation, s));
                let requests: Vec<_> = requests.collect();
                client.on_check(from, server, &requests, out);
            }
            scheduler::Message::Registered { server } => client.on_registered(&server),
            _ => {}
        });
    }

    fn reserve(
        &mut self,
        request: message::ReservationRequest,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let id = request.server.clone();
        let (key, decode) = ((incarnation, request.ticket), request.decode);
        let workspace = request.workspace.clone();
        let weight = self.weights.get(&workspace).copied().unwrap_or(1);
        let request_context = server::RequestContext { weight, may_grant: self.lease_valid };
        let known = self.with_server(&id, now, effects, |server, _, out| {
            server.on_request(request, from, incarnation, request_context, now, out);
        });
        let mut out = outbox::Outbox { own: &self.own, messages: &mut self.messages, effects };
        let Some(owned) = self.owned.get(&id).filter(|_| known) else {
            out.send(from, server::refuse_message(key, message::Refusal::Moved));
            return;
        };
        owned.server.answer_queued(key, decode, &workspace, from, now, &mut out);
    }

    fn on_register(
        &mut self,
        id: ids::ServerId,
        reservations: Vec<message::Registration>,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        self.with_server(&id, now, effects, |server, _, out| {
            server.on_register(from, incarnation, reservations, now);
            out.send(from, scheduler::Message::Registered { server: id.clone() });
        });
    }

    fn deliver_local(&mut self, now: ids::Timestamp, effects: &mut Vec<scheduler::Effect>) {
        let own = self.own.clone();
        while let Some(message) = self.messages.pop_front() {
            self.on_message(&own, self.incarnation, message, now, effects);
        }
    }
}

impl reducer::Reducer for Scheduler {
    type Event = scheduler::Event;
    type Effect = scheduler::Effect;

    fn apply(
        &mut self,
        event: scheduler::Event,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        match event {
            scheduler::Event::Tick => self.on_tick(now, effects),
            scheduler::Event::Viewed(view) => self.on_view(&view, now, effects),
            scheduler::Event::Validity { valid } => self.lease_valid = valid,
            scheduler::Event::Applied(snapshot) => self.on_document(&snapshot, now, effects),
            scheduler::Event::Received { from, incarnation, message } => {
                self.on_message(&from, incarnation, message, now, effects);
            }
            scheduler::Event::Place { demand, candidates } => {
                self.with_client(now, effects, |client, context, out| {
                    client.place(demand, candidates, context, out);
                });
            }
            scheduler::Event::Release { request, phase } => {
                self.with_client(now, effects, |client, context, out| {
                    client.release((request, phase), context, out);
                });
            }
            scheduler::Event::Observed(observation) => self.client.on_observation(&observation),
            scheduler::Event::LoadReported(load) => {
                let id = load.server.clone();
                self.with_server(&id, now, effects, |server, _, _| server.on_load(&load, now));
            }
            scheduler::Event::HeldRequestsListed { server, held } => {
                self.with_server(&server, now, effects, |server, assignment, out| {
                    server.on_held_requests(&held, assignment, now, out);
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
