//! Unit tests of the roster, the witnesses, the leases and the settings.

use std::time;

use bytes::Bytes;

use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::membership::backlog;
use crate::core::membership::lease;
use crate::core::membership::record;
use crate::core::membership::roster;
use crate::core::membership::settings;
use crate::core::membership::watch;
use crate::core::membership::witnesses;
use crate::core::reducer::Reducer;

const EXPIRY: time::Duration = time::Duration::from_secs(60);
const LEASE_WITH_MARGIN: time::Duration = time::Duration::from_secs(1);

fn id(name: &str) -> ids::InstanceId {
    Bytes::copy_from_slice(name.as_bytes())
}

fn member(name: &str, incarnation: ids::Incarnation, joined: ids::Offset) -> membership::Member {
    membership::Member {
        id: id(name),
        incarnation,
        failure_domain: id("domain-0"),
        weight: 1,
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        caller_address: ([127, 0, 0, 1], 8_000).into(),
        leaving: false,
        joined,
    }
}

fn own(name: &str, joined: ids::Offset, sequence: u64, witnesses: &[&str]) -> record::MemberRecord {
    let witnesses = witnesses.iter().map(|name| id(name)).collect();
    record::MemberRecord { member: member(name, 1, joined), sequence, witnesses }
}

fn join(name: &str, sequence: u64, witnesses: &[&str]) -> record::Record {
    record::Record::Join(own(name, 0, sequence, witnesses))
}

fn renew(name: &str, joined: ids::Offset, sequence: u64, witnesses: &[&str]) -> record::Record {
    record::Record::Renew(own(name, joined, sequence, witnesses))
}

fn leave(name: &str, sequence: u64) -> record::Record {
    record::Record::Leave { id: id(name), incarnation: 1, sequence }
}

fn accuse(
    (witness, joined): (&str, ids::Offset),
    read: ids::Offset,
    (accused, record): (&str, ids::Offset),
    absent: &[&str],
) -> record::Record {
    let absent = absent.iter().map(|name| id(name)).collect();
    let accusations = vec![record::Accusation { member: id(accused), record, absent }];
    record::Record::Accuse { witness: id(witness), joined, read, accusations }
}

/// Builds a batch of records with offsets from `first` on, one second apart.
fn batch(first: ids::Offset, records: &[record::Record]) -> log::Batch {
    let stored = records.iter().zip(first..).map(|(record, offset)| log::Record {
        offset,
        time_ms: offset * 1_000,
        body: record::encode(record),
    });
    log::Batch {
        requested_at: ids::Timestamp::ZERO,
        first,
        next: first + records.len() as u64,
        records: stored.collect(),
    }
}

fn fold(records: &[record::Record]) -> roster::Roster {
    let mut roster = roster::Roster::new(EXPIRY);
    assert!(roster.apply_batch(&batch(1, records), &mut Vec::new()));
    roster
}

fn members(records: &[record::Record]) -> String {
    let roster = fold(records);
    let entries = roster.entries().iter().map(|entry| {
        let name = String::from_utf8_lossy(&entry.member.id).into_owned();
        format!("{name}@{} accused {:b}", entry.member.joined, entry.accused)
    });
    entries.collect::<Vec<_>>().join(", ")
}

/// Joins at the offsets 1 to 4: `a` with the witnesses `b`, `c` and `d`, then `b`, `c` and `d`.
fn four() -> Vec<record::Record> {
    let witnesses = &["b", "c", "d"];
    vec![join("a", 1, witnesses), join("b", 1, &[]), join("c", 1, &[]), join("d", 1, &[])]
}

fn after_four(records: &[record::Record]) -> String {
    let mut all = four();
    all.extend_from_slice(records);
    members(&all)
}

#[test]
fn majority_of_witnesses_evicts() {
    let accusations = [accuse(("b", 2), 5, ("a", 1), &[]), accuse(("c", 3), 5, ("a", 1), &[])];
    insta::assert_snapshot!(after_four(&accusations[..1]), @"a@1 accused 1, b@2 accused 0, c@3 accused 0, d@4 accused 0");
    insta::assert_snapshot!(after_four(&accusations), @"b@2 accused 0, c@3 accused 0, d@4 accused 0");
}

