//! Detection of overload by a standing queue.

use std::time;

use crate::core::fleet::catalog;
use crate::core::fleet::overload;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn service(name: &str) -> catalog::ServiceId {
    name.into()
}

#[test]
fn a_queue_that_stands_for_the_interval_is_overload_until_it_has_drained() {
    let mut overloads = overload::Overloads::default();
    let (desk, llm) = (service("desk"), service("llm"));
    assert!(overloads.update(&[&desk], ms(1_000)).is_empty());
    assert!(overloads.update(&[&desk, &llm], ms(1_099)).is_empty());
    assert_eq!(overloads.update(&[&desk, &llm], ms(1_100)), [service("desk")]);
    assert!(overloads.contains(&desk) && !overloads.contains(&llm));
    assert!(overloads.update(&[&desk], ms(3_000)).is_empty(), "it is told once");
    assert_eq!(overloads.update(&[], ms(3_001)), [service("desk")]);
    assert!(!overloads.contains(&desk) && overloads.is_empty());
}

#[test]
fn a_burst_of_arrivals_that_drains_between_is_no_overload() {
    let mut overloads = overload::Overloads::default();
    let desk = service("desk");
    for burst in 0..10 {
        let at = ms(1_000 + burst * 100);
        assert!(overloads.update(&[&desk], at).is_empty());
        assert!(overloads.update(&[&desk], at + ms(80)).is_empty());
        assert!(overloads.update(&[], at + ms(90)).is_empty());
    }
}
