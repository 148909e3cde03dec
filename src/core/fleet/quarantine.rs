//! The patterns of requests that crash servers, whose requests are refused.

use std::time;

use crate::core::fleet::catalog;
use crate::core::fleet::crashes;
use crate::core::fleet::servers;
use crate::core::ids;

/// The time after which a pattern is tried again, also at unchanged servers.
const MAX_AGE: time::Duration = time::Duration::from_secs(3_600);

/// The time without a server of an affected software version after which a pattern is dropped: some
/// servers may only be about to return.
const VERSION_GRACE: time::Duration = time::Duration::from_secs(30);

/// The difference between the ends of two reports of the same quarantine, by their ways between
/// instances and the store.
const REPORT_TOLERANCE: time::Duration = time::Duration::from_secs(5);

/// The maximum number of patterns.
const MAX_PATTERNS: usize = 256;

/// The id of a pattern at a service, the same at all instances.
pub type QuarantineId = u64;

/// A pattern whose requests are refused at a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// The service whose servers crashed.
    pub service: catalog::ServiceId,
    /// A request with all these features is refused.
    pub pattern: Vec<crashes::Feature>,
    /// The software versions of the servers that crashed.
    pub software_versions: Vec<Option<servers::SoftwareVersion>>,
    /// The number of crashes that led to it.
    pub crashes: u32,
    /// When the pattern is tried again.
    pub until: ids::Timestamp,
    /// Whether an operator has lifted it; kept so that older reports do not renew it.
    pub is_lifted: bool,
    version_seen: ids::Timestamp,
}

impl Quarantine {
    /// Creates the quarantine of a pattern.
    pub fn new(cause: &crashes::Cause, now: ids::Timestamp) -> Self {
        Self {
            service: cause.service.clone(),
            pattern: cause.pattern.clone(),
            software_versions: cause.software_versions.clone(),
            crashes: u32::try_from(cause.crashes).unwrap_or(u32::MAX),
            until: now + MAX_AGE,
            is_lifted: false,
            version_seen: now,
        }
    }

    /// Returns its id.
    pub fn id(&self) -> QuarantineId {
        id_of(&self.service, &self.pattern)
    }

    /// Returns its features as text for a log line.
    pub fn pattern_names(&self) -> Vec<String> {
        self.pattern.iter().copied().map(crashes::Feature::name).collect()
    }

    /// Returns the time until the pattern is tried again.
    pub fn remaining(&self, now: ids::Timestamp) -> time::Duration {
        self.until.saturating_sub(now)
    }

    fn is_active(&self, now: ids::Timestamp) -> bool {
        !self.is_lifted && !self.remaining(now).is_zero()
    }
}

fn id_of(service: &catalog::ServiceId, pattern: &[crashes::Feature]) -> QuarantineId {
    let names: Vec<_> = pattern.iter().copied().map(crashes::Feature::name).collect();
    xxhash_rust::xxh3::xxh3_64(format!("{service}: {}", names.join(", ")).as_bytes())
}

/// A quarantine as instances tell each other and as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The service whose servers crashed.
    pub service: catalog::ServiceId,
    /// The features.
    pub pattern: Vec<crashes::Feature>,
    /// The software versions of the servers that crashed.
    pub software_versions: Vec<Option<servers::SoftwareVersion>>,
    /// The number of crashes.
    pub crashes: u32,
    /// The time until the pattern is tried again.
    pub remaining_ms: u64,
    /// Whether an operator has lifted it.
    pub is_lifted: bool,
}

/// All quarantines.
#[derive(Debug, Default)]
pub struct Quarantines {
    entries: Vec<Quarantine>,
}

impl Quarantines {
    /// Returns the quarantine of a request, whose features are read only if there is any.
    pub fn of_request<F>(
        &self,
        service: &catalog::ServiceId,
        features: F,
        now: ids::Timestamp,
    ) -> Option<&Quarantine>
    where
        F: FnOnce() -> Vec<crashes::Feature>,
    {
        if self.entries.is_empty() {
            return None;
        }
        let features = features();
        self.active(now).find(|quarantine| {
            quarantine.service == *service && crashes::is_subset(&quarantine.pattern, &features)
        })
    }

