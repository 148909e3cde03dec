//! The part of less urgent requests.

use crate::core::fleet::catalog;
use crate::core::fleet::priorities;

fn desk() -> catalog::ServiceId {
    "desk".into()
}

/// Returns the priorities of `count` placements while requests of all `waiting` priorities wait.
fn placements(turns: &mut priorities::LowerTurns, waiting: &[u8], count: usize) -> Vec<u8> {
    let mut placed = Vec::new();
    for _ in 0..count {
        let queue = waiting.iter().map(|priority| (*priority, *priority)).collect();
        let priority = turns.interleave(&desk(), queue)[0];
        turns.record(&desk(), priority, &waiting.iter().copied().collect());
        placed.push(priority);
    }
    placed
}

#[test]
fn a_tenth_of_the_placements_goes_to_each_lower_level() {
    let mut turns = priorities::LowerTurns::default();
    let placed = placements(&mut turns, &[0, 1, 2], 1_000);
    let count = |priority: u8| placed.iter().filter(|it| **it == priority).count();
    assert_eq!((count(0), count(1), count(2)), (900, 90, 10));
    assert_eq!(placed[..10], [0, 0, 0, 0, 0, 0, 0, 0, 0, 1]);
}

#[test]
fn placements_while_no_lower_priority_waits_do_not_count() {
    let mut turns = priorities::LowerTurns::default();
    placements(&mut turns, &[0], 50);
    assert_eq!(placements(&mut turns, &[0, 1], 10), [0, 0, 0, 0, 0, 0, 0, 0, 0, 1]);
}

#[test]
fn the_order_of_a_queue_continues_the_placements_before() {
    let mut turns = priorities::LowerTurns::default();
    placements(&mut turns, &[0, 1], 8);
    let queue = [(0, 'a'), (0, 'b'), (0, 'c'), (1, 'x'), (1, 'y')];
    assert_eq!(turns.interleave(&desk(), queue.to_vec()), ['a', 'x', 'b', 'c', 'y']);
    // Late requests of a higher priority stand behind others in time.
    let queue = [(1, 'x'), (0, 'a'), (1, 'y')];
    assert_eq!(turns.interleave(&desk(), queue.to_vec()), ['x', 'a', 'y']);
}
