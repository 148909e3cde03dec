//! Sessions of small fleets: snapshots of the effects, except routine ones, that faults lead to.

use std::time;

use galenayard::core::membership;

use crate::network;

/// Starts one instance in each of the given failure domains, and runs for 5 s, so that they are all
/// members.
fn fleet(failure_domains: &[usize]) -> network::Network {
    fleet_with(network::settings(), failure_domains)
}

fn fleet_with(
    settings: membership::settings::Settings,
    failure_domains: &[usize],
) -> network::Network {
    let mut network = network::Network::new(1, settings);
    for (slot, failure_domain) in failure_domains.iter().enumerate() {
        network.start(&format!("n{slot}"), *failure_domain, 1_000);
    }
    run(&mut network, 5_000);
    network.trace.clear();
    network
}

fn run(network: &mut network::Network, duration_ms: u64) {
    network.run(network.now_ms + duration_ms).expect("the invariants hold");
}

fn mark(network: &mut network::Network, text: &str) {
    network.trace.push(format!("{:>7} -- {text}", network.now_ms));
}

/// Returns the trace, with the valid instances at its end.
fn finish(mut network: network::Network) -> String {
    let valid = network.nodes.iter().filter(|node| node.is_valid(network.now_ms));
    let names: Vec<_> =
        valid.map(|node| String::from_utf8_lossy(&node.member.id).into_owned()).collect();
    mark(&mut network, &format!("valid: {}", names.join(" ")));
    network.trace.join("\n")
}

/// Settings for a fleet whose log is down for longer than the record expiry of the other tests.
fn long_lived() -> membership::settings::Settings {
    membership::settings::Settings {
        record_expiry: time::Duration::from_secs(24 * 3_600),
        renew_interval: time::Duration::from_secs(3_600),
        ..network::settings()
    }
}

