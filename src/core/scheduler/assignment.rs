//! Assigns each server to the live instance that schedules it, by weighted rendezvous hashing.
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
struct Candidate {
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

/// What a new view has changed.
#[derive(Debug, Default)]
pub struct Change {
    /// Servers whose scheduler is another process than before.
    pub moved: Vec<ids::ServerId>,
    /// Processes that are no longer members.
    pub gone: Vec<ids::Incarnation>,
}

/// The members and the servers that each of them schedules.
#[derive(Debug, Default)]
pub struct Assignment {
    members: collections::Map<ids::InstanceId, Candidate>,
    incarnations: collections::Map<ids::Incarnation, ids::InstanceId>,
    owners: collections::Map<ids::ServerId, Option<Owner>>,
    former: VecDeque<ids::Incarnation>,
}

impl Assignment {
    /// Returns the instance that schedules a server, if the server is known and a member is live.
    pub fn owner(&self, server: &ids::ServerId) -> Option<&ids::InstanceId> {
        self.owners.get(server)?.as_ref().map(|owner| &owner.instance)
    }

    /// Returns the member that is the process with this incarnation.
    pub fn member(&self, incarnation: ids::Incarnation) -> Option<&ids::InstanceId> {
        self.incarnations.get(&incarnation)
    }

    /// Returns whether a process was a member and is none now.
    pub fn was_member(&self, incarnation: ids::Incarnation) -> bool {
        self.former.contains(&incarnation)
    }

    /// Returns the number of members.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Takes over a view; returns the servers whose scheduler is another process than before, and
    /// the processes that are no longer members.
    pub fn update_view(&mut self, view: &membership::View) -> Change {
        let mut next = collections::Map::default();
        for member in &view.members {
            next.insert(member.id.clone(), candidate(member));
        }
        if next == self.members {
            return Change::default();
        }
        let lost = changed(&self.members, &next);
        let won = changed(&next, &self.members);
        self.members = next;
        let gone = self.update_incarnations(view);
        let mut servers: Vec<_> = self.owners.keys().cloned().collect();
        servers.retain(|server| self.reassign(server, &lost, &won));
        servers.sort_unstable();
        Change { moved: servers, gone }
    }

    /// Takes over the servers of a document and returns those that are new.
    pub fn update_servers(&mut self, servers: &[ids::ServerId]) -> Vec<ids::ServerId> {
        let known: collections::Set<_> = servers.iter().cloned().collect();
        self.owners.retain(|server, _| known.contains(server));
        let mut added = Vec::new();
        for server in servers {
            if self.owners.contains_key(server) {
                continue;
            }
            let owner = self.best(server);
            self.owners.insert(server.clone(), owner);
            added.push(server.clone());
        }
        added
    }

    fn update_incarnations(&mut self, view: &membership::View) -> Vec<ids::Incarnation> {
        let next: collections::Map<_, _> =
            view.members.iter().map(|member| (member.incarnation, member.id.clone())).collect();
        let known = self.incarnations.keys().copied();
        let mut gone: Vec<_> = known.filter(|known| !next.contains_key(known)).collect();
        gone.sort_unstable();
        self.former.extend(gone.iter().copied());
        self.former.retain(|former| !next.contains_key(former));
        while self.former.len() > constants::FORMER_MEMBERS {
            self.former.pop_front();
        }
        self.incarnations = next;
        gone
    }

    fn reassign(
        &mut self,
        server: &ids::ServerId,
        lost: &collections::Set<ids::InstanceId>,
        won: &collections::Set<ids::InstanceId>,
    ) -> bool {
        let former = self.owners.get(server).cloned().flatten();
        let current = match &former {
            Some(owner) if !lost.contains(&owner.instance) => {
                self.better(server, owner.clone(), won)
            }
            _ => self.best(server),
        };
        let moved = match (&former, &current) {
            (Some(former), Some(current)) => {
                former.instance != current.instance || lost.contains(&former.instance)
            }
            (None, None) => false,
            _ => true,
        };
        self.owners.insert(server.clone(), current);
        moved
    }

    fn better(
        &self,
        server: &ids::ServerId,
        mut owner: Owner,
        won: &collections::Set<ids::InstanceId>,
    ) -> Option<Owner> {
        for instance in won {
            let Some(score) = self.score(server, instance) else { continue };
            if ranks_above(score, instance, &owner) {
                owner = Owner { instance: instance.clone(), score };
            }
        }
        Some(owner)
    }

    fn best(&self, server: &ids::ServerId) -> Option<Owner> {
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
        let candidate = self.members.get(instance).filter(|candidate| !candidate.leaving)?;
        Some(weighted_score(xxh3::xxh3_64_with_seed(server, candidate.seed), candidate.weight))
    }
}

/// Returns the score of a uniform hash for a weight; the highest score wins.
pub fn weighted_score(hash: u64, weight: u32) -> f64 {
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight.max(1)) / uniform.ln()
}

fn ranks_above(score: f64, instance: &ids::InstanceId, owner: &Owner) -> bool {
    score > owner.score || (score == owner.score && *instance < owner.instance)
}

fn candidate(member: &membership::Member) -> Candidate {
    Candidate {
        incarnation: member.incarnation,
        weight: member.weight,
        leaving: member.leaving,
        seed: xxh3::xxh3_64(&member.id),
    }
}

fn changed(
    from: &collections::Map<ids::InstanceId, Candidate>,
    to: &collections::Map<ids::InstanceId, Candidate>,
) -> collections::Set<ids::InstanceId> {
    from.iter()
        .filter(|(id, member)| to.get(*id) != Some(member))
        .map(|(id, _)| id.clone())
        .collect()
}
