//! Claims on idempotency keys that are decided by the order of records in the log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::core::collections;
use crate::core::ids;
use crate::core::log;
use crate::core::membership;
use crate::core::reducer;

mod answers;
mod committer;
pub mod constants;
pub mod record;
mod table;
#[cfg(test)]
mod tests;
mod waiting;

/// Digests a workspace and the idempotency key that one of its callers chose.
pub fn key_digest(workspace: Option<&ids::WorkspaceId>, key: &Bytes) -> ids::Digest {
    let mut hasher = sha2::Sha256::new();
    let workspace = workspace.map(|workspace| workspace.as_ref()).unwrap_or_default();
    hasher.update((workspace.len() as u64).to_le_bytes());
    hasher.update(workspace);
    hasher.update(key);
    hasher.finalize().into()
}

/// What the claims reducer is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
    /// The log answered a read of the claims stream.
    Read(log::Batch),
    /// The log answered an append to the claims stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// Where the record stands, or why that is not known.
        outcome: log::AppendOutcome,
    },
    /// A peer's message arrived.
    Received {
        /// The peer that sent it.
        from: ids::InstanceId,
        /// The sending process.
        incarnation: ids::Incarnation,
        /// What it says.
        message: Message,
    },
    /// A request with an idempotency key asks to be the one that runs.
    Claim {
        /// The request.
        request: ids::RequestId,
        /// The digest of workspace and idempotency key.
        key: ids::Digest,
        /// The digest of method, path and body.
        fingerprint: ids::Digest,
    },
    /// The request that holds a claim has ended.
    Settled {
        /// The request.
        request: ids::RequestId,
        /// How it ended.
        answer: Answer,
    },
    /// A request that waits for its claim is given up.
    Withdraw {
        /// The request.
        request: ids::RequestId,
    },
}

/// The answer to a request that held a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The complete answer of the backend server.
    #[serde(rename = "Whole")]
    Complete {
        /// The status code.
        status: u16,
        /// The content type.
        content_type: Bytes,
        /// The body.
        body: Bytes,
    },
    /// The answer is too large to keep.
    TooLarge {
        /// The status code.
        status: u16,
    },
    /// The request certainly did not run; the key may be claimed again.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

/// What the claims reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The member's name.
        to: ids::InstanceId,
        /// What to say.
        message: Message,
    },
    /// Append a record to the claims stream.
    Append {
        /// The token that the answer carries.
        token: ids::AppendToken,
        /// The record's bytes.
        body: Bytes,
    },
    /// The request holds the claim and may run.
    Granted {
        /// The request.
        request: ids::RequestId,
    },
    /// Another request holds the claim; its answer stands for this request too.
    Answered {
        /// The request.
        request: ids::RequestId,
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// The holder's answer.
        answer: Answer,
    },
    /// The key was used with another body.
    Mismatch {
        /// The request.
        request: ids::RequestId,
    },
    /// The claim could not be recorded in time; the request has not run.
    Unavailable {
        /// The request.
        request: ids::RequestId,
    },
}

/// What instances tell each other about claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the answer to a request that holds a claim.
    Ask {
        /// The request that holds the claim.
        holder: ids::RequestId,
    },
    /// Tells the answer to a request that holds a claim.
    Tell {
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// Its answer; `None` while it runs.
        answer: Option<Answer>,
    },
}

/// The claims that this instance knows and those it waits for.
#[derive(Debug)]
pub struct Claims {
    incarnation: ids::Incarnation,
    members: collections::Map<ids::Incarnation, ids::InstanceId>,
    table: table::Table,
    answers: answers::Answers,
    committer: committer::Committer,
    waiting: collections::Map<ids::RequestId, waiting::Waiting>,
    askers: collections::Map<ids::RequestId, Vec<ids::RequestId>>,
}

type Effects = Vec<Effect>;

impl Claims {
    /// Creates the state of an instance that knows no claims.
    pub fn new(incarnation: ids::Incarnation) -> Self {
        Self {
            committer: committer::Committer::new(incarnation),
            incarnation,
            members: collections::Map::default(),
            table: table::Table::default(),
            answers: answers::Answers::default(),
            waiting: collections::Map::default(),
            askers: collections::Map::default(),
        }
    }

