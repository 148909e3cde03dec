//! Bursts of more requests than the servers can answer within their objectives.

use std::collections::BTreeMap;
use std::sync;
use std::time::Duration;

use galenayard::core::fleet;
use galenayard::core::fleet::call;
use galenayard::core::fleet::servers;

use super::FAST_DIGESTS;
use super::ms;
use super::send_load;
use super::world;
use super::world::World;

/// The objectives of the routes of plain services and of engines.
const PLAIN_OBJECTIVE: Duration = Duration::from_millis(150);

/// The plain requests that the simulated servers answer in a second.
const PLAIN_ROOM_PER_S: u64 = 600;

/// The length of a burst.
const BURST: Duration = Duration::from_secs(4);

/// What became of the requests of one host, which belong to one workspace.
#[derive(Debug, Default, Clone)]
struct Outcome {
    in_time: usize,
    /// The time until half of the answers in time had begun.
    in_time_after_ms: u128,
    late: usize,
    refused: usize,
    /// The time until half of the refusals, and until all of them.
    refused_after_ms: (u128, u128),
}

/// Returns what became of the requests that arrived after `from`, by host.
fn outcomes(world: &World, from: Duration) -> BTreeMap<&'static str, Outcome> {
    let mut outcomes: BTreeMap<_, Outcome> = BTreeMap::new();
    let mut in_time_after: BTreeMap<_, Vec<u128>> = BTreeMap::new();
    let mut refused_after: BTreeMap<_, Vec<u128>> = BTreeMap::new();
    for record in world.records.values().filter(|record| record.arrived >= from) {
        let objective = if record.host.ends_with("stream") { ms(900) } else { PLAIN_OBJECTIVE };
        let outcome = outcomes.entry(record.host).or_default();
        if let Some(refused) = record.refused_at {
            outcome.refused += 1;
            let after = (refused - record.arrived).as_millis();
            refused_after.entry(record.host).or_default().push(after);
        } else if let Some(begun) = record.begun
            && begun <= record.arrived + objective
        {
            outcome.in_time += 1;
            let after = (begun - record.arrived).as_millis();
            in_time_after.entry(record.host).or_default().push(after);
        } else if record.finished {
            outcome.late += 1;
        }
    }
    for (host, mut after) in in_time_after {
        after.sort_unstable();
        outcomes.entry(host).or_default().in_time_after_ms = after[after.len() / 2];
    }
    for (host, mut after) in refused_after {
        after.sort_unstable();
        let outcome = outcomes.entry(host).or_default();
        outcome.refused_after_ms = (after[after.len() / 2], after[after.len() - 1]);
    }
    outcomes
}

/// Returns a fleet whose plain servers do work with a spread and have been in use for a second.
fn spread_world(instances: usize) -> World {
    let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
    world.spread_plain_work(7);
    send_load(&mut world, "order", instances, PLAIN_ROOM_PER_S / 2, ms(1_000));
    world.run(ms(1_500));
    world
}

#[test]
fn requests_whose_work_has_a_spread_are_not_started_at_the_last_moment() {
    let mut world = spread_world(6);
    let from = world.now;
    send_load(&mut world, "order", 6, PLAIN_ROOM_PER_S * 3 / 2, ms(4_000));
    world.run(ms(8_000));
    let outcomes = outcomes(&world, from);
    insta::assert_debug_snapshot!(outcomes);
    assert!(outcomes["order"].in_time >= 1_500, "{outcomes:?}");
}

