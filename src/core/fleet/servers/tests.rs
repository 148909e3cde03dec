//! Tests of the list of servers against a store that is restored from older copies.

use std::time;

use bytes::Bytes;
use proptest::prelude::*;

use super::Directory;
use super::Entry;
use super::EntryChange;
use super::SoftwareVersion;
use super::Source;
use crate::core::collections;
use crate::core::fleet::streams;
use crate::core::ids;

const SERVERS: usize = 4;
const HEARTBEAT: time::Duration = time::Duration::from_millis(1_200);
/// The time after a removal or draining within which a server must not be used any more.
const REMOVAL_BOUND: time::Duration = time::Duration::from_secs(4);

/// A store with one key per server.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    log: Vec<(usize, Option<bool>)>,
}

impl Store {
    fn write(&mut self, server: usize, is_draining: Option<bool>) {
        self.log.push((server, is_draining));
    }

    fn change(&self, index: usize) -> EntryChange {
        let (server, is_draining) = self.log[index];
        let id = Bytes::from(format!("i-{server}"));
        let offset = ids::store_position(self.era, index as u64);
        match is_draining {
            Some(is_draining) => EntryChange::Put(entry(id, is_draining, offset)),
            None => EntryChange::Removed { id, offset },
        }
    }

    /// Returns the newest entry of each listed server.
    fn newest(&self) -> Vec<EntryChange> {
        let last = |server| self.log.iter().rposition(|(other, _)| *other == server);
        let indexes = (0..SERVERS).filter_map(last);
        indexes.filter(|index| self.log[*index].1.is_some()).map(|it| self.change(it)).collect()
    }
}

fn entry(id: ids::ServerId, is_draining: bool, offset: ids::StorePosition) -> Entry {
    Entry {
        id,
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".to_string(),
        slots: 1,
        is_draining,
        stage: None,
        cold_ms: 0,
        lacks_cold_time: false,
        born_ms: 1,
        software_version: Some("v1".into()),
        offset,
    }
}

/// The instance that follows the store.
#[derive(Default)]
struct Reader {
    directory: Directory,
    era: u64,
    next: Option<usize>,
}

impl Reader {
    fn read(&mut self, store: &Store, now: ids::Timestamp) {
        let is_restored = self.era != store.era;
        if is_restored {
            self.next = None;
        }
        match self.next {
            Some(next) => {
                for index in next..store.log.len() {
                    self.directory.apply(store.change(index), Source::Steady, now);
                }
            }
            None => {
                let source = if is_restored { Source::Restored } else { Source::Steady };
                let changes = store.newest();
                let listed: collections::Set<_> = changes
                    .iter()
                    .map(|change| match change {
                        EntryChange::Put(entry) => entry.id.clone(),
                        EntryChange::Removed { id, .. } => id.clone(),
                    })
                    .collect();
                for change in changes {
                    self.directory.apply(change, source, now);
                }
                let end = ids::store_position(store.era, store.log.len() as u64);
                self.directory.retain_listed(&listed, end.saturating_sub(1), source, now);
            }
        }
        self.era = store.era;
        self.next = Some(store.log.len());
        self.directory.delete_expired(now);
    }

    fn uses(&self, server: usize, now: ids::Timestamp) -> bool {
        let id = Bytes::from(format!("i-{server}"));
        self.directory.get(&id).is_some_and(|server| server.is_usable(now))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default() })]

    /// Whatever the store forgets, no server is used 4 s after it was seen to drain or leave, and
    /// each server that is alive is used within two heartbeats.
    #[test]
    fn a_restored_store_brings_no_server_back_and_keeps_none_out(
        steps in proptest::collection::vec((0_u8..6, 0_usize..SERVERS, 0_usize..12), 1..40),
    ) {
        let mut store = Store::default();
        let mut reader = Reader::default();
        let mut now = time::Duration::ZERO;
        // Whether each server is alive, and since when it is not.
        let mut alive = [true; SERVERS];
        let mut left = [time::Duration::ZERO; SERVERS];
        for server in 0..SERVERS {
            store.write(server, Some(false));
        }
        reader.read(&store, now);
        for (action, server, amount) in steps {
            match action {
                0 if alive[server] => {
                    alive[server] = false;
                    left[server] = now;
                    store.write(server, if amount % 2 == 0 { Some(true) } else { None });
                }
                1 if alive[server] => store.write(server, Some(false)),
                2 => {
                    let kept = store.log.len().saturating_sub(amount);
                    store.log.truncate(kept);
                    store.era += 1;
                }
                _ => {}
            }
            now += HEARTBEAT / 4;
            reader.read(&store, now);
            for (server, is_alive) in alive.into_iter().enumerate() {
                let is_overdue = !is_alive && now > left[server] + REMOVAL_BOUND;
                prop_assert!(!(is_overdue && reader.uses(server, now)), "{server} left: {store:?}");
            }
        }
        for _ in 0..2 {
            for server in (0..SERVERS).filter(|server| alive[*server]) {
                store.write(server, Some(false));
            }
            now += HEARTBEAT;
            reader.read(&store, now);
        }
        for (server, is_alive) in alive.into_iter().enumerate() {
            prop_assert_eq!(reader.uses(server, now), is_alive, "{}: {:?}", server, store);
        }
    }
}

