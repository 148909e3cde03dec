//! Folds the records of the membership stream into the members at an offset.
//!
//! All readers that know the members hold the same roster at the same offset, as times are taken
//! from the log's clock only.

use std::time;

use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::backlog;
use crate::core::membership::constants;
use crate::core::membership::record;
use crate::core::membership::witnesses;

/// A process, identified by the name of its instance and its incarnation.
pub type Process = (ids::InstanceId, ids::Incarnation);

/// A member as the records describe it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The instance.
    pub member: membership::Member,
    /// The number of its latest record among those of its process.
    pub sequence: u64,
    /// The offset of its latest record.
    pub record: ids::Offset,
    /// When the log received its latest record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The witnesses that the latest record names.
    pub witnesses: Vec<ids::InstanceId>,
    /// The witnesses that accuse the member or count as absent, as a bit set of their indices in
    /// `witnesses`.
    pub accused: u32,
}

impl Entry {
    fn new(mut content: record::MemberRecord, record: &log::Record) -> Self {
        content.witnesses.truncate(u32::BITS as usize);
        Self {
            member: content.member,
            sequence: content.sequence,
            record: record.offset,
            time_ms: record.time_ms,
            witnesses: content.witnesses,
            accused: 0,
        }
    }

    /// Returns the bits of the witnesses that `predicate` selects.
    pub fn bits(&self, predicate: impl Fn(&ids::InstanceId) -> bool) -> u32 {
        let witnesses = self.witnesses.iter().enumerate();
        witnesses.filter(|(_, id)| predicate(id)).fold(0, |bits, (index, _)| bits | 1 << index)
    }

    /// Returns whether the accusations reach the eviction quorum.
    fn is_evicted(&self) -> bool {
        self.accused.count_ones() as usize >= witnesses::eviction_quorum(self.witnesses.len())
    }
}

/// What is kept of a process that is no longer a member, to recognize its late records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// The highest number of its records.
    pub sequence: u64,
    /// The offset of the record that removed it.
    pub removed: ids::Offset,
    /// When the log received that record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Why a member was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It left by its own record.
    Left,
    /// A quorum of its witnesses accused it.
    Evicted,
    /// Its latest record has expired.
    Expired,
    /// Another process of the same name joined.
    Superseded,
    /// The reader has missed records and no longer knows the members.
    RecordsMissed,
}

/// A change to the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member was added or has a new record.
    Updated(ids::InstanceId),
    /// A member was removed.
    Removed(Entry, Cause),
}

/// The witness that wrote an accusation.
struct Witness {
    id: ids::InstanceId,
    /// The offset of its join record.
    joined: ids::Offset,
    /// The next offset that it had to read when it wrote the accusation.
    read: ids::Offset,
}

/// The members at one offset of the membership stream.
#[derive(Debug)]
pub struct Roster {
    expiry_ms: u64,
    next: ids::Offset,
    /// The log's clock: the latest time of a record, in milliseconds since the Unix epoch.
    clock_ms: u64,
    /// The time of the last snapshot record, or of the first record if there is no snapshot.
    snapshot_ms: u64,
    entries: Vec<Entry>,
    tombstones: collections::Map<Process, Tombstone>,
    /// The records read so far, while the members at their start are not known.
    backlog: Option<backlog::Backlog>,
}

impl Roster {
    /// Creates the roster of a reader that has read nothing.
    pub fn new(expiry: time::Duration) -> Self {
        Self {
            expiry_ms: u64::try_from(expiry.as_millis()).unwrap_or(u64::MAX),
            next: 0,
            clock_ms: 0,
            snapshot_ms: 0,
            entries: Vec::new(),
            tombstones: collections::Map::default(),
            backlog: None,
        }
    }

    /// Returns the offset of the next record to read; 0 before the first read.
    pub fn next(&self) -> ids::Offset {
        self.next
    }

    /// Returns whether the members are known, and not only some of the records about them.
    pub fn is_known(&self) -> bool {
        self.next > 0 && self.backlog.is_none()
    }

    /// Returns whether the members are not known and no instance that knows them is valid.
    pub fn has_no_valid_member(&self) -> bool {
        self.backlog.as_ref().is_some_and(backlog::Backlog::has_no_valid_member)
    }

    /// Returns whether the last snapshot is at least `interval` old by the log's clock.
    pub fn is_snapshot_due(&self, interval: time::Duration) -> bool {
        u128::from(self.clock_ms.saturating_sub(self.snapshot_ms)) >= interval.as_millis()
    }

