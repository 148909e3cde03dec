//! Each workspace's rate and burst over the fleet, kept exact by what the instances tell each other.
//!
//! Load patterns: one workspace sends many times its rate at all instances at once; the whole fleet
//! ends while it does, and starts again without memory.

use std::collections::VecDeque;
use std::sync;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::refusal;
use crate::core::ids;

/// A workspace's name as its limit is kept.
pub type WorkspaceName = sync::Arc<str>;

/// The grain in which spending is remembered.
const SLOT: time::Duration = time::Duration::from_millis(250);

/// The span over which the rate of peers' spending is taken.
const TOLD_WINDOW: time::Duration = time::Duration::from_millis(1_000);

/// Spending of one workspace by age.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spending {
    /// The workspace.
    pub workspace: String,
    /// Ages in milliseconds, and what was spent then.
    pub spent: Vec<(u64, f64)>,
}

/// What was spent, by the time at which it leaves the window.
#[derive(Debug, Default, Clone)]
struct Window {
    slots: VecDeque<(ids::Timestamp, f64)>,
    total: f64,
}

impl Window {
    fn expire(&mut self, now: ids::Timestamp) {
        while let Some((leaves, amount)) = self.slots.front().copied() {
            if now < leaves {
                return;
            }
            self.slots.pop_front();
            self.total -= amount;
        }
        self.total = 0.0;
    }

    fn add(&mut self, amount: f64, leaves: ids::Timestamp) {
        self.total += amount;
        match self.slots.back_mut() {
            Some((last, sum)) if leaves < *last + SLOT => *sum += amount,
            _ => self.slots.push_back((leaves, amount)),
        }
    }

    /// Returns the time until `excess` has left the window; `None` if it holds less.
    fn wait(&self, excess: f64, now: ids::Timestamp) -> Option<time::Duration> {
        let mut left = excess;
        for (leaves, amount) in &self.slots {
            left -= amount;
            if left <= 0.0 {
                return Some(leaves.saturating_sub(now));
            }
        }
        None
    }
}

#[derive(Debug, Clone)]
struct Account {
    limit: catalog::Limit,
    window: Window,
    /// What peers have told lately.
    told: Window,
    /// What this instance has spent since it started, refunds subtracted.
    own: f64,
}

impl Account {
    fn allowed(&self, length: time::Duration) -> f64 {
        self.limit.rate_per_s * length.as_secs_f64() + self.limit.burst
    }
}

/// What a peer has told of its spending, and what was assumed while it was silent.
#[derive(Debug, Default, Clone)]
struct PeerSpending {
    spent: f64,
    assumed: f64,
}

/// The accounts of all workspaces.
#[derive(Debug)]
pub struct Quotas {
    window: time::Duration,
    accounts: collections::Map<WorkspaceName, Account>,
    peers: collections::Map<(u64, WorkspaceName), PeerSpending>,
    /// Most peers have been heard. Until then all that start together would spend the same rest.
    is_settled: bool,
    /// Spending before this instance started is not known.
    is_past_unknown: bool,
    started: Option<ids::Timestamp>,
}

impl Quotas {
    /// Limits hold over each span of `window`.
    ///
    /// Unless the whole system starts for the first time, instances that ended just now may have
    /// spent everything; it counts as spent until somebody tells.
    pub fn new(window: time::Duration, is_first_start: bool) -> Self {
        Self {
            window,
            accounts: collections::Map::default(),
            peers: collections::Map::default(),
            is_settled: is_first_start,
            is_past_unknown: !is_first_start,
            started: None,
        }
    }

    /// Takes another span; what was spent leaves after the old one.
    pub fn set_window(&mut self, window: time::Duration) {
        self.window = window;
    }

    /// Notes that most peers have been heard.
    pub fn settle(&mut self) {
        self.is_settled = true;
    }

