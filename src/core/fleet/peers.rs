//! The other instances: who is live, and what they have told last.

use std::net;
use std::time;

use crate::core::collections;
use crate::core::fleet::constants;
use crate::core::fleet::ledger;
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
    /// Counts the changes of the sender's list of servers, by the position of the last one.
    pub servers_at: ids::Offset,
    /// Whether the sender reads the store itself.
    pub reads_store: bool,
    /// The sender's work at servers.
    pub work: Vec<(ledger::Ticket, ledger::Places)>,
    /// The time since the sender started.
    pub uptime_ms: u64,
    /// What each workspace has spent at the sender since it started.
    pub spending: Vec<(String, f64)>,
    /// Other members the sender hears.
    pub members: Vec<Member>,
}

#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    heard: Option<ids::Timestamp>,
    added: ids::Timestamp,
    sequence: u64,
    version: u64,
    servers_at: ids::Offset,
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
    /// the older one only once it is heard.
    pub fn introduce(&mut self, member: &Member, now: ids::Timestamp) {
        self.peers.entry(member.incarnation).or_insert_with(|| Peer {
            member: member.clone(),
            heard: None,
            added: now,
            sequence: 0,
            version: 0,
            servers_at: 0,
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
        let is_back = peer.heard.is_some_and(|at| now.saturating_sub(at) > constants::PEER_SILENCE);
        let is_first = peer.heard.is_none();
        peer.heard = Some(now);
        peer.sequence = digest.sequence;
        peer.version = digest.version;
        peer.member = digest.from.clone();
        peer.servers_at = digest.servers_at;
        peer.reads_store = digest.reads_store;
        if is_first {
            let incarnation = digest.from.incarnation;
            let address = digest.from.peer_address;
            self.peers
                .retain(|known, peer| *known == incarnation || peer.member.peer_address != address);
        }
        Some(Heard { is_first, is_back })
    }

    /// Forgets peers that have been silent for long, and returns their incarnations.
    pub fn forget_silent(&mut self, now: ids::Timestamp) -> Vec<ids::Incarnation> {
        let gone: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                now.saturating_sub(peer.heard.unwrap_or(peer.added)) > constants::PEER_MEMORY
            })
            .map(|(incarnation, _)| *incarnation)
            .collect();
        for incarnation in &gone {
            self.peers.remove(incarnation);
        }
        gone
    }

    /// Returns the peers that were heard lately.
    pub fn live(&self, now: ids::Timestamp) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(move |peer| peer.is_heard_within(constants::PEER_SILENCE, now))
            .map(|peer| &peer.member)
    }

    /// Returns all peers, the silent ones too.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.peers.values().map(|peer| &peer.member)
    }

    /// Returns the live peers with a configuration newer than `version`.
    pub fn newer_than(
        &self,
        version: u64,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = net::SocketAddr> {
        self.peers
            .values()
            .filter(move |peer| peer.version > version)
            .filter(move |peer| peer.is_heard_within(constants::PEER_SILENCE, now))
            .map(|peer| peer.member.peer_address)
    }

    /// Returns the live reader of the store whose list of servers has the newest change.
    pub fn newest_servers(&self, now: ids::Timestamp) -> Option<(ids::Offset, net::SocketAddr)> {
        self.peers
            .values()
            .filter(|peer| peer.reads_store)
            .filter(|peer| peer.is_heard_within(constants::PEER_SILENCE, now))
            .map(|peer| (peer.servers_at, peer.member.peer_address))
            .max_by_key(|(offset, _)| *offset)
    }

    /// Returns how many live peers before `address` read the store.
    pub fn readers_before(&self, address: net::SocketAddr, now: ids::Timestamp) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.is_heard_within(constants::READER_SILENCE, now))
            .filter(|peer| peer.reads_store && peer.member.caller_address < address)
            .count()
    }

    /// Returns the peers that have been silent for a while, with the silence.
    pub fn silent(&self, now: ids::Timestamp) -> Vec<(ids::Incarnation, time::Duration)> {
        self.peers
            .iter()
            .filter_map(|(incarnation, peer)| {
                let silence = now.saturating_sub(peer.heard?);
                (silence > constants::ASSUMED_SPENDING_AFTER).then_some((*incarnation, silence))
            })
            .collect()
    }

    /// Returns how many instances share limits: this one and all that were heard lately.
    pub fn members(&self, now: ids::Timestamp) -> usize {
        1 + self
            .peers
            .values()
            .filter(|peer| peer.is_heard_within(constants::PEER_MEMORY, now))
            .count()
    }
}

impl Peer {
    fn is_heard_within(&self, span: time::Duration, now: ids::Timestamp) -> bool {
        self.heard.is_some_and(|at| now.saturating_sub(at) <= span)
    }
}
