use std::time::Duration;

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Takes from an allowance whenever it allows, for 20 s; returns the times.
fn taken(allowance: &mut Allowance, pacing: Pacing, step_ms: u64) -> Vec<Duration> {
    let mut taken = Vec::new();
    for now in (0..20_000).step_by(step_ms as usize).map(ms) {
        while allowance.wait(pacing, now) == Duration::ZERO {
            allowance.take(pacing, now);
            taken.push(now);
        }
    }
    taken
}

fn most_in_4_s(times: &[Duration]) -> usize {
    let within =
        |end: Duration| times.iter().filter(move |at| **at + ms(4_000) > end && **at <= end);
    times.iter().map(|end| within(*end).count()).max().unwrap_or(0)
}

#[test]
fn a_limit_is_used_and_kept() {
    for rate_per_s in [0.5, 1.0, 3.6, 40.0] {
        for step_ms in [5, 50] {
            let mut allowance = Allowance::new(rate_per_s, 0.0, ms(0));
            let times = taken(&mut allowance, Pacing::Fleet, step_ms);
            assert!(times.len() as f64 >= rate_per_s * 20.0 * 0.9 - 1.0, "{rate_per_s}: {times:?}");
            let most = most_in_4_s(&times) as f64;
            assert!(most <= rate_per_s * 4.25 + 1.0, "{rate_per_s}: {most}");
        }
    }
}

#[test]
fn instances_without_grants_keep_to_their_part_together() {
    for (rate_per_s, instances) in [(4.0, 6), (4.0, 60), (0.5, 60), (30.0, 3)] {
        let pacing = Pacing::Share { instances };
        let mut times = Vec::new();
        for index in 0..instances {
            // Any spread of the phases; those of a fleet are drawn at random.
            let phase = (index as f64 * 0.618_034).fract();
            let mut allowance = Allowance::new(rate_per_s, phase, ms(0));
            times.extend(taken(&mut allowance, pacing, 50));
        }
        times.sort_unstable();
        let most = most_in_4_s(&times) as f64;
        assert!(most <= rate_per_s * 4.0 + 3.0, "{rate_per_s}, {instances}: {most}");
        assert!(times.len() as f64 >= rate_per_s * 20.0 * 0.25, "{rate_per_s}: {}", times.len());
    }
}

#[test]
fn slots_that_were_not_used_do_not_add_up() {
    let pacing = Pacing::Share { instances: 6 };
    let mut allowance = Allowance::new(4.0, 0.0, ms(0));
    let now = ms(60_000);
    let mut sent = 0;
    while allowance.wait(pacing, now) == Duration::ZERO {
        allowance.take(pacing, now);
        sent += 1;
    }
    assert!(sent <= 1, "{sent} at once");
}

#[test]
fn a_limit_of_zero_leaves_a_trickle() {
    let mut allowance = Allowance::new(0.0, 0.0, ms(0));
    let times = taken(&mut allowance, Pacing::Fleet, 50);
    assert!((2..=5).contains(&times.len()), "{times:?}");
}

#[test]
fn requests_that_others_have_sent_take_from_the_allowance_once() {
    const OWN: ids::Incarnation = 1;
    let mut allowance = Allowance::new(4.0, 0.0, ms(0));
    let now = ms(10_000);
    assert_eq!(allowance.wait(Pacing::Fleet, now), Duration::ZERO);
    let counts = vec![(Some(OWN), 40), (Some(3), 2), (None, 1)];
    allowance.apply_counts(2, &counts, OWN, now);
    allowance.apply_counts(2, &counts, OWN, now);
    // Two tokens less three requests, and one more for the next request.
    assert_eq!(allowance.wait(Pacing::Fleet, now), ms(500));
    allowance.apply_counts(2, &vec![(None, u64::MAX), (Some(4), u64::MAX)], OWN, now);
    assert!(allowance.wait(Pacing::Fleet, now) <= ms(1_500), "the debt is bounded");
}

#[test]
fn counts_tell_a_few_granters_apart() {
    let mut allowance = Allowance::new(4.0, 0.0, ms(0));
    for granter in 0..9 {
        allowance.count_sent(Some(granter), 100, ms(0));
    }
    assert!(allowance.counts().len() <= MAX_GRANTERS + 1);
    assert_eq!(allowance.counts().iter().map(|(_, count)| count).sum::<u64>(), 9);
    assert!(allowance.counts().contains(&(Some(8), 1)), "{:?}", allowance.counts());
}

#[test]
fn a_changed_limit_holds_at_once() {
    let mut allowance = Allowance::new(100.0, 0.0, ms(0));
    allowance.set_rate(1.0, ms(10_000));
    let times = taken(&mut allowance, Pacing::Fleet, 50);
    assert!(most_in_4_s(&times) <= 6, "{times:?}");
}