    /// Returns the state that decides how later records are applied.
    ///
    /// A reader that knows no members returns the snapshot of an empty fleet.
    pub fn snapshot(&self) -> record::Snapshot {
        let tombstones = self.tombstones.iter();
        let recent = tombstones.filter(|(_, tombstone)| !self.is_expired(tombstone.time_ms));
        record::Snapshot {
            version: self.next.saturating_sub(1),
            clock_ms: self.clock_ms,
            entries: self.entries.clone(),
            tombstones: recent.map(|(process, tombstone)| (process.clone(), *tombstone)).collect(),
        }
    }

    /// Returns the members, sorted by id.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the member of this name.
    pub fn entry(&self, id: &ids::InstanceId) -> Option<&Entry> {
        self.position(id).ok().map(|index| &self.entries[index])
    }

    /// Returns the highest number of a process's records that the roster has applied.
    pub fn sequence(&self, id: &ids::InstanceId, incarnation: ids::Incarnation) -> Option<u64> {
        let live = self.entry(id).filter(|entry| entry.member.incarnation == incarnation);
        let tombstone = self
            .tombstones
            .get(&(id.clone(), incarnation))
            .filter(|tombstone| !self.is_expired(tombstone.time_ms));
        live.map(|entry| entry.sequence).max(tombstone.map(|tombstone| tombstone.sequence))
    }

    /// Applies a batch; returns whether the roster includes all records that the log held when it
    /// answered.
    pub fn apply_batch(&mut self, batch: &log::Batch, changes: &mut Vec<Change>) -> bool {
        if self.next < batch.first {
            self.restart(batch.first, changes);
        }
        if let Some(backlog) = &mut self.backlog {
            backlog.drop_before(batch.first);
        }
        for record in &batch.records {
            if record.offset == self.next {
                self.next += 1;
                self.process(record, changes);
            }
        }
        self.next >= batch.next
    }

    /// Discards the state, as the log has dropped records before they were read.
    fn restart(&mut self, first: ids::Offset, changes: &mut Vec<Change>) {
        let removed = self.entries.drain(..);
        changes.extend(removed.map(|entry| Change::Removed(entry, Cause::RecordsMissed)));
        self.tombstones.clear();
        self.next = first;
        self.backlog = (first > 1).then(backlog::Backlog::default);
    }

    /// Applies a record, or buffers it until a snapshot to start from is read.
    fn process(&mut self, record: &log::Record, changes: &mut Vec<Change>) {
        let Some(backlog) = &mut self.backlog else {
            self.apply(record, changes);
            return;
        };
        let Some(snapshot) = backlog.push(record) else { return };
        let later = backlog.records_after(snapshot.version);
        self.restore(snapshot, changes);
        for record in &later {
            self.apply(record, changes);
        }
    }

    fn restore(&mut self, snapshot: record::Snapshot, changes: &mut Vec<Change>) {
        self.backlog = None;
        self.clock_ms = snapshot.clock_ms;
        self.tombstones = snapshot.tombstones.into_iter().collect();
        self.entries = snapshot.entries;
        let restored = self.entries.iter();
        changes.extend(restored.map(|entry| Change::Updated(entry.member.id.clone())));
    }

    fn apply(&mut self, record: &log::Record, changes: &mut Vec<Change>) {
        self.clock_ms = self.clock_ms.max(record.time_ms);
        if self.snapshot_ms == 0 {
            self.snapshot_ms = record.time_ms;
        }
        self.expire(record, changes);
        match record::decode(&record.body) {
            Some(record::Record::Join(content)) => self.join(content, record, changes),
            Some(record::Record::Renew(content)) => self.renew(content, record, changes),
            Some(record::Record::Leave { id, incarnation, sequence }) => {
                self.leave((id, incarnation), sequence, record, changes);
            }
            Some(record::Record::Accuse { witness, joined, read, accusations }) => {
                let witness = Witness { id: witness, joined, read };
                for accusation in &accusations {
                    self.accuse(&witness, accusation, record, changes);
                }
            }
            Some(record::Record::Snapshot(_)) => self.snapshot_ms = record.time_ms,
            None => {}
        }
    }

    /// Returns whether a record of this time has expired by the log's clock.
    fn is_expired(&self, time_ms: u64) -> bool {
        time_ms.saturating_add(self.expiry_ms) < self.clock_ms
    }

