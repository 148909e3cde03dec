//! Hedged requests: a second send of a plain request that takes longer than most others.

use std::time::Duration;

use galenayard::core::fleet::hedging;
use galenayard::core::fleet::servers;

use crate::FAST_DIGESTS;
use crate::SLOW_DIGESTS;
use crate::ms;
use crate::send_load;
use crate::world;
use crate::world::Health;
use crate::world::World;

const SHARE: f64 = 0.05;
const OFF: f64 = 0.0;

/// The outcome of the requests of one host.
#[derive(Debug)]
#[allow(dead_code, reason = "the fields are printed in snapshots")]
struct Outcome {
    requests: usize,
    answered: usize,
    median_ms: u128,
    p95_ms: u128,
    p99_ms: u128,
    extra_arrivals: usize,
}

/// Returns the records of requests, without those of second legs.
fn requests<'a>(
    world: &'a World,
    host: &'a str,
) -> impl Iterator<Item = (&'a (usize, u64), &'a world::Record)> {
    let records = world.records.iter();
    records.filter(move |((_, number), record)| {
        record.host == host && !hedging::is_second_leg(*number)
    })
}

fn outcome(world: &World, host: &str) -> Outcome {
    let times = requests(world, host)
        .filter_map(|(_, record)| Some(record.answered?.saturating_sub(record.arrived)));
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let percentile = |percent: usize| times[(times.len() * percent).div_ceil(100) - 1].as_millis();
    let sent = requests(world, host).filter(|(_, record)| record.sends > 0).count();
    Outcome {
        requests: requests(world, host).count(),
        answered: times.len(),
        median_ms: percentile(50),
        p95_ms: percentile(95),
        p99_ms: percentile(99),
        extra_arrivals: world.calls.len() - sent,
    }
}

/// Four plain servers in two failure domains.
fn plain_servers() -> Vec<servers::Entry> {
    let entry = |index: usize| {
        let domain = if index < 2 { "a" } else { "b" }.to_string();
        servers::Entry { domain, ..world::entry(&format!("desk-{index}"), "desk", None) }
    };
    (0..4).map(entry).collect()
}

/// Returns whether the second server is in another failure domain than the first one.
fn is_elsewhere(hedge: &world::Hedge) -> bool {
    let is_in_first = |server: &[u8]| server < &b"desk-2"[..];
    is_in_first(&hedge.first_server) != is_in_first(&hedge.server)
}

/// Runs requests before a server that takes four times as long and others whose work is spread.
fn run_before_a_slow_server(share: f64) -> World {
    let mut world = World::with_hedging(share, 3, FAST_DIGESTS, &plain_servers());
    world.spread_work(7);
    world.slow_down("desk-0", 4.0);
    send_load(&mut world, "query", 3, 200, ms(30_000));
    world.run(ms(32_000));
    world
}

/// Guards against hedges that do not cut the slowest answers, or take more than the share.
#[test]
fn a_slow_server_and_long_work_spoil_fewer_answers_with_hedges() {
    let off = outcome(&run_before_a_slow_server(OFF), "query");
    let world = run_before_a_slow_server(SHARE);
    let on = outcome(&world, "query");
    insta::assert_debug_snapshot!("a_slow_server_without_hedges", off);
    insta::assert_debug_snapshot!("a_slow_server_with_hedges", on);
    assert!(on.p99_ms < off.p99_ms && on.p95_ms <= off.p95_ms, "{on:?} against {off:?}");
    assert!(world.hedges.len() as f64 <= SHARE * on.requests as f64, "{on:?}");
    assert!(requests(&world, "query").all(|(_, record)| record.ends == 1));
    assert!(world.hedges.iter().all(|hedge| hedge.server != hedge.first_server));
    // The others found no less loaded server in the other failure domain.
    let elsewhere = world.hedges.iter().filter(|hedge| is_elsewhere(hedge)).count();
    assert!(elsewhere * 10 >= world.hedges.len() * 8, "{elsewhere} of {}", world.hedges.len());
}

/// Returns the hedges at a moderate load, and later at a higher one.
fn hedges_at(per_s: u64) -> (usize, usize) {
    let mut world = World::with_hedging(SHARE, 3, FAST_DIGESTS, &plain_servers());
    world.spread_work(7);
    send_load(&mut world, "query", 3, 200, ms(10_000));
    world.run(ms(10_000));
    let before = world.hedges.len();
    send_load(&mut world, "query", 3, per_s, ms(4_000));
    // Digests tell of the load within their interval.
    world.run(ms(500));
    let risen = world.hedges.len();
    world.run(ms(3_500));
    (before, world.hedges.len() - risen)
}

