//! The places and the queues of one server, kept by the instance that schedules it.

use std::time;

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::constants;
use crate::core::scheduler::health;
use crate::core::scheduler::limit;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;
use crate::core::scheduler::queue;

mod reaper;

/// What the document says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that it can run at once.
    pub slots: u32,
    /// Pieces of engine memory.
    pub memory_pieces: u32,
    /// Whether it takes new work.
    pub in_service: bool,
}

/// What the scheduler knows of an ask beyond what it says.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// The workspace's weight.
    pub weight: u32,
    /// Whether this instance may grant places.
    pub may_grant: bool,
}

/// A granted or registered place.
#[derive(Debug, Clone)]
struct Place {
    client: ids::InstanceId,
    sequence: u64,
    decode: bool,
    work_tokens: u32,
    memory_pieces: u32,
    since: ids::Timestamp,
    /// When the client last said that it holds the place.
    confirmed: ids::Timestamp,
    /// When the client or the engine last showed that the place is in use.
    alive: ids::Timestamp,
}

/// One scheduled server.
#[derive(Debug)]
pub struct Server {
    id: ids::ServerId,
    capacity: Capacity,
    ready_at: ids::Timestamp,
    places: collections::Map<queue::Key, Place>,
    used_pieces: u32,
    decodes: u32,
    prefill_work_tokens: u64,
    prefill: queue::Queue,
    decode: queue::Queue,
    limit: limit::Limit,
    speed: limit::Speed,
    hold_time: limit::HoldTime,
    health: health::Health,
    reaper: reaper::Reaper,
}

