//! The rate and burst limit of each workspace over the whole fleet, which a coordinator counts for all
//! instances.
//!
//! Load patterns: one workspace sends many times its rate at all instances at the same time; the
//! whole fleet fails under such load and starts again without its counts.

use std::sync;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::refusal;
use crate::core::ids;

pub mod tally;

mod account;
mod window;

pub use tally::Tally;

use account::Account;
use account::REPORT_PERIOD;

/// The name of a workspace, as key of its limit.
pub type WorkspaceName = sync::Arc<str>;

/// The window over which the spending rate of peers is measured.
const PEER_RATE_WINDOW: time::Duration = time::Duration::from_millis(1_000);

/// The spending of one workspace by age, as written to the store.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spending {
    /// The name of the workspace.
    pub workspace: String,
    /// Pairs of an age in milliseconds and the amount spent then.
    pub spent: Vec<(u64, f64)>,
}

/// The limits of all workspaces and the spending that counts against them.
#[derive(Debug)]
pub struct Quotas {
    window: time::Duration,
    accounts: collections::Map<WorkspaceName, Account>,
    peers: collections::Map<(u64, WorkspaceName), tally::PeerSpending>,
    /// The peers that have sent a report of all their spending.
    reported_peers: collections::Set<u64>,
    /// Whether most peers are live. Until then, instances that start together would all spend the
    /// same rest of a limit.
    are_peers_synced: bool,
    /// Whether the spending before the start of this instance is unknown.
    is_history_unknown: bool,
    started: Option<ids::Timestamp>,
    /// When this instance took over counting from another coordinator.
    counting_since: Option<ids::Timestamp>,
}

impl Quotas {
    /// Creates the state for limits that hold over each span of `window`.
    ///
    /// Unless the whole fleet starts for the first time, instances that ended recently may have
    /// spent everything. The limits count as used up until a spending history is loaded.
    pub fn new(window: time::Duration, is_first_start: bool) -> Self {
        Self {
            window,
            accounts: collections::Map::default(),
            peers: collections::Map::default(),
            reported_peers: collections::Set::default(),
            are_peers_synced: is_first_start,
            is_history_unknown: !is_first_start,
            started: None,
            counting_since: None,
        }
    }

    /// Changes the length of the window; what was spent before expires after the old length.
    pub fn set_window(&mut self, window: time::Duration) {
        self.window = window;
    }

    /// Ends the wait for digests of most peers.
    pub fn mark_peers_synced(&mut self) {
        self.are_peers_synced = true;
    }

    /// Applies the limits of a new configuration.
    pub fn configure(&mut self, catalog: &catalog::Catalog, now: ids::Timestamp) {
        let started = *self.started.get_or_insert(now);
        let workspaces = catalog.content.workspaces.as_deref().unwrap_or_default();
        let mut accounts = collections::Map::default();
        for workspace in workspaces {
            let Some(limit) = workspace.limit else { continue };
            let account = match self.accounts.remove(&workspace.name) {
                Some(account) => Account { limit, ..account },
                None => self.new_account(limit, started, now),
            };
            accounts.insert(sync::Arc::clone(&workspace.name), account);
        }
        self.accounts = accounts;
    }

