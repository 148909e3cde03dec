//! Cold servers, whose rate of requests is bounded over fleets of different sizes.

use std::time::Duration;

use galenayard::core::fleet;
use galenayard::core::fleet::notices;
use galenayard::core::fleet::refusal;
use galenayard::core::fleet::servers;

use super::FAST_DIGESTS;
use super::ms;
use super::send_load;
use super::world;
use super::world::World;

/// The window of the rule on cold servers.
const WINDOW: Duration = Duration::from_secs(1);

/// The time for which the servers of these tests are cold.
const COLD: Duration = Duration::from_secs(6);

/// The plain servers of the simulation.
const DESKS: [&str; 3] = ["desk-0", "desk-1", "desk-2"];

/// Fleets and bounds.
const CASES: [(usize, f64); 7] =
    [(1, 2.0), (1, 10.0), (6, 2.0), (6, 40.0), (60, 2.0), (60, 10.0), (295, 10.0)];

fn entry(name: &str) -> servers::Entry {
    let entry = world::servers().into_iter().find(|entry| entry.id == name);
    entry.expect("the server exists")
}

/// Returns the entry that a server writes when it turns cold.
fn cold_entry(name: &str) -> servers::Entry {
    servers::Entry { cold_ms: COLD.as_millis() as u32, offset: 2, ..entry(name) }
}

/// Runs a fleet that bounds the requests to cold servers for 2 s under load.
fn loaded_world(instances: usize, per_s: f64, host: &'static str, load_per_s: u64) -> World {
    let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
    world.bound_cold_servers(per_s, COLD);
    send_load(&mut world, host, instances, load_per_s, ms(12_000));
    world.run(ms(2_000));
    world
}

/// Lists servers as cold and returns the time.
fn turn_cold(world: &mut World, servers: &[&str]) -> Duration {
    for server in servers {
        world.list(ms(0), servers::EntryChange::Put(cold_entry(server)));
    }
    world.now
}

/// Returns the arrivals at a server in the cold time from `from` on.
fn cold_arrivals(world: &World, server: &str, from: Duration) -> Vec<Duration> {
    let arrivals = world.arrivals(server).iter().map(|(at, _)| *at);
    arrivals.filter(|at| *at >= from && *at < from + COLD).collect()
}

