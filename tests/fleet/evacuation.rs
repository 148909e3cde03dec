//! Failure domains that an operator evacuates under load, while something else fails.

use std::time::Duration;

use galenayard::core::fleet;
use galenayard::core::fleet::evacuation;
use galenayard::core::fleet::refusal;
use galenayard::core::fleet::servers;

use super::FAST_DIGESTS;
use super::ms;
use super::send_load;
use super::world;
use super::world::Health;
use super::world::World;

/// The time after the request within which an evacuation must be in force.
const BOUND: Duration = Duration::from_millis(5_000);

/// The time that is aimed at.
const TARGET: Duration = Duration::from_millis(1_000);

const COORDINATORS: [usize; 3] = [0, 1, 2];

/// The servers of the domain `b`: a prefill server, two decode servers and a plain one.
const EVACUATED: [&str; 4] = ["llm-0", "llm-3", "llm-4", "desk-0"];

/// Returns all servers at addresses of their own, those whose ids are given in the domain `b`.
fn servers(evacuated: &[&str]) -> Vec<servers::Entry> {
    let mut entries = world::servers();
    for (index, entry) in entries.iter_mut().enumerate() {
        entry.address = world::address(100 + index as u16);
        if evacuated.iter().any(|id| entry.id == *id) {
            entry.domain = "b".to_string();
        }
    }
    entries
}

/// Starts a fleet under load of all kinds for twelve seconds and runs it for two.
fn loaded_world(instances: usize) -> World {
    loaded_world_with_older(instances, Vec::new())
}

fn loaded_world_with_older(instances: usize, older: Vec<usize>) -> World {
    let entries = servers(&EVACUATED);
    let mut world = World::with_older(instances, FAST_DIGESTS, &entries, older.clone());
    world.evacuations.rejected = older;
    world.set_reads_store(&COORDINATORS[..instances.min(3)], true);
    for (host, per_s) in [("stream", 14), ("query", 60), ("order", 60)] {
        send_load(&mut world, host, instances, per_s, ms(12_000));
    }
    // Callers that return with their prompts.
    for index in 0..120 {
        world.arrive_with_prompt(ms(100 * index), index as usize % instances, index % 20);
    }
    world.run(ms(2_000));
    world
}

/// Returns the number of calls to servers of the domain `b` that some instances made from a time on.
fn calls_to_domain(world: &World, since: Duration, from: std::ops::Range<usize>) -> usize {
    let entries = servers(&EVACUATED);
    let evacuated: Vec<_> = entries.iter().filter(|entry| entry.domain == "b").collect();
    let calls = world.calls.iter().filter(|call| {
        let is_evacuated = evacuated.iter().any(|entry| entry.id == call.server);
        is_evacuated && call.at >= since && from.contains(&call.request.0)
    });
    let side_calls = world.side_calls.iter().filter(|(at, instance, address)| {
        let is_evacuated = evacuated.iter().any(|entry| entry.address == *address);
        is_evacuated && *at >= since && from.contains(instance)
    });
    calls.count() + side_calls.count()
}

/// Asserts that almost all requests were served and each ended once.
fn assert_served(world: &World, what: &str) {
    let requests = world.records.len();
    let ended_once = world.records.values().filter(|record| record.ends == 1).count();
    assert_eq!(ended_once, requests, "{what}");
    let finished = world.records.values().filter(|record| record.finished).count();
    assert!(finished * 100 >= requests * 95, "{what}: {finished} of {requests}");
}

#[test]
fn an_evacuated_domain_gets_nothing_and_its_streams_finish() {
    for instances in [1, 6, 60] {
        let mut world = loaded_world(instances);
        let at = world.now;
        world.evacuate("b", true);
        world.run(ms(20_000));
        assert!(calls_to_domain(&world, Duration::ZERO, 0..instances) > 0, "it was in use");
        let calls = calls_to_domain(&world, at + TARGET, 0..instances);
        assert_eq!(calls, 0, "{instances} instances");
        let cut = world.records.values().filter(|record| record.begun_at.len() > 1).count();
        assert_eq!(cut, 0, "no stream is cut");
        assert_served(&world, &format!("{instances} instances"));
    }
}

