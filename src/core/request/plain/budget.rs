//! Retry budgets: limit the retries of a route to a fraction of its recent calls.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::request::constants;
use crate::core::request::plain::servers;

/// The retry budgets of all routes.
#[derive(Debug, Default)]
pub struct Budgets {
    retries_per_mille: collections::Map<ids::RouteId, u32>,
}

impl Budgets {
    /// Adds a call's share of a retry to its route's budget.
    pub fn deposit(&mut self, route: &ids::RouteId) {
        let remaining = self.remaining(route) + constants::RETRY_EARNED_PER_MILLE;
        self.retries_per_mille
            .insert(route.clone(), remaining.min(constants::MAX_RETRIES_PER_MILLE));
    }

    /// Takes one retry from a route's budget; returns whether there was one.
    pub fn withdraw(&mut self, route: &ids::RouteId) -> bool {
        let Some(remaining) = self.remaining(route).checked_sub(1_000) else { return false };
        self.retries_per_mille.insert(route.clone(), remaining);
        true
    }

    /// Drops the routes that `is_listed` does not accept.
    pub fn retain<F: Fn(&ids::RouteId) -> bool>(&mut self, is_listed: F) {
        self.retries_per_mille.retain(|route, _| is_listed(route));
    }

    fn remaining(&self, route: &ids::RouteId) -> u32 {
        self.retries_per_mille.get(route).copied().unwrap_or(constants::MAX_RETRIES_PER_MILLE)
    }
}

/// Returns the pause before the attempt after `attempt`: exponential backoff, of which the upper
/// half is jitter derived from the request id.
pub fn backoff(request: ids::RequestId, attempt: ids::Attempt) -> time::Duration {
    let doublings = u32::from(attempt.saturating_sub(1)).min(8);
    let max_pause = constants::RETRY_BACKOFF * 2u32.pow(doublings);
    let draw = u32::try_from(servers::draw(request, attempt) % 1_024).unwrap_or(0);
    max_pause / 2 + max_pause * draw / 2_048
}
