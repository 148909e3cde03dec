//! Stand-ins for the cases of the third review: the platform with its store, plain servers, callers.
//! Only the standard library is used; build-3.sh compiles each case with rustc alone.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// All instances, so that none is left when the case ends early.
static INSTANCES: Mutex<Vec<Arc<Instance>>> = Mutex::new(Vec::new());

/// Ends with the code for a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    if let Ok(instances) = INSTANCES.lock() {
        instances.iter().for_each(|it| it.kill());
    }
    eprintln!("the case could not run: {why}");
    process::exit(2);
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, in the order in which it was noted.
pub struct Record {
    start: Instant,
    file: Mutex<io::BufWriter<fs::File>>,
}

impl Record {
    pub fn create() -> Arc<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_string());
        match fs::File::create(&path) {
            Ok(file) => {
                Arc::new(Self { start: Instant::now(), file: Mutex::new(io::BufWriter::new(file)) })
            }
            Err(failure) => cannot_run(&format!("{path}: {failure}")),
        }
    }

    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let at = self.at();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// Notes a line and prints it.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    /// Bytes after the head that were read with it.
    pub rest: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn length(&self) -> Option<usize> {
        self.headers.get("content-length").and_then(|it| it.parse().ok())
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").contains("chunked")
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut TcpStream, mut bytes: Vec<u8>) -> io::Result<Option<Message>> {
    let mut buffer = [0; 16_384];
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_string();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()));
            let headers = headers.collect();
            return Ok(Some(Message { first, headers, rest: bytes.split_off(end + 4) }));
        }
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            if bytes.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..read]);
    }
}

