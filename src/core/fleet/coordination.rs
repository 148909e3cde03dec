//! The choice of coordinators in a large fleet, and the digests that instances exchange.
//!
//! Load pattern: digests from every instance to every other grow with the square of the fleet's
//! size. In a large fleet each instance sends its digests to the coordinators, and these send all
//! others the little that every instance needs.

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

/// The maximum time between two digests in a small fleet; several fit into `PEER_TIMEOUT`.
const DIGEST_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The time between two digests to coordinators; a peer times out only after three lost digests.
const COORDINATOR_REPORT_INTERVAL: time::Duration = time::Duration::from_millis(350);

/// The time between two digests of a coordinator, per member; bounded by `DIGEST_INTERVAL` and
/// `MAX_COORDINATOR_DIGEST_INTERVAL`.
const COORDINATOR_DIGEST_INTERVAL_PER_MEMBER: time::Duration = time::Duration::from_millis(4);

/// The maximum time between two digests of a coordinator, half of `COORDINATOR_TIMEOUT`.
const MAX_COORDINATOR_DIGEST_INTERVAL: time::Duration = time::Duration::from_millis(550);

/// The minimum time between two digests about changes, so that simultaneous changes share one
/// digest.
const MIN_CHANGE_DIGEST_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// The interval at which a coordinator repeats the level of the protocol that it speaks, as datagrams
/// get lost.
const PROTOCOL_LEVEL_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// In a small fleet, every `DIGESTS_PER_DISCOVERY`th digest names `MEMBERS_PER_DISCOVERY` members.
const DIGESTS_PER_DISCOVERY: u64 = 4;
const MEMBERS_PER_DISCOVERY: usize = 2;

/// The time at which the next digests are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestSchedule {
    /// The minimum time after the last digests.
    pub min_interval: time::Duration,
    /// The maximum time after the last digests.
    pub max_interval: time::Duration,
    /// Whether a change of load is sent after the minimum time.
    pub follows_load: bool,
}

/// A digest and its receivers.
#[derive(Debug, Clone, PartialEq)]
pub struct AddressedDigest {
    /// The addresses of the receivers.
    pub to: Vec<net::SocketAddr>,
    /// The digest.
    pub digest: peers::Digest,
}

impl Fleet {
    /// Returns whether the fleet is so large that coordinators grant reservations and count limits.
    pub fn is_coordinated(&self, now: ids::Timestamp) -> bool {
        self.peers.member_count(now) >= constants::MIN_COORDINATED_MEMBERS
    }

    /// Returns whether this instance is a coordinator.
    pub fn is_coordinator(&self) -> bool {
        self.is_coordinator
    }

    /// Takes or gives up the role of a coordinator, depending on this instance's rank.
    pub(super) fn update_coordinator_role(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let (ranked_higher, coordinators) = self.coordinator_rank(now);
        // An instance that has just started knows no other one. If all start together, each would
        // become a coordinator.
        let is_coordinator =
            self.is_ready() && self.knows_members(now) && ranked_higher < coordinators;
        if !self.is_coordinator && !self.peers.coordinators(now).is_empty() {
            self.has_left_counting_to_peers = true;
        }
        if is_coordinator == self.is_coordinator {
            return;
        }
        self.is_coordinator = is_coordinator;
        if is_coordinator && self.has_left_counting_to_peers && self.is_coordinated(now) {
            self.quotas.restart_counting(now);
        }
        self.has_left_counting_to_peers = !is_coordinator;
        effects.push(Effect::Log(decision::Decision::Coordinates {
            coordinates: is_coordinator,
            ranked_higher,
        }));
        effects.push(Effect::AnnounceChange);
        self.protocol_level_sent = None;
    }

    /// Tells all peers the level of the protocol that this coordinator speaks, in intervals.
    pub(super) fn repeat_protocol_level(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let is_due = |sent: ids::Timestamp| now >= sent + PROTOCOL_LEVEL_INTERVAL;
        if self.is_coordinator && self.protocol_level_sent.is_none_or(is_due) {
            self.protocol_level_sent = Some(now);
            self.send_protocol_level(&self.known_peers(), effects);
        }
    }

