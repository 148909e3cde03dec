//! Tests of which record on a domain holds, whatever the order and the source of what is read.

use super::*;

const ERA: ids::StorePosition = 1 << 40;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn change(position: ids::StorePosition, is_in_force: bool) -> Change {
    Change { domain: "b".to_string(), position, is_in_force }
}

fn report(position: ids::StorePosition, is_in_force: bool, age_ms: u64) -> Report {
    Report { domain: "b".to_string(), position, is_in_force, age_ms }
}

fn is_evacuated(evacuations: &Evacuations) -> bool {
    evacuations.standing("b").is_evacuated
}

/// Applies reads of the store: the changes, and the position after a complete listing.
fn read(reads: &[(&[Change], Option<ids::StorePosition>)]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for (changes, complete) in reads {
        evacuations.read(changes, *complete, ms(0));
    }
    evacuations
}

#[test]
fn a_record_holds_until_one_with_a_higher_position() {
    let mut evacuations = Evacuations::default();
    assert_eq!(evacuations.read(&[change(5, true)], None, ms(0)), ["b"]);
    assert!(evacuations.read(&[change(5, true)], None, ms(0)).is_empty(), "it is known");
    assert!(!evacuations.receive(&report(4, false, 0), ms(0)), "an older lifting");
    assert!(is_evacuated(&evacuations));
    assert!(evacuations.receive(&report(6, false, 0), ms(0)));
    assert!(!evacuations.receive(&report(5, true, 0), ms(0)), "a report that was under way");
    assert!(evacuations.is_outdated(&report(5, true, 0)), "its sender is told");
    assert!(!evacuations.is_outdated(&report(6, false, 0)));
    assert!(!is_evacuated(&evacuations));
}

#[test]
fn a_listing_without_the_record_lifts_only_evacuations_before_it() {
    let evacuated: (&[Change], _) = (&[change(5, true)], None);
    assert!(!is_evacuated(&read(&[evacuated, (&[], Some(8))])));
    assert!(is_evacuated(&read(&[evacuated, (&[], Some(5))])), "the listing is older");
    assert!(is_evacuated(&read(&[evacuated, (&[change(5, true)], Some(8))])));
    assert!(!is_evacuated(&read(&[evacuated, (&[change(7, false)], Some(8))])), "a listed removal");
}

#[test]
fn what_was_known_before_a_restore_of_the_store_holds() {
    let evacuated: (&[Change], _) = (&[change(30, true)], None);
    let lifted: (&[Change], _) = (&[change(50, false)], None);
    let listing: (&[Change], _) = (&[change(ERA + 30, true)], Some(ERA + 40));
    assert!(is_evacuated(&read(&[evacuated, (&[], Some(ERA + 20))])), "the copy lacks it");
    assert!(!is_evacuated(&read(&[evacuated, lifted, listing])), "the copy lacks the lifting");
    let later: (&[Change], _) = (&[change(ERA + 40, true)], None);
    assert!(is_evacuated(&read(&[evacuated, lifted, listing, later])), "a later write");
    let lifted_later: (&[Change], _) = (&[change(ERA + 41, false)], None);
    let reads = [evacuated, (&[] as &[Change], Some(ERA + 20)), lifted_later];
    assert!(!is_evacuated(&read(&reads)), "a later lifting");
    let written_since: (&[Change], _) = (&[change(ERA + 33, true)], Some(ERA + 40));
    assert!(is_evacuated(&read(&[evacuated, lifted, written_since])), "no record of the copy");
}

#[test]
fn an_instance_that_starts_after_a_restore_learns_that_the_copy_is_outdated() {
    let lifted: (&[Change], _) = (&[change(50, false)], None);
    let listing: (&[Change], _) = (&[change(ERA + 30, true)], Some(ERA + 40));
    let mut older = read(&[(&[change(30, true)], None), lifted, listing]);
    let mut new = read(&[listing]);
    assert!(is_evacuated(&new), "it cannot know better");
    let from_new = new.report("b", ms(0)).expect("it is known");
    assert!(!older.receive(&from_new, ms(0)));
    assert!(new.receive(&older.report("b", ms(0)).expect("it is known"), ms(0)));
    assert!(!is_evacuated(&new));
    assert!(older.is_repeated(ms(0)), "the coordinators tell all others");
}

#[test]
fn the_usable_share_grows_after_the_lifting_and_is_whole_without_an_evacuation() {
    let mut evacuations = read(&[(&[change(5, true)], None)]);
    evacuations.read(&[change(6, false)], None, ms(1_000));
    let share = |evacuations: &Evacuations, at| evacuations.standing("b").usable_share(ms(at));
    let percent = |at| (share(&evacuations, at) * 100.0).round();
    assert_eq!([1_000, 3_500, 6_000, 9_000].map(percent), [20.0, 60.0, 100.0, 100.0]);
    // A peer that learns of it later ends the ramp at the same time.
    let mut peer = read(&[(&[change(5, true)], None)]);
    peer.receive(&evacuations.report("b", ms(2_000)).expect("it is known"), ms(70_000));
    assert!((share(&peer, 71_500) - 0.6).abs() < 1e-9);
    let never_evacuated = read(&[(&[change(6, false)], None)]);
    assert_eq!(share(&never_evacuated, 0), 1.0);
}

#[test]
fn changes_are_repeated_for_some_time_and_evacuations_as_long_as_they_hold() {
    let mut evacuations = read(&[(&[change(5, true)], None)]);
    assert!(evacuations.is_repeated(ms(600_000)));
    evacuations.read(&[change(6, false)], None, ms(600_000));
    assert!(evacuations.is_repeated(ms(630_000)));
    assert!(!evacuations.is_repeated(ms(630_001)));
}

#[test]
fn liftings_of_many_domains_take_bounded_memory_and_no_evacuation_is_forgotten() {
    let domain = |index: u64, is_in_force| Change {
        domain: format!("domain-{index}"),
        position: index,
        is_in_force,
    };
    let mut evacuations = Evacuations::default();
    for index in 0..1_000 {
        evacuations.read(&[domain(index, index % 2 == 0)], None, ms(index));
    }
    assert_eq!(evacuations.in_force().len(), 500);
    assert_eq!(evacuations.reports(ms(1_000)).len(), 500 + MAX_LIFTED);
}

#[test]
fn a_domain_has_returned_once_it_gets_its_usual_share_of_requests() {
    let mut shares = shares::Shares::default();
    // Sends a request each 20 ms, every `b_each`th one to domain `b`.
    let send = |shares: &mut shares::Shares, from: u64, to: u64, b_each: u64| {
        for index in from / 20..to / 20 {
            shares.record(if index % b_each == 0 { "b" } else { "a" }, ms(index * 20));
        }
    };
    send(&mut shares, 0, 10_000, 2);
    shares.begin("b", ms(10_000));
    send(&mut shares, 10_000, 15_000, u64::MAX);
    shares.lift("b", ms(15_000));
    send(&mut shares, 15_000, 20_000, 4);
    assert!(shares.take_returned(ms(20_000)).is_empty(), "a quarter instead of a half");
    send(&mut shares, 20_000, 26_000, 2);
    let returned = shares.take_returned(ms(26_000)).pop().expect("it has returned");
    assert_eq!((returned.domain.as_str(), returned.elapsed), ("b", ms(11_000)));
    assert!((returned.usual_share - 0.5).abs() < 0.02 && returned.share > 0.45, "{returned:?}");
    assert!(shares.take_returned(ms(26_000)).is_empty(), "it is told once");
}
