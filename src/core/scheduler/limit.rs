//! Learns how many requests a server can decode at the same time within the inter-token target, its
//! prefill speed, and how long decode reservations are held.

use std::time;

use crate::core::ids;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;

/// The weight of a new sample in the moving mean of the time between tokens.
const LATENCY_GAIN: f64 = 0.15;

/// The number of mean deviations above the mean that approximates the 95th percentile.
const P95_DEVIATIONS: f64 = 2.0;

/// The fewest tokens that make a sample.
const MIN_SAMPLE_TOKENS: u32 = 4;

/// The smallest factor by which one step shrinks the limit.
const MIN_SHRINK_FACTOR: f64 = 0.7;

/// The growth factor of one step until the limit first shrinks.
const INITIAL_GROWTH_FACTOR: f64 = 1.25;

/// The initial limit, as a share of the slots.
const INITIAL_SLOT_SHARE: f64 = 0.5;

/// The adaptive limit on concurrent decodes of one server.
#[derive(Debug)]
pub struct DecodeLimit {
    max: u32,
    limit: f64,
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
    has_shrunk: bool,
    changed_at: ids::Timestamp,
}

impl DecodeLimit {
    /// Creates the limit of a server without samples.
    pub fn new(slots: u32, now: ids::Timestamp) -> Self {
        let limit = (f64::from(slots) * INITIAL_SLOT_SHARE).max(1.0);
        Self {
            max: slots.max(1),
            limit,
            mean_ms: 0.0,
            deviation_ms: 0.0,
            samples: 0,
            has_shrunk: false,
            changed_at: now,
        }
    }

    /// Returns how many decodes may run at the same time; at least 1.
    pub fn current(&self) -> u32 {
        (self.limit as u32).clamp(1, self.max)
    }

    /// Sets the upper bound of the limit.
    pub fn set_max(&mut self, max: u32) {
        self.max = max.max(1);
        self.limit = self.limit.min(f64::from(self.max));
    }

    /// Adds a sample of the time between tokens; `in_use` counts the decode reservations that are
    /// held or waited for.
    ///
    /// Samples that were mostly measured before the last change of the limit are ignored.
    pub fn on_sample(&mut self, report: &message::Report, in_use: u32, now: ids::Timestamp) {
        if report.tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let elapsed_ms = report.elapsed_ms / report.observations.max(1);
        let elapsed = time::Duration::from_millis(u64::from(elapsed_ms));
        if now.saturating_sub(self.changed_at) < elapsed / 2 {
            return;
        }
        self.update_estimate(f64::from(report.elapsed_ms) / f64::from(report.tokens));
        if now < self.changed_at + constants::LIMIT_CHANGE_INTERVAL {
            return;
        }
        self.adjust(in_use, now);
    }

    /// Shrinks the limit because requests wait inside the engine.
    pub fn on_engine_queue(&mut self, now: ids::Timestamp) {
        if now < self.changed_at + constants::LIMIT_CHANGE_INTERVAL {
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
        self.mean_ms += LATENCY_GAIN * error;
        self.deviation_ms += LATENCY_GAIN * (error.abs() - self.deviation_ms);
    }

    fn adjust(&mut self, in_use: u32, now: ids::Timestamp) {
        let p95_ms = self.mean_ms + P95_DEVIATIONS * self.deviation_ms;
        let target_ms = constants::INTER_TOKEN_TARGET_MS;
        if p95_ms > target_ms * constants::LIMIT_SHRINK_ABOVE {
            let used = self.limit.min(f64::from(in_use.max(1)));
            let factor =
                (target_ms * constants::LIMIT_GROWTH_BELOW / p95_ms).max(MIN_SHRINK_FACTOR);
            self.limit = (used * factor).max(1.0);
            self.has_shrunk = true;
            self.restart_estimate(now);
            return;
        }
        let is_reached = f64::from(in_use) + 1.0 >= self.limit.floor();
        if p95_ms < target_ms * constants::LIMIT_GROWTH_BELOW && is_reached {
            let grown = if self.has_shrunk {
                self.limit + 1.0
            } else {
                (self.limit * INITIAL_GROWTH_FACTOR).ceil()
            };
            self.limit = grown.min(f64::from(self.max));
            self.changed_at = now;
        }
    }

    fn restart_estimate(&mut self, now: ids::Timestamp) {
        self.changed_at = now;
        self.deviation_ms = 0.0;
        self.samples = 0;
    }
}

/// The time with running prefills over which one sample of the speed is taken.
const SPEED_WINDOW: time::Duration = time::Duration::from_millis(400);

/// The weight of a new sample of the speed.
const SPEED_GAIN: f64 = 0.3;

/// The prefill speed of one server: the work of completed prefills over the time with running ones.
#[derive(Debug)]
pub struct PrefillSpeed {
    tokens_per_s: f64,
    has_sample: bool,
    tokens: u64,
    busy: time::Duration,
    busy_since: Option<ids::Timestamp>,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self {
            tokens_per_s: constants::INITIAL_PREFILL_TOKENS_PER_S,
            has_sample: false,
            tokens: 0,
            busy: time::Duration::ZERO,
            busy_since: None,
        }
    }
}