#[test]
fn renewal_voids_accusations_against_the_older_record() {
    let records = [
        accuse(("b", 2), 5, ("a", 1), &[]),
        renew("a", 1, 2, &["b", "c", "d"]),
        accuse(("c", 3), 5, ("a", 1), &[]),
        accuse(("d", 4), 5, ("a", 1), &[]),
    ];
    insta::assert_snapshot!(after_four(&records), @"a@1 accused 0, b@2 accused 0, c@3 accused 0, d@4 accused 0");
}

#[test]
fn accusation_of_an_earlier_process_is_void() {
    let records = [
        accuse(("b", 2), 5, ("a", 1), &[]),
        join("b", 2, &[]),
        accuse(("b", 2), 5, ("a", 1), &[]),
        accuse(("c", 3), 5, ("a", 1), &[]),
    ];
    insta::assert_snapshot!(after_four(&records), @"a@1 accused 10, b@6 accused 0, c@3 accused 0, d@4 accused 0");
}

#[test]
fn absent_witness_counts_unless_it_came_back() {
    let gone = [leave("b", 2), accuse(("c", 3), 6, ("a", 1), &["b"])];
    insta::assert_snapshot!(after_four(&gone), @"c@3 accused 0, d@4 accused 0");
    let back = [leave("b", 2), join("b", 3, &[]), accuse(("c", 3), 6, ("a", 1), &["b"])];
    insta::assert_snapshot!(after_four(&back), @"a@1 accused 10, b@6 accused 0, c@3 accused 0, d@4 accused 0");
    let back_and_gone =
        [leave("b", 2), join("b", 3, &[]), leave("b", 4), accuse(("c", 3), 6, ("a", 1), &["b"])];
    insta::assert_snapshot!(after_four(&back_and_gone), @"a@1 accused 10, c@3 accused 0, d@4 accused 0");
}

#[test]
fn late_records_of_a_removed_process_are_void() {
    let records = [leave("a", 3), join("a", 1, &["b"]), renew("a", 1, 2, &["b"])];
    insta::assert_snapshot!(after_four(&records), @"b@2 accused 0, c@3 accused 0, d@4 accused 0");
}

#[test]
fn reader_of_a_truncated_stream_starts_from_a_snapshot() {
    let mut records = four();
    records.push(accuse(("b", 2), 5, ("a", 1), &[]));
    let snapshot = fold(&records).snapshot();
    records.push(accuse(("c", 3), 5, ("a", 1), &[]));
    records.push(renew("a", 1, 2, &["b"]));
    records.push(record::Record::Snapshot(snapshot));
    let mut late = roster::Roster::new(EXPIRY);
    late.apply_batch(&batch(6, &records[5..7]), &mut Vec::new());
    assert!(!late.is_known() && !late.has_no_valid_member() && late.entries().is_empty());
    late.apply_batch(&batch(6, &records[5..]), &mut Vec::new());
    assert!(late.is_known());
    assert_eq!(late.entries(), fold(&records).entries());
    let mut later = roster::Roster::new(EXPIRY);
    later.apply_batch(&batch(7, &records[6..]), &mut Vec::new());
    assert!(!later.is_known(), "a record after the snapshot's version was not read");
}

#[test]
fn empty_fleet_starts_only_without_traces_of_members() {
    let stored = |record, offset| batch(offset, &[record]).records.remove(0);
    let empty = |version| {
        let snapshot =
            record::Snapshot { version, clock_ms: 0, entries: vec![], tombstones: vec![] };
        record::Record::Snapshot(snapshot)
    };
    let mut backlog = backlog::Backlog::default();
    backlog.drop_before(5);
    assert!(backlog.has_no_valid_member());
    backlog.push(&stored(renew("a", 1, 2, &[]), 5));
    assert!(!backlog.has_no_valid_member());
    backlog.drop_before(6);
    assert!(backlog.has_no_valid_member());
    assert!(backlog.push(&stored(empty(3), 6)).is_none(), "records 4 and 5 were not read");
    assert!(
        backlog.push(&stored(empty(5), 7)).is_none(),
        "its writer had not read the earlier snapshot"
    );
    assert!(backlog.push(&stored(empty(7), 8)).is_some());
}

