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

/// How candidates are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Prefill where the prompt's prefix is likely cached; decode by weighted random choice.
    #[default]
    Affinity,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest places of this instance.
    LeastOutstanding,
}

/// A change of a server's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The whole content at a sequence number.
    Snapshot {
        /// The sequence number up to which events are included.
        sequence: u64,
        /// The blocks.
        blocks: Vec<ids::BlockHash>,
    },
    /// Blocks were stored.
    Stored {
        /// The event's sequence number.
        sequence: u64,
        /// The blocks.
        blocks: Vec<ids::BlockHash>,
    },
    /// Blocks were evicted.
    Evicted {
        /// The event's sequence number.
        sequence: u64,
        /// The blocks.
        blocks: Vec<ids::BlockHash>,
    },
}

/// What the placement reducer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A document is in force.
    Applied(configuration::SharedSnapshot),
    /// A request asks for candidates.
    Choose {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The model.
        model: ids::ModelId,
        /// The chain of hashes of the prompt's blocks.
        prefix: Vec<ids::BlockHash>,
        /// The prompt's estimated length.
        prompt_tokens: u32,
        /// Servers to leave out, since they have failed this request.
        excluded: Vec<ids::ServerId>,
    },
    /// A server's prefix cache has changed.
    Cached {
        /// The server.
        server: ids::ServerId,
        /// The change.
        change: CacheEvent,
    },
    /// A server reported its load.
    LoadReported(scheduler::Load),
    /// A request has made progress on a server, or failed there.
    Observed(scheduler::Observation),
    /// A request has a place on a server.
    Placed {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The server.
        server: ids::ServerId,
    },
    /// A request has given up its place.
    Released {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
    },
}

/// What the placement reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// The candidates of a request, best first; none if no server serves the model.
    Chosen {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The candidates.
        candidates: Vec<ids::ServerId>,
        /// Prompt tokens that the best candidate's cache is believed to hold.
        cached_tokens: u32,
    },
    /// A gap in a server's cache events: read its snapshot again.
    Resynchronise {
        /// The server.
        server: ids::ServerId,
    },
}

/// The pools of one model.
#[derive(Debug, Default)]
struct Model {
    prefill: pool::Pool,
    decode: pool::Pool,
}

/// What is known of the servers' caches and speeds.
#[derive(Debug, Default)]
pub struct Placement {
    policy: Policy,
    seed: u64,
    draws: u64,
    servers: Vec<ids::ServerId>,
    index: collections::Map<ids::ServerId, usize>,
    models: collections::Map<ids::ModelId, Model>,
    speeds: speeds::Speeds,
    caches: caches::Caches,
    popularity: popularity::Popularity,
    places: collections::Map<(ids::RequestId, scheduler::Phase), usize>,
    outstanding: Vec<u32>,
}

/// A request for candidates.
struct Choice {
    request: ids::RequestId,
    phase: scheduler::Phase,
    model: ids::ModelId,
    prefix: Vec<ids::BlockHash>,
    prompt_tokens: u32,
    excluded: Vec<ids::ServerId>,
}

/// Candidates as indices, best first.
#[derive(Default)]
struct Chosen {
    servers: Vec<usize>,
    cached_tokens: u32,
}

impl Placement {
    /// Creates a state that knows no server.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Creates a state that chooses by a policy.
    pub fn with_policy(seed: u64, policy: Policy) -> Self {
        Self { seed, policy, ..Self::default() }
    }

    fn applied(&mut self, document: &document::Document) {
        let engines = document.servers.iter().filter(|s| s.kind == document::Kind::Engine);
        let engines: Vec<_> = engines.collect();
        let mut speeds = speeds::Speeds::default();
        let mut index = collections::Map::default();
        for (number, engine) in engines.iter().enumerate() {
            speeds.add(&engine.id, engine.slots);
            if let Some(former) = self.index.get(&engine.id) {
                speeds.inherit(number, &self.speeds, *former);
            }
            index.insert(engine.id.clone(), number);
        }
        self.renumber(&index, engines.len());
        self.speeds = speeds;
        self.servers = engines.iter().map(|engine| engine.id.clone()).collect();
        self.index = index;
        let routes = document.language_routes.iter();
        self.models =
            routes.map(|route| (route.model.clone(), self.model(route, &engines))).collect();
    }

    fn renumber(&mut self, index: &collections::Map<ids::ServerId, usize>, count: usize) {
        if self.servers.len() == count
            && self.servers.iter().enumerate().all(|(number, id)| index.get(id) == Some(&number))
        {
            return;
        }
        self.caches.clear();
        let servers = &self.servers;
        self.places.retain(|_, server| match index.get(&servers[*server]) {
            Some(number) => {
                *server = *number;
                true
            }
            None => false,
        });
        self.outstanding = vec![0; count];
        for server in self.places.values() {
            self.outstanding[*server] += 1;
        }
    }

