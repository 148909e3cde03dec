//! The settings file that the platform writes for a process.

use std::net;
use std::path;
use std::rc;
use std::time;

use tokio::signal::unix;

use crate::core::fleet;
use crate::core::fleet::budget;
use crate::core::fleet::peers;
use crate::router;
use crate::router::clock;
use crate::router::context;

/// How often the file is read to find changes that no signal tells.
const REREAD_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// The settings; fields that are not named here are ignored.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Node {
    /// The machine's name.
    pub node_name: String,
    /// The machine's address.
    pub ip: net::Ipv4Addr,
    /// The machine's failure domain.
    pub zone: String,
    /// The first and last port for traffic between instances.
    pub internal_ports: Vec<u16>,
    /// Machines that may know others.
    #[serde(default)]
    pub seed_nodes: Vec<String>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Where this process listens.
    pub listen_addrs: ListenAddrs,
    /// What the machine has.
    pub limits: Limits,
    /// The figures of the rules.
    pub bounds: Bounds,
    /// The store.
    pub platform: Platform,
}

/// Where a process listens.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListenAddrs {
    /// For callers.
    pub frontend: net::SocketAddr,
    /// For questions whether it is ready.
    pub ready: net::SocketAddr,
    /// For the operator; nobody calls it.
    pub control_plane: Option<net::SocketAddr>,
    /// For questions where to connect.
    pub directory_addr: Option<net::SocketAddr>,
}

/// What the machine has.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// The share of a core.
    pub cpu_fraction: f64,
    /// How many times as fast as a plain core it is.
    pub cpu_cores: f64,
}

/// The figures of the rules that the product needs.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Bounds {
    /// From the request to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// The span over which limits hold, in seconds.
    pub quota_window_s: f64,
    /// Retries for each request.
    pub retry_budget_ratio: f64,
    /// The window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Retries of the whole fleet beyond the ratio.
    pub budget_slack: f64,
}

/// The store's address.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Platform {
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// Reads the settings.
///
/// # Errors
///
/// Fails if the file is missing or a field is.
pub fn read(path: &path::Path) -> Result<Node, router::RouterError> {
    let invalid = |message: String| router::RouterError::Settings {
        path: path.to_path_buf(),
        message: format!("{message}; correct the settings file"),
    };
    let text = std::fs::read_to_string(path).map_err(|failure| invalid(failure.to_string()))?;
    let node: Node = toml::from_str(&text).map_err(|failure| invalid(failure.to_string()))?;
    if node.internal_ports.is_empty() {
        return Err(invalid("InternalPorts is empty".to_string()));
    }
    Ok(node)
}

/// Reads the settings again when a signal or the file's content tells of a change.
pub async fn follow(path: path::PathBuf, context: rc::Rc<context::Context>) {
    let mut hangup = match unix::signal(unix::SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(failure) => {
            log::error!("changes of {} are not followed: {failure}", path.display());
            return;
        }
    };
    let mut current = read(&path).ok();
    loop {
        // Both ways lead to the same reading.
        let _ = tokio::time::timeout(REREAD_INTERVAL, hangup.recv()).await;
        match read(&path) {
            Ok(node) if current.as_ref() != Some(&node) => {
                log::info!("settings changed; addresses stay until the next start");
                context.apply(fleet::Event::SettingsChanged {
                    retries: node.bounds.retries(),
                    quota_window: node.bounds.quota_window(),
                });
                current = Some(node);
            }
            Ok(_) => {}
            Err(failure) => log::warn!("settings stay as they were: {failure}"),
        }
    }
}

impl Bounds {
    fn quota_window(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.quota_window_s)
    }

    fn retries(&self) -> budget::RetryBounds {
        budget::RetryBounds {
            ratio: self.retry_budget_ratio,
            slack: self.budget_slack,
            window: time::Duration::from_secs_f64(self.retry_window_s),
        }
    }
}

impl Node {
    /// Returns the product's options.
    ///
    /// # Errors
    ///
    /// Fails if an address of the settings cannot be used.
    pub fn router_options(
        &self,
        path: &path::Path,
        metrics_port: Option<u16>,
    ) -> Result<router::Options, router::RouterError> {
        let peer_port = self.internal_ports.first().copied().ok_or_else(|| {
            let message = "InternalPorts is empty; correct the settings file".to_string();
            router::RouterError::Settings { path: path.to_path_buf(), message }
        })?;
        let peers = net::SocketAddr::from((self.ip, peer_port));
        let seeds = self
            .seed_nodes
            .iter()
            .filter_map(|seed| seed.parse::<net::SocketAddr>().ok())
            .map(|seed| net::SocketAddr::new(seed.ip(), peer_port))
            .collect();
        let own = peers::Member {
            name: self.node_name.clone(),
            incarnation: rand::random(),
            peer_address: peers,
            caller_address: self.listen_addrs.frontend,
            is_ready: false,
            capacity_cores: self.limits.cpu_fraction * self.limits.cpu_cores,
            started_unix_ms: clock::unix_ms(),
        };
        let listen = &self.listen_addrs;
        let discovery = [Some(listen.ready), listen.control_plane, listen.directory_addr];
        let mut discovery: Vec<_> = discovery.into_iter().flatten().collect();
        discovery.sort_unstable();
        discovery.dedup();
        Ok(router::Options {
            fleet: fleet::Options {
                seed: own.incarnation,
                own,
                domain: self.zone.clone(),
                is_first_start: self.bootstrap,
                quota_window: self.bounds.quota_window(),
                retries: self.bounds.retries(),
                seeds,
            },
            callers: listen.frontend,
            discovery,
            peers,
            metrics: metrics_port.map(|port| net::SocketAddr::from((self.ip, port))),
            grace: time::Duration::from_secs_f64(self.bounds.grace_s),
        })
    }
}
