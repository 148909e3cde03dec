//! The command line: one module for each group of commands.

use std::ffi;
use std::io;

pub mod args;
pub mod client;
pub mod config;
pub mod diff;
pub mod edit;
pub mod exit;
pub mod help;
pub mod inspect;
pub mod key;
pub mod output;
pub mod serve;

pub use exit::Exit;

/// Runs a command and returns how it ended.
///
/// The result goes to `out`, a failure with its remedy to `err`.
pub fn run(
    arguments: Vec<ffi::OsString>,
    out: &mut dyn io::Write,
    err: &mut dyn io::Write,
) -> Exit {
    let json = arguments.iter().any(|argument| argument == "--json");
    let mut output = output::Output::new(out, json);
    let result = args::parse(arguments).and_then(|command| dispatch(command, &mut output));
    match result {
        Ok(exit) => exit,
        Err(failure) => {
            // A closed standard error leaves only the exit code to tell.
            let _ = writeln!(err, "{}", output::failure(&failure, json));
            failure.exit()
        }
    }
}

fn dispatch(
    command: args::Command,
    output: &mut output::Output<'_>,
) -> Result<Exit, exit::Failure> {
    match command {
        args::Command::Help(text) => output.text(text),
        args::Command::Version => output.version(),
        args::Command::Serve { settings } => serve::serve(&settings),
        args::Command::Node { metrics_port, hedge_percent } => {
            serve::node(metrics_port, hedge_percent)
        }
        args::Command::ConfigCheck { file, environment } => {
            config::check(&file, environment, output)
        }
        args::Command::ConfigApply { file, to, proposal } => {
            config::apply(&file, &to, &proposal, output)
        }
        args::Command::ConfigPromote { from, to, digest, proposal } => {
            config::promote(&from, &to, digest, &proposal, output)
        }
        args::Command::ConfigShow { from } => config::show(&from, output),
        args::Command::ConfigDiff { file, from } => config::diff(&file, &from, output),
        args::Command::ConfigHistory { from } => config::history(&from, output),
        args::Command::KeyCreate { id } => key::create(&id, output),
        args::Command::KeyWithdraw { workspace, id, file, to, proposal } => {
            key::withdraw(&workspace, &id, &file, to.as_ref(), &proposal, output)
        }
        args::Command::KeyList { source } => key::list(&source, output),
        args::Command::Instances { from } => inspect::instances(&from, output),
        args::Command::Status { from } => inspect::status(&from, output),
        args::Command::Explain { request, from } => inspect::explain(&request, &from, output),
        args::Command::LogLevel { level, to } => inspect::log_level(level, &to, output),
    }
}
