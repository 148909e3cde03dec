//! Tests of the choice among engines of which some lose a part of their answers.

use crate::FAST_DIGESTS;
use crate::ms;
use crate::send_load;
use crate::world;
use crate::world::Health;
use crate::world::World;

#[test]
fn engines_that_lose_answers_at_once_do_not_attract_streams() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    for server in ["llm-3", "llm-4", "llm-5"] {
        world.set_health(ms(2_000), server, Health::LosesAnswers);
    }
    // Six streams a second need 18 places; the three sound engines have more.
    send_load(&mut world, "stream", 6, 6, ms(12_000));
    world.run(ms(25_000));
    let lost = world.records.values().filter(|record| record.ends == 1 && !record.finished).count();
    let served = world.records.values().filter(|record| record.finished).count();
    assert_eq!(lost + served, world.records.len());
    // Of 60 streams in that time an even choice loses 12.
    assert!(lost <= 6, "{lost} streams are lost, {served} served");
}

#[test]
fn an_engine_that_has_lost_answers_is_used_again() {
    let mut world = World::new(6, FAST_DIGESTS, &world::servers());
    world.set_health(ms(0), "llm-3", Health::LosesAnswers);
    world.set_health(ms(6_000), "llm-3", Health::Healthy);
    send_load(&mut world, "stream", 6, 6, ms(40_000));
    world.run(ms(50_000));
    let since = world.now - ms(20_000);
    let again = world.arrivals("llm-3").iter().filter(|(at, _)| *at >= since).count();
    // An equal part of 60 streams is 10.
    assert!(again >= 5, "{again} streams began there from 24 s after it was sound again");
}
