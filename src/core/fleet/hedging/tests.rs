use std::time;

use super::*;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Guards against a delay that rests on too few or on old times.
#[test]
fn a_quantile_needs_enough_recent_times() {
    let mut recent = times::RecentTimes::default();
    for index in 0..19 {
        recent.record(ms(10 + index), ms(index));
    }
    assert_eq!(recent.quantile(0.95, ms(100)), None);
    recent.record(ms(500), ms(100));
    let basis = recent.quantile(0.95, ms(130)).expect("twenty times are known");
    assert_eq!((basis.delay, basis.sample, basis.age), (ms(28), 20, ms(30)));
    // The first ones are older than a minute.
    assert_eq!(recent.quantile(0.95, ms(60_010)), None);
}

/// Guards against a quantile that never follows a change, as it is computed at intervals only.
#[test]
fn a_quantile_follows_the_times() {
    let mut recent = times::RecentTimes::default();
    let delay =
        |recent: &mut times::RecentTimes, now| recent.quantile(0.9, now).map(|basis| basis.delay);
    for _ in 0..600 {
        recent.record(ms(30), ms(0));
    }
    assert_eq!(delay(&mut recent, ms(0)), Some(ms(30)));
    for _ in 0..100 {
        recent.record(ms(90), ms(10));
    }
    assert_eq!(delay(&mut recent, ms(50)), Some(ms(30)), "not computed again yet");
    assert_eq!(delay(&mut recent, ms(150)), Some(ms(90)));
}

/// Guards against hedges beyond the share: at the start, and after a long time without any.
#[test]
fn a_bucket_starts_empty_and_saves_few_hedges() {
    let mut bucket = share::Bucket::default();
    assert!(!bucket.has_hedge());
    for _ in 0..20 {
        bucket.earn(0.05);
    }
    assert!(bucket.has_hedge());
    bucket.spend();
    assert!(!bucket.has_hedge());
    for _ in 0..100_000 {
        bucket.earn(0.1);
    }
    assert!(bucket.hedges() <= 10.0);
}

/// Guards against a share that leaves no repeats for failures, and quantiles out of bounds.
#[test]
fn the_share_is_bounded_by_the_retries_and_gives_the_quantile() {
    let retries = |ratio| budget::RetryBounds { ratio, slack: 30.0, window: ms(10_000) };
    let quantile = |share, ratio| Hedging::new(share, &retries(ratio)).quantile();
    assert_eq!(quantile(0.05, 0.2), 0.95);
    assert_eq!(quantile(0.001, 0.2), 0.99);
    assert_eq!(quantile(0.1, 0.2), 0.9);
    assert_eq!(quantile(0.1, 0.1), 0.95, "half of the retries");
    assert!(!Hedging::new(0.0, &retries(0.2)).is_on());
    assert!(!Hedging::new(0.05, &retries(0.0)).is_on());
}

/// Guards against a second leg that is taken for another request.
#[test]
fn a_second_leg_has_a_number_of_its_own() {
    assert_ne!(second_leg(7), 7);
    assert_eq!(first_leg(second_leg(7)), 7);
    assert!(is_second_leg(second_leg(7)) && !is_second_leg(7));
}
