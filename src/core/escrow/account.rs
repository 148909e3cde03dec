//! The state that an instance keeps for one workspace.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::escrow;
use crate::core::escrow::bucket;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::ranking;
use crate::core::ids;

/// Whether an instance holds one share.
#[derive(Debug, Clone, Default)]
pub enum Share {
    /// It neither holds nor claims the share.
    #[default]
    Idle,
    /// It asks the other members for permission to hold the share.
    Claiming(Claim),
    /// It holds the share.
    Held,
}

/// A claim for a share that lacks some permits.
#[derive(Debug, Clone, Default)]
pub struct Claim {
    /// Members that have permitted the claim.
    pub permits: collections::Set<ids::InstanceId>,
    /// The open request for a permit to each member that was sent the claim.
    pub permit_requests: collections::Map<ids::InstanceId, PermitRequest>,
    /// The balance that the former holder handed over with its permit.
    pub handed_over: Option<bucket::ShareBalance>,
}

/// A claim for one share that was sent to one member.
#[derive(Debug, Clone, Copy)]
pub struct PermitRequest {
    /// The number of the first claim message that was sent; an answer to an earlier one is ignored.
    pub first_number: message::Number,
    /// When the claim was last sent.
    pub sent_at: ids::Timestamp,
    /// Whether the last message said that only this member's permit is missing.
    pub is_last: bool,
}

/// Tokens that this broker pulled from a quota holder.
#[derive(Debug, Clone)]
pub struct PulledGrant {
    /// The quota holder.
    pub holder: ids::InstanceId,
    /// The number of the pull that the quota holder answered.
    pub number: message::Number,
    /// Tokens that the quota holder granted.
    pub granted_tokens: u64,
    /// Tokens that are not granted to a request yet.
    pub available_tokens: u64,
    /// Tokens that were spent or returned so far, as reported to the quota holder.
    pub settled: message::GrantOutcome,
    /// When the tokens expire.
    pub expires_at: ids::Timestamp,
}

/// A pull that was sent to a quota holder and is not answered.
#[derive(Debug, Clone)]
pub struct PendingPull {
    /// The quota holder.
    pub holder: ids::InstanceId,
    /// When the pull was sent.
    pub sent_at: ids::Timestamp,
    /// Whether the answer timeout has passed.
    pub overdue: bool,
}

/// The bucket level of a quota holder, as of its last answer to a pull.
#[derive(Debug, Clone, Copy)]
pub struct ReportedLevel {
    /// The level that it reported.
    pub level_tokens: u64,
    /// When the answer arrived.
    pub received_at: ids::Timestamp,
}

/// Where a queued request for tokens comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A request of this instance.
    Own(ids::RequestId),
    /// A request of another instance, by the number of its token request.
    Peer(ids::InstanceId, message::Number),
}

/// A request for tokens in a broker's queue.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// Where it comes from.
    pub origin: Origin,
    /// The tokens that it needs, all or none.
    pub tokens: u64,
    /// When it is denied at the latest.
    pub deadline: ids::Timestamp,
}

/// A request of this instance that waits for tokens.
#[derive(Debug, Clone)]
pub struct WaitingRequest {
    /// The request.
    pub request: ids::RequestId,
    /// Its estimated cost.
    pub tokens: u64,
    /// The part of the workspace's debt that is charged with this request.
    pub debt_tokens: u64,
    /// When a broker denies it at the latest; without an answer it is refused a little later.
    pub deadline: ids::Timestamp,
    /// Brokers that were asked so far, the current one last.
    pub asked_brokers: Vec<ids::InstanceId>,
    /// The number of the open token request, if the broker is another instance.
    pub token_request: Option<message::Number>,
    /// When the current broker was asked.
    pub asked_at: ids::Timestamp,
    /// Whether the current broker has confirmed that the request is in its queue.
    pub is_queued: bool,
}

impl WaitingRequest {
    /// Returns the tokens to request from a broker: the estimated cost and the debt.
    pub fn tokens_to_request(&self) -> u64 {
        self.tokens + self.debt_tokens
    }
}

/// The recent demand of a workspace, which decays linearly over the demand window.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    tokens: u64,
    at: ids::Timestamp,
}

impl Demand {
    /// Adds tokens that were granted.
    pub fn add(&mut self, tokens: u64, now: ids::Timestamp) {
        self.tokens = self.tokens_per_s(now).saturating_add(tokens);
        self.at = now;
    }

