//! Tests of single escrow reducers and of the token bucket.

use std::net;
use std::sync;
use std::time;

use bytes::Bytes;

use crate::core::collections;
use crate::core::escrow::bucket;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::ranking;
use crate::core::escrow::{Effect, Escrow, Event, Limit, Message, Refusal};
use crate::core::ids;
use crate::core::membership;
use crate::core::reducer::Reducer;

const WORKSPACE: Bytes = Bytes::from_static(b"w");

fn ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn member(index: u64) -> membership::Member {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    membership::Member {
        id: Bytes::from(format!("i{index}")),
        incarnation: (index + 1) * 1_000,
        failure_domain: Bytes::from(format!("d{}", index % 4)),
        weight: 1,
        peer_address: address,
        caller_address: address,
        leaving: false,
        joined: index + 1,
    }
}

fn view(version: u64, members: impl IntoIterator<Item = u64>) -> Event {
    let members = members.into_iter().map(member).collect();
    Event::Viewed(sync::Arc::new(membership::View { version, members }))
}

fn limits(rate_tokens_per_s: u64, burst_tokens: u64) -> Event {
    let limit = Limit { workspace: WORKSPACE, rate_tokens_per_s, burst_tokens };
    Event::NewLimits { version: 1, limits: vec![limit] }
}

fn valid_until(until_ms: u64) -> Event {
    Event::Validity { valid: true, until: ms(until_ms) }
}

fn reserve(sequence: u64, tokens: u64) -> Event {
    Event::Reserve { request: u128::from(sequence), workspace: WORKSPACE, tokens }
}

fn from(index: u64, message: Message) -> Event {
    let member = member(index);
    Event::Received { from: member.id, incarnation: member.incarnation, message }
}

fn apply(escrow: &mut Escrow, event: Event, now: ids::Timestamp) -> Vec<Effect> {
    let mut effects = Vec::new();
    escrow.apply(event, now, &mut effects);
    effects
}

/// Creates an instance with a limit, a view and a valid lease.
fn instance(index: u64, members: impl IntoIterator<Item = u64>) -> Escrow {
    let own = member(index);
    let mut escrow = Escrow::new(own.id, own.incarnation);
    apply(&mut escrow, limits(8_000, 16_000), ms(0));
    apply(&mut escrow, view(10, members), ms(0));
    apply(&mut escrow, valid_until(1_000_000), ms(0));
    escrow
}

fn held(escrow: &Escrow) -> usize {
    escrow.status()[0].held_shares.len()
}

fn claims(effects: &[Effect]) -> Vec<(u64, u8)> {
    let claims = effects.iter().filter_map(|effect| match effect {
        Effect::Send { message: Message::Claim { number, claims, .. }, .. } => {
            Some((*number, claims[0].shares))
        }
        _ => None,
    });
    claims.collect()
}

fn permit(number: u64, shares: u8) -> Message {
    let free = vec![message::PermittedShares { workspace: WORKSPACE, shares }];
    Message::Permit { number, free, handed: Vec::new() }
}

fn claim(number: u64, joined: u64, version: u64, shares: u8) -> Message {
    let claims = vec![message::ClaimedShares { workspace: WORKSPACE, shares, last_missing: 0 }];
    Message::Claim { number, joined, version, claims }
}

#[test]
fn a_single_instance_refills_only_after_earlier_grants_expired() {
    let mut escrow = instance(0, [0]);
    assert_eq!(held(&escrow), constants::SHARES);
    let refused = apply(&mut escrow, reserve(1, 100), ms(1_000));
    assert_eq!(refused, Vec::new());
    let admitted = apply(&mut escrow, Event::Tick, ms(1_600));
    assert!(matches!(admitted[..], [Effect::Refused { .. }]));
    let admitted = apply(&mut escrow, reserve(2, 100), ms(2_200));
    assert_eq!(admitted, [Effect::Admitted { request: 2 }]);
}

#[test]
fn an_issuer_counts_a_grant_for_as_long_as_its_recipient_may_spend_it() {
    for (recipient_ppm, issuer_ppm) in [(-10_000, 10_000), (0, 0), (10_000, -10_000)] {
        for delay_ms in (1_800..2_200).step_by(5) {
            let recipient_spends = spends_after(delay_ms, recipient_ppm);
            let issuer_counts = counts_after(delay_ms, issuer_ppm);
            assert!(
                issuer_counts || !recipient_spends,
                "spent after {delay_ms} ms with clocks off by {recipient_ppm} and {issuer_ppm} ppm"
            );
        }
        assert!(spends_after(1_900, recipient_ppm));
        assert!(!counts_after(2_300, issuer_ppm));
    }
}

fn skewed(true_ms: u64, ppm: i64) -> ids::Timestamp {
    let us = true_ms as i64 * 1_000;
    time::Duration::from_micros((us + us * ppm / 1_000_000) as u64)
}

