//! The evacuations in the simulated store, and instances that read them.

use galenayard::core::fleet::evacuation;

use super::*;

/// The records of the operator's topic, and how far instances have read them.
#[derive(Default)]
pub struct Store {
    records: Vec<evacuation::Change>,
    read: Map<usize, usize>,
    /// The instances that the store rejects.
    pub rejected: Vec<usize>,
}

impl World {
    /// Evacuates a domain, or lifts that, from now on.
    pub fn evacuate(&mut self, domain: &str, is_in_force: bool) {
        let position = self.evacuations.records.len() as u64 + 1;
        let domain = domain.to_string();
        self.evacuations.records.push(evacuation::Change { domain, position, is_in_force });
    }

    /// Returns the running instances at which the evacuation of a domain is not in force.
    pub fn unaware_of_evacuation(&self, domain: &str) -> Vec<usize> {
        let is_unaware = |index: &usize| {
            let reports = self.instances[*index]
                .as_ref()
                .map(|fleet| fleet.evacuation_reports(self.clock(*index)));
            let is_in_force =
                |report: &evacuation::Report| report.domain == domain && report.is_in_force;
            reports.is_some_and(|reports| !reports.iter().any(is_in_force))
        };
        (0..self.instances.len()).filter(is_unaware).collect()
    }

    /// Reads new records of the store at an instance that should do so.
    pub(super) fn read_evacuations(&mut self, instance: usize) {
        // Without records, tests of the configuration see its distribution as before.
        if self.evacuations.records.is_empty() || self.evacuations.rejected.contains(&instance) {
            return;
        }
        let now = self.clock(instance);
        let Some(fleet) = self.instances[instance].as_mut() else { return };
        if !fleet.should_read_configuration(now) {
            return;
        }
        let end = self.evacuations.records.len();
        let from = self.evacuations.read.insert(instance, end);
        let changes: Vec<_> = match from {
            Some(from) => self.evacuations.records[from..].to_vec(),
            None => {
                let records = self.evacuations.records.iter().enumerate();
                let newest = records.filter(|(index, record)| {
                    let mut later = self.evacuations.records[index + 1..].iter();
                    record.is_in_force && !later.any(|later| later.domain == record.domain)
                });
                newest.map(|(_, record)| record.clone()).collect()
            }
        };
        if from != Some(end) {
            let complete = from.is_none().then_some(end as u64 + 1);
            let source = servers::Source::Steady;
            self.apply(instance, fleet::Event::EvacuationsRead { changes, complete, source });
        }
    }

    /// Reads the evacuations at an instance that has just started: from the store, or from the peer
    /// that also sends it the configuration.
    pub(super) fn read_evacuations_at_start(&mut self, instance: usize) {
        self.evacuations.read.remove(&instance);
        if !self.evacuations.rejected.contains(&instance) {
            return self.read_evacuations(instance);
        }
        let peers = self.instances.iter().enumerate().filter(|(index, _)| *index != instance);
        let Some((peer, fleet)) =
            peers.filter_map(|(index, it)| Some((index, it.as_ref()?))).next()
        else {
            return;
        };
        let reports = fleet.evacuation_reports(self.clock(peer));
        let (from, message) = (self.addresses[peer], message::Message::Evacuations(reports));
        self.apply(instance, fleet::Event::Received { from, message });
    }

    /// Restarts one instance.
    pub fn restart(&mut self, instance: usize) {
        let count = self.addresses.len();
        let members: Vec<_> = (0..count).map(|it| member(it, self.addresses[it])).collect();
        let incarnation = (count + instance) as u64 + 1;
        let own = peers::Member {
            incarnation,
            started_unix_ms: incarnation,
            ..members[instance].clone()
        };
        self.instances[instance] = Some(restarted_fleet(own));
        self.started[instance] = self.now;
        self.apply(instance, fleet::Event::MembersDiscovered(members));
        self.read_evacuations_at_start(instance);
        self.apply(instance, fleet::Event::Configured(sync::Arc::new(configuration())));
        let entries = self.entries.values().cloned();
        self.apply(instance, listed(entries.map(servers::EntryChange::Put).collect()));
    }
}
