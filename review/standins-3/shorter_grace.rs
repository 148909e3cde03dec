//! The time between SIGTERM and SIGKILL becomes shorter in the settings of a running instance.

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

const CALLERS: u64 = 400;
const WORK_MS: u64 = 1_200;
const DEADLINE_MS: u64 = 6_000;
const CHANGE_S: u64 = 5;
const TERM_S: u64 = 14;
const LONG_GRACE_S: u64 = 8;
const SHORT_GRACE_S: u64 = 4;

#[derive(Default)]
struct Run {
    machine: usize,
    sent: f64,
    began: Option<f64>,
    worked_until: Option<f64>,
    /// When the answer was whole, or the connection ended without.
    ended: Option<(f64, bool)>,
}

type Runs = Arc<Mutex<BTreeMap<String, Run>>>;

struct Desk {
    record: Arc<Record>,
    runs: Runs,
}

impl Work for Desk {
    fn answer(&self, stream: &mut TcpStream, message: Message) -> io::Result<Vec<u8>> {
        let (_, rest) = read_body(stream, &message, 16_384, Duration::ZERO)?;
        let id = message.header("attempt-id").to_string();
        self.record.note(&format!("server: runs {id}"));
        if let Some(run) = self.runs.lock().unwrap().get_mut(&id) {
            run.began = Some(self.record.at());
        }
        thread::sleep(ms(WORK_MS));
        if let Some(run) = self.runs.lock().unwrap().get_mut(&id) {
            run.worked_until = Some(self.record.at());
        }
        stream.write_all(answer_head(&message, 800).as_bytes())?;
        stream.write_all(&[b'x'; 800])?;
        Ok(rest)
    }
}

/// Asks where to connect; returns the addresses and for how long they may be used.
fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, f64)> {
    let mut stream = TcpStream::connect_timeout(&directory, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    write!(
        stream,
        "GET /-/resolve?Name=shop.example&Region=r&Zone=a HTTP/1.1\r\nHost: {directory}\r\n\
         Connection: close\r\n\r\n"
    )
    .ok()?;
    let message = read_head(&mut stream, Vec::new()).ok()??;
    let mut body = message.rest.clone();
    let missing = message.length()?.saturating_sub(body.len());
    stream.take(missing as u64).read_to_end(&mut body).ok()?;
    let text = String::from_utf8_lossy(&body).into_owned();
    let addresses = text.split("\"Addresses\":[").nth(1)?.split(']').next()?;
    let addresses = addresses.split(',').filter_map(|it| it.trim_matches('"').parse().ok());
    let addresses: Vec<_> = addresses.collect();
    let ttl = text.split("\"TtlS\":").nth(1)?.trim_end_matches('}').parse().ok()?;
    (!addresses.is_empty()).then_some((addresses, f64::min(ttl, 5.0)))
}

fn exchange(stream: &mut TcpStream, id: &str, record: &Record, runs: &Runs) -> io::Result<u16> {
    write!(
        stream,
        "POST /book/one HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\nhello"
    )?;
    if let Some(run) = runs.lock().unwrap().get_mut(id) {
        run.sent = record.at();
    }
    let message = read_head(stream, Vec::new())?;
    let message = message.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let mut body = message.rest.clone();
    let missing = message.length().unwrap_or(0).saturating_sub(body.len());
    stream.take(missing as u64).read_to_end(&mut body)?;
    if body.len() < message.length().unwrap_or(0) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if message.header("connection").eq_ignore_ascii_case("close") {
        return Err(io::Error::other("closed after a whole answer"));
    }
    Ok(message.word(1).parse().unwrap_or(0))
}

/// A caller that keeps its connection and the addresses as the pages tell. One of four opens a new
/// connection for each request and keeps the addresses three times as long.
fn call(
    number: u64,
    fleet: &[(SocketAddr, SocketAddr)],
    record: &Record,
    runs: &Runs,
    is_over: &AtomicBool,
) {
    let mut draw = number << 32;
    let mut next = || {
        draw = draw.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (draw ^ (draw >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed >> 33) as usize
    };
    // Callers come one after the other, and so do their questions for addresses.
    thread::sleep(ms(number * 4_200 / CALLERS));
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut valid_until = Instant::now();
    let keeps_addresses = number % 4 == 0;
    let mut connection: Option<(SocketAddr, TcpStream)> = None;
    let mut failed: Option<SocketAddr> = None;
    while !is_over.load(Ordering::SeqCst) {
        if Instant::now() >= valid_until {
            let asked = next() % fleet.len();
            let found =
                (0..fleet.len()).find_map(|it| resolve(fleet[(asked + it) % fleet.len()].1));
            if let Some((new, ttl)) = found {
                let stretch = if keeps_addresses { 3.0 } else { 1.0 };
                valid_until = Instant::now() + Duration::from_secs_f64(ttl * stretch);
                addresses = new;
                failed = None;
            }
        }
        if connection.as_ref().is_some_and(|(address, _)| !addresses.contains(address)) {
            connection = None;
        }
        if connection.is_none() {
            let usable: Vec<_> =
                addresses.iter().copied().filter(|it| Some(*it) != failed).collect();
            let Some(address) = usable.get(next() % usable.len().max(1)).copied() else {
                valid_until = Instant::now();
                thread::sleep(ms(50));
                continue;
            };
            match TcpStream::connect_timeout(&address, ms(1_000)) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(ms(DEADLINE_MS)));
                    connection = Some((address, stream));
                }
                Err(_) => {
                    failed = Some(address);
                    continue;
                }
            }
        }
        let Some((address, stream)) = connection.as_mut() else { continue };
        let machine = fleet.iter().position(|it| it.0 == *address).unwrap_or(0);
        let id = attempt_id();
        runs.lock().unwrap().insert(id.clone(), Run { machine, ..Run::default() });
        record.note(&format!("caller {number}: {id} sent to machine {}", machine + 1));
        let result = exchange(stream, &id, record, runs);
        let closes = result.as_ref().is_err_and(|it| it.to_string().starts_with("closed after"));
        let is_whole = result.is_ok() || closes;
        let end = match &result {
            Ok(status) => format!("{status}"),
            Err(failure) => failure.to_string(),
        };
        record.note(&format!("caller {number}: {id} got {end}"));
        if let Some(run) = runs.lock().unwrap().get_mut(&id) {
            run.ended = Some((record.at(), is_whole));
        }
        if keeps_addresses {
            connection = None;
        } else if result.is_err() {
            failed = (!is_whole).then_some(*address);
            connection = None;
        }
        thread::sleep(ms(50 + next() as u64 % 200));
    }
}

