//! Folds the configuration stream into the version in force.
//!
//! Invariant: at the offset `next` the version of `head` is in force. Records advance `next` one by
//! one; snapshots and the checkpoints of peers replace the state by one at a later offset.

use std::collections;
use std::sync;

use bytes::Bytes;

use crate::core::configuration::{self, constants, content, record};
use crate::core::ids;
use crate::core::log;
use crate::document;

/// The document in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The entry of the record that put it in force.
    pub entry: configuration::Entry,
    /// The document's bytes.
    pub body: Bytes,
    /// The parsed document with its indices.
    pub snapshot: configuration::SharedSnapshot,
}

/// The result of applying a record or a checkpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Another version is in force.
    Applied(configuration::SharedSnapshot),
    /// A change record took effect; new readers have to apply it after the last snapshot.
    ChangeApplied,
    /// A reader that starts at `from` or earlier finds what is in force in the log.
    Retained {
        /// The offset that the snapshot starts from.
        from: ids::Offset,
    },
    /// A record or checkpoint was ignored.
    Ignored {
        /// The record's offset, or the version of the checkpoint.
        offset: ids::Offset,
        /// The reason, and what an operator can do about it.
        reason: String,
    },
}

/// The version in force, as far as this instance knows.
#[derive(Debug)]
pub struct Replica {
    environment: document::Environment,
    next: ids::Offset,
    /// When `next` last advanced.
    advanced_at: ids::Timestamp,
    /// Whether the log was read to its end, or a peer has answered, at least once.
    is_initialized: bool,
    head: Option<Head>,
    /// The document before `head`, to send edits to peers that still have it.
    previous: Option<Head>,
    history: collections::VecDeque<configuration::Entry>,
    /// Records after `next` that wait for the records before them.
    waiting: collections::BTreeMap<ids::Offset, log::Record>,
    waiting_bytes: usize,
    lost_log_reported: bool,
}

/// The offset of the first record of a stream.
const FIRST_OFFSET: ids::Offset = 1;

impl Replica {
    /// Creates a replica that has read nothing.
    pub fn new(environment: document::Environment) -> Self {
        Self {
            environment,
            next: FIRST_OFFSET,
            advanced_at: ids::Timestamp::ZERO,
            is_initialized: false,
            head: None,
            previous: None,
            history: collections::VecDeque::new(),
            waiting: collections::BTreeMap::new(),
            waiting_bytes: 0,
            lost_log_reported: false,
        }
    }

