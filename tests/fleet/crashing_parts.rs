//! Parts of prompts that crash each server that begins to answer them.

use std::time::Duration;

use galenayard::core::fleet;
use galenayard::core::fleet::call;
use galenayard::core::fleet::refusal;
use galenayard::core::fleet::servers;

use super::FAST_DIGESTS;
use super::ms;
use super::world::Record;
use super::world::World;

/// The time in which what was learned reaches all instances.
const CONTACT: Duration = Duration::from_secs(3);

/// The number of crashes from which on the platform's rule holds.
const LEARNED_CRASHES: usize = 5;

/// The requests that may reach servers after that.
const ALLOWED: usize = 3;

/// The part that all requests begin with.
const FIRST: call::PartId = 1;
/// A part that crashes servers.
const CRASHING: call::PartId = 666;

/// Returns the parts of a sound request: the first one and one that few requests share.
fn sound(index: u64) -> Vec<call::PartId> {
    vec![FIRST, 100 + index % 16]
}

/// Sends sound requests, `per_s` a second for `span`.
fn send_sound(world: &mut World, instances: usize, per_s: u64, span: Duration) {
    for index in 0..per_s * span.as_secs() {
        let after = Duration::from_micros(index * 1_000_000 / per_s);
        world.arrive_with_parts(after, index as usize * 5 % instances, sound(index));
    }
}

/// Sends requests with a part, `per_s` a second for `span`, no two alike.
fn send_crashing(
    world: &mut World,
    instances: usize,
    part: call::PartId,
    per_s: f64,
    span: Duration,
) {
    world.crashing_parts.push(part);
    for index in 0..(per_s * span.as_secs_f64()) as u64 {
        let after = ms(130) + Duration::from_secs_f64(index as f64 / per_s);
        let mut parts = sound(index * 7);
        parts.insert(1 + index as usize % 2, part);
        world.arrive_with_parts(after, index as usize * 3 % instances, parts);
    }
}

/// Checks the platform's rule for a part; `crashes` are those that it has caused.
fn assert_kept_from_servers(world: &World, part: call::PartId, case: &str) {
    let Some((learned, _)) = world.crashes.get(LEARNED_CRASHES - 1) else { return };
    let from = *learned + CONTACT;
    let has_part = |request: &(usize, u64)| world.records[request].shared_parts.contains(&part);
    let later = world.calls.iter().filter(|call| call.at > from && has_part(&call.request));
    let count = later.count();
    let crashes = world.crashes.len();
    assert!(count <= ALLOWED, "{case}: {count} calls later than allowed, {crashes} crashes in all");
}

/// Checks that sound requests that arrive from `from` on are served at the first attempt.
fn assert_sound_are_served(world: &World, from: Duration, case: &str) {
    let is_sound = |record: &&Record| {
        record.host == "stream"
            && !world.crashing_parts.iter().any(|part| record.shared_parts.contains(part))
    };
    let sound = world.records.values().filter(is_sound).filter(|record| record.arrived >= from);
    let (mut served, mut all) = (0, 0);
    for record in sound {
        served += usize::from(record.finished && record.refused.is_none());
        all += 1;
    }
    assert!(all >= 20 && served * 10 >= all * 9, "{case}: {served} of {all} sound requests served");
}

#[test]
fn a_part_that_crashes_servers_is_kept_from_them_by_all_instances() {
    for instances in [1, 6, 24, 79, 295] {
        for per_s in [0.5, 1.0, 3.0] {
            let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
            send_sound(&mut world, instances, 8, ms(26_000));
            world.run(ms(2_000));
            send_crashing(&mut world, instances, CRASHING, per_s, ms(20_000));
            world.run(ms(30_000));
            let case = format!("{instances} instances, {per_s} a second");
            assert_kept_from_servers(&world, CRASHING, &case);
            assert_sound_are_served(&world, ms(18_000), &case);
        }
    }
}

