//! Regression tests of single faults that released a key too early or too late.

use crate::core::claims;
use crate::core::claims::constants;
use crate::core::claims::tests::fleet;

/// A stored answer of this size evicts all earlier ones.
const FILLER_BYTES: usize = constants::MAX_ANSWER_BYTES;

#[test]
fn second_record_of_a_claim_does_not_release_it_after_its_answer_was_dropped() {
    let mut fleet = fleet::Fleet::new();
    fleet.set_append_behavior(0, fleet::AppendBehavior::Delayed { ms: 1_500 });
    let first = fleet.claim(0, 1, 1);
    fleet.advance(1_100);
    fleet.set_append_behavior(0, fleet::AppendBehavior::Answered);
    fleet.advance(250);
    fleet.settle(first, fleet::complete_answer());
    let filler = fleet.claim(0, 2, 1);
    fleet.advance(50);
    fleet.settle(filler, large_answer());
    fleet.advance(2_000);
    let resent = fleet.claim(1, 1, 1);
    fleet.advance(4_000);
    insta::assert_debug_snapshot!([fleet.outcomes(first), fleet.outcomes(resent)]);
    assert!(fleet.double_grants.is_empty());
}

#[test]
fn claim_read_after_a_long_pause_is_given_up() {
    let mut fleet = fleet::Fleet::new();
    fleet.set_append_behavior(0, fleet::AppendBehavior::Delayed { ms: 10 });
    let paused = fleet.claim(0, 1, 1);
    fleet.set_paused(0, true);
    fleet.advance(16 * 60 * 1_000);
    let other = fleet.claim(1, 1, 1);
    fleet.advance(200);
    fleet.read(0);
    insta::assert_debug_snapshot!([fleet.outcomes(paused), fleet.outcomes(other)]);
    assert!(fleet.double_grants.is_empty());
}

#[test]
fn holder_that_has_not_read_its_own_claim_is_waited_for() {
    let mut fleet = fleet::Fleet::new();
    fleet.set_append_behavior(0, fleet::AppendBehavior::AnswerLost);
    let first = fleet.claim(0, 1, 1);
    let second = fleet.claim(1, 1, 1);
    fleet.read(1);
    let before = fleet.outcomes(second).to_vec();
    fleet.set_append_behavior(0, fleet::AppendBehavior::Answered);
    fleet.advance(500);
    fleet.settle(first, fleet::complete_answer());
    fleet.advance(500);
    insta::assert_debug_snapshot!([&before[..], fleet.outcomes(first), fleet.outcomes(second)]);
}

#[test]
fn claim_withdrawn_in_an_outage_frees_its_key() {
    let mut fleet = fleet::Fleet::new();
    fleet.set_append_behavior(0, fleet::AppendBehavior::Delayed { ms: 2_000 });
    let withdrawn = fleet.claim(0, 1, 1);
    fleet.withdraw(withdrawn);
    fleet.set_append_behavior(0, fleet::AppendBehavior::Answered);
    fleet.advance(4_000);
    let second = fleet.claim(1, 1, 1);
    fleet.advance(500);
    insta::assert_debug_snapshot!([fleet.outcomes(withdrawn), fleet.outcomes(second)]);
}

#[test]
fn open_routes_cannot_take_the_keys_of_a_workspace() {
    let workspace = bytes::Bytes::from_static(b"w1");
    let mut forged = 2u64.to_le_bytes().to_vec();
    forged.extend_from_slice(b"w1key");
    let key = bytes::Bytes::from_static(b"key");
    let of_workspace = claims::key_digest(Some(&workspace), &key);
    assert_ne!(of_workspace, claims::key_digest(None, &bytes::Bytes::from(forged)));
}

fn large_answer() -> claims::Answer {
    claims::Answer::Complete {
        status: 200,
        content_type: bytes::Bytes::new(),
        body: bytes::Bytes::from(vec![0; FILLER_BYTES]),
    }
}
