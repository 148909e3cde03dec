//! Learns how many requests a server can decode at once within the inter-token target, and how
//! fast it fills KV caches.

use std::time;

use crate::core::ids;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;

/// The weight of a new sample in the moving mean.
const MEAN_GAIN: f64 = 0.15;

/// The number of mean deviations above the mean that stands for the 95th percentile.
const DEVIATIONS: f64 = 2.0;

/// The fewest tokens that make a sample.
const SAMPLE_TOKENS: u32 = 4;

/// The most by which one step shrinks the limit.
const SHRINK_FLOOR: f64 = 0.7;

/// The growth of one step before the limit was ever reached.
const START_GROWTH: f64 = 1.25;

/// The share of slots that are given before anything is known.
const START_SHARE: f64 = 0.5;

/// The adaptive limit on concurrent decodes of one server.
#[derive(Debug)]
pub struct Limit {
    most: u32,
    limit: f64,
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
    shrunk: bool,
    changed_at: ids::Timestamp,
}

impl Limit {
    /// Creates the limit of a server of which nothing is known.
    pub fn new(slots: u32, now: ids::Timestamp) -> Self {
        let limit = (f64::from(slots) * START_SHARE).max(1.0);
        Self {
            most: slots.max(1),
            limit,
            mean_ms: 0.0,
            deviation_ms: 0.0,
            samples: 0,
            shrunk: false,
            changed_at: now,
        }
    }

    /// Returns how many decodes may run at once; at least 1.
    pub fn places(&self) -> u32 {
        (self.limit as u32).clamp(1, self.most)
    }

    /// Sets the most places that may ever be given.
    pub fn set_most(&mut self, most: u32) {
        self.most = most.max(1);
        self.limit = self.limit.min(f64::from(self.most));
    }

    /// Takes a sample of the time between tokens; `in_use` places are taken or wanted now.
    ///
    /// Samples that began before the last change say nothing about the present limit.
    pub fn observe(&mut self, report: &message::Report, in_use: u32, now: ids::Timestamp) {
        if report.tokens < SAMPLE_TOKENS {
            return;
        }
        let elapsed_ms = report.elapsed_ms / report.observations.max(1);
        let elapsed = time::Duration::from_millis(u64::from(elapsed_ms));
        if now.saturating_sub(self.changed_at) < elapsed / 2 {
            return;
        }
        self.update_estimate(f64::from(report.elapsed_ms) / f64::from(report.tokens));
        if now < self.changed_at + constants::LIMIT_WINDOW {
            return;
        }
        self.adjust(in_use, now);
    }

    /// Shrinks the limit because requests wait inside the engine.
    pub fn engine_queued(&mut self, now: ids::Timestamp) {
        if now < self.changed_at + constants::LIMIT_WINDOW {
            return;
        }
        self.limit = (self.limit - 1.0).max(1.0);
        self.changed_at = now;
    }

    fn update_estimate(&mut self, sample_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_ms = sample_ms;
            self.deviation_ms = 0.0;
            return;
        }
        let error = sample_ms - self.mean_ms;
        self.mean_ms += MEAN_GAIN * error;
        self.deviation_ms += MEAN_GAIN * (error.abs() - self.deviation_ms);
    }

    fn adjust(&mut self, in_use: u32, now: ids::Timestamp) {
        let high_ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        let target_ms = constants::INTER_TOKEN_TARGET_MS;
        if high_ms > target_ms * constants::LIMIT_SHRINK_ABOVE {
            let base = self.limit.min(f64::from(in_use.max(1)));
            let factor = (target_ms * constants::LIMIT_GROWTH_BELOW / high_ms).max(SHRINK_FLOOR);
            self.limit = (base * factor).max(1.0);
            self.shrunk = true;
            self.restart(now);
            return;
        }
        let reached = f64::from(in_use) + 1.0 >= self.limit.floor();
        if high_ms < target_ms * constants::LIMIT_GROWTH_BELOW && reached {
            let grown =
                if self.shrunk { self.limit + 1.0 } else { (self.limit * START_GROWTH).ceil() };
            self.limit = grown.min(f64::from(self.most));
            self.changed_at = now;
        }
    }

    fn restart(&mut self, now: ids::Timestamp) {
        self.changed_at = now;
        self.deviation_ms = 0.0;
        self.samples = 0;
    }
}

