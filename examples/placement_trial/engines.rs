//! Simple engines: prefill in order with a prefix cache, decode in steps whose time grows with the
//! batch.

use std::collections::VecDeque;

use galenayard::core::collections::Map;
use galenayard::core::ids;

const PREFILL_TOKENS_PER_MS: f64 = 8.0;
const CACHE_BLOCKS: usize = 1_024;
const TOKEN_MS: f64 = 26.0;
const BATCH_SLOWDOWN_REQUESTS: f64 = 40.0;
const BLOCK_TOKENS: u32 = 256;
pub const SLOTS: usize = 20;

pub struct Prefill {
    speed: f64,
    pub queue: VecDeque<u64>,
    running: Option<(u64, u32, f64)>,
    cache: Map<ids::BlockHash, u64>,
    uses: u64,
}

impl Prefill {
    pub fn new(speed: f64) -> Self {
        Self { speed, queue: VecDeque::new(), running: None, cache: Map::default(), uses: 0 }
    }

    /// Starts the next prefill; returns its tokens and its time.
    pub fn start(
        &mut self,
        now_ms: f64,
        prompt: impl Fn(u64) -> Option<(Vec<ids::BlockHash>, u32)>,
    ) -> Option<(u32, f64)> {
        if self.running.is_some() {
            return None;
        }
        let number = self.queue.pop_front()?;
        let (chain, prompt_tokens) = prompt(number)?;
        let hit = chain.iter().take_while(|block| self.cache.contains_key(*block)).count() as u32;
        let tokens = prompt_tokens.saturating_sub(hit * BLOCK_TOKENS).max(1);
        for block in chain {
            self.uses += 1;
            self.cache.insert(block, self.uses);
        }
        self.evict();
        self.running = Some((number, tokens, now_ms));
        Some((tokens, f64::from(tokens) / (PREFILL_TOKENS_PER_MS * self.speed)))
    }

    pub fn end(&mut self, now_ms: f64) -> Option<(u64, u32, f64)> {
        self.running.take().map(|(number, tokens, since_ms)| (number, tokens, now_ms - since_ms))
    }

    fn evict(&mut self) {
        if self.cache.len() <= CACHE_BLOCKS {
            return;
        }
        let mut by_use: Vec<_> = self.cache.iter().map(|(block, used)| (*used, *block)).collect();
        by_use.sort_unstable();
        for (_, block) in by_use.into_iter().take(self.cache.len() - CACHE_BLOCKS) {
            self.cache.remove(&block);
        }
    }
}

pub struct Decode {
    speed: f64,
    pub queue: VecDeque<u64>,
    pub running: Vec<u64>,
    pub stepping: bool,
}

impl Decode {
    pub fn new(speed: f64) -> Self {
        Self { speed, queue: VecDeque::new(), running: Vec::new(), stepping: false }
    }

    pub fn admit(&mut self) -> Option<u64> {
        if self.running.len() >= SLOTS { None } else { self.queue.pop_front() }
    }

    /// Begins a step if none is under way; returns its time.
    pub fn next_step_ms(&mut self) -> Option<f64> {
        if self.stepping || self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        Some(step_ms(self.speed, self.running.len()))
    }
}

/// Returns the time between tokens with this many requests.
pub fn step_ms(speed: f64, requests: usize) -> f64 {
    TOKEN_MS * (1.0 + requests as f64 / BATCH_SLOWDOWN_REQUESTS) / speed
}

/// Returns the most tokens a second within the target for the time between tokens.
pub fn decode_tokens_per_s(speed: f64, target_ms: f64) -> f64 {
    let within = (1..=SLOTS).rev().find(|requests| step_ms(speed, *requests) <= target_ms);
    within.map_or(0.0, |requests| requests as f64 * 1_000.0 / step_ms(speed, requests))
}
