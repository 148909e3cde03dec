//! The complete state of an instance: dispatches events to the reducers, and the effects of each
//! reducer to the others.

use std::collections as std_collections;
use std::net;
use std::time;

use crate::core::claims;
use crate::core::collections;
use crate::core::configuration;
use crate::core::effect;
use crate::core::escrow;
use crate::core::event;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::message;
use crate::core::placement;
use crate::core::reducer::Reducer;
use crate::core::request;
use crate::core::scheduler;
use crate::document;

/// The complete state of one instance.
#[derive(Debug)]
pub struct State {
    membership: membership::Membership,
    escrow: escrow::Escrow,
    configuration: configuration::Configuration,
    claims: claims::Claims,
    placement: placement::Placement,
    scheduler: scheduler::Scheduler,
    requests: request::Requests,
    peer_addresses: collections::Map<ids::InstanceId, net::SocketAddr>,
    /// The addresses in the platform's list, for instances that the view does not include.
    listed_addresses: collections::Map<ids::InstanceId, net::SocketAddr>,
    environment: document::Environment,
    ticked_at: ids::Timestamp,
    server_addresses: collections::Map<ids::ServerId, net::SocketAddr>,
}

/// The longest time without a tick; after a longer one, such as a pause of the process, a tick is
/// applied before the next event.
const MAX_TICK_GAP: time::Duration = time::Duration::from_millis(250);

/// The options that a state is created from.
#[derive(Debug, Clone)]
pub struct Options {
    /// This instance, as it joins the membership.
    pub own: membership::Member,
    /// The environment whose server addresses are used.
    pub environment: document::Environment,
    /// How long the log retains records.
    pub log_retention: time::Duration,
    /// The seed of all pseudo-random choices.
    pub seed: u64,
    /// The settings of the membership protocol.
    pub membership: membership::settings::Settings,
    /// The settings of the workspaces' limits.
    pub escrow: escrow::settings::Settings,
    /// The limits on requests.
    pub requests: request::RequestLimits,
    /// The policy by which engines are chosen.
    pub placement: placement::Policy,
    /// The discipline by which reservations on engines are granted.
    pub scheduler: scheduler::Discipline,
}

/// An event for one of the reducers.
#[derive(Debug)]
enum Internal {
    Membership(membership::Event),
    Escrow(escrow::Event),
    Configuration(configuration::Event),
    Claims(claims::Event),
    Placement(placement::Event),
    Scheduler(scheduler::Event),
    Request(request::Event),
}

type Queue = std_collections::VecDeque<Internal>;

impl State {
    /// Creates the state of an instance at the start of its process.
    pub fn new(options: Options) -> Self {
        let Options {
            own,
            environment,
            log_retention,
            seed,
            membership,
            escrow,
            placement,
            scheduler,
            requests,
        } = options;
        let (id, incarnation) = (own.id.clone(), own.incarnation);
        Self {
            escrow: escrow::Escrow::with_settings(id.clone(), incarnation, escrow),
            configuration: configuration::Configuration::new(id.clone(), seed)
                .with_options(configuration::Options { environment, log_retention }),
            claims: claims::Claims::new(incarnation),
            placement: placement::Placement::with_policy(seed, placement),
            scheduler: scheduler::Scheduler::with_discipline(id, incarnation, scheduler),
            requests: request::Requests::new(environment, requests),
            peer_addresses: collections::Map::default(),
            listed_addresses: collections::Map::default(),
            server_addresses: collections::Map::default(),
            membership: membership::Membership::new(own, membership),
            environment,
            ticked_at: ids::Timestamp::ZERO,
        }
    }

    /// Returns the configuration reducer, for queries.
    pub fn configuration(&self) -> &configuration::Configuration {
        &self.configuration
    }

    /// Returns the reducer of the workspaces' limits, for queries.
    pub fn escrow(&self) -> &escrow::Escrow {
        &self.escrow
    }

    /// Returns the scheduler reducer, for queries.
    pub fn scheduler(&self) -> &scheduler::Scheduler {
        &self.scheduler
    }

    /// Returns the number of requests in progress.
    pub fn live_requests(&self) -> usize {
        self.requests.live()
    }