/// Reads a body with a stated length or in chunks, `piece` bytes at a time with a pause after each;
/// returns its length and the bytes behind it.
pub fn read_body(
    stream: &mut TcpStream,
    message: &Message,
    piece: usize,
    pause: Duration,
) -> io::Result<(usize, Vec<u8>)> {
    let mut bytes = message.rest.clone();
    let mut buffer = vec![0; piece.max(1)];
    let mut more = |bytes: &mut Vec<u8>| -> io::Result<()> {
        if !pause.is_zero() {
            thread::sleep(pause);
        }
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..read]);
        Ok(())
    };
    if message.is_chunked() {
        let mut total = 0;
        loop {
            let line_end = loop {
                match bytes.windows(2).position(|it| it == b"\r\n") {
                    Some(end) => break end,
                    None => more(&mut bytes)?,
                }
            };
            let size = String::from_utf8_lossy(&bytes[..line_end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(io::Error::other)?;
            while bytes.len() < line_end + 2 + size + 2 {
                more(&mut bytes)?;
            }
            bytes.drain(..line_end + 2 + size + 2);
            total += size;
            if size == 0 {
                return Ok((total, bytes));
            }
        }
    }
    let length = message.length().unwrap_or(0);
    let mut received = bytes.len();
    while received < length {
        bytes.clear();
        more(&mut bytes)?;
        received += bytes.len();
    }
    let behind = received - length;
    let rest = bytes.split_off(bytes.len() - behind.min(bytes.len()));
    Ok((length, rest))
}

pub fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| decode_percent(value))
    })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = (bytes[index] == b'%' && index + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[index + 1..index + 3], 16).ok())
            .flatten();
        match code {
            Some(code) => {
                decoded.push(code);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------- store

type Topic = Vec<Vec<u8>>;

/// The platform's store: a log with keyed topics, as PROTOCOL.md tells.
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self { topics: Mutex::default(), appended: Condvar::new() });
        let listener = bind(address);
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Writes a record as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.topics.lock().unwrap().entry(topic.to_string()).or_default().push(record);
        self.appended.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(message) = read_head(&mut stream, std::mem::take(&mut rest))? {
            let length = message.length().unwrap_or(0);
            let mut body = message.rest.clone();
            let mut buffer = [0; 16_384];
            while body.len() < length {
                let read = stream.read(&mut buffer)?;
                if read == 0 {
                    return Ok(());
                }
                body.extend_from_slice(&buffer[..read]);
            }
            rest = body.split_off(length);
            thread::sleep(ms(4));
            let (status, answer) = self.answer(message.word(1), &body);
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", answer.len());
            stream.write_all(&[head.as_bytes(), &answer].concat())?;
        }
        Ok(())
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let topic = parameter(target, "Topic").unwrap_or_default();
        let number = |name: &str| parameter(target, name).and_then(|it| it.parse::<usize>().ok());
        match target.split('?').next().unwrap_or_default() {
            "/-/log-append" => self.append(&topic, number("At"), body),
            "/-/log-read" => (
                200,
                self.read(
                    &topic,
                    number("Source").unwrap_or(0),
                    number("MaxSize").unwrap_or(1_024),
                    number("WaitMs").unwrap_or(0).min(30_000),
                ),
            ),
            "/-/log-newest" => (200, self.newest(&topic, parameter(target, "after"))),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_string()).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"EndOffset\":{offset}}}").into_bytes());
        }
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some(content) = rest.get(..length) else { return (400, Vec::new()) };
            records.push(content.to_vec());
            body = &rest[length..];
        }
        let end = records.len();
        self.appended.notify_all();
        (200, format!("{{\"Offset\":{offset},\"EndOffset\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, from: usize, max: usize, wait_ms: usize) -> Vec<u8> {
        let until = Instant::now() + ms(wait_ms as u64);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.entry(topic.to_string()).or_default();
            let now = Instant::now();
            if from < records.len() || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (index, record) in records.iter().enumerate().skip(from) {
                    if index > from && body.len() + record.len() + 4 > max {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            topics = self.appended.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_string()).or_default();
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else { continue };
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value.to_vec()));
        }
        let mut items = newest
            .into_iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .filter(|(key, _)| after.as_ref().is_none_or(|after| key > after));
        let page: Vec<_> = items
            .by_ref()
            .take(500)
            .map(|(key, (offset, value))| {
                let value = base64(&value);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let has_more = items.next().is_some();
        let (page, end) = (page.join(","), records.len());
        format!("{{\"items\":[{page}],\"HasMore\":{has_more},\"EndOffset\":{end}}}").into_bytes()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- addresses

/// Loopback addresses of this run, drawn from the process id so that two runs do not meet.
pub fn address(host: u8) -> Ipv4Addr {
    let id = process::id();
    Ipv4Addr::new(127, 64 + (id >> 8 & 63) as u8, (id & 255) as u8, host)
}

pub fn bind(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address)
        .unwrap_or_else(|failure| cannot_run(&format!("{address}: {failure}")))
}

// ---------------------------------------------------------------- instances

/// The settings that differ between the cases.
#[derive(Clone)]
pub struct Settings {
    pub memory_mb: u64,
    pub grace_s: u64,
}

/// An instance on a machine, as the platform runs it.
pub struct Instance {
    pub name: String,
    pub ip: Ipv4Addr,
    folder: PathBuf,
    child: Mutex<Option<process::Child>>,
    starts: AtomicU64,
    pub ends: AtomicU64,
}

impl Instance {
    pub fn new(folder: &PathBuf, number: u8) -> Arc<Self> {
        let name = format!("edge-a-{number}");
        let instance = Arc::new(Self {
            folder: folder.join(&name),
            name,
            ip: address(10 + number),
            child: Mutex::new(None),
            starts: AtomicU64::new(0),
            ends: AtomicU64::new(0),
        });
        INSTANCES.lock().unwrap().push(Arc::clone(&instance));
        instance
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8_360))
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8_364))
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8_365))
    }

    /// Writes the settings file, with the fields and figures of the pages.
    pub fn configure(&self, store: SocketAddr, seeds: &[Ipv4Addr], settings: &Settings) {
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:8367\"")).collect();
        let seeds = seeds.join(",");
        let is_first = self.starts.load(Ordering::SeqCst) == 0;
        let (name, ip) = (&self.name, self.ip);
        let Settings { memory_mb, grace_s } = settings;
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"router\"\nMachineClass = \"edge\"\n\
             Serves = [\"edge\",\"control\",\"registry\"]\nIp = \"{ip}\"\nZone = \"a\"\n\
             Region = \"r\"\nInternalPorts = [7500,7515]\nSeedNodes = [{seeds}]\n\
             Bootstrap = {is_first}\nFailureCounted = false\nDiscovery = \"platform\"\n\
             Entry = \"registry\"\nHeartbeatMs = 1200\n[Zones]\na = \"r\"\n[ListenAddrs]\n\
             Frontend = \"{ip}:8360\"\nReady = \"{ip}:8365\"\nControlPlane = \"{ip}:8367\"\n\
             DirectoryAddr = \"{ip}:8364\"\n[Limits]\nCpuFraction = 0.25\nCpuCores = 1\n\
             MemoryLimitMb = {memory_mb}\nMaxFds = 4100\nLinkSpeedMbps = 1000.0\nDiskSizeMb = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
             DrainMs = 2000\nGraceS = {grace_s}\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             RollbackSlackMs = 250\nSkewMaxMs = 5000\nStrictRevocation = false\nRevokeMs = 5000\n\
             RetryBudgetRatio = 0.2\nRetryWindowS = 10\nBudgetSlack = 52\nQuotaWindowS = 8\n\
             QuotaOvershoot = 0.1\nQuotaSlack = 110000\nRecoveryS = 12\nTransitMs = 120\n\
             ReuseWindowS = 3\nFencingEnforced = true\nLeaseMs = 3000\nThawMs = 300\nttl_max_s = 5\n\
             [Platform]\nAddress = \"{store}\"\nform = \"log\"\nWritesPerS = 400\nReadsPerS = 2000\n\
             parts = 12\nAppendMs = 2.0\nPartMbS = 20.0\nReadMbS = 80.0\nRecordBytes = 262144\n\
             CallBytes = 2097152\nkeep_s = 300\nPartMb = 200\nTtlMinMs = 1000\n"
        );
        let written = fs::create_dir_all(&self.folder)
            .and_then(|()| fs::write(self.folder.join("new.toml"), text))
            .and_then(|()| fs::rename(self.folder.join("new.toml"), self.settings_path()));
        if let Err(failure) = written {
            cannot_run(&format!("settings: {failure}"));
        }
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("node.toml")
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        self.starts.fetch_add(1, Ordering::SeqCst);
        let program =
            std::env::var("GALENAYARD").unwrap_or_else(|_| "target/release/galenayard".to_string());
        let log = fs::File::options().create(true).append(true).open(self.folder.join("log"));
        let child = log.and_then(|log| {
            process::Command::new(&program)
                .args(["node", "--metrics-port", "9464"])
                .env("GALENAYARD_CONFIG", self.settings_path())
                .stdin(process::Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()
        });
        match child {
            Ok(child) => *self.child.lock().unwrap() = Some(child),
            Err(failure) => cannot_run(&format!("{program}: {failure}")),
        }
    }

    pub fn id(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(process::Child::id)
    }

    /// Sends a signal, such as `TERM`, to the process that this stand-in started.
    pub fn signal(&self, name: &str) {
        let Some(id) = self.id() else { return };
        let id = id.to_string();
        let _ = process::Command::new("kill").args(["-s", name, &id]).status();
    }

    /// Returns whether the process has ended by now.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        let is_running = child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(None)));
        if !is_running {
            *child = None;
        }
        !is_running
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the memory that the process takes now, in KiB.
    pub fn memory_kb(&self) -> u64 {
        let Some(id) = self.id() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        resident.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines: Vec<_> = text.lines().rev().take(3).collect();
        lines.join(" | ")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends all instances when the case ends, however it does.
pub struct Fleet {
    pub instances: Vec<Arc<Instance>>,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub settings: Settings,
}

impl Fleet {
    /// Starts the store and the instances, and waits until all are ready.
    pub fn start(count: u8, settings: Settings, configuration: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("galenayard-review-3-{}", process::id()));
        let store_address = SocketAddr::from((address(1), 8_361));
        let store = Store::start(store_address);
        store.put("keyed.op", "config", configuration);
        let instances: Vec<_> = (1..=count).map(|it| Instance::new(&folder, it)).collect();
        let fleet = Self { instances, store, store_address, settings };
        for instance in &fleet.instances {
            instance.configure(store_address, &fleet.seeds(), &fleet.settings);
            instance.start();
        }
        fleet
    }

    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.instances.iter().take(3).map(|it| it.ip).collect()
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + ms(10_000);
        for instance in &self.instances {
            while get(instance.ready(), "/-/readyz") != Some(200) {
                if Instant::now() > until {
                    let tail = instance.log_tail();
                    cannot_run(&format!("{} is not ready: {tail}", instance.name));
                }
                thread::sleep(ms(50));
            }
        }
        // Digests reach all others meanwhile.
        thread::sleep(ms(2_000));
    }

    /// The platform kills a process over its memory limit, and starts one that has ended again after a
    /// short delay.
    pub fn keep_running(&self, record: &Arc<Record>, is_over: &Arc<AtomicBool>) {
        for instance in &self.instances {
            let (instance, record) = (Arc::clone(instance), Arc::clone(record));
            let is_over = Arc::clone(is_over);
            let (store, seeds, settings) =
                (self.store_address, self.seeds(), self.settings.clone());
            thread::spawn(move || {
                let mut peak = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let memory = instance.memory_kb();
                    peak = peak.max(memory);
                    if memory > settings.memory_mb * 1_024 {
                        let mb = memory / 1_024;
                        let name = &instance.name;
                        record.note(&format!("platform: {name} takes {mb} MB and is killed"));
                        instance.kill();
                    }
                    if instance.has_ended() && !is_over.load(Ordering::SeqCst) {
                        instance.ends.fetch_add(1, Ordering::SeqCst);
                        record.note(&format!("platform: {} has ended", instance.name));
                        thread::sleep(ms(1_000));
                        if is_over.load(Ordering::SeqCst) {
                            break;
                        }
                        instance.configure(store, &seeds, &settings);
                        instance.start();
                        record.note(&format!("platform: {} is started again", instance.name));
                    }
                    thread::sleep(ms(20));
                }
                record.note(&format!(
                    "platform: {} took {} MB at most",
                    instance.name,
                    peak / 1_024
                ));
            });
        }
    }

    pub fn stop(&self) {
        for instance in &self.instances {
            instance.kill();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
        let folder = std::env::temp_dir().join(format!("galenayard-review-3-{}", process::id()));
        let _ = fs::remove_dir_all(folder);
    }
}

