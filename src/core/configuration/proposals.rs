//! Tracks each proposal from the operator's request to its outcome.

use std::collections;

use bytes::Bytes;

use crate::core::configuration::{self, constants, content, record, replica};
use crate::core::ids;
use crate::core::log;
use crate::document;
use crate::schema;

/// The destination of the effects of a decision.
#[derive(Debug)]
pub struct EffectSink<'a> {
    /// The environment that documents are validated for.
    pub environment: document::Environment,
    /// The token of the next append.
    pub next_token: &'a mut ids::AppendToken,
    /// The effects emitted so far.
    pub effects: &'a mut Vec<configuration::Effect>,
}

impl EffectSink<'_> {
    fn append(&mut self, body: Bytes) -> ids::AppendToken {
        let token = *self.next_token;
        *self.next_token += 1;
        self.effects.push(configuration::Effect::Append { token, body });
        token
    }

    fn decide(&mut self, proposal: u128, outcome: configuration::ProposalOutcome) {
        self.effects.push(configuration::Effect::ProposalDecided { proposal, outcome });
    }
}

/// The phase of a proposal, named after what it waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The base version is not in force here yet.
    NeedsBase(configuration::Proposal),
    /// An earlier attempt may be in the log, so a complete read that was sent at this time or later
    /// is needed first.
    ReadBack(configuration::Proposal, ids::Timestamp),
    /// The record was sent and must be read back; the token is that of the append.
    Appended(ids::AppendToken),
}

/// A proposal without an outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Pending {
    id: u128,
    base: ids::Offset,
    digest: ids::Digest,
    deadline: ids::Timestamp,
    phase: Phase,
}

/// The proposals without an outcome.
#[derive(Debug, Default)]
pub struct Proposals {
    pending: Vec<Pending>,
    /// The latest proposals whose outcome was reported as unknown.
    unknown_outcomes: collections::VecDeque<u128>,
}

impl Proposals {
    /// Returns the number of proposals without an outcome.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no proposal waits for its outcome.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Starts a proposal, or decides it if that is possible immediately.
    pub fn propose(
        &mut self,
        proposal: configuration::Proposal,
        replica: &replica::Replica,
        now: ids::Timestamp,
        sink: &mut EffectSink<'_>,
    ) {
        let id = proposal.id;
        let digest = content::digest(&proposal.body);
        if let Some(entry) = replica.entry_of_proposal(id) {
            return sink.decide(id, repeated_outcome(entry, &digest, replica));
        }
        if self.pending.iter().any(|pending| pending.id == id) {
            return;
        }
        if self.pending.len() == constants::MAX_PROPOSALS {
            return sink.decide(id, configuration::ProposalOutcome::Unavailable);
        }
        if let Err(faults) = check(&proposal, sink.environment) {
            let faults = faults.lines();
            return sink.decide(id, configuration::ProposalOutcome::Invalid { faults });
        }
        let deadline = now + constants::PROPOSAL_TIMEOUT;
        let base = proposal.base;
        let phase = if self.unknown_outcomes.contains(&id) {
            Phase::ReadBack(proposal, now)
        } else {
            Phase::NeedsBase(proposal)
        };
        self.pending.push(Pending { id, base, digest, deadline, phase });
        self.decide_all(replica, None, sink);
    }

    /// Handles the outcome of an append.
    pub fn on_appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        sink: &mut EffectSink<'_>,
    ) {
        if outcome != log::AppendOutcome::Refused {
            return;
        }
        let Some(index) = self.position(token) else { return };
        let pending = self.pending.remove(index);
        sink.decide(pending.id, configuration::ProposalOutcome::Unavailable);
    }

    fn position(&self, token: ids::AppendToken) -> Option<usize> {
        self.pending.iter().position(|pending| pending.phase == Phase::Appended(token))
    }

    /// Decides or advances all proposals; `read_at` is when the last complete read was sent.
    pub fn decide_all(
        &mut self,
        replica: &replica::Replica,
        read_at: Option<ids::Timestamp>,
        sink: &mut EffectSink<'_>,
    ) {
        for mut pending in std::mem::take(&mut self.pending) {
            match outcome(&pending, replica) {
                Some(outcome) => sink.decide(pending.id, outcome),
                None => {
                    pending.phase = advance_phase(pending.phase, replica, read_at, sink);
                    self.pending.push(pending);
                }
            }
        }
    }

    /// Ends the proposals that have timed out.
    pub fn tick(
        &mut self,
        replica: &replica::Replica,
        now: ids::Timestamp,
        sink: &mut EffectSink<'_>,
    ) {
        for pending in std::mem::take(&mut self.pending) {
            if now < pending.deadline {
                self.pending.push(pending);
                continue;
            }
            let outcome = match pending.phase {
                Phase::NeedsBase(_) if replica.is_initialized() => conflict(replica),
                Phase::NeedsBase(_) => configuration::ProposalOutcome::Unavailable,
                Phase::ReadBack(..) | Phase::Appended(_) => {
                    self.remember_unknown_outcome(pending.id);
                    configuration::ProposalOutcome::Unknown
                }
            };
            sink.decide(pending.id, outcome);
        }
    }

    fn remember_unknown_outcome(&mut self, id: u128) {
        if self.unknown_outcomes.contains(&id) {
            return;
        }
        self.unknown_outcomes.push_back(id);
        if self.unknown_outcomes.len() > constants::MAX_UNKNOWN_OUTCOMES {
            self.unknown_outcomes.pop_front();
        }
    }
}

