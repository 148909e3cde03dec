//! The choice of servers for a request by expected wait.
//!
//! Load patterns: a burst in which prompts arrive faster than the prefill servers can prefill them,
//! so that decode servers prefill some themselves; a plain service with fewer slots than requests.

use std::hash;
use std::hash::Hasher as _;
use std::iter;

use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::ledger;
use crate::core::fleet::server_limits;
use crate::core::fleet::server_load;
use crate::core::fleet::servers;
use crate::core::ids;

/// The server or servers that run a request.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// A plain server.
    Plain(ids::ServerId),
    /// An engine that prefills the prompt and generates the answer.
    Direct(ids::ServerId),
    /// An engine that still holds the KV cache of the prompt and generates the answer.
    Kept(ids::ServerId),
    /// Two engines with a handover of the KV cache.
    Handover {
        /// The engine that prefills the prompt.
        prefill: ids::ServerId,
        /// The engine that generates the answer.
        decode: ids::ServerId,
    },
}

impl Placement {
    /// Returns the servers in the order in which they are used.
    pub fn servers(&self) -> impl Iterator<Item = &ids::ServerId> {
        let (first, second) = match self {
            Self::Plain(server) | Self::Direct(server) | Self::Kept(server) => (server, None),
            Self::Handover { prefill, decode } => (prefill, Some(decode)),
        };
        iter::once(first).chain(second)
    }

    /// Returns the load that a request puts on each server.
    pub fn loads(&self, claim: &claim::Claim) -> ledger::Reservations {
        let one = servers::Load { requests: 1, ..servers::Load::default() };
        let tokens = claim.tokens;
        let prefill_load =
            servers::Load { prefilling: 1, tokens_to_prefill: tokens.prompt_tokens, ..one };
        let memory_tokens = tokens.memory_tokens();
        match self {
            Self::Plain(server) => vec![(server.clone(), one)],
            Self::Direct(server) => {
                vec![(server.clone(), servers::Load { memory_tokens, ..prefill_load })]
            }
            Self::Kept(server) => {
                vec![(server.clone(), servers::Load { memory_tokens, ..one })]
            }
            Self::Handover { prefill, decode } => vec![
                (prefill.clone(), prefill_load),
                (decode.clone(), servers::Load { memory_tokens, ..one }),
            ],
        }
    }
}

/// A possible placement with its expected wait.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<T> {
    /// The placement, or the server.
    pub placement: T,
    /// The expected time until the first event, or until the whole plain answer.
    pub expected_ms: f64,
    /// The part of it that the server spends on requests before this one.
    pub backlog_ms: f64,
    /// Whether it is chosen before others, whatever they offer.
    pub is_preferred: bool,
    /// The rank among equal candidates; of those of the same rank the first one is chosen.
    pub rank: u64,
}

/// A claim to be placed, with the conditions for it.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The claim.
    pub claim: &'a claim::Claim,
    /// The share of an engine's KV cache that may be reserved.
    pub memory_share: f64,
    /// The part of the limits of servers that may be used.
    pub pacing: server_limits::Pacing,
    /// Whether the request arrived at this instance, so that it keeps to what servers ask of it.
    pub is_local: bool,
    /// Whether servers without an answer so far get one request at a time: they may have named limits
    /// that this instance does not know.
    pub is_probing: bool,
    /// Whether ejected servers that answer a part of their requests may be used.
    pub is_overload: bool,
    /// The current time.
    pub now: ids::Timestamp,
}

impl Query<'_> {
    /// Returns whether the choice of a plain server is one of two drawn ones: servers state loads, and
    /// this instance may not know the newest ones.
    fn draws_plain_servers(&self, directory: &servers::Directory) -> bool {
        self.pacing != server_limits::Pacing::Fleet
            && directory.uses_stated_loads(&self.claim.service, self.now)
    }

    fn admits(&self, server: &servers::Server) -> bool {
        server.may_take(self.is_overload, self.now)
            && !self.claim.tried.contains(&server.entry.id)
            && server.limit_wait(self.pacing, self.now).is_zero()
            && (!self.is_local || server.is_willing(self.now))
            && (!self.is_probing || server.has_answered() || server.load().requests == 0)
    }

    /// Returns whether a server may get the request and generate its next events.
    fn admits_generation(&self, server: &servers::Server) -> bool {
        self.admits(server) && self.claim.binding.allows(server)
    }

    /// Returns the rank of a server among equal ones, drawn for each request. Instances that cannot
    /// know of each other's requests would otherwise all choose the same server.
    fn rank(&self, server: &servers::Server) -> u64 {
        let mut hasher = rustc_hash::FxHasher::default();
        let claim = self.claim;
        hash::Hash::hash(&(&claim.domain, claim.begin_by, claim.prompt), &mut hasher);
        hash::Hash::hash(&server.entry.id, &mut hasher);
        hasher.finish()
    }

    /// Returns the penalty of a server for failures, another failure domain and a cold start.
    fn penalty_ms(&self, server: &servers::Server) -> f64 {
        server.failure_penalty_ms(self.now) + self.place_penalty_ms(server)
    }

    /// Returns the penalty of a server for another failure domain and a cold start.
    fn place_penalty_ms(&self, server: &servers::Server) -> f64 {
        let is_near = server.entry.domain == self.claim.domain;
        let domain_ms = if is_near { 0.0 } else { constants::OTHER_DOMAIN_PENALTY_MS };
        let is_cold = server.is_avoided_as_cold(self.now);
        let cold_ms = if is_cold { constants::INITIAL_PLAIN_WORK_MS } else { 0.0 };
        domain_ms + cold_ms
    }
}

