//! Tests of the limits over the fleet.

use std::sync;
use std::time;

use super::Quotas;
use super::Spending;
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

/// The report of a peer that has spent `taken` since its start.
fn reported(taken: f64) -> Vec<tally::Report> {
    report(Tally { taken, given_back: 0.0 })
}

fn report(tally: Tally) -> Vec<tally::Report> {
    vec![tally::Report { workspace: "w".to_string(), baseline: Tally::default(), tally }]
}

/// Sends requests that cost 100 every 10 ms; returns the amount that was taken.
fn send_load(quotas: &mut Quotas, from_ms: u64, to_ms: u64) -> f64 {
    let name = sync::Arc::from("w");
    let requests = (from_ms..to_ms).step_by(10);
    requests.filter(|ms| quotas.take(&name, 100.0, at(0), at(*ms)).is_ok()).count() as f64 * 100.0
}

fn new_quotas(is_first_start: bool, now_ms: u64) -> Quotas {
    let mut quotas = Quotas::new(WINDOW, is_first_start);
    quotas.configure(&catalog(), at(now_ms));
    quotas
}

#[test]
fn a_workspace_over_its_limit_gets_rate_and_burst_in_each_window() {
    let mut quotas = new_quotas(true, 0);
    assert_eq!(send_load(&mut quotas, 0, 8_000), ALLOWED);
    let next = send_load(&mut quotas, 8_000, 16_000);
    assert!((8_000.0..=ALLOWED).contains(&next), "{next} in the second window");
}

#[test]
fn a_restart_of_the_whole_fleet_adds_nothing_to_the_window() {
    let mut before = new_quotas(true, 0);
    let spent = send_load(&mut before, 0, 4_000);
    assert_eq!(spent, ALLOWED);
    let mut after = new_quotas(false, 0);
    after.mark_peers_synced();
    // The instances of a fleet share the rate; here one instance takes all that is free.
    let again = send_load(&mut after, 0, 4_000);
    assert!(again <= RATE * 4.0, "{again} without the spending history");
    let mut informed = new_quotas(false, 0);
    assert!(informed.load_history(&before.spending(at(4_000)), 0, at(0)));
    informed.mark_peers_synced();
    assert_eq!(send_load(&mut informed, 0, 3_900), 0.0);
    assert!(send_load(&mut informed, 4_100, 12_000) > 0.0);
}

#[test]
fn what_peers_spend_counts_here_and_refunds_come_back() {
    let mut quotas = new_quotas(true, 0);
    let name = sync::Arc::from("w");
    quotas.apply_reports(1, &reported(0.0), WINDOW, at(0));
    quotas.apply_reports(1, &reported(ALLOWED), WINDOW, at(100));
    assert!(quotas.take(&name, 100.0, at(0), at(200)).is_err());
    let refunded = Tally { taken: ALLOWED, given_back: 500.0 };
    quotas.apply_reports(1, &report(refunded), WINDOW, at(300));
    assert!(quotas.take(&name, 500.0, at(0), at(400)).is_ok());
    quotas.refund(&name, 500.0, at(500));
    assert!(quotas.take(&name, 500.0, at(0), at(600)).is_ok());
    let wait = quotas.take(&name, 100.0, at(0), at(700)).expect_err("the limit is used up");
    assert!(wait <= WINDOW && wait >= at(7_000), "{wait:?}");
}

#[test]
fn an_unresponsive_peer_is_assumed_to_spend_its_share_until_it_reports() {
    let mut quotas = new_quotas(true, 0);
    let name = sync::Arc::from("w");
    quotas.apply_reports(1, &reported(0.0), WINDOW, at(0));
    quotas.assume_spending(1, 2, at(4_000), at(4_000));
    assert!(quotas.take(&name, ALLOWED - 2_000.0, at(0), at(4_000)).is_ok());
    assert!(quotas.take(&name, 100.0, at(0), at(4_000)).is_err());
    quotas.apply_reports(1, &reported(0.0), WINDOW, at(4_100));
    assert!(quotas.take(&name, 2_000.0, at(0), at(4_200)).is_ok());
}

