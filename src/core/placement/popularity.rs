//! Counts how much of the work shares each prompt prefix, in two generations of bounded size.

use crate::core::collections;
use crate::core::ids;
use crate::core::placement::constants;

#[derive(Debug, Default)]
struct Generation {
    work_tokens: collections::Map<ids::BlockHash, u64>,
    total_tokens: u64,
    requests: u32,
}

/// The recent work by prefix. Prefixes are sampled at lengths that are powers of two, and whole.
#[derive(Debug, Default)]
pub struct Popularity {
    current: Generation,
    former: Generation,
}

/// What is known of a prompt's prefixes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prefix {
    /// The block whose hash chooses the server; `None` for a prompt without a whole block.
    pub key: Option<ids::BlockHash>,
    /// Blocks from the start that an earlier prompt had in common, as far as sampled.
    pub seen_blocks: usize,
}

impl Popularity {
    /// Counts a prompt and returns the prefix to place it by.
    ///
    /// The key is the shortest sampled prefix that is not popular, so that prompts with the same
    /// prefix meet, while one that is common to many prompts does not fill a single server.
    pub fn note(&mut self, chain: &[ids::BlockHash], tokens: u32, servers: usize) -> Prefix {
        self.rotate();
        let total = self.current.total_tokens + self.former.total_tokens;
        let requests = self.current.requests + self.former.requests;
        let enough = requests >= constants::POPULARITY_LEAST_REQUESTS;
        let fair = total as f64 / servers.max(1) as f64;
        let mut prefix = Prefix { key: None, seen_blocks: 0 };
        let mut settled = false;
        for length in lengths(chain.len()) {
            let block = chain[length - 1];
            let work = self.work_tokens(block);
            if work > 0 {
                prefix.seen_blocks = length;
            }
            if !settled {
                prefix.key = Some(block);
                settled = !enough || work as f64 <= fair * constants::POPULAR_SERVERS;
            }
            *self.current.work_tokens.entry(block).or_default() += u64::from(tokens);
        }
        self.current.total_tokens += u64::from(tokens);
        self.current.requests += 1;
        prefix
    }

    fn work_tokens(&self, block: ids::BlockHash) -> u64 {
        let current = self.current.work_tokens.get(&block).copied().unwrap_or(0);
        current + self.former.work_tokens.get(&block).copied().unwrap_or(0)
    }

    fn rotate(&mut self) {
        let many = self.current.requests >= constants::POPULARITY_REQUESTS;
        let large = self.current.work_tokens.len() >= constants::POPULARITY_PREFIXES;
        if many || large {
            self.former = std::mem::take(&mut self.current);
        }
    }
}

fn lengths(blocks: usize) -> impl Iterator<Item = usize> {
    let powers = std::iter::successors(Some(1), |length| Some(length * 2));
    let powers = powers.take_while(move |length| *length < blocks);
    powers.chain((blocks > 0).then_some(blocks))
}
