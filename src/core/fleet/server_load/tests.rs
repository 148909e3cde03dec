//! Tests of the weight of statements, of what contradicts them and of the choice among servers.

use std::time;

use bytes::Bytes;

use super::*;
use crate::core::fleet::claim;
use crate::core::fleet::server_limits;
use crate::core::fleet::servers;

const BORN_MS: u64 = 1;

fn ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn stated(requests: u32, work_percent: Option<f64>) -> Statement {
    Statement {
        running: requests.min(6),
        waiting: requests.saturating_sub(6),
        slots: 6,
        work_percent,
    }
}

/// Returns what is known of a server that has stated each percentage at a time in milliseconds.
fn reported(figures: &[(u64, f64)]) -> Reported {
    let mut reported = Reported::default();
    for (at, percent) in figures {
        reported.record(stated(0, Some(*percent)), 0, ms(*at));
    }
    reported
}

#[test]
fn the_newest_figure_gives_way_to_the_mean() {
    let reported = reported(&[(0, 100.0), (100, 300.0)]);
    let percent = |at| (reported.work_factor(ms(at)) * 1_000.0).round() / 10.0;
    let factors: Vec<_> = [100, 400, 700, 1_300, 2_099, 2_100, 22_100].map(percent).into();
    insta::assert_debug_snapshot!(factors);
}

#[test]
fn without_figures_work_takes_the_usual_time() {
    let mut reported = Reported::default();
    assert_eq!((reported.work_factor(ms(5)), reported.surplus(ms(5))), (1.0, 0.0));
    reported.record(stated(4, None), 4, ms(5));
    assert_eq!((reported.work_factor(ms(5)), reported.surplus(ms(5))), (1.0, 0.0));
}

#[test]
fn the_mean_does_not_follow_a_single_figure() {
    let mut figures: Vec<_> = (0..50).map(|index| (index * 100, 100.0)).collect();
    figures.push((60_000, 300.0));
    let after = reported(&figures).work_factor(ms(62_000));
    assert!((1.3..=1.4).contains(&after), "{after}");
}

#[test]
fn an_absurd_figure_changes_the_expected_work_within_bounds() {
    assert_eq!(reported(&[(0, 10_000.0)]).work_factor(ms(0)), MAX_WORK_FACTOR);
    assert_eq!(reported(&[(0, 0.001)]).work_factor(ms(0)), MIN_WORK_FACTOR);
}

#[test]
fn requests_that_nobody_counts_fade_and_a_figure_below_the_known_ones_changes_nothing() {
    let mut reported = Reported::default();
    reported.record(stated(9, None), 3, ms(0));
    let surplus: Vec<_> = [0, 300, 600, 2_000].map(|at| reported.surplus(ms(at))).into();
    assert_eq!(surplus, [6.0, 3.0, 1.5, 0.0]);
    reported.record(stated(1, None), 3, ms(10));
    assert_eq!(reported.surplus(ms(10)), 0.0);
}

#[test]
fn a_statement_that_arrives_late_does_not_replace_a_newer_one() {
    let mut reported = reported(&[(100, 200.0)]);
    assert!(!reported.record(stated(9, Some(60.0)), 0, ms(99)));
    assert_eq!((reported.work_factor(ms(100)), reported.surplus(ms(100))), (2.0, 0.0));
}

/// Applies answers that took `elapsed_ms` where 30 ms were expected, and returns the changes.
fn check(reported: &mut Reported, requests: u32, elapsed_ms: u64, answers: u32) -> Vec<bool> {
    let check = |_| {
        reported.record(stated(requests, Some(60.0)), 0, ms(0));
        reported.check_answer(ms(elapsed_ms), 30.0, ms(0))
    };
    (0..answers).filter_map(check).collect()
}

#[test]
fn a_server_that_states_to_be_empty_while_its_answers_are_slow_is_not_believed() {
    let mut reported = Reported::default();
    assert_eq!(check(&mut reported, 0, 91, 3), vec![false; 0], "a few slow answers are usual");
    assert_eq!(check(&mut reported, 0, 30, 1), vec![false; 0]);
    assert_eq!(check(&mut reported, 0, 91, 4), vec![true]);
    assert_eq!((reported.work_factor(ms(0)), reported.is_used(ms(0))), (1.0, false));
    assert_eq!(check(&mut reported, 0, 30, 20), vec![false], "it is believed again");
    assert_eq!(reported.work_factor(ms(0)), 0.6);
}

#[test]
fn slow_answers_of_a_server_that_states_to_be_busy_do_not_contradict_it() {
    assert_eq!(check(&mut Reported::default(), 2, 500, 20), vec![false; 0]);
}

#[test]
fn statements_are_reported_if_they_differ_and_to_a_new_owner() {
    let mut reported = Reported::default();
    let interval = ms(200);
    let mut due = |at, requests, percent, owner| {
        reported.record(stated(requests, Some(percent)), 0, ms(at));
        reported.take_due(owner, interval, ms(at)).is_some()
    };
    assert!(due(0, 0, 100.0, 7), "the first one");
    assert!(!due(300, 0, 125.0, 7), "a quarter is not more than a quarter");
    assert!(due(301, 0, 126.0, 7));
    assert!(!due(400, 0, 300.0, 7), "within the interval");
    assert!(due(501, 0, 300.0, 7));
    assert!(!due(800, 1, 300.0, 7), "one request of six slots");
    assert!(due(801, 2, 300.0, 7), "two requests of six slots");
    assert!(!due(802, 2, 300.0, 8), "another owner, at once");
    assert!(due(1_001, 2, 300.0, 8), "another owner");
    assert!(reported.take_due(9, interval, ms(1_400)).is_none(), "a statement that is too old");
}

