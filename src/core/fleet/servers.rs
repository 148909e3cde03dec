//! The backend servers: their entries in the store, their learned speed and health, and their load.

use std::net;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::estimate;
use crate::core::fleet::evacuation;
use crate::core::fleet::server_limits;
use crate::core::fleet::server_load;
use crate::core::fleet::streams;
use crate::core::fleet::work_times;
use crate::core::ids;

mod closures;
mod cold;
mod failures;
mod limits;
mod pace;
mod partial_failure;
mod reported;
mod standing;

pub mod entry;

pub use cold::ColdChange;
pub use cold::ColdSource;
pub use entry::Entry;
pub use entry::EntryChange;
pub use entry::Removal;
pub use entry::SoftwareVersion;
pub use entry::Source;
pub use entry::Stage;

/// The load that requests put on a server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// The number of requests.
    pub requests: u32,
    /// The number of requests whose prompt is not prefilled yet.
    #[serde(rename = "reading")]
    pub prefilling: u32,
    /// The prompt tokens left to prefill.
    #[serde(rename = "unread_tokens")]
    pub tokens_to_prefill: u32,
    /// The KV cache tokens that are taken or reserved.
    pub memory_tokens: u32,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prefilling = self.prefilling.saturating_add(other.prefilling);
        self.tokens_to_prefill = self.tokens_to_prefill.saturating_add(other.tokens_to_prefill);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.prefilling = self.prefilling.saturating_sub(other.prefilling);
        self.tokens_to_prefill = self.tokens_to_prefill.saturating_sub(other.tokens_to_prefill);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// The removal of an entry that may return after an outage of the store.
#[derive(Debug, Clone, Copy)]
struct Expiry {
    at: ids::Timestamp,
    offset: ids::StorePosition,
}

impl Expiry {
    fn is_final(self, now: ids::Timestamp) -> bool {
        now >= self.at + constants::EXPIRED_ENTRY_GRACE
    }
}

/// A server with the state that is known of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// The entry in the store.
    pub entry: Entry,
    /// The load by requests of this instance.
    pub own: Load,
    /// The load by requests of other instances.
    pub others: Load,
    failures: failures::Failures,
    /// The prefill speed in prompt tokens per millisecond, learned from completed prefills.
    pub tokens_per_ms: f64,
    /// The time that a plain request takes, in milliseconds, learned from completed requests; where the
    /// server states how long work takes, the usual time.
    pub work_ms: f64,
    /// The load that it states.
    reported: server_load::Reported,
    /// The time that streams take, learned from completed ones.
    pace: Option<pace::Pace>,
    /// Whether an answer of it was received since this instance has started.
    has_answered: bool,
    /// The answers that show whether it names a rate limit.
    limit: server_limits::Evidence,
    limit_changed: ids::Timestamp,
    /// The use of the limit; kept while the server names none, for the counts in it.
    allowance: Option<server_limits::Allowance>,
    /// What is known of its cold time.
    cold: cold::Cold,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: ids::Timestamp,
    /// The evidence that caused the present or last ejection.
    ejection: Option<Evidence>,
    /// When an answer was last reported.
    last_answer: Option<ids::Timestamp>,
    handover_paused_until: ids::Timestamp,
    /// What the server has asked for in its answers.
    closure: closures::Closure,
    /// What the evacuations of failure domains mean for the server.
    standing: evacuation::Standing,
    expired: Option<Expiry>,
    listed: ids::Timestamp,
    /// Whether the server was asked for the prompts that it holds.
    has_listed_prompts: bool,
}

impl Server {
    fn new(entry: Entry, now: ids::Timestamp) -> Self {
        let tokens_per_ms = match entry.stage {
            Some(Stage::Decode) => constants::INITIAL_DECODE_PREFILL_TOKENS_PER_MS,
            _ => constants::INITIAL_PREFILL_TOKENS_PER_MS,
        };
        Self {
            entry,
            own: Load::default(),
            others: Load::default(),
            failures: failures::Failures::default(),
            tokens_per_ms,
            work_ms: constants::INITIAL_PLAIN_WORK_MS,
            reported: server_load::Reported::default(),
            pace: None,
            has_answered: false,
            limit: server_limits::Evidence::default(),
            limit_changed: ids::Timestamp::ZERO,
            allowance: None,
            cold: cold::Cold::default(),
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: ids::Timestamp::ZERO,
            ejection: None,
            last_answer: None,
            handover_paused_until: ids::Timestamp::ZERO,
            closure: closures::Closure::default(),
            standing: evacuation::Standing::default(),
            expired: None,
            listed: now,
            has_listed_prompts: false,
        }
    }

