//! Detection of overload by a standing queue.

use std::time;

use crate::core::collections;
use crate::core::fleet::catalog;
use crate::core::fleet::overload;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn queues(services: &[&str]) -> collections::Map<catalog::ServiceId, overload::Queue> {
    let queue = overload::Queue { waiting: 3, oldest_wait: ms(10) };
    services.iter().map(|service| ((*service).into(), queue)).collect()
}

#[test]
fn a_queue_that_stands_for_the_interval_is_overload_until_it_has_drained() {
    let mut overloads = overload::Overloads::default();
    assert!(overloads.update(&queues(&["desk"]), ms(1_000)).is_empty());
    assert!(overloads.update(&queues(&["desk", "llm"]), ms(1_099)).is_empty());
    assert_eq!(overloads.update(&queues(&["desk", "llm"]), ms(1_100)), ["desk".into()]);
    assert!(overloads.contains(&"desk".into()) && !overloads.contains(&"llm".into()));
    assert!(overloads.update(&queues(&["desk"]), ms(3_000)).is_empty(), "it is told once");
    assert_eq!(overloads.update(&queues(&[]), ms(3_001)), ["desk".into()]);
    assert!(!overloads.contains(&"desk".into()) && overloads.is_empty());
}

#[test]
fn a_burst_of_arrivals_that_drains_between_is_no_overload() {
    let mut overloads = overload::Overloads::default();
    for burst in 0..10 {
        let at = ms(1_000 + burst * 100);
        assert!(overloads.update(&queues(&["desk"]), at).is_empty());
        assert!(overloads.update(&queues(&["desk"]), at + ms(80)).is_empty());
        assert!(overloads.update(&queues(&[]), at + ms(90)).is_empty());
    }
}
