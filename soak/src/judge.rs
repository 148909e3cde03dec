//! What callers and servers have seen, and which promises that breaks.

use std::cell;
use std::collections::BTreeMap;
use std::net;
use std::time;

use crate::servers;
use crate::streams;

/// The time in which a withdrawn key or route must stop working, on a busy machine.
const WITHDRAWN_WITHIN: time::Duration = time::Duration::from_millis(5_000);

/// The time in which a leaving server must get no more requests, on a busy machine.
const LEFT_WITHIN: time::Duration = time::Duration::from_millis(3_500);

/// The window in which requests to a server with a limit are counted.
const LIMIT_WINDOW: time::Duration = time::Duration::from_secs(4);

/// The time after a server begins to name its limit from which requests count, on a busy machine.
const LIMIT_NOTICE: time::Duration = time::Duration::from_secs(1);

/// Returns whether a path's answers are streams.
pub fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/resume/")
}

/// A run at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The caller's attempt.
    pub attempt: String,
    /// The server.
    pub server: String,
    /// The workspace that the instance named.
    pub workspace: String,
    /// The path.
    pub path: String,
    /// Whether the caller's key was passed on.
    pub has_key: bool,
}

/// What a caller has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The path.
    pub path: String,
    /// The workspace of its key.
    pub workspace: String,
    /// Whether it resumes a stream.
    pub is_resumed: bool,
}

/// What a caller has got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// A whole answer.
    Answer {
        /// Its status.
        status: u16,
        /// Its body.
        body: String,
    },
    /// A closed connection; `is_planned` if the instance was only told to stop.
    Cut {
        /// Whether nothing but planned work was going on.
        is_planned: bool,
    },
}

#[derive(Debug, Clone)]
struct Attempt {
    sent: Sent,
    sent_at: time::Duration,
    runs: Vec<(Run, time::Duration)>,
    is_answered: bool,
    got: Option<Got>,
    /// The events of its stream, with those of the attempts before that it resumes.
    events: String,
}

/// A time in which a server names a limit.
#[derive(Debug, Clone)]
struct Limit {
    server: String,
    per_s: f64,
    since: time::Duration,
    until: Option<time::Duration>,
}

#[derive(Debug, Default)]
struct State {
    arrivals: BTreeMap<String, Vec<time::Duration>>,
    limits: Vec<Limit>,
    attempts: BTreeMap<String, Attempt>,
    unknown_runs: Vec<Run>,
    withdrawn: BTreeMap<String, time::Duration>,
    left: BTreeMap<String, time::Duration>,
    servers: servers::Servers,
}

/// Collects what is seen.
pub struct Judge {
    start: time::Instant,
    state: cell::RefCell<State>,
}

impl Default for Judge {
    fn default() -> Self {
        Self { start: time::Instant::now(), state: cell::RefCell::default() }
    }
}

impl Judge {
    /// Returns the time since the start of the run, from which all times are counted.
    pub fn elapsed(&self) -> time::Duration {
        self.start.elapsed()
    }

    /// Notes what a caller sends.
    pub fn note_sent(&self, attempt: &str, to: net::SocketAddr, sent: Sent) {
        let sent_at = self.start.elapsed();
        self.state.borrow_mut().servers.note_sent(attempt, to, sent_at);
        let attempt_state = Attempt {
            sent,
            sent_at,
            runs: Vec::new(),
            is_answered: false,
            got: None,
            events: String::new(),
        };
        self.state.borrow_mut().attempts.insert(attempt.to_string(), attempt_state);
    }

    /// Notes that a request has reached a server, whatever comes of it.
    pub fn note_arrival(&self, server: &str, attempt: &str, cause: Option<servers::Cause>) {
        let at = self.start.elapsed();
        let mut state = self.state.borrow_mut();
        state.servers.note_arrival(server, attempt, cause, at);
        state.arrivals.entry(server.to_string()).or_default().push(at);
    }

    /// Notes that a request has crashed its server.
    pub fn note_crash(&self, cause: servers::Cause) {
        let at = self.start.elapsed();
        self.state.borrow_mut().servers.note_crash(cause, at);
    }

    /// Notes the zone of a server.
    pub fn note_zone(&self, server: &str, zone: &str) {
        self.state.borrow_mut().servers.note_zone(server, zone);
    }

