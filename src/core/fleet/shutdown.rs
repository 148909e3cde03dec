//! The shutdown of an instance: a request that waits is served while its answer can still end before
//! the process does, and otherwise sent elsewhere.
//!
//! Load pattern: instances are stopped in turn while the engines are full, so that streams wait
//! longer than the grace period lasts.

use std::time;

use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::live;
use crate::core::fleet::refusal;
use crate::core::ids;

/// The times of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Shutdown {
    /// From then on no stream is sent to a server, as it might not end before the process does.
    pub streams_until: ids::Timestamp,
    /// When all requests without an answer get their final one.
    pub answers_until: ids::Timestamp,
}

impl Fleet {
    pub(super) fn start_shutdown(
        &mut self,
        shutdown: Shutdown,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        self.shutdown = Some(shutdown);
        let bounds = self.requests.iter().map(|(request, live)| {
            (*request, live.begin_by().min(self.latest_send(&live.route, &live.claim.service)))
        });
        let bounds: Vec<_> = bounds.collect();
        for (request, begin_by) in bounds {
            if let Some(live) = self.requests.get_mut(&request) {
                // The owner of the service learns it with the next repeat of the claim.
                live.claim.begin_by = begin_by;
            }
        }
        self.update_coordinator_role(now, effects);
        effects.push(Effect::AnnounceChange);
    }

    /// Returns the latest time at which a request may be sent to a server so that its answer ends
    /// before the process does.
    pub(super) fn latest_send(
        &self,
        route: &catalog::Route,
        service: &catalog::ServiceId,
    ) -> ids::Timestamp {
        match self.shutdown {
            None => ids::Timestamp::MAX,
            Some(shutdown) if route.is_stream => shutdown.streams_until,
            Some(shutdown) => {
                shutdown.answers_until.saturating_sub(self.servers.upper_work(service))
            }
        }
    }

    /// Returns the refusal of a request that no server can begin in time here. An instance that does
    /// not shut down may still serve it.
    pub(super) fn no_capacity(
        &self,
        live: &live::LiveRequest,
        wait: time::Duration,
        now: ids::Timestamp,
    ) -> refusal::Refusal {
        if self.shutdown.is_some() && now + wait <= live.begin_by() {
            return leaving();
        }
        refusal::Refusal::retry_after(refusal::Reason::NoCapacity, wait)
    }

    /// Returns whether the process ends before the deadline of a request.
    pub(super) fn ends_before(&self, live: &live::LiveRequest, now: ids::Timestamp) -> bool {
        let has_ended = self.shutdown.is_some_and(|shutdown| now >= shutdown.answers_until);
        has_ended && now < live.expires
    }
}

/// Returns the refusal of a request that another instance can serve.
pub(super) fn leaving() -> refusal::Refusal {
    refusal::Refusal::retry_after(refusal::Reason::Leaving, constants::SHUTDOWN_RETRY_AFTER)
}
