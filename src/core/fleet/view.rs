//! What the state of an instance tells others: callers, peers, and the tasks of the router.

use std::net;
use std::sync;

use rand::RngExt as _;

use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::peers;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::ids;

impl Fleet {
    /// Returns the version in force; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.content.version)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&sync::Arc<catalog::Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns all server entries.
    pub fn server_entries(&self) -> Vec<servers::Entry> {
        self.servers.entries()
    }

    /// Returns the server entries that one lacks whose last change came before `position`.
    pub fn server_entries_since(&self, position: ids::Offset) -> Vec<servers::Entry> {
        let mut entries = self.servers.entries();
        entries.retain(|entry| entry.offset >= position);
        entries
    }

    /// Returns whether callers may be sent to this instance.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some() && !self.is_leaving
    }

    /// Returns how many requests are under way.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns a peer with a newer configuration than this instance's, drawn so that not all
    /// instances ask the same one.
    pub fn peer_with_newer_configuration(
        &mut self,
        now: ids::Timestamp,
    ) -> Option<net::SocketAddr> {
        let newer: Vec<_> = self.peers.newer_than(self.version(), now).collect();
        let index = self.rng.random_range(0..newer.len().max(1));
        newer.get(index).copied()
    }

    /// Returns the names of all servers if the removals that one lacks are not all known, whose last
    /// change came before `position`.
    pub fn server_names_unless_removals_known(
        &self,
        position: ids::Offset,
    ) -> Option<Vec<ids::ServerId>> {
        self.servers.names_unless_remembered(position)
    }

    /// Returns the removals of servers that one has not heard of whose last change came before
    /// `position`.
    pub fn server_removals_since(&self, position: ids::Offset) -> Vec<servers::Removal> {
        self.servers.removals_since(position)
    }

    /// Returns the position after the last change of the list of servers; 0 before the first one.
    pub fn servers_position(&self) -> ids::Offset {
        self.servers_at
    }

    /// Returns the peer whose list of servers has a newer change than this instance's.
    pub fn peer_with_newer_servers(&self, now: ids::Timestamp) -> Option<net::SocketAddr> {
        let (offset, peer) = self.peers.newest_servers(now)?;
        (offset > self.servers_at).then_some(peer)
    }

    /// Returns a coordinator that may know what was spent before this instance began to count.
    pub fn peer_with_history(&self, now: ids::Timestamp) -> Option<net::SocketAddr> {
        if !self.coordinates || self.knows_history() || !self.is_coordinated(now) {
            return None;
        }
        self.peers.coordinators(now).first().map(|member| member.peer_address)
    }

    /// Returns whether this instance should read the store itself: coordinators do for all. While
    /// they cannot, the next ones by rank try, as the store may turn away some machines only.
    pub fn should_read_store(&self, now: ids::Timestamp) -> bool {
        if self.coordinates || self.catalog.is_none() {
            return true;
        }
        let before = self.peers.live(now).filter(|member| member.precedes(&self.own)).count();
        !self.peers.is_store_read(now) && before < constants::FALLBACK_STORE_READERS
    }

    /// Notes whether this instance reads the store, for its peers.
    pub fn set_reads_store(&mut self, reads_store: bool) {
        self.reads_store = reads_store;
    }

    /// Returns whether an instance has given a sign of life lately, or may still do so.
    pub fn remembers_member(&self, member: &peers::Member) -> bool {
        member.incarnation == self.own.incarnation || self.peers.contains(member.incarnation)
    }

    /// Returns where all peers are reached, the silent ones too.
    pub fn known_peers(&self) -> Vec<net::SocketAddr> {
        self.peers.known().map(|member| member.peer_address).collect()
    }

    /// Returns where callers may connect: the ready instances that were heard lately, the largest
    /// first where they are too many for one answer.
    pub fn caller_addresses(&self, now: ids::Timestamp) -> Vec<net::SocketAddr> {
        let own = Some(&self.own).filter(|_| self.is_ready());
        let mut members: Vec<_> =
            self.peers.live(now).filter(|member| member.is_ready).chain(own).collect();
        members.sort_by(|one, other| {
            let by_size = other.capacity_cores.total_cmp(&one.capacity_cores);
            by_size.then(one.caller_address.cmp(&other.caller_address))
        });
        members.truncate(constants::MAX_CALLER_ADDRESSES);
        members.into_iter().map(|member| member.caller_address).collect()
    }

    /// Returns whether it is known what was spent before this instance started.
    pub fn knows_history(&self) -> bool {
        self.quotas.knows_history()
    }

    /// Returns what the whole fleet has spent within the window.
    pub fn spending(&mut self, now: ids::Timestamp) -> Vec<quota::Spending> {
        self.quotas.spending(now)
    }

    /// Returns this instance as it is announced in the store.
    pub fn store_record(&self) -> peers::Member {
        let mut own = self.own.clone();
        own.is_ready = true;
        own
    }
}
