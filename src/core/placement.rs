//! Chooses the candidate servers of a language request.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::core::collections;
use crate::core::configuration;
use crate::core::ids;
use crate::core::reducer;
use crate::core::scheduler;
use crate::document;

mod caches;
pub mod constants;
mod pool;
mod popularity;
mod speeds;

/// The policy by which candidates are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// For prefill, the servers that are likely to have the prompt's prefix cached; for decode, a
    /// weighted random choice.
    #[default]
    Affinity,
    /// Each server, one after another.
    RoundRobin,
    /// The server with the fewest reservations of this instance.
    LeastOutstanding,
}

/// A change of a server's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The complete content at a sequence number.
    Snapshot {
        /// The sequence number of the last event that is included.
        sequence: u64,
        /// All cached blocks.
        blocks: Vec<ids::BlockHash>,
    },
    /// Blocks were added to the cache.
    Stored {
        /// The event's sequence number, one above that of the event before.
        sequence: u64,
        /// The added blocks.
        blocks: Vec<ids::BlockHash>,
    },
    /// Blocks were removed from the cache.
    Evicted {
        /// The event's sequence number, one above that of the event before.
        sequence: u64,
        /// The removed blocks.
        blocks: Vec<ids::BlockHash>,
    },
}

/// An input of the placement reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A configuration document has come into force.
    Applied(configuration::SharedSnapshot),
    /// A request needs candidate servers.
    Choose {
        /// The request that needs them.
        request: ids::RequestId,
        /// The phase to run on one of them.
        phase: scheduler::Phase,
        /// The model that the servers must serve.
        model: ids::ModelId,
        /// The hash chain of the prompt's blocks.
        prefix: Vec<ids::BlockHash>,
        /// The prompt's estimated length, in tokens.
        prompt_tokens: u32,
        /// Servers to exclude, since this request failed on them.
        excluded: Vec<ids::ServerId>,
    },
    /// A server's prefix cache has changed.
    Cached {
        /// The server of the cache.
        server: ids::ServerId,
        /// The change of the cache's content.
        change: CacheEvent,
    },
    /// A server reported its load.
    LoadReported(scheduler::Load),
    /// A request has made progress on a server, or failed there.
    Observed(scheduler::Observation),
    /// A request of this instance has a reservation on a server.
    Placed {
        /// The request that holds it.
        request: ids::RequestId,
        /// The phase that it is for.
        phase: scheduler::Phase,
        /// The server of the reservation.
        server: ids::ServerId,
    },
    /// A request has released its reservation.
    Released {
        /// The request that held it.
        request: ids::RequestId,
        /// The phase that it was for.
        phase: scheduler::Phase,
    },
}

/// An output of the placement reducer, to be carried out by its caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// The candidates of a request.
    Chosen {
        /// The request that needs them.
        request: ids::RequestId,
        /// The phase to run on one of them.
        phase: scheduler::Phase,
        /// The candidates, best first; none if no server serves the model.
        candidates: Vec<ids::ServerId>,
        /// Prompt tokens that the first candidate's prefix cache is estimated to hold.
        cached_tokens: u32,
    },
    /// A server's cache events have a gap: read a snapshot of its cache.
    Resynchronise {
        /// The server of the cache.
        server: ids::ServerId,
    },
}

/// The servers of one model by phase.
#[derive(Debug, Default)]
struct ModelPools {
    prefill: pool::Pool,
    decode: pool::Pool,
}

/// The placement reducer: the servers with their caches, speeds and reservations. Servers are
/// referred to by their index in the document's list of engines.
#[derive(Debug, Default)]
pub struct Placement {
    policy: Policy,
    seed: u64,
    choices: u64,
    servers: Vec<ids::ServerId>,
    index: collections::Map<ids::ServerId, usize>,
    models: collections::Map<ids::ModelId, ModelPools>,
    speeds: speeds::Speeds,
    caches: caches::Caches,
    popularity: popularity::Popularity,
    reservations: collections::Map<(ids::RequestId, scheduler::Phase), usize>,
    outstanding: Vec<u32>,
}

/// A request for candidates.
struct ChoiceRequest {
    request: ids::RequestId,
    phase: scheduler::Phase,
    model: ids::ModelId,
    prefix: Vec<ids::BlockHash>,
    prompt_tokens: u32,
    excluded: Vec<ids::ServerId>,
}

