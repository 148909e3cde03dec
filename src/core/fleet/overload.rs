//! Overload of services, and the order of their queues.
//!
//! Load pattern: for some seconds, twice as many requests arrive as the servers of a service can
//! answer. By earliest objective each would start at the last moment and miss its objective by the
//! spread of the work; the newest ones still have the time.

use std::time;

use crate::core::collections;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The time for which requests that can still meet their objective wait without a gap until their
/// service is in overload: longer than a burst of arrivals that the servers take within an objective.
const STANDING_QUEUE: time::Duration = time::Duration::from_millis(100);

/// The order in which a request was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The earliest objective goes first.
    Earliest,
    /// The newest request goes first, as its service is in overload.
    Newest,
    /// The request misses its objective in any case, and fills a gap.
    Late,
}

impl Order {
    /// Returns the name of the order in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Earliest => "earliest",
            Self::Newest => "newest",
            Self::Late => "late",
        }
    }
}

#[derive(Debug)]
struct StandingQueue {
    since: ids::Timestamp,
    is_overload: bool,
    /// Whether requests of several workspaces wait.
    is_contended: bool,
}

/// The services with a queue of requests that can still meet their objective.
#[derive(Debug, Default)]
pub struct Overloads {
    queues: collections::Map<catalog::ServiceId, StandingQueue>,
}

impl Overloads {
    /// Returns whether a service is in overload.
    pub fn contains(&self, service: &catalog::ServiceId) -> bool {
        self.queues.get(service).is_some_and(|queue| queue.is_overload)
    }

    /// Returns whether several workspaces compete for a service in overload.
    pub fn is_contended(&self, service: &catalog::ServiceId) -> bool {
        self.queues.get(service).is_some_and(|queue| queue.is_overload && queue.is_contended)
    }

    /// Notes the services for which requests of several workspaces wait.
    pub fn note_contended(&mut self, contended: &[catalog::ServiceId]) {
        for (service, queue) in &mut self.queues {
            queue.is_contended = contended.contains(service);
        }
    }

    /// Returns whether no queue is known.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Applies the services where requests that can still meet their objective wait now; returns those
    /// that enter or leave overload.
    pub fn update(
        &mut self,
        standing: &[&catalog::ServiceId],
        now: ids::Timestamp,
    ) -> Vec<catalog::ServiceId> {
        let mut changed = Vec::new();
        self.queues.retain(|service, known| {
            let is_standing = standing.contains(&service);
            if !is_standing && known.is_overload {
                changed.push(service.clone());
            }
            is_standing
        });
        for service in standing {
            let known = self.queues.entry((*service).clone()).or_insert(StandingQueue {
                since: now,
                is_overload: false,
                is_contended: false,
            });
            if !known.is_overload && now.saturating_sub(known.since) >= STANDING_QUEUE {
                known.is_overload = true;
                changed.push((*service).clone());
            }
        }
        changed
    }
}

impl Fleet {
    /// Returns the order in which a claim is placed.
    pub(super) fn order_of(&self, claim: &claim::Claim, now: ids::Timestamp) -> Order {
        if claim.is_late(now) {
            Order::Late
        } else if claim.engine.is_none() && self.overloads.contains(&claim.service) {
            Order::Newest
        } else {
            Order::Earliest
        }
    }

    /// Detects services that enter or leave overload by the requests that wait after a placement.
    pub(super) fn update_overloads(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        // Each service with its first workspace, and whether others wait, too.
        let mut standing: Vec<(catalog::ServiceId, Option<quota::WorkspaceName>, bool)> =
            Vec::new();
        for (_, claim) in self.waiters().filter(|(_, claim)| !claim.is_late(now)) {
            match standing.iter_mut().find(|(service, ..)| *service == claim.service) {
                Some((_, first, is_contended)) => *is_contended |= *first != claim.workspace,
                None => standing.push((claim.service.clone(), claim.workspace.clone(), false)),
            }
        }
        let services: Vec<_> = standing.iter().map(|(service, ..)| service).collect();
        let changed = self.overloads.update(&services, now);
        let contended = standing.into_iter().filter(|(.., is_contended)| *is_contended);
        let contended: Vec<_> = contended.map(|(service, ..)| service).collect();
        self.overloads.note_contended(&contended);
        for service in changed {
            let in_time = self.waiters().map(|(_, claim)| claim);
            let in_time = in_time.filter(|claim| claim.service == service && !claim.is_late(now));
            let waits: Vec<_> = in_time.map(|claim| now.saturating_sub(claim.arrived)).collect();
            let (room_requests, room_memory_tokens) = self.room(&service, now);
            effects.push(Effect::Log(decision::Decision::OverloadChanged {
                service: service.to_string(),
                is_overloaded: self.overloads.contains(&service),
                waiting: waits.len(),
                oldest_wait_ms: waiting::millis(waits.into_iter().max().unwrap_or_default()),
                room_requests,
                room_memory_tokens,
            }));
        }
    }

    /// Returns whether workspaces take turns at a service as it is in overload. At engines a single
    /// workspace needs none, and its requests are placed as they arrive.
    pub(super) fn takes_turns_in_overload(&self, service: &catalog::ServiceId) -> bool {
        let is_plain =
            self.catalog.as_ref().is_none_or(|catalog| catalog.engine(service).is_none());
        self.overloads.contains(service) && (is_plain || self.overloads.is_contended(service))
    }

    /// Returns whether ejected servers that answer a part of their requests may get a claim: its service
    /// is in overload, so that other requests would be late or refused. A stream that breaks off is
    /// lost with its prompt, so engines are not used that way.
    pub(super) fn accepts_partial_failures(&self, claim: &claim::Claim) -> bool {
        claim.engine.is_none() && self.overloads.contains(&claim.service)
    }

    /// Returns the requests that the usable servers of a service can take now, and for engines the
    /// KV cache that is free at those that generate answers.
    fn room(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> (u64, Option<u64>) {
        let engine = self.catalog.as_ref().and_then(|catalog| catalog.engine(service));
        let (mut requests, mut memory_tokens) = (0, 0);
        for server in self.servers.of_service(service).filter(|server| server.is_usable(now)) {
            if server.entry.stage != Some(servers::Stage::Prefill) {
                let load = server.load();
                requests += u64::from(server.max_requests().saturating_sub(load.requests));
                let tokens = engine.map_or(0, |engine| engine.memory_tokens);
                memory_tokens += u64::from(tokens.saturating_sub(load.memory_tokens));
            }
        }
        (requests, engine.map(|_| memory_tokens))
    }

    /// Returns whether a server of a service may take a request. For engines it depends on the request.
    pub(super) fn may_have_room(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> bool {
        self.servers.of_service(service).any(|server| {
            let is_plain = server.entry.stage.is_none();
            let is_full = server.load().requests >= server.max_requests();
            let accepts_partial_failures = is_plain && self.overloads.contains(service);
            server.may_take(accepts_partial_failures, now) && !(is_plain && is_full)
        })
    }
}

impl servers::Server {
    /// Returns the number of requests that the server gets at the same time.
    fn max_requests(&self) -> u32 {
        let slots = f64::from(self.entry.slots.max(1));
        let share = match self.entry.stage {
            Some(_) => constants::ENGINE_SLOT_SHARE,
            None => constants::PLAIN_REQUESTS_PER_SLOT,
        };
        (slots * share).ceil() as u32
    }
}

#[cfg(test)]
mod tests;