    /// Returns the tokens that were granted in about the last second.
    pub fn tokens_per_s(&self, now: ids::Timestamp) -> u64 {
        let window = u128::from(constants::DEMAND_WINDOW_MS);
        let elapsed = now.saturating_sub(self.at).as_millis().min(window);
        let remaining = u128::from(self.tokens) * (window - elapsed) / window;
        u64::try_from(remaining).unwrap_or(u64::MAX)
    }
}

/// The state of one workspace at this instance.
#[derive(Debug, Clone)]
pub struct Account {
    /// The limit in force.
    pub limit: escrow::Limit,
    /// The token bucket for the shares that this instance holds.
    pub bucket: bucket::Bucket,
    /// Whether this instance holds or claims each share.
    pub shares: [Share; constants::SHARES],
    /// The instance that is to hold each share, according to the membership view.
    pub holders: ranking::Holders,
    /// Tokens pulled from other quota holders.
    pub pulled: Vec<PulledGrant>,
    /// Pulls without an answer, by their number.
    pub pulls: collections::Map<message::Number, PendingPull>,
    /// The last known level of each other quota holder.
    pub reported_levels: collections::Map<ids::InstanceId, ReportedLevel>,
    /// Requests that wait for tokens at this instance as their broker.
    pub queue: VecDeque<QueuedRequest>,
    /// The demand that this instance has served as a broker.
    pub demand: Demand,
    /// Requests of this instance that wait for tokens, in the order of their arrival.
    pub waiting: VecDeque<WaitingRequest>,
    /// Tokens that requests used beyond their reservations and that are not charged yet.
    pub debt_tokens: u64,
    /// Reserved and unused tokens that were put back into this bucket since the process started.
    pub refunded_tokens: u64,
}

impl Account {
    /// Creates the state of a workspace of which this instance holds no shares.
    pub fn new(limit: escrow::Limit, clock_drift_ppm: u32, now: ids::Timestamp) -> Self {
        let mut bucket = bucket::Bucket::new(constants::SHARES as u64, clock_drift_ppm);
        bucket.set_limit(limit.rate_tokens_per_s, limit.burst_tokens, now);
        Self {
            limit,
            bucket,
            shares: Default::default(),
            holders: ranking::Holders::new(),
            pulled: Vec::new(),
            pulls: collections::Map::default(),
            reported_levels: collections::Map::default(),
            queue: VecDeque::new(),
            demand: Demand::default(),
            waiting: VecDeque::new(),
            debt_tokens: 0,
            refunded_tokens: 0,
        }
    }

    /// Returns the most tokens that one request can be granted: the capacity of all shares.
    pub fn max_request_tokens(&self) -> u64 {
        let parts = constants::SHARES as u64;
        self.limit.burst_tokens / parts * parts
    }

    /// Returns the distinct quota holders in the order in which they are asked as brokers.
    pub fn brokers(&self) -> Vec<ids::InstanceId> {
        let mut brokers = Vec::with_capacity(constants::SHARES);
        for holder in &self.holders {
            if !brokers.contains(holder) {
                brokers.push(holder.clone());
            }
        }
        brokers
    }

    /// Returns the pulled tokens that are valid for long enough to be granted.
    pub fn pooled_tokens(&self, now: ids::Timestamp) -> u64 {
        self.pulled
            .iter()
            .filter(|grant| grant.is_usable(now))
            .map(|grant| grant.available_tokens)
            .sum()
    }

    /// Returns whether the passing of time can change this state, so that it needs ticks.
    pub fn has_pending_work(&self) -> bool {
        !(self.queue.is_empty()
            && self.waiting.is_empty()
            && self.pulled.is_empty()
            && self.pulls.is_empty())
    }
}

impl PulledGrant {
    /// Returns whether some tokens are neither spent nor returned.
    pub fn is_open(&self) -> bool {
        self.settled.spent_tokens + self.settled.returned_tokens < self.granted_tokens
    }

    /// Returns whether the tokens are valid for long enough to be granted.
    pub fn is_usable(&self, now: ids::Timestamp) -> bool {
        self.expires_at
            >= now + time::Duration::from_millis(constants::MIN_PULLED_GRANT_LIFETIME_MS)
    }
}
