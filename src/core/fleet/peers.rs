//! The other instances: who lives, who coordinates, and what they have told last.
//!
//! In a large fleet an instance hears only the coordinators itself; they tell it of the others.

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
    /// Its name.
    pub name: String,
    /// Drawn when its process started.
    pub incarnation: ids::Incarnation,
    /// Where peers reach it.
    pub peer_address: net::SocketAddr,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// The processor time that it has, in cores.
    pub capacity_cores: f64,
    /// When its process started, in milliseconds of Unix time.
    pub started_unix_ms: u64,
}

impl Member {
    /// Returns whether it coordinates rather than `other`: the largest instances go first, and of
    /// these the ones that have run longest, so that one that returns displaces nobody.
    pub fn precedes(&self, other: &Self) -> bool {
        by_rank(self, other) == cmp::Ordering::Less
    }
}

fn by_rank(one: &Member, other: &Member) -> cmp::Ordering {
    let by_size = other.capacity_cores.total_cmp(&one.capacity_cores);
    let by_start = one.started_unix_ms.cmp(&other.started_unix_ms);
    by_size.then(by_start).then(one.caller_address.cmp(&other.caller_address))
}

/// A member that a coordinator hears.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Sighting {
    /// The member.
    pub member: Member,
    /// The time since the coordinator heard it.
    pub age_ms: u64,
}

/// What an instance tells its peers.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: Member,
    /// Counts the sender's digests; a lower one than the last is late.
    pub sequence: u64,
    /// The configuration version in force at the sender.
    pub version: u64,
    /// The position after the last change of the sender's list of servers.
    pub servers_at: ids::Offset,
    /// Whether the sender coordinates.
    pub coordinates: bool,
    /// Whether the sender could read the store when it tried last.
    pub reads_store: bool,
    /// The time since the sender started.
    pub uptime_ms: u64,
    /// The sender's work and spending, for those who count them.
    pub account: Option<Account>,
    /// Some other members that the sender hears.
    pub sightings: Vec<Sighting>,
    /// Members that the sender hears no more.
    pub lost: Vec<ids::Incarnation>,
}

/// What an instance answers for.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Account {
    /// Its work at servers.
    pub work: Vec<(ledger::Ticket, ledger::Places)>,
    /// What workspaces have spent there.
    pub spending: Vec<tally::Report>,
}

#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    /// When it spoke last.
    heard: Option<ids::Timestamp>,
    /// When a coordinator heard it last.
    sighted: Option<ids::Timestamp>,
    /// When a coordinator said last that it hears it no more.
    lost: Option<ids::Timestamp>,
    added: ids::Timestamp,
    /// When something about it changed that all should know.
    changed: ids::Timestamp,
    sequence: u64,
    version: u64,
    servers_at: ids::Offset,
    coordinates: bool,
    reads_store: bool,
}

/// What hearing a digest has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Nothing was heard of this incarnation before.
    pub is_first: bool,
    /// The peer was silent and is back.
    pub is_back: bool,
}

/// All other instances.
#[derive(Debug, Default)]
pub struct Peers {
    peers: collections::Map<ids::Incarnation, Peer>,
}

impl Peers {
    /// Adds an instance that the store or a peer names; a newer incarnation of an address replaces
    /// the older one only once it is heard, and an older one that is named late is gone.
    pub fn introduce(&mut self, member: &Member, now: ids::Timestamp) {
        let is_newer = |peer: &Peer| {
            peer.member.peer_address == member.peer_address
                && peer.member.started_unix_ms > member.started_unix_ms
        };
        if self.peers.values().any(is_newer) {
            return;
        }
        self.peers.entry(member.incarnation).or_insert_with(|| Peer {
            member: member.clone(),
            heard: None,
            sighted: None,
            lost: None,
            added: now,
            changed: now,
            sequence: 0,
            version: 0,
            servers_at: 0,
            coordinates: false,
            reads_store: false,
        });
    }

    /// Takes a digest; `None` if it is older than the last one.
    pub fn hear(&mut self, digest: &Digest, now: ids::Timestamp) -> Option<Heard> {
        self.introduce(&digest.from, now);
        let peer = self.peers.get_mut(&digest.from.incarnation)?;
        if peer.heard.is_some() && digest.sequence <= peer.sequence {
            return None;
        }
        let is_back = peer.heard.is_some_and(|at| now.saturating_sub(at) > constants::PEER_TIMEOUT);
        let is_first = peer.heard.is_none();
        if is_first || is_back || peer.member.is_ready != digest.from.is_ready {
            peer.changed = now;
        }
        peer.heard = Some(now);
        peer.sequence = digest.sequence;
        peer.version = digest.version;
        peer.member = digest.from.clone();
        peer.servers_at = digest.servers_at;
        peer.coordinates = digest.coordinates;
        peer.reads_store = digest.reads_store;
        if is_first {
            self.replace_older(digest.from.incarnation, digest.from.peer_address);
        }
        Some(Heard { is_first, is_back })
    }

