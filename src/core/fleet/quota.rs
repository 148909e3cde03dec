//! Each workspace's rate and burst over the fleet: kept exact by what the instances tell each other
//! in a small fleet, and by one coordinator in a large one.
//!
//! Load patterns: one workspace sends many times its rate at all instances at once; the whole fleet
//! ends while it does, and starts again without memory.

use std::sync;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::refusal;
use crate::core::ids;

pub mod tally;

mod window;

pub use tally::Tally;

/// A workspace's name as its limit is kept.
pub type WorkspaceName = sync::Arc<str>;

/// The span over which the rate of peers' spending is taken.
const TOLD_WINDOW: time::Duration = time::Duration::from_millis(1_000);

/// How long a change of spending is told in every digest: many digests, as some are lost.
const TOLD_FOR: time::Duration = time::Duration::from_secs(5);

/// Spending of one workspace by age.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spending {
    /// The workspace.
    pub workspace: String,
    /// Ages in milliseconds, and what was spent then.
    pub spent: Vec<(u64, f64)>,
}

#[derive(Debug, Clone)]
struct Account {
    limit: catalog::Limit,
    window: window::Window,
    /// What peers have told lately.
    told: window::Window,
    /// What this instance has spent since it started.
    own: Tally,
    /// What it had spent before it spent lately.
    own_before: Tally,
    own_changed: Option<ids::Timestamp>,
    /// The part of it that the past, once it is told, contains.
    own_past: f64,
}

impl Account {
    fn take(&mut self, amount: f64, length: time::Duration, now: ids::Timestamp) {
        self.window.add(amount, now + length);
        self.change_own(now).taken += amount;
    }

    fn give_back(&mut self, amount: f64, length: time::Duration, now: ids::Timestamp) {
        self.window.add(-amount, now + length);
        self.change_own(now).given_back += amount;
    }

    fn change_own(&mut self, now: ids::Timestamp) -> &mut Tally {
        let is_told = self.own_changed.is_some_and(|at| now.saturating_sub(at) <= TOLD_FOR);
        if !is_told {
            self.own_before = self.own;
        }
        self.own_changed = Some(now);
        &mut self.own
    }

    fn allowed(&self, length: time::Duration) -> f64 {
        self.limit.rate_per_s * length.as_secs_f64() + self.limit.burst
    }
}

