//! A client: one request a connection, read to its end or until the client gives up.

use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// The time that a client allows for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a client.
#[derive(Clone)]
pub struct Call {
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub deadline: Duration,
    /// The longest time without a byte of the answer before the client gives up.
    pub patience: Duration,
}

/// How an attempt has ended for the client.
#[derive(Clone, Debug, Default)]
pub struct End {
    /// The status, if a head was received.
    pub status: Option<u16>,
    /// Whether the whole answer was received.
    pub is_whole: bool,
    /// The ids of the events that were received.
    pub events: Vec<u64>,
    /// Whether the other side has closed or reset the connection before the answer was whole.
    pub is_cut: bool,
    /// The time from the last byte that was sent to the end.
    pub after_sent: Duration,
}

impl End {
    /// Returns whether the client has the whole answer of a server.
    pub fn is_served(&self) -> bool {
        self.is_whole && self.status == Some(200)
    }

    fn describe(&self) -> String {
        let status = self.status.map_or("no status".to_string(), |status| status.to_string());
        let whole = match (self.is_whole, self.is_cut) {
            (true, _) => "whole",
            (false, true) => "the connection was closed",
            (false, false) => "the client gave up",
        };
        let (events, after) = (self.events.len(), self.after_sent.as_millis());
        format!("{status}, {whole}, {events} events, {after} ms after it was sent")
    }
}

/// Returns the status of a plain query without a key.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CONNECT_TIMEOUT)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    let (first, _) = http::read_head(&mut BufReader::new(stream))?;
    first.split(' ').nth(1)?.parse().ok()
}

/// Returns a new id of an attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Connects to an instance.
pub fn connect(to: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a connection of its own and reads its answer.
pub fn send(call: &Call, to: SocketAddr, record: &Record) -> End {
    let id = new_id();
    match connect(to) {
        Ok(stream) => send_on(call, &id, stream, record),
        Err(failure) => {
            record.line(&format!("client: {id} not sent to {to}: {failure}"));
            End::default()
        }
    }
}

/// Sends a request on a connection and reads its answer.
pub fn send_on(call: &Call, id: &str, mut stream: TcpStream, record: &Record) -> End {
    let mut end = End::default();
    let to = stream.peer_addr().map_or(String::new(), |address| address.to_string());
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n",
        call.method,
        call.path,
        call.host,
        call.deadline.as_millis()
    );
    for (name, value) in &call.headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !call.body.is_empty() {
        head += &format!("Content-Length: {}\r\n", call.body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&call.body);
    let _ = stream.set_write_timeout(Some(call.deadline));
    record.line(&format!("client: {id} {} {} sent to {to}", call.method, call.path));
    if stream.write_all(&bytes).is_err() {
        end.is_cut = true;
        record.line(&format!("client: {id} could not be sent whole"));
        return end;
    }
    let sent = Instant::now();
    read(&mut end, call, stream, sent);
    end.after_sent = sent.elapsed();
    record.line(&format!("client: {id} ends: {}", end.describe()));
    end
}

/// Reads an answer; leaves `is_whole` false if it is cut or the client gives up.
fn read(end: &mut End, call: &Call, stream: TcpStream, sent: Instant) {
    let timeout = || call.patience.min(call.deadline.saturating_sub(sent.elapsed()));
    let wait = timeout().max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(wait));
    let Ok(socket) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    // A timeout of the read is the end of the client's patience; all else is a cut.
    match reader.fill_buf() {
        Ok(bytes) if bytes.is_empty() => {
            end.is_cut = true;
            return;
        }
        Ok(_) => {}
        Err(failure) => {
            end.is_cut = !is_timeout(&failure);
            return;
        }
    }
    let Some((first, headers)) = http::read_head(&mut reader) else {
        end.is_cut = true;
        return;
    };
    end.status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let header = |name: &str| {
        let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone())
    };
    if let Some(length) = header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        match reader.read_exact(&mut body) {
            Ok(()) => end.is_whole = true,
            Err(failure) => end.is_cut = !is_timeout(&failure),
        }
        return;
    }
    loop {
        let wait = timeout().max(Duration::from_millis(1));
        let _ = socket.set_read_timeout(Some(wait));
        match read_chunk(&mut reader) {
            Ok(chunk) if chunk.is_empty() => {
                end.is_whole = true;
                return;
            }
            Ok(chunk) => {
                let text = String::from_utf8_lossy(&chunk);
                let ids = text.split(['\r', '\n']).filter_map(|line| line.strip_prefix("id:"));
                end.events.extend(ids.filter_map(|id| id.trim().parse::<u64>().ok()));
            }
            Err(failure) => {
                end.is_cut = !is_timeout(&failure);
                return;
            }
        }
    }
}

fn is_timeout(failure: &std::io::Error) -> bool {
    matches!(failure.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

fn read_chunk(reader: &mut BufReader<TcpStream>) -> std::io::Result<Vec<u8>> {
    let cut = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| cut())?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}
