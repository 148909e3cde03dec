//! Requests that crash each server that begins to run them.

use std::time::Duration;

use galenayard::core::fleet::refusal;

use super::FAST_DIGESTS;
use super::ms;
use super::world::Record;
use super::world::World;

/// The time in which what was learned reaches all instances.
const CONTACT: Duration = Duration::from_secs(3);

/// The number of crashes from which on the platform's rule holds.
const LEARNED_CRASHES: usize = 3;

/// The calls that may reach servers after that.
const ALLOWED: usize = 3;

/// A request that crashes servers.
const CRASHING: u64 = 666;
/// A sound request that many callers send, and those of single callers from here on.
const POPULAR: u64 = 10;
const SINGLE: u64 = 1_000;

/// Sends sound plain requests, of which every fourth one is the same.
fn send_sound(world: &mut World, instances: usize, per_s: u64, span: Duration) {
    for index in 0..per_s * span.as_secs() {
        let after = Duration::from_micros(index * 1_000_000 / per_s);
        let content = if index.is_multiple_of(4) { POPULAR } else { SINGLE + index };
        let instance = index as usize * 5 % instances;
        world.arrive_with_content(after, instance, "query", content, Vec::new());
    }
}

/// Sends the same request again and again.
fn send_crashing(world: &mut World, instances: usize, per_s: f64, span: Duration) {
    world.crashing_contents.push(CRASHING);
    for index in 0..(per_s * span.as_secs_f64()) as u64 {
        let after = ms(130) + Duration::from_secs_f64(index as f64 / per_s);
        let instance = index as usize * 3 % instances;
        world.arrive_with_content(after, instance, "query", CRASHING, Vec::new());
    }
}

/// Checks the platform's rule.
fn assert_kept_from_servers(world: &World, case: &str) {
    let Some((learned, _)) = world.crashes.get(LEARNED_CRASHES - 1) else { return };
    let from = *learned + CONTACT;
    let is_crashing = |request: &(usize, u64)| world.records[request].content == CRASHING;
    let later = world.calls.iter().filter(|call| call.at > from && is_crashing(&call.request));
    let count = later.count();
    let crashes = world.crashes.len();
    assert!(count <= ALLOWED, "{case}: {count} calls later than allowed, {crashes} crashes in all");
}

/// Checks that sound requests that arrive from `from` on are served.
fn assert_sound_are_served(world: &World, from: Duration, case: &str) {
    let is_sound = |record: &&Record| record.content != CRASHING && record.arrived >= from;
    let sound = world.records.values().filter(is_sound);
    let (mut served, mut popular, mut all) = (0, 0, 0);
    for record in sound {
        served += usize::from(record.finished);
        popular += usize::from(record.finished && record.content == POPULAR);
        all += 1;
    }
    assert!(all >= 20 && served * 10 >= all * 9, "{case}: {served} of {all} sound requests served");
    assert!(popular * 5 >= all, "{case}: {popular} of {all} are the popular one");
}

#[test]
fn a_request_that_crashes_servers_is_kept_from_them_by_all_instances() {
    for instances in [1, 6, 24, 79] {
        for per_s in [0.5, 2.0] {
            let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
            send_sound(&mut world, instances, 60, ms(26_000));
            world.run(ms(2_000));
            send_crashing(&mut world, instances, per_s, ms(20_000));
            world.run(ms(27_000));
            let case = format!("{instances} instances, {per_s} a second");
            assert_kept_from_servers(&world, &case);
            assert_sound_are_served(&world, ms(18_000), &case);
        }
    }
}

#[test]
fn a_request_that_crashes_servers_is_remembered_after_the_loss_of_all_instances() {
    for instances in [1, 6, 24] {
        let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
        send_sound(&mut world, instances, 60, ms(30_000));
        world.run(ms(2_000));
        send_crashing(&mut world, instances, 2.0, ms(26_000));
        for _ in 0..4 {
            world.run(ms(6_000));
            let running = world.running();
            world.restart_all(&running);
        }
        world.run(ms(6_000));
        assert_kept_from_servers(&world, &format!("{instances} instances"));
    }
}

#[test]
fn a_stream_that_crashes_servers_does_not_block_others_with_its_parts() {
    for instances in [1, 6] {
        let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
        world.crashing_contents.push(CRASHING);
        for index in 0..160 {
            // Other requests with both parts are rare, and come later.
            let is_late = index > 110 && index % 4 == 0;
            let parts = if is_late { vec![1, 2] } else { vec![1, 3 + index % 5] };
            let after = ms(index * 150);
            world.arrive_with_content(
                after,
                index as usize % instances,
                "stream",
                SINGLE + index,
                parts,
            );
        }
        for index in 0..20 {
            let after = ms(3_000 + index * 700);
            let instance = index as usize % instances;
            world.arrive_with_content(after, instance, "stream", CRASHING, vec![1, 2]);
        }
        world.run(ms(32_000));
        let case = format!("{instances} instances");
        assert_kept_from_servers(&world, &case);
        let is_late =
            |record: &&Record| record.content != CRASHING && record.shared_parts == [1, 2];
        let late = world.records.values().filter(is_late);
        let refused = late.clone().filter(|record| !record.finished).count();
        assert!(late.count() >= 10 && refused == 0, "{case}: {refused} refused");
    }
}

#[test]
fn a_popular_request_is_not_refused_after_the_loss_of_all_its_servers() {
    for instances in [1, 6, 24] {
        let mut world = World::new(instances, FAST_DIGESTS, &super::world::servers());
        send_sound(&mut world, instances, 400, ms(20_000));
        world.run(ms(2_000));
        for round in 0..2 {
            for server in ["desk-0", "desk-1", "desk-2"] {
                let running = world.running();
                let name = running.iter().find(|entry| entry.id.starts_with(server.as_bytes()));
                let name = name.map(|entry| String::from_utf8_lossy(&entry.id).into_owned());
                let pause = ms(300 * u64::from(server.as_bytes()[5] - b'0'));
                world.crash_server(pause, &name.unwrap_or_default());
            }
            world.run(ms(7_000 + round));
        }
        world.run(ms(8_000));
        assert_eq!(world.crashes.len(), 6);
        let is_refused = |record: &&Record| {
            record.refused.is_some_and(|it| it.reason == refusal::Reason::Quarantined)
        };
        let refused = world.records.values().filter(is_refused).count();
        assert_eq!(refused, 0, "{instances} instances");
        assert_sound_are_served(&world, ms(16_000), &format!("{instances} instances"));
    }
}
