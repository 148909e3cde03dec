//! Runs a whole site on loopback for some seconds and prints what became of its requests.
//!
//! `cargo run --release --example demo` starts the stand-ins of the platform, engines and plain
//! services, six instances as processes of their own, applies a document, sends mixed traffic and
//! judges the outcome from the stand-ins' records. It fails if an answer was missing, wrong or
//! doubled. Options of `standins load` may follow, such as `--seconds 20`.

use std::env;
use std::error;
use std::io;
use std::io::Write as _;
use std::path;
use std::process;

use galenayard::cli;
use standins::load;

/// How long requests are sent unless the command line says otherwise.
const DEFAULT_SECONDS: f64 = 8.0;

/// The seed of the arrivals unless the command line says otherwise.
const DEFAULT_SEED: u64 = 1;

fn main() -> process::ExitCode {
    let arguments: Vec<_> = env::args_os().skip(1).collect();
    if arguments.first().is_some_and(|argument| argument == "serve") {
        return cli::run(arguments, &mut io::stdout(), &mut io::stderr()).into();
    }
    match demonstrate() {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => process::ExitCode::FAILURE,
        Err(failure) => {
            let _ = writeln!(io::stderr(), "demo: {failure}");
            process::ExitCode::FAILURE
        }
    }
}

/// Returns whether nothing happened that must not.
fn demonstrate() -> Result<bool, Box<dyn error::Error + Send + Sync>> {
    let options = options()?;
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(load::run(&options))?;
    write!(io::stdout(), "{report}")?;
    let violations = &report.figures.violations;
    let is_sound = *violations == load::judge::Violations::default();
    let verdict = if is_sound { "sound" } else { "NOT SOUND" };
    writeln!(io::stdout(), "{:<28} {verdict}", "verdict")?;
    Ok(is_sound && report.figures.accepted > 0)
}

fn options() -> Result<load::Options, Box<dyn error::Error + Send + Sync>> {
    let mut arguments = pico_args::Arguments::from_env();
    let workload = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("workloads/consortium.toml");
    let options = load::Options {
        workload: arguments.opt_value_from_str("--workload")?.unwrap_or(workload),
        galenayard: Some(env::current_exe()?),
        target: String::new(),
        engines: String::new(),
        plains: String::new(),
        keys: String::new(),
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
        seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(DEFAULT_SECONDS),
        scale: arguments.opt_value_from_str("--scale")?.unwrap_or(1.0),
        instances: arguments.opt_value_from_str("--instances")?,
        faults: arguments.opt_value_from_str("--faults")?,
        placement: arguments.opt_value_from_str("--placement")?,
        limits: arguments.opt_value_from_str("--limits")?,
        keep: arguments.contains("--keep"),
        json: false,
    };
    let unknown = arguments.finish();
    match unknown.first() {
        None => Ok(options),
        Some(argument) => {
            let argument = argument.to_string_lossy();
            Err(format!("unknown argument {argument}; see the first lines of examples/demo.rs")
                .into())
        }
    }
}