    fn model(&self, route: &document::LanguageRoute, engines: &[&document::Server]) -> Model {
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
        Model { prefill: serving(document::Role::Prefill), decode: serving(document::Role::Decode) }
    }

    fn choose(&mut self, choice: Choice, now: ids::Timestamp, effects: &mut Vec<Effect>) {
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

    fn candidates(&mut self, choice: &Choice, excluded: &[usize], now: ids::Timestamp) -> Chosen {
        self.draws = self.draws.wrapping_add(1);
        let seed = xxh3::xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
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
                servers: pool.draw(seed, constants::CANDIDATES, speeds, usable),
                cached_tokens: 0,
            },
            Policy::RoundRobin => Chosen { servers: pool.in_turn(), cached_tokens: 0 },
            Policy::LeastOutstanding => {
                let outstanding = &self.outstanding;
                Chosen { servers: pool.by_key(|server| outstanding[server]), cached_tokens: 0 }
            }
        };
        chosen.servers.retain(|server| !excluded.contains(server));
        chosen.servers.truncate(constants::CANDIDATES);
        if chosen.servers.len() < constants::CANDIDATES {
            fill_up(&mut chosen.servers, pool, seed, excluded);
        }
        chosen
    }

    fn cached(
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

    fn observed(&mut self, observation: &scheduler::Observation, now: ids::Timestamp) {
        if let Some(server) = self.index.get(&observation.server).copied() {
            self.speeds.observe(server, observation, now);
        }
    }

    fn placed(&mut self, request: ids::RequestId, phase: scheduler::Phase, id: &ids::ServerId) {
        let Some(server) = self.index.get(id).copied() else { return };
        if self.places.len() >= constants::OUTSTANDING_PLACES {
            return;
        }
        self.released(request, phase);
        self.places.insert((request, phase), server);
        self.outstanding[server] += 1;
    }

    fn released(&mut self, request: ids::RequestId, phase: scheduler::Phase) {
        if let Some(server) = self.places.remove(&(request, phase)) {
            self.outstanding[server] -= 1;
        }
    }
}

/// Chooses by the prompt's prefix: the servers that its key meets, or one that is known to hold
/// more of it.
fn by_affinity(
    pool: &pool::Pool,
    (popularity, caches): (&mut popularity::Popularity, &caches::Caches),
    speeds: &speeds::Speeds,
    choice: &Choice,
    seed: u64,
    now: ids::Timestamp,
    usable: impl Fn(usize) -> bool + Copy,
) -> Chosen {
    let prefix = popularity.note(&choice.prefix, choice.prompt_tokens, pool.len());
    let hash = prefix.key.unwrap_or(seed);
    let mut servers = pool.rendezvous(hash, constants::CANDIDATES, speeds, usable);
    let mut cached_tokens = block_tokens(prefix.seen_blocks);
    let known = caches.depths(&choice.prefix, now);
    let mut known: Vec<_> =
        known.filter(|(server, _)| pool.contains(*server) && usable(*server)).collect();
    known.sort_unstable_by_key(|(server, depth)| (std::cmp::Reverse(*depth), *server));
    if let Some((_, depth)) = known.iter().find(|(server, _)| servers.first() == Some(server)) {
        cached_tokens = block_tokens(*depth);
    }
    if let Some(&(server, depth)) = known.first()
        && block_tokens(depth) >= cached_tokens + constants::CACHE_GAIN_TOKENS
    {
        servers.retain(|other| *other != server);
        servers.insert(0, server);
        cached_tokens = block_tokens(depth);
    }
    Chosen { servers, cached_tokens: cached_tokens.min(choice.prompt_tokens) }
}

/// Adds servers that were passed over for their failures, so that a sick pool is still served.
fn fill_up(servers: &mut Vec<usize>, pool: &pool::Pool, seed: u64, excluded: &[usize]) {
    let missing = constants::CANDIDATES - servers.len();
    let others = pool
        .some(seed, missing, |server| !excluded.contains(&server) && !servers.contains(&server));
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
            Event::Applied(snapshot) => self.applied(&snapshot.document),
            Event::Choose { request, phase, model, prefix, prompt_tokens, excluded } => {
                let choice = Choice { request, phase, model, prefix, prompt_tokens, excluded };
                self.choose(choice, now, effects);
            }
            Event::Cached { server, change } => self.cached(server, change, now, effects),
            Event::LoadReported(_) => {}
            Event::Observed(observation) => self.observed(&observation, now),
            Event::Placed { request, phase, server } => self.placed(request, phase, &server),
            Event::Released { request, phase } => self.released(request, phase),
        }
    }
}
