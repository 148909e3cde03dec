//! What an instance keeps for one workspace.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::escrow;
use crate::core::escrow::bucket;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::ranking;
use crate::core::ids;

/// What an instance is to one share.
#[derive(Debug, Clone, Default)]
pub enum Share {
    /// It does not hold the share.
    #[default]
    Idle,
    /// It asks the others for permission to hold the share.
    Claiming(Claim),
    /// It holds the share.
    Held,
}

/// A claim under way.
#[derive(Debug, Clone, Default)]
pub struct Claim {
    /// Members that have permitted it.
    pub permits: collections::Set<ids::InstanceId>,
    /// When and from which number on each member was asked.
    pub asked: collections::Map<ids::InstanceId, Asking>,
    /// What the former holder handed over.
    pub portion: Option<bucket::Portion>,
}

/// A question to one member about one share.
#[derive(Debug, Clone, Copy)]
pub struct Asking {
    /// The lowest number of a claim whose answer counts.
    pub number: message::Number,
    /// When the claim was sent last.
    pub sent_at: ids::Timestamp,
    /// Whether the member was told that only its permission is missing.
    pub last: bool,
}

/// Tokens that were pulled from a quota holder.
#[derive(Debug, Clone)]
pub struct Lot {
    /// The quota holder.
    pub holder: ids::InstanceId,
    /// The number of the request for them.
    pub number: message::Number,
    /// Tokens that the quota holder gave.
    pub given_tokens: u64,
    /// Tokens that can be granted.
    pub free_tokens: u64,
    /// Tokens that are known to be spent or given back, as the quota holder is told.
    pub settled: message::Settled,
    /// When the tokens can no longer be spent.
    pub expires_at: ids::Timestamp,
}

/// A request for tokens of a quota holder.
#[derive(Debug, Clone)]
pub struct Pull {
    /// The quota holder.
    pub holder: ids::InstanceId,
    /// When it was sent.
    pub sent_at: ids::Timestamp,
    /// Whether the quota holder has let the time for an answer pass.
    pub overdue: bool,
}

/// What a quota holder had left when it last answered.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Its level, in tokens.
    pub left_tokens: u64,
    /// When the answer came.
    pub at: ids::Timestamp,
}

/// Who waits in a broker's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A request of this instance.
    Own(ids::RequestId),
    /// A request of another instance, by the number of its question.
    Peer(ids::InstanceId, message::Number),
}

/// An entry of a broker's queue.
#[derive(Debug, Clone)]
pub struct Queued {
    /// Who waits.
    pub origin: Origin,
    /// The tokens that are needed.
    pub tokens: u64,
    /// When the entry is denied at the latest.
    pub deadline: ids::Timestamp,
}

/// A request of this instance that waits for tokens.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// The request.
    pub request: ids::RequestId,
    /// Its estimated cost.
    pub tokens: u64,
    /// Debt of the workspace that is paid together with it.
    pub debt_tokens: u64,
    /// When it is refused at the latest, if a broker answers.
    pub deadline: ids::Timestamp,
    /// Members that were asked, the current one last.
    pub tried: Vec<ids::InstanceId>,
    /// The question that is open.
    pub number: Option<message::Number>,
    /// When the current member was asked.
    pub asked_at: ids::Timestamp,
    /// Whether the current member has said that the request waits there.
    pub queued: bool,
}

impl Waiting {
    /// Returns the tokens to ask for.
    pub fn cost_tokens(&self) -> u64 {
        self.tokens + self.debt_tokens
    }
}

/// The demand for a workspace, averaged over a short time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    tokens: u64,
    at: ids::Timestamp,
}

impl Demand {
    /// Adds tokens that were asked for.
    pub fn add(&mut self, tokens: u64, now: ids::Timestamp) {
        self.tokens = self.tokens_per_s(now).saturating_add(tokens);
        self.at = now;
    }

