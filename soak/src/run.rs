//! One run: a fleet, callers, servers, an operator, and faults drawn from a seed.

use std::cell;
use std::collections::BTreeMap;
use std::io;
use std::net;
use std::path;
use std::rc;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rustix::process::Signal;

use crate::backend;
use crate::callers;
use crate::fleet;
use crate::judge;
use crate::proxy;
use crate::servers;
use crate::store;
use crate::streams;

/// The time in which instances hear of each other before callers come.
const WARM_UP: time::Duration = time::Duration::from_millis(1_500);

/// The time for the last answers.
const COOL_DOWN: time::Duration = time::Duration::from_millis(3_000);

/// How often a server renews its entry.
const HEARTBEAT: time::Duration = time::Duration::from_millis(1_000);

/// The time for which an instance's trouble excuses cuts after it.
const AFTERMATH: time::Duration = time::Duration::from_millis(3_000);

/// The time for which a server is cold that comes later.
const COLD: time::Duration = time::Duration::from_millis(3_000);

/// The keys of entries that another writer has put into the store; they are of no use to anyone.
const FOREIGN_KEYS: [&[u8]; 13] = [
    b"&x",
    b"#x",
    b"+x",
    b"a b",
    b"%",
    b"%7Ex",
    b"\"x\"",
    "\u{e9}".as_bytes(),
    b"server-0&b=1",
    b"server-0%41",
    b"server-\xff",
    b"server-\xff1",
    b"server-\xff2",
];

/// The topics in which they stand.
const FOREIGN_TOPICS: [&str; 6] = [
    "keyed.op",
    "keyed.servers",
    "keyed.members",
    "keyed.spending",
    "keyed.quarantines",
    "keyed.software-versions",
];

/// Servers at the start; more come as others leave.
const SERVERS: usize = 4;

const KINDS: [callers::Kind; 6] = [
    callers::Kind {
        path: "/order/x",
        key: "key-a",
        workspace: "a",
        is_idempotent: false,
        crashes: false,
    },
    callers::Kind {
        path: "/query/x",
        key: "key-a",
        workspace: "a",
        is_idempotent: true,
        crashes: false,
    },
    callers::Kind {
        path: "/gone/x",
        key: "key-a",
        workspace: "a",
        is_idempotent: false,
        crashes: false,
    },
    callers::Kind {
        path: "/stream/x",
        key: "key-a",
        workspace: "a",
        is_idempotent: false,
        crashes: false,
    },
    callers::Kind {
        path: "/resume/x",
        key: "key-a",
        workspace: "a",
        is_idempotent: true,
        crashes: false,
    },
    callers::Kind {
        path: "/second/x",
        key: "key-b",
        workspace: "b",
        is_idempotent: false,
        crashes: false,
    },
];

/// Requests that crash servers: streams, no two of them alike, and the same query again and again.
const CRASHING_KINDS: [callers::Kind; 2] = [
    callers::Kind {
        path: "/stream/x",
        key: "key-a",
        workspace: "a",
        is_idempotent: false,
        crashes: true,
    },
    callers::Kind {
        path: backend::CRASHING_PATH,
        key: "key-a",
        workspace: "a",
        is_idempotent: true,
        crashes: false,
    },
];

/// The pause between two requests that crash servers.
const CRASHING_PAUSE: time::Duration = time::Duration::from_millis(250);

/// The time after which the entry of a server that has crashed is removed, and another one comes.
const CRASHED_FOR: time::Duration = time::Duration::from_millis(1_500);

/// The time by which a pause that a server asks for is longer than half of its trouble.
const PAUSE_EXTRA: time::Duration = time::Duration::from_millis(1_000);

/// The zones of servers.
const ZONES: [&str; 2] = ["z", "y"];

/// The time for which a zone is evacuated, beyond the time in which that must be in force.
const EVACUATED_FOR: time::Duration = time::Duration::from_millis(9_000);

/// How often a zone is evacuated with a fault, unless one is.
const EVACUATION_SHARE: f64 = 0.1;

/// The prefix of the paths whose streams may be resumed.
const RESUMABLE_PATH: &str = "/resume/";

/// Which faults a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// Those drawn from the seed.
    Drawn,
    /// Another writer puts entries into the store after a third of the time, and all instances are
    /// killed.
    KillAll,
}

