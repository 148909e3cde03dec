//! Keeps requests that crash servers from them: instances tell each other which requests began at a
//! server shortly before it ended, and refuse what each of them finds to be the cause.
//!
//! Load pattern: requests with one property arrive at all instances, each of which sees a few of the
//! crashes.

use std::net;
use std::time;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::Outcome;
use crate::core::fleet::Step;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::crashes;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::quarantine;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// How a server answers an attempt to open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It accepts the connection.
    Accepts,
    /// Its machine refuses the connection: no process listens at the address.
    Refuses,
    /// It does not answer.
    Silent,
}

/// The requests that were lost at a server of which it is not known whether it has ended.
#[derive(Debug)]
struct Loss {
    at: ids::Timestamp,
    service: catalog::ServiceId,
    software_version: Option<servers::SoftwareVersion>,
    suspects: Vec<crashes::Suspect>,
}

/// What this instance knows of crashes, and what it is about to tell.
#[derive(Debug, Default)]
pub struct Containment {
    evidence: crashes::Evidence,
    quarantines: quarantine::Quarantines,
    losses: collections::Map<crashes::ServerLife, Loss>,
    /// Crashes that this instance has observed, and the number of times that it has reported them.
    own_reports: Vec<(message::CrashReport, ids::Timestamp, u32)>,
    last_repeated: ids::Timestamp,
    /// The time until which a cause of the last crashes may still be found.
    undecided_until: ids::Timestamp,
    last_search: ids::Timestamp,
    /// Whether the quarantines have changed since they were last written to the store.
    is_unstored: bool,
}

impl Fleet {
    /// Notes what the end of a request at a server tells about crashes.
    pub(super) fn note_end(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        outcome: &Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let is_stream = self.requests.get(&request).is_some_and(|live| live.route.is_stream);
        match outcome {
            Outcome::ConnectionLost | Outcome::Truncated => {
                self.note_loss(request, at, now, effects);
            }
            // The end of such a stream may be that of its server.
            Outcome::Finished { is_end_marked: false, .. } if is_stream => {
                self.note_loss(request, at, now, effects);
            }
            Outcome::Finished { .. } | Outcome::Failed { .. } => {
                self.record_survival(request, at, now, effects);
            }
            _ => {}
        }
    }

    /// Notes a request that was lost at a server shortly after its start, and checks whether the server
    /// has ended.
    fn note_loss(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let features = live.features();
        if at.step == Step::Prefill || features.is_empty() || at.has_survived(now) {
            return;
        }
        let Some(server) = self.servers.get(&at.server) else { return };
        if server.entry.born_ms != at.born_ms || !server.is_available(now) {
            return;
        }
        let life = (at.server.clone(), at.born_ms);
        let loss = self.containment.losses.entry(life).or_insert_with(|| {
            effects.push(Effect::ProbeServer {
                server: at.server.clone(),
                born_ms: at.born_ms,
                address: server.entry.address,
            });
            let service = server.entry.service.clone();
            let software_version = server.entry.software_version.clone();
            Loss { at: now, service, software_version, suspects: Vec::new() }
        });
        if loss.suspects.len() < constants::MAX_SUSPECTS_PER_REPORT {
            loss.suspects.push(features);
        }
    }

    /// Applies the answer of a server at which requests were lost.
    pub(super) fn receive_probe(
        &mut self,
        server: ids::ServerId,
        born_ms: u64,
        reachability: Reachability,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let life = (server, born_ms);
        match reachability {
            Reachability::Accepts => {
                self.containment.losses.remove(&life);
            }
            Reachability::Refuses => self.confirm_crash(&life, now, effects),
            // The list of servers shows whether it has ended.
            Reachability::Silent => {}
        }
    }

