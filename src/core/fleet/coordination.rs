//! Who coordinates a large fleet, and what instances tell whom.
//!
//! Load pattern: digests of all to all grow with the square of the fleet. Here each instance tells
//! the coordinators, and they tell all others the little that everybody has to know.

use std::hash;
use std::hash::Hasher as _;
use std::net;
use std::time;

use rand::RngExt as _;

use crate::core::collections;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::message;
use crate::core::fleet::peers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// The longest time between two digests of a small fleet: a peer counts as silent after several.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The time between two digests to coordinators: three are lost before one counts as silent.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(350);

/// The time between two digests of a coordinator, for each member; within the interval above and
/// the longest one below.
const BULLETIN_SPACING_PER_MEMBER: time::Duration = time::Duration::from_millis(4);

/// The longest time between two digests of a coordinator, half of the silence that ends its role.
const BULLETIN_INTERVAL_AT_MOST: time::Duration = time::Duration::from_millis(550);

/// The shortest time between two digests about changes: changes that come together are told once.
const NEWS_SPACING: time::Duration = time::Duration::from_millis(40);

/// Digests of a small fleet between two that introduce members, and the members introduced.
const INTRODUCTION_EVERY: u64 = 4;
const INTRODUCED: usize = 2;

/// When the next digest is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestSchedule {
    /// Not before.
    pub min_interval: time::Duration,
    /// Not after.
    pub max_interval: time::Duration,
    /// Whether changed load is told as soon as it may be.
    pub follows_load: bool,
}

/// A digest and those who get it.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedDigest {
    /// Where they are reached.
    pub to: Vec<net::SocketAddr>,
    /// What they are told.
    pub digest: peers::Digest,
}

impl Fleet {
    /// Returns whether coordinators decide for the fleet.
    pub fn is_coordinated(&self, now: ids::Timestamp) -> bool {
        let members = self.peers.members(now).max(1 + self.peers.known().count());
        members >= constants::MIN_COORDINATED_MEMBERS
    }

    /// Returns whether this instance coordinates.
    pub fn is_coordinator(&self) -> bool {
        self.coordinates
    }

    /// Begins or ends to coordinate.
    pub(super) fn coordinate(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let (before, coordinators) = self.rank(now);
        // One that has just started would hear of nobody, and all would coordinate at once.
        let knows_others = self.is_introduced || now >= constants::PEER_SYNC_TIMEOUT;
        let should = self.is_ready() && knows_others && before < coordinators;
        if should == self.coordinates {
            return;
        }
        self.coordinates = should;
        if should && self.has_been_ordinary && self.is_coordinated(now) {
            self.quotas.begin_anew(now);
        }
        self.has_been_ordinary |= !should;
        effects.push(Effect::Log(decision::Decision::Coordinates { coordinates: should, before }));
        effects.push(Effect::AnnounceChange);
    }

    /// Returns how many instances should coordinate rather than this one, and how many may. While no
    /// coordinator is heard, nobody knows who lives, and the next ones by rank may step by step.
    fn rank(&self, now: ids::Timestamp) -> (usize, usize) {
        let silent_since = self
            .peers
            .coordinator_heard()
            .map_or(ids::Timestamp::ZERO, |heard| heard + constants::COORDINATOR_TIMEOUT);
        if now <= silent_since {
            return (self.peers.live_before(&self.own, now), constants::COORDINATORS);
        }
        let silence = now.saturating_sub(silent_since);
        let steps = silence.as_millis() / constants::SUCCESSION_STEP.as_millis();
        let steps = usize::try_from(steps).unwrap_or(usize::MAX);
        let coordinators = constants::COORDINATORS.saturating_mul(steps.saturating_add(1));
        (self.peers.known_before(&self.own), coordinators)
    }

    /// Returns whether this instance counts for the fleet and writes that down.
    pub fn is_limit_coordinator(&self, now: ids::Timestamp) -> bool {
        let coordinators = self.peers.coordinators(now);
        self.coordinates && coordinators.first().is_none_or(|first| self.own.precedes(first))
    }

