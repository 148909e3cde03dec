//! Chooses the quota holder of each share by rendezvous hashing over the membership view.
//!
//! The method is highest random weight, D. G. Thaler and C. V. Ravishankar, "Using name-based
//! mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998. The failure
//! domains are ranked first, and share i goes to the i-th domain, so that consecutive shares lie in
//! different domains; within a domain, the members are ranked for each share.

use xxhash_rust::xxh3;

use crate::core::collections;
use crate::core::escrow::constants;
use crate::core::ids;
use crate::core::membership;

/// The member that is to hold each share of a workspace, by share index; empty without members.
pub type Holders = Vec<ids::InstanceId>;

/// The members that may hold shares, by failure domain.
#[derive(Debug, Default)]
pub struct Candidates {
    domains: Vec<(ids::FailureDomain, Vec<ids::InstanceId>)>,
}

impl Candidates {
    /// Groups the members of a view by failure domain, without those that are leaving according to
    /// the view or to `leaving_members`.
    pub fn new(
        view: &membership::View,
        leaving_members: &collections::Map<ids::InstanceId, ids::Incarnation>,
    ) -> Self {
        let mut domains: Vec<(ids::FailureDomain, Vec<ids::InstanceId>)> = Vec::new();
        for member in &view.members {
            if member.leaving || leaving_members.get(&member.id) == Some(&member.incarnation) {
                continue;
            }
            match domains.iter_mut().find(|(domain, _)| *domain == member.failure_domain) {
                Some((_, ids)) => ids.push(member.id.clone()),
                None => domains.push((member.failure_domain.clone(), vec![member.id.clone()])),
            }
        }
        Self { domains }
    }

    /// Returns the member that is to hold each share of a workspace.
    pub fn holders(&self, workspace: &ids::WorkspaceId) -> Holders {
        if self.domains.is_empty() {
            return Holders::new();
        }
        let seed = xxh3::xxh3_64(workspace);
        let mut ranked: Vec<_> = self.domains.iter().collect();
        ranked.sort_by_key(|(domain, _)| (xxh3::xxh3_64_with_seed(domain, seed), domain.clone()));
        (0..constants::SHARES)
            .filter_map(|share| {
                let (_, members) = ranked[share % ranked.len()];
                let seed = seed.wrapping_add(1 + share as u64);
                members.iter().max_by_key(|id| (xxh3::xxh3_64_with_seed(id, seed), (*id).clone()))
            })
            .cloned()
            .collect()
    }
}