/// Sends requests of several hosts, each with its rate a second, for four seconds after a second of
/// usual load, and returns what became of them.
fn replay(instances: usize, load: &[(&'static str, u64)]) -> BTreeMap<&'static str, Outcome> {
    let mut world = spread_world(instances);
    let from = world.now;
    for (host, per_s) in load {
        send_load(&mut world, host, instances, *per_s, BURST);
    }
    world.run(BURST + ms(16_000));
    outcomes(&world, from)
}

#[test]
fn a_burst_at_a_plain_service_is_answered_newest_first() {
    let outcomes = [1, 6].map(|instances| replay(instances, &[("order", PLAIN_ROOM_PER_S * 2)]));
    insta::assert_debug_snapshot!(outcomes);
    for outcomes in outcomes {
        let order = &outcomes["order"];
        assert!(order.in_time >= 2_200 && order.late <= 350, "{order:?}");
    }
}

#[test]
fn a_burst_at_engines_is_answered_by_earliest_objective() {
    let outcomes = [1, 6].map(|instances| replay(instances, &[("stream", 80)]));
    insta::assert_debug_snapshot!(outcomes);
    for outcomes in outcomes {
        let stream = &outcomes["stream"];
        // By the newest first, 108 were in time and 182 refused.
        assert!(stream.in_time >= 110 && stream.refused <= 178, "{stream:?}");
    }
}

#[test]
fn a_workspace_at_five_times_its_share_does_not_harm_others() {
    let load = [("busy", 1_000), ("quiet", 150), ("calm", 150)];
    let outcomes = [1, 6].map(|instances| replay(instances, &load));
    insta::assert_debug_snapshot!(outcomes);
    for outcomes in outcomes {
        for host in ["quiet", "calm"] {
            assert!(outcomes[host].in_time >= 600 * 9 / 10, "{host}: {outcomes:?}");
        }
    }
}

#[test]
fn a_workspace_at_five_times_its_share_of_engines_does_not_harm_others() {
    let load = [("busy-stream", 50), ("quiet-stream", 6)];
    let outcomes = [1, 6].map(|instances| replay(instances, &load));
    insta::assert_debug_snapshot!(outcomes);
    for outcomes in outcomes {
        assert!(outcomes["quiet-stream"].in_time >= 24 * 3 / 4, "{outcomes:?}");
    }
}

#[test]
fn urgent_requests_leave_a_tenth_to_others() {
    let load = [("urgent", PLAIN_ROOM_PER_S * 2), ("quiet", 200)];
    let outcomes = [1, 6].map(|instances| replay(instances, &load));
    insta::assert_debug_snapshot!(outcomes);
    for outcomes in outcomes {
        let (urgent, quiet) = (&outcomes["urgent"], &outcomes["quiet"]);
        assert!(urgent.in_time >= quiet.in_time * 5, "{outcomes:?}");
        assert!(quiet.in_time >= 120, "{outcomes:?}");
    }
}

#[test]
fn a_lost_owner_in_a_burst_costs_only_the_time_until_another_one_takes_over() {
    let lost = |killed: usize| {
        let mut world = spread_world(6);
        let from = world.now;
        send_load(&mut world, "busy", 6, 1_000, BURST);
        send_load(&mut world, "quiet", 6, 150, BURST);
        world.kill(BURST / 2, killed);
        world.run(BURST + ms(4_000));
        world.records.retain(|(instance, _), _| *instance != killed);
        assert!(world.records.values().all(|record| record.ends == 1), "each request ends once");
        outcomes(&world, from)
    };
    let outcomes = [0, 1, 2].map(lost);
    insta::assert_debug_snapshot!(outcomes);
    for outcomes in outcomes {
        let in_time: usize = outcomes.values().map(|outcome| outcome.in_time).sum();
        assert!(in_time >= 1_150, "{outcomes:?}");
    }
}

#[test]
fn a_full_queue_refuses_those_whose_turn_would_come_last() {
    let entries: Vec<_> =
        (0..20).map(|index| world::entry(&format!("desk-{index}"), "desk", None)).collect();
    let mut world = World::new(1, FAST_DIGESTS, &entries);
    let from = world.now;
    // Three times the room: the queue is full after 0.25 s.
    send_load(&mut world, "busy", 1, 12_000, ms(500));
    world.run(ms(300));
    send_load(&mut world, "quiet", 1, 100, ms(200));
    world.run(ms(4_000));
    let outcomes = outcomes(&world, from);
    insta::assert_debug_snapshot!(outcomes);
    assert!(outcomes["quiet"].in_time >= 18, "{outcomes:?}");
}

/// Applies the arrival of a plain request, or its end, and returns the requests that are sent.
fn sent_after(instance: &mut fleet::Fleet, event: fleet::Event, now: Duration) -> Vec<u64> {
    let effects = instance.apply(event, now);
    let sent = effects.iter().filter_map(|effect| match effect {
        fleet::Effect::Send { request, .. } => Some(*request),
        _ => None,
    });
    sent.collect()
}

#[test]
fn a_request_that_most_answers_would_make_late_does_not_take_the_place_of_a_newer_one() {
    let mut instance = world::new_fleet(0, world::address(1_000));
    instance.apply(fleet::Event::Configured(sync::Arc::new(world::configuration())), ms(1));
    let changes = vec![servers::EntryChange::Put(world::entry("desk-0", "desk", None))];
    let source = servers::Source::Steady;
    let listed =
        fleet::Event::ServersChanged { changes, complete: None, source, sender_position: None };
    instance.apply(listed, ms(2));
    let arrival = |request: u64| {
        let (host, path) = ("order".to_string(), "/x".to_string());
        let call = call::Call { id: request.to_string().into(), host, path, ..Default::default() };
        fleet::Event::Arrived { request, call }
    };
    let end = |request: u64| {
        let outcome = fleet::Outcome::Finished { status: 200, is_end_marked: true };
        fleet::Event::RequestProgressed { request, outcome }
    };
    // The service takes twice the time that is assumed at first.
    for request in 0..20 {
        let now = ms(1_000 + request * 100);
        assert_eq!(sent_after(&mut instance, arrival(request), now), [request]);
        sent_after(&mut instance, end(request), now + ms(60));
    }
    // Nine requests fill the six slots; two wait, the first of which has 50 of its 150 ms left.
    for request in 20..29 {
        assert_eq!(sent_after(&mut instance, arrival(request), ms(5_000)), [request]);
    }
    assert!(sent_after(&mut instance, arrival(29), ms(5_000)).is_empty());
    assert!(sent_after(&mut instance, arrival(30), ms(5_100)).is_empty());
    assert_eq!(sent_after(&mut instance, end(20), ms(5_100)), [30]);
    assert_eq!(sent_after(&mut instance, end(21), ms(5_100)), [29]);
}