/// Returns whether the recipient of a grant spends it when it arrives after `delay_ms`.
fn spends_after(delay_ms: u64, ppm: i64) -> bool {
    let mut escrow = instance(0, [0, 1]);
    let start_ms = 3_000;
    let mut effects = apply(&mut escrow, reserve(1, 10_000), skewed(start_ms, ppm));
    let number = effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::TokenRequest { number, .. }, .. } => Some(*number),
        _ => None,
    });
    if number.is_none() {
        // The instance is the broker itself; use the other one of the pair.
        escrow = instance(1, [0, 1]);
        effects = apply(&mut escrow, reserve(1, 10_000), skewed(start_ms, ppm));
    }
    let Some(Effect::Send { message: Message::TokenRequest { number, .. }, to }) =
        effects.first().cloned()
    else {
        panic!("no token request in {effects:?}");
    };
    let broker = if to == member(0).id { 0 } else { 1 };
    let grant = Message::Grant { number, ttl_ms: constants::GRANT_TTL_MS };
    let effects = apply(&mut escrow, from(broker, grant), skewed(start_ms + delay_ms, ppm));
    effects.contains(&Effect::Admitted { request: 1 })
}

/// Returns whether the issuer still counts a debit after `delay_ms`.
fn counts_after(delay_ms: u64, ppm: i64) -> bool {
    let mut bucket = bucket::Bucket::new(1, constants::CLOCK_DRIFT_PPM);
    bucket.set_limit(8_000, 16_000, ms(0));
    bucket.add_share(bucket::ShareBalance::default(), ms(0));
    bucket.refill(skewed(3_000, ppm));
    bucket.debit(10_000, skewed(3_000, ppm)).expect("the bucket is full enough");
    bucket.refill(skewed(3_000 + delay_ms, ppm));
    bucket.outstanding_tokens() > 0
}

#[test]
fn an_expired_lease_drops_the_shares_even_if_no_view_shows_the_eviction() {
    let mut escrow = instance(0, [0]);
    apply(&mut escrow, valid_until(5_000), ms(4_000));
    assert!(escrow.status()[0].level_tokens > 0 || held(&escrow) == constants::SHARES);
    apply(&mut escrow, Event::Tick, ms(4_500));
    apply(&mut escrow, reserve(1, 1), ms(4_600));
    let level = escrow.status()[0].level_tokens;
    assert!(level > 0);
    apply(&mut escrow, valid_until(9_000), ms(5_500));
    let refused = apply(&mut escrow, reserve(2, 100), ms(5_600));
    assert_eq!(refused, Vec::new(), "the level from before the lease expired is lost");
    assert_eq!(escrow.status()[0].level_tokens, 0);
}

#[test]
fn a_permit_from_before_its_sender_was_permitted_does_not_count() {
    let mut escrow = instance(0, [0, 1]);
    let claimed = claims(&apply(&mut escrow, Event::Tick, ms(300)));
    let (number, shares) = claimed[0];
    // The other instance claims with a newer view and is permitted, which voids its earlier permit.
    let newer = claim(7, 2, 11, shares);
    let effects = apply(&mut escrow, from(1, newer), ms(310));
    assert!(effects.iter().any(|effect| matches!(
        effect,
        Effect::Send { message: Message::Permit { number: 7, .. }, .. }
    )));
    apply(&mut escrow, from(1, permit(number, shares)), ms(320));
    assert_eq!(held(&escrow), 0);
    let (number, shares) = claims(&effects)[0];
    apply(&mut escrow, from(1, permit(number, shares)), ms(330));
    assert!(held(&escrow) > 0);
}

#[test]
fn a_claim_with_an_older_view_is_not_permitted_by_a_claimant() {
    let mut escrow = instance(0, [0, 1]);
    let shares = claims(&apply(&mut escrow, Event::Tick, ms(300)))[0].1;
    assert_eq!(apply(&mut escrow, from(1, claim(7, 2, 10, shares)), ms(310)), Vec::new());
    let dead = claim(8, 5, 11, shares);
    assert_eq!(apply(&mut escrow, from(4, dead), ms(320)), Vec::new());
}

#[test]
fn a_handover_counts_only_if_it_completes_the_claim() {
    let mut escrow = instance(0, [0, 1, 2]);
    let (number, shares) = claims(&apply(&mut escrow, Event::Tick, ms(300)))[0];
    let share = shares.trailing_zeros() as u8;
    let handed = message::HandedShare {
        workspace: WORKSPACE,
        share,
        level_microtokens: 2_000_000_000,
        outstanding_microtokens: 0,
    };
    let message = Message::Permit { number, free: Vec::new(), handed: vec![handed] };
    apply(&mut escrow, from(1, message), ms(310));
    assert_eq!(held(&escrow), 0);
    apply(&mut escrow, from(2, permit(number, 1 << share)), ms(320));
    assert_eq!(held(&escrow), 1);
    assert_eq!(escrow.status()[0].level_tokens, 0);
}

