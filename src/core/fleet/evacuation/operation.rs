//! Learns evacuations from the store and from peers, tells all other instances, and ends or moves the
//! requests that no longer have a server.

use std::net;
use std::time;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::evacuation;
use crate::core::fleet::evacuation::shares;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::placement;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The level of the protocol from which on instances read evacuations.
const PROTOCOL_LEVEL: u16 = 1;

/// The interval at which coordinators repeat evacuations, as datagrams get lost, and at which evacuated
/// domains are checked for remaining requests.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The maximum number of reports in one message, to keep the datagram short.
const MAX_REPORTS_PER_MESSAGE: usize = 32;

/// The time after which the load of a domain is known at a coordinator: several intervals of digests.
const LOAD_SYNC_TIME: time::Duration = time::Duration::from_millis(1_500);

/// How long an instance expects reports of coordinators before it reads the store itself. With the time
/// after which lost coordinators are noticed and a read of an unresponsive store, it stays below the
/// five seconds within which an evacuation must be in force.
const REPORTS_HEAD_START: time::Duration = time::Duration::from_millis(1_000);

/// The `Retry-After` of requests whose service has no server outside evacuated domains: an operator
/// needs some seconds to lift an evacuation that was not meant so.
const EVACUATED_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// What an instance keeps track of while domains are evacuated.
#[derive(Debug, Default)]
pub struct Operation {
    shares: shares::Shares,
    last_repeated: ids::Timestamp,
    /// The number of requests at the servers of evacuated domains at the last check.
    loads: collections::Map<String, u32>,
    /// The services all of whose servers are in evacuated domains.
    evacuated_services: Vec<catalog::ServiceId>,
    /// Since when no coordinator reports evacuations.
    unreported_since: Option<ids::Timestamp>,
}

impl Fleet {
    /// Applies evacuations that were read from the store.
    pub(in crate::core::fleet) fn read_evacuations(
        &mut self,
        changes: &[evacuation::Change],
        complete: Option<ids::StorePosition>,
        source: servers::Source,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let changed = self.servers.update_evacuations(|known| known.read(changes, complete, now));
        if changed.is_empty() {
            return;
        }
        let source = match source {
            servers::Source::Restored => decision::Source::RestoredStore,
            servers::Source::Steady | servers::Source::AfterOutage => decision::Source::Store,
        };
        self.send_evacuations(&self.known_peers(), now, effects);
        self.apply_evacuations(&changed, source, now, effects);
    }

    /// Applies evacuations that a peer knows, and tells it what it lacks: changes are repeated for some
    /// time only.
    pub(in crate::core::fleet) fn receive_evacuations(
        &mut self,
        from: net::SocketAddr,
        reports: &[evacuation::Report],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if reports.iter().any(|report| self.servers.evacuations().is_outdated(report)) {
            self.send_evacuations(&[from], now, effects);
        }
        let changed = self.servers.update_evacuations(|known| {
            let changed = reports.iter().filter(|report| known.receive(report, now));
            changed.map(|report| report.domain.clone()).collect()
        });
        if changed.is_empty() {
            return;
        }
        if self.is_coordinator {
            self.send_evacuations(&self.known_peers(), now, effects);
        }
        self.apply_evacuations(&changed, decision::Source::Peer, now, effects);
    }

    /// Logs changed evacuations, and ends or moves the requests that no longer have a server.
    fn apply_evacuations(
        &mut self,
        changed: &[String],
        source: decision::Source,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let evacuated_domains = self.servers.evacuations().in_force();
        for domain in changed {
            let Some(report) = self.servers.evacuations().report(domain, now) else { continue };
            if report.is_in_force {
                self.evacuation.shares.begin(domain, now);
            } else {
                self.evacuation.shares.lift(domain, now);
                self.evacuation.loads.remove(domain);
            }
            // An instance that starts later has not waited for a record that is older than itself.
            let is_delay = report.age_ms <= waiting::millis(now);
            effects.push(Effect::Log(decision::Decision::DomainEvacuated {
                domain: domain.clone(),
                is_in_force: report.is_in_force,
                position: report.position,
                source,
                age_ms: report.age_ms,
                delay_ms: Some(report.age_ms).filter(|_| is_delay),
                servers: self.servers.domain_load(domain).0,
                evacuated_domains: evacuated_domains.clone(),
            }));
        }
        self.update_evacuated_services(now, effects);
        self.refuse_evacuated(now, effects);
        self.list_prompts(now, effects);
        self.place_waiting(now, effects);
    }

