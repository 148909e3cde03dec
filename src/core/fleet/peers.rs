//! The other instances: their liveness, their role and the contents of their last digests.
//!
//! In a large fleet an instance receives digests of the coordinators only, which report their
//! observations of the other members.

use std::cmp;
use std::net;
use std::time;

use crate::core::collections;
use crate::core::fleet::constants;
use crate::core::fleet::ledger;
use crate::core::fleet::quota::tally;
use crate::core::ids;

/// An instance of the fleet.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The name of the instance.
    pub name: String,
    /// A random number drawn at the start of the process.
    pub incarnation: ids::Incarnation,
    /// The address for messages of peers.
    pub peer_address: net::SocketAddr,
    /// The address for requests of callers.
    pub caller_address: net::SocketAddr,
    /// Whether callers may be sent to the instance.
    pub is_ready: bool,
    /// The processor time of the instance, in cores.
    pub capacity_cores: f64,
    /// The start of the process, in milliseconds of Unix time.
    pub started_unix_ms: u64,
}

impl Member {
    /// Returns whether this member ranks higher as coordinator than `other`: instances with more
    /// cores rank higher, and of these the ones that have run longest, so that an instance that
    /// restarts replaces no other.
    pub fn ranks_above(&self, other: &Self) -> bool {
        by_rank(self, other) == cmp::Ordering::Less
    }
}

fn by_rank(one: &Member, other: &Member) -> cmp::Ordering {
    let by_size = other.capacity_cores.total_cmp(&one.capacity_cores);
    let by_start = one.started_unix_ms.cmp(&other.started_unix_ms);
    by_size.then(by_start).then(one.caller_address.cmp(&other.caller_address))
}

/// A coordinator's observation that a member is live.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Observation {
    /// The member as in its last digest.
    pub member: Member,
    /// The time since the coordinator received that digest.
    pub age_ms: u64,
}

/// The state that an instance sends its peers periodically.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: Member,
    /// The number of the sender's digest; a digest with a lower number than the last one is
    /// outdated.
    pub sequence: u64,
    /// The configuration version in force at the sender.
    pub version: u64,
    /// The position after the last change of the sender's list of servers.
    #[serde(rename = "servers_at")]
    pub servers_position: ids::StorePosition,
    /// Whether the sender is a coordinator.
    #[serde(rename = "coordinates")]
    pub is_coordinator: bool,
    /// Whether the sender's last attempt to read the store succeeded.
    pub reads_store: bool,
    /// The time since the sender's start.
    pub uptime_ms: u64,
    /// The sender's work and spending; sent to the instances that count them.
    #[serde(rename = "account")]
    pub usage: Option<Usage>,
    /// Some other members from which the sender has received digests recently.
    #[serde(rename = "sightings")]
    pub observations: Vec<Observation>,
    /// Members whose digests have recently timed out at the sender.
    pub lost: Vec<ids::Incarnation>,
}

/// The usage that other instances count for the sender.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// The sender's requests at servers, with their load.
    pub work: Vec<(ledger::Ticket, ledger::Reservations)>,
    /// The recently changed spending of workspaces at the sender.
    pub spending: Vec<tally::Report>,
}

#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    /// When its last digest was received.
    last_received: Option<ids::Timestamp>,
    /// When a coordinator last received a digest of it, as far as reported.
    last_observed: Option<ids::Timestamp>,
    /// When a coordinator last reported that its digests have timed out.
    reported_lost: Option<ids::Timestamp>,
    discovered: ids::Timestamp,
    /// When a change was last noticed that coordinators report to all instances.
    last_changed: ids::Timestamp,
    /// The time since the start of the process, at its last digest.
    uptime: time::Duration,
    sequence: u64,
    version: u64,
    servers_position: ids::StorePosition,
    is_coordinator: bool,
    reads_store: bool,
    /// The level of the protocol that it has stated; 0 before.
    protocol_level: u16,
}

/// The effect of a received digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedDigest {
    /// Whether it is the first digest of this incarnation.
    pub is_first: bool,
    /// Whether the peer had timed out before.
    pub is_returning: bool,
}

/// The known other instances.
#[derive(Debug, Default)]
pub struct Peers {
    peers: collections::Map<ids::Incarnation, Peer>,
}

impl Peers {
    /// Adds a member listed by the store or named by a peer, which shows no sign of life of it. A newer
    /// incarnation at an address replaces the older one only once its digest or an observation of
    /// it arrives; an older incarnation than a known one is ignored.
    pub fn discover(&mut self, member: &Member, now: ids::Timestamp) {
        let is_newer = |peer: &Peer| peer.member.started_unix_ms > member.started_unix_ms;
        if !self.others_at(member).any(is_newer) {
            self.insert(member, now);
        }
    }

