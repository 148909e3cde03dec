//! The settings file that the platform provides to a process.

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

/// How often the file is read again, to find changes that no signal announces.
const REREAD_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// The settings of a process; unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Node {
    /// The name of the instance.
    pub node_name: String,
    /// The IP address on which peers reach the instance.
    pub ip: net::Ipv4Addr,
    /// The machine's failure domain.
    pub zone: String,
    /// The first and last port for traffic between instances.
    pub internal_ports: Vec<u16>,
    /// Addresses of instances from which others are discovered; only their IP addresses are used.
    #[serde(default)]
    pub seed_nodes: Vec<String>,
    /// Whether the whole fleet starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// The addresses on which this process listens.
    pub listen_addrs: ListenAddrs,
    /// The capacity of the machine.
    pub limits: Limits,
    /// The bounds that the fleet must keep.
    pub bounds: Bounds,
    /// How the store is reached.
    pub platform: Platform,
}

/// The addresses on which a process listens.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListenAddrs {
    /// For callers' requests.
    pub frontend: net::SocketAddr,
    /// For readiness checks.
    pub ready: net::SocketAddr,
    /// For the operator; unused so far, and served like the readiness address.
    pub control_plane: Option<net::SocketAddr>,
    /// For discovery of the callers' addresses.
    pub directory_addr: Option<net::SocketAddr>,
}

/// The capacity of a machine.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// The fraction of a core that the process may use.
    pub cpu_fraction: f64,
    /// The speed of that core relative to a standard core.
    pub cpu_cores: f64,
    /// The memory that the process may take, in MiB.
    #[serde(default = "default_memory_limit_mb")]
    pub memory_limit_mb: f64,
}

/// The memory that is assumed for a machine whose settings name none, in MiB.
fn default_memory_limit_mb() -> f64 {
    96.0
}

/// The bounds from the settings that the fleet must keep.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Bounds {
    /// The time from SIGTERM until the process is killed, in seconds.
    pub grace_s: f64,
    /// The window over which workspaces' limits apply, in seconds.
    pub quota_window_s: f64,
    /// Allowed retries per request.
    pub retry_budget_ratio: f64,
    /// The window over which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Retries that the whole fleet may make in addition to the ratio.
    pub budget_slack: f64,
}

/// How the platform's store is reached.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Platform {
    /// The address on which the store listens.
    pub address: net::SocketAddr,
}

/// Reads the settings file.
///
/// # Errors
///
/// Fails if the file cannot be read, or a field is missing or invalid.
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

/// Reads the settings again after SIGHUP and at regular intervals, and applies changed bounds.
pub async fn follow(path: path::PathBuf, context: rc::Rc<context::Context>) {
    let mut hangup = match unix::signal(unix::SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(failure) => {
            log::error!(
                "cannot handle SIGHUP; changes of {} are not applied: {failure}",
                path.display()
            );
            return;
        }
    };
    let mut current = read(&path).ok();
    loop {
        // The file is read after a signal and after a timeout alike.
        let _ = tokio::time::timeout(REREAD_INTERVAL, hangup.recv()).await;
        match read(&path) {
            Ok(node) if current.as_ref() != Some(&node) => {
                log::info!("settings changed; changed addresses apply after a restart");
                context.apply(fleet::Event::SettingsChanged {
                    retries: node.bounds.retries(),
                    quota_window: node.bounds.quota_window(),
                });
                current = Some(node);
            }
            Ok(_) => {}
            Err(failure) => log::warn!("keeping the previous settings: {failure}"),
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
    /// Returns whether the instance learns from other ones, its seeds, when the store answers again.
    pub fn has_other_seeds(&self) -> bool {
        let seeds = self.seed_nodes.iter().filter_map(|seed| seed.parse::<net::SocketAddr>().ok());
        let addresses: Vec<_> = seeds.map(|seed| seed.ip()).collect();
        !addresses.is_empty() && !addresses.contains(&net::IpAddr::from(self.ip))
    }

    /// Returns the options of an instance with these settings.
    ///
    /// # Errors
    ///
    /// Fails if there is no port for peers.
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
                hedge_share: 0.0,
                seeds,
            },
            callers: listen.frontend,
            discovery,
            peers,
            metrics: metrics_port.map(|port| net::SocketAddr::from((self.ip, port))),
            memory_bytes: (self.limits.memory_limit_mb * 1_024.0 * 1_024.0) as usize,
            grace: time::Duration::from_secs_f64(self.bounds.grace_s),
        })
    }
}