    /// Returns whether the server was listed so recently that not all instances may know it.
    pub fn is_recently_listed(&self, now: ids::Timestamp) -> bool {
        now.saturating_sub(self.listed) <= constants::CHANGE_REPORT_PERIOD
    }

    /// Returns the load by requests of all instances.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Returns whether the server may get new requests.
    pub fn is_usable(&self, now: ids::Timestamp) -> bool {
        self.is_available(now) && now >= self.ejected_until
    }

    /// Returns whether the server is listed, not draining, not leaving and not evacuated. It may be
    /// ejected for some time.
    pub fn is_available(&self, now: ids::Timestamp) -> bool {
        self.is_open(now) && !self.is_evacuated()
    }

    /// Returns whether the server is listed, not draining and not leaving.
    fn is_open(&self, now: ids::Timestamp) -> bool {
        let is_listed = self.expired.is_none_or(|expiry| !expiry.is_final(now));
        !self.entry.is_draining && !self.closure.is_leaving && is_listed
    }

    /// Returns whether the server may prefill for a handover; it may not for some time after one of
    /// its KV cache handles was rejected.
    pub fn can_hand_over(&self, now: ids::Timestamp) -> bool {
        now >= self.handover_paused_until
    }

    /// Returns the penalty for failures, as additional expected wait.
    pub fn failure_penalty_ms(&self, now: ids::Timestamp) -> f64 {
        self.failure_share(now) * constants::FAILURE_PENALTY_MS
    }

    /// Returns the penalty for failures in the choice of the server that generates a stream. A stream
    /// that breaks off is lost with its prompt, which no wait is as bad as.
    pub fn lost_stream_penalty_ms(&self, now: ids::Timestamp) -> f64 {
        self.failure_share(now) * constants::LOST_STREAM_PENALTY_MS
    }

    /// Returns the share of recent requests that failed.
    pub fn failure_share(&self, now: ids::Timestamp) -> f64 {
        self.failures.share(now)
    }
}

/// What the end of a request shows about the health of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// The server answered.
    Answered,
    /// The server reported a failure, which the request may have caused.
    Erred,
    /// The answer ended early or belongs to another request.
    Failed,
    /// The server could not be reached, or did not answer in time.
    Unreachable,
    /// Another server answers at the server's address.
    Replaced,
}

/// The maximum number of remembered removals. They prevent that an older entry of a server adds it
/// again.
const MAX_REMOVALS: usize = 4_096;

/// All known servers.
#[derive(Debug, Default)]
pub struct Directory {
    servers: collections::Map<ids::ServerId, Server>,
    removed: collections::Map<ids::ServerId, ids::StorePosition>,
    closures: closures::Closures,
    evacuations: evacuation::Evacuations,
    by_service: collections::Map<catalog::ServiceId, Vec<ids::ServerId>>,
    /// The time from sending a prompt to an engine of a service until it is prefilled.
    prefill_times: collections::Map<catalog::ServiceId, estimate::Estimate>,
    /// The time from sending a request to a plain server until its whole answer.
    work_times: work_times::WorkTimes,
    /// The time that streams take at the engines of a service.
    stream_times: collections::Map<catalog::ServiceId, estimate::Estimate>,
    /// The software versions of servers that were removed or replaced.
    former_versions: streams::RecentVersions,
    /// The position from which on all removals are remembered; `None` before the first complete
    /// listing.
    removals_known_since: Option<ids::StorePosition>,
    /// Whether a server may have a limit; without one, requests cost no search for limits.
    may_have_limits: bool,
    /// Whether the whole fleet starts for the first time.
    is_first_start: bool,
    /// The services that bound the requests to their cold servers.
    cold_bounds: collections::Map<catalog::ServiceId, catalog::ColdBound>,
    /// Whether a server has ever stated its load; otherwise, requests cost no search for statements.
    may_state_loads: bool,
}

impl Directory {
    /// Applies a change; returns whether the view of the server changed.
    pub fn apply(&mut self, change: EntryChange, source: Source, now: ids::Timestamp) -> bool {
        if let EntryChange::Put(entry) = &change
            && entry.is_draining
        {
            self.remember_draining(entry, now);
        }
        let id = change.id().clone();
        let is_changed = match change {
            EntryChange::Put(entry) if source == Source::Restored => self.restore(entry, now),
            EntryChange::Put(entry) => self.insert(entry, now),
            EntryChange::Removed { id, offset } => self.remove(&id, offset, source, now),
        };
        self.refresh_standing(&id);
        is_changed
    }

