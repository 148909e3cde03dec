//! The `standins` command, which serves stand-ins until it is ended.

use std::io::Write;
use std::process::ExitCode;

use pico_args::Arguments;
use standins::{engine, http, instances, load, log, plain, settings};
use toml::Table;

const HELP: &str = "\
standins engines --listen IP:PORT [--count N] [--role prefill|decode|both]
    [--models ['a','b']]
    [--prefill-speeds 1,0.8] [--decode-speeds 1,0.8] [--slots N] [--queue-limit N]
    [--pieces-total N] [--prefill-tokens-per-s N] [--token-ms N] [--link-tokens-per-s N]
    [--cache-blocks N] [--event-delay-ms N] [--event-drop-every N] [--load-lag-ms N]
    [--export-lifetime-ms N] [--load-model-ms N] [--bytes-per-token N] [--early-stop]
    [--ignore-fence] [--latency-ms N]
standins plain --listen IP:PORT [--count N] [--work-ms N] [--latency-ms N]
standins log --listen IP:PORT [--retention-ms N] [--appends-per-s N] [--latency-ms N]
standins instances --listen IP:PORT [--lag-ms N] [--latency-ms N]
standins load --workload FILE --seconds N [--seed N] [--scale N] [--json]
    --galenayard FILE [--faults FILE] [--instances N] [--placement NAME] [--limits NAME] [--keep]
    | --target IP:PORT,.. --keys KEY,.. [--engines IP:PORT,..] [--plains IP:PORT,..]

Ports count up from PORT. GET /__records shows what a stand-in has done, POST /__faults makes it
fail, PUT /__instances sets the instance list.
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _closed = writeln!(std::io::stderr(), "standins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), http::BoxError> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        return show(HELP);
    }
    let command = arguments.subcommand()?.unwrap_or_default();
    let rest = arguments.finish().into_iter().map(|argument| argument.display().to_string());
    let table = settings::from_arguments(rest.collect())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match command.as_str() {
            "engines" => engines(table).await,
            "plain" => plain(table).await,
            "load" => load(table).await,
            "log" => wait(vec![log::spawn(table.try_into()?).await?.server]).await,
            "instances" => wait(vec![instances::spawn(table.try_into()?).await?.server]).await,
            _ => Err(format!("name what to run\n{HELP}").into()),
        }
    })
}

async fn engines(table: Table) -> Result<(), http::BoxError> {
    let mut servers = Vec::new();
    for config in engine::config::group(table)? {
        servers.push(engine::spawn(config).await?.server);
    }
    wait(servers).await
}

async fn plain(mut table: Table) -> Result<(), http::BoxError> {
    let count: Option<u16> = settings::take(&mut table, "count")?;
    let config: plain::Config = table.try_into()?;
    let mut servers = Vec::new();
    for index in 0..count.unwrap_or(1) {
        let listen = engine::config::listen_address(config.listen, index);
        servers.push(plain::spawn(plain::Config { listen, ..config.clone() }).await?.server);
    }
    wait(servers).await
}

/// Runs a workload; fails if something happened that must not.
async fn load(table: Table) -> Result<(), http::BoxError> {
    let options: load::Options = table.try_into()?;
    let report = load::run(&options).await?;
    let text =
        if options.json { serde_json::to_string_pretty(&report)? } else { report.to_string() };
    show(&format!("{}\n", text.trim_end()))?;
    if report.figures.violations != load::judge::Violations::default() {
        return Err("something happened that must not; see the violations".into());
    }
    Ok(())
}

/// Names the addresses on standard output and waits for ever.
async fn wait(mut servers: Vec<http::Server>) -> Result<(), http::BoxError> {
    for server in &servers {
        show(&format!("listening on {}\n", server.address))?;
    }
    for server in &mut servers {
        server.join().await;
    }
    Ok(())
}

fn show(text: &str) -> Result<(), http::BoxError> {
    Ok(std::io::stdout().write_all(text.as_bytes())?)
}
