//! Streams that are resumed: their events come from servers of one software version, whichever
//! instance or caller resumes them.
//!
//! While a service runs several versions, the instance that relays the first event of a resumable
//! stream sends its origin to the coordinators, and one of these writes it to the store. An instance
//! that does not know the origin of a stream asks both. A stream of unknown origin is resumed only if
//! its service has run a single version recently. The store names the versions that served before this
//! instance started (`versions`).

use std::net;
use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::fleet::streams;
use crate::core::fleet::waiting;
use crate::core::ids;

/// Where the origin of a resumed stream comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginSource {
    /// This instance knew the origin.
    Known,
    /// A coordinator or the store knew the origin.
    LookedUp,
    /// The origin is unknown, and the service has run a single version recently.
    SingleVersion,
    /// The origin is unknown, and the service runs several versions or its versions are unknown.
    Unknown,
}

impl OriginSource {
    /// Returns the name of the source in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::LookedUp => "looked_up",
            Self::SingleVersion => "single_version",
            Self::Unknown => "unknown",
        }
    }
}

impl Fleet {
    /// Binds a request to the software version of the server that has generated its first event, and
    /// makes the origin known.
    pub(super) fn bind_started_stream(
        &mut self,
        request: call::RequestNumber,
        server: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let version =
            self.servers.get(server).and_then(|server| server.entry.software_version.clone());
        let Some(live) = self.requests.get_mut(&request) else { return };
        if !live.is_resumable() || live.claim.binding != claim::Binding::Any {
            return;
        }
        let Some(software_version) = version else {
            live.claim.binding = claim::Binding::Unknown;
            return;
        };
        live.claim.binding = claim::Binding::Version(software_version.clone());
        let service = live.claim.service.clone();
        if let Some(stream) = live.stream_key() {
            let origin = streams::Origin { stream, service, software_version };
            self.origins.record(origin, streams::Source::Own, now);
            self.announce_origins(now, effects);
        }
    }

    /// Sends the coordinators the origins of own streams that begin at one of several versions; once a
    /// second version appears, also those of the streams before.
    pub(super) fn announce_origins(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for service in self.services_with_several_versions(now) {
            let max = constants::MAX_ORIGINS_PER_MESSAGE;
            loop {
                let origins = self.origins.take_unannounced(&service, max, now);
                if origins.is_empty() {
                    break;
                }
                let message = message::Message::StreamsBegun(origins);
                self.send_to_placing_peers(&message, now, effects);
            }
        }
    }

    /// Starts the lookup of the origin of the stream that a caller resumes; returns `false` if the
    /// request resumes none. The end of the lookup places or refuses the request.
    pub(super) fn start_resumption(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(live) = self.requests.get_mut(&request) else { return false };
        if live.call.resumes.is_none() || !live.is_resumable() {
            return false;
        }
        let stream = live.stream_key();
        live.phase = live::Phase::AwaitingOrigin(live::AwaitingOrigin::new(now));
        if let Some((origin, age)) = stream.and_then(|stream| self.origins.get(stream, now)) {
            let origin = origin.clone();
            let source = OriginSource::Known;
            self.finish_lookup(request, Some((origin, age)), source, now, effects);
            return true;
        }
        if stream.is_none() && now >= streams::RETENTION {
            self.give_up_lookup(request, now, effects);
            return true;
        }
        effects.push(Effect::ReadStreamOrigins);
        let Some(stream) = stream else { return true };
        let query = message::Message::StreamQuery { stream };
        self.send_to_placing_peers(&query, now, effects);
        true
    }

    /// Applies origins that a peer has observed or was asked for.
    pub(super) fn receive_origins(
        &mut self,
        origins: Vec<streams::Origin>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for origin in origins {
            self.origins.record(origin, streams::Source::Peer, now);
        }
        self.announce_origins(now, effects);
        self.finish_known_lookups(now, effects);
    }