#[test]
fn unreported_spending_of_peers_is_estimated() {
    let mut quotas = new_quotas(true, 0);
    let name = sync::Arc::from("w");
    quotas.apply_reports(1, &reported(0.0), WINDOW, at(0));
    for step in 1..=8_u32 {
        quotas.apply_reports(
            1,
            &reported(f64::from(step) * 500.0),
            WINDOW,
            at(u64::from(step) * 100),
        );
    }
    assert!(quotas.take(&name, 4_500.0, at(500), at(800)).is_err(), "2,000 more may be spent");
    assert!(quotas.take(&name, 3_000.0, at(500), at(800)).is_ok());
}

#[test]
fn instances_that_start_together_wait_for_peers_near_the_limit() {
    let mut before = new_quotas(true, 0);
    send_load(&mut before, 0, 700);
    let name = sync::Arc::from("w");
    let mut after = new_quotas(false, 0);
    after.load_history(&before.spending(at(1_000)), 0, at(0));
    assert!(after.take(&name, 100.0, at(0), at(100)).is_err(), "no peer has reported yet");
    after.mark_peers_synced();
    assert!(after.take(&name, 100.0, at(0), at(200)).is_ok());
}

#[test]
fn the_first_report_of_a_peer_that_started_together_counts() {
    let name = sync::Arc::from("w");
    let uptime = at(900);
    let mut together = new_quotas(false, 0);
    together.load_history(&[], 0, at(0));
    together.mark_peers_synced();
    together.apply_reports(1, &reported(ALLOWED), uptime, at(1_000));
    assert!(together.take(&name, 100.0, at(0), at(1_100)).is_err());
    let mut later = new_quotas(false, 0);
    later.load_history(&[], 0, at(0));
    later.mark_peers_synced();
    later.apply_reports(1, &reported(ALLOWED), at(60_000), at(1_000));
    assert!(later.take(&name, 100.0, at(0), at(1_100)).is_ok(), "the spending history contains it");
}

#[test]
fn a_report_sent_before_a_grant_arrives_does_not_cancel_the_grant() {
    let mut quotas = new_quotas(true, 0);
    let name = sync::Arc::from("w");
    quotas.apply_reports(1, &reported(0.0), WINDOW, at(0));
    let before = Tally::default();
    assert!(quotas.take_for_peer(1, &name, before, ALLOWED, at(100)).is_ok());
    quotas.apply_reports(1, &reported(0.0), WINDOW, at(101));
    assert!(quotas.take(&name, 100.0, at(0), at(102)).is_err(), "the grant counts");
    quotas.apply_reports(1, &reported(ALLOWED), WINDOW, at(200));
    assert!(quotas.take(&name, 100.0, at(0), at(8_050)).is_err(), "it counts until it expires");
    assert!(quotas.take(&name, ALLOWED, at(0), at(8_150)).is_ok());
}

#[test]
fn an_account_keeps_no_spending_that_has_expired() {
    // An instance that does not count the limits only records its grants and its peers' reports.
    let mut quotas = new_quotas(true, 0);
    let name = sync::Arc::from("w");
    for second in 0..3_600 {
        let now = at(second * 1_000);
        quotas.record_taken(&name, 1.0, now);
        quotas.refund(&name, 0.5, now);
        quotas.apply_reports(1, &reported(second as f64), WINDOW, now);
    }
    let account = &quotas.accounts[&name];
    let most = (WINDOW.as_millis() / super::window::SLOT.as_millis()) as usize + 1;
    let windows = [&account.window, &account.own_window, &account.peer_spending];
    let slots = windows.map(|window| window.slots.len());
    assert!(slots.iter().all(|slots| *slots <= most), "{slots:?} slots, {most} in a window");
}

