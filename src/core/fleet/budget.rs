//! The share of the fleet's retry budget that this instance spends.
//!
//! Load pattern: many servers fail or reject at once, and each request would be tried again.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::ids;

/// The platform's bounds on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries of the whole fleet beyond the ratio in a window.
    pub slack: f64,
    /// The length of the window.
    pub window: time::Duration,
}

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<ids::Timestamp>,
    retries: VecDeque<ids::Timestamp>,
}

/// Requests and retries of each service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    windows: collections::Map<catalog::ServiceId, Window>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, windows: collections::Map::default() }
    }

    /// Takes other bounds; what was counted stays.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, service: &catalog::ServiceId, now: ids::Timestamp) {
        let length = self.bounds.window;
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now);
        expire(&mut window.requests, length, now);
    }

    /// Spends one retry if this instance's share of the budget holds one.
    pub fn spend(
        &mut self,
        service: &catalog::ServiceId,
        members: usize,
        now: ids::Timestamp,
    ) -> bool {
        let bounds = self.bounds;
        let window = self.windows.entry(service.clone()).or_default();
        expire(&mut window.requests, bounds.window, now);
        expire(&mut window.retries, bounds.window, now);
        let slack = bounds.slack / members.max(1) as f64;
        let allowed =
            constants::RETRY_BUDGET_SHARE * (bounds.ratio * window.requests.len() as f64 + slack);
        if (window.retries.len() + 1) as f64 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}

fn expire(times: &mut VecDeque<ids::Timestamp>, length: time::Duration, now: ids::Timestamp) {
    while times.front().is_some_and(|at| now.saturating_sub(*at) > length) {
        times.pop_front();
    }
}
