//! Backend servers: what the store lists, what this instance has learned, and their load.

use std::net;
use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::ids;

/// What an engine does for the requests it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It reads prompts for others.
    Prefill,
    /// It generates, and reads prompts itself if need be.
    Decode,
}

/// A server as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Its name.
    pub id: ids::ServerId,
    /// What it serves.
    pub service: catalog::ServiceId,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Its stage; `None` for plain services and engines without stages.
    pub stage: Option<Stage>,
    /// How much longer it is slow after its start.
    pub cold_ms: u32,
    /// When it started, in milliseconds of its own clock; 0 if it does not say.
    pub born_ms: u64,
    /// The position of the entry in the store; a higher one is newer.
    pub offset: ids::Offset,
}

/// Work that is under way at a server.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Requests whose prompt is not read yet.
    pub reading: u32,
    /// Prompt tokens that are not read yet.
    pub unread_tokens: u32,
    /// Tokens of memory that are taken or will be.
    pub memory_tokens: u32,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.reading = self.reading.saturating_add(other.reading);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    fn subtract(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.reading = self.reading.saturating_sub(other.reading);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}

/// The removal of an entry that may come back.
#[derive(Debug, Clone, Copy)]
struct Lapse {
    at: ids::Timestamp,
    offset: ids::Offset,
}

impl Lapse {
    fn is_over(self, now: ids::Timestamp) -> bool {
        now >= self.at + constants::EXPIRED_ENTRY_GRACE
    }
}

/// A server and what is known of it.
#[derive(Debug, Clone)]
pub struct Server {
    /// The store's entry.
    pub entry: Entry,
    /// Work of this instance.
    pub own: Load,
    /// Work that live peers report.
    pub others: Load,
    /// The share of recent requests that failed, when the last one was noted.
    pub failure_share: f64,
    failure_noted: ids::Timestamp,
    /// Prompt tokens read in a millisecond, learned from first events.
    pub tokens_per_ms: f64,
    /// The time a plain request takes, learned.
    pub work_ms: f64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: ids::Timestamp,
    handover_paused_until: ids::Timestamp,
    lapsed: Option<Lapse>,
    listed: ids::Timestamp,
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
            failure_share: 0.0,
            failure_noted: ids::Timestamp::ZERO,
            tokens_per_ms,
            work_ms: constants::INITIAL_PLAIN_WORK_MS,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until: ids::Timestamp::ZERO,
            handover_paused_until: ids::Timestamp::ZERO,
            lapsed: None,
            listed: now,
        }
    }

    /// Returns whether it was listed so lately that not all instances know it.
    pub fn is_new(&self, now: ids::Timestamp) -> bool {
        now.saturating_sub(self.listed) <= constants::CHANGE_REPORT_PERIOD
    }

    /// Returns the work of all instances.
    pub fn load(&self) -> Load {
        let mut load = self.own;
        load.add(self.others);
        load
    }

    /// Returns whether it may get new work.
    pub fn is_usable(&self, now: ids::Timestamp) -> bool {
        let is_listed = self.lapsed.is_none_or(|lapse| !lapse.is_over(now));
        !self.entry.is_draining && is_listed && now >= self.ejected_until
    }

    /// Returns whether handles of it could be taken lately.
    pub fn hands_over(&self, now: ids::Timestamp) -> bool {
        now >= self.handover_paused_until
    }

    /// Returns how much its failures lengthen the expected wait.
    pub fn failure_ms(&self, now: ids::Timestamp) -> f64 {
        self.failure_share_at(now) * constants::FAILURE_PENALTY_MS
    }

    /// Old failures count less, or a server that is avoided would never be tried again.
    fn failure_share_at(&self, now: ids::Timestamp) -> f64 {
        let age_s = now.saturating_sub(self.failure_noted).as_secs_f64();
        self.failure_share * 0.5_f64.powf(age_s / constants::FAILURE_HALF_LIFE.as_secs_f64())
    }
}

/// How a request at a server ended, as evidence of the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// It answered.
    Answered,
    /// It answered that it failed; that may be the request's fault.
    Erred,
    /// Its answer broke off or belongs to another request.
    Failed,
    /// It could not be reached or fell silent.
    Unreachable,
    /// Another server answers at its address.
    Replaced,
}

/// A change that the store has told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// An entry is there.
    Put(Entry),
    /// An entry was removed.
    Removed {
        /// Its name.
        id: ids::ServerId,
        /// The position of the removal.
        offset: ids::Offset,
    },
}

impl EntryChange {
    /// Returns the position of the change.
    pub fn offset(&self) -> ids::Offset {
        match self {
            Self::Put(entry) => entry.offset,
            Self::Removed { offset, .. } => *offset,
        }
    }
}

