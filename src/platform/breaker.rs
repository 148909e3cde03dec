//! Holds back calls to the store while it fails, but those whose delay is bounded: one call at a time
//! finds out whether it answers.
//!
//! Load pattern: all instances start at the same time while the store is unavailable. Each follows
//! several topics, and would repeat a call for each of them four times a second.

use std::cell;
use std::rc;
use std::time;

use tokio::sync;

use crate::core::ids;
use crate::router::clock;

/// The time between two probes of the store.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The time between two probes at an instance that learns from peers when the store answers again.
const MAX_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// The time after which a probe without an outcome counts as failed, for example because its task
/// was dropped: longer than the timeout of any call.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Whether calls are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The store answers: all calls are made.
    Closed,
    /// The store fails: the next call is made at a time.
    Open {
        /// When a probe may be sent.
        probe_at: ids::Timestamp,
    },
}

/// Whether a call may be made now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Call,
    /// It may, and its outcome decides whether others may follow.
    Probe,
    /// It may not before this time has passed.
    Wait(time::Duration),
}

/// A circuit breaker for the calls of one instance to the store.
#[derive(Debug)]
pub struct Breaker {
    state: cell::Cell<State>,
    probe_interval: cell::Cell<time::Duration>,
    clock: clock::Clock,
    changed: sync::Notify,
}

impl Breaker {
    /// Creates a breaker that lets all calls pass.
    pub fn new() -> rc::Rc<Self> {
        rc::Rc::new(Self {
            state: cell::Cell::new(State::Closed),
            probe_interval: cell::Cell::new(PROBE_INTERVAL),
            clock: clock::Clock::start(),
            changed: sync::Notify::new(),
        })
    }

    /// Sets whether peers notify this instance when the store answers again; it then probes less often.
    pub fn set_notified_by_peers(&self, is_notified: bool) {
        self.probe_interval.set(if is_notified { MAX_PROBE_INTERVAL } else { PROBE_INTERVAL });
    }

    /// Waits until a call may be made; returns whether it is a probe, whose outcome must be recorded.
    pub async fn admitted(&self) -> bool {
        loop {
            match self.admit(self.clock.now()) {
                Admission::Call => return false,
                Admission::Probe => return true,
                Admission::Wait(wait) => {
                    let _ = tokio::time::timeout(wait, self.changed.notified()).await;
                }
            }
        }
    }

    /// Records whether the store has answered a call.
    pub fn record(&self, has_answered: bool) {
        self.update(has_answered, self.clock.now());
    }

    /// Allows the next probe at once, as peers show that the store answers again.
    pub fn probe_now(&self) {
        if let State::Open { .. } = self.state.get() {
            self.state.set(State::Open { probe_at: self.clock.now() });
            self.changed.notify_one();
        }
    }

    fn admit(&self, now: ids::Timestamp) -> Admission {
        match self.state.get() {
            State::Open { probe_at } if now < probe_at => {
                Admission::Wait(probe_at.saturating_sub(now))
            }
            State::Open { .. } => {
                // This call is the probe; others wait for its outcome.
                self.state.set(State::Open { probe_at: now + PROBE_TIMEOUT });
                Admission::Probe
            }
            State::Closed => Admission::Call,
        }
    }

    fn update(&self, has_answered: bool, now: ids::Timestamp) {
        if has_answered {
            self.state.set(State::Closed);
        } else {
            self.state.set(State::Open { probe_at: now + self.probe_interval.get() });
        }
        self.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