    fn send_protocol_level(&self, to: &[net::SocketAddr], effects: &mut Vec<Effect>) {
        let (from, level) = (self.own.incarnation, message::PROTOCOL_LEVEL);
        for to in to {
            let message = message::Message::ProtocolLevel { from, level };
            effects.push(Effect::SendMessage { to: *to, message });
        }
    }

    /// Returns whether this instance has had the means to learn of the other ones.
    pub(super) fn knows_members(&self, now: ids::Timestamp) -> bool {
        self.has_discovered_members || now >= constants::PEER_SYNC_TIMEOUT
    }

    /// Returns how many instances rank higher than this one, and how many may coordinate. While no
    /// coordinator is active, it is unknown which instances are live; then all known ones count,
    /// and more and more instances may coordinate, step by step.
    fn coordinator_rank(&self, now: ids::Timestamp) -> (usize, usize) {
        let timed_out_at = self
            .peers
            .last_coordinator_digest()
            .map_or(ids::Timestamp::ZERO, |received| received + constants::COORDINATOR_TIMEOUT);
        if now <= timed_out_at {
            return (self.peers.count_live_ranked_higher(&self.own, now), constants::COORDINATORS);
        }
        let elapsed = now.saturating_sub(timed_out_at);
        let steps = elapsed.as_millis() / constants::SUCCESSION_STEP.as_millis();
        let steps = usize::try_from(steps).unwrap_or(usize::MAX);
        let coordinators = constants::COORDINATORS.saturating_mul(steps.saturating_add(1));
        (self.peers.count_known_ranked_higher(&self.own), coordinators)
    }

    /// Returns whether this instance counts the limits for the fleet and writes its spending to the
    /// store.
    pub fn is_limit_coordinator(&self, now: ids::Timestamp) -> bool {
        let coordinators = self.peers.coordinators(now);
        self.is_coordinator && coordinators.first().is_none_or(|first| self.own.ranks_above(first))
    }

