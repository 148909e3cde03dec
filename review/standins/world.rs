//! A small deployment: the store, its configuration, and the entries of servers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use crate::Failure;
use crate::node;
use crate::record::Record;
use crate::store::Store;

/// The host of all routes.
pub const HOST: &str = "yard.example";

/// The zones of machines and servers.
pub const ZONES: [&str; 2] = ["trencin-depot", "puchov-depot"];

/// The interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A deployment.
pub struct World {
    pub record: Record,
    pub store: Store,
    prefix: [u8; 3],
    folder: PathBuf,
    next_port: u16,
}

impl World {
    /// Chooses loopback addresses that are free, and starts the store.
    pub fn start(folder: &Path) -> Result<Self, Failure> {
        let record = Record::create(folder)?;
        let process = std::process::id();
        let prefix = (0..50_u32).map(|step| {
            let number = process + step * 7;
            [127, 20 + (number % 200) as u8, 1 + (number / 200 % 250) as u8]
        });
        let is_free = |prefix: &[u8; 3]| {
            let [a, b, c] = *prefix;
            let ports = [(2, 8361), (10, 8360), (11, 8360), (10, 9464), (11, 9464)];
            let mut addresses =
                ports.iter().map(|(last, port)| SocketAddr::from(([a, b, c, *last], *port)));
            addresses.all(|address| TcpListener::bind(address).is_ok())
        };
        let prefix = prefix.into_iter().find(is_free).ok_or("no free loopback addresses")?;
        let [a, b, c] = prefix;
        let temporary = std::env::temp_dir().join(format!("review-{process}"));
        std::fs::create_dir_all(&temporary)?;
        let store = Store::start(SocketAddr::from(([a, b, c, 2], 8361)))?;
        Ok(Self { record, store, prefix, folder: temporary, next_port: 9_000 })
    }

    /// Starts so many instances, and waits until they are ready.
    pub fn start_nodes(&self, count: u8) -> Result<Vec<node::Node>, Failure> {
        let [a, b, c] = self.prefix;
        let ips: Vec<_> = (0..count).map(|index| Ipv4Addr::new(a, b, c, 10 + index)).collect();
        let store = SocketAddr::from(([a, b, c, 2], 8361));
        let mut nodes = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
            let machine = node::Machine { name: &name, ip: *ip, zone, seeds: &ips, store };
            nodes.push(node::Node::start(&self.folder, &machine)?);
        }
        for node in &nodes {
            node.wait_until_ready()?;
        }
        // Instances hear of each other; traffic starts some seconds after the machines do.
        thread::sleep(Duration::from_secs(4));
        Ok(nodes)
    }

    /// Returns an address for a server.
    pub fn server_address(&mut self) -> SocketAddr {
        let [a, b, c] = self.prefix;
        self.next_port += 1;
        SocketAddr::from(([a, b, c, 3], self.next_port))
    }

    /// Registers a server and renews its entry as long as the program runs.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, slots: u32, stage: &str) {
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let zone = ZONES[usize::from(address.port()) % ZONES.len()];
        let stage = match stage {
            "" => String::new(),
            stage => format!(
                "\"Stage\":\"{stage}\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],"
            ),
        };
        let fields = format!(
            "\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdRemainingMs\":0,{stage}\
             \"born\":{}",
            born.as_millis()
        );
        let (store, id) = (self.store.clone(), id.to_string());
        thread::spawn(move || {
            for sequence in 1_u64.. {
                let entry = format!("{{{fields},\"Sequence\":{sequence}}}");
                store.put("keyed.servers", &id, entry.as_bytes());
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Writes a configuration: routes, services and tenants as JSON lists.
    pub fn configure(&self, version: u64, routes: &[String], services: &str, tenants: &str) {
        let routes = routes.join(",");
        let text = format!(
            "{{\"Version\":{version},\"RouteTable\":[{routes}],\"Services\":{services},\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
             \"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000}},\"Tenants\":{tenants}}}"
        );
        self.record.line(&format!("operator: version {version} is acknowledged"));
        self.store.put("keyed.op", "config", text.as_bytes());
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // A folder that is left over does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A route as the operator writes it; `more` holds further fields.
pub fn route(
    prefix: &str,
    kind: &str,
    service: &str,
    aim_ms: u64,
    timeout_ms: u64,
    more: &str,
) -> String {
    format!(
        "{{\"Name\":\"{prefix}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\
         \"RouteType\":\"{kind}\",\"Service\":\"{service}\",\"TimeoutMs\":{timeout_ms},\
         \"TargetLatencyMs\":{aim_ms},\"Priority\":1,\"Attempts\":2{more}}}"
    )
}
