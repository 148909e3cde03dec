//! The store moves to another address: the settings of all processes name it, with SIGHUP, while the store
//! still answers at both. Then a key is withdrawn. The rule CONFIG bounds how long it works.

mod common;

use common::*;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 2;
const GRACE_S: u32 = 8;
const WORK: Duration = Duration::from_millis(15);
const DEADLINE: Duration = Duration::from_millis(1_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// The time for which the store answers at both addresses.
const BOTH: Duration = Duration::from_secs(8);
/// The time from the end of the former address until the key is withdrawn: longer than `ContactMs`.
const SETTLE: Duration = Duration::from_secs(4);
const WATCH: Duration = Duration::from_secs(12);

fn configuration(version: u32, keys: &str) -> String {
    format!(
        "{{\"Version\":{version},\"RouteTable\":[{{\"Name\":\"r-booking\",\"Host\":\"yard.example\",\
         \"PathPrefix\":\"/booking/\",\"RouteType\":\"non_idempotent\",\"TimeoutMs\":1000,\
         \"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"booking-desk\",\"Attempts\":1,\
         \"Anonymous\":false,\"Sticky\":false,\"Resumable\":false}}],\
         \"Services\":[{{\"Name\":\"booking-desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"vega\",\"ApiKeys\":[{keys}]}}]}}"
    )
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let mut site = Site::new();
    let store = Arc::new(Store::default());
    let former = store.listen(site.store);
    store.listen(site.next_store());
    let runs = Arc::new(Mutex::new(Vec::new()));
    for index in 0..3 {
        let zone = site.zones[index];
        PlainServer::start(&store, "booking-desk", zone, site.server(index), WORK, &runs);
    }
    store.put("keyed.op", "config", &configuration(1, "\"key-kept\",\"key-withdrawn\""));
    let mut nodes = Vec::new();
    for node in 0..NODES {
        let settings = site.settings(node, NODES, GRACE_S, true);
        nodes.push(Node::start(&folder, node, &settings));
    }
    if !wait_until_ready(&site, NODES) {
        println!("the nodes did not become ready");
        drop(nodes);
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        site.store = site.next_store();
        for (index, node) in nodes.iter().enumerate() {
            let settings = site.settings(index, NODES, GRACE_S, true);
            std::fs::write(&node.settings, settings).expect("settings");
            // The file of the other process changes without a signal.
            if index == 0 {
                node.signal("HUP");
            }
        }
        thread::sleep(BOTH);
        former.store(true, Ordering::Relaxed);
        thread::sleep(SETTLE);
    }
    let start = Instant::now();
    store.put("keyed.op", "config", &configuration(3, "\"key-kept\""));
    let mut sent = Vec::new();
    let mut connections: Vec<Option<Connection>> = (0..NODES).map(|_| None).collect();
    while start.elapsed() < WATCH {
        for (node, connection) in connections.iter_mut().enumerate() {
            for key in ["key-withdrawn", "key-kept"] {
                let (request, _) = ask(connection, node, site.frontend(node), key, DEADLINE);
                sent.push((request, key));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    drop(nodes);

    let runs = runs.lock().unwrap().clone();
    let ran = |id: &str| runs.iter().find(|run| run.id == id);
    let late: Vec<_> = sent
        .iter()
        .filter(|(it, key)| *key == "key-withdrawn" && it.sent > start + CONFIG_APPLY)
        .collect();
    let broken = late.iter().filter(|(it, _)| ran(&it.id).is_some()).count();
    let kept: Vec<_> = sent.iter().filter(|(_, key)| *key == "key-kept").collect();
    let kept_run = kept.iter().filter(|(it, _)| it.status == 200).count();
    let mut text = String::new();
    let _ = writeln!(text, "trouble: {has_trouble}");
    let _ = writeln!(text, "0 s: the version without the key is acknowledged");
    let _ = writeln!(text, "the key that is kept: {} sent, {kept_run} answered 200", kept.len());
    let _ = writeln!(
        text,
        "the withdrawn key, later than ConfigApplyMs: {} sent, {broken} run, {} answered 401",
        late.len(),
        late.iter().filter(|(it, _)| it.status == 401).count()
    );
    let is_broken = broken > 0;
    let _ = writeln!(text, "CONFIG {}", if is_broken { "broken" } else { "held" });
    print!("{text}");
    let _ = writeln!(text, "\nid, key, process, sent s, answered s, status, run s");
    for (it, key) in &sent {
        let run = ran(&it.id).map_or("-".to_string(), |it| format!("{:.3}", seconds(start, it.at)));
        let (at, end) = (seconds(start, it.sent), seconds(start, it.answered));
        let _ = writeln!(text, "{} {key} {} {at:.3} {end:.3} {} {run}", it.id, it.node, it.status);
    }
    std::fs::write(record, text).expect("the record");
    std::process::exit(i32::from(is_broken));
}
