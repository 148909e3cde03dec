//! A whole fleet on loopback: stand-ins in this process, instances as processes of their own.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, header};
use serde::Serialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::time::{self, Instant};
use toml::Table;

use super::faults::Target;
use super::judge;
use super::workload::Workload;
use crate::http::BoxError;
use crate::{engine, http, instances, log, plain, settings};

/// Key of the operator in a started fleet.
const OPERATOR_KEY: &str = "operator-key-of-the-load-tool";

/// First port for instances.
const FIRST_PORT: u16 = 10_000;

/// Ports for instances.
const PORT_COUNT: u32 = 20_000;

/// Ports that one process uses before those of the next one.
const PORTS_PER_PROCESS: u32 = 97;

/// The port that is tried next, counted from the process's first one.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Secret that the started instances share.
const CREDENTIAL: &str = "credential-of-the-load-tool";

/// Longest wait for an instance to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Longest wait for the answer to a proposal.
const PROPOSAL_LIMIT: Duration = Duration::from_secs(5);

/// Time that a fleet gets to settle before it is judged.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Lines shown of what an instance has printed.
const TAIL_LINES: usize = 5;

/// Interval at which a process is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Clock ticks in a second, as `/proc` counts them.
const TICKS_PER_S: f64 = 100.0;

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    workload: Workload,
    binary: PathBuf,
    directory: PathBuf,
    keep: bool,
    engines: Vec<engine::Handle>,
    plains: Vec<plain::Handle>,
    log: log::Handle,
    list: instances::Handle,
    instances: Vec<Instance>,
    withdrawn: HashSet<usize>,
}

