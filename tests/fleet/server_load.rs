//! The choice among plain servers that state their load, on machines whose speed changes.

use std::time::Duration;

use galenayard::core::collections::Map;
use galenayard::core::fleet::server_load;
use galenayard::core::fleet::servers;

use super::SLOW_DIGESTS;
use super::ms;
use super::send_load;
use super::world;
use super::world::Stating;
use super::world::World;

/// The plain servers of the simulation.
const DESKS: [&str; 3] = ["desk-0", "desk-1", "desk-2"];

const OBJECTIVE: Duration = Duration::from_millis(150);

/// The number of walks of the machines, so that a single one does not decide.
const SEEDS: u64 = 5;

/// What callers got, over several walks of the machines.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    on_time: usize,
    late: usize,
    refused: usize,
    not_ended_once: usize,
    mean_ms: u128,
    p95_ms: u128,
    p99_ms: u128,
    load_reports: usize,
}

/// Runs fleets with `stating` servers on machines of changing speed; `interfere` changes each before
/// its load begins.
fn outcome<F>(instances: usize, per_s: u64, stating: Stating, interfere: F) -> Outcome
where
    F: Fn(&mut World),
{
    let mut outcome = Outcome::default();
    let mut times = Vec::new();
    for seed in 0..SEEDS {
        let mut world = World::new(instances, SLOW_DIGESTS, &world::servers());
        for (server, index) in DESKS.into_iter().zip(0..) {
            world.share_machine(server, seed * 3 + index, stating);
        }
        interfere(&mut world);
        send_load(&mut world, "order", instances, per_s, ms(6_000));
        world.run(ms(9_000));
        let summary = super::summary(&world, OBJECTIVE);
        outcome.requests += summary.requests;
        outcome.on_time += summary.on_time;
        outcome.late += summary.late;
        outcome.refused += summary.refused;
        outcome.not_ended_once += summary.not_ended_once;
        outcome.load_reports += world.load_reports.len();
        let served = world.records.values().filter(|record| record.finished);
        times.extend(served.filter_map(|it| Some((it.begun? - it.arrived).as_millis())));
    }
    times.sort_unstable();
    outcome.mean_ms = times.iter().sum::<u128>() / times.len() as u128;
    outcome.p95_ms = times[times.len() * 95 / 100];
    outcome.p99_ms = times[times.len() * 99 / 100];
    outcome
}

/// Returns the outcomes with servers that state their load and work, and with ones that state nothing.
fn outcomes<F: Fn(&mut World)>(instances: usize, per_s: u64, interfere: F) -> [Outcome; 2] {
    [Stating::LoadAndWork, Stating::Nothing]
        .map(|stating| outcome(instances, per_s, stating, &interfere))
}

#[test]
fn callers_are_served_sooner_if_servers_state_their_load() {
    let [on, off] = outcomes(6, 180, |_| {});
    assert!(on.late < off.late && on.p95_ms < off.p95_ms, "{on:?}, {off:?} without statements");
    assert_eq!((on.load_reports > 0, off.load_reports), (true, 0));
    insta::assert_debug_snapshot!("stated", on);
    insta::assert_debug_snapshot!("not_stated", off);
}

#[test]
fn instances_that_reach_no_owner_use_what_servers_state() {
    let [on, off] = outcomes(20, 240, |world| world.muted = (0..20).collect());
    assert!(on.late * 6 < off.late * 5, "{on:?}, {off:?} without statements");
}

#[test]
fn the_owner_that_is_lost_is_replaced_by_one_that_learns_the_loads() {
    for place in 0..3 {
        let lose = |world: &mut World| {
            let lost = world.coordinators()[place];
            world.kill(ms(2_000), lost);
        };
        let [on, off] = outcomes(20, 240, lose);
        assert!(on.late < off.late, "{place}: {on:?}, {off:?} without statements");
    }
}

#[test]
fn instances_of_older_builds_do_not_make_newer_ones_worse() {
    // Whether the owner of the service reads reports depends on which instances are older.
    for older in [[0, 1, 2], [3, 4, 5]] {
        let [on, off] = outcomes(6, 180, |world| world.older = older.to_vec());
        assert_eq!((on.not_ended_once, on.refused), (0, 0), "{older:?}: {on:?}");
        assert!(on.late * 10 <= off.late * 11, "{older:?}: {on:?}, {off:?} without statements");
    }
}

