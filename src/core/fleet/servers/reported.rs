//! The load that servers state, beside what is known of them otherwise.

use std::time;

use crate::core::fleet::catalog;
use crate::core::fleet::server_load;
use crate::core::fleet::servers;
use crate::core::ids;

impl servers::Server {
    /// Returns the time that a plain request is expected to take once it runs.
    pub fn expected_work_ms(&self, now: ids::Timestamp) -> f64 {
        self.work_ms * self.reported.work_factor(now)
    }

    /// Returns the requests that the server states beyond those that are known.
    pub fn unknown_requests(&self, now: ids::Timestamp) -> f64 {
        self.reported.surplus(now)
    }

    /// Returns the newest load that the server has stated since its start.
    pub fn stated_load(&self, now: ids::Timestamp) -> Option<server_load::StatedLoad> {
        self.reported.stated_load(now)
    }
}

impl servers::Directory {
    /// Records the load that a server which started at `born_ms` has stated at `at`; returns `false` if
    /// it is that of an earlier start or a newer one is known.
    pub fn record_load(
        &mut self,
        id: &ids::ServerId,
        born_ms: u64,
        statement: server_load::Statement,
        at: ids::Timestamp,
    ) -> bool {
        let server = self.servers.get_mut(id).filter(|server| server.entry.born_ms == born_ms);
        let Some(server) = server else { return false };
        self.may_state_loads = true;
        let known_requests = server.load().requests;
        server.reported.record(statement, known_requests, at)
    }

    /// Returns whether the stated load of any server of a service is used.
    pub fn uses_stated_loads(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> bool {
        self.may_state_loads && self.of_service(service).any(|server| server.reported.is_used(now))
    }

    /// Compares the time of an answer with the load that its server states; returns whether it is
    /// contradicted, if that changes. The expected work stays the same then.
    pub fn check_stated_load(
        &mut self,
        id: &ids::ServerId,
        elapsed: time::Duration,
        expected_ms: f64,
        now: ids::Timestamp,
    ) -> Option<bool> {
        let server = self.servers.get_mut(id)?;
        let work_ms = server.expected_work_ms(now);
        let changed = server.reported.check_answer(elapsed, expected_ms, now);
        if changed.is_some() {
            server.work_ms = work_ms / server.reported.work_factor(now);
        }
        changed
    }

    /// Returns the report on a server, if one is due.
    pub fn take_load_report(
        &mut self,
        id: &ids::ServerId,
        owner: ids::Incarnation,
        interval: time::Duration,
        now: ids::Timestamp,
    ) -> Option<server_load::LoadReport> {
        let server = self.servers.get_mut(id)?;
        let (statement, age) = server.reported.take_due(owner, interval, now)?;
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let born_ms = server.entry.born_ms;
        Some(server_load::LoadReport { server: id.clone(), born_ms, statement, age_ms })
    }

    /// Returns the reports on the servers of a service that are due.
    pub fn take_load_reports(
        &mut self,
        service: &catalog::ServiceId,
        owner: ids::Incarnation,
        interval: time::Duration,
        now: ids::Timestamp,
    ) -> Vec<server_load::LoadReport> {
        let ids = self.by_service.get(service).cloned().unwrap_or_default();
        ids.iter().filter_map(|id| self.take_load_report(id, owner, interval, now)).collect()
    }
}
