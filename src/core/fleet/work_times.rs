//! A high quantile of the recent times that plain requests take, by service.
//!
//! Load pattern: the work of plain requests has a spread and a tail, so that requests which are
//! started at the last moment by the mean of the work miss their objective.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::estimate;
use crate::core::ids;

/// The share of requests that take no longer than the quantile.
const QUANTILE: f64 = 0.9;

/// The number of times that are kept of a service: enough for twelve beyond the quantile.
const MAX_TIMES: usize = 128;

/// The number of times below which the quantile is not known.
const MIN_TIMES: usize = 10;

/// The time after which a request says nothing about the present.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// The recent times of requests at plain services.
#[derive(Debug, Default)]
pub struct WorkTimes {
    by_service: collections::Map<catalog::ServiceId, Times>,
}

#[derive(Debug, Default)]
struct Times {
    recent: VecDeque<(ids::Timestamp, time::Duration)>,
    quantile: Option<time::Duration>,
}

impl WorkTimes {
    /// Records the time that a request has taken from sending it until its whole answer.
    pub fn record(
        &mut self,
        service: &catalog::ServiceId,
        elapsed: time::Duration,
        now: ids::Timestamp,
    ) {
        let times = self.by_service.entry(service.clone()).or_default();
        times.recent.push_back((now, elapsed));
        let is_old = |at: ids::Timestamp| now.saturating_sub(at) > RETENTION;
        while times.recent.len() > MAX_TIMES
            || times.recent.front().is_some_and(|(at, _)| is_old(*at))
        {
            times.recent.pop_front();
        }
        let is_known = times.recent.len() >= MIN_TIMES;
        let recent = times.recent.iter().map(|(_, elapsed)| *elapsed);
        times.quantile = is_known.then(|| estimate::nearest_rank(recent, QUANTILE)).flatten();
    }

    /// Returns the time that most requests of a service do not exceed; `None` if too few are known.
    pub fn quantile(&self, service: &catalog::ServiceId) -> Option<time::Duration> {
        self.by_service.get(service)?.quantile
    }
}

#[cfg(test)]
mod tests;
