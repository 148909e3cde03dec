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
mod exchange;
pub mod lease;
mod maintenance;
pub mod own_records;
pub mod published_view;
mod reading;
pub mod record;
pub mod roster;
pub mod settings;
#[cfg(test)]
mod tests;
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
pub struct ListedInstance {
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
    #[serde(rename = "Listed")]
    InstancesListed(Vec<ListedInstance>),
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
    #[serde(rename = "Viewed")]
    ViewChanged(SharedView),
    /// This instance may act on its rights from now on, or no longer.
    Validity {
        /// Whether it may act.
        valid: bool,
        /// When the permission runs out unless it is renewed.
        until: ids::Timestamp,
    },
    /// The instance may stop: its leave is on record, or the log has not taken it in time.
    #[serde(rename = "Left")]
    LeaveFinished,
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
    outlook: published_view::Outlook,
    lease: lease::Lease,
    watch: watch::Watch,
    journal: own_records::Journal,
    accusation: Option<PendingAccusations>,
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
struct PendingAccusations {
    attempt: attempt::Attempt,
    accusations: Vec<record::Accusation>,
}

impl Membership {
    /// Creates the state of an instance that has not joined yet.
    pub fn new(own: Member, settings: settings::Settings) -> Self {
        Self {
            roster: roster::Roster::new(settings.record_expiry),
            outlook: published_view::Outlook::default(),
            lease: lease::Lease::new(settings.lease),
            watch: watch::Watch::new(settings.guard()),
            journal: own_records::Journal::default(),
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
    pub fn recorded_view(&self) -> View {
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

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.maintain_record(now, effects);
        self.maintain_snapshot(now, effects);
        self.accuse(now, effects);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.settings.heartbeat_interval;
            self.beat(now, effects);
        }
    }

    fn publish(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        effects.extend(self.outlook.publish(&self.roster, now).map(Effect::ViewChanged));
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
            Event::InstancesListed(listed) => {
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
