//! Compares the requests that an engine holds with the reservations, and cancels orphaned ones.

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::assignment;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;
use crate::core::scheduler::server;

/// A request that the engine holds without a reservation. It may be an orphan, or its client may
/// not have registered the reservation yet.
#[derive(Debug, Clone, Copy)]
struct OrphanCandidate {
    first_listed_at: ids::Timestamp,
    pieces: u32,
    past_grace: bool,
}

/// The requests held by one engine that have no reservation.
#[derive(Debug, Default)]
pub struct Reaper {
    candidates: collections::Map<ids::RequestId, OrphanCandidate>,
    foreign_requests: u32,
    foreign_pieces: u32,
}

impl Reaper {
    /// Returns how many requests the engine has held without a reservation beyond the grace time.
    pub fn foreign_requests(&self) -> u32 {
        self.foreign_requests
    }

    /// Returns the KV cache memory of these requests, in pieces.
    pub fn foreign_pieces(&self) -> u32 {
        self.foreign_pieces
    }

    /// Stops tracking a request, since it has a reservation.
    pub fn on_reserved(&mut self, request: ids::RequestId) {
        if self.candidates.remove(&request).is_some() {
            self.count_foreign();
        }
    }

    fn retain_listed(
        &mut self,
        held: &[scheduler::HeldRequest],
        reserved: &collections::Set<ids::RequestId>,
    ) {
        let listed: collections::Set<_> = held.iter().map(|held| held.request).collect();
        self.candidates
            .retain(|request, _| listed.contains(request) && !reserved.contains(request));
    }

    fn count_foreign(&mut self) {
        let past_grace = self.candidates.values().filter(|candidate| candidate.past_grace);
        let (requests, pieces) = past_grace.fold((0, 0), |(n, sum), s| (n + 1, sum + s.pieces));
        self.foreign_requests = requests;
        self.foreign_pieces = pieces;
    }
}

/// The process that issued a request, by the membership view.
enum Issuer<'a> {
    Member(&'a ids::InstanceId),
    FormerMember,
    Unknown,
}

impl server::Server {
    /// Compares the engine's list of held requests with the reservations.
    ///
    /// Without a reservation, a request of a process that is not a member any more is canceled
    /// after the grace time; a request of a member is canceled only when that member says that it
    /// is not held; a request of a process that was never a member is canceled after the long grace
    /// time.
    pub fn on_held_requests(
        &mut self,
        held: &[scheduler::HeldRequest],
        assignment: &assignment::Assignment,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let reserved = self.mark_active(held, now);
        self.reaper.retain_listed(held, &reserved);
        if now < self.ready_at {
            return;
        }
        let unreserved = held.iter().filter(|held| !reserved.contains(&held.request));
        for held in unreserved {
            self.track_orphan(held, assignment, now, out);
        }
        self.reaper.count_foreign();
    }

    /// Removes a reservation that its client does not hold, and cancels the request unless the
    /// client says that it is alive and the long grace time has not passed.
    pub fn on_not_held(
        &mut self,
        incarnation: ids::Incarnation,
        sequence: u64,
        live: bool,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let is_stale = |key: &(u64, u64), reservation: &server::Reservation| {
            key.0 == incarnation
                && reservation.sequence == sequence
                && reservation.granted_at + constants::CHECK_AFTER <= now
        };
        let reservations =
            self.reservations.iter().filter(|(key, reservation)| is_stale(key, reservation));
        let keys: Vec<_> = reservations.map(|(key, _)| *key).collect();
        for key in keys {
            self.remove_reservation(key, now);
        }
        let request = ids::request_id(incarnation, sequence);
        let Some(candidate) = self.reaper.candidates.get(&request) else { return };
        let within_grace = live && candidate.first_listed_at + constants::ORPHAN_LONG_GRACE > now;
        if !within_grace {
            self.cancel(request, out);
        }
    }

    /// Asks clients about reservations that neither they nor the engine have confirmed lately, and
    /// after a longer time about those that only the engine has confirmed.
    pub(super) fn check_reservations(&mut self, now: ids::Timestamp, out: &mut outbox::Outbox<'_>) {
        let mut unconfirmed: collections::Map<_, Vec<u64>> = collections::Map::default();
        for (key, reservation) in &self.reservations {
            let is_idle = reservation.active_at + constants::CHECK_AFTER <= now;
            if is_idle || reservation.confirmed_at + constants::CHECK_LISTED_AFTER <= now {
                let client = (key.0, reservation.client.clone());
                unconfirmed.entry(client).or_default().push(reservation.sequence);
            }
        }
        for ((incarnation, client), mut sequences) in unconfirmed {
            sequences.sort_unstable();
            sequences.dedup();
            let server = self.id.clone();
            let addressee = message::addressee(incarnation);
            out.send(&client, message::Message::Check { addressee, server, sequences });
        }
    }

    fn mark_active(
        &mut self,
        held: &[scheduler::HeldRequest],
        now: ids::Timestamp,
    ) -> collections::Set<ids::RequestId> {
        let listed: collections::Set<_> = held.iter().map(|held| held.request).collect();
        let mut reserved = collections::Set::default();
        for (key, reservation) in &mut self.reservations {
            let request = ids::request_id(key.0, reservation.sequence);
            reserved.insert(request);
            if listed.contains(&request) {
                reservation.active_at = now;
            }
        }
        reserved
    }

    fn track_orphan(
        &mut self,
        held: &scheduler::HeldRequest,
        assignment: &assignment::Assignment,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let first =
            OrphanCandidate { first_listed_at: now, pieces: held.pieces, past_grace: false };
        let candidate = self.reaper.candidates.entry(held.request).or_insert(first);
        if candidate.first_listed_at + constants::ORPHAN_GRACE > now {
            return;
        }
        candidate.past_grace = true;
        let past_long_grace = candidate.first_listed_at + constants::ORPHAN_LONG_GRACE <= now;
        match issuer(held.request, assignment) {
            Issuer::Member(client) => self.send_check(held.request, client, out),
            Issuer::FormerMember => self.cancel(held.request, out),
            Issuer::Unknown if past_long_grace => self.cancel(held.request, out),
            Issuer::Unknown => {}
        }
    }

    fn send_check(
        &self,
        request: ids::RequestId,
        client: &ids::InstanceId,
        out: &mut outbox::Outbox<'_>,
    ) {
        let addressee = message::addressee(ids::incarnation_of(request));
        let sequences = vec![request as u64];
        let server = self.id.clone();
        out.send(client, message::Message::Check { addressee, server, sequences });
    }

    fn cancel(&mut self, request: ids::RequestId, out: &mut outbox::Outbox<'_>) {
        let server = self.id.clone();
        out.effects.push(scheduler::Effect::Cancel { server, request });
    }
}

fn issuer(request: ids::RequestId, assignment: &assignment::Assignment) -> Issuer<'_> {
    let incarnation = ids::incarnation_of(request);
    if let Some(client) = assignment.member(incarnation) {
        return Issuer::Member(client);
    }
    if assignment.was_member(incarnation) { Issuer::FormerMember } else { Issuer::Unknown }
}
