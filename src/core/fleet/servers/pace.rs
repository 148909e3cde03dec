//! How long streams take at each engine, compared with the others of its service.
//!
//! Load pattern: engines differ in speed or turn slow, and whatever ends takes the streams in
//! progress with it: an engine, an instance, all instances. The shorter streams run, the fewer are
//! lost, and the sooner callers have their answers.

use std::time;

use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::estimate;
use crate::core::fleet::servers;
use crate::core::ids;

/// The time that streams have taken at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    stream_ms: f64,
    updated: ids::Timestamp,
}

impl Pace {
    /// Returns the weight of what is known, which it loses with time. Otherwise, an engine that was
    /// slow would never be tried again.
    fn weight(self, now: ids::Timestamp) -> f64 {
        estimate::decayed_weight(now.saturating_sub(self.updated), constants::PACE_HALF_LIFE)
    }
}

impl servers::Directory {
    /// Updates the time that streams take at an engine.
    pub(super) fn record_stream(
        &mut self,
        id: &ids::ServerId,
        elapsed: time::Duration,
        now: ids::Timestamp,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let first = || estimate::Estimate::new(elapsed);
        let usual = self.stream_times.entry(server.entry.service.clone()).or_insert_with(first);
        usual.record(elapsed);
        let usual_ms = usual.mean_ms();
        let known_ms = server
            .pace
            .map_or(usual_ms, |pace| usual_ms + (pace.stream_ms - usual_ms) * pace.weight(now));
        let stream_ms = known_ms + constants::SPEED_SMOOTHING * (elapsed_ms - known_ms);
        server.pace = Some(Pace { stream_ms, updated: now });
    }

    /// Returns the time that streams usually take at the engines of a service.
    pub fn usual_stream_ms(&self, service: &catalog::ServiceId) -> Option<f64> {
        self.stream_times.get(service).map(|estimate| estimate.mean_ms())
    }
}

impl servers::Server {
    /// Returns the penalty for streams that take longer than usual, as additional expected wait; it is
    /// negative where they take less.
    pub fn pace_penalty_ms(&self, usual_stream_ms: Option<f64>, now: ids::Timestamp) -> f64 {
        let (Some(pace), Some(usual_ms)) = (self.pace, usual_stream_ms) else { return 0.0 };
        let excess = (pace.stream_ms / usual_ms.max(1.0) - 1.0).min(constants::MAX_PACE_EXCESS);
        excess * pace.weight(now) * constants::SLOW_STREAM_PENALTY_MS
    }
}
