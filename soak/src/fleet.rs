//! Instances as processes, each with its settings file.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;

use rustix::process as signals;

/// The memory that an instance may take, in MiB.
const MEMORY_LIMIT_MB: u64 = 110;

/// A machine with an instance on it.
pub struct Machine {
    program: path::PathBuf,
    folder: path::PathBuf,
    /// Its address.
    pub ip: net::Ipv4Addr,
    child: Option<process::Child>,
}

impl Machine {
    /// Describes a machine; nothing runs on it yet.
    pub fn new(program: path::PathBuf, folder: &path::Path, ip: net::Ipv4Addr) -> Self {
        Self { program, folder: folder.join(ip.to_string()), ip, child: None }
    }

    /// Where callers connect.
    pub fn callers(&self) -> net::SocketAddr {
        net::SocketAddr::from((self.ip, 8_360))
    }

    /// Where callers ask for addresses.
    pub fn directory(&self) -> net::SocketAddr {
        net::SocketAddr::from((self.ip, 8_364))
    }

    /// Starts the instance.
    ///
    /// # Errors
    ///
    /// Fails if the settings cannot be written or the program does not start.
    pub fn start(
        &mut self,
        store: net::SocketAddr,
        seeds: &[net::Ipv4Addr],
        is_first: bool,
    ) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let settings = self.folder.join("node.toml");
        let ip = self.ip;
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:8367\"")).collect();
        let seeds = seeds.join(",");
        fs::write(
            &settings,
            format!(
                "NodeName = \"node-{ip}\"\nIp = \"{ip}\"\nZone = \"z\"\nInternalPorts = [7500, 7515]\n\
                 SeedNodes = [{seeds}]\nBootstrap = {is_first}\n[ListenAddrs]\n\
                 Frontend = \"{ip}:8360\"\nReady = \"{ip}:8365\"\nControlPlane = \"{ip}:8367\"\n\
                 DirectoryAddr = \"{ip}:8364\"\n[Limits]\nCpuFraction = 0.25\nCpuCores = 1\nMemoryLimitMb = {MEMORY_LIMIT_MB}\n[Bounds]\n\
                 GraceS = 6\nQuotaWindowS = 8\nRetryBudgetRatio = 0.2\nRetryWindowS = 10\n\
                 BudgetSlack = 60\n[Platform]\nAddress = \"{store}\"\n"
            ),
        )?;
        let log = fs::File::options().create(true).append(true).open(self.folder.join("log"))?;
        let child = process::Command::new(&self.program)
            .arg("node")
            .env("GALENAYARD_CONFIG", &settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the id of the process.
    pub fn id(&self) -> Option<signals::Pid> {
        signals::Pid::from_raw(self.child.as_ref()?.id().cast_signed())
    }

    /// Sends a signal to the instance.
    pub fn signal(&self, signal: signals::Signal) {
        let Some(id) = self.id() else { return };
        // A process that has ended already needs no signal.
        let _ = signals::kill_process(id, signal);
    }

    /// Returns the most memory that the instance has taken in MiB, if that is too much.
    pub fn excess_memory_mb(&self) -> Option<u64> {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.as_ref()?.id())).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_mb = peak.trim().trim_end_matches(" kB").parse::<u64>().ok()? / 1_024;
        (peak_mb > MEMORY_LIMIT_MB).then_some(peak_mb)
    }

    /// Returns whether the instance has ended, and forgets it then.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        };
        if has_ended {
            self.child = None;
        }
        has_ended
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(signals::Signal::KILL);
        if let Some(child) = &mut self.child {
            // It was killed by its id; nothing is left to be told.
            let _ = child.wait();
        }
    }
}
