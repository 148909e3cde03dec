//! What can happen to a fleet, and what it is made of.

use galenayard::core::escrow;

/// What happens to a fleet.
#[derive(Debug, Clone)]
pub enum Action {
    Crash(usize),
    Restart(usize),
    /// The process stands still, for a time in milliseconds.
    Pause(usize, u64),
    /// The log records an eviction of a process that still runs.
    Evict(usize),
    /// The instance stops reading the log.
    CutLog(usize),
    HealLog(usize),
    /// Messages between two groups are lost; bit i stands for instance i.
    Partition(u32),
    /// Loss and duplication per thousand messages, and the longest delay.
    Noise {
        loss: u32,
        duplication: u32,
        delay_ms: u64,
    },
    /// The next messages of a kind are lost, twice delivered or late.
    Next(Mishap, &'static str),
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
    /// Every instance runs and is connected from now on.
    Heal,
}

/// Requests of one size at equal distances.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub at: usize,
    pub workspace: usize,
    pub tokens: u64,
    pub every_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mishap {
    Lost,
    Twice,
    Late(u64),
}

/// The traffic of one instance.
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