    /// Returns the owner of a service: the same at all instances that hear the same coordinators.
    pub(super) fn owner(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> Option<&peers::Member> {
        let own = Some(&self.own).filter(|_| self.coordinates);
        self.peers.coordinators(now).into_iter().chain(own).max_by_key(|member| {
            let mut hasher = rustc_hash::FxHasher::default();
            hash::Hash::hash(&(service, member.incarnation), &mut hasher);
            hasher.finish()
        })
    }

    /// Returns what is told now, and to whom.
    pub fn addressed_digests(&mut self, now: ids::Timestamp) -> Vec<AddressedDigest> {
        let known: collections::Set<_> =
            self.known_peers().into_iter().chain(self.seeds.clone()).collect();
        let coordinators: collections::Set<_> =
            self.peers.coordinators(now).iter().map(|member| member.peer_address).collect();
        let counts = |address: &net::SocketAddr| coordinators.contains(address);
        let is_own = |address: &net::SocketAddr| *address == self.own.peer_address;
        if !self.is_coordinated(now) {
            let to: Vec<_> = known.into_iter().filter(|address| !is_own(address)).collect();
            return vec![AddressedDigest { to, digest: self.digest(now, true) }];
        }
        if coordinators.is_empty() && !self.coordinates {
            let first = self.peers.first_known(constants::FALLBACK_STORE_READERS);
            let first = first.into_iter().map(|member| member.peer_address);
            let to: collections::Set<_> = first.chain(self.seeds.clone()).collect();
            let to: Vec<_> = to.into_iter().filter(|address| !is_own(address)).collect();
            return vec![AddressedDigest { to, digest: self.digest(now, true) }];
        }
        let others: Vec<_> =
            known.into_iter().filter(|address| !is_own(address) && !counts(address)).collect();
        let mut digests = vec![AddressedDigest {
            to: coordinators.into_iter().collect(),
            digest: self.digest(now, true),
        }];
        if self.coordinates && !others.is_empty() {
            digests.push(AddressedDigest { to: others, digest: self.digest(now, false) });
        }
        digests
    }

    /// Returns when peers are told next, after `targets` were told now.
    pub fn digest_schedule(&self, targets: usize, now: ids::Timestamp) -> DigestSchedule {
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        if !self.is_coordinated(now) {
            let min_interval = constants::DIGEST_INTERVAL_PER_MEMBER.saturating_mul(targets);
            let min_interval = min_interval.min(BULLETIN_INTERVAL_AT_MOST);
            return DigestSchedule {
                min_interval,
                max_interval: INTERVAL.max(min_interval),
                follows_load: true,
            };
        }
        let max_interval = if self.coordinates {
            let spacing = BULLETIN_SPACING_PER_MEMBER.saturating_mul(targets);
            spacing.clamp(INTERVAL, BULLETIN_INTERVAL_AT_MOST)
        } else {
            REPORT_INTERVAL
        };
        DigestSchedule { min_interval: NEWS_SPACING, max_interval, follows_load: false }
    }

    /// Returns what peers are told now; those that coordinate are told of work and spending too.
    fn digest(&mut self, now: ids::Timestamp, with_account: bool) -> peers::Digest {
        self.sequence += 1;
        let mut from = self.own.clone();
        from.is_ready = self.is_ready();
        let (sightings, lost) = self.told_members(now);
        peers::Digest {
            from,
            sequence: self.sequence,
            version: self.version(),
            servers_at: self.servers_at,
            coordinates: self.coordinates,
            reads_store: self.reads_store,
            uptime_ms: waiting::millis(now),
            account: with_account.then(|| self.account(now)),
            sightings,
            lost,
        }
    }

    /// Returns the members that a digest names, and those that it calls lost. In a small fleet each
    /// hears all others; a few names now and then introduce newcomers.
    fn told_members(
        &mut self,
        now: ids::Timestamp,
    ) -> (Vec<peers::Sighting>, Vec<ids::Incarnation>) {
        let turn = self.rng.random_range(0..self.peers.members(now));
        if self.is_coordinated(now) {
            if !self.coordinates {
                return (Vec::new(), Vec::new());
            }
            return (self.peers.sightings(turn, now), self.peers.lost(now));
        }
        let mut sightings = Vec::new();
        if self.sequence.is_multiple_of(INTRODUCTION_EVERY) {
            sightings = self.peers.all_sightings(now);
            let start = turn % sightings.len().max(1);
            sightings.rotate_left(start);
            sightings.truncate(INTRODUCED);
        }
        (sightings, Vec::new())
    }

    fn account(&self, now: ids::Timestamp) -> peers::Account {
        let work = self.requests.iter().filter_map(|(request, live)| {
            let ticket = self.ticket(*request, live.attempt);
            Some((ticket, live.places()?))
        });
        peers::Account { work: work.collect(), spending: self.quotas.own_lately(now) }
    }

    /// Takes a digest.
    pub(super) fn hear(
        &mut self,
        digest: &peers::Digest,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if digest.from.incarnation == self.own.incarnation {
            return;
        }
        let Some(heard) = self.peers.hear(digest, now) else { return };
        if heard.is_first || heard.is_back {
            let peer = digest.from.name.clone();
            effects.push(Effect::Log(decision::Decision::PeerHeard { peer }));
            self.welcome(digest.from.peer_address, now, effects);
        }
        self.sight(&digest.sightings, digest.coordinates, now);
        for incarnation in digest.lost.iter().filter(|_| digest.coordinates) {
            self.peers.lose(*incarnation, now);
        }
        if let Some(account) = &digest.account {
            self.hear_account(&digest.from, account, digest.uptime_ms, now);
        }
        self.pump(now, effects);
    }

    /// Takes what a peer tells of others. In a small fleet each instance hears all itself.
    pub(super) fn sight(
        &mut self,
        sightings: &[peers::Sighting],
        is_of_coordinator: bool,
        now: ids::Timestamp,
    ) {
        let is_told = is_of_coordinator && self.is_coordinated(now);
        for sighting in sightings {
            if sighting.member.incarnation == self.own.incarnation {
                continue;
            }
            if is_told {
                self.peers.sight(sighting, now);
            } else {
                self.peers.introduce(&sighting.member, now);
            }
        }
    }

    fn hear_account(
        &mut self,
        from: &peers::Member,
        account: &peers::Account,
        uptime_ms: u64,
        now: ids::Timestamp,
    ) {
        let uptime = time::Duration::from_millis(uptime_ms);
        self.quotas.heard(from.incarnation, &account.spending, uptime, now);
        self.ledger.reconcile(from.incarnation, &account.work, &mut self.servers, now);
    }

    /// Tells a newcomer of all members.
    fn welcome(&self, to: net::SocketAddr, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if !self.is_limit_coordinator(now) || !self.is_coordinated(now) {
            return;
        }
        for sightings in self.peers.all_sightings(now).chunks(constants::MEMBERS_PER_MESSAGE) {
            let message = message::Message::Sightings(sightings.to_vec());
            effects.push(Effect::SendMessage { to, message });
        }
    }

    /// Counts what silent peers may spend, where this instance hears all that spend.
    pub(super) fn assume_spending(&mut self, step: time::Duration, now: ids::Timestamp) {
        if !self.coordinates && self.is_coordinated(now) {
            return;
        }
        let members = self.peers.members(now);
        for (peer, silence) in self.peers.silent(now) {
            self.quotas.assume_spending(peer, members, step.min(silence), now);
        }
    }

    /// Notes that most peers have been heard, or that they had the time.
    pub(super) fn settle(&mut self, now: ids::Timestamp) {
        let known = self.peers.known().count() as f64;
        let live = self.peers.live(now).count() as f64;
        let is_heard = known > 0.0 && live >= known * constants::PEER_SYNC_SHARE;
        if is_heard || now >= constants::PEER_SYNC_TIMEOUT {
            self.quotas.settle();
        }
    }

    /// Returns the live peers that should hear of what is found out about servers.
    pub(super) fn listeners(&self, now: ids::Timestamp) -> Vec<net::SocketAddr> {
        if self.is_coordinated(now) {
            let coordinators = self.peers.coordinators(now);
            return coordinators.iter().map(|member| member.peer_address).collect();
        }
        self.peers.live(now).map(|member| member.peer_address).collect()
    }

    /// Returns the tickets' holders that still live.
    pub(super) fn live_holders(&self, now: ids::Timestamp) -> collections::Set<ids::Incarnation> {
        self.peers.live(now).map(|member| member.incarnation).collect()
    }
}
