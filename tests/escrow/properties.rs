//! Property tests over random schedules of faults: limits, exclusive shares, answers and recovery.

use std::env;
use std::thread;

use galenayard::core::escrow;
use proptest::prelude::{Just, Strategy, prop, prop_oneof};
use proptest::test_runner;

use crate::fleet;

const LEASE_MS: u64 = 400;
const FAULTS_FROM_MS: u64 = 500;
const HEAL_AT_MS: u64 = 5_000;
/// Time after the end of all faults within which every share is held again and its bucket refills
/// at the full rate.
const RECOVERY_MS: u64 = 3_500;
const MEASURE_MS: u64 = 2_000;
const RATE: u64 = 8_000;
const BURST: u64 = 8_000;
const WORKSPACES: usize = 2;
const THREADS: u64 = 4;
const CASES: u32 = 2_000;

#[derive(Debug, Clone)]
struct Plan {
    nodes: usize,
    domains: usize,
    skews_ppm: Vec<i64>,
    seed: u64,
    used_percent: u64,
    actions: Vec<(u64, fleet::Action)>,
    loads: Vec<fleet::Load>,
}

fn action(nodes: usize) -> impl Strategy<Value = fleet::Action> {
    let node = 0..nodes;
    prop_oneof![
        2 => node.clone().prop_map(fleet::Action::Crash),
        3 => node.clone().prop_map(fleet::Action::Restart),
        2 => (node.clone(), 50..2_500_u64).prop_map(|(node, ms)| fleet::Action::Pause(node, ms)),
        2 => node.clone().prop_map(fleet::Action::Evict),
        2 => node.clone().prop_map(fleet::Action::DisconnectLog),
        2 => node.clone().prop_map(fleet::Action::ReconnectLog),
        1 => (0..128_u32).prop_map(fleet::Action::Partition),
        1 => Just(fleet::Action::Partition(0)),
        2 => (0..150_u32, 0..300_u32, 0..400_u64).prop_map(|(loss, duplication, delay_ms)| {
            fleet::Action::Noise { loss, duplication, delay_ms }
        }),
        1 => node.prop_map(fleet::Action::Leave),
        1 => (500..=RATE, 500..=BURST).prop_map(|(rate, burst)| fleet::Action::Limit { rate, burst }),
    ]
}

fn load(nodes: usize) -> impl Strategy<Value = fleet::Load> {
    (0..nodes, 0..WORKSPACES, prop_oneof![1..200_u64, 500..6_000_u64], 10..400_u64).prop_map(
        |(at, workspace, tokens, every_ms)| fleet::Load { at, workspace, tokens, every_ms },
    )
}

fn plan() -> impl Strategy<Value = Plan> {
    (3..=7_usize).prop_flat_map(|nodes| {
        let actions = (FAULTS_FROM_MS..HEAL_AT_MS, action(nodes));
        (
            Just(nodes),
            1..=3_usize,
            prop::collection::vec(-10_000..=10_000_i64, nodes),
            0..u64::MAX,
            prop_oneof![Just(100), Just(40), Just(130)],
            prop::collection::vec(actions, 0..14),
            prop::collection::vec(load(nodes), 1..6),
        )
            .prop_map(|(nodes, domains, skews_ppm, seed, used_percent, actions, loads)| {
                Plan { nodes, domains, skews_ppm, seed, used_percent, actions, loads }
            })
    })
}

fn run(plan: &Plan) -> Result<(), test_runner::TestCaseError> {
    let mut fleet = fleet::Fleet::new(fleet::Options {
        nodes: plan.nodes,
        domains: plan.domains,
        workspaces: WORKSPACES,
        rate: RATE,
        burst: BURST,
        seed: plan.seed,
        skews_ppm: plan.skews_ppm.clone(),
        tick_ms: 40,
        lease_ms: LEASE_MS,
        used_percent: plan.used_percent,
        ..fleet::Options::default()
    });
    for (at_ms, action) in &plan.actions {
        fleet.at(*at_ms, action.clone());
    }
    for load in &plan.loads {
        fleet.load(*load, FAULTS_FROM_MS, HEAL_AT_MS);
    }
    fleet.at(HEAL_AT_MS, fleet::Action::Heal);
    fleet.at(HEAL_AT_MS, fleet::Action::Limit { rate: RATE, burst: BURST });
    let recovered_ms = HEAL_AT_MS + RECOVERY_MS;
    fleet.run(recovered_ms);
    let member = (0..plan.nodes).find(|node| fleet.is_member(*node));
    let before = fleet.ledgers.clone();
    if let Some(at) = member {
        for workspace in 0..WORKSPACES {
            let held = fleet.held_shares(workspace);
            if held != escrow::constants::SHARES {
                fleet.violations.push(format!("{held} shares of w{workspace} are held at the end"));
            }
            // A load of three times the rate.
            let load = fleet::Load { at, workspace, tokens: 480, every_ms: 20 };
            fleet.load(load, recovered_ms, recovered_ms + MEASURE_MS);
        }
    }
    fleet.run(recovered_ms + MEASURE_MS + 1_000);
    if member.is_some() && plan.used_percent == 100 {
        for workspace in 0..WORKSPACES {
            let (before, after) = (&before[workspace], &fleet.ledgers[workspace]);
            let tokens = after.admitted_tokens - before.admitted_tokens;
            if tokens * 100 < RATE * MEASURE_MS / 1_000 * 95 {
                let text = format!("only {tokens} tokens of w{workspace} after the repair");
                fleet.violations.push(text);
            }
        }
    }
    if fleet.unanswered() > 0 {
        fleet.violations.push(format!("{} requests have no answer", fleet.unanswered()));
    }
    match fleet.violations.first() {
        None => Ok(()),
        Some(fault) => Err(test_runner::TestCaseError::fail(fault.clone())),
    }
}

fn cases() -> u32 {
    let cases = env::var("GALENAYARD_CASES").ok().and_then(|text| text.parse().ok());
    cases.unwrap_or(CASES)
}

fn run_part(part: u64, cases: u32) -> Result<(), String> {
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&part.to_le_bytes());
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 60,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &seed);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    runner.run(&plan(), |plan| run(&plan)).map_err(|error| format!("part {part}: {error}"))
}

#[test]
fn limits_and_rights_hold_in_every_schedule() {
    let cases = cases().div_ceil(THREADS as u32);
    let threads: Vec<_> =
        (0..THREADS).map(|part| thread::spawn(move || run_part(part, cases))).collect();
    let results: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let errors: Vec<_> = results.into_iter().filter_map(Result::err).collect();
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}
