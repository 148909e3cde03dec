//! Random schedules of faults: the invariants hold throughout, and the fleet recovers afterwards.

use proptest::prelude::{Strategy, any};
use proptest::strategy;
use proptest::test_runner;

use crate::network;

const CASES: u32 = 400;
const SEED: u32 = 7;
const FAULTS_MS: u64 = 24_000;
/// The record expiry, the longest delay before a rejoin, and a few leases.
const RECOVERY_TIMEOUT_MS: u64 = 8_000 + 32_000 + 10_000;
const STEP_MS: u64 = 500;

#[derive(Debug, Clone)]
enum Fault {
    Crash,
    Restart,
    Replace,
    Leave,
    Drain,
    Pause(u64),
    CutLog(u64),
    CutPeers(u64),
    LogDown(u64),
    /// The slots of a bit set lose the connection to the others, and to the log if the flag is set.
    Partition(u64, u64, bool),
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    rates: Vec<u64>,
    conditions: network::Conditions,
    faults: Vec<(u64, usize, Fault)>,
}

fn fault() -> impl Strategy<Value = Fault> {
    let duration_ms = || strategy::Union::new([200..3_000_u64, 3_000..20_000]);
    proptest::prop_oneof![
        1 => strategy::Just(Fault::Crash),
        1 => strategy::Just(Fault::Restart),
        1 => strategy::Just(Fault::Replace),
        1 => strategy::Just(Fault::Leave),
        1 => strategy::Just(Fault::Drain),
        3 => duration_ms().prop_map(Fault::Pause),
        2 => duration_ms().prop_map(Fault::CutLog),
        2 => duration_ms().prop_map(Fault::CutPeers),
        2 => duration_ms().prop_map(Fault::LogDown),
        3 => (any::<u64>(), duration_ms(), any::<bool>())
            .prop_map(|(mask, duration_ms, log)| Fault::Partition(mask, duration_ms, log)),
    ]
}

fn conditions() -> impl Strategy<Value = network::Conditions> {
    let max_delay_ms = strategy::Union::new([1..400_u64, 400..2_000]);
    (max_delay_ms, 0..300_u64, 0..100_u64, 0..200_u64, 0..300_u64, 0..200_u64).prop_map(
        |(max_delay_ms, lost, duplicated, append_lost, answer_lost, append_late)| {
            network::Conditions {
                max_delay_ms,
                lost,
                duplicated,
                append_lost,
                answer_lost,
                append_late,
            }
        },
    )
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let rates = proptest::collection::vec(990..=1_010_u64, 3..=7);
    let conditions = proptest::prop_oneof![strategy::Just(network::NO_FAULTS), conditions()];
    let faults = proptest::collection::vec((0..FAULTS_MS, 0..16_usize, fault()), 0..14);
    (any::<u64>(), rates, conditions, faults).prop_map(|(seed, rates, conditions, mut faults)| {
        faults.sort_by_key(|(at_ms, _, _)| *at_ms);
        Schedule { seed, rates, conditions, faults }
    })
}

fn inject(network: &mut network::Network, index: usize, fault: &Fault) {
    let running: Vec<_> =
        (0..network.nodes.len()).filter(|slot| network.nodes[*slot].is_running).collect();
    if let Fault::LogDown(duration_ms) = fault {
        network.log_down_until_ms = network.now_ms + duration_ms;
        return;
    }
    if let Fault::Partition(partition, duration_ms, with_log) = fault {
        network.partition = (*partition, network.now_ms + duration_ms);
        for slot in (0..network.nodes.len()).filter(|slot| *with_log && partition >> slot & 1 == 1)
        {
            network.cut_log(slot, *duration_ms);
        }
        return;
    }
    if let Fault::Restart = fault {
        let slot = index % network.nodes.len();
        let id = network.nodes[slot].member.id.clone();
        // A name belongs to one address, so the earlier processes of this name have ended.
        for slot in 0..network.nodes.len() {
            if network.nodes[slot].member.id == id {
                network.crash(slot);
            }
        }
        network.start(&String::from_utf8_lossy(&id), slot % 3, 1_000);
        return;
    }
    if let Fault::Replace = fault {
        let name = format!("n{}", network.nodes.len());
        network.start(&name, network.nodes.len() % 3, 1_000);
    }
    let Some(slot) = running.get(index % running.len().max(1)).copied() else { return };
    match fault {
        Fault::Crash | Fault::Replace => network.crash(slot),
        Fault::Leave => network.apply(slot, galenayard::core::membership::Event::Leave),
        Fault::Drain => network.apply(slot, galenayard::core::membership::Event::Drain),
        Fault::Pause(duration_ms) => network.pause(slot, *duration_ms),
        Fault::CutLog(duration_ms) => network.cut_log(slot, *duration_ms),
        Fault::CutPeers(duration_ms) => network.cut_peers(slot, *duration_ms),
        Fault::LogDown(_) | Fault::Partition(..) | Fault::Restart => {}
    }
}

fn run(schedule: &Schedule) -> Result<u64, String> {
    let mut network = network::Network::new(schedule.seed, network::settings());
    for (slot, rate) in schedule.rates.iter().enumerate() {
        network.start(&format!("n{slot}"), slot % 3, *rate);
        network.run(network.now_ms + schedule.seed % 7 * 100)?;
    }
    network.run(network.now_ms + 3_000)?;
    let start_ms = network.now_ms;
    network.conditions = schedule.conditions;
    for (at_ms, index, fault) in &schedule.faults {
        network.run(start_ms + at_ms)?;
        inject(&mut network, *index, fault);
    }
    network.run(start_ms + FAULTS_MS)?;
    network.end_faults();
    let faults_ended_ms = network.now_ms;
    loop {
        let had_recovered = network.has_recovered();
        network.run(network.now_ms + STEP_MS)?;
        if had_recovered && network.has_recovered() {
            return Ok(network.now_ms - faults_ended_ms);
        }
        if network.now_ms > faults_ended_ms + RECOVERY_TIMEOUT_MS {
            let trace = network.trace.join("\n");
            return Err(format!(
                "not recovered {RECOVERY_TIMEOUT_MS} ms after the faults\n{trace}"
            ));
        }
    }
}

fn number(variable: &str) -> Option<u32> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn claims_hold_under_every_schedule() {
    let config = test_runner::Config {
        cases: number("GALENAYARD_CASES").unwrap_or(CASES),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let seed = [number("GALENAYARD_SEED").unwrap_or(SEED) as u8; 32];
    let random = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &seed);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let result = runner.run(&schedule(), |schedule| {
        run(&schedule).map(|_| ()).map_err(test_runner::TestCaseError::fail)
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}
