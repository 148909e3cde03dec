//! Plain servers that lose a part of their answers while the others cannot take the load.

use super::FAST_DIGESTS;
use super::Summary;
use super::ms;
use super::send_load;
use super::summary;
use super::world;
use super::world::Health;
use super::world::World;

/// Sends requests for 4 s while two of three servers lose two of five answers; returns what their
/// callers got, and the number of calls to these two.
fn outcome(host: &'static str, per_s: u64) -> (Summary, usize) {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    for server in ["desk-0", "desk-1"] {
        world.set_health(ms(0), server, Health::LosesAnswers);
    }
    send_load(&mut world, host, 6, per_s, ms(4_000));
    world.run(ms(10_000));
    let arrivals = ["desk-0", "desk-1"].map(|server| world.arrivals(server).len());
    (summary(&world, ms(150)), arrivals.iter().sum())
}

#[test]
fn servers_that_lose_answers_are_used_rather_than_refusing_what_they_could_answer() {
    for host in ["query", "order"] {
        let (summary, calls) = outcome(host, 500);
        let served = summary.on_time + summary.late;
        // One server answers 200 requests a second, and the other two 60 % of 400.
        assert!(served >= 1_400, "{host}: {summary:?}, {calls} calls to the two servers");
        assert_eq!(summary.not_ended_once, 0, "{host}");
        assert!(host == "query" || summary.run_twice == 0, "an order ran twice");
    }
}

#[test]
fn servers_that_lose_answers_get_few_requests_while_the_others_take_the_load() {
    let (summary, calls) = outcome("order", 120);
    assert!(summary.on_time >= summary.requests * 9 / 10, "{summary:?}");
    assert!(calls <= summary.requests / 5, "{calls} of {}", summary.requests);
}
