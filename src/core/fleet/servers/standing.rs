//! The servers of evacuated failure domains.

use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::evacuation;
use crate::core::fleet::servers;
use crate::core::ids;

impl servers::Server {
    /// Returns whether nothing may be sent to the server, as its failure domain is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.standing.is_evacuated
    }

    /// Returns the share of its KV cache and slots that may be used: after an evacuation was lifted,
    /// its idle servers would otherwise get all new requests at once.
    pub fn usable_share(&self, now: ids::Timestamp) -> f64 {
        self.standing.usable_share(now)
    }

    /// Returns whether the server could get the requests of a service if its domain were not
    /// evacuated.
    fn is_withheld(&self, now: ids::Timestamp) -> bool {
        self.is_evacuated() && self.is_open(now)
    }
}

impl servers::Directory {
    /// Returns the evacuations.
    pub fn evacuations(&self) -> &evacuation::Evacuations {
        &self.evacuations
    }

    /// Applies a change of the evacuations, and to the servers what it means for them; returns the
    /// domains that it changes.
    pub fn update_evacuations<F>(&mut self, update: F) -> Vec<String>
    where
        F: FnOnce(&mut evacuation::Evacuations) -> Vec<String>,
    {
        let changed = update(&mut self.evacuations);
        if !changed.is_empty() {
            for server in self.servers.values_mut() {
                server.standing = self.evacuations.standing(&server.entry.domain);
            }
        }
        changed
    }

    /// Applies to a server whose entry has changed what the evacuations mean for it.
    pub(super) fn refresh_standing(&mut self, id: &ids::ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.standing = self.evacuations.standing(&server.entry.domain);
        }
    }

    /// Returns the number of servers of a domain, and of the requests that are there.
    pub fn domain_load(&self, domain: &str) -> (usize, u32) {
        let servers = self.servers.values().filter(|server| server.entry.domain == domain);
        servers.fold((0, 0), |(servers, requests), server| {
            (servers + 1, requests + server.load().requests)
        })
    }

    /// Returns whether all servers that could generate an answer are in evacuated domains, and there
    /// is at least one.
    pub fn is_evacuated(
        &self,
        service: &catalog::ServiceId,
        binding: &claim::Binding,
        now: ids::Timestamp,
    ) -> bool {
        if !self.evacuations.is_any_in_force() {
            return false;
        }
        let mut generators = self
            .of_service(service)
            .filter(|server| server.entry.stage != Some(servers::Stage::Prefill))
            .filter(|server| binding.allows(server));
        let mut is_any_withheld = false;
        let is_none_available = generators.all(|server| {
            is_any_withheld |= server.is_withheld(now);
            !server.is_available(now)
        });
        is_none_available && is_any_withheld
    }

    /// Returns the services all of whose servers are in evacuated domains, sorted.
    pub fn evacuated_services(&self, now: ids::Timestamp) -> Vec<catalog::ServiceId> {
        let services = self.by_service.keys();
        let evacuated =
            services.filter(|service| self.is_evacuated(service, &claim::Binding::Any, now));
        let mut evacuated: Vec<_> = evacuated.cloned().collect();
        evacuated.sort_unstable();
        evacuated
    }
}
