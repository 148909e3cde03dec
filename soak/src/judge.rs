//! What callers and servers have seen, and which promises that breaks.

use std::cell;
use std::collections::BTreeMap;
use std::time;

use crate::streams;

/// The time in which a withdrawn key or route must stop working, on a busy machine.
const WITHDRAWN_WITHIN: time::Duration = time::Duration::from_millis(5_000);

/// The time in which a leaving server must get no more requests, on a busy machine.
const LEFT_WITHIN: time::Duration = time::Duration::from_millis(3_500);

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

#[derive(Debug, Default)]
struct State {
    attempts: BTreeMap<String, Attempt>,
    unknown_runs: Vec<Run>,
    withdrawn: BTreeMap<String, time::Duration>,
    left: BTreeMap<String, time::Duration>,
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
    pub fn note_sent(&self, attempt: &str, sent: Sent) {
        let sent_at = self.start.elapsed();
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
        if let Some(attempt) = self.state.borrow_mut().attempts.get_mut(attempt) {
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
        for (id, attempt) in &state.attempts {
            check(id, attempt, &state, &mut violations);
        }
        violations
    }
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
