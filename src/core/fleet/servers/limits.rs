//! The rate limits of servers, and the use of them.

use std::time;

use crate::core::fleet::server_limits;
use crate::core::fleet::servers;
use crate::core::ids;

impl servers::Server {
    /// Keeps the limit across a change of the entry that is no restart.
    pub(super) fn keep_limit_of(&mut self, former: Self) {
        self.has_answered = former.has_answered;
        self.limit = former.limit;
        self.limit_changed = former.limit_changed;
        self.allowance = former.allowance;
    }

    /// Returns the answers that show whether the server names a rate limit.
    pub fn limit(&self) -> server_limits::Evidence {
        self.limit
    }

    /// Returns the limit in force: the lower one of the limit that the server names and, while it is
    /// cold, the bound of its service.
    pub(super) fn rate_in_force(&self) -> Option<f64> {
        let named = self.limit.rate_per_s();
        named.into_iter().chain(self.cold_per_s()).min_by(f64::total_cmp)
    }

    /// Starts or changes the use of the limit in force, which was `previous` before. `phase` is that of
    /// a new allowance.
    pub(super) fn update_allowance<F: FnOnce() -> f64>(
        &mut self,
        previous: Option<f64>,
        phase: F,
        now: ids::Timestamp,
    ) {
        let Some(rate_per_s) = self.rate_in_force() else { return };
        match &mut self.allowance {
            Some(allowance) if previous.is_some() => allowance.set_rate(rate_per_s, now),
            Some(allowance) => allowance.restart(rate_per_s, now),
            None => {
                self.allowance = Some(server_limits::Allowance::new(rate_per_s, phase(), now));
            }
        }
    }

    /// Returns the use of the limit in force; `None` without a limit.
    pub fn allowance(&self) -> Option<&server_limits::Allowance> {
        self.allowance.as_ref().filter(|_| self.rate_in_force().is_some())
    }

    /// Returns the time until the limit in force allows a request.
    pub fn limit_wait(&self, pacing: server_limits::Pacing, now: ids::Timestamp) -> time::Duration {
        let Some(allowance) = self.allowance() else { return time::Duration::ZERO };
        let wait = allowance.wait(pacing, now);
        // The bound of a cold server ends with its cold time.
        let is_named = self.limit.rate_per_s().is_some();
        if is_named { wait } else { wait.min(self.cold_remaining(now)) }
    }

    /// Returns whether the server names a limit and has had no request for so long that it should get
    /// the next one, which may show that the limit is withdrawn.
    pub fn is_due_for_trickle(&self, now: ids::Timestamp) -> bool {
        let named = self.allowance().filter(|_| self.limit.rate_per_s().is_some());
        named.is_some_and(|allowance| allowance.is_idle(now))
    }

    /// Returns whether an answer of the server was received since this instance has started.
    pub fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Returns the requests a second that the server can take, of at most `unlimited_per_s`.
    pub fn capped_rate_per_s(&self, unlimited_per_s: f64) -> f64 {
        let limit = self.allowance().map(server_limits::Allowance::rate_per_s);
        limit.map_or(unlimited_per_s, |limit| limit.min(unlimited_per_s))
    }
}

impl servers::Directory {
    /// Adds evidence of the rate limit of a server that started at `born_ms`; returns the limits
    /// before and after, in requests a second, if they differ.
    pub fn record_limit(
        &mut self,
        id: &ids::ServerId,
        born_ms: u64,
        evidence: server_limits::Evidence,
        phase: f64,
        now: ids::Timestamp,
    ) -> Option<(Option<f64>, Option<f64>)> {
        let server = self.servers.get_mut(id).filter(|server| server.entry.born_ms == born_ms)?;
        server.has_answered = true;
        let (previous, in_force) = (server.limit.rate_per_s(), server.rate_in_force());
        server.limit.merge(evidence);
        let current = server.limit.rate_per_s();
        if previous == current {
            return None;
        }
        server.limit_changed = now;
        self.may_have_limits |= current.is_some();
        server.update_allowance(in_force, || phase, now);
        Some((previous, current))
    }

    /// Returns the use of the limit in force of a server that started at `born_ms`.
    pub fn allowance_mut(
        &mut self,
        id: &ids::ServerId,
        born_ms: u64,
    ) -> Option<&mut server_limits::Allowance> {
        let server = self.servers.get_mut(id).filter(|server| server.entry.born_ms == born_ms)?;
        server.rate_in_force()?;
        server.allowance.as_mut()
    }

    /// Uses the allowance of a server for one request, if it has a limit.
    pub fn take_allowance(
        &mut self,
        id: &ids::ServerId,
        pacing: server_limits::Pacing,
        now: ids::Timestamp,
    ) {
        let Some(born_ms) = self.servers.get(id).map(|server| server.entry.born_ms) else { return };
        if let Some(allowance) = self.allowance_mut(id, born_ms) {
            allowance.take(pacing, now);
        }
    }

    /// Records that a server has answered another instance.
    pub fn record_answered(&mut self, id: &ids::ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.has_answered = true;
        }
    }

    /// Returns whether a server may have a limit.
    pub fn may_have_limits(&self) -> bool {
        self.may_have_limits
    }

    /// Notes whether a server still has a limit.
    pub fn update_may_have_limits(&mut self) {
        self.may_have_limits = self.servers.values().any(|server| server.allowance().is_some());
    }

    /// Returns the servers that name a limit which is in force or was withdrawn after `since`.
    pub fn with_limits(&self, since: ids::Timestamp) -> impl Iterator<Item = &servers::Server> {
        let is_reported = move |server: &&servers::Server| {
            server.limit.rate_per_s().is_some()
                || (server.limit.named().is_some() && server.limit_changed >= since)
        };
        self.servers.values().filter(is_reported)
    }

    /// Forgets what is known of instances for which `is_live` returns `false`.
    pub fn retain_limit_holders<F: Fn(ids::Incarnation) -> bool>(&mut self, is_live: F) {
        for allowance in self.servers.values_mut().filter_map(|server| server.allowance.as_mut()) {
            allowance.retain_holders(&is_live);
        }
    }
}