/// Guards against hedges that add to an overload. The servers serve some 770 requests a second.
#[test]
fn hedges_stop_by_themselves_in_an_overload() {
    let (before, in_overload) = hedges_at(1_200);
    assert!(before > 20, "{before} hedges before the overload");
    assert_eq!(in_overload, 0, "hedges in the overload");
    // Nine slots in ten are taken, and few requests wait: the rule of the free slots stops most of the
    // hedges, of which there are 52 without it.
    let (_, near_capacity) = hedges_at(700);
    assert!(near_capacity <= 15, "{near_capacity} hedges of 2,450 requests near the capacity");
}

/// Guards against requests that wait for the timeout of a server that does not answer.
#[test]
fn a_lost_answer_is_replaced_by_that_of_the_second_server() {
    let run = |share: f64| {
        let mut world = World::with_hedging(share, 3, FAST_DIGESTS, &plain_servers());
        world.spread_work(7);
        send_load(&mut world, "query", 3, 60, ms(10_000));
        world.run(ms(10_000));
        // The faster one of these gets nearly all requests.
        for server in ["desk-0", "desk-1"] {
            world.set_health(ms(0), server, Health::NeverAnswers);
            world.set_health(ms(100), server, Health::Healthy);
        }
        send_load(&mut world, "query", 3, 60, ms(100));
        world.run(ms(3_000));
        world
    };
    let late = |world: &World| {
        let late =
            |record: &world::Record| record.answered.is_none_or(|at| at > record.arrived + ms(250));
        requests(world, "query").filter(|(_, record)| late(record)).count()
    };
    let (off, on) = (run(OFF), run(SHARE));
    assert!(late(&off) > 0, "no answer was lost without hedges");
    assert_eq!(late(&on), 0, "of {} without hedges", late(&off));
    assert!(on.hedges.iter().all(is_elsewhere), "other failure domains have room");
    assert!(requests(&on, "query").all(|(_, record)| record.ends == 1));
}

/// Guards against a reservation of a second leg that outlives its instance, and a request that ends
/// twice.
#[test]
fn an_instance_that_dies_between_both_sends_leaves_nothing() {
    let mut world = World::with_hedging(SHARE, 4, FAST_DIGESTS, &plain_servers());
    world.spread_work(7);
    send_load(&mut world, "query", 4, 200, ms(10_000));
    world.run(ms(5_000));
    // The last instance is no coordinator.
    let has_just_hedged = (0..5_000).any(|_| {
        let known = world.hedges.len();
        world.run(ms(1));
        world.hedges[known..].iter().any(|hedge| hedge.request.0 == 3)
    });
    assert!(has_just_hedged);
    world.kill(ms(0), 3);
    world.run(ms(5_000));
    let hedges = world.hedges.len();
    send_load(&mut world, "query", 3, 200, ms(5_000));
    world.run(ms(7_000));
    assert!(world.hedges.len() > hedges, "the others hedge on");
    let others = requests(&world, "query").filter(|((instance, _), _)| *instance != 3);
    for (number, record) in others {
        assert!(record.finished && record.ends == 1, "{number:?} {record:?}");
    }
}

/// Guards against a sum over many instances beyond the share, although each has few requests.
#[test]
fn all_of_many_instances_together_keep_the_share() {
    let entry = |index| world::entry(&format!("desk-{index}"), "desk", None);
    let entries: Vec<_> = (0..20).map(entry).collect();
    let mut world = World::with_hedging(SHARE, 295, SLOW_DIGESTS, &entries);
    world.spread_work(7);
    send_load(&mut world, "query", 295, 1_500, ms(12_000));
    world.run(ms(13_000));
    let requests = requests(&world, "query").count();
    let hedges = world.hedges.len();
    assert!(hedges > 0, "no hedge of {requests} requests");
    assert!(hedges as f64 <= SHARE * requests as f64, "{hedges} of {requests}");
}

/// Guards against a second run of a request that may run once.
#[test]
fn a_request_that_may_run_once_is_never_hedged() {
    let mut world = World::with_hedging(SHARE, 3, FAST_DIGESTS, &plain_servers());
    world.spread_work(7);
    world.slow_down("desk-0", 4.0);
    send_load(&mut world, "order", 3, 200, ms(10_000));
    world.run(ms(12_000));
    assert!(world.hedges.is_empty());
    assert!(requests(&world, "order").all(|(_, record)| record.runs <= 1));
}

/// Guards against second legs that only owners of this build can grant.
#[test]
fn owners_of_an_older_build_grant_second_legs() {
    let mut world = World::with_hedging(SHARE, 6, FAST_DIGESTS, &plain_servers());
    world.older = world.coordinators();
    world.spread_work(7);
    send_load(&mut world, "query", 6, 200, ms(15_000));
    world.run(ms(17_000));
    let by_newer = world.hedges.iter().filter(|hedge| !world.older.contains(&hedge.request.0));
    assert!(by_newer.count() > 0);
    assert!(requests(&world, "query").all(|(_, record)| record.finished && record.ends == 1));
}
