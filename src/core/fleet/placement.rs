//! Where a request is sent, from expected waits.
//!
//! Load patterns: a burst in which prompts arrive faster than the prefill servers read them, so
//! that decode servers read some themselves; a plain service with fewer slots than requests.

use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::servers;
use crate::core::ids;

/// How a language request is run.
#[derive(Debug, Clone, PartialEq)]
pub enum Plan {
    /// One server reads the prompt and generates.
    Direct(ids::ServerId),
    /// A prefill server reads the prompt, and a decode server generates.
    Handover {
        /// The prefill server.
        prefill: ids::ServerId,
        /// The decode server.
        decode: ids::ServerId,
    },
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

/// What placement looks at besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The failure domain of this instance.
    pub domain: &'a str,
    /// Servers that the request has tried.
    pub tried: &'a [ids::ServerId],
    /// The present time.
    pub now: ids::Timestamp,
}

impl View<'_> {
    fn admits(&self, server: &servers::Server) -> bool {
        server.is_usable(self.now) && !self.tried.contains(&server.entry.id)
    }

    /// What a server costs beyond its work: failures, distance, a cold start.
    fn extra_ms(&self, server: &servers::Server) -> f64 {
        let is_near = server.entry.domain == self.domain;
        let distance_ms = if is_near { 0.0 } else { constants::OTHER_DOMAIN_MS };
        let cold_ms = if server.entry.cold_ms > 0 { constants::PLAIN_WORK_MS } else { 0.0 };
        server.failure_ms() + distance_ms + cold_ms
    }
}

/// Returns the plan with the earliest expected first event, if any server has room.
///
/// A prompt is read by a prefill server, and by a decode server itself only where that does not
/// hold up the streams there: events are far apart while it reads. No prompt is read before the
/// memory for its run is set aside.
pub fn language(
    directory: &servers::Directory,
    service: &catalog::ServiceId,
    engine: catalog::EngineShape,
    tokens: call::Tokens,
    memory_share: f64,
    view: View<'_>,
) -> Option<Placed<Plan>> {
    let direct = direct(directory, service, engine, tokens, memory_share, view);
    let Some(decode) = decode(directory, service, engine, tokens, memory_share, view) else {
        return direct;
    };
    let handover = handover(directory, service, tokens, decode, view);
    match (direct, handover) {
        (direct, None) => direct,
        (None, handover) => handover,
        (Some(direct), Some(handover)) => {
            let gain_ms = handover.expected_ms - direct.expected_ms;
            Some(if gain_ms > constants::DIRECT_GAIN_MS { direct } else { handover })
        }
    }
}

fn direct(
    directory: &servers::Directory,
    service: &catalog::ServiceId,
    engine: catalog::EngineShape,
    tokens: call::Tokens,
    memory_share: f64,
    view: View<'_>,
) -> Option<Placed<Plan>> {
    let mut best = None;
    for server in directory.of(service).filter(|server| view.admits(server)) {
        let load = server.load();
        let own_ms = f64::from(tokens.prompt_tokens) / server.tokens_per_ms;
        let holds_up_streams = load.requests > 0 && own_ms > constants::READING_BETWEEN_EVENTS_MS;
        let is_split = server.entry.stage == Some(servers::Stage::Decode);
        if server.entry.stage == Some(servers::Stage::Prefill)
            || load.reading >= constants::DECODE_READERS
            || (is_split && holds_up_streams)
            || !has_room(server, engine, tokens, memory_share)
        {
            continue;
        }
        let backlog_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
        let expected_ms = backlog_ms + own_ms + view.extra_ms(server);
        let place = Plan::Direct(server.entry.id.clone());
        keep_best(&mut best, Placed { place, expected_ms, backlog_ms });
    }
    best
}

fn handover(
    directory: &servers::Directory,
    service: &catalog::ServiceId,
    tokens: call::Tokens,
    decode: ids::ServerId,
    view: View<'_>,
) -> Option<Placed<Plan>> {
    let mut best: Option<Placed<ids::ServerId>> = None;
    for server in directory.of(service).filter(|server| view.admits(server)) {
        let load = server.load();
        let is_prefill = server.entry.stage == Some(servers::Stage::Prefill);
        if !is_prefill || !server.hands_over(view.now) || load.reading >= constants::PREFILL_READERS
        {
            continue;
        }
        let backlog_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
        let own_ms = f64::from(tokens.prompt_tokens) / server.tokens_per_ms;
        let expected_ms = backlog_ms + own_ms + constants::HANDOVER_MS + view.extra_ms(server);
        let place = server.entry.id.clone();
        keep_best(&mut best, Placed { place, expected_ms, backlog_ms });
    }
    best.map(|placed| Placed {
        place: Plan::Handover { prefill: placed.place, decode },
        expected_ms: placed.expected_ms,
        backlog_ms: placed.backlog_ms,
    })
}

/// Returns the decode server that takes over a prompt: the one with the most memory left.
pub fn decode(
    directory: &servers::Directory,
    service: &catalog::ServiceId,
    engine: catalog::EngineShape,
    tokens: call::Tokens,
    memory_share: f64,
    view: View<'_>,
) -> Option<ids::ServerId> {
    directory
        .of(service)
        .filter(|server| server.entry.stage == Some(servers::Stage::Decode))
        .filter(|server| view.admits(server))
        .filter(|server| has_room(server, engine, tokens, memory_share))
        .min_by(|one, other| {
            let cost = |server: &servers::Server| {
                let load = server.load();
                let taken = f64::from(load.memory_tokens) / f64::from(engine.memory_tokens.max(1));
                let unread_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
                taken * constants::FULL_MEMORY_MS + unread_ms + view.extra_ms(server)
            };
            cost(one).total_cmp(&cost(other))
        })
        .map(|server| server.entry.id.clone())
}

/// Returns the plain server with the earliest expected answer, if any has room.
pub fn plain(
    directory: &servers::Directory,
    service: &catalog::ServiceId,
    view: View<'_>,
) -> Option<Placed<ids::ServerId>> {
    let mut best = None;
    for server in directory.of(service) {
        if !view.admits(server) {
            continue;
        }
        let requests = f64::from(server.load().requests);
        let slots = f64::from(server.entry.slots.max(1));
        if requests >= slots * constants::PLAIN_DEPTH {
            continue;
        }
        let backlog_ms = (requests + 1.0 - slots).max(0.0) / slots * server.work_ms;
        // Servers slow down towards their last slot.
        let crowding_ms = requests / slots * server.work_ms * 0.5;
        let expected_ms = server.work_ms + backlog_ms + crowding_ms + view.extra_ms(server);
        let place = server.entry.id.clone();
        keep_best(&mut best, Placed { place, expected_ms, backlog_ms });
    }
    best
}

fn has_room(
    server: &servers::Server,
    engine: catalog::EngineShape,
    tokens: call::Tokens,
    memory_share: f64,
) -> bool {
    let load = server.load();
    let slots = f64::from(engine.slots.min(server.entry.slots.max(1)));
    let memory = f64::from(engine.memory_tokens) * memory_share;
    let fits = f64::from(load.memory_tokens) + f64::from(tokens.memory_tokens()) <= memory;
    let has_slot = f64::from(load.requests) + 1.0 <= slots * constants::ENGINE_SLOT_SHARE;
    has_slot && (fits || load.requests == 0)
}

fn keep_best<T>(best: &mut Option<Placed<T>>, candidate: Placed<T>) {
    if best.as_ref().is_none_or(|best| candidate.expected_ms < best.expected_ms) {
        *best = Some(candidate);
    }
}
