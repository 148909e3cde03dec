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
    /// A prefill server reads the prompt; the decode server is chosen when it is read.
    Handover(ids::ServerId),
}

impl Plan {
    /// Returns the server that is used first.
    pub fn server(&self) -> &ids::ServerId {
        match self {
            Self::Direct(server) | Self::Handover(server) => server,
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

    fn distance_ms(&self, server: &servers::Server) -> f64 {
        if server.entry.domain == self.domain { 0.0 } else { constants::OTHER_DOMAIN_MS }
    }
}

/// Returns the plan with the earliest expected first event, if any server has room.
pub fn language(
    directory: &servers::Directory,
    service: &catalog::ServiceId,
    engine: catalog::EngineShape,
    tokens: call::Tokens,
    view: View<'_>,
) -> Option<Placed<Plan>> {
    let mut direct: Option<Placed<Plan>> = None;
    let mut handover: Option<Placed<Plan>> = None;
    for server in directory.of(service) {
        let needed = tokens.total_tokens();
        if !view.admits(server) || !has_room(server, engine, needed) {
            continue;
        }
        let load = server.load();
        let backlog_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
        let own_ms = f64::from(tokens.prompt_tokens) / server.tokens_per_ms;
        let expected_ms =
            backlog_ms + own_ms + server.failure_ms() + view.distance_ms(server) + cold_ms(server);
        let id = server.entry.id.clone();
        if server.entry.stage == Some(servers::Stage::Prefill) {
            if server.hands_over(view.now) {
                let expected_ms = expected_ms + constants::HANDOVER_MS;
                keep_best(
                    &mut handover,
                    Placed { place: Plan::Handover(id), expected_ms, backlog_ms },
                );
            }
        } else {
            keep_best(&mut direct, Placed { place: Plan::Direct(id), expected_ms, backlog_ms });
        }
    }
    match (direct, handover) {
        // A hand-over needs a decode server to take it.
        (None, _) => None,
        (direct, None) => direct,
        (Some(direct), Some(handover)) => {
            let gain_ms = direct.expected_ms - handover.expected_ms;
            Some(if gain_ms > constants::HANDOVER_GAIN_MS { handover } else { direct })
        }
    }
}

/// Returns the decode server that takes over a prompt that has been read.
pub fn decode(
    directory: &servers::Directory,
    service: &catalog::ServiceId,
    engine: catalog::EngineShape,
    tokens: call::Tokens,
    view: View<'_>,
) -> Option<ids::ServerId> {
    directory
        .of(service)
        .filter(|server| server.entry.stage != Some(servers::Stage::Prefill))
        .filter(|server| view.admits(server))
        .filter(|server| has_room(server, engine, tokens.total_tokens()))
        .min_by(|one, other| {
            let cost = |server: &servers::Server| {
                let load = server.load();
                let busy = f64::from(load.memory_tokens) / f64::from(engine.memory_tokens.max(1));
                let unread_ms = f64::from(load.unread_tokens) / server.tokens_per_ms;
                busy * 100.0 + unread_ms + server.failure_ms() + view.distance_ms(server)
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
        let expected_ms = server.work_ms
            + backlog_ms
            + crowding_ms
            + server.failure_ms()
            + view.distance_ms(server)
            + cold_ms(server);
        let place = server.entry.id.clone();
        keep_best(&mut best, Placed { place, expected_ms, backlog_ms });
    }
    best
}

fn has_room(server: &servers::Server, engine: catalog::EngineShape, tokens: u32) -> bool {
    let load = server.load();
    let slots = f64::from(engine.slots.min(server.entry.slots.max(1)));
    let memory = f64::from(engine.memory_tokens) * constants::MEMORY_SHARE;
    let is_empty = load.requests == 0;
    let fits = f64::from(load.memory_tokens) + f64::from(tokens) <= memory;
    f64::from(load.requests) + 1.0 <= slots * constants::ENGINE_SLOT_SHARE && (fits || is_empty)
}

fn cold_ms(server: &servers::Server) -> f64 {
    if server.entry.cold_ms > 0 { constants::PLAIN_WORK_MS } else { 0.0 }
}

fn keep_best<T>(best: &mut Option<Placed<T>>, candidate: Placed<T>) {
    if best.as_ref().is_none_or(|best| candidate.expected_ms < best.expected_ms) {
        *best = Some(candidate);
    }
}
