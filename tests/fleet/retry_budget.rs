//! The budget of retries, by all that reaches servers.

use std::collections::BTreeMap;
use std::time::Duration;

use super::FAST_DIGESTS;
use super::ms;
use super::world;
use super::world::Health;
use super::world::World;

/// The window of the platform's rule on retries.
const WINDOW: Duration = Duration::from_secs(10);

const DECODE_SERVERS: [&str; 6] = ["llm-3", "llm-4", "llm-5", "llm-6", "llm-7", "llm-8"];

/// Returns when calls beyond the first of their request reached servers. The first prefill that a
/// server accepts is not counted.
fn repeats(world: &World) -> Vec<Duration> {
    let mut seen: BTreeMap<(usize, u64), (bool, u32)> = BTreeMap::new();
    let mut repeats = Vec::new();
    for call in &world.calls {
        let (has_prefilled, arrivals) = seen.entry(call.request).or_default();
        if call.is_accepted_prefill && !std::mem::replace(has_prefilled, true) {
            continue;
        }
        *arrivals += 1;
        if *arrivals > 1 {
            repeats.push(call.at);
        }
    }
    repeats
}

/// Checks the platform's rule for the fleet.
fn assert_budget_is_kept(world: &World, case: &str) {
    let repeats = repeats(world);
    for end in &repeats {
        let within = |at: Duration, end: Duration| at + WINDOW > end && at <= end;
        let requests_until = |end: Duration| {
            world.records.values().filter(|record| within(record.arrived, end)).count()
        };
        let ends = [*end, end.saturating_sub(WINDOW / 2), end.saturating_sub(WINDOW)];
        let requests = ends.map(requests_until).into_iter().max().unwrap_or(0);
        let allowed = world::RETRY_RATIO * requests as f64 + world::RETRY_SLACK;
        let count = repeats.iter().filter(|at| within(**at, *end)).count();
        assert!(
            count as f64 <= allowed,
            "{case}: {count} repeats for {requests} requests in the window to {end:?}, {allowed} allowed"
        );
    }
}

/// Sends streams that may be resumed, `per_s` a second for `span`.
fn send_streams(world: &mut World, instances: usize, per_s: u64, span: Duration) {
    for index in 0..per_s * span.as_secs() {
        let after = Duration::from_micros(index * 1_000_000 / per_s);
        world.arrive_resumable(after, index as usize % instances, None);
    }
}

#[test]
fn a_prefill_and_a_run_after_a_loss_count_as_two_repeats() {
    for instances in [1, 6] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        for server in DECODE_SERVERS {
            world.set_health(ms(0), server, Health::AnswersErrors);
        }
        send_streams(&mut world, instances, 10, ms(9_000));
        world.run(ms(14_000));
        assert_budget_is_kept(&world, &format!("{instances} instances"));
    }
}

#[test]
fn a_prompt_that_no_decode_server_takes_is_not_prefilled_again() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    // The owner of the service knows that the servers answer others, and grants them.
    world.cut_off = DECODE_SERVERS.map(|server| (5, server)).to_vec();
    send_streams(&mut world, 6, 20, ms(8_000));
    world.run(ms(16_000));
    let is_repeated = |record: &&world::Record| record.prefills > 1 && record.runs == 0;
    let repeated = world.records.values().filter(is_repeated).count();
    assert_eq!(repeated, 0, "of {} streams", world.records.len());
    assert_budget_is_kept(&world, "one instance cannot reach the decode servers");
}

#[test]
fn the_budget_is_not_spent_again_after_the_loss_of_all_instances() {
    for instances in [1, 6] {
        let mut world = World::new(instances, FAST_DIGESTS, &world::servers());
        for server in ["desk-0", "desk-1", "desk-2"] {
            world.set_health(ms(0), server, Health::RejectsRequests);
        }
        super::send_load(&mut world, "query", instances, 12, ms(9_000));
        for _ in 0..3 {
            world.run(ms(3_000));
            world.restart_all(&world::servers());
        }
        world.run(ms(5_000));
        assert_budget_is_kept(&world, &format!("{instances} instances"));
    }
}
