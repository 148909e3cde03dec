//! Buffers the records that a reader has read before it finds a snapshot to start from.

use crate::core::ids;
use crate::core::log;
use crate::core::membership::constants;
use crate::core::membership::record;

/// Consecutive records, sorted by offset.
#[derive(Debug, Default)]
pub struct Backlog {
    /// The first offset that the records cover.
    start: ids::Offset,
    records: Vec<log::Record>,
    /// The offset of the last snapshot record.
    last_snapshot: ids::Offset,
    /// The offset of the last join or renewal record.
    last_member_record: ids::Offset,
}

impl Backlog {
    /// Drops the records before an offset, which the log no longer retains.
    pub fn drop_before(&mut self, first: ids::Offset) {
        self.start = self.start.max(first);
        self.records.retain(|record| record.offset >= first);
    }

    /// Returns whether the log holds neither a snapshot nor the record of any member.
    ///
    /// The log retains records for longer than they make a member valid, so then no instance is
    /// valid.
    pub fn has_no_valid_member(&self) -> bool {
        self.last_snapshot.max(self.last_member_record) < self.start
    }

    /// Adds a record; returns its snapshot if the reader may start from it.
    pub fn push(&mut self, record: &log::Record) -> Option<record::Snapshot> {
        if self.records.len() >= constants::MAX_BACKLOG_RECORDS {
            self.drop_before(self.start + 1);
        }
        self.records.push(record.clone());
        match record::decode(&record.body)? {
            record::Record::Snapshot(snapshot) => {
                let is_usable = self.is_usable(&snapshot);
                self.last_snapshot = record.offset;
                is_usable.then_some(snapshot)
            }
            record::Record::Join(_) | record::Record::Renew(_) => {
                self.last_member_record = record.offset;
                None
            }
            record::Record::Leave { .. } | record::Record::Accuse { .. } => None,
        }
    }

    /// Returns the records after an offset.
    pub fn records_after(&self, offset: ids::Offset) -> Vec<log::Record> {
        self.records.iter().filter(|record| record.offset > offset).cloned().collect()
    }

    /// Returns whether all records after the snapshot's version were read.
    ///
    /// The snapshot of an empty fleet is ignored if its writer had not read an earlier snapshot.
    fn is_usable(&self, snapshot: &record::Snapshot) -> bool {
        let is_empty = snapshot.entries.is_empty() && snapshot.tombstones.is_empty();
        snapshot.version + 1 >= self.start && (!is_empty || self.last_snapshot <= snapshot.version)
    }
}