/// Candidates by index, best first.
#[derive(Default)]
struct Chosen {
    servers: Vec<usize>,
    cached_tokens: u32,
}

impl Placement {
    /// Creates a state without servers and with the default policy.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Creates a state without servers and with a policy.
    pub fn with_policy(seed: u64, policy: Policy) -> Self {
        Self { seed, policy, ..Self::default() }
    }

    fn on_document(&mut self, document: &document::Document) {
        let engines = document.servers.iter().filter(|s| s.kind == document::Kind::Engine);
        let engines: Vec<_> = engines.collect();
        let mut speeds = speeds::Speeds::default();
        let mut index = collections::Map::default();
        for (number, engine) in engines.iter().enumerate() {
            speeds.add(&engine.id, engine.slots);
            if let Some(former_index) = self.index.get(&engine.id) {
                speeds.copy_from(number, &self.speeds, *former_index);
            }
            index.insert(engine.id.clone(), number);
        }
        self.renumber(&index, engines.len());
        self.speeds = speeds;
        self.servers = engines.iter().map(|engine| engine.id.clone()).collect();
        self.index = index;
        let routes = document.language_routes.iter();
        self.models =
            routes.map(|route| (route.model.clone(), self.pools(route, &engines))).collect();
    }

    fn renumber(&mut self, index: &collections::Map<ids::ServerId, usize>, count: usize) {
        if self.servers.len() == count
            && self.servers.iter().enumerate().all(|(number, id)| index.get(id) == Some(&number))
        {
            return;
        }
        self.caches.clear();
        let servers = &self.servers;
        self.reservations.retain(|_, server| match index.get(&servers[*server]) {
            Some(number) => {
                *server = *number;
                true
            }
            None => false,
        });
        self.outstanding = vec![0; count];
        for server in self.reservations.values() {
            self.outstanding[*server] += 1;
        }
    }

    fn pools(&self, route: &document::LanguageRoute, engines: &[&document::Server]) -> ModelPools {
        let members: collections::Set<_> = route.servers.iter().collect();
        let serving = |role: document::Role| {
            let usable = move |engine: &document::Server| {
                !engine.leaving && (engine.role == role || engine.role == document::Role::Both)
            };
            let numbered = engines.iter().enumerate();
            let servers =
                numbered.filter(|(_, engine)| usable(engine) && members.contains(&engine.id));
            pool::Pool::new(servers.map(|(number, _)| number).collect())
        };
        ModelPools {
            prefill: serving(document::Role::Prefill),
            decode: serving(document::Role::Decode),
        }
    }

    fn choose(&mut self, choice: ChoiceRequest, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let excluded: Vec<_> =
            choice.excluded.iter().filter_map(|server| self.index.get(server).copied()).collect();
        let chosen = self.candidates(&choice, &excluded, now);
        let candidates = chosen.servers.iter().map(|server| self.servers[*server].clone());
        effects.push(Effect::Chosen {
            request: choice.request,
            phase: choice.phase,
            candidates: candidates.collect(),
            cached_tokens: chosen.cached_tokens,
        });
    }

    fn candidates(
        &mut self,
        choice: &ChoiceRequest,
        excluded: &[usize],
        now: ids::Timestamp,
    ) -> Chosen {
        self.choices = self.choices.wrapping_add(1);
        let seed = xxh3::xxh3_64_with_seed(&self.choices.to_le_bytes(), self.seed);
        let Some(model) = self.models.get_mut(&choice.model) else { return Chosen::default() };
        let pool = match choice.phase {
            scheduler::Phase::Prefill => &mut model.prefill,
            scheduler::Phase::Decode => &mut model.decode,
        };
        let speeds = &self.speeds;
        let usable = |server: usize| !excluded.contains(&server) && !speeds.is_avoided(server, now);
        let mut chosen = match self.policy {
            Policy::Affinity if choice.phase == scheduler::Phase::Prefill => {
                let parts = (&mut self.popularity, &self.caches);
                by_affinity(pool, parts, speeds, choice, seed, now, usable)
            }
            Policy::Affinity => Chosen {
                servers: pool.sample(seed, constants::MAX_CANDIDATES, speeds, usable),
                cached_tokens: 0,
            },
            Policy::RoundRobin => Chosen { servers: pool.round_robin(), cached_tokens: 0 },
            Policy::LeastOutstanding => {
                let outstanding = &self.outstanding;
                Chosen { servers: pool.by_key(|server| outstanding[server]), cached_tokens: 0 }
            }
        };
        chosen.servers.retain(|server| !excluded.contains(server));
        chosen.servers.truncate(constants::MAX_CANDIDATES);
        if chosen.servers.len() < constants::MAX_CANDIDATES {
            add_avoided(&mut chosen.servers, pool, seed, excluded);
        }
        chosen
    }

