//! Checks over random faults of the log and of processes that no two requests run under one key.

use proptest::prelude::{Strategy, prop, prop_oneof};
use proptest::test_runner;

use crate::core::claims;
use crate::core::claims::tests::fleet;

const CASES: u32 = 400;

/// One step of a random schedule.
#[derive(Debug, Clone)]
enum Step {
    Claim { node: usize, key: u8, body: u8 },
    Settle { index: usize, answer: claims::Answer },
    Withdraw { index: usize },
    Advance { ms: u64 },
    Appends { node: usize, behavior: fleet::AppendBehavior },
    Log { is_up: bool },
    Messages { are_lost: bool },
    Pause { node: usize, paused: bool },
    Read { node: usize },
    Crash { node: usize },
}

fn behavior() -> impl Strategy<Value = fleet::AppendBehavior> {
    prop_oneof![
        4 => proptest::strategy::Just(fleet::AppendBehavior::Answered),
        2 => proptest::strategy::Just(fleet::AppendBehavior::AnswerLost),
        2 => (0..6_000u64).prop_map(|ms| fleet::AppendBehavior::Delayed { ms }),
        1 => proptest::strategy::Just(fleet::AppendBehavior::Refused),
    ]
}

fn answer() -> impl Strategy<Value = claims::Answer> {
    prop_oneof![
        2 => proptest::strategy::Just(fleet::complete_answer()),
        2 => proptest::strategy::Just(claims::Answer::NotRun),
        1 => proptest::strategy::Just(claims::Answer::Unknown),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..3usize, 0..2u8, 0..8u8).prop_map(|(node, key, body)| {
            Step::Claim { node, key, body: u8::from(body == 7) }
        }),
        6 => (0..40usize, answer()).prop_map(|(index, answer)| Step::Settle { index, answer }),
        2 => (0..40usize).prop_map(|index| Step::Withdraw { index }),
        10 => (0..1_500u64).prop_map(|ms| Step::Advance { ms }),
        1 => (0..1_200_000u64).prop_map(|ms| Step::Advance { ms }),
        4 => (0..3usize, behavior()).prop_map(|(node, behavior)| Step::Appends { node, behavior }),
        2 => prop::bool::weighted(0.7).prop_map(|is_up| Step::Log { is_up }),
        2 => prop::bool::weighted(0.3).prop_map(|are_lost| Step::Messages { are_lost }),
        2 => (0..3usize, prop::bool::ANY).prop_map(|(node, paused)| Step::Pause { node, paused }),
        2 => (0..3usize).prop_map(|node| Step::Read { node }),
        1 => (0..3usize).prop_map(|node| Step::Crash { node }),
    ]
}

fn run(steps: Vec<Step>) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new();
    for step in steps {
        let count = fleet.requests.len();
        match step {
            Step::Claim { node, key, body } => drop(fleet.claim(node, key, body)),
            Step::Settle { index, answer } if index < count => fleet.settle(index, answer),
            Step::Withdraw { index } if index < count => fleet.withdraw(index),
            Step::Settle { .. } | Step::Withdraw { .. } => {}
            Step::Advance { ms } => fleet.advance(ms),
            Step::Appends { node, behavior } => fleet.set_append_behavior(node, behavior),
            Step::Log { is_up } => fleet.log_is_up = is_up,
            Step::Messages { are_lost } => fleet.messages_are_lost = are_lost,
            Step::Pause { node, paused } => fleet.set_paused(node, paused),
            Step::Read { node } => fleet.read(node),
            Step::Crash { node } => fleet.crash(node),
        }
    }
    fleet.heal();
    fleet
}

#[test]
fn at_most_one_request_runs_under_a_key() {
    let config =
        test_runner::Config { cases: CASES, failure_persistence: None, ..Default::default() };
    let algorithm = test_runner::RngAlgorithm::ChaCha;
    let rng = test_runner::TestRng::deterministic_rng(algorithm);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&prop::collection::vec(step(), 1..60), |steps| {
        let fleet = run(steps);
        proptest::prop_assert!(fleet.double_grants.is_empty(), "{:?}", fleet.double_grants);
        for request in &fleet.requests {
            let count = request.outcomes.len();
            let due = !request.crashed && !request.withdrawn;
            proptest::prop_assert!(count <= 1, "{request:?}");
            proptest::prop_assert!(count == 1 || !due, "{request:?}");
        }
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
