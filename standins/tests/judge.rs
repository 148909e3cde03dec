//! The judge finds each fault in a record that was broken on purpose.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use standins::engine::{config, ledger};
use standins::load::{faults, judge, sample, workload};
use standins::plain;

fn load() -> workload::Workload {
    toml::from_str(include_str!("../../workloads/consortium.toml")).unwrap()
}

fn seconds(time_s: f64) -> Duration {
    Duration::from_secs_f64(time_s)
}

fn language(id: &str, sent_s: f64) -> sample::Sample {
    sample::Sample {
        workspace: 0,
        kind: sample::Kind::Language,
        id: id.to_owned(),
        request_id: String::new(),
        target: Some("127.0.0.1:1".parse().unwrap()),
        outcome: sample::Outcome::Answered,
        status: 200,
        reason: String::new(),
        sent: seconds(sent_s),
        first: Some(seconds(sent_s + 1.0)),
        last: Some(seconds(sent_s + 2.0)),
        ended: seconds(sent_s + 2.0),
        prompt_tokens: 1_000,
        max_tokens: 100,
        tokens: 100,
    }
}

fn order(id: &str) -> sample::Sample {
    sample::Sample {
        kind: sample::Kind::Order,
        first: None,
        last: None,
        prompt_tokens: 0,
        max_tokens: 0,
        tokens: 0,
        ..language(id, 1.0)
    }
}

fn execution(digest: &str, kind: ledger::Kind) -> ledger::Execution {
    ledger::Execution {
        id: "0".to_owned(),
        digest: digest.to_owned(),
        kind,
        outcome: ledger::Outcome::Delivered,
        ran: true,
        prompt_tokens: 1_000,
        cached_tokens: 0,
        prefill_tokens: if kind == ledger::Kind::Prefill { 1_000 } else { 0 },
        decoded_tokens: if kind == ledger::Kind::Prefill { 0 } else { 100 },
        delivered: true,
        held_pieces: 0,
        arrived_ms: 0,
    }
}

fn call(id: &str) -> plain::Call {
    plain::Call {
        id: id.to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        at_ms: 0,
        answered: true,
    }
}

/// A run without a fault: two language requests and an order.
struct Run {
    samples: Vec<sample::Sample>,
    ledgers: judge::Ledgers,
    events: judge::Events,
}

fn sound() -> Run {
    let engine = ledger::Records {
        executions: vec![
            execution("1", ledger::Kind::Prefill),
            execution("1", ledger::Kind::Decode),
            execution("2", ledger::Kind::Prefill),
            execution("2", ledger::Kind::Decode),
        ],
        ..ledger::Records::default()
    };
    let plain = plain::Records { calls: vec![call("o1")], ..plain::Records::default() };
    Run {
        samples: vec![language("1", 1.0), language("2", 1.5), order("o1")],
        ledgers: judge::Ledgers { engines: vec![engine], plains: vec![plain] },
        events: judge::Events::default(),
    }
}

fn figures(run: &Run) -> judge::Figures {
    judge::judge(&load(), seconds(10.0), &run.samples, &run.ledgers, &run.events)
}

fn broken(change: impl FnOnce(&mut Run)) -> judge::Figures {
    let mut run = sound();
    change(&mut run);
    figures(&run)
}

#[test]
fn a_sound_record_has_no_violation() {
    let figures = figures(&sound());
    assert_eq!(figures.violations, judge::Violations::default());
    assert_eq!((figures.goodput, figures.wasted_prefill_tokens), (1.0, 0));
    assert_eq!(figures.first_token.p95_ms.round(), 1_000.0);
    assert_eq!((figures.accepted, figures.wrongly_refused), (2, 0));
}

