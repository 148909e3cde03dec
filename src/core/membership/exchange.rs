//! Sends and handles messages between instances: heartbeats, promises and announcements.

use std::net;

use crate::core::ids;
use crate::core::membership;

impl membership::Membership {
    /// Returns a peer's address from the view or, if it is not there, from the instance list.
    pub(super) fn address(&self, id: &ids::InstanceId) -> Option<net::SocketAddr> {
        let member = self.published_view.view().members.iter().find(|member| member.id == *id);
        member.map(|member| member.peer_address).or_else(|| self.listed_addresses.get(id).copied())
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

    /// Sends heartbeats to the witnesses, and the announcement of the join to the members that have
    /// not confirmed it.
    pub(super) fn send_heartbeats(
        &mut self,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let Some(entry) = self.own_entry().filter(|_| self.leave_by.is_none()) else { return };
        let record = entry.record;
        let mut witnesses = entry.witnesses.clone();
        witnesses.extend(self.own_records.pending_witnesses().unwrap_or_default().iter().cloned());
        witnesses.sort();
        witnesses.dedup();
        let sequence = self.lease.start_heartbeats(now);
        for witness in &witnesses {
            self.send(witness, membership::Message::Heartbeat { sequence, record }, effects);
        }
        for member in
            self.members_without_welcome().iter().filter(|member| member.id != self.own.id)
        {
            self.announce(member, effects);
        }
    }

    /// Announces this instance's join, or that it is leaving, to a member.
    pub(super) fn announce(&self, to: &membership::Member, effects: &mut Vec<membership::Effect>) {
        let Some(entry) = self.own_entry() else { return };
        let mut own = entry.member.clone();
        own.leaving = self.own.leaving;
        let (to, address) = (to.id.clone(), to.peer_address);
        effects.push(membership::Effect::Send {
            to,
            address,
            message: membership::Message::Announce(own),
        });
    }

    /// Returns the members that may be valid while their views do not include this instance.
    pub(super) fn members_without_welcome(&self) -> Vec<membership::Member> {
        let Some(entry) = self.own_entry().filter(|_| !self.is_admitted) else { return Vec::new() };
        let joined = entry.member.joined;
        let members = self.roster.entries().iter().map(|entry| &entry.member);
        let removed = self.published_view.removed_members().iter().map(|removed| &removed.member);
        members
            .chain(removed)
            .filter(|member| member.joined < joined)
            .filter(|member| self.welcomed_by.get(&member.id) != Some(&member.incarnation))
            .cloned()
            .collect()
    }

    /// Handles a message from a peer.
    pub(super) fn on_message(
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
                if self.detector.on_heartbeat(&from, record, now) && self.is_valid(now) {
                    self.send(
                        &from,
                        membership::Message::Promise { incarnation, sequence },
                        effects,
                    );
                }
            }
            membership::Message::Promise { incarnation, sequence } => {
                if incarnation == self.own.incarnation {
                    self.on_promise(&from, sequence, now);
                }
            }
            membership::Message::Announce(member) => {
                if member.id == from && member.incarnation == incarnation {
                    self.on_announcement(member, now, effects);
                }
            }
            membership::Message::Welcome { joined } => {
                if self.own_entry().is_some_and(|entry| entry.member.joined == joined) {
                    self.welcomed_by.insert(from, incarnation);
                }
            }
        }
    }

    /// Returns whether a process that has read its own record at `record` may still be a member.
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

    /// Extends the lease, and ends the back-off of rejoins once a quorum of witnesses has promised.
    fn on_promise(&mut self, witness: &ids::InstanceId, sequence: u64, now: ids::Timestamp) {
        self.lease.on_promise(witness, sequence);
        if self.own_entry().is_some_and(|entry| now < self.promised_until(entry, now)) {
            self.consecutive_removals = 0;
        }
    }

    /// Adds an announced join or leave to the view, and confirms the join if the view includes it.
    fn on_announcement(
        &mut self,
        member: membership::Member,
        now: ids::Timestamp,
        effects: &mut Vec<membership::Effect>,
    ) {
        let (id, joined) = (member.id.clone(), member.joined);
        let is_read = self.roster.next() > joined;
        let is_current = self.roster.entry(&id).is_some_and(|entry| entry.member.joined == joined);
        let mut removed = self.published_view.removed_members().iter();
        let is_removed =
            removed.any(|removed| removed.member.id == id && removed.member.joined == joined);
        let has_room = (is_read && !member.leaving) || self.published_view.announce(member);
        let is_included = if is_read { is_current || is_removed } else { has_room };
        self.publish_view(now, effects);
        if is_included {
            self.send(&id, membership::Message::Welcome { joined }, effects);
        }
    }
}