    /// Returns the quarantines in force.
    pub fn active(&self, now: ids::Timestamp) -> impl Iterator<Item = &Quarantine> {
        self.entries.iter().filter(move |quarantine| quarantine.is_active(now))
    }

    /// Returns the patterns in force.
    pub fn patterns(&self, now: ids::Timestamp) -> Vec<&[crashes::Feature]> {
        self.active(now).map(|quarantine| quarantine.pattern.as_slice()).collect()
    }

    /// Adds a quarantine; returns whether it changes what is refused.
    pub fn insert(&mut self, new: Quarantine, now: ids::Timestamp) -> bool {
        let id = new.id();
        let is_active = new.is_active(now);
        let Some(known) = self.entries.iter_mut().find(|known| known.id() == id) else {
            if self.entries.len() >= MAX_PATTERNS {
                let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].until);
                oldest.map(|oldest| self.entries.remove(oldest));
            }
            self.entries.push(new);
            return is_active;
        };
        for version in new.software_versions {
            if !known.software_versions.contains(&version) {
                known.software_versions.push(version);
            }
        }
        let was_active = known.is_active(now);
        known.crashes = known.crashes.max(new.crashes);
        // What has crashed servers again since it was lifted is in force again.
        let is_found_again = new.until > known.until + REPORT_TOLERANCE;
        known.is_lifted = new.is_lifted || (known.is_lifted && !is_found_again);
        if is_found_again {
            known.until = new.until;
        }
        known.is_active(now) != was_active
    }

    /// Lifts a quarantine; returns its pattern if it was in force.
    pub fn lift(&mut self, id: QuarantineId, now: ids::Timestamp) -> Option<Quarantine> {
        let is_meant = |known: &&mut Quarantine| known.id() == id && known.is_active(now);
        let quarantine = self.entries.iter_mut().find(is_meant)?;
        quarantine.is_lifted = true;
        Some(quarantine.clone())
    }

    /// Drops quarantines whose time has passed, or whose service has run other software versions for
    /// some time; returns them.
    pub fn drop_ended(
        &mut self,
        directory: &servers::Directory,
        now: ids::Timestamp,
    ) -> Vec<Quarantine> {
        for quarantine in &mut self.entries {
            let mut listed = directory.of_service(&quarantine.service).peekable();
            let is_affected = |server: &servers::Server| {
                quarantine.software_versions.contains(&server.entry.software_version)
            };
            if listed.peek().is_none() || listed.any(is_affected) {
                quarantine.version_seen = now;
            }
        }
        let has_ended = |quarantine: &Quarantine| {
            quarantine.remaining(now).is_zero()
                || now.saturating_sub(quarantine.version_seen) > VERSION_GRACE
        };
        let (ended, kept) = self.entries.drain(..).partition(has_ended);
        self.entries = kept;
        ended
    }

    /// Returns reports of all quarantines.
    pub fn reports(&self, now: ids::Timestamp) -> Vec<Report> {
        let report = |quarantine: &Quarantine| Report {
            service: quarantine.service.clone(),
            pattern: quarantine.pattern.clone(),
            software_versions: quarantine.software_versions.clone(),
            crashes: quarantine.crashes,
            remaining_ms: u64::try_from(quarantine.remaining(now).as_millis()).unwrap_or(u64::MAX),
            is_lifted: quarantine.is_lifted,
        };
        self.entries.iter().map(report).collect()
    }
}

impl Report {
    /// Returns the id of the quarantine.
    pub fn id(&self) -> QuarantineId {
        id_of(&self.service, &self.pattern)
    }

    /// Returns the reported quarantine, unless it has no pattern, which would refuse all requests.
    pub fn to_quarantine(&self, now: ids::Timestamp) -> Option<Quarantine> {
        let remaining = time::Duration::from_millis(self.remaining_ms).min(MAX_AGE);
        (!remaining.is_zero() && !self.pattern.is_empty()).then(|| Quarantine {
            service: self.service.clone(),
            pattern: self.pattern.clone(),
            software_versions: self.software_versions.clone(),
            crashes: self.crashes,
            until: now + remaining,
            is_lifted: self.is_lifted,
            version_seen: now,
        })
    }
}

#[cfg(test)]
mod tests;
