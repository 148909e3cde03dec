//! Requests that wait at an instance that shuts down.

use std::time::Duration;

use galenayard::core::fleet::refusal;
use galenayard::core::fleet::shutdown;

use super::FAST_DIGESTS;
use super::ms;
use super::send_load;
use super::world;
use super::world::World;

/// The time in which the shutting down instance acts on a bound: its next tick.
const DELAY: Duration = Duration::from_millis(60);

/// The records of the first instance, in the order of arrival.
fn records(world: &World) -> Vec<&world::Record> {
    let own = world.records.iter().filter(|((instance, _), _)| *instance == 0);
    let mut records: Vec<_> = own.map(|(_, record)| record).collect();
    records.sort_by_key(|record| (record.arrived, record.host));
    records
}

#[test]
fn an_instance_that_shuts_down_refuses_streams_that_would_outlast_it() {
    let mut world = World::new(2, FAST_DIGESTS, &world::servers());
    let streams_until = world.now + ms(2_800);
    let answers_until = world.now + ms(7_500);
    world.leave(0, shutdown::Shutdown { streams_until, answers_until });
    world.arrive(ms(2_000), 0, "stream", Some(world::PROMPT));
    world.arrive(ms(3_000), 0, "stream", Some(world::PROMPT));
    world.arrive(ms(3_000), 0, "query", None);
    world.run(ms(12_000));
    let mut records: Vec<_> = world.records.values().collect();
    records.sort_by_key(|record| (record.arrived, record.host));
    let finished: Vec<_> = records.iter().map(|record| record.finished).collect();
    assert_eq!(finished, [true, true, false], "the first stream, the query, the second stream");
    let refusal = records[2].refused.expect("it is refused");
    assert_eq!(refusal.reason, refusal::Reason::Leaving);
    assert!(refusal.retry_after.is_some_and(|wait| wait < ms(100)));
}

/// Before the fix they waited on, and were lost when the process ended.
#[test]
fn streams_that_wait_at_an_instance_that_shuts_down_are_sent_elsewhere_in_time() {
    // With two instances the other one places the streams, with one it does so itself.
    for instances in [1, 2] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        send_load(&mut world, "stream", instances, 60, ms(3_000));
        world.run(ms(2_000));
        let streams_until = world.now + ms(500);
        let answers_until = world.now + ms(4_000);
        world.leave(0, shutdown::Shutdown { streams_until, answers_until });
        world.run(ms(6_000));
        let is_waiting = |record: &&&world::Record| {
            let left = record.begun.into_iter().chain(record.refused_at).min();
            record.arrived < streams_until
                && record.sends == 0
                && left.is_none_or(|left| left > streams_until + DELAY)
        };
        let records = records(&world);
        let waiting = records.iter().filter(is_waiting).count();
        assert_eq!(waiting, 0, "{instances} instances");
        let sent_late = records.iter().filter(|it| it.last_send > streams_until + DELAY).count();
        assert_eq!(sent_late, 0, "{instances} instances: streams that may not end");
        let is_left = |refusal: &refusal::Refusal| refusal.reason == refusal::Reason::Leaving;
        let refused: Vec<_> = records.iter().filter_map(|record| record.refused).collect();
        assert!(refused.iter().any(is_left), "{instances} instances: {refused:?}");
        assert!(refused.iter().all(|refusal| refusal.status() == 503), "{refused:?}");
    }
}

#[test]
fn plain_requests_that_would_outlast_the_process_are_sent_elsewhere() {
    let mut world = World::new(1, FAST_DIGESTS, &world::servers());
    let answers_until = world.now + ms(3_000);
    world.leave(0, shutdown::Shutdown { streams_until: world.now, answers_until });
    world.arrive(ms(2_500), 0, "order", None);
    world.arrive(ms(2_995), 0, "order", None);
    world.run(ms(5_000));
    let records = records(&world);
    assert!(records[0].finished, "its answer ends in time");
    let refusal = records[1].refused.expect("its answer would not end");
    assert_eq!(refusal.reason, refusal::Reason::Leaving);
    assert_eq!(records[1].runs, 0);
}
