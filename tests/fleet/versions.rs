//! Streams beside servers of two software versions.

use bytes::Bytes;
use galenayard::core::fleet::refusal;
use galenayard::core::fleet::servers;

use super::FAST_DIGESTS;
use super::ms;
use super::world;
use super::world::World;

const STREAMS: u64 = 24;

fn version(server: &Bytes) -> servers::SoftwareVersion {
    let entries = world::servers_of_two_versions();
    let entry = entries.into_iter().find(|entry| entry.id == *server).expect("the server exists");
    entry.software_version.expect("the version is known")
}

/// Starts resumable streams at all instances and runs them until all have begun.
fn world_with_streams(instances: usize) -> World {
    let mut world = World::new(instances, FAST_DIGESTS, &world::servers_of_two_versions());
    for index in 0..STREAMS {
        world.arrive_resumable(ms(index * 40), index as usize % instances, None);
    }
    world.run(ms(2_000));
    world
}

/// The streams that were resumed by their callers.
#[derive(Debug, Default)]
struct Resumed {
    continued: usize,
    refused: usize,
    mixed: usize,
}

/// Sends the callers of all streams of lost instances to other ones.
fn resume_streams_of(world: &mut World, lost: &[usize], instances: usize) -> Resumed {
    let is_lost = |instance: usize| lost.contains(&instance);
    let streams: Vec<_> = world
        .records
        .iter()
        .filter(|((instance, _), record)| is_lost(*instance) && !record.begun_at.is_empty())
        .map(|((_, request), record)| (*request, record.begun_at[0].clone()))
        .collect();
    let others: Vec<_> =
        (0..instances).filter(|instance| lost.len() == instances || !is_lost(*instance)).collect();
    for (index, (request, _)) in streams.iter().enumerate() {
        let id = Bytes::from(request.to_string());
        let instance = others[index % others.len()];
        world.arrive_resumable(ms(50 + 10 * index as u64), instance, Some(id));
    }
    world.run(ms(14_000));
    let mut resumed = Resumed::default();
    for record in world.records.values() {
        let Some(stream) = &record.resumes else { continue };
        let begun = streams.iter().find(|(request, _)| *stream == request.to_string());
        let (_, server) = begun.expect("the stream has begun");
        resumed.refused += usize::from(record.refused.is_some());
        resumed.continued += usize::from(!record.begun_at.is_empty());
        let is_mixed = record.begun_at.iter().any(|other| version(other) != version(server));
        resumed.mixed += usize::from(is_mixed);
    }
    resumed
}

#[test]
fn a_stream_cut_by_its_server_continues_at_the_software_version_that_began_it() {
    let mut world = world_with_streams(3);
    for server in ["llm-3", "llm-6"] {
        world.cut_streams(server);
    }
    world.run(ms(14_000));
    let resumed: Vec<_> =
        world.records.values().filter(|record| record.begun_at.len() > 1).collect();
    assert!(!resumed.is_empty(), "some streams are resumed");
    for record in resumed {
        let versions: Vec<_> = record.begun_at.iter().map(version).collect();
        assert!(versions.windows(2).all(|pair| pair[0] == pair[1]), "{versions:?}");
    }
}

#[test]
fn a_stream_resumed_by_its_caller_continues_at_the_software_version_that_began_it() {
    for instances in [3, 20] {
        let mut world = world_with_streams(instances);
        world.kill(ms(0), 0);
        world.kill(ms(0), 1);
        let resumed = resume_streams_of(&mut world, &[0, 1], instances);
        assert_eq!((resumed.mixed, resumed.refused), (0, 0), "{instances}: {resumed:?}");
        assert!(resumed.continued > 0, "{instances}: {resumed:?}");
    }
}

#[test]
fn streams_continue_at_their_software_version_after_the_loss_of_all_instances() {
    for instances in [3, 20] {
        let mut world = world_with_streams(instances);
        world.restart_all(&world::servers_of_two_versions());
        let all: Vec<_> = (0..instances).collect();
        let resumed = resume_streams_of(&mut world, &all, instances);
        assert_eq!((resumed.mixed, resumed.refused), (0, 0), "{instances}: {resumed:?}");
        assert_eq!(resumed.continued as u64, STREAMS, "{instances}: {resumed:?}");
    }
}

#[test]
fn streams_of_a_single_version_continue_without_any_record() {
    for instances in [3, 20] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        for index in 0..STREAMS {
            world.arrive_resumable(ms(index * 40), index as usize % instances, None);
        }
        world.run(ms(2_000));
        world.restart_all(&world::servers());
        // Half of the callers do not name their stream.
        for index in 0..STREAMS {
            let id = if index % 2 == 0 { index.to_string() } else { String::new() };
            world.arrive_resumable(ms(50), index as usize % instances, Some(Bytes::from(id)));
        }
        world.run(ms(14_000));
        let resumed = world.records.values().filter(|record| record.resumes.is_some());
        assert!(resumed.clone().all(|record| record.finished && record.begun_at.len() == 1));
        assert_eq!(resumed.count() as u64, STREAMS);
        assert_eq!(world.origin_records, 0, "{instances}: the store is not needed");
    }
}