/// Returns the placement with the earliest expected first event or answer, if any server has
/// capacity.
pub fn best(directory: &servers::Directory, query: Query<'_>) -> Option<Candidate<Placement>> {
    match query.claim.engine {
        Some(engine) => best_engine_placement(directory, engine, query),
        None => best_plain_server(directory, query),
    }
}

/// Returns the placement at the engine that is assumed to hold the prompt, if it has capacity.
pub fn kept_placement(
    directory: &servers::Directory,
    engine: &ids::ServerId,
    query: Query<'_>,
) -> Option<Candidate<Placement>> {
    let shape = query.claim.engine?;
    let server = directory.get(engine).filter(|server| query.admits_generation(server))?;
    let is_service = server.entry.service == query.claim.service;
    if !is_service || !has_capacity(server, shape, query) {
        return None;
    }
    let expected_ms = constants::DECODE_START_MS + query.penalty_ms(server);
    Some(Candidate {
        placement: Placement::Kept(engine.clone()),
        expected_ms,
        backlog_ms: 0.0,
        is_preferred: false,
        rank: 0,
    })
}

/// Returns the placement with the earliest expected first event, if any engine has capacity.
///
/// Prefill servers prefill prompts. A decode server prefills a prompt itself only where that does
/// not delay the streams there, whose events are far apart during a prefill. No prompt is prefilled
/// before KV cache for its run is reserved.
pub fn best_engine_placement(
    directory: &servers::Directory,
    engine: catalog::EngineShape,
    query: Query<'_>,
) -> Option<Candidate<Placement>> {
    let direct = best_direct_placement(directory, engine, query);
    let Some(decode) = best_decode_server(directory, engine, query) else {
        return direct;
    };
    let handover = best_handover_placement(directory, decode, query);
    match (direct, handover) {
        (direct, None) => direct,
        (None, handover) => handover,
        (Some(direct), Some(handover)) => {
            let gain_ms = handover.expected_ms - direct.expected_ms;
            let is_direct = gain_ms > constants::MIN_DIRECT_GAIN_MS && !handover.is_preferred;
            Some(if is_direct || direct.is_preferred { direct } else { handover })
        }
    }
}

fn best_direct_placement(
    directory: &servers::Directory,
    engine: catalog::EngineShape,
    query: Query<'_>,
) -> Option<Candidate<Placement>> {
    let mut best = None;
    let servers = directory.of_service(&query.claim.service);
    for server in servers.filter(|server| query.admits_generation(server)) {
        let load = server.load();
        let own_ms = f64::from(query.claim.tokens.prompt_tokens) / server.tokens_per_ms;
        let holds_up_streams =
            load.requests > 0 && own_ms > constants::MAX_PREFILL_BETWEEN_EVENTS_MS;
        let is_split = server.entry.stage == Some(servers::Stage::Decode);
        if server.entry.stage == Some(servers::Stage::Prefill)
            || load.prefilling >= constants::MAX_PREFILLS_PER_DECODE_SERVER
            || (is_split && holds_up_streams)
            || !has_capacity(server, engine, query)
        {
            continue;
        }
        let backlog_ms = f64::from(load.tokens_to_prefill) / server.tokens_per_ms;
        let expected_ms = backlog_ms + own_ms + query.penalty_ms(server);
        let placement = Placement::Direct(server.entry.id.clone());
        let is_preferred = server.is_due_for_trickle(query.now);
        replace_if_better(
            &mut best,
            Candidate { placement, expected_ms, backlog_ms, is_preferred, rank: 0 },
        );
    }
    best
}

fn best_handover_placement(
    directory: &servers::Directory,
    decode: ids::ServerId,
    query: Query<'_>,
) -> Option<Candidate<Placement>> {
    let mut best: Option<Candidate<ids::ServerId>> = None;
    for server in directory.of_service(&query.claim.service).filter(|server| query.admits(server)) {
        let load = server.load();
        let is_prefill = server.entry.stage == Some(servers::Stage::Prefill);
        if !is_prefill
            || !server.can_hand_over(query.now)
            || load.prefilling >= max_prefills(server, query)
        {
            continue;
        }
        let backlog_ms = f64::from(load.tokens_to_prefill) / server.tokens_per_ms;
        let own_ms = f64::from(query.claim.tokens.prompt_tokens) / server.tokens_per_ms;
        let expected_ms = backlog_ms + own_ms + constants::HANDOVER_MS + query.penalty_ms(server);
        let placement = server.entry.id.clone();
        let is_preferred = server.is_due_for_trickle(query.now);
        replace_if_better(
            &mut best,
            Candidate { placement, expected_ms, backlog_ms, is_preferred, rank: 0 },
        );
    }
    best.map(|best| Candidate {
        placement: Placement::Handover { prefill: best.placement, decode },
        expected_ms: best.expected_ms,
        backlog_ms: best.backlog_ms,
        is_preferred: best.is_preferred,
        rank: best.rank,
    })
}

