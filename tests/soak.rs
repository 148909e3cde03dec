//! Short runs of real processes under faults; longer ones are run by hand with `soak`.

use soak::run;

fn assert_promises_hold(seed: u64) {
    let program = env!("CARGO_BIN_EXE_galenayard").into();
    let options = run::Options { program, seed, seconds: 8, instances: 3 };
    let report = run::run(&options).expect("the fleet serves");
    assert_eq!(report.violations, Vec::<String>::new(), "{} {:#?}", report.summary, report.faults);
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