/// A server that the store lists no more.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Removal {
    /// Its name.
    pub id: ids::ServerId,
    /// The position of the removal.
    pub offset: ids::Offset,
    /// Whether it was read after an outage of the store, so that the server may come back.
    pub is_after_outage: bool,
}

/// Removals that are remembered, so that an older entry of a server does not bring it back.
const REMOVALS_KEPT: usize = 4_096;

/// All servers.
#[derive(Debug, Default)]
pub struct Directory {
    servers: collections::Map<ids::ServerId, Server>,
    removed: collections::Map<ids::ServerId, ids::Offset>,
    by_service: collections::Map<catalog::ServiceId, Vec<ids::ServerId>>,
    /// All removals from this position on are remembered; `None` before the first listing.
    remembers_since: Option<ids::Offset>,
}

impl Directory {
    /// Takes a change; `is_after_outage` if the store could not be read just before.
    ///
    /// Returns whether a belief changed.
    pub fn apply(
        &mut self,
        change: EntryChange,
        is_after_outage: bool,
        now: ids::Timestamp,
    ) -> bool {
        match change {
            EntryChange::Put(entry) => self.insert(entry, now),
            EntryChange::Removed { id, offset } => self.remove(&id, offset, is_after_outage, now),
        }
    }

    /// Removes what a complete listing, whose last change is at `last`, does not name, and returns
    /// it.
    pub fn retain_listed(
        &mut self,
        listed: &collections::Set<ids::ServerId>,
        last: ids::Offset,
        is_after_outage: bool,
        now: ids::Timestamp,
    ) -> Vec<ids::ServerId> {
        self.remembers_since.get_or_insert(last + 1);
        let mut missing: Vec<_> = self
            .servers
            .iter()
            .filter(|(id, server)| !listed.contains(*id) && server.entry.offset <= last)
            .map(|(id, _)| id.clone())
            .collect();
        missing.retain(|id| self.remove(id, last, is_after_outage, now));
        missing
    }

    fn insert(&mut self, entry: Entry, now: ids::Timestamp) -> bool {
        if self.removed.get(&entry.id).is_some_and(|offset| *offset >= entry.offset) {
            return false;
        }
        self.removed.remove(&entry.id);
        let Some(server) = self.servers.get_mut(&entry.id) else {
            self.by_service.entry(entry.service.clone()).or_default().push(entry.id.clone());
            self.servers.insert(entry.id.clone(), Server::new(entry, now));
            return true;
        };
        if server.entry.offset >= entry.offset {
            return false;
        }
        let is_restarted = server.entry.born_ms != entry.born_ms;
        let is_moved = server.entry.service != entry.service || server.entry.stage != entry.stage;
        let changed = is_restarted
            || is_moved
            || server.entry.is_draining != entry.is_draining
            || server.entry.address != entry.address;
        if is_restarted || is_moved {
            let loads = (server.own, server.others);
            *server = Server::new(entry, now);
            // Requests under way still subtract what they added.
            (server.own, server.others) = loads;
            self.index();
        } else {
            server.entry = entry;
            server.lapsed = None;
        }
        changed
    }

    fn remove(
        &mut self,
        id: &ids::ServerId,
        offset: ids::Offset,
        is_after_outage: bool,
        now: ids::Timestamp,
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        if server.entry.offset > offset {
            return false;
        }
        // A server that was leaving is not expected back.
        if is_after_outage && !server.entry.is_draining {
            server.lapsed.get_or_insert(Lapse { at: now, offset });
            return true;
        }
        self.forget(id, offset);
        true
    }

    fn forget(&mut self, id: &ids::ServerId, offset: ids::Offset) {
        self.servers.remove(id);
        self.removed.insert(id.clone(), offset);
        self.forget_old_removals();
        self.index();
    }

    fn forget_old_removals(&mut self) {
        if self.removed.len() <= REMOVALS_KEPT {
            return;
        }
        let mut offsets: Vec<_> = self.removed.values().copied().collect();
        offsets.sort_unstable();
        let middle = offsets[offsets.len() / 2];
        self.removed.retain(|_, offset| *offset >= middle);
        self.remembers_since = self.remembers_since.max(Some(middle));
    }

    /// Returns the names of all servers if not all removals at `position` or later are remembered:
    /// this instance may have started after one.
    pub fn names_unless_remembered(&self, position: ids::Offset) -> Option<Vec<ids::ServerId>> {
        let is_remembered = self.remembers_since.is_some_and(|since| since <= position);
        (!is_remembered).then(|| self.servers.keys().cloned().collect())
    }

