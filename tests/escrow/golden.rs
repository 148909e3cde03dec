//! Snapshots of the events and effects of a small fleet in single scenarios.

use crate::fleet;

const WARMUP_MS: u64 = 6_000;

/// Runs a fleet until every share is held and every bucket is full.
fn warmed_up(options: fleet::Options) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(options);
    fleet.run(WARMUP_MS);
    fleet
}

/// Returns the broker of the first workspace and another instance.
fn broker_and_other(fleet: &fleet::Fleet) -> (usize, usize) {
    let broker = fleet.holder(0, 0).expect("the first share is held");
    (broker, (broker + 1) % 3)
}

fn reserve(fleet: &mut fleet::Fleet, at_ms: u64, at: usize, tokens: u64) {
    fleet.at(at_ms, fleet::Action::Reserve { at, workspace: 0, tokens });
}

/// Returns the trace until a time, and the shares and tokens of the instances at its end.
fn session(fleet: &mut fleet::Fleet, until_ms: u64, nodes: usize) -> String {
    fleet.run_traced(until_ms);
    assert_eq!(fleet.violations, Vec::<String>::new());
    let mut text = std::mem::take(&mut fleet.trace);
    text.push_str("-- at the end\n");
    for node in 0..nodes {
        for status in fleet.status(node) {
            text.push_str(&format!(
                "i{node} holds {:?}, claims {:?}, level {}, outstanding {}, pooled {}, waiting {}\n",
                status.held_shares,
                status.claimed_shares,
                status.level_tokens,
                status.outstanding_tokens,
                status.pooled_tokens,
                status.waiting,
            ));
        }
    }
    text
}

#[test]
fn first_shares_are_held_with_everyones_permission() {
    let mut fleet = fleet::Fleet::new(fleet::Options::default());
    insta::assert_snapshot!(session(&mut fleet, 300, 3));
}

#[test]
fn a_request_is_granted_by_the_broker_and_reported_as_spent() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    reserve(&mut fleet, WARMUP_MS + 10, other, 100);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 200, 3));
}

#[test]
fn the_whole_burst_is_pulled_together_and_one_token_more_is_refused() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    reserve(&mut fleet, WARMUP_MS + 10, other, 16_001);
    reserve(&mut fleet, WARMUP_MS + 10, other, 16_000);
    reserve(&mut fleet, WARMUP_MS + 30, other, 8_000);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 250, 3));
}

#[test]
fn a_crashed_instance_loses_its_shares_to_others_that_start_empty() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (broker, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS + 10, fleet::Action::Crash(other));
    fleet.run(WARMUP_MS + 3_900);
    reserve(&mut fleet, WARMUP_MS + 4_300, broker, 100);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 4_500, 3));
}

#[test]
fn a_crashed_broker_is_passed_over() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (broker, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS + 10, fleet::Action::Crash(broker));
    reserve(&mut fleet, WARMUP_MS + 11, other, 100);
    reserve(&mut fleet, WARMUP_MS + 200, other, 100);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 300, 3));
}

#[test]
fn a_lost_failure_domain_leaves_two_thirds_and_then_the_whole_rate() {
    let options = fleet::Options { nodes: 6, ..fleet::Options::default() };
    let mut fleet = warmed_up(options);
    let domain = broker_and_other(&fleet).0 % 3;
    let at = (domain + 1) % 3;
    fleet.at(WARMUP_MS, fleet::Action::Crash(domain));
    fleet.at(WARMUP_MS, fleet::Action::Crash(domain + 3));
    let load = fleet::Load { at, workspace: 0, tokens: 200, every_ms: 20 };
    fleet.load(load, WARMUP_MS, WARMUP_MS + 14_000);
    let mut text = String::new();
    for second in 1..=14 {
        let before = fleet.ledgers[0].clone();
        fleet.run(WARMUP_MS + second * 1_000);
        let tokens = fleet.ledgers[0].admitted_tokens - before.admitted_tokens;
        let held = fleet.held_shares(0);
        text.push_str(&format!("second {second}: {tokens} tokens, {held} shares held\n"));
    }
    assert_eq!(fleet.violations, Vec::<String>::new());
    insta::assert_snapshot!(text);
}

