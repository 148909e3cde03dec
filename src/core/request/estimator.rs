//! Estimates a prompt's length in tokens from its length in bytes.

use crate::core::collections;
use crate::core::ids;
use crate::core::request::constants;

/// A new sample has a weight of one in this number.
const SMOOTHING_SAMPLES: u64 = 16;

/// Shorter prompts are no samples, since their ratio varies too much.
const MIN_SAMPLE_BYTES: u64 = 64;

/// The learned ratio of tokens to bytes for each model.
#[derive(Debug, Default)]
pub struct Estimator {
    tokens_per_million_bytes: collections::Map<ids::ModelId, u64>,
}

impl Estimator {
    /// Returns the estimated length of a prompt in tokens, rounded up.
    pub fn prompt_tokens(&self, model: &ids::ModelId, prompt_bytes: u64) -> u32 {
        let ratio = self.ratio(model);
        let tokens = prompt_bytes.saturating_mul(ratio).div_ceil(1_000_000).max(1);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Updates the ratio from an engine's token count.
    pub fn learn(&mut self, model: &ids::ModelId, prompt_bytes: u64, prompt_tokens: u32) {
        if prompt_bytes < MIN_SAMPLE_BYTES || prompt_tokens == 0 {
            return;
        }
        let sample = u64::from(prompt_tokens) * 1_000_000 / prompt_bytes;
        let ratio = self.ratio(model);
        let learned = (ratio * (SMOOTHING_SAMPLES - 1) + sample) / SMOOTHING_SAMPLES;
        self.tokens_per_million_bytes.insert(model.clone(), learned);
    }

    fn ratio(&self, model: &ids::ModelId) -> u64 {
        let initial = constants::INITIAL_TOKENS_PER_1000_BYTES * 1_000;
        self.tokens_per_million_bytes.get(model).copied().unwrap_or(initial)
    }
}
