//! The `standins` command, which serves stand-ins until it is ended.

use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use standins::{engine, http, instances, log, plain};

const HELP: &str = "\
standins engines --listen IP:PORT [--count N] [--role prefill|decode|both] [--models a,b]
    [--prefill-speeds 1,0.8] [--decode-speeds 1,0.8] [--slots N] [--queue N] [--pieces N]
    [--token-ms N] [--prefill-tokens-per-s N] [--link-tokens-per-s N] [--cache-blocks N]
    [--event-delay-ms N] [--event-drop-every N] [--load-lag-ms N] [--load-model-ms N]
    [--early-stop] [--ignore-fence] [--latency-ms N]
standins plain --listen IP:PORT [--count N] [--work-ms N] [--latency-ms N]
standins log --listen IP:PORT [--retention-s N] [--appends-per-s N] [--latency-ms N]
standins instances --listen IP:PORT [--lag-ms N] [--latency-ms N]
    [--listing FILE]

Ports count up from PORT. Each stand-in answers GET /__records and POST /__faults.
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
    let command = arguments.subcommand()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    match command.as_deref() {
        Some("engines") => runtime.block_on(engines(arguments)),
        Some("plain") => runtime.block_on(plain(arguments)),
        Some("log") => runtime.block_on(log(arguments)),
        Some("instances") => runtime.block_on(instances(arguments)),
        _ => Err(format!("name what to run\n{HELP}").into()),
    }
}

fn show(text: &str) -> Result<(), http::BoxError> {
    Ok(std::io::stdout().write_all(text.as_bytes())?)
}

async fn engines(mut arguments: Arguments) -> Result<(), http::BoxError> {
    let listen = listen(&mut arguments)?;
    let count: u16 = value(&mut arguments, "--count", 1)?;
    let prefill_speeds = list::<f64>(&mut arguments, "--prefill-speeds")?;
    let decode_speeds = list::<f64>(&mut arguments, "--decode-speeds")?;
    let ignore_fence = arguments.contains("--ignore-fence");
    let config = engine_config(&mut arguments)?;
    finish(arguments)?;
    let mut handles = Vec::new();
    for index in 0..count {
        let handle = engine::spawn(engine::config::Config {
            listen: offset(listen, index),
            prefill_speed: nth(&prefill_speeds, index),
            decode_speed: nth(&decode_speeds, index),
            ..config.clone()
        })
        .await?;
        let ignore_fence = Some(ignore_fence);
        handle.engine.command(&engine::faults::Command { ignore_fence, ..Default::default() });
        handles.push(handle);
    }
    wait(handles.iter_mut().map(|handle| &mut handle.server)).await
}

fn engine_config(arguments: &mut Arguments) -> Result<engine::config::Config, http::BoxError> {
    let default = engine::config::Config::default();
    let role = match arguments.opt_value_from_str::<_, String>("--role")?.as_deref() {
        None | Some("both") => engine::config::Role::Both,
        Some("prefill") => engine::config::Role::Prefill,
        Some("decode") => engine::config::Role::Decode,
        Some(other) => return Err(format!("unknown role {other}").into()),
    };
    Ok(engine::config::Config {
        role,
        models: list(arguments, "--models")?,
        slots: value(arguments, "--slots", default.slots)?,
        queue_limit: value(arguments, "--queue", default.queue_limit)?,
        pieces_total: value(arguments, "--pieces", default.pieces_total)?,
        token_time: millis(arguments, "--token-ms", default.token_time)?,
        prefill_tokens_per_s: value(
            arguments,
            "--prefill-tokens-per-s",
            default.prefill_tokens_per_s,
        )?,
        link_tokens_per_s: value(arguments, "--link-tokens-per-s", default.link_tokens_per_s)?,
        cache_blocks: value(arguments, "--cache-blocks", default.cache_blocks)?,
        event_delay: millis(arguments, "--event-delay-ms", default.event_delay)?,
        event_drop_every: value(arguments, "--event-drop-every", default.event_drop_every)?,
        load_lag: millis(arguments, "--load-lag-ms", default.load_lag)?,
        load_model_time: millis(arguments, "--load-model-ms", default.load_model_time)?,
        early_stop: arguments.contains("--early-stop"),
        latency: millis(arguments, "--latency-ms", default.latency)?,
        ..default
    })
}

