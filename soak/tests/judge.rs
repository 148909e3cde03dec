//! Each check of the judge can fail.

use soak::backend;
use soak::judge::Got;
use soak::judge::Judge;
use soak::judge::Run;
use soak::judge::Sent;
use soak::streams;

fn instance() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn sent(is_idempotent: bool) -> Sent {
    Sent {
        is_idempotent,
        path: "/order/x".to_string(),
        workspace: "a".to_string(),
        is_resumed: false,
    }
}

fn run() -> Run {
    Run {
        attempt: "1".to_string(),
        server: "s".to_string(),
        workspace: "a".to_string(),
        path: "/order/x".to_string(),
        has_key: false,
    }
}

fn good() -> Got {
    Got::Answer { status: 200, body: backend::body("s", "1") }
}

fn violations(runs: &[Run], got: Got) -> String {
    let judge = Judge::default();
    judge.note_sent("1", instance(), sent(false));
    for run in runs {
        judge.note_run(run.clone());
    }
    judge.note_answered("1");
    judge.note_got("1", got);
    judge.violations().join("\n")
}

#[test]
fn a_sound_attempt_breaks_nothing() {
    assert_eq!(violations(&[run()], good()), "");
    assert_eq!(violations(&[], Got::Answer { status: 503, body: String::new() }), "");
    assert_eq!(violations(&[run()], Got::Cut { is_planned: false }), "");
}

#[test]
fn each_promise_that_is_broken_is_told() {
    let cases = [
        (vec![run(), run()], good(), "ran more than once"),
        (vec![Run { has_key: true, ..run() }], good(), "passed its key on"),
        (vec![Run { workspace: "b".to_string(), ..run() }], good(), "for another workspace"),
        (vec![Run { path: "/x".to_string(), ..run() }], good(), "with another path"),
        (vec![run()], Got::Answer { status: 503, body: String::new() }, "promised not to have run"),
        (
            vec![run()],
            Got::Answer { status: 200, body: backend::body("s", "2") },
            "an answer that no run of it gave",
        ),
        (vec![run()], Got::Cut { is_planned: true }, "was cut by planned work"),
        (vec![Run { attempt: "2".to_string(), ..run() }], good(), "nobody sent"),
    ];
    for (runs, got, expected) in cases {
        let told = violations(&runs, got);
        assert!(told.contains(expected), "{expected}: {told}");
    }
}

#[test]
fn an_idempotent_attempt_may_run_twice() {
    let judge = Judge::default();
    judge.note_sent("1", instance(), sent(true));
    judge.note_run(run());
    judge.note_run(run());
    judge.note_got("1", good());
    assert!(judge.violations().is_empty());
}

fn stream(body: String) -> Judge {
    let judge = Judge::default();
    judge.note_sent("s", instance(), Sent { path: "/resume/x".to_string(), ..sent(true) });
    judge.note_events("s", &body);
    judge.note_got("s", Got::Answer { status: 200, body });
    judge
}

#[test]
fn a_stream_that_is_short_or_of_two_versions_is_a_violation() {
    let events = |version, numbers: std::ops::RangeInclusive<u64>| -> String {
        numbers.map(|number| streams::event(version, number)).collect()
    };
    let whole = events("v1", 1..=streams::EVENTS);
    assert_eq!(stream(whole).violations(), Vec::<String>::new());
    let short = events("v1", 1..=streams::EVENTS - 1);
    assert_eq!(stream(short.clone()).violations().len(), 1);
    let mixed = short + &events("v2", streams::EVENTS..=streams::EVENTS);
    assert_eq!(stream(mixed).violations().len(), 2, "it is neither whole nor of one version");
}

fn crashing(judge: &Judge, count: usize) {
    let cause = soak::servers::Cause::Request("/query/crash".to_string());
    for index in 0..count {
        let attempt = index.to_string();
        judge.note_sent(&attempt, instance(), sent(true));
        judge.note_arrival("s", &attempt, Some(cause.clone()));
        judge.note_crash(cause.clone());
    }
}

