//! Membership of the fleet: which instances are members, and whether this one may act as a member.
//!
//! Members append join, renewal and leave records to a log, and other members, their witnesses,
//! accuse them there once they stop sending heartbeats. All readers derive the same members from
//! the same records. An instance may act as a member while it has recently read the log's end or
//! while a quorum of its witnesses has promised not to accuse it.

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
    /// The process that holds the membership; an older process of the same name does not.
    pub incarnation: ids::Incarnation,
    /// The failure domain that the instance runs in.
    pub failure_domain: ids::FailureDomain,
    /// The capacity of the instance relative to the other members.
    pub weight: u32,
    /// The address at which peers reach it.
    pub peer_address: net::SocketAddr,
    /// The address at which callers reach it.
    pub caller_address: net::SocketAddr,
    /// Whether it has announced that it is leaving.
    pub leaving: bool,
    /// The offset of its join record in the membership stream.
    pub joined: ids::Offset,
}

/// The instances that may be valid, according to the records that this instance has read.
///
/// Any two valid instances are in each other's view: an evicted member stays in the view until all
/// its permissions have expired, and a new member becomes valid only once all views include it.
/// Each valid instance may therefore compute rights from its own view alone.
///
/// Two views of the same version may differ in members that were recently removed or have recently
/// joined.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The offset of the last record that the view includes.
    pub version: ids::Offset,
    /// The members, sorted by id.
    pub members: Vec<Member>,
}

/// An entry of the platform's instance list.
///
/// The list may be out of date; it only supplies addresses of instances that are not in the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The configured name of the instance.
    pub id: ids::InstanceId,
    /// The address at which peers reach it.
    pub peer_address: net::SocketAddr,
}

/// A view shared between the reducers and the shell.
pub type SharedView = sync::Arc<View>;

/// The input of the membership reducer.
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
        /// The message.
        message: Message,
    },
    /// The log answered a read of the membership stream.
    Read(log::Batch),
    /// The log answered an append to the membership stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// The record's offset, or the reason why it is not known.
        outcome: log::AppendOutcome,
    },
    /// A read of the platform's instance list has finished.
    #[serde(rename = "Listed")]
    InstancesListed(Vec<ListedInstance>),
    /// The instance will leave soon. It stays a member and is marked as leaving in all views.
    Drain,
    /// The instance has handed over its rights and leaves. It is not valid from now on.
    Leave,
}

/// The output of the membership reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a peer.
    Send {
        /// The peer's name.
        to: ids::InstanceId,
        /// The peer's address.
        address: net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append a record to the membership stream.
    Append {
        /// The token that identifies the log's answer.
        token: ids::AppendToken,
        /// The encoded record.
        body: bytes::Bytes,
    },
    /// The members of the published view have changed.
    #[serde(rename = "Viewed")]
    ViewChanged(SharedView),
    /// This instance became valid or invalid, or its validity was extended.
    Validity {
        /// Whether it may act on its rights.
        valid: bool,
        /// When the validity ends unless it is extended.
        until: ids::Timestamp,
    },
    /// The process may stop: its leave record is in the log or has timed out.
    #[serde(rename = "Left")]
    LeaveFinished,
}

/// Messages between instances about membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a witness for a promise not to accuse the sender.
    Heartbeat {
        /// The number that the answer repeats.
        sequence: u64,
        /// The offset of the latest record of the sender that the sender has read.
        record: ids::Offset,
    },
    /// Promises not to accuse the addressee for one lease from the receipt of its heartbeat.
    Promise {
        /// The process that the promise is made to.
        incarnation: ids::Incarnation,
        /// The number of the heartbeat that it answers.
        sequence: u64,
    },
    /// Reports that the sender has joined or is leaving, which the receiver may not have read in
    /// the log yet.
    Announce(Member),
    /// Confirms that the sender's view includes the join that the addressee announced.
    Welcome {
        /// The offset of the addressee's join record.
        joined: ids::Offset,
    },
}

/// The membership reducer of one instance.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    settings: settings::Settings,
    roster: roster::Roster,
    published_view: published_view::PublishedView,
    lease: lease::Lease,
    detector: watch::FailureDetector,
    own_records: own_records::OwnRecords,
    pending_accusations: Option<PendingAccusations>,
    snapshot_append: Option<attempt::AppendAttempt>,
    snapshot_due_since: Option<ids::Timestamp>,
    witnesses: Vec<ids::InstanceId>,
    listed_addresses: collections::Map<ids::InstanceId, net::SocketAddr>,
    /// The members that have confirmed that their views include this instance's join.
    welcomed_by: collections::Map<ids::InstanceId, ids::Incarnation>,
    is_admitted: bool,
    /// Joins of this process before this offset do not count, as records were missed since.
    own_joins_from: ids::Offset,
    last_token: ids::AppendToken,
    /// When the last read that reached the log's end was sent.
    read_at: ids::Timestamp,
    /// When the last event was applied.
    applied_at: ids::Timestamp,
    /// When the next heartbeats are due.
    heartbeat_at: ids::Timestamp,
    /// The earliest time of the next join.
    rejoin_at: ids::Timestamp,
    /// The removals since a quorum of witnesses last made promises; each doubles the rejoin delay.
    consecutive_removals: u32,
    /// The end of the validity that was last reported; none while not valid.
    reported_until: Option<ids::Timestamp>,
    /// When an unfinished leave is given up; set while leaving.
    leave_by: Option<ids::Timestamp>,
    is_leave_reported: bool,
}

