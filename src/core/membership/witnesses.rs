//! Chooses an instance's witnesses and defines the quorums of their promises and accusations.

use xxhash_rust::xxh3;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership;

/// Chooses up to `limit` witnesses of `own`, spread over failure domains.
///
/// Rendezvous hashing ranks the members of each failure domain, and the witnesses are taken from
/// the failure domains round-robin. A member that joins or leaves therefore changes few choices.
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

/// Returns how many promises of `witnesses` witnesses keep a member valid.
///
/// Half are enough where the number is even, since an eviction takes more than half. A member with
/// two witnesses thus stays valid if it loses one of them while the log is down.
pub fn promise_quorum(witnesses: usize) -> usize {
    witnesses.div_ceil(2)
}

/// Returns how many accusations of `witnesses` witnesses evict a member.
///
/// Any quorum of promises and any quorum of accusations share a witness.
pub fn eviction_quorum(witnesses: usize) -> usize {
    witnesses / 2 + 1
}
