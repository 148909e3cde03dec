//! The state of a request from its arrival to its single end.

use std::net;
use std::sync;

use crate::core::fleet::HandleId;
use crate::core::fleet::Outcome;
use crate::core::fleet::Step;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::crashes;
use crate::core::fleet::hedging;
use crate::core::fleet::ledger;
use crate::core::fleet::overload;
use crate::core::fleet::servers;
use crate::core::ids;

/// The state of a request at a server.
#[derive(Debug, Clone)]
pub struct AtServer {
    /// The id of the server.
    pub server: ids::ServerId,
    /// The start of the server's process, in milliseconds of its own clock.
    pub born_ms: u64,
    /// The work that the server does.
    pub step: Step,
    /// The load that is counted for the request at the server.
    pub load: servers::Load,
    /// When the request was sent.
    pub sent: ids::Timestamp,
    /// The time that was expected to the first event or to the whole plain answer.
    pub expected_ms: f64,
    /// The prompt tokens that the server had to prefill up to the end of this prompt.
    pub queued_prefill_tokens: u32,
    /// The decode server at which KV cache is reserved until the prompt is prefilled.
    pub decode_reservation: Option<(ids::ServerId, servers::Load)>,
    /// When the answer has started.
    pub started: Option<ids::Timestamp>,
    /// Whether the call is a repeat, which the budget of retries has paid.
    pub is_repeat: bool,
}

impl AtServer {
    /// Returns whether the answer has started.
    pub fn is_started(&self) -> bool {
        self.started.is_some()
    }

    /// Returns whether its server has lived on after the start of the answer for longer than one that
    /// the request crashes.
    pub fn has_survived(&self, now: ids::Timestamp) -> bool {
        self.started.is_some_and(|started| now.saturating_sub(started) >= crashes::CRASH_DELAY)
    }
}

/// The wait for the owner of a service to grant a reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AwaitingGrant {
    /// The incarnation of the owner.
    pub owner: ids::Incarnation,
    /// The peer address of the owner.
    pub owner_address: net::SocketAddr,
    /// When the reservation request was first sent.
    pub first_sent: ids::Timestamp,
    /// When the reservation request was last sent.
    pub last_sent: ids::Timestamp,
    /// When the owner last confirmed that the reservation request is queued.
    pub last_confirmed: Option<ids::Timestamp>,
}

/// The grant of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The incarnation of the owner.
    pub owner: ids::Incarnation,
    /// The peer address of the owner, which receives the request's progress.
    pub owner_address: net::SocketAddr,
    /// When the grant was received.
    pub received: ids::Timestamp,
}

/// The wait for the coordinator that counts the limits.
#[derive(Debug, Clone, PartialEq)]
pub struct AwaitingCharge {
    /// The amount to be charged.
    pub amount: f64,
    /// The coordinators that the charge was sent to; the last one is the current one.
    pub coordinators: Vec<net::SocketAddr>,
    /// When the charge was first sent to the current coordinator.
    pub first_sent: ids::Timestamp,
    /// When the charge was last sent to the current coordinator.
    pub last_sent: ids::Timestamp,
}

/// The wait for the origin of the stream that the caller resumes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AwaitingOrigin {
    /// When the lookup started.
    pub since: ids::Timestamp,
    /// Whether all origins in the store were read since.
    pub is_store_read: bool,
    /// Whether a coordinator has answered that it does not know the origin.
    pub is_unknown_to_peer: bool,
}

impl AwaitingOrigin {
    /// Starts a lookup.
    pub fn new(now: ids::Timestamp) -> Self {
        Self { since: now, is_store_read: false, is_unknown_to_peer: false }
    }
}

/// A prefilled prompt that waits for a decode server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPrompt {
    /// The prefill server that holds its KV cache.
    pub source: net::SocketAddr,
    /// The KV cache handle at that server.
    pub handle: HandleId,
    /// When the wait started.
    pub since: ids::Timestamp,
}

/// The second leg of a request: another send, made while the first one is without an answer. Its
/// state is that of a request of its own, until the first leg has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Hedge {
    /// What the decision to send it rests on.
    pub basis: hedging::times::Basis,
    /// Whether it waits for a reservation or is at a server, beside the first leg.
    pub is_open: bool,
    /// Whether the first leg has ended, so that the request is at the server of the second one. Its
    /// reservation bears that leg's number.
    pub is_promoted: bool,
}

/// The phase of a request.
#[derive(Debug, Clone)]
pub enum Phase {
    /// Its charge waits for the response of a coordinator.
    AwaitingCharge(AwaitingCharge),
    /// The origin of the stream that it resumes is looked up.
    AwaitingOrigin(AwaitingOrigin),
    /// It waits for a placement by this instance.
    Waiting,
    /// It waits for a reservation by the owner of its service.
    AwaitingGrant(AwaitingGrant),
    /// It was sent to a server.
    AtServer(AtServer),
    /// Its last server has ended it, and the next step is being decided.
    Ending,
}

