use std::time::Duration;

use bytes::Bytes;

use super::*;
use crate::core::fleet::server_limits;
use crate::core::fleet::servers::Directory;
use crate::core::fleet::servers::Entry;
use crate::core::fleet::servers::EntryChange;
use crate::core::fleet::servers::Source;

const FLEET: server_limits::Pacing = server_limits::Pacing::Fleet;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(cold_ms: u32, born_ms: u64, offset: u64) -> Entry {
    Entry {
        id: Bytes::from("s"),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".to_string(),
        slots: 1,
        is_draining: false,
        stage: None,
        cold_ms,
        lacks_cold_time: false,
        born_ms,
        software_version: None,
        offset,
    }
}

fn id() -> ids::ServerId {
    Bytes::from("s")
}

/// Creates a directory with a bound of 4 requests a second and cold times of 5 s.
fn bounded(is_first_start: bool) -> Directory {
    let mut directory = Directory::default();
    directory.set_first_start(is_first_start);
    let bound = catalog::ColdBound { start: ms(5_000), per_s: 4.0 };
    directory.set_cold_bounds(&[catalog::Service {
        name: "desk".into(),
        engine: None,
        cold_bound: Some(bound),
    }]);
    directory
}

/// Applies an entry; returns whether the list has changed, and the bound then.
fn put(directory: &mut Directory, entry: Entry, now: ids::Timestamp) -> (bool, Option<f64>) {
    let changed = directory.apply(EntryChange::Put(entry), Source::Steady, now);
    directory.refresh_cold(&id(), || 0.5, now);
    (changed, directory.get(&id()).expect("it is known").cold_per_s())
}

#[test]
fn the_bound_ends_with_the_cold_time_and_returns_with_a_new_figure() {
    let mut directory = bounded(true);
    assert_eq!(put(&mut directory, entry(2_000, 1, 1), ms(0)), (true, Some(4.0)));
    assert_eq!(put(&mut directory, entry(1_000, 1, 2), ms(1_000)), (false, Some(4.0)));
    assert!(directory.no_longer_cold(ms(1_999)).is_empty());
    assert_eq!(directory.no_longer_cold(ms(2_000)), [id()]);
    let change = directory.refresh_cold(&id(), || 0.5, ms(2_000)).expect("it is warm");
    assert_eq!((change.bound_per_s, change.age), (None, ms(1_000)));
    assert!(directory.get(&id()).expect("it is known").allowance().is_none());
    assert_eq!(put(&mut directory, entry(0, 1, 3), ms(3_000)), (false, None));
    // Peers are notified of a server that turns cold while in use.
    assert_eq!(put(&mut directory, entry(3_000, 1, 4), ms(4_000)), (true, Some(4.0)));
    assert_eq!(put(&mut directory, entry(0, 1, 5), ms(5_000)), (false, None));
}

#[test]
fn a_start_without_a_figure_counts_as_cold_unless_the_fleet_starts_for_the_first_time() {
    let unknown = |born_ms, offset| Entry { lacks_cold_time: true, ..entry(0, born_ms, offset) };
    let mut first = bounded(true);
    assert_eq!(put(&mut first, unknown(1, 1), ms(0)), (true, None));
    assert_eq!(put(&mut first, unknown(2, 2), ms(100)), (true, Some(4.0)));
    // Neither the next entry of this start nor that of an older peer ends the cold time.
    assert_eq!(put(&mut first, unknown(2, 3), ms(200)), (false, Some(4.0)));
    assert_eq!(put(&mut first, entry(0, 2, 3), ms(300)), (false, Some(4.0)));
    assert_eq!(first.no_longer_cold(ms(5_100)), [id()]);
    let mut later = bounded(false);
    assert_eq!(put(&mut later, unknown(1, 1), ms(0)), (true, Some(4.0)));
    assert_eq!(put(&mut later, entry(0, 2, 2), ms(100)), (true, None));
}

#[test]
fn a_request_may_be_sent_at_once_only_if_none_was_sent_since_the_start() {
    for (is_first_start, turned, is_open) in
        [(true, ms(0), true), (true, ms(1_000), false), (false, ms(0), false)]
    {
        let mut directory = bounded(is_first_start);
        put(&mut directory, entry(0, 1, 1), ms(0));
        let mut directory = if turned.is_zero() { bounded(is_first_start) } else { directory };
        put(&mut directory, entry(100, 1, 2), turned);
        let wait = directory.get(&id()).expect("it is known").limit_wait(FLEET, turned);
        // At 4 requests a second the bound would allow one after 250 ms; it ends before.
        assert_eq!(wait, if is_open { ms(0) } else { ms(100) }, "{is_first_start}, {turned:?}");
    }
}

#[test]
fn peers_get_what_remains_of_the_cold_time() {
    let mut directory = bounded(true);
    put(&mut directory, entry(2_000, 1, 1), ms(0));
    let sent = directory.entries(ms(500)).remove(0);
    assert_eq!(sent.cold_ms, 1_500);
    // An instance that has read the same entry later learns how old it is.
    let mut other = bounded(true);
    put(&mut other, entry(2_000, 1, 1), ms(400));
    put(&mut other, sent, ms(500));
    assert_eq!(other.get(&id()).expect("it is known").cold_remaining(ms(500)), ms(1_500));
    assert_eq!(directory.entries(ms(9_000)).remove(0).cold_ms, 0);
}

#[test]
fn a_cold_time_that_an_answer_states_outlasts_the_entry() {
    let mut directory = bounded(true);
    put(&mut directory, entry(0, 1, 1), ms(0));
    let state = |directory: &mut Directory, born_ms, remaining, now| {
        let source = ColdSource::Answer;
        let is_new = directory.state_cold(&id(), born_ms, remaining, source, now);
        directory.refresh_cold(&id(), || 0.5, now);
        is_new
    };
    assert!(!state(&mut directory, 2, ms(3_000), ms(1_000)), "it is of another start");
    assert!(state(&mut directory, 1, ms(3_000), ms(1_000)));
    assert!(!state(&mut directory, 1, ms(2_950), ms(1_050)));
    assert_eq!(put(&mut directory, entry(0, 1, 2), ms(1_500)), (false, Some(4.0)));
    assert_eq!(put(&mut directory, entry(0, 2, 3), ms(1_600)), (true, None));
}

#[test]
fn a_service_without_a_bound_has_none_for_cold_servers() {
    let mut directory = Directory::default();
    assert_eq!(put(&mut directory, entry(2_000, 1, 1), ms(0)), (true, None));
    assert_eq!(put(&mut directory, entry(0, 1, 2), ms(100)), (false, None));
    assert_eq!(put(&mut directory, entry(2_000, 1, 3), ms(200)), (false, None));
    assert!(directory.get(&id()).expect("it is known").is_avoided_as_cold(ms(9_000)));
}