    /// Applies an entry of a restored store. What is known of the server is newer, until the server
    /// writes again, but for its draining.
    fn restore(&mut self, entry: Entry, now: ids::Timestamp) -> bool {
        if self.removed.contains_key(&entry.id) {
            return false;
        }
        let Some(server) = self.servers.get_mut(&entry.id) else { return self.insert(entry, now) };
        server.entry.offset = server.entry.offset.max(entry.offset);
        // A server that drains ends; only its next incarnation is ready again.
        let has_drained =
            entry.is_draining && entry.born_ms == server.entry.born_ms && !server.entry.is_draining;
        server.entry.is_draining |= has_drained;
        has_drained
    }

    /// Removes the servers that a complete listing, whose last change is at `last`, does not
    /// contain, and returns their ids.
    pub fn retain_listed(
        &mut self,
        listed: &collections::Set<ids::ServerId>,
        last: ids::StorePosition,
        source: Source,
        now: ids::Timestamp,
    ) -> Vec<ids::ServerId> {
        self.removals_known_since.get_or_insert(last + 1);
        let mut missing: Vec<_> = self
            .servers
            .iter()
            .filter(|(id, server)| !listed.contains(*id) && server.entry.offset <= last)
            .map(|(id, _)| id.clone())
            .collect();
        missing.retain(|id| self.remove(id, last, source, now));
        missing
    }

    fn insert(&mut self, mut entry: Entry, now: ids::Timestamp) -> bool {
        if self.removed.get(&entry.id).is_some_and(|offset| *offset >= entry.offset) {
            return false;
        }
        self.removed.remove(&entry.id);
        let (is_start_seen, assumes_cold) = (self.is_start_seen(), self.assumes_cold());
        let has_cold_bound = self.has_cold_bound(&entry.service);
        let Some(server) = self.servers.get_mut(&entry.id) else {
            self.by_service.entry(entry.service.clone()).or_default().push(entry.id.clone());
            let closure = self.closures.of(&entry, now);
            let mut server = Server { closure, ..Server::new(entry, now) };
            server.start_cold(is_start_seen, assumes_cold);
            self.servers.insert(server.entry.id.clone(), server);
            return true;
        };
        if server.entry.offset >= entry.offset {
            if server.entry.offset == entry.offset {
                server.shorten_cold(&entry, now);
            }
            if server.entry.offset == entry.offset && server.entry.software_version.is_none() {
                server.entry.software_version = entry.software_version;
            }
            return false;
        }
        let is_restarted = server.entry.born_ms != entry.born_ms;
        if entry.software_version.is_none() && !is_restarted {
            entry.software_version = server.entry.software_version.clone();
        }
        let former = server.entry.software_version.clone();
        let former = former.filter(|_| server.entry.software_version != entry.software_version);
        if let Some(former) = &former {
            self.former_versions.record(&server.entry.service, former, now);
        }
        let is_reassigned = server.entry.service != entry.service
            || server.entry.stage != entry.stage
            || former.is_some();
        let has_turned_cold = !is_restarted && server.update_cold(&entry, now) && has_cold_bound;
        let changed = is_restarted
            || is_reassigned
            || has_turned_cold
            || server.entry.is_draining != entry.is_draining
            || server.entry.address != entry.address;
        if is_restarted || is_reassigned {
            let loads = (server.own, server.others);
            let closure = self.closures.of(&entry, now);
            let new = Server { closure, ..Server::new(entry, now) };
            let former = std::mem::replace(server, new);
            // Requests in progress later subtract the load that they added.
            (server.own, server.others) = loads;
            if is_restarted {
                server.start_cold(true, true);
            } else {
                server.keep_cold_of(former.cold.clone());
                server.keep_limit_of(former);
            }
            self.rebuild_index();
        } else {
            server.entry = entry;
            server.expired = None;
        }
        changed
    }

    fn remove(
        &mut self,
        id: &ids::ServerId,
        offset: ids::StorePosition,
        source: Source,
        now: ids::Timestamp,
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        if server.entry.offset > offset {
            return false;
        }
        // A server that was draining is not expected to return.
        if source != Source::Steady && !server.entry.is_draining {
            server.expired.get_or_insert(Expiry { at: now, offset });
            return true;
        }
        self.delete(id, offset, now);
        true
    }

    fn delete(&mut self, id: &ids::ServerId, offset: ids::StorePosition, now: ids::Timestamp) {
        if let Some(server) = self.servers.remove(id)
            && let Some(version) = server.entry.software_version
        {
            self.former_versions.record(&server.entry.service, &version, now);
        }
        self.removed.insert(id.clone(), offset);
        self.drop_old_removals();
        self.rebuild_index();
    }