#[derive(Debug)]
struct Instance {
    id: String,
    failure_domain: String,
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    started: Instant,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !self.keep {
            let _gone = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// What the instances and the log cost.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Cost {
    /// Largest share of a core that an instance used.
    pub cpu_share_max: f64,
    /// Mean share of a core that an instance used.
    pub cpu_share_mean: f64,
    /// Largest memory of an instance.
    pub memory_max_bytes: u64,
    /// Appends to the log in a second.
    pub log_appends_per_s: f64,
    /// Bytes appended to the log in a second.
    pub log_bytes_per_s: f64,
    /// Mean bytes of messages that an instance sent to its peers in a second, by its own count.
    pub peer_bytes_per_s: f64,
    /// Mean messages that an instance sent to its peers in a second, by its own count.
    pub peer_messages_per_s: f64,
}

/// The key of a workspace in a started fleet.
pub fn key(workspace: &str) -> String {
    format!("key-of-{workspace}-0123456789abcdef")
}

impl Fleet {
    /// Starts everything and waits until all instances are ready.
    pub async fn start(
        workload: &Workload,
        binary: &Path,
        policy: &Table,
        keep: bool,
    ) -> Result<Self, BoxError> {
        let directory = std::env::temp_dir().join(format!("standins-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let mut engines = Vec::new();
        for group in &workload.fleet.engines {
            for config in engine::config::group(group.clone())? {
                engines.push(engine::spawn(config).await?);
            }
        }
        let mut table = workload.fleet.plain.clone();
        let count: Option<usize> = settings::take(&mut table, "count")?;
        let config: plain::Config = table.try_into()?;
        let mut plains = Vec::new();
        for _ in 0..count.unwrap_or(1) {
            plains.push(plain::spawn(config.clone()).await?);
        }
        let mut fleet = Self {
            workload: workload.clone(),
            binary: binary.to_owned(),
            directory,
            keep,
            engines,
            plains,
            log: log::spawn(workload.fleet.log.clone().try_into()?).await?,
            list: instances::spawn(instances::Config::default()).await?,
            instances: Vec::new(),
            withdrawn: HashSet::new(),
        };
        for index in 0..workload.fleet.instances {
            let instance = fleet.prepare(index, policy).await?;
            fleet.instances.push(instance);
        }
        fleet.publish();
        for index in 0..fleet.instances.len() {
            fleet.start_instance(index)?;
        }
        let started = async {
            fleet.apply_document().await?;
            fleet.wait_until_ready().await
        };
        started.await.map_err(|error| format!("{error}\n{}", fleet.output_tail()))?;
        time::sleep(fill_time(workload)).await;
        Ok(fleet)
    }

    /// Addresses of the instances for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.callers).collect()
    }

    /// Number of instances.
    pub fn instances(&self) -> usize {
        self.instances.len()
    }

    /// Starts the process of an instance.
    pub fn start_instance(&mut self, index: usize) -> Result<(), BoxError> {
        let instance = self.instances.get_mut(index).ok_or("no such instance")?;
        let output = self.directory.join(format!("{}.log", instance.id));
        let output = std::fs::File::options().create(true).append(true).open(output)?;
        let child = Command::new(&self.binary)
            .args(["serve", "--settings"])
            .arg(&instance.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .kill_on_drop(true)
            .spawn()?;
        instance.child = Some(child);
        instance.started = Instant::now();
        self.publish();
        Ok(())
    }

    /// Kills the process of an instance and takes it off the list.
    pub async fn kill(&mut self, index: usize) -> Result<SocketAddr, BoxError> {
        let instance = self.instances.get_mut(index).ok_or("no such instance")?;
        let address = instance.callers;
        if let Some(mut child) = instance.child.take() {
            child.kill().await?;
        }
        self.publish();
        Ok(address)
    }

    /// Sends a signal to the process of an instance.
    pub async fn signal(&mut self, index: usize, name: &str) -> Result<(), BoxError> {
        let instance = self.instances.get(index).ok_or("no such instance")?;
        let process = instance.child.as_ref().and_then(Child::id).ok_or("it does not run")?;
        let process = process.to_string();
        Command::new("kill").args(["-s", name, &process]).status().await?;
        Ok(())
    }

    /// Waits until the process of an instance has ended.
    pub async fn wait_for_exit(fleet: &Mutex<Self>, index: usize) -> Result<(), BoxError> {
        loop {
            let mut locked = fleet.lock().await;
            let instance = locked.instances.get_mut(index).ok_or("no such instance")?;
            let ended = match &mut instance.child {
                Some(child) => child.try_wait()?.is_some(),
                None => true,
            };
            drop(locked);
            if ended {
                return Ok(());
            }
            time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Gives a fault command to a stand-in.
    pub fn command(&self, target: Target, index: usize, set: Table) -> Result<(), BoxError> {
        match target {
            Target::Engine => {
                let handle = self.engines.get(index).ok_or("no such engine")?;
                handle.engine.command(&set.try_into()?);
            }
            Target::Plain => {
                let handle = self.plains.get(index).ok_or("no such plain server")?;
                handle.plain.command(&set.try_into()?);
            }
            Target::Log => self.log.log.command(&set.try_into()?),
        }
        Ok(())
    }

    /// Withdraws the key of a workspace.
    pub async fn withdraw_key(&mut self, workspace: usize) -> Result<(), BoxError> {
        self.withdrawn.insert(workspace);
        self.apply_document().await
    }

    /// The ledgers of all stand-ins.
    pub fn ledgers(&self) -> judge::Ledgers {
        judge::Ledgers {
            engines: self.engines.iter().map(|handle| handle.engine.records()).collect(),
            plains: self.plains.iter().map(|handle| handle.plain.records()).collect(),
        }
    }

    /// What the running instances and the log have cost in `time`.
    pub async fn cost(&self, time: Duration) -> Cost {
        let processes: Vec<u32> = self
            .instances
            .iter()
            .filter_map(|instance| instance.child.as_ref().and_then(Child::id))
            .collect();
        let shares: Vec<f64> = processes.iter().filter_map(|process| cpu_share(*process)).collect();
        let records = self.log.log.records();
        Cost {
            cpu_share_max: shares.iter().copied().fold(0.0, f64::max),
            cpu_share_mean: shares.iter().sum::<f64>() / shares.len().max(1) as f64,
            memory_max_bytes: processes
                .iter()
                .filter_map(|id| memory_bytes(*id))
                .max()
                .unwrap_or(0),
            log_appends_per_s: records.appended as f64 / time.as_secs_f64(),
            log_bytes_per_s: records.appended_bytes as f64 / time.as_secs_f64(),
            peer_bytes_per_s: self.mean_rate("galenayard_peer_sent_bytes").await,
            peer_messages_per_s: self.mean_rate("galenayard_peer_sent_messages").await,
        }
    }

    /// Returns the mean over the instances of a counter's rise in a second since their start.
    async fn mean_rate(&self, counter: &str) -> f64 {
        let client = http::client(Duration::from_secs(1));
        let mut rates = Vec::new();
        for instance in self.instances.iter().filter(|instance| instance.child.is_some()) {
            let elapsed_s = instance.started.elapsed().as_secs_f64();
            if let Ok(text) = read_metrics(&client, instance.operators).await {
                rates.push(counter_value(&text, counter) / elapsed_s);
            }
        }
        rates.iter().sum::<f64>() / rates.len().max(1) as f64
    }

    /// Ends all processes.
    pub async fn stop(&mut self) -> Result<(), BoxError> {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                child.kill().await?;
            }
        }
        Ok(())
    }

    /// Writes a file beside the logs of the instances if these are kept.
    pub fn keep(&self, name: &str, value: &impl Serialize) -> Result<(), BoxError> {
        if self.keep {
            std::fs::write(self.directory.join(name), serde_json::to_vec(value)?)?;
        }
        Ok(())
    }

    /// The end of what the first instance has printed.
    fn output_tail(&self) -> String {
        let path = self.directory.join("instance-0.log");
        let output = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = output.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }

    async fn prepare(&self, index: usize, policy: &Table) -> Result<Instance, BoxError> {
        let id = format!("instance-{index}");
        let instance = Instance {
            settings: self.directory.join(format!("{id}.toml")),
            id,
            failure_domain: self.domain(index),
            callers: free_address().await?,
            peers: free_address().await?,
            operators: free_address().await?,
            child: None,
            started: Instant::now(),
        };
        std::fs::write(&instance.settings, self.settings_of(&instance, policy)?)?;
        Ok(instance)
    }

    fn settings_of(&self, instance: &Instance, policy: &Table) -> Result<String, BoxError> {
        let tables = json!({
            "instance": {
                "id": instance.id,
                "failure_domain": instance.failure_domain,
                "environment": "trial",
            },
            "listen": {
                "callers": instance.callers,
                "peers": instance.peers,
                "operators": instance.operators,
            },
            "platform": {
                "log": self.log.server.address,
                "instances": self.list.server.address,
            },
            "fleet": {"credential": CREDENTIAL, "operator_key_sha256": sha256(OPERATOR_KEY)},
            "policy": policy,
            "log": {"level": std::env::var("LOAD_LOG").unwrap_or("info".into())},
        });
        Ok(toml::to_string(&tables)?)
    }

    fn domain(&self, index: usize) -> String {
        let domains = &self.workload.fleet.failure_domains;
        domains.get(index % domains.len().max(1)).cloned().unwrap_or_default()
    }

    /// Puts the running instances and all servers on the platform's list.
    fn publish(&self) {
        let running = self.instances.iter().filter(|instance| instance.child.is_some());
        let instances = running.map(|instance| instances::Instance {
            id: instance.id.clone(),
            peer_address: instance.peers,
            failure_domain: instance.failure_domain.clone(),
            state: instances::Presence::Live,
        });
        let servers = self
            .server_ids()
            .into_iter()
            .map(|id| instances::Server { id, state: instances::Presence::Live });
        let listing =
            instances::Listing { instances: instances.collect(), servers: servers.collect() };
        self.list.instances.set(listing, Instant::now());
    }

    fn server_ids(&self) -> Vec<String> {
        let engines = (0..self.engines.len()).map(|index| format!("engine-{index}"));
        engines.chain((0..self.plains.len()).map(|index| format!("plain-{index}"))).collect()
    }

    /// The operator's document for this fleet.
    fn document(&self) -> Result<String, BoxError> {
        let workspaces = self.workload.workspaces.iter().enumerate().map(|(index, workspace)| {
            let key = json!({"id": "first", "sha256": sha256(&key(&workspace.id))});
            let keys = if self.withdrawn.contains(&index) { json!([]) } else { json!([key]) };
            json!({"id": workspace.id, "rate_tokens_per_s": workspace.rate_tokens_per_s,
                "burst_tokens": workspace.burst_tokens, "weight": workspace.weight, "keys": keys})
        });
        let engines = self.engines.iter().enumerate().map(|(index, handle)| {
            let config = handle.engine.config();
            json!({"id": format!("engine-{index}"), "kind": "engine", "role": config.role,
                "failure_domain": self.domain(index), "models": [self.workload.language.model],
                "slots": config.slots, "memory_pieces": config.pieces_total,
                "checks_fencing": !config.ignore_fence,
                "addresses": {"trial": handle.server.address}})
        });
        let plains = self.plains.iter().enumerate().map(|(index, handle)| {
            json!({"id": format!("plain-{index}"), "kind": "plain",
                "failure_domain": self.domain(index),
                "addresses": {"trial": handle.server.address}})
        });
        let engine_ids: Vec<String> =
            (0..self.engines.len()).map(|index| format!("engine-{index}")).collect();
        let plain_ids: Vec<String> =
            (0..self.plains.len()).map(|index| format!("plain-{index}")).collect();
        let plain = &self.workload.plain;
        let document = json!({
            "workspaces": workspaces.collect::<Vec<_>>(),
            "servers": engines.chain(plains).collect::<Vec<_>>(),
            "language_routes": [{"id": "language", "model": self.workload.language.model,
                "servers": engine_ids}],
            "plain_routes": [
                {"id": "orders", "path_prefix": plain.order_path, "servers": plain_ids},
                {"id": "enquiries", "path_prefix": plain.enquiry_path, "servers": plain_ids},
            ],
        });
        Ok(toml::to_string(&document)?)
    }

    /// Proposes the document to one running instance after the other until one accepts it.
    async fn apply_document(&self) -> Result<(), BoxError> {
        let document = self.document()?;
        let client = http::client(Duration::from_secs(1));
        let deadline = Instant::now() + READY_LIMIT;
        let mut problem = String::from("no instance runs");
        while Instant::now() < deadline {
            for instance in self.instances.iter().filter(|instance| instance.child.is_some()) {
                let proposed = propose(&client, instance.operators, &document);
                match time::timeout(PROPOSAL_LIMIT, proposed).await {
                    Ok(Ok(())) => return Ok(()),
                    Ok(Err(error)) => problem = error.to_string(),
                    Err(error) => problem = error.to_string(),
                }
            }
            time::sleep(LOOK_INTERVAL).await;
        }
        Err(format!("the document was not applied: {problem}").into())
    }

    async fn wait_until_ready(&self) -> Result<(), BoxError> {
        let client = http::client(Duration::from_secs(1));
        let deadline = Instant::now() + READY_LIMIT;
        for instance in &self.instances {
            let url = format!("http://{}/readyz", instance.callers);
            while let Err(error) = http::fetch_json(&client, &url, Duration::from_secs(1)).await {
                if Instant::now() > deadline {
                    return Err(format!("{} is not ready: {error}", instance.id).into());
                }
                time::sleep(LOOK_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Time after which the burst of each workspace is saved up.
fn fill_time(workload: &Workload) -> Duration {
    let fill_s = workload
        .workspaces
        .iter()
        .map(|workspace| workspace.burst_tokens.div_ceil(workspace.rate_tokens_per_s.max(1)));
    Duration::from_secs(fill_s.max().unwrap_or(0)) + SETTLE_TIME
}

/// Reads an instance's metrics in the Prometheus text format.
async fn read_metrics(client: &http::Client, operators: SocketAddr) -> Result<String, BoxError> {
    let request = Request::builder()
        .uri(format!("http://{operators}/metrics"))
        .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
        .body(Full::default())?;
    let answer = client.request(request).await?;
    let body = http::read_body(answer.into_body()).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Returns the value of a counter without labels; 0 if it is not listed.
fn counter_value(text: &str, counter: &str) -> f64 {
    let value = text.lines().find_map(|line| line.strip_prefix(counter)?.trim().parse().ok());
    value.unwrap_or(0.0)
}

/// Proposes a document on the version in force.
async fn propose(
    client: &http::Client,
    operators: SocketAddr,
    document: &str,
) -> Result<(), BoxError> {
    let request = || {
        Request::builder()
            .uri(format!("http://{operators}/v1/config"))
            .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
    };
    let current = client.request(request().body(Full::default())?).await?;
    let base = current.headers().get("x-version").and_then(|value| value.to_str().ok());
    let proposal = request()
        .method(Method::POST)
        .header("x-base-version", base.unwrap_or("0"))
        .header("x-proposal-id", format!("{:032x}", rand::random::<u128>()))
        .header("x-author", "load")
        .body(Full::new(Bytes::from(document.to_owned())))?;
    let answer = client.request(proposal).await?;
    let status = answer.status();
    let body = http::read_body(answer.into_body()).await?;
    if !status.is_success() {
        return Err(format!("{status}: {}", String::from_utf8_lossy(&body)).into());
    }
    Ok(())
}

/// An address that is free at this moment.
/// Returns an address that nothing listens on and that is not returned again.
///
/// Its port lies below those that the system gives to outgoing connections.
async fn free_address() -> Result<SocketAddr, BoxError> {
    for _ in 0..PORT_COUNT {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
        let port = FIRST_PORT + u16::try_from(start.wrapping_add(offset) % PORT_COUNT)?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).await.is_ok() {
            return Ok(address);
        }
    }
    Err("no free port".into())
}

fn sha256(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Share of a core that a process has used since its start.
fn cpu_share(process: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let uptime = std::fs::read_to_string("/proc/uptime").ok()?;
    let uptime_s: f64 = uptime.split(' ').next()?.parse().ok()?;
    let age_s = uptime_s - ticks(19)? / TICKS_PER_S;
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_S / age_s)
}

/// Most memory that a process has used.
fn memory_bytes(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let size_kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(size_kib * 1_024)
}
