//! Moving estimates of durations that requests at servers take.

use std::time;

/// The weight of a new observation: ten observations replace most of the older ones.
const SMOOTHING: f64 = 0.1;

/// Returns the weight of what was seen `age` ago, which is halved in each half-life.
pub fn decayed_weight(age: time::Duration, half_life: time::Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Returns the duration that the share `quantile` of some durations do not exceed, by the nearest rank.
pub fn nearest_rank(
    durations: impl Iterator<Item = time::Duration>,
    quantile: f64,
) -> Option<time::Duration> {
    let mut durations: Vec<_> = durations.collect();
    let rank = (quantile * durations.len() as f64).ceil() as usize;
    let index = rank.clamp(1, durations.len().max(1)) - 1;
    (index < durations.len()).then(|| *durations.select_nth_unstable(index).1)
}

/// The mean of a duration and its mean deviation, both as exponential moving averages.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
}

impl Estimate {
    /// Creates the estimate from a first observation.
    pub fn new(first: time::Duration) -> Self {
        Self { mean_ms: first.as_secs_f64() * 1_000.0, deviation_ms: 0.0 }
    }

    /// Updates the estimate with an observation.
    pub fn record(&mut self, observed: time::Duration) {
        let difference_ms = observed.as_secs_f64() * 1_000.0 - self.mean_ms;
        self.mean_ms += SMOOTHING * difference_ms;
        self.deviation_ms += SMOOTHING * (difference_ms.abs() - self.deviation_ms);
    }

    /// Returns the mean duration.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns a duration that most requests do not exceed: the mean plus the mean deviation.
    pub fn upper_ms(&self) -> f64 {
        self.mean_ms + self.deviation_ms
    }
}
