//! Keeps the rate limits that servers name, for the whole fleet.
//!
//! Load pattern: a server in need takes a few requests a second, and sixty instances send to it. The
//! owner of its service grants the limit; an instance that sends without a grant uses an equal part
//! of half of it. Instances report what they have learned and sent to the coordinators, so that each
//! of these can grant what is left, and the coordinators to all others.

use std::net;
use std::time;

use rand::RngExt as _;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::placement;
use crate::core::fleet::refusal;
use crate::core::fleet::server_limits;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The servers whose limit or use of it is to be reported.
#[derive(Debug, Default)]
pub struct DueReports {
    servers: collections::Set<ids::ServerId>,
    last_repeated: ids::Timestamp,
}

impl Fleet {
    /// Applies what the head of an answer states about the rate limit of its server. Only an
    /// authentic answer shows that there is no limit.
    pub(super) fn receive_statement(
        &mut self,
        request: call::RequestNumber,
        statement: server_limits::Statement,
        is_authentic: bool,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = &live.phase else { return };
        let evidence = match statement {
            server_limits::Statement::PerSecond(rate_per_s) => {
                let named = server_limits::Named { rate_per_s, sent: at.sent, received: now };
                server_limits::Evidence::new(Some(named), None)
            }
            server_limits::Statement::Unlimited if is_authentic => {
                server_limits::Evidence::new(None, Some(at.sent))
            }
            server_limits::Statement::Unlimited => return,
            server_limits::Statement::Invalid => {
                let server = self.servers.get(&at.server);
                effects.push(Effect::Log(decision::Decision::ServerLimitInvalid {
                    server: fleet::text(&at.server),
                    request: fleet::text(&live.call.id),
                    rate_per_s: server.and_then(|server| server.limit().rate_per_s()),
                }));
                return;
            }
        };
        let (server, born_ms, sent) = (at.server.clone(), at.born_ms, at.sent);
        let source = decision::Source::Answer;
        if self.record_limit(&server, born_ms, evidence, (source, sent), now, effects) {
            self.send_limit_reports(&[server], now, effects);
            self.place_waiting(now, effects);
        }
    }

    /// Adds evidence of the limit of a server; returns whether the limit in force has changed.
    fn record_limit(
        &mut self,
        server: &ids::ServerId,
        born_ms: u64,
        evidence: server_limits::Evidence,
        (source, sent): (decision::Source, ids::Timestamp),
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let phase = self.rng.random::<f64>();
        let change = self.servers.record_limit(server, born_ms, evidence, phase, now);
        let Some((previous_per_s, rate_per_s)) = change else { return false };
        let Some(known) = self.servers.get(server) else { return false };
        let service = &known.entry.service;
        let limits = self.servers.of_service(service);
        let limits = limits.filter(|server| server.limit().rate_per_s().is_some());
        let limits = limits.filter_map(servers::Server::allowance);
        let rates: Vec<_> = limits.map(server_limits::Allowance::rate_per_s).collect();
        effects.push(Effect::Log(decision::Decision::ServerLimitChanged {
            server: fleet::text(server),
            service: service.to_string(),
            rate_per_s,
            previous_per_s,
            source,
            age_ms: waiting::millis(now.saturating_sub(sent)),
            limited_servers: rates.len(),
            service_rate_per_s: rates.iter().sum(),
        }));
        true
    }