    /// Takes a coordinator's word that it hears a member.
    pub fn sight(&mut self, sighting: &Sighting, now: ids::Timestamp) {
        self.introduce(&sighting.member, now);
        let Some(peer) = self.peers.get_mut(&sighting.member.incarnation) else { return };
        let at = now.saturating_sub(time::Duration::from_millis(sighting.age_ms));
        if peer.sighted.is_some_and(|sighted| sighted >= at) {
            return;
        }
        let is_first = peer.sighted.replace(at).is_none();
        if peer.heard.is_none_or(|heard| heard < at) {
            peer.member = sighting.member.clone();
        }
        if is_first {
            let address = sighting.member.peer_address;
            self.replace_older(sighting.member.incarnation, address);
        }
    }

    /// Forgets older incarnations at an address, the one that started last stays.
    fn replace_older(&mut self, incarnation: ids::Incarnation, address: net::SocketAddr) {
        let Some(started) = self.peers.get(&incarnation).map(|it| it.member.started_unix_ms) else {
            return;
        };
        self.peers.retain(|known, peer| {
            *known == incarnation
                || peer.member.peer_address != address
                || peer.member.started_unix_ms > started
        });
    }

    /// Takes a coordinator's word that it hears a member no more.
    pub fn lose(&mut self, incarnation: ids::Incarnation, now: ids::Timestamp) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.lost = Some(now);
        }
    }

    /// Forgets peers that have been silent for long, and returns their incarnations.
    pub fn forget_silent(&mut self, now: ids::Timestamp) -> Vec<ids::Incarnation> {
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                now.saturating_sub(peer.last_sign().unwrap_or(peer.added))
                    > constants::PEER_RETENTION
            })
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in &gone {
            self.peers.remove(incarnation);
        }
        gone
    }

    /// Returns the peers that live, as far as this instance hears or is told.
    pub fn live(&self, now: ids::Timestamp) -> impl Iterator<Item = &Member> {
        self.peers.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.member)
    }

    /// Returns all peers, the silent ones too.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Returns the first known peers by rank, whether they live or not.
    pub fn first_known(&self, count: usize) -> Vec<&Member> {
        let mut known: Vec<_> = self.known().collect();
        known.sort_by(|one, other| by_rank(one, other));
        known.truncate(count);
        known
    }

    /// Returns whether an incarnation is remembered.
    pub fn contains(&self, incarnation: ids::Incarnation) -> bool {
        self.peers.contains_key(&incarnation)
    }

    /// Returns the peers that coordinate, the first one first.
    pub fn coordinators(&self, now: ids::Timestamp) -> Vec<&Member> {
        let mut coordinators: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.is_coordinator(now))
            .map(|peer| &peer.member)
            .collect();
        coordinators.sort_by(|one, other| by_rank(one, other));
        coordinators
    }

    /// Returns how many live peers should coordinate rather than `own`.
    pub fn live_before(&self, own: &Member, now: ids::Timestamp) -> usize {
        self.live(now).filter(|member| member.is_ready && member.precedes(own)).count()
    }

    /// Returns how many known peers should coordinate rather than `own`, if they live.
    pub fn known_before(&self, own: &Member) -> usize {
        self.known().filter(|member| member.precedes(own)).count()
    }

    /// Returns when a coordinator was heard last.
    pub fn coordinator_heard(&self) -> Option<ids::Timestamp> {
        let coordinators = self.peers.values().filter(|peer| peer.coordinates);
        coordinators.filter_map(|peer| peer.heard).max()
    }

    /// Returns whether a coordinator reads the store.
    pub fn is_store_read(&self, now: ids::Timestamp) -> bool {
        self.peers.values().any(|peer| peer.is_coordinator(now) && peer.reads_store)
    }

    /// Returns some members that were heard lately: first those about which something changed, then
    /// a few others from `turn` on.
    pub fn sightings(&self, turn: usize, now: ids::Timestamp) -> Vec<Sighting> {
        let heard = self.heard_lately(now);
        let (changed, others): (Vec<_>, Vec<_>) = heard
            .partition(|(peer, _)| peer.is_changed_within(constants::CHANGE_REPORT_PERIOD, now));
        let changed = from_turn(changed, turn).take(constants::MAX_CHANGED_MEMBERS_PER_DIGEST);
        let told =
            changed.chain(from_turn(others, turn).take(constants::UNCHANGED_MEMBERS_PER_DIGEST));
        told.map(|(peer, age)| peer.sighting(age)).collect()
    }

    /// Returns all members that were heard lately.
    pub fn all_sightings(&self, now: ids::Timestamp) -> Vec<Sighting> {
        self.heard_lately(now).map(|(peer, age)| peer.sighting(age)).collect()
    }

    /// Returns the peers that were heard lately, and how long ago.
    fn heard_lately(&self, now: ids::Timestamp) -> impl Iterator<Item = (&Peer, time::Duration)> {
        self.peers.values().filter_map(move |peer| {
            let age = now.saturating_sub(peer.heard?);
            (age <= constants::PEER_TIMEOUT).then_some((peer, age))
        })
    }

    /// Returns the peers that have just fallen silent.
    pub fn lost(&self, now: ids::Timestamp) -> Vec<ids::Incarnation> {
        let told_for = constants::PEER_TIMEOUT + constants::CHANGE_REPORT_PERIOD;
        let is_lost = |peer: &Peer| {
            let Some(heard) = peer.heard else { return false };
            let silence = now.saturating_sub(heard);
            silence > constants::PEER_TIMEOUT && silence <= told_for
        };
        self.peers
            .iter()
            .filter(|(_, peer)| is_lost(peer))
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }

    /// Returns the peers heard lately with a configuration newer than `version`.
    pub fn newer_than(
        &self,
        version: u64,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = net::SocketAddr> {
        self.peers
            .values()
            .filter(move |peer| peer.version > version)
            .filter(move |peer| peer.is_heard_within(constants::PEER_TIMEOUT, now))
            .map(|peer| peer.member.peer_address)
    }

    /// Returns the coordinator or reader of the store whose list of servers has the newest change.
    pub fn newest_servers(&self, now: ids::Timestamp) -> Option<(ids::Offset, net::SocketAddr)> {
        self.peers
            .values()
            .filter(|peer| peer.reads_store || peer.coordinates)
            .filter(|peer| peer.is_heard_within(constants::PEER_TIMEOUT, now))
            .map(|peer| (peer.servers_at, peer.member.peer_address))
            .max_by_key(|(offset, _)| *offset)
    }

    /// Returns the peers that spoke once and have been silent for a while, with the silence.
    pub fn silent(&self, now: ids::Timestamp) -> Vec<(ids::Incarnation, time::Duration)> {
        self.peers
            .iter()
            .filter_map(|(incarnation, peer)| {
                let silence = now.saturating_sub(peer.heard?);
                (silence > constants::ASSUMED_SPENDING_TIMEOUT).then_some((*incarnation, silence))
            })
            .collect()
    }

    /// Returns how many instances the fleet has: this one and all that gave a sign lately.
    pub fn members(&self, now: ids::Timestamp) -> usize {
        let has_given_sign = |peer: &&Peer| {
            peer.last_sign().is_some_and(|at| now.saturating_sub(at) <= constants::PEER_RETENTION)
        };
        1 + self.peers.values().filter(has_given_sign).count()
    }
}