#[test]
fn witness_promises_nothing_while_its_accusation_may_count() {
    let roster = fold(&four());
    let mut detector = watch::FailureDetector::new(LEASE_WITH_MARGIN);
    detector.on_record(roster.entry(&id("a")).unwrap(), ids::Timestamp::ZERO);
    assert!(detector.on_heartbeat(&id("a"), 1, LEASE_WITH_MARGIN / 2));
    assert!(
        detector.due_accusations(&id("b"), &roster, LEASE_WITH_MARGIN).is_empty(),
        "the promise holds"
    );
    let now = LEASE_WITH_MARGIN * 2;
    let accusations = detector.due_accusations(&id("b"), &roster, now);
    assert_eq!(accusations.len(), 1);
    assert!(!detector.on_heartbeat(&id("a"), 1, now), "the accusation may take effect");
    detector.withdraw_refused(&accusations);
    assert!(detector.on_heartbeat(&id("a"), 1, now), "the log has refused the accusation");
    let now = now + LEASE_WITH_MARGIN;
    let accusations = detector.due_accusations(&id("b"), &roster, now);
    detector.set_outcome_unknown(&accusations);
    detector.withdraw_refused(&accusations);
    assert!(!detector.on_heartbeat(&id("a"), 1, now), "an earlier append may have taken effect");
    assert!(detector.on_heartbeat(&id("a"), 5, now), "the member has a newer record");
}

#[test]
fn absent_witness_counts_two_leases_after_its_removal() {
    let mut roster = fold(&four());
    let mut detector = watch::FailureDetector::new(LEASE_WITH_MARGIN);
    detector.on_record(roster.entry(&id("a")).unwrap(), ids::Timestamp::ZERO);
    let mut left = batch(5, &[leave("c", 2)]);
    left.first = 1;
    roster.apply_batch(&left, &mut Vec::new());
    detector.on_removal(&id("c"), LEASE_WITH_MARGIN);
    let absent = |detector: &mut watch::FailureDetector, now| {
        let accusations = detector.due_accusations(&id("b"), &roster, now);
        accusations.iter().map(|accusation| accusation.absent.len()).sum::<usize>()
    };
    assert_eq!(absent(&mut detector, LEASE_WITH_MARGIN * 3 - time::Duration::from_millis(1)), 0);
    assert_eq!(absent(&mut detector, LEASE_WITH_MARGIN * 3), 1);
}

#[test]
fn lease_runs_from_the_sending_of_the_heartbeat() {
    let mut lease = lease::Lease::new(LEASE_WITH_MARGIN);
    let witnesses = [id("b"), id("c"), id("d")];
    let sequence = lease.start_heartbeats(LEASE_WITH_MARGIN);
    lease.on_promise(&id("b"), sequence);
    assert_eq!(lease.promised_until(&witnesses, LEASE_WITH_MARGIN), ids::Timestamp::ZERO);
    let later = lease.start_heartbeats(LEASE_WITH_MARGIN + LEASE_WITH_MARGIN / 2);
    lease.on_promise(&id("c"), later);
    assert_eq!(lease.promised_until(&witnesses, LEASE_WITH_MARGIN), LEASE_WITH_MARGIN * 2);
    lease.on_promise(&id("d"), later + 1);
    assert_eq!(
        lease.promised_until(&witnesses, LEASE_WITH_MARGIN),
        LEASE_WITH_MARGIN * 2,
        "no such heartbeat was sent"
    );
    assert_eq!(
        lease.promised_until(&[], LEASE_WITH_MARGIN * 5),
        LEASE_WITH_MARGIN * 6,
        "no witness can accuse"
    );
}

