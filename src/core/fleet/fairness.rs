//! Fair shares of workspaces at services whose servers all name limits.
//!
//! Load pattern: servers in need take a few requests a second, one workspace sends many times that,
//! and the others some requests now and then.

use std::time;

use crate::core::collections;
use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::estimate;
use crate::core::fleet::quota;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The time after which a use counts half.
const USE_HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// The count of uses below which a workspace is forgotten.
const MIN_USES: f64 = 0.05;

/// A workspace's use of a service; `None` stands for requests without a known workspace.
type User = (catalog::ServiceId, Option<quota::WorkspaceName>);

/// The recent requests of workspaces at services whose servers all name limits.
#[derive(Debug, Default)]
pub struct RecentUse {
    uses: collections::Map<User, (f64, ids::Timestamp)>,
}

impl RecentUse {
    fn record(&mut self, claim: &claim::Claim, now: ids::Timestamp) {
        let user = (claim.service.clone(), claim.workspace.clone());
        let uses = self.count(&user, now) + 1.0;
        self.uses.insert(user, (uses, now));
        self.uses.retain(|_, (uses, at)| decayed(*uses, *at, now) >= MIN_USES);
    }

    fn count(&self, user: &User, now: ids::Timestamp) -> f64 {
        self.uses.get(user).map_or(0.0, |(uses, at)| decayed(*uses, *at, now))
    }
}

fn decayed(uses: f64, at: ids::Timestamp, now: ids::Timestamp) -> f64 {
    uses * estimate::decayed_weight(now.saturating_sub(at), USE_HALF_LIFE)
}

impl Fleet {
    /// Returns whether the workspaces share a service: all its usable servers name limits.
    pub(super) fn is_shared_fairly(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> bool {
        self.limit_view(service, now).is_some_and(|limits| limits.unlimited_servers == 0)
    }

    /// Records that a request is placed, if its service is shared.
    pub(super) fn record_use(&mut self, claim: &claim::Claim, now: ids::Timestamp) {
        if self.is_shared_fairly(&claim.service, now) {
            self.recent_use.record(claim, now);
        }
    }

    /// Puts claims of the same priority at shared services into turns: each workspace gets one in
    /// turn, those with more recent use later. `queue` is in the order of claims.
    pub(super) fn take_turns<'a>(
        &self,
        queue: Vec<(waiting::Waiter, &'a claim::Claim)>,
        now: ids::Timestamp,
    ) -> Vec<(waiting::Waiter, &'a claim::Claim)> {
        if !self.servers.may_have_limits() {
            return queue;
        }
        let mut shared: collections::Map<catalog::ServiceId, bool> = collections::Map::default();
        let mut turns: collections::Map<(User, u8), f64> = collections::Map::default();
        let mut ranked = Vec::with_capacity(queue.len());
        for (waiter, claim) in queue {
            let is_overload = self.overloads.contains(&claim.service);
            let (is_late, priority, at) = claim.order(is_overload, now);
            let is_shared = *shared
                .entry(claim.service.clone())
                .or_insert_with(|| self.is_shared_fairly(&claim.service, now));
            let rank = if is_shared {
                let user = (claim.service.clone(), claim.workspace.clone());
                let used = self.recent_use.count(&user, now);
                let turn = turns.entry((user, priority)).or_insert(used);
                *turn += 1.0;
                (false, priority, *turn, is_late, at)
            } else {
                (is_late, priority, 0.0, is_late, at)
            };
            ranked.push((rank, waiter, claim));
        }
        ranked.sort_by(|(one, ..), (other, ..)| {
            let by_class = (one.0, one.1).cmp(&(other.0, other.1));
            let by_turn = one.2.total_cmp(&other.2);
            by_class.then(by_turn).then((one.3, one.4).cmp(&(other.3, other.4)))
        });
        ranked.into_iter().map(|(_, waiter, claim)| (waiter, claim)).collect()
    }
}
