//! The requests of other instances at servers, with their load.
//!
//! The owner of a service enters the reservations that it grants immediately. Digests of the
//! holders confirm or correct them, so that a lost message or a change of the owner makes the view
//! wrong for a short time only.

use std::time;

use crate::core::collections;
use crate::core::fleet::call;
use crate::core::fleet::servers;
use crate::core::ids;

/// The time for which an entry stands without a confirmation by its holder; longer than the
/// interval of digests.
const CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// The time for which an ended ticket is remembered, so that an older digest does not enter it
/// again.
const ENDED_RETENTION: time::Duration = time::Duration::from_millis(3_000);

/// Identifies one attempt of a request at an instance.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Ticket {
    /// The instance that received the request.
    pub holder: ids::Incarnation,
    /// The number of the request at that instance.
    pub request: call::RequestNumber,
    /// The number of the attempt; each charge and reservation request gets a new one.
    pub attempt: u32,
}

/// Servers with the load that is reserved at each.
pub type Reservations = Vec<(ids::ServerId, servers::Load)>;

#[derive(Debug, Clone)]
struct Entry {
    reservations: Reservations,
    entered: ids::Timestamp,
    /// Whether a digest of the holder has listed it. The next digest without it then ends it.
    is_confirmed: bool,
}

/// The load by all requests of other instances.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: collections::Map<Ticket, Entry>,
    ended: collections::Map<Ticket, ids::Timestamp>,
}

impl Ledger {
    /// Adds the reservations of a ticket, or replaces them.
    pub fn insert(
        &mut self,
        ticket: Ticket,
        reservations: Reservations,
        directory: &mut servers::Directory,
        now: ids::Timestamp,
    ) {
        for (server, load) in &reservations {
            directory.add_others(server, *load);
        }
        let entry = Entry { reservations, entered: now, is_confirmed: false };
        if let Some(old) = self.entries.insert(ticket, entry) {
            subtract(&old.reservations, directory);
        }
    }

    /// Removes the reservations of a ticket that has ended.
    pub fn end(&mut self, ticket: Ticket, directory: &mut servers::Directory, now: ids::Timestamp) {
        self.ended.insert(ticket, now);
        if let Some(entry) = self.entries.remove(&ticket) {
            subtract(&entry.reservations, directory);
        }
    }

    /// Returns the reservations of a ticket.
    pub fn reservations(&self, ticket: &Ticket) -> Option<&Reservations> {
        self.entries.get(ticket).map(|entry| &entry.reservations)
    }

    /// Applies the complete list of a holder's requests.
    pub fn reconcile(
        &mut self,
        holder: ids::Incarnation,
        work: &[(Ticket, Reservations)],
        directory: &mut servers::Directory,
        now: ids::Timestamp,
    ) {
        let listed: collections::Set<_> = work.iter().map(|(ticket, _)| *ticket).collect();
        let stale: Vec<_> = self
            .entries
            .iter()
            .filter(|(ticket, entry)| {
                ticket.holder == holder
                    && !listed.contains(*ticket)
                    && (entry.is_confirmed || now >= entry.entered + CONFIRMATION_TIMEOUT)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in stale {
            self.end(ticket, directory, now);
        }
        for (ticket, reservations) in work {
            if !self.ended.contains_key(ticket) && self.reservations(ticket) != Some(reservations) {
                self.insert(*ticket, reservations.clone(), directory, now);
            }
            if let Some(entry) = self.entries.get_mut(ticket) {
                entry.is_confirmed = true;
            }
        }
    }

    /// Removes the reservations of holders for which `is_live` returns `false`.
    pub fn retain_holders<F: Fn(ids::Incarnation) -> bool>(
        &mut self,
        is_live: F,
        directory: &mut servers::Directory,
        now: ids::Timestamp,
    ) {
        let orphaned: Vec<_> =
            self.entries.keys().filter(|ticket| !is_live(ticket.holder)).copied().collect();
        for ticket in orphaned {
            if let Some(entry) = self.entries.remove(&ticket) {
                subtract(&entry.reservations, directory);
            }
        }
        self.ended.retain(|_, ended| now < *ended + ENDED_RETENTION);
    }

    /// Counts all load again, for servers that were listed after it was entered.
    pub fn recount(&self, directory: &mut servers::Directory) {
        directory.clear_others();
        for entry in self.entries.values() {
            for (server, load) in &entry.reservations {
                directory.add_others(server, *load);
            }
        }
    }
}

fn subtract(reservations: &Reservations, directory: &mut servers::Directory) {
    for (server, load) in reservations {
        directory.subtract_others(server, *load);
    }
}

#[cfg(test)]
mod tests;