#[test]
fn what_crashes_servers_is_remembered_after_the_loss_of_all_instances() {
    for instances in [1, 6, 24] {
        let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
        send_sound(&mut world, instances, 8, ms(30_000));
        world.run(ms(2_000));
        send_crashing(&mut world, instances, CRASHING, 2.0, ms(26_000));
        for _ in 0..4 {
            world.run(ms(6_000));
            let running = world.running();
            world.restart_all(&running);
        }
        world.run(ms(6_000));
        assert_kept_from_servers(&world, CRASHING, &format!("{instances} instances"));
    }
}

#[test]
fn two_parts_that_crash_servers_are_told_apart_from_sound_ones() {
    for instances in [6, 24] {
        let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
        send_sound(&mut world, instances, 8, ms(34_000));
        world.run(ms(2_000));
        send_crashing(&mut world, instances, CRASHING, 1.5, ms(28_000));
        send_crashing(&mut world, instances, CRASHING + 1, 1.5, ms(28_000));
        world.run(ms(38_000));
        let case = format!("{instances} instances");
        // Five crashes of each.
        let learned = world.crashes.get(2 * LEARNED_CRASHES - 1);
        let learned = learned.map_or(world.now, |(learned, _)| *learned);
        let has_part = |request: &(usize, u64)| {
            let parts = &world.records[request].shared_parts;
            parts.contains(&CRASHING) || parts.contains(&(CRASHING + 1))
        };
        let later = world.calls.iter().filter(|call| call.at > learned + CONTACT);
        let count = later.filter(|call| has_part(&call.request)).count();
        assert!(count <= 2 * ALLOWED, "{case}: {count}, {} crashes", world.crashes.len());
        assert_sound_are_served(&world, ms(20_000), &case);
    }
}

#[test]
fn requests_at_servers_that_crash_for_reasons_of_their_own_are_served_again() {
    for instances in [1, 6, 24] {
        let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
        send_sound(&mut world, instances, 8, ms(24_000));
        world.run(ms(2_000));
        for round in 0..3 {
            for server in ["llm-4", "llm-5", "llm-6", "llm-7"] {
                let running = world.running();
                let name = running.iter().find(|entry| entry.id.starts_with(server.as_bytes()));
                let name = name.map(|entry| String::from_utf8_lossy(&entry.id).into_owned());
                // All at once, then a few a second.
                let pause = ms(300 * round * u64::from(server.as_bytes()[4] - b'4'));
                world.crash_server(pause, &name.unwrap_or_default());
            }
            world.run(ms(6_000));
        }
        world.run(ms(8_000));
        let is_blocked = |record: &&Record| {
            let refusal = record.refused.map(|refusal| format!("{:?}", refusal.reason));
            refusal.is_some_and(|reason| reason == "Quarantined")
        };
        let blocked = world.records.values().filter(is_blocked).count();
        assert_eq!(blocked, 0, "{instances} instances");
        assert!(world.crashes.len() >= 12, "{} crashes", world.crashes.len());
        assert_sound_are_served(&world, ms(18_000), &format!("{instances} instances"));
    }
}

#[test]
fn requests_in_quarantine_are_refused_at_once_before_anything_is_read_for_them() {
    let mut world = World::new(6, FAST_DIGESTS, &super::world::servers());
    send_sound(&mut world, 6, 8, ms(20_000));
    world.run(ms(2_000));
    send_crashing(&mut world, 6, CRASHING, 2.0, ms(16_000));
    world.run(ms(24_000));
    let is_late =
        |record: &&Record| record.shared_parts.contains(&CRASHING) && record.arrived >= ms(10_000);
    let late: Vec<_> = world.records.values().filter(is_late).collect();
    assert!(late.len() >= 15, "{} requests", late.len());
    for record in late {
        let refusal = record.refused.expect("it is refused");
        assert_eq!((refusal.reason, refusal.status()), (refusal::Reason::Quarantined, 503));
        assert!(refusal.retry_after.is_some_and(|wait| wait > Duration::from_secs(3_000)));
        assert_eq!(record.refused_at, Some(record.arrived));
        assert_eq!((record.prefills, record.runs, record.ends), (0, 0, 1));
    }
}