#[test]
fn each_broken_record_shows_its_violation() {
    let doubled = broken(|run| run.ledgers.plains[0].calls.push(call("o1")));
    assert_eq!(doubled.violations.doubled_calls, 1);
    let twice = broken(|run| {
        run.ledgers.engines[0].executions.push(execution("2", ledger::Kind::Whole));
    });
    assert_eq!(twice.violations.doubled_answers, 1);
    let missing = broken(|run| run.samples[0].outcome = sample::Outcome::Missing);
    assert_eq!(missing.violations.missing_answers, 1);
    let crossed = broken(|run| run.samples[0].outcome = sample::Outcome::Crossed);
    assert_eq!(crossed.violations.crossed_answers, 1);
    let ran = broken(|run| run.samples[2].outcome = sample::Outcome::RefusedNotRun);
    assert_eq!(ran.violations.false_not_run, 1);
    let ran = broken(|run| run.samples[1].outcome = sample::Outcome::RefusedNotRun);
    assert_eq!(ran.violations.false_not_run, 1);
    let absent = broken(|run| run.ledgers.plains[0].calls.clear());
    assert_eq!(absent.violations.answered_not_run, 1);
    let orphan = broken(|run| run.ledgers.engines[0].executions[0].held_pieces = 3);
    assert_eq!(orphan.violations.orphan_pieces, 3);
    let leak = broken(|run| run.ledgers.plains[0].authorization_seen = 1);
    assert_eq!(leak.violations.leaked_keys, 1);
    let withdrawn = broken(|run| {
        run.events.withdrawn.push((seconds(1.0), 0));
        run.samples[0].sent = seconds(6.5);
    });
    assert_eq!(withdrawn.violations.withdrawn_key_ran, 1);
}

#[test]
fn tokens_above_burst_and_rate_are_found() {
    // The burst is 60,000 tokens and 12,000 more come each second.
    let over = broken(|run| {
        run.samples[0].prompt_tokens = 50_000;
        run.samples[1].prompt_tokens = 50_000;
    });
    assert_eq!(over.violations.over_admitted_tokens, 100_200 - 60_000 - 18_000);
    let within = broken(|run| {
        run.samples[0].prompt_tokens = 38_900;
        run.samples[1].prompt_tokens = 38_900;
    });
    assert_eq!(within.violations.over_admitted_tokens, 0);
}

#[test]
fn refusals_are_wrong_while_the_callers_own_count_has_tokens() {
    let refuse = |run: &mut Run| {
        run.samples[1].outcome = sample::Outcome::RefusedNotRun;
        run.samples[1].ended = run.samples[1].sent;
        run.samples[1].first = None;
    };
    let wrong = broken(refuse);
    assert_eq!(wrong.wrongly_refused, 1);
    let right = broken(|run| {
        refuse(run);
        run.samples[0].prompt_tokens = 65_000;
        run.samples[0].ended = seconds(9.0);
    });
    assert_eq!(right.wrongly_refused, 0);
}

#[test]
fn waste_and_late_answers_are_counted() {
    let again = broken(|run| {
        run.ledgers.engines[0].executions.push(execution("1", ledger::Kind::Prefill));
        run.samples[1].outcome = sample::Outcome::Missing;
    });
    assert_eq!(again.wasted_prefill_tokens, 2_000);
    let late = broken(|run| run.samples[0].first = Some(seconds(2.31)));
    assert_eq!(late.goodput, 0.5);
    let slow = broken(|run| run.samples[0].last = Some(seconds(6.3)));
    assert_eq!(slow.goodput, 0.5);
    let worst = slow.worst_served;
    assert_eq!((worst.workspace.as_str(), worst.share), ("ceylon-pearls", 0.5));
}

#[test]
fn an_answer_cut_by_the_loss_of_its_instance_is_told_apart() {
    let cut = broken(|run| {
        run.samples[0].outcome = sample::Outcome::Missing;
        run.events.lost.push((seconds(2.0), "127.0.0.1:1".parse().unwrap()));
    });
    assert_eq!((cut.cut_by_loss, cut.violations.missing_answers), (1, 0));
}

#[test]
fn a_plan_depends_on_its_seed_alone() {
    let load = load();
    let plan = |seed| format!("{:?}", load.plan(seed, seconds(3.0), 1.0));
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

#[test]
fn the_files_are_understood() {
    let cooperative: workload::Workload =
        toml::from_str(include_str!("../../workloads/cooperative.toml")).unwrap();
    let groups = cooperative.fleet.engines.into_iter().map(|group| config::group(group).unwrap());
    assert_eq!(groups.map(|group| group.len()).sum::<usize>(), 12);
    let schedule: faults::Schedule =
        toml::from_str(include_str!("../../workloads/faults.toml")).unwrap();
    assert!(schedule.faults.len() > 5);
}
