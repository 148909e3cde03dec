//! What the state of an instance tells others: callers, peers, and the tasks of the router.

use std::net;
use std::sync;

use rand::RngExt as _;

use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::ledger;
use crate::core::fleet::peers;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
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
    pub fn newer_peer(&mut self, now: ids::Timestamp) -> Option<net::SocketAddr> {
        let newer: Vec<_> = self.peers.newer_than(self.version(), now).collect();
        let index = self.rng.random_range(0..newer.len().max(1));
        newer.get(index).copied()
    }

    /// Returns the position of the last change of the list of servers.
    pub fn servers_at(&self) -> ids::Offset {
        self.servers_at
    }

    /// Returns the peer whose list of servers has a newer change than this instance's.
    pub fn peer_with_newer_servers(&self, now: ids::Timestamp) -> Option<net::SocketAddr> {
        let (offset, peer) = self.peers.newest_servers(now)?;
        (offset > self.servers_at).then_some(peer)
    }

    /// Returns whether this instance should read the store itself: some do for all, and everyone
    /// does who does not hear of them.
    pub fn should_read_store(&self, now: ids::Timestamp) -> bool {
        self.peers.readers_before(self.own.caller_address, now) < constants::STORE_READERS
    }

    /// Notes whether this instance reads the store, for its peers.
    pub fn set_reads_store(&mut self, reads_store: bool) {
        self.reads_store = reads_store;
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
        members.truncate(constants::ADDRESSES_AT_MOST);
        members.into_iter().map(|member| member.caller_address).collect()
    }

    /// Returns what peers are told now.
    pub fn digest(&mut self, now: ids::Timestamp, with_members: bool) -> peers::Digest {
        self.sequence += 1;
        let mut from = self.own.clone();
        from.is_ready = self.is_ready();
        let spending =
            self.quotas.own().into_iter().map(|(name, spent)| (name.to_string(), spent)).collect();
        let members = if with_members { self.sample_members(now) } else { Vec::new() };
        let work = self.requests.iter().filter_map(|(request, live)| {
            let ticket = ledger::Ticket {
                holder: self.own.incarnation,
                request: *request,
                attempt: live.attempt,
            };
            Some((ticket, live.places()?))
        });
        peers::Digest {
            from,
            sequence: self.sequence,
            version: self.version(),
            servers_at: self.servers_at,
            reads_store: self.reads_store,
            work: work.collect(),
            uptime_ms: waiting::millis(now),
            spending,
            members,
        }
    }

    /// Returns some live members, so that digests stay short in a large fleet.
    fn sample_members(&mut self, now: ids::Timestamp) -> Vec<peers::Member> {
        let mut members: Vec<_> = self.peers.live(now).cloned().collect();
        let turn = self.rng.random_range(0..members.len().max(1));
        members.rotate_left(turn);
        members.truncate(constants::MEMBERS_TOLD);
        members
    }

    /// Returns whether it is known what was spent before this instance started.
    pub fn knows_past(&self) -> bool {
        self.quotas.knows_past()
    }

    /// Returns what the whole fleet has spent within the window.
    pub fn spending(&mut self, now: ids::Timestamp) -> Vec<quota::Spending> {
        self.quotas.spending(now)
    }

    /// Returns whether this instance writes for the whole fleet: the first of those that live.
    pub fn is_first(&self, now: ids::Timestamp) -> bool {
        self.peers.live(now).all(|member| member.caller_address > self.own.caller_address)
    }

    /// Returns this instance as it is announced in the store.
    pub fn announcement(&self) -> peers::Member {
        let mut own = self.own.clone();
        own.is_ready = true;
        own
    }
}