    /// Notes that a zone is evacuated, or that this is lifted.
    pub fn note_evacuation(&self, zone: &str, is_in_force: bool) {
        let at = self.start.elapsed();
        self.state.borrow_mut().servers.note_evacuation(zone, is_in_force, at);
    }

    /// Notes that an answer states that its server leaves.
    pub fn note_leaving(&self, server: &str, attempt: &str) {
        self.state.borrow_mut().servers.note_leaving(server, attempt);
    }

    /// Notes that a server is cold for a while.
    pub fn note_cold(&self, server: &str, span: time::Duration) {
        let at = self.start.elapsed();
        self.state.borrow_mut().servers.note_cold(server, at, span);
    }

    /// Returns the most requests that reached a cold server within a second.
    pub fn most_at_a_cold_server(&self) -> usize {
        self.state.borrow().servers.most_at_a_cold_server()
    }

    /// Notes that a server has turned a request away and asked for a pause.
    pub fn note_pause(&self, server: &str, attempt: &str, span: time::Duration) {
        let at = self.start.elapsed();
        self.state.borrow_mut().servers.note_pause(server, attempt, span, at);
    }

    /// Notes that an instance, or with `None` all of them, is not in touch for a while.
    pub fn note_disturbance(&self, instance: Option<net::SocketAddr>, span: time::Duration) {
        let at = self.start.elapsed();
        self.state.borrow_mut().servers.note_disturbance(instance, at, span);
    }

    /// Returns the most crashes by one cause.
    pub fn most_crashes(&self) -> usize {
        self.state.borrow().servers.most_crashes()
    }

    /// Notes that a server begins or, with `None`, ends to name a limit.
    pub fn note_limit(&self, server: &str, per_s: Option<f64>) {
        let now = self.start.elapsed();
        let mut state = self.state.borrow_mut();
        let current = |limit: &&mut Limit| limit.server == server && limit.until.is_none();
        if let Some(limit) = state.limits.iter_mut().find(current) {
            limit.until = Some(now);
        }
        if let Some(per_s) = per_s {
            let server = server.to_string();
            state.limits.push(Limit { server, per_s, since: now, until: None });
        }
    }

    /// Returns the most requests that a server got in a window of its limit, in parts of what it
    /// allows.
    pub fn most_of_a_limit(&self) -> f64 {
        let state = self.state.borrow();
        let most = state
            .limits
            .iter()
            .map(|limit| most_in_a_window(limit, &state) as f64 / allowed(limit));
        most.fold(0.0, f64::max)
    }

    /// Notes a run.
    pub fn note_run(&self, run: Run) {
        let at = self.start.elapsed();
        let mut state = self.state.borrow_mut();
        match state.attempts.get_mut(&run.attempt) {
            Some(attempt) => attempt.runs.push((run, at)),
            None => state.unknown_runs.push(run),
        }
    }

    /// Notes that a server has made its answer.
    pub fn note_answered(&self, attempt: &str) {
        if let Some(attempt) = self.state.borrow_mut().attempts.get_mut(attempt) {
            attempt.is_answered = true;
        }
    }

    /// Notes what a caller gets.
    pub fn note_got(&self, attempt: &str, got: Got) {
        let at = self.start.elapsed();
        let mut state = self.state.borrow_mut();
        if matches!(got, Got::Answer { .. }) {
            state.servers.note_got(attempt, at);
        }
        if let Some(attempt) = state.attempts.get_mut(attempt) {
            attempt.got = Some(got);
        }
    }

    /// Notes the events of a stream that a caller has got with an attempt and those before it.
    pub fn note_events(&self, attempt: &str, events: &str) {
        if let Some(attempt) = self.state.borrow_mut().attempts.get_mut(attempt) {
            attempt.events = events.to_string();
        }
    }

    /// Notes that a path's route is dropped.
    pub fn note_withdrawn(&self, path: &str) {
        self.state.borrow_mut().withdrawn.insert(path.to_string(), self.start.elapsed());
    }

    /// Notes that a server leaves.
    pub fn note_left(&self, server: &str) {
        self.state.borrow_mut().left.insert(server.to_string(), self.start.elapsed());
    }

    /// Notes that the store cannot be read: bounds from then on count from its return.
    pub fn excuse_bounds(&self, until: time::Duration) {
        let end = self.start.elapsed() + until;
        let mut state = self.state.borrow_mut();
        let State { withdrawn, left, .. } = &mut *state;
        for at in withdrawn.values_mut().chain(left.values_mut()) {
            *at = (*at).max(end);
        }
    }

