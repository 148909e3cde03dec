//! Servers that read long bodies slowly: what an instance holds for them counts toward its memory.

#[path = "common.rs"]
mod common;

use common::*;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The length of each body, within `MaxBodyBytes`.
const BODY_BYTES: usize = 3_800_000;
/// The requests a second at each instance: 11 MB of 125 that its link carries.
const PER_S: u64 = 3;
/// What a slow server reads of each body in a second.
const SLOW_BYTES_PER_S: usize = 300_000;
const DEADLINE_MS: u64 = 20_000;
const TRAFFIC_S: u64 = 50;

struct Archive {
    is_slow: Arc<AtomicBool>,
    record: Arc<Record>,
    name: Arc<Mutex<String>>,
}

impl Work for Archive {
    fn answer(&self, stream: &mut TcpStream, message: Message) -> io::Result<Vec<u8>> {
        let id = message.header("attempt-id").to_string();
        let name = self.name.lock().unwrap().clone();
        self.record.note(&format!("server: {name} begins to read {id}"));
        let (piece, pause) = if self.is_slow.load(Ordering::SeqCst) {
            (SLOW_BYTES_PER_S / 10, ms(100))
        } else {
            (262_144, Duration::ZERO)
        };
        let (length, rest) = match read_body(stream, &message, piece, pause) {
            Ok(read) => read,
            Err(failure) => {
                self.record.note(&format!("server: the body of {id} breaks off: {failure}"));
                return Err(failure);
            }
        };
        self.record.note(&format!("server: {name} runs {id}, body {length}"));
        thread::sleep(ms(20));
        stream.write_all(answer_head(&message, 800).as_bytes())?;
        stream.write_all(&[b'x'; 800])?;
        Ok(rest)
    }
}

fn call(address: SocketAddr, body: &[u8], id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000))
        .map_err(|_| io::Error::from(io::ErrorKind::NotConnected))?;
    stream.set_read_timeout(Some(ms(DEADLINE_MS)))?;
    write!(
        stream,
        "POST /import/sheet HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )?;
    stream.write_all(body)?;
    let Some(message) = read_head(&mut stream, Vec::new())? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let mut answer = Vec::new();
    let missing = message.length().unwrap_or(0).saturating_sub(message.rest.len());
    stream.take(missing as u64).read_to_end(&mut answer)?;
    Ok(message.word(1).parse().unwrap_or(0))
}

fn main() {
    let record = Record::create();
    let configuration = format!(
        "{{\"Version\":7,\"RouteTable\":[{{\"Name\":\"r-1\",\"Host\":\"shop.example\",\
         \"PathPrefix\":\"/import/\",\"RouteType\":\"non_idempotent\",\"TimeoutMs\":{DEADLINE_MS},\
         \"TargetLatencyMs\":1000,\"Priority\":2,\"Service\":\"app\",\"Attempts\":1,\
         \"Anonymous\":false,\"Sticky\":false}}],\
         \"Services\":[{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":400,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    let fleet = Fleet::start(2, Settings { memory_mb: 110, grace_s: 8 }, &configuration);
    let is_slow = Arc::new(AtomicBool::new(false));
    for number in 1..=3 {
        let name = Arc::new(Mutex::new(String::new()));
        let (is_slow, record) = (Arc::clone(&is_slow), Arc::clone(&record));
        let work = Arc::new(Archive { is_slow, record, name: Arc::clone(&name) });
        *name.lock().unwrap() = start_server(&fleet.store, number, "app", 64, work).0;
    }
    fleet.wait_until_ready();
    let is_over = Arc::new(AtomicBool::new(false));
    fleet.keep_running(&record, &is_over);
    let body: Arc<[u8]> = vec![b'y'; BODY_BYTES].into();
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let start = Instant::now();
    let mut callers = Vec::new();
    for turn in 0..TRAFFIC_S * PER_S {
        if turn == 5 * PER_S && has_trouble() {
            record.note("the servers read slowly from now on");
            is_slow.store(true, Ordering::SeqCst);
        }
        for instance in &fleet.instances {
            let (record, counts, body) =
                (Arc::clone(&record), Arc::clone(&counts), Arc::clone(&body));
            let (address, name) = (instance.frontend(), instance.name.clone());
            callers.push(thread::spawn(move || {
                let id = attempt_id();
                record.note(&format!("caller: {id} sent to {name}"));
                let (end, kind) = match call(address, &body, &id) {
                    Ok(200) => ("200".to_string(), 0),
                    Ok(status) => (status.to_string(), 1),
                    Err(failure) if failure.kind() == io::ErrorKind::NotConnected => {
                        ("no connection".to_string(), 1)
                    }
                    Err(failure) => (format!("no answer: {failure}"), 2),
                };
                counts[kind].fetch_add(1, Ordering::SeqCst);
                record.note(&format!("caller: {id} got {end}"));
            }));
        }
        let next = start + ms((turn + 1) * 1_000 / PER_S);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    is_over.store(true, Ordering::SeqCst);
    // A process that the platform would start again now stays down.
    thread::sleep(ms(1_200));
    let ends: Vec<_> = fleet.instances.iter().map(|it| it.ends.load(Ordering::SeqCst)).collect();
    fleet.stop();
    for caller in callers {
        let _ = caller.join();
    }
    let [answered, refused, lost] = &*counts;
    record.say(&format!(
        "requests: {} answered with 200, {} refused or without a connection, {} ended without an answer",
        answered.load(Ordering::SeqCst),
        refused.load(Ordering::SeqCst),
        lost.load(Ordering::SeqCst)
    ));
    record.say(&format!("processes that ended by themselves, by instance: {ends:?}"));
    let is_broken = ends.iter().filter(|ends| **ends >= 3).count() >= 2;
    record.say(if is_broken { "Fault: broken" } else { "Fault: held" });
    record.flush();
    drop(fleet);
    std::process::exit(i32::from(is_broken));
}