    fn insert(&mut self, member: &Member, now: ids::Timestamp) {
        self.peers.entry(member.incarnation).or_insert_with(|| Peer {
            member: member.clone(),
            last_received: None,
            last_observed: None,
            reported_lost: None,
            discovered: now,
            last_changed: now,
            uptime: time::Duration::ZERO,
            sequence: 0,
            version: 0,
            servers_position: 0,
            is_coordinator: false,
            reads_store: false,
            protocol_level: 0,
        });
    }

    /// Returns the other incarnations at the address of a member.
    fn others_at(&self, member: &Member) -> impl Iterator<Item = &Peer> {
        let (incarnation, address) = (member.incarnation, member.peer_address);
        let others = self.peers.values();
        others.filter(move |peer| {
            peer.member.incarnation != incarnation && peer.member.peer_address == address
        })
    }

    /// Applies a digest; returns `None` if it is outdated.
    pub fn receive_digest(
        &mut self,
        digest: &Digest,
        now: ids::Timestamp,
    ) -> Option<ReceivedDigest> {
        let uptime = time::Duration::from_millis(digest.uptime_ms);
        // The time of day may have jumped between two starts at an address, their ages cannot.
        let is_younger = |peer: &Peer| peer.age(now).is_some_and(|age| age < uptime);
        if self.others_at(&digest.from).any(is_younger) {
            return None;
        }
        self.insert(&digest.from, now);
        let peer = self.peers.get_mut(&digest.from.incarnation)?;
        if peer.last_received.is_some() && digest.sequence <= peer.sequence {
            return None;
        }
        let is_returning =
            peer.last_received.is_some_and(|at| now.saturating_sub(at) > constants::PEER_TIMEOUT);
        let is_first = peer.last_received.is_none();
        if is_first || is_returning || peer.member.is_ready != digest.from.is_ready {
            peer.last_changed = now;
        }
        peer.last_received = Some(now);
        peer.uptime = uptime;
        peer.sequence = digest.sequence;
        peer.version = digest.version;
        peer.member = digest.from.clone();
        peer.servers_position = digest.servers_position;
        peer.is_coordinator = digest.is_coordinator;
        peer.reads_store = digest.reads_store;
        if is_first {
            self.replace_others(&digest.from);
        }
        Some(ReceivedDigest { is_first, is_returning })
    }

    /// Applies a coordinator's observation of a member.
    pub fn observe(&mut self, observation: &Observation, now: ids::Timestamp) {
        let at = now.saturating_sub(time::Duration::from_millis(observation.age_ms));
        let is_later = |peer: &Peer| peer.last_activity().is_some_and(|activity| activity >= at);
        if self.others_at(&observation.member).any(is_later) {
            return;
        }
        self.insert(&observation.member, now);
        let Some(peer) = self.peers.get_mut(&observation.member.incarnation) else { return };
        if peer.last_observed.is_some_and(|observed| observed >= at) {
            return;
        }
        let is_first = peer.last_observed.replace(at).is_none();
        if peer.last_received.is_none_or(|received| received < at) {
            peer.member = observation.member.clone();
        }
        if is_first {
            self.replace_others(&observation.member);
        }
    }

    /// Removes the other incarnations at the address of a member with a sign of life, unless they were
    /// only listed, as ones that started later.
    fn replace_others(&mut self, member: &Member) {
        self.peers.retain(|incarnation, peer| {
            let is_listed_later = peer.last_activity().is_none()
                && peer.member.started_unix_ms > member.started_unix_ms;
            *incarnation == member.incarnation
                || peer.member.peer_address != member.peer_address
                || is_listed_later
        });
    }

