//! The open-loop load tool: sends a workload, brings faults about and judges the outcome.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::sync::Mutex;
use tokio::time::{self, Instant};
use toml::Table;

use crate::http::{self, BoxError};

pub mod caller;
pub mod faults;
pub mod fleet;
pub mod judge;
pub mod report;
pub mod sample;
pub mod workload;

/// Time after the last answer at which held memory counts as orphaned.
const ORPHAN_DELAY: Duration = Duration::from_secs(2);

/// Longest wait for the ledger of a stand-in.
const RECORDS_LIMIT: Duration = Duration::from_secs(30);

/// What to run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// The workload file.
    pub workload: PathBuf,
    /// The binary of which a fleet is started.
    pub galenayard: Option<PathBuf>,
    /// Instances of a fleet that runs already, with commas between them.
    #[serde(default)]
    pub target: String,
    /// Stand-in engines of that fleet.
    #[serde(default)]
    pub engines: String,
    /// Stand-in plain servers of that fleet.
    #[serde(default)]
    pub plains: String,
    /// Keys of the workspaces in that fleet, in their order.
    #[serde(default)]
    pub keys: String,
    /// Seed of the arrivals.
    #[serde(default)]
    pub seed: u64,
    /// Time for which requests are sent.
    pub seconds: f64,
    /// Factor on the rates of arrival.
    #[serde(default = "default_scale")]
    pub scale: f64,
    /// Number of instances, if it differs from the workload's.
    pub instances: Option<usize>,
    /// Schedule of faults.
    pub faults: Option<PathBuf>,
    /// Placement policy of the instances.
    pub placement: Option<String>,
    /// Limit policy of the instances.
    pub limits: Option<String>,
    /// Whether the settings, logs and records of the run are kept.
    #[serde(default)]
    pub keep: bool,
    /// Whether the result is printed as JSON.
    #[serde(default)]
    pub json: bool,
}

fn default_scale() -> f64 {
    1.0
}

/// Runs a workload and judges it.
///
/// # Errors
///
/// Fails if a file cannot be read or the fleet does not start.
pub async fn run(options: &Options) -> Result<report::Report, BoxError> {
    let mut workload: workload::Workload = read_toml(&options.workload)?;
    workload.fleet.instances = options.instances.unwrap_or(workload.fleet.instances);
    let length = Duration::try_from_secs_f64(options.seconds)?;
    let plan = workload.plan(options.seed, length, options.scale);
    let mut report = report::Report {
        workload: workload.name.clone(),
        seed: options.seed,
        seconds: options.seconds,
        scale: options.scale,
        ..report::Report::default()
    };
    match &options.galenayard {
        Some(binary) => {
            let policy = policy(options);
            let fleet = fleet::Fleet::start(&workload, binary, &policy, options.keep).await?;
            let fleet = Arc::new(Mutex::new(fleet));
            let result = run_fleet(options, &workload, plan, length, &fleet).await;
            fleet.lock().await.stop().await?;
            let (figures, cost) = result?;
            report.figures = figures;
            report.cost = Some(cost);
        }
        None => report.figures = run_target(options, &workload, plan, length).await?,
    }
    Ok(report)
}

async fn run_fleet(
    options: &Options,
    workload: &workload::Workload,
    plan: Vec<workload::Planned>,
    length: Duration,
    fleet: &Arc<Mutex<fleet::Fleet>>,
) -> Result<(judge::Figures, fleet::Cost), BoxError> {
    let schedule = match &options.faults {
        Some(path) => read_toml(path)?,
        None => faults::Schedule::default(),
    };
    let keys = workload.workspaces.iter().map(|workspace| fleet::key(&workspace.id)).collect();
    let seeds = fleet.lock().await.callers();
    let callers = Arc::new(caller::Callers::new(workload, seeds, keys, options.seed));
    let started = Instant::now();
    let faults = tokio::spawn(faults::run(schedule, Arc::clone(fleet), started));
    let samples = callers.run(plan).await;
    let events = faults.await??;
    time::sleep(ORPHAN_DELAY).await;
    let fleet = fleet.lock().await;
    let ledgers = fleet.ledgers();
    fleet.keep("records.json", &(&events, &samples, &ledgers))?;
    let figures = judge::judge(workload, length, &samples, &ledgers, &events);
    Ok((figures, fleet.cost(started.elapsed()).await))
}

async fn run_target(
    options: &Options,
    workload: &workload::Workload,
    plan: Vec<workload::Planned>,
    length: Duration,
) -> Result<judge::Figures, BoxError> {
    let keys: Vec<String> = options.keys.split(',').map(ToOwned::to_owned).collect();
    if keys.len() < workload.workspaces.len() {
        return Err("name a key for each workspace with --keys".into());
    }
    let seeds = addresses(&options.target)?;
    let callers = Arc::new(caller::Callers::new(workload, seeds, keys, options.seed));
    let samples = callers.run(plan).await;
    time::sleep(ORPHAN_DELAY).await;
    let ledgers = judge::Ledgers {
        engines: records(&options.engines).await?,
        plains: records(&options.plains).await?,
    };
    Ok(judge::judge(workload, length, &samples, &ledgers, &judge::Events::default()))
}

async fn records<T: DeserializeOwned>(servers: &str) -> Result<Vec<T>, BoxError> {
    let client = http::client(Duration::from_secs(1));
    let mut all = Vec::new();
    for address in addresses(servers)? {
        let url = format!("http://{address}/__records");
        let answer = http::fetch_json(&client, &url, RECORDS_LIMIT).await?;
        all.push(serde_json::from_value(answer)?);
    }
    Ok(all)
}

fn addresses(text: &str) -> Result<Vec<SocketAddr>, BoxError> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    Ok(parts.map(str::parse).collect::<Result<_, _>>()?)
}

fn policy(options: &Options) -> Table {
    let mut policy = Table::new();
    let choices = [("placement", &options.placement), ("limits", &options.limits)];
    for (name, choice) in choices {
        if let Some(choice) = choice {
            policy.insert(name.to_owned(), choice.clone().into());
        }
    }
    policy
}

fn read_toml<T: DeserializeOwned>(path: &std::path::Path) -> Result<T, BoxError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{} cannot be read: {error}", path.display()))?;
    Ok(toml::from_str(&text)?)
}
