//! Decides which document is in force and which keys act for which workspace.

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

/// A document in force, with the indices that requests need.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The offset of the record that carries the document.
    pub version: ids::Offset,
    /// The SHA-256 digest of the document's bytes.
    pub digest: ids::Digest,
    /// The document.
    pub document: document::Document,
    keys: collections::Map<ids::Digest, ids::WorkspaceId>,
    servers: collections::Map<ids::ServerId, usize>,
}

/// Shared ownership of a snapshot.
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

    /// Returns the backend server of a name.
    pub fn server(&self, id: &ids::ServerId) -> Option<&document::Server> {
        self.document.servers.get(*self.servers.get(id)?)
    }

    /// Returns the workspace that a key acts for.
    ///
    /// The lookup compares digests, so its duration tells nothing about stored keys.
    pub fn workspace_of(&self, key: &ids::Digest) -> Option<&ids::WorkspaceId> {
        self.keys.get(key)
    }
}

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// A number drawn by the operator's client, the same when the proposal is sent again.
    pub id: u128,
    /// The version that the document replaces; 0 for the first one.
    pub base: ids::Offset,
    /// Who proposes it.
    pub author: Bytes,
    /// The document's bytes, in TOML.
    pub body: Bytes,
}

/// How a proposal ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The document is in force from this version on.
    Accepted {
        /// Its version.
        version: ids::Offset,
    },
    /// Another document came first.
    Conflict {
        /// The version in force.
        current: ids::Offset,
        /// Who proposed the version in force.
        author: Bytes,
    },
    /// The document is not valid; each fault with its place and remedy.
    Invalid {
        /// The faults.
        faults: Vec<String>,
    },
    /// The log did not take the proposal; nothing has changed.
    Unavailable,
    /// The log may have taken the proposal; ask again with the same id.
    Unknown,
}

/// One entry of the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that the record made.
    pub version: ids::Offset,
    /// The version that it replaced.
    pub base: ids::Offset,
    /// Who proposed it.
    pub author: Bytes,
    /// Milliseconds since the Unix epoch when the log took it.
    pub time_ms: u64,
    /// The SHA-256 digest of the document's bytes.
    pub digest: ids::Digest,
    /// The proposal that made the version.
    pub proposal: u128,
}

/// What the configuration reducer is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The membership view has changed.
    #[serde(rename = "Viewed")]
    ViewChanged(membership::SharedView),
    /// The platform's list names these instances; they are asked while there is no view.
    #[serde(rename = "Hinted")]
    InstancesListed(Vec<ids::InstanceId>),
    /// The log answered a read of the configuration stream.
    Read(log::Batch),
    /// The log answered an append to the configuration stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// Where the record stands, or why that is not known.
        outcome: log::AppendOutcome,
    },
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// What it says.
        message: Message,
    },
    /// An operator proposes a document.
    Proposed(Proposal),
}

/// What the configuration reducer wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The member's name.
        to: ids::InstanceId,
        /// What to say.
        message: Message,
    },
    /// Append a record to the configuration stream.
    Append {
        /// The token that the answer carries.
        token: ids::AppendToken,
        /// The record's bytes.
        body: Bytes,
    },
    /// A document is in force.
    Applied(SharedSnapshot),
    /// Whether the keys known here are recent enough to accept requests with.
    KeysFresh(bool),
    /// A record was ignored.
    RecordIgnored {
        /// The record's offset.
        offset: ids::Offset,
        /// Why, and what to do about it.
        reason: String,
    },
    /// A proposal has ended.
    ProposalDecided {
        /// The proposal.
        proposal: u128,
        /// How it ended.
        outcome: ProposalOutcome,
    },
}

/// What instances tell each other about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A version has come into force.
    Announce {
        /// The version.
        version: ids::Offset,
    },
    /// Asks for the document in force.
    Pull {
        /// A number that the answer repeats.
        sequence: u64,
        /// The version in force at the asker; 0 if there is none.
        version: ids::Offset,
    },
    /// Answers a pull.
    Answer {
        /// The number of the pull.
        sequence: u64,
        /// What is in force here, as far as the asker does not have it.
        state: Box<record::Checkpoint>,
    },
}

/// What is fixed for the life of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The environment that documents are checked for.
    pub environment: document::Environment,
    /// How long the log keeps records.
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

/// A summary for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The version in force; 0 if there is none.
    pub version: ids::Offset,
    /// The offset up to which records of the log are accounted for.
    pub next: ids::Offset,
    /// Whether requests may be accepted with the keys known here.
    pub fresh: bool,
    /// Milliseconds since the log was last known to hold nothing newer.
    pub log_age_ms: Option<u64>,
    /// Milliseconds since a peer was last asked and answered.
    pub peer_age_ms: Option<u64>,
    /// Records that wait for an earlier one or for a snapshot.
    pub waiting_records: usize,
    /// Proposals under way.
    pub pending_proposals: usize,
}