/// The accounts of all workspaces.
#[derive(Debug)]
pub struct Quotas {
    window: time::Duration,
    accounts: collections::Map<WorkspaceName, Account>,
    peers: collections::Map<(u64, WorkspaceName), tally::PeerSpending>,
    /// Peers that have told of all their spending once.
    heard: collections::Set<u64>,
    /// Most peers have been heard. Until then all that start together would spend the same rest.
    is_settled: bool,
    /// Spending before this instance started is not known.
    is_past_unknown: bool,
    started: Option<ids::Timestamp>,
    /// When this instance began to coordinate anew.
    promoted: Option<ids::Timestamp>,
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
            heard: collections::Set::default(),
            is_settled: is_first_start,
            is_past_unknown: !is_first_start,
            started: None,
            promoted: None,
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
        let mut account = Account {
            limit,
            window: window::Window::default(),
            told: window::Window::default(),
            own: Tally::default(),
            own_before: Tally::default(),
            own_changed: None,
            own_past: 0.0,
        };
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
        if !self.is_settled && account.window.total > allowed * constants::UNSYNCED_LIMIT_SHARE {
            return Err(constants::PEER_SYNC_TIMEOUT);
        }
        let excess = account.window.total + untold + amount - allowed;
        if excess > 0.0 {
            return Err(account.window.wait(excess, now).unwrap_or(self.window));
        }
        account.take(amount, self.window, now);
        Ok(())
    }

    /// Returns what a charge is compared with.
    pub fn view(&self, workspace: &WorkspaceName, charge: f64) -> Option<refusal::SpendingView> {
        let account = self.accounts.get(workspace)?;
        let (spent, allowed) = (account.window.total, account.allowed(self.window));
        Some(refusal::SpendingView { charge, spent, allowed })
    }

    /// Counts what a coordinator let this instance take.
    pub fn note_taken(&mut self, workspace: &WorkspaceName, amount: f64, now: ids::Timestamp) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.take(amount, self.window, now);
        }
    }

    /// Takes `amount` for a peer that had spent `before` by its own count.
    ///
    /// # Errors
    ///
    /// Returns the wait if less is left.
    pub fn take_for(
        &mut self,
        peer: u64,
        workspace: &WorkspaceName,
        before: Tally,
        amount: f64,
        now: ids::Timestamp,
    ) -> Result<(), time::Duration> {
        self.take(workspace, amount, time::Duration::ZERO, now)?;
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.own.taken -= amount;
        }
        self.count(peer, sync::Arc::clone(workspace), before, before, now);
        if let Some(known) = self.peers.get_mut(&(peer, sync::Arc::clone(workspace))) {
            known.granted += amount;
        }
        Ok(())
    }

    /// Takes `amount` from this instance's equal part of a limit, while no coordinator answers.
    ///
    /// # Errors
    ///
    /// Returns the wait if less is left.
    pub fn take_part(
        &mut self,
        workspace: &WorkspaceName,
        amount: f64,
        members: usize,
        now: ids::Timestamp,
    ) -> Result<(), time::Duration> {
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.window.expire(now);
        let part = account.allowed(self.window) / members.max(1) as f64;
        if account.window.total + amount > part {
            return Err(constants::MIN_RETRY_AFTER);
        }
        self.note_taken(workspace, amount, now);
        Ok(())
    }

    /// Begins to count for the whole fleet, which others have done until now: like an instance that
    /// has just started, with what it has spent itself as part of the past.
    pub fn begin_anew(&mut self, now: ids::Timestamp) {
        self.peers.clear();
        self.heard.clear();
        self.is_past_unknown = true;
        self.promoted = Some(now);
        for account in self.accounts.values_mut() {
            account.window = window::Window::default();
            account.own_past = account.own.spent();
            fill(account, self.window, now);
        }
    }

    /// Returns what this instance has spent of a workspace's limit since it started.
    pub fn own_spent(&self, workspace: &WorkspaceName) -> Tally {
        self.accounts.get(workspace).map(|account| account.own).unwrap_or_default()
    }

    /// Returns whether a workspace has a limit.
    pub fn is_limited(&self, workspace: &WorkspaceName) -> bool {
        self.accounts.contains_key(workspace)
    }

    /// Gives back what a request that did not run has taken.
    pub fn refund(&mut self, workspace: &WorkspaceName, amount: f64, now: ids::Timestamp) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.give_back(amount, self.window, now);
        }
    }

    /// Returns what this instance has spent, of the workspaces that spent lately.
    pub fn own_lately(&self, now: ids::Timestamp) -> Vec<tally::Report> {
        let is_told = |account: &Account| {
            account.own_changed.is_some_and(|at| now.saturating_sub(at) <= TOLD_FOR)
        };
        let told = self.accounts.iter().filter(|(_, account)| is_told(account));
        let reports = told.map(|(name, account)| tally::Report {
            workspace: name.to_string(),
            before: account.own_before,
            tally: account.own,
        });
        reports.collect()
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
        for (name, account) in &mut self.accounts {
            let past = spending.iter().find(|past| past.workspace == **name);
            let mut window = window::Window::default();
            for (age_ms, amount) in past.map(|past| past.spent.as_slice()).unwrap_or_default() {
                let age = time::Duration::from_millis(age_ms.saturating_add(told_ms_ago));
                window.add(*amount, now + self.window.saturating_sub(age));
            }
            window.add(account.own.spent() - account.own_past, now + self.window);
            if window.total > account.allowed(self.window) * constants::UNSYNCED_LIMIT_SHARE {
                // What was spent after it was told, at the workspace's rate.
                let untold =
                    account.limit.rate_per_s * constants::SPENDING_WRITE_INTERVAL.as_secs_f64();
                window.add(untold, now + self.window);
            }
            account.window = window;
        }
        true
    }

    /// Returns whether it is known what was spent before this instance started.
    pub fn knows_history(&self) -> bool {
        !self.is_past_unknown
    }

    /// Takes what a peer says of its spending; its `uptime` is the time since it started.
    pub fn heard(
        &mut self,
        peer: u64,
        reports: &[tally::Report],
        uptime: time::Duration,
        now: ids::Timestamp,
    ) {
        if self.accounts.is_empty() {
            return;
        }
        let is_first = self.heard.insert(peer);
        for report in reports {
            let Some((name, _)) = self.accounts.get_key_value(report.workspace.as_str()) else {
                continue;
            };
            let key = (peer, sync::Arc::clone(name));
            if is_first {
                let first = self.first_heard(report.tally, uptime, now);
                self.peers.insert(key.clone(), first);
            }
            let (peer, name) = key;
            self.count(peer, name, report.before, report.tally, now);
        }
    }

    /// Takes what a peer that was heard before says of one workspace.
    pub fn heard_of(&mut self, peer: u64, workspace: &str, tally: Tally, now: ids::Timestamp) {
        let known = self.accounts.get_key_value(workspace).filter(|_| self.heard.contains(&peer));
        if let Some((name, _)) = known {
            self.count(peer, sync::Arc::clone(name), tally, tally, now);
        }
    }

    /// Counts a peer's newer tally; of a workspace of which it has not told yet, what was spent
    /// after `before`.
    fn count(
        &mut self,
        peer: u64,
        name: WorkspaceName,
        before: Tally,
        tally: Tally,
        now: ids::Timestamp,
    ) {
        let Some(account) = self.accounts.get_mut(&name) else { return };
        let known = self.peers.entry((peer, name));
        let change = known.or_insert_with(|| tally::PeerSpending::known(before)).take(tally);
        account.window.add(change, now + self.window);
        account.told.add(change.max(0.0), now + TOLD_WINDOW);
    }

    /// Returns what of a peer's spending counts already when it is heard for the first time: the
    /// past that others tell contains it, unless the peer started later or together with this
    /// instance.
    fn first_heard(
        &self,
        tally: Tally,
        uptime: time::Duration,
        now: ids::Timestamp,
    ) -> tally::PeerSpending {
        let is_past = match self.promoted {
            Some(promoted) => uptime > now.saturating_sub(promoted),
            None => uptime > now + constants::MAX_COMMON_START_DIFFERENCE && now < self.window,
        };
        if is_past { tally::PeerSpending::known(tally) } else { tally::PeerSpending::default() }
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
        self.heard.remove(&peer);
        self.peers.retain(|(known, _), _| *known != peer);
    }
}

/// Counts rate and burst as spent, so that no more than the rate is free from now on.
fn fill(account: &mut Account, length: time::Duration, now: ids::Timestamp) {
    let steps = u32::try_from(length.as_millis() / window::SLOT.as_millis()).unwrap_or(1).max(1);
    let each = account.limit.rate_per_s * length.as_secs_f64() / f64::from(steps);
    for step in 1..=steps {
        account.window.add(each, now + window::SLOT * step);
    }
    account.window.add(account.limit.burst, now + length);
}

#[cfg(test)]
mod tests;
