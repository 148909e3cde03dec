//! Limits that servers name, kept by fleets of different sizes.

use std::time::Duration;

use galenayard::core::fleet::refusal;
use galenayard::core::fleet::servers;

use super::FAST_DIGESTS;
use super::ms;
use super::send_load;
use super::world;
use super::world::World;

/// The window of the platform's rule on limits.
const WINDOW: Duration = Duration::from_secs(4);

/// The time after a server's first answer that names its limit from which the rule holds.
const CONTACT: Duration = Duration::from_secs(3);

/// The time after an instance's first such answer from which its requests count.
const NOTICE: Duration = Duration::from_millis(500);

/// The plain servers of the simulation.
const DESKS: [&str; 3] = ["desk-0", "desk-1", "desk-2"];

/// Returns the highest number of requests that reached a server within a window that ends after
/// `from`, if only arrivals that `counts` are counted.
fn most_in_a_window<F>(world: &World, server: &str, from: Duration, counts: F) -> usize
where
    F: Fn(Duration, usize) -> bool,
{
    let arrivals = world.arrivals(server).iter().filter(|(at, instance)| counts(*at, *instance));
    let arrivals: Vec<_> = arrivals.map(|(at, _)| *at).collect();
    let ends = arrivals.iter().filter(|end| **end >= from);
    let within =
        |end: &Duration| arrivals.iter().filter(|at| **at + WINDOW > *end && **at <= *end).count();
    ends.map(within).max().unwrap_or(0)
}

/// Checks the platform's rule for a server that has named `limit_per_s` from `named` on.
fn assert_rule_is_kept(world: &World, server: &str, limit_per_s: f64, named: Duration) {
    let allowed = 1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0;
    let is_notified = |at: Duration, instance: usize| {
        let notified = world.notified.get(&(server.to_string().into(), instance));
        notified.is_some_and(|notified| at >= *notified + NOTICE)
    };
    let most = most_in_a_window(world, server, named + CONTACT, is_notified);
    assert!(most as f64 <= allowed, "{server}: {most} requests in 4 s, {allowed} allowed");
}

/// Checks that a server with a limit gets it while callers wait, and no more.
fn assert_limit_is_used(world: &World, server: &str, limit_per_s: f64, from: Duration) {
    let allowance = limit_per_s * WINDOW.as_secs_f64();
    let most = most_in_a_window(world, server, from + WINDOW, |_, _| true) as f64;
    assert!(most <= allowance * 1.1 + 2.0, "{server}: {most} requests in 4 s of {allowance}");
    let span = (world.now - from).as_secs_f64();
    let got = world.arrivals(server).iter().filter(|(at, _)| *at >= from).count() as f64;
    assert!(got >= limit_per_s * span * 0.7, "{server}: {got} requests in {span} s");
}

fn name_limits(world: &mut World, servers: &[&str], limit_per_s: f64) -> Duration {
    for server in servers {
        world.set_limit(ms(0), server, Some(limit_per_s));
    }
    world.now
}

#[test]
fn a_server_that_names_a_limit_gets_it_from_all_instances_together() {
    for instances in [1, 2, 6, 60] {
        for limit_per_s in [1.0, 4.0, 12.5] {
            let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
            send_load(&mut world, "query", instances, 120, ms(16_000));
            world.run(ms(2_000));
            let named = name_limits(&mut world, &["desk-0"], limit_per_s);
            world.run(ms(14_000));
            assert_rule_is_kept(&world, "desk-0", limit_per_s, named);
        }
    }
}

#[test]
fn servers_that_all_name_a_limit_get_it_while_callers_wait_and_no_more() {
    for instances in [1, 6, 60, 295] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "query", instances, 120, ms(14_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &DESKS, 4.0);
        world.run(ms(12_000));
        for server in DESKS {
            assert_rule_is_kept(&world, server, 4.0, named);
            assert_limit_is_used(&world, server, 4.0, named + ms(500));
        }
    }
}

