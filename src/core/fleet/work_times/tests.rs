//! Quantiles of recent times of work.

use std::time;

use crate::core::fleet::catalog;
use crate::core::fleet::work_times;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn desk() -> catalog::ServiceId {
    "desk".into()
}

#[test]
fn the_quantile_needs_some_times_and_leaves_out_the_tail() {
    let mut times = work_times::WorkTimes::default();
    for index in 1..10 {
        times.record(&desk(), ms(index * 10), ms(index));
        assert_eq!(times.quantile(&desk()), None, "after {index} times");
    }
    times.record(&desk(), ms(5_000), ms(10));
    assert_eq!(times.quantile(&desk()), Some(ms(90)));
    assert_eq!(times.quantile(&"other".into()), None);
}

#[test]
fn old_times_no_longer_count() {
    let mut times = work_times::WorkTimes::default();
    for index in 0..200 {
        times.record(&desk(), ms(300), ms(index));
    }
    // More than are kept, in less than the retention.
    for index in 0..128 {
        times.record(&desk(), ms(20), ms(1_000 + index));
    }
    assert_eq!(times.quantile(&desk()), Some(ms(20)));
    for index in 0..10 {
        times.record(&desk(), ms(70), ms(12_000 + index));
    }
    assert_eq!(times.quantile(&desk()), Some(ms(70)), "those of 10 s ago are forgotten");
}
