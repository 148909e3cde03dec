//! Faults that a fake engine shows on command.

use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Imports of KV caches do not move on.
    pub stall_transfers: bool,
    /// Factor on all times of computing.
    pub slow_factor: f64,
    /// Delay before each answer.
    pub late_answer_ms: u64,
    /// Number of coming answers that carry another request's id and content.
    pub crossed_answers: u64,
    /// Every fifth chunk is followed by a chunk of another request.
    pub stray_chunks: bool,
    /// Exported KV caches are gone when an import asks for them.
    pub evict_kv_on_arrival: bool,
    /// Orders with old fencing numbers are accepted.
    pub ignore_fence: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            stall_transfers: false,
            slow_factor: 1.0,
            late_answer_ms: 0,
            crossed_answers: 0,
            stray_chunks: false,
            evict_kv_on_arrival: false,
            ignore_fence: false,
        }
    }
}

/// A command that changes the faults; a field left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// See [`Faults::stall_transfers`].
    pub stall_transfers: Option<bool>,
    /// See [`Faults::slow_factor`].
    pub slow_factor: Option<f64>,
    /// See [`Faults::late_answer_ms`].
    pub late_answer_ms: Option<u64>,
    /// See [`Faults::crossed_answers`].
    pub crossed_answers: Option<u64>,
    /// See [`Faults::stray_chunks`].
    pub stray_chunks: Option<bool>,
    /// See [`Faults::evict_kv_on_arrival`].
    pub evict_kv_on_arrival: Option<bool>,
    /// See [`Faults::ignore_fence`].
    pub ignore_fence: Option<bool>,
    /// Makes the connections that are open now silent for good.
    pub silence: bool,
    /// Drops everything and refuses connections for this time.
    pub crash_ms: Option<u64>,
}

impl Faults {
    /// Takes over the fields that a command names.
    pub fn apply(&mut self, command: &Command) {
        set(&mut self.stall_transfers, command.stall_transfers);
        set(&mut self.slow_factor, command.slow_factor);
        set(&mut self.late_answer_ms, command.late_answer_ms);
        set(&mut self.crossed_answers, command.crossed_answers);
        set(&mut self.stray_chunks, command.stray_chunks);
        set(&mut self.evict_kv_on_arrival, command.evict_kv_on_arrival);
        set(&mut self.ignore_fence, command.ignore_fence);
    }
}

fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
