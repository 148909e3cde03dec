//! Orders and enquiries through three processes while processes, services and the log fail.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::http;
use standins::load::{faults, fleet, workload};
use tokio::sync::Mutex;
use tokio::time;

const SEED: u64 = 6;
const WORKERS: usize = 16;
const ENQUIRIES: usize = 1_000;
const MAX_SENDS: usize = 6;

/// How many orders are sent at least if `GALENAYARD_FAULT_ORDERS` does not say.
const ORDERS: usize = 400;

/// The longest that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(8);

/// The longest pause of a worker between two orders.
const ORDER_PAUSE_MS: u64 = 400;

/// The pause between two faults, and for which a fault that lasts goes on.
const FAULT_PAUSE: Duration = Duration::from_millis(700);

const WORKLOAD: &str = r#"
name = "orders"
client_latency_ms = 0.0
first_token_ms = 1300.0
token_ms = 42.0

[fleet]
instances = 3
failure_domains = ["a", "b", "c"]
plain = { count = 3, latency_ms = 0, work_ms = 5 }
log = { latency_ms = 1, appends_per_s = 400 }

[[fleet.engines]]
role = "both"

[language]
model = "m"
prefixes = 1
prefix_tokens = [100, 200]
suffix_tokens = [100, 200]
output_tokens = [10, 20]
cancelled_share = 0.0

[plain]
order_path = "/orders"
enquiry_path = "/stock"
enquiry_share = 0.5
keyed_share = 0.5

[[workspaces]]
id = "w"
weight = 1
rate_tokens_per_s = 1000
burst_tokens = 1000
language_per_s = 1.0
plain_per_s = 1.0
"#;

/// A kind of fault.
#[derive(Debug, Clone, Copy)]
enum Kind {
    /// An instance's process dies and another one takes its place.
    Kill,
    /// A service's next answers are lost after their effect.
    LoseAnswers,
    /// A service's open connections go silent.
    Silence,
    /// A service drops its connections and refuses new ones.
    Refuse,
    /// The log's next answers are lost after their effect.
    LoseLogAnswers,
    /// The log is down.
    LogOutage,
}

const FAULT_ORDER: [Kind; 7] = [
    Kind::LoseAnswers,
    Kind::Kill,
    Kind::LogOutage,
    Kind::Silence,
    Kind::LoseLogAnswers,
    Kind::Kill,
    Kind::Refuse,
];

/// What one sending of an order came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    Answered,
    NotRun,
    Unknown,
    /// The instance could not be reached.
    NotSent,
    /// The connection broke or stayed silent.
    Broken,
}

async fn send(client: &http::Client, request: Request<Full<Bytes>>) -> Told {
    let answered = async {
        let response = client.request(request).await?;
        let (parts, body) = response.into_parts();
        body.collect().await.map(|_| parts).map_err(http::BoxError::from)
    };
    let answered: Result<Result<_, http::BoxError>, _> =
        time::timeout(CALLER_TIMEOUT, answered).await;
    match answered {
        Ok(Ok(parts)) => match parts.headers.get("x-galenayard-ran") {
            Some(ran) if ran == "no" => Told::NotRun,
            Some(_) => Told::Unknown,
            None if parts.status.is_success() => Told::Answered,
            None => Told::Unknown,
        },
        Ok(Err(failure)) if is_not_connected(failure.as_ref()) => Told::NotSent,
        Ok(Err(_)) | Err(_) => Told::Broken,
    }
}

fn is_not_connected(failure: &(dyn std::error::Error + 'static)) -> bool {
    let client = failure.downcast_ref::<hyper_util::client::legacy::Error>();
    client.is_some_and(hyper_util::client::legacy::Error::is_connect)
}

fn order(instance: SocketAddr, id: &str, keyed: bool) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method("POST")
        .uri(format!("http://{instance}/orders"))
        .header("authorization", format!("Bearer {}", fleet::key("w")));
    if keyed {
        request = request.header("idempotency-key", id);
    }
    let body = format!("{{\"id\":\"{id}\"}}");
    request.body(Full::new(Bytes::from(body))).expect("a valid request")
}

/// Sends an order through changing instances until its outcome is certain or nothing more may be
/// done: with a key any outcome may be asked for again, without one only what did not run.
async fn place(
    client: http::Client,
    instances: Vec<SocketAddr>,
    number: usize,
) -> (String, Vec<Told>) {
    let mut random = StdRng::seed_from_u64(SEED ^ (number as u64) << 8);
    let id = format!("order-{number}");
    let keyed = number.is_multiple_of(2);
    let mut told = Vec::new();
    while told.len() < MAX_SENDS {
        let instance = instances[random.random_range(0..instances.len())];
        let outcome = send(&client, order(instance, &id, keyed)).await;
        told.push(outcome);
        let resend = match outcome {
            Told::Answered => keyed && random.random_bool(0.1) && told.len() < 2,
            Told::NotRun => random.random_bool(0.5),
            Told::NotSent => true,
            Told::Unknown | Told::Broken => keyed,
        };
        if !resend {
            break;
        }
    }
    (id, told)
}

fn table(text: &str) -> toml::Table {
    text.parse().expect("a valid command")
}