#[test]
fn a_limit_holds_after_the_loss_of_all_instances() {
    for instances in [6, 60] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "query", instances, 120, ms(16_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &DESKS, 4.0);
        world.run(ms(5_000));
        world.restart_all(&world::servers());
        world.run(ms(9_000));
        for server in DESKS {
            assert_rule_is_kept(&world, server, 4.0, named);
        }
    }
}

#[test]
fn a_limit_holds_while_the_instances_that_grant_it_stop() {
    for instances in [6, 20] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "query", instances, 120, ms(18_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &DESKS, 4.0);
        for instance in 0..4 {
            world.kill(ms(3_000 + 1_500 * instance as u64), instance);
        }
        world.run(ms(16_000));
        for server in DESKS {
            assert_rule_is_kept(&world, server, 4.0, named);
        }
    }
}

#[test]
fn prompts_and_handovers_count_towards_the_limits_of_engines() {
    for instances in [1, 6, 60] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "stream", instances, 14, ms(18_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &["llm-0", "llm-3", "llm-4"], 0.5);
        world.run(ms(16_000));
        for server in ["llm-0", "llm-3", "llm-4"] {
            assert_rule_is_kept(&world, server, 0.5, named);
        }
    }
}

#[test]
fn rejected_and_repeated_requests_count_towards_a_limit() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    send_load(&mut world, "query", 6, 120, ms(14_000));
    world.run(ms(2_000));
    let named = name_limits(&mut world, &DESKS, 2.0);
    world.set_health(ms(0), "desk-0", world::Health::RejectsRequests);
    world.set_health(ms(0), "desk-1", world::Health::AnswersErrors);
    world.run(ms(12_000));
    for server in DESKS {
        assert_rule_is_kept(&world, server, 2.0, named);
    }
}

#[test]
fn a_limited_server_gets_its_limit_if_the_others_are_full() {
    for instances in [1, 6, 60] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "query", instances, 900, ms(12_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &["desk-0"], 20.0);
        world.run(ms(10_000));
        assert_rule_is_kept(&world, "desk-0", 20.0, named);
        assert_limit_is_used(&world, "desk-0", 20.0, named + ms(500));
    }
}

#[test]
fn a_withdrawn_limit_is_noticed_and_the_server_is_used_as_before() {
    for (instances, limit_per_s, notice_ms) in [(1, 4.0, 1_500), (6, 4.0, 1_500), (6, 0.0, 6_000)] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "query", instances, 400, ms(22_000));
        world.run(ms(2_000));
        name_limits(&mut world, &["desk-0"], limit_per_s);
        world.run(ms(10_000));
        world.set_limit(ms(0), "desk-0", None);
        let from = world.now + ms(notice_ms);
        world.run(ms(10_000));
        let got = world.arrivals("desk-0").iter().filter(|(at, _)| *at >= from).count() as f64;
        let rate = got / (world.now - from).as_secs_f64();
        assert!(rate >= 60.0, "{instances}, {limit_per_s}: {rate} a second");
    }
}

#[test]
fn a_limit_of_zero_leaves_a_trickle_that_shows_its_end() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    send_load(&mut world, "query", 6, 120, ms(22_000));
    world.run(ms(2_000));
    let named = name_limits(&mut world, &["desk-0"], 0.0);
    world.run(ms(20_000));
    assert_rule_is_kept(&world, "desk-0", 0.0, named);
    let from = named + ms(1_000);
    let got = world.arrivals("desk-0").iter().filter(|(at, _)| *at >= from).count();
    assert!((2..=6).contains(&got), "{got} requests in 19 s");
}

#[test]
fn a_limit_belongs_to_one_start_of_a_server() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    send_load(&mut world, "query", 6, 400, ms(12_000));
    world.run(ms(2_000));
    name_limits(&mut world, &["desk-0"], 1.0);
    world.run(ms(3_000));
    world.set_limit(ms(0), "desk-0", None);
    let entry = world::servers().into_iter().find(|entry| entry.id == "desk-0").expect("it exists");
    let restarted = servers::Entry { born_ms: 2, offset: 2, ..entry };
    world.list(ms(0), servers::EntryChange::Put(restarted));
    let from = world.now + ms(200);
    world.run(ms(3_000));
    let got = world.arrivals("desk-0").iter().filter(|(at, _)| *at >= from).count();
    assert!(got >= 150, "{got} requests in 2.8 s");
}

