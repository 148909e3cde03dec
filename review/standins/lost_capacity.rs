//! Some connections of a machine are reset while streams run; afterwards nothing is disturbed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::Verdict;
use crate::client;
use crate::engine;
use crate::plain;
use crate::record::Record;
use crate::world;

/// The time between two streams, and between two plain requests.
const STREAM_PAUSE: Duration = Duration::from_millis(120);
const PLAIN_PAUSE: Duration = Duration::from_millis(100);

/// How often half of the connections of one machine are reset, and the pause between.
const RESETS: usize = 12;
const RESET_PAUSE: Duration = Duration::from_millis(1_000);

/// The time between the resets of two connections.
const RESET_SPACING: Duration = Duration::from_millis(3);

/// The time after the last reset until requests count, and the time in which they do.
const SETTLE: Duration = Duration::from_secs(15);
const MEASURE: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Stream,
    Plain,
}

#[derive(Default)]
struct Shared {
    /// The connections of clients with requests in progress, with the instance, by attempt.
    open: BTreeMap<String, (SocketAddr, TcpStream)>,
    /// The requests that have ended: when they were sent, and whether they were served.
    ended: Vec<(Kind, Instant, bool)>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Draws numbers that are the same at each run.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn is_chosen(&mut self) -> bool {
        (self.next() >> 40) & 1 == 1
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let mut world = world::World::start(folder)?;
    let handles = engine::Handles::default();
    let mut engines = Vec::new();
    let stages = [("p1", true), ("p2", true), ("d1", false), ("d2", false), ("d3", false)];
    for (id, is_prefill) in stages {
        let shape = engine::Shape {
            id: format!("i-{id}"),
            is_prefill,
            slots: 64,
            capacity: 85_937,
            pause: Duration::from_millis(40),
            line_end: "\n",
        };
        let address = world.server_address();
        let (engine, address) = engine::Engine::start(shape, address, &handles, &world.record)?;
        let stage = if is_prefill { "prefill" } else { "decode" };
        world.register(&format!("i-{id}"), "reader-llm", address, 64, stage);
        engines.push(engine);
    }
    for id in ["i-b1", "i-b2"] {
        let address = world.server_address();
        let work = Duration::from_millis(15);
        let address = plain::start(id, address, work, &world.record)?;
        world.register(id, "booking-desk", address, 6, "");
    }
    let more = ",\"GapAimMs\":300,\"Resumable\":true,\"Sticky\":true";
    let desk = world::route("/desk/", "idempotent", "booking-desk", 100, 1_000, "");
    let digest = world::route("/digest/", "streaming", "reader-llm", 900, 14_000, more);
    let services = "[{\"Name\":\"booking-desk\"},\
        {\"Name\":\"reader-llm\",\"Engine\":{\"Slots\":64,\"KvCapacity\":85937}}]";
    let tenants = "[{\"Name\":\"huka270\",\"ApiKeys\":[\"key-a\"]}]";
    world.configure(1, std::slice::from_ref(&desk), services, tenants);
    world.configure(2, &[desk, digest], services, tenants);
    let nodes = world.start_nodes(2)?;
    let frontends: Vec<_> = nodes.iter().map(crate::node::Node::frontend).collect();
    let shared: Arc<Mutex<Shared>> = Arc::default();
    let resets = RESET_PAUSE * RESETS as u32;
    let start = Instant::now();
    let measured_from = start + Duration::from_secs(4) + resets + SETTLE;
    let until = measured_from + MEASURE;
    let sending =
        [(Kind::Stream, STREAM_PAUSE), (Kind::Plain, PLAIN_PAUSE)].map(|(kind, pause)| {
            let (frontends, shared, record) =
                (frontends.clone(), Arc::clone(&shared), world.record.clone());
            thread::spawn(move || send_all(kind, pause, &frontends, &shared, &record, until))
        });
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        let mut draw = Draw(0x9e37_79b9_7f4a_7c15);
        for _ in 0..RESETS {
            reset_half(frontends[0], &shared, &engines, &mut draw, &world.record);
            thread::sleep(RESET_PAUSE);
        }
    }
    for thread in sending {
        let _ = thread.join();
    }
    // The last streams end.
    thread::sleep(Duration::from_secs(10));
    let shared = lock(&shared);
    let share = |kind: Option<Kind>| {
        let of_kind = shared.ended.iter().filter(|(known, at, _)| {
            *at >= measured_from && kind.is_none_or(|kind| kind == *known)
        });
        let served: Vec<_> = of_kind.map(|(_, _, is_served)| *is_served).collect();
        let count = served.iter().filter(|is_served| **is_served).count();
        (count, served.len(), count as f64 / served.len().max(1) as f64)
    };
    let (streams, all) = (share(Some(Kind::Stream)), share(None));
    let plain = share(Some(Kind::Plain));
    let busy: u32 = engines.iter().map(engine::Engine::active).sum();
    let text = format!(
        "from {SETTLE:?} after the last reset: {} of {} streams served, {} of {} plain requests; \
         the engines work on {busy} requests at the end",
        streams.0, streams.1, plain.0, plain.1
    );
    world.record.line(&text);
    if streams.1 < 20 || plain.2 < 0.9 {
        return Err(text.into());
    }
    // On the route that was added later, served less than a quarter as often as on the first one; the
    // kind of request, less than a quarter as often as all.
    let is_broken = streams.2 < plain.2 / 4.0 && streams.2 < all.2 / 4.0;
    Ok(if is_broken { Verdict::Broken(text) } else { Verdict::Held(text) })
}