/// Returns the decode server for a handover: the one with the lowest cost by its free KV cache,
/// prefill backlog, pace and penalties.
pub fn best_decode_server(
    directory: &servers::Directory,
    engine: catalog::EngineShape,
    query: Query<'_>,
) -> Option<ids::ServerId> {
    let usual_stream_ms = directory.usual_stream_ms(&query.claim.service);
    directory
        .of_service(&query.claim.service)
        .filter(|server| server.entry.stage == Some(servers::Stage::Decode))
        .filter(|server| query.admits_generation(server))
        .filter(|server| has_capacity(server, engine, query))
        .min_by(|one, other| {
            let cost = |server: &servers::Server| {
                let load = server.load();
                let taken = f64::from(load.memory_tokens) / f64::from(engine.memory_tokens.max(1));
                let prefill_ms = f64::from(load.tokens_to_prefill) / server.tokens_per_ms;
                let pace_ms = server.pace_penalty_ms(usual_stream_ms, query.now);
                let taken_ms = taken * constants::FULL_KV_CACHE_PENALTY_MS;
                let lost_ms = server.lost_stream_penalty_ms(query.now);
                taken_ms + prefill_ms + pace_ms + lost_ms + query.place_penalty_ms(server)
            };
            let is_due = |server: &servers::Server| server.is_due_for_trickle(query.now);
            let by_cost = is_due(other).cmp(&is_due(one)).then(cost(one).total_cmp(&cost(other)));
            by_cost.then_with(|| query.rank(one).cmp(&query.rank(other)))
        })
        .map(|server| server.entry.id.clone())
}

/// Returns the plain server with the earliest expected answer, of all or of two drawn ones, if any has
/// capacity.
pub fn best_plain_server(
    directory: &servers::Directory,
    query: Query<'_>,
) -> Option<Candidate<Placement>> {
    let mut best = None;
    let draws = query.draws_plain_servers(directory);
    let mut drawn = server_load::Draw::default();
    for server in directory.of_service(&query.claim.service) {
        if !query.admits_generation(server) {
            continue;
        }
        let requests = f64::from(server.load().requests);
        let slots = f64::from(server.entry.slots.max(1)) * server.usable_share(query.now);
        if requests >= slots * constants::PLAIN_REQUESTS_PER_SLOT {
            continue;
        }
        let work_ms = server.expected_work_ms(query.now);
        let requests = requests + server.unknown_requests(query.now);
        let backlog_ms = (requests + 1.0 - slots).max(0.0) / slots * work_ms;
        // Plain servers slow down as their slots fill up.
        let contention_ms = requests / slots * work_ms * 0.5;
        let expected_ms = work_ms + backlog_ms + contention_ms + query.penalty_ms(server);
        let placement = Placement::Plain(server.entry.id.clone());
        let is_preferred = server.is_due_for_trickle(query.now);
        let rank = query.rank(server);
        let candidate = Candidate { placement, expected_ms, backlog_ms, is_preferred, rank };
        if draws && !is_preferred {
            drawn.add(server.entry.domain == query.claim.domain, candidate);
        } else {
            replace_if_better(&mut best, candidate);
        }
    }
    for candidate in drawn.into_candidates() {
        replace_if_better(&mut best, candidate);
    }
    best
}

/// Returns the number of prompts that a prefill server may have at a time.
fn max_prefills(server: &servers::Server, query: Query<'_>) -> u32 {
    let max = f64::from(constants::MAX_PREFILLS_PER_PREFILL_SERVER);
    (max * server.usable_share(query.now)).ceil() as u32
}

fn has_capacity(server: &servers::Server, engine: catalog::EngineShape, query: Query<'_>) -> bool {
    let load = server.load();
    let usable_share = server.usable_share(query.now);
    let slots = f64::from(engine.slots.min(server.entry.slots.max(1))) * usable_share;
    let memory = f64::from(engine.memory_tokens) * query.memory_share * usable_share;
    let fits =
        f64::from(load.memory_tokens) + f64::from(query.claim.tokens.memory_tokens()) <= memory;
    let has_slot = f64::from(load.requests) + 1.0 <= slots * constants::ENGINE_SLOT_SHARE;
    has_slot && (fits || load.requests == 0)
}

fn replace_if_better<T>(best: &mut Option<Candidate<T>>, candidate: Candidate<T>) {
    let is_better = |best: &Candidate<T>| match (candidate.is_preferred, best.is_preferred) {
        (true, false) => true,
        (false, true) => false,
        _ => {
            let by_wait = candidate.expected_ms.total_cmp(&best.expected_ms);
            by_wait.then(candidate.rank.cmp(&best.rank)).is_lt()
        }
    };
    if best.as_ref().is_none_or(is_better) {
        *best = Some(candidate);
    }
}