    fn drop_old_removals(&mut self) {
        if self.removed.len() <= MAX_REMOVALS {
            return;
        }
        let mut offsets: Vec<_> = self.removed.values().copied().collect();
        offsets.sort_unstable();
        let middle = offsets[offsets.len() / 2];
        self.removed.retain(|_, offset| *offset >= middle);
        self.removals_known_since = self.removals_known_since.max(Some(middle));
    }

    /// Returns the ids of all servers if some removals at `position` or later may be unknown, for
    /// example because this instance started after them.
    pub fn names_unless_removals_known(
        &self,
        position: ids::StorePosition,
    ) -> Option<Vec<ids::ServerId>> {
        let is_known = self.removals_known_since.is_some_and(|since| since <= position);
        (!is_known).then(|| self.servers.keys().cloned().collect())
    }

    /// Returns the removals at `position` or later.
    pub fn removals_since(&self, position: ids::StorePosition) -> Vec<Removal> {
        let removed = self.removed.iter().map(|(id, offset)| Removal {
            id: id.clone(),
            offset: *offset,
            is_after_outage: false,
        });
        let expired = self.servers.values().filter_map(|server| {
            let offset = server.expired?.offset;
            Some(Removal { id: server.entry.id.clone(), offset, is_after_outage: true })
        });
        removed.chain(expired).filter(|removal| removal.offset >= position).collect()
    }

    /// Deletes the servers whose entries expired during an outage of the store and did not return,
    /// and returns their ids.
    pub fn delete_expired(&mut self, now: ids::Timestamp) -> Vec<ids::ServerId> {
        let overdue: Vec<_> = self
            .servers
            .values()
            .filter_map(|server| {
                let expiry = server.expired.filter(|expiry| expiry.is_final(now))?;
                Some((server.entry.id.clone(), expiry.offset))
            })
            .collect();
        for (id, offset) in &overdue {
            self.delete(id, *offset, now);
        }
        overdue.into_iter().map(|(id, _)| id).collect()
    }

    fn rebuild_index(&mut self) {
        self.by_service.clear();
        for server in self.servers.values() {
            let ids = self.by_service.entry(server.entry.service.clone()).or_default();
            ids.push(server.entry.id.clone());
        }
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &ids::ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the servers of a service.
    pub fn of_service(&self, service: &catalog::ServiceId) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter().filter_map(|id| self.servers.get(id))
    }

    /// Returns the software versions of the servers of a service, and those of former servers of it
    /// that a recent stream may have begun at; some more than once.
    pub fn versions(
        &self,
        service: &catalog::ServiceId,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let listed = self.of_service(service);
        let listed = listed.filter_map(|server| server.entry.software_version.as_ref());
        listed.chain(self.former_versions.of_service(service, now))
    }

    /// Returns whether the whole fleet starts for the first time.
    pub fn is_first_start(&self) -> bool {
        self.is_first_start
    }

    /// Returns whether a server is listed whose software version is not known, although peers have had
    /// the time to send it.
    pub fn lacks_versions(&self, now: ids::Timestamp) -> bool {
        let lacks_version = |server: &Server| {
            server.entry.software_version.is_none() && !server.is_recently_listed(now)
        };
        self.servers.values().any(lacks_version)
    }

    /// Returns the ids and addresses of the decode servers that were not returned before.
    pub fn take_unlisted_decode_servers(
        &mut self,
        now: ids::Timestamp,
    ) -> Vec<(ids::ServerId, net::SocketAddr)> {
        let is_new = |server: &&mut Server| {
            server.entry.stage == Some(Stage::Decode)
                && !server.has_listed_prompts
                && !server.is_evacuated()
                && server.is_willing(now)
        };
        let unlisted = self.servers.values_mut().filter(is_new);
        let taken = unlisted.map(|server| {
            server.has_listed_prompts = true;
            (server.entry.id.clone(), server.entry.address)
        });
        taken.collect()
    }

    /// Returns the entries of all servers, for a peer that cannot read the store.
    pub fn entries(&self, now: ids::Timestamp) -> Vec<Entry> {
        self.servers.values().map(|server| Self::entry_for_peer(server, now)).collect()
    }

