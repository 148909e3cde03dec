//! How long servers are cold, and the bound on requests to a cold server.

use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::server_limits;
use crate::core::fleet::servers;
use crate::core::ids;

/// The time for which an instance counts as one that keeps the bound after a grant that states it: the
/// decode of a granted request is sent after its prefill.
const KEEPER_VALIDITY: time::Duration = time::Duration::from_millis(3_500);

/// The growth of the cold time that is no error of reading: entries are read in intervals of 0.7 s.
const MIN_GROWTH: time::Duration = time::Duration::from_millis(1_000);

/// Where the cold time of a server comes from.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdSource {
    /// From its entry.
    #[default]
    Entry,
    /// From the configuration: its entry is that of a new start and states none.
    Configuration,
    /// From an answer of the server.
    Answer,
    /// From another instance.
    Peer,
}

/// A statement of how long a server is cold.
#[derive(Debug, Clone, Copy)]
struct Figure {
    /// When the cold time ends; `None` if it follows from the configuration.
    until: Option<ids::Timestamp>,
    source: ColdSource,
    /// When it was read.
    read: ids::Timestamp,
}

/// What is known of the cold time of a server.
#[derive(Debug, Default, Clone)]
pub(super) struct Cold {
    /// The figure in the newest entry.
    entry: Option<Figure>,
    /// The figure of an answer or a peer that ends last.
    stated: Option<Figure>,
    /// The bound in force, in requests a second; `None` if the server is warm or not bounded.
    bound_per_s: Option<f64>,
    /// When the cold time ends.
    until: ids::Timestamp,
    /// The instances whose grants state that they keep the bound, with the time of the last one.
    keepers: collections::Map<ids::Incarnation, ids::Timestamp>,
    /// Whether this instance has seen the server start, so that it knows of all requests to it.
    is_start_seen: bool,
}

impl Cold {
    /// Returns the figure that ends last, and its end.
    fn last(&self, bound: catalog::ColdBound) -> Option<(Figure, ids::Timestamp)> {
        let figures = self.entry.into_iter().chain(self.stated);
        let ends = figures.map(|it| (it, it.until.unwrap_or(it.read + bound.start)));
        ends.max_by_key(|(_, until)| *until)
    }
}

/// A server that has turned cold or warm.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdChange {
    /// The bound that holds now, in requests a second; `None` if the server is warm.
    pub bound_per_s: Option<f64>,
    /// The time for which the server is still cold.
    pub remaining: time::Duration,
    /// Where the figure comes from.
    pub source: ColdSource,
    /// The time since it was read.
    pub age: time::Duration,
    /// Whether the server becomes known only now.
    pub is_new: bool,
}

impl servers::Server {
    /// Returns the bound on requests while the server is cold, in requests a second.
    pub fn cold_per_s(&self) -> Option<f64> {
        self.cold.bound_per_s
    }

    /// Returns the time for which a server with a bound is still cold.
    pub fn cold_remaining(&self, now: ids::Timestamp) -> time::Duration {
        self.cold.until.saturating_sub(now)
    }

    /// Returns whether the server is avoided as cold. Without a bound, its entry alone decides.
    pub fn is_avoided_as_cold(&self, now: ids::Timestamp) -> bool {
        if self.cold.until > ids::Timestamp::ZERO {
            return self.cold.until > now;
        }
        self.entry.cold_ms > 0
    }

    /// Returns whether an instance keeps the limits in force when it grants. Older builds do not know
    /// of any, and an owner that has just started may not.
    pub fn is_kept_by(&self, granter: ids::Incarnation, now: ids::Timestamp) -> bool {
        let Some(allowance) = self.allowance() else { return true };
        let keeps_limit = self.limit.rate_per_s().is_none() || allowance.is_kept_by(granter, now);
        let stated = self.cold.keepers.get(&granter);
        let keeps_bound = self.cold.bound_per_s.is_none()
            || stated.is_some_and(|at| now.saturating_sub(*at) <= KEEPER_VALIDITY);
        keeps_limit && keeps_bound
    }

    /// Returns whether a placement that was made at `placed` has counted towards the bound in force.
    pub fn is_counted_since(&self, placed: ids::Timestamp) -> bool {
        let is_bounded = self.cold.bound_per_s.is_some();
        !is_bounded || self.allowance().is_some_and(|allowance| allowance.since() <= placed)
    }