/// Returns a directory of two plain servers, of which the first one was listed first.
fn directory() -> servers::Directory {
    let mut directory = servers::Directory::default();
    for name in ["a", "b"] {
        let entry = servers::Entry {
            id: Bytes::from(name),
            service: "desk".into(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            domain: "d".to_string(),
            slots: 6,
            is_draining: false,
            stage: None,
            cold_ms: 0,
            lacks_cold_time: false,
            born_ms: BORN_MS,
            software_version: None,
            offset: 1,
        };
        directory.apply(servers::EntryChange::Put(entry), servers::Source::Steady, ms(0));
    }
    directory
}

/// Returns the server that a request gets, and the time that is expected for it.
fn chosen(directory: &servers::Directory, now: ids::Timestamp) -> (ids::ServerId, f64) {
    let claim = claim::Claim {
        service: "desk".into(),
        engine: None,
        tokens: call::Tokens::default(),
        prompt: None,
        workspace: None,
        priority: 0,
        start_time: ms(0),
        arrived: now,
        objective_at: now,
        begin_by: now,
        tried: Vec::new(),
        domain: "d".to_string(),
        binding: claim::Binding::Any,
    };
    let query = placement::Query {
        claim: &claim,
        memory_share: 1.0,
        pacing: server_limits::Pacing::Fleet,
        is_local: true,
        is_probing: false,
        is_overload: false,
        now,
    };
    let best = placement::best_plain_server(directory, query).expect("there is room");
    let placement::Placement::Plain(server) = best.placement else { panic!("it is plain") };
    (server, best.expected_ms)
}

#[test]
fn the_server_whose_work_takes_less_at_the_moment_is_chosen() {
    for (slow, fast) in [("a", "b"), ("b", "a")] {
        let mut directory = directory();
        directory.record_load(&Bytes::from(slow), BORN_MS, stated(0, Some(200.0)), ms(0));
        assert_eq!(chosen(&directory, ms(0)), (Bytes::from(fast), 30.0));
    }
}

#[test]
fn a_server_with_work_that_nobody_counts_is_avoided() {
    for (busy, free) in [("a", "b"), ("b", "a")] {
        let mut directory = directory();
        directory.record_load(&Bytes::from(busy), BORN_MS, stated(9, None), ms(0));
        assert_eq!(chosen(&directory, ms(0)), (Bytes::from(free), 30.0));
    }
}

#[test]
fn two_servers_of_the_nearest_class_are_drawn_by_their_rank() {
    let drawn = |servers: &[(&'static str, bool, u64)]| -> Vec<_> {
        let mut draw = Draw::default();
        for (name, is_near, rank) in servers.iter().copied() {
            let placement = placement::Placement::Plain(Bytes::from(name));
            let (expected_ms, backlog_ms, is_preferred) = (30.0, 0.0, false);
            let candidate =
                placement::Candidate { placement, expected_ms, backlog_ms, is_preferred, rank };
            draw.add(is_near, candidate);
        }
        draw.into_candidates().map(|candidate| candidate.rank).collect()
    };
    let near = [("a", true, 7), ("b", false, 1), ("c", true, 5), ("d", true, 6)];
    assert_eq!(drawn(&near), [5, 6]);
    assert_eq!(drawn(&near[..2]), [7, 1], "one near server, so one of the others too");
    assert_eq!(drawn(&near[..1]), [7]);
}

#[test]
fn a_statement_of_an_earlier_start_is_ignored() {
    let mut directory = directory();
    let statement = stated(0, Some(300.0));
    for server in ["a", "b"] {
        assert!(!directory.record_load(&Bytes::from(server), BORN_MS - 1, statement, ms(0)));
    }
    assert_eq!(chosen(&directory, ms(0)).1, 30.0);
}

#[test]
fn work_is_learned_as_that_at_the_usual_speed() {
    let mut directory = directory();
    let server = Bytes::from("a");
    directory.record_load(&server, BORN_MS, stated(0, Some(300.0)), ms(0));
    for _ in 0..200 {
        directory.record_work(&server, ms(120), ms(0));
    }
    let work_ms = directory.get(&server).expect("it exists").work_ms;
    assert!((work_ms - 40.0).abs() < 0.1, "{work_ms}");
}

#[test]
fn a_server_that_is_no_longer_believed_keeps_its_expected_work() {
    let mut directory = directory();
    let server = Bytes::from("a");
    directory.record_load(&server, BORN_MS, stated(0, Some(50.0)), ms(0));
    for _ in 0..4 {
        directory.check_stated_load(&server, ms(500), 15.0, ms(0));
    }
    let known = directory.get(&server).expect("it exists");
    let ignored = known.stated_load(ms(0)).and_then(|load| load.ignored);
    assert_eq!(ignored, Some(Ignored::Contradicted));
    assert_eq!((known.work_ms, known.expected_work_ms(ms(0))), (15.0, 15.0));
}

#[test]
fn a_line_on_a_request_bears_the_stated_load_and_its_age() {
    let mut reported = reported(&[(0, 120.0)]);
    reported.record(stated(8, Some(150.0)), 0, ms(5));
    let line = serde_json::to_string(&reported.stated_load(ms(2_004))).expect("it can be encoded");
    let expected = r#"{"running":6,"waiting":2,"slots":6,"work_percent":150.0,"age_ms":1999}"#;
    assert_eq!(line, expected);
    let line = serde_json::to_string(&reported.stated_load(ms(2_005))).expect("it can be encoded");
    assert!(line.ends_with(r#""age_ms":2000,"ignored":"old"}"#), "{line}");
}