    /// Records a coordinator's report that the digests of a member have timed out.
    pub fn mark_lost(&mut self, incarnation: ids::Incarnation, now: ids::Timestamp) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.reported_lost = Some(now);
        }
    }

    /// Removes peers without any sign of life for `PEER_RETENTION`, and returns their incarnations.
    pub fn remove_unresponsive(&mut self, now: ids::Timestamp) -> Vec<ids::Incarnation> {
        let expired: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                now.saturating_sub(peer.last_activity().unwrap_or(peer.discovered))
                    > constants::PEER_RETENTION
            })
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in &expired {
            self.peers.remove(incarnation);
        }
        expired
    }

    /// Returns the peers that count as live, by own digests and by coordinators' observations.
    pub fn live(&self, now: ids::Timestamp) -> impl Iterator<Item = &Member> {
        self.peers.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.member)
    }

    /// Returns the number of peers whose last digest was received within `span`.
    pub fn count_active_within(&self, span: time::Duration, now: ids::Timestamp) -> usize {
        self.peers.values().filter(|peer| peer.is_active_within(span, now)).count()
    }

    /// Returns all known peers, unresponsive ones included.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Returns the `count` highest ranked known peers, live or not.
    pub fn highest_ranked(&self, count: usize) -> Vec<&Member> {
        let mut known: Vec<_> = self.known().collect();
        known.sort_by(|one, other| by_rank(one, other));
        known.truncate(count);
        known
    }

    /// Returns whether an incarnation is known.
    pub fn contains(&self, incarnation: ids::Incarnation) -> bool {
        self.peers.contains_key(&incarnation)
    }

    /// Records the level of the protocol that a peer states.
    pub fn record_protocol_level(&mut self, incarnation: ids::Incarnation, level: u16) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.protocol_level = level;
        }
    }

    /// Returns whether a peer reads the messages of a level of the protocol.
    pub fn speaks(&self, incarnation: ids::Incarnation, level: u16) -> bool {
        self.peers.get(&incarnation).is_some_and(|peer| peer.protocol_level >= level)
    }

    /// Returns the peers that coordinate, by rank.
    pub fn coordinators(&self, now: ids::Timestamp) -> Vec<&Member> {
        let mut coordinators: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.is_active_coordinator(now))
            .map(|peer| &peer.member)
            .collect();
        coordinators.sort_by(|one, other| by_rank(one, other));
        coordinators
    }

    /// Returns how many live and ready peers rank higher than `own`.
    pub fn count_live_ranked_higher(&self, own: &Member, now: ids::Timestamp) -> usize {
        self.live(now).filter(|member| member.is_ready && member.ranks_above(own)).count()
    }

    /// Returns how many known peers rank higher than `own`, live or not.
    pub fn count_known_ranked_higher(&self, own: &Member) -> usize {
        self.known().filter(|member| member.ranks_above(own)).count()
    }

    /// Returns when the last digest of a coordinator was received.
    pub fn last_coordinator_digest(&self) -> Option<ids::Timestamp> {
        let coordinators = self.peers.values().filter(|peer| peer.is_coordinator);
        coordinators.filter_map(|peer| peer.last_received).max()
    }

    /// Returns whether an active coordinator reads the store.
    pub fn has_store_reader(&self, now: ids::Timestamp) -> bool {
        self.peers.values().any(|peer| peer.is_active_coordinator(now) && peer.reads_store)
    }

    /// Returns observations of recently active members for one digest: first changed members, then
    /// some others. Both lists start at `offset`, so that successive digests cover different
    /// members.
    pub fn observations(&self, offset: usize, now: ids::Timestamp) -> Vec<Observation> {
        let active = self.recently_active(now);
        let (changed, others): (Vec<_>, Vec<_>) = active
            .partition(|(peer, _)| peer.is_changed_within(constants::CHANGE_REPORT_PERIOD, now));
        let changed = rotate_by(changed, offset).take(constants::MAX_CHANGED_MEMBERS_PER_DIGEST);
        let observed =
            changed.chain(rotate_by(others, offset).take(constants::UNCHANGED_MEMBERS_PER_DIGEST));
        observed.map(|(peer, age)| peer.observation(age)).collect()
    }

    /// Returns observations of all recently active members.
    pub fn all_observations(&self, now: ids::Timestamp) -> Vec<Observation> {
        self.recently_active(now).map(|(peer, age)| peer.observation(age)).collect()
    }

    /// Returns the peers whose digests have not timed out, with the age of the last digest.
    fn recently_active(
        &self,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = (&Peer, time::Duration)> {
        self.peers.values().filter_map(move |peer| {
            let age = now.saturating_sub(peer.last_received?);
            (age <= constants::PEER_TIMEOUT).then_some((peer, age))
        })
    }

    /// Returns the peers whose digests have timed out within `CHANGE_REPORT_PERIOD`.
    pub fn recently_lost(&self, now: ids::Timestamp) -> Vec<ids::Incarnation> {
        let reported_until = constants::PEER_TIMEOUT + constants::CHANGE_REPORT_PERIOD;
        let is_lost = |peer: &Peer| {
            let Some(last_received) = peer.last_received else { return false };
            let elapsed = now.saturating_sub(last_received);
            elapsed > constants::PEER_TIMEOUT && elapsed <= reported_until
        };
        self.peers
            .iter()
            .filter(|(_, peer)| is_lost(peer))
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    /// Returns the recently active peers with a configuration newer than `version`.
    pub fn with_version_above(
        &self,
        version: u64,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = net::SocketAddr> {
        self.peers
            .values()
            .filter(move |peer| peer.version > version)
            .filter(move |peer| peer.is_active_within(constants::PEER_TIMEOUT, now))
            .map(|peer| peer.member.peer_address)
    }

    /// Returns the newest configuration version of a recently active peer; 0 if none has any.
    pub fn newest_version(&self, now: ids::Timestamp) -> u64 {
        let active = self.peers.values();
        let active = active.filter(|peer| peer.is_active_within(constants::PEER_TIMEOUT, now));
        active.map(|peer| peer.version).max().unwrap_or(0)
    }

    /// Returns the coordinator or reader of the store with the newest list of servers, and the
    /// position of that list.
    pub fn newest_servers(
        &self,
        now: ids::Timestamp,
    ) -> Option<(ids::StorePosition, net::SocketAddr)> {
        self.peers
            .values()
            .filter(|peer| peer.reads_store || peer.is_coordinator)
            .filter(|peer| peer.is_active_within(constants::PEER_TIMEOUT, now))
            .map(|peer| (peer.servers_position, peer.member.peer_address))
            .max_by_key(|(offset, _)| *offset)
    }

    /// Returns the peers without a digest for `ASSUMED_SPENDING_TIMEOUT`, with the age of the last
    /// one.
    pub fn unresponsive(&self, now: ids::Timestamp) -> Vec<(ids::Incarnation, time::Duration)> {
        self.peers
            .iter()
            .filter_map(|(incarnation, peer)| {
                let elapsed = now.saturating_sub(peer.last_received?);
                (elapsed > constants::ASSUMED_SPENDING_TIMEOUT).then_some((*incarnation, elapsed))
            })
            .collect()
    }

    /// Returns the number of instances that may be part of the fleet: live ones, or all known ones
    /// if there are more, such as the ones that the store lists after a start.
    pub fn member_count(&self, now: ids::Timestamp) -> usize {
        self.instance_count(now).max(1 + self.known().count())
    }

    /// Returns the size of the fleet: this instance and all peers with a sign of life within
    /// `PEER_RETENTION`.
    pub fn instance_count(&self, now: ids::Timestamp) -> usize {
        let is_recent = |peer: &&Peer| {
            peer.last_activity()
                .is_some_and(|at| now.saturating_sub(at) <= constants::PEER_RETENTION)
        };
        1 + self.peers.values().filter(is_recent).count()
    }
}

/// Returns the items in a rotated order, so that successive calls with different offsets start at
/// different items.
fn rotate_by<T>(mut items: Vec<T>, offset: usize) -> impl Iterator<Item = T> {
    let start = offset % items.len().max(1);
    items.rotate_left(start);
    items.into_iter()
}

impl Peer {
    fn is_active_within(&self, span: time::Duration, now: ids::Timestamp) -> bool {
        self.last_received.is_some_and(|at| now.saturating_sub(at) <= span)
    }

    fn is_changed_within(&self, span: time::Duration, now: ids::Timestamp) -> bool {
        now.saturating_sub(self.last_changed) <= span
    }

    fn is_active_coordinator(&self, now: ids::Timestamp) -> bool {
        self.is_coordinator && self.is_active_within(constants::COORDINATOR_TIMEOUT, now)
    }

    /// Returns whether the peer counts as live. A digest received here takes precedence over a
    /// coordinator's observation that is not clearly newer.
    fn is_live(&self, now: ids::Timestamp) -> bool {
        let Some(last_observed) = self.last_observed else {
            return self.is_active_within(constants::PEER_TIMEOUT, now);
        };
        if self
            .last_received
            .is_some_and(|received| received + constants::PEER_TIMEOUT >= last_observed)
        {
            return self.is_active_within(constants::PEER_TIMEOUT, now);
        }
        let is_lost = self.reported_lost.is_some_and(|lost| lost >= last_observed);
        now.saturating_sub(last_observed) <= constants::OBSERVATION_VALIDITY && !is_lost
    }

    /// Returns the time since the start of the process, as far as its digests tell.
    fn age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        Some(self.uptime + now.saturating_sub(self.last_received?))
    }

    fn last_activity(&self) -> Option<ids::Timestamp> {
        self.last_received.max(self.last_observed)
    }

    fn observation(&self, age: time::Duration) -> Observation {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Observation { member: self.member.clone(), age_ms }
    }
}

#[cfg(test)]
mod tests;
