//! The commands that look at a running instance, and the one that changes what it logs.

use crate::borders::operators::api;
use crate::cli::{args, client, exit, output};
use crate::settings;

type Outcome = Result<exit::Exit, exit::Failure>;

/// Prints the instances of the fleet.
pub fn instances(from: &args::Remote, output: &mut output::Output<'_>) -> Outcome {
    print("/v1/instances", from, output)
}

/// Prints the state of an instance.
pub fn status(from: &args::Remote, output: &mut output::Output<'_>) -> Outcome {
    print("/v1/status", from, output)
}

/// Prints the decisions on a request.
pub fn explain(request: &str, from: &args::Remote, output: &mut output::Output<'_>) -> Outcome {
    print(&format!("/v1/explain/{request}"), from, output)
}

fn print(path: &str, from: &args::Remote, output: &mut output::Output<'_>) -> Outcome {
    let value: serde_json::Value = client::Client::new(from)?.get(path)?;
    // Formatting a JSON value fails on no value.
    let mut text = serde_json::to_string_pretty(&value).unwrap_or_default();
    text.push('\n');
    output.result(&value, &text)
}

/// Changes what an instance logs.
pub fn log_level(
    level: settings::LogLevel,
    to: &args::Remote,
    output: &mut output::Output<'_>,
) -> Outcome {
    let level = client::Client::new(to)?.set_log_level(api::Level { level })?;
    output
        .result(&level, &format!("the instance logs {:?} and above\n", level.level).to_lowercase())
}
