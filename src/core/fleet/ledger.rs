//! The work of other instances at servers, request by request.
//!
//! An owner of a service enters what it grants at once; digests of the holders confirm or correct
//! it, so that a lost message or a new owner costs a moment of a wrong view.

use std::time;

use crate::core::collections;
use crate::core::fleet::call;
use crate::core::fleet::servers;
use crate::core::ids;

/// How long an entry stands that its holder does not confirm: longer than digests are apart.
const UNCONFIRMED_FOR: time::Duration = time::Duration::from_millis(2_000);

/// How long an ended ticket is remembered, so that an older digest does not enter it again.
const ENDED_FOR: time::Duration = time::Duration::from_millis(3_000);

/// An attempt of a request at an instance.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Ticket {
    /// The instance that serves the request.
    pub holder: ids::Incarnation,
    /// The request's number there.
    pub request: call::RequestNumber,
    /// Counts the places that were asked for it.
    pub attempt: u32,
}

/// Places at servers with the load that is counted there.
pub type Places = Vec<(ids::ServerId, servers::Load)>;

#[derive(Debug, Clone)]
struct Entry {
    places: Places,
    since: ids::Timestamp,
    /// A digest of the holder has listed it; the next one that does not tells of its end.
    is_confirmed: bool,
}

/// The work of all other instances.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: collections::Map<Ticket, Entry>,
    ended: collections::Map<Ticket, ids::Timestamp>,
}

impl Ledger {
    /// Enters work, or replaces it.
    pub fn enter(
        &mut self,
        ticket: Ticket,
        places: Places,
        directory: &mut servers::Directory,
        now: ids::Timestamp,
    ) {
        for (server, load) in &places {
            directory.add_others(server, *load);
        }
        let entry = Entry { places, since: now, is_confirmed: false };
        if let Some(old) = self.entries.insert(ticket, entry) {
            subtract(&old.places, directory);
        }
    }

    /// Removes work that has ended.
    pub fn end(&mut self, ticket: Ticket, directory: &mut servers::Directory, now: ids::Timestamp) {
        self.ended.insert(ticket, now);
        if let Some(entry) = self.entries.remove(&ticket) {
            subtract(&entry.places, directory);
        }
    }

    /// Returns the places of a ticket.
    pub fn places(&self, ticket: &Ticket) -> Option<&Places> {
        self.entries.get(ticket).map(|entry| &entry.places)
    }

    /// Takes the complete list of a holder's work.
    pub fn reconcile(
        &mut self,
        holder: ids::Incarnation,
        work: &[(Ticket, Places)],
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
                    && (entry.is_confirmed || now >= entry.since + UNCONFIRMED_FOR)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in stale {
            self.end(ticket, directory, now);
        }
        for (ticket, places) in work {
            if !self.ended.contains_key(ticket) && self.places(ticket) != Some(places) {
                self.enter(*ticket, places.clone(), directory, now);
            }
            if let Some(entry) = self.entries.get_mut(ticket) {
                entry.is_confirmed = true;
            }
        }
    }

    /// Removes the work of holders that `is_live` denies.
    pub fn retain_holders<F: Fn(ids::Incarnation) -> bool>(
        &mut self,
        is_live: F,
        directory: &mut servers::Directory,
        now: ids::Timestamp,
    ) {
        let gone: Vec<_> =
            self.entries.keys().filter(|ticket| !is_live(ticket.holder)).copied().collect();
        for ticket in gone {
            if let Some(entry) = self.entries.remove(&ticket) {
                subtract(&entry.places, directory);
            }
        }
        self.ended.retain(|_, ended| now < *ended + ENDED_FOR);
    }

    /// Counts all work anew, for servers that were listed after it was entered.
    pub fn recount(&self, directory: &mut servers::Directory) {
        directory.clear_others();
        for entry in self.entries.values() {
            for (server, load) in &entry.places {
                directory.add_others(server, *load);
            }
        }
    }
}

fn subtract(places: &Places, directory: &mut servers::Directory) {
    for (server, load) in places {
        directory.subtract_others(server, *load);
    }
}

#[cfg(test)]
mod tests;