/// What to run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program of the instances.
    pub program: path::PathBuf,
    /// Draws faults and requests.
    pub seed: u64,
    /// How long faults go on.
    pub seconds: u64,
    /// Instances.
    pub instances: u64,
    /// The faults.
    pub faults: Faults,
}

/// What has come out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// A line of figures.
    pub summary: String,
    /// Broken promises.
    pub violations: Vec<String>,
    /// The faults in their order, with the time since the start.
    pub faults: Vec<String>,
    /// How many requests were served and sent after all instances were killed, if only that was a fault.
    pub after_kill: (usize, usize),
}

/// A run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A socket, file or process failed.
    #[error("{0}; check that the program is built and the loopback addresses are free")]
    Io(#[from] io::Error),
    /// Nothing was served, so nothing was checked.
    #[error("of {0} requests none was served; read the instances' logs")]
    NothingServed(usize),
}

/// Carries a run out.
///
/// # Errors
///
/// Fails if the fleet cannot be started or serves nothing.
pub fn run(options: &Options) -> Result<Report, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, play(options))
}

/// A server with its proxy.
struct Server {
    name: String,
    switch: proxy::Switch,
    trouble: rc::Rc<backend::Trouble>,
    /// Renews its entry.
    beats: tokio::task::JoinHandle<()>,
}

struct World {
    rng: rand_chacha::ChaCha8Rng,
    /// Draws evacuations, so that the faults of a seed stay the same.
    evacuation_rng: rand_chacha::ChaCha8Rng,
    /// Whether the zones are evacuated, of those that ever were.
    evacuations: rc::Rc<cell::RefCell<BTreeMap<&'static str, bool>>>,
    judge: rc::Rc<judge::Judge>,
    store: rc::Rc<store::Store>,
    store_address: net::SocketAddr,
    machines: Vec<fleet::Machine>,
    seeds: Vec<net::Ipv4Addr>,
    disturbances: rc::Rc<callers::Disturbances>,
    servers: Vec<Server>,
    next_server: usize,
    version: u64,
    has_gone_route: bool,
    has_second_key: bool,
    /// The servers that have left.
    left: Vec<String>,
    /// The servers that have crashed.
    crashed: rc::Rc<cell::RefCell<Vec<String>>>,
    /// Callers whose requests crash servers.
    crashing: Vec<tokio::task::JoinHandle<()>>,
    ip: [u8; 3],
    faults: Vec<String>,
    /// The machines whose instance took too much memory.
    excesses: Vec<String>,
}

