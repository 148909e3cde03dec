//! The software versions that serve streams, as the store remembers them for a fleet that is lost as
//! a whole.
//!
//! Load pattern: all instances end at once in the middle of a release, and the callers of their
//! streams return within a second, when only one of the versions may still be listed.
//!
//! One record names, for each service, all versions at which a stream that still runs may have begun.
//! A coordinator adds a version as soon as a server of it is listed, and removes it once its last
//! server has been gone for longer than a stream lasts. Each record is appended only if it follows
//! the one that it was derived from, so a delayed one cannot take the place of a newer one.

use std::collections::BTreeSet;

use crate::core::collections;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::servers;
use crate::core::fleet::streams;
use crate::core::ids;

/// The versions of a service at which a stream that still runs may have begun.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: catalog::ServiceId,
    /// The versions, in the order of their names.
    pub versions: Vec<servers::SoftwareVersion>,
}

/// The versions in the store, as this instance has last read them.
#[derive(Debug, Default)]
pub struct StoredVersions {
    /// The versions of each service, with the time at which this instance has first read each.
    by_service: collections::Map<catalog::ServiceId, Seen>,
    is_read: bool,
}

type Seen = Vec<(servers::SoftwareVersion, ids::Timestamp)>;

impl StoredVersions {
    /// Takes over what was read from the store.
    pub fn replace(&mut self, stored: &[ServiceVersions], now: ids::Timestamp) {
        let former = std::mem::take(&mut self.by_service);
        for ServiceVersions { service, versions } in stored {
            let known = former.get(service).map(Vec::as_slice).unwrap_or_default();
            let first_read = |version: &servers::SoftwareVersion| {
                known.iter().find(|(known, _)| known == version).map_or(now, |(_, read)| *read)
            };
            let seen = versions.iter().map(|version| (version.clone(), first_read(version)));
            self.by_service.insert(service.clone(), seen.collect());
        }
        self.is_read = true;
    }

    /// Returns whether the store names the versions of a service.
    pub fn has_service(&self, service: &catalog::ServiceId) -> bool {
        self.by_service.contains_key(service)
    }

    /// Returns the versions of a service that the store names.
    pub fn of_service(
        &self,
        service: &catalog::ServiceId,
    ) -> impl Iterator<Item = &servers::SoftwareVersion> {
        self.seen(service).iter().map(|(version, _)| version)
    }

    /// Returns those versions of a service at which streams may have begun before the store was first
    /// read, as far as these may still run.
    pub fn recent(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &servers::SoftwareVersion> {
        let is_recent =
            move |read: &ids::Timestamp| now.saturating_sub(*read) <= streams::RETENTION;
        let recent = self.seen(service).iter().filter(move |(_, read)| is_recent(read));
        recent.map(|(version, _)| version)
    }

    fn seen(&self, service: &catalog::ServiceId) -> &[(servers::SoftwareVersion, ids::Timestamp)] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or_default()
    }
}

impl Fleet {
    pub(super) fn read_versions(&mut self, stored: &[ServiceVersions], now: ids::Timestamp) {
        self.stored_versions.replace(stored, now);
    }

    /// Returns the versions of all services with resumable streams, to be written to the store;
    /// `None` if it names just these, or was not read yet.
    pub fn versions_to_store(&self, now: ids::Timestamp) -> Option<Vec<ServiceVersions>> {
        if !self.stored_versions.is_read {
            return None;
        }
        let catalog = self.catalog.as_ref()?;
        let routes = catalog.content.routes.iter();
        let resumable = routes.filter(|route| route.is_resumable());
        let services: BTreeSet<_> =
            resumable.flat_map(|route| &route.services).map(|(service, _)| service).collect();
        // An instance of a fleet that was running before does not know which versions served then.
        let knows_past = self.servers.is_first_start() || now >= streams::RETENTION;
        let mut is_changed = false;
        let mut stored = Vec::new();
        for service in services {
            if !knows_past && !self.stored_versions.has_service(service) {
                continue;
            }
            let recent = self.recent_versions(service, now);
            let versions: BTreeSet<_> =
                recent.chain(self.stored_versions.recent(service, now)).cloned().collect();
            let named: BTreeSet<_> = self.stored_versions.of_service(service).cloned().collect();
            // A service that has no servers keeps the versions that it had last.
            let versions = if versions.is_empty() { named.clone() } else { versions };
            is_changed |= versions != named;
            if !versions.is_empty() {
                let versions = versions.into_iter().collect();
                stored.push(ServiceVersions { service: service.clone(), versions });
            }
        }
        is_changed.then_some(stored)
    }

    /// Has the versions written to the store as soon as a new one is listed: before the first event
    /// of a stream comes from it.
    pub(super) fn store_versions(&self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.is_limit_coordinator(now) && self.versions_to_store(now).is_some() {
            effects.push(Effect::StoreVersions);
        }
    }
}
