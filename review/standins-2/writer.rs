//! Another writer enters a server under a service that it does not serve, and leaves a field out. Such an
//! entry names no server to use. The rule ROUTE bounds where requests may run.

mod common;

use common::*;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 2;
const CLIENTS: usize = 80;
const GRACE_S: u32 = 8;
const WORK: Duration = Duration::from_millis(15);
const PAUSE: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(1_000);
const WATCH: Duration = Duration::from_secs(15);
/// The other writer enters the server as often as the server itself does, in between.
const WRITES: u32 = 8;
const WRITE_INTERVAL: Duration = Duration::from_millis(1_200);

fn configuration() -> String {
    let route = |name: &str, path: &str, service: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"yard.example\",\"PathPrefix\":\"{path}\",\
             \"RouteType\":\"non_idempotent\",\"TimeoutMs\":1000,\"TargetLatencyMs\":100,\
             \"Priority\":2,\"Service\":\"{service}\",\"Attempts\":1,\"Anonymous\":false,\
             \"Sticky\":false,\"Resumable\":false}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\
             \"Protocol\":\"h1\",\"Tls\":false}}"
        )
    };
    format!(
        "{{\"Version\":1,\"RouteTable\":[{},{}],\"Services\":[{},{}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"vega\",\"ApiKeys\":[\"key-vega\"]}}]}}",
        route("r-booking", "/booking/", "booking-desk"),
        route("r-billing", "/billing/", "billing-desk"),
        service("booking-desk"),
        service("billing-desk")
    )
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("a temporary folder"));
    let record = PathBuf::from(std::env::args().nth(2).expect("the path of the record"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let site = Site::new();
    let store = Store::start(site.store);
    let runs = Arc::new(Mutex::new(Vec::new()));
    for index in 0..3 {
        let zone = site.zones[index];
        PlainServer::start(&store, "booking-desk", zone, site.server(index), WORK, &runs);
    }
    let billing = site.server(3);
    let (id, born) =
        PlainServer::start(&store, "billing-desk", site.zones[0], billing, WORK, &runs);
    store.put("keyed.op", "config", &configuration());
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
    thread::sleep(Duration::from_secs(4));

    let start = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
        let node = client % NODES;
        let address = site.frontend(node);
        clients.push(thread::spawn(move || {
            let mut connection = None;
            while !stop.load(Ordering::Relaxed) {
                let (request, _) = ask(&mut connection, node, address, "key-vega", DEADLINE);
                sent.lock().unwrap().push(request);
                thread::sleep(PAUSE);
            }
        }));
    }
    let mut writes = Vec::new();
    if has_trouble {
        thread::sleep(Duration::from_secs(1));
        for _ in 0..WRITES {
            let foreign = entry("booking-desk", billing, site.zones[0], born, None);
            store.put("keyed.servers", &id, &foreign);
            writes.push((seconds(start, Instant::now()), foreign));
            thread::sleep(WRITE_INTERVAL);
        }
    }
    thread::sleep((start + WATCH).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);

    let runs = runs.lock().unwrap().clone();
    let mut sent = sent.lock().unwrap().clone();
    sent.sort_by_key(|it| it.sent);
    let ran = |id: &str| runs.iter().find(|run| run.id == id);
    let elsewhere: Vec<_> = runs
        .iter()
        .filter(|run| run.path.starts_with("/booking/") && run.service != "booking-desk")
        .collect();
    let mut text = String::new();
    let _ = writeln!(text, "trouble: {has_trouble}; server {id} serves billing-desk");
    for (at, entry) in &writes {
        let _ = writeln!(text, "{at:.3} s: the other writer enters it as {entry}");
    }
    let count = |status: u16| sent.iter().filter(|it| it.status == status).count();
    let _ = writeln!(
        text,
        "bookings: {} sent, answered 200 {}, other {}",
        sent.len(),
        count(200),
        sent.len() - count(200)
    );
    let is_broken = !elsewhere.is_empty();
    let _ = writeln!(
        text,
        "ROUTE {}: {} bookings were run by billing-desk, to which no route of theirs leads",
        if is_broken { "broken" } else { "held" },
        elsewhere.len()
    );
    print!("{text}");
    let _ = writeln!(text, "\nid, process, sent s, answered s, status, run s, service");
    for it in &sent {
        let run = ran(&it.id).map_or("- -".to_string(), |run| {
            format!("{:.3} {}", seconds(start, run.at), run.service)
        });
        let (at, end) = (seconds(start, it.sent), seconds(start, it.answered));
        let _ = writeln!(text, "{} {} {at:.3} {end:.3} {} {run}", it.id, it.node, it.status);
    }
    std::fs::write(record, text).expect("the record");
    std::process::exit(i32::from(is_broken));
}