    /// Takes the figure of the entry of a start.
    pub(super) fn start_cold(&mut self, is_start_seen: bool, assumes_cold: bool) {
        let (entry, read) = (&self.entry, self.listed);
        let remaining = time::Duration::from_millis(entry.cold_ms.into());
        self.cold.is_start_seen = is_start_seen;
        self.cold.entry = if entry.lacks_cold_time {
            let source = ColdSource::Configuration;
            assumes_cold.then_some(Figure { until: None, source, read })
        } else {
            Some(Figure { until: Some(read + remaining), source: ColdSource::Entry, read })
        };
    }

    /// Takes the figure of a newer entry of the same start; returns whether the server has turned
    /// cold, or stays cold for a longer time.
    pub(super) fn update_cold(&mut self, entry: &servers::Entry, now: ids::Timestamp) -> bool {
        if entry.lacks_cold_time {
            return false;
        }
        let until = now + time::Duration::from_millis(entry.cold_ms.into());
        let figure = Figure { until: Some(until), source: ColdSource::Entry, read: now };
        self.cold.entry = Some(figure);
        let was_cold = self.cold.until > now;
        until > now && (!was_cold || until > self.cold.until + MIN_GROWTH)
    }

    /// Takes the figure of the same entry from a peer, which may have read it earlier. An older build
    /// does not tell whether the entry states one.
    pub(super) fn shorten_cold(&mut self, entry: &servers::Entry, now: ids::Timestamp) {
        let until = now + time::Duration::from_millis(entry.cold_ms.into());
        let Some(known) = &mut self.cold.entry else { return };
        if known.until.is_some_and(|known| until < known) && !entry.lacks_cold_time {
            *known = Figure { until: Some(until), source: ColdSource::Peer, read: now };
        }
    }

    /// Keeps the cold time across a change of the entry that is no restart.
    pub(super) fn keep_cold_of(&mut self, former: Cold) {
        self.cold = former;
    }
}

impl servers::Directory {
    /// Sets whether the whole fleet starts for the first time, so that the first servers are not
    /// assumed to be cold.
    pub fn set_first_start(&mut self, is_first_start: bool) {
        self.is_first_start = is_first_start;
    }

    /// Sets the bounds of services on requests to their cold servers.
    pub fn set_cold_bounds(&mut self, services: &[catalog::Service]) {
        let bounded = services.iter().filter_map(|service| {
            let bound = service.cold_bound.filter(|bound| bound.per_s > 0.0)?;
            Some((service.name.clone(), bound))
        });
        self.cold_bounds = bounded.collect();
    }

    /// Returns whether a service bounds the requests to its cold servers.
    pub fn has_cold_bound(&self, service: &catalog::ServiceId) -> bool {
        self.cold_bounds.contains_key(service)
    }

    /// Returns whether a server that becomes known now has started only now.
    pub(super) fn is_start_seen(&self) -> bool {
        self.is_first_start || self.removals_known_since.is_some()
    }

    /// Returns whether a server that becomes known now is assumed to be cold if its entry states
    /// nothing.
    pub(super) fn assumes_cold(&self) -> bool {
        !self.is_first_start || self.removals_known_since.is_some()
    }

    /// Returns the servers whose cold time has ended.
    pub fn no_longer_cold(&self, now: ids::Timestamp) -> Vec<ids::ServerId> {
        if !self.may_have_limits {
            return Vec::new();
        }
        let has_ended = |server: &&servers::Server| {
            server.cold.bound_per_s.is_some() && server.cold.until <= now
        };
        let ended = self.servers.values().filter(has_ended);
        ended.map(|server| server.entry.id.clone()).collect()
    }

    /// Returns the ids of all servers.
    pub fn ids(&self) -> Vec<ids::ServerId> {
        self.servers.keys().cloned().collect()
    }