async fn play(options: &Options) -> Result<Report, RunError> {
    // Addresses of its own, so that runs beside each other do not meet.
    let process = u8::try_from(std::process::id() % 250).unwrap_or(0);
    let ip = [127, 20 + u8::try_from(options.seed % 200).unwrap_or(0), process];
    let store_address = net::SocketAddr::from(([ip[0], ip[1], ip[2], 2], 8_361));
    let folder = std::env::temp_dir().join(format!("soak-{}-{}", std::process::id(), options.seed));
    let machine = |index: u64| {
        let last = 10 + u8::try_from(index).unwrap_or(0);
        let ip = net::Ipv4Addr::new(ip[0], ip[1], ip[2], last);
        fleet::Machine::new(options.program.clone(), &folder, ip)
    };
    let machines: Vec<_> = (0..options.instances).map(machine).collect();
    let (store, store_address) = store::Store::start(store_address).await?;
    let mut world = World {
        rng: rand_chacha::ChaCha8Rng::seed_from_u64(options.seed),
        evacuation_rng: rand_chacha::ChaCha8Rng::seed_from_u64(!options.seed),
        evacuations: rc::Rc::default(),
        judge: rc::Rc::default(),
        store,
        store_address,
        seeds: machines.iter().take(3).map(|machine| machine.ip).collect(),
        machines,
        disturbances: rc::Rc::default(),
        servers: Vec::new(),
        next_server: 0,
        version: 0,
        has_gone_route: true,
        has_second_key: true,
        left: Vec::new(),
        crashed: rc::Rc::default(),
        crashing: Vec::new(),
        ip,
        faults: Vec::new(),
        excesses: Vec::new(),
    };
    if options.faults == Faults::Drawn {
        world.put_foreign_entries();
    }
    world.configure();
    for _ in 0..SERVERS {
        world.add_server().await?;
    }
    for index in 0..world.machines.len() {
        world.start_machine(index, true)?;
    }
    tokio::time::sleep(WARM_UP).await;
    let callers: Vec<_> = (0..6)
        .map(|index| world.caller(options.seed * 100 + index, &KINDS, callers::PAUSE))
        .collect();
    let started = tokio::time::Instant::now();
    let end = started + time::Duration::from_secs(options.seconds);
    let mut before_kill = None;
    while tokio::time::Instant::now() < end {
        let pause = world.rng.random_range(200..900);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
        world.check_memory();
        world.restart_ended()?;
        world.replace_crashed().await?;
        match options.faults {
            Faults::Drawn => {
                world.draw_fault().await?;
                world.draw_evacuation();
            }
            Faults::KillAll if before_kill.is_none() && started.elapsed() * 3 >= end - started => {
                before_kill = Some(world.judge.counts());
                world.put_foreign_entries();
                world.kill_all();
            }
            Faults::KillAll => {}
        }
    }
    tokio::time::sleep(COOL_DOWN).await;
    callers.iter().chain(&world.crashing).for_each(tokio::task::JoinHandle::abort);
    let (served, sent) = world.judge.counts();
    let after_kill = before_kill.map_or((0, 0), |before| (served - before.0, sent - before.1));
    let faults = std::mem::take(&mut world.faults);
    let (completed, resumed) = world.judge.resumed();
    world.check_memory();
    let mut violations = world.judge.violations();
    violations.append(&mut world.excesses);
    let most_of_a_limit = world.judge.most_of_a_limit();
    let most_crashes = world.judge.most_crashes();
    let most_cold = world.judge.most_at_a_cold_server();
    drop(world);
    let count = faults.len();
    if violations.is_empty() {
        // Logs are kept where they explain something.
        let _ = std::fs::remove_dir_all(&folder);
    }
    if served == 0 {
        return Err(RunError::NothingServed(sent));
    }
    let summary = format!(
        "{served} of {sent} requests served under {count} faults, {completed} of {resumed} streams resumed, {most_of_a_limit:.2} of a limit used at most, {most_crashes} crashes by one cause, {most_cold} requests in a second at a cold server"
    );
    Ok(Report { summary, violations, faults, after_kill })
}

impl World {
    fn caller(
        &self,
        seed: u64,
        kinds: &'static [callers::Kind],
        pause: time::Duration,
    ) -> tokio::task::JoinHandle<()> {
        let caller = callers::Caller {
            seed,
            kinds,
            directories: self.machines.iter().map(fleet::Machine::directory).collect(),
            judge: rc::Rc::clone(&self.judge),
            disturbances: rc::Rc::clone(&self.disturbances),
        };
        tokio::task::spawn_local(caller.run(pause))
    }

    fn start_machine(&mut self, index: usize, is_first: bool) -> io::Result<()> {
        let seeds = self.seeds.clone();
        self.machines[index].start(self.store_address, &seeds, is_first)
    }

    fn check_memory(&mut self) {
        for machine in &self.machines {
            if let Some(peak_mb) = machine.excess_memory_mb() {
                self.excesses.push(format!("{} took {peak_mb} MiB", machine.ip));
            }
        }
    }

    fn restart_ended(&mut self) -> io::Result<()> {
        for index in 0..self.machines.len() {
            if self.machines[index].has_ended() {
                let instance = self.machines[index].callers();
                self.judge.note_disturbance(Some(instance), time::Duration::ZERO);
                self.start_machine(index, false)?;
            }
        }
        Ok(())
    }

    /// Writes entries as another writer would.
    fn put_foreign_entries(&self) {
        for topic in FOREIGN_TOPICS {
            FOREIGN_KEYS.iter().for_each(|key| self.store.put(topic, key, b"{\"Foreign\":true}"));
        }
    }

    fn configure(&mut self) {
        self.version += 1;
        self.write_configuration();
    }

