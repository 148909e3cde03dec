//! Both sides of one instance: the servers that it schedules and the places that it asks for.

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
    local: VecDeque<scheduler::Message>,
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
        discipline: scheduler::Discipline,
    ) -> Self {
        let mut scheduler = Self::new(own, incarnation);
        scheduler.client = client::Client::new(discipline);
        scheduler
    }

    /// Returns what is counted for a server, if this instance schedules it.
    pub fn usage(&self, server: &ids::ServerId) -> Option<scheduler::Usage> {
        self.owned.get(server).map(|owned| owned.server.usage())
    }

    /// Returns how many places this instance's requests hold or wait for.
    pub fn subjects(&self) -> usize {
        self.client.len()
    }

    fn client(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
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
        effects: &mut Vec<scheduler::Effect>,
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

    fn viewed(
        &mut self,
        view: &membership::View,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let change = self.assignment.update_view(view);
        self.free_places_of(&change.gone, now, effects);
        self.follow(&change.moved, now, effects);
    }

    fn applied(
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
        self.follow(&added, now, effects);
        self.client(now, effects, |client, context, out| {
            client.withdraw_from(&stopped, context, out);
        });
        self.client.retain_servers(|server| self.capacities.contains_key(server));
    }

    fn configure_owned(&mut self, now: ids::Timestamp, effects: &mut Vec<scheduler::Effect>) {
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
    fn follow(
        &mut self,
        moved: &[ids::ServerId],
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
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
        effects: &mut Vec<scheduler::Effect>,
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

    fn watch(&self, effects: &mut Vec<scheduler::Effect>) {
        let mut servers: Vec<_> = self.owned.keys().cloned().collect();
        servers.sort_unstable();
        effects.push(scheduler::Effect::Watch { servers });
    }

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<scheduler::Effect>) {
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
        message: scheduler::Message,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        match message {
            scheduler::Message::Ask(ask) => self.asked(ask, from, incarnation, now, effects),
            scheduler::Message::Release { server, ticket, report } => {
                self.server(&server, now, effects, |server, _, out| {
                    server.release((incarnation, ticket), report, now, out);
                });
            }
            scheduler::Message::Decline { ticket } => {
                self.declined((incarnation, ticket), now, effects);
            }
            scheduler::Message::Report { server, decode, report } => {
                self.server(&server, now, effects, |server, _, out| {
                    server.report(decode, report, now, out);
                });
            }
            scheduler::Message::Hold { server, places } => {
                self.held(server, places, from, incarnation, now, effects);
            }
            scheduler::Message::Unheld { server, sequence, live } => {
                self.server(&server, now, effects, |server, _, out| {
                    server.unheld(incarnation, sequence, live, now, out);
                });
            }
            answer => self.answered(from, answer, now, effects),
        }
    }

    /// Frees a place that its client does not know; it does not say on which server.
    fn declined(
        &mut self,
        key: queue::Key,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let holder = self.owned.iter().find(|(_, owned)| owned.server.holds(key));
        let Some(id) = holder.map(|(id, _)| id.clone()) else { return };
        self.server(&id, now, effects, |server, _, out| server.release(key, None, now, out));
    }

    fn answered(
        &mut self,
        from: &ids::InstanceId,
        answer: scheduler::Message,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
    ) {
        let incarnation = self.incarnation;
        let own = message::addressee(incarnation);
        self.client(now, effects, |client, context, out| match answer {
            scheduler::Message::Grant { addressee, ticket } if addressee == own => {
                client.granted(from, ticket, context, out);
            }
            scheduler::Message::Queued { addressee, ticket, wait_ms } if addressee == own => {
                client.queued(ticket, wait_ms, context, out);
            }
            scheduler::Message::Refuse { addressee, ticket, refusal } if addressee == own => {
                client.refused(ticket, refusal, context, out);
            }
            scheduler::Message::Check { addressee, server, sequences } if addressee == own => {
                let requests = sequences.iter().map(|&s| ids::request_id(incarnation, s));
                let requests: Vec<_> = requests.collect();
                client.checked(from, server, &requests, out);
            }
            scheduler::Message::Kept { server } => client.kept(&server),
            _ => {}
        });
    }

    fn asked(
        &mut self,
        ask: message::Ask,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        now: ids::Timestamp,
        effects: &mut Vec<scheduler::Effect>,
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
            out.send(from, server::refuse_message(key, message::Refusal::Moved));
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
        effects: &mut Vec<scheduler::Effect>,
    ) {
        self.server(&id, now, effects, |server, _, out| {
            server.hold(from, incarnation, places, now);
            out.send(from, scheduler::Message::Kept { server: id.clone() });
        });
    }

    fn deliver_local(&mut self, now: ids::Timestamp, effects: &mut Vec<scheduler::Effect>) {
        let own = self.own.clone();
        while let Some(message) = self.local.pop_front() {
            self.receive(&own, self.incarnation, message, now, effects);
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
            scheduler::Event::Tick => self.tick(now, effects),
            scheduler::Event::Viewed(view) => self.viewed(&view, now, effects),
            scheduler::Event::Validity { valid } => self.valid = valid,
            scheduler::Event::Applied(snapshot) => self.applied(&snapshot, now, effects),
            scheduler::Event::Received { from, incarnation, message } => {
                self.receive(&from, incarnation, message, now, effects);
            }
            scheduler::Event::Place { demand, candidates } => {
                self.client(now, effects, |client, context, out| {
                    client.place(demand, candidates, context, out);
                });
            }
            scheduler::Event::Release { request, phase } => {
                self.client(now, effects, |client, context, out| {
                    client.release((request, phase), context, out);
                });
            }
            scheduler::Event::Observed(observation) => self.client.observed(&observation),
            scheduler::Event::LoadReported(load) => {
                let id = load.server.clone();
                self.server(&id, now, effects, |server, _, _| server.loaded(&load, now));
            }
            scheduler::Event::HeldRequestsListed { server, held } => {
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