    /// Takes the limits of a new configuration.
    pub fn configure(&mut self, catalog: &catalog::Catalog, now: ids::Timestamp) {
        let started = *self.started.get_or_insert(now);
        let workspaces = catalog.content.workspaces.as_deref().unwrap_or_default();
        let mut kept = collections::Map::default();
        for workspace in workspaces {
            let Some(limit) = workspace.limit else { continue };
            let account = match self.accounts.remove(&workspace.name) {
                Some(account) => Account { limit, ..account },
                None => self.open(limit, started, now),
            };
            kept.insert(sync::Arc::clone(&workspace.name), account);
        }
        self.accounts = kept;
    }

    fn open(&self, limit: catalog::Limit, started: ids::Timestamp, now: ids::Timestamp) -> Account {
        let mut account =
            Account { limit, window: Window::default(), told: Window::default(), own: 0.0 };
        let is_just_started = now.saturating_sub(started) < self.window;
        if self.is_past_unknown && is_just_started {
            fill(&mut account, self.window, now);
        }
        account
    }

    /// Takes `amount` from a workspace's limit, or tells how long until it is there.
    ///
    /// What peers have spent since their last digests, which are of `digest_age`, is estimated from
    /// what they spent before.
    ///
    /// # Errors
    ///
    /// Returns the wait if less is left.
    pub fn take(
        &mut self,
        workspace: &WorkspaceName,
        amount: f64,
        digest_age: time::Duration,
        now: ids::Timestamp,
    ) -> Result<(), time::Duration> {
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.window.expire(now);
        account.told.expire(now);
        let untold = account.told.total * digest_age.as_secs_f64() / TOLD_WINDOW.as_secs_f64();
        let allowed = account.allowed(self.window);
        if !self.is_settled && account.window.total > allowed * constants::UNSETTLED_SHARE {
            return Err(constants::SETTLING);
        }
        let excess = account.window.total + untold + amount - allowed;
        if excess > 0.0 {
            return Err(account.window.wait(excess, now).unwrap_or(self.window));
        }
        account.window.add(amount, now + self.window);
        account.own += amount;
        Ok(())
    }

    /// Returns what a charge is compared with.
    pub fn view(&self, workspace: &WorkspaceName, charge: f64) -> Option<refusal::SpendingView> {
        let account = self.accounts.get(workspace)?;
        let (spent, allowed) = (account.window.total, account.allowed(self.window));
        Some(refusal::SpendingView { charge, spent, allowed })
    }

    /// Returns this instance's spending if peers should hear of `amount` at once: it is no small part
    /// of a limit that may soon be reached.
    pub fn urgent_spending(&self, workspace: &WorkspaceName, amount: f64) -> Option<f64> {
        let account = self.accounts.get(workspace)?;
        let allowed = account.allowed(self.window);
        let is_near = account.window.total >= allowed * constants::NEAR_LIMIT_SHARE;
        let is_large = amount >= allowed * constants::LARGE_SPENDING_SHARE;
        (is_near && is_large).then_some(account.own)
    }

