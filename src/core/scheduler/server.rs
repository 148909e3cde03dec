//! The reservations and the queues of one server, kept by its owner.

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

/// A server's capacity by the document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// KV cache memory, in pieces.
    pub memory_pieces: u32,
    /// Whether it takes new work.
    pub in_service: bool,
}

/// What the owner knows about a reservation request beyond the message.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext {
    /// The workspace's weight.
    pub weight: u32,
    /// Whether this instance's lease is valid, so that it may grant.
    pub may_grant: bool,
}

/// A reservation that was granted here or registered by its client.
#[derive(Debug, Clone)]
struct Reservation {
    client: ids::InstanceId,
    sequence: u64,
    decode: bool,
    work_tokens: u32,
    memory_pieces: u32,
    granted_at: ids::Timestamp,
    /// When the client last confirmed the reservation.
    confirmed_at: ids::Timestamp,
    /// When the client or the engine last confirmed the reservation.
    active_at: ids::Timestamp,
}

/// A server that this instance owns.
#[derive(Debug)]
pub struct Server {
    id: ids::ServerId,
    capacity: Capacity,
    ready_at: ids::Timestamp,
    reservations: collections::Map<queue::Key, Reservation>,
    used_pieces: u32,
    decode_reservations: u32,
    prefill_work_tokens: u64,
    prefill_queue: queue::Queue,
    decode_queue: queue::Queue,
    decode_limit: limit::DecodeLimit,
    prefill_speed: limit::PrefillSpeed,
    hold_time: limit::DecodeHoldTime,
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
            reservations: collections::Map::default(),
            used_pieces: 0,
            decode_reservations: 0,
            prefill_work_tokens: 0,
            prefill_queue: queue::Queue::default(),
            decode_queue: queue::Queue::default(),
            decode_limit: limit::DecodeLimit::new(capacity.slots, now),
            prefill_speed: limit::PrefillSpeed::default(),
            hold_time: limit::DecodeHoldTime::default(),
            health: health::Health::default(),
            reaper: reaper::Reaper::default(),
        }
    }

    /// Returns what the owner counts for the server.
    pub fn usage(&self) -> scheduler::Usage {
        scheduler::Usage {
            reservations: self.reservations.len() as u32,
            memory_pieces: self.used_pieces,
            decode_limit: self.decode_limit.current(),
            queued: (self.prefill_queue.len() + self.decode_queue.len()) as u32,
        }
    }

    /// Applies the document's capacity; refuses all queued requests if the server is out of
    /// service.
    pub fn configure(&mut self, capacity: Capacity, out: &mut outbox::Outbox<'_>) {
        self.capacity = capacity;
        self.decode_limit.set_max(self.hold_time.max_reservations(capacity.slots));
        if !capacity.in_service {
            self.refuse_queue(message::Refusal::Leaving, out);
        }
    }

    /// Grants, queues or refuses a reservation request, or repeats the grant if the client sent it
    /// again.
    pub fn on_request(
        &mut self,
        request: message::ReservationRequest,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        context: RequestContext,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let key = (incarnation, request.ticket);
        if let Some(report) = request.report {
            self.on_report(request.decode, report, now, out);
        }
        if let Some(reservation) = self.reservations.get_mut(&key) {
            (reservation.confirmed_at, reservation.active_at) = (now, now);
            out.send(from, grant_message(key));
            return;
        }
        let queue = if request.decode { &mut self.decode_queue } else { &mut self.prefill_queue };
        if queue.refresh(key, now) {
            return;
        }
        if let Some(refusal) = self.refusal(&request, now) {
            out.send(from, refuse_message(key, refusal));
            return;
        }
        let decode = request.decode;
        let entry = self.entry(request, from, key, context.weight, now);
        if context.may_grant && self.can_grant_immediately(&entry, decode, now) {
            self.reserve(entry, decode, now, out);
            return;
        }
        let queue = if decode { &mut self.decode_queue } else { &mut self.prefill_queue };
        queue.push(entry);
    }

    /// Sends the client of a queued request its expected wait.
    pub fn answer_queued(
        &self,
        key: queue::Key,
        decode: bool,
        workspace: &ids::WorkspaceId,
        to: &ids::InstanceId,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let queue = if decode { &self.decode_queue } else { &self.prefill_queue };
        if !queue.contains(key) {
            return;
        }
        let wait_ms = self.wait_ms(decode, workspace, now);
        let (addressee, ticket) = (message::addressee(key.0), key.1);
        out.send(to, message::Message::Queued { addressee, ticket, wait_ms });
    }

    /// Returns whether there is a reservation under a key.
    pub fn has_reservation(&self, key: queue::Key) -> bool {
        self.reservations.contains_key(&key)
    }

    /// Removes a reservation or a queued request.
    pub fn release(
        &mut self,
        key: queue::Key,
        report: Option<message::Report>,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let Some(reservation) = self.reservations.get(&key) else {
            self.prefill_queue.remove(key).or_else(|| self.decode_queue.remove(key));
            return;
        };
        let decode = reservation.decode;
        if let Some(report) = report {
            let (granted_at, work_tokens) = (reservation.granted_at, reservation.work_tokens);
            self.on_report(decode, report, now, out);
            if decode && report.failures == 0 {
                self.hold_time.on_release(now.saturating_sub(granted_at));
                self.decode_limit.set_max(self.hold_time.max_reservations(self.capacity.slots));
            }
            if !decode && report.failures == 0 {
                self.prefill_speed.on_prefill(work_tokens, now);
            }
        }
        self.remove_reservation(key, now);
    }

    /// Updates health, decode limit and hold time from a client's report.
    pub fn on_report(
        &mut self,
        decode: bool,
        report: message::Report,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        if report.observations > 0 {
            let full_allowance =
                if decode { self.decode_limit.current() } else { self.capacity.slots };
            self.health.succeeded(now, full_allowance);
            if decode {
                let wanted = self.decode_reservations + self.decode_queue.len() as u32;
                self.decode_limit.on_sample(&report, wanted, now);
                self.hold_time.on_decode(report.elapsed_ms);
            }
        }
        if report.failures > 0 && self.health.failed(report.failures, now) {
            self.refuse_queue(message::Refusal::Ejected, out);
        }
    }

    /// Adds or confirms reservations that a client holds.
    pub fn on_register(
        &mut self,
        from: &ids::InstanceId,
        incarnation: ids::Incarnation,
        reservations: Vec<message::Registration>,
        now: ids::Timestamp,
    ) {
        for reservation in reservations {
            let key = (incarnation, reservation.ticket);
            self.reaper.on_reserved(ids::request_id(incarnation, reservation.sequence));
            if let Some(known) = self.reservations.get_mut(&key) {
                (known.confirmed_at, known.active_at) = (now, now);
                continue;
            }
            self.prefill_queue.remove(key).or_else(|| self.decode_queue.remove(key));
            let reservation = Reservation {
                client: from.clone(),
                sequence: reservation.sequence,
                decode: reservation.decode,
                work_tokens: reservation.work_tokens,
                memory_pieces: reservation.memory_pieces,
                granted_at: now,
                confirmed_at: now,
                active_at: now,
            };
            self.add_reservation(key, reservation, now);
        }
    }

    /// Removes all reservations and queued requests of a process that is not a member any more.
    pub fn release_client(&mut self, incarnation: ids::Incarnation, now: ids::Timestamp) {
        let reservations = self.reservations.keys().filter(|key| key.0 == incarnation);
        let keys: Vec<_> = reservations.copied().collect();
        for key in keys {
            self.remove_reservation(key, now);
        }
        self.prefill_queue.remove_where(|entry| entry.key.0 == incarnation);
        self.decode_queue.remove_where(|entry| entry.key.0 == incarnation);
    }

    /// Shrinks the decode limit if more requests wait inside the engine than the reservations
    /// beyond its slots explain.
    pub fn on_load(&mut self, load: &scheduler::Load, now: ids::Timestamp) {
        let expected = self.hold_time.max_reservations(self.capacity.slots) - self.capacity.slots;
        if load.queued > expected && self.decode_reservations > 0 && self.prefill_work_tokens == 0 {
            self.decode_limit.on_engine_queue(now);
        }
    }

    /// Drops expired queue entries and reservations, and asks clients about unconfirmed ones.
    pub fn sweep(&mut self, now: ids::Timestamp, out: &mut outbox::Outbox<'_>) {
        let stale = |entry: &queue::Entry| entry.last_received + constants::QUEUE_ENTRY_TTL <= now;
        self.prefill_queue.remove_where(stale);
        self.decode_queue.remove_where(stale);
        let expired = |one: &Reservation| one.active_at + constants::RESERVATION_TTL <= now;
        let reservations = self.reservations.iter().filter(|(_, reservation)| expired(reservation));
        let keys: Vec<_> = reservations.map(|(key, _)| *key).collect();
        for key in keys {
            self.remove_reservation(key, now);
        }
        self.check_reservations(now, out);
    }

    /// Grants queued requests as long as there is capacity.
    pub fn grant(&mut self, now: ids::Timestamp, out: &mut outbox::Outbox<'_>) {
        if !self.is_granting(now) {
            return;
        }
        while let Some(entry) = self.pop_decode(now) {
            self.reserve(entry, true, now, out);
        }
        while let Some(entry) = self.pop_prefill(now) {
            self.reserve(entry, false, now, out);
        }
    }

    /// Returns when reservations may first be granted: after the handover grace.
    pub fn ready_at(&self) -> ids::Timestamp {
        self.ready_at
    }

    fn is_granting(&self, now: ids::Timestamp) -> bool {
        self.capacity.in_service && now >= self.ready_at && !self.health.is_ejected(now)
    }

    /// Returns whether a request can be granted without overtaking a queued one.
    fn can_grant_immediately(
        &self,
        entry: &queue::Entry,
        decode: bool,
        now: ids::Timestamp,
    ) -> bool {
        let (queue, free) = if decode {
            (&self.decode_queue, self.has_decode_capacity())
        } else {
            (&self.prefill_queue, self.has_prefill_capacity())
        };
        self.is_granting(now)
            && free
            && queue.is_empty()
            && entry.memory_pieces <= self.free_pieces()
    }

    fn pop_decode(&mut self, now: ids::Timestamp) -> Option<queue::Entry> {
        if self.decode_queue.is_empty() || !self.has_decode_capacity() {
            return None;
        }
        let free = self.free_pieces();
        self.decode_queue.pop(now, |entry| entry.memory_pieces <= free)
    }

    fn pop_prefill(&mut self, now: ids::Timestamp) -> Option<queue::Entry> {
        if self.prefill_queue.is_empty() || !self.has_prefill_capacity() {
            return None;
        }
        let free = self.free_pieces();
        self.prefill_queue.pop(now, |entry| entry.memory_pieces <= free)
    }

    fn has_decode_capacity(&self) -> bool {
        self.decode_reservations < self.decode_limit.current() && self.has_slot()
    }

    fn has_prefill_capacity(&self) -> bool {
        let ahead_ms = self.prefill_speed.time_ms(self.prefill_work_tokens);
        let is_full = self.prefill_work_tokens > 0 && ahead_ms > constants::PREFILL_WINDOW_MS;
        !is_full && self.has_slot()
    }

    fn has_slot(&self) -> bool {
        let running = self.reservations.len() as u32;
        let max_reservations = self.hold_time.max_reservations(self.capacity.slots);
        let allowed = self.health.allowance().unwrap_or(u32::MAX).min(max_reservations);
        running + self.reaper.foreign_requests() < allowed.max(1)
    }

    fn free_pieces(&self) -> u32 {
        self.capacity.memory_pieces.saturating_sub(self.used_pieces + self.reaper.foreign_pieces())
    }

    fn refusal(
        &self,
        request: &message::ReservationRequest,
        now: ids::Timestamp,
    ) -> Option<message::Refusal> {
        if !self.capacity.in_service {
            return Some(message::Refusal::Leaving);
        }
        if self.health.is_ejected(now) {
            return Some(message::Refusal::Ejected);
        }
        let queue = if request.decode { &self.decode_queue } else { &self.prefill_queue };
        (!queue.admits(&request.workspace)).then_some(message::Refusal::Full)
    }

    fn entry(
        &self,
        request: message::ReservationRequest,
        from: &ids::InstanceId,
        key: queue::Key,
        weight: u32,
        now: ids::Timestamp,
    ) -> queue::Entry {
        let slack = time::Duration::from_millis(request.slack_ms.max(0) as u64);
        let lead_time = time::Duration::from_secs_f64(self.lead_time_ms(&request) / 1_000.0);
        queue::Entry {
            key,
            client: from.clone(),
            sequence: request.sequence,
            workspace: request.workspace,
            weight,
            work_tokens: request.work_tokens,
            memory_pieces: request.memory_pieces.min(self.capacity.memory_pieces),
            arrived: now.saturating_sub(time::Duration::from_millis(request.age_ms.into())),
            start_by: (now + slack).saturating_sub(lead_time),
            last_received: now,
        }
    }

    /// Returns the time before the first token by which a request must be granted to meet its
    /// target, in milliseconds.
    fn lead_time_ms(&self, request: &message::ReservationRequest) -> f64 {
        let expected_ms = if request.decode {
            self.hold_time.before_decode_ms()
        } else {
            self.prefill_speed.time_ms(request.work_tokens.into())
        };
        expected_ms * constants::LEAD_TIME_FACTOR
    }

    fn reserve(
        &mut self,
        entry: queue::Entry,
        decode: bool,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        out.send(&entry.client, grant_message(entry.key));
        let reservation = Reservation {
            client: entry.client,
            sequence: entry.sequence,
            decode,
            work_tokens: entry.work_tokens,
            memory_pieces: entry.memory_pieces,
            granted_at: now,
            confirmed_at: now,
            active_at: now,
        };
        self.add_reservation(entry.key, reservation, now);
    }

    fn add_reservation(&mut self, key: queue::Key, reservation: Reservation, now: ids::Timestamp) {
        self.used_pieces += reservation.memory_pieces;
        if reservation.decode {
            self.decode_reservations += 1;
        } else {
            self.prefill_work_tokens += u64::from(reservation.work_tokens.max(1));
        }
        self.reservations.insert(key, reservation);
        self.prefill_speed.set_running(self.prefill_reservations(), now);
    }

    fn remove_reservation(&mut self, key: queue::Key, now: ids::Timestamp) {
        let Some(reservation) = self.reservations.remove(&key) else { return };
        self.used_pieces -= reservation.memory_pieces;
        if reservation.decode {
            self.decode_reservations -= 1;
        } else {
            self.prefill_work_tokens -= u64::from(reservation.work_tokens.max(1));
        }
        self.prefill_speed.set_running(self.prefill_reservations(), now);
    }

    fn prefill_reservations(&self) -> u32 {
        self.reservations.len() as u32 - self.decode_reservations
    }

    fn refuse_queue(&mut self, refusal: message::Refusal, out: &mut outbox::Outbox<'_>) {
        let mut refused = self.prefill_queue.remove_where(|_| true);
        refused.extend(self.decode_queue.remove_where(|_| true));
        for entry in refused {
            out.send(&entry.client, refuse_message(entry.key, refusal));
        }
    }

    fn wait_ms(&self, decode: bool, workspace: &ids::WorkspaceId, now: ids::Timestamp) -> u32 {
        let queue_ms = if decode {
            let limit = f64::from(self.decode_limit.current());
            self.hold_time.mean_ms() * self.decode_queue.requests_ahead(workspace) as f64 / limit
        } else {
            let ahead = self.prefill_queue.work_ahead_tokens(workspace) + self.prefill_work_tokens;
            self.prefill_speed.time_ms(ahead)
        };
        let grace_ms = self.ready_at.saturating_sub(now).as_millis() as f64;
        (queue_ms + grace_ms) as u32
    }
}

fn grant_message(key: queue::Key) -> message::Message {
    message::Message::Grant { addressee: message::addressee(key.0), ticket: key.1 }
}

/// Returns the answer to a reservation request that is refused.
pub fn refuse_message(key: queue::Key, refusal: message::Refusal) -> message::Message {
    message::Message::Refuse { addressee: message::addressee(key.0), ticket: key.1, refusal }
}