#[test]
fn a_paused_instance_wakes_without_its_shares() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (broker, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS + 10, fleet::Action::Pause(other, 5_000));
    fleet.run(WARMUP_MS + 4_900);
    reserve(&mut fleet, WARMUP_MS + 5_050, broker, 100);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 5_500, 3));
}

#[test]
fn a_join_and_an_eviction_that_race_move_each_share_once() {
    let options = fleet::Options { nodes: 4, domains: 2, ..fleet::Options::default() };
    let mut fleet = fleet::Fleet::new(options);
    fleet.at(0, fleet::Action::Crash(3));
    fleet.run(WARMUP_MS);
    // i0 does not read the join of i3 while i1 is evicted.
    fleet.at(WARMUP_MS + 10, fleet::Action::DisconnectLog(0));
    fleet.at(WARMUP_MS + 20, fleet::Action::Restart(3));
    fleet.at(WARMUP_MS + 30, fleet::Action::Evict(1));
    fleet.at(WARMUP_MS + 1_000, fleet::Action::ReconnectLog(0));
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 2_600, 4));
}

#[test]
fn a_lost_grant_is_asked_for_elsewhere_and_expires() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS, fleet::Action::NextMessage(fleet::MessageFault::Lost, "Grant"));
    reserve(&mut fleet, WARMUP_MS + 10, other, 5_000);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 3_000, 3));
}

#[test]
fn a_duplicated_grant_admits_once() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    for kind in ["TokenRequest", "Pull", "PullReply", "Grant", "Report"] {
        fleet.at(WARMUP_MS, fleet::Action::NextMessage(fleet::MessageFault::Duplicated, kind));
    }
    reserve(&mut fleet, WARMUP_MS + 10, other, 7_000);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 200, 3));
}

#[test]
fn a_late_grant_is_given_back() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS, fleet::Action::NextMessage(fleet::MessageFault::Delayed(700), "Grant"));
    reserve(&mut fleet, WARMUP_MS + 10, other, 1_000);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 900, 3));
}

#[test]
fn a_grant_later_than_its_lifetime_is_lost() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS, fleet::Action::NextMessage(fleet::MessageFault::Delayed(2_050), "Grant"));
    reserve(&mut fleet, WARMUP_MS + 10, other, 1_000);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 2_300, 3));
}

#[test]
fn a_crash_while_a_grant_is_lost_delays_and_does_not_overspend() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (broker, other) = broker_and_other(&fleet);
    let third = 3 - broker - other;
    fleet.at(WARMUP_MS, fleet::Action::NextMessage(fleet::MessageFault::Lost, "PullReply"));
    fleet.at(WARMUP_MS + 12, fleet::Action::Crash(third));
    reserve(&mut fleet, WARMUP_MS + 10, other, 7_000);
    reserve(&mut fleet, WARMUP_MS + 300, other, 4_000);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 1_000, 3));
}

#[test]
fn a_lower_limit_lowers_the_levels_at_once() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS + 10, fleet::Action::Limit { rate: 800, burst: 1_600 });
    reserve(&mut fleet, WARMUP_MS + 1_100, other, 1_700);
    reserve(&mut fleet, WARMUP_MS + 1_100, other, 1_500);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 1_300, 3));
}

#[test]
fn a_leaving_instance_hands_its_levels_over() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (broker, other) = broker_and_other(&fleet);
    fleet.at(WARMUP_MS + 10, fleet::Action::Leave(broker));
    reserve(&mut fleet, WARMUP_MS + 150, other, 15_900);
    insta::assert_snapshot!(session(&mut fleet, WARMUP_MS + 300, 3));
}

#[test]
fn unused_tokens_come_back_and_an_overrun_is_paid_by_the_next_request() {
    let mut text = String::new();
    for used_percent in [10, 150] {
        let options = fleet::Options { used_percent, ..fleet::Options::default() };
        let mut fleet = warmed_up(options);
        let (_, other) = broker_and_other(&fleet);
        reserve(&mut fleet, WARMUP_MS + 10, other, 8_000);
        fleet.run(WARMUP_MS + 600);
        reserve(&mut fleet, WARMUP_MS + 610, other, 1_000);
        text.push_str(&session(&mut fleet, WARMUP_MS + 800, 3));
    }
    insta::assert_snapshot!(text);
}

