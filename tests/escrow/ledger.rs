//! Accounts for the tokens that a workspace is granted.

use std::collections::BTreeMap;

/// The tokens granted to one workspace, as a leaky bucket whose level must not exceed the burst.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    pub admitted_tokens: u64,
    pub admitted: u64,
    pub refused: u64,
    pub refusals: BTreeMap<String, u64>,
    pub peak_tokens: f64,
    pub level_tokens: f64,
    at_us: u64,
}

impl Ledger {
    /// Adds spent tokens, or returned ones if negative.
    pub fn spend(&mut self, tokens: f64, rate: f64, now_us: u64) {
        let elapsed_s = (now_us - self.at_us) as f64 / 1e6;
        self.level_tokens = (self.level_tokens - elapsed_s * rate).max(0.0) + tokens;
        self.peak_tokens = self.peak_tokens.max(self.level_tokens);
        self.at_us = now_us;
    }
}