async fn plain(mut arguments: Arguments) -> Result<(), http::BoxError> {
    let listen = listen(&mut arguments)?;
    let count: u16 = value(&mut arguments, "--count", 1)?;
    let default = plain::Config::default();
    let config = plain::Config {
        listen,
        latency: millis(&mut arguments, "--latency-ms", default.latency)?,
        work_time: millis(&mut arguments, "--work-ms", default.work_time)?,
    };
    finish(arguments)?;
    let mut handles = Vec::new();
    for index in 0..count {
        let config = plain::Config { listen: offset(listen, index), ..config.clone() };
        handles.push(plain::spawn(config).await?);
    }
    wait(handles.iter_mut().map(|handle| &mut handle.server)).await
}

async fn log(mut arguments: Arguments) -> Result<(), http::BoxError> {
    let default = log::Config::default();
    let config = log::Config {
        listen: listen(&mut arguments)?,
        latency: millis(&mut arguments, "--latency-ms", default.latency)?,
        retention: Duration::from_secs(value(
            &mut arguments,
            "--retention-s",
            default.retention.as_secs(),
        )?),
        appends_per_s: value(&mut arguments, "--appends-per-s", default.appends_per_s)?,
    };
    finish(arguments)?;
    let mut handle = log::spawn(config).await?;
    wait([&mut handle.server]).await
}

async fn instances(mut arguments: Arguments) -> Result<(), http::BoxError> {
    let default = instances::Config::default();
    let listing = match arguments.opt_value_from_str::<_, String>("--listing")? {
        Some(path) => serde_json::from_slice(&std::fs::read(path)?)?,
        None => instances::Listing::default(),
    };
    let config = instances::Config {
        listen: listen(&mut arguments)?,
        latency: millis(&mut arguments, "--latency-ms", default.latency)?,
        lag: millis(&mut arguments, "--lag-ms", default.lag)?,
        listing,
    };
    finish(arguments)?;
    let mut handle = instances::spawn(config).await?;
    wait([&mut handle.server]).await
}

/// Names the addresses on standard output and waits for ever.
async fn wait<'a>(
    servers: impl IntoIterator<Item = &'a mut http::Server>,
) -> Result<(), http::BoxError> {
    let servers: Vec<&mut http::Server> = servers.into_iter().collect();
    for server in &servers {
        show(&format!("listening on {}\n", server.address))?;
    }
    for server in servers {
        server.join().await;
    }
    Ok(())
}

fn listen(arguments: &mut Arguments) -> Result<SocketAddr, http::BoxError> {
    Ok(arguments.value_from_str("--listen")?)
}

fn value<T>(arguments: &mut Arguments, name: &'static str, default: T) -> Result<T, http::BoxError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
}

fn millis(
    arguments: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, http::BoxError> {
    let time_ms = arguments.opt_value_from_str::<_, f64>(name)?;
    Ok(time_ms.map_or(default, |time_ms| Duration::from_secs_f64(time_ms / 1_000.0)))
}

fn list<T>(arguments: &mut Arguments, name: &'static str) -> Result<Vec<T>, http::BoxError>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text: Option<String> = arguments.opt_value_from_str(name)?;
    let text = text.unwrap_or_default();
    let parts = text.split(',').filter(|part| !part.is_empty());
    Ok(parts.map(str::parse).collect::<Result<_, _>>()?)
}

fn nth(values: &[f64], index: u16) -> f64 {
    if values.is_empty() { 1.0 } else { values[usize::from(index) % values.len()] }
}

fn offset(listen: SocketAddr, index: u16) -> SocketAddr {
    let port = if listen.port() == 0 { 0 } else { listen.port() + index };
    SocketAddr::new(listen.ip(), port)
}

fn finish(arguments: Arguments) -> Result<(), http::BoxError> {
    let rest: Vec<OsString> = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(first) => Err(format!("unknown argument {}\n{HELP}", first.display()).into()),
    }
}
