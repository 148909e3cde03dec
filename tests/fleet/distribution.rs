//! The distribution of a newer configuration over the instances.

use crate::SLOW_DIGESTS;
use crate::ms;
use crate::world;
use crate::world::World;

const COORDINATORS: [usize; 3] = [0, 1, 2];

/// Starts a fleet whose coordinators read the store, and then a newer configuration.
fn world_with_newer_configuration(instances: usize) -> World {
    let mut world = World::new(instances, SLOW_DIGESTS, &world::servers());
    world.set_reads_store(&COORDINATORS, true);
    world.run(ms(1_200));
    world.configure(&COORDINATORS, 2);
    world.run(ms(1_200));
    world
}

#[test]
fn loads_of_a_newer_configuration_spread_over_the_peers() {
    let mut world = world_with_newer_configuration(40);
    let sources: Vec<_> = (3..40).filter_map(|index| world.configuration_peer(index)).collect();
    assert_eq!(sources.len(), 37, "every other instance knows of it");
    for peer in 0..3 {
        let share =
            sources.iter().filter(|source| **source == world::address(1_000 + peer)).count();
        assert!((4..=25).contains(&share), "{share} of 37 load it from instance {peer}");
    }
}

#[test]
fn a_newer_configuration_is_read_from_the_store_by_the_coordinators_only() {
    for instances in [6, 40, 295] {
        let mut world = world_with_newer_configuration(instances);
        let readers = |world: &mut World| -> Vec<_> {
            (0..instances).filter(|index| world.should_read_configuration(*index)).collect()
        };
        assert_eq!(readers(&mut world), COORDINATORS, "{instances} instances");
        // The peers do not deliver it.
        world.run(ms(1_000));
        assert_eq!(readers(&mut world).len(), instances, "{instances} instances");
    }
}

#[test]
fn an_instance_that_reads_the_store_asks_a_peer_only_if_the_store_does_not_deliver() {
    let mut world = World::new(6, SLOW_DIGESTS, &world::servers());
    world.set_reads_store(&COORDINATORS, true);
    world.run(ms(1_200));
    world.configure(&[0], 2);
    world.run(ms(600));
    assert_eq!(world.configuration_peer(1), None);
    world.run(ms(700));
    assert_eq!(world.configuration_peer(1), Some(world::address(1_000)));
}