fn main() {
    let record = Record::create();
    let configuration = format!(
        "{{\"Version\":7,\"RouteTable\":[{{\"Name\":\"r-1\",\"Host\":\"shop.example\",\
         \"PathPrefix\":\"/book/\",\"RouteType\":\"non_idempotent\",\"TimeoutMs\":{DEADLINE_MS},\
         \"TargetLatencyMs\":1500,\"Priority\":2,\"Service\":\"app\",\"Attempts\":1,\
         \"Anonymous\":false,\"Sticky\":false}}],\
         \"Services\":[{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":400,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    let first_grace_s = std::env::var("GRACE_AT_START").ok().and_then(|it| it.parse().ok());
    let settings = Settings { memory_mb: 110, grace_s: first_grace_s.unwrap_or(LONG_GRACE_S) };
    let fleet = Fleet::start(2, settings.clone(), &configuration);
    let runs = Runs::default();
    for number in 1..=3 {
        let desk = Desk { record: Arc::clone(&record), runs: Arc::clone(&runs) };
        start_server(&fleet.store, number, "app", 160, Arc::new(desk));
    }
    fleet.wait_until_ready();
    let is_over = Arc::new(AtomicBool::new(false));
    let machines: Vec<_> =
        fleet.instances.iter().map(|it| (it.frontend(), it.directory())).collect();
    let start = Instant::now();
    let wait_until =
        |at: Duration| thread::sleep((start + at).saturating_duration_since(Instant::now()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (machines, record) = (machines.clone(), Arc::clone(&record));
            let (runs, is_over) = (Arc::clone(&runs), Arc::clone(&is_over));
            thread::spawn(move || call(number, &machines, &record, &runs, &is_over))
        })
        .collect();
    let machine = &fleet.instances[0];
    let mut grace_s = settings.grace_s;
    wait_until(ms(CHANGE_S * 1_000));
    if has_trouble() {
        grace_s = SHORT_GRACE_S;
        let changed = Settings { grace_s, ..settings };
        machine.configure(fleet.store_address, &fleet.seeds(), &changed);
        machine.signal("HUP");
        record.note("platform: GraceS of machine 1 is 4, SIGHUP");
    }
    wait_until(ms(TERM_S * 1_000));
    let term = record.at();
    machine.signal("TERM");
    record.note("platform: SIGTERM to machine 1");
    let kill = Instant::now() + ms(grace_s * 1_000);
    while Instant::now() < kill && !machine.has_ended() {
        thread::sleep(ms(10));
    }
    let has_ended = machine.has_ended();
    machine.kill();
    record.note(&format!(
        "platform: machine 1 {}",
        if has_ended { "has ended by itself" } else { "gets SIGKILL after GraceS" }
    ));
    wait_until(ms((TERM_S + LONG_GRACE_S + 3) * 1_000));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    fleet.stop();
    let grace = grace_s as f64;
    let (mut answered, mut lost, mut excused) = (0, Vec::new(), 0);
    for (id, run) in &*runs.lock().unwrap() {
        let Some((ended, is_whole)) = run.ended else { continue };
        if is_whole {
            answered += 1;
            continue;
        }
        let is_planned = run.machine == 0 && ended >= term && run.sent <= term + grace + 1.0;
        let Some(began) = run.began.filter(|_| is_planned) else { continue };
        let is_at_work = began <= term + grace
            && run.worked_until.is_none_or(|it| it >= term + grace * 5.0 / 6.0);
        if is_at_work && run.sent <= term + 3.0 {
            excused += 1;
            continue;
        }
        lost.push(format!("{id} sent {:.3} s after SIGTERM", run.sent - term));
    }
    for line in &lost {
        record.note(&format!("judge: no answer although a server has it: {line}"));
    }
    record.say(&format!(
        "requests: {answered} answered, {} passed on and never answered, {excused} more excused",
        lost.len()
    ));
    record.say(if lost.is_empty() { "LOST: held" } else { "LOST: broken" });
    record.flush();
    drop(fleet);
    std::process::exit(i32::from(!lost.is_empty()));
}