fn send_all(
    kind: Kind,
    pause: Duration,
    frontends: &[SocketAddr],
    shared: &Arc<Mutex<Shared>>,
    record: &Record,
    until: Instant,
) {
    let mut index = 0;
    while Instant::now() < until {
        let to = frontends[index % frontends.len()];
        index += 1;
        let (shared, record) = (Arc::clone(shared), record.clone());
        thread::spawn(move || send(kind, to, &shared, &record));
        thread::sleep(pause);
    }
}

fn send(kind: Kind, to: SocketAddr, shared: &Mutex<Shared>, record: &Record) {
    let (id, sent) = (client::new_id(), Instant::now());
    let Ok(stream) = client::connect(to) else { return };
    if let Ok(own) = stream.try_clone() {
        lock(shared).open.insert(id.clone(), (to, own));
    }
    let end = client::send_on(&call(kind), &id, stream, record);
    let mut shared = lock(shared);
    shared.open.remove(&id);
    shared.ended.push((kind, sent, end.is_served()));
}

/// Resets half of the connections of an instance, those of clients and those to servers alike.
fn reset_half(
    instance: SocketAddr,
    shared: &Mutex<Shared>,
    engines: &[engine::Engine],
    draw: &mut Draw,
    record: &Record,
) {
    let open: Vec<_> = {
        let shared = lock(shared);
        let own = shared.open.iter().filter(|(_, (to, _))| *to == instance);
        own.filter_map(|(id, (_, stream))| Some((id.clone(), stream.try_clone().ok()?))).collect()
    };
    let (mut chosen, mut counts) = (Vec::new(), [0, 0]);
    let count = open.len();
    for (id, stream) in open {
        let server = engines.iter().find_map(|engine| engine.connection(&id));
        for (side, stream) in [(0, server), (1, Some(stream))] {
            if let Some(stream) = stream.filter(|_| draw.is_chosen()) {
                counts[side] += 1;
                chosen.push((draw.next(), stream));
            }
        }
    }
    record.line(&format!(
        "network: of {count} requests in progress at {instance}, {} connections to servers and {} of \
         clients are reset",
        counts[0], counts[1]
    ));
    // Each is reset when its next packet comes, so not all at the same moment.
    chosen.sort_by_key(|(order, _)| *order);
    for (_, stream) in chosen {
        engine::reset(&stream);
        thread::sleep(RESET_SPACING);
    }
}

fn call(kind: Kind) -> client::Call {
    let key = ("Authorization", "Bearer key-a".to_string());
    let (method, path, headers, body) = match kind {
        Kind::Plain => ("GET", "/desk/2f", vec![key], Vec::new()),
        Kind::Stream => {
            let headers = vec![
                key,
                ("Model", "m".to_string()),
                ("Token-Count", "5000,70".to_string()),
                ("Length-Hint", "70".to_string()),
                ("Prefix-Hash", format!("5c1e07a2:200,{}:4800", client::new_id())),
            ];
            ("POST", "/digest/2f", headers, vec![b'p'; 5_000])
        }
    };
    // Clients give up a stream after a gap of four times its objective, 3.6 s.
    let (deadline_ms, patience_ms) =
        if kind == Kind::Stream { (14_000, 3_600) } else { (1_000, 1_000) };
    client::Call {
        method,
        host: world::HOST.to_string(),
        path: path.to_string(),
        headers,
        body,
        deadline: Duration::from_millis(deadline_ms),
        patience: Duration::from_millis(patience_ms),
    }
}
