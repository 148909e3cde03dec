//! Cold servers in a simulated fleet, and instances of older builds.

use super::*;

impl World {
    /// Applies a configuration that bounds the requests to cold servers.
    pub fn bound_cold_servers(&mut self, per_s: f64, start: Duration) {
        let mut content = configuration().content;
        content.version = self.catalog.content.version + 1;
        for service in &mut content.services {
            service.cold_bound = Some(catalog::ColdBound { start, per_s });
        }
        self.catalog = sync::Arc::new(catalog::Catalog::new(content));
        self.apply_to_all(&fleet::Event::Configured(sync::Arc::clone(&self.catalog)));
    }

    /// Replaces instances by those of an older build, which know of no limits and no cold servers.
    pub fn make_older(&mut self, instances: &[usize]) {
        self.older = instances.to_vec();
        self.configure(instances, self.catalog.content.version + 1);
        for instance in instances {
            let from = *instance as u64 + 1;
            let message = message::Message::ProtocolLevel { from, level: 0 };
            let address = self.addresses[*instance];
            self.apply_to_all(&fleet::Event::Received { from: address, message });
        }
    }

    /// Lists a change at some instances only.
    pub fn list_at_some(&mut self, after: Duration, some: &[usize], change: &servers::EntryChange) {
        for instance in some {
            let event = listed(vec![change.clone()]);
            self.schedule(after, Action::Apply { instance: *instance, event });
        }
    }

    /// Counts a call beside the requests of callers as one that reached a server.
    pub(super) fn note_call(&mut self, server: &Bytes, instance: usize) {
        if let Some(backend) = self.backends.get_mut(server) {
            backend.arrivals.push((self.now, instance));
        }
    }
}