    /// Confirms the crashes of servers that are no longer listed or have started again.
    fn confirm_unlisted(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let servers = &self.servers;
        let has_ended = |(server, born_ms): &crashes::ServerLife| {
            servers.get(server).is_none_or(|known| known.entry.born_ms != *born_ms)
        };
        let lives = self.containment.losses.keys();
        let ended: Vec<_> = lives.filter(|life| has_ended(life)).cloned().collect();
        for life in ended {
            self.confirm_crash(&life, now, effects);
        }
        let is_recent = |loss: &Loss| now.saturating_sub(loss.at) <= constants::LOSS_RETENTION;
        self.containment.losses.retain(|_, loss| is_recent(loss));
    }

    fn confirm_crash(
        &mut self,
        life: &crashes::ServerLife,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(loss) = self.containment.losses.remove(life) else { return };
        let mut survived = loss.suspects.concat();
        survived.retain(|feature| self.containment.evidence.has_survived(*feature, now));
        survived.sort_unstable();
        survived.dedup();
        let report = message::CrashReport {
            server: life.0.clone(),
            born_ms: life.1,
            age_ms: waiting::millis(now.saturating_sub(loss.at)),
            service: loss.service,
            software_version: loss.software_version,
            suspects: loss.suspects,
            survived,
        };
        self.send_to_all(&message::Message::ServerCrashed(report.clone()), effects);
        self.apply_crash(&report, None, now, effects);
        self.containment.own_reports.push((report, loss.at, 0));
    }

    /// Applies what this instance or another one, `from`, has observed of a crash.
    pub(super) fn apply_crash(
        &mut self,
        report: &message::CrashReport,
        from: Option<net::SocketAddr>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let at = now.saturating_sub(time::Duration::from_millis(report.age_ms));
        let life = (report.server.clone(), report.born_ms);
        let crash = crashes::Crash {
            at,
            service: report.service.clone(),
            software_version: report.software_version.clone(),
            suspects: report.suspects.clone(),
            outlived: None,
        };
        let names = crash.suspects.concat().into_iter().map(crashes::Feature::name);
        let names = names.take(constants::MAX_SUSPECTS_PER_REPORT).collect();
        let evidence = &mut self.containment.evidence;
        if !evidence.record_crash(life, crash, now) {
            return;
        }
        self.containment.undecided_until = now + constants::CRASH_DECISION_PERIOD;
        // A survival before the crash does not clear of it, but shows that the feature is a common one.
        evidence.record_survival(&report.survived, ids::Timestamp::ZERO, now);
        effects.push(Effect::Log(decision::Decision::ServerCrashed {
            server: fleet::text(&report.server),
            service: report.service.to_string(),
            suspects: names,
            age_ms: report.age_ms,
            reporter: from,
        }));
        self.find_cause(now, effects);
    }

    /// Records that a server has survived a request, and tells others if that clears features of
    /// crashes.
    pub(super) fn record_survival(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        if at.step == Step::Prefill {
            return;
        }
        let evidence = &mut self.containment.evidence;
        evidence.record_service(&live.claim.service, at.sent, now);
        let cleared = evidence.record_survival(&live.features(), at.sent, now);
        if !cleared.is_empty() {
            let age_ms = waiting::millis(now.saturating_sub(at.sent));
            let message = message::Message::RequestsSurvived { features: cleared, age_ms };
            self.send_to_all(&message, effects);
        }
    }

    /// Applies a survival that another instance has observed.
    pub(super) fn receive_survival(
        &mut self,
        features: &[crashes::Feature],
        age_ms: u64,
        now: ids::Timestamp,
    ) {
        let started = now.saturating_sub(time::Duration::from_millis(age_ms));
        self.containment.evidence.record_survival(features, started, now);
    }

    /// Quarantines what is found to crash servers.
    fn find_cause(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let known = self.containment.quarantines.patterns(now);
        let Some(cause) = self.containment.evidence.find_cause(&known, now) else { return };
        let new = quarantine::Quarantine::new(&cause, now);
        let servers = cause.servers.iter().map(fleet::text).collect();
        let age_ms = waiting::millis(now.saturating_sub(cause.first));
        self.add_quarantine(new, servers, Some(age_ms), now, effects);
    }

