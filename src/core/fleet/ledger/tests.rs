//! Tests of the ledger of other instances' requests.

use std::time;

use bytes::Bytes;

use super::Ledger;
use super::Ticket;
use crate::core::fleet::servers;

fn at(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn directory() -> servers::Directory {
    let mut directory = servers::Directory::default();
    let entry = servers::Entry {
        id: Bytes::from("s"),
        service: "llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".to_string(),
        slots: 4,
        is_draining: false,
        stage: None,
        cold_ms: 0,
        lacks_cold_time: false,
        born_ms: 1,
        software_version: Some("v1".into()),
        offset: 1,
    };
    directory.apply(servers::EntryChange::Put(entry), servers::Source::Steady, at(0));
    directory
}

fn ticket(request: u64) -> Ticket {
    Ticket { holder: 7, request, attempt: 1 }
}

fn reservations() -> super::Reservations {
    vec![(Bytes::from("s"), servers::Load { requests: 1, ..servers::Load::default() })]
}

fn requests(directory: &servers::Directory) -> u32 {
    directory.get(&Bytes::from("s")).map_or(0, |server| server.load().requests)
}

#[test]
fn a_grant_counts_once_however_often_it_is_reported() {
    let (mut ledger, mut directory) = (Ledger::default(), directory());
    ledger.insert(ticket(1), reservations(), &mut directory, at(0));
    ledger.insert(ticket(1), reservations(), &mut directory, at(10));
    ledger.reconcile(7, &[(ticket(1), reservations())], &mut directory, at(20));
    assert_eq!(requests(&directory), 1);
}

#[test]
fn a_lost_end_is_detected_by_the_holders_digest() {
    let (mut ledger, mut directory) = (Ledger::default(), directory());
    ledger.insert(ticket(1), reservations(), &mut directory, at(0));
    ledger.reconcile(7, &[], &mut directory, at(1_000));
    assert_eq!(requests(&directory), 1, "the digest may be older than the grant");
    ledger.reconcile(7, &[], &mut directory, at(2_000));
    assert_eq!(requests(&directory), 0);
}

#[test]
fn a_late_digest_does_not_enter_ended_work_again() {
    let (mut ledger, mut directory) = (Ledger::default(), directory());
    ledger.insert(ticket(1), reservations(), &mut directory, at(0));
    ledger.end(ticket(1), &mut directory, at(100));
    ledger.reconcile(7, &[(ticket(1), reservations())], &mut directory, at(200));
    assert_eq!(requests(&directory), 0);
}

#[test]
fn a_new_owner_learns_reservations_from_digests_and_drops_those_of_lost_instances() {
    let (mut ledger, mut directory) = (Ledger::default(), directory());
    ledger.reconcile(
        7,
        &[(ticket(1), reservations()), (ticket(2), reservations())],
        &mut directory,
        at(0),
    );
    assert_eq!(requests(&directory), 2);
    ledger.recount(&mut directory);
    assert_eq!(requests(&directory), 2);
    ledger.retain_holders(|holder| holder != 7, &mut directory, at(10));
    assert_eq!(requests(&directory), 0);
}

#[test]
fn work_that_a_digest_listed_ends_with_the_next_digest_that_does_not() {
    let (mut ledger, mut directory) = (Ledger::default(), directory());
    ledger.reconcile(7, &[(ticket(1), reservations())], &mut directory, at(0));
    ledger.reconcile(7, &[], &mut directory, at(20));
    assert_eq!(requests(&directory), 0, "short requests would fill the servers' slots");
}