    /// Returns the tokens asked for in about the last second.
    pub fn tokens_per_s(&self, now: ids::Timestamp) -> u64 {
        let window = u128::from(constants::DEMAND_WINDOW_MS);
        let elapsed = now.saturating_sub(self.at).as_millis().min(window);
        let left = u128::from(self.tokens) * (window - elapsed) / window;
        u64::try_from(left).unwrap_or(u64::MAX)
    }
}

/// Everything about one workspace.
#[derive(Debug, Clone)]
pub struct Account {
    /// The limit in force.
    pub limit: escrow::Limit,
    /// The bucket for the shares that are held here.
    pub bucket: bucket::Bucket,
    /// The state of each share.
    pub shares: [Share; constants::SHARES],
    /// The holder of each share according to the view.
    pub holders: ranking::Holders,
    /// Tokens pulled from other quota holders.
    pub lots: Vec<Lot>,
    /// Requests for tokens of other quota holders.
    pub pulls: collections::Map<message::Number, Pull>,
    /// What other quota holders have.
    pub estimates: collections::Map<ids::InstanceId, Estimate>,
    /// Those who wait for tokens at this instance as their broker.
    pub queue: VecDeque<Queued>,
    /// The demand that this instance sees as a broker.
    pub demand: Demand,
    /// Requests of this instance that wait, in the order of their arrival.
    pub waiting: VecDeque<Waiting>,
    /// Tokens that were used beyond what was reserved.
    pub debt_tokens: u64,
    /// Tokens that were reserved, not used, and put back here, since the process started.
    pub refunded_tokens: u64,
}

impl Account {
    /// Creates the account of a workspace without any shares.
    pub fn new(limit: escrow::Limit, clock_drift_ppm: u32, now: ids::Timestamp) -> Self {
        let mut bucket = bucket::Bucket::new(constants::SHARES as u64, clock_drift_ppm);
        bucket.limit(limit.rate_tokens_per_s, limit.burst_tokens, now);
        Self {
            limit,
            bucket,
            shares: Default::default(),
            holders: ranking::Holders::new(),
            lots: Vec::new(),
            pulls: collections::Map::default(),
            estimates: collections::Map::default(),
            queue: VecDeque::new(),
            demand: Demand::default(),
            waiting: VecDeque::new(),
            debt_tokens: 0,
            refunded_tokens: 0,
        }
    }

    /// Returns the most tokens that one request can ever be granted.
    pub fn most_tokens(&self) -> u64 {
        let parts = constants::SHARES as u64;
        self.limit.burst_tokens / parts * parts
    }

    /// Returns the quota holders without repetition, the first broker first.
    pub fn brokers(&self) -> Vec<ids::InstanceId> {
        let mut brokers = Vec::with_capacity(constants::SHARES);
        for holder in &self.holders {
            if !brokers.contains(holder) {
                brokers.push(holder.clone());
            }
        }
        brokers
    }

    /// Returns the tokens of pulled lots that live long enough to be granted.
    pub fn pooled_tokens(&self, now: ids::Timestamp) -> u64 {
        self.lots.iter().filter(|lot| lot.is_usable(now)).map(|lot| lot.free_tokens).sum()
    }

    /// Tells whether time alone can change something here.
    pub fn is_active(&self) -> bool {
        !(self.queue.is_empty()
            && self.waiting.is_empty()
            && self.lots.is_empty()
            && self.pulls.is_empty())
    }
}

impl Lot {
    /// Tells whether some tokens are neither spent nor given back.
    pub fn is_open(&self) -> bool {
        self.settled.spent_tokens + self.settled.returned_tokens < self.given_tokens
    }

    /// Tells whether the tokens live long enough to be granted.
    pub fn is_usable(&self, now: ids::Timestamp) -> bool {
        self.expires_at >= now + time::Duration::from_millis(constants::MIN_LOT_LIFE_MS)
    }
}
