use std::time;

use super::Admission;
use super::Breaker;
use super::MAX_PROBE_INTERVAL;
use super::PROBE_INTERVAL;
use crate::core::ids;

fn at(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

/// Returns how many of the calls that several tasks make every 250 ms reach a store that fails for
/// some time.
fn calls_in_an_outage(breaker: &Breaker, tasks: usize, outage_ms: u64) -> usize {
    let mut calls = 0;
    for now in (0..outage_ms).step_by(250) {
        for _ in 0..tasks {
            if !matches!(breaker.admit(at(now)), Admission::Wait(_)) {
                calls += 1;
                breaker.update(false, at(now));
            }
        }
    }
    calls
}

#[test]
fn one_task_probes_a_store_that_fails_and_not_each_of_them() {
    let breaker = Breaker::new();
    assert_eq!(calls_in_an_outage(&breaker, 5, 4_000), 16);
    let breaker = Breaker::new();
    breaker.set_notified_by_peers(true);
    assert_eq!(calls_in_an_outage(&breaker, 5, 4_000), 4);
}

#[test]
fn calls_that_are_made_beside_a_probe_wait_for_its_outcome() {
    let breaker = Breaker::new();
    breaker.update(false, at(0));
    assert_eq!(breaker.admit(at(0)), Admission::Wait(PROBE_INTERVAL));
    assert_eq!(breaker.admit(at(250)), Admission::Probe);
    assert!(matches!(breaker.admit(at(251)), Admission::Wait(_)), "the probe is under way");
    breaker.update(true, at(260));
    assert_eq!(breaker.admit(at(260)), Admission::Call);
    assert_eq!(breaker.admit(at(260)), Admission::Call);
}

#[test]
fn a_probe_that_is_dropped_does_not_hold_back_all_calls() {
    let breaker = Breaker::new();
    breaker.update(false, at(0));
    assert_eq!(breaker.admit(at(250)), Admission::Probe);
    assert_eq!(breaker.admit(at(3_250)), Admission::Probe);
}

#[test]
fn a_peer_that_shows_that_the_store_answers_ends_the_wait() {
    let breaker = Breaker::new();
    breaker.set_notified_by_peers(true);
    breaker.record(false);
    let wait = breaker.admit(breaker.clock.now());
    assert!(matches!(wait, Admission::Wait(wait) if wait <= MAX_PROBE_INTERVAL));
    breaker.probe_now();
    assert_eq!(breaker.admit(breaker.clock.now()), Admission::Probe);
}
