//! The load that plain servers state in their answers: what it says about the next request, how far it
//! is believed, and how the owner of a service learns it.
//!
//! Load pattern: servers share their machines with others, so that the same work takes up to five times
//! as long as it did 100 ms before, and they also work for callers that this fleet does not know of.

use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::estimate;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::placement;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The time after which a statement counts half: machines change several times in it.
const STATEMENT_HALF_LIFE: time::Duration = time::Duration::from_millis(300);

/// The age from which on a statement no longer counts.
const STATEMENT_VALIDITY: time::Duration = time::Duration::from_secs(2);

/// The half-life of a figure in the mean of a server's figures.
const MEAN_HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// The minimum weight of an answer in the work of a server that states how long work takes: what is left
/// to learn is the same for all machines, and a request in a hundred takes five times the mean.
const MIN_ANSWER_WEIGHT: f64 = 0.03;

/// The maximum weight of a new figure in the mean. Without it, the mean of a server that gets few
/// requests would be its last figure.
const MAX_MEAN_WEIGHT: f64 = 0.2;

/// The time without figures after which the mean counts half against the usual time. Otherwise, a
/// server that was slow would never be tried again.
const SILENCE_HALF_LIFE: time::Duration = time::Duration::from_secs(20);

/// The figure of a machine on which work takes the usual time.
const USUAL_PERCENT: f64 = 100.0;

/// The highest figure that is valid.
const MAX_WORK_PERCENT: f64 = 10_000.0;

/// The bounds of the factor by which figures change the expected work. What a figure states beyond them
/// is learned as work of the server, so that absurd figures do no lasting harm.
const MIN_WORK_FACTOR: f64 = 0.2;
const MAX_WORK_FACTOR: f64 = 5.0;

/// The change of a figure, as a share of it, from which on it is reported.
const MIN_REPORTED_CHANGE: f64 = 0.25;

/// The minimum time between two reports of an instance on one server.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// That time per instance of the fleet: all instances together report on a server at most 50 times a
/// second, five times as often as machines change.
const REPORT_INTERVAL_PER_INSTANCE: time::Duration = time::Duration::from_millis(20);

/// The maximum number of reports in one message, to keep the datagram short.
const MAX_REPORTS_PER_MESSAGE: usize = 32;

/// The level of the protocol from which on owners read reports; older builds log each one as unreadable.
const REPORTS_LEVEL: u16 = 1;

/// The multiple of the expected time above which an answer contradicts a server that states to be empty.
const CONTRADICTION_FACTOR: f64 = 3.0;

/// The share of contradictions among recent answers above which a server's statements are not used. It
/// takes four in a row, as one request in a hundred takes five times the mean.
const MAX_CONTRADICTED_SHARE: f64 = 0.5;

/// The share below which they are used again: ten answers without a contradiction.
const TRUSTED_CONTRADICTED_SHARE: f64 = 0.1;

/// What an answer states about the load of its server.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Statement {
    /// The requests that the server runs.
    pub running: u32,
    /// The requests that wait there.
    pub waiting: u32,
    /// The requests that the server can run at the same time.
    pub slots: u32,
    /// The time that work takes there at the moment, where 100 is the usual time.
    pub work_percent: Option<f64>,
}

impl Statement {
    /// Returns whether a server can state this.
    pub fn is_valid(&self) -> bool {
        let is_possible = |percent: f64| percent > 0.0 && percent <= MAX_WORK_PERCENT;
        self.slots > 0 && self.work_percent.is_none_or(is_possible)
    }

    /// Returns the number of requests at the server.
    fn requests(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }

    /// Returns whether the server runs nothing, except for the request that it answers.
    fn is_empty(&self) -> bool {
        self.running <= 1 && self.waiting == 0
    }

    /// Returns whether this differs enough from an earlier statement to be reported: the work by over a
    /// quarter, or the requests by over a quarter of the slots.
    fn differs_from(&self, earlier: &Self) -> bool {
        let work_differs = match (self.work_percent, earlier.work_percent) {
            (Some(percent), Some(earlier)) => {
                (percent - earlier).abs() > MIN_REPORTED_CHANGE * earlier
            }
            (percent, earlier) => percent.is_some() != earlier.is_some(),
        };
        let requests_change = (self.requests() - earlier.requests()).abs();
        work_differs || requests_change > MIN_REPORTED_CHANGE * f64::from(self.slots)
    }
}

