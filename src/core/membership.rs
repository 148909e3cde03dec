//! Decides which instances are members, and whether this one may still act as one.

use std::net;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::ids;
use crate::core::log;
use crate::core::reducer;

pub mod attempt;
pub mod backlog;
pub mod constants;
pub mod journal;
pub mod lease;
pub mod outlook;
pub mod record;
pub mod roster;
pub mod settings;
pub mod watch;
pub mod witnesses;

/// One instance as its latest record describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The configured name of the instance.
    pub id: ids::InstanceId,
    /// The process that is the member; an older process of the same name is not.
    pub incarnation: ids::Incarnation,
    /// Where the instance stands.
    pub failure_domain: ids::FailureDomain,
    /// The size of the instance relative to others.
    pub weight: u32,
    /// Where peers reach it.
    pub peer_address: net::SocketAddr,
    /// Where callers reach it.
    pub caller_address: net::SocketAddr,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// The offset of its join record.
    pub joined: ids::Offset,
}

/// The instances that may be valid, as far as this one has read the membership stream.
///
/// Of two valid instances, each is in the view of the other: an evicted member stays in the view
/// until its permissions have surely run out, and a new member becomes valid only when all views
/// include it. Rights may therefore be computed from the view alone, by each valid instance.
///
/// Two views of one version may differ in members that were just removed or have just joined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The offset of the last record that the view includes.
    pub version: ids::Offset,
    /// The members in the order of their ids.
    pub members: Vec<Member>,
}

/// An entry of the platform's instance list, which lags and serves as a hint only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The configured name of the instance.
    pub id: ids::InstanceId,
    /// Where peers reach it.
    pub peer_address: net::SocketAddr,
}

/// Shared ownership of a view.
pub type SharedView = sync::Arc<View>;

/// What the membership reducer is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The sending process.
        incarnation: ids::Incarnation,
        /// What it says.
        message: Message,
    },
    /// The log answered a read of the membership stream.
    Read(log::Batch),
    /// The log answered an append to the membership stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// Where the record stands, or why that is not known.
        outcome: log::AppendOutcome,
    },
    /// The platform's instance list was read.
    Listed(Vec<Listed>),
    /// The instance will leave soon: it is to be shown as leaving, and remains a member.
    Drain,
    /// The instance has handed everything over and leaves. It is not valid from here on.
    Leave,
}

/// What the membership reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: ids::InstanceId,
        /// Where the peer listens.
        address: net::SocketAddr,
        /// What to say.
        message: Message,
    },
    /// Append a record to the membership stream.
    Append {
        /// The token that the answer carries.
        token: ids::AppendToken,
        /// The record's bytes.
        body: bytes::Bytes,
    },
    /// The view has changed.
    Viewed(SharedView),
    /// This instance may act on its rights from now on, or no longer.
    Validity {
        /// Whether it may act.
        valid: bool,
        /// When the permission runs out unless it is renewed.
        until: ids::Timestamp,
    },
    /// The instance may stop: its leave is on record, or the log has not taken it in time.
    Left,
}

/// What instances tell each other about membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a witness for a promise.
    Heartbeat {
        /// A number that the answer repeats.
        sequence: u64,
        /// The offset of the asker's latest record, as far as it has read.
        record: ids::Offset,
    },
    /// Promises not to accuse the asker for a lease from the receipt of the heartbeat.
    Promise {
        /// The process that was promised.
        incarnation: ids::Incarnation,
        /// The number of the heartbeat.
        sequence: u64,
    },
    /// Tells a member what the log may not have told it yet: the sender has joined or is leaving.
    Announce(Member),
    /// The view of the sender includes the join that was announced.
    Welcome {
        /// The offset of the join record.
        joined: ids::Offset,
    },
}