fn assert_refused_at_once(record: &world::Record) {
    let refusal = record.refused.expect("the request is refused");
    assert_eq!(refusal.reason, refusal::Reason::NotResumable);
    assert_eq!(refusal.status(), 503);
    assert!(refusal.retry_after.is_some());
    assert_eq!((record.runs, record.prefills), (0, 0), "it has not run");
    let refused_at = record.refused_at.expect("the time is recorded");
    assert!(refused_at - record.arrived <= ms(200), "{:?}", refused_at - record.arrived);
}

#[test]
fn an_instance_whose_coordinators_do_not_send_software_versions_reads_the_store() {
    let mut world = World::new(20, FAST_DIGESTS, &world::servers());
    let is_reader = |world: &World| world.store_readers().contains(&10);
    assert!(!is_reader(&world));
    let unversioned = servers::Entry { software_version: None, ..world::servers().remove(3) };
    let unversioned = servers::Entry { id: Bytes::from("llm-9"), offset: 2, ..unversioned };
    world.list_at(10, servers::EntryChange::Put(unversioned.clone()));
    world.run(ms(1_000));
    assert!(!is_reader(&world), "its peers have time to send it");
    world.run(ms(1_500));
    assert!(is_reader(&world));
    let versioned = servers::Entry { software_version: Some("v1".into()), ..unversioned };
    world.list_at(10, servers::EntryChange::Put(versioned));
    assert!(!is_reader(&world), "the version is known");
}

#[test]
fn a_stream_of_unknown_origin_is_refused_while_two_versions_serve() {
    for id in ["unknown", ""] {
        let mut world = world_with_streams(3);
        world.arrive_resumable(ms(0), 2, Some(Bytes::from(id)));
        world.run(ms(1_000));
        let mut resumed = world.records.values().filter(|record| record.resumes.is_some());
        assert_refused_at_once(resumed.next().expect("the request has arrived"));
    }
}

#[test]
fn a_stream_whose_version_is_no_longer_served_is_refused_at_once() {
    let mut world = world_with_streams(3);
    let of_v2: Vec<_> = world
        .records
        .iter()
        .filter(|(_, record)| &*version(&record.begun_at[0]) == "v2")
        .map(|((instance, request), _)| (*instance, *request))
        .collect();
    assert!(!of_v2.is_empty());
    for server in ["llm-6", "llm-7", "llm-8"] {
        let id = Bytes::from(server);
        world.list(ms(0), servers::EntryChange::Removed { id, offset: 2 });
    }
    world.run(ms(10));
    for server in ["llm-6", "llm-7", "llm-8"] {
        world.cut_streams(server);
    }
    for (instance, request) in &of_v2 {
        let id = Bytes::from(request.to_string());
        world.arrive_resumable(ms(50), (instance + 1) % 3, Some(id));
    }
    world.run(ms(1_000));
    for id in of_v2 {
        let cut = &world.records[&id];
        assert_eq!(
            cut.refused.map(|refusal| refusal.reason),
            Some(refusal::Reason::OutcomeUnknown)
        );
        assert_eq!(cut.begun_at.len(), 1);
    }
    let resumed: Vec<_> =
        world.records.values().filter(|record| record.resumes.is_some()).collect();
    resumed.into_iter().for_each(assert_refused_at_once);
}

#[test]
fn streams_that_began_before_a_second_version_appeared_keep_theirs() {
    for instances in [3, 20] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        for index in 0..STREAMS {
            world.arrive_resumable(ms(index * 40), index as usize % instances, None);
        }
        world.run(ms(2_000));
        let upgraded = world::servers_of_two_versions().into_iter();
        let upgraded = upgraded.filter(|entry| entry.software_version.as_deref() == Some("v2"));
        for entry in upgraded {
            let entry = servers::Entry { offset: 2, born_ms: 2, ..entry };
            world.list(ms(0), servers::EntryChange::Put(entry));
        }
        world.run(ms(300));
        world.kill(ms(0), 0);
        world.kill(ms(0), 1);
        let lost: Vec<_> =
            world.records.iter().filter(|((instance, _), _)| *instance < 2).collect();
        let lost: Vec<_> = lost.into_iter().map(|((_, request), _)| *request).collect();
        for request in &lost {
            let id = Bytes::from(request.to_string());
            world.arrive_resumable(ms(50), 2, Some(id));
        }
        world.run(ms(14_000));
        let resumed = world.records.values().filter(|record| record.resumes.is_some());
        for record in resumed.clone() {
            assert!(record.finished, "{instances}: {:?}", record.refused);
            assert!(record.begun_at.iter().all(|server| &*version(server) == "v1"));
        }
        assert_eq!(resumed.count(), lost.len());
        assert!(world.origin_records > 0, "the store holds them");
    }
}

/// The servers of a single version, which has replaced the usual one.
fn servers_of_the_next_version() -> Vec<servers::Entry> {
    let mut entries = world::servers();
    for entry in &mut entries {
        entry.software_version = Some("v2".into());
    }
    entries
}

