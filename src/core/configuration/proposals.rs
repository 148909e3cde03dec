//! Follows each proposal from the operator's request to its verdict.

use std::collections;

use bytes::Bytes;

use crate::core::configuration::{self, constants, content, record, replica};
use crate::core::ids;
use crate::core::log;
use crate::document;
use crate::schema;

/// Where the effects of a decision go.
#[derive(Debug)]
pub struct Sink<'a> {
    /// The environment that documents are checked for.
    pub environment: document::Environment,
    /// The token of the next append.
    pub next_token: &'a mut ids::AppendToken,
    /// The effects.
    pub effects: &'a mut Vec<configuration::Effect>,
}

impl Sink<'_> {
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

/// What a proposal waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    /// The base version, which this instance has not read yet.
    Base(configuration::Proposal),
    /// A read of the log that was sent after this time, since an earlier attempt may stand there.
    ReadBack(configuration::Proposal, ids::Timestamp),
    /// The record, to be read back; the token is that of the append.
    Record(ids::AppendToken),
}

/// A proposal under way.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Pending {
    id: u128,
    base: ids::Offset,
    digest: ids::Digest,
    deadline: ids::Timestamp,
    phase: Phase,
}

/// The proposals under way.
#[derive(Debug, Default)]
pub struct Proposals {
    pending: Vec<Pending>,
    uncertain: collections::VecDeque<u128>,
}

impl Proposals {
    /// Returns the number of proposals under way.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no proposal is under way.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes up a proposal.
    pub fn propose(
        &mut self,
        proposal: configuration::Proposal,
        replica: &replica::Replica,
        now: ids::Timestamp,
        sink: &mut Sink<'_>,
    ) {
        let id = proposal.id;
        let digest = content::digest(&proposal.body);
        if let Some(entry) = replica.entry_of(id) {
            return sink.decide(id, repeated(entry, &digest, replica));
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
        let phase = if self.uncertain.contains(&id) {
            Phase::ReadBack(proposal, now)
        } else {
            Phase::Base(proposal)
        };
        self.pending.push(Pending { id, base, digest, deadline, phase });
        self.review(replica, None, sink);
    }

    /// Takes the log's answer to an append.
    pub fn appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        sink: &mut Sink<'_>,
    ) {
        if outcome != log::AppendOutcome::Refused {
            return;
        }
        let Some(index) = self.position(token) else { return };
        let pending = self.pending.remove(index);
        sink.decide(pending.id, configuration::ProposalOutcome::Unavailable);
    }

    fn position(&self, token: ids::AppendToken) -> Option<usize> {
        self.pending.iter().position(|pending| pending.phase == Phase::Record(token))
    }

    /// Decides what can be decided; `read_at` is when the last complete read was sent.
    pub fn review(
        &mut self,
        replica: &replica::Replica,
        read_at: Option<ids::Timestamp>,
        sink: &mut Sink<'_>,
    ) {
        for mut pending in std::mem::take(&mut self.pending) {
            match verdict(&pending, replica) {
                Some(verdict) => sink.decide(pending.id, verdict),
                None => {
                    pending.phase = advance(pending.phase, replica, read_at, sink);
                    self.pending.push(pending);
                }
            }
        }
    }

    /// Ends proposals that take too long.
    pub fn tick(&mut self, replica: &replica::Replica, now: ids::Timestamp, sink: &mut Sink<'_>) {
        for pending in std::mem::take(&mut self.pending) {
            if now < pending.deadline {
                self.pending.push(pending);
                continue;
            }
            let verdict = match pending.phase {
                Phase::Base(_) if replica.is_informed() => conflict(replica),
                Phase::Base(_) => configuration::ProposalOutcome::Unavailable,
                Phase::ReadBack(..) | Phase::Record(_) => {
                    self.remember_uncertain(pending.id);
                    configuration::ProposalOutcome::Unknown
                }
            };
            sink.decide(pending.id, verdict);
        }
    }

    fn remember_uncertain(&mut self, id: u128) {
        if self.uncertain.contains(&id) {
            return;
        }
        self.uncertain.push_back(id);
        if self.uncertain.len() > constants::MAX_UNCERTAIN {
            self.uncertain.pop_front();
        }
    }
}

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

/// Decides on a proposal whose id has taken effect, if it is for the same document.
fn repeated(
    entry: &configuration::Entry,
    digest: &ids::Digest,
    replica: &replica::Replica,
) -> configuration::ProposalOutcome {
    if entry.digest != *digest {
        return conflict(replica);
    }
    configuration::ProposalOutcome::Accepted { version: entry.version }
}

/// Decides on a proposal whose end can be told from what is in force.
fn verdict(
    pending: &Pending,
    replica: &replica::Replica,
) -> Option<configuration::ProposalOutcome> {
    if let Some(entry) = replica.entry_of(pending.id) {
        return Some(repeated(entry, &pending.digest, replica));
    }
    let current = replica.version();
    if pending.base < current {
        return Some(conflict(replica));
    }
    let unsent = !matches!(pending.phase, Phase::Record(_));
    let unchanged = match &pending.phase {
        Phase::Base(proposal) | Phase::ReadBack(proposal, _) => {
            replica.head().is_some_and(|head| head.body == proposal.body)
        }
        Phase::Record(_) => false,
    };
    let accepted = unsent && unchanged && pending.base == current;
    accepted.then_some(configuration::ProposalOutcome::Accepted { version: current })
}

/// Appends a proposal whose base is in force and that does not stand in the log already.
fn advance(
    phase: Phase,
    replica: &replica::Replica,
    read_at: Option<ids::Timestamp>,
    sink: &mut Sink<'_>,
) -> Phase {
    match phase {
        Phase::Base(proposal) if is_ready(&proposal, replica) => {
            Phase::Record(sink.append(encode(&proposal, replica, sink.environment)))
        }
        Phase::ReadBack(proposal, since)
            if read_at.is_some_and(|read_at| read_at >= since) && is_ready(&proposal, replica) =>
        {
            Phase::Record(sink.append(encode(&proposal, replica, sink.environment)))
        }
        phase => phase,
    }
}

fn is_ready(proposal: &configuration::Proposal, replica: &replica::Replica) -> bool {
    replica.is_informed() && proposal.base == replica.version()
}

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