/// What was read of a server's load in the head of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Reading {
    /// The answer states none.
    #[default]
    Absent,
    /// The answer states it.
    Stated(Statement),
    /// The answer states several loads, or one that is not valid.
    Invalid,
}

/// A server's statement as it is known to an instance, for log lines.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct StatedLoad {
    /// The statement.
    #[serde(flatten)]
    pub statement: Statement,
    /// The time since the server stated it.
    pub age_ms: u64,
    /// Why it is not used, if it is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ignored: Option<Ignored>,
}

/// Why the newest statement of a server is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ignored {
    /// It is too old.
    Old,
    /// The times of answers contradict it.
    Contradicted,
}

impl Ignored {
    /// Returns the name of the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Old => "old",
            Self::Contradicted => "contradicted",
        }
    }
}

/// What an instance has learned of the load that a server states, sent to the owner of its service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The id of the server.
    pub server: ids::ServerId,
    /// The start of its process, in milliseconds of its own clock.
    pub born_ms: u64,
    /// The newest statement.
    pub statement: Statement,
    /// The time since the server stated it.
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Stated {
    statement: Statement,
    at: ids::Timestamp,
    /// The requests beyond those that this instance knew of.
    surplus: f64,
}

/// The time that work takes at a server, as a share of the usual time.
#[derive(Debug, Clone, Copy)]
struct Work {
    percent: f64,
    mean_percent: f64,
    at: ids::Timestamp,
}

impl Work {
    fn record(&mut self, percent: f64, at: ids::Timestamp) {
        let kept = estimate::decayed_weight(at.saturating_sub(self.at), MEAN_HALF_LIFE);
        let mean_percent = self.mean_percent(at);
        let weight = (1.0 - kept).min(MAX_MEAN_WEIGHT);
        self.mean_percent = mean_percent + weight * (percent - mean_percent);
        self.percent = percent;
        self.at = at;
    }

    fn mean_percent(&self, now: ids::Timestamp) -> f64 {
        let weight = estimate::decayed_weight(now.saturating_sub(self.at), SILENCE_HALF_LIFE);
        USUAL_PERCENT + weight * (self.mean_percent - USUAL_PERCENT)
    }

    fn expected_percent(&self, now: ids::Timestamp) -> f64 {
        let mean_percent = self.mean_percent(now);
        mean_percent + weight(self.at, now) * (self.percent - mean_percent)
    }
}

/// The last report on a server that this instance has sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    owner: ids::Incarnation,
    statement: Statement,
    at: ids::Timestamp,
}

/// What is known of a server's load from its statements since its start.
#[derive(Debug, Clone, Default)]
pub struct Reported {
    newest: Option<Stated>,
    work: Option<Work>,
    /// The answers from which the work was learned with the help of figures.
    learned_answers: u32,
    contradicted_share: f64,
    is_contradicted: bool,
    sent: Option<Sent>,
}

impl Reported {
    /// Records a statement; returns `false` if a newer one is known. `known_requests` is the number of
    /// requests at the server that this instance knows of.
    pub fn record(
        &mut self,
        statement: Statement,
        known_requests: u32,
        at: ids::Timestamp,
    ) -> bool {
        if self.newest.is_some_and(|newest| newest.at > at) {
            return false;
        }
        let surplus = (statement.requests() - f64::from(known_requests)).max(0.0);
        self.newest = Some(Stated { statement, at, surplus });
        if let Some(percent) = statement.work_percent {
            match &mut self.work {
                Some(work) => work.record(percent, at),
                None => self.work = Some(Work { percent, mean_percent: percent, at }),
            }
        }
        true
    }

    /// Returns the time that work is expected to take, as a multiple of the usual time; 1 without
    /// figures.
    pub fn work_factor(&self, now: ids::Timestamp) -> f64 {
        match self.work {
            Some(work) if !self.is_contradicted => {
                let factor = work.expected_percent(now) / USUAL_PERCENT;
                factor.clamp(MIN_WORK_FACTOR, MAX_WORK_FACTOR)
            }
            _ => 1.0,
        }
    }