#[test]
fn requests_that_go_on_to_crash_servers_are_violations() {
    let seconds = std::time::Duration::from_secs;
    let mut servers = soak::servers::Servers::default();
    let cause = soak::servers::Cause::Part("dead".to_string());
    for second in 0..20 {
        let attempt = second.to_string();
        servers.note_sent(&attempt, instance(), seconds(second));
        servers.note_arrival("s", &attempt, Some(cause.clone()), seconds(second));
        if second < 5 {
            servers.note_crash(cause.clone(), seconds(second));
        }
    }
    let violations = servers.violations();
    assert!(violations[0].starts_with("12 requests"), "from 8 s on: {violations:?}");
    servers.note_disturbance(None, seconds(8), seconds(12));
    assert!(servers.violations().is_empty(), "nothing was in touch");
    let judge = Judge::default();
    crashing(&judge, 3);
    assert_eq!((judge.most_crashes(), judge.violations().len()), (3, 0));
}

#[test]
fn requests_to_servers_that_leave_or_pause_are_violations() {
    let ms = std::time::Duration::from_millis;
    let mut servers = soak::servers::Servers::default();
    let mut send = |attempt: &str, at_ms| {
        servers.note_sent(attempt, instance(), ms(at_ms));
        servers.note_arrival("s", attempt, None, ms(at_ms));
    };
    send("told", 0);
    ["a", "b", "c"].into_iter().for_each(|attempt| send(attempt, 1_000));
    send("late", 3_000);
    servers.note_got("told", ms(100));
    assert!(servers.violations().is_empty());
    servers.note_pause("s", "told", ms(2_000), ms(0));
    assert!(servers.violations()[0].starts_with("3 requests"), "three in the pause");
    servers.note_leaving("s", "told");
    assert_eq!(servers.violations().len(), 2, "and one to a server that leaves");
    servers.note_disturbance(Some(instance()), ms(500), ms(0));
    assert!(servers.violations().is_empty(), "the instance was restarted");
}

#[test]
fn requests_to_an_evacuated_zone_after_the_bound_are_violations() {
    let ms = std::time::Duration::from_millis;
    let mut servers = soak::servers::Servers::default();
    servers.note_zone("s", "z");
    servers.note_zone("other", "y");
    for (attempt, server, at_ms) in
        [("a", "s", 3_000), ("b", "other", 7_000), ("c", "s", 7_000), ("d", "s", 9_500)]
    {
        servers.note_sent(attempt, instance(), ms(at_ms));
        servers.note_arrival(server, attempt, None, ms(at_ms));
    }
    assert!(servers.violations().is_empty(), "no zone is evacuated");
    servers.note_evacuation("z", true, ms(1_000));
    servers.note_evacuation("z", false, ms(9_000));
    assert!(servers.violations()[0].starts_with("1 requests"), "after 6 s: {servers:?}");
    servers.note_disturbance(Some(instance()), ms(4_000), ms(0));
    assert_eq!(servers.violations().len(), 1, "a restart is no excuse");
    servers.note_disturbance(None, ms(2_000), ms(500));
    assert!(servers.violations().is_empty(), "the store was away until 2.5 s");
}

#[test]
fn more_requests_than_a_cold_server_takes_are_a_violation() {
    let ms = std::time::Duration::from_millis;
    let mut servers = soak::servers::Servers::default();
    servers.note_cold("s", ms(1_000), ms(3_000));
    for index in 0..8 {
        servers.note_arrival("s", "a", None, ms(1_000 + index * 100));
        servers.note_arrival("s", "a", None, ms(4_100 + index));
    }
    assert!(servers.violations().is_empty(), "eight in a second, and more once it is warm");
    servers.note_arrival("s", "a", None, ms(1_900));
    assert_eq!(servers.violations().len(), 1, "nine in a second");
}