/// The membership of the fleet as this instance knows it.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    settings: settings::Settings,
    roster: roster::Roster,
    outlook: outlook::Outlook,
    lease: lease::Lease,
    watch: watch::Watch,
    journal: journal::Journal,
    accusation: Option<Accusation>,
    snapshot: Option<attempt::Attempt>,
    snapshot_due: Option<ids::Timestamp>,
    witnesses: Vec<ids::InstanceId>,
    listed: collections::Map<ids::InstanceId, net::SocketAddr>,
    /// The members whose views include this instance's join.
    welcomed: collections::Map<ids::InstanceId, ids::Incarnation>,
    is_admitted: bool,
    /// Own joins before this offset do not count.
    known_from: ids::Offset,
    token: ids::AppendToken,
    read_at: ids::Timestamp,
    applied_at: ids::Timestamp,
    heartbeat_at: ids::Timestamp,
    rejoin_at: ids::Timestamp,
    evictions: u32,
    reported_until: Option<ids::Timestamp>,
    leave_by: Option<ids::Timestamp>,
    has_left: bool,
}

#[derive(Debug)]
struct Accusation {
    attempt: attempt::Attempt,
    charges: Vec<record::Charge>,
}

impl Membership {
    /// Creates the state of an instance that has not joined yet.
    pub fn new(own: Member, settings: settings::Settings) -> Self {
        Self {
            roster: roster::Roster::new(settings.record_expiry),
            outlook: outlook::Outlook::default(),
            lease: lease::Lease::new(settings.lease),
            watch: watch::Watch::new(settings.guard()),
            journal: journal::Journal::default(),
            accusation: None,
            snapshot: None,
            snapshot_due: None,
            witnesses: Vec::new(),
            listed: collections::Map::default(),
            welcomed: collections::Map::default(),
            is_admitted: false,
            known_from: 0,
            token: 0,
            read_at: ids::Timestamp::ZERO,
            applied_at: ids::Timestamp::ZERO,
            heartbeat_at: ids::Timestamp::ZERO,
            rejoin_at: ids::Timestamp::ZERO,
            evictions: 0,
            reported_until: None,
            leave_by: None,
            has_left: false,
            own,
            settings,
        }
    }

    /// Returns the offset of the next record of the membership stream that is to be read.
    ///
    /// The log is to be polled all the time, with polls that wait for a third of the lease at most.
    pub fn next_offset(&self) -> ids::Offset {
        self.roster.next()
    }

    /// Returns the published view.
    pub fn view(&self) -> &SharedView {
        self.outlook.view()
    }

    /// Returns the members by the records alone, the same in all readers at the same offset.
    pub fn recorded(&self) -> View {
        let members = self.roster.entries().iter().map(|entry| entry.member.clone()).collect();
        View { version: self.roster.next().saturating_sub(1), members }
    }

    /// Tells whether enough records were read to know the members.
    pub fn knows_members(&self) -> bool {
        self.roster.is_known()
    }

    /// Tells whether this instance may act on its rights now.
    pub fn is_valid(&self, now: ids::Timestamp) -> bool {
        self.is_admitted && self.leave_by.is_none() && now < self.valid_until(now)
    }

    /// Returns the entry that makes this process a member.
    ///
    /// A process that has missed records does not know which records of its own may still be on
    /// their way, and joins anew.
    fn entry(&self) -> Option<&roster::Entry> {
        let entry = self.roster.entry(&self.own.id);
        entry.filter(|entry| {
            let member = &entry.member;
            member.incarnation == self.own.incarnation && member.joined >= self.known_from
        })
    }

    fn valid_until(&self, now: ids::Timestamp) -> ids::Timestamp {
        let Some(entry) = self.entry() else { return ids::Timestamp::ZERO };
        let expires = self.journal.standing_since() + self.settings.record_lifetime();
        self.lease.read_until().max(self.promised_until(entry, now)).min(expires)
    }

    /// Returns until when witnesses have promised enough under each record that may be the latest.
    fn promised_until(&self, entry: &roster::Entry, now: ids::Timestamp) -> ids::Timestamp {
        let standing = self.lease.promised_until(&entry.witnesses, now);
        let pending = self.journal.pending_witnesses();
        let pending = pending.map(|witnesses| self.lease.promised_until(witnesses, now));
        pending.map_or(standing, |pending| pending.min(standing))
    }

    fn next_token(&mut self) -> ids::AppendToken {
        self.token += 1;
        self.token
    }

    fn address(&self, id: &ids::InstanceId) -> Option<net::SocketAddr> {
        let member = self.outlook.view().members.iter().find(|member| member.id == *id);
        member.map(|member| member.peer_address).or_else(|| self.listed.get(id).copied())
    }

