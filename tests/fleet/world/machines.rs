//! Machines that simulated plain servers share with others, so that their speed changes.

use rand::RngExt as _;
use rand::SeedableRng as _;

use super::*;

/// The interval at which the speed of a machine changes.
const STEP: Duration = Duration::from_millis(100);

/// The bounds of the time that work takes, in percent of the usual time, and of its change in a step.
const PERCENT: std::ops::RangeInclusive<i32> = 60..=300;
const MAX_CHANGE: i32 = 60;

/// The bounds of the work of a request, as a share of the mean: its standard deviation is half of the
/// mean. One request in a hundred takes five times as long.
const WORK_SHARE: std::ops::Range<f64> = 0.134..1.866;

/// What a server states of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stating {
    Nothing,
    LoadAndWork,
    /// The same in each answer.
    Always(server_load::Statement),
}

pub struct Machine {
    stating: Stating,
    steps: rand_chacha::ChaCha8Rng,
    work: rand_chacha::ChaCha8Rng,
    /// The percentages of the steps so far.
    walk: Vec<i32>,
    /// When each request begins and ends.
    requests: Vec<(Duration, Duration)>,
}

impl Machine {
    fn percent(&mut self, at: Duration) -> i32 {
        let step = step_at(at);
        while self.walk.len() <= step {
            let change = self.steps.random_range(-MAX_CHANGE..=MAX_CHANGE);
            let percent = self.walk.last().unwrap_or(&100) + change;
            self.walk.push(percent.clamp(*PERCENT.start(), *PERCENT.end()));
        }
        self.walk[step]
    }

    /// Runs a request and returns the time that it takes.
    pub(super) fn run(&mut self, begins: Duration) -> Duration {
        let share = self.work.random_range(WORK_SHARE);
        let share = if self.work.random_ratio(1, 100) { share * 5.0 } else { share };
        let work = WORK.mul_f64(share * f64::from(self.percent(begins)) / 100.0);
        self.requests.push((begins, begins + work));
        work
    }

    /// Returns what an answer states.
    pub(super) fn state(&mut self, now: Duration) -> server_load::Reading {
        self.requests.retain(|(_, ends)| *ends > now);
        let waiting = self.requests.iter().filter(|(begins, _)| *begins > now).count() as u32;
        let running = self.requests.len() as u32 - waiting;
        let work_percent = Some(f64::from(self.percent(now)));
        let load = server_load::Statement { running, waiting, slots: 6, work_percent: None };
        server_load::Reading::Stated(match self.stating {
            Stating::Nothing => return server_load::Reading::Absent,
            Stating::LoadAndWork => server_load::Statement { work_percent, ..load },
            Stating::Always(statement) => statement,
        })
    }
}

fn step_at(at: Duration) -> usize {
    (at.as_millis() / STEP.as_millis()) as usize
}

impl World {
    /// Lets the speed of a plain server's machine change from now on by a walk that `seed` determines.
    pub fn share_machine(&mut self, server: &str, seed: u64, stating: Stating) {
        let steps = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let work = rand_chacha::ChaCha8Rng::seed_from_u64(!seed);
        let (walk, requests) = (Vec::new(), Vec::new());
        let machine = Machine { stating, steps, work, walk, requests };
        self.plain(server).machine = Some(machine);
    }

    /// Changes what a server with a shared machine states.
    pub fn set_stating(&mut self, server: &str, stating: Stating) {
        self.plain(server).machine.as_mut().expect("it shares a machine").stating = stating;
    }

    /// Fixes the time that work takes at a server from now on, in percent of the usual time.
    pub fn fix_machine(&mut self, server: &str, percent: i32) {
        let (first, last) = (step_at(self.now), step_at(self.now + Duration::from_secs(60)));
        let machine = self.plain(server).machine.as_mut().expect("it shares a machine");
        machine.walk.truncate(first);
        machine.walk.resize(last, percent);
    }

    fn plain(&mut self, server: &str) -> &mut Backend {
        let server = Bytes::from(server.to_string());
        self.backends.get_mut(&server).expect("the server exists")
    }
}