/// Brings on one fault after the other until each kind was there and all orders are done.
async fn break_things(
    fleet: Arc<Mutex<fleet::Fleet>>,
    done: Arc<AtomicUsize>,
    faults: Arc<AtomicUsize>,
    orders: usize,
) {
    let mut random = StdRng::seed_from_u64(SEED);
    loop {
        let over = faults.load(Ordering::Relaxed);
        if over >= FAULT_ORDER.len() && done.load(Ordering::Relaxed) >= orders {
            return;
        }
        let kind = FAULT_ORDER[over % FAULT_ORDER.len()];
        let index = random.random_range(0..3usize);
        let plain = |text: &'static str| (faults::Target::Plain, table(text));
        let (target, command) = match kind {
            Kind::Kill => {
                fleet.lock().await.kill(index).await.expect("the instance is killed");
                time::sleep(FAULT_PAUSE).await;
                fleet.lock().await.start_instance(index).expect("the instance starts");
                time::sleep(FAULT_PAUSE).await;
                faults.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            Kind::LoseAnswers => plain("lose_answers = 5"),
            Kind::Silence => plain("silence = true"),
            Kind::Refuse => plain("refuse_ms = 500"),
            Kind::LoseLogAnswers => (faults::Target::Log, table("lose_answers = 5")),
            Kind::LogOutage => (faults::Target::Log, table("outage = true")),
        };
        let server = if matches!(target, faults::Target::Plain) { index } else { 0 };
        fleet.lock().await.command(target, server, command).expect("the fault begins");
        time::sleep(FAULT_PAUSE).await;
        let end = table("outage = false");
        fleet.lock().await.command(faults::Target::Log, 0, end).expect("the fault ends");
        faults.fetch_add(1, Ordering::Relaxed);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orders_run_at_most_once_and_enquiries_are_answered() {
    let orders = std::env::var("GALENAYARD_FAULT_ORDERS").ok();
    let orders = orders.and_then(|count| count.parse().ok()).unwrap_or(ORDERS);
    let workload: workload::Workload = toml::from_str(WORKLOAD).expect("a valid workload");
    let binary = Path::new(env!("CARGO_BIN_EXE_galenayard"));
    let fleet = fleet::Fleet::start(&workload, binary, &toml::Table::new(), false).await;
    let fleet = fleet.expect("the fleet starts");
    let instances = fleet.callers();
    let client = http::client(Duration::from_secs(1));

    let command = table("refuse_ms = 600000");
    fleet.command(faults::Target::Plain, 2, command).expect("a server goes down");
    let mut answered = 0;
    for number in 0..ENQUIRIES {
        let uri = format!("http://{}/stock", instances[number % instances.len()]);
        let key = format!("Bearer {}", fleet::key("w"));
        let request = Request::builder().uri(uri).header("authorization", key);
        let request = request.body(Full::default()).expect("a valid request");
        answered += usize::from(send(&client, request).await == Told::Answered);
    }
    println!("enquiries answered with one server of three down: {answered} of {ENQUIRIES}");
    fleet.command(faults::Target::Plain, 2, table("refuse_ms = 0")).expect("the server is back");

    let fleet = Arc::new(Mutex::new(fleet));
    let done = Arc::new(AtomicUsize::new(0));
    let faults = Arc::new(AtomicUsize::new(0));
    let breaking = break_things(Arc::clone(&fleet), Arc::clone(&done), Arc::clone(&faults), orders);
    let breaking = tokio::spawn(breaking);
    let next = Arc::new(AtomicUsize::new(0));
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let (client, instances) = (client.clone(), instances.clone());
            let (next, done) = (Arc::clone(&next), Arc::clone(&done));
            let faults = Arc::clone(&faults);
            tokio::spawn(async move {
                let mut placed = Vec::new();
                let mut random = StdRng::seed_from_u64(worker as u64);
                loop {
                    let pause_ms = random.random_range(0..ORDER_PAUSE_MS);
                    time::sleep(Duration::from_millis(pause_ms)).await;
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let is_over = faults.load(Ordering::Relaxed) >= FAULT_ORDER.len();
                    if number >= orders && is_over {
                        return placed;
                    }
                    placed.push(place(client.clone(), instances.clone(), number).await);
                    done.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    let mut placed = Vec::new();
    for worker in workers {
        placed.extend(worker.await.expect("no worker panics"));
    }
    breaking.await.expect("no fault panics");
    let faults = faults.load(Ordering::Relaxed);
    let mut fleet = Arc::into_inner(fleet).expect("no one else holds the fleet").into_inner();
    fleet.stop().await.expect("the processes end");

    let mut runs: HashMap<String, usize> = HashMap::new();
    for records in fleet.ledgers().plains {
        for call in records.calls {
            *runs.entry(call.id).or_default() += 1;
        }
    }
    let mut last: HashMap<Told, usize> = HashMap::new();
    let mut twice = Vec::new();
    let mut wrongly_not_run = Vec::new();
    let mut answered_without_run = Vec::new();
    for (id, told) in &placed {
        *last.entry(*told.last().expect("each order is sent")).or_default() += 1;
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            twice.push((id, told, count));
        }
        if count > 0 && told.iter().all(|one| matches!(one, Told::NotRun | Told::NotSent)) {
            wrongly_not_run.push((id, told));
        }
        if count == 0 && told.contains(&Told::Answered) {
            answered_without_run.push((id, told));
        }
    }
    let sent: usize = placed.iter().map(|(_, told)| told.len()).sum();
    println!("{} orders sent {sent} times, {} ran, {faults} faults", placed.len(), runs.len());
    println!("told last: {last:?}");
    assert!(placed.len() >= orders);
    assert!(twice.is_empty(), "ran twice: {twice:?}");
    assert!(wrongly_not_run.is_empty(), "said not run and ran: {wrongly_not_run:?}");
    assert!(answered_without_run.is_empty(), "answered and never ran: {answered_without_run:?}");
    assert!(answered * 1_000 >= ENQUIRIES * 999, "{answered} of {ENQUIRIES} enquiries answered");
}