/// Accusations whose append is in progress.
#[derive(Debug)]
struct PendingAccusations {
    attempt: attempt::AppendAttempt,
    accusations: Vec<record::Accusation>,
}

impl Membership {
    /// Creates the reducer of an instance that has not joined yet.
    pub fn new(own: Member, settings: settings::Settings) -> Self {
        Self {
            roster: roster::Roster::new(settings.record_expiry),
            published_view: published_view::PublishedView::default(),
            lease: lease::Lease::new(settings.lease),
            detector: watch::FailureDetector::new(settings.lease_with_margin()),
            own_records: own_records::OwnRecords::default(),
            pending_accusations: None,
            snapshot_append: None,
            snapshot_due_since: None,
            witnesses: Vec::new(),
            listed_addresses: collections::Map::default(),
            welcomed_by: collections::Map::default(),
            is_admitted: false,
            own_joins_from: 0,
            last_token: 0,
            read_at: ids::Timestamp::ZERO,
            applied_at: ids::Timestamp::ZERO,
            heartbeat_at: ids::Timestamp::ZERO,
            rejoin_at: ids::Timestamp::ZERO,
            consecutive_removals: 0,
            reported_until: None,
            leave_by: None,
            is_leave_reported: false,
            own,
            settings,
        }
    }

    /// Returns the offset of the next record to read from the membership stream.
    ///
    /// The caller must poll the log continuously, each poll waiting at most a third of the lease.
    pub fn next_offset(&self) -> ids::Offset {
        self.roster.next()
    }

    /// Returns the view that was last published.
    pub fn view(&self) -> &SharedView {
        self.published_view.view()
    }

    /// Returns the members according to the records alone; all readers at the same offset agree on
    /// it.
    pub fn recorded_view(&self) -> View {
        let members = self.roster.entries().iter().map(|entry| entry.member.clone()).collect();
        View { version: self.roster.next().saturating_sub(1), members }
    }

    /// Returns whether enough records were read to know the members.
    pub fn knows_members(&self) -> bool {
        self.roster.is_known()
    }

    /// Returns whether this instance may act on its rights at the time `now`.
    pub fn is_valid(&self, now: ids::Timestamp) -> bool {
        self.is_admitted && self.leave_by.is_none() && now < self.valid_until(now)
    }

    /// Returns the roster entry that makes this process a member.
    ///
    /// A process that has missed records cannot know which of its own records may still arrive, so
    /// its earlier joins do not count and it joins again.
    fn own_entry(&self) -> Option<&roster::Entry> {
        let entry = self.roster.entry(&self.own.id);
        entry.filter(|entry| {
            let member = &entry.member;
            member.incarnation == self.own.incarnation && member.joined >= self.own_joins_from
        })
    }

    /// Returns the end of the validity, bounded by the lifetime of this instance's record.
    fn valid_until(&self, now: ids::Timestamp) -> ids::Timestamp {
        let Some(entry) = self.own_entry() else { return ids::Timestamp::ZERO };
        let expires = self.own_records.current_sent_at() + self.settings.record_lifetime();
        self.lease.read_until().max(self.promised_until(entry, now)).min(expires)
    }

    /// Returns until when a quorum of witnesses has promised not to accuse this instance.
    ///
    /// A pending record may already be in the log, so its witnesses must form a quorum as well.
    fn promised_until(&self, entry: &roster::Entry, now: ids::Timestamp) -> ids::Timestamp {
        let standing = self.lease.promised_until(&entry.witnesses, now);
        let pending = self.own_records.pending_witnesses();
        let pending = pending.map(|witnesses| self.lease.promised_until(witnesses, now));
        pending.map_or(standing, |pending| pending.min(standing))
    }

    fn next_token(&mut self) -> ids::AppendToken {
        self.last_token += 1;
        self.last_token
    }

    /// Does the periodic work: records, snapshots, accusations and heartbeats.
    fn tick(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        self.maintain_record(now, effects);
        self.maintain_snapshot(now, effects);
        self.accuse_members(now, effects);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.settings.heartbeat_interval;
            self.send_heartbeats(now, effects);
        }
    }

    /// Publishes the view if its members have changed.
    fn publish_view(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        effects.extend(self.published_view.publish(&self.roster, now).map(Effect::ViewChanged));
    }

    /// Lets this instance become valid once all members have confirmed its join.
    fn update_admission(&mut self) {
        if self.own_entry().is_some()
            && self.leave_by.is_none()
            && self.members_without_welcome().is_empty()
        {
            self.is_admitted = true;
        }
    }

    /// Reports a change of validity, and an extension by at least half a heartbeat interval.
    fn report_validity(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
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
            self.detector.on_resume(now);
        }
        self.applied_at = now;
        self.publish_view(now, effects);
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Received { from, incarnation, message } => {
                self.on_message(from, incarnation, message, now, effects);
            }
            Event::Read(batch) => self.on_read(&batch, now),
            Event::Appended { token, outcome } => self.on_appended(token, outcome, now),
            Event::InstancesListed(listed) => {
                self.listed_addresses =
                    listed.into_iter().map(|entry| (entry.id, entry.peer_address)).collect();
            }
            Event::Drain => self.drain(effects),
            Event::Leave => self.leave(now, effects),
        }
        self.publish_view(now, effects);
        self.update_admission();
        self.report_validity(now, effects);
        self.finish_leave(now, effects);
    }
}