    fn claim(
        &mut self,
        request: ids::RequestId,
        key: ids::Digest,
        fingerprint: ids::Digest,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        if self.waiting.len() >= constants::MAX_WAITING || self.table.is_full() {
            return effects.push(Effect::Unavailable { request });
        }
        let waiting =
            waiting::Waiting { key, fingerprint, since: now, stage: waiting::Stage::Committing };
        self.waiting.insert(request, waiting);
        match self.table.holder(&key, now) {
            Some(claim) => self.lose(request, claim, now, effects),
            None => self.committer.claim(request, key, fingerprint),
        }
        self.committer.flush(now, effects);
    }

    /// Another request holds the claim that a request asked for.
    fn lose(
        &mut self,
        request: ids::RequestId,
        claim: table::Claim,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        if waiting.fingerprint != claim.fingerprint {
            self.waiting.remove(&request);
            return effects.push(Effect::Mismatch { request });
        }
        let holder = claim.request;
        waiting.stage = waiting::Stage::Asking { holder, asked_at: now, heard_at: now };
        self.askers.entry(holder).or_default().push(request);
        self.ask(request, holder, now, effects);
    }

    fn ask(
        &mut self,
        request: ids::RequestId,
        holder: ids::RequestId,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        let incarnation = ids::incarnation_of(holder);
        if incarnation == self.incarnation {
            if let Some(answer) = self.answers.of(holder) {
                self.resolve(holder, answer, now, effects);
            }
            return;
        }
        match self.members.get(&incarnation) {
            Some(to) => {
                effects.push(Effect::Send { to: to.clone(), message: Message::Ask { holder } });
            }
            None => self.answer(request, holder, Answer::Unknown, now, effects),
        }
    }

    /// Passes a holder's answer to all requests that wait for it.
    fn resolve(
        &mut self,
        holder: ids::RequestId,
        answer: Answer,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        for request in self.askers.remove(&holder).unwrap_or_default() {
            self.answer(request, holder, answer.clone(), now, effects);
        }
    }

    fn answer(
        &mut self,
        request: ids::RequestId,
        holder: ids::RequestId,
        answer: Answer,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        if answer != Answer::NotRun {
            if self.stop_waiting(request).is_some() {
                effects.push(Effect::Answered { request, holder, answer });
            }
            return;
        }
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        waiting.since = now;
        waiting.stage = waiting::Stage::Blocked { checked_at: now };
    }

    /// Ends a request's wait, and its question to another holder with it.
    fn stop_waiting(&mut self, request: ids::RequestId) -> Option<waiting::Waiting> {
        let waiting = self.waiting.remove(&request)?;
        if let waiting::Stage::Asking { holder, .. } = waiting.stage
            && let Some(askers) = self.askers.get_mut(&holder)
        {
            askers.retain(|asker| *asker != request);
            if askers.is_empty() {
                self.askers.remove(&holder);
            }
        }
        Some(waiting)
    }

