//! The origins of resumable streams: the service and the software version that began each.
//!
//! Load pattern: servers of two versions serve side by side, instances stop, and the callers of
//! their streams return to other instances within a second.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::recent;
use crate::core::fleet::servers;
use crate::core::ids;

/// The time for which the origin of a stream is remembered: longer than a caller waits for a stream
/// with all its attempts.
pub const RETENTION: time::Duration = time::Duration::from_secs(20);

/// The maximum number of remembered origins; bounds their memory to about 20 MB.
const MAX_ORIGINS: usize = 131_072;

/// The beginning of a stream.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Origin {
    /// The key of the stream.
    pub stream: call::StreamKey,
    /// The service of the server that began it.
    pub service: catalog::ServiceId,
    /// The software version of that server.
    pub software_version: servers::SoftwareVersion,
}

/// Where an origin was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This instance relays the stream.
    Own,
    /// A peer has sent it.
    Peer,
    /// It was read from the store.
    Store,
}

/// The known origins of recent streams.
#[derive(Debug)]
pub struct Origins {
    known: recent::RecentMap<call::StreamKey, Origin>,
    /// The streams that this instance began and has not announced to the coordinators.
    unannounced: VecDeque<call::StreamKey>,
    /// The streams whose origins are not in the store, as far as this instance knows.
    unstored: VecDeque<call::StreamKey>,
    /// The versions at which streams began.
    versions: RecentVersions,
}

impl Default for Origins {
    fn default() -> Self {
        Self {
            known: recent::RecentMap::new(RETENTION, MAX_ORIGINS),
            unannounced: VecDeque::new(),
            unstored: VecDeque::new(),
            versions: RecentVersions::default(),
        }
    }
}

impl Origins {
    /// Records an origin, unless it is known.
    pub fn record(&mut self, origin: Origin, source: Source, now: ids::Timestamp) {
        let stream = origin.stream;
        if !self.insert(origin, now) {
            return;
        }
        if source == Source::Own {
            self.unannounced.push_back(stream);
        }
        if source != Source::Store {
            self.unstored.push_back(stream);
        }
    }

    /// Adds an origin; returns whether it was unknown.
    fn insert(&mut self, origin: Origin, now: ids::Timestamp) -> bool {
        self.versions.record(&origin.service, &origin.software_version, now);
        if self.known.get(&origin.stream, now).is_some() {
            return false;
        }
        self.known.record(origin.stream, origin, now);
        for pending in [&mut self.unannounced, &mut self.unstored] {
            while let Some(oldest) = pending.front()
                && self.known.get(oldest, now).is_none()
            {
                pending.pop_front();
            }
        }
        true
    }

    /// Returns the origin of a stream and its age.
    pub fn get(
        &self,
        stream: call::StreamKey,
        now: ids::Timestamp,
    ) -> Option<(&Origin, time::Duration)> {
        self.known.get(&stream, now)
    }

    /// Returns the services at which streams began.
    pub fn services(&self) -> impl Iterator<Item = &catalog::ServiceId> {
        self.versions.services()
    }

    /// Returns the versions of a service at which streams began recently.
    pub fn versions(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &servers::SoftwareVersion> {
        self.versions.of_service(service, now)
    }

    /// Takes up to `max` origins of a service that this instance has not announced.
    pub fn take_unannounced(
        &mut self,
        service: &catalog::ServiceId,
        max: usize,
        now: ids::Timestamp,
    ) -> Vec<Origin> {
        take(&mut self.unannounced, &self.known, service, max, now)
    }

    /// Takes up to `max` origins of a service that are not in the store.
    pub fn take_unstored(
        &mut self,
        service: &catalog::ServiceId,
        max: usize,
        now: ids::Timestamp,
    ) -> Vec<Origin> {
        take(&mut self.unstored, &self.known, service, max, now)
    }

    /// Puts origins back that could not be written to the store.
    pub fn put_back(&mut self, origins: &[Origin]) {
        self.unstored.extend(origins.iter().map(|origin| origin.stream));
    }
}

/// Removes up to `max` streams of a service from a queue and returns their origins.
fn take(
    pending: &mut VecDeque<call::StreamKey>,
    known: &recent::RecentMap<call::StreamKey, Origin>,
    service: &catalog::ServiceId,
    max: usize,
    now: ids::Timestamp,
) -> Vec<Origin> {
    let mut taken = Vec::new();
    pending.retain(|stream| {
        let Some((origin, _)) = known.get(stream, now) else { return false };
        if taken.len() >= max || origin.service != *service {
            return true;
        }
        taken.push(origin.clone());
        false
    });
    taken
}

/// The software versions of services that were seen within the retention.
#[derive(Debug, Default)]
pub struct RecentVersions {
    by_service:
        collections::Map<catalog::ServiceId, Vec<(servers::SoftwareVersion, ids::Timestamp)>>,
}

impl RecentVersions {
    /// Records that a version of a service is seen.
    pub fn record(
        &mut self,
        service: &catalog::ServiceId,
        version: &servers::SoftwareVersion,
        now: ids::Timestamp,
    ) {
        let versions = self.by_service.entry(service.clone()).or_default();
        match versions.iter_mut().find(|(known, _)| known == version) {
            Some((_, seen)) => *seen = now,
            None => versions.push((version.clone(), now)),
        }
        versions.retain(|(_, seen)| now.saturating_sub(*seen) <= RETENTION);
    }

    /// Returns the services with a recorded version.
    pub fn services(&self) -> impl Iterator<Item = &catalog::ServiceId> {
        self.by_service.keys()
    }

    /// Returns the versions of a service that were seen recently.
    pub fn of_service(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &servers::SoftwareVersion> {
        let versions = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let is_recent = move |seen: ids::Timestamp| now.saturating_sub(seen) <= RETENTION;
        versions.iter().filter(move |(_, seen)| is_recent(*seen)).map(|(version, _)| version)
    }
}
