//! Exchanges messages with other instances.

use std::net;

use crate::core::ids;
use crate::core::membership;

impl membership::Membership {
    /// Returns where a peer listens: by the view, else by the instance list.
    pub(super) fn address(&self, id: &ids::InstanceId) -> Option<net::SocketAddr> {
        let member = self.outlook.view().members.iter().find(|member| member.id == *id);
        member.map(|member| member.peer_address).or_else(|| self.listed.get(id).copied())
    }

    /// Sends a message to a peer whose address is known.
    pub(super) fn send(
        &self,
        to: &ids::InstanceId,
        message: membership::Message,
        effects: &mut Vec<membership::Effect>,
    ) {
        let Some(address) = self.address(to) else { return };
        effects.push(membership::Effect::Send { to: to.clone(), address, message });
    }

    /// Sends heartbeats to the witnesses, and the announcement to those that this instance awaits.
    pub(super) fn beat(&mut self, now: ids::Timestamp, effects: &mut Vec<membership::Effect>) {
        let Some(entry) = self.entry().filter(|_| self.leave_by.is_none()) else { return };
        let record = entry.record;
        let mut witnesses = entry.witnesses.clone();
        witnesses.extend(self.journal.pending_witnesses().unwrap_or_default().iter().cloned());
        witnesses.sort();
        witnesses.dedup();
        let sequence = self.lease.send(now);
        for witness in &witnesses {
            self.send(witness, membership::Message::Heartbeat { sequence, record }, effects);
        }
        for member in self.awaited().iter().filter(|member| member.id != self.own.id) {
            self.announce(member, effects);
        }
    }

    /// Tells a member of this instance's join or leave.
    pub(super) fn announce(&self, to: &membership::Member, effects: &mut Vec<membership::Effect>) {
        let Some(entry) = self.entry() else { return };
        let mut own = entry.member.clone();
        own.leaving = self.own.leaving;
        let (to, address) = (to.id.clone(), to.peer_address);
        effects.push(membership::Effect::Send {
            to,
            address,
            message: membership::Message::Announce(own),
        });
    }

    /// Returns those that may be valid without having this instance in their view.
    pub(super) fn awaited(&self) -> Vec<membership::Member> {
        let Some(entry) = self.entry().filter(|_| !self.is_admitted) else { return Vec::new() };
        let joined = entry.member.joined;
        let members = self.roster.entries().iter().map(|entry| &entry.member);
        let departing = self.outlook.departing().iter().map(|departing| &departing.member);
        members
            .chain(departing)
            .filter(|member| member.joined < joined)
            .filter(|member| self.welcomed.get(&member.id) != Some(&member.incarnation))
            .cloned()
            .collect()
    }

    /// Takes in a message of a peer.
    pub(super) fn received(
        &mut self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        message: membership::Message,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        match message {
            membership::Message::Heartbeat { sequence, record } => {
                if !self.may_be_member(&from, incarnation, record) {
                    return;
                }
                if self.watch.hear(&from, record, now) && self.is_valid(now) {
                    self.send(
                        &from,
                        membership::Message::Promise { incarnation, sequence },
                        effects,
                    );
                }
            }
            membership::Message::Promise { incarnation, sequence } => {
                if incarnation == self.own.incarnation {
                    self.promised(&from, sequence, now);
                }
            }
            membership::Message::Announce(member) => {
                if member.id == from && member.incarnation == incarnation {
                    self.announced(member, now, effects);
                }
            }
            membership::Message::Welcome { joined } => {
                if self.entry().is_some_and(|entry| entry.member.joined == joined) {
                    self.welcomed.insert(from, incarnation);
                }
            }
        }
    }

    /// Tells whether a process that has read its record at `record` may still be a member.
    fn may_be_member(
        &self,
        id: &ids::InstanceId,
        incarnation: ids::Incarnation,
        record: ids::Offset,
    ) -> bool {
        let entry = self.roster.entry(id);
        record >= self.roster.next()
            || entry.is_some_and(|entry| entry.member.incarnation == incarnation)
    }

    fn promised(&mut self, witness: &ids::InstanceId, sequence: u64, now: ids::Timestamp) {
        self.lease.promise(witness, sequence);
        if self.entry().is_some_and(|entry| now < self.promised_until(entry, now)) {
            self.evictions = 0;
        }
    }

    fn announced(
        &mut self,
        member: membership::Member,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let (id, joined) = (member.id.clone(), member.joined);
        let is_read = self.roster.next() > joined;
        let is_current = self.roster.entry(&id).is_some_and(|entry| entry.member.joined == joined);
        let mut departing = self.outlook.departing().iter();
        let is_departing = departing
            .any(|departing| departing.member.id == id && departing.member.joined == joined);
        let has_room = (is_read && !member.leaving) || self.outlook.announce(member);
        let is_included = if is_read { is_current || is_departing } else { has_room };
        self.publish(now, effects);
        if is_included {
            self.send(&id, membership::Message::Welcome { joined }, effects);
        }
    }
}
