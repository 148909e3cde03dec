//! Settings for the enforcement of limits.

use serde::{Deserialize, Serialize};

use crate::core::escrow::constants;

/// How a limit is enforced over the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Quota holders hold shares of the limit and grant tokens to any instance that needs them.
    #[default]
    Escrow,
    /// Each instance has an equal part of rate and burst and never exchanges tokens; the baseline
    /// for measurements.
    EqualSplit,
}

/// Settings of the escrow reducer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How limits are enforced.
    pub policy: Policy,
    /// Longest time for which a request may wait for tokens.
    pub reserve_wait_ms: u64,
    /// Most requests of one workspace that may wait at one instance.
    pub max_waiting: usize,
    /// Largest assumed error of the clock rate of an instance, in parts per million.
    pub clock_drift_ppm: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            reserve_wait_ms: constants::RESERVE_WAIT_MS,
            max_waiting: constants::MAX_WAITING,
            clock_drift_ppm: constants::CLOCK_DRIFT_PPM,
        }
    }
}