    fn on_cache_event(
        &mut self,
        id: ids::ServerId,
        change: CacheEvent,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(server) = self.index.get(&id).copied() else { return };
        if self.caches.apply(server, change, now) {
            effects.push(Effect::Resynchronise { server: id });
        }
    }

    fn on_observation(&mut self, observation: &scheduler::Observation, now: ids::Timestamp) {
        if let Some(server) = self.index.get(&observation.server).copied() {
            self.speeds.observe(server, observation, now);
        }
    }

    fn on_placed(&mut self, request: ids::RequestId, phase: scheduler::Phase, id: &ids::ServerId) {
        let Some(server) = self.index.get(id).copied() else { return };
        if self.reservations.len() >= constants::MAX_OUTSTANDING {
            return;
        }
        self.on_released(request, phase);
        self.reservations.insert((request, phase), server);
        self.outstanding[server] += 1;
    }

    fn on_released(&mut self, request: ids::RequestId, phase: scheduler::Phase) {
        if let Some(server) = self.reservations.remove(&(request, phase)) {
            self.outstanding[server] -= 1;
        }
    }
}

/// Chooses by the prompt's prefix: the servers that rank highest for its key by rendezvous hashing,
/// after a server that is known to have enough more of the prefix cached.
fn by_affinity(
    pool: &pool::Pool,
    (popularity, caches): (&mut popularity::Popularity, &caches::Caches),
    speeds: &speeds::Speeds,
    choice: &ChoiceRequest,
    seed: u64,
    now: ids::Timestamp,
    usable: impl Fn(usize) -> bool + Copy,
) -> Chosen {
    let prefix = popularity.record(&choice.prefix, choice.prompt_tokens, pool.len());
    let hash = prefix.key.unwrap_or(seed);
    let mut servers = pool.rendezvous(hash, constants::MAX_CANDIDATES, speeds, usable);
    let mut cached_tokens = block_tokens(prefix.seen_blocks);
    let known = caches.depths(&choice.prefix, now);
    let mut known: Vec<_> =
        known.filter(|(server, _)| pool.contains(*server) && usable(*server)).collect();
    known.sort_unstable_by_key(|(server, depth)| (std::cmp::Reverse(*depth), *server));
    if let Some((_, depth)) = known.iter().find(|(server, _)| servers.first() == Some(server)) {
        cached_tokens = block_tokens(*depth);
    }
    if let Some(&(server, depth)) = known.first()
        && block_tokens(depth) >= cached_tokens + constants::MIN_CACHE_GAIN_TOKENS
    {
        servers.retain(|other| *other != server);
        servers.insert(0, server);
        cached_tokens = block_tokens(depth);
    }
    Chosen { servers, cached_tokens: cached_tokens.min(choice.prompt_tokens) }
}

/// Adds servers that are avoided because of failures, so that requests still get candidates when
/// most servers of a pool fail.
fn add_avoided(servers: &mut Vec<usize>, pool: &pool::Pool, seed: u64, excluded: &[usize]) {
    let missing = constants::MAX_CANDIDATES - servers.len();
    let others = pool
        .nearby(seed, missing, |server| !excluded.contains(&server) && !servers.contains(&server));
    servers.extend(others);
}

fn block_tokens(blocks: usize) -> u32 {
    u32::try_from(blocks).unwrap_or(u32::MAX).saturating_mul(constants::BLOCK_TOKENS)
}

impl reducer::Reducer for Placement {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Applied(snapshot) => self.on_document(&snapshot.document),
            Event::Choose { request, phase, model, prefix, prompt_tokens, excluded } => {
                let choice =
                    ChoiceRequest { request, phase, model, prefix, prompt_tokens, excluded };
                self.choose(choice, now, effects);
            }
            Event::Cached { server, change } => self.on_cache_event(server, change, now, effects),
            Event::LoadReported(_) => {}
            Event::Observed(observation) => self.on_observation(&observation, now),
            Event::Placed { request, phase, server } => self.on_placed(request, phase, &server),
            Event::Released { request, phase } => self.on_released(request, phase),
        }
    }
}