    /// Applies one event at the time `now` and returns the effects to carry out.
    pub fn apply(&mut self, event: event::Event, now: ids::Timestamp) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        let is_tick = event == event::Event::Tick;
        if is_tick || now.saturating_sub(self.ticked_at) > MAX_TICK_GAP {
            self.ticked_at = now;
            self.apply_one(event::Event::Tick, now, &mut effects);
        }
        if !is_tick {
            self.apply_one(event, now, &mut effects);
        }
        effects
    }

    /// Applies one event and all events that follow from it.
    fn apply_one(
        &mut self,
        event: event::Event,
        now: ids::Timestamp,
        out: &mut Vec<effect::Effect>,
    ) {
        let mut queue = Queue::new();
        if let event::Event::InstancesListed(listed) = &event {
            let addresses = listed.iter().map(|entry| (entry.id.clone(), entry.peer_address));
            self.listed_addresses = addresses.collect();
        }
        enqueue(event, &mut queue);
        while let Some(internal) = queue.pop_front() {
            self.dispatch(internal, now, &mut queue, out);
        }
    }

    /// Applies an event to its reducer, and dispatches the reducer's effects.
    fn dispatch(
        &mut self,
        internal: Internal,
        now: ids::Timestamp,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        match internal {
            Internal::Membership(event) => {
                for effect in apply(&mut self.membership, event, now) {
                    self.on_membership(effect, queue, out);
                }
            }
            Internal::Escrow(event) => {
                for effect in apply(&mut self.escrow, event, now) {
                    self.on_escrow(effect, queue, out);
                }
            }
            Internal::Configuration(event) => {
                for effect in apply(&mut self.configuration, event, now) {
                    self.on_configuration(effect, queue, out);
                }
            }
            Internal::Claims(event) => {
                for effect in apply(&mut self.claims, event, now) {
                    self.on_claims(effect, queue, out);
                }
            }
            Internal::Placement(event) => {
                for effect in apply(&mut self.placement, event, now) {
                    on_placement(effect, queue, out);
                }
            }
            Internal::Scheduler(event) => {
                for effect in apply(&mut self.scheduler, event, now) {
                    self.on_scheduler(effect, queue, out);
                }
            }
            Internal::Request(event) => {
                for effect in apply(&mut self.requests, event, now) {
                    on_request(effect, queue, out);
                }
            }
        }
    }

    fn on_membership(
        &mut self,
        effect: membership::Effect,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        match effect {
            membership::Effect::Send { to, address, message } => {
                let message = message::Message::Membership(message);
                out.push(effect::Effect::Send { to, address, message });
            }
            membership::Effect::Append { token, body } => {
                out.push(effect::Effect::Append { stream: log::Stream::Membership, token, body });
            }
            membership::Effect::ViewChanged(view) => self.on_view(view, queue, out),
            membership::Effect::Validity { valid, until } => {
                queue.push_back(Internal::Escrow(escrow::Event::Validity { valid, until }));
                queue.push_back(Internal::Scheduler(scheduler::Event::Validity { valid }));
                queue.push_back(Internal::Request(request::Event::Validity(valid)));
                out.push(effect::Effect::Validity(valid));
            }
            membership::Effect::LeaveFinished => out.push(effect::Effect::LeaveFinished),
        }
    }

    fn on_view(
        &mut self,
        view: membership::SharedView,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        self.peer_addresses =
            view.members.iter().map(|member| (member.id.clone(), member.peer_address)).collect();
        queue.push_back(Internal::Escrow(escrow::Event::Viewed(view.clone())));
        queue.push_back(Internal::Configuration(configuration::Event::ViewChanged(view.clone())));
        queue.push_back(Internal::Scheduler(scheduler::Event::Viewed(view.clone())));
        queue.push_back(Internal::Claims(claims::Event::Viewed(view.clone())));
        out.push(effect::Effect::ViewChanged(view));
    }

    fn on_escrow(
        &mut self,
        effect: escrow::Effect,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        match effect {
            escrow::Effect::Send { to, message } => {
                self.send(to, message::Message::Escrow(message), out);
            }
            escrow::Effect::Admitted { request } => {
                queue.push_back(Internal::Request(request::Event::Admitted { request }));
            }
            escrow::Effect::Refused { request, retry_after_ms, reason } => {
                let event = request::Event::Limited { request, retry_after_ms, reason };
                queue.push_back(Internal::Request(event));
            }
            escrow::Effect::HandedOver => {
                queue.push_back(Internal::Membership(membership::Event::Leave));
                out.push(effect::Effect::HandedOver);
            }
        }
    }

    fn on_configuration(
        &mut self,
        effect: configuration::Effect,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        match effect {
            configuration::Effect::Send { to, message } => {
                self.send(to, message::Message::Configuration(message), out);
            }
            configuration::Effect::Append { token, body } => {
                let stream = log::Stream::Configuration;
                out.push(effect::Effect::Append { stream, token, body });
            }
            configuration::Effect::Applied(snapshot) => self.on_snapshot(snapshot, queue, out),
            configuration::Effect::KeysFresh(fresh) => {
                queue.push_back(Internal::Request(request::Event::KeysFresh(fresh)));
                out.push(effect::Effect::KeysFresh(fresh));
            }
            configuration::Effect::RecordIgnored { offset, reason } => {
                out.push(effect::Effect::RecordIgnored { offset, reason });
            }
            configuration::Effect::ProposalDecided { proposal, outcome } => {
                out.push(effect::Effect::ProposalDecided { proposal, outcome });
            }
        }
    }

    fn on_snapshot(
        &mut self,
        snapshot: configuration::SharedSnapshot,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        let servers = &snapshot.document.servers;
        self.server_addresses = servers
            .iter()
            .filter_map(|server| {
                Some((server.id.clone(), *server.addresses.get(self.environment.as_str())?))
            })
            .collect();
        let limits = snapshot
            .document
            .workspaces
            .iter()
            .map(|workspace| escrow::Limit {
                workspace: workspace.id.clone(),
                rate_tokens_per_s: workspace.rate_tokens_per_s,
                burst_tokens: workspace.burst_tokens,
            })
            .collect();
        let version = snapshot.version;
        queue.push_back(Internal::Escrow(escrow::Event::NewLimits { version, limits }));
        queue.push_back(Internal::Placement(placement::Event::Applied(snapshot.clone())));
        queue.push_back(Internal::Scheduler(scheduler::Event::Applied(snapshot.clone())));
        queue.push_back(Internal::Request(request::Event::Applied(snapshot.clone())));
        out.push(effect::Effect::Applied(snapshot));
    }

    fn on_claims(
        &mut self,
        effect: claims::Effect,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        let (request, outcome) = match effect {
            claims::Effect::Send { to, message } => {
                return self.send(to, message::Message::Claims(message), out);
            }
            claims::Effect::Append { token, body } => {
                let stream = log::Stream::Claims;
                return out.push(effect::Effect::Append { stream, token, body });
            }
            claims::Effect::Granted { request } => (request, request::ClaimOutcome::Granted),
            claims::Effect::Answered { request, holder, answer } => {
                (request, request::ClaimOutcome::Answered { holder, answer })
            }
            claims::Effect::Mismatch { request } => (request, request::ClaimOutcome::Mismatch),
            claims::Effect::Unavailable { request } => {
                (request, request::ClaimOutcome::Unavailable)
            }
        };
        queue.push_back(Internal::Request(request::Event::Claimed { request, outcome }));
    }

    fn on_scheduler(
        &mut self,
        effect: scheduler::Effect,
        queue: &mut Queue,
        out: &mut Vec<effect::Effect>,
    ) {
        match effect {
            scheduler::Effect::Send { to, message } => {
                self.send(to, message::Message::Scheduler(message), out);
            }
            scheduler::Effect::Placed { request, phase, server, waited_ms } => {
                let placed = placement::Event::Placed { request, phase, server: server.clone() };
                queue.push_back(Internal::Placement(placed));
                let event = request::Event::Placed { request, phase, server, waited_ms };
                queue.push_back(Internal::Request(event));
            }
            scheduler::Effect::Unplaced { request, phase, reason } => {
                let event = request::Event::Unplaced { request, phase, reason };
                queue.push_back(Internal::Request(event));
            }
            scheduler::Effect::Cancel { server, request } => {
                if let Some(&address) = self.server_addresses.get(&server) {
                    out.push(effect::Effect::Cancel { request, server, address });
                }
            }
            scheduler::Effect::Watch { servers } => {
                let servers = servers
                    .into_iter()
                    .filter_map(|server| {
                        let address = *self.server_addresses.get(&server)?;
                        Some((server, address))
                    })
                    .collect();
                out.push(effect::Effect::Watch { servers });
            }
        }
    }

    /// Sends a message to an instance whose address is known; drops it otherwise.
    fn send(&self, to: ids::InstanceId, message: message::Message, out: &mut Vec<effect::Effect>) {
        if let Some(&address) =
            self.peer_addresses.get(&to).or_else(|| self.listed_addresses.get(&to))
        {
            out.push(effect::Effect::Send { to, address, message });
        }
    }
}