    fn write_configuration(&self) {
        let mut paths = vec![("/order/", "non_idempotent"), ("/query/", "idempotent")];
        paths.extend([("/second/", "non_idempotent"), ("/stream/", "streaming")]);
        paths.push((RESUMABLE_PATH, "streaming"));
        if self.has_gone_route {
            paths.push(("/gone/", "non_idempotent"));
        }
        let routes: Vec<_> = paths
            .iter()
            .map(|(path, kind)| {
                serde_json::json!({
                    "Name": path, "Host": "soak.example", "PathPrefix": path, "RouteType": kind,
                    "TimeoutMs": 2_000, "TargetLatencyMs": 200, "Priority": 1, "Service": "desk",
                    "Attempts": 2, "Anonymous": false, "Resumable": *path == RESUMABLE_PATH,
                })
            })
            .collect();
        let mut tenants = vec![serde_json::json!({ "Name": "a", "ApiKeys": ["key-a"] })];
        let keys = if self.has_second_key { vec!["key-b"] } else { Vec::new() };
        tenants.push(serde_json::json!({ "Name": "b", "ApiKeys": keys }));
        let configuration = serde_json::json!({
            "Version": self.version, "RouteTable": routes, "Services": [{ "Name": "desk", "ColdStartS": COLD.as_secs_f64(),
                "ColdPerS": servers::COLD_PER_S }],
            "Limits": { "MaxHeaderBytes": 16_384, "MaxBodyBytes": 65_536, "HeaderTimeoutMs": 3_000,
                "IdleTimeoutMs": 15_000 },
            "Tenants": tenants,
        });
        self.store.put("keyed.op", "config", configuration.to_string().as_bytes());
    }

