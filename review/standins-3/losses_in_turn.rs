//! Processes are killed one after the other while a tenant sends many times its usual.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The workspace's limit, in tokens.
const RATE_PER_S: f64 = 59_200.0;
const BURST: f64 = 59_200.0;
const WINDOW_S: f64 = 8.0;
/// `Token-Count` of each request, as on the sheet.
const TOKEN_COUNT: &str = "5200,71";
const TOKENS: f64 = 5_271.0;
/// What the tenant sends in a second: 4.2 times its rate (7.5 times its usual; limits are 1.8 times that).
const PER_S: u64 = 47;
const DEADLINE_MS: u64 = 1_000;
/// How often the tenant begins to send, for how long, and the pause before.
const ROUNDS: u64 = 3;
const LOAD_MS: u64 = 6_000;
const PAUSE_MS: u64 = 9_000;
/// When the first process is killed, after the tenant has begun to send, and the time to the next one.
const KILL_MS: u64 = 900;
const KILL_GAP_MS: u64 = 1_300;

#[derive(Default)]
struct Run {
    sent: f64,
    /// When the request arrived at the server that ran it.
    arrived: Option<f64>,
}

type Runs = Arc<Mutex<BTreeMap<String, Run>>>;

struct Desk {
    record: Arc<Record>,
    runs: Runs,
    work: Duration,
}

impl Work for Desk {
    fn answer(&self, stream: &mut TcpStream, message: Message) -> io::Result<Vec<u8>> {
        let (_, rest) = read_body(stream, &message, 16_384, Duration::ZERO)?;
        let id = message.header("attempt-id").to_string();
        self.record.note(&format!("server: runs {id}"));
        if let Some(run) = self.runs.lock().unwrap().get_mut(&id) {
            run.arrived.get_or_insert(self.record.at());
        }
        thread::sleep(self.work);
        stream.write_all(answer_head(&message, 800).as_bytes())?;
        stream.write_all(&[b'x'; 800])?;
        Ok(rest)
    }
}

fn call(address: SocketAddr, path: &str, id: &str, patience: Duration) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000))?;
    stream.set_read_timeout(Some(patience))?;
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nModel: m\r\n\
         Token-Count: {TOKEN_COUNT}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Authorization: Bearer key-of-shop\r\nContent-Length: 5\r\n\r\nhello"
    )?;
    let message = read_head(&mut stream, Vec::new())?;
    let message = message.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let mut body = Vec::new();
    let missing = message.length().unwrap_or(0).saturating_sub(message.rest.len());
    stream.take(missing as u64).read_to_end(&mut body)?;
    Ok(message.word(1).parse().unwrap_or(0))
}

/// Returns the most tokens that were sent and arrived at a server within one window, and its begin.
fn most_in_window(runs: &BTreeMap<String, Run>) -> (f64, f64) {
    let ran: Vec<_> = runs.values().filter_map(|run| Some((run.sent, run.arrived?))).collect();
    let in_window = |begin: f64| {
        let inside = |(sent, arrived): &&(f64, f64)| *sent >= begin && *arrived <= begin + WINDOW_S;
        ran.iter().filter(inside).count() as f64 * TOKENS
    };
    let windows = ran.iter().map(|(sent, _)| (in_window(*sent), *sent));
    windows.max_by(|one, other| one.0.total_cmp(&other.0)).unwrap_or_default()
}

fn main() {
    let record = Record::create();
    let configuration = format!(
        "{{\"Version\":7,\"RouteTable\":[{{\"Name\":\"r-1\",\"Host\":\"shop.example\",\
         \"PathPrefix\":\"/lookup/\",\"RouteType\":\"idempotent\",\"TimeoutMs\":{DEADLINE_MS},\
         \"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"desk\",\"Attempts\":2,\
         \"Anonymous\":false}}],\"Services\":[{{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\
         \"MaxConnections\":400,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"shop\",\"ApiKeys\":[\"key-of-shop\"],\
         \"Unit\":\"token_stream\",\"PlainTokens\":200,\"RatePerS\":{RATE_PER_S},\
         \"Burst\":{BURST}}}]}}"
    );
    let fleet = Fleet::start(3, Settings { memory_mb: 110, grace_s: 8 }, &configuration);
    let runs = Runs::default();
    for number in 1..=3 {
        let (record, runs) = (Arc::clone(&record), Arc::clone(&runs));
        let desk = Desk { record, runs, work: ms(30) };
        start_server(&fleet.store, number, "desk", 60, Arc::new(desk));
    }
    fleet.wait_until_ready();
    let is_over = Arc::new(AtomicBool::new(false));
    fleet.keep_running(&record, &is_over);
    let mut callers = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep(ms(PAUSE_MS));
        let start = Instant::now();
        let mut killed = 0;
        for number in 0..LOAD_MS * PER_S / 1_000 {
            let is_due = start.elapsed() >= ms(KILL_MS + killed * KILL_GAP_MS);
            if let Some(instance) =
                fleet.instances.get(killed as usize).filter(|_| is_due && has_trouble())
            {
                record.note(&format!("platform: {} is killed", instance.name));
                instance.signal("KILL");
                killed += 1;
            }
            let address = fleet.instances[number as usize % fleet.instances.len()].frontend();
            let (record, runs) = (Arc::clone(&record), Arc::clone(&runs));
            callers.push(thread::spawn(move || {
                let id = attempt_id();
                runs.lock().unwrap().insert(id.clone(), Run { sent: record.at(), arrived: None });
                record.note(&format!("caller: {id} sends {TOKEN_COUNT} tokens"));
                let end = match call(address, "/lookup/one", &id, ms(DEADLINE_MS)) {
                    Ok(status) => status.to_string(),
                    Err(failure) => failure.to_string(),
                };
                record.note(&format!("caller: {id} got {end}"));
            }));
            let next = start + ms((number + 1) * 1_000 / PER_S);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        record.note(&format!("round {} has ended", round + 1));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(ms(1_200));
    fleet.stop();
    let runs = runs.lock().unwrap();
    let (most, begin) = most_in_window(&runs);
    let allowed = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 110_000.0;
    let ran = runs.values().filter(|run| run.arrived.is_some()).count();
    record.say(&format!("requests: {} sent, {ran} run", runs.len()));
    record.say(&format!(
        "tokens sent and run in {WINDOW_S} s from {begin:.3}: {most}, allowed {allowed}"
    ));
    let is_broken = most > allowed;
    record.say(if is_broken { "QUOTA: broken" } else { "QUOTA: held" });
    record.flush();
    drop(runs);
    drop(fleet);
    std::process::exit(i32::from(is_broken));
}
