//! What an operator may set for limits.

use serde::{Deserialize, Serialize};

use crate::core::escrow::constants;

/// How the limits are kept over the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Rights are split over quota holders and tokens are granted to whoever needs them.
    #[default]
    Escrow,
    /// Each instance owns an equal part of rate and burst; the baseline for measurements.
    EqualSplit,
}

/// Settings of the escrow reducer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// How the limits are kept.
    pub policy: Policy,
    /// Time for which a request may wait for tokens.
    pub reserve_wait_ms: u64,
    /// Requests of one workspace that may wait at one instance.
    pub max_waiting: usize,
    /// Rate by which the clock of an instance may be off, in millionths.
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
