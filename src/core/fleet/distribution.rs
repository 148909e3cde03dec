//! Where an instance gets a newer configuration: from the store or from a peer.
//!
//! Load pattern: each change of the configuration reaches hundreds of instances within a second. If
//! all read it from the store, its calls grow with the fleet; the instances that read the store
//! anyway pass it on.

use std::net;
use std::time;

use rand::RngExt as _;

use crate::core::fleet::Fleet;
use crate::core::ids;

/// How long an instance that reads the store expects a newer configuration from there before it asks
/// a peer.
const STORE_HEAD_START: time::Duration = time::Duration::from_millis(600);

/// How long an instance that does not read the store expects a newer configuration from its peers
/// before it reads the store, too: several exchanges with peers.
const PEERS_HEAD_START: time::Duration = time::Duration::from_millis(800);

impl Fleet {
    /// Returns whether this instance is to read the configuration and the evacuations in the store.
    pub fn should_read_configuration(&mut self, now: ids::Timestamp) -> bool {
        let outdated = self.outdated_time(now);
        let lacks_reports = self.lacks_evacuation_reports(now);
        self.should_read_store(now)
            || lacks_reports
            || self.lacks_cold_bounds()
            || outdated.is_some_and(|time| time >= PEERS_HEAD_START)
    }

    /// Returns the peer to ask for a newer configuration, if there is one and it is time to. It is
    /// chosen at random, so that not all instances ask the same one.
    pub fn configuration_peer(&mut self, now: ids::Timestamp) -> Option<net::SocketAddr> {
        let outdated = self.outdated_time(now)?;
        if self.should_read_store(now) && outdated < STORE_HEAD_START {
            return None;
        }
        let newer: Vec<_> = self.peers.with_version_above(self.version(), now).collect();
        let index = self.rng.random_range(0..newer.len().max(1));
        newer.get(index).copied()
    }

    /// Returns how long it has been known that a peer has a newer configuration; `None` if none has.
    fn outdated_time(&mut self, now: ids::Timestamp) -> Option<time::Duration> {
        if self.peers.with_version_above(self.version(), now).next().is_none() {
            self.outdated_since = None;
            return None;
        }
        Some(now.saturating_sub(*self.outdated_since.get_or_insert(now)))
    }
}
