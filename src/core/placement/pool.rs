//! The servers of one model and phase, and the ways to choose candidates from them.

use xxhash_rust::xxh3;

use crate::core::placement::constants;
use crate::core::placement::speeds;

/// The servers that run one phase of a model's requests, as indices in ascending order.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<usize>,
    next: usize,
}

impl Pool {
    /// Creates a pool of servers, given in ascending order.
    pub fn new(servers: Vec<usize>) -> Self {
        Self { servers, next: 0 }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether a server is in the pool.
    pub fn contains(&self, server: usize) -> bool {
        self.servers.binary_search(&server).is_ok()
    }

    /// Returns all servers in round-robin order, starting one further at each call.
    pub fn round_robin(&mut self) -> Vec<usize> {
        let length = self.servers.len();
        if length == 0 {
            return Vec::new();
        }
        self.next = (self.next + 1) % length;
        let next = self.next;
        (0..length).map(move |step| self.servers[(next + step) % length]).collect()
    }

    /// Returns all servers by a key, lowest first; equal ones in round-robin order.
    pub fn by_key<K: Ord>(&mut self, key: impl Fn(usize) -> K) -> Vec<usize> {
        let mut servers = self.round_robin();
        servers.sort_by_key(|server| key(*server));
        servers
    }

    /// Returns the servers with the highest weighted rendezvous scores for a hash, best first.
    pub fn rendezvous(
        &self,
        hash: u64,
        count: usize,
        speeds: &speeds::Speeds,
        usable: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let mut scored: Vec<(f64, usize)> = self
            .group(hash)
            .iter()
            .filter(|server| usable(**server))
            .map(|server| (speeds.prefill_score(*server, hash), *server))
            .collect();
        scored.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        scored.into_iter().take(count).map(|(_, server)| server).collect()
    }

    /// Samples distinct servers at random, in proportion to their decode acceptance, by rejection
    /// sampling.
    pub fn sample(
        &self,
        seed: u64,
        count: usize,
        speeds: &speeds::Speeds,
        usable: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let mut sampled = Vec::with_capacity(count);
        let length = self.servers.len() as u64;
        for attempt in 0..(count * DRAWS_PER_CANDIDATE) as u64 {
            if sampled.len() >= count || length == 0 {
                break;
            }
            let hash = xxh3::xxh3_64_with_seed(&attempt.to_le_bytes(), seed);
            let server = self.servers[((u128::from(hash) * u128::from(length)) >> 64) as usize];
            let threshold = (hash & 0xffff) as f64 / 65_536.0;
            let accepted = threshold < speeds.decode_acceptance(server);
            if accepted && usable(server) && !sampled.contains(&server) {
                sampled.push(server);
            }
        }
        sampled
    }

    /// Returns up to `count` usable servers, searching from a position that the seed chooses.
    pub fn nearby(&self, seed: u64, count: usize, usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let length = self.servers.len().max(1);
        let first = (seed % length as u64) as usize;
        let rotated =
            self.servers[first.min(self.servers.len())..].iter().chain(&self.servers[..first]);
        let nearby = rotated.take(constants::GROUP_SERVERS);
        nearby.copied().filter(|server| usable(*server)).take(count).collect()
    }

    fn group(&self, hash: u64) -> &[usize] {
        let groups = self.servers.len().div_ceil(constants::GROUP_SERVERS);
        if groups <= 1 {
            return &self.servers;
        }
        let group = (xxh3::xxh3_64(&hash.to_le_bytes()) % groups as u64) as usize;
        let size = self.servers.len().div_ceil(groups);
        let start = group * size;
        &self.servers[start.min(self.servers.len())..(start + size).min(self.servers.len())]
    }
}

/// Draws tried for each candidate, since some draws are rejected.
const DRAWS_PER_CANDIDATE: usize = 6;
