//! Assigns each server to its owner, a live instance, by weighted rendezvous hashing.
//!
//! The score of an instance for a server is `-weight / ln(u)` with `u` a uniform hash of both
//! names (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005): a change of one
//! instance moves only the servers that it wins or loses.

use std::collections::VecDeque;

use xxhash_rust::xxh3;

use crate::core::collections;
use crate::core::ids;
use crate::core::membership;
use crate::core::scheduler::constants;

#[derive(Debug, Clone, PartialEq)]
struct MemberInfo {
    incarnation: ids::Incarnation,
    weight: u32,
    leaving: bool,
    seed: u64,
}

#[derive(Debug, Clone)]
struct Owner {
    instance: ids::InstanceId,
    score: f64,
}

/// The changes that a new membership view causes.
#[derive(Debug, Default)]
pub struct Change {
    /// Servers whose owner is now a different process.
    pub reassigned: Vec<ids::ServerId>,
    /// Incarnations that are not members any more.
    pub departed: Vec<ids::Incarnation>,
}

/// The members and the owner of each server.
#[derive(Debug, Default)]
pub struct Assignment {
    members: collections::Map<ids::InstanceId, MemberInfo>,
    incarnations: collections::Map<ids::Incarnation, ids::InstanceId>,
    owners: collections::Map<ids::ServerId, Option<Owner>>,
    former_members: VecDeque<ids::Incarnation>,
}

impl Assignment {
    /// Returns the owner of a server; `None` for an unknown server or without eligible members.
    pub fn owner(&self, server: &ids::ServerId) -> Option<&ids::InstanceId> {
        self.owners.get(server)?.as_ref().map(|owner| &owner.instance)
    }

    /// Returns the instance whose running process has this incarnation.
    pub fn member(&self, incarnation: ids::Incarnation) -> Option<&ids::InstanceId> {
        self.incarnations.get(&incarnation)
    }

    /// Returns whether an incarnation was a member and is not any more.
    pub fn was_member(&self, incarnation: ids::Incarnation) -> bool {
        self.former_members.contains(&incarnation)
    }

    /// Returns the number of members.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Applies a membership view and returns what it changes.
    pub fn update_view(&mut self, view: &membership::View) -> Change {
        let mut next = collections::Map::default();
        for member in &view.members {
            next.insert(member.id.clone(), info(member));
        }
        if next == self.members {
            return Change::default();
        }
        let outdated = changed(&self.members, &next);
        let updated = changed(&next, &self.members);
        self.members = next;
        let departed = self.update_incarnations(view);
        let mut servers: Vec<_> = self.owners.keys().cloned().collect();
        servers.retain(|server| self.reassign(server, &outdated, &updated));
        servers.sort_unstable();
        Change { reassigned: servers, departed }
    }

    /// Applies the servers of a document and returns those that are new.
    pub fn update_servers(&mut self, servers: &[ids::ServerId]) -> Vec<ids::ServerId> {
        let known: collections::Set<_> = servers.iter().cloned().collect();
        self.owners.retain(|server, _| known.contains(server));
        let mut added = Vec::new();
        for server in servers {
            if self.owners.contains_key(server) {
                continue;
            }
            let owner = self.best_owner(server);
            self.owners.insert(server.clone(), owner);
            added.push(server.clone());
        }
        added
    }

    fn update_incarnations(&mut self, view: &membership::View) -> Vec<ids::Incarnation> {
        let next: collections::Map<_, _> =
            view.members.iter().map(|member| (member.incarnation, member.id.clone())).collect();
        let known = self.incarnations.keys().copied();
        let mut departed: Vec<_> = known.filter(|known| !next.contains_key(known)).collect();
        departed.sort_unstable();
        self.former_members.extend(departed.iter().copied());
        self.former_members.retain(|former| !next.contains_key(former));
        while self.former_members.len() > constants::MAX_FORMER_MEMBERS {
            self.former_members.pop_front();
        }
        self.incarnations = next;
        departed
    }

    fn reassign(
        &mut self,
        server: &ids::ServerId,
        outdated: &collections::Set<ids::InstanceId>,
        updated: &collections::Set<ids::InstanceId>,
    ) -> bool {
        let former = self.owners.get(server).cloned().flatten();
        let current = match &former {
            Some(owner) if !outdated.contains(&owner.instance) => {
                self.best_of(server, owner.clone(), updated)
            }
            _ => self.best_owner(server),
        };
        let is_reassigned = match (&former, &current) {
            (Some(former), Some(current)) => {
                former.instance != current.instance || outdated.contains(&former.instance)
            }
            (None, None) => false,
            _ => true,
        };
        self.owners.insert(server.clone(), current);
        is_reassigned
    }

    fn best_of(
        &self,
        server: &ids::ServerId,
        mut owner: Owner,
        updated: &collections::Set<ids::InstanceId>,
    ) -> Option<Owner> {
        for instance in updated {
            let Some(score) = self.score(server, instance) else { continue };
            if ranks_above(score, instance, &owner) {
                owner = Owner { instance: instance.clone(), score };
            }
        }
        Some(owner)
    }

    fn best_owner(&self, server: &ids::ServerId) -> Option<Owner> {
        let mut best: Option<Owner> = None;
        for instance in self.members.keys() {
            let Some(score) = self.score(server, instance) else { continue };
            if best.as_ref().is_none_or(|owner| ranks_above(score, instance, owner)) {
                best = Some(Owner { instance: instance.clone(), score });
            }
        }
        best
    }

    fn score(&self, server: &ids::ServerId, instance: &ids::InstanceId) -> Option<f64> {
        let info = self.members.get(instance).filter(|info| !info.leaving)?;
        Some(weighted_score(xxh3::xxh3_64_with_seed(server, info.seed), info.weight))
    }
}

/// Returns the rendezvous score of a uniform hash for a weight; the highest score wins.
pub fn weighted_score(hash: u64, weight: u32) -> f64 {
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight.max(1)) / uniform.ln()
}

fn ranks_above(score: f64, instance: &ids::InstanceId, owner: &Owner) -> bool {
    score > owner.score || (score == owner.score && *instance < owner.instance)
}

fn info(member: &membership::Member) -> MemberInfo {
    MemberInfo {
        incarnation: member.incarnation,
        weight: member.weight,
        leaving: member.leaving,
        seed: xxh3::xxh3_64(&member.id),
    }
}

fn changed(
    from: &collections::Map<ids::InstanceId, MemberInfo>,
    to: &collections::Map<ids::InstanceId, MemberInfo>,
) -> collections::Set<ids::InstanceId> {
    from.iter()
        .filter(|(id, member)| to.get(*id) != Some(member))
        .map(|(id, _)| id.clone())
        .collect()
}
