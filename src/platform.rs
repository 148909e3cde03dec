//! Connects the router to the users' platform: its settings file, store, callers and servers.

use std::path;
use std::rc;

use metrics_exporter_prometheus as exporter;

pub mod breaker;
pub mod configuration;
pub mod entries;
pub mod headers;
pub mod keeper;
pub mod origins;
pub mod quarantines;
pub mod settings;
pub mod store;
pub mod versions;
pub mod watch;

use crate::router;
use crate::router::lines;
use crate::router::meters;
use crate::router::stop;

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "GALENAYARD_CONFIG";

/// Histogram buckets for durations in milliseconds: requests last from a few to ten thousand.
const BUCKETS_MS: [f64; 10] =
    [5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 3_000.0, 10_000.0];

/// Renders the metrics that the installed recorder has collected.
struct Prometheus(exporter::PrometheusHandle);

impl meters::Exposition for Prometheus {
    fn render(&self) -> String {
        self.0.render()
    }
}

/// Runs an instance on the platform until it has shut down after SIGTERM. `hedge_share` is the share
/// of requests that may be hedged.
///
/// # Errors
///
/// Fails if the settings are invalid or a socket cannot be bound.
pub fn serve(metrics_port: Option<u16>, hedge_share: f64) -> Result<(), router::RouterError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).map(path::PathBuf::from);
    let path = path.ok_or_else(|| router::RouterError::Settings {
        path: path::PathBuf::from(SETTINGS_VARIABLE),
        message: "not set; set it to the path of the settings file".to_string(),
    })?;
    let node = settings::read(&path)?;
    lines::start(log::LevelFilter::Info)?;
    let recorder = exporter::PrometheusBuilder::new()
        .set_buckets_for_metric(exporter::Matcher::Suffix("_ms".to_string()), &BUCKETS_MS)
        .and_then(exporter::PrometheusBuilder::install_recorder)
        .map_err(|failure| router::RouterError::Metrics(failure.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(router::RouterError::Runtime)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run(node, &path, (metrics_port, hedge_share), Prometheus(recorder)))
}

async fn run(
    node: settings::Node,
    path: &path::Path,
    (metrics_port, hedge_share): (Option<u16>, f64),
    recorder: Prometheus,
) -> Result<(), router::RouterError> {
    let mut options = node.router_options(path, metrics_port)?;
    options.fleet.hedge_share = hedge_share;
    let grace = options.grace;
    let name = &node.node_name;
    log::info!("instance {name} starts, listening on {}", options.callers);
    let dialect = rc::Rc::new(headers::PlatformDialect);
    let context = router::serve(options, dialect, rc::Rc::new(recorder)).await?;
    watch::start(&node, rc::Rc::clone(&context));
    let following = settings::follow(path.to_path_buf(), rc::Rc::clone(&context));
    tokio::task::spawn_local(following);
    stop::wait(context, grace).await
}

#[cfg(test)]
mod tests;
