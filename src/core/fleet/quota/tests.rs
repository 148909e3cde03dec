//! Tests of limits over the fleet.

use std::sync;
use std::time;

use super::Quotas;
use super::Tally;
use super::tally;
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

/// What a peer tells that has spent some.
fn told(taken: f64) -> Vec<tally::Report> {
    report(Tally { taken, given_back: 0.0 })
}

fn report(tally: Tally) -> Vec<tally::Report> {
    vec![tally::Report { workspace: "w".to_string(), baseline: Tally::default(), tally }]
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
    after.mark_peers_synced();
    // Instances of a fleet share their windows; here one takes all that is left.
    let again = press(&mut after, 0, 4_000);
    assert!(again <= RATE * 4.0, "{again} without knowledge of the past");
    let mut told = fresh(false, 0);
    assert!(told.load_history(&before.spending(at(4_000)), 0, at(0)));
    told.mark_peers_synced();
    assert_eq!(press(&mut told, 0, 3_900), 0.0);
    assert!(press(&mut told, 4_100, 12_000) > 0.0);
}

#[test]
fn what_peers_spend_counts_here_and_refunds_come_back() {
    let mut quotas = fresh(true, 0);
    let name = sync::Arc::from("w");
    quotas.apply_reports(1, &told(0.0), WINDOW, at(0));
    quotas.apply_reports(1, &told(ALLOWED), WINDOW, at(100));
    assert!(quotas.take(&name, 100.0, at(0), at(200)).is_err());
    let refunded = Tally { taken: ALLOWED, given_back: 500.0 };
    quotas.apply_reports(1, &report(refunded), WINDOW, at(300));
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
    quotas.apply_reports(1, &told(0.0), WINDOW, at(0));
    quotas.assume_spending(1, 2, at(4_000), at(4_000));
    assert!(quotas.take(&name, ALLOWED - 2_000.0, at(0), at(4_000)).is_ok());
    assert!(quotas.take(&name, 100.0, at(0), at(4_000)).is_err());
    quotas.apply_reports(1, &told(0.0), WINDOW, at(4_100));
    assert!(quotas.take(&name, 2_000.0, at(0), at(4_200)).is_ok());
}

#[test]
fn what_many_peers_have_not_told_yet_is_estimated() {
    let mut quotas = fresh(true, 0);
    let name = sync::Arc::from("w");
    quotas.apply_reports(1, &told(0.0), WINDOW, at(0));
    for step in 1..=8_u32 {
        quotas.apply_reports(1, &told(f64::from(step) * 500.0), WINDOW, at(u64::from(step) * 100));
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
    after.load_history(&before.spending(at(1_000)), 0, at(0));
    assert!(after.take(&name, 100.0, at(0), at(100)).is_err(), "no peer was heard yet");
    after.mark_peers_synced();
    assert!(after.take(&name, 100.0, at(0), at(200)).is_ok());
}

#[test]
fn what_a_peer_spent_that_started_together_counts_when_it_is_first_heard() {
    let name = sync::Arc::from("w");
    let uptime = at(900);
    let mut together = fresh(false, 0);
    together.load_history(&[], 0, at(0));
    together.mark_peers_synced();
    together.apply_reports(1, &told(ALLOWED), uptime, at(1_000));
    assert!(together.take(&name, 100.0, at(0), at(1_100)).is_err());
    let mut later = fresh(false, 0);
    later.load_history(&[], 0, at(0));
    later.mark_peers_synced();
    later.apply_reports(1, &told(ALLOWED), at(60_000), at(1_000));
    assert!(later.take(&name, 100.0, at(0), at(1_100)).is_ok(), "others told of the past");
}

#[test]
fn a_report_that_crosses_a_grant_gives_nothing_back() {
    let mut quotas = fresh(true, 0);
    let name = sync::Arc::from("w");
    quotas.apply_reports(1, &told(0.0), WINDOW, at(0));
    let before = Tally::default();
    assert!(quotas.take_for_peer(1, &name, before, ALLOWED, at(100)).is_ok());
    quotas.apply_reports(1, &told(0.0), WINDOW, at(101));
    assert!(quotas.take(&name, 100.0, at(0), at(102)).is_err(), "the grant counts");
    quotas.apply_reports(1, &told(ALLOWED), WINDOW, at(200));
    assert!(quotas.take(&name, 100.0, at(0), at(8_050)).is_err(), "and only once it leaves");
    assert!(quotas.take(&name, ALLOWED, at(0), at(8_150)).is_ok());
}

#[test]
fn without_a_coordinator_an_instance_spends_its_equal_part() {
    let mut quotas = fresh(true, 0);
    let name = sync::Arc::from("w");
    assert!(quotas.take_equal_share(&name, ALLOWED / 10.0, 10, at(100)).is_ok());
    assert!(quotas.take_equal_share(&name, 100.0, 10, at(200)).is_err());
    assert!(quotas.take_equal_share(&name, 100.0, 10, at(8_200)).is_ok());
}

#[test]
fn one_that_begins_to_count_takes_what_was_counted_before_from_others() {
    let mut before = fresh(true, 0);
    press(&mut before, 0, 4_000);
    let mut after = fresh(true, 0);
    let name = sync::Arc::from("w");
    after.record_taken(&name, 2_000.0, at(1_000));
    after.restart_counting(at(4_000));
    after.apply_reports(1, &told(7_000.0), at(60_000), at(4_010));
    assert!(after.take(&name, 100.0, at(0), at(4_020)).is_err(), "the past is not known");
    assert!(after.load_history(&before.spending(at(4_000)), 0, at(4_050)));
    assert!(after.take(&name, 100.0, at(0), at(4_100)).is_err(), "all is spent");
    assert!(after.take(&name, 500.0, at(0), at(8_200)).is_ok(), "and comes back once");
}

#[test]
fn what_a_peer_spent_long_ago_does_not_count_when_it_spends_again() {
    let name = sync::Arc::from("w");
    let mut peer = fresh(true, 0);
    assert!(peer.take(&name, ALLOWED, at(0), at(0)).is_ok());
    // The peer has not spent lately when this instance hears it first.
    let mut quotas = fresh(true, 30_000);
    quotas.apply_reports(1, &peer.recent_reports(at(30_000)), at(30_000), at(30_000));
    peer.record_taken(&name, 100.0, at(31_000));
    quotas.apply_reports(1, &peer.recent_reports(at(31_010)), at(31_010), at(31_010));
    assert!(quotas.take(&name, ALLOWED - 100.0, at(0), at(31_020)).is_ok());
    assert!(quotas.take(&name, 100.0, at(0), at(31_030)).is_err());
}

#[test]
fn what_peers_tell_before_the_limits_are_known_is_taken_as_their_past() {
    let name = sync::Arc::from("w");
    let mut quotas = Quotas::new(WINDOW, false);
    quotas.apply_reports(1, &told(5.0 * ALLOWED), at(60_000), at(50));
    quotas.configure(&catalog(), at(100));
    quotas.load_history(&[], 0, at(100));
    quotas.mark_peers_synced();
    quotas.apply_reports(1, &told(5.0 * ALLOWED + 100.0), at(60_100), at(150));
    assert!(quotas.take(&name, ALLOWED - 200.0, at(0), at(200)).is_ok());
}