/// The document in force and the proposals under way.
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
    /// Creates the state of an instance that knows no document yet.
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

    /// Sets what is fixed for the life of the instance; call it before the first event.
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

    /// Returns the record's entry and the bytes of the document in force.
    pub fn current_body(&self) -> Option<(&Entry, &Bytes)> {
        self.replica.head().map(|head| (&head.entry, &head.body))
    }

    /// Returns what is in force, for a peer that has a version already.
    pub fn checkpoint(&self, known: ids::Offset) -> record::Checkpoint {
        self.replica.checkpoint(known)
    }

    /// Returns the versions that were in force, oldest first, as far as they are kept.
    pub fn history(&self) -> impl Iterator<Item = &Entry> {
        self.replica.history()
    }

    /// Returns whether requests may be accepted with the keys known here at the time `now`.
    ///
    /// A process that was paused is told `false` here before its next tick.
    pub fn fresh(&self, now: ids::Timestamp) -> bool {
        self.replica.head().is_some() && self.gossip.fresh(now)
    }

    /// Returns a summary for operators.
    pub fn status(&self, now: ids::Timestamp) -> Status {
        let age_ms = |at: Option<ids::Timestamp>| {
            at.map(|at| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX))
        };
        Status {
            version: self.replica.version(),
            next: self.replica.next(),
            fresh: self.fresh(now),
            log_age_ms: age_ms(self.gossip.log_at()),
            peer_age_ms: age_ms(self.gossip.peer_at()),
            waiting_records: self.replica.waiting(),
            pending_proposals: self.proposals.len(),
        }
    }

    fn on_read(&mut self, batch: &log::Batch, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let before = self.replica.version();
        let outcomes = self.replica.fold(batch, now);
        self.report(outcomes, now, effects);
        if self.replica.is_caught_up(batch) {
            self.gossip.read_log(batch.requested_at);
        }
        self.retention.observe(batch, now);
        self.settle(before, effects);
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
                    self.gossip.want(version, from, self.replica.version(), now, effects);
                }
            }
            Message::Pull { sequence, version } => {
                let state = self.replica.checkpoint(version);
                let answer = Message::Answer { sequence, state: Box::new(state) };
                effects.push(Effect::Send { to: from.clone(), message: answer });
                if version > self.replica.version() {
                    self.gossip.want(version, from, self.replica.version(), now, effects);
                }
            }
            Message::Answer { sequence, state } => {
                let before = self.replica.version();
                let outcomes = self.replica.adopt(*state, now);
                self.report(outcomes, now, effects);
                self.gossip.answered(&from, sequence, now);
                self.settle(before, effects);
            }
        }
    }

    fn on_proposed(&mut self, proposal: Proposal, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let (proposals, replica, mut sink) = self.decider(effects);
        proposals.propose(proposal, replica, now, &mut sink);
    }

    fn on_appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if self.retention.owns(token) {
            return;
        }
        let (proposals, _, mut sink) = self.decider(effects);
        proposals.appended(token, outcome, &mut sink);
    }

    fn on_tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let (proposals, replica, mut sink) = self.decider(effects);
        proposals.tick(replica, now, &mut sink);
        self.gossip.tick(self.replica.version(), now, effects);
        self.append_snapshot(now, effects);
    }

    fn append_snapshot(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if !self.gossip.log_is_up(now) || !self.retention.is_due(now) {
            return;
        }
        let Some(snapshot) = self.replica.full_checkpoint() else { return };
        let body = record::Record::Snapshot(snapshot).encode();
        let token = self.next_token;
        self.next_token += 1;
        self.retention.append(token, now);
        effects.push(Effect::Append { token, body });
    }

    /// Reports what reading brought and tells other parts of the reducer.
    fn report(
        &mut self,
        outcomes: Vec<replica::Outcome>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for outcome in outcomes {
            match outcome {
                replica::Outcome::Applied(snapshot) => effects.push(Effect::Applied(snapshot)),
                replica::Outcome::Changed => self.retention.changed(now),
                replica::Outcome::Kept { from } => self.retention.kept(from, now),
                replica::Outcome::Ignored { offset, reason } => {
                    effects.push(Effect::RecordIgnored { offset, reason });
                }
            }
        }
    }

    /// Decides proposals after the replica may have moved on, and announces a new version.
    fn settle(&mut self, before: ids::Offset, effects: &mut Vec<Effect>) {
        let read_at = self.gossip.log_at();
        let (proposals, replica, mut sink) = self.decider(effects);
        proposals.review(replica, read_at, &mut sink);
        let version = self.replica.version();
        if version > before {
            self.gossip.announce(version, effects);
        }
    }

    /// Splits off the parts that decide on proposals.
    fn decider<'a>(
        &'a mut self,
        effects: &'a mut Vec<Effect>,
    ) -> (&'a mut proposals::Proposals, &'a replica::Replica, proposals::Sink<'a>) {
        let sink = proposals::Sink {
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
                self.gossip.view(&view);
                self.retention.view(&view);
            }
            Event::InstancesListed(instances) => self.gossip.hint(instances),
            Event::Read(batch) => self.on_read(&batch, now, effects),
            Event::Appended { token, outcome } => self.on_appended(token, outcome, effects),
            Event::Received { from, message } => self.on_message(from, message, now, effects),
            Event::Proposed(proposal) => self.on_proposed(proposal, now, effects),
        }
        self.gossip.report_freshness(self.replica.head().is_some(), now, effects);
    }
}