/// Sends a GET without a body and returns the status of the answer.
pub fn get(address: SocketAddr, target: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    write!(stream, "GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    let message = read_head(&mut stream, Vec::new()).ok()??;
    message.word(1).parse().ok()
}

// ---------------------------------------------------------------- servers

/// How a server answers one request.
pub trait Work: Send + Sync {
    /// Reads the request's body and answers; `message` is its head. Returns the bytes behind it.
    fn answer(&self, stream: &mut TcpStream, message: Message) -> io::Result<Vec<u8>>;
}

/// Starts a plain server that registers itself in the store.
pub fn start_server(
    store: &Arc<Store>,
    number: u8,
    service: &str,
    slots: u32,
    work: Arc<dyn Work>,
) -> (String, SocketAddr) {
    let address = SocketAddr::from((address(100 + number), 8_080));
    let id = format!("i-{:04x}{number:02x}", process::id() & 0xffff);
    let listener = bind(address);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let work = Arc::clone(&work);
            thread::spawn(move || {
                let _ = serve_connection(stream, &work);
            });
        }
    });
    let (store, service, name) = (Arc::clone(store), service.to_string(), id.clone());
    let born = unix_ms();
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"a\",\
                 \"Version\":\"v1\",\"Slots\":{slots},\"State\":\"ready\",\"ColdRemainingMs\":0,\
                 \"Sequence\":{sequence},\"born\":{born}}}"
            );
            store.put("keyed.servers", &name, &entry);
            thread::sleep(ms(1_200));
        }
    });
    (id, address)
}

fn serve_connection(mut stream: TcpStream, work: &Arc<dyn Work>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(message) = read_head(&mut stream, std::mem::take(&mut rest))? {
        rest = work.answer(&mut stream, message)?;
    }
    Ok(())
}

/// The head of a server's successful answer.
pub fn answer_head(message: &Message, length: usize) -> String {
    let id = message.header("attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: stamp.{id}\r\n\
         Content-Type: application/octet-stream\r\nContent-Length: {length}\r\n\r\n"
    )
}

// ---------------------------------------------------------------- ids

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of an attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}