#[test]
fn a_part_is_kept_from_servers_by_newer_instances_beside_older_ones() {
    for older in [vec![0, 1, 2], vec![3, 4, 5], vec![1, 4]] {
        let mut world = World::new(6, FAST_DIGESTS, &super::world::servers());
        world.older = older.clone();
        send_sound(&mut world, 6, 8, ms(26_000));
        world.run(ms(2_000));
        world.crashing_parts.push(CRASHING);
        let newer: Vec<_> = (0..6).filter(|instance| !older.contains(instance)).collect();
        for index in 0..40 {
            let parts = vec![FIRST, CRASHING, 100 + index % 16];
            let instance = newer[index as usize % newer.len()];
            world.arrive_with_parts(ms(100 + index * 500), instance, parts);
        }
        world.run(ms(28_000));
        assert_kept_from_servers(&world, CRASHING, &format!("{older:?} are older"));
        assert_sound_are_served(&world, ms(18_000), &format!("{older:?} are older"));
    }
}

#[test]
fn instances_learn_of_a_quarantine_once_their_messages_pass_again() {
    for muted in [vec![0], vec![0, 1, 2], vec![5]] {
        let mut world = World::new(6, FAST_DIGESTS, &super::world::servers());
        send_sound(&mut world, 6, 8, ms(26_000));
        world.run(ms(2_000));
        world.muted = muted.clone();
        world.crashing_parts.push(CRASHING);
        let others: Vec<_> = (0..6).filter(|instance| !muted.contains(instance)).collect();
        for index in 0..12 {
            let parts = vec![FIRST, CRASHING, 100 + index];
            let instance = others[index as usize % others.len()];
            world.arrive_with_parts(ms(100 + index * 500), instance, parts);
        }
        world.run(ms(8_000));
        world.muted.clear();
        world.run(CONTACT);
        let crashes = world.crashes.len();
        for index in 0..12 {
            let parts = vec![FIRST, CRASHING, 200 + index];
            world.arrive_with_parts(ms(index * 300), index as usize % 6, parts);
        }
        world.run(ms(8_000));
        assert_eq!(world.crashes.len(), crashes, "{muted:?} could not hear the others");
    }
}

#[test]
fn a_quarantine_that_an_operator_lifts_is_tried_again_and_found_again() {
    let mut world = World::new(6, FAST_DIGESTS, &super::world::servers());
    send_sound(&mut world, 6, 8, ms(40_000));
    world.run(ms(2_000));
    send_crashing(&mut world, 6, CRASHING, 0.4, ms(34_000));
    world.run(ms(14_000));
    let crashes = world.crashes.len();
    assert!((3..=5).contains(&crashes), "{crashes}");
    let id = world.stored_quarantines[0].id();
    world.apply_at(4, fleet::Event::QuarantineLifted(id));
    world.run(ms(100));
    assert!(world.stored_quarantines[0].is_lifted, "also in the store");
    world.run(ms(22_000));
    let again = world.crashes.len() - crashes;
    assert!((3..=5).contains(&again), "{again} crashes more");
}

#[test]
fn a_quarantine_ends_with_the_software_that_crashed() {
    let mut world = World::new(6, FAST_DIGESTS, &super::world::servers());
    send_sound(&mut world, 6, 8, ms(60_000));
    world.run(ms(2_000));
    send_crashing(&mut world, 6, CRASHING, 2.0, ms(8_000));
    world.run(ms(12_000));
    world.crashing_parts.clear();
    for entry in world.running() {
        let offset = entry.offset + 1_000;
        let version = Some("v2".into());
        let fixed = servers::Entry { offset, software_version: version, ..entry };
        world.list(ms(0), servers::EntryChange::Put(fixed));
    }
    world.run(ms(32_000));
    let parts = vec![FIRST, CRASHING];
    world.arrive_with_parts(ms(0), 3, parts.clone());
    world.run(ms(6_000));
    let served = world.records.values().filter(|it| it.shared_parts == parts && it.finished);
    assert_eq!(served.count(), 1);
}