/// Time with prefills under way after which their speed is sampled.
const SPEED_WINDOW: time::Duration = time::Duration::from_millis(400);

/// The weight of a new sample of the speed.
const SPEED_GAIN: f64 = 0.3;

/// The prefill speed of one server: the work of its ended prefills over the time it was busy.
#[derive(Debug)]
pub struct Speed {
    tokens_per_s: f64,
    learned: bool,
    tokens: u64,
    busy: time::Duration,
    since: Option<ids::Timestamp>,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            tokens_per_s: constants::PREFILL_INITIAL_TOKENS_PER_S,
            learned: false,
            tokens: 0,
            busy: time::Duration::ZERO,
            since: None,
        }
    }
}

impl Speed {
    /// Returns the time that prefilling this many tokens takes, in milliseconds.
    pub fn time_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * 1_000.0 / self.tokens_per_s
    }

    /// Notes how many prefills are under way from now on.
    pub fn set_running(&mut self, running: u32, now: ids::Timestamp) {
        if let Some(since) = self.since.take() {
            self.busy += now.saturating_sub(since);
        }
        if running > 0 {
            self.since = Some(now);
        }
    }

    /// Notes that prompt tokens were processed.
    pub fn processed(&mut self, tokens: u32, now: ids::Timestamp) {
        self.tokens += u64::from(tokens);
        if let Some(since) = self.since {
            self.busy += now.saturating_sub(since);
            self.since = Some(now);
        }
        if self.busy < SPEED_WINDOW || self.tokens == 0 {
            return;
        }
        let sample = self.tokens as f64 / self.busy.as_secs_f64();
        let gain = if self.learned { SPEED_GAIN } else { 1.0 };
        self.tokens_per_s += gain * (sample - self.tokens_per_s);
        self.learned = true;
        self.tokens = 0;
        self.busy = time::Duration::ZERO;
    }
}

/// The weight of a new sample of the hold time.
const HOLD_GAIN: f64 = 0.1;

/// How long decode places of one server are held, and for which part of that time they decode.
#[derive(Debug)]
pub struct HoldTime {
    held_ms: f64,
    decoding_ms: f64,
}

impl Default for HoldTime {
    fn default() -> Self {
        let held_ms = constants::DECODE_INITIAL_HOLD_MS;
        Self { held_ms, decoding_ms: held_ms }
    }
}

impl HoldTime {
    /// Notes time in which requests decoded.
    pub fn decoded(&mut self, elapsed_ms: u32) {
        self.decoding_ms += HOLD_GAIN * f64::from(elapsed_ms);
    }

    /// Notes that a place was held for this long.
    pub fn released(&mut self, held: time::Duration) {
        self.held_ms += HOLD_GAIN * (held.as_secs_f64() * 1_000.0 - self.held_ms);
        self.decoding_ms -= HOLD_GAIN * self.decoding_ms;
    }

    /// Returns the mean time for which a place is held, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.held_ms
    }

    /// Returns how long a place is held before its request decodes, in milliseconds.
    pub fn lead_ms(&self) -> f64 {
        (self.held_ms - self.decoding_ms).max(0.0)
    }

    /// Returns how many places may be granted for this many slots.
    ///
    /// A place is held while the prompt is prefilled and its KV cache is moved. Further places
    /// are granted as long as a KV cache that comes to a full server waits less than its life,
    /// even if all come at once: slots fall free at the rate of `slots / decoding_ms`.
    pub fn places(&self, slots: u32) -> u32 {
        let freed = constants::OVERLAP_WAIT_MS / self.decoding_ms.max(1.0);
        slots + (f64::from(slots) * freed.min(constants::OVERLAP_LIMIT)) as u32
    }
}
