//! Configuration: which document is in force, and which keys act for which workspace.
//!
//! Documents are proposed by operators and recorded in the configuration stream of the log.
//! Instances that cannot read the log get the document in force from their peers.

use std::sync;
use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::reducer;
use crate::document;

pub mod constants;
pub mod content;
pub mod gossip;
pub mod proposals;
pub mod record;
pub mod replica;
pub mod retention;

/// A document in force, indexed for the lookups of requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The offset of the record that carries the document.
    pub version: ids::Offset,
    /// The SHA-256 digest of the document's bytes.
    pub digest: ids::Digest,
    /// The parsed document.
    pub document: document::Document,
    keys: collections::Map<ids::Digest, ids::WorkspaceId>,
    servers: collections::Map<ids::ServerId, usize>,
}

/// A snapshot shared between the reducers and the shell.
pub type SharedSnapshot = sync::Arc<Snapshot>;

impl Snapshot {
    /// Indexes a document that has passed validation.
    pub fn new(version: ids::Offset, digest: ids::Digest, document: document::Document) -> Self {
        let keys = document
            .workspaces
            .iter()
            .flat_map(|workspace| workspace.keys.iter().map(move |key| (key, workspace)))
            .filter_map(|(key, workspace)| Some((key.digest()?, workspace.id.clone())))
            .collect();
        let servers = document
            .servers
            .iter()
            .enumerate()
            .map(|(index, server)| (server.id.clone(), index))
            .collect();
        Self { version, digest, document, keys, servers }
    }

    /// Returns the backend server of this name.
    pub fn server(&self, id: &ids::ServerId) -> Option<&document::Server> {
        self.document.servers.get(*self.servers.get(id)?)
    }

    /// Returns the workspace that a key acts for.
    ///
    /// The lookup compares digests, so its duration reveals nothing about the stored keys.
    pub fn workspace_of(&self, key: &ids::Digest) -> Option<&ids::WorkspaceId> {
        self.keys.get(key)
    }
}

/// A document that an operator proposes to put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// A random number from the operator's client, which stays the same when the proposal is sent
    /// again.
    pub id: u128,
    /// The version that the document replaces; 0 for the first one.
    pub base: ids::Offset,
    /// The name of the operator who proposes it.
    pub author: Bytes,
    /// The document's bytes, in TOML.
    pub body: Bytes,
}

/// The outcome of a proposal, as reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The document is in force from this version on.
    Accepted {
        /// The version of the document.
        version: ids::Offset,
    },
    /// Another document is in force than the one that the proposal is based on.
    Conflict {
        /// The version in force.
        current: ids::Offset,
        /// The name of the operator who proposed the version in force.
        author: Bytes,
    },
    /// The document is not valid.
    Invalid {
        /// The faults, each with its location and remedy.
        faults: Vec<String>,
    },
    /// The log did not accept the proposal; nothing has changed.
    Unavailable,
    /// The log may have accepted the proposal; the operator has to send it again with the same id.
    Unknown,
}

/// An entry of the history of versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that the record put in force.
    pub version: ids::Offset,
    /// The version that it replaced.
    pub base: ids::Offset,
    /// The name of the operator who proposed it.
    pub author: Bytes,
    /// When the log received the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The SHA-256 digest of the document's bytes.
    pub digest: ids::Digest,
    /// The id of the proposal.
    pub proposal: u128,
}

/// The input of the configuration reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The membership view has changed.
    #[serde(rename = "Viewed")]
    ViewChanged(membership::SharedView),
    /// The platform's list names these instances, which serve as peers while there is no view.
    #[serde(rename = "Hinted")]
    InstancesListed(Vec<ids::InstanceId>),
    /// The log answered a read of the configuration stream.
    Read(log::Batch),
    /// The log answered an append to the configuration stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// The record's offset, or the reason why it is not known.
        outcome: log::AppendOutcome,
    },
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The message.
        message: Message,
    },
    /// An operator proposes a document.
    Proposed(Proposal),
}

/// The output of the configuration reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The member's name.
        to: ids::InstanceId,
        /// The message.
        message: Message,
    },
    /// Append a record to the configuration stream.
    Append {
        /// The token that identifies the log's answer.
        token: ids::AppendToken,
        /// The encoded record.
        body: Bytes,
    },
    /// Another document is in force.
    Applied(SharedSnapshot),
    /// The keys known here became recent enough to accept requests, or no longer are.
    KeysFresh(bool),
    /// A record of the configuration stream, or a peer's checkpoint, was ignored.
    RecordIgnored {
        /// The record's offset, or the version of the checkpoint.
        offset: ids::Offset,
        /// The reason, and what an operator can do about it.
        reason: String,
    },
    /// The outcome of a proposal is known, or the proposal has timed out.
    ProposalDecided {
        /// The id of the proposal.
        proposal: u128,
        /// Its outcome.
        outcome: ProposalOutcome,
    },
}

