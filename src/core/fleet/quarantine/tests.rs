//! Tests of the begin and the end of quarantines.

use super::*;

fn secs(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

fn report(remaining_ms: u64, is_lifted: bool) -> Report {
    Report {
        service: "llm".into(),
        pattern: vec![crashes::Feature::Part(7)],
        software_versions: vec![Some("v1".into())],
        crashes: 3,
        remaining_ms,
        is_lifted,
    }
}

fn insert(quarantines: &mut Quarantines, report: &Report, now: ids::Timestamp) -> bool {
    quarantines.insert(report.to_quarantine(now).expect("it is valid"), now)
}

fn refuses(quarantines: &Quarantines, parts: &[u64], now: ids::Timestamp) -> bool {
    let features = || parts.iter().copied().map(crashes::Feature::Part).collect();
    quarantines.of_request(&"llm".into(), features, now).is_some()
}

fn directory(software_version: &str) -> servers::Directory {
    let mut directory = servers::Directory::default();
    let entry = servers::Entry {
        id: "s".into(),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".to_string(),
        slots: 1,
        is_draining: false,
        stage: None,
        cold_ms: 0,
        lacks_cold_time: false,
        born_ms: 1,
        software_version: Some(software_version.into()),
        offset: 1,
    };
    directory.apply(servers::EntryChange::Put(entry), servers::Source::Steady, secs(0));
    directory
}

#[test]
fn requests_with_the_whole_pattern_are_refused_at_its_service() {
    let mut quarantines = Quarantines::default();
    let both = vec![crashes::Feature::Part(7), crashes::Feature::Part(8)];
    insert(&mut quarantines, &Report { pattern: both, ..report(60_000, false) }, secs(1));
    assert!(refuses(&quarantines, &[8, 1, 7], secs(1)));
    assert!(!refuses(&quarantines, &[1, 7], secs(1)));
    assert!(!refuses(&quarantines, &[8, 1, 7], secs(62)), "its time has passed");
}

#[test]
fn a_pattern_without_features_and_one_that_is_outdated_are_invalid() {
    let empty = Report { pattern: Vec::new(), ..report(60_000, false) };
    assert_eq!(empty.to_quarantine(secs(1)), None);
    assert_eq!(report(0, false).to_quarantine(secs(1)), None);
}

#[test]
fn a_lifted_quarantine_is_not_renewed_by_older_reports_but_by_new_crashes() {
    let mut quarantines = Quarantines::default();
    assert!(insert(&mut quarantines, &report(3_600_000, false), secs(10)));
    let id = report(0, false).id();
    assert!(quarantines.lift(id, secs(20)).is_some());
    assert!(!insert(&mut quarantines, &report(3_590_000, false), secs(20)));
    assert!(!refuses(&quarantines, &[7], secs(20)));
    assert!(insert(&mut quarantines, &report(3_600_000, false), secs(30)));
    assert!(refuses(&quarantines, &[7], secs(30)));
    // A peer reports that it was lifted.
    assert!(insert(&mut quarantines, &report(3_599_000, true), secs(31)));
    assert!(!refuses(&quarantines, &[7], secs(31)));
}

#[test]
fn a_quarantine_ends_some_time_after_the_last_server_of_an_affected_version() {
    let mut quarantines = Quarantines::default();
    insert(&mut quarantines, &report(3_600_000, false), secs(10));
    let (affected, fixed) = (directory("v1"), directory("v2"));
    assert!(quarantines.drop_ended(&affected, secs(100)).is_empty());
    assert!(quarantines.drop_ended(&servers::Directory::default(), secs(200)).is_empty());
    assert!(quarantines.drop_ended(&fixed, secs(220)).is_empty(), "others may be about to return");
    assert_eq!(quarantines.drop_ended(&fixed, secs(240)).len(), 1);
    assert!(!refuses(&quarantines, &[7], secs(240)));
}

#[test]
fn the_number_of_quarantines_is_bounded() {
    let mut quarantines = Quarantines::default();
    for part in 0..1_000 {
        let pattern = vec![crashes::Feature::Part(part)];
        insert(&mut quarantines, &Report { pattern, ..report(60_000 + part, false) }, secs(1));
    }
    assert_eq!(quarantines.entries.len(), MAX_PATTERNS);
}