    fn add_quarantine(
        &mut self,
        new: quarantine::Quarantine,
        servers: Vec<String>,
        first_crash_age_ms: Option<u64>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let (id, lifted) = (new.id(), new.is_lifted.then(|| new.clone()));
        if !self.containment.quarantines.insert(new, now) {
            return;
        }
        self.containment.is_unstored = true;
        if let Some(lifted) = lifted {
            // The crashes before would bring it back.
            self.containment.evidence.forget(&lifted.pattern);
            return self.log_quarantine_end(&lifted, now, effects);
        }
        self.log_quarantine(id, servers, first_crash_age_ms, now, effects);
        let is_found_here = first_crash_age_ms.is_some();
        if self.is_coordinator || is_found_here {
            self.send_quarantines(&self.known_peers(), now, effects);
        }
        self.refuse_quarantined(now, effects);
    }

    fn log_quarantine(
        &self,
        id: quarantine::QuarantineId,
        servers: Vec<String>,
        first_crash_age_ms: Option<u64>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let quarantines = self.containment.quarantines.active(now).count();
        let mut active = self.containment.quarantines.active(now);
        let Some(new) = active.find(|quarantine| quarantine.id() == id) else { return };
        effects.push(Effect::Log(decision::Decision::Quarantined {
            quarantine: decision::quarantine_name(id),
            service: new.service.to_string(),
            pattern: new.pattern_names(),
            software_versions: new.software_versions.clone(),
            crashes: new.crashes,
            servers,
            first_crash_age_ms,
            remaining_ms: waiting::millis(new.remaining(now)),
            quarantines,
        }));
    }