/// Starts six instances and servers at the usual speed, of which the first one states `stating` and the
/// others their load and work, and sends requests for some seconds.
fn world_with(stating: Stating, per_s: u64) -> World {
    let mut world = World::new(6, SLOW_DIGESTS, &world::servers());
    for (server, index) in DESKS.into_iter().zip(0..) {
        world.share_machine(server, index, if index == 0 { stating } else { Stating::LoadAndWork });
        world.fix_machine(server, 100);
    }
    send_load(&mut world, "order", 6, per_s, ms(10_000));
    world
}

/// Returns how many requests reach the first server in `span`.
fn arrivals_within(world: &mut World, span: Duration) -> usize {
    let before = world.arrivals(DESKS[0]).len();
    world.run(span);
    world.arrivals(DESKS[0]).len() - before
}

#[test]
fn a_slow_server_that_states_to_be_fast_and_empty_soon_gets_no_requests() {
    let mut world = world_with(Stating::LoadAndWork, 300);
    world.run(ms(3_000));
    let (running, waiting, slots, work_percent) = (0, 0, 6, Some(1.0));
    let lie = server_load::Statement { running, waiting, slots, work_percent };
    world.set_stating(DESKS[0], Stating::Always(lie));
    world.fix_machine(DESKS[0], 400);
    let got = arrivals_within(&mut world, ms(6_000));
    // An equal part is 600.
    assert!(got <= 30, "{got} requests in 6 s");
}

#[test]
fn a_server_whose_last_figure_was_bad_is_used_again() {
    let mut world = world_with(Stating::LoadAndWork, 240);
    world.run(ms(3_000));
    world.fix_machine(DESKS[0], 300);
    world.run(ms(200));
    world.fix_machine(DESKS[0], 100);
    world.run(ms(2_000));
    let got = arrivals_within(&mut world, ms(4_000));
    // An equal part is 320.
    assert!(got >= 160, "{got} requests in 4 s");
}

#[test]
fn a_restarted_server_is_not_judged_by_what_it_stated_before() {
    let mut world = world_with(Stating::LoadAndWork, 300);
    world.fix_machine(DESKS[0], 300);
    world.run(ms(3_000));
    world.set_stating(DESKS[0], Stating::Nothing);
    world.fix_machine(DESKS[0], 100);
    let entry = world::entry(DESKS[0], "desk", None);
    let restarted = servers::Entry { born_ms: 2, offset: 2, ..entry };
    world.list(ms(0), servers::EntryChange::Put(restarted));
    let got = arrivals_within(&mut world, ms(1_000));
    // An equal part is 100.
    assert!(got >= 50, "{got} requests in 1 s");
}

#[test]
fn a_server_that_states_nothing_is_used_beside_others() {
    let mut world = world_with(Stating::Nothing, 300);
    world.run(ms(1_000));
    let got = arrivals_within(&mut world, ms(8_000));
    // An equal part is 800.
    assert!(got >= 200, "{got} requests in 8 s");
}

#[test]
fn reports_on_a_server_are_bounded_in_a_large_fleet() {
    for (instances, interval) in [(6, ms(200)), (295, ms(5_900))] {
        let mut world = World::new(instances, SLOW_DIGESTS, &world::servers());
        for (server, index) in DESKS.into_iter().zip(0..) {
            world.share_machine(server, index, Stating::LoadAndWork);
        }
        let end = world.now + ms(14_000);
        send_load(&mut world, "order", instances, 240, ms(14_000));
        world.run(ms(14_000));
        let mut last = Map::default();
        for (at, instance, server) in &world.load_reports {
            let before = last.insert((instance, server), *at);
            assert!(before.is_none_or(|before| *at >= before + interval), "{instances}");
        }
        let late = world.load_reports.iter().filter(|(at, ..)| *at >= end - ms(6_000)).count();
        assert!(late <= 6 * 50 * DESKS.len(), "{instances}: {late} in 6 s");
    }
}