    /// Removes the members whose records have expired, and expired tombstones if there are many.
    fn expire(&mut self, record: &log::Record, changes: &mut Vec<Change>) {
        let mut index = 0;
        while index < self.entries.len() {
            if self.is_expired(self.entries[index].time_ms) {
                self.remove(index, Cause::Expired, record, changes);
            } else {
                index += 1;
            }
        }
        if self.tombstones.len() > constants::MAX_MEMBERS {
            let oldest_ms = self.clock_ms.saturating_sub(self.expiry_ms);
            self.tombstones.retain(|_, tombstone| tombstone.time_ms >= oldest_ms);
        }
    }

    fn join(
        &mut self,
        mut content: record::MemberRecord,
        record: &log::Record,
        changes: &mut Vec<Change>,
    ) {
        let id = content.member.id.clone();
        if self.sequence(&id, content.member.incarnation) >= Some(content.sequence) {
            return;
        }
        content.member.joined = record.offset;
        if let Ok(index) = self.position(&id) {
            self.remove(index, Cause::Superseded, record, changes);
        }
        let Err(index) = self.position(&id) else { return };
        if self.entries.len() >= constants::MAX_MEMBERS {
            return;
        }
        // The new process has made no promises, and accusations by the old one no longer count.
        for entry in &mut self.entries {
            entry.accused &= !entry.bits(|witness| *witness == id);
        }
        self.entries.insert(index, Entry::new(content, record));
        changes.push(Change::Updated(id));
    }

    fn renew(
        &mut self,
        content: record::MemberRecord,
        record: &log::Record,
        changes: &mut Vec<Change>,
    ) {
        let Ok(index) = self.position(&content.member.id) else { return };
        let entry = &mut self.entries[index];
        if entry.member.joined != content.member.joined || entry.sequence >= content.sequence {
            return;
        }
        changes.push(Change::Updated(content.member.id.clone()));
        *entry = Entry::new(content, record);
    }

    fn leave(
        &mut self,
        process: Process,
        sequence: u64,
        record: &log::Record,
        changes: &mut Vec<Change>,
    ) {
        if self.sequence(&process.0, process.1) >= Some(sequence) {
            return;
        }
        if let Ok(index) = self.position(&process.0)
            && self.entries[index].member.incarnation == process.1
        {
            self.remove(index, Cause::Left, record, changes);
        }
        self.add_tombstone(process, sequence, record);
    }

    fn accuse(
        &mut self,
        witness: &Witness,
        accusation: &record::Accusation,
        record: &log::Record,
        changes: &mut Vec<Change>,
    ) {
        if self.entry(&witness.id).is_none_or(|entry| entry.member.joined != witness.joined) {
            return;
        }
        let Ok(index) = self.position(&accusation.member) else { return };
        let entry = &self.entries[index];
        if entry.record != accusation.record || !entry.witnesses.contains(&witness.id) {
            return;
        }
        let absent = |id: &ids::InstanceId| {
            accusation.absent.contains(id) && self.is_absent_since(id, witness.read)
        };
        let bits = entry.bits(|id| *id == witness.id || absent(id));
        let entry = &mut self.entries[index];
        entry.accused |= bits;
        if entry.is_evicted() {
            self.remove(index, Cause::Evicted, record, changes);
        }
    }

    /// Returns whether no process of this name was a member at or after `offset`.
    fn is_absent_since(&self, id: &ids::InstanceId, offset: ids::Offset) -> bool {
        let removals = self.tombstones.iter().filter(|((name, _), _)| name == id);
        let mut recent = removals.filter(|(_, tombstone)| !self.is_expired(tombstone.time_ms));
        self.entry(id).is_none() && recent.all(|(_, tombstone)| tombstone.removed < offset)
    }

    fn remove(
        &mut self,
        index: usize,
        cause: Cause,
        record: &log::Record,
        changes: &mut Vec<Change>,
    ) {
        let entry = self.entries.remove(index);
        // An expired member leaves no tombstone: a reader that starts without its records has none
        // either, and both must hold the same roster.
        if cause != Cause::Expired {
            let process = (entry.member.id.clone(), entry.member.incarnation);
            self.add_tombstone(process, entry.sequence, record);
        }
        changes.push(Change::Removed(entry, cause));
    }

    fn add_tombstone(&mut self, process: Process, sequence: u64, record: &log::Record) {
        let (removed, time_ms) = (record.offset, self.clock_ms);
        self.tombstones.insert(process, Tombstone { sequence, removed, time_ms });
    }

    /// Returns the index of a member, or the index at which to insert it.
    fn position(&self, id: &ids::InstanceId) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.member.id.cmp(id))
    }
}
