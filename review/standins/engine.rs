//! A model server that reads prompts (`prefill`) or streams (`decode`).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// Prompt tokens that a prefill server reads in a millisecond; a decode server reads half of it.
const PREFILL_TOKENS_PER_MS: f64 = 55.5;

/// How long a prompt that was read is kept for another server.
const HOLD: Duration = Duration::from_millis(500);

static NEXT_HANDLE: AtomicU64 = AtomicU64::new(1);

/// The prompts that were read for other servers, by address and handle.
pub type Handles = Arc<Mutex<BTreeSet<String>>>;

/// What a server is.
#[derive(Clone)]
pub struct Shape {
    pub id: String,
    pub is_prefill: bool,
    pub slots: u32,
    /// The memory for prompts and answers, in tokens.
    pub capacity: u64,
    /// The time between two events, each with one token.
    pub pause: Duration,
    /// What ends the lines of events.
    pub line_end: &'static str,
}

#[derive(Default)]
struct State {
    active: u32,
    used: u64,
    /// The connections of the requests in progress, by attempt.
    connections: BTreeMap<String, TcpStream>,
}

/// A running server.
#[derive(Clone)]
pub struct Engine {
    shape: Shape,
    handles: Handles,
    record: Record,
    state: Arc<Mutex<State>>,
    /// Prompts are read one after another.
    reading: Arc<Mutex<()>>,
    address: Arc<Mutex<String>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    /// Starts a server and returns it with its address.
    pub fn start(
        shape: Shape,
        address: SocketAddr,
        handles: &Handles,
        record: &Record,
    ) -> std::io::Result<(Self, SocketAddr)> {
        let engine = Self {
            shape,
            handles: Arc::clone(handles),
            record: record.clone(),
            state: Arc::default(),
            reading: Arc::default(),
            address: Arc::default(),
        };
        let serving = engine.clone();
        let address =
            http::serve(address, move |request, stream| serving.answer(&request, stream))?;
        *lock(&engine.address) = address.to_string();
        Ok((engine, address))
    }

    /// Returns the requests that the server works on.
    pub fn active(&self) -> u32 {
        lock(&self.state).active
    }

    /// Returns the connection of an attempt in progress.
    pub fn connection(&self, attempt: &str) -> Option<TcpStream> {
        lock(&self.state).connections.get(attempt)?.try_clone().ok()
    }

    fn answer(&self, request: &http::Request, stream: &mut TcpStream) -> bool {
        match (request.method.as_str(), request.path()) {
            ("DELETE", path) if path.starts_with("/-/kv-handle/") => {
                let handle = path.trim_start_matches("/-/kv-handle/");
                let key = format!("{}/{handle}", lock(&self.address));
                lock(&self.handles).remove(&key);
                http::answer(stream, "200 OK", &[], b"")
            }
            ("GET", "/-/kv-list") => {
                let list = br#"{"epoch":1,"NextToken":"0","held":[]}"#;
                http::answer(stream, "200 OK", &[("Content-Type", "application/json")], list)
            }
            _ => self.take(request, stream),
        }
    }

