//! Queries and inputs of a simulated fleet.

use super::*;

impl World {
    /// Returns the peer from which an instance would load a newer configuration.
    pub fn configuration_peer(&mut self, instance: usize) -> Option<net::SocketAddr> {
        let now = self.clock(instance);
        self.instances[instance].as_mut()?.configuration_peer(now)
    }

    /// Returns whether an instance is to read the configuration in the store.
    pub fn should_read_configuration(&mut self, instance: usize) -> bool {
        let now = self.clock(instance);
        let fleet = self.instances[instance].as_mut();
        fleet.is_some_and(|fleet| fleet.should_read_configuration(now))
    }

    /// Returns the addresses that an instance gives to callers.
    pub fn caller_addresses(&self, instance: usize) -> Vec<net::SocketAddr> {
        let fleet = self.instances[instance].as_ref();
        fleet.map(|fleet| fleet.caller_addresses(self.clock(instance))).unwrap_or_default()
    }

    /// Sets whether instances can read the store.
    pub fn set_reads_store(&mut self, instances: &[usize], reads_store: bool) {
        for index in instances {
            if let Some(fleet) = self.instances[*index].as_mut() {
                fleet.set_reads_store(reads_store);
            }
        }
    }

    /// Returns the instances that read the store.
    pub fn store_readers(&self) -> Vec<usize> {
        let reads = |index: &usize| {
            let fleet = self.instances[*index].as_ref();
            fleet.is_some_and(|fleet| fleet.should_read_store(self.clock(*index)))
        };
        (0..self.instances.len()).filter(reads).collect()
    }

    /// Returns the instances that are coordinators.
    pub fn coordinators(&self) -> Vec<usize> {
        let fleets = self.instances.iter().enumerate();
        let coordinating =
            fleets.filter(|(_, fleet)| fleet.as_ref().is_some_and(fleet::Fleet::is_coordinator));
        coordinating.map(|(index, _)| index).collect()
    }

    /// Returns the peer from which an instance would load a newer server list.
    pub fn peer_with_newer_servers(&self, instance: usize) -> Option<net::SocketAddr> {
        self.instances[instance].as_ref()?.peer_with_newer_servers(self.clock(instance))
    }

    /// Applies a complete listing of the store at an instance; `end` is the position of the next
    /// change.
    pub fn read_list(&mut self, instance: usize, entries: &[servers::Entry], end: ids::Offset) {
        if let Some(fleet) = self.instances[instance].as_mut() {
            fleet.set_reads_store(true);
        }
        let names = entries.iter().map(|entry| entry.id.clone()).collect();
        let changes = entries.iter().cloned().map(servers::EntryChange::Put).collect();
        let complete = Some((names, end));
        let event = fleet::Event::ServersChanged {
            changes,
            complete,
            source: servers::Source::Steady,
            sender_position: None,
        };
        self.apply(instance, event);
    }

    /// Applies a change that was read after an outage of the store.
    pub fn list_after_outage(&mut self, instance: usize, change: servers::EntryChange) {
        let event = fleet::Event::ServersChanged {
            changes: vec![change],
            complete: None,
            source: servers::Source::AfterOutage,
            sender_position: None,
        };
        self.apply(instance, event);
    }

    /// Applies a change of a server entry.
    pub fn list_at(&mut self, instance: usize, change: servers::EntryChange) {
        self.apply(instance, listed(vec![change]));
    }

    /// Returns the server entries that an instance sends a peer which knows all changes before
    /// `position`.
    pub fn servers_since(&self, instance: usize, position: ids::Offset) -> Vec<servers::Entry> {
        let fleet = self.instances[instance].as_ref();
        let now = self.clock(instance);
        fleet.map(|fleet| fleet.server_entries_since(position, now)).unwrap_or_default()
    }

    /// Returns the server ids that an instance sends a peer which knows all changes before
    /// `position`, if it may lack removals since then.
    pub fn server_ids_for_peer(
        &self,
        instance: usize,
        position: ids::Offset,
    ) -> Option<Vec<ids::ServerId>> {
        self.instances[instance].as_ref()?.server_names_unless_removals_known(position)
    }

    /// Returns the removals that an instance sends a peer which knows all changes before
    /// `position`.
    pub fn removals_since(&self, instance: usize, position: ids::Offset) -> Vec<servers::Removal> {
        let fleet = self.instances[instance].as_ref();
        fleet.map(|fleet| fleet.server_removals_since(position)).unwrap_or_default()
    }

    /// Returns whether an instance knows a server.
    pub fn knows_server(&self, instance: usize, name: &str) -> bool {
        let name = Bytes::from(name.to_string());
        let now = self.clock(instance);
        let entries = self.instances[instance].as_ref().map(|fleet| fleet.server_entries(now));
        entries.unwrap_or_default().iter().any(|entry| entry.id == name)
    }
}
