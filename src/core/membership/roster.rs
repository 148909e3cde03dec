//! Folds the records of the membership stream to the members at an offset.
//!
//! All readers of the same records hold the same roster; no clock but the log's own is used.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::constants;
use crate::core::membership::record;
use crate::core::membership::witnesses;

/// A member as the records describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The instance.
    pub member: membership::Member,
    /// The number of its latest record among those of its process.
    pub sequence: u64,
    /// The offset of its latest record.
    pub record: ids::Offset,
    /// When the log took its latest record.
    pub time_ms: u64,
    /// The witnesses that the latest record names.
    pub witnesses: Vec<ids::InstanceId>,
    /// One bit for each witness that accuses the member or is absent.
    pub accused: u32,
}

impl Entry {
    /// Returns the bits of those witnesses that `predicate` selects.
    pub fn bits(&self, predicate: impl Fn(&ids::InstanceId) -> bool) -> u32 {
        let witnesses = self.witnesses.iter().enumerate();
        witnesses.filter(|(_, id)| predicate(id)).fold(0, |bits, (index, _)| bits | 1 << index)
    }

    fn is_evicted(&self) -> bool {
        self.accused.count_ones() as usize >= witnesses::eviction_quorum(self.witnesses.len())
    }
}

/// Why a member was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It left.
    Left,
    /// Its witnesses accused it.
    Evicted,
    /// Its latest record is too old.
    Expired,
    /// Another process of the same name joined.
    Superseded,
}

/// A change of the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A member has a new record.
    Updated(ids::InstanceId),
    /// A member is none any more.
    Removed(Entry, Cause),
}

#[derive(Debug, Clone, Copy)]
struct Tombstone {
    sequence: u64,
    joined: ids::Offset,
    removed: ids::Offset,
    time_ms: u64,
}

struct Witness {
    id: ids::InstanceId,
    joined: ids::Offset,
    read: ids::Offset,
}

/// The members at one offset.
#[derive(Debug)]
pub struct Roster {
    expiry_ms: u64,
    start: ids::Offset,
    next: ids::Offset,
    clock_ms: u64,
    entries: Vec<Entry>,
    tombstones: collections::Map<(ids::InstanceId, ids::Incarnation), Tombstone>,
}

impl Roster {
    /// Creates the roster of a reader that has read nothing.
    pub fn new(expiry: time::Duration) -> Self {
        Self {
            expiry_ms: u64::try_from(expiry.as_millis()).unwrap_or(u64::MAX),
            start: 0,
            next: 0,
            clock_ms: 0,
            entries: Vec::new(),
            tombstones: collections::Map::default(),
        }
    }

    /// Returns the offset of the next record to read; 0 before the first read.
    pub fn next(&self) -> ids::Offset {
        self.next
    }

    /// Returns the members in the order of their ids.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the member of this name.
    pub fn entry(&self, id: &ids::InstanceId) -> Option<&Entry> {
        self.position(id).ok().map(|index| &self.entries[index])
    }

    /// Returns the highest record number of a process that the roster has taken in.
    pub fn sequence(&self, id: &ids::InstanceId, incarnation: ids::Incarnation) -> Option<u64> {
        let live = self.entry(id).filter(|entry| entry.member.incarnation == incarnation);
        let buried = self
            .tombstones
            .get(&(id.clone(), incarnation))
            .filter(|tombstone| !self.is_past(tombstone.time_ms));
        live.map(|entry| entry.sequence).max(buried.map(|tombstone| tombstone.sequence))
    }

    /// Takes in a batch and returns whether the roster now includes all that the log held when it
    /// answered.
    pub fn read(&mut self, batch: &log::Batch, changes: &mut Vec<Change>) -> bool {
        if self.next < batch.first {
            self.restart(batch.first, changes);
        }
        for record in &batch.records {
            if record.offset > self.next {
                break;
            }
            if record.offset == self.next {
                self.apply(record, changes);
                self.next += 1;
            }
        }
        self.next >= batch.next
    }

    /// Forgets everything, since records were dropped from the log before they were read.
    fn restart(&mut self, first: ids::Offset, changes: &mut Vec<Change>) {
        let forgotten = self.entries.drain(..);
        changes.extend(forgotten.map(|entry| Change::Removed(entry, Cause::Expired)));
        self.tombstones.clear();
        self.start = first;
        self.next = first;
    }

    fn apply(&mut self, record: &log::Record, changes: &mut Vec<Change>) {
        self.clock_ms = self.clock_ms.max(record.time_ms);
        self.expire(changes);
        match record::decode(&record.body) {
            Some(record::Record::Join(own)) => self.join(own, record, changes),
            Some(record::Record::Renew(own)) => self.renew(own, record, changes),
            Some(record::Record::Leave { id, incarnation, sequence }) => {
                self.leave(id, incarnation, sequence, changes);
            }
            Some(record::Record::Accuse { witness, joined, read, charges }) => {
                let witness = Witness { id: witness, joined, read };
                self.accuse(&witness, &charges, changes);
            }
            None => {}
        }
    }

    fn is_past(&self, time_ms: u64) -> bool {
        time_ms.saturating_add(self.expiry_ms) < self.clock_ms
    }

