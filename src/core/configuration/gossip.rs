//! Asks and tells peers about the version in force, and judges how recent the known keys are.

use std::collections;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use crate::core::collections::Set;
use crate::core::configuration::{self, constants};
use crate::core::ids;
use crate::core::membership;

/// A pull whose answer is awaited.
#[derive(Debug, Clone, Copy)]
struct Open {
    sequence: u64,
    sent_at: ids::Timestamp,
}

/// The exchange with peers.
#[derive(Debug)]
pub struct Gossip {
    own: ids::InstanceId,
    rng: rngs::SmallRng,
    members: Vec<ids::InstanceId>,
    hinted: Vec<ids::InstanceId>,
    sequence: u64,
    open: collections::VecDeque<Open>,
    pulled_at: Option<ids::Timestamp>,
    wanted: Option<(ids::Offset, ids::Timestamp)>,
    log_at: Option<ids::Timestamp>,
    peer_at: Option<ids::Timestamp>,
    first_answer_at: Option<ids::Timestamp>,
    answerers: Set<ids::InstanceId>,
    reported: bool,
}

impl Gossip {
    /// Creates the exchange of an instance that knows no peers.
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self {
            own,
            rng: rngs::SmallRng::seed_from_u64(seed),
            members: Vec::new(),
            hinted: Vec::new(),
            sequence: 0,
            open: collections::VecDeque::new(),
            pulled_at: None,
            wanted: None,
            log_at: None,
            peer_at: None,
            first_answer_at: None,
            answerers: Set::default(),
            reported: false,
        }
    }

    /// Takes the members of the view as peers.
    pub fn view(&mut self, view: &membership::View) {
        self.members = self.others(view.members.iter().map(|member| member.id.clone()));
    }

    /// Takes instances of the platform's list as peers while there is no view.
    pub fn hint(&mut self, instances: Vec<ids::InstanceId>) {
        self.hinted = self.others(instances.into_iter());
    }

    fn others(&self, ids: impl Iterator<Item = ids::InstanceId>) -> Vec<ids::InstanceId> {
        ids.filter(|id| *id != self.own).collect()
    }

    fn peers(&self) -> &[ids::InstanceId] {
        if self.members.is_empty() { &self.hinted } else { &self.members }
    }

    /// Notes that a read, sent at `requested_at`, found nothing newer in the log.
    pub fn read_log(&mut self, requested_at: ids::Timestamp) {
        self.log_at = self.log_at.max(Some(requested_at));
    }

    /// Notes that a peer answered a pull.
    pub fn answered(&mut self, from: &ids::InstanceId, sequence: u64, now: ids::Timestamp) {
        let Some(index) = self.open.iter().position(|open| open.sequence == sequence) else {
            return;
        };
        let Some(open) = self.open.remove(index) else { return };
        self.peer_at = self.peer_at.max(Some(open.sent_at));
        self.first_answer_at = self.first_answer_at.or(Some(now));
        if self.answerers.len() < constants::FIRST_ANSWERS {
            self.answerers.insert(from.clone());
        }
    }

    /// Returns when the last read that found nothing newer in the log was sent.
    pub fn log_at(&self) -> Option<ids::Timestamp> {
        self.log_at
    }

    /// Returns when the last pull that a peer answered was sent.
    pub fn peer_at(&self) -> Option<ids::Timestamp> {
        self.peer_at
    }

    /// Returns whether the log was read to its end lately.
    pub fn log_is_up(&self, now: ids::Timestamp) -> bool {
        self.log_at.is_some_and(|at| now.saturating_sub(at) < constants::LOG_LAPSE)
    }

    /// Returns whether the log or a peer was reached recently enough to rely on the known keys.
    pub fn fresh(&self, now: ids::Timestamp) -> bool {
        let recent = |at: Option<ids::Timestamp>| {
            at.is_some_and(|at| now.saturating_sub(at) < constants::KEYS_STALE)
        };
        recent(self.log_at) || (recent(self.peer_at) && self.has_asked_enough(now))
    }

    /// Returns whether the document can be relied on though the log was never read.
    fn has_asked_enough(&self, now: ids::Timestamp) -> bool {
        if self.log_at.is_some() {
            return true;
        }
        let wanted = constants::FIRST_ANSWERS.min(self.peers().len());
        let waited = self
            .first_answer_at
            .is_some_and(|at| now.saturating_sub(at) >= constants::FIRST_ANSWERS_TIMEOUT);
        self.answerers.len() >= wanted || waited
    }

    /// Emits the freshness of the keys when it has changed.
    pub fn report_freshness(
        &mut self,
        has_document: bool,
        now: ids::Timestamp,
        effects: &mut Vec<configuration::Effect>,
    ) {
        let fresh = has_document && self.fresh(now);
        if fresh != self.reported {
            self.reported = fresh;
            effects.push(configuration::Effect::KeysFresh(fresh));
        }
    }

    /// Asks peers when it is time to.
    pub fn tick(
        &mut self,
        version: ids::Offset,
        now: ids::Timestamp,
        effects: &mut Vec<configuration::Effect>,
    ) {
        let (interval, count) = if self.log_is_up(now) {
            (constants::PULL_INTERVAL, 1)
        } else if !self.has_asked_enough(now) {
            (constants::FIRST_PULL_INTERVAL, constants::FIRST_ANSWERS)
        } else {
            (constants::URGENT_PULL_INTERVAL, constants::URGENT_PULL_PEERS)
        };
        if self.pulled_at.is_some_and(|at| now.saturating_sub(at) < interval) {
            return;
        }
        let peers = self.choose(count);
        if peers.is_empty() {
            return;
        }
        self.pulled_at = Some(now);
        for peer in peers {
            self.pull_from(peer, version, now, effects);
        }
    }

    /// Asks a peer that has a later version, unless another one was just asked for it.
    pub fn want(
        &mut self,
        wanted: ids::Offset,
        peer: ids::InstanceId,
        version: ids::Offset,
        now: ids::Timestamp,
        effects: &mut Vec<configuration::Effect>,
    ) {
        let asked = self.wanted.is_some_and(|(asked, at)| {
            asked >= wanted && now.saturating_sub(at) < constants::URGENT_PULL_INTERVAL
        });
        if asked {
            return;
        }
        self.wanted = Some((wanted, now));
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
        self.open.push_back(Open { sequence, sent_at: now });
        if self.open.len() > constants::MAX_OPEN_PULLS {
            self.open.pop_front();
        }
        let message = configuration::Message::Pull { sequence, version };
        effects.push(configuration::Effect::Send { to: peer, message });
    }

    /// Tells some peers of a new version.
    pub fn announce(&mut self, version: ids::Offset, effects: &mut Vec<configuration::Effect>) {
        for to in self.choose(constants::ANNOUNCE_PEERS) {
            let message = configuration::Message::Announce { version };
            effects.push(configuration::Effect::Send { to, message });
        }
    }

    /// Draws distinct peers at random.
    fn choose(&mut self, count: usize) -> Vec<ids::InstanceId> {
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