/// Returns items from `turn` on, so that each has its turn where some are taken only.
fn from_turn<T>(mut items: Vec<T>, turn: usize) -> impl Iterator<Item = T> {
    let start = turn % items.len().max(1);
    items.rotate_left(start);
    items.into_iter()
}

impl Peer {
    fn is_heard_within(&self, span: time::Duration, now: ids::Timestamp) -> bool {
        self.heard.is_some_and(|at| now.saturating_sub(at) <= span)
    }

    fn is_changed_within(&self, span: time::Duration, now: ids::Timestamp) -> bool {
        now.saturating_sub(self.changed) <= span
    }

    fn is_coordinator(&self, now: ids::Timestamp) -> bool {
        self.coordinates && self.is_heard_within(constants::COORDINATOR_TIMEOUT, now)
    }

    /// What this instance hears itself goes before what it is told.
    fn is_live(&self, now: ids::Timestamp) -> bool {
        let Some(sighted) = self.sighted else {
            return self.is_heard_within(constants::PEER_TIMEOUT, now);
        };
        if self.heard.is_some_and(|heard| heard + constants::PEER_TIMEOUT >= sighted) {
            return self.is_heard_within(constants::PEER_TIMEOUT, now);
        }
        let is_lost = self.lost.is_some_and(|lost| lost >= sighted);
        now.saturating_sub(sighted) <= constants::OBSERVATION_VALIDITY && !is_lost
    }

    fn last_sign(&self) -> Option<ids::Timestamp> {
        self.heard.max(self.sighted)
    }

    fn sighting(&self, age: time::Duration) -> Sighting {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Sighting { member: self.member.clone(), age_ms }
    }
}
