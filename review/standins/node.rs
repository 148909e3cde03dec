//! An instance as a process, with its settings file.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::client;

/// The program and the port of the metrics, as the deploy file names them.
const PROGRAM: &str = "target/release/galenayard";
const METRICS_PORT: &str = "9464";

/// The memory that an instance may take, in MiB.
pub const MEMORY_LIMIT_MB: u64 = 110;

/// The time from SIGTERM until the platform kills a process.
pub const GRACE: Duration = Duration::from_secs(8);

/// A machine with an instance on it.
pub struct Node {
    name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// The settings that differ between the machines of a deployment.
pub struct Machine<'a> {
    pub name: &'a str,
    pub ip: Ipv4Addr,
    pub zone: &'a str,
    pub seeds: &'a [Ipv4Addr],
    pub store: SocketAddr,
}

impl Node {
    /// Writes the settings of a machine and starts its instance.
    pub fn start(folder: &Path, machine: &Machine<'_>) -> Result<Self, Failure> {
        let settings = folder.join(format!("{}.toml", machine.name));
        let log = folder.join(format!("{}.log", machine.name));
        fs::write(&settings, text(machine, true))?;
        let child = spawn(&settings, &log)?;
        // Processes that start after the first time find this in their settings.
        let (name, ip) = (machine.name.to_string(), machine.ip);
        let node = Self { name, ip, settings, log, child };
        Ok(node)
    }

    /// Waits until the instance is ready.
    pub fn wait_until_ready(&self) -> Result<(), Failure> {
        let ready = SocketAddr::from((self.ip, 8365));
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if client::get(ready, "/-/readyz") == Some(200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready after 10 s", self.name).into())
    }

    /// Where clients connect.
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8360))
    }

    /// The name of the machine.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) {
        let command = format!("kill -{signal} {}", self.child.id());
        // A process that has ended needs no signal.
        let _ = Command::new("sh").args(["-c", &command]).stderr(Stdio::null()).status();
    }

    /// Returns the line that the instance has written about its end, if it has.
    pub fn last_words(&self) -> Option<String> {
        let log = fs::read_to_string(&self.log).ok()?;
        let line = log.lines().rev().find(|line| line.contains("stopped with"))?;
        let (_, message) = line.split_once("\"message\":\"")?;
        Some(message.split('"').next()?.to_string())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the memory that the process takes, in MiB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, as the platform does.
    pub fn restart(&mut self) -> Result<(), Failure> {
        self.kill();
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("Bootstrap = true", "Bootstrap = false"))?;
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Result<Child, Failure> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    let mut command = Command::new(PROGRAM);
    command
        .args(["node", "--metrics-port", METRICS_PORT])
        .env("GALENAYARD_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    // SAFETY: the closure only makes a system call that is safe between fork and exec.
    unsafe { command.pre_exec(end_with_parent) };
    command.spawn().map_err(|failure| format!("{PROGRAM}: {failure}").into())
}

/// Lets the process that is about to start end with the one that started it, however that ends.
fn end_with_parent() -> std::io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, signal: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call takes numbers only.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

fn text(machine: &Machine<'_>, is_first: bool) -> String {
    let Machine { name, ip, zone, seeds, store } = machine;
    let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:8367\"")).collect();
    let seeds = seeds.join(",");
    let grace = GRACE.as_secs();
    format!(
        r#"NodeName = "{name}"
Role = "router"
MachineClass = "edge"
Serves = ["edge","registry","control"]
Ip = "{ip}"
Zone = "{zone}"
Region = "povazie"
InternalPorts = [7500,7515]
SeedNodes = [{seeds}]
Bootstrap = {is_first}
FailureCounted = false
Discovery = "platform"
Entry = "registry"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]
[Zones]
trencin-depot = "povazie"
puchov-depot = "povazie"
[ListenAddrs]
Frontend = "{ip}:8360"
Ready = "{ip}:8365"
ControlPlane = "{ip}:8367"
DirectoryAddr = "{ip}:8364"
[Limits]
CpuFraction = 0.25
CpuCores = 1
MemoryLimitMb = {MEMORY_LIMIT_MB}
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
GraceS = {grace}
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
"#
    )
}
