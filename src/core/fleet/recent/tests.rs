//! Tests that the map is bounded in time and number.

use super::*;

#[test]
fn the_number_of_entries_is_bounded() {
    const MAX: usize = 100;
    let mut recent = RecentMap::new(time::Duration::from_secs(1), MAX);
    for key in 0..3 * MAX {
        // Every other record repeats a key.
        recent.record(key / 2, key, time::Duration::ZERO);
    }
    assert!(recent.len() <= MAX && recent.by_age.len() <= MAX);
    let last = 3 * MAX / 2 - 1;
    assert_eq!(
        recent.get(&last, time::Duration::ZERO).map(|(value, _)| *value),
        Some(2 * last + 1)
    );
    assert!(recent.get(&0, time::Duration::ZERO).is_none(), "the oldest go first");
}

#[test]
fn an_entry_is_dropped_after_the_retention_unless_it_is_recorded_again() {
    let retention = time::Duration::from_secs(1);
    let mut recent = RecentMap::new(retention, 10);
    recent.record('a', 1, time::Duration::ZERO);
    recent.record('b', 1, time::Duration::ZERO);
    recent.record('b', 2, retention / 2);
    let later = retention + time::Duration::from_millis(1);
    recent.record('c', 3, later);
    assert_eq!(recent.len(), 2, "an expired entry takes no memory");
    assert!(recent.get(&'a', later).is_none());
    let age = later - retention / 2;
    assert_eq!(recent.get(&'b', later), Some((&2, age)));
}
