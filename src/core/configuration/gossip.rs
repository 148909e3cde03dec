//! Exchanges versions with peers, and decides whether the known keys are recent enough.

use std::collections;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use crate::core::collections::Set;
use crate::core::configuration::{self, constants};
use crate::core::ids;
use crate::core::membership;

/// A pull without an answer yet.
#[derive(Debug, Clone, Copy)]
struct OpenPull {
    sequence: u64,
    sent_at: ids::Timestamp,
}

/// The exchange of versions with peers.
#[derive(Debug)]
pub struct Gossip {
    own: ids::InstanceId,
    rng: rngs::SmallRng,
    /// The other members of the view.
    members: Vec<ids::InstanceId>,
    /// The other instances of the platform's list.
    listed: Vec<ids::InstanceId>,
    sequence: u64,
    open_pulls: collections::VecDeque<OpenPull>,
    pulled_at: Option<ids::Timestamp>,
    /// The latest version that was requested after an announcement, and when.
    requested: Option<(ids::Offset, ids::Timestamp)>,
    log_read_at: Option<ids::Timestamp>,
    peer_answered_at: Option<ids::Timestamp>,
    first_answer_at: Option<ids::Timestamp>,
    /// The first peers that answered, up to `INITIAL_ANSWERS`.
    answered_by: Set<ids::InstanceId>,
    reported_fresh: bool,
}

