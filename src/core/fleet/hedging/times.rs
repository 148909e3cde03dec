//! The recent times of requests of one service and kind, with a quantile of them.

use std::collections::VecDeque;
use std::time;

use crate::core::fleet::estimate;
use crate::core::ids;

/// The time for which a request's time counts.
pub const RETENTION: time::Duration = time::Duration::from_secs(60);

/// The number of times below which no quantile is known: with fewer, one slow request moves it.
pub const MIN_TIMES: usize = 20;

/// The number of times kept. The highest quantile, 0.99, leaves five of them above it.
const MAX_TIMES: usize = 512;

/// The interval at which the quantile is computed again, as that sorts the times.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A quantile of recent times, with what it rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// The time that the share `quantile` of the requests did not exceed.
    pub delay: time::Duration,
    /// The quantile.
    pub quantile: f64,
    /// The number of times.
    pub sample: usize,
    /// The time since the newest of them was recorded.
    pub age: time::Duration,
}

/// The recent times, the oldest first.
#[derive(Debug, Default)]
pub struct RecentTimes {
    times: VecDeque<(ids::Timestamp, time::Duration)>,
    /// The quantile as last computed, and when.
    computed: Option<(ids::Timestamp, time::Duration)>,
}

impl RecentTimes {
    /// Records the time that a request took.
    pub fn record(&mut self, elapsed: time::Duration, now: ids::Timestamp) {
        if self.times.len() == MAX_TIMES {
            self.times.pop_front();
        }
        self.times.push_back((now, elapsed));
    }

    /// Returns a quantile of the recent times; `None` if too few are known.
    pub fn quantile(&mut self, quantile: f64, now: ids::Timestamp) -> Option<Basis> {
        while self.times.front().is_some_and(|(at, _)| now.saturating_sub(*at) > RETENTION) {
            self.times.pop_front();
        }
        let sample = self.times.len();
        if sample < MIN_TIMES {
            return None;
        }
        let fresh = self.computed.filter(|(at, _)| now.saturating_sub(*at) < REFRESH_INTERVAL);
        let times = self.times.iter().map(|(_, elapsed)| *elapsed);
        let delay = match fresh {
            Some((_, delay)) => delay,
            None => estimate::nearest_rank(times, quantile)?,
        };
        if fresh.is_none() {
            self.computed = Some((now, delay));
        }
        let newest = self.times.back().map_or(now, |(at, _)| *at);
        Some(Basis { delay, quantile, sample, age: now.saturating_sub(newest) })
    }
}
