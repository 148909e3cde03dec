//! Registers held reservations with owners, and reports to them what was observed on their servers.

use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::client;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;

impl client::Client {
    pub(super) fn register(
        &mut self,
        server: &ids::ServerId,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        self.unregistered.remove(server);
        let Some(tickets) = self.tickets_by_server.get(server) else { return };
        let keys = tickets.iter().filter_map(|ticket| self.tickets.get(ticket));
        let mut reservations: Vec<_> = keys
            .filter_map(|key| match self.entries.get(key) {
                Some(client::Entry::Holding(hold)) => Some(client::registration(*key, hold)),
                _ => None,
            })
            .collect();
        if reservations.is_empty() {
            return;
        }
        reservations.sort_unstable_by_key(|held| held.ticket);
        self.unregistered.insert(server.clone());
        let retry_at = context.now + constants::REGISTER_RETRY;
        self.timers.add(retry_at, client::Timer::Register(server.clone()));
        let Some(owner) = context.assignment.owner(server) else { return };
        out.send(owner, message::Message::Register { server: server.clone(), reservations });
    }

    /// Answers an owner's check: registers the reservations that are held on its server, and
    /// reports the requests that hold none there.
    pub fn on_check(
        &mut self,
        from: &ids::InstanceId,
        server: ids::ServerId,
        requests: &[ids::RequestId],
        out: &mut outbox::Outbox<'_>,
    ) {
        let mut reservations = Vec::new();
        for &request in requests {
            let phases = [scheduler::Phase::Prefill, scheduler::Phase::Decode];
            let found = phases.map(|phase| self.entries.get(&(request, phase)));
            let held = phases.iter().zip(&found).filter_map(|(&phase, entry)| match entry {
                Some(client::Entry::Holding(hold)) if hold.server == server => {
                    Some(client::registration((request, phase), hold))
                }
                _ => None,
            });
            let count = reservations.len();
            reservations.extend(held);
            if reservations.len() > count {
                continue;
            }
            let live = found.iter().any(Option::is_some);
            let (server, sequence) = (server.clone(), request as u64);
            out.send(from, message::Message::NotHeld { server, sequence, live });
        }
        if !reservations.is_empty() {
            out.send(from, message::Message::Register { server, reservations });
        }
    }

    /// Records that the owner of a server acknowledged the registration of its reservations.
    pub fn on_registered(&mut self, server: &ids::ServerId) {
        self.unregistered.remove(server);
    }

    /// Registers held reservations with the new owners of servers, and resends the pending requests
    /// to them.
    pub fn on_move(
        &mut self,
        servers: &[ids::ServerId],
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        for server in servers {
            self.register(server, context, out);
            for key in self.waiting_at(server) {
                self.request_from(key, server, context, out);
            }
        }
    }

    pub(super) fn send_urgent_reports(
        &mut self,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let is_due = self.reported_at + constants::REPORT_INTERVAL <= context.now;
        if self.urgent_reports.is_empty() || !is_due {
            return;
        }
        self.reported_at = context.now;
        let mut urgent_reports: Vec<_> = self.urgent_reports.drain().collect();
        urgent_reports.sort_unstable();
        for key in urgent_reports {
            let Some(report) = self.reports.remove(&key) else { continue };
            let Some(owner) = context.assignment.owner(&key.0) else { continue };
            let (server, decode) = key;
            out.send(owner, message::Message::Report { server, decode, report });
        }
    }

    /// Records an observation, to be reported with a later message. A failure, or decoding above
    /// the inter-token target, is reported without waiting for another message.
    pub fn on_observation(&mut self, observation: &scheduler::Observation) {
        let decode = observation.phase == scheduler::Phase::Decode;
        let key = (observation.server.clone(), decode);
        let report = self.reports.entry(key.clone()).or_default();
        if observation.failed {
            report.failures = report.failures.saturating_add(1);
            self.urgent_reports.insert(key);
            return;
        }
        report.failures = 0;
        report.observations = report.observations.saturating_add(1);
        report.tokens = report.tokens.saturating_add(observation.tokens);
        report.elapsed_ms = report.elapsed_ms.saturating_add(observation.elapsed_ms);
        let target_ms = f64::from(report.tokens) * constants::INTER_TOKEN_TARGET_MS;
        if decode && f64::from(report.elapsed_ms) > target_ms {
            self.urgent_reports.insert(key);
        }
    }

    /// Drops reports and wait estimates of servers that `known` does not accept.
    pub fn retain_servers(&mut self, known: impl Fn(&ids::ServerId) -> bool) {
        self.reports.retain(|(server, _), _| known(server));
        self.urgent_reports.retain(|(server, _)| known(server));
        self.wait_estimates.retain(|server, _| known(server));
    }

    /// Withdraws the pending requests at servers that take no new work.
    pub fn withdraw_from(
        &mut self,
        servers: &[ids::ServerId],
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        for server in servers {
            for key in self.waiting_at(server) {
                self.refuse_candidate(key, server, context, out);
            }
        }
    }
}