    /// Returns how many attempts were answered with success, and how many were sent.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        let served = state
            .attempts
            .values()
            .filter(|attempt| matches!(attempt.got, Some(Got::Answer { status: 200, .. })));
        (served.count(), state.attempts.len())
    }

    /// Returns how many resumed streams were completed, and how many callers resumed one.
    pub fn resumed(&self) -> (usize, usize) {
        let state = self.state.borrow();
        let resumed = state.attempts.values().filter(|attempt| attempt.sent.is_resumed);
        let completed = resumed
            .clone()
            .filter(|attempt| matches!(attempt.got, Some(Got::Answer { status: 200, .. })));
        (completed.count(), resumed.count())
    }

    /// Returns the promises that were broken.
    pub fn violations(&self) -> Vec<String> {
        let state = self.state.borrow();
        let mut violations: Vec<_> =
            state.unknown_runs.iter().map(|run| format!("nobody sent {run:?}")).collect();
        violations.extend(state.servers.violations());
        for limit in &state.limits {
            let most = most_in_a_window(limit, &state);
            if most as f64 > allowed(limit) {
                violations.push(format!("{most} requests in 4 s at {limit:?}"));
            }
        }
        for (id, attempt) in &state.attempts {
            check(id, attempt, &state, &mut violations);
        }
        violations
    }
}

/// Returns the requests that a server with a limit may get in a window.
fn allowed(limit: &Limit) -> f64 {
    1.5 * limit.per_s * LIMIT_WINDOW.as_secs_f64() + 5.0
}

/// Returns the most requests that reached a server in a window while it named a limit.
fn most_in_a_window(limit: &Limit, state: &State) -> usize {
    let Some(arrivals) = state.arrivals.get(&limit.server) else { return 0 };
    let counts = |at: &time::Duration| {
        *at >= limit.since + LIMIT_NOTICE && limit.until.is_none_or(|until| *at <= until)
    };
    let counted: Vec<_> = arrivals.iter().copied().filter(counts).collect();
    let within = |start: &time::Duration| {
        counted.iter().filter(|at| *at >= start && **at < *start + LIMIT_WINDOW).count()
    };
    counted.iter().map(within).max().unwrap_or(0)
}

fn check(id: &str, attempt: &Attempt, state: &State, violations: &mut Vec<String>) {
    let mut violate = |what: &str| {
        let runs = &attempt.runs;
        violations.push(format!(
            "{id} {what}: sent {:?}, runs {runs:?}, got {:?}",
            attempt.sent, attempt.got
        ));
    };
    if !attempt.sent.is_idempotent && attempt.runs.len() > 1 {
        violate("ran more than once");
    }
    if streams::is_mixed(&attempt.events) {
        violate("got events of two software versions");
    }
    for (run, at) in &attempt.runs {
        if run.has_key {
            violate("passed its key on");
        }
        if run.workspace != attempt.sent.workspace {
            violate("ran for another workspace");
        }
        if run.path != attempt.sent.path {
            violate("ran with another path");
        }
        let is_late = |since: Option<&time::Duration>, within| {
            since.is_some_and(|since| *at > *since + within && attempt.sent_at > *since + within)
        };
        if is_late(state.withdrawn.get(&run.path), WITHDRAWN_WITHIN) {
            violate("ran on a withdrawn route");
        }
        if is_late(state.left.get(&run.server), LEFT_WITHIN) {
            violate("ran at a server that had left");
        }
    }
    match &attempt.got {
        Some(Got::Answer { status: 429 | 503, .. }) if !attempt.runs.is_empty() => {
            violate("was promised not to have run");
        }
        Some(Got::Answer { status: 200, body }) => {
            let is_own = match is_stream(&attempt.sent.path) {
                true => streams::is_whole(body),
                false => {
                    let mut runs = attempt.runs.iter();
                    runs.any(|(run, _)| *body == crate::backend::body(&run.server, id))
                }
            };
            if !is_own {
                violate("got an answer that no run of it gave");
            }
        }
        Some(Got::Cut { is_planned: true }) if attempt.is_answered => {
            violate("was cut by planned work though its answer was made");
        }
        _ => {}
    }
}