    /// Returns the part of the limits of a service's servers that this instance may use. An owner without
    /// recent digests of most instances may have a counterpart on the other side of a partition.
    pub(super) fn pacing(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> server_limits::Pacing {
        let is_alone = !self.is_coordinated(now) && self.knows_members(now);
        let is_owner =
            || self.owner(service, now).is_some_and(|it| it.incarnation == self.own.incarnation);
        if is_alone {
            return server_limits::Pacing::Fleet;
        }
        // The seeds are instances that this one may not know yet.
        let instances = self.peers.member_count(now).max(self.seeds.len());
        if !is_owner() {
            return server_limits::Pacing::Share { instances };
        }
        let active = 1 + self.peers.count_active_within(constants::OWNER_CONTACT_PERIOD, now);
        if active * 2 > instances {
            server_limits::Pacing::Fleet
        } else {
            server_limits::Pacing::Share { instances: instances.div_ceil(active) }
        }
    }

    /// Returns the conditions for placing a claim now.
    pub(super) fn query<'a>(
        &self,
        claim: &'a claim::Claim,
        is_local: bool,
        memory_share: f64,
        now: ids::Timestamp,
    ) -> placement::Query<'a> {
        let pacing = self.pacing(&claim.service, now);
        let is_probing = self.has_joined && now < constants::PROBING_PERIOD;
        let is_overload = self.accepts_partial_failures(claim);
        placement::Query { claim, memory_share, pacing, is_local, is_probing, is_overload, now }
    }

    /// Uses the limits of the servers of a placement for one request.
    pub(super) fn take_allowances(
        &mut self,
        claim: &claim::Claim,
        placement: &placement::Placement,
        now: ids::Timestamp,
    ) {
        self.record_use(claim, now);
        let pacing = self.pacing(&claim.service, now);
        for server in placement.servers() {
            self.servers.take_allowance(server, pacing, now);
        }
    }

    /// Returns whether a grant keeps the limits that this instance knows of: the owner knows of them
    /// too, or this instance's own part allows the request, of which it is then taken.
    pub(super) fn is_within_limits(
        &mut self,
        placement: &placement::Placement,
        owner: ids::Incarnation,
        now: ids::Timestamp,
    ) -> bool {
        let instances = self.peers.member_count(now);
        let pacing = server_limits::Pacing::Share { instances };
        let known = placement.servers().filter_map(|server| self.servers.get(server));
        let ungranted = known.filter(|server| !server.is_kept_by(owner, now));
        let ungranted: Vec<_> = ungranted.map(|server| server.entry.id.clone()).collect();
        let is_open = |id: &ids::ServerId| {
            self.servers.get(id).is_some_and(|server| server.limit_wait(pacing, now).is_zero())
        };
        if !ungranted.iter().all(is_open) {
            return false;
        }
        for server in ungranted {
            self.servers.take_allowance(&server, pacing, now);
        }
        true
    }

    pub(super) fn log_declined_grant(
        &self,
        request: call::RequestNumber,
        placement: &placement::Placement,
        awaiting: &live::AwaitingGrant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        for server in placement.servers().filter_map(|server| self.servers.get(server)) {
            let Some(allowance) = server.allowance() else { continue };
            effects.push(Effect::Log(decision::Decision::GrantDeclined {
                request: fleet::text(&live.call.id),
                owner: awaiting.owner,
                server: fleet::text(&server.entry.id),
                limit_per_s: allowance.rate_per_s(),
            }));
        }
    }

    /// Returns the limits of the usable servers of a service, if any of them has one.
    pub(super) fn limit_view(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> Option<refusal::LimitView> {
        if !self.servers.may_have_limits() {
            return None;
        }
        let (mut limited_servers, mut unlimited_servers, mut rate_per_s) = (0, 0, 0.0);
        for server in self.servers.of_service(service).filter(|server| server.is_usable(now)) {
            match server.allowance() {
                Some(allowance) => {
                    limited_servers += 1;
                    rate_per_s += allowance.rate_per_s();
                }
                None => unlimited_servers += 1,
            }
        }
        let view = refusal::LimitView { limited_servers, unlimited_servers, rate_per_s };
        (limited_servers > 0).then_some(view)
    }

    /// Counts a request that is sent to a server with a limit, for the instances that grant it.
    pub(super) fn count_limited_send(
        &mut self,
        request: call::RequestNumber,
        server: &ids::ServerId,
        now: ids::Timestamp,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let (service, grant) = (live.claim.service.clone(), live.grant);
        self.count_sent(server, &service, grant, now);
    }

    fn count_sent(
        &mut self,
        server: &ids::ServerId,
        service: &catalog::ServiceId,
        grant: Option<live::Grant>,
        now: ids::Timestamp,
    ) {
        let Some(known) = self.servers.get(server) else { return };
        let Some(allowance) = known.allowance() else { return };
        let born_ms = known.entry.born_ms;
        let granter = match grant {
            // A grant that was given before the owner knew of the limit is not counted there.
            Some(grant) if grant.received >= allowance.since() => {
                Some(grant.owner).filter(|owner| known.is_kept_by(*owner, now))
            }
            Some(_) => None,
            None if self.pacing(service, now) == server_limits::Pacing::Fleet => {
                Some(self.own.incarnation)
            }
            None => None,
        };
        let own = self.own.incarnation;
        if let Some(allowance) = self.servers.allowance_mut(server, born_ms) {
            allowance.count_sent(granter, own, now);
            self.limit_reports.servers.insert(server.clone());
        }
    }

    /// Counts a call to a server beside the requests of callers, such as the release of a KV cache.
    pub(super) fn count_call(&mut self, server: &ids::ServerId, now: ids::Timestamp) {
        let Some(service) = self.servers.get(server).map(|known| known.entry.service.clone())
        else {
            return;
        };
        let pacing = self.pacing(&service, now);
        self.servers.take_allowance(server, pacing, now);
        self.count_sent(server, &service, None, now);
    }

    /// Asks the owners of limited services again for requests that this instance placed itself, as
    /// its part of the limits serves few.
    pub(super) fn return_to_owners(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let is_limited = |request: &call::RequestNumber| {
            let live = self.requests.get(request).filter(|live| live.held.is_none());
            let service = live.map(|live| &live.claim.service);
            service.is_some_and(|service| self.limit_view(service, now).is_some())
        };
        let waiting: Vec<_> = self.waiting.iter().copied().filter(is_limited).collect();
        for request in waiting {
            if self.request_reservation(request, now, effects) {
                self.waiting.retain(|other| *other != request);
            }
        }
    }

    /// Sends what changed since the last reports and, in intervals, all that is known.
    pub(super) fn report_limits(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if now >= self.limit_reports.last_repeated + constants::LIMIT_REPORT_INTERVAL {
            self.limit_reports.last_repeated = now;
            self.servers.update_may_have_limits();
            self.limit_reports.servers = self.cold_reports_due(now).into_iter().collect();
            let since = now.saturating_sub(constants::LIMIT_WITHDRAWAL_REPORT_PERIOD);
            let limited = self.servers.with_limits(since);
            let limited: Vec<_> = limited.map(|server| server.entry.id.clone()).collect();
            if self.servers.may_have_limits() {
                let live = self.live_incarnations(now);
                self.servers.retain_limit_holders(|holder| live.contains(&holder));
            }
            self.send_limit_reports(&limited, now, effects);
            self.repeat_cold_reports(now, effects);
        }
        if self.limit_reports.servers.is_empty() {
            return;
        }
        let due: Vec<_> = self.limit_reports.servers.drain().collect();
        self.send_reports_to(&self.limit_counters(now), &due, now, effects);
    }

    /// Reports on servers: a coordinator to all, another instance to the coordinators.
    fn send_limit_reports(
        &self,
        servers: &[ids::ServerId],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let targets =
            if self.is_coordinator { self.known_peers() } else { self.limit_counters(now) };
        self.send_reports_to(&targets, servers, now, effects);
    }

    fn send_reports_to(
        &self,
        targets: &[net::SocketAddr],
        servers: &[ids::ServerId],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for message in self.limit_reports_of(servers, now) {
            for to in targets {
                effects.push(Effect::SendMessage { to: *to, message: message.clone() });
            }
        }
    }

    /// Returns the instances that count requests to servers with limits: the coordinators and,
    /// while none is active, those that may become one.
    pub(super) fn limit_counters(&self, now: ids::Timestamp) -> Vec<net::SocketAddr> {
        let mut counters = self.peers.coordinators(now);
        if counters.is_empty() && !self.is_coordinator {
            counters = self.peers.highest_ranked(constants::FALLBACK_STORE_READERS);
        }
        counters.into_iter().map(|member| member.peer_address).collect()
    }

    fn limit_reports_of(
        &self,
        servers: &[ids::ServerId],
        now: ids::Timestamp,
    ) -> Vec<message::Message> {
        let age = |at: ids::Timestamp| waiting::millis(now.saturating_sub(at));
        let report = |id: &ids::ServerId| {
            let server = self.servers.get(id)?;
            let limit = server.limit();
            let named = limit.named().map(|named| message::NamedLimit {
                rate_per_s: named.rate_per_s,
                sent_age_ms: age(named.sent),
                received_age_ms: age(named.received),
            });
            Some(message::LimitReport {
                server: id.clone(),
                born_ms: server.entry.born_ms,
                named,
                unlimited_age_ms: limit.unlimited_sent().map(age),
                sends: server.allowance().map(|it| it.counts().clone()).unwrap_or_default(),
            })
        };
        let reports: Vec<_> = servers.iter().filter_map(report).collect();
        let from = self.own.incarnation;
        let chunks = reports.chunks(constants::MAX_LIMIT_REPORTS_PER_MESSAGE);
        let limits =
            chunks.map(|reports| message::LimitReports { from, reports: reports.to_vec() });
        limits.map(message::Message::ServerLimits).collect()
    }

    /// Applies what another instance knows of limits and has sent to servers that have one.
    pub(super) fn receive_limits(
        &mut self,
        limits: &message::LimitReports,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let mut changed = Vec::new();
        for report in &limits.reports {
            let Some(evidence) = evidence_of(report, now) else {
                log::warn!("ignoring an invalid limit of server {}", fleet::text(&report.server));
                continue;
            };
            let sent = evidence.named().map(|named| named.sent).max(evidence.unlimited_sent());
            let source = (decision::Source::Peer, sent.unwrap_or_default());
            if self.record_limit(&report.server, report.born_ms, evidence, source, now, effects) {
                changed.push(report.server.clone());
            }
            let own = self.own.incarnation;
            let is_limited = evidence.rate_per_s().is_some();
            let known = self.servers.get(&report.server);
            let names_limit = known.is_some_and(|known| known.limit().rate_per_s().is_some());
            match self.servers.allowance_mut(&report.server, report.born_ms) {
                Some(allowance) => {
                    if is_limited {
                        allowance.record_keeper(limits.from, now);
                    }
                    allowance.apply_counts(limits.from, &report.sends, own, now);
                    if !is_limited && names_limit {
                        self.limit_reports.servers.insert(report.server.clone());
                    }
                }
                None if is_limited => {
                    self.limit_reports.servers.insert(report.server.clone());
                }
                None => {}
            }
        }
        if !changed.is_empty() {
            if self.is_coordinator {
                self.send_limit_reports(&changed, now, effects);
            }
            self.place_waiting(now, effects);
        }
    }
}

/// Returns the evidence in a report; `None` if the report is invalid. Of the age of a request whose
/// answer names no limit, the time of the report's way counts in full.
fn evidence_of(
    report: &message::LimitReport,
    now: ids::Timestamp,
) -> Option<server_limits::Evidence> {
    let at = |age_ms: u64| now.saturating_sub(time::Duration::from_millis(age_ms));
    let named = report.named.map(|named| server_limits::Named {
        rate_per_s: named.rate_per_s,
        sent: at(named.sent_age_ms),
        received: at(named.received_age_ms),
    });
    if named.is_some_and(|named| !named.rate_per_s.is_finite() || named.rate_per_s < 0.0) {
        return None;
    }
    let unlimited_sent = report
        .unlimited_age_ms
        .map(|age_ms| at(age_ms).saturating_sub(constants::LIMIT_REPORT_DELAY));
    Some(server_limits::Evidence::new(named, unlimited_sent))
}
