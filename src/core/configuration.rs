//! Decides which document is in force and which keys act for which workspace.

use std::sync;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::reducer;
use crate::document;

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
pub enum Verdict {
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
}

/// What the configuration reducer is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
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
    Fresh(bool),
    /// A record was ignored.
    Ignored {
        /// The record's offset.
        offset: ids::Offset,
        /// Why, and what to do about it.
        reason: String,
    },
    /// A proposal has ended.
    Decided {
        /// The proposal.
        proposal: u128,
        /// How it ended.
        verdict: Verdict,
    },
}

/// What instances tell each other about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// The document in force and the proposals under way.
#[derive(Debug, Default)]
pub struct Configuration {
    current: Option<SharedSnapshot>,
}

impl Configuration {
    /// Creates the state of an instance that knows no document yet.
    pub fn new(_own: ids::InstanceId, _seed: u64) -> Self {
        Self::default()
    }

    /// Returns the document in force.
    pub fn current(&self) -> Option<&SharedSnapshot> {
        self.current.as_ref()
    }
}

impl reducer::Reducer for Configuration {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, _now: ids::Timestamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Proposed(proposal) => {
                effects.push(Effect::Append { token: 1, body: proposal.body });
            }
            Event::Read(batch) => {
                for record in batch.records {
                    let Ok(text) = std::str::from_utf8(&record.body) else { continue };
                    let Ok(document) = toml::from_str(text) else { continue };
                    let snapshot = Snapshot::new(record.offset, [0; 32], document);
                    let snapshot = sync::Arc::new(snapshot);
                    self.current = Some(sync::Arc::clone(&snapshot));
                    effects.push(Effect::Applied(snapshot));
                    effects.push(Effect::Fresh(true));
                }
            }
            _ => {}
        }
    }
}
