//! The servers of one model and phase, and how candidates are drawn from them.

use xxhash_rust::xxh3;

use crate::core::placement::constants;
use crate::core::placement::speeds;

/// The servers that can take one phase of a model's requests, as indices.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<usize>,
    turn: usize,
}

impl Pool {
    /// Creates a pool.
    pub fn new(servers: Vec<usize>) -> Self {
        Self { servers, turn: 0 }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether the pool has a server.
    pub fn contains(&self, server: usize) -> bool {
        self.servers.binary_search(&server).is_ok()
    }

    /// Returns the servers in turn, starting with the next one.
    pub fn in_turn(&mut self) -> Vec<usize> {
        let length = self.servers.len();
        if length == 0 {
            return Vec::new();
        }
        self.turn = (self.turn + 1) % length;
        let turn = self.turn;
        (0..length).map(move |step| self.servers[(turn + step) % length]).collect()
    }

    /// Returns all servers by a key, lowest first; equal ones in turn.
    pub fn by_key<K: Ord>(&mut self, key: impl Fn(usize) -> K) -> Vec<usize> {
        let mut servers = self.in_turn();
        servers.sort_by_key(|server| key(*server));
        servers
    }

    /// Returns the best servers for a hash by weighted rendezvous.
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

    /// Draws distinct servers at random, in proportion to their decode weights.
    pub fn draw(
        &self,
        seed: u64,
        count: usize,
        speeds: &speeds::Speeds,
        usable: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let mut drawn = Vec::with_capacity(count);
        let length = self.servers.len() as u64;
        for attempt in 0..(count * DRAWS_PER_SERVER) as u64 {
            if drawn.len() >= count || length == 0 {
                break;
            }
            let hash = xxh3::xxh3_64_with_seed(&attempt.to_le_bytes(), seed);
            let server = self.servers[((u128::from(hash) * u128::from(length)) >> 64) as usize];
            let threshold = (hash & 0xffff) as f64 / 65_536.0;
            let accepted = threshold < speeds.decode_share(server);
            if accepted && usable(server) && !drawn.contains(&server) {
                drawn.push(server);
            }
        }
        drawn
    }

    /// Returns up to `count` usable servers from a place in the list that the seed chooses.
    pub fn some(&self, seed: u64, count: usize, usable: impl Fn(usize) -> bool) -> Vec<usize> {
        let length = self.servers.len().max(1);
        let first = (seed % length as u64) as usize;
        let around =
            self.servers[first.min(self.servers.len())..].iter().chain(&self.servers[..first]);
        let nearby = around.take(constants::GROUP_SERVERS);
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

/// Draws that are tried for each server wanted, since some are rejected.
const DRAWS_PER_SERVER: usize = 6;