    /// Gives back what a request that did not run has taken.
    pub fn refund(&mut self, workspace: &WorkspaceName, amount: f64, now: ids::Timestamp) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.window.add(-amount, now + self.window);
            account.own -= amount;
        }
    }

    /// Returns what this instance has spent since it started.
    pub fn own(&self) -> Vec<(WorkspaceName, f64)> {
        self.accounts.iter().map(|(name, account)| (sync::Arc::clone(name), account.own)).collect()
    }

    /// Returns what the whole fleet has spent within the window.
    pub fn spending(&mut self, now: ids::Timestamp) -> Vec<Spending> {
        let window = self.window;
        let spending = self.accounts.iter_mut().map(|(name, account)| {
            account.window.expire(now);
            let age_ms = |leaves: ids::Timestamp| {
                let age = window.saturating_sub(leaves.saturating_sub(now));
                u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
            };
            let slots = account.window.slots.iter();
            let spent = slots.map(|(leaves, amount)| (age_ms(*leaves), *amount)).collect();
            Spending { workspace: name.to_string(), spent }
        });
        spending.collect()
    }

    /// Learns what was spent before this instance started, as told some time ago.
    ///
    /// Returns whether that was unknown until now.
    pub fn learn_past(
        &mut self,
        spending: &[Spending],
        told_ms_ago: u64,
        now: ids::Timestamp,
    ) -> bool {
        if !self.is_past_unknown || self.accounts.is_empty() {
            return false;
        }
        self.is_past_unknown = false;
        for past in spending {
            let Some(account) = self.accounts.get_mut(past.workspace.as_str()) else { continue };
            let mut window = Window::default();
            for (age_ms, amount) in &past.spent {
                let age = time::Duration::from_millis(age_ms.saturating_add(told_ms_ago));
                window.add(*amount, now + self.window.saturating_sub(age));
            }
            window.add(account.own, now + self.window);
            if window.total > account.allowed(self.window) * constants::UNSETTLED_SHARE {
                // What was spent after it was told, at the workspace's rate.
                let untold = account.limit.rate_per_s * constants::TOLD_EVERY.as_secs_f64();
                window.add(untold, now + self.window);
            }
            account.window = window;
        }
        true
    }

    /// Returns whether it is known what was spent before this instance started.
    pub fn knows_past(&self) -> bool {
        !self.is_past_unknown
    }

    /// Takes what a peer says of its spending; `uptime` is the time since the peer started, if told.
    pub fn heard(
        &mut self,
        peer: u64,
        workspace: &str,
        spent: f64,
        uptime: Option<time::Duration>,
        now: ids::Timestamp,
    ) {
        let Some((name, _)) = self.accounts.get_key_value(workspace) else { return };
        let name = sync::Arc::clone(name);
        let key = (peer, sync::Arc::clone(&name));
        let counted = match (self.peers.get(&key), uptime) {
            (Some(known), _) => known.spent + known.assumed,
            (None, None) => return,
            // What an older peer spent before this instance started is part of the past that others
            // tell; what one spent that started with this instance is told by nobody else.
            (None, Some(uptime)) if uptime > now + constants::STARTED_TOGETHER => {
                if now < self.window { spent } else { 0.0 }
            }
            (None, Some(_)) => 0.0,
        };
        self.peers.insert(key, PeerSpending { spent, assumed: 0.0 });
        if let Some(account) = self.accounts.get_mut(&name) {
            account.window.add(spent - counted, now + self.window);
            account.told.add((spent - counted).max(0.0), now + TOLD_WINDOW);
        }
    }

    /// Counts the share that a silent peer may have spent during `silence_step`.
    pub fn assume_spending(
        &mut self,
        peer: u64,
        members: usize,
        silence_step: time::Duration,
        now: ids::Timestamp,
    ) {
        let share = silence_step.as_secs_f64() / members.max(1) as f64;
        for (name, account) in &mut self.accounts {
            let Some(known) = self.peers.get_mut(&(peer, sync::Arc::clone(name))) else { continue };
            let amount = account.limit.rate_per_s * share;
            known.assumed += amount;
            account.window.add(amount, now + self.window);
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: u64) {
        self.peers.retain(|(known, _), _| *known != peer);
    }
}

/// Counts rate and burst as spent, so that no more than the rate is free from now on.
fn fill(account: &mut Account, length: time::Duration, now: ids::Timestamp) {
    let steps = u32::try_from(length.as_millis() / SLOT.as_millis()).unwrap_or(1).max(1);
    let each = account.limit.rate_per_s * length.as_secs_f64() / f64::from(steps);
    for step in 1..=steps {
        account.window.add(each, now + SLOT * step);
    }
    account.window.add(account.limit.burst, now + length);
}

#[cfg(test)]
mod tests;