#[test]
fn a_repeated_refund_is_put_back_once() {
    let mut escrow = instance(0, [0, 1]);
    let (number, shares) = claims(&apply(&mut escrow, Event::Tick, ms(300)))[0];
    apply(&mut escrow, from(1, permit(number, shares)), ms(310));
    // The bucket refills once grants of a former holder have expired; spend a part of it.
    apply(&mut escrow, Event::Tick, ms(3_000));
    let pull = Message::Pull { number: 1, workspace: WORKSPACE, tokens: 1_000 };
    apply(&mut escrow, from(1, pull), ms(3_000));
    let settled = message::GrantOutcome { number: 1, spent_tokens: 1_000, returned_tokens: 0 };
    let refund = message::Refund { workspace: WORKSPACE, tokens: 100, hops: 0 };
    let report = Message::Report { number: 2, settled: vec![settled], refunds: vec![refund] };
    for _ in 0..3 {
        apply(&mut escrow, from(1, report.clone()), ms(3_000));
    }
    assert_eq!(escrow.status()[0].refunded_tokens, 100);
}

#[test]
fn a_debit_lowers_the_refill_until_it_is_settled_or_expires() {
    let mut bucket = bucket::Bucket::new(1, 0);
    bucket.set_limit(1_000, 1_000, ms(0));
    bucket.add_share(bucket::ShareBalance::default(), ms(0));
    bucket.refill(ms(1_000));
    let debit = bucket.debit(600, ms(1_000)).expect("the bucket is full");
    bucket.refill(ms(2_000));
    assert_eq!((bucket.level_tokens(), bucket.outstanding_tokens()), (400, 600));
    bucket.settle(debit, 100, 200, ms(2_000));
    assert_eq!((bucket.level_tokens(), bucket.outstanding_tokens()), (600, 300));
    bucket.refill(ms(3_000));
    assert_eq!((bucket.level_tokens(), bucket.outstanding_tokens()), (700, 300));
    bucket.refill(ms(3_200));
    assert_eq!((bucket.level_tokens(), bucket.outstanding_tokens()), (800, 0));
    bucket.settle(debit, 0, 300, ms(3_200));
    assert_eq!(bucket.level_tokens(), 800);
}

#[test]
fn a_removed_share_takes_its_part_of_level_and_debits() {
    let mut bucket = bucket::Bucket::new(8, 0);
    bucket.set_limit(8_000, 8_000, ms(0));
    for _ in 0..4 {
        bucket.add_share(bucket::ShareBalance::default(), ms(0));
    }
    bucket.refill(ms(1_000));
    bucket.debit(1_000, ms(1_000)).expect("the bucket is full");
    let balance = bucket.remove_share(ms(1_000));
    assert_eq!(balance.level_microtokens, bucket::microtokens(750));
    assert_eq!(balance.outstanding_microtokens, bucket::microtokens(250));
    assert_eq!((bucket.level_tokens(), bucket.shares()), (2_250, 3));
}

#[test]
fn shares_are_spread_over_domains_and_a_join_moves_few() {
    let none = collections::Map::default();
    let small = membership::View { version: 1, members: (0..40).map(member).collect() };
    let large = membership::View { version: 2, members: (0..41).map(member).collect() };
    let (small, large) =
        (ranking::Candidates::new(&small, &none), ranking::Candidates::new(&large, &none));
    let mut moved = 0;
    for workspace in 0..200 {
        let workspace = Bytes::from(format!("w{workspace}"));
        let (before, after) = (small.holders(&workspace), large.holders(&workspace));
        let domains: collections::Set<u8> = before.iter().map(domain).collect();
        assert_eq!(domains.len(), 4);
        moved += before.iter().zip(&after).filter(|(before, after)| before != after).count();
    }
    // One share in 41 moves on average.
    assert!((15..=70).contains(&moved), "{moved} of 1600 shares moved");
}

fn domain(id: &ids::InstanceId) -> u8 {
    let number: u64 = std::str::from_utf8(&id[1..]).unwrap().parse().unwrap();
    (number % 4) as u8
}

#[test]
fn the_waiting_queue_is_bounded_and_a_withdrawn_request_leaves_it() {
    let mut escrow = instance(0, [0]);
    for sequence in 0..constants::MAX_WAITING as u64 {
        assert_eq!(apply(&mut escrow, reserve(sequence, 10), ms(1_800)), Vec::new());
    }
    let refused = apply(&mut escrow, reserve(1_000, 10), ms(1_800));
    let reason = Refusal::QueueFull;
    assert_eq!(refused, [Effect::Refused { request: 1_000, retry_after_ms: 500, reason }]);
    apply(&mut escrow, Event::Withdraw { request: 0 }, ms(1_801));
    assert_eq!(apply(&mut escrow, reserve(1_001, 10), ms(1_801)), Vec::new());
    assert_eq!(escrow.status()[0].waiting, constants::MAX_WAITING);
}

#[test]
fn a_workspace_without_a_limit_is_refused() {
    let mut escrow = instance(0, [0]);
    let workspace = Bytes::from_static(b"unknown");
    let event = Event::Reserve { request: 1, workspace, tokens: 1 };
    let reason = Refusal::NoLimitConfigured;
    let refused = [Effect::Refused { request: 1, retry_after_ms: 0, reason }];
    assert_eq!(apply(&mut escrow, event, ms(0)), refused);
}