    fn new_account(
        &self,
        limit: catalog::Limit,
        started: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Account {
        let mut account = Account {
            limit,
            window: window::Window::default(),
            own_window: window::Window::default(),
            peer_spending: window::Window::default(),
            own: Tally::default(),
            own_baseline: Tally::default(),
            own_changed: None,
            own_in_history: 0.0,
        };
        let is_just_started = now.saturating_sub(started) < self.window;
        if self.is_history_unknown && is_just_started {
            account.fill_window(self.window, now);
        }
        account
    }

    /// Takes `amount` from a workspace's limit.
    ///
    /// Digests are up to `digest_age` old; what peers have spent since then is estimated from their
    /// recent rate.
    ///
    /// # Errors
    ///
    /// Returns the time until enough of the limit is free.
    pub fn take(
        &mut self,
        workspace: &WorkspaceName,
        amount: f64,
        digest_age: time::Duration,
        now: ids::Timestamp,
    ) -> Result<(), time::Duration> {
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.expire(now);
        let unreported =
            account.peer_spending.total * digest_age.as_secs_f64() / PEER_RATE_WINDOW.as_secs_f64();
        let allowed = account.allowed(self.window);
        if account.is_reserved_for_peers(self.are_peers_synced, self.window) {
            return Err(constants::PEER_SYNC_TIMEOUT);
        }
        let excess = account.window.total + unreported + amount - allowed;
        if excess > 0.0 {
            return Err(account.window.wait(excess, now).unwrap_or(self.window));
        }
        account.take(amount, self.window, now);
        Ok(())
    }

    /// Returns the spending and the limit that a charge is compared with.
    pub fn view(&self, workspace: &WorkspaceName, charge: f64) -> Option<refusal::SpendingView> {
        let account = self.accounts.get(workspace)?;
        let (spent, allowed) = (account.window.total, account.allowed(self.window));
        Some(refusal::SpendingView { charge, spent, allowed })
    }

    /// Returns the spending at this instance and its equal share of the limit, which a charge is
    /// compared with while no coordinator answers.
    pub fn equal_share_view(
        &self,
        workspace: &WorkspaceName,
        charge: f64,
        members: usize,
    ) -> Option<refusal::SpendingView> {
        let account = self.accounts.get(workspace)?;
        let allowed = account.equal_share(self.window, members);
        Some(refusal::SpendingView { charge, spent: account.own_window.total, allowed })
    }

    /// Records an amount that a coordinator granted to this instance.
    pub fn record_taken(&mut self, workspace: &WorkspaceName, amount: f64, now: ids::Timestamp) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.take(amount, self.window, now);
        }
    }

    /// Takes `amount` for a peer that reports `baseline` as its spending before the charge.
    ///
    /// # Errors
    ///
    /// Returns the time until enough of the limit is free.
    pub fn take_for_peer(
        &mut self,
        peer: u64,
        workspace: &WorkspaceName,
        baseline: Tally,
        amount: f64,
        now: ids::Timestamp,
    ) -> Result<(), time::Duration> {
        self.take(workspace, amount, time::Duration::ZERO, now)?;
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.own.taken -= amount;
            account.own_window.add(-amount, now + self.window);
        }
        self.count(peer, sync::Arc::clone(workspace), baseline, baseline, now);
        if let Some(known) = self.peers.get_mut(&(peer, sync::Arc::clone(workspace))) {
            known.granted += amount;
        }
        Ok(())
    }

    /// Takes `amount` from this instance's equal share of a limit, while no coordinator answers: of
    /// what the known spending of others leaves of it.
    ///
    /// # Errors
    ///
    /// Returns the minimum `Retry-After` if the share is used up.
    pub fn take_equal_share(
        &mut self,
        workspace: &WorkspaceName,
        amount: f64,
        members: usize,
        now: ids::Timestamp,
    ) -> Result<(), time::Duration> {
        let Some(account) = self.accounts.get_mut(workspace) else { return Ok(()) };
        account.expire(now);
        if account.is_reserved_for_peers(self.are_peers_synced, self.window) {
            return Err(constants::MIN_RETRY_AFTER);
        }
        if account.own_window.total + amount > account.equal_share(self.window, members) {
            return Err(constants::MIN_RETRY_AFTER);
        }
        self.record_taken(workspace, amount, now);
        Ok(())
    }

    /// Takes over counting for the fleet from another coordinator. Like an instance that has just
    /// started, it counts the limits as used up until the spending history is loaded; the history
    /// contains its own spending.
    pub fn restart_counting(&mut self, now: ids::Timestamp) {
        self.peers.clear();
        self.reported_peers.clear();
        self.is_history_unknown = true;
        self.counting_since = Some(now);
        for account in self.accounts.values_mut() {
            account.window = window::Window::default();
            account.own_in_history = account.own.net_spent();
            account.fill_window(self.window, now);
        }
    }

    /// Returns the spending of a workspace at this instance since its start.
    pub fn own_spent(&self, workspace: &WorkspaceName) -> Tally {
        self.accounts.get(workspace).map(|account| account.own).unwrap_or_default()
    }

    /// Returns whether a workspace has a limit.
    pub fn is_limited(&self, workspace: &WorkspaceName) -> bool {
        self.accounts.contains_key(workspace)
    }

    /// Returns the charge of a request that did not run to its workspace.
    pub fn refund(&mut self, workspace: &WorkspaceName, amount: f64, now: ids::Timestamp) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.give_back(amount, self.window, now);
        }
    }

    /// Returns reports of the workspaces whose spending at this instance has changed recently.
    pub fn recent_reports(&self, now: ids::Timestamp) -> Vec<tally::Report> {
        let is_recent = |account: &Account| {
            account.own_changed.is_some_and(|at| now.saturating_sub(at) <= REPORT_PERIOD)
        };
        let recent = self.accounts.iter().filter(|(_, account)| is_recent(account));
        let reports = recent.map(|(name, account)| tally::Report {
            workspace: name.to_string(),
            baseline: account.own_baseline,
            tally: account.own,
        });
        reports.collect()
    }

    /// Returns the spending of the whole fleet within the window.
    pub fn spending(&mut self, now: ids::Timestamp) -> Vec<Spending> {
        let window = self.window;
        let spending = self.accounts.iter_mut().map(|(name, account)| {
            account.expire(now);
            let age_ms = |expires: ids::Timestamp| {
                let age = window.saturating_sub(expires.saturating_sub(now));
                u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
            };
            let slots = account.window.slots.iter();
            let spent = slots.map(|(expires, amount)| (age_ms(*expires), *amount)).collect();
            Spending { workspace: name.to_string(), spent }
        });
        spending.collect()
    }

    /// Loads the spending before the start of this instance, which was reported `report_age_ms`
    /// ago.
    ///
    /// Returns whether that spending was unknown until now.
    pub fn load_history(
        &mut self,
        spending: &[Spending],
        report_age_ms: u64,
        now: ids::Timestamp,
    ) -> bool {
        if !self.is_history_unknown || self.accounts.is_empty() {
            return false;
        }
        self.is_history_unknown = false;
        for (name, account) in &mut self.accounts {
            let history = spending.iter().find(|history| history.workspace == **name);
            let mut window = window::Window::default();
            for (age_ms, amount) in
                history.map(|history| history.spent.as_slice()).unwrap_or_default()
            {
                let age = time::Duration::from_millis(age_ms.saturating_add(report_age_ms));
                window.add(*amount, now + self.window.saturating_sub(age));
            }
            window.add(account.own.net_spent() - account.own_in_history, now + self.window);
            if window.total > account.allowed(self.window) * constants::UNSYNCED_LIMIT_SHARE {
                // Spending after the report, assumed to be at the workspace's rate.
                let unreported =
                    account.limit.rate_per_s * constants::SPENDING_WRITE_INTERVAL.as_secs_f64();
                window.add(unreported, now + self.window);
            }
            account.window = window;
        }
        true
    }

    /// Returns whether the spending before the start of this instance is known.
    pub fn knows_history(&self) -> bool {
        !self.is_history_unknown
    }

    /// Applies a peer's reports; `uptime` is the time since the start of the peer.
    pub fn apply_reports(
        &mut self,
        peer: u64,
        reports: &[tally::Report],
        uptime: time::Duration,
        now: ids::Timestamp,
    ) {
        if self.accounts.is_empty() {
            return;
        }
        let is_first = self.reported_peers.insert(peer);
        for report in reports {
            let Some((name, _)) = self.accounts.get_key_value(report.workspace.as_str()) else {
                continue;
            };
            let key = (peer, sync::Arc::clone(name));
            if is_first {
                let initial = self.initial_spending(report.tally, uptime, now);
                self.peers.insert(key.clone(), initial);
            }
            let (peer, name) = key;
            self.count(peer, name, report.baseline, report.tally, now);
        }
    }

    /// Applies a peer's tally of one workspace, if the peer has sent all its reports before.
    pub fn apply_tally(&mut self, peer: u64, workspace: &str, tally: Tally, now: ids::Timestamp) {
        let known =
            self.accounts.get_key_value(workspace).filter(|_| self.reported_peers.contains(&peer));
        if let Some((name, _)) = known {
            self.count(peer, sync::Arc::clone(name), tally, tally, now);
        }
    }

    /// Counts a peer's newer tally. For the first tally of a workspace, only the spending after
    /// `baseline` counts.
    fn count(
        &mut self,
        peer: u64,
        name: WorkspaceName,
        baseline: Tally,
        tally: Tally,
        now: ids::Timestamp,
    ) {
        let Some(account) = self.accounts.get_mut(&name) else { return };
        let known = self.peers.entry((peer, name));
        let change =
            known.or_insert_with(|| tally::PeerSpending::from_baseline(baseline)).update(tally);
        account.expire(now);
        account.window.add(change, now + self.window);
        account.peer_spending.add(change.max(0.0), now + PEER_RATE_WINDOW);
    }

    /// Returns the part of a peer's first report that counts already. The spending history contains
    /// the report, unless the peer started later than this instance or together with it.
    fn initial_spending(
        &self,
        tally: Tally,
        uptime: time::Duration,
        now: ids::Timestamp,
    ) -> tally::PeerSpending {
        let is_in_history = match self.counting_since {
            Some(counting_since) => uptime > now.saturating_sub(counting_since),
            None => uptime > now + constants::MAX_COMMON_START_DIFFERENCE && now < self.window,
        };
        if is_in_history {
            tally::PeerSpending::from_baseline(tally)
        } else {
            tally::PeerSpending::default()
        }
    }

    /// Counts the share of each rate that an unresponsive peer may have spent in
    /// `unresponsive_for`.
    pub fn assume_spending(
        &mut self,
        peer: u64,
        members: usize,
        unresponsive_for: time::Duration,
        now: ids::Timestamp,
    ) {
        let share = unresponsive_for.as_secs_f64() / members.max(1) as f64;
        for (name, account) in &mut self.accounts {
            let Some(known) = self.peers.get_mut(&(peer, sync::Arc::clone(name))) else { continue };
            let amount = account.limit.rate_per_s * share;
            known.assumed += amount;
            account.expire(now);
            account.window.add(amount, now + self.window);
        }
    }

    /// Removes a peer that no longer exists.
    pub fn remove_peer(&mut self, peer: u64) {
        self.reported_peers.remove(&peer);
        self.peers.retain(|(known, _), _| *known != peer);
    }
}

#[cfg(test)]
mod tests;