/// A request that has not ended.
#[derive(Debug, Clone)]
pub struct LiveRequest {
    /// The caller's request.
    pub call: call::Call,
    /// Its route.
    pub route: sync::Arc<catalog::Route>,
    /// The inputs of its placement.
    pub claim: claim::Claim,
    /// The workspace whose key the caller sent.
    pub workspace: Option<sync::Arc<catalog::Workspace>>,
    /// The key of the request, which others that are the same have too.
    pub key: Option<crashes::RequestKey>,
    /// The amount taken from the workspace's limit.
    pub charge: f64,
    /// When it arrived.
    pub arrived: ids::Timestamp,
    /// The deadline.
    pub expires: ids::Timestamp,
    /// The current phase.
    pub phase: Phase,
    /// The order in which this instance placed it, and the share of its workspace in the recent use
    /// if workspaces take turns; `None` if an owner placed it.
    pub order: Option<(overload::Order, Option<f64>)>,
    /// Counts the charges and reservations requested for it; part of its tickets.
    pub attempt: u32,
    /// The grant of its reservation, if an owner granted it.
    pub grant: Option<Grant>,
    /// The calls that servers may have received for it, without the first prefill that one accepted.
    pub arrivals: u32,
    /// Whether a server has accepted a prefill for it.
    pub has_prefilled: bool,
    /// The repeats that the budget of retries has paid and that were not made yet.
    pub prepaid_repeats: u32,
    /// The number of servers that were sent a run of it and may have received it.
    pub run_attempts: u32,
    /// The server that has prefilled its prompt for a handover.
    pub prefill_server: Option<ids::ServerId>,
    /// Its prompt, if it was prefilled and no decode server had capacity.
    pub held: Option<HeldPrompt>,
    /// Whether a server may have run it. If so, no answer promises that it has not run.
    pub may_have_run: bool,
    /// Whether an event was forwarded after which no other server can go on with its stream.
    pub is_position_lost: bool,
    /// Whether a server's failed answer is stored for it.
    pub has_failed_answer: bool,
    /// Its second leg, if it got one.
    pub hedge: Option<Box<Hedge>>,
}

impl LiveRequest {
    /// Returns whether its route allows it to run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeat == catalog::Repeat::Idempotent
    }

    /// Returns the time by which its caller awaits the beginning of its answer.
    pub fn begin_by(&self) -> ids::Timestamp {
        self.route.begin_by(self.arrived, self.expires)
    }

    /// Returns whether its answer is a stream that may be resumed.
    pub fn is_resumable(&self) -> bool {
        self.route.is_resumable()
    }

    /// Returns its features that others may share, which tell requests that crash servers from sound
    /// ones.
    pub fn features(&self) -> Vec<crashes::Feature> {
        let parts = self.call.shared_parts.iter().copied().map(crashes::Feature::Part);
        parts.chain(self.key.map(crashes::Feature::Request)).collect()
    }

    /// Returns the key of its stream; `None` if the caller resumes one without naming it.
    pub fn stream_key(&self) -> Option<call::StreamKey> {
        let stream = self.call.resumes.as_ref().unwrap_or(&self.call.id);
        (!stream.is_empty()).then(|| call::stream_key(stream))
    }

    /// Corrects the number of arrivals by the end of a call to a server.
    pub fn count_arrival(&mut self, at: &AtServer, outcome: &Outcome) {
        let is_first_prefill = matches!(outcome, Outcome::Prefilled { .. })
            && !std::mem::replace(&mut self.has_prefilled, true);
        if is_first_prefill || *outcome == Outcome::Unsent {
            self.arrivals = self.arrivals.saturating_sub(1);
            self.prepaid_repeats += u32::from(at.is_repeat);
        }
    }

    /// Returns the number of repeats that a step makes, with the run that follows a prefill.
    pub fn repeats_of(&self, step: &Step) -> u32 {
        match step {
            _ if self.arrivals == 0 => 0,
            Step::Prefill if self.has_prefilled => 2,
            Step::Run | Step::Resume | Step::Prefill | Step::Decode { .. } => 1,
        }
    }

    /// Returns the most repeats that another try from the beginning makes.
    pub fn max_repeats_of_retry(&self) -> u32 {
        if self.claim.engine.is_some() && self.has_prefilled { 2 } else { 1 }
    }

    /// Returns whether it may be sent to another server.
    pub fn can_try_another_server(&self) -> bool {
        (self.claim.tried.len() as u32) < constants::MAX_TRIED_SERVERS
    }

    /// Returns whether its first leg has ended and it is at the server of the second one.
    pub fn is_promoted(&self) -> bool {
        self.hedge.as_ref().is_some_and(|hedge| hedge.is_promoted)
    }

    /// Returns the number that its ticket bears; `number` is that under which its state is kept.
    pub fn ticket_number(&self, number: call::RequestNumber) -> call::RequestNumber {
        if self.is_promoted() { hedging::second_leg(number) } else { number }
    }

    /// Returns the name of its workspace, if there is one.
    pub fn workspace_name(&self) -> Option<String> {
        self.workspace.as_ref().map(|workspace| workspace.name.to_string())
    }

    /// Returns its load at servers; `None` if it is at none.
    pub fn reservations(&self) -> Option<ledger::Reservations> {
        let Phase::AtServer(at) = &self.phase else { return None };
        let first = (at.server.clone(), at.load);
        Some(std::iter::once(first).chain(at.decode_reservation.clone()).collect())
    }
}
