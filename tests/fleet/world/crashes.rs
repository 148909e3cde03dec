//! The ends of simulated servers, and their return under another id.

use super::*;

/// The time after which the entry of a server that has ended is removed.
const ENTRY_LAPSES_AFTER: Duration = Duration::from_millis(2_900);

/// The time after which a server that has ended is back.
const BACK_AFTER: Duration = Duration::from_millis(3_500);

impl World {
    /// Schedules the arrival of a stream with the given parts in its prompt.
    pub fn arrive_with_parts(
        &mut self,
        after: Duration,
        instance: usize,
        shared_parts: Vec<call::PartId>,
    ) {
        let (host, tokens) = ("stream", Some(PROMPT));
        let call = Arrival { host, tokens, shared_parts, ..Arrival::default() };
        self.schedule(after, Action::Arrive { instance, call });
    }

    /// Schedules the arrival of a request that is the same as others with this content.
    pub fn arrive_with_content(
        &mut self,
        after: Duration,
        instance: usize,
        host: &'static str,
        content: u64,
        shared_parts: Vec<call::PartId>,
    ) {
        let tokens = (host != "query").then_some(PROMPT);
        let call = Arrival { host, tokens, shared_parts, content, ..Arrival::default() };
        self.schedule(after, Action::Arrive { instance, call });
    }

    /// Returns whether a request ends each server that begins to run it.
    pub(super) fn crashes_servers(&self, instance: usize, request: u64) -> bool {
        let record = &self.records[&(instance, request)];
        self.crashing_contents.contains(&record.content)
            || self.crashing_parts.iter().any(|part| record.shared_parts.contains(part))
    }

    /// Applies an event at an instance.
    pub fn apply_at(&mut self, instance: usize, event: fleet::Event) {
        self.apply(instance, event);
    }

    /// Ends a server for a reason of its own.
    pub fn crash_server(&mut self, after: Duration, server: &str) {
        let server = Bytes::from(server.to_string());
        self.schedule(after, Action::Crash { server });
    }

    pub(super) fn crash(&mut self, server: &Bytes) {
        let Some(backend) = self.backends.get_mut(server) else { return };
        if backend.health == Health::Unreachable {
            return;
        }
        backend.health = Health::Unreachable;
        self.crashes.push((self.now, server.clone()));
        let is_lost = |record: &Record| record.is_in_flight && record.last_server == *server;
        let lost = self.records.iter().filter(|(_, record)| is_lost(record));
        let mut lost: Vec<_> = lost.map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for (instance, request) in lost {
            self.free_memory(instance, request);
            let record = self.record(instance, request);
            record.sends += 1;
            let sends = record.sends;
            let outcome = if record.begun_at.last() == Some(server) {
                fleet::Outcome::Truncated
            } else {
                fleet::Outcome::ConnectionLost
            };
            self.schedule(LATENCY, Action::Progress { instance, request, sends, outcome });
        }
        let Some(entry) = self.entries.get(server).cloned() else { return };
        self.store_end += 2;
        let offset = self.store_end;
        let change = servers::EntryChange::Removed { id: server.clone(), offset: offset - 1 };
        self.schedule(ENTRY_LAPSES_AFTER, Action::List { change });
        let name = String::from_utf8_lossy(server);
        let base = name.split('+').next().unwrap_or_default();
        let id = Bytes::from(format!("{base}+{offset}"));
        let entry = servers::Entry { id, offset, born_ms: offset, ..entry };
        self.schedule(BACK_AFTER, Action::Return { entry });
    }

    pub(super) fn return_server(&mut self, entry: servers::Entry) {
        self.backends.insert(entry.id.clone(), Backend::new(&entry));
        self.entries.insert(entry.id.clone(), entry.clone());
        self.act(Action::List { change: servers::EntryChange::Put(entry) });
    }

    /// Returns the entries of the servers that run.
    pub fn running(&self) -> Vec<servers::Entry> {
        let runs = |id: &Bytes| self.backends[id].health != Health::Unreachable;
        let mut running: Vec<_> =
            self.entries.values().filter(|entry| runs(&entry.id)).cloned().collect();
        running.sort_by(|one, other| one.id.cmp(&other.id));
        running
    }
}
