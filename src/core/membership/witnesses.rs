//! Chooses an instance's witnesses and counts what their promises and accusations decide.

use xxhash_rust::xxh3;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership;

/// Chooses up to `limit` witnesses of `own`, spread over failure domains.
///
/// Rendezvous hashing ranks the members of each failure domain; the choice goes round the failure
/// domains and takes the next of each, so that a member's arrival or loss changes few choices.
pub fn choose<'a>(
    own: &ids::InstanceId,
    members: impl Iterator<Item = &'a membership::Member>,
    limit: usize,
) -> Vec<ids::InstanceId> {
    let mut ranked: Vec<_> = members
        .filter(|member| member.id != *own && !member.leaving)
        .map(|member| (score(own, &member.id), member))
        .collect();
    ranked.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.id.cmp(&right.1.id)));
    let mut taken: collections::Map<&ids::FailureDomain, usize> = collections::Map::default();
    let mut rounds: Vec<_> = ranked
        .into_iter()
        .map(|(score, member)| {
            let round = taken.entry(&member.failure_domain).or_default();
            *round += 1;
            (*round, std::cmp::Reverse(score), &member.id)
        })
        .collect();
    rounds.sort();
    rounds.truncate(limit);
    let mut chosen: Vec<_> = rounds.into_iter().map(|(_, _, id)| id.clone()).collect();
    chosen.sort();
    chosen
}

fn score(own: &ids::InstanceId, witness: &ids::InstanceId) -> u64 {
    xxh3::xxh3_64_with_seed(witness, xxh3::xxh3_64(own))
}

/// Returns how many promises of `witnesses` witnesses make a member valid.
///
/// Half are enough where the number is even, since an eviction takes more than half. Of two
/// witnesses one may thus be lost while the log is down.
pub fn promise_quorum(witnesses: usize) -> usize {
    witnesses.div_ceil(2)
}

/// Returns how many accusations of `witnesses` witnesses evict a member.
///
/// Any quorum of promises and any quorum of accusations have a witness in common.
pub fn eviction_quorum(witnesses: usize) -> usize {
    witnesses / 2 + 1
}
