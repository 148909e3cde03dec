//! Compares what an engine holds with the places, and cancels what nobody awaits.

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::assignment;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;
use crate::core::scheduler::outbox;
use crate::core::scheduler::server;

/// A request that the engine holds without a place.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    since: ids::Timestamp,
    pieces: u32,
    asked: bool,
}

/// The held requests of one server that have no place.
#[derive(Debug, Default)]
pub struct Reaper {
    suspects: collections::Map<ids::RequestId, Suspect>,
    foreign_requests: u32,
    foreign_pieces: u32,
}

impl Reaper {
    /// Returns how many requests run without a place beyond the grace time.
    pub fn foreign_requests(&self) -> u32 {
        self.foreign_requests
    }

    /// Returns the memory that requests without a place hold beyond the grace time.
    pub fn foreign_pieces(&self) -> u32 {
        self.foreign_pieces
    }

    /// Forgets a suspicion, since the request has a place.
    pub fn found(&mut self, request: ids::RequestId) {
        if self.suspects.remove(&request).is_some() {
            self.count_foreign();
        }
    }

    fn take(&mut self, held: &[scheduler::HeldRequest], placed: &collections::Set<ids::RequestId>) {
        let listed: collections::Set<_> = held.iter().map(|held| held.request).collect();
        self.suspects.retain(|request, _| listed.contains(request) && !placed.contains(request));
    }

    fn count_foreign(&mut self) {
        let asked = self.suspects.values().filter(|suspect| suspect.asked);
        let (requests, pieces) = asked.fold((0, 0), |(n, sum), s| (n + 1, sum + s.pieces));
        self.foreign_requests = requests;
        self.foreign_pieces = pieces;
    }
}

/// How the process that issued a request stands.
enum Issuer<'a> {
    Live(&'a ids::InstanceId),
    Gone,
    NeverSeen,
}

impl server::Server {
    /// Compares the engine's list with the places.
    ///
    /// A request of a process that is no longer a member is canceled after the grace time. A
    /// request of a live process without a place here is canceled only when that process says so.
    pub fn listed(
        &mut self,
        held: &[scheduler::HeldRequest],
        assignment: &assignment::Assignment,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let placed = self.mark_listed(held, now);
        self.reaper.take(held, &placed);
        if now < self.ready_at {
            return;
        }
        let unplaced = held.iter().filter(|held| !placed.contains(&held.request));
        for held in unplaced {
            self.suspect(held, assignment, now, out);
        }
        self.reaper.count_foreign();
    }

    /// Acts on a client's statement that it holds no place for a request here.
    pub fn unheld(
        &mut self,
        incarnation: ids::Incarnation,
        sequence: u64,
        live: bool,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let stale = |key: &(u64, u64), place: &server::Place| {
            key.0 == incarnation
                && place.sequence == sequence
                && place.since + constants::CHECK_AFTER <= now
        };
        let places = self.places.iter().filter(|(key, place)| stale(key, place));
        let keys: Vec<_> = places.map(|(key, _)| *key).collect();
        for key in keys {
            self.free(key, now);
        }
        let request = ids::request_id(incarnation, sequence);
        let Some(suspect) = self.reaper.suspects.get(&request) else { return };
        let patient = live && suspect.since + constants::ORPHAN_LONG_GRACE > now;
        if !patient {
            self.cancel(request, out);
        }
    }

    /// Asks clients about places that neither they nor the engine have confirmed for a while, and
    /// more rarely about those that only the engine has confirmed.
    pub(super) fn check_places(&mut self, now: ids::Timestamp, out: &mut outbox::Outbox<'_>) {
        let mut doubtful: collections::Map<_, Vec<u64>> = collections::Map::default();
        for (key, place) in &self.places {
            let idle = place.alive + constants::CHECK_AFTER <= now;
            if idle || place.confirmed + constants::CHECK_LISTED_AFTER <= now {
                let client = (key.0, place.client.clone());
                doubtful.entry(client).or_default().push(place.sequence);
            }
        }
        for ((incarnation, client), mut sequences) in doubtful {
            sequences.sort_unstable();
            sequences.dedup();
            let server = self.id.clone();
            let addressee = message::addressee(incarnation);
            out.send(&client, message::Message::Check { addressee, server, sequences });
        }
    }

    fn mark_listed(
        &mut self,
        held: &[scheduler::HeldRequest],
        now: ids::Timestamp,
    ) -> collections::Set<ids::RequestId> {
        let listed: collections::Set<_> = held.iter().map(|held| held.request).collect();
        let mut placed = collections::Set::default();
        for (key, place) in &mut self.places {
            let request = ids::request_id(key.0, place.sequence);
            placed.insert(request);
            if listed.contains(&request) {
                place.alive = now;
            }
        }
        placed
    }

    fn suspect(
        &mut self,
        held: &scheduler::HeldRequest,
        assignment: &assignment::Assignment,
        now: ids::Timestamp,
        out: &mut outbox::Outbox<'_>,
    ) {
        let first = Suspect { since: now, pieces: held.pieces, asked: false };
        let suspect = self.reaper.suspects.entry(held.request).or_insert(first);
        if suspect.since + constants::ORPHAN_GRACE > now {
            return;
        }
        suspect.asked = true;
        let long = suspect.since + constants::ORPHAN_LONG_GRACE <= now;
        match issuer(held.request, assignment) {
            Issuer::Live(client) => self.query(held.request, client, out),
            Issuer::Gone => self.cancel(held.request, out),
            Issuer::NeverSeen if long => self.cancel(held.request, out),
            Issuer::NeverSeen => {}
        }
    }

    fn query(
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
        return Issuer::Live(client);
    }
    if assignment.was_member(incarnation) { Issuer::Gone } else { Issuer::NeverSeen }
}
