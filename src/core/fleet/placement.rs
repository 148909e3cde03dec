//! Where a request is sent, from expected waits.
//!
//! Load patterns: a burst in which prompts arrive faster than the prefill servers read them, so
//! that decode servers read some themselves; a plain service with fewer slots than requests.

use std::iter;

use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::ledger;
use crate::core::fleet::servers;
use crate::core::ids;

/// Where a request is run.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// A plain server.
    Plain(ids::ServerId),
    /// An engine that reads the prompt and generates.
    Direct(ids::ServerId),
    /// Two engines.
    Handover {
        /// The one that reads the prompt.
        prefill: ids::ServerId,
        /// The one that generates.
        decode: ids::ServerId,
    },
}

impl Place {
    /// Returns the servers in the order in which they are used.
    pub fn servers(&self) -> impl Iterator<Item = &ids::ServerId> {
        let (first, second) = match self {
            Self::Plain(server) | Self::Direct(server) => (server, None),
            Self::Handover { prefill, decode } => (prefill, Some(decode)),
        };
        iter::once(first).chain(second)
    }

    /// Returns the load that a request puts on each server.
    pub fn loads(&self, claim: &claim::Claim) -> ledger::Places {
        let one = servers::Load { requests: 1, ..servers::Load::default() };
        let tokens = claim.tokens;
        let unread = servers::Load { reading: 1, unread_tokens: tokens.prompt_tokens, ..one };
        let memory_tokens = tokens.memory_tokens();
        match self {
            Self::Plain(server) => vec![(server.clone(), one)],
            Self::Direct(server) => {
                vec![(server.clone(), servers::Load { memory_tokens, ..unread })]
            }
            Self::Handover { prefill, decode } => vec![
                (prefill.clone(), unread),
                (decode.clone(), servers::Load { memory_tokens, ..one }),
            ],
        }
    }
}

/// A place with what is expected of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Placed<T> {
    /// The place.
    pub place: T,
    /// The expected time until the first event, or until the whole plain answer.
    pub expected_ms: f64,
    /// The part of it during which the server works for others.
    pub backlog_ms: f64,
}

/// A request that is looked at now.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The request.
    pub claim: &'a claim::Claim,
    /// The share of an engine's memory that may be taken.
    pub memory_share: f64,
    /// The present time.
    pub now: ids::Timestamp,
}

impl View<'_> {
    fn admits(&self, server: &servers::Server) -> bool {
        server.is_usable(self.now) && !self.claim.tried.contains(&server.entry.id)
    }

    /// What a server costs beyond its work: failures, distance, a cold start.
    fn extra_ms(&self, server: &servers::Server) -> f64 {
        let is_near = server.entry.domain == self.claim.domain;
        let distance_ms = if is_near { 0.0 } else { constants::OTHER_DOMAIN_PENALTY_MS };
        let cold_ms = if server.entry.cold_ms > 0 { constants::INITIAL_PLAIN_WORK_MS } else { 0.0 };
        server.failure_ms(self.now) + distance_ms + cold_ms
    }
}

/// Returns the place with the earliest expected first event or answer, if any server has room.
pub fn best(directory: &servers::Directory, view: View<'_>) -> Option<Placed<Place>> {
    match view.claim.engine {
        Some(engine) => language(directory, engine, view),
        None => plain(directory, view),
    }
}

/// Returns the place with the earliest expected first event, if any server has room.
///
/// A prompt is read by a prefill server, and by a decode server itself only where that does not
/// hold up the streams there: events are far apart while it reads. No prompt is read before the
/// memory for its run is set aside.
pub fn language(
    directory: &servers::Directory,
    engine: catalog::EngineShape,
    view: View<'_>,
) -> Option<Placed<Place>> {
    let direct = direct(directory, engine, view);
    let Some(decode) = decode(directory, engine, view) else {
        return direct;
    };
    let handover = handover(directory, decode, view);
    match (direct, handover) {
        (direct, None) => direct,
        (None, handover) => handover,
        (Some(direct), Some(handover)) => {
            let gain_ms = handover.expected_ms - direct.expected_ms;
            Some(if gain_ms > constants::MIN_DIRECT_GAIN_MS { direct } else { handover })
        }
    }
}

