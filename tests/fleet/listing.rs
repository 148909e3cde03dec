//! The view of the server list, and its exchange between instances.

use bytes::Bytes;
use galenayard::core::fleet::servers;

use crate::FAST_DIGESTS;
use crate::SLOW_DIGESTS;
use crate::ms;
use crate::send_load;
use crate::world;
use crate::world::Health;
use crate::world::World;

#[test]
fn the_first_change_after_a_complete_listing_is_reported_to_peers() {
    let all = world::servers();
    let mut world = World::new(2, FAST_DIGESTS, &all);
    // A complete listing, read after old records expired, lacks the first server. The next change
    // is at 5.
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
fn a_peer_receives_all_server_entries_that_it_lacks() {
    let mut all = world::servers();
    for (offset, entry) in all.iter_mut().enumerate() {
        entry.offset = offset as u64;
    }
    let world = World::new(1, FAST_DIGESTS, &all);
    let entries = world.servers_since(0, 0);
    assert_eq!(entries.len(), all.len(), "all entries, including the one at position 0");
    assert!(world.removals_since(0, 0).is_empty());
    let mut names: Vec<_> = world.servers_since(0, 10).into_iter().map(|entry| entry.id).collect();
    names.sort_unstable();
    assert_eq!(names, ["desk-1", "desk-2"]);
}

#[test]
fn a_peer_receives_removals_and_whether_the_servers_may_return() {
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
    assert!(!world.knows_server(0, "desk-1"), "it did not return within 2 s");
    assert_eq!(world.removals_since(0, 6), [removal("desk-1", 6, false)]);
}

#[test]
fn an_instance_that_started_after_a_removal_sends_the_ids_of_all_servers() {
    let all = world::servers();
    // The store has no record of the first server any more, nor of its removal.
    let mut world = World::new(1, FAST_DIGESTS, &all[1..]);
    assert_eq!(
        world.server_ids_for_peer(0, 3).map(|names| names.len()),
        Some(11),
        "no complete listing was read yet"
    );
    world.read_list(0, &all[1..], 5);
    let names = world.server_ids_for_peer(0, 3).expect("the peer may know a removed server");
    assert!(names.len() == 11 && !names.contains(&all[0].id), "{names:?}");
    world.list_at(0, servers::EntryChange::Removed { id: all[1].id.clone(), offset: 7 });
    assert_eq!(world.server_ids_for_peer(0, 5), None, "all removals since then are known");
    assert_eq!(world.removals_since(0, 5).len(), 1);
}

#[test]
fn a_server_whose_address_was_reused_is_tried_a_few_times_only() {
    let mut world = World::new(9, FAST_DIGESTS, &world::servers());
    world.set_health(ms(0), "desk-0", Health::Replaced);
    send_load(&mut world, "order", 9, 180, ms(3_000));
    world.run(ms(5_000));
    let finished = world.records.values().filter(|record| record.finished).count();
    assert_eq!(
        finished,
        world.records.len(),
        "misdirected requests have not run and are sent again"
    );
    let sends: u32 = world.records.values().map(|record| record.sends).sum();
    let repeats = sends as usize - world.records.len();
    // Each instance may have sent several requests before the first answer arrived.
    assert!(repeats <= 9 * 3, "{repeats} repeats");
}

#[test]
fn a_server_that_only_the_owner_knows_is_used_immediately() {
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
    let record = world.records.values().next().expect("a request has arrived");
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
