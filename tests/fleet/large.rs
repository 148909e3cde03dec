//! A fleet of hundreds of instances: losses of all, and of coordinators at the peak.

use std::time::Duration;

use crate::SLOW_DIGESTS;
use crate::Summary;
use crate::ms;
use crate::send_load;
use crate::summary;
use crate::world;
use crate::world::World;

const INSTANCES: usize = 295;

/// The number of groups in which the instances are counted, as many as there are failure domains.
const GROUPS: usize = 5;

/// The time after a start of all within which each group is served again.
const RECOVERY: Duration = Duration::from_secs(2);

#[test]
fn after_the_loss_of_all_instances_every_group_is_served_within_two_seconds() {
    let mut world = World::new(INSTANCES, SLOW_DIGESTS, &world::servers());
    send_load(&mut world, "query", INSTANCES, 120, ms(3_000));
    world.run(ms(3_000));
    world.restart_all(&world::servers());
    let from = world.now + RECOVERY;
    send_load(&mut world, "query", INSTANCES, 120, ms(6_000));
    world.run(ms(8_000));
    for group in 0..GROUPS {
        let of_group = world
            .records
            .iter()
            .filter(|((instance, _), record)| instance % GROUPS == group && record.arrived >= from);
        let (mut on_time, mut all) = (0, 0);
        for (_, record) in of_group {
            let is_on_time = record.begun.is_some_and(|begun| begun <= record.arrived + ms(150));
            on_time += usize::from(record.finished && is_on_time);
            all += 1;
        }
        assert!(all >= 60 && on_time * 20 >= all * 19, "group {group}: {on_time} of {all} on time");
    }
}

/// Sends a peak load, at which instances are killed 400 ms apart, and returns what became of the
/// requests at the others.
fn summary_with_killed(world: &mut World, killed: &[usize]) -> Summary {
    send_load(world, "order", INSTANCES, 450, ms(4_000));
    send_load(world, "stream", INSTANCES, 12, ms(4_000));
    for (index, instance) in killed.iter().enumerate() {
        world.kill(ms(1_000 + 400 * index as u64), *instance);
    }
    world.run(ms(20_000));
    world.records.retain(|(instance, _), _| !killed.contains(instance));
    let summary = summary(world, ms(900));
    assert_eq!((summary.run_twice, summary.not_ended_once), (0, 0), "{summary:?}");
    summary
}

#[test]
fn a_coordinator_that_is_lost_at_the_peak_costs_only_its_own_requests() {
    for place in 0..3 {
        let mut world = World::new(INSTANCES, SLOW_DIGESTS, &world::servers());
        let lost = world.coordinators()[place];
        let summary = summary_with_killed(&mut world, &[lost]);
        let served = summary.on_time + summary.late;
        assert!(served * 20 >= summary.requests * 19, "{place}: {summary:?}");
    }
}

#[test]
fn all_coordinators_that_are_lost_one_after_the_other_at_the_peak_are_replaced() {
    let mut world = World::new(INSTANCES, SLOW_DIGESTS, &world::servers());
    let lost = world.coordinators();
    let summary = summary_with_killed(&mut world, &lost);
    let served = summary.on_time + summary.late;
    assert!(served * 10 >= summary.requests * 9, "{summary:?}");
    assert!(world.most_coordinators <= 2 * lost.len(), "{} at once", world.most_coordinators);
}