#[test]
fn without_the_evacuation_the_domain_stays_in_use_beyond_the_bound() {
    let mut world = loaded_world(6);
    let at = world.now;
    world.run(ms(20_000));
    assert!(calls_to_domain(&world, at + BOUND, 0..6) > 0);
}

#[test]
fn an_evacuation_holds_while_something_else_fails() {
    type Failure = (&'static str, fn(&mut World));
    let failures: [Failure; 6] = [
        ("the first coordinator is lost", |world| world.kill(ms(0), 0)),
        ("all coordinators are lost before they have read the record", |world| {
            world.evacuations.rejected = COORDINATORS.to_vec();
            for coordinator in COORDINATORS {
                world.kill(ms(0), coordinator);
            }
        }),
        ("the store rejects the coordinators", |world| {
            world.evacuations.rejected = COORDINATORS.to_vec();
            world.set_reads_store(&COORDINATORS, false);
        }),
        ("the first datagrams are lost", |world| {
            world.muted = (3..40).collect();
            world.run(ms(400));
            world.muted.clear();
        }),
        ("an instance starts that the store rejects", |world| {
            world.run(ms(500));
            world.evacuations.rejected = vec![30];
            world.restart(30);
        }),
        ("all instances are lost", |world| {
            world.run(ms(500));
            world.restart_all(&servers(&EVACUATED));
        }),
    ];
    for (failure, cause) in failures {
        let mut world = loaded_world(40);
        let at = world.now;
        world.evacuate("b", true);
        cause(&mut world);
        world.run(at + BOUND - world.now);
        assert_eq!(world.unaware_of_evacuation("b"), Vec::<usize>::new(), "{failure}");
        world.run(ms(20_000));
        assert_eq!(calls_to_domain(&world, at + BOUND, 0..40), 0, "{failure}");
    }
}

#[test]
fn an_instance_that_starts_sends_nothing_to_a_domain_that_was_evacuated_before() {
    for rejected in [vec![], vec![30]] {
        let mut world = loaded_world(40);
        world.evacuate("b", true);
        world.run(ms(3_000));
        let at = world.now;
        world.evacuations.rejected = rejected;
        world.restart(30);
        world.run(ms(3_000));
        let arrived = world.records.iter().filter(|((instance, _), record)| {
            *instance == 30 && record.arrived > at && record.sends > 0
        });
        assert!(arrived.count() > 5, "it serves requests");
        assert_eq!(calls_to_domain(&world, at, 0..40), 0);
    }
}

#[test]
fn instances_beside_older_builds_obey_and_owners_keep_older_ones_out_of_the_domain() {
    // Older coordinators grant places in the domain, and report nothing of the evacuation.
    for (older, obeying) in [(0..3, 3..20), (10..20, 0..20)] {
        let mut world = loaded_world_with_older(20, older.clone().collect());
        let at = world.now;
        world.evacuate("b", true);
        world.run(ms(20_000));
        let calls = calls_to_domain(&world, at + BOUND, obeying.clone());
        assert_eq!(calls, 0, "instances {obeying:?} beside older ones {older:?}");
        assert_served(&world, &format!("beside {older:?}"));
    }
}

#[test]
fn prompts_that_wait_for_a_decode_server_do_not_go_to_the_evacuated_domain() {
    let mut world = World::new(6, FAST_DIGESTS, &servers(&["llm-3", "llm-4"]));
    for index in 5..9 {
        world.set_health(ms(0), &format!("llm-{index}"), Health::RejectsRequests);
    }
    send_load(&mut world, "stream", 6, 10, ms(6_000));
    world.run(ms(2_000));
    let at = world.now;
    world.evacuate("b", true);
    world.run(ms(1_000));
    for index in 5..9 {
        world.set_health(ms(0), &format!("llm-{index}"), Health::Healthy);
    }
    world.run(ms(20_000));
    let late = |server| world.arrivals(server).iter().filter(|(it, _)| *it > at + ms(200)).count();
    assert_eq!((late("llm-3"), late("llm-4")), (0, 0));
    let is_twice = |record: &&world::Record| record.prefills > 1 || record.ends != 1;
    assert_eq!(world.records.values().filter(is_twice).count(), 0);
}

#[test]
fn a_service_without_a_server_elsewhere_refuses_at_once_until_the_lifting() {
    for instances in [1, 6] {
        let mut world =
            World::new(instances, FAST_DIGESTS, &servers(&["desk-0", "desk-1", "desk-2"]));
        // More than the servers take, so that some requests wait.
        send_load(&mut world, "query", instances, 900, ms(2_000));
        world.run(ms(1_000));
        let at = world.now;
        world.evacuate("b", true);
        world.run(ms(3_000));
        let records = world.records.values().filter(|record| record.arrived > at + ms(100));
        for record in records {
            let refusal = record.refused.expect("no server is left");
            assert_eq!((refusal.reason, refusal.status()), (refusal::Reason::Evacuated, 503));
            assert!(refusal.retry_after.is_some() && record.runs == 0);
            assert!(record.refused_at.expect("it is refused") <= record.arrived + ms(10));
        }
        let mut waited = world.records.values().filter(|record| record.arrived <= at);
        assert!(waited.all(|record| record.ends == 1), "those that waited are refused");
        world.evacuate("b", false);
        world.run(ms(1_000));
        let lifted = world.now;
        send_load(&mut world, "query", instances, 60, ms(1_000));
        world.run(ms(2_000));
        let mut after = world.records.values().filter(|record| record.arrived >= lifted);
        assert!(after.all(|record| record.finished), "{instances} instances");
    }
}

#[test]
fn a_domain_returns_with_a_growing_share_of_the_requests() {
    let mut world = World::new(6, FAST_DIGESTS, &servers(&EVACUATED));
    world.evacuate("b", true);
    send_load(&mut world, "query", 6, 560, ms(16_000));
    send_load(&mut world, "stream", 6, 40, ms(16_000));
    world.run(ms(4_000));
    world.evacuate("b", false);
    let at = world.now;
    world.run(ms(14_000));
    let calls = |server: &str, from, to| {
        let arrivals = world.arrivals(server).iter();
        arrivals.filter(|(it, _)| (at + ms(from)..at + ms(to)).contains(it)).count()
    };
    let (first, usual) = (calls("desk-0", 0, 500), calls("desk-0", 6_000, 6_500));
    assert!(
        first > 0 && first * 10 <= usual * 7,
        "{first} in the first half second, {usual} later"
    );
    // At 0.2 to 0.36 of its KV cache, of which 0.9 are used, a decode server holds four streams.
    let streams = calls("llm-3", 0, 1_000);
    assert!((1..=4).contains(&streams), "{streams} streams in the first second");
    assert!(calls("llm-3", 0, 6_000) >= 10, "the whole KV cache is used again");
}

#[test]
fn the_lines_of_an_evacuation_say_what_is_left() {
    let mut instance = world::new_fleet(0, world::address(1_000));
    let changes = servers(&["desk-0", "desk-1", "desk-2"]);
    let mut lines = Vec::new();
    let change = |position, is_in_force| fleet::Event::EvacuationsRead {
        changes: vec![evacuation::Change { domain: "b".to_string(), position, is_in_force }],
        complete: None,
        source: servers::Source::Steady,
    };
    let events = [
        (0, fleet::Event::MembersDiscovered(Vec::new())),
        (0, fleet::Event::Configured(std::sync::Arc::new(world::configuration()))),
        (0, listed(changes)),
        (50, fleet::Event::Ticked),
        (2_000, change(7, true)),
        (4_000, fleet::Event::Ticked),
        (9_000, change(8, false)),
    ];
    for (at, event) in events {
        for effect in instance.apply(event, ms(at)) {
            if let fleet::Effect::Log(decision) = effect {
                lines.push(serde_json::to_string(&decision).expect("it is encoded"));
            }
        }
    }
    lines.retain(|line| line.contains("domain") || line.contains("evacuated"));
    insta::assert_snapshot!(lines.join("\n"));
}

fn listed(entries: Vec<servers::Entry>) -> fleet::Event {
    fleet::Event::ServersChanged {
        changes: entries.into_iter().map(servers::EntryChange::Put).collect(),
        complete: None,
        source: servers::Source::Steady,
        sender_position: None,
    }
}
