//! Calls that wait: for the time of their next attempt, or for room at a server.

use std::collections as std_collections;

use crate::core::ids;
use crate::core::request::constants;

type Queue = std_collections::VecDeque<ids::RequestId>;

/// Timers of calls, and one queue for each route.
#[derive(Debug, Default)]
pub struct Waits {
    timers: std_collections::BTreeSet<(ids::Timestamp, ids::RequestId)>,
    queues: std_collections::BTreeMap<ids::RouteId, Queue>,
}

impl Waits {
    /// Wakes a call at a time.
    pub fn set_timer(&mut self, at: ids::Timestamp, request: ids::RequestId) {
        self.timers.insert((at, request));
    }

    /// Takes a timer back.
    pub fn clear_timer(&mut self, at: ids::Timestamp, request: ids::RequestId) {
        self.timers.remove(&(at, request));
    }

    /// Takes the next timer that is due.
    pub fn take_due(&mut self, now: ids::Timestamp) -> Option<ids::RequestId> {
        let &(at, request) = self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        Some(request)
    }

    /// Returns whether no call of a route waits before this one.
    pub fn is_next(&self, route: &ids::RouteId, request: ids::RequestId) -> bool {
        self.front(route).is_none_or(|front| front == request)
    }

    /// Returns the call of a route that has waited longest.
    pub fn front(&self, route: &ids::RouteId) -> Option<ids::RequestId> {
        self.queues.get(route)?.front().copied()
    }

    /// Adds a call to the queue of its route; returns whether there was room.
    pub fn join(&mut self, route: &ids::RouteId, request: ids::RequestId) -> bool {
        let queue = self.queues.entry(route.clone()).or_default();
        if queue.len() >= constants::MAX_QUEUED_PER_ROUTE {
            return false;
        }
        queue.push_back(request);
        true
    }

    /// Takes a call out of the queue of its route.
    pub fn leave(&mut self, route: &ids::RouteId, request: ids::RequestId) {
        let Some(queue) = self.queues.get_mut(route) else { return };
        queue.retain(|queued| *queued != request);
        if queue.is_empty() {
            self.queues.remove(route);
        }
    }

    /// Returns the routes with calls that wait for room.
    pub fn routes(&self) -> Vec<ids::RouteId> {
        self.queues.keys().cloned().collect()
    }
}
