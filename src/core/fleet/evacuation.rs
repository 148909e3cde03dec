//! Which failure domains are evacuated: until an operator lifts an evacuation, no instance sends
//! anything to the servers of its domain.
//!
//! Load pattern: an operator is about to cut the power of a domain under full load, and some
//! instances, the store or a coordinator fail at the same time.

use std::time;

use crate::core::collections;
use crate::core::ids;

mod operation;
mod shares;

pub use operation::Operation;

/// The time after the lifting of an evacuation in which the usable share of the domain's servers
/// grows.
const RAMP: time::Duration = time::Duration::from_secs(5);

/// The share of KV cache and slots that is usable immediately after the lifting.
const INITIAL_SHARE: f64 = 0.2;

/// The time for which a change is repeated to all instances, as datagrams get lost.
const CHANGE_REPEAT_PERIOD: time::Duration = time::Duration::from_secs(30);

/// The maximum number of domains of which it is remembered that their evacuation was lifted.
const MAX_LIFTED: usize = 256;

/// A change of an evacuation in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The failure domain.
    pub domain: String,
    /// The position of the record.
    pub position: ids::StorePosition,
    /// Whether the record evacuates the domain; otherwise it lifts the evacuation.
    pub is_in_force: bool,
}

/// The newest known record of a domain, as reported between instances.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The failure domain.
    pub domain: String,
    /// The position of the record in the store.
    pub position: ids::StorePosition,
    /// Whether the domain is evacuated.
    pub is_in_force: bool,
    /// The time since an instance first read the record.
    pub age_ms: u64,
}

/// What the evacuations mean for the servers of a domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Standing {
    /// Whether the servers must get nothing.
    pub is_evacuated: bool,
    /// When the servers may be used like others again, after the evacuation was lifted.
    ramp_end: ids::Timestamp,
}

impl Standing {
    /// Returns the share of KV cache and slots that may be used.
    pub fn usable_share(self, now: ids::Timestamp) -> f64 {
        let remaining = self.ramp_end.saturating_sub(now).min(RAMP);
        1.0 - (1.0 - INITIAL_SHARE) * remaining.as_secs_f64() / RAMP.as_secs_f64()
    }
}

#[derive(Debug, Clone, Copy)]
struct Record {
    position: ids::StorePosition,
    is_in_force: bool,
    /// The position of the evacuation that was lifted, if this instance knew it.
    lifted: Option<ids::StorePosition>,
    /// When this instance learned whether the domain is evacuated, and the age of that then.
    learned: ids::Timestamp,
    learned_age: time::Duration,
    /// When this instance last learned a higher position.
    updated: ids::Timestamp,
}

impl Record {
    fn age(&self, now: ids::Timestamp) -> time::Duration {
        self.learned_age + now.saturating_sub(self.learned)
    }
}

/// The newest known record of each domain.
#[derive(Debug, Default)]
pub struct Evacuations {
    records: collections::Map<String, Record>,
}

impl Evacuations {
    /// Applies a read of the store and returns the domains whose evacuation it changes. `complete`
    /// is the position after a listing of the newest record of each key.
    ///
    /// A store that was restored from a copy lists records of the copy with positions of its new
    /// era. What was known before is newer than the copy, so a listing lifts only evacuations of
    /// its own era.
    pub fn read(
        &mut self,
        changes: &[Change],
        complete: Option<ids::StorePosition>,
        now: ids::Timestamp,
    ) -> Vec<String> {
        let age = time::Duration::ZERO;
        let Some(end) = complete else {
            let changed = changes.iter().filter(|change| {
                // Servers that were not evacuated need no ramp.
                let is_unknown = !self.records.contains_key(&change.domain);
                self.merge(change, if is_unknown && !change.is_in_force { RAMP } else { age }, now)
            });
            return changed.map(|change| change.domain.clone()).collect();
        };
        // A listed removal means the same as a missing record.
        let listed = changes.iter().filter(|change| change.is_in_force);
        let listed: Vec<_> = listed.filter(|change| !self.is_from_copy(change)).collect();
        let last = end.saturating_sub(1);
        let mut changes: Vec<_> = listed.iter().map(|change| (*change).clone()).collect();
        for (domain, record) in &self.records {
            let is_listed = listed.iter().any(|change| change.domain == *domain);
            let is_lifted =
                !record.is_in_force || ids::store_era(record.position) == ids::store_era(end);
            if !is_listed && is_lifted {
                let domain = domain.clone();
                changes.push(Change { domain, position: last, is_in_force: false });
            }
        }
        changes.retain(|change| self.merge(change, age, now));
        changes.into_iter().map(|change| change.domain).collect()
    }

