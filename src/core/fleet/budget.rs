//! The part of the fleet's retry budget that this instance may spend: for each call that reaches a
//! server beyond the first one of its request.
//!
//! Load pattern: many servers fail or reject requests at the same time, and each request would be
//! retried.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::ids;

/// The fleet's bounds on retries, from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// The allowed number of retries per request.
    pub ratio: f64,
    /// The number of retries that the whole fleet may make in a window in addition to the ratio.
    pub slack: f64,
    /// The length of the window.
    pub window: time::Duration,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<ids::Timestamp>,
    retries: VecDeque<ids::Timestamp>,
}

/// The requests and retries of each service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    /// Whether instances have spent of the budget before this one started.
    has_predecessors: bool,
    windows: collections::Map<catalog::ServiceId, Window>,
}

impl RetryBudget {
    /// Creates a budget without any requests or retries. Instances that ran before may have spent the
    /// whole slack.
    pub fn new(bounds: RetryBounds, has_predecessors: bool) -> Self {
        Self { bounds, has_predecessors, windows: collections::Map::default() }
    }

    /// Changes the bounds; requests and retries counted before still count.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &catalog::ServiceId, now: ids::Timestamp) {
        let length = self.bounds.window;
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now);
        expire(&mut window.requests, length, now);
    }

    /// Spends `count` calls of this instance's part of the budget; returns `false` if fewer are left.
    pub fn spend(
        &mut self,
        service: &catalog::ServiceId,
        count: u32,
        members: usize,
        now: ids::Timestamp,
    ) -> bool {
        let bounds = self.bounds;
        let window = self.windows.entry(service.clone()).or_default();
        expire(&mut window.requests, bounds.window, now);
        expire(&mut window.retries, bounds.window, now);
        let is_slack_spent = self.has_predecessors && now < bounds.window;
        let slack = if is_slack_spent { 0.0 } else { bounds.slack / members.max(1) as f64 };
        let allowed =
            constants::RETRY_BUDGET_SHARE * (bounds.ratio * window.requests.len() as f64 + slack);
        if window.retries.len() as f64 + f64::from(count) > allowed {
            return false;
        }
        window.retries.extend((0..count).map(|_| now));
        true
    }

    /// Gives back `count` calls that were not made.
    pub fn refund(&mut self, service: &catalog::ServiceId, count: u32) {
        if let Some(window) = self.windows.get_mut(service) {
            let left = window.retries.len().saturating_sub(count as usize);
            window.retries.truncate(left);
        }
    }
}

fn expire(times: &mut VecDeque<ids::Timestamp>, length: time::Duration, now: ids::Timestamp) {
    while times.front().is_some_and(|at| now.saturating_sub(*at) > length) {
        times.pop_front();
    }
}