impl Gossip {
    /// Creates the exchange of an instance that knows no peers.
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self {
            own,
            rng: rngs::SmallRng::seed_from_u64(seed),
            members: Vec::new(),
            listed: Vec::new(),
            sequence: 0,
            open_pulls: collections::VecDeque::new(),
            pulled_at: None,
            requested: None,
            log_read_at: None,
            peer_answered_at: None,
            first_answer_at: None,
            answered_by: Set::default(),
            reported_fresh: false,
        }
    }

    /// Sets the members of the view as peers.
    pub fn set_members(&mut self, view: &membership::View) {
        self.members = self.without_own(view.members.iter().map(|member| member.id.clone()));
    }

    /// Sets the instances of the platform's list as peers for as long as there is no view.
    pub fn set_listed(&mut self, instances: Vec<ids::InstanceId>) {
        self.listed = self.without_own(instances.into_iter());
    }

    fn without_own(&self, ids: impl Iterator<Item = ids::InstanceId>) -> Vec<ids::InstanceId> {
        ids.filter(|id| *id != self.own).collect()
    }

    /// Returns the members of the view or, without a view, the instances of the platform's list.
    fn peers(&self) -> &[ids::InstanceId] {
        if self.members.is_empty() { &self.listed } else { &self.members }
    }

    /// Handles a read, sent at `requested_at`, that found nothing newer in the log.
    pub fn on_log_read(&mut self, requested_at: ids::Timestamp) {
        self.log_read_at = self.log_read_at.max(Some(requested_at));
    }

    /// Handles a peer's answer to a pull.
    pub fn on_answer(&mut self, from: &ids::InstanceId, sequence: u64, now: ids::Timestamp) {
        let Some(index) = self.open_pulls.iter().position(|open| open.sequence == sequence) else {
            return;
        };
        let Some(open) = self.open_pulls.remove(index) else { return };
        self.peer_answered_at = self.peer_answered_at.max(Some(open.sent_at));
        self.first_answer_at = self.first_answer_at.or(Some(now));
        if self.answered_by.len() < constants::INITIAL_ANSWERS {
            self.answered_by.insert(from.clone());
        }
    }

    /// Returns when the last read that found nothing newer in the log was sent.
    pub fn log_read_at(&self) -> Option<ids::Timestamp> {
        self.log_read_at
    }

    /// Returns when the last pull that a peer answered was sent.
    pub fn peer_answered_at(&self) -> Option<ids::Timestamp> {
        self.peer_answered_at
    }

    /// Returns whether the log was recently read to its end.
    pub fn is_log_up(&self, now: ids::Timestamp) -> bool {
        self.log_read_at.is_some_and(|at| now.saturating_sub(at) < constants::LOG_READ_TIMEOUT)
    }

    /// Returns whether the log or a peer was reached recently enough to rely on the known keys.
    pub fn are_keys_fresh(&self, now: ids::Timestamp) -> bool {
        let recent = |at: Option<ids::Timestamp>| {
            at.is_some_and(|at| now.saturating_sub(at) < constants::KEY_FRESHNESS_TIMEOUT)
        };
        recent(self.log_read_at) || (recent(self.peer_answered_at) && self.has_enough_answers(now))
    }

    /// Returns whether the document is reliable without the log: the log was read before, or enough
    /// peers have answered, or no further peer has answered in time.
    fn has_enough_answers(&self, now: ids::Timestamp) -> bool {
        if self.log_read_at.is_some() {
            return true;
        }
        let wanted = constants::INITIAL_ANSWERS.min(self.peers().len());
        let waited = self
            .first_answer_at
            .is_some_and(|at| now.saturating_sub(at) >= constants::INITIAL_ANSWERS_TIMEOUT);
        self.answered_by.len() >= wanted || waited
    }

    /// Reports the freshness of the keys if it has changed.
    pub fn report_freshness(
        &mut self,
        has_document: bool,
        now: ids::Timestamp,
        effects: &mut Vec<configuration::Effect>,
    ) {
        let fresh = has_document && self.are_keys_fresh(now);
        if fresh != self.reported_fresh {
            self.reported_fresh = fresh;
            effects.push(configuration::Effect::KeysFresh(fresh));
        }
    }

    /// Pulls from peers when that is due.
    pub fn tick(
        &mut self,
        version: ids::Offset,
        now: ids::Timestamp,
        effects: &mut Vec<configuration::Effect>,
    ) {
        let (interval, count) = if self.is_log_up(now) {
            (constants::PULL_INTERVAL, 1)
        } else if !self.has_enough_answers(now) {
            (constants::INITIAL_PULL_INTERVAL, constants::INITIAL_ANSWERS)
        } else {
            (constants::URGENT_PULL_INTERVAL, constants::URGENT_PULL_PEERS)
        };
        if self.pulled_at.is_some_and(|at| now.saturating_sub(at) < interval) {
            return;
        }
        let peers = self.choose_peers(count);
        if peers.is_empty() {
            return;
        }
        self.pulled_at = Some(now);
        for peer in peers {
            self.pull_from(peer, version, now, effects);
        }
    }

    /// Pulls a later version from a peer, unless it was requested within the last interval.
    pub fn request_version(
        &mut self,
        wanted: ids::Offset,
        peer: ids::InstanceId,
        version: ids::Offset,
        now: ids::Timestamp,
        effects: &mut Vec<configuration::Effect>,
    ) {
        let requested = self.requested.is_some_and(|(requested, at)| {
            requested >= wanted && now.saturating_sub(at) < constants::URGENT_PULL_INTERVAL
        });
        if requested {
            return;
        }
        self.requested = Some((wanted, now));
        self.pull_from(peer, version, now, effects);
    }

    fn pull_from(
        &mut self,
        peer: ids::InstanceId,
        version: ids::Offset,
        now: ids::Timestamp,
        effects: &mut Vec<configuration::Effect>,
    ) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.open_pulls.push_back(OpenPull { sequence, sent_at: now });
        if self.open_pulls.len() > constants::MAX_OPEN_PULLS {
            self.open_pulls.pop_front();
        }
        let message = configuration::Message::Pull { sequence, version };
        effects.push(configuration::Effect::Send { to: peer, message });
    }

    /// Announces a new version to some peers.
    pub fn announce(&mut self, version: ids::Offset, effects: &mut Vec<configuration::Effect>) {
        for to in self.choose_peers(constants::ANNOUNCE_PEERS) {
            let message = configuration::Message::Announce { version };
            effects.push(configuration::Effect::Send { to, message });
        }
    }

    /// Chooses distinct peers at random.
    fn choose_peers(&mut self, count: usize) -> Vec<ids::InstanceId> {
        let mut peers = self.peers().to_vec();
        let count = count.min(peers.len());
        for index in 0..count {
            let other = self.rng.random_range(index..peers.len());
            peers.swap(index, other);
        }
        peers.truncate(count);
        peers
    }
}
