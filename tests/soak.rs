//! Short runs of real processes under faults; longer ones are run by hand with `soak`.

use soak::run;

fn assert_promises_hold(seed: u64) {
    assert_promises_hold_under(run::Faults::Drawn, seed);
}

fn assert_promises_hold_under(faults: run::Faults, seed: u64) -> run::Report {
    let program = env!("CARGO_BIN_EXE_galenayard").into();
    let options = run::Options { program, seed, seconds: 8, instances: 3, faults };
    let report = run::run(&options).expect("the fleet serves");
    assert_eq!(report.violations, Vec::<String>::new(), "{} {:#?}", report.summary, report.faults);
    report
}

#[test]
fn promises_hold_under_the_faults_of_one_seed() {
    assert_promises_hold(5);
}

#[test]
fn promises_hold_while_servers_name_limits_and_answer_without_end() {
    assert_promises_hold(101);
}

#[test]
fn promises_hold_while_requests_crash_servers() {
    assert_promises_hold(206);
}

/// The share is the one below which a fleet counts as not recovered.
#[test]
fn a_fleet_recovers_from_the_loss_of_all_instances_beside_entries_of_another_writer() {
    let report = assert_promises_hold_under(run::Faults::KillAll, 7);
    let (served, sent) = report.after_kill;
    assert!(sent > 0 && served * 4 >= sent, "{served} of {sent} requests served after the loss");
}