    /// Returns the weight of an answer in the work that is learned; it falls with each answer whose
    /// figure is known.
    pub fn next_answer_weight(&mut self, now: ids::Timestamp) -> f64 {
        let has_figure = self.newest.is_some_and(|it| it.statement.work_percent.is_some());
        if !has_figure || !self.is_used(now) {
            self.learned_answers = 0;
            return constants::SPEED_SMOOTHING;
        }
        let learned = f64::from(self.learned_answers);
        self.learned_answers = self.learned_answers.saturating_add(1);
        (1.0 / (1.0 / constants::SPEED_SMOOTHING + learned)).max(MIN_ANSWER_WEIGHT)
    }

    /// Returns the requests at the server beyond those that this instance knows of.
    pub fn surplus(&self, now: ids::Timestamp) -> f64 {
        match self.newest {
            Some(newest) if !self.is_contradicted => newest.surplus * weight(newest.at, now),
            _ => 0.0,
        }
    }

    /// Returns whether the newest statement is used.
    pub fn is_used(&self, now: ids::Timestamp) -> bool {
        self.stated_load(now).is_some_and(|load| load.ignored.is_none())
    }

    /// Returns the newest statement for log lines.
    pub fn stated_load(&self, now: ids::Timestamp) -> Option<StatedLoad> {
        let Stated { statement, at, .. } = self.newest?;
        let age = now.saturating_sub(at);
        let ignored = if self.is_contradicted {
            Some(Ignored::Contradicted)
        } else {
            (age >= STATEMENT_VALIDITY).then_some(Ignored::Old)
        };
        Some(StatedLoad { statement, age_ms: waiting::millis(age), ignored })
    }

    /// Compares the time of an answer with the newest statement; returns whether the statements are
    /// contradicted, if that changes.
    pub fn check_answer(
        &mut self,
        elapsed: time::Duration,
        expected_ms: f64,
        now: ids::Timestamp,
    ) -> Option<bool> {
        let newest = self.newest.filter(|it| now.saturating_sub(it.at) < STATEMENT_VALIDITY)?;
        let is_slow = elapsed.as_secs_f64() * 1_000.0 > CONTRADICTION_FACTOR * expected_ms;
        let contradicts = f64::from(u8::from(is_slow && newest.statement.is_empty()));
        self.contradicted_share +=
            constants::SPEED_SMOOTHING * (contradicts - self.contradicted_share);
        let bound =
            if self.is_contradicted { TRUSTED_CONTRADICTED_SHARE } else { MAX_CONTRADICTED_SHARE };
        let is_contradicted = self.contradicted_share > bound;
        let has_changed = is_contradicted != self.is_contradicted;
        self.is_contradicted = is_contradicted;
        has_changed.then_some(is_contradicted)
    }

    /// Returns the newest statement and its age if it is to be reported to an owner now, and remembers
    /// that it was. An owner that was sent nothing is sent any statement.
    pub fn take_due(
        &mut self,
        owner: ids::Incarnation,
        interval: time::Duration,
        now: ids::Timestamp,
    ) -> Option<(Statement, time::Duration)> {
        let Stated { statement, at, .. } = self.newest?;
        let age = now.saturating_sub(at);
        let is_due = self.sent.is_none_or(|sent| {
            let is_news = sent.owner != owner
                || (now >= sent.at + interval && statement.differs_from(&sent.statement));
            is_news && now >= sent.at + REPORT_INTERVAL
        });
        // An older statement says little by the time at which it arrives.
        if !is_due || age > STATEMENT_HALF_LIFE {
            return None;
        }
        self.sent = Some(Sent { owner, statement, at: now });
        Some((statement, age))
    }
}

/// Returns the weight of what a server stated at `at`.
fn weight(at: ids::Timestamp, now: ids::Timestamp) -> f64 {
    let age = now.saturating_sub(at);
    if age >= STATEMENT_VALIDITY {
        return 0.0;
    }
    estimate::decayed_weight(age, STATEMENT_HALF_LIFE)
}

/// Two candidates drawn for a request whose instance may have an old view of the servers. If all such
/// instances compared all servers, they would all choose the one that was the least loaded.
#[derive(Debug, Default)]
pub struct Draw(Vec<(bool, placement::Candidate<placement::Placement>)>);