#[test]
fn requests_beyond_the_limits_of_all_servers_are_refused_at_once_as_not_run() {
    for instances in [1, 6] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "order", instances, 120, ms(10_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &DESKS, 4.0);
        world.run(ms(12_000));
        let records = world.records.values().filter(|record| record.arrived > named + ms(500));
        let (mut served, mut refused) = (0, 0);
        for record in records {
            assert_eq!(record.ends, 1, "{record:?}");
            let Some(refusal) = record.refused else {
                served += 1;
                continue;
            };
            refused += 1;
            assert_eq!((refusal.reason, refusal.status()), (refusal::Reason::NoCapacity, 503));
            assert!(refusal.retry_after.is_some(), "{record:?}");
            assert_eq!((record.runs, record.sends), (0, 1), "{record:?}");
        }
        assert!(served >= 70, "{instances}: {served} served, {refused} refused");
        let late = world.records.values().filter_map(|record| {
            let waited = record.refused_at? - record.arrived;
            (waited > ms(400)).then_some(waited)
        });
        let late = late.count();
        assert!(late * 10 <= refused, "{instances}: {late} of {refused} refused late");
    }
}

#[test]
fn a_quiet_workspace_gets_its_part_of_limited_servers() {
    for instances in [1, 6] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "busy", instances, 120, ms(14_000));
        send_load(&mut world, "quiet", instances, 4, ms(14_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &DESKS, 4.0);
        world.run(ms(13_000));
        let mut quiet = (0, 0);
        let records = world.records.values().filter(|record| record.arrived > named + ms(1_000));
        for record in records.filter(|record| record.host == "quiet") {
            quiet.0 += usize::from(record.runs > 0);
            quiet.1 += 1;
        }
        assert!(quiet.0 * 10 >= quiet.1 * 9, "{instances}: {} of {} served", quiet.0, quiet.1);
    }
}

#[test]
fn a_limit_holds_beside_instances_of_an_older_build() {
    // Whether the owner of the service knows of limits depends on which instances are older.
    for older in [vec![0, 1, 2], vec![3, 4, 5], vec![0, 3], vec![1, 4], vec![2, 5]] {
        let mut world = World::new(6, FAST_DIGESTS, &world::servers());
        world.older = older.clone();
        for index in 0..1_200 {
            let newer: Vec<_> = (0..6).filter(|instance| !older.contains(instance)).collect();
            world.arrive(ms(index * 10), newer[index as usize % newer.len()], "query", None);
        }
        world.run(ms(2_000));
        let named = name_limits(&mut world, &DESKS, 4.0);
        world.run(ms(10_000));
        for server in DESKS {
            assert_rule_is_kept(&world, server, 4.0, named);
            let got = world.arrivals(server).len();
            assert!(got > 20, "{older:?}: {got}");
        }
    }
}

#[test]
fn a_limit_holds_while_messages_between_instances_are_lost() {
    for muted in [vec![0], vec![0, 1, 2], vec![5], vec![0, 1, 2, 3, 4, 5]] {
        let mut world = World::new(6, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "query", 6, 120, ms(20_000));
        world.run(ms(2_000));
        let named = name_limits(&mut world, &DESKS, 4.0);
        world.run(ms(4_000));
        world.muted = muted.clone();
        world.run(ms(5_000));
        world.muted.clear();
        world.run(ms(9_000));
        for server in DESKS {
            assert_rule_is_kept(&world, server, 4.0, named);
        }
    }
}

#[test]
fn a_limit_that_is_named_while_instances_start_is_kept() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    for server in DESKS {
        world.set_limit(ms(0), server, Some(2.0));
    }
    send_load(&mut world, "query", 6, 200, ms(9_000));
    let named = world.now;
    for restart in 0..3 {
        world.run(ms(2_500));
        if restart < 2 {
            world.restart_all(&world::servers());
        }
    }
    for server in DESKS {
        assert_rule_is_kept(&world, server, 2.0, named);
    }
}
