//! Queries of an instance's state, for callers, peers and the tasks of the router.

use std::net;
use std::sync;

use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::live;
use crate::core::fleet::peers;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::ids;

/// The requests in progress at this instance.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct InProgress {
    /// Those that are at no server.
    pub waiting: usize,
    /// Those that are at a server.
    pub at_servers: usize,
}

impl Fleet {
    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.content.version)
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&sync::Arc<catalog::Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the entries of all servers.
    pub fn server_entries(&self, now: ids::Timestamp) -> Vec<servers::Entry> {
        self.servers.entries(now)
    }

    /// Returns the server entries that changed at `position` or later, for a peer that knows all
    /// earlier changes.
    pub fn server_entries_since(
        &self,
        position: ids::StorePosition,
        now: ids::Timestamp,
    ) -> Vec<servers::Entry> {
        let mut entries = self.servers.entries(now);
        entries.retain(|entry| entry.offset >= position);
        entries
    }

    /// Returns whether callers may be sent to this instance.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_some() && self.shutdown.is_none()
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the numbers of requests in progress.
    pub fn in_progress(&self) -> InProgress {
        let is_at_server =
            |live: &&live::LiveRequest| matches!(live.phase, live::Phase::AtServer(_));
        let at_servers = self.requests.values().filter(is_at_server).count();
        InProgress { waiting: self.requests.len() - at_servers, at_servers }
    }

    /// Returns the ids of all servers if some removals at `position` or later may be unknown.
    pub fn server_names_unless_removals_known(
        &self,
        position: ids::StorePosition,
    ) -> Option<Vec<ids::ServerId>> {
        self.servers.names_unless_removals_known(position)
    }

    /// Returns the removals of servers at `position` or later, for a peer that knows all earlier
    /// changes.
    pub fn server_removals_since(&self, position: ids::StorePosition) -> Vec<servers::Removal> {
        self.servers.removals_since(position)
    }

    /// Returns the position after the last change of the server list; 0 before the first one.
    pub fn servers_position(&self) -> ids::StorePosition {
        self.servers_position
    }

    /// Returns the peer with the newest server list, if it is newer than this instance's.
    pub fn peer_with_newer_servers(&self, now: ids::Timestamp) -> Option<net::SocketAddr> {
        let (offset, peer) = self.peers.newest_servers(now)?;
        (offset > self.servers_position).then_some(peer)
    }

    /// Returns a coordinator that may know the spending before this instance took over counting.
    pub fn peer_with_history(&self, now: ids::Timestamp) -> Option<net::SocketAddr> {
        if !self.is_coordinator || self.knows_history() || !self.is_coordinated(now) {
            return None;
        }
        self.peers.coordinators(now).first().map(|member| member.peer_address)
    }

    /// Returns whether this instance should read the store itself. Coordinators read it for all.
    /// While none of them can, the next instances by rank try too, as the store may reject only
    /// some machines. Coordinators of an older build do not send the software versions of servers.
    pub fn should_read_store(&self, now: ids::Timestamp) -> bool {
        let lacks_data = self.catalog.is_none() || self.servers.lacks_versions(now);
        if self.is_coordinator || lacks_data {
            return true;
        }
        let ranked_higher =
            self.peers.live(now).filter(|member| member.ranks_above(&self.own)).count();
        !self.peers.has_store_reader(now) && ranked_higher < constants::FALLBACK_STORE_READERS
    }

    /// Returns whether this instance should list the announced members in the store. Coordinators
    /// tell the others, and instances with more cores are more likely to coordinate: they list the
    /// members first after a start, so that most others need not.
    pub fn should_list_members(&self, now: ids::Timestamp) -> bool {
        if self.is_coordinator {
            return true;
        }
        let per_core = constants::MEMBER_LISTING_DELAY.div_f64(self.own.capacity_cores.max(0.01));
        let delay = per_core.saturating_sub(constants::MEMBER_LISTING_DELAY);
        // Coordinators that cannot read the store know of no other ones.
        let has_member_source = self.peers.has_store_reader(now);
        !has_member_source
            && now >= delay.min(constants::MAX_MEMBER_LISTING_DELAY)
            && self.should_read_store(now)
    }

    /// Returns the newest configuration version that a live peer has; 0 if none has any.
    pub fn newest_peer_version(&self, now: ids::Timestamp) -> u64 {
        self.peers.newest_version(now)
    }

    /// Returns whether servers may have changed unnoticed: neither this instance nor a coordinator that
    /// it reaches reads the store, and the instances that it does not reach may be as many as the others.
    pub(super) fn may_miss_changes(&self, now: ids::Timestamp) -> bool {
        let known = self.peers.known().count() + 1;
        let reached = self.peers.live(now).count() + 1;
        !self.reads_store && !self.peers.has_store_reader(now) && reached * 2 <= known
    }

    /// Sets whether this instance can read the store; its digests report this.
    pub fn set_reads_store(&mut self, reads_store: bool) {
        self.reads_store = reads_store;
    }

    /// Returns whether a member is this instance or a known peer.
    pub fn remembers_member(&self, member: &peers::Member) -> bool {
        member.incarnation == self.own.incarnation || self.peers.contains(member.incarnation)
    }

    /// Returns the addresses of all known peers, unresponsive ones included.
    pub fn known_peers(&self) -> Vec<net::SocketAddr> {
        self.peers.known().map(|member| member.peer_address).collect()
    }

    /// Returns the addresses for callers: the live and ready instances, and of too many for one
    /// answer those with the most cores.
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

    /// Returns whether the spending before the start of this instance is known.
    pub fn knows_history(&self) -> bool {
        self.quotas.knows_history()
    }

    /// Returns the spending of the whole fleet within the window.
    pub fn spending(&mut self, now: ids::Timestamp) -> Vec<quota::Spending> {
        self.quotas.spending(now)
    }

    /// Returns this instance's record in the store.
    pub fn store_record(&self) -> peers::Member {
        let mut own = self.own.clone();
        own.is_ready = true;
        own
    }
}