impl Draw {
    /// Adds a candidate; those of the nearest class are drawn first, by the rank that the request gives
    /// them.
    pub fn add(&mut self, is_near: bool, candidate: placement::Candidate<placement::Placement>) {
        self.0.push((!is_near, candidate));
        self.0.sort_by_key(|(is_far, candidate)| (*is_far, candidate.rank));
        self.0.truncate(2);
    }

    /// Returns the drawn candidates.
    pub fn into_candidates(
        self,
    ) -> impl Iterator<Item = placement::Candidate<placement::Placement>> {
        self.0.into_iter().map(|(_, candidate)| candidate)
    }
}

impl Fleet {
    /// Applies what the head of an answer states about the load of its server, and reports it to the
    /// owner of the service where that is worth it.
    pub(super) fn receive_load(
        &mut self,
        request: call::RequestNumber,
        reading: Reading,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = &live.phase else { return };
        let statement = match reading {
            Reading::Absent => return,
            Reading::Stated(statement) => statement,
            Reading::Invalid => {
                effects.push(Effect::Log(decision::Decision::ServerLoadInvalid {
                    server: fleet::text(&at.server),
                    request: fleet::text(&live.call.id),
                }));
                return;
            }
        };
        let (server, born_ms) = (at.server.clone(), at.born_ms);
        if self.servers.record_load(&server, born_ms, statement, now) {
            self.report_load(&server, now, effects);
        }
    }

    /// Returns the service of a plain server.
    fn plain_service(&self, server: &ids::ServerId) -> Option<&catalog::ServiceId> {
        let service = &self.servers.get(server)?.entry.service;
        let engine = self.catalog.as_ref()?.engine(service);
        engine.is_none().then_some(service)
    }

    /// Reports the load of a server to the owner of its service, with those of other servers of the
    /// service that are due.
    fn report_load(
        &mut self,
        server: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_coordinated(now) {
            return;
        }
        let Some(service) = self.plain_service(server).cloned() else { return };
        let Some(owner) = self.owner(&service, now) else { return };
        let (owner, to) = (owner.incarnation, owner.peer_address);
        if owner == self.own.incarnation || !self.peers.speaks(owner, REPORTS_LEVEL) {
            return;
        }
        let members = u32::try_from(self.peers.member_count(now)).unwrap_or(u32::MAX);
        let interval = REPORT_INTERVAL.max(REPORT_INTERVAL_PER_INSTANCE.saturating_mul(members));
        let Some(report) = self.servers.take_load_report(server, owner, interval, now) else {
            return;
        };
        let others = self.servers.take_load_reports(&service, owner, interval, now);
        let reports: Vec<_> = std::iter::once(report).chain(others).collect();
        for reports in reports.chunks(MAX_REPORTS_PER_MESSAGE) {
            let message = message::Message::ServerLoads(reports.to_vec());
            effects.push(Effect::SendMessage { to, message });
        }
    }

    /// Applies what another instance has learned of the loads that servers state.
    pub(super) fn receive_load_reports(&mut self, reports: &[LoadReport], now: ids::Timestamp) {
        for report in reports {
            if !report.statement.is_valid() {
                log::warn!("ignoring an invalid load of server {}", fleet::text(&report.server));
                continue;
            }
            let at = now.saturating_sub(time::Duration::from_millis(report.age_ms));
            self.servers.record_load(&report.server, report.born_ms, report.statement, at);
        }
    }

    /// Compares the time of a whole plain answer with the load that its server states.
    pub(super) fn check_stated_load(
        &mut self,
        server: &ids::ServerId,
        elapsed: time::Duration,
        expected_ms: f64,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if self.plain_service(server).is_none() {
            return;
        }
        let changed = self.servers.check_stated_load(server, elapsed, expected_ms, now);
        let Some(is_contradicted) = changed else { return };
        effects.push(Effect::Log(decision::Decision::ServerLoadContradicted {
            server: fleet::text(server),
            is_contradicted,
            stated_load: self.servers.get(server).and_then(|known| known.stated_load(now)),
            elapsed_ms: waiting::millis(elapsed),
            expected_ms: expected_ms as u64,
        }));
    }
}

#[cfg(test)]
mod tests;
