//! Callers that read nothing of an answer for some seconds, and then go on.

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
use std::thread;
use std::time::Duration;

const ANSWER_BYTES: usize = 3_000_000;
/// How long a caller reads nothing; its deadline is four times as far.
const STALL_MS: u64 = 5_000;
const DEADLINE_MS: u64 = 20_000;
const CALLERS: u64 = 20;
const ROUNDS: u64 = 3;

struct Export {
    record: Arc<Record>,
}

impl Work for Export {
    fn answer(&self, stream: &mut TcpStream, message: Message) -> io::Result<Vec<u8>> {
        let (_, rest) = read_body(stream, &message, 16_384, Duration::ZERO)?;
        let id = message.header("attempt-id");
        self.record.note(&format!("server: runs {id}"));
        thread::sleep(ms(30));
        stream.write_all(answer_head(&message, ANSWER_BYTES).as_bytes())?;
        stream.write_all(&vec![b'x'; ANSWER_BYTES])?;
        Ok(rest)
    }
}

/// How a request ended.
enum End {
    Whole,
    Status(u16),
    Cut(usize, String),
}

fn exchange(stream: &mut TcpStream, id: &str, stall: Duration) -> io::Result<End> {
    write!(
        stream,
        "POST /export/one HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\nhello"
    )?;
    thread::sleep(stall);
    let message = read_head(stream, Vec::new())?;
    let message = message.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let length = message.length().unwrap_or(0);
    let mut read = message.rest.len();
    let mut buffer = [0; 16_384];
    while read < length {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(End::Cut(read, "closed".to_string())),
            Ok(more) => read += more,
            Err(failure) => return Ok(End::Cut(read, failure.to_string())),
        }
    }
    Ok(match message.word(1) {
        "200" => End::Whole,
        other => End::Status(other.parse().unwrap_or(0)),
    })
}

/// Keeps a connection and sends requests on it, one after the other.
fn call(number: u64, address: SocketAddr, record: &Record, cut: &Mutex<u64>, whole: &Mutex<u64>) {
    let mut kept = None;
    for round in 0..ROUNDS * 2 {
        let mut stream = match kept.take().map_or_else(|| TcpStream::connect(address), Ok) {
            Ok(stream) => stream,
            Err(failure) => {
                record.note(&format!("caller {number}: no connection: {failure}"));
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(DEADLINE_MS)));
        // Every second request of a connection is the one whose answer is read late.
        let is_kept = round % 2 == 1;
        let stall = ms(if is_kept && has_trouble() { STALL_MS } else { 0 });
        let id = attempt_id();
        record.note(&format!("caller {number}: {id} sent, kept connection: {is_kept}"));
        let end = exchange(&mut stream, &id, stall);
        let text = match &end {
            Ok(End::Whole) => "200, whole".to_string(),
            Ok(End::Status(status)) => status.to_string(),
            Ok(End::Cut(read, why)) => format!("200, cut after {read} bytes: {why}"),
            Err(failure) => format!("no answer: {failure}"),
        };
        record.note(&format!("caller {number}: {id} got {text}"));
        match end {
            Ok(End::Whole) => {
                *whole.lock().unwrap() += 1;
                kept = Some(stream);
            }
            Ok(End::Status(_)) => kept = Some(stream),
            Ok(End::Cut(..)) | Err(_) if is_kept => *cut.lock().unwrap() += 1,
            Ok(End::Cut(..)) | Err(_) => {}
        }
    }
}

fn main() {
    let record = Record::create();
    let configuration = format!(
        "{{\"Version\":7,\"RouteTable\":[{{\"Name\":\"r-1\",\"Host\":\"shop.example\",\
         \"PathPrefix\":\"/export/\",\"RouteType\":\"non_idempotent\",\"TimeoutMs\":{DEADLINE_MS},\
         \"TargetLatencyMs\":1000,\"Priority\":2,\"Service\":\"app\",\"Attempts\":1,\
         \"Anonymous\":false,\"Sticky\":false}}],\
         \"Services\":[{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConnections\":400,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    );
    let fleet = Fleet::start(2, Settings { memory_mb: 110, grace_s: 8 }, &configuration);
    for number in 1..=3 {
        let work = Arc::new(Export { record: Arc::clone(&record) });
        start_server(&fleet.store, number, "app", 16, work);
    }
    fleet.wait_until_ready();
    let (cut, whole) = (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let address = fleet.instances[number as usize % fleet.instances.len()].frontend();
            let record = Arc::clone(&record);
            let (cut, whole) = (Arc::clone(&cut), Arc::clone(&whole));
            thread::spawn(move || call(number, address, &record, &cut, &whole))
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    fleet.stop();
    let (cut, whole) = (*cut.lock().unwrap(), *whole.lock().unwrap());
    record
        .say(&format!("requests: {whole} answered as a whole, {cut} on kept connections cut off"));
    let is_broken = cut > 3;
    record.say(if is_broken { "LOST: broken" } else { "LOST: held" });
    record.flush();
    drop(fleet);
    std::process::exit(i32::from(is_broken));
}
