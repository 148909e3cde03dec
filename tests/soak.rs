//! A short run of real processes under faults; longer ones are run by hand with `soak`.

use soak::run;

#[test]
fn promises_hold_under_the_faults_of_one_seed() {
    let options = run::Options {
        program: env!("CARGO_BIN_EXE_galenayard").into(),
        seed: 5,
        seconds: 6,
        instances: 3,
    };
    let report = run::run(&options).expect("the fleet serves");
    assert_eq!(report.violations, Vec::<String>::new(), "{} {:#?}", report.summary, report.faults);
}
