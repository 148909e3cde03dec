//! A tenant is taken out of the configuration and put back unchanged, while it sends several times its
//! usual. The rule QUOTA bounds what servers run of it in any window.

mod common;

use common::*;
use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 3;
const RATE_PER_S: f64 = 29_000.0;
const BURST: f64 = 29_000.0;
const PLAIN_TOKENS: f64 = 200.0;
const WINDOW_S: f64 = 8.0;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 110_000.0;
/// The usual rate is the limit through 1.8 (`quota_x`); `hot_tenant` multiplies it by 7.5 at most.
const HOT_PER_S: f64 = RATE_PER_S / PLAIN_TOKENS / 1.8 * 7.5;
const CLIENTS: usize = 40;
const DEADLINE: Duration = Duration::from_millis(1_000);
const HOT_FOR: Duration = Duration::from_millis(6_500);
/// When the tenant is taken out, and when it is back.
const OUT_AT: Duration = Duration::from_millis(2_600);
const BACK_AT: Duration = Duration::from_millis(3_600);

fn configuration(version: u32, with_hot: bool) -> String {
    let tenant = |name: &str, key: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"ApiKeys\":[\"{key}\"],\"Priority\":1,\"Unit\":\"token_stream\",\
             \"PlainTokens\":{PLAIN_TOKENS},\"RatePerS\":{RATE_PER_S},\"Burst\":{BURST}}}"
        )
    };
    let mut tenants = vec![tenant("calm1", "key-calm1"), tenant("calm2", "key-calm2")];
    if with_hot {
        tenants.push(tenant("hot", "key-hot"));
    }
    format!(
        "{{\"Version\":{version},\"RouteTable\":[{{\"Name\":\"r-booking\",\"Host\":\"yard.example\",\
         \"PathPrefix\":\"/booking/\",\"RouteType\":\"non_idempotent\",\"TimeoutMs\":1000,\
         \"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"booking-desk\",\"Attempts\":1,\
         \"Anonymous\":false,\"Sticky\":false,\"Resumable\":false}}],\
         \"Services\":[{{\"Name\":\"booking-desk\",\"HealthPath\":\"/healthz\",\"MaxConnections\":110,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
        tenants.join(",")
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
        let (zone, work) = (site.zones[index], Duration::from_millis(15));
        PlainServer::start(&store, "booking-desk", zone, site.server(index), work, &runs);
    }
    store.put("keyed.op", "config", &configuration(1, true));
    let mut nodes = Vec::new();
    for node in 0..NODES {
        nodes.push(Node::start(&folder, node, &site.settings(node, NODES, 8, true)));
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
            let interval = Duration::from_secs_f64(CLIENTS as f64 / HOT_PER_S);
            let mut next = start + interval.mul_f64(client as f64 / CLIENTS as f64);
            let mut connection = None;
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(next.saturating_duration_since(Instant::now()));
                let (mut request, mut wait) =
                    ask(&mut connection, node, address, "key-hot", DEADLINE);
                // One retry after a refusal that promises that the request has not run.
                if matches!(request.status, 429 | 503) {
                    sent.lock().unwrap().push(request.clone());
                    let pause = wait.unwrap_or(0.3).min(DEADLINE.as_secs_f64() / 3.0);
                    thread::sleep(Duration::from_secs_f64(pause));
                    (request, wait) = ask(&mut connection, node, address, "key-hot", DEADLINE);
                }
                let _ = wait;
                sent.lock().unwrap().push(request);
                next = (next + interval).max(Instant::now());
            }
        }));
    }
    let mut changes = Vec::new();
    if has_trouble {
        for (at, version, with_hot) in [(OUT_AT, 2, false), (BACK_AT, 4, true)] {
            thread::sleep((start + at).saturating_duration_since(Instant::now()));
            store.put("keyed.op", "config", &configuration(version, with_hot));
            changes.push((seconds(start, Instant::now()), version, with_hot));
        }
    }
    thread::sleep((start + HOT_FOR).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);

    let runs = runs.lock().unwrap().clone();
    let mut sent = sent.lock().unwrap().clone();
    sent.sort_by_key(|it| it.sent);
    let ran = |id: &str| runs.iter().find(|run| run.id == id);
    let ran_at: Vec<_> = sent
        .iter()
        .filter_map(|it| ran(&it.id).map(|run| (seconds(start, it.sent), seconds(start, run.at))))
        .collect();
    let allowed = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + OVERSHOOT) + SLACK;
    let mut worst = (0.0, 0.0);
    for (first, _) in &ran_at {
        let inside = ran_at.iter().filter(|(sent, ran)| sent >= first && *ran <= first + WINDOW_S);
        let tokens = inside.count() as f64 * PLAIN_TOKENS;
        if tokens > worst.1 {
            worst = (*first, tokens);
        }
    }
    let mut text = String::new();
    let _ = writeln!(text, "trouble: {has_trouble}");
    for (at, version, with_hot) in &changes {
        let state = if *with_hot { "with" } else { "without" };
        let _ = writeln!(text, "{at:.3} s: version {version} acknowledged, {state} the tenant");
    }
    for second in 0..=HOT_FOR.as_secs() {
        let is_then = |at: f64| at >= second as f64 && at < second as f64 + 1.0;
        let asked: Vec<_> = sent.iter().filter(|it| is_then(seconds(start, it.sent))).collect();
        let count = |status: u16| asked.iter().filter(|it| it.status == status).count();
        let run = ran_at.iter().filter(|(_, at)| is_then(*at)).count();
        let _ = writeln!(
            text,
            "second {second}: sent {}, answered 200 {}, 429 {}, 401 {}, other {}, run {run}",
            asked.len(),
            count(200),
            count(429),
            count(401),
            asked.len() - count(200) - count(429) - count(401)
        );
    }
    let is_broken = worst.1 > allowed;
    let _ = writeln!(
        text,
        "QUOTA {}: {} tokens of the tenant were sent and run in 8 s from {:.3} s; allowed {allowed}",
        if is_broken { "broken" } else { "held" },
        worst.1,
        worst.0
    );
    print!("{text}");
    let _ = writeln!(text, "\nid, sent s, answered s, status, run s");
    for it in &sent {
        let run = ran(&it.id).map_or("-".to_string(), |it| format!("{:.3}", seconds(start, it.at)));
        let (at, end) = (seconds(start, it.sent), seconds(start, it.answered));
        let _ = writeln!(text, "{} {at:.3} {end:.3} {} {run}", it.id, it.status);
    }
    std::fs::write(record, text).expect("the record");
    std::process::exit(i32::from(is_broken));
}