    /// Sends peers all that is known of evacuations.
    pub(in crate::core::fleet) fn send_evacuations(
        &self,
        targets: &[net::SocketAddr],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for reports in self.evacuation_reports(now).chunks(MAX_REPORTS_PER_MESSAGE) {
            for to in targets {
                let message = message::Message::Evacuations(reports.to_vec());
                effects.push(Effect::SendMessage { to: *to, message });
            }
        }
    }

    /// Returns all that is known of evacuations, for a peer.
    pub fn evacuation_reports(&self, now: ids::Timestamp) -> Vec<evacuation::Report> {
        self.servers.evacuations().reports(now)
    }

    /// Returns whether this instance should read evacuations itself, as no coordinator reports them:
    /// none is active, or all are of older builds.
    pub(in crate::core::fleet) fn lacks_evacuation_reports(&mut self, now: ids::Timestamp) -> bool {
        let speaks = |incarnation| self.peers.speaks(incarnation, PROTOCOL_LEVEL);
        let mut coordinators = self.peers.coordinators(now).into_iter();
        if coordinators.any(|coordinator| speaks(coordinator.incarnation)) {
            self.evacuation.unreported_since = None;
            return false;
        }
        let since = *self.evacuation.unreported_since.get_or_insert(now);
        now.saturating_sub(since) >= REPORTS_HEAD_START
    }

    /// Repeats evacuations to all instances, and checks which requests and services are left.
    pub(in crate::core::fleet) fn maintain_evacuations(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for returned in self.evacuation.shares.take_returned(now) {
            effects.push(Effect::Log(decision::Decision::DomainReturned {
                domain: returned.domain,
                elapsed_ms: waiting::millis(returned.elapsed),
                usual_share: returned.usual_share,
                share: returned.share,
            }));
        }
        if now < self.evacuation.last_repeated + REPEAT_INTERVAL {
            return;
        }
        self.evacuation.last_repeated = now;
        if !self.servers.evacuations().is_repeated(now) {
            return;
        }
        self.update_evacuated_services(now, effects);
        if self.is_coordinator {
            self.send_evacuations(&self.known_peers(), now, effects);
            self.check_domain_loads(now, effects);
        }
    }

    /// Logs the requests that are left in evacuated domains. Coordinators know the load by all
    /// instances.
    fn check_domain_loads(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for domain in self.servers.evacuations().in_force() {
            let time_in_force = self.servers.evacuations().time_in_force(&domain, now);
            let time_in_force = time_in_force.unwrap_or_default();
            let (servers, requests) = self.servers.domain_load(&domain);
            let known = self.evacuation.loads.get(&domain).copied();
            if known == Some(requests) || (requests == 0 && time_in_force < LOAD_SYNC_TIME) {
                continue;
            }
            let elapsed_ms = waiting::millis(time_in_force);
            self.evacuation.loads.insert(domain.clone(), requests);
            effects.push(Effect::Log(if requests == 0 {
                decision::Decision::DomainDrained { domain, servers, elapsed_ms }
            } else {
                decision::Decision::DomainDraining { domain, servers, requests, elapsed_ms }
            }));
        }
    }