    /// Starts, changes or ends the bound of a server as its cold time and the configuration have it;
    /// returns the change, if there is one. `phase` is that of a new allowance.
    pub fn refresh_cold<F: FnOnce() -> f64>(
        &mut self,
        id: &ids::ServerId,
        phase: F,
        now: ids::Timestamp,
    ) -> Option<ColdChange> {
        let server = self.servers.get_mut(id)?;
        let bound = self.cold_bounds.get(&server.entry.service).copied();
        let last = bound.and_then(|bound| server.cold.last(bound));
        server.cold.until = last.map(|(_, until)| until).unwrap_or_default();
        let is_cold = server.cold.until > now;
        let bound_per_s = bound.filter(|_| is_cold).map(|bound| bound.per_s);
        let known_per_s = server.cold.bound_per_s;
        if bound_per_s == known_per_s {
            return None;
        }
        let previous = server.rate_in_force();
        server.cold.bound_per_s = bound_per_s;
        server.cold.keepers.clear();
        let is_new = server.allowance.is_none();
        self.may_have_limits |= bound_per_s.is_some();
        server.update_allowance(previous, phase, now);
        // A request that was sent before the bound was known would not be counted.
        let is_unused = is_new && server.cold.is_start_seen && server.listed == now;
        if let Some(allowance) = server.allowance.as_mut().filter(|_| is_unused) {
            allowance.allow_first();
        }
        let figure = last.map(|(figure, _)| figure);
        Some(ColdChange {
            bound_per_s,
            remaining: server.cold.until.saturating_sub(now),
            source: figure.map(|figure| figure.source).unwrap_or_default(),
            age: figure.map(|figure| now.saturating_sub(figure.read)).unwrap_or_default(),
            is_new: server.listed == now,
        })
    }

    /// Takes the statement of an answer or a peer that a server that started at `born_ms` is still
    /// cold; returns whether that is new.
    pub fn state_cold(
        &mut self,
        id: &ids::ServerId,
        born_ms: u64,
        remaining: time::Duration,
        source: ColdSource,
        now: ids::Timestamp,
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let until = now + remaining;
        let known = server.cold.until.max(now);
        let tolerance = if server.cold.until > now { MIN_GROWTH / 4 } else { time::Duration::ZERO };
        if server.entry.born_ms != born_ms || until <= known + tolerance {
            return false;
        }
        server.cold.stated = Some(Figure { until: Some(until), source, read: now });
        true
    }

    /// Records that a grant of an instance states the bound of a server.
    pub fn record_cold_keeper(
        &mut self,
        id: &ids::ServerId,
        born_ms: u64,
        keeper: ids::Incarnation,
        now: ids::Timestamp,
    ) {
        let server = self.servers.get_mut(id).filter(|server| server.entry.born_ms == born_ms);
        if let Some(server) = server {
            server.cold.keepers.insert(keeper, now);
        }
    }

    /// Returns the entry of a server for a peer. The cold time in it is what remains now, as the peer
    /// does not know when the entry was read.
    pub fn entry_for_peer(server: &servers::Server, now: ids::Timestamp) -> servers::Entry {
        let mut entry = server.entry.clone();
        if server.cold.until > ids::Timestamp::ZERO {
            let remaining = server.cold_remaining(now).as_millis();
            entry.cold_ms = u32::try_from(remaining).unwrap_or(u32::MAX);
        }
        entry
    }

    /// Returns the cold servers without a limit of their own to which this instance has sent requests
    /// since a time.
    pub fn cold_with_sends(&self, since: ids::Timestamp) -> Vec<ids::ServerId> {
        let has_sent = |allowance: &server_limits::Allowance| allowance.last_counted() >= since;
        let sent = self.servers.values().filter(|server| {
            server.limit.named().is_none()
                && server.cold.bound_per_s.is_some()
                && server.allowance().is_some_and(has_sent)
        });
        sent.map(|server| server.entry.id.clone()).collect()
    }

    /// Returns the servers whose cold time this instance has learned from an answer, with the start and
    /// the time that remains.
    pub fn cold_by_answers(
        &self,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = (&ids::ServerId, u64, time::Duration)> {
        let is_answered = |figure: Figure| figure.source == ColdSource::Answer;
        let cold = self.servers.values().filter(move |server| {
            server.cold.bound_per_s.is_some() && server.cold.stated.is_some_and(is_answered)
        });
        cold.map(move |server| (&server.entry.id, server.entry.born_ms, server.cold_remaining(now)))
    }

    /// Returns the number of servers of a service that are cold.
    pub fn count_cold(&self, service: &catalog::ServiceId) -> usize {
        self.of_service(service).filter(|server| server.cold.bound_per_s.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
