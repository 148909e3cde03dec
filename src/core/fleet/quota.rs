//! Each workspace's rate and burst over the fleet, kept exact by what the instances tell each other.
//!
//! Load pattern: one workspace sends many times its rate at all instances at once.

use std::sync;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::ids;

/// A workspace's name as its limit is kept.
pub type WorkspaceName = sync::Arc<str>;

#[derive(Debug, Clone)]
struct Bucket {
    limit: catalog::Limit,
    level: f64,
    refilled: ids::Timestamp,
    /// What this instance has spent since it started, refunds subtracted.
    spent: f64,
}

impl Bucket {
    fn refill(&mut self, now: ids::Timestamp) {
        let elapsed_s = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.level = (self.level + elapsed_s * self.limit.rate_per_s * constants::QUOTA_SHARE)
            .min(self.limit.burst * constants::QUOTA_SHARE);
    }
}

/// What a peer has told of its spending, and what was assumed while it was silent.
#[derive(Debug, Default, Clone)]
struct PeerSpending {
    spent: f64,
    assumed: f64,
}

/// The buckets of all workspaces.
#[derive(Debug, Default)]
pub struct Quotas {
    buckets: collections::Map<WorkspaceName, Bucket>,
    peers: collections::Map<(u64, WorkspaceName), PeerSpending>,
    starts_full: bool,
}

impl Quotas {
    /// Buckets start full only if the whole system starts for the first time: otherwise instances
    /// that ended just now may have spent the burst already.
    pub fn new(starts_full: bool) -> Self {
        Self { starts_full, ..Self::default() }
    }

    /// Takes the limits of a new configuration.
    pub fn configure(&mut self, catalog: &catalog::Catalog, now: ids::Timestamp) {
        let workspaces = catalog.content.workspaces.as_deref().unwrap_or_default();
        let mut kept = collections::Map::default();
        for workspace in workspaces {
            let Some(limit) = workspace.limit else { continue };
            let bucket = match self.buckets.remove(&workspace.name) {
                Some(mut bucket) => {
                    bucket.refill(now);
                    bucket.limit = limit;
                    bucket.level = bucket.level.min(limit.burst);
                    bucket
                }
                None => {
                    let level = if self.starts_full { limit.burst } else { 0.0 };
                    Bucket { limit, level, refilled: now, spent: 0.0 }
                }
            };
            kept.insert(sync::Arc::clone(&workspace.name), bucket);
        }
        self.buckets = kept;
    }

    /// Takes `amount` from a workspace's bucket, or tells how long until it is there.
    ///
    /// # Errors
    ///
    /// Returns the wait if the bucket holds less.
    pub fn take(
        &mut self,
        workspace: &WorkspaceName,
        amount: f64,
        now: ids::Timestamp,
    ) -> Result<(), time::Duration> {
        let Some(bucket) = self.buckets.get_mut(workspace) else { return Ok(()) };
        bucket.refill(now);
        if bucket.level < amount {
            let wait_s = (amount - bucket.level) / bucket.limit.rate_per_s.max(0.001);
            return Err(time::Duration::from_secs_f64(wait_s.min(60.0)));
        }
        bucket.level -= amount;
        bucket.spent += amount;
        Ok(())
    }

    /// Gives back what a request that did not run has taken.
    pub fn refund(&mut self, workspace: &WorkspaceName, amount: f64, now: ids::Timestamp) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            bucket.refill(now);
            bucket.level = (bucket.level + amount).min(bucket.limit.burst);
            bucket.spent -= amount;
        }
    }

    /// Returns what this instance has spent, and the level it believes in.
    pub fn published(&self) -> Vec<(WorkspaceName, f64, f64)> {
        self.buckets
            .iter()
            .map(|(name, bucket)| (sync::Arc::clone(name), bucket.spent, bucket.level))
            .collect()
    }

    /// Takes what a peer says of its spending.
    pub fn heard(
        &mut self,
        peer: u64,
        workspace: &str,
        spent: f64,
        level: f64,
        now: ids::Timestamp,
    ) {
        let Some((name, bucket)) = self.buckets.get_key_value(workspace) else { return };
        let name = sync::Arc::clone(name);
        let mut bucket = bucket.clone();
        bucket.refill(now);
        let key = (peer, sync::Arc::clone(&name));
        match self.peers.get(&key) {
            // The level of a peer holds what ended instances have spent; its own spending until
            // now is part of it.
            None => bucket.level = bucket.level.min(level),
            Some(known) => {
                bucket.level -= spent - known.spent - known.assumed;
                bucket.level = bucket.level.min(bucket.limit.burst);
            }
        }
        self.peers.insert(key, PeerSpending { spent, assumed: 0.0 });
        self.buckets.insert(name, bucket);
    }

    /// Debits the share that a silent peer may have spent during `silence_step`.
    pub fn assume_spending(&mut self, peer: u64, members: usize, silence_step: time::Duration) {
        let share = silence_step.as_secs_f64() / members.max(1) as f64;
        for (name, bucket) in &mut self.buckets {
            let Some(known) = self.peers.get_mut(&(peer, sync::Arc::clone(name))) else { continue };
            let amount = bucket.limit.rate_per_s * share;
            known.assumed += amount;
            bucket.level -= amount;
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: u64) {
        self.peers.retain(|(known, _), _| *known != peer);
    }
}