    /// Notes that a peer does not know the origin of a stream either.
    pub(super) fn receive_unknown_stream(
        &mut self,
        stream: call::StreamKey,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for (request, _) in self.lookups() {
            if let Some(live) = self.requests.get_mut(&request)
                && live.stream_key() == Some(stream)
                && let live::Phase::AwaitingOrigin(awaiting) = &mut live.phase
            {
                awaiting.is_unknown_to_peer = true;
            }
        }
        self.end_lookups(now, effects);
    }

    /// Answers a peer that asks for the origin of a stream.
    pub(super) fn answer_stream_query(
        &self,
        from: net::SocketAddr,
        stream: call::StreamKey,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let message = match self.origins.get(stream, now) {
            Some((origin, _)) => message::Message::StreamsBegun(vec![origin.clone()]),
            None => message::Message::StreamUnknown { stream },
        };
        effects.push(Effect::SendMessage { to: from, message });
    }

    /// Applies a read of all origins in the store.
    pub(super) fn apply_stored_origins(
        &mut self,
        origins: Vec<streams::Origin>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        for origin in origins {
            self.origins.record(origin, streams::Source::Store, now);
        }
        for live in self.requests.values_mut() {
            if let live::Phase::AwaitingOrigin(awaiting) = &mut live.phase {
                awaiting.is_store_read = true;
            }
        }
        self.finish_known_lookups(now, effects);
        self.end_lookups(now, effects);
    }

    fn finish_known_lookups(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for (request, _) in self.lookups() {
            let stream = self.requests.get(&request).and_then(live::LiveRequest::stream_key);
            let known = stream.and_then(|stream| self.origins.get(stream, now));
            if let Some((origin, age)) = known.map(|(origin, age)| (origin.clone(), age)) {
                let source = OriginSource::LookedUp;
                self.finish_lookup(request, Some((origin, age)), source, now, effects);
            }
        }
    }

    /// Ends the lookups that no longer wait for an answer, and repeats failed reads of the store.
    pub(super) fn end_lookups(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        for (request, awaiting) in self.lookups() {
            let elapsed = now.saturating_sub(awaiting.since);
            let is_named =
                self.requests.get(&request).is_some_and(|live| live.stream_key().is_some());
            let awaits_peers = is_named
                && !awaiting.is_unknown_to_peer
                && elapsed < constants::COORDINATOR_RESPONSE_TIMEOUT;
            let awaits_store =
                !awaiting.is_store_read && elapsed < constants::ORIGIN_LOOKUP_TIMEOUT;
            if !awaits_peers && !awaits_store {
                self.give_up_lookup(request, now, effects);
            } else if awaits_store && elapsed > time::Duration::ZERO {
                effects.push(Effect::ReadStreamOrigins);
            }
        }
    }