    fn log_quarantine_end(
        &self,
        ended: &quarantine::Quarantine,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Log(decision::Decision::QuarantineEnded {
            quarantine: decision::quarantine_name(ended.id()),
            service: ended.service.to_string(),
            pattern: ended.pattern_names(),
            is_lifted: ended.is_lifted,
            quarantines: self.containment.quarantines.active(now).count(),
        }));
    }

    /// Applies quarantines that a peer or the store knows.
    pub(super) fn receive_quarantines(
        &mut self,
        reports: &[quarantine::Report],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for report in reports {
            match report.to_quarantine(now) {
                Some(new) => self.add_quarantine(new, Vec::new(), None, now, effects),
                None => log::warn!("ignoring an invalid or outdated quarantine: {report:?}"),
            }
        }
    }

    /// Refuses the requests in progress that are quarantined, but for those that a server runs already.
    fn refuse_quarantined(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let is_running = |live: &live::LiveRequest| matches!(live.phase, live::Phase::AtServer(_));
        let waiting = self.requests.iter().filter(|(_, live)| !is_running(live));
        let mut waiting: Vec<_> = waiting.map(|(request, _)| *request).collect();
        waiting.sort_unstable();
        for request in waiting {
            self.refuse_if_quarantined(request, now, effects);
        }
    }

    /// Refuses a request that is quarantined; returns whether it did.
    pub(super) fn refuse_if_quarantined(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(refusal) = self.quarantine_refusal(request, now) else { return false };
        self.refuse(request, refusal, now, effects);
        true
    }

    /// Returns the refusal of a request if it is quarantined.
    pub(super) fn quarantine_refusal(
        &self,
        request: call::RequestNumber,
        now: ids::Timestamp,
    ) -> Option<refusal::Refusal> {
        let live = self.requests.get(&request)?;
        let quarantines = &self.containment.quarantines;
        let found = quarantines.of_request(&live.claim.service, || live.features(), now)?;
        let wait = found.remaining(now);
        let refusal = refusal::Refusal::retry_after(refusal::Reason::Quarantined, wait);
        Some(refusal::Refusal { quarantine: Some(found.id()), ..refusal })
    }

    /// Returns whether a request that was lost with its server may be the cause, so that it is not sent
    /// to another one.
    pub(super) fn may_crash_servers(
        &self,
        live: &live::LiveRequest,
        at: &live::AtServer,
        now: ids::Timestamp,
    ) -> bool {
        if at.has_survived(now) {
            return false;
        }
        let (features, life) = (live.features(), (at.server.clone(), at.born_ms));
        let evidence = &self.containment.evidence;
        let mut losses = self.containment.losses.iter().filter(|(other, _)| **other != life);
        let is_lost_again = losses.any(|(_, loss)| {
            let mut suspects = loss.suspects.iter().flatten();
            suspects
                .any(|feature| features.contains(feature) && !evidence.has_survived(*feature, now))
        });
        is_lost_again || evidence.is_suspicious(&features, &life, now)
    }

    /// Repeats reports, as datagrams get lost, and drops what has ended.
    pub(super) fn maintain_containment(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.confirm_unlisted(now, effects);
        let mut due = Vec::new();
        for (report, at, repeats) in &mut self.containment.own_reports {
            let age = now.saturating_sub(*at);
            if age >= constants::CRASH_REPORT_INTERVAL * (*repeats + 1) {
                *repeats += 1;
                due.push(message::CrashReport { age_ms: waiting::millis(age), ..report.clone() });
            }
        }
        self.containment
            .own_reports
            .retain(|(_, _, repeats)| *repeats < constants::CRASH_REPORT_REPEATS);
        for report in due {
            self.send_to_all(&message::Message::ServerCrashed(report), effects);
        }
        let is_search_due = now >= self.containment.last_search + constants::CAUSE_SEARCH_INTERVAL;
        if is_search_due && now <= self.containment.undecided_until {
            self.containment.last_search = now;
            self.find_cause(now, effects);
        }
        for ended in self.containment.quarantines.drop_ended(&self.servers, now) {
            self.containment.is_unstored = true;
            self.containment.evidence.forget(&ended.pattern);
            self.log_quarantine_end(&ended, now, effects);
        }
        let is_due = now >= self.containment.last_repeated + constants::QUARANTINE_REPORT_INTERVAL;
        if is_due && self.is_limit_coordinator(now) {
            self.containment.last_repeated = now;
            self.send_quarantines(&self.known_peers(), now, effects);
        }
    }

    pub(super) fn send_quarantines(
        &self,
        targets: &[net::SocketAddr],
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let reports = self.containment.quarantines.reports(now);
        for reports in reports.chunks(constants::MAX_QUARANTINES_PER_MESSAGE) {
            for to in targets {
                let message = message::Message::Quarantines(reports.to_vec());
                effects.push(Effect::SendMessage { to: *to, message });
            }
        }
    }

    pub(super) fn send_to_all(&self, message: &message::Message, effects: &mut Vec<Effect>) {
        for to in self.known_peers() {
            effects.push(Effect::SendMessage { to, message: message.clone() });
        }
    }

    /// Returns all quarantines if they have changed since they were last taken to be stored.
    pub fn take_unstored_quarantines(
        &mut self,
        now: ids::Timestamp,
    ) -> Option<Vec<quarantine::Report>> {
        let is_unstored = std::mem::take(&mut self.containment.is_unstored);
        is_unstored.then(|| self.containment.quarantines.reports(now))
    }

    /// Notes that quarantines could not be stored.
    pub fn put_back_quarantines(&mut self) {
        self.containment.is_unstored = true;
    }

    /// Returns the quarantines, for operators.
    pub fn quarantines(&self, now: ids::Timestamp) -> Vec<quarantine::Report> {
        self.containment.quarantines.reports(now)
    }

    /// Lifts a quarantine, as an operator asks.
    pub(super) fn lift_quarantine(
        &mut self,
        id: quarantine::QuarantineId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(lifted) = self.containment.quarantines.lift(id, now) else { return };
        self.containment.evidence.forget(&lifted.pattern);
        self.containment.is_unstored = true;
        self.log_quarantine_end(&lifted, now, effects);
        self.send_quarantines(&self.known_peers(), now, effects);
    }
}
