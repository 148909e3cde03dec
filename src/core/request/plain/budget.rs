//! Retry budgets: the retries of a route stay a fraction of its recent calls.

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
    /// Notes a call of a route, which earns a part of a retry.
    pub fn earn(&mut self, route: &ids::RouteId) {
        let left = self.left(route) + constants::RETRY_EARNED_PER_MILLE;
        self.retries_per_mille.insert(route.clone(), left.min(constants::RETRY_SAVED_PER_MILLE));
    }

    /// Spends one retry; returns whether there was one.
    pub fn spend(&mut self, route: &ids::RouteId) -> bool {
        let Some(left) = self.left(route).checked_sub(1_000) else { return false };
        self.retries_per_mille.insert(route.clone(), left);
        true
    }

    /// Forgets the routes that `is_listed` does not name.
    pub fn retain<F: Fn(&ids::RouteId) -> bool>(&mut self, is_listed: F) {
        self.retries_per_mille.retain(|route, _| is_listed(route));
    }

    fn left(&self, route: &ids::RouteId) -> u32 {
        self.retries_per_mille.get(route).copied().unwrap_or(constants::RETRY_SAVED_PER_MILLE)
    }
}

/// Returns the pause before the attempt after `attempt`: doubled each time, of which the upper half
/// is drawn from the request id.
pub fn backoff(request: ids::RequestId, attempt: ids::Attempt) -> time::Duration {
    let doublings = u32::from(attempt.saturating_sub(1)).min(8);
    let longest = constants::RETRY_BACKOFF * 2u32.pow(doublings);
    let draw = u32::try_from(servers::draw(request, attempt) % 1_024).unwrap_or(0);
    longest / 2 + longest * draw / 2_048
}
