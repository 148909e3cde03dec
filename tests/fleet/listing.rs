//! What instances know of servers, and tell each other of them.

use bytes::Bytes;
use galenayard::core::fleet::servers;

use crate::FAST_DIGESTS;
use crate::SLOW_DIGESTS;
use crate::ms;
use crate::press;
use crate::world;
use crate::world::Health;
use crate::world::World;

#[test]
fn the_first_change_after_a_complete_listing_is_told_to_peers() {
    let all = world::servers();
    let mut world = World::new(2, FAST_DIGESTS, &all);
    // A complete listing, read after old records were deleted, lacks a server; it ends before 5.
    world.read_list(0, &all[1..], 5);
    world.read_list(1, &all[1..], 5);
    let mut leaving = all[1].clone();
    leaving.is_draining = true;
    leaving.offset = 5;
    world.list_at(0, servers::EntryChange::Put(leaving));
    world.run(SLOW_DIGESTS);
    assert_eq!(world.peer_with_newer_servers(1), Some(world::address(1_000)));
}

#[test]
fn a_peer_that_asks_for_servers_is_told_all_that_it_lacks() {
    let mut all = world::servers();
    for (offset, entry) in all.iter_mut().enumerate() {
        entry.offset = offset as u64;
    }
    let world = World::new(1, FAST_DIGESTS, &all);
    let told = world.servers_since(0, 0);
    assert_eq!(told.len(), all.len(), "one that knows none, of the very first one too");
    assert!(world.removals_since(0, 0).is_empty());
    let mut names: Vec<_> = world.servers_since(0, 10).into_iter().map(|entry| entry.id).collect();
    names.sort_unstable();
    assert_eq!(names, ["desk-1", "desk-2"]);
}

#[test]
fn a_peer_that_asks_for_servers_is_told_which_are_gone_and_which_may_come_back() {
    let mut world = World::new(1, FAST_DIGESTS, &world::servers());
    let removal = |name: &'static str, offset, is_after_outage| servers::Removal {
        id: Bytes::from_static(name.as_bytes()),
        offset,
        is_after_outage,
    };
    let listing = |name: &'static str, offset| servers::EntryChange::Removed {
        id: Bytes::from_static(name.as_bytes()),
        offset,
    };
    world.list_at(0, listing("desk-0", 5));
    world.list_after_outage(0, listing("desk-1", 6));
    assert_eq!(
        world.removals_since(0, 0),
        [removal("desk-0", 5, false), removal("desk-1", 6, true)]
    );
    assert_eq!(world.removals_since(0, 6), [removal("desk-1", 6, true)]);
    assert!(world.knows_server(0, "desk-1"));
    world.run(ms(2_100));
    assert!(!world.knows_server(0, "desk-1"), "it did not come back within 2 s");
    assert_eq!(world.removals_since(0, 6), [removal("desk-1", 6, false)]);
}

#[test]
fn one_that_started_after_a_removal_tells_the_names_of_all_servers() {
    let all = world::servers();
    // The store has no record left of the first server, nor of its removal.
    let mut world = World::new(1, FAST_DIGESTS, &all[1..]);
    assert_eq!(world.names_told(0, 3).map(|names| names.len()), Some(11), "nothing was listed");
    world.read_list(0, &all[1..], 5);
    let names = world.names_told(0, 3).expect("the peer may know a server that is gone");
    assert!(names.len() == 11 && !names.contains(&all[0].id), "{names:?}");
    world.list_at(0, servers::EntryChange::Removed { id: all[1].id.clone(), offset: 7 });
    assert_eq!(world.names_told(0, 5), None, "removals since then are told one by one");
    assert_eq!(world.removals_since(0, 5).len(), 1);
}

#[test]
fn a_server_whose_address_another_one_has_is_asked_once_by_each_instance() {
    let mut world = World::new(9, FAST_DIGESTS, &world::servers());
    world.set_health(ms(0), "desk-0", Health::Replaced);
    press(&mut world, "order", 9, 180, ms(3_000));
    world.run(ms(5_000));
    let finished = world.records.values().filter(|record| record.finished).count();
    assert_eq!(finished, world.records.len(), "none is lost: nobody has run what was misdirected");
    let sends: u32 = world.records.values().map(|record| record.sends).sum();
    let repeats = sends as usize - world.records.len();
    // Each instance may have sent some before the first answer.
    assert!(repeats <= 9 * 3, "{repeats} repeats");
}

#[test]
fn a_server_that_only_the_owner_has_been_told_of_is_used_at_once() {
    let all = world::servers();
    let mut world = World::new(40, FAST_DIGESTS, &all);
    for instance in 0..40 {
        for name in ["desk-0", "desk-1", "desk-2"] {
            let id = Bytes::from_static(name.as_bytes());
            world.list_at(instance, servers::EntryChange::Removed { id, offset: 5 });
        }
    }
    let mut returned = all[9].clone();
    returned.offset = 6;
    for coordinator in world.coordinators() {
        world.list_at(coordinator, servers::EntryChange::Put(returned.clone()));
    }
    world.arrive(ms(0), 30, "query", None);
    world.run(ms(500));
    let record = world.records.values().next().expect("one arrived");
    assert!(record.finished && record.last_server == returned.id, "{record:?}");
}

#[test]
fn a_server_that_returns_right_after_a_complete_listing_is_used_again() {
    let all = world::servers();
    let mut world = World::new(1, FAST_DIGESTS, &all);
    world.read_list(0, &all[1..], 5);
    let mut returned = all[0].clone();
    returned.offset = 5;
    world.list_at(0, servers::EntryChange::Put(returned));
    assert!(world.knows_server(0, "llm-0"));
}