    fn send(&self, to: &ids::InstanceId, message: Message, effects: &mut Vec<Effect>) {
        let Some(address) = self.address(to) else { return };
        effects.push(Effect::Send { to: to.clone(), address, message });
    }

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.maintain_record(now, effects);
        self.maintain_snapshot(now, effects);
        self.accuse(now, effects);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.settings.heartbeat_interval;
            self.beat(now, effects);
        }
    }

    fn beat(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entry().filter(|_| self.leave_by.is_none()) else { return };
        let record = entry.record;
        let mut witnesses = entry.witnesses.clone();
        witnesses.extend(self.journal.pending_witnesses().unwrap_or_default().iter().cloned());
        witnesses.sort();
        witnesses.dedup();
        let sequence = self.lease.send(now);
        for witness in &witnesses {
            self.send(witness, Message::Heartbeat { sequence, record }, effects);
        }
        for member in self.awaited().iter().filter(|member| member.id != self.own.id) {
            self.announce(member, effects);
        }
    }

    fn announce(&self, to: &Member, effects: &mut Vec<Effect>) {
        let Some(entry) = self.entry() else { return };
        let mut own = entry.member.clone();
        own.leaving = self.own.leaving;
        let (to, address) = (to.id.clone(), to.peer_address);
        effects.push(Effect::Send { to, address, message: Message::Announce(own) });
    }

    /// Returns those that may be valid without having this instance in their view.
    fn awaited(&self) -> Vec<Member> {
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

    /// Keeps this instance's record in the log right.
    fn maintain_record(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let reading = attempt::Reading { next: self.roster.next(), requested_at: self.read_at };
        if self.journal.is_pending() {
            if self.leave_by.is_none() && !self.roster.is_known() {
                return;
            }
            let token = self.next_token();
            effects.extend(self.journal.retry(reading, token, now, &self.settings));
            return;
        }
        if !self.has_read(now) || !self.roster.is_known() || self.leave_by.is_some() {
            return;
        }
        let Some(entry) = self.entry() else {
            if now >= self.rejoin_at {
                self.describe(record::Record::Join, now, effects);
            }
            return;
        };
        if self.is_record_due(entry, now) {
            self.describe(record::Record::Renew, now, effects);
        }
    }

    fn has_read(&self, now: ids::Timestamp) -> bool {
        self.read_at + self.settings.lease > now && self.roster.next() > 0
    }

    /// Keeps a recent snapshot in the log.
    ///
    /// The members take the duty in the order of their ids, a lease after one another. A reader
    /// that finds neither the first record, nor a snapshot, nor the record of a member starts an
    /// empty fleet.
    fn maintain_snapshot(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let reading = attempt::Reading { next: self.roster.next(), requested_at: self.read_at };
        if let Some(attempt) = &mut self.snapshot {
            if !attempt.is_over(reading, now, &self.settings) {
                return;
            }
            self.snapshot = None;
        }
        if !self.has_read(now) || !self.is_snapshot_due() {
            self.snapshot_due = None;
            return;
        }
        let entries = self.roster.entries().iter();
        let rank = entries.take_while(|entry| entry.member.id < self.own.id).count();
        let wait = self.settings.lease * u32::try_from(rank).unwrap_or(u32::MAX);
        if now >= *self.snapshot_due.get_or_insert(now) + wait {
            let token = self.next_token();
            let body = record::encode(&record::Record::Snapshot(self.roster.snapshot()));
            self.snapshot = Some(attempt::Attempt::new(token, now));
            effects.push(Effect::Append { token, body });
        }
    }

    fn is_snapshot_due(&self) -> bool {
        if self.roster.is_known() {
            return self.entry().is_some()
                && self.roster.is_snapshot_due(self.settings.renew_interval);
        }
        self.roster.is_orphaned()
    }

    fn is_record_due(&self, entry: &roster::Entry, now: ids::Timestamp) -> bool {
        let since = self.journal.standing_since();
        let is_old = now >= since + self.settings.renew_interval;
        let is_settled = now >= since + self.settings.lease;
        let is_wrongly_accused = entry.accused != 0 && now < self.promised_until(entry, now);
        is_old
            || is_wrongly_accused
            || entry.member.leaving != self.own.leaving
            || (is_settled && entry.witnesses != self.witnesses)
    }

    fn describe(
        &mut self,
        kind: fn(record::Own) -> record::Record,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let mut member = self.own.clone();
        member.joined = self.entry().map_or(0, |entry| entry.member.joined);
        let sequence = self.journal.next_sequence();
        let witnesses = self.witnesses.clone();
        let record = kind(record::Own { member, sequence, witnesses });
        let token = self.next_token();
        effects.push(self.journal.propose(record, token, now));
    }

    /// Accuses members whose promises have run out, as a witness that reads the log.
    fn accuse(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let reading = attempt::Reading { next: self.roster.next(), requested_at: self.read_at };
        if let Some(accusation) = &mut self.accusation {
            if !accusation.attempt.is_over(reading, now, &self.settings) {
                return;
            }
            self.accusation = None;
        }
        if now >= self.lease.read_until() || self.leave_by.is_some() {
            return;
        }
        let Some(joined) = self.entry().map(|entry| entry.member.joined) else { return };
        let charges = self.watch.accuse(&self.own.id, &self.roster, now);
        if charges.is_empty() {
            return;
        }
        let token = self.next_token();
        let body = record::encode(&record::Record::Accuse {
            witness: self.own.id.clone(),
            joined,
            read: self.roster.next(),
            charges: charges.clone(),
        });
        self.accusation = Some(Accusation { attempt: attempt::Attempt::new(token, now), charges });
        effects.push(Effect::Append { token, body });
    }

    fn received(
        &mut self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        message: Message,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Message::Heartbeat { sequence, record } => {
                if !self.may_be_member(&from, incarnation, record) {
                    return;
                }
                if self.watch.hear(&from, record, now) && self.is_valid(now) {
                    self.send(&from, Message::Promise { incarnation, sequence }, effects);
                }
            }
            Message::Promise { incarnation, sequence } => {
                if incarnation == self.own.incarnation {
                    self.promised(&from, sequence, now);
                }
            }
            Message::Announce(member) => {
                if member.id == from && member.incarnation == incarnation {
                    self.announced(member, now, effects);
                }
            }
            Message::Welcome { joined } => {
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

    fn announced(&mut self, member: Member, now: ids::Timestamp, effects: &mut Vec<Effect>) {
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
            self.send(&id, Message::Welcome { joined }, effects);
        }
    }

    fn read(&mut self, batch: &log::Batch, now: ids::Timestamp) {
        let mut changes = Vec::new();
        let next = self.roster.next();
        if next < batch.first {
            self.known_from = batch.next;
        }
        let is_at_tail = self.roster.read(batch, &mut changes);
        if self.roster.next() != next {
            self.outlook.invalidate();
        }
        let has_lost = self.has_lost_membership(&changes);
        for change in &changes {
            self.follow(change, now);
        }
        if has_lost && self.entry().is_none() && self.leave_by.is_none() {
            self.journal.abandon();
        }
        if !changes.is_empty() {
            let members = self.roster.entries().iter().map(|entry| &entry.member);
            let limit = self.settings.max_witnesses;
            self.witnesses = witnesses::choose(&self.own.id, members, limit);
        }
        if is_at_tail {
            self.read_at = self.read_at.max(batch.requested_at);
        }
        if is_at_tail && self.entry().is_some() {
            self.lease.confirm(batch.requested_at);
        }
        self.journal.resolve(self.roster.sequence(&self.own.id, self.own.incarnation));
    }

    /// Tells whether these changes ended a membership of this process.
    fn has_lost_membership(&self, changes: &[roster::Change]) -> bool {
        changes.iter().any(|change| match change {
            roster::Change::Removed(entry, _) => {
                entry.member.id == self.own.id && entry.member.incarnation == self.own.incarnation
            }
            roster::Change::Updated(_) => false,
        })
    }

    fn follow(&mut self, change: &roster::Change, now: ids::Timestamp) {
        match change {
            roster::Change::Updated(id) => {
                if let Some(entry) = self.roster.entry(id) {
                    self.watch.update(entry, now);
                }
            }
            roster::Change::Removed(entry, cause) => {
                let member = &entry.member;
                self.watch.remove(&member.id, now);
                if *cause != roster::Cause::Left {
                    self.outlook.depart(member.clone(), now + self.settings.guard());
                }
                if member.id == self.own.id && member.incarnation == self.own.incarnation {
                    self.removed(now);
                }
            }
        }
    }

    /// Gives up everything that this instance held as a member.
    fn removed(&mut self, now: ids::Timestamp) {
        self.lease.clear();
        self.welcomed.clear();
        self.is_admitted = false;
        let doublings = self.evictions.min(constants::MAX_REJOIN_DOUBLINGS);
        self.rejoin_at = now + self.settings.lease * (1 << doublings);
        self.evictions += 1;
    }

    fn appended(
        &mut self,
        token: ids::AppendToken,
        outcome: log::AppendOutcome,
        now: ids::Timestamp,
    ) {
        self.journal.answer(token, outcome, now);
        if let Some(attempt) = self.snapshot.as_mut().filter(|known| known.token() == token) {
            attempt.answer(outcome, now);
        }
        let accusation = self.accusation.as_mut();
        let accusation = accusation.filter(|accusation| accusation.attempt.token() == token);
        let Some(accusation) = accusation else { return };
        accusation.attempt.answer(outcome, now);
        match outcome {
            log::AppendOutcome::At(_) => {}
            log::AppendOutcome::Refused => self.watch.retract(&accusation.charges),
            log::AppendOutcome::Unknown => self.watch.doubt(&accusation.charges),
        }
    }

    fn drain(&mut self, effects: &mut Vec<Effect>) {
        self.own.leaving = true;
        let Some(entry) = self.entry() else { return };
        let mut own = entry.member.clone();
        own.leaving = true;
        self.outlook.announce(own);
        let view = sync::Arc::clone(self.outlook.view());
        for member in view.members.iter().filter(|member| member.id != self.own.id) {
            self.announce(member, effects);
        }
    }

    fn leave(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.leave_by.is_some() {
            return;
        }
        self.leave_by = Some(now + self.settings.leave_timeout);
        self.is_admitted = false;
        self.report(now, effects);
        if self.journal.is_empty() {
            return;
        }
        let id = self.own.id.clone();
        let incarnation = self.own.incarnation;
        let sequence = self.journal.next_sequence();
        let token = self.next_token();
        let record = record::Record::Leave { id, incarnation, sequence };
        effects.push(self.journal.propose(record, token, now));
    }

    fn finish_leave(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let Some(leave_by) = self.leave_by.filter(|_| !self.has_left) else { return };
        if self.journal.stands() || now >= leave_by {
            self.has_left = true;
            effects.push(Effect::Left);
        }
    }

    fn publish(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        effects.extend(self.outlook.publish(&self.roster, now).map(Effect::Viewed));
    }

    fn admit(&mut self) {
        if self.entry().is_some() && self.leave_by.is_none() && self.awaited().is_empty() {
            self.is_admitted = true;
        }
    }

    /// Reports a change of validity, and a permission that has become notably longer.
    fn report(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if !self.is_valid(now) {
            if self.reported_until.take().is_some() {
                effects.push(Effect::Validity { valid: false, until: now });
            }
            return;
        }
        let until = self.valid_until(now);
        let step = self.settings.heartbeat_interval / 2;
        if self.reported_until.is_none_or(|reported| until >= reported + step) {
            self.reported_until = Some(until);
            effects.push(Effect::Validity { valid: true, until });
        }
    }
}

impl reducer::Reducer for Membership {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if now > self.applied_at + self.settings.heartbeat_interval {
            self.watch.resume(now);
        }
        self.applied_at = now;
        self.publish(now, effects);
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Received { from, incarnation, message } => {
                self.received(from, incarnation, message, now, effects);
            }
            Event::Read(batch) => self.read(&batch, now),
            Event::Appended { token, outcome } => self.appended(token, outcome, now),
            Event::Listed(listed) => {
                self.listed =
                    listed.into_iter().map(|entry| (entry.id, entry.peer_address)).collect();
            }
            Event::Drain => self.drain(effects),
            Event::Leave => self.leave(now, effects),
        }
        self.publish(now, effects);
        self.admit();
        self.report(now, effects);
        self.finish_leave(now, effects);
    }
}