/// Messages between instances about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Announces a new version.
    Announce {
        /// The version in force at the sender.
        version: ids::Offset,
    },
    /// Asks for the document in force.
    Pull {
        /// The number that the answer repeats.
        sequence: u64,
        /// The version in force at the sender; 0 if there is none.
        version: ids::Offset,
    },
    /// Answers a pull.
    Answer {
        /// The number of the pull.
        sequence: u64,
        /// What is in force at the sender; the document only if the addressee does not have it.
        state: Box<record::Checkpoint>,
    },
}

/// Options that are fixed for the lifetime of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The environment that documents are validated for.
    pub environment: document::Environment,
    /// How long the log retains records.
    pub log_retention: time::Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            environment: document::Environment::Production,
            log_retention: constants::DEFAULT_LOG_RETENTION,
        }
    }
}

/// A summary of the configuration reducer for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The version in force; 0 if there is none.
    pub version: ids::Offset,
    /// The next offset to read: all earlier records are included in the state.
    pub next: ids::Offset,
    /// Whether requests may be accepted with the keys known here.
    pub fresh: bool,
    /// Milliseconds since the sending of the last read that found nothing newer in the log.
    pub log_age_ms: Option<u64>,
    /// Milliseconds since the sending of the last pull that a peer answered.
    pub peer_age_ms: Option<u64>,
    /// The number of records that wait for an earlier record or for a snapshot.
    pub waiting_records: usize,
    /// The number of proposals without an outcome.
    pub pending_proposals: usize,
}

/// The configuration reducer of one instance.
#[derive(Debug)]
pub struct Configuration {
    options: Options,
    replica: replica::Replica,
    proposals: proposals::Proposals,
    gossip: gossip::Gossip,
    retention: retention::Retention,
    next_token: ids::AppendToken,
}

