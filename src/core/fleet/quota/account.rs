//! The account of one workspace: its limit and the spending within the window.

use std::time;

use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::quota::tally::Tally;
use crate::core::fleet::quota::window;
use crate::core::ids;

/// The time for which changed spending is repeated in every digest: many digests, as some are lost.
pub(super) const REPORT_PERIOD: time::Duration = time::Duration::from_secs(5);

/// The limit of a workspace and what counts against it.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) limit: catalog::Limit,
    pub(super) window: window::Window,
    /// The part of the window that was spent at this instance.
    pub(super) own_window: window::Window,
    /// The spending that peers reported within `PEER_RATE_WINDOW`.
    pub(super) peer_spending: window::Window,
    /// The spending at this instance since its start.
    pub(super) own: Tally,
    /// The spending at this instance before the changes that are reported now.
    pub(super) own_baseline: Tally,
    pub(super) own_changed: Option<ids::Timestamp>,
    /// The part of the own spending that the spending history contains.
    pub(super) own_in_history: f64,
}

impl Account {
    /// Drops the spending that has expired.
    pub(super) fn expire(&mut self, now: ids::Timestamp) {
        self.window.expire(now);
        self.own_window.expire(now);
        self.peer_spending.expire(now);
    }

    pub(super) fn take(&mut self, amount: f64, length: time::Duration, now: ids::Timestamp) {
        self.expire(now);
        self.window.add(amount, now + length);
        self.own_window.add(amount, now + length);
        self.change_own(now).taken += amount;
    }

    pub(super) fn give_back(&mut self, amount: f64, length: time::Duration, now: ids::Timestamp) {
        self.expire(now);
        self.window.add(-amount, now + length);
        self.own_window.add(-amount, now + length);
        self.change_own(now).given_back += amount;
    }

    pub(super) fn change_own(&mut self, now: ids::Timestamp) -> &mut Tally {
        let is_recent = self.own_changed.is_some_and(|at| now.saturating_sub(at) <= REPORT_PERIOD);
        if !is_recent {
            self.own_baseline = self.own;
        }
        self.own_changed = Some(now);
        &mut self.own
    }

    pub(super) fn allowed(&self, length: time::Duration) -> f64 {
        self.limit.rate_per_s * length.as_secs_f64() + self.limit.burst
    }

    /// Returns the equal part for one of the members of what the known spending of others leaves.
    pub(super) fn equal_share(&self, length: time::Duration, members: usize) -> f64 {
        let others = self.window.total - self.own_window.total;
        (self.allowed(length) - others) / members.max(1) as f64
    }

    /// Returns whether the rest of a limit is left alone, as all instances that start together would
    /// spend the same rest.
    pub(super) fn is_reserved_for_peers(
        &self,
        are_peers_synced: bool,
        length: time::Duration,
    ) -> bool {
        let reserved_from = self.allowed(length) * constants::UNSYNCED_LIMIT_SHARE;
        !are_peers_synced && self.window.total > reserved_from
    }

    /// Counts rate and burst as spent, so that no more than the rate becomes free from now on.
    pub(super) fn fill_window(&mut self, length: time::Duration, now: ids::Timestamp) {
        let steps =
            u32::try_from(length.as_millis() / window::SLOT.as_millis()).unwrap_or(1).max(1);
        let each = self.limit.rate_per_s * length.as_secs_f64() / f64::from(steps);
        for step in 1..=steps {
            self.window.add(each, now + window::SLOT * step);
        }
        self.window.add(self.limit.burst, now + length);
    }
}
