//! Tests of what counts as the cause of crashes.

use super::*;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn part(part: call::PartId) -> Feature {
    Feature::Part(part)
}

fn crash(evidence: &mut Evidence, server: &str, at_ms: u64, suspects: &[&[call::PartId]]) -> bool {
    let suspects = suspects.iter().map(|parts| parts.iter().copied().map(part).collect());
    let crash = Crash {
        at: ms(at_ms),
        service: "llm".into(),
        software_version: Some("v1".into()),
        suspects: suspects.collect(),
        outlived: None,
    };
    let life = (ids::ServerId::from(server.to_string()), 1);
    evidence.record_crash(life, crash, ms(at_ms))
}

fn pattern(evidence: &Evidence, known: &[&[Feature]], now_ms: u64) -> Option<Vec<Feature>> {
    evidence.find_cause(known, ms(now_ms)).map(|cause| cause.pattern)
}

#[test]
fn what_is_on_three_crashed_servers_and_survived_by_none_is_the_cause() {
    let mut evidence = Evidence::default();
    evidence.record_survival(&[part(1)], ms(0), ms(1_000));
    crash(&mut evidence, "a", 10_000, &[&[1, 7], &[1, 2]]);
    crash(&mut evidence, "b", 10_400, &[&[1, 7, 3]]);
    assert_eq!(pattern(&evidence, &[], 10_400), None, "two crashes");
    crash(&mut evidence, "c", 10_800, &[&[1, 4], &[1, 7]]);
    assert_eq!(pattern(&evidence, &[], 10_800), Some(vec![part(7)]));
    assert_eq!(pattern(&evidence, &[&[part(7)]], 10_800), None, "it is known");
}

#[test]
fn one_crash_that_several_instances_report_counts_once() {
    let mut evidence = Evidence::default();
    for at_ms in [10_000, 10_300, 10_600] {
        crash(&mut evidence, "a", at_ms, &[&[7]]);
    }
    assert!(!crash(&mut evidence, "a", 10_900, &[&[7]]), "nothing new");
    assert_eq!(pattern(&evidence, &[], 10_900), None);
}

#[test]
fn servers_that_crash_together_show_no_cause() {
    let mut evidence = Evidence::default();
    for (index, server) in ["a", "b", "c", "d"].into_iter().enumerate() {
        crash(&mut evidence, server, 10_000 + index as u64 * 40, &[&[7]]);
    }
    assert_eq!(pattern(&evidence, &[], 12_000), None);
}

#[test]
fn a_feature_that_a_server_has_survived_since_is_cleared() {
    let mut evidence = Evidence::default();
    for (server, at_ms) in [("a", 10_000), ("b", 10_400)] {
        crash(&mut evidence, server, at_ms, &[&[7]]);
    }
    let cleared = evidence.record_survival(&[part(7)], ms(10_500), ms(11_500));
    assert_eq!(cleared, [part(7)]);
    crash(&mut evidence, "c", 12_000, &[&[7]]);
    assert_eq!(pattern(&evidence, &[], 20_000), None, "one crash since");
}

#[test]
fn a_feature_that_was_survived_before_is_the_cause_only_if_none_survives_it_any_more() {
    let mut evidence = Evidence::default();
    evidence.record_survival(&[part(7)], ms(5_000), ms(6_000));
    for (server, at_ms) in [("a", 10_000), ("b", 10_400), ("c", 10_800)] {
        crash(&mut evidence, server, at_ms, &[&[7]]);
    }
    assert_eq!(pattern(&evidence, &[], 10_800), None);
    assert_eq!(pattern(&evidence, &[], 19_000), None, "no server may have run since");
    evidence.record_service(&"desk".into(), ms(14_000), ms(15_000));
    assert_eq!(pattern(&evidence, &[], 19_000), None, "that is another service");
    evidence.record_service(&"llm".into(), ms(14_000), ms(15_000));
    assert_eq!(pattern(&evidence, &[], 16_900), None, "others were survived just now");
    assert_eq!(pattern(&evidence, &[], 17_000), Some(vec![part(7)]));
}

#[test]
fn features_that_always_come_together_are_the_cause_together() {
    let mut evidence = Evidence::default();
    for (server, at_ms) in [("a", 10_000), ("b", 10_400), ("c", 10_800)] {
        crash(&mut evidence, server, at_ms, &[&[7, 8]]);
    }
    let both = vec![part(7), part(8)];
    assert_eq!(pattern(&evidence, &[], 10_800), Some(both.clone()));
    crash(&mut evidence, "d", 11_200, &[&[7]]);
    assert_eq!(pattern(&evidence, &[&both], 11_200), Some(vec![part(7)]), "one is enough");
}

#[test]
fn crashes_of_a_known_cause_are_no_evidence_against_others() {
    let mut evidence = Evidence::default();
    for (server, at_ms) in [("a", 10_000), ("b", 10_400), ("c", 10_800)] {
        crash(&mut evidence, server, at_ms, &[&[7], &[9]]);
    }
    assert_eq!(pattern(&evidence, &[], 10_800), None, "7 and 9 explain as much");
    crash(&mut evidence, "d", 11_200, &[&[7]]);
    assert_eq!(pattern(&evidence, &[], 11_200), Some(vec![part(7)]));
    assert_eq!(pattern(&evidence, &[&[part(7)]], 11_200), None, "9 was only beside it");
}

#[test]
fn crashes_and_their_suspects_are_bounded() {
    let mut evidence = Evidence::default();
    for index in 0..1_000_u64 {
        let parts: Vec<_> = (0..100).map(|part| [index * 100 + part]).collect();
        let suspects: Vec<_> = parts.iter().map(|parts| parts.as_slice()).collect();
        crash(&mut evidence, &format!("s{index}"), 10_000 + index, &suspects);
    }
    assert_eq!(evidence.crashes.len(), MAX_CRASHES);
    assert!(evidence.crashes.values().all(|it| it.suspects.len() == MAX_SUSPECTS_PER_CRASH));
    assert!(evidence.crashes.values().all(|it| it.at >= ms(10_000 + 1_000 - MAX_CRASHES as u64)));
}

#[test]
fn a_request_is_told_from_others_by_all_that_its_caller_sends() {
    let digest = |parts: &[&[u8]]| call::content_digest(parts);
    let content = digest(&[b"POST", b"host", b"/a?b", b"body"]);
    assert_eq!(content, digest(&[b"POST", b"host", b"/a?b", b"body"]));
    assert_ne!(content, digest(&[b"POST", b"host", b"/a?", b"bbody"]), "parts do not run together");
    assert_ne!(request_key(content, Some("a")), request_key(content, Some("b")));
    assert_ne!(request_key(content, Some("a")), request_key(content, None));
}

#[test]
fn a_request_that_is_repeated_is_the_cause_only_with_its_parts() {
    let mut evidence = Evidence::default();
    let same = vec![part(1), part(2), Feature::Request(7)];
    for (server, at_ms) in [("a", 10_000), ("b", 10_400), ("c", 10_800)] {
        let crash = Crash {
            at: ms(at_ms),
            service: "llm".into(),
            software_version: None,
            suspects: vec![same.clone()],
            outlived: None,
        };
        evidence.record_crash((ids::ServerId::from(server), 1), crash, ms(at_ms));
    }
    assert_eq!(pattern(&evidence, &[], 10_800), Some(same), "others may have its parts");
}
