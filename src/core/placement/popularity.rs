//! Counts the recent work by prompt prefix, in two generations of bounded size.

use crate::core::collections;
use crate::core::ids;
use crate::core::placement::constants;

#[derive(Debug, Default)]
struct Generation {
    work_tokens: collections::Map<ids::BlockHash, u64>,
    total_tokens: u64,
    requests: u32,
}

/// The recent work by prefix. Only prefixes whose length in blocks is a power of two, and the whole
/// prompt, are counted.
#[derive(Debug, Default)]
pub struct Popularity {
    current: Generation,
    previous: Generation,
}

/// The result of looking up a prompt's prefixes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prefix {
    /// The block whose hash chooses the server; `None` for a prompt without a whole block.
    pub key: Option<ids::BlockHash>,
    /// The length of the longest counted prefix that an earlier prompt had, in blocks.
    pub seen_blocks: usize,
}

impl Popularity {
    /// Counts a prompt and returns the prefix to place it by.
    ///
    /// The key is the shortest counted prefix that is not popular. Prompts with the same prefix are
    /// placed on the same server, but a prefix that many prompts share does not overload one
    /// server.
    pub fn record(&mut self, chain: &[ids::BlockHash], tokens: u32, servers: usize) -> Prefix {
        self.rotate();
        let total = self.current.total_tokens + self.previous.total_tokens;
        let requests = self.current.requests + self.previous.requests;
        let has_enough = requests >= constants::MIN_POPULARITY_REQUESTS;
        let fair_share = total as f64 / servers.max(1) as f64;
        let mut prefix = Prefix { key: None, seen_blocks: 0 };
        let mut is_chosen = false;
        for length in sampled_lengths(chain.len()) {
            let block = chain[length - 1];
            let work = self.work_tokens(block);
            if work > 0 {
                prefix.seen_blocks = length;
            }
            if !is_chosen {
                prefix.key = Some(block);
                is_chosen =
                    !has_enough || work as f64 <= fair_share * constants::POPULAR_SERVER_SHARES;
            }
            *self.current.work_tokens.entry(block).or_default() += u64::from(tokens);
        }
        self.current.total_tokens += u64::from(tokens);
        self.current.requests += 1;
        prefix
    }

    fn work_tokens(&self, block: ids::BlockHash) -> u64 {
        let current = self.current.work_tokens.get(&block).copied().unwrap_or(0);
        current + self.previous.work_tokens.get(&block).copied().unwrap_or(0)
    }

    fn rotate(&mut self) {
        let is_complete = self.current.requests >= constants::POPULARITY_WINDOW;
        let is_full = self.current.work_tokens.len() >= constants::MAX_POPULARITY_PREFIXES;
        if is_complete || is_full {
            self.previous = std::mem::take(&mut self.current);
        }
    }
}

fn sampled_lengths(blocks: usize) -> impl Iterator<Item = usize> {
    let powers = std::iter::successors(Some(1), |length| Some(length * 2));
    let powers = powers.take_while(move |length| *length < blocks);
    powers.chain((blocks > 0).then_some(blocks))
}