    fn expire(&mut self, changes: &mut Vec<Change>) {
        let mut index = 0;
        while index < self.entries.len() {
            if self.is_past(self.entries[index].time_ms) {
                self.remove(index, Cause::Expired, changes);
            } else {
                index += 1;
            }
        }
        if self.tombstones.len() > constants::MAX_MEMBERS {
            let oldest_ms = self.clock_ms.saturating_sub(self.expiry_ms);
            self.tombstones.retain(|_, tombstone| tombstone.time_ms >= oldest_ms);
        }
    }

    fn join(&mut self, mut own: record::Own, record: &log::Record, changes: &mut Vec<Change>) {
        if self.sequence(&own.member.id, own.member.incarnation) >= Some(own.sequence) {
            return;
        }
        own.member.joined = record.offset;
        self.insert(own, record, changes);
    }

    fn renew(&mut self, own: record::Own, record: &log::Record, changes: &mut Vec<Change>) {
        if self.is_past(own.renewed_ms) {
            return;
        }
        let member = &own.member;
        // The join record was dropped from the log before this reader started.
        let is_unread = member.joined < self.start;
        if let Ok(index) = self.position(&member.id) {
            let entry = &mut self.entries[index];
            if entry.member.joined == member.joined {
                if entry.sequence < own.sequence {
                    changes.push(Change::Updated(member.id.clone()));
                    *entry = new_entry(own, record);
                }
                return;
            }
            if entry.member.joined > member.joined {
                return;
            }
        }
        if is_unread && !self.is_removed(member) {
            self.insert(own, record, changes);
        }
    }

    fn insert(&mut self, own: record::Own, record: &log::Record, changes: &mut Vec<Change>) {
        let id = own.member.id.clone();
        if let Ok(index) = self.position(&id) {
            self.remove(index, Cause::Superseded, changes);
        }
        let Err(index) = self.position(&id) else { return };
        if self.entries.len() >= constants::MAX_MEMBERS {
            return;
        }
        // The new process has promised nothing yet, and what the old one accused is void.
        for entry in &mut self.entries {
            entry.accused &= !entry.bits(|witness| *witness == id);
        }
        self.entries.insert(index, new_entry(own, record));
        changes.push(Change::Updated(id));
    }

    fn leave(
        &mut self,
        id: ids::InstanceId,
        incarnation: ids::Incarnation,
        sequence: u64,
        changes: &mut Vec<Change>,
    ) {
        if self.sequence(&id, incarnation) >= Some(sequence) {
            return;
        }
        if let Ok(index) = self.position(&id)
            && self.entries[index].member.incarnation == incarnation
        {
            self.remove(index, Cause::Left, changes);
        }
        self.bury((id, incarnation), sequence, self.next);
    }

    fn accuse(&mut self, witness: &Witness, charges: &[record::Charge], changes: &mut Vec<Change>) {
        for charge in charges {
            if self.entry(&witness.id).is_none_or(|entry| entry.member.joined != witness.joined) {
                return;
            }
            let Ok(index) = self.position(&charge.member) else { continue };
            let entry = &self.entries[index];
            if entry.record != charge.record || !entry.witnesses.contains(&witness.id) {
                continue;
            }
            let absent = |id: &ids::InstanceId| {
                charge.absent.contains(id) && self.is_absent_since(id, witness.read)
            };
            let bits = entry.bits(|id| *id == witness.id || absent(id));
            let entry = &mut self.entries[index];
            entry.accused |= bits;
            if entry.is_evicted() {
                self.remove(index, Cause::Evicted, changes);
            }
        }
    }

    /// Tells whether this membership or a later one of the same name has ended.
    fn is_removed(&self, member: &membership::Member) -> bool {
        self.tombstones.iter().any(|((id, _), tombstone)| {
            *id == member.id
                && tombstone.joined >= member.joined
                && !self.is_past(tombstone.time_ms)
        })
    }

    /// Tells whether no process of this name was a member at `offset` or after it.
    fn is_absent_since(&self, id: &ids::InstanceId, offset: ids::Offset) -> bool {
        let mut removals = self.tombstones.iter().filter(|((name, _), _)| name == id);
        self.entry(id).is_none() && removals.all(|(_, tombstone)| tombstone.removed < offset)
    }

    fn remove(&mut self, index: usize, cause: Cause, changes: &mut Vec<Change>) {
        let entry = self.entries.remove(index);
        let key = (entry.member.id.clone(), entry.member.incarnation);
        self.bury(key, entry.sequence, entry.member.joined);
        changes.push(Change::Removed(entry, cause));
    }

    fn bury(
        &mut self,
        process: (ids::InstanceId, ids::Incarnation),
        sequence: u64,
        joined: ids::Offset,
    ) {
        let (removed, time_ms) = (self.next, self.clock_ms);
        self.tombstones.insert(process, Tombstone { sequence, joined, removed, time_ms });
    }

    fn position(&self, id: &ids::InstanceId) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.member.id.cmp(id))
    }
}

fn new_entry(mut own: record::Own, record: &log::Record) -> Entry {
    own.witnesses.truncate(u32::BITS as usize);
    Entry {
        member: own.member,
        sequence: own.sequence,
        record: record.offset,
        time_ms: record.time_ms,
        witnesses: own.witnesses,
        accused: 0,
    }
}