#[test]
fn a_workspace_at_five_times_its_rate_takes_nothing_from_another_one() {
    let options = fleet::Options { workspaces: 2, ..fleet::Options::default() };
    let mut fleet = warmed_up(options);
    for at in 0..3 {
        let over_rate = fleet::Load { at, workspace: 0, tokens: 400, every_ms: 30 };
        fleet.load(over_rate, WARMUP_MS, WARMUP_MS + 20_000);
    }
    let under_rate = fleet::Load { at: 0, workspace: 1, tokens: 150, every_ms: 20 };
    fleet.load(under_rate, WARMUP_MS, WARMUP_MS + 20_000);
    fleet.run(WARMUP_MS + 22_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    let text = fleet.ledgers.iter().map(|ledger| {
        format!(
            "admitted {} tokens in {} requests, refused {:?}\n",
            ledger.admitted_tokens, ledger.admitted, ledger.refusals
        )
    });
    insta::assert_snapshot!(text.collect::<String>());
}

#[test]
fn all_callers_on_one_instance_get_the_whole_rate() {
    let mut fleet = warmed_up(fleet::Options::default());
    let load = fleet::Load { at: 0, workspace: 0, tokens: 78, every_ms: 10 };
    fleet.load(load, WARMUP_MS, WARMUP_MS + 20_000);
    fleet.run(WARMUP_MS + 21_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert_eq!(fleet.unanswered(), 0);
    assert_eq!(fleet.ledgers[0].refused, 0);
    assert_eq!(fleet.ledgers[0].admitted, 2_000);
}

#[test]
fn requests_of_a_workspace_are_admitted_in_the_order_of_their_arrival() {
    let mut fleet = warmed_up(fleet::Options::default());
    let (_, other) = broker_and_other(&fleet);
    let load = fleet::Load { at: other, workspace: 0, tokens: 300, every_ms: 20 };
    fleet.load(load, WARMUP_MS, WARMUP_MS + 6_000);
    fleet.run_traced(WARMUP_MS + 7_000);
    let admitted = fleet.trace.lines().filter_map(|line| line.split_once("=> Admitted r"));
    let admitted: Vec<u64> = admitted.map(|(_, number)| number.parse().unwrap()).collect();
    assert!(admitted.len() > 100 && admitted.is_sorted(), "{admitted:?}");
    assert!(fleet.ledgers[0].refused > 20);
}

#[test]
fn clocks_that_run_fast_do_not_raise_the_rate() {
    let skews_ppm = vec![10_000; 3];
    let mut fleet = warmed_up(fleet::Options { skews_ppm, ..fleet::Options::default() });
    for at in 0..3 {
        let load = fleet::Load { at, workspace: 0, tokens: 100, every_ms: 20 };
        fleet.load(load, WARMUP_MS, WARMUP_MS + 60_000);
    }
    fleet.run(WARMUP_MS + 61_000);
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert!(fleet.ledgers[0].admitted_tokens > 60 * 8_000 * 97 / 100);
}

#[test]
fn pulled_tokens_that_come_late_are_given_back_or_lost() {
    for late_ms in [1_500, 1_950, 2_050] {
        let mut fleet = warmed_up(fleet::Options::default());
        let (broker, other) = broker_and_other(&fleet);
        fleet.at(
            WARMUP_MS,
            fleet::Action::NextMessage(fleet::MessageFault::Delayed(late_ms), "PullReply"),
        );
        reserve(&mut fleet, WARMUP_MS + 10, other, 7_000);
        fleet.run(WARMUP_MS + 10 + late_ms);
        assert_eq!(fleet.status(broker)[0].pooled_tokens, 0);
        fleet.run(WARMUP_MS + 16 + late_ms);
        let arrived = fleet.status(broker)[0].pooled_tokens;
        assert_eq!(arrived > 0, late_ms < 2_000);
        fleet.run(WARMUP_MS + 40 + late_ms);
        assert_eq!(fleet.status(broker)[0].pooled_tokens, 0);
        assert_eq!(fleet.violations, Vec::<String>::new());
    }
}