fn most_in_a_window(world: &World, server: &str, from: Duration) -> usize {
    let arrivals = cold_arrivals(world, server, from);
    let within =
        |end: &Duration| arrivals.iter().filter(|at| **at + WINDOW > *end && **at <= *end).count();
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Checks the rule for servers that are cold from `from` on.
fn assert_kept(world: &World, servers: &[&str], per_s: f64, from: Duration) {
    for server in servers {
        let allowed = 1.5 * per_s + 5.0;
        let most = most_in_a_window(world, server, from);
        assert!(most as f64 <= allowed, "{server}: {most} requests in 1 s, {allowed} allowed");
    }
}

/// Checks the rule, and that the servers get half of their bound while callers wait.
fn assert_kept_and_used(world: &World, servers: &[&str], per_s: f64, from: Duration) {
    assert_kept(world, servers, per_s, from);
    for server in servers {
        let got = cold_arrivals(world, server, from).len() as f64;
        let least = per_s * COLD.as_secs_f64() / 2.0;
        assert!(got >= least, "{server}: {got} requests in 6 s, at least {least} wanted");
    }
}

/// Returns the number of requests that have reached a server since a time.
fn arrivals_since(world: &World, server: &str, since: Duration) -> usize {
    world.arrivals(server).iter().filter(|(at, _)| *at >= since).count()
}

#[test]
fn a_server_that_starts_or_turns_cold_under_load_gets_its_bound_and_then_its_usual_load() {
    for (instances, per_s) in CASES {
        for is_start in [true, false] {
            let mut world = loaded_world(instances, per_s, "query", 600);
            if is_start {
                let id = entry("desk-0").id;
                world.list(ms(0), servers::EntryChange::Removed { id, offset: 1 });
                world.run(ms(500));
            }
            let from = turn_cold(&mut world, &["desk-0"]);
            world.run(COLD + ms(100));
            assert_kept_and_used(&world, &["desk-0"], per_s, from);
            let warm = world.now;
            world.run(ms(1_000));
            let got = arrivals_since(&world, "desk-0", warm);
            assert!(got >= 100, "{instances}, {per_s}: {got} requests in 1 s once it is warm");
        }
    }
}

#[test]
fn without_a_bound_cold_servers_get_more_than_they_tolerate() {
    for instances in [1, 6, 60] {
        let mut world = loaded_world(instances, 0.0, "query", 300);
        let from = turn_cold(&mut world, &DESKS);
        world.run(COLD);
        for server in DESKS {
            let most = most_in_a_window(&world, server, from);
            assert!(most as f64 > 1.5 * 10.0 + 5.0, "{instances}: {server} got {most}");
        }
    }
}

#[test]
fn servers_of_a_service_that_are_all_cold_get_their_bounds_and_the_rest_is_refused_at_once() {
    for (instances, per_s) in CASES {
        let mut world = loaded_world(instances, per_s, "order", 200);
        let from = turn_cold(&mut world, &DESKS);
        world.run(COLD);
        assert_kept_and_used(&world, &DESKS, per_s, from);
        let (mut refused, mut late) = (0, 0);
        for record in world.records.values() {
            let Some(refusal) = record.refused else { continue };
            refused += 1;
            assert_eq!((refusal.reason, refusal.status()), (refusal::Reason::NoCapacity, 503));
            assert!(refusal.retry_after.is_some() && record.runs == 0, "{record:?}");
            let waited = record.refused_at.expect("it was refused") - record.arrived;
            late += usize::from(waited > ms(400));
        }
        // Bounds that serve most of the load leave a queue, whose order decides when one is refused.
        let is_overloaded = per_s <= 10.0;
        let is_prompt = late * 10 <= refused;
        assert!(!is_overloaded || is_prompt, "{instances}, {per_s}: {late} of {refused} are late");
    }
}

#[test]
fn a_quiet_workspace_gets_its_part_of_cold_servers() {
    for instances in [1, 6] {
        let mut world = loaded_world(instances, 4.0, "busy", 120);
        let from = turn_cold(&mut world, &DESKS);
        send_load(&mut world, "quiet", instances, 4, ms(5_000));
        world.run(COLD);
        let quiet = world.records.values().filter(|record| record.host == "quiet");
        let quiet: Vec<_> = quiet.filter(|record| record.arrived > from + ms(1_000)).collect();
        let served = quiet.iter().filter(|record| record.runs > 0).count();
        assert!(served * 10 >= quiet.len() * 9, "{instances}: {served} of {}", quiet.len());
    }
}

#[test]
fn the_bound_holds_when_the_owner_is_lost_as_servers_turn_cold() {
    for instances in [6, 20] {
        for place in 0..3 {
            let mut world = loaded_world(instances, 10.0, "query", 300);
            world.kill(ms(10), world.coordinators()[place]);
            let from = turn_cold(&mut world, &DESKS);
            world.run(COLD);
            assert_kept_and_used(&world, &DESKS, 10.0, from);
        }
    }
}

#[test]
fn the_bound_holds_after_the_loss_of_all_instances() {
    for instances in [1, 6, 60, 295] {
        let mut world = loaded_world(instances, 10.0, "query", 300);
        let from = turn_cold(&mut world, &DESKS);
        world.run(ms(2_000));
        let is_cold = |entry: &servers::Entry| DESKS.iter().any(|desk| entry.id == *desk);
        let mut entries = world::servers();
        for entry in entries.iter_mut().filter(|entry| is_cold(entry)) {
            *entry = servers::Entry { cold_ms: 4_000, offset: 3, ..entry.clone() };
        }
        world.restart_all(&entries);
        world.run(ms(4_000));
        assert_kept(&world, &DESKS, 10.0, from);
    }
}

#[test]
fn the_bound_holds_beside_instances_of_an_older_build() {
    // Whether the owner of the service knows of the bound depends on which instances are older.
    for older in [vec![0, 1, 2], vec![3, 4, 5], vec![0, 3], vec![1, 4], vec![2, 5]] {
        let mut world = World::new(6, FAST_DIGESTS, &world::servers());
        world.bound_cold_servers(10.0, COLD);
        world.make_older(&older);
        let newer: Vec<_> = (0..6).filter(|instance| !older.contains(instance)).collect();
        for index in 0..2_400 {
            world.arrive(ms(index * 4), newer[index as usize % newer.len()], "query", None);
        }
        world.run(ms(2_000));
        let from = turn_cold(&mut world, &DESKS);
        world.run(COLD);
        assert_kept(&world, &DESKS, 10.0, from);
        let got = cold_arrivals(&world, "desk-0", from).len();
        assert!(got >= 10, "{older:?}: {got}");
    }
}

#[test]
fn prefills_and_decodes_count_towards_the_bounds_of_engines() {
    for instances in [1, 6, 60] {
        for per_s in [0.5, 2.0] {
            let mut world = loaded_world(instances, per_s, "stream", 20);
            let engines = ["llm-0", "llm-3", "llm-4"];
            let from = turn_cold(&mut world, &engines);
            world.run(COLD);
            assert_kept(&world, &engines, per_s, from);
        }
    }
}

/// Runs for `span`, in which callers disconnect as soon as their prompt is at a decode server.
fn run_with_disconnects(world: &mut World, span: Duration) {
    let prefills = ["llm-0", "llm-1", "llm-2"];
    let end = world.now + span;
    while world.now < end {
        world.run(ms(4));
        let is_decoding = |record: &world::Record| {
            let is_prefill = prefills.iter().any(|prefill| record.last_server == *prefill);
            record.is_in_flight && record.prefills == 1 && !is_prefill
        };
        let decoding = world.records.iter_mut().filter(|(_, record)| is_decoding(record));
        let mut decoding: Vec<_> = decoding
            .map(|(id, record)| {
                record.is_in_flight = false;
                *id
            })
            .collect();
        decoding.sort_unstable();
        for (instance, request) in decoding {
            world.apply_at(instance, fleet::Event::CallerDisconnected { request });
        }
    }
}

#[test]
fn released_prompts_count_towards_the_bound_of_a_prefill_server() {
    for instances in [1, 6] {
        let mut world = loaded_world(instances, 20.0, "stream", 90);
        let prefills = ["llm-0", "llm-1", "llm-2"];
        for server in prefills {
            world.set_prefill_speed(server, 4.0);
        }
        run_with_disconnects(&mut world, ms(1_000));
        assert!(world.releases >= 20, "{instances}: {} prompts were released", world.releases);
        let from = turn_cold(&mut world, &prefills);
        run_with_disconnects(&mut world, COLD);
        assert_kept(&world, &prefills, 20.0, from);
        let got = cold_arrivals(&world, "llm-0", from).len();
        assert!(got >= 60, "{instances}: {got} requests in 6 s");
    }
}

#[test]
fn of_a_named_limit_and_the_bound_the_lower_one_holds() {
    for (instances, limit_per_s, per_s) in [(1, 4.0, 10.0), (6, 4.0, 10.0), (6, 40.0, 10.0)] {
        let mut world = loaded_world(instances, per_s, "query", 300);
        for server in DESKS {
            world.set_limit(ms(0), server, Some(limit_per_s));
        }
        world.run(ms(2_000));
        let from = turn_cold(&mut world, &DESKS);
        world.run(COLD);
        assert_kept_and_used(&world, &DESKS, limit_per_s.min(per_s), from);
        let warm = world.now;
        world.run(ms(1_000));
        let got = arrivals_since(&world, "desk-0", warm) as f64;
        let usual = limit_per_s * 0.7..=limit_per_s * 1.3 + 2.0;
        assert!(usual.contains(&got), "{got} requests in 1 s after the cold time");
    }
}

#[test]
fn a_cold_time_that_an_answer_states_is_kept_by_the_whole_fleet() {
    for instances in [1, 6, 60] {
        let mut world = loaded_world(instances, 10.0, "query", 300);
        world.set_notice("desk-0", notices::Notice { cold: Some(COLD), ..Default::default() });
        // An answer reaches its instance after the work; that tells the owner.
        world.run(world::WORK + world::LATENCY * 4);
        let from = world.now;
        world.run(COLD);
        assert_kept(&world, &["desk-0"], 10.0, from);
    }
}

#[test]
fn the_bound_holds_while_only_one_coordinator_has_read_that_servers_are_cold() {
    for place in 0..3 {
        let mut world = loaded_world(20, 10.0, "query", 300);
        let coordinators = world.coordinators();
        world.set_reads_store(&coordinators, true);
        let first = coordinators[place];
        let others: Vec<_> = (0..20).filter(|instance| *instance != first).collect();
        let from = world.now;
        for server in DESKS {
            let change = servers::EntryChange::Put(cold_entry(server));
            world.list_at_some(ms(0), &[first], &change);
            world.list_at_some(ms(700), &others, &change);
        }
        world.run(COLD);
        assert_kept(&world, &DESKS, 10.0, from);
    }
}

#[test]
fn the_bound_holds_while_messages_between_instances_are_lost() {
    for muted in [vec![0], vec![0, 1, 2], vec![0, 1, 2, 3, 4, 5]] {
        let mut world = loaded_world(6, 10.0, "query", 300);
        let from = turn_cold(&mut world, &DESKS);
        world.run(ms(1_000));
        world.muted = muted;
        world.run(ms(3_000));
        world.muted.clear();
        world.run(ms(2_000));
        assert_kept(&world, &DESKS, 10.0, from);
    }
}

#[test]
fn fourteen_hundred_cold_servers_without_requests_are_reported_once_when_they_turn_cold() {
    let listed = |cold_ms: u32, offset: u64| {
        let entry = |index| world::entry(&format!("desk-{index}"), "desk", None);
        let entries = (0..1_400).map(|index| servers::Entry { cold_ms, offset, ..entry(index) });
        entries.collect::<Vec<_>>()
    };
    let mut world = World::new(6, FAST_DIGESTS, &listed(0, 1));
    world.bound_cold_servers(10.0, COLD);
    let coordinators = world.coordinators();
    world.set_reads_store(&coordinators, true);
    let turned = listed(6_000, 2).into_iter().map(servers::EntryChange::Put).collect();
    world.apply_to_all(&world::listed(turned));
    // Three readers tell two others each, of 32 servers in a message.
    let expected = 3 * 2 * 1_400_usize.div_ceil(32);
    assert_eq!(world.limit_messages, expected);
    world.run(ms(3_000));
    assert_eq!(world.limit_messages, expected);
}