    async fn add_server(&mut self) -> io::Result<()> {
        let name = format!("server-{}", self.next_server);
        self.next_server += 1;
        let [a, b, c] = self.ip;
        let any = net::SocketAddr::from(([a, b, c, 3], 0));
        let version = streams::VERSIONS[self.next_server % streams::VERSIONS.len()];
        let (judge, trouble) = (rc::Rc::clone(&self.judge), rc::Rc::<backend::Trouble>::default());
        let zone = ZONES[self.next_server / 2 % ZONES.len()];
        self.judge.note_zone(&name, zone);
        let address = backend::start(&name, version, any, judge, rc::Rc::clone(&trouble)).await?;
        let (proxied, switch) = proxy::start(any, address).await?;
        let store = rc::Rc::clone(&self.store);
        let id = name.clone();
        let cold = if self.next_server > SERVERS { COLD } else { time::Duration::ZERO };
        self.judge.note_cold(&name, cold);
        let started = tokio::time::Instant::now();
        let beats = tokio::task::spawn_local(async move {
            loop {
                let cold = cold.saturating_sub(started.elapsed());
                let entry = entry(proxied, zone, version, "ready", cold);
                store.put("keyed.servers", &id, entry.as_bytes());
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        let (crashed, id) = (rc::Rc::clone(&self.crashed), name.clone());
        let (store, ended) = (rc::Rc::clone(&self.store), switch.clone());
        let (waiting, beating) = (rc::Rc::clone(&trouble), beats.abort_handle());
        tokio::task::spawn_local(async move {
            waiting.crashed.notified().await;
            ended.set(proxy::Mode::Ended);
            beating.abort();
            tokio::time::sleep(CRASHED_FOR).await;
            store.put("keyed.servers", &id, b"");
            crashed.borrow_mut().push(id);
        });
        self.servers.push(Server { name, switch, trouble, beats });
        Ok(())
    }

    /// Starts another server for each one that has crashed.
    async fn replace_crashed(&mut self) -> io::Result<()> {
        let crashed = std::mem::take(&mut *self.crashed.borrow_mut());
        for name in crashed {
            let known = self.servers.iter().position(|server| server.name == name);
            if let Some(known) = known {
                self.add_server().await?;
                self.servers.remove(known);
            }
        }
        Ok(())
    }

    async fn draw_fault(&mut self) -> io::Result<()> {
        let machine = self.rng.random_range(0..self.machines.len());
        let server = self.rng.random_range(0..self.servers.len());
        let span = time::Duration::from_millis(self.rng.random_range(500..2_500));
        let kind = self.rng.random_range(0..22);
        let at_ms = self.judge.elapsed().as_millis();
        let name = &self.servers[server].name;
        self.faults.push(format!("{at_ms} ms: kind {kind}, machine {machine}, {name}, {span:?}"));
        match kind {
            0 => {
                self.disturb_machine(machine, time::Duration::ZERO);
                self.machines[machine].signal(Signal::KILL);
            }
            1 | 2 => self.machines[machine].signal(Signal::TERM),
            3 => self.pause(machine, span),
            4 => self.machines[machine].signal(Signal::HUP),
            5 => self.disturb_server(server, proxy::Mode::Delay(span / 8), span),
            6 => self.disturb_server(server, proxy::Mode::Reset, span),
            7 => {
                let silence = if span.as_millis().is_multiple_of(2) {
                    proxy::Mode::Silent
                } else {
                    proxy::Mode::MuteAnswers
                };
                self.disturb_server(server, silence, span);
            }
            8 => self.break_store(span),
            9 => self.replace_server(server).await?,
            10 => self.restore_store(),
            11 => self.kill_all(),
            13 | 14 => self.name_limit(server),
            15 => self.make_endless(server, span),
            16 => self.disturb_server(server, proxy::Mode::EndlessHead, span),
            17 | 20 | 21 => self.send_crashing(),
            18 => self.leave(server).await?,
            19 => self.ask_for_pauses(server, span),
            _ => self.change_configuration(),
        }
        Ok(())
    }

    fn disturb(&self, machine: usize, span: time::Duration) {
        let until = time::Instant::now() + span + AFTERMATH;
        self.disturbances.note(self.machines[machine].callers(), until);
    }

    /// Notes that an instance is killed or does not run for a while.
    fn disturb_machine(&self, machine: usize, span: time::Duration) {
        self.disturb(machine, span);
        self.judge.note_disturbance(Some(self.machines[machine].callers()), span);
    }

    fn kill_all(&self) {
        for machine in 0..self.machines.len() {
            self.disturb_machine(machine, time::Duration::ZERO);
            self.machines[machine].signal(Signal::KILL);
        }
    }

    fn pause(&self, machine: usize, span: time::Duration) {
        self.disturb_machine(machine, span);
        self.judge.excuse_bounds(span);
        self.machines[machine].signal(Signal::STOP);
        let Some(id) = self.machines[machine].id() else { return };
        tokio::task::spawn_local(async move {
            tokio::time::sleep(span).await;
            // A process that was killed meanwhile does not go on.
            let _ = rustix::process::kill_process(id, Signal::CONT);
        });
    }

    /// A server's trouble may cut answers at every instance.
    fn disturb_server(&self, server: usize, mode: proxy::Mode, span: time::Duration) {
        for machine in 0..self.machines.len() {
            self.disturb(machine, span);
        }
        let switch = self.servers[server].switch.clone();
        switch.set(mode);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(span).await;
            switch.set(proxy::Mode::Clear);
        });
    }

    /// Requests that crash servers begin, or end.
    fn send_crashing(&mut self) {
        let is_end = !self.crashing.is_empty();
        self.crashing.drain(..).for_each(|caller| caller.abort());
        if !is_end {
            let seed = self.rng.random();
            let kind = self.rng.random_range(0..CRASHING_KINDS.len());
            let kinds = &CRASHING_KINDS[kind..=kind];
            self.crashing.push(self.caller(seed, kinds, CRASHING_PAUSE));
        }
        // Streams that are lost with their server are cut.
        for machine in 0..self.machines.len() {
            self.disturb(machine, CRASHED_FOR);
        }
    }

    /// The operator evacuates a zone for a while.
    fn draw_evacuation(&mut self) {
        let is_any = self.evacuations.borrow().values().any(|is_in_force| *is_in_force);
        let zone = ZONES[self.evacuation_rng.random_range(0..ZONES.len())];
        if !self.evacuation_rng.random_bool(EVACUATION_SHARE) || is_any {
            return;
        }
        self.faults.push(format!("{} ms: zone {zone} evacuated", self.judge.elapsed().as_millis()));
        let (store, judge) = (rc::Rc::clone(&self.store), rc::Rc::clone(&self.judge));
        let evacuations = rc::Rc::clone(&self.evacuations);
        let set = move |is_in_force| {
            evacuations.borrow_mut().insert(zone, is_in_force);
            judge.note_evacuation(zone, is_in_force);
            store.put("keyed.op", format!("evacuate/{zone}"), evacuation(is_in_force));
        };
        set(true);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(EVACUATED_FOR).await;
            set(false);
        });
    }

    /// A server states that it leaves, and goes on serving; another one comes.
    async fn leave(&mut self, server: usize) -> io::Result<()> {
        self.add_server().await?;
        let leaving = self.servers.swap_remove(server);
        leaving.trouble.is_leaving.set(true);
        Ok(())
    }

    /// A server turns requests away for a while, and asks each instance for a pause.
    fn ask_for_pauses(&self, server: usize, span: time::Duration) {
        let trouble = rc::Rc::clone(&self.servers[server].trouble);
        trouble.pause.set(Some(span / 2 + PAUSE_EXTRA));
        tokio::task::spawn_local(async move {
            tokio::time::sleep(span).await;
            trouble.pause.set(None);
        });
    }

    /// A server in need names a limit, changes it or withdraws it.
    fn name_limit(&mut self, server: usize) {
        let Server { name, trouble, .. } = &self.servers[server];
        let limit_per_s = match trouble.limit_per_s.get() {
            Some(_) if self.rng.random_bool(0.3) => None,
            _ => Some(f64::from(self.rng.random_range(0..50_u8)) / 10.0),
        };
        trouble.limit_per_s.set(limit_per_s);
        self.judge.note_limit(name, limit_per_s);
        self.faults.push(format!("{name} takes {limit_per_s:?} a second"));
    }

    /// The answers of a server have no end for a while.
    fn make_endless(&self, server: usize, span: time::Duration) {
        for machine in 0..self.machines.len() {
            self.disturb(machine, span);
        }
        let trouble = rc::Rc::clone(&self.servers[server].trouble);
        trouble.is_endless.set(true);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(span).await;
            trouble.is_endless.set(false);
        });
    }

    fn break_store(&self, span: time::Duration) {
        let mode = if span.as_millis().is_multiple_of(2) {
            store::Mode::Busy
        } else {
            store::Mode::Silent
        };
        self.store.set_mode(mode);
        self.judge.excuse_bounds(span);
        self.judge.note_disturbance(None, span);
        let store = rc::Rc::clone(&self.store);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(span).await;
            store.set_mode(store::Mode::Up);
        });
    }

    /// The store comes back from an older copy; the operator and the servers write again.
    fn restore_store(&mut self) {
        let lost_records = self.rng.random_range(1..40);
        self.store.restore(lost_records);
        self.write_configuration();
        for (zone, is_in_force) in self.evacuations.borrow().iter() {
            let key = format!("evacuate/{zone}");
            self.store.put("keyed.op", &key, evacuation(*is_in_force));
        }
        let (left, store) = (self.left.clone(), rc::Rc::clone(&self.store));
        let none = time::Duration::ZERO;
        let gone = entry(self.no_server(), ZONES[0], streams::VERSIONS[0], "draining", none);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(HEARTBEAT).await;
            for name in left {
                store.put("keyed.servers", &name, gone.as_bytes());
            }
        });
    }

    /// Returns an address at which no server listens.
    fn no_server(&self) -> net::SocketAddr {
        let [a, b, c] = self.ip;
        net::SocketAddr::from(([a, b, c, 3], 1))
    }

    /// A server leaves, and another one comes.
    async fn replace_server(&mut self, server: usize) -> io::Result<()> {
        self.add_server().await?;
        let Server { name, beats, .. } = self.servers.remove(server);
        beats.abort();
        let none = time::Duration::ZERO;
        let gone = entry(self.no_server(), ZONES[0], streams::VERSIONS[0], "draining", none);
        self.store.put("keyed.servers", &name, gone.as_bytes());
        self.judge.note_left(&name);
        self.left.push(name);
        Ok(())
    }

    fn change_configuration(&mut self) {
        if self.has_gone_route {
            self.has_gone_route = false;
            self.judge.note_withdrawn("/gone/x");
        } else if self.has_second_key {
            self.has_second_key = false;
            self.judge.note_withdrawn("/second/x");
        }
        self.configure();
    }
}

/// Returns the value of a record that evacuates a zone, or lifts that.
fn evacuation(is_in_force: bool) -> &'static [u8] {
    if is_in_force { b"{}" } else { b"" }
}

fn entry(
    address: net::SocketAddr,
    zone: &str,
    version: &str,
    state: &str,
    cold: time::Duration,
) -> String {
    serde_json::json!({
        "Service": "desk", "Address": address, "Zone": zone, "Version": version, "Slots": 6,
        "State": state, "ColdRemainingMs": cold.as_millis() as u64, "Sequence": 0, "born": 1,
    })
    .to_string()
}