#[test]
fn three_start() {
    let mut network = network::Network::new(1, long_lived());
    for slot in 0..3 {
        network.start(&format!("n{slot}"), slot, 1_000);
    }
    run(&mut network, 3_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn one_instance_goes_on_without_the_log() {
    let mut network = fleet_with(long_lived(), &[0]);
    mark(&mut network, "log down");
    network.log_down_until_ms = u64::MAX;
    run(&mut network, 20_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn one_of_two_crashes() {
    let mut network = fleet_with(long_lived(), &[0, 1]);
    mark(&mut network, "n1 crashes");
    network.crash(1);
    run(&mut network, 5_000);
    mark(&mut network, "log down");
    network.log_down_until_ms = u64::MAX;
    run(&mut network, 10_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn two_are_cut_from_each_other_with_the_log_up() {
    let mut network = fleet_with(long_lived(), &[0, 1]);
    mark(&mut network, "peers cut");
    network.cut_peers(1, 6_000);
    run(&mut network, 12_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn one_of_three_crashes() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "n2 crashes");
    network.crash(2);
    run(&mut network, 6_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn one_of_three_crashes_while_the_log_is_down() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "log down and n2 crashes");
    network.log_down_until_ms = network.now_ms + 30_000;
    network.crash(2);
    run(&mut network, 30_000);
    mark(&mut network, "log up");
    run(&mut network, 6_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn failure_domain_of_three_is_lost() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2, 0, 1, 2, 0, 1, 2]);
    mark(&mut network, "domain-1 is lost");
    for slot in [1, 4, 7] {
        network.crash(slot);
    }
    run(&mut network, 8_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn failure_domain_is_lost_while_the_log_is_down() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2, 0, 1, 2]);
    mark(&mut network, "log down and domain-1 is lost");
    network.log_down_until_ms = network.now_ms + 60_000;
    network.crash(1);
    network.crash(4);
    run(&mut network, 60_000);
    mark(&mut network, "log up");
    run(&mut network, 8_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn pause_beyond_the_lease() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "n0 pauses for 5 s");
    network.pause(0, 5_000);
    run(&mut network, 5_000);
    mark(&mut network, "n0 resumes");
    run(&mut network, 8_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn log_is_out_for_an_hour() {
    let mut network = fleet_with(membership::settings::Settings::default(), &[0, 1, 2, 0, 1, 2]);
    network.tick_ms = 300;
    mark(&mut network, "log down");
    network.log_down_until_ms = network.now_ms + 3_600_000;
    run(&mut network, 600_000);
    mark(&mut network, "n6 starts");
    network.start("n6", 0, 1_000);
    run(&mut network, 600_000);
    mark(&mut network, "n5 leaves");
    network.apply(5, membership::Event::Drain);
    network.apply(5, membership::Event::Leave);
    run(&mut network, 600_000);
    mark(&mut network, "n4 crashes");
    network.crash(4);
    run(&mut network, 1_800_000);
    mark(&mut network, "log up");
    run(&mut network, 30_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn append_answers_are_lost_after_their_effect() {
    let mut network = network::Network::new(1, long_lived());
    network.conditions.answer_lost = 1_000;
    network.start("n0", 0, 1_000);
    run(&mut network, 2_000);
    network.start("n1", 1, 1_000);
    run(&mut network, 4_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn appends_are_lost_before_their_effect() {
    let mut network = network::Network::new(1, long_lived());
    network.conditions.append_lost = 1_000;
    network.start("n0", 0, 1_000);
    run(&mut network, 2_000);
    mark(&mut network, "appends arrive again");
    network.conditions = network::NO_FAULTS;
    run(&mut network, 3_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn cut_from_the_log_only() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "n0 is cut from the log, then n3 joins");
    network.cut_log(0, 20_000);
    run(&mut network, 1_000);
    network.start("n3", 0, 1_000);
    run(&mut network, 19_000);
    mark(&mut network, "cut ends");
    run(&mut network, 4_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn cut_from_the_peers_only() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "n0 is cut from its peers");
    network.cut_peers(0, 8_000);
    run(&mut network, 8_000);
    mark(&mut network, "cut ends");
    run(&mut network, 6_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn renewal_stands_unseen_and_its_witnesses_evict() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "n1 and n2 are cut from the log, then four more join");
    network.cut_log(1, u64::MAX / 2);
    network.cut_log(2, u64::MAX / 2);
    for slot in 3..7 {
        network.start(&format!("n{slot}"), slot % 3, 1_000);
    }
    let is_renewed = |line: &String| line.contains("n0: append") && line.contains("n6");
    while !network.trace.iter().any(is_renewed) {
        run(&mut network, 1);
    }
    mark(&mut network, "n0 is cut from the log; n0, n1 and n2 from the others");
    network.cut_log(0, u64::MAX / 2);
    network.partition = (0b111, u64::MAX);
    run(&mut network, 5_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn two_of_three_crash_and_their_records_expire() {
    let mut network = fleet(&[0, 1, 2]);
    mark(&mut network, "n1 and n2 crash, n3 starts");
    network.crash(1);
    network.crash(2);
    network.start("n3", 1, 1_000);
    run(&mut network, 18_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn new_reader_starts_after_the_first_records_were_dropped() {
    let mut network = fleet(&[0, 1]);
    run(&mut network, 25_000);
    network.trace.clear();
    mark(&mut network, "n2 starts");
    network.start("n2", 2, 1_000);
    run(&mut network, 3_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn process_is_replaced_by_one_of_the_same_name() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "n0 crashes and starts again");
    network.crash(0);
    network.start("n0", 0, 1_000);
    run(&mut network, 5_000);
    insta::assert_snapshot!(finish(network));
}

#[test]
fn instance_leaves_gracefully() {
    let mut network = fleet_with(long_lived(), &[0, 1, 2]);
    mark(&mut network, "n0 drains");
    network.apply(0, membership::Event::Drain);
    run(&mut network, 2_000);
    mark(&mut network, "n0 leaves");
    network.apply(0, membership::Event::Leave);
    run(&mut network, 3_000);
    insta::assert_snapshot!(finish(network));
}