impl Configuration {
    /// Creates the reducer of an instance that knows no document yet.
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        let options = Options::default();
        Self {
            options,
            replica: replica::Replica::new(options.environment),
            proposals: proposals::Proposals::default(),
            gossip: gossip::Gossip::new(own.clone(), seed),
            retention: retention::Retention::new(own, options.log_retention),
            next_token: 1,
        }
    }

    /// Sets the options; to be called before the first event.
    pub fn with_options(mut self, options: Options) -> Self {
        self.options = options;
        self.replica = replica::Replica::new(options.environment);
        self.retention = self.retention.with_log_retention(options.log_retention);
        self
    }

    /// Returns the document in force.
    pub fn current(&self) -> Option<&SharedSnapshot> {
        self.replica.head().map(|head| &head.snapshot)
    }

    /// Returns the history entry and the bytes of the document in force.
    pub fn current_body(&self) -> Option<(&Entry, &Bytes)> {
        self.replica.head().map(|head| (&head.entry, &head.body))
    }

    /// Returns what is in force, for a peer that already has the version `known`.
    pub fn checkpoint(&self, known: ids::Offset) -> record::Checkpoint {
        self.replica.checkpoint(known)
    }

    /// Returns the retained history of versions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Entry> {
        self.replica.history()
    }

    /// Returns whether requests may be accepted with the keys known here at the time `now`.
    ///
    /// After a pause of the process this is false immediately, without waiting for the next tick.
    pub fn are_keys_fresh(&self, now: ids::Timestamp) -> bool {
        self.replica.head().is_some() && self.gossip.are_keys_fresh(now)
    }

    /// Returns a summary for operators.
    pub fn status(&self, now: ids::Timestamp) -> Status {
        let age_ms = |at: Option<ids::Timestamp>| {
            at.map(|at| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX))
        };
        Status {
            version: self.replica.version(),
            next: self.replica.next(),
            fresh: self.are_keys_fresh(now),
            log_age_ms: age_ms(self.gossip.log_read_at()),
            peer_age_ms: age_ms(self.gossip.peer_answered_at()),
            waiting_records: self.replica.waiting(),
            pending_proposals: self.proposals.len(),
        }
    }

    fn on_read(&mut self, batch: &log::Batch, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let previous_version = self.replica.version();
        let outcomes = self.replica.apply_batch(batch, now);
        self.handle_outcomes(outcomes, now, effects);
        if self.replica.is_caught_up(batch) {
            self.gossip.on_log_read(batch.requested_at);
        }
        self.retention.observe(batch, now);
        self.decide_proposals(previous_version, effects);
    }

    fn on_message(
        &mut self,
        from: ids::InstanceId,
        message: Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Announce { version } => {
                if version > self.replica.version() {
                    self.gossip.request_version(
                        version,
                        from,
                        self.replica.version(),
                        now,
                        effects,
                    );
                }
            }
            Message::Pull { sequence, version } => {
                let state = self.replica.checkpoint(version);
                let answer = Message::Answer { sequence, state: Box::new(state) };
                effects.push(Effect::Send { to: from.clone(), message: answer });
                if version > self.replica.version() {
                    self.gossip.request_version(
                        version,
                        from,
                        self.replica.version(),
                        now,
                        effects,
                    );
                }
            }
            Message::Answer { sequence, state } => {
                let previous_version = self.replica.version();
                let outcomes = self.replica.adopt_checkpoint(*state, now);
                self.handle_outcomes(outcomes, now, effects);
                self.gossip.on_answer(&from, sequence, now);
                self.decide_proposals(previous_version, effects);
            }
        }
    }

    fn on_proposed(&mut self, proposal: Proposal, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let (proposals, replica, mut sink) = self.split_for_proposals(effects);
        proposals.propose(proposal, replica, now, &mut sink);
    }

    fn on_appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if self.retention.is_own_append(token) {
            return;
        }
        let (proposals, _, mut sink) = self.split_for_proposals(effects);
        proposals.on_appended(token, outcome, &mut sink);
    }

    fn on_tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let (proposals, replica, mut sink) = self.split_for_proposals(effects);
        proposals.tick(replica, now, &mut sink);
        self.gossip.tick(self.replica.version(), now, effects);
        self.append_snapshot(now, effects);
    }

    fn append_snapshot(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if !self.gossip.is_log_up(now) || !self.retention.is_due(now) {
            return;
        }
        let Some(snapshot) = self.replica.full_checkpoint() else { return };
        let body = record::Record::Snapshot(snapshot).encode();
        let token = self.next_token;
        self.next_token += 1;
        self.retention.on_append(token, now);
        effects.push(Effect::Append { token, body });
    }

    /// Emits the effects of the replica's outcomes and passes them on to the snapshot schedule.
    fn handle_outcomes(
        &mut self,
        outcomes: Vec<replica::Outcome>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for outcome in outcomes {
            match outcome {
                replica::Outcome::Applied(snapshot) => effects.push(Effect::Applied(snapshot)),
                replica::Outcome::ChangeApplied => self.retention.on_change(now),
                replica::Outcome::Retained { from } => self.retention.on_retained(from, now),
                replica::Outcome::Ignored { offset, reason } => {
                    effects.push(Effect::RecordIgnored { offset, reason });
                }
            }
        }
    }

    /// Decides proposals after a possible change of the replica, and announces a new version.
    fn decide_proposals(&mut self, previous_version: ids::Offset, effects: &mut Vec<Effect>) {
        let read_at = self.gossip.log_read_at();
        let (proposals, replica, mut sink) = self.split_for_proposals(effects);
        proposals.decide_all(replica, read_at, &mut sink);
        let version = self.replica.version();
        if version > previous_version {
            self.gossip.announce(version, effects);
        }
    }

    /// Borrows the parts that decide on proposals.
    fn split_for_proposals<'a>(
        &'a mut self,
        effects: &'a mut Vec<Effect>,
    ) -> (&'a mut proposals::Proposals, &'a replica::Replica, proposals::EffectSink<'a>) {
        let sink = proposals::EffectSink {
            environment: self.options.environment,
            next_token: &mut self.next_token,
            effects,
        };
        (&mut self.proposals, &self.replica, sink)
    }
}

impl reducer::Reducer for Configuration {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Tick => self.on_tick(now, effects),
            Event::ViewChanged(view) => {
                self.gossip.set_members(&view);
                self.retention.set_rank(&view);
            }
            Event::InstancesListed(instances) => self.gossip.set_listed(instances),
            Event::Read(batch) => self.on_read(&batch, now, effects),
            Event::Appended { token, outcome } => self.on_appended(token, outcome, effects),
            Event::Received { from, message } => self.on_message(from, message, now, effects),
            Event::Proposed(proposal) => self.on_proposed(proposal, now, effects),
        }
        self.gossip.report_freshness(self.replica.head().is_some(), now, effects);
    }
}