    /// Returns whether a listed record is a copy of the evacuation that is known to be lifted: a
    /// restored store has it at the same offset as before.
    fn is_from_copy(&self, change: &Change) -> bool {
        let known = self.records.get(&change.domain).filter(|known| !known.is_in_force);
        known.is_some_and(|known| {
            let offset = ids::store_offset(change.position);
            ids::store_era(known.position) < ids::store_era(change.position)
                && known.lifted.is_some_and(|lifted| ids::store_offset(lifted) == offset)
        })
    }

    /// Applies what a peer knows; returns whether it changes whether the domain is evacuated.
    pub fn receive(&mut self, report: &Report, now: ids::Timestamp) -> bool {
        let age = time::Duration::from_millis(report.age_ms);
        let (domain, position) = (report.domain.clone(), report.position);
        let change = Change { domain, position, is_in_force: report.is_in_force };
        self.merge(&change, age, now)
    }

    /// Returns whether a peer lacks a newer record that changes whether the domain is evacuated.
    pub fn is_outdated(&self, report: &Report) -> bool {
        self.records.get(&report.domain).is_some_and(|known| {
            known.position > report.position && known.is_in_force != report.is_in_force
        })
    }

    /// Adds a record, if it is newer than the known one; returns whether it changes whether the
    /// domain is evacuated.
    fn merge(&mut self, change: &Change, age: time::Duration, now: ids::Timestamp) -> bool {
        let known = self.records.get(&change.domain);
        if known.is_some_and(|known| known.position >= change.position) {
            return false;
        }
        let is_changed = known.is_some_and(|known| known.is_in_force) != change.is_in_force;
        let record = match known {
            Some(known) if !is_changed => {
                Record { position: change.position, updated: now, ..*known }
            }
            _ => Record {
                position: change.position,
                is_in_force: change.is_in_force,
                lifted: known.map(|known| known.position).filter(|_| !change.is_in_force),
                learned: now,
                learned_age: age,
                updated: now,
            },
        };
        self.records.insert(change.domain.clone(), record);
        self.drop_old_liftings();
        is_changed
    }

    fn drop_old_liftings(&mut self) {
        let lifted = self.records.iter().filter(|(_, record)| !record.is_in_force);
        if lifted.clone().count() <= MAX_LIFTED {
            return;
        }
        let oldest = lifted.min_by_key(|(_, record)| record.updated);
        if let Some(oldest) = oldest.map(|(domain, _)| domain.clone()) {
            self.records.remove(&oldest);
        }
    }

    /// Returns what the evacuations mean for the servers of a domain.
    pub fn standing(&self, domain: &str) -> Standing {
        let Some(record) = self.records.get(domain) else { return Standing::default() };
        let ramp_end = record.learned + RAMP.saturating_sub(record.learned_age);
        let ramp_end = if record.is_in_force { ids::Timestamp::ZERO } else { ramp_end };
        Standing { is_evacuated: record.is_in_force, ramp_end }
    }

    /// Returns whether any domain is evacuated.
    pub fn is_any_in_force(&self) -> bool {
        self.records.values().any(|record| record.is_in_force)
    }

    /// Returns the evacuated domains, sorted.
    pub fn in_force(&self) -> Vec<String> {
        let in_force = self.records.iter().filter(|(_, record)| record.is_in_force);
        let mut domains: Vec<_> = in_force.map(|(domain, _)| domain.clone()).collect();
        domains.sort_unstable();
        domains
    }

    /// Returns whether all instances are to be told repeatedly: a domain is evacuated, or there was
    /// a change recently.
    pub fn is_repeated(&self, now: ids::Timestamp) -> bool {
        let is_recent =
            |record: &Record| now.saturating_sub(record.updated) <= CHANGE_REPEAT_PERIOD;
        self.records.values().any(|record| record.is_in_force || is_recent(record))
    }

    /// Returns the report on a domain, if a record of it is known.
    pub fn report(&self, domain: &str, now: ids::Timestamp) -> Option<Report> {
        let record = self.records.get(domain)?;
        Some(Report {
            domain: domain.to_string(),
            position: record.position,
            is_in_force: record.is_in_force,
            age_ms: u64::try_from(record.age(now).as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Returns reports on all domains.
    pub fn reports(&self, now: ids::Timestamp) -> Vec<Report> {
        self.records.keys().filter_map(|domain| self.report(domain, now)).collect()
    }

    /// Returns the time since this instance learned that a domain is evacuated; `None` if it is not.
    pub fn time_in_force(&self, domain: &str, now: ids::Timestamp) -> Option<time::Duration> {
        let record = self.records.get(domain).filter(|record| record.is_in_force)?;
        Some(now.saturating_sub(record.learned))
    }
}

#[cfg(test)]
mod tests;