    /// Returns the requests that wait for the origin of their stream, in the order of their numbers.
    fn lookups(&self) -> Vec<(call::RequestNumber, live::AwaitingOrigin)> {
        let mut lookups: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(request, live)| match &live.phase {
                live::Phase::AwaitingOrigin(awaiting) => Some((*request, *awaiting)),
                _ => None,
            })
            .collect();
        lookups.sort_unstable_by_key(|(request, _)| *request);
        lookups
    }

    /// Resumes a stream of unknown origin if its service has run a single version recently.
    fn give_up_lookup(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AwaitingOrigin(awaiting) = live.phase else { return };
        let (service, stream) = (live.claim.service.clone(), live.stream_key());
        let version = self.single_version(&service, awaiting, now);
        let Some(software_version) = version else {
            let source = OriginSource::Unknown;
            return self.finish_lookup(request, None, source, now, effects);
        };
        let origin =
            streams::Origin { stream: stream.unwrap_or_default(), service, software_version };
        if stream.is_some() {
            self.origins.record(origin.clone(), streams::Source::Own, now);
        }
        let known = Some((origin, time::Duration::ZERO));
        self.finish_lookup(request, known, OriginSource::SingleVersion, now, effects);
    }

    /// Places a request at the version of its stream, or refuses it without one.
    fn finish_lookup(
        &mut self,
        request: call::RequestNumber,
        found: Option<(streams::Origin, time::Duration)>,
        source: OriginSource,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AwaitingOrigin(awaiting) = live.phase else { return };
        effects.push(Effect::Log(decision::Decision::StreamResumed {
            request: fleet::text(&live.call.id),
            resumes: live.call.resumes.as_ref().map(fleet::text).unwrap_or_default(),
            source,
            service: found.as_ref().map(|(origin, _)| origin.service.to_string()),
            software_version: found.as_ref().map(|(origin, _)| origin.software_version.clone()),
            age_ms: found.as_ref().map(|(_, age)| waiting::millis(*age)),
            waited_ms: waiting::millis(now.saturating_sub(awaiting.since)),
            is_store_read: awaiting.is_store_read,
        }));
        let is_bound = found.is_some_and(|(origin, _)| self.bind_resumed(request, &origin));
        if is_bound {
            return self.wait_again(request, now, effects);
        }
        let wait = self.jittered(constants::MIN_RETRY_AFTER);
        let refusal = refusal::Refusal::retry_after(refusal::Reason::NotResumable, wait);
        self.refuse(request, refusal, now, effects);
    }

    /// Binds a request to the service and version of its stream; returns whether its route still
    /// leads to that service.
    fn bind_resumed(&mut self, request: call::RequestNumber, origin: &streams::Origin) -> bool {
        let engine = self.catalog.as_ref().and_then(|catalog| catalog.engine(&origin.service));
        let Some(live) = self.requests.get_mut(&request) else { return false };
        if !live.route.services.iter().any(|(service, _)| *service == origin.service) {
            return false;
        }
        live.claim.service = origin.service.clone();
        live.claim.engine = engine;
        live.claim.binding = claim::Binding::Version(origin.software_version.clone());
        true
    }

    /// Returns the software version of a service if it has certainly run no other one recently.
    fn single_version(
        &self,
        service: &catalog::ServiceId,
        awaiting: live::AwaitingOrigin,
        now: ids::Timestamp,
    ) -> Option<servers::SoftwareVersion> {
        // An instance that has just started knows former versions from the store only.
        let is_named = awaiting.is_store_read && self.stored_versions.has_service(service);
        let has_observed = now >= streams::RETENTION && !self.may_miss_changes(now);
        let mut listed = self.servers.of_service(service);
        let lacks_version = listed.any(|server| server.entry.software_version.is_none());
        if lacks_version || !(is_named || has_observed) {
            return None;
        }
        let stored = self.stored_versions.of_service(service).filter(|_| awaiting.is_store_read);
        let read_before = self.stored_versions.recent(service, now);
        let mut versions = self.recent_versions(service, now).chain(read_before).chain(stored);
        let first = versions.next()?.clone();
        versions.all(|version| *version == first).then_some(first)
    }

    /// Returns the versions of a service that serve or have served recently; some more than once.
    pub(super) fn recent_versions(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &servers::SoftwareVersion> {
        self.servers.versions(service, now).chain(self.origins.versions(service, now))
    }

    /// Returns the services at which streams began and that run several versions.
    fn services_with_several_versions(&self, now: ids::Timestamp) -> Vec<catalog::ServiceId> {
        let runs_several = |service: &&catalog::ServiceId| {
            let mut versions = self.recent_versions(service, now);
            let first = versions.next();
            versions.any(|version| Some(version) != first)
        };
        self.origins.services().filter(runs_several).cloned().collect()
    }

    /// Removes and returns origins of streams to be written to the store. While a service runs a
    /// single version, its streams need no record.
    pub fn take_unstored_origins(&mut self, now: ids::Timestamp) -> Vec<streams::Origin> {
        let mut taken = Vec::new();
        for service in self.services_with_several_versions(now) {
            let max = constants::MAX_ORIGINS_PER_RECORD - taken.len();
            taken.extend(self.origins.take_unstored(&service, max, now));
        }
        taken
    }

    /// Puts back origins that could not be written to the store.
    pub fn put_back_origins(&mut self, origins: &[streams::Origin]) {
        self.origins.put_back(origins);
    }
}