fn direct(
    directory: &servers::Directory,
    engine: catalog::EngineShape,
    view: View<'_>,
) -> Option<Placed<Place>> {
    let mut best = None;
    for server in directory.of(&view.claim.service).filter(|server| view.admits(server)) {
        let load = server.load();
        let own_ms = f64::from(view.claim.tokens.prompt_tokens) / server.tokens_per_ms;
        let holds_up_streams =
            load.requests > 0 && own_ms > constants::MAX_PREFILL_BETWEEN_EVENTS_MS;
        let is_split = server.entry.stage == Some(servers::Stage::Decode);
        if server.entry.stage == Some(servers::Stage::Prefill)
            || load.reading >= constants::MAX_PREFILLS_PER_DECODE_SERVER
            || (is_split && holds_up_streams)
            || !has_room(server, engine, view)
        {
            continue;
        }
        let backlog_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
        let expected_ms = backlog_ms + own_ms + view.extra_ms(server);
        let place = Place::Direct(server.entry.id.clone());
        keep_best(&mut best, Placed { place, expected_ms, backlog_ms });
    }
    best
}

fn handover(
    directory: &servers::Directory,
    decode: ids::ServerId,
    view: View<'_>,
) -> Option<Placed<Place>> {
    let mut best: Option<Placed<ids::ServerId>> = None;
    for server in directory.of(&view.claim.service).filter(|server| view.admits(server)) {
        let load = server.load();
        let is_prefill = server.entry.stage == Some(servers::Stage::Prefill);
        if !is_prefill
            || !server.hands_over(view.now)
            || load.reading >= constants::MAX_PREFILLS_PER_PREFILL_SERVER
        {
            continue;
        }
        let backlog_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
        let own_ms = f64::from(view.claim.tokens.prompt_tokens) / server.tokens_per_ms;
        let expected_ms = backlog_ms + own_ms + constants::HANDOVER_MS + view.extra_ms(server);
        let place = server.entry.id.clone();
        keep_best(&mut best, Placed { place, expected_ms, backlog_ms });
    }
    best.map(|placed| Placed {
        place: Place::Handover { prefill: placed.place, decode },
        expected_ms: placed.expected_ms,
        backlog_ms: placed.backlog_ms,
    })
}

/// Returns the decode server that takes over a prompt: the one with the most memory left.
pub fn decode(
    directory: &servers::Directory,
    engine: catalog::EngineShape,
    view: View<'_>,
) -> Option<ids::ServerId> {
    directory
        .of(&view.claim.service)
        .filter(|server| server.entry.stage == Some(servers::Stage::Decode))
        .filter(|server| view.admits(server))
        .filter(|server| has_room(server, engine, view))
        .min_by(|one, other| {
            let cost = |server: &servers::Server| {
                let load = server.load();
                let taken = f64::from(load.memory_tokens) / f64::from(engine.memory_tokens.max(1));
                let unread_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
                taken * constants::FULL_KV_CACHE_PENALTY_MS + unread_ms + view.extra_ms(server)
            };
            cost(one).total_cmp(&cost(other))
        })
        .map(|server| server.entry.id.clone())
}

/// Returns the plain server with the earliest expected answer, if any has room.
pub fn plain(directory: &servers::Directory, view: View<'_>) -> Option<Placed<Place>> {
    let mut best = None;
    for server in directory.of(&view.claim.service) {
        if !view.admits(server) {
            continue;
        }
        let requests = f64::from(server.load().requests);
        let slots = f64::from(server.entry.slots.max(1));
        if requests >= slots * constants::PLAIN_REQUESTS_PER_SLOT {
            continue;
        }
        let backlog_ms = (requests + 1.0 - slots).max(0.0) / slots * server.work_ms;
        // Servers slow down towards their last slot.
        let crowding_ms = requests / slots * server.work_ms * 0.5;
        let expected_ms = server.work_ms + backlog_ms + crowding_ms + view.extra_ms(server);
        let place = Place::Plain(server.entry.id.clone());
        keep_best(&mut best, Placed { place, expected_ms, backlog_ms });
    }
    best
}

fn has_room(server: &servers::Server, engine: catalog::EngineShape, view: View<'_>) -> bool {
    let load = server.load();
    let slots = f64::from(engine.slots.min(server.entry.slots.max(1)));
    let memory = f64::from(engine.memory_tokens) * view.memory_share;
    let fits =
        f64::from(load.memory_tokens) + f64::from(view.claim.tokens.memory_tokens()) <= memory;
    let has_slot = f64::from(load.requests) + 1.0 <= slots * constants::ENGINE_SLOT_SHARE;
    has_slot && (fits || load.requests == 0)
}

fn keep_best<T>(best: &mut Option<Placed<T>>, candidate: Placed<T>) {
    if best.as_ref().is_none_or(|best| candidate.expected_ms < best.expected_ms) {
        *best = Some(candidate);
    }
}