    fn take(&self, request: &http::Request, stream: &mut TcpStream) -> bool {
        let id = &self.shape.id;
        let attempt = request.header("attempt-id").unwrap_or_default().to_string();
        let is_prefill = request.header("stage") == Some("prefill");
        let is_other = request.header("expect-instance").is_some_and(|expected| expected != id);
        if is_other || is_prefill != self.shape.is_prefill {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
            return http::answer(stream, "421 Misdirected Request", &headers, b"");
        }
        let counts = request.header("token-count").unwrap_or("200,50");
        let (prompt, output) = counts.split_once(',').unwrap_or((counts, "50"));
        let prompt: u64 = prompt.trim().parse().unwrap_or(200);
        let output: u64 = output.trim().parse().unwrap_or(50);
        let source = request.header("kv-source").map(str::to_string);
        let is_gone = source.as_ref().is_some_and(|it| !lock(&self.handles).remove(it));
        let tokens = if is_prefill { prompt } else { prompt + output };
        let is_full = {
            let mut state = lock(&self.state);
            let is_full =
                state.active >= self.shape.slots || state.used + tokens > self.shape.capacity;
            if !is_full && !is_gone {
                state.active += 1;
                state.used += tokens;
                if let Ok(stream) = stream.try_clone() {
                    state.connections.insert(attempt.clone(), stream);
                }
            }
            is_full
        };
        if is_full || is_gone {
            let why = if is_gone { "the memory is gone" } else { "full" };
            self.record.line(&format!("engine {id}: {attempt} rejected, {why}"));
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
            return http::answer(stream, "503 Service Unavailable", &headers, b"");
        }
        let stays_open = if is_prefill {
            self.read_apart(&attempt, prompt, stream)
        } else {
            self.stream(request, &attempt, (prompt, output), source.is_some(), stream)
        };
        let mut state = lock(&self.state);
        state.active -= 1;
        state.used -= tokens;
        state.connections.remove(&attempt);
        stays_open
    }

    fn read_prompt(&self, tokens: u64, tokens_per_ms: f64) {
        let _reading = lock(&self.reading);
        thread::sleep(Duration::from_secs_f64(tokens as f64 / tokens_per_ms / 1_000.0));
    }

    fn read_apart(&self, attempt: &str, prompt: u64, stream: &mut TcpStream) -> bool {
        let id = &self.shape.id;
        self.record.line(&format!("engine {id}: {attempt} reads a prompt of {prompt} tokens"));
        self.read_prompt(prompt, PREFILL_TOKENS_PER_MS);
        let handle = format!("{:012x}", NEXT_HANDLE.fetch_add(1, Ordering::Relaxed));
        let key = format!("{}/{handle}", lock(&self.address));
        lock(&self.handles).insert(key.clone());
        let handles = Arc::clone(&self.handles);
        thread::spawn(move || {
            thread::sleep(HOLD);
            lock(&handles).remove(&key);
        });
        let body = format!("{{\"KvHandle\":\"{handle}\",\"Tokens\":{prompt},\"Version\":1}}");
        let headers = [("Attempt-Id", attempt), ("Content-Type", "application/json")];
        http::answer(stream, "200 OK", &headers, body.as_bytes())
    }

    fn stream(
        &self,
        request: &http::Request,
        attempt: &str,
        (prompt, output): (u64, u64),
        is_moved: bool,
        stream: &mut TcpStream,
    ) -> bool {
        let id = &self.shape.id;
        if !is_moved {
            self.read_prompt(prompt, PREFILL_TOKENS_PER_MS / 2.0);
        }
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.record.line(&format!("engine {id}: {attempt} runs from event {}", after + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut written = stream.write_all(head.as_bytes());
        for number in after + 1..=output {
            thread::sleep(self.shape.pause);
            let end = self.shape.line_end;
            let event = format!("id: {number}{end}data: {attempt} piece {number}{end}{end}");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            written = written.and_then(|()| stream.write_all(chunk.as_bytes()));
            if written.is_err() {
                self.record.line(&format!("engine {id}: {attempt} is dropped at event {number}"));
                return false;
            }
        }
        let is_ended = stream.write_all(b"0\r\n\r\n").is_ok();
        self.record.line(&format!("engine {id}: {attempt} has run to its end"));
        is_ended
    }
}

/// Resets a connection.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd as _;

    #[repr(C)]
    struct Linger {
        is_on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32)
        -> i32;
        fn connect(socket: i32, address: *const u16, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { is_on: 1, seconds: 0 };
    let unspecified = [0_u16; 8];
    // SAFETY: both calls read the given values only, which live until they return. Connecting to an
    // unspecified address disconnects the socket; with a linger time of zero it is reset.
    unsafe {
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &raw const linger, 8);
        connect(stream.as_raw_fd(), unspecified.as_ptr(), 16);
    }
}