    /// Returns the document in force.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> ids::Offset {
        self.head.as_ref().map_or(0, |head| head.entry.version)
    }

    /// Returns the name of the operator who proposed the version in force.
    pub fn author(&self) -> Bytes {
        self.head.as_ref().map(|head| head.entry.author.clone()).unwrap_or_default()
    }

    /// Returns the next offset to apply; the state includes all records before it.
    pub fn next(&self) -> ids::Offset {
        self.next
    }

    /// Returns whether the log was read to its end, or a peer has answered, at least once.
    pub fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Returns the number of records that wait for an earlier record.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the history of versions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &configuration::Entry> {
        self.history.iter()
    }

    /// Returns the history entry of the version that a proposal put in force.
    pub fn entry_of_proposal(&self, proposal: u128) -> Option<&configuration::Entry> {
        self.history.iter().rev().find(|entry| entry.proposal == proposal)
    }

    /// Returns whether the state includes everything that the log held at the time of a read.
    pub fn is_caught_up(&self, batch: &log::Batch) -> bool {
        self.next >= batch.next && !self.has_lost_records(batch)
    }

    /// Applies a batch of records.
    pub fn apply_batch(&mut self, batch: &log::Batch, now: ids::Timestamp) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        if self.has_lost_records(batch) {
            self.report_lost_log(batch, &mut outcomes);
            return outcomes;
        }
        self.skip_to_snapshot(batch, now, &mut outcomes);
        for record in &batch.records {
            self.process(record, now, &mut outcomes);
        }
        self.is_initialized |= self.next >= batch.next;
        outcomes
    }

    /// Adopts a peer's checkpoint if it is at a later offset.
    pub fn adopt_checkpoint(
        &mut self,
        state: record::Checkpoint,
        now: ids::Timestamp,
    ) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let version = state.version;
        match self.advance(state, now) {
            Ok(applied) => {
                outcomes.extend(applied.map(Outcome::Applied));
                self.is_initialized = true;
                self.apply_waiting(now, &mut outcomes);
            }
            Err(reason) => outcomes.push(Outcome::Ignored { offset: version, reason }),
        }
        outcomes
    }

    /// Returns what is in force, for a peer that already has the version `known`.
    pub fn checkpoint(&self, known: ids::Offset) -> record::Checkpoint {
        let document = self
            .head
            .as_ref()
            .filter(|head| head.entry.version > known)
            .map(|head| self.document_for(head, known));
        let history = match &document {
            Some(_) => self.shared_history(),
            None => Vec::new(),
        };
        record::Checkpoint { next: self.next, version: self.version(), document, history }
    }

    /// Returns what is in force, for a reader without any state; `None` if nothing is in force.
    pub fn full_checkpoint(&self) -> Option<record::Checkpoint> {
        self.head.as_ref().map(|_| self.checkpoint(0))
    }

    /// Encodes the document for a peer, as an edit if the peer has the previous version.
    fn document_for(&self, head: &Head, known: ids::Offset) -> record::Document {
        let base = self.previous.as_ref().filter(|previous| previous.entry.version == known);
        record::Document {
            entry: head.entry.clone(),
            edit_of: base.map_or(0, |base| base.entry.version),
            content: match base {
                Some(base) => content::Content::between(&base.body, &head.body),
                None => content::Content::Full(head.body.clone()),
            },
        }
    }

    fn shared_history(&self) -> Vec<configuration::Entry> {
        let skipped = self.history.len().saturating_sub(constants::MAX_SHARED_HISTORY);
        self.history.iter().skip(skipped).cloned().collect()
    }

    /// Returns whether a later read ends before `next`: the log has lost records.
    fn has_lost_records(&self, batch: &log::Batch) -> bool {
        batch.next < self.next && batch.requested_at > self.advanced_at
    }

    fn report_lost_log(&mut self, batch: &log::Batch, outcomes: &mut Vec<Outcome>) {
        if self.lost_log_reported {
            return;
        }
        self.lost_log_reported = true;
        let reason = format!(
            "the log ends at {} although records up to {} were read; restore the log's records",
            batch.next, self.next
        );
        outcomes.push(Outcome::Ignored { offset: batch.next, reason });
    }

    /// Applies the newest snapshot of a batch first if it is more than `CATCH_UP_RECORDS` ahead.
    fn skip_to_snapshot(
        &mut self,
        batch: &log::Batch,
        now: ids::Timestamp,
        outcomes: &mut Vec<Outcome>,
    ) {
        let far = self.next + constants::CATCH_UP_RECORDS;
        let ahead = batch.records.iter().rev().filter(|record| record.offset > far);
        let newest = ahead.filter_map(decode_snapshot).find(|snapshot| snapshot.next > far);
        if let Some(snapshot) = newest {
            self.adopt_snapshot(snapshot, now, outcomes);
        }
    }

    /// Applies a record at `next`, or buffers a later one.
    fn process(&mut self, record: &log::Record, now: ids::Timestamp, outcomes: &mut Vec<Outcome>) {
        if record.offset < self.next {
            return;
        }
        if record.offset > self.next {
            self.buffer(record.clone());
            if let Some(snapshot) = decode_snapshot(record) {
                self.adopt_snapshot(snapshot, now, outcomes);
            }
        } else {
            self.apply(record, now, outcomes);
        }
        self.apply_waiting(now, outcomes);
    }

    /// Buffers a record until the records before it are applied; drops the oldest ones if there are
    /// too many.
    fn buffer(&mut self, record: log::Record) {
        self.waiting_bytes += record.body.len();
        if let Some(replaced) = self.waiting.insert(record.offset, record) {
            self.waiting_bytes -= replaced.body.len();
        }
        while self.waiting.len() > constants::MAX_WAITING_RECORDS
            || self.waiting_bytes > constants::MAX_WAITING_BYTES
        {
            let Some((_, dropped)) = self.waiting.pop_first() else { return };
            self.waiting_bytes -= dropped.body.len();
        }
    }

    /// Applies the waiting records that are next in order.
    fn apply_waiting(&mut self, now: ids::Timestamp, outcomes: &mut Vec<Outcome>) {
        while let Some(entry) = self.waiting.first_entry() {
            if *entry.key() > self.next {
                return;
            }
            let record = entry.remove();
            self.waiting_bytes -= record.body.len();
            if record.offset == self.next {
                self.apply(&record, now, outcomes);
            }
        }
    }

    /// Applies the record at `next`.
    fn apply(&mut self, record: &log::Record, now: ids::Timestamp, outcomes: &mut Vec<Outcome>) {
        self.next = record.offset + 1;
        self.advanced_at = now;
        match record::Record::decode(&record.body) {
            Ok(record::Record::Change(change)) => match self.apply_change(change, record) {
                Ok(Some(snapshot)) => {
                    outcomes.push(Outcome::Applied(snapshot));
                    outcomes.push(Outcome::ChangeApplied);
                }
                Ok(None) => {}
                Err(reason) => {
                    outcomes.push(Outcome::Ignored { offset: record.offset, reason });
                }
            },
            Ok(record::Record::Snapshot(snapshot)) => {
                self.check_snapshot(&snapshot, record.offset, outcomes);
            }
            Err(malformed) => {
                let reason = malformed.to_string();
                outcomes.push(Outcome::Ignored { offset: record.offset, reason });
            }
        }
    }

    /// Applies a change; returns `None` if it repeats one that has taken effect.
    fn apply_change(
        &mut self,
        change: record::Change,
        record: &log::Record,
    ) -> Result<Option<configuration::SharedSnapshot>, String> {
        if self.entry_of_proposal(change.proposal).is_some() {
            return Ok(None);
        }
        if change.base != self.version() {
            return Err(format!(
                "based on version {} while version {} is in force; propose it again on that one",
                change.base,
                self.version()
            ));
        }
        if change.environment != self.environment {
            return Err(format!(
                "made for the environment `{}`; give each environment a log of its own",
                change.environment.as_str()
            ));
        }
        if change.author.len() > constants::MAX_AUTHOR_BYTES {
            let limit = constants::MAX_AUTHOR_BYTES;
            return Err(format!("the author's name is too long; use at most {limit} bytes"));
        }
        let entry = configuration::Entry {
            version: record.offset,
            base: change.base,
            author: change.author,
            time_ms: record.time_ms,
            digest: change.digest,
            proposal: change.proposal,
        };
        let base = self.head.as_ref().map(|head| &head.body);
        let head = self.verify(entry, &change.content, base)?;
        let snapshot = sync::Arc::clone(&head.snapshot);
        self.replace(head);
        Ok(Some(snapshot))
    }

    /// Checks a document's digest and validates it.
    fn verify(
        &self,
        entry: configuration::Entry,
        content: &content::Content,
        base: Option<&Bytes>,
    ) -> Result<Head, String> {
        let body = content
            .resolve(base)
            .ok_or("the document is too long or not an edit of its base; propose it again")?;
        if content::digest(&body) != entry.digest {
            return Err("the document does not match its digest; propose it again".to_string());
        }
        let document = document::parse(&body, self.environment)
            .map_err(|faults| format!("the document is not valid: {}", faults.summary()))?;
        let snapshot = configuration::Snapshot::new(entry.version, entry.digest, document);
        Ok(Head { entry, body, snapshot: sync::Arc::new(snapshot) })
    }

    fn replace(&mut self, head: Head) {
        self.push_history(head.entry.clone());
        self.previous = self.head.replace(head);
    }

    fn push_history(&mut self, entry: configuration::Entry) {
        self.history.push_back(entry);
        if self.history.len() > constants::MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Merges the history of another instance into this one's.
    fn merge_history(&mut self, shared: Vec<configuration::Entry>) {
        let mut merged: collections::BTreeMap<ids::Offset, configuration::Entry> = shared
            .into_iter()
            .filter(|entry| entry.author.len() <= constants::MAX_AUTHOR_BYTES)
            .map(|entry| (entry.version, entry))
            .collect();
        merged.extend(self.history.drain(..).map(|entry| (entry.version, entry)));
        let skipped = merged.len().saturating_sub(constants::MAX_HISTORY);
        self.history = merged.into_values().skip(skipped).collect();
    }

    /// Compares a snapshot record at `offset` with what is in force there.
    fn check_snapshot(
        &mut self,
        snapshot: &record::Checkpoint,
        offset: ids::Offset,
        outcomes: &mut Vec<Outcome>,
    ) {
        let digest = snapshot.document.as_ref().map(|document| document.entry.digest);
        let own = self.head.as_ref().map(|head| head.entry.digest);
        if snapshot.version < self.version() {
            return;
        }
        if snapshot.version == self.version() && digest == own && snapshot.next <= offset {
            outcomes.push(Outcome::Retained { from: snapshot.next });
            return;
        }
        let reason = format!(
            "a snapshot of version {} contradicts version {} in force; \
             find what else writes to this stream",
            snapshot.version,
            self.version()
        );
        outcomes.push(Outcome::Ignored { offset, reason });
    }

    /// Adopts a snapshot of the log if it is ahead of `next`.
    fn adopt_snapshot(
        &mut self,
        snapshot: record::Checkpoint,
        now: ids::Timestamp,
        outcomes: &mut Vec<Outcome>,
    ) {
        let (from, version) = (snapshot.next, snapshot.version);
        if from <= self.next {
            return;
        }
        match self.advance(snapshot, now) {
            Ok(applied) => {
                outcomes.extend(applied.map(Outcome::Applied));
                outcomes.push(Outcome::Retained { from });
            }
            Err(reason) => outcomes.push(Outcome::Ignored { offset: version, reason }),
        }
    }

    /// Advances to a checkpoint at a later offset; returns the document if it is another version.
    fn advance(
        &mut self,
        state: record::Checkpoint,
        now: ids::Timestamp,
    ) -> Result<Option<configuration::SharedSnapshot>, String> {
        if state.next <= self.next {
            return Ok(None);
        }
        if state.version < self.version() || state.version >= state.next {
            return Err(format!(
                "a checkpoint of version {} at {} contradicts version {} in force; \
                 check which log each instance reads",
                state.version,
                state.next,
                self.version()
            ));
        }
        let applied = match state.document {
            _ if state.version == self.version() => None,
            Some(document) if document.entry.version == state.version => {
                if !self.has_base(&document) {
                    return Ok(None);
                }
                Some(self.install_document(document)?)
            }
            _ => return Err("a checkpoint without its document; ask again".to_string()),
        };
        self.merge_history(state.history);
        self.next = state.next;
        self.advanced_at = now;
        Ok(applied)
    }

    /// Returns whether the document is complete or an edit of the one in force.
    fn has_base(&self, document: &record::Document) -> bool {
        document.edit_of == 0 || document.edit_of == self.version()
    }

    fn install_document(
        &mut self,
        document: record::Document,
    ) -> Result<configuration::SharedSnapshot, String> {
        let base = self.head.as_ref().filter(|head| head.entry.version == document.edit_of);
        let base = base.map(|head| head.body.clone());
        let head = self.verify(document.entry, &document.content, base.as_ref())?;
        let snapshot = sync::Arc::clone(&head.snapshot);
        self.replace(head);
        Ok(snapshot)
    }
}

/// Returns the snapshot in a record, if it is one and does not claim later records than itself.
fn decode_snapshot(record: &log::Record) -> Option<record::Checkpoint> {
    match record::Record::decode(&record.body) {
        Ok(record::Record::Snapshot(snapshot)) if snapshot.next <= record.offset => Some(snapshot),
        _ => None,
    }
}