/// Applies an event to a reducer and returns its effects.
fn apply<R: Reducer>(reducer: &mut R, event: R::Event, now: ids::Timestamp) -> Vec<R::Effect> {
    let mut effects = Vec::new();
    reducer.apply(event, now, &mut effects);
    effects
}

/// Queues an event for the reducers that handle it.
fn enqueue(event: event::Event, queue: &mut Queue) {
    match event {
        event::Event::Tick => enqueue_tick(queue),
        event::Event::Received { from, incarnation, message } => {
            queue.push_back(route(from, incarnation, message));
        }
        event::Event::Read { stream, batch } => queue.push_back(match stream {
            log::Stream::Membership => Internal::Membership(membership::Event::Read(batch)),
            log::Stream::Configuration => {
                Internal::Configuration(configuration::Event::Read(batch))
            }
            log::Stream::Claims => Internal::Claims(claims::Event::Read(batch)),
        }),
        event::Event::Appended { stream, token, outcome } => queue.push_back(match stream {
            log::Stream::Membership => {
                Internal::Membership(membership::Event::Appended { token, outcome })
            }
            log::Stream::Configuration => {
                Internal::Configuration(configuration::Event::Appended { token, outcome })
            }
            log::Stream::Claims => Internal::Claims(claims::Event::Appended { token, outcome }),
        }),
        event::Event::InstancesListed(listed) => {
            let ids = listed.iter().map(|entry| entry.id.clone()).collect();
            queue.push_back(Internal::Configuration(configuration::Event::InstancesListed(ids)));
            queue.push_back(Internal::Membership(membership::Event::InstancesListed(listed)));
        }
        event::Event::Proposed(proposal) => {
            queue.push_back(Internal::Configuration(configuration::Event::Proposed(proposal)));
        }
        event::Event::Request(event) => queue.push_back(Internal::Request(event)),
        event::Event::LoadReported(load) => {
            queue.push_back(Internal::Scheduler(scheduler::Event::LoadReported(load.clone())));
            queue.push_back(Internal::Placement(placement::Event::LoadReported(load)));
        }
        event::Event::HeldRequestsListed { server, held } => {
            queue.push_back(Internal::Scheduler(scheduler::Event::HeldRequestsListed {
                server,
                held,
            }));
        }
        event::Event::CacheChanged { server, change } => {
            queue.push_back(Internal::Placement(placement::Event::Cached { server, change }));
        }
        event::Event::Announce => queue.push_back(Internal::Membership(membership::Event::Drain)),
        event::Event::Drain => queue.push_back(Internal::Request(request::Event::Drain)),
        event::Event::Leave => queue.push_back(Internal::Escrow(escrow::Event::Leave)),
    }
}

