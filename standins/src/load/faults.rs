//! Faults on a schedule.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::Mutex;
use tokio::time::{self, Instant};
use toml::Table;

use super::fleet::Fleet;
use super::judge;
use crate::http::BoxError;

/// A file of faults.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Schedule {
    /// The faults, in any order.
    pub faults: Vec<Fault>,
}

/// One fault.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    /// Time from the start of the run.
    pub at_s: f64,
    /// What happens.
    #[serde(flatten)]
    pub action: Action,
}

/// What happens in a fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Action {
    /// An instance's process is killed, and started again after a time.
    Kill {
        /// Index of the instance.
        instance: usize,
        /// Time until it is started again.
        for_s: f64,
    },
    /// An instance's process is stopped and continued by signal.
    Pause {
        /// Index of the instance.
        instance: usize,
        /// Time until it is continued.
        for_s: f64,
    },
    /// All instances are ended gracefully and started again, one after the other.
    RollingRestart {
        /// Time between two instances.
        gap_s: f64,
    },
    /// A fault command to a stand-in; see `POST /__faults`.
    Command {
        /// Which kind of stand-in.
        target: Target,
        /// Its index.
        #[serde(default)]
        index: usize,
        /// The command.
        set: Table,
    },
    /// The key of a workspace is withdrawn.
    WithdrawKey {
        /// Index of the workspace.
        workspace: usize,
    },
}

/// Kind of a stand-in.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// An engine.
    Engine,
    /// A plain server.
    Plain,
    /// The log.
    Log,
}

/// Carries out a schedule and returns what was done.
pub async fn run(
    schedule: Schedule,
    fleet: Arc<Mutex<Fleet>>,
    started: Instant,
) -> Result<judge::Events, BoxError> {
    let mut tasks = tokio::task::JoinSet::new();
    for fault in schedule.faults {
        let fleet = Arc::clone(&fleet);
        tasks.spawn(async move {
            time::sleep_until(started + seconds(fault.at_s)).await;
            act(fault.action, &fleet, started).await
        });
    }
    let mut events = judge::Events::default();
    while let Some(done) = tasks.join_next().await {
        let done = done??;
        events.lost.extend(done.lost);
        events.withdrawn.extend(done.withdrawn);
    }
    Ok(events)
}

async fn act(
    action: Action,
    fleet: &Mutex<Fleet>,
    started: Instant,
) -> Result<judge::Events, BoxError> {
    let mut events = judge::Events::default();
    match action {
        Action::Kill { instance, for_s } => {
            let address = fleet.lock().await.kill(instance).await?;
            events.lost.push((started.elapsed(), address));
            time::sleep(seconds(for_s)).await;
            fleet.lock().await.start_instance(instance)?;
        }
        Action::Pause { instance, for_s } => {
            fleet.lock().await.signal(instance, "STOP").await?;
            time::sleep(seconds(for_s)).await;
            fleet.lock().await.signal(instance, "CONT").await?;
        }
        Action::RollingRestart { gap_s } => {
            let instances = fleet.lock().await.instances();
            for instance in 0..instances {
                fleet.lock().await.signal(instance, "TERM").await?;
                Fleet::wait_for_exit(fleet, instance).await?;
                fleet.lock().await.start_instance(instance)?;
                time::sleep(seconds(gap_s)).await;
            }
        }
        Action::Command { target, index, set } => {
            fleet.lock().await.command(target, index, set)?;
        }
        Action::WithdrawKey { workspace } => {
            fleet.lock().await.withdraw_key(workspace).await?;
            events.withdrawn.push((started.elapsed(), workspace));
        }
    }
    Ok(events)
}

fn seconds(time_s: f64) -> Duration {
    Duration::try_from_secs_f64(time_s).unwrap_or_default()
}