/// Starts resumable streams at servers of a single version and runs them until all have begun.
fn world_of_a_single_version(instances: usize) -> World {
    let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
    begin_streams(&mut world, instances, 0);
    world
}

fn begin_streams(world: &mut World, instances: usize, after_ms: u64) {
    for index in 0..STREAMS {
        world.arrive_resumable(ms(after_ms + index * 40), index as usize % instances, None);
    }
    world.run(ms(after_ms + 2_000));
}

/// Before the fix all of these streams went on at the other version.
#[test]
fn streams_are_not_resumed_at_a_version_that_replaced_theirs_while_all_instances_were_lost() {
    for instances in [3, 20] {
        let mut world = world_of_a_single_version(instances);
        world.restart_all(&servers_of_the_next_version());
        for index in 0..STREAMS {
            // Half of the callers do not name their stream.
            let id = if index % 2 == 0 { index.to_string() } else { String::new() };
            world.arrive_resumable(ms(50), index as usize % instances, Some(Bytes::from(id)));
        }
        world.run(ms(14_000));
        let resumed = world.records.values().filter(|record| record.resumes.is_some());
        assert_eq!(resumed.clone().count() as u64, STREAMS);
        resumed.for_each(assert_refused_at_once);
    }
}

/// Before the fix streams of unknown origin went on at the version that was left.
#[test]
fn streams_are_not_resumed_at_a_version_whose_predecessor_left_just_before_the_loss() {
    for instances in [3, 20] {
        let mut world = world_of_a_single_version(instances);
        for mut entry in servers_of_the_next_version() {
            entry.offset += 1;
            world.list(ms(0), servers::EntryChange::Put(entry));
        }
        world.run(ms(100));
        // The origins of the streams are lost with the instances.
        world.stored_origins.clear();
        world.restart_all(&servers_of_the_next_version());
        let all: Vec<_> = (0..instances).collect();
        let resumed = resume_streams_of(&mut world, &all, instances);
        assert_eq!((resumed.continued, resumed.refused), (0, STREAMS as usize), "{resumed:?}");
    }
}

#[test]
fn streams_of_a_version_that_has_replaced_another_one_for_a_while_continue() {
    for instances in [3, 20] {
        let mut world = world_of_a_single_version(instances);
        world.restart_all(&servers_of_the_next_version());
        begin_streams(&mut world, instances, 25_000);
        let begun = world.now - ms(10_000);
        world.restart_all(&servers_of_the_next_version());
        let streams = world.records.iter().filter(|(_, record)| record.arrived > begun);
        let streams: Vec<_> = streams.map(|((_, request), _)| request.to_string()).collect();
        assert_eq!(streams.len() as u64, STREAMS);
        for (index, stream) in streams.into_iter().enumerate() {
            world.arrive_resumable(ms(50), index % instances, Some(Bytes::from(stream)));
        }
        world.run(ms(14_000));
        let resumed = world.records.values().filter(|record| record.resumes.is_some());
        let continued = resumed.filter(|record| record.finished).count();
        assert_eq!(continued as u64, STREAMS, "{instances} instances");
    }
}

/// An older build leaves no versions in the store.
#[test]
fn streams_are_refused_after_a_loss_of_all_instances_if_the_store_names_no_versions() {
    let mut world = world_of_a_single_version(3);
    world.stored_versions.clear();
    world.restart_all(&world::servers());
    world.arrive_resumable(ms(50), 0, Some(Bytes::from("0")));
    world.run(ms(1_000));
    let mut resumed = world.records.values().filter(|record| record.resumes.is_some());
    assert_refused_at_once(resumed.next().expect("the request has arrived"));
}

/// Before the fix the stream went on at the version that this part of the fleet still knows.
#[test]
fn a_stream_is_not_resumed_by_instances_that_were_cut_off_before_its_version_appeared() {
    let mut world = World::new(5, FAST_DIGESTS, &world::servers());
    let (others, cut_off) = ([0, 1, 2], [3, 4]);
    world.set_reads_store(&others, true);
    world.run(ms(25_000));
    world.muted = others.to_vec();
    world.without_store = cut_off.to_vec();
    // Both have found each other by then.
    world.run(ms(10_000));
    for mut entry in servers_of_the_next_version() {
        entry.offset += 1;
        for instance in others {
            world.list_at(instance, servers::EntryChange::Put(entry.clone()));
        }
    }
    world.arrive_resumable(ms(0), 0, None);
    world.run(ms(2_000));
    let ((_, stream), _) = world.records.iter().next().expect("the stream has arrived");
    let stream = Bytes::from(stream.to_string());
    world.arrive_resumable(ms(0), 3, Some(stream));
    world.run(ms(1_000));
    let mut resumed = world.records.values().filter(|record| record.resumes.is_some());
    let resumed = resumed.next().expect("the caller has returned");
    let refusal = resumed.refused.expect("the request is refused");
    assert_eq!(refusal.reason, refusal::Reason::NotResumable);
    assert_eq!(resumed.runs, 0);
}
