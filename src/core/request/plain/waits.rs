//! Calls that wait for their next attempt, or for capacity at a server.

use std::collections as std_collections;

use crate::core::ids;
use crate::core::request::constants;

type Queue = std_collections::VecDeque<ids::RequestId>;

/// The timers of calls, and one queue of calls for each route.
#[derive(Debug, Default)]
pub struct Waits {
    timers: std_collections::BTreeSet<(ids::Timestamp, ids::RequestId)>,
    queues: std_collections::BTreeMap<ids::RouteId, Queue>,
}

impl Waits {
    /// Sets a timer that resumes a call.
    pub fn set_timer(&mut self, at: ids::Timestamp, request: ids::RequestId) {
        self.timers.insert((at, request));
    }

    /// Removes a timer.
    pub fn clear_timer(&mut self, at: ids::Timestamp, request: ids::RequestId) {
        self.timers.remove(&(at, request));
    }

    /// Removes the next timer that is due and returns its call.
    pub fn take_due(&mut self, now: ids::Timestamp) -> Option<ids::RequestId> {
        let &(at, request) = self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        Some(request)
    }

    /// Returns whether no call of a route is queued before this one.
    pub fn is_next(&self, route: &ids::RouteId, request: ids::RequestId) -> bool {
        self.front(route).is_none_or(|front| front == request)
    }

    /// Returns the call of a route that was queued first.
    pub fn front(&self, route: &ids::RouteId) -> Option<ids::RequestId> {
        self.queues.get(route)?.front().copied()
    }

    /// Adds a call to the queue of its route; returns `false` if the queue is full.
    pub fn join(&mut self, route: &ids::RouteId, request: ids::RequestId) -> bool {
        let queue = self.queues.entry(route.clone()).or_default();
        if queue.len() >= constants::MAX_QUEUED_PER_ROUTE {
            return false;
        }
        queue.push_back(request);
        true
    }

    /// Removes a call from the queue of its route.
    pub fn leave(&mut self, route: &ids::RouteId, request: ids::RequestId) {
        let Some(queue) = self.queues.get_mut(route) else { return };
        queue.retain(|queued| *queued != request);
        if queue.is_empty() {
            self.queues.remove(route);
        }
    }

    /// Returns the routes with queued calls.
    pub fn routes(&self) -> Vec<ids::RouteId> {
        self.queues.keys().cloned().collect()
    }
}