/// Checks the author's name and validates the document.
fn check(
    proposal: &configuration::Proposal,
    environment: document::Environment,
) -> Result<(), schema::Faults> {
    if proposal.author.is_empty() || proposal.author.len() > constants::MAX_AUTHOR_BYTES {
        let problem = "the author's name is empty or too long";
        let remedy = format!("use 1 to {} bytes", constants::MAX_AUTHOR_BYTES);
        return Err(schema::Faults::whole(problem, remedy));
    }
    document::parse(&proposal.body, environment).map(drop)
}

fn conflict(replica: &replica::Replica) -> configuration::ProposalOutcome {
    let (current, author) = (replica.version(), replica.author());
    configuration::ProposalOutcome::Conflict { current, author }
}

/// Returns the outcome of a proposal whose id is in the history: accepted if the document is the
/// same, else a conflict.
fn repeated_outcome(
    entry: &configuration::Entry,
    digest: &ids::Digest,
    replica: &replica::Replica,
) -> configuration::ProposalOutcome {
    if entry.digest != *digest {
        return conflict(replica);
    }
    configuration::ProposalOutcome::Accepted { version: entry.version }
}

/// Returns the outcome of a proposal if what is in force decides it.
fn outcome(
    pending: &Pending,
    replica: &replica::Replica,
) -> Option<configuration::ProposalOutcome> {
    if let Some(entry) = replica.entry_of_proposal(pending.id) {
        return Some(repeated_outcome(entry, &pending.digest, replica));
    }
    let current = replica.version();
    if pending.base < current {
        return Some(conflict(replica));
    }
    let unsent = !matches!(pending.phase, Phase::Appended(_));
    let unchanged = match &pending.phase {
        Phase::NeedsBase(proposal) | Phase::ReadBack(proposal, _) => {
            replica.head().is_some_and(|head| head.body == proposal.body)
        }
        Phase::Appended(_) => false,
    };
    let accepted = unsent && unchanged && pending.base == current;
    accepted.then_some(configuration::ProposalOutcome::Accepted { version: current })
}

/// Appends a proposal once its base is in force and no earlier attempt can be in the log.
fn advance_phase(
    phase: Phase,
    replica: &replica::Replica,
    read_at: Option<ids::Timestamp>,
    sink: &mut EffectSink<'_>,
) -> Phase {
    match phase {
        Phase::NeedsBase(proposal) if is_ready(&proposal, replica) => {
            Phase::Appended(sink.append(encode(&proposal, replica, sink.environment)))
        }
        Phase::ReadBack(proposal, since)
            if read_at.is_some_and(|read_at| read_at >= since) && is_ready(&proposal, replica) =>
        {
            Phase::Appended(sink.append(encode(&proposal, replica, sink.environment)))
        }
        phase => phase,
    }
}

/// Returns whether a proposal's base is in force, according to the log or a peer.
fn is_ready(proposal: &configuration::Proposal, replica: &replica::Replica) -> bool {
    replica.is_initialized() && proposal.base == replica.version()
}

/// Encodes a proposal as a change record.
fn encode(
    proposal: &configuration::Proposal,
    replica: &replica::Replica,
    environment: document::Environment,
) -> Bytes {
    let content = match replica.head() {
        Some(head) => content::Content::between(&head.body, &proposal.body),
        None => content::Content::Full(proposal.body.clone()),
    };
    let change = record::Change {
        proposal: proposal.id,
        base: proposal.base,
        author: proposal.author.clone(),
        environment,
        digest: content::digest(&proposal.body),
        content,
    };
    record::Record::Change(change).encode()
}
