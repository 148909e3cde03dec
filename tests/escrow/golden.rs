//! Sessions of a small fleet, event by event.

use crate::fleet;

#[test]
fn all_callers_on_one_instance_get_the_whole_rate() {
    let mut fleet = fleet::Fleet::new(fleet::Options::default());
    for step in 0..2_000 {
        let action = fleet::Action::Reserve { at: 0, workspace: 0, tokens: 50 };
        fleet.at(6_000 + step * 10, action);
    }
    fleet.run(27_000);
    eprintln!("{:?} {:?}", fleet.ledgers, fleet.status(0));
    assert_eq!(fleet.faults, Vec::<String>::new());
    assert_eq!(fleet.unanswered(), 0);
    assert_eq!(fleet.ledgers[0].refused, 0);
}