fn put(id: &'static str, version: Option<&str>, offset: ids::StorePosition) -> EntryChange {
    let version = version.map(SoftwareVersion::from);
    let id = Bytes::from_static(id.as_bytes());
    EntryChange::Put(Entry { software_version: version, ..entry(id, false, offset) })
}

fn versions(directory: &Directory, now: ids::Timestamp) -> Vec<&str> {
    let mut versions: Vec<_> = directory.versions(&"s".into(), now).map(|it| &**it).collect();
    versions.sort_unstable();
    versions
}

#[test]
fn the_versions_of_former_servers_are_remembered_for_the_retention_of_streams() {
    let now = time::Duration::from_secs(1);
    let mut directory = Directory::default();
    directory.apply(put("one", Some("v1"), 1), Source::Steady, now);
    directory.apply(put("other", Some("v1"), 2), Source::Steady, now);
    directory.apply(put("one", Some("v2"), 3), Source::Steady, now);
    assert_eq!(versions(&directory, now), ["v1", "v1", "v2"], "one server was replaced");
    let removed = EntryChange::Removed { id: Bytes::from_static(b"other"), offset: 4 };
    directory.apply(removed, Source::Steady, now);
    assert_eq!(versions(&directory, now + streams::RETENTION), ["v1", "v2"]);
    let later = now + streams::RETENTION + time::Duration::from_millis(1);
    assert_eq!(versions(&directory, later), ["v2"]);
}

#[test]
fn a_version_that_a_peer_does_not_know_is_filled_in_and_not_lost() {
    let now = time::Duration::ZERO;
    let mut directory = Directory::default();
    directory.apply(put("one", None, 1), Source::Steady, now);
    directory.apply(put("one", Some("v1"), 1), Source::Steady, now);
    assert_eq!(versions(&directory, now), ["v1"]);
    directory.apply(put("one", None, 2), Source::Steady, now);
    assert_eq!(versions(&directory, now), ["v1"]);
}

#[test]
fn a_server_that_drains_between_a_restore_and_the_next_reading_is_not_used() {
    let now = time::Duration::ZERO;
    let id = Bytes::from_static(b"one");
    let mut directory = Directory::default();
    directory.apply(put("one", Some("v1"), 9), Source::Steady, now);
    let restored = |is_draining, offset| {
        let offset = ids::store_position(1, offset);
        EntryChange::Put(entry(Bytes::from_static(b"one"), is_draining, offset))
    };
    assert!(directory.apply(restored(true, 7), Source::Restored, now));
    assert!(!directory.get(&id).expect("it is listed").is_usable(now));
    // An older copy may also hold the server's entry from before it drained.
    directory.apply(restored(false, 6), Source::Restored, now);
    assert!(!directory.get(&id).expect("it is listed").is_usable(now));
}

#[test]
fn an_older_copy_that_a_peer_reads_does_not_make_a_drained_server_usable_again() {
    let now = time::Duration::ZERO;
    let id = Bytes::from_static(b"one");
    let in_copy = || {
        let offset = ids::store_position(1, 3);
        EntryChange::Put(entry(Bytes::from_static(b"one"), false, offset))
    };
    let draining = || EntryChange::Put(entry(Bytes::from_static(b"one"), true, 9));
    let removed = EntryChange::Removed { id: Bytes::from_static(b"one"), offset: 10 };
    let uses = |directory: &Directory| directory.get(&id).is_some_and(|it| it.is_usable(now));

    // A peer that starts after the restore sends what it has read, as any other change.
    for source in [Source::Steady, Source::AfterOutage] {
        let mut drains = Directory::default();
        drains.apply(put("one", Some("v1"), 8), Source::Steady, now);
        drains.apply(draining(), Source::Steady, now);
        drains.apply(in_copy(), source, now);
        assert!(!uses(&drains), "it drains");

        let mut has_left = Directory::default();
        has_left.apply(draining(), Source::Steady, now);
        has_left.apply(removed.clone(), Source::Steady, now);
        has_left.apply(in_copy(), source, now);
        assert!(!uses(&has_left), "it has left");

        let offset = ids::store_position(1, 4);
        let restarted = Entry { born_ms: 2, ..entry(id.clone(), false, offset) };
        has_left.apply(EntryChange::Put(restarted), source, now);
        assert!(uses(&has_left), "its next incarnation is ready");
    }
}
