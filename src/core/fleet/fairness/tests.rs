//! Recent use of resources.

use std::time;

use crate::core::fleet::catalog;
use crate::core::fleet::fairness;
use crate::core::ids;

fn seconds(seconds: u64) -> ids::Timestamp {
    time::Duration::from_secs(seconds)
}

fn slot_ms(slot_ms: f64) -> fairness::Usage {
    fairness::Usage { slot_ms, ..fairness::Usage::default() }
}

#[test]
fn a_use_is_halved_in_each_half_life_and_forgotten_later() {
    let mut recent = fairness::RecentUse::default();
    let desk: catalog::ServiceId = "desk".into();
    let user = (desk.clone(), Some("busy".into()));
    let slots = fairness::Resource::SlotTime;
    recent.record(&desk, user.1.as_ref(), slot_ms(80.0), seconds(10));
    assert_eq!(recent.amount(&user, slots, seconds(10)), 80.0);
    assert_eq!(recent.amount(&user, slots, seconds(12)), 40.0);
    assert_eq!(recent.amount(&user, slots, seconds(14)), 20.0);
    assert_eq!(recent.amount(&user, fairness::Resource::Memory, seconds(14)), 0.0);
    recent.record(&desk, None, slot_ms(7.0), seconds(14));
    assert_eq!(recent.total(&desk, seconds(14)).amount(slots), 27.0);
    recent.record(&desk, None, slot_ms(7.0), seconds(40));
    assert_eq!(recent.uses.len(), 1, "what is left of a use is dropped");
}

#[test]
fn a_correction_does_not_make_a_use_negative() {
    let mut recent = fairness::RecentUse::default();
    let desk: catalog::ServiceId = "desk".into();
    recent.record(&desk, None, slot_ms(30.0), seconds(1));
    recent.record(&desk, None, slot_ms(-50.0), seconds(1));
    let user = (desk, None);
    assert_eq!(recent.amount(&user, fairness::Resource::SlotTime, seconds(1)), 0.0);
}