impl PrefillSpeed {
    /// Returns the time that prefilling this many tokens takes, in milliseconds.
    pub fn time_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * 1_000.0 / self.tokens_per_s
    }

    /// Records how many prefills run from now on.
    pub fn set_running(&mut self, running: u32, now: ids::Timestamp) {
        if let Some(busy_since) = self.busy_since.take() {
            self.busy += now.saturating_sub(busy_since);
        }
        if running > 0 {
            self.busy_since = Some(now);
        }
    }

    /// Records that a prefill of this many tokens has ended.
    pub fn on_prefill(&mut self, tokens: u32, now: ids::Timestamp) {
        self.tokens += u64::from(tokens);
        if let Some(busy_since) = self.busy_since {
            self.busy += now.saturating_sub(busy_since);
            self.busy_since = Some(now);
        }
        if self.busy < SPEED_WINDOW || self.tokens == 0 {
            return;
        }
        let sample = self.tokens as f64 / self.busy.as_secs_f64();
        let gain = if self.has_sample { SPEED_GAIN } else { 1.0 };
        self.tokens_per_s += gain * (sample - self.tokens_per_s);
        self.has_sample = true;
        self.tokens = 0;
        self.busy = time::Duration::ZERO;
    }
}

/// The weight of a new sample of the hold time.
const HOLD_GAIN: f64 = 0.1;

/// How long decode reservations of one server are held, and for how much of that time they decode.
#[derive(Debug)]
pub struct DecodeHoldTime {
    held_ms: f64,
    decoding_ms: f64,
}

impl Default for DecodeHoldTime {
    fn default() -> Self {
        let held_ms = constants::INITIAL_DECODE_HOLD_MS;
        Self { held_ms, decoding_ms: held_ms }
    }
}

impl DecodeHoldTime {
    /// Records time in which requests decoded, in milliseconds.
    pub fn on_decode(&mut self, elapsed_ms: u32) {
        self.decoding_ms += HOLD_GAIN * f64::from(elapsed_ms);
    }

    /// Records that a reservation was released after this time.
    pub fn on_release(&mut self, held: time::Duration) {
        self.held_ms += HOLD_GAIN * (held.as_secs_f64() * 1_000.0 - self.held_ms);
        self.decoding_ms -= HOLD_GAIN * self.decoding_ms;
    }

    /// Returns the mean time for which a reservation is held, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.held_ms
    }

    /// Returns the mean time for which a reservation is held before its request decodes, in
    /// milliseconds.
    pub fn before_decode_ms(&self) -> f64 {
        (self.held_ms - self.decoding_ms).max(0.0)
    }

    /// Returns how many reservations may be granted for this many slots.
    ///
    /// A reservation is held while the prompt is prefilled and its KV cache is transferred, so more
    /// reservations than slots can be granted. Their number is bounded so that a KV cache that
    /// arrives at a full server waits at most [`constants::MAX_OVERLAP_WAIT_MS`], even if all
    /// arrive at the same time: slots become free at the rate of `slots / decoding_ms`.
    pub fn max_reservations(&self, slots: u32) -> u32 {
        let freed = constants::MAX_OVERLAP_WAIT_MS / self.decoding_ms.max(1.0);
        slots + (f64::from(slots) * freed.min(constants::MAX_OVERLAP_SHARE)) as u32
    }
}