#[test]
fn any_promises_and_any_accusations_that_suffice_share_a_witness() {
    for count in 1..=32 {
        let shared = witnesses::promise_quorum(count) + witnesses::eviction_quorum(count);
        assert!(shared > count, "{count} witnesses");
    }
}

#[test]
fn witnesses_are_spread_over_failure_domains() {
    let members: Vec<_> = (0..360_u32)
        .map(|number| {
            let failure_domain = Bytes::from(format!("domain-{}", number % 16));
            membership::Member { failure_domain, ..member(&format!("n{number}"), 1, 0) }
        })
        .collect();
    let mut duties = vec![0_u32; members.len()];
    for own in &members {
        let chosen = witnesses::choose(&own.id, members.iter(), 7);
        let mut domains: Vec<_> = Vec::new();
        for (duty, member) in duties.iter_mut().zip(&members) {
            if chosen.contains(&member.id) {
                *duty += 1;
                domains.push(member.failure_domain.clone());
            }
        }
        domains.sort();
        domains.dedup();
        assert_eq!((chosen.len(), domains.len()), (7, 7));
    }
    insta::assert_debug_snapshot!((duties.iter().min(), duties.iter().max()));
}

#[test]
fn encoded_sizes_at_360_instances() {
    let instances: Vec<_> = (0..360).map(|number| format!("instance-{number:03}")).collect();
    let names: Vec<_> = instances.iter().map(String::as_str).collect();
    let joins: Vec<_> = names.iter().map(|name| join(name, 1, &names[..7])).collect();
    let mut roster = roster::Roster::new(EXPIRY * 60);
    roster.apply_batch(&batch(1, &joins), &mut Vec::new());
    let message = |message: membership::Message| rmp_serde::to_vec(&message).unwrap().len();
    let (incarnation, sequence, record) = (u64::MAX, 100_000, 1_000_000);
    let sizes = [
        ("heartbeat", message(membership::Message::Heartbeat { sequence, record })),
        ("promise", message(membership::Message::Promise { incarnation, sequence })),
        ("record of a member", record::encode(&joins[0]).len()),
        ("accusation", record::encode(&accuse(("b", 1), record, ("a", record), &[])).len()),
        ("snapshot", record::encode(&record::Record::Snapshot(roster.snapshot())).len()),
    ];
    let lines = sizes.map(|(name, bytes)| format!("{name}: {bytes} bytes"));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn expired_member_leaves_no_trace() {
    let records = [join("a", 1, &[]), join("b", 1, &[]), join("a", 1, &[])];
    let mut all = batch(1, &records);
    for record in &mut all.records[1..] {
        record.time_ms += 2 * EXPIRY.as_millis() as u64;
    }
    let mut reader = roster::Roster::new(EXPIRY);
    reader.apply_batch(&all, &mut Vec::new());
    // A reader that starts with an empty fleet after offset 1 has not read the first join of `a`.
    let mut new_reader = roster::Roster::new(EXPIRY);
    let snapshot =
        record::Snapshot { version: 1, clock_ms: 0, entries: vec![], tombstones: vec![] };
    let mut later = batch(2, &[join("b", 1, &[]), join("a", 1, &[])]);
    later.records = all.records.split_off(1);
    let empty = batch(4, &[record::Record::Snapshot(snapshot)]);
    later.records.extend(empty.records);
    new_reader.apply_batch(&later, &mut Vec::new());
    assert!(new_reader.is_known());
    assert_eq!(reader.entries(), new_reader.entries());
    assert_eq!(reader.entries().len(), 2);
}

#[test]
fn resumed_witness_accuses_no_member_for_a_lease() {
    let roster = fold(&four());
    let mut detector = watch::FailureDetector::new(LEASE_WITH_MARGIN);
    detector.on_record(roster.entry(&id("a")).unwrap(), ids::Timestamp::ZERO);
    let resumed_at = LEASE_WITH_MARGIN * 5;
    detector.on_resume(resumed_at);
    let too_early = resumed_at + LEASE_WITH_MARGIN - time::Duration::from_millis(1);
    assert!(detector.due_accusations(&id("b"), &roster, too_early).is_empty());
    assert_eq!(
        detector.due_accusations(&id("b"), &roster, resumed_at + LEASE_WITH_MARGIN).len(),
        1
    );
}

#[test]
fn process_that_missed_records_joins_anew() {
    let settings = settings::Settings::default();
    let mut reducer = membership::Membership::new(member("a", 1, 0), settings.clone());
    let mut effects = Vec::new();
    let read = |records: &[record::Record], first| membership::Event::Read(batch(first, records));
    reducer.apply(read(&[], 1), ids::Timestamp::ZERO, &mut effects);
    reducer.apply(membership::Event::Tick, ids::Timestamp::ZERO, &mut effects);
    reducer.apply(read(&[join("a", 1, &[])], 1), ids::Timestamp::ZERO, &mut effects);
    assert!(reducer.is_valid(ids::Timestamp::ZERO));
    let snapshot = fold(&[join("a", 1, &[])]).snapshot();
    let snapshot = record::Record::Snapshot(record::Snapshot { version: 8, ..snapshot });
    effects.clear();
    reducer.apply(read(&[snapshot], 9), ids::Timestamp::ZERO, &mut effects);
    assert!(reducer.knows_members() && !reducer.is_valid(ids::Timestamp::ZERO));
    effects.clear();
    let rejoin_at = settings.lease;
    let mut again = batch(9, &[]);
    (again.requested_at, again.next) = (rejoin_at, 10);
    reducer.apply(membership::Event::Read(again), rejoin_at, &mut effects);
    reducer.apply(membership::Event::Tick, rejoin_at, &mut effects);
    assert_eq!(appended(&effects), [join("a", 2, &[])]);
}

fn appended(effects: &[membership::Effect]) -> Vec<record::Record> {
    let bodies = effects.iter().filter_map(|effect| match effect {
        membership::Effect::Append { body, .. } => record::decode(body),
        _ => None,
    });
    bodies.collect()
}

#[test]
fn instance_that_missed_ticks_accuses_nobody_for_a_lease() {
    let settings = settings::Settings::default();
    let mut reducer = membership::Membership::new(member("a", 1, 0), settings.clone());
    let mut step = |records: &[record::Record], first, now| {
        let mut effects = Vec::new();
        let read = log::Batch { requested_at: now, ..batch(first, records) };
        reducer.apply(membership::Event::Read(read), now, &mut effects);
        reducer.apply(membership::Event::Tick, now, &mut effects);
        let records = appended(&effects).into_iter();
        records.filter(|record| matches!(record, record::Record::Accuse { .. })).count()
    };
    step(&[], 1, ids::Timestamp::ZERO);
    step(&[join("a", 1, &["b"]), join("b", 1, &["a"])], 1, ids::Timestamp::ZERO);
    let resumed_at = settings.lease * 5;
    let ticks = (0..).map(|tick| resumed_at + settings.heartbeat_interval / 2 * tick);
    let mut ticks = ticks.map(|now| (now, step(&[], 3, now)));
    let first = ticks.find(|(_, accusations)| *accusations > 0).map(|(now, _)| now);
    assert!(first.is_some_and(|now| now >= resumed_at + settings.lease_with_margin()));
}

#[test]
fn settings_fit_the_log_and_the_lease() {
    let hour = time::Duration::from_secs(3_600);
    let default = settings::Settings::default();
    assert_eq!(default.clone().with_log_retention(hour * 24 * 7), default);
    let short = default.clone().with_log_retention(hour * 4);
    assert_eq!((short.record_expiry, short.renew_interval), (hour * 3, hour * 3 / 8));
    let slow = settings::Settings { lease: time::Duration::from_secs(60), ..default };
    assert!(slow.lease_with_margin() >= slow.lease * 102 / 100);
}
