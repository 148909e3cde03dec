//! Keeps the records that a reader has read before it finds a snapshot to start from.

use crate::core::ids;
use crate::core::log;
use crate::core::membership::constants;
use crate::core::membership::record;

/// Records in the order of their offsets, without gaps.
#[derive(Debug, Default)]
pub struct Backlog {
    start: ids::Offset,
    records: Vec<log::Record>,
    last_snapshot: ids::Offset,
    last_member: ids::Offset,
}

impl Backlog {
    /// Forgets the records that the log does not keep any more.
    pub fn start_at(&mut self, first: ids::Offset) {
        self.start = self.start.max(first);
        self.records.retain(|record| record.offset >= first);
    }

    /// Tells whether the log holds neither a snapshot nor the record of any member.
    ///
    /// The log keeps records for longer than they make a member valid, so nobody is.
    pub fn is_orphaned(&self) -> bool {
        self.last_snapshot.max(self.last_member) < self.start
    }

    /// Adds a record and returns the snapshot in it, if the reader may start from it.
    pub fn push(&mut self, record: &log::Record) -> Option<record::Snapshot> {
        if self.records.len() >= constants::MAX_BACKLOG_RECORDS {
            self.start_at(self.start + 1);
        }
        self.records.push(record.clone());
        match record::decode(&record.body)? {
            record::Record::Snapshot(snapshot) => {
                let is_usable = self.is_usable(&snapshot);
                self.last_snapshot = record.offset;
                is_usable.then_some(snapshot)
            }
            record::Record::Join(_) | record::Record::Renew(_) => {
                self.last_member = record.offset;
                None
            }
            record::Record::Leave { .. } | record::Record::Accuse { .. } => None,
        }
    }

    /// Returns the records after an offset.
    pub fn after(&self, offset: ids::Offset) -> Vec<log::Record> {
        self.records.iter().filter(|record| record.offset > offset).cloned().collect()
    }

    /// Tells whether all records after the snapshot's version were read. The snapshot of an empty
    /// fleet is void if its writer had not read another snapshot.
    fn is_usable(&self, snapshot: &record::Snapshot) -> bool {
        let is_empty = snapshot.entries.is_empty() && snapshot.tombstones.is_empty();
        snapshot.version + 1 >= self.start && (!is_empty || self.last_snapshot <= snapshot.version)
    }
}
