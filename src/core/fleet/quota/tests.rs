//! Tests of limits over the fleet.

use std::sync;
use std::time;

use super::Quotas;
use crate::core::fleet::catalog;

const WINDOW: time::Duration = time::Duration::from_secs(8);
const RATE: f64 = 1_000.0;
const BURST: f64 = 1_000.0;
const ALLOWED: f64 = 9_000.0;

fn catalog() -> catalog::Catalog {
    let limit =
        catalog::Limit { rate_per_s: RATE, burst: BURST, counts_tokens: true, plain_tokens: 1.0 };
    catalog::Catalog::new(catalog::Content {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: Some(vec![sync::Arc::new(catalog::Workspace {
            name: "w".into(),
            keys: Vec::new(),
            priority: None,
            limit: Some(limit),
        })]),
        caller_limits: catalog::CallerLimits { header_bytes: 1, body_bytes: 1, idle: WINDOW },
    })
}

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Sends requests of 100 every 10 ms and returns what was taken.
fn press(quotas: &mut Quotas, from_ms: u64, to_ms: u64) -> f64 {
    let name = sync::Arc::from("w");
    let requests = (from_ms..to_ms).step_by(10);
    requests.filter(|ms| quotas.take(&name, 100.0, at(0), at(*ms)).is_ok()).count() as f64 * 100.0
}

fn fresh(is_first_start: bool, now_ms: u64) -> Quotas {
    let mut quotas = Quotas::new(WINDOW, is_first_start);
    quotas.configure(&catalog(), at(now_ms));
    quotas
}

#[test]
fn a_workspace_that_presses_gets_rate_and_burst_in_each_window() {
    let mut quotas = fresh(true, 0);
    assert_eq!(press(&mut quotas, 0, 8_000), ALLOWED);
    let next = press(&mut quotas, 8_000, 16_000);
    assert!((8_000.0..=ALLOWED).contains(&next), "{next} in the second window");
}

#[test]
fn a_fleet_that_starts_again_without_memory_adds_nothing_to_the_window() {
    let mut before = fresh(true, 0);
    let spent = press(&mut before, 0, 4_000);
    assert_eq!(spent, ALLOWED);
    let mut after = fresh(false, 0);
    after.settle();
    // Instances of a fleet share their windows; here one takes all that is left.
    let again = press(&mut after, 0, 4_000);
    assert!(again <= RATE * 4.0, "{again} without knowledge of the past");
    let mut told = fresh(false, 0);
    assert!(told.learn_past(&before.spending(at(4_000)), 0, at(0)));
    told.settle();
    assert_eq!(press(&mut told, 0, 3_900), 0.0);
    assert!(press(&mut told, 4_100, 12_000) > 0.0);
}

#[test]
fn what_peers_spend_counts_here_and_refunds_come_back() {
    let mut quotas = fresh(true, 0);
    let name = sync::Arc::from("w");
    quotas.heard(1, "w", 0.0, Some(WINDOW), at(0));
    quotas.heard(1, "w", ALLOWED, Some(WINDOW), at(100));
    assert!(quotas.take(&name, 100.0, at(0), at(200)).is_err());
    quotas.heard(1, "w", ALLOWED - 500.0, Some(WINDOW), at(300));
    assert!(quotas.take(&name, 500.0, at(0), at(400)).is_ok());
    quotas.refund(&name, 500.0, at(500));
    assert!(quotas.take(&name, 500.0, at(0), at(600)).is_ok());
    let wait = quotas.take(&name, 100.0, at(0), at(700)).expect_err("nothing is left");
    assert!(wait <= WINDOW && wait >= at(7_000), "{wait:?}");
}

#[test]
fn a_silent_peer_is_assumed_to_spend_its_share_until_it_is_heard() {
    let mut quotas = fresh(true, 0);
    let name = sync::Arc::from("w");
    quotas.heard(1, "w", 0.0, Some(WINDOW), at(0));
    quotas.assume_spending(1, 2, at(4_000), at(4_000));
    assert!(quotas.take(&name, ALLOWED - 2_000.0, at(0), at(4_000)).is_ok());
    assert!(quotas.take(&name, 100.0, at(0), at(4_000)).is_err());
    quotas.heard(1, "w", 0.0, Some(WINDOW), at(4_100));
    assert!(quotas.take(&name, 2_000.0, at(0), at(4_200)).is_ok());
}

#[test]
fn what_many_peers_have_not_told_yet_is_estimated() {
    let mut quotas = fresh(true, 0);
    let name = sync::Arc::from("w");
    quotas.heard(1, "w", 0.0, Some(WINDOW), at(0));
    for step in 1..=8_u32 {
        quotas.heard(1, "w", f64::from(step) * 500.0, Some(WINDOW), at(u64::from(step) * 100));
    }
    assert!(quotas.take(&name, 4_500.0, at(500), at(800)).is_err(), "2,000 more may be spent");
    assert!(quotas.take(&name, 3_000.0, at(500), at(800)).is_ok());
}

#[test]
fn instances_that_start_together_do_not_spend_the_same_rest() {
    let mut before = fresh(true, 0);
    press(&mut before, 0, 700);
    let name = sync::Arc::from("w");
    let mut after = fresh(false, 0);
    after.learn_past(&before.spending(at(1_000)), 0, at(0));
    assert!(after.take(&name, 100.0, at(0), at(100)).is_err(), "no peer was heard yet");
    after.settle();
    assert!(after.take(&name, 100.0, at(0), at(200)).is_ok());
}

#[test]
fn what_a_peer_spent_that_started_together_counts_when_it_is_first_heard() {
    let name = sync::Arc::from("w");
    let uptime = Some(at(900));
    let mut together = fresh(false, 0);
    together.learn_past(&[], 0, at(0));
    together.settle();
    together.heard(1, "w", ALLOWED, uptime, at(1_000));
    assert!(together.take(&name, 100.0, at(0), at(1_100)).is_err());
    let mut later = fresh(false, 0);
    later.learn_past(&[], 0, at(0));
    later.settle();
    later.heard(1, "w", ALLOWED, Some(at(60_000)), at(1_000));
    assert!(later.take(&name, 100.0, at(0), at(1_100)).is_ok(), "others told of the past");
}