#[test]
fn an_instance_that_has_just_started_shares_what_the_spending_history_leaves() {
    let mut quotas = new_quotas(false, 0);
    let name = sync::Arc::from("w");
    let history = Spending { workspace: "w".to_string(), spent: vec![(1_000, ALLOWED * 0.4)] };
    quotas.load_history(&[history], 0, at(0));
    let share = ALLOWED * 0.6 / 6.0;
    assert!(quotas.take_equal_share(&name, share * 0.9, 6, at(10)).is_ok());
    assert!(quotas.take_equal_share(&name, share * 0.2, 6, at(20)).is_err());
}

#[test]
fn an_instance_that_knows_no_peers_yet_leaves_the_rest_of_a_limit_alone() {
    let mut quotas = new_quotas(false, 0);
    let name = sync::Arc::from("w");
    let history = Spending { workspace: "w".to_string(), spent: vec![(1_000, ALLOWED * 0.7)] };
    quotas.load_history(&[history], 0, at(0));
    assert!(quotas.take_equal_share(&name, 100.0, 1, at(10)).is_err());
    assert!(quotas.take(&name, 100.0, at(0), at(10)).is_err());
    quotas.mark_peers_synced();
    assert!(quotas.take_equal_share(&name, 100.0, 1, at(20)).is_ok());
}

#[test]
fn without_a_coordinator_an_instance_spends_its_equal_share() {
    let mut quotas = new_quotas(true, 0);
    let name = sync::Arc::from("w");
    assert!(quotas.take_equal_share(&name, ALLOWED / 10.0, 10, at(100)).is_ok());
    assert!(quotas.take_equal_share(&name, 100.0, 10, at(200)).is_err());
    assert!(quotas.take_equal_share(&name, 100.0, 10, at(8_200)).is_ok());
}

#[test]
fn a_new_coordinator_continues_the_counts_from_the_spending_history() {
    let mut before = new_quotas(true, 0);
    send_load(&mut before, 0, 4_000);
    let mut after = new_quotas(true, 0);
    let name = sync::Arc::from("w");
    after.record_taken(&name, 2_000.0, at(1_000));
    after.restart_counting(at(4_000));
    after.apply_reports(1, &reported(7_000.0), at(60_000), at(4_010));
    assert!(after.take(&name, 100.0, at(0), at(4_020)).is_err(), "the spending history is unknown");
    assert!(after.load_history(&before.spending(at(4_000)), 0, at(4_050)));
    assert!(after.take(&name, 100.0, at(0), at(4_100)).is_err(), "the limit is used up");
    assert!(after.take(&name, 500.0, at(0), at(8_200)).is_ok(), "it expires once");
}

#[test]
fn old_spending_of_a_peer_does_not_count_when_it_spends_again() {
    let name = sync::Arc::from("w");
    let mut peer = new_quotas(true, 0);
    assert!(peer.take(&name, ALLOWED, at(0), at(0)).is_ok());
    // The peer has not spent for 30 s when its first report arrives here.
    let mut quotas = new_quotas(true, 30_000);
    quotas.apply_reports(1, &peer.recent_reports(at(30_000)), at(30_000), at(30_000));
    peer.record_taken(&name, 100.0, at(31_000));
    quotas.apply_reports(1, &peer.recent_reports(at(31_010)), at(31_010), at(31_010));
    assert!(quotas.take(&name, ALLOWED - 100.0, at(0), at(31_020)).is_ok());
    assert!(quotas.take(&name, 100.0, at(0), at(31_030)).is_err());
}

#[test]
fn reports_before_the_limits_are_known_count_as_history() {
    let name = sync::Arc::from("w");
    let mut quotas = Quotas::new(WINDOW, false);
    quotas.apply_reports(1, &reported(5.0 * ALLOWED), at(60_000), at(50));
    quotas.configure(&catalog(), at(100));
    quotas.load_history(&[], 0, at(100));
    quotas.mark_peers_synced();
    quotas.apply_reports(1, &reported(5.0 * ALLOWED + 100.0), at(60_100), at(150));
    assert!(quotas.take(&name, ALLOWED - 200.0, at(0), at(200)).is_ok());
}
