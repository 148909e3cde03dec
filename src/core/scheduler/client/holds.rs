//! Registers held places with schedulers, and tells these what their servers show.

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
        let Some(tickets) = self.by_server.get(server) else { return };
        let subjects = tickets.iter().filter_map(|ticket| self.tickets.get(ticket));
        let mut places: Vec<_> = subjects
            .filter_map(|subject| match self.slots.get(subject) {
                Some(client::Slot::Holding(hold)) => Some(client::registration(*subject, hold)),
                _ => None,
            })
            .collect();
        if places.is_empty() {
            return;
        }
        places.sort_unstable_by_key(|place| place.ticket);
        self.unregistered.insert(server.clone());
        let due = context.now + constants::REGISTER_RETRY;
        self.timers.add(due, client::Timer::Register(server.clone()));
        let Some(owner) = context.assignment.owner(server) else { return };
        out.send(owner, message::Message::Hold { server: server.clone(), places });
    }

    /// A scheduler asks whether requests have places on a server.
    pub fn checked(
        &mut self,
        from: &ids::InstanceId,
        server: ids::ServerId,
        requests: &[ids::RequestId],
        out: &mut outbox::Outbox<'_>,
    ) {
        let mut places = Vec::new();
        for &request in requests {
            let phases = [scheduler::Phase::Prefill, scheduler::Phase::Decode];
            let slots = phases.map(|phase| self.slots.get(&(request, phase)));
            let here = phases.iter().zip(&slots).filter_map(|(&phase, slot)| match slot {
                Some(client::Slot::Holding(hold)) if hold.server == server => {
                    Some(client::registration((request, phase), hold))
                }
                _ => None,
            });
            let before = places.len();
            places.extend(here);
            if places.len() > before {
                continue;
            }
            let live = slots.iter().any(Option::is_some);
            let (server, sequence) = (server.clone(), request as u64);
            out.send(from, message::Message::Unheld { server, sequence, live });
        }
        if !places.is_empty() {
            out.send(from, message::Message::Hold { server, places });
        }
    }

    /// A scheduler acknowledged the registration of a server's places.
    pub fn kept(&mut self, server: &ids::ServerId) {
        self.unregistered.remove(server);
    }

    /// Registers places with new schedulers and asks these again for what is waited for.
    pub fn moved(
        &mut self,
        servers: &[ids::ServerId],
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        for server in servers {
            self.register(server, context, out);
            for subject in self.waiting_at(server) {
                self.ask_server(subject, server, context, out);
            }
        }
    }

    pub(super) fn send_urgent_reports(
        &mut self,
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        let due = self.reported_at + constants::REPORT_INTERVAL <= context.now;
        if self.urgent.is_empty() || !due {
            return;
        }
        self.reported_at = context.now;
        let mut urgent: Vec<_> = self.urgent.drain().collect();
        urgent.sort_unstable();
        for key in urgent {
            let Some(report) = self.reports.remove(&key) else { continue };
            let Some(owner) = context.assignment.owner(&key.0) else { continue };
            let (server, decode) = key;
            out.send(owner, message::Message::Report { server, decode, report });
        }
    }

    /// Notes what a request showed of its server, to be told with a later message.
    pub fn observed(&mut self, observation: &scheduler::Observation) {
        let decode = observation.phase == scheduler::Phase::Decode;
        let key = (observation.server.clone(), decode);
        let report = self.reports.entry(key.clone()).or_default();
        if observation.failed {
            report.failures = report.failures.saturating_add(1);
            self.urgent.insert(key);
            return;
        }
        report.failures = 0;
        report.observations = report.observations.saturating_add(1);
        report.tokens = report.tokens.saturating_add(observation.tokens);
        report.elapsed_ms = report.elapsed_ms.saturating_add(observation.elapsed_ms);
        let slow_ms = f64::from(report.tokens) * constants::INTER_TOKEN_TARGET_MS;
        if decode && f64::from(report.elapsed_ms) > slow_ms {
            self.urgent.insert(key);
        }
    }

    /// Forgets what is known of servers that the document no longer names.
    pub fn retain_servers(&mut self, known: impl Fn(&ids::ServerId) -> bool) {
        self.reports.retain(|(server, _), _| known(server));
        self.urgent.retain(|(server, _)| known(server));
        self.hints.retain(|server, _| known(server));
    }

    /// Drops the asks at servers that take no new work.
    pub fn withdraw_from(
        &mut self,
        servers: &[ids::ServerId],
        context: &client::Context<'_>,
        out: &mut outbox::Outbox<'_>,
    ) {
        for server in servers {
            for subject in self.waiting_at(server) {
                self.refuse_candidate(subject, server, context, out);
            }
        }
    }
}
