//! Bursts of more requests than the servers can answer within their objectives.

use std::collections::BTreeMap;
use std::time::Duration;

use super::FAST_DIGESTS;
use super::ms;
use super::send_load;
use super::world;
use super::world::World;

/// The objectives of the routes of plain services and of engines.
const PLAIN_OBJECTIVE: Duration = Duration::from_millis(150);

/// The plain requests that the simulated servers answer in a second.
const PLAIN_ROOM_PER_S: u64 = 600;

/// What became of the requests of one host, which belong to one workspace.
#[derive(Debug, Default, Clone)]
struct Outcome {
    in_time: usize,
    late: usize,
    refused: usize,
    /// The time until half of the refusals, and until all of them.
    refused_after_ms: (u128, u128),
}

/// Returns what became of the requests that arrived after `from`, by host.
fn outcomes(world: &World, from: Duration) -> BTreeMap<&'static str, Outcome> {
    let mut outcomes: BTreeMap<_, Outcome> = BTreeMap::new();
    let mut refused_after: BTreeMap<_, Vec<u128>> = BTreeMap::new();
    for record in world.records.values().filter(|record| record.arrived >= from) {
        let objective = if record.host.ends_with("stream") { ms(900) } else { PLAIN_OBJECTIVE };
        let outcome = outcomes.entry(record.host).or_default();
        if let Some(refused) = record.refused_at {
            outcome.refused += 1;
            let after = (refused - record.arrived).as_millis();
            refused_after.entry(record.host).or_default().push(after);
        } else if record.begun.is_some_and(|begun| begun <= record.arrived + objective) {
            outcome.in_time += 1;
        } else if record.finished {
            outcome.late += 1;
        }
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