    /// Returns the owner of a service, which grants reservations at its servers. Instances with the
    /// same view of the coordinators get the same owner.
    pub(super) fn owner(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> Option<&peers::Member> {
        let own = Some(&self.own).filter(|_| self.is_coordinator);
        self.peers.coordinators(now).into_iter().chain(own).max_by_key(|member| {
            let mut hasher = rustc_hash::FxHasher::default();
            hash::Hash::hash(&(service, member.incarnation), &mut hasher);
            hasher.finish()
        })
    }

    /// Returns the digests that are due now, with their receivers.
    pub fn addressed_digests(&mut self, now: ids::Timestamp) -> Vec<AddressedDigest> {
        let known: collections::Set<_> =
            self.known_peers().into_iter().chain(self.seeds.clone()).collect();
        let coordinators: collections::Set<_> =
            self.peers.coordinators(now).iter().map(|member| member.peer_address).collect();
        let is_coordinator = |address: &net::SocketAddr| coordinators.contains(address);
        let is_own = |address: &net::SocketAddr| *address == self.own.peer_address;
        if !self.is_coordinated(now) {
            let to: Vec<_> = known.into_iter().filter(|address| !is_own(address)).collect();
            return vec![AddressedDigest { to, digest: self.digest(now, true) }];
        }
        if coordinators.is_empty() && !self.is_coordinator {
            let first = self.peers.highest_ranked(constants::FALLBACK_STORE_READERS);
            let first = first.into_iter().map(|member| member.peer_address);
            let to: collections::Set<_> = first.chain(self.seeds.clone()).collect();
            let to: Vec<_> = to.into_iter().filter(|address| !is_own(address)).collect();
            return vec![AddressedDigest { to, digest: self.digest(now, true) }];
        }
        let others: Vec<_> = known
            .into_iter()
            .filter(|address| !is_own(address) && !is_coordinator(address))
            .collect();
        let mut digests = vec![AddressedDigest {
            to: coordinators.into_iter().collect(),
            digest: self.digest(now, true),
        }];
        if self.is_coordinator && !others.is_empty() {
            digests.push(AddressedDigest { to: others, digest: self.digest(now, false) });
        }
        digests
    }

    /// Returns when the next digests are due after digests to `targets` receivers were sent now.
    pub fn digest_schedule(&self, targets: usize, now: ids::Timestamp) -> DigestSchedule {
        let targets = u32::try_from(targets.max(1)).unwrap_or(u32::MAX);
        if !self.is_coordinated(now) {
            let min_interval = constants::DIGEST_INTERVAL_PER_MEMBER.saturating_mul(targets);
            let min_interval = min_interval.min(MAX_COORDINATOR_DIGEST_INTERVAL);
            return DigestSchedule {
                min_interval,
                max_interval: DIGEST_INTERVAL.max(min_interval),
                follows_load: true,
            };
        }
        let max_interval = if self.is_coordinator {
            let spacing = COORDINATOR_DIGEST_INTERVAL_PER_MEMBER.saturating_mul(targets);
            spacing.clamp(DIGEST_INTERVAL, MAX_COORDINATOR_DIGEST_INTERVAL)
        } else {
            COORDINATOR_REPORT_INTERVAL
        };
        DigestSchedule {
            min_interval: MIN_CHANGE_DIGEST_INTERVAL,
            max_interval,
            follows_load: false,
        }
    }

    /// Returns this instance's digest; only coordinators need its usage, and all peers in a small
    /// fleet.
    fn digest(&mut self, now: ids::Timestamp, with_usage: bool) -> peers::Digest {
        self.sequence += 1;
        let mut from = self.own.clone();
        from.is_ready = self.is_ready();
        let (observations, lost) = self.digest_members(now);
        peers::Digest {
            from,
            sequence: self.sequence,
            version: self.version(),
            servers_position: self.servers_position,
            is_coordinator: self.is_coordinator,
            reads_store: self.reads_store,
            uptime_ms: waiting::millis(now),
            usage: with_usage.then(|| self.usage(now)),
            observations,
            lost,
        }
    }

    /// Returns the observations and the lost members in a digest. In a small fleet, in which each
    /// instance receives digests of all others, a few members are named for new instances only.
    fn digest_members(
        &mut self,
        now: ids::Timestamp,
    ) -> (Vec<peers::Observation>, Vec<ids::Incarnation>) {
        let offset = self.rng.random_range(0..self.peers.instance_count(now));
        if self.is_coordinated(now) {
            if !self.is_coordinator {
                return (Vec::new(), Vec::new());
            }
            return (self.peers.observations(offset, now), self.peers.recently_lost(now));
        }
        let mut observations = Vec::new();
        if self.sequence.is_multiple_of(DIGESTS_PER_DISCOVERY) {
            observations = self.peers.all_observations(now);
            let start = offset % observations.len().max(1);
            observations.rotate_left(start);
            observations.truncate(MEMBERS_PER_DISCOVERY);
        }
        (observations, Vec::new())
    }

    fn usage(&self, now: ids::Timestamp) -> peers::Usage {
        let work = self.requests.iter().filter_map(|(request, live)| {
            let ticket = self.ticket(live.ticket_number(*request), live.attempt);
            Some((ticket, live.reservations()?))
        });
        peers::Usage { work: work.collect(), spending: self.quotas.recent_reports(now) }
    }

    /// Applies a peer's digest.
    pub(super) fn receive_digest(
        &mut self,
        digest: &peers::Digest,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if digest.from.incarnation == self.own.incarnation {
            return;
        }
        let Some(received) = self.peers.receive_digest(digest, now) else { return };
        if received.is_first || received.is_returning {
            let peer = digest.from.name.clone();
            effects.push(Effect::Log(decision::Decision::PeerActive { peer }));
            self.send_members(digest.from.peer_address, now, effects);
            if self.is_coordinator {
                self.send_quarantines(&[digest.from.peer_address], now, effects);
                self.send_evacuations(&[digest.from.peer_address], now, effects);
                self.send_protocol_level(&[digest.from.peer_address], effects);
            }
        }
        self.observe_members(&digest.observations, digest.is_coordinator, now);
        for incarnation in digest.lost.iter().filter(|_| digest.is_coordinator) {
            self.peers.mark_lost(*incarnation, now);
        }
        if let Some(usage) = &digest.usage {
            self.receive_usage(&digest.from, usage, digest.uptime_ms, now);
        }
        self.place_waiting(now, effects);
    }

    /// Applies a peer's observations. In a small fleet they only make members known; whether those
    /// are live is decided by their own digests.
    pub(super) fn observe_members(
        &mut self,
        observations: &[peers::Observation],
        from_coordinator: bool,
        now: ids::Timestamp,
    ) {
        let tracks_liveness = from_coordinator && self.is_coordinated(now);
        for observation in observations {
            if observation.member.incarnation == self.own.incarnation {
                continue;
            }
            if tracks_liveness {
                self.peers.observe(observation, now);
            } else {
                self.peers.discover(&observation.member, now);
            }
        }
    }

    fn receive_usage(
        &mut self,
        from: &peers::Member,
        usage: &peers::Usage,
        uptime_ms: u64,
        now: ids::Timestamp,
    ) {
        let uptime = time::Duration::from_millis(uptime_ms);
        self.quotas.apply_reports(from.incarnation, &usage.spending, uptime, now);
        self.ledger.reconcile(from.incarnation, &usage.work, &mut self.servers, now);
    }

    /// Sends observations of all members to an instance that has just started or returned.
    fn send_members(&self, to: net::SocketAddr, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if !self.is_limit_coordinator(now) || !self.is_coordinated(now) {
            return;
        }
        for observations in self.peers.all_observations(now).chunks(constants::MEMBERS_PER_MESSAGE)
        {
            let message = message::Message::Observations(observations.to_vec());
            effects.push(Effect::SendMessage { to, message });
        }
    }

    /// Counts the assumed spending of unresponsive peers, if this instance counts the fleet's
    /// spending.
    pub(super) fn assume_spending(&mut self, step: time::Duration, now: ids::Timestamp) {
        if !self.is_coordinator && self.is_coordinated(now) {
            return;
        }
        let members = self.peers.instance_count(now);
        for (peer, elapsed) in self.peers.unresponsive(now) {
            self.quotas.assume_spending(peer, members, step.min(elapsed), now);
        }
    }

    /// Ends the wait of the limits for peers once most peers are live or the time for it has
    /// passed.
    pub(super) fn update_peer_sync(&mut self, now: ids::Timestamp) {
        let known = self.peers.known().count() as f64;
        let live = self.peers.live(now).count() as f64;
        let is_synced = known > 0.0 && live >= known * constants::PEER_SYNC_SHARE;
        if is_synced || now >= constants::PEER_SYNC_TIMEOUT {
            self.quotas.mark_peers_synced();
        }
    }

    /// Sends a message to the live peers that place requests.
    pub(super) fn send_to_placing_peers(
        &self,
        message: &message::Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for to in self.placing_peers(now) {
            effects.push(Effect::SendMessage { to, message: message.clone() });
        }
    }

    fn placing_peers(&self, now: ids::Timestamp) -> Vec<net::SocketAddr> {
        if self.is_coordinated(now) {
            let coordinators = self.peers.coordinators(now);
            return coordinators.iter().map(|member| member.peer_address).collect();
        }
        self.peers.live(now).map(|member| member.peer_address).collect()
    }

    /// Returns the incarnations of live peers.
    pub(super) fn live_incarnations(
        &self,
        now: ids::Timestamp,
    ) -> collections::Set<ids::Incarnation> {
        self.peers.live(now).map(|member| member.incarnation).collect()
    }
}
