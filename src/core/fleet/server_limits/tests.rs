use std::time::Duration;

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn named(rate_per_s: f64, sent: u64, received: u64) -> Evidence {
    Evidence::new(Some(Named { rate_per_s, sent: ms(sent), received: ms(received) }), None)
}

fn unlimited(sent: u64) -> Evidence {
    Evidence::new(None, Some(ms(sent)))
}

fn merged(parts: &[Evidence]) -> Option<f64> {
    let mut evidence = Evidence::default();
    for part in parts {
        evidence.merge(*part);
    }
    evidence.rate_per_s()
}

#[test]
fn a_limit_stands_until_a_later_request_is_answered_without_it() {
    assert_eq!(merged(&[named(4.0, 100, 130)]), Some(4.0));
    assert_eq!(merged(&[named(4.0, 100, 130), unlimited(131)]), None);
    assert_eq!(merged(&[named(4.0, 100, 130), unlimited(131), named(3.0, 140, 160)]), Some(3.0));
}

#[test]
fn an_answer_to_an_earlier_request_does_not_withdraw_a_limit() {
    for sent in [0, 100, 130] {
        assert_eq!(merged(&[named(4.0, 100, 130), unlimited(sent)]), Some(4.0), "sent at {sent}");
        assert_eq!(merged(&[unlimited(sent), named(4.0, 100, 130)]), Some(4.0), "sent at {sent}");
    }
}

#[test]
fn the_newest_of_two_limits_holds_and_the_lower_one_while_their_order_is_unknown() {
    for (other, expected) in [(named(9.0, 131, 150), 9.0), (named(9.0, 0, 90), 4.0)] {
        assert_eq!(merged(&[named(4.0, 100, 130), other]), Some(expected));
        assert_eq!(merged(&[other, named(4.0, 100, 130)]), Some(expected));
    }
    for other in [named(9.0, 110, 120), named(9.0, 90, 140), named(9.0, 120, 200)] {
        assert_eq!(merged(&[named(4.0, 100, 130), other]), Some(4.0));
        assert_eq!(merged(&[other, named(4.0, 100, 130)]), Some(4.0));
    }
}
