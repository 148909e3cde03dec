//! The command `soak`: one run for each seed.

use std::path;
use std::process;

use soak::run;

const HELP: &str = "\
Usage: soak --galenayard FILE [--seed N] [--seeds N] [--seconds N] [--instances N]

Runs instances as processes under faults drawn from each seed, and checks the promises.
";

#[expect(clippy::print_stdout, clippy::print_stderr, reason = "the command's own output")]
fn main() -> process::ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let program: Result<path::PathBuf, _> = arguments.value_from_str("--galenayard");
    let Ok(program) = program else {
        eprint!("{HELP}");
        return process::ExitCode::from(2);
    };
    let number = |arguments: &mut pico_args::Arguments, name, otherwise: u64| {
        arguments.opt_value_from_str(name).ok().flatten().unwrap_or(otherwise)
    };
    let first = number(&mut arguments, "--seed", 1);
    let seeds = number(&mut arguments, "--seeds", 1);
    let seconds = number(&mut arguments, "--seconds", 20);
    let instances = number(&mut arguments, "--instances", 4);
    let mut failed = 0;
    for seed in first..first + seeds {
        let faults = run::Faults::Drawn;
        let options = run::Options { program: program.clone(), seed, seconds, instances, faults };
        match run::run(&options) {
            Ok(report) => {
                println!("seed {seed}: {}", report.summary);
                for violation in &report.violations {
                    println!("seed {seed}: VIOLATION {violation}");
                }
                if !report.violations.is_empty() {
                    report
                        .faults
                        .iter()
                        .for_each(|fault| println!("seed {seed}: fault at {fault}"));
                    failed += 1;
                }
            }
            Err(failure) => {
                eprintln!("seed {seed}: {failure}");
                failed += 1;
            }
        }
    }
    println!("{} passed, {failed} failed", seeds - failed);
    process::ExitCode::from(u8::from(failed > 0))
}