impl Server {
    /// Creates a server that grants nothing before `ready_at`.
    pub fn new(
        id: ids::ServerId,
        capacity: Capacity,
        ready_at: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Self {
        Self {
            id,
            capacity,
            ready_at,
            places: collections::Map::default(),
            used_pieces: 0,
            decodes: 0,
            prefill_work_tokens: 0,
            prefill: queue::Queue::default(),
            decode: queue::Queue::default(),
            limit: limit::Limit::new(capacity.slots, now),
            speed: limit::Speed::default(),
            hold_time: limit::HoldTime::default(),
            health: health::Health::default(),
            reaper: reaper::Reaper::default(),
        }
    }

    /// Returns what the scheduler counts for the server.
    pub fn usage(&self) -> scheduler::Usage {
        scheduler::Usage {
            places: self.places.len() as u32,
            memory_pieces: self.used_pieces,
            decode_limit: self.limit.places(),
            queued: (self.prefill.len() + self.decode.len()) as u32,
        }
    }

    /// Takes over the document's statement; refuses the queue if the server takes no new work.
    pub fn configure(&mut self, capacity: Capacity, out: &mut outbox::Outbox<'_>) {
        self.capacity = capacity;
        self.limit.set_most(self.hold_time.places(capacity.slots));
        if !capacity.in_service {
            self.refuse_queue(message::Refusal::Leaving, out);
        }
    }

    /// Grants or queues a request, or repeats what was said to it.
    pub fn ask(
        &mut self,
        ask: message::Ask,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        terms: Terms,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let key = (incarnation, ask.ticket);
        if let Some(report) = ask.report {
            self.report(ask.decode, report, now, out);
        }
        if let Some(place) = self.places.get_mut(&key) {
            (place.confirmed, place.alive) = (now, now);
            out.send(from, grant_message(key));
            return;
        }
        let queue = if ask.decode { &mut self.decode } else { &mut self.prefill };
        if queue.refresh(key, now) {
            return;
        }
        if let Some(refusal) = self.refusal(&ask, now) {
            out.send(from, refuse_message(key, refusal));
            return;
        }
        let decode = ask.decode;
        let entry = self.entry(ask, from, key, terms.weight, now);
        if terms.may_grant && self.is_free(&entry, decode, now) {
            self.place(entry, decode, now, out);
            return;
        }
        let queue = if decode { &mut self.decode } else { &mut self.prefill };
        queue.push(entry);
    }

    /// Tells the client of a queued request how long it is expected to wait.
    pub fn answer_queued(
        &self,
        key: queue::Key,
        decode: bool,
        workspace: &ids::WorkspaceId,
        to: &ids::InstanceId,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let queue = if decode { &self.decode } else { &self.prefill };
        if !queue.contains(key) {
            return;
        }
        let wait_ms = self.wait_ms(decode, workspace, now);
        let (addressee, ticket) = (message::addressee(key.0), key.1);
        out.send(to, message::Message::Queued { addressee, ticket, wait_ms });
    }

    /// Returns whether a place is granted under a key.
    pub fn holds(&self, key: queue::Key) -> bool {
        self.places.contains_key(&key)
    }

    /// Frees a place or drops a queued request.
    pub fn release(
        &mut self,
        key: queue::Key,
        report: Option<message::Report>,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(place) = self.places.get(&key) else {
            self.prefill.remove(key).or_else(|| self.decode.remove(key));
            return;
        };
        let decode = place.decode;
        if let Some(report) = report {
            let (since, work_tokens) = (place.since, place.work_tokens);
            self.report(decode, report, now, out);
            if decode && report.failures == 0 {
                self.hold_time.released(now.saturating_sub(since));
                self.limit.set_most(self.hold_time.places(self.capacity.slots));
            }
            if !decode && report.failures == 0 {
                self.speed.processed(work_tokens, now);
            }
        }
        self.free(key, now);
    }

    /// Learns from what a client observed.
    pub fn report(
        &mut self,
        decode: bool,
        report: message::Report,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        if report.observations > 0 {
            let enough = if decode { self.limit.places() } else { self.capacity.slots };
            self.health.succeeded(now, enough);
            if decode {
                let wanted = self.decodes + self.decode.len() as u32;
                self.limit.observe(&report, wanted, now);
                self.hold_time.decoded(report.elapsed_ms);
            }
        }
        if report.failures > 0 && self.health.failed(report.failures, now) {
            self.refuse_queue(message::Refusal::Sick, out);
        }
    }

    /// Takes over places that a client holds.
    pub fn hold(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        places: Vec<message::Registration>,
        now: ids::Timestamp,
    ) {
        for place in places {
            let key = (incarnation, place.ticket);
            self.reaper.found(ids::request_id(incarnation, place.sequence));
            if let Some(known) = self.places.get_mut(&key) {
                (known.confirmed, known.alive) = (now, now);
                continue;
            }
            self.prefill.remove(key).or_else(|| self.decode.remove(key));
            let place = Place {
                client: from.clone(),
                sequence: place.sequence,
                decode: place.decode,
                work_tokens: place.work_tokens,
                memory_pieces: place.memory_pieces,
                since: now,
                confirmed: now,
                alive: now,
            };
            self.occupy(key, place, now);
        }
    }

    /// Frees everything that a process held or waited for.
    pub fn client_gone(&mut self, incarnation: ids::Incarnation, now: ids::Timestamp) {
        let places = self.places.keys().filter(|key| key.0 == incarnation);
        let keys: Vec<_> = places.copied().collect();
        for key in keys {
            self.free(key, now);
        }
        self.prefill.remove_where(|entry| entry.key.0 == incarnation);
        self.decode.remove_where(|entry| entry.key.0 == incarnation);
    }

    /// Takes note of the load that the server reports: more requests wait inside the engine than
    /// the places beyond its slots explain.
    pub fn loaded(&mut self, load: &scheduler::Load, now: ids::Timestamp) {
        let expected = self.hold_time.places(self.capacity.slots) - self.capacity.slots;
        if load.queued > expected && self.decodes > 0 && self.prefill_work_tokens == 0 {
            self.limit.engine_queued(now);
        }
    }

    /// Drops queue entries and places that have shown no sign of life, and asks about doubtful
    /// ones.
    pub fn sweep(&mut self, now: ids::Timestamp, out: &mut outbox::Outbox<'_>) {
        let silent = |entry: &queue::Entry| entry.heard + constants::QUEUE_ENTRY_TTL <= now;
        self.prefill.remove_where(silent);
        self.decode.remove_where(silent);
        let expired = |place: &Place| place.alive + constants::PLACE_TTL <= now;
        let places = self.places.iter().filter(|(_, place)| expired(place));
        let keys: Vec<_> = places.map(|(key, _)| *key).collect();
        for key in keys {
            self.free(key, now);
        }
        self.check_places(now, out);
    }

    /// Grants as many places as there are free ones.
    pub fn grant(&mut self, now: ids::Timestamp, out: &mut outbox::Outbox<'_>) {
        if !self.is_open(now) {
            return;
        }
        while let Some(entry) = self.next_decode(now) {
            self.place(entry, true, now, out);
        }
        while let Some(entry) = self.next_prefill(now) {
            self.place(entry, false, now, out);
        }
    }

    /// Returns when the server may grant for the first time.
    pub fn ready_at(&self) -> ids::Timestamp {
        self.ready_at
    }

    fn is_open(&self, now: ids::Timestamp) -> bool {
        self.capacity.in_service && now >= self.ready_at && !self.health.is_ejected(now)
    }

    /// Returns whether a request can have a place without passing another one by.
    fn is_free(&self, entry: &queue::Entry, decode: bool, now: ids::Timestamp) -> bool {
        let (queue, free) = if decode {
            (&self.decode, self.has_decode_place())
        } else {
            (&self.prefill, self.has_prefill_place())
        };
        self.is_open(now) && free && queue.is_empty() && entry.memory_pieces <= self.free_pieces()
    }

    fn next_decode(&mut self, now: ids::Timestamp) -> Option<queue::Entry> {
        if self.decode.is_empty() || !self.has_decode_place() {
            return None;
        }
        let free = self.free_pieces();
        self.decode.pop(now, |entry| entry.memory_pieces <= free)
    }

    fn next_prefill(&mut self, now: ids::Timestamp) -> Option<queue::Entry> {
        if self.prefill.is_empty() || !self.has_prefill_place() {
            return None;
        }
        let free = self.free_pieces();
        self.prefill.pop(now, |entry| entry.memory_pieces <= free)
    }

    fn has_decode_place(&self) -> bool {
        self.decodes < self.limit.places() && self.has_slot()
    }

    fn has_prefill_place(&self) -> bool {
        let ahead_ms = self.speed.time_ms(self.prefill_work_tokens);
        let full = self.prefill_work_tokens > 0 && ahead_ms > constants::PREFILL_WINDOW_MS;
        !full && self.has_slot()
    }

    fn has_slot(&self) -> bool {
        let running = self.places.len() as u32;
        let most = self.hold_time.places(self.capacity.slots);
        let allowed = self.health.allowance().unwrap_or(u32::MAX).min(most);
        running + self.reaper.foreign_requests() < allowed.max(1)
    }

    fn free_pieces(&self) -> u32 {
        self.capacity.memory_pieces.saturating_sub(self.used_pieces + self.reaper.foreign_pieces())
    }

    fn refusal(&self, ask: &message::Ask, now: ids::Timestamp) -> Option<message::Refusal> {
        if !self.capacity.in_service {
            return Some(message::Refusal::Leaving);
        }
        if self.health.is_ejected(now) {
            return Some(message::Refusal::Sick);
        }
        let queue = if ask.decode { &self.decode } else { &self.prefill };
        (!queue.admits(&ask.workspace)).then_some(message::Refusal::Full)
    }

    fn entry(
        &self,
        ask: message::Ask,
        from: &ids::InstanceId,
        key: queue::Key,
        weight: u32,
        now: ids::Timestamp,
    ) -> queue::Entry {
        let slack = time::Duration::from_millis(ask.slack_ms.max(0) as u64);
        let lead = time::Duration::from_secs_f64(self.lead_ms(&ask) / 1_000.0);
        queue::Entry {
            key,
            client: from.clone(),
            sequence: ask.sequence,
            workspace: ask.workspace,
            weight,
            work_tokens: ask.work_tokens,
            memory_pieces: ask.memory_pieces.min(self.capacity.memory_pieces),
            arrived: now.saturating_sub(time::Duration::from_millis(ask.age_ms.into())),
            start_by: (now + slack).saturating_sub(lead),
            heard: now,
        }
    }

    /// Returns the time from the grant to the first token that a request must be given, in
    /// milliseconds.
    fn lead_ms(&self, ask: &message::Ask) -> f64 {
        let learned_ms = if ask.decode {
            self.hold_time.lead_ms()
        } else {
            self.speed.time_ms(ask.work_tokens.into())
        };
        learned_ms * constants::LEAD_MARGIN
    }

    fn place(
        &mut self,
        entry: queue::Entry,
        decode: bool,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        out.send(&entry.client, grant_message(entry.key));
        let place = Place {
            client: entry.client,
            sequence: entry.sequence,
            decode,
            work_tokens: entry.work_tokens,
            memory_pieces: entry.memory_pieces,
            since: now,
            confirmed: now,
            alive: now,
        };
        self.occupy(entry.key, place, now);
    }

    fn occupy(&mut self, key: queue::Key, place: Place, now: ids::Timestamp) {
        self.used_pieces += place.memory_pieces;
        if place.decode {
            self.decodes += 1;
        } else {
            self.prefill_work_tokens += u64::from(place.work_tokens.max(1));
        }
        self.places.insert(key, place);
        self.speed.set_running(self.prefills(), now);
    }

    fn free(&mut self, key: queue::Key, now: ids::Timestamp) {
        let Some(place) = self.places.remove(&key) else { return };
        self.used_pieces -= place.memory_pieces;
        if place.decode {
            self.decodes -= 1;
        } else {
            self.prefill_work_tokens -= u64::from(place.work_tokens.max(1));
        }
        self.speed.set_running(self.prefills(), now);
    }

    fn prefills(&self) -> u32 {
        self.places.len() as u32 - self.decodes
    }

    fn refuse_queue(&mut self, refusal: message::Refusal, out: &mut outbox::Outbox<'_>) {
        let mut refused = self.prefill.remove_where(|_| true);
        refused.extend(self.decode.remove_where(|_| true));
        for entry in refused {
            out.send(&entry.client, refuse_message(entry.key, refusal));
        }
    }

    fn wait_ms(&self, decode: bool, workspace: &ids::WorkspaceId, now: ids::Timestamp) -> u32 {
        let queue_ms = if decode {
            let places = f64::from(self.limit.places());
            self.hold_time.mean_ms() * self.decode.ahead(workspace) as f64 / places
        } else {
            let ahead = self.prefill.work_ahead_tokens(workspace) + self.prefill_work_tokens;
            self.speed.time_ms(ahead)
        };
        let grace_ms = self.ready_at.saturating_sub(now).as_millis() as f64;
        (queue_ms + grace_ms) as u32
    }
}

fn grant_message(key: queue::Key) -> message::Message {
    message::Message::Grant { addressee: message::addressee(key.0), ticket: key.1 }
}

/// Returns the answer to an ask that is not queued.
pub fn refuse_message(key: queue::Key, refusal: message::Refusal) -> message::Message {
    message::Message::Refuse { addressee: message::addressee(key.0), ticket: key.1, refusal }
}
