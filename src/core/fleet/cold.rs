//! Requests to cold servers: bounded for the whole fleet, by the mechanism of server limits.
//!
//! Load pattern: a server starts while callers wait, or all servers of a service start together, and
//! sixty instances would send to them at once.

use std::time;

use rand::RngExt as _;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::ledger;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::placement;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The level of the protocol from which on an owner knows the bounds, and its grants state them.
const COLD_BOUND_LEVEL: u16 = 1;

impl Fleet {
    /// Applies the bounds of a configuration on requests to cold servers.
    pub(super) fn configure_cold(
        &mut self,
        catalog: &catalog::Catalog,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        self.servers.set_cold_bounds(&catalog.content.services);
        for server in self.servers.ids() {
            self.refresh_cold(&server, now, effects);
        }
    }

    /// Returns whether the configuration came from a peer that does not know the bounds, so that this
    /// instance is to read them in the store.
    pub(super) fn lacks_cold_bounds(&self) -> bool {
        self.catalog.as_ref().is_some_and(|catalog| catalog.lacks_cold_bounds())
    }

    /// Ends the bounds of servers that are no longer cold.
    pub(super) fn end_cold_times(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for server in self.servers.no_longer_cold(now) {
            self.refresh_cold(&server, now, effects);
        }
    }

    /// Starts or ends the bound of a server as its cold time and the configuration have it.
    pub(super) fn refresh_cold(
        &mut self,
        server: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let rng = &mut self.rng;
        let Some(change) = self.servers.refresh_cold(server, || rng.random::<f64>(), now) else {
            return;
        };
        let Some(known) = self.servers.get(server) else { return };
        let (service, born_ms) = (known.entry.service.clone(), known.entry.born_ms);
        let remaining_ms = waiting::millis(change.remaining);
        effects.push(Effect::Log(decision::Decision::ServerCold {
            server: fleet::text(server),
            service: service.to_string(),
            bound_per_s: change.bound_per_s,
            remaining_ms,
            source: change.source,
            age_ms: waiting::millis(change.age),
            cold_servers: self.servers.count_cold(&service),
        }));
        // Nobody sends to a server that becomes known only now, but the owner may send to another one
        // before it reads that in the store.
        let is_first = change.source == servers::ColdSource::Answer
            || (change.source == servers::ColdSource::Entry && self.reads_store && !change.is_new);
        if is_first && change.bound_per_s.is_some() {
            let server = server.clone();
            self.cold_reports.push(message::ColdReport { server, born_ms, remaining_ms });
        }
    }

    /// Reports the servers that have turned cold to the coordinators, which may own their services.
    pub(super) fn report_cold(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let reports = std::mem::take(&mut self.cold_reports);
        let to = if reports.is_empty() { Vec::new() } else { self.limit_counters(now) };
        for reports in reports.chunks(constants::MAX_LIMIT_REPORTS_PER_MESSAGE) {
            for to in &to {
                let message = message::Message::ServersCold(reports.to_vec());
                effects.push(Effect::SendMessage { to: *to, message });
            }
        }
    }

    /// Reports the servers again whose answers have stated that they are cold, as datagrams get lost.
    /// What entries state is read in the store by all coordinators.
    pub(super) fn repeat_cold_reports(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let cold = self.servers.cold_by_answers(now);
        let reports = cold.map(|(server, born_ms, remaining)| message::ColdReport {
            server: server.clone(),
            born_ms,
            remaining_ms: waiting::millis(remaining),
        });
        self.cold_reports = reports.collect();
        self.report_cold(now, effects);
    }

    /// Applies the statement of an answer that its server is still cold.
    pub(super) fn receive_cold_statement(
        &mut self,
        request: call::RequestNumber,
        remaining: time::Duration,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = &live.phase else { return };
        let (server, born_ms) = (at.server.clone(), at.born_ms);
        let source = servers::ColdSource::Answer;
        if self.servers.state_cold(&server, born_ms, remaining, source, now) {
            self.refresh_cold(&server, now, effects);
            self.report_cold(now, effects);
        }
    }

    /// Applies the reports of a peer on cold servers.
    pub(super) fn receive_cold_reports(
        &mut self,
        reports: &[message::ColdReport],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let source = servers::ColdSource::Peer;
        for report in reports {
            let remaining = time::Duration::from_millis(report.remaining_ms);
            if self.servers.state_cold(&report.server, report.born_ms, remaining, source, now) {
                self.refresh_cold(&report.server, now, effects);
            }
        }
    }

    /// Returns the entries that a grant carries: those that the receiver may lack, and those of cold
    /// servers, which state that this owner has counted the grant towards their bound.
    pub(super) fn granted_entries(
        &self,
        placement: &placement::Placement,
        now: ids::Timestamp,
    ) -> Vec<servers::Entry> {
        let servers = placement.servers().filter_map(|server| self.servers.get(server));
        let named = servers
            .filter(|server| server.is_recently_listed(now) || server.cold_per_s().is_some());
        named.map(|server| servers::Directory::entry_for_peer(server, now)).collect()
    }

    /// Adds the servers of a grant whose entries this instance has not read yet, and notes which of
    /// them the owner keeps the bounds of.
    pub(super) fn receive_granted_entries(
        &mut self,
        ticket: ledger::Ticket,
        entries: Vec<servers::Entry>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let owner = self.pending_owner(ticket);
        let owner = owner.filter(|owner| self.peers.speaks(*owner, COLD_BOUND_LEVEL));
        let cold: Vec<_> = entries
            .iter()
            .filter(|entry| entry.cold_ms > 0)
            .map(|entry| (entry.id.clone(), entry.born_ms, entry.cold_ms))
            .collect();
        self.add_granted_servers(entries, now, effects);
        let Some(owner) = owner else { return };
        for (server, born_ms, cold_ms) in cold {
            let remaining = time::Duration::from_millis(cold_ms.into());
            let source = servers::ColdSource::Peer;
            if self.servers.state_cold(&server, born_ms, remaining, source, now) {
                self.refresh_cold(&server, now, effects);
            }
            self.servers.record_cold_keeper(&server, born_ms, owner, now);
        }
    }

    /// Returns the owner from which a request still awaits the grant with this ticket.
    fn pending_owner(&self, ticket: ledger::Ticket) -> Option<ids::Incarnation> {
        let request = self.pending_request(ticket)?;
        match &self.requests[&request].phase {
            live::Phase::AwaitingGrant(awaiting) => Some(awaiting.owner),
            _ => None,
        }
    }

    /// Returns whether a call that may be left out has to be: its server is cold and its bound allows
    /// none now.
    pub(super) fn is_cold_bound_used_up(
        &self,
        server: &ids::ServerId,
        now: ids::Timestamp,
    ) -> bool {
        let cold = self.servers.get(server).filter(|server| server.cold_per_s().is_some());
        cold.is_some_and(|cold| {
            let pacing = self.pacing(&cold.entry.service, now);
            !cold.limit_wait(pacing, now).is_zero()
        })
    }

    /// Returns the servers to whose cold bound this instance has lately sent requests, for the
    /// repetition of reports that may be lost.
    pub(super) fn cold_reports_due(&self, now: ids::Timestamp) -> Vec<ids::ServerId> {
        self.servers.cold_with_sends(now.saturating_sub(constants::LIMIT_REPORT_INTERVAL * 2))
    }
}
