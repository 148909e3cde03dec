//! The actions, load and options of a simulated fleet.

use galenayard::core::escrow;

/// An action on the fleet, such as a fault or a request.
#[derive(Debug, Clone)]
pub enum Action {
    Crash(usize),
    Restart(usize),
    /// The process is paused for a time in milliseconds.
    Pause(usize, u64),
    /// The log records an eviction of a process that still runs.
    Evict(usize),
    /// The instance stops reading the log.
    DisconnectLog(usize),
    ReconnectLog(usize),
    /// Messages between two groups are lost; bit i gives the group of instance i.
    Partition(u32),
    /// Random loss and duplication, per thousand messages, and the longest extra delay.
    Noise {
        loss: u32,
        duplication: u32,
        delay_ms: u64,
    },
    /// The next message of a kind is lost, duplicated or delayed.
    NextMessage(MessageFault, &'static str),
    Leave(usize),
    Limit {
        rate: u64,
        burst: u64,
    },
    Reserve {
        at: usize,
        workspace: usize,
        tokens: u64,
    },
    /// Ends all faults and restarts crashed instances.
    Heal,
}

/// Requests of one size at equal intervals.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub at: usize,
    pub workspace: usize,
    pub tokens: u64,
    pub every_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageFault {
    Lost,
    Duplicated,
    Delayed(u64),
}

/// The messages that one instance sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

pub struct Options {
    pub nodes: usize,
    pub domains: usize,
    pub workspaces: usize,
    pub rate: u64,
    pub burst: u64,
    pub seed: u64,
    pub skews_ppm: Vec<i64>,
    pub latency_us: u64,
    pub tick_ms: u64,
    pub lease_ms: u64,
    pub settings: escrow::settings::Settings,
    /// Percentage of reserved tokens that a request uses.
    pub used_percent: u64,
    pub measure_bytes: bool,
    /// Whether every share is checked to have one holder after each event.
    pub check_holders: bool,
    pub trace: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nodes: 3,
            domains: 3,
            workspaces: 1,
            rate: 8_000,
            burst: 16_000,
            seed: 1,
            skews_ppm: Vec::new(),
            latency_us: 1_500,
            tick_ms: 20,
            lease_ms: 2_000,
            settings: escrow::settings::Settings::default(),
            used_percent: 100,
            measure_bytes: false,
            check_holders: true,
            trace: false,
        }
    }
}