fn enqueue_tick(queue: &mut Queue) {
    queue.push_back(Internal::Membership(membership::Event::Tick));
    queue.push_back(Internal::Configuration(configuration::Event::Tick));
    queue.push_back(Internal::Escrow(escrow::Event::Tick));
    queue.push_back(Internal::Scheduler(scheduler::Event::Tick));
    queue.push_back(Internal::Claims(claims::Event::Tick));
    queue.push_back(Internal::Request(request::Event::Tick));
}

/// Wraps a peer's message in an event for the reducer that handles it.
fn route(
    from: ids::InstanceId,
    incarnation: ids::Incarnation,
    message: message::Message,
) -> Internal {
    match message {
        message::Message::Membership(message) => {
            Internal::Membership(membership::Event::Received { from, incarnation, message })
        }
        message::Message::Escrow(message) => {
            Internal::Escrow(escrow::Event::Received { from, incarnation, message })
        }
        message::Message::Configuration(message) => {
            Internal::Configuration(configuration::Event::Received { from, message })
        }
        message::Message::Scheduler(message) => {
            Internal::Scheduler(scheduler::Event::Received { from, incarnation, message })
        }
        message::Message::Claims(message) => {
            Internal::Claims(claims::Event::Received { from, incarnation, message })
        }
    }
}

fn on_placement(effect: placement::Effect, queue: &mut Queue, out: &mut Vec<effect::Effect>) {
    match effect {
        placement::Effect::Chosen { request, phase, candidates, cached_tokens } => {
            let event = request::Event::Chosen { request, phase, candidates, cached_tokens };
            queue.push_back(Internal::Request(event));
        }
        placement::Effect::Resynchronise { server } => {
            out.push(effect::Effect::Resynchronise { server });
        }
    }
}

fn on_request(effect: request::Effect, queue: &mut Queue, out: &mut Vec<effect::Effect>) {
    match effect {
        request::Effect::Command { request, command } => {
            out.push(effect::Effect::Command { request, command });
        }
        request::Effect::Cancel { request, server, address } => {
            out.push(effect::Effect::Cancel { request, server, address });
        }
        request::Effect::Escrow(event) => queue.push_back(Internal::Escrow(event)),
        request::Effect::Choose { request, phase, model, prefix, prompt_tokens, excluded } => {
            queue.push_back(Internal::Placement(placement::Event::Choose {
                request,
                phase,
                model,
                prefix,
                prompt_tokens,
                excluded,
            }));
        }
        request::Effect::Scheduler(event) => {
            if let scheduler::Event::Observed(observation) = &event {
                let event = placement::Event::Observed(observation.clone());
                queue.push_back(Internal::Placement(event));
            }
            if let scheduler::Event::Release { request, phase } = event {
                queue.push_back(Internal::Placement(placement::Event::Released { request, phase }));
            }
            queue.push_back(Internal::Scheduler(event));
        }
        request::Effect::Claims(event) => queue.push_back(Internal::Claims(event)),
        request::Effect::Explain { request, step } => {
            out.push(effect::Effect::Explain { request, step });
        }
        request::Effect::Closed { request, summary } => {
            out.push(effect::Effect::RequestClosed { request, summary });
        }
    }
}