    /// Claims a key again once the log shows that its holder has released it.
    fn unblock(&mut self, request: ids::RequestId, now: ids::Timestamp, effects: &mut Effects) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        if now.saturating_sub(waiting.since) >= constants::CLAIM_TIMEOUT {
            self.waiting.remove(&request);
            return effects.push(Effect::Unavailable { request });
        }
        if self.table.holder(&waiting.key, now).is_some() {
            waiting.stage = waiting::Stage::Blocked { checked_at: now };
            return;
        }
        waiting.stage = waiting::Stage::Committing;
        self.committer.claim(request, waiting.key, waiting.fingerprint);
        self.committer.flush(now, effects);
    }

    fn read(&mut self, batch: log::Batch, now: ids::Timestamp, effects: &mut Effects) {
        for entry in batch.records {
            let Some(record) = record::Record::decode(&entry.body) else { continue };
            if entry.offset <= self.table.offset() {
                continue;
            }
            self.table.advance(entry.offset, entry.time_ms, now);
            self.fold(record, entry.time_ms, now, effects);
        }
    }

    fn fold(
        &mut self,
        record: record::Record,
        time_ms: u64,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        for sequence in &record.releases {
            self.table.release(ids::request_id(record.incarnation, *sequence));
        }
        for claim in &record.claims {
            let request = ids::request_id(record.incarnation, claim.sequence);
            let claim = table::Claim { request, fingerprint: claim.fingerprint, key: claim.key };
            let holder = self.table.claim(claim, time_ms);
            if record.incarnation == self.incarnation {
                self.committer.read(request);
                self.decide(request, holder, now, effects);
            }
        }
    }

    /// Tells a request of this instance what the order of the log has decided.
    ///
    /// A claim that is read long after it was made may have outlived its window, so it is given up.
    fn decide(
        &mut self,
        request: ids::RequestId,
        holder: table::Claim,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        if holder.request != request {
            let stage = self.waiting.get(&request).map(|waiting| waiting.stage);
            if stage == Some(waiting::Stage::Committing) {
                self.lose(request, holder, now, effects);
            }
            return;
        }
        let Some(waiting) = self.stop_waiting(request) else {
            if self.answers.is_not_run(request) {
                self.committer.release(request);
                self.committer.flush(now, effects);
            }
            return;
        };
        if now.saturating_sub(waiting.since) >= constants::CLAIM_TIMEOUT {
            self.settle(request, Answer::NotRun, now, effects);
            return effects.push(Effect::Unavailable { request });
        }
        self.answers.expect(request);
        effects.push(Effect::Granted { request });
    }

    /// Keeps the answer of a request that held a claim and tells those that wait for it.
    fn settle(
        &mut self,
        request: ids::RequestId,
        answer: Answer,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        if answer == Answer::NotRun {
            self.committer.release(request);
            self.committer.flush(now, effects);
        }
        self.answers.keep(request, answer.clone(), now);
        self.resolve(request, answer, now, effects);
    }

    /// Gives up a claim that was not decided: if the log grants it later, it is released.
    fn withdraw(&mut self, request: ids::RequestId, now: ids::Timestamp, effects: &mut Effects) {
        let Some(waiting) = self.stop_waiting(request) else { return };
        let was_sent = self.committer.withdraw(request);
        if was_sent || waiting.stage != waiting::Stage::Committing {
            self.answers.keep(request, Answer::NotRun, now);
        }
        self.resolve(request, Answer::NotRun, now, effects);
    }

    fn receive(
        &mut self,
        from: ids::InstanceId,
        message: Message,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        match message {
            Message::Ask { holder } => {
                let answer = match self.waiting.contains_key(&holder) {
                    true => None,
                    false => self.answers.reply(holder, self.incarnation),
                };
                effects.push(Effect::Send { to: from, message: Message::Tell { holder, answer } });
            }
            Message::Tell { holder, answer: Some(answer) } => {
                self.resolve(holder, answer, now, effects);
            }
            Message::Tell { holder, answer: None } => self.heard(holder, now),
        }
    }

    /// The holder runs still: its askers go on waiting.
    fn heard(&mut self, holder: ids::RequestId, now: ids::Timestamp) {
        for request in self.askers.get(&holder).into_iter().flatten() {
            if let Some(waiting) = self.waiting.get_mut(request)
                && let waiting::Stage::Asking { heard_at, .. } = &mut waiting.stage
            {
                *heard_at = now;
            }
        }
    }

    fn tick(&mut self, now: ids::Timestamp, effects: &mut Effects) {
        self.committer.flush(now, effects);
        self.table.prune(now);
        self.answers.prune(now);
        let mut due: Vec<ids::RequestId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.is_due(now))
            .map(|(request, _)| *request)
            .collect();
        due.sort_unstable();
        for request in due {
            self.on_due(request, now, effects);
        }
    }

    fn on_due(&mut self, request: ids::RequestId, now: ids::Timestamp, effects: &mut Effects) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        match &mut waiting.stage {
            waiting::Stage::Committing => {
                self.withdraw(request, now, effects);
                effects.push(Effect::Unavailable { request });
            }
            waiting::Stage::Blocked { .. } => self.unblock(request, now, effects),
            waiting::Stage::Asking { holder, asked_at, heard_at } => {
                let holder = *holder;
                *asked_at = now;
                if now.saturating_sub(*heard_at) > constants::ASK_TIMEOUT {
                    self.answer(request, holder, Answer::Unknown, now, effects);
                } else {
                    self.ask(request, holder, now, effects);
                }
            }
        }
    }
}

impl reducer::Reducer for Claims {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, now: ids::Timestamp, effects: &mut Effects) {
        match event {
            Event::Tick => self.tick(now, effects),
            Event::Viewed(view) => {
                let members = view.members.iter();
                self.members =
                    members.map(|member| (member.incarnation, member.id.clone())).collect();
                self.committer.set_fleet_size(view.members.len());
            }
            Event::Read(batch) => self.read(batch, now, effects),
            Event::Appended { token, outcome } => {
                self.committer.appended(token, outcome, now, effects);
            }
            Event::Received { from, message, .. } => self.receive(from, message, now, effects),
            Event::Claim { request, key, fingerprint } => {
                self.claim(request, key, fingerprint, now, effects);
            }
            Event::Settled { request, answer } => self.settle(request, answer, now, effects),
            Event::Withdraw { request } => self.withdraw(request, now, effects),
        }
    }
}
