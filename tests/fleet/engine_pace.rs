//! Tests of the choice among engines of different speed.

use crate::FAST_DIGESTS;
use crate::ms;
use crate::send_load;
use crate::summary;
use crate::world;
use crate::world::World;

const DECODE_SERVERS: [&str; 6] = ["llm-3", "llm-4", "llm-5", "llm-6", "llm-7", "llm-8"];

/// Starts six instances before six decode servers, of which the first two take half of the time.
fn world_with_two_fast_engines() -> World {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    for server in &DECODE_SERVERS[..2] {
        world.set_stream_share(server, 0.5);
    }
    world
}

fn arrivals_since(world: &World, servers: &[&str], since: std::time::Duration) -> usize {
    let arrivals = servers.iter().flat_map(|server| world.arrivals(server));
    arrivals.filter(|(at, _)| *at >= since).count()
}

#[test]
fn streams_are_short_when_all_instances_are_lost() {
    let mut world = world_with_two_fast_engines();
    // Six streams a second need 18 places at slow engines, and 9 at fast ones, which have 17.
    send_load(&mut world, "stream", 6, 6, ms(40_000));
    world.run(ms(20_000));
    let mut most = 0;
    for _ in 0..40 {
        world.run(ms(500));
        most = most.max(world.streams_in_progress());
    }
    let summary = summary(&world, ms(900));
    assert_eq!(summary.late + summary.refused, 0, "{summary:?}");
    // Even filling has 13 and more; the ideal is 9.
    assert!(most <= 12, "{most} streams would be lost");
}

#[test]
fn a_burst_beyond_the_fast_engines_uses_all_engines() {
    let mut fast = world_with_two_fast_engines();
    let mut alike = World::new(6, FAST_DIGESTS, &world::servers());
    for world in [&mut fast, &mut alike] {
        send_load(world, "stream", 6, 6, ms(10_000));
        world.run(ms(10_000));
        send_load(world, "stream", 6, 20, ms(4_000));
        world.run(ms(25_000));
    }
    let (fast, alike) = (summary(&fast, ms(900)), summary(&alike, ms(900)));
    insta::assert_debug_snapshot!(fast);
    assert!(fast.on_time >= alike.on_time, "{fast:?} with faster engines, {alike:?} without");
    assert!(fast.most_memory_percent <= 100, "no request is preempted");
}

#[test]
fn an_engine_that_was_slow_is_used_again() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    world.set_stream_share("llm-3", 3.0);
    send_load(&mut world, "stream", 6, 6, ms(80_000));
    world.run(ms(20_000));
    let slow = arrivals_since(&world, &["llm-3"], world.now - ms(10_000));
    world.set_stream_share("llm-3", 1.0);
    world.run(ms(40_000));
    let again = arrivals_since(&world, &["llm-3"], world.now - ms(10_000));
    assert!(slow <= 5, "{slow} of 60 streams began at the slow engine");
    // An equal part is 10.
    assert!(again >= 7, "{again} of 60 streams began there once it was as fast as the others");
}
