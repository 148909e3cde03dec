//! The `galenayard` command.

use std::process;

use galenayard::settings;
use galenayard::shell::runtime;

fn main() -> process::ExitCode {
    let Some(path) = std::env::args().nth(1) else { return process::ExitCode::from(2) };
    let Ok(text) = std::fs::read_to_string(path) else { return process::ExitCode::from(2) };
    let Ok(settings) = settings::Settings::parse(&text) else { return process::ExitCode::from(2) };
    let Ok(tokio) = tokio::runtime::Runtime::new() else { return process::ExitCode::from(1) };
    match tokio.block_on(runtime::serve(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(_) => process::ExitCode::FAILURE,
    }
}
