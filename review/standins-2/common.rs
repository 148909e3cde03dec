//! Stand-ins for the users' platform, plain servers and clients, after PROTOCOL.md and DEPLOY.md of the
//! users' pages. Everything listens on loopback addresses.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The answer time of the store.
const STORE_ANSWER: Duration = Duration::from_millis(4);

/// The interval at which servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// A random-looking number, for ids.
pub fn draw() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut x = unix_ms() as u64 ^ (u64::from(std::process::id()) << 32);
    x ^= NEXT.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^ (x >> 33)
}

/// A request or a response.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn open(to: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&to, timeout)?))
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut buffer = [0; 16_384];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a whole message; one without a length has no body.
    pub fn read(&mut self) -> std::io::Result<Message> {
        let first_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let mut message = Message { first_line, headers, body: Vec::new() };
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                message.body.extend(chunk);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn respond(connection: &mut Connection, status: u16, body: &[u8]) -> std::io::Result<()> {
    let kind = if status == 200 { "application/octet-stream" } else { "application/json" };
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.write(&[head.as_bytes(), body].concat())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits =
            (u32::from(padded[0]) << 16) | (u32::from(padded[1]) << 8) | u32::from(padded[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The platform's store: topics with one partition each.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.listen(address);
        store
    }

    /// Serves the store at an address until the returned flag is set.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> Arc<AtomicBool> {
        let is_closed = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(address).expect("store address");
        listener.set_nonblocking(true).expect("store address");
        let (store, flag) = (Arc::clone(self), Arc::clone(&is_closed));
        thread::spawn(move || {
            while !flag.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (store, flag) = (Arc::clone(&store), Arc::clone(&flag));
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read() {
                        let (status, body) = store.answer(&request);
                        thread::sleep(STORE_ANSWER);
                        let is_closed = flag.load(Ordering::Relaxed);
                        if is_closed || respond(&mut connection, status, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        is_closed
    }

    /// Writes a record as the operator or a server does; the return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.topics.lock().unwrap().entry(topic.to_string()).or_default().push(record);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.first_line.split(' ').nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("Topic").copied().unwrap_or("").to_string();
        match path {
            "/-/log-newest" => (200, self.newest(&topic)),
            "/-/log-read" => self.read(&topic, &query),
            "/-/log-append" => self.append(&topic, query.get("At").copied(), &request.body),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<_> = items
            .into_iter()
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value))
            })
            .collect();
        let end = records.len();
        format!("{{\"items\":[{}],\"HasMore\":false,\"EndOffset\":{end}}}", items.join(",")).into()
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let number = |name| query.get(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (from, wait) = (number("Source") as usize, Duration::from_millis(number("WaitMs")));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let count = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if count > from || left.is_zero() {
                let mut body = (count as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                let records = topics.get(topic).map(Vec::as_slice).unwrap_or_default();
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return (200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, topic: &str, at: Option<&str>, mut body: &[u8]) -> (u16, Vec<u8>) {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, b"{}".to_vec());
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_string()).or_default();
        let first = records.len();
        if at.is_some_and(|at| at != first.to_string()) {
            return (412, format!("{{\"EndOffset\":{first}}}").into());
        }
        while body.len() >= 4 {
            let length = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        self.changed.notify_all();
        (200, format!("{{\"Offset\":{first},\"EndOffset\":{end}}}").into())
    }
}

/// A request that a server has begun to work on.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    pub server: String,
    pub service: String,
    pub path: String,
    pub tenant: String,
}

/// A plain server: it runs `slots` requests at once, queues some and rejects the rest.
pub struct PlainServer {
    pub id: String,
    service: String,
    slots: usize,
    queue: usize,
    work: Duration,
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl PlainServer {
    pub fn start(
        store: &Arc<Store>,
        service: &str,
        zone: &str,
        address: SocketAddr,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> (String, u128) {
        let id = format!("i-{:08x}", draw() as u32);
        let server = Arc::new(Self {
            id: id.clone(),
            service: service.to_string(),
            slots: 6,
            queue: 24,
            work,
            load: Mutex::new((0, 0)),
            freed: Condvar::new(),
            runs: Arc::clone(runs),
        });
        let listener = TcpListener::bind(address).expect("server address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read() {
                        if server.serve(&mut connection, &request).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let (store, service, zone) = (Arc::clone(store), service.to_string(), zone.to_string());
        let born = unix_ms();
        let key = id.clone();
        thread::spawn(move || {
            // A server without orders has accepted none: its `Sequence` stays 0.
            let entry = entry(&service, address, &zone, born, Some(0));
            loop {
                store.put("keyed.servers", &key, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        (id, born)
    }

    fn serve(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or("").to_string();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let id = &self.id;
            let head = format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\n");
            return connection.write(format!("{head}Content-Length: 0\r\n\r\n").as_bytes());
        }
        {
            let mut load = self.load.lock().unwrap();
            if load.0 >= self.slots && load.1 >= self.queue {
                let head = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n";
                let text = format!("{head}Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n");
                return connection.write(text.as_bytes());
            }
            load.1 += 1;
            while load.0 >= self.slots {
                load = self.freed.wait(load).unwrap();
            }
            load.1 -= 1;
            load.0 += 1;
        }
        let tenant = request.header("tenant").unwrap_or("").to_string();
        let path = request.first_line.split(' ').nth(1).unwrap_or("").to_string();
        let run = Run {
            id: attempt.clone(),
            at: Instant::now(),
            server: self.id.clone(),
            service: self.service.clone(),
            path,
            tenant,
        };
        self.runs.lock().unwrap().push(run);
        thread::sleep(self.work);
        let (running, waiting) = {
            let mut load = self.load.lock().unwrap();
            load.0 -= 1;
            *load
        };
        self.freed.notify_one();
        let (id, slots) = (&self.id, self.slots);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}.{attempt}\r\n\
             Server-Load: {running},{waiting},{slots}\r\nContent-Length: 800\r\n\r\n"
        );
        connection.write(&[head.as_bytes(), &[b'x'; 800]].concat())
    }
}

/// Returns the entry of a plain server; without `sequence` that field is missing.
pub fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    born: u128,
    sequence: Option<u32>,
) -> String {
    let sequence = sequence.map_or(String::new(), |it| format!(",\"Sequence\":{it}"));
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
         \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0{sequence},\
         \"born\":{born}}}"
    )
}

/// The figures of a deployment that the settings of its processes name.
pub struct Site {
    pub port: u16,
    pub net: u8,
    pub zones: Vec<&'static str>,
    pub store: SocketAddr,
}

impl Site {
    /// Chooses loopback addresses and ports that are free.
    pub fn new() -> Self {
        let net = 16 + (draw() % 200) as u8;
        let probe = TcpListener::bind((format!("127.{net}.0.1"), 0)).expect("a free port");
        let port = 20_000 + probe.local_addr().unwrap().port() % 20_000;
        let store = format!("127.{net}.9.1:{port}").parse().unwrap();
        Self { port, net, zones: vec!["trencin-depot", "puchov-depot", "zilina-depot"], store }
    }

    pub fn ip(&self, node: usize) -> String {
        format!("127.{}.1.{}", self.net, node + 1)
    }

    pub fn address(&self, node: usize, offset: u16) -> SocketAddr {
        format!("{}:{}", self.ip(node), self.port + offset).parse().unwrap()
    }

    pub fn frontend(&self, node: usize) -> SocketAddr {
        self.address(node, 0)
    }

    pub fn ready(&self, node: usize) -> SocketAddr {
        self.address(node, 5)
    }

    pub fn directory(&self, node: usize) -> SocketAddr {
        self.address(node, 4)
    }

    /// Returns the address to which the store moves.
    pub fn next_store(&self) -> SocketAddr {
        format!("127.{}.9.2:{}", self.net, self.port).parse().unwrap()
    }

    pub fn server(&self, index: usize) -> SocketAddr {
        format!("127.{}.64.{}:{}", self.net, index + 1, self.port).parse().unwrap()
    }

    /// Returns the settings of a process, with the figures of rebrik-yard.
    pub fn settings(&self, node: usize, nodes: usize, grace_s: u32, bootstrap: bool) -> String {
        let (ip, zone) = (self.ip(node), self.zones[node % 3]);
        let (front, ready) = (self.frontend(node), self.ready(node));
        let (control, directory) = (self.address(node, 7), self.directory(node));
        let seeds: Vec<_> =
            (0..nodes.min(3)).map(|it| format!("\"{}\"", self.address(it, 7))).collect();
        let (seeds, internal, store) = (seeds.join(","), self.port + 100, self.store);
        format!(
            r#"NodeName = "edge-{zone}-{node}"
Role = "router"
MachineClass = "edge"
Serves = ["edge","control","registry"]
Ip = "{ip}"
Zone = "{zone}"
Region = "povazie"
InternalPorts = [{internal},{last}]
SeedNodes = [{seeds}]
Bootstrap = {bootstrap}
FailureCounted = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]
[Zones]
trencin-depot = "povazie"
puchov-depot = "povazie"
zilina-depot = "povazie"
[ListenAddrs]
Frontend = "{front}"
Ready = "{ready}"
ControlPlane = "{control}"
DirectoryAddr = "{directory}"
[Limits]
CpuFraction = 0.25
CpuCores = 1
MemoryLimitMb = 260
MaxFds = 4100
LinkSpeedMbps = 1000.0
DiskSizeMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = {grace_s}
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
SkewMaxMs = 5000
StrictRevocation = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
RetryWindowS = 10
BudgetSlack = 58
QuotaWindowS = 8
QuotaOvershoot = 0.1
QuotaSlack = 110000
RecoveryS = 12
TransitMs = 120
ReuseWindowS = 4.3
FencingEnforced = true
LeaseMs = 3000
ThawMs = 300
ttl_max_s = 5
[Platform]
Address = "{store}"
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
"#,
            last = internal + 15
        )
    }
}

/// A process of the system, started with the command of the deploy file.
pub struct Node {
    pub child: Child,
    pub settings: PathBuf,
}

impl Node {
    pub fn start(folder: &Path, index: usize, settings: &str) -> Self {
        let path = folder.join(format!("node-{index}.toml"));
        fs::write(&path, settings).expect("settings");
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy file");
        let command = deploy.lines().find_map(|it| it.strip_prefix("run = ")).expect("run");
        let words: Vec<_> = command.trim().trim_matches('"').split(' ').collect();
        let log = fs::File::create(folder.join(format!("node-{index}.log"))).expect("log");
        let child = Command::new(words[0])
            .args(&words[1..])
            .env("GALENAYARD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        Self { child, settings: path }
    }

    pub fn signal(&self, name: &str) {
        let arguments = [format!("-{name}"), self.child.id().to_string()];
        let _ = Command::new("kill").args(arguments).status();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks a node whether it is ready.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> std::io::Result<u16> {
        let mut connection = Connection::open(address, Duration::from_millis(500))?;
        connection.stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        connection
            .write(format!("GET /-/readyz HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
        Ok(connection.read()?.status())
    };
    ask().is_ok_and(|status| status == 200)
}

pub fn wait_until_ready(site: &Site, nodes: usize) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if (0..nodes).all(|node| is_ready(site.ready(node))) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Asks a node where to connect.
pub fn resolve(address: SocketAddr, zone: &str) -> Option<Vec<SocketAddr>> {
    let ask = || -> std::io::Result<Message> {
        let mut connection = Connection::open(address, Duration::from_secs(1))?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let path = format!("/-/resolve?Name=yard.example&Region=povazie&Zone={zone}");
        connection.write(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
        connection.read()
    };
    let answer = ask().ok().filter(|answer| answer.status() == 200)?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split('[').nth(1)?.split(']').next()?;
    Some(list.split(',').filter_map(|it| it.trim_matches('"').parse().ok()).collect())
}

/// A request of a client, with what became of it.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub node: usize,
    pub sent: Instant,
    pub answered: Instant,
    /// The status of a whole answer; 0 for a connection that ended without one.
    pub status: u16,
    pub is_first_on_connection: bool,
}

/// Sends a request on a kept connection, or a new one, and waits for its answer. A connection that is
/// no longer open is left in `connection` as `None`.
pub fn ask(
    connection: &mut Option<Connection>,
    node: usize,
    address: SocketAddr,
    key: &str,
    deadline: Duration,
) -> (Sent, Option<f64>) {
    let id = format!("{:016x}", draw());
    let start = Instant::now();
    let is_first = connection.is_none();
    let mut sent = Sent {
        id: id.clone(),
        node,
        sent: start,
        answered: start,
        status: 0,
        is_first_on_connection: is_first,
    };
    let body = "{\"ladder\":7}";
    let request = format!(
        "POST /booking/2f HTTP/1.1\r\nHost: yard.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    let mut exchange = || -> std::io::Result<Message> {
        if connection.is_none() {
            *connection = Some(Connection::open(address, Duration::from_secs(1))?);
        }
        let open = connection.as_mut().unwrap();
        sent.sent = Instant::now();
        open.stream.set_read_timeout(Some(deadline + Duration::from_millis(500)))?;
        open.write(request.as_bytes())?;
        open.read()
    };
    let answer = exchange();
    sent.answered = Instant::now();
    match answer {
        Ok(answer) => {
            sent.status = answer.status();
            if answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close")) {
                *connection = None;
            }
            let wait = answer.header("retry-after").and_then(|it| it.parse().ok());
            (sent, wait)
        }
        Err(_) => {
            *connection = None;
            (sent, None)
        }
    }
}

/// Seconds from `start` to `at`, negative before it.
pub fn seconds(start: Instant, at: Instant) -> f64 {
    match at.checked_duration_since(start) {
        Some(after) => after.as_secs_f64(),
        None => -start.duration_since(at).as_secs_f64(),
    }
}

/// Flags that threads share.
pub struct Flags {
    pub stop: AtomicBool,
    pub count: AtomicUsize,
}