    /// Logs the services that have lost their last server by evacuations, or have one again.
    fn update_evacuated_services(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let evacuated = self.servers.evacuated_services(now);
        let known = std::mem::replace(&mut self.evacuation.evacuated_services, evacuated.clone());
        let line = |service: &catalog::ServiceId, is_evacuated| {
            let (service, services) = (service.to_string(), evacuated.len());
            Effect::Log(decision::Decision::ServiceEvacuated { service, is_evacuated, services })
        };
        let new = evacuated.iter().filter(|service| !known.contains(service));
        effects.extend(new.map(|service| line(service, true)));
        let served = known.iter().filter(|service| !evacuated.contains(service));
        effects.extend(served.map(|service| line(service, false)));
    }

    /// Returns whether all servers that could answer a request are in evacuated domains.
    pub(in crate::core::fleet) fn is_evacuated(
        &self,
        request: call::RequestNumber,
        now: ids::Timestamp,
    ) -> bool {
        self.requests.get(&request).is_some_and(|live| {
            self.servers.is_evacuated(&live.claim.service, &live.claim.binding, now)
        })
    }

    /// Refuses a request all of whose servers are in evacuated domains; returns whether it did.
    pub(in crate::core::fleet) fn refuse_if_evacuated(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if !self.is_evacuated(request, now) {
            return false;
        }
        let wait = self.jittered(EVACUATED_RETRY_AFTER);
        let Some(live) = self.requests.get(&request) else { return false };
        let max_wait = live.expires.saturating_sub(now) / 3;
        let reason = refusal::Reason::Evacuated;
        let refusal = refusal::Refusal::retry_after(reason, wait.min(max_wait));
        self.refuse(request, refusal, now, effects);
        true
    }

    /// Refuses the requests that are at no server and have none left.
    fn refuse_evacuated(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if !self.servers.evacuations().is_any_in_force() {
            return;
        }
        // Those that wait for a charge or for the origin of their stream are refused after it.
        let awaits_server = |phase: &live::Phase| {
            matches!(phase, live::Phase::Waiting | live::Phase::AwaitingGrant(_))
        };
        let waiting = self.requests.iter().filter(|(_, live)| awaits_server(&live.phase));
        let mut waiting: Vec<_> = waiting.map(|(request, _)| *request).collect();
        waiting.sort_unstable();
        for request in waiting {
            self.refuse_if_evacuated(request, now, effects);
        }
    }

    /// Returns the first server of a placement that is in an evacuated domain.
    pub(in crate::core::fleet) fn evacuated_server(
        &self,
        placement: &placement::Placement,
    ) -> Option<&servers::Server> {
        let mut servers = placement.servers().filter_map(|server| self.servers.get(server));
        servers.find(|server| server.is_evacuated())
    }

    /// Logs that the grant of an owner that does not know of an evacuation is not used.
    pub(in crate::core::fleet) fn log_evacuated_grant(
        &self,
        request: call::RequestNumber,
        placement: &placement::Placement,
        awaiting: &live::AwaitingGrant,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let Some(server) = self.evacuated_server(placement) else { return };
        effects.push(Effect::Log(decision::Decision::GrantEvacuated {
            request: fleet::text(&live.call.id),
            owner: awaiting.owner,
            server: fleet::text(&server.entry.id),
            domain: server.entry.domain.clone(),
        }));
    }

    /// Counts a request that is sent to a server for the share of its domain.
    pub(in crate::core::fleet) fn count_domain(
        &mut self,
        server: &ids::ServerId,
        now: ids::Timestamp,
    ) {
        if let Some(known) = self.servers.get(server) {
            self.evacuation.shares.record(&known.entry.domain, now);
        }
    }

    /// Returns the evacuated servers of a service, which an owner of an older build is told as tried
    /// ones: it does not know of evacuations.
    pub(in crate::core::fleet) fn servers_unknown_to_be_evacuated(
        &self,
        service: &catalog::ServiceId,
        owner: ids::Incarnation,
    ) -> Vec<ids::ServerId> {
        if self.peers.speaks(owner, PROTOCOL_LEVEL) {
            return Vec::new();
        }
        let servers = self.servers.of_service(service).filter(|server| server.is_evacuated());
        let ids = servers.map(|server| server.entry.id.clone());
        ids.take(constants::MAX_EVACUATED_PER_REQUEST).collect()
    }
}