    /// Returns what was removed at `position` or later.
    pub fn removals_since(&self, position: ids::Offset) -> Vec<Removal> {
        let removed = self.removed.iter().map(|(id, offset)| Removal {
            id: id.clone(),
            offset: *offset,
            is_after_outage: false,
        });
        let lapsed = self.servers.values().filter_map(|server| {
            let offset = server.lapsed?.offset;
            Some(Removal { id: server.entry.id.clone(), offset, is_after_outage: true })
        });
        removed.chain(lapsed).filter(|removal| removal.offset >= position).collect()
    }

    /// Forgets entries that lapsed while the store was away and did not come back.
    pub fn expire(&mut self, now: ids::Timestamp) -> Vec<ids::ServerId> {
        let gone: Vec<_> = self
            .servers
            .values()
            .filter_map(|server| {
                let lapse = server.lapsed.filter(|lapse| lapse.is_over(now))?;
                Some((server.entry.id.clone(), lapse.offset))
            })
            .collect();
        for (id, offset) in &gone {
            self.forget(id, *offset);
        }
        gone.into_iter().map(|(id, _)| id).collect()
    }

    fn index(&mut self) {
        self.by_service.clear();
        for server in self.servers.values() {
            let ids = self.by_service.entry(server.entry.service.clone()).or_default();
            ids.push(server.entry.id.clone());
        }
    }

    /// Returns a server.
    pub fn get(&self, id: &ids::ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the servers of a service.
    pub fn of(&self, service: &catalog::ServiceId) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter().filter_map(|id| self.servers.get(id))
    }

    /// Returns all entries, for a peer that cannot read the store.
    pub fn entries(&self) -> Vec<Entry> {
        self.servers.values().map(|server| server.entry.clone()).collect()
    }

    /// Counts work that is sent to a server.
    pub fn add_load(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.add(load);
        }
    }

    /// Counts work that has ended at a server.
    pub fn subtract_load(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.subtract(load);
        }
    }

    /// Counts work of other instances at a server.
    pub fn add_others(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.others.add(load);
        }
    }

    /// Counts work of other instances as ended.
    pub fn subtract_others(&mut self, id: &ids::ServerId, load: Load) {
        if let Some(server) = self.servers.get_mut(id) {
            server.others.subtract(load);
        }
    }

    /// Forgets the work of other instances, before it is counted anew.
    pub fn clear_others(&mut self) {
        for server in self.servers.values_mut() {
            server.others = Load::default();
        }
    }

    /// Learns from how a request ended; returns the pause if the server is ejected.
    pub fn note_evidence(
        &mut self,
        id: &ids::ServerId,
        evidence: Evidence,
        now: ids::Timestamp,
    ) -> Option<time::Duration> {
        let server = self.servers.get_mut(id)?;
        let failed = if evidence == Evidence::Answered { 0.0 } else { 1.0 };
        let share = server.failure_share_at(now);
        server.failure_share = share + constants::FAILURE_SMOOTHING * (failed - share);
        server.failure_noted = now;
        match evidence {
            Evidence::Answered => {
                server.consecutive_failures = 0;
                server.ejections = 0;
                return None;
            }
            Evidence::Erred => return None,
            Evidence::Replaced => {
                // Nothing brings it back but a new entry; its old one lapses meanwhile.
                server.ejected_until = now + constants::MAX_EJECTION_PAUSE;
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
        server.ejected_until = now + pause;
        Some(pause)
    }

    /// Takes a peer's word that a server fails: the next failure here is enough to eject it.
    pub fn suspect(&mut self, id: &ids::ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.consecutive_failures =
                server.consecutive_failures.max(constants::EJECTION_FAILURES - 1);
        }
    }

    /// Uses a prefill server for no hand-over for a while.
    pub fn pause_handover(&mut self, id: &ids::ServerId, now: ids::Timestamp) {
        if let Some(server) = self.servers.get_mut(id) {
            server.handover_paused_until = now + constants::HANDOVER_PAUSE;
        }
    }

    /// Learns how fast a server reads prompts.
    pub fn note_reading(&mut self, id: &ids::ServerId, tokens: u32, elapsed: time::Duration) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let observed = f64::from(tokens) / elapsed_ms.max(1.0);
        let bounded = observed.clamp(server.tokens_per_ms * 0.25, server.tokens_per_ms * 2.0);
        server.tokens_per_ms += constants::SPEED_SMOOTHING * (bounded - server.tokens_per_ms);
    }

    /// Learns how long a plain request takes.
    pub fn note_work(&mut self, id: &ids::ServerId, elapsed: time::Duration) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        server.work_ms += constants::SPEED_SMOOTHING * (elapsed_ms - server.work_ms);
    }
}