    /// Adds load by a request of this instance.
    pub fn add_load(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.add(load);
        }
    }

    /// Subtracts load by a request of this instance.
    pub fn subtract_load(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.subtract(load);
        }
    }

    /// Adds load by a request of another instance.
    pub fn add_others(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.others.add(load);
        }
    }

    /// Subtracts load by a request of another instance.
    pub fn subtract_others(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.others.subtract(load);
        }
    }

    /// Clears the load by requests of other instances, before it is counted again.
    pub fn clear_others(&mut self) {
        for server in self.servers.values_mut() {
            server.others = Load::default();
        }
    }

    /// Updates the health of a server from the end of a request; returns the length of the ejection
    /// if the server is ejected.
    pub fn record_evidence(
        &mut self,
        id: &ids::ServerId,
        evidence: Evidence,
        now: ids::Timestamp,
    ) -> Option<time::Duration> {
        let server = self.servers.get_mut(id)?;
        server.failures.record(evidence != Evidence::Answered, now);
        match evidence {
            Evidence::Answered => {
                server.last_answer = Some(now);
                server.consecutive_failures = 0;
                server.ejections = 0;
                return None;
            }
            Evidence::Erred => return None,
            Evidence::Replaced => {
                // Only a new entry makes the server usable again. The old one expires in the
                // meantime.
                server.ejected_until = now + constants::MAX_EJECTION_PAUSE;
                server.ejection = Some(evidence);
                return Some(constants::MAX_EJECTION_PAUSE);
            }
            Evidence::Failed => server.consecutive_failures += 1,
            Evidence::Unreachable => server.consecutive_failures += 2,
        }
        if server.consecutive_failures < constants::EJECTION_FAILURES {
            return None;
        }
        let pause = (constants::MIN_EJECTION_PAUSE * 2u32.pow(server.ejections.min(4)))
            .min(constants::MAX_EJECTION_PAUSE);
        server.ejections += 1;
        server.consecutive_failures = constants::EJECTION_FAILURES - 1;
        let is_ejected = now < server.ejected_until;
        // A request in flight that is lost says less than a server that cannot be reached.
        if !(is_ejected && evidence == Evidence::Failed) {
            server.ejection = Some(evidence);
        }
        server.ejected_until = now + pause;
        Some(pause)
    }

    /// Applies a peer's warning that a server fails: the next failure here ejects it.
    pub fn record_warning(&mut self, id: &ids::ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.consecutive_failures =
                server.consecutive_failures.max(constants::EJECTION_FAILURES - 1);
        }
    }

    /// Pauses handovers from a prefill server.
    pub fn pause_handover(&mut self, id: &ids::ServerId, now: ids::Timestamp) {
        if let Some(server) = self.servers.get_mut(id) {
            server.handover_paused_until = now + constants::HANDOVER_PAUSE;
        }
    }

    /// Updates the prefill speed of a server.
    pub fn record_prefill(&mut self, id: &ids::ServerId, tokens: u32, elapsed: time::Duration) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let observed = f64::from(tokens) / elapsed_ms.max(1.0);
        let bounded = observed.clamp(server.tokens_per_ms * 0.25, server.tokens_per_ms * 2.0);
        server.tokens_per_ms += constants::SPEED_SMOOTHING * (bounded - server.tokens_per_ms);
        let first = || estimate::Estimate::new(elapsed);
        let estimate = self.prefill_times.entry(server.entry.service.clone()).or_insert_with(first);
        estimate.record(elapsed);
    }

    /// Returns the time that an engine of a service is expected to take for a prompt from sending
    /// it until it is prefilled.
    pub fn prefill_ms(&self, service: &catalog::ServiceId, prompt_tokens: u32) -> f64 {
        let assumed_ms = f64::from(prompt_tokens) / constants::INITIAL_PREFILL_TOKENS_PER_MS;
        self.prefill_times.get(service).map_or(assumed_ms, |it| it.upper_ms().max(assumed_ms))
    }

    /// Updates the time that a request takes at a server.
    pub fn record_work(
        &mut self,
        id: &ids::ServerId,
        elapsed: time::Duration,
        now: ids::Timestamp,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.entry.stage.is_some() {
            return self.record_stream(id, elapsed, now);
        }
        self.work_times.record(&server.entry.service, elapsed, now);
        // The answer has stated the figure that applied to the request.
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0 / server.reported.work_factor(now);
        let weight = server.reported.next_answer_weight(now);
        server.work_ms += weight * (elapsed_ms - server.work_ms);
    }

    /// Returns the time that most requests at a plain service do not exceed.
    pub fn upper_work(&self, service: &catalog::ServiceId) -> time::Duration {
        let assumed = time::Duration::from_secs_f64(constants::INITIAL_PLAIN_WORK_MS / 1_000.0);
        self.work_times.quantile(service).unwrap_or(assumed)
    }
}

#[cfg(test)]
mod tests;
