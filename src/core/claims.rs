//! Decides which request runs under an idempotency key, by the order of claims in the log.
//!
//! The first claim of a key in the log wins. Requests that lose wait for the answer of the request
//! that holds the claim, which they get from the instance that runs it.

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

/// Returns the digest of a workspace and an idempotency key.
///
/// The length of the workspace goes first, so that no key of a route without a workspace has the
/// digest of a workspace's key.
pub fn key_digest(workspace: Option<&ids::WorkspaceId>, key: &Bytes) -> ids::Digest {
    let mut hasher = sha2::Sha256::new();
    let workspace = workspace.map(|workspace| workspace.as_ref()).unwrap_or_default();
    hasher.update((workspace.len() as u64).to_le_bytes());
    hasher.update(workspace);
    hasher.update(key);
    hasher.finalize().into()
}

/// An input of the claims reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The periodic tick, which drives timeouts and retries.
    Tick,
    /// The membership view has changed.
    Viewed(membership::SharedView),
    /// The log answered a read of the claims stream.
    Read(log::Batch),
    /// The log answered an append to the claims stream, or the append failed.
    Appended {
        /// The token of the append.
        token: ids::AppendToken,
        /// The offset of the record, or that the append was refused or has an unknown outcome.
        outcome: log::AppendOutcome,
    },
    /// A message from another instance arrived.
    Received {
        /// The sender.
        from: ids::InstanceId,
        /// The incarnation of the sending process.
        incarnation: ids::Incarnation,
        /// The message.
        message: Message,
    },
    /// A request with an idempotency key wants to run under it.
    Claim {
        /// The request.
        request: ids::RequestId,
        /// The digest of workspace and idempotency key.
        key: ids::Digest,
        /// The digest of method, path and body; requests under one key must agree in it.
        fingerprint: ids::Digest,
    },
    /// The request that holds a claim has ended.
    Settled {
        /// The request.
        request: ids::RequestId,
        /// How it ended.
        answer: Answer,
    },
    /// A request that waits for its claim was cancelled.
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
    /// The backend server answered, but the answer is too large to store.
    TooLarge {
        /// The status code.
        status: u16,
    },
    /// The request certainly did not run; the key may be claimed again.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

/// An output of the claims reducer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Send a message to a member.
    Send {
        /// The receiver.
        to: ids::InstanceId,
        /// The message.
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
    /// Another request holds the claim; this request gets the same answer.
    Answered {
        /// The request.
        request: ids::RequestId,
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// The holder's answer.
        answer: Answer,
    },
    /// The key was used for a request with another method, path or body.
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

/// A message between instances about claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the answer of a request that holds a claim.
    #[serde(rename = "Ask")]
    AnswerRequest {
        /// The request that holds the claim.
        holder: ids::RequestId,
    },
    /// Returns the answer of a request that holds a claim.
    #[serde(rename = "Tell")]
    AnswerReply {
        /// The request that holds the claim.
        holder: ids::RequestId,
        /// Its answer; `None` while the request runs.
        answer: Option<Answer>,
    },
}

/// The claims that this instance has read, and its requests that wait for claims or answers.
#[derive(Debug)]
pub struct Claims {
    incarnation: ids::Incarnation,
    members: collections::Map<ids::Incarnation, ids::InstanceId>,
    table: table::Table,
    answers: answers::Answers,
    committer: committer::Committer,
    waiting: collections::Map<ids::RequestId, waiting::WaitingRequest>,
    waiters: collections::Map<ids::RequestId, Vec<ids::RequestId>>,
}

type Effects = Vec<Effect>;

impl Claims {
    /// Creates the state of an instance that has read no claims.
    pub fn new(incarnation: ids::Incarnation) -> Self {
        Self {
            committer: committer::Committer::new(incarnation),
            incarnation,
            members: collections::Map::default(),
            table: table::Table::default(),
            answers: answers::Answers::default(),
            waiting: collections::Map::default(),
            waiters: collections::Map::default(),
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
        let waiting = waiting::WaitingRequest {
            key,
            fingerprint,
            since: now,
            stage: waiting::Stage::Committing,
        };
        self.waiting.insert(request, waiting);
        match self.table.holder(&key, now) {
            Some(claim) => self.wait_for_holder(request, claim, now, effects),
            None => self.committer.add_claim(request, key, fingerprint),
        }
        self.committer.flush(now, effects);
    }

    /// Makes a request wait for the answer of the request that holds its key.
    fn wait_for_holder(
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
        waiting.stage = waiting::Stage::AwaitingAnswer { holder, asked_at: now, received_at: now };
        self.waiters.entry(holder).or_default().push(request);
        self.request_answer(request, holder, now, effects);
    }

    fn request_answer(
        &mut self,
        request: ids::RequestId,
        holder: ids::RequestId,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        let incarnation = ids::incarnation_of(holder);
        if incarnation == self.incarnation {
            if let Some(answer) = self.answers.get(holder) {
                self.deliver_answer(holder, answer, now, effects);
            }
            return;
        }
        match self.members.get(&incarnation) {
            Some(to) => {
                effects.push(Effect::Send {
                    to: to.clone(),
                    message: Message::AnswerRequest { holder },
                });
            }
            None => self.apply_answer(request, holder, Answer::Unknown, now, effects),
        }
    }

    /// Applies a holder's answer to all requests that wait for it.
    fn deliver_answer(
        &mut self,
        holder: ids::RequestId,
        answer: Answer,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        for request in self.waiters.remove(&holder).unwrap_or_default() {
            self.apply_answer(request, holder, answer.clone(), now, effects);
        }
    }

    fn apply_answer(
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
        waiting.stage = waiting::Stage::AwaitingRelease { polled_at: now };
    }

    /// Removes a request from those that wait for a claim or for a holder's answer.
    fn stop_waiting(&mut self, request: ids::RequestId) -> Option<waiting::WaitingRequest> {
        let waiting = self.waiting.remove(&request)?;
        if let waiting::Stage::AwaitingAnswer { holder, .. } = waiting.stage
            && let Some(waiters) = self.waiters.get_mut(&holder)
        {
            waiters.retain(|waiter| *waiter != request);
            if waiters.is_empty() {
                self.waiters.remove(&holder);
            }
        }
        Some(waiting)
    }

    /// Claims a key again once its holder's release was read from the log; refuses the request if
    /// that takes longer than the claim timeout.
    fn retry_claim(&mut self, request: ids::RequestId, now: ids::Timestamp, effects: &mut Effects) {
        let Some(waiting) = self.waiting.get_mut(&request) else { return };
        if now.saturating_sub(waiting.since) >= constants::CLAIM_TIMEOUT {
            self.waiting.remove(&request);
            return effects.push(Effect::Unavailable { request });
        }
        if self.table.holder(&waiting.key, now).is_some() {
            waiting.stage = waiting::Stage::AwaitingRelease { polled_at: now };
            return;
        }
        waiting.stage = waiting::Stage::Committing;
        self.committer.add_claim(request, waiting.key, waiting.fingerprint);
        self.committer.flush(now, effects);
    }

    fn read_batch(&mut self, batch: log::Batch, now: ids::Timestamp, effects: &mut Effects) {
        for entry in batch.records {
            let Some(record) = record::Record::decode(&entry.body) else { continue };
            if entry.offset <= self.table.offset() {
                continue;
            }
            self.table.advance(entry.offset, entry.time_ms, now);
            self.apply_record(record, entry.time_ms, now, effects);
        }
    }

    fn apply_record(
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
                self.committer.mark_read(request);
                self.resolve_claim(request, holder, now, effects);
            }
        }
    }

    /// Applies the log's decision on a claim of this instance.
    ///
    /// A claim that is read after the claim timeout is given up, because its window may have ended.
    fn resolve_claim(
        &mut self,
        request: ids::RequestId,
        holder: table::Claim,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        if holder.request != request {
            let stage = self.waiting.get(&request).map(|waiting| waiting.stage);
            if stage == Some(waiting::Stage::Committing) {
                self.wait_for_holder(request, holder, now, effects);
            }
            return;
        }
        let Some(waiting) = self.stop_waiting(request) else {
            if self.answers.is_not_run(request) {
                self.committer.add_release(request);
                self.committer.flush(now, effects);
            }
            return;
        };
        if now.saturating_sub(waiting.since) >= constants::CLAIM_TIMEOUT {
            self.settle(request, Answer::NotRun, now, effects);
            return effects.push(Effect::Unavailable { request });
        }
        self.answers.mark_running(request);
        effects.push(Effect::Granted { request });
    }

    /// Stores the answer of a request that held a claim and applies it to the requests that wait
    /// for it. If the request did not run, its claim is released.
    fn settle(
        &mut self,
        request: ids::RequestId,
        answer: Answer,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        if answer == Answer::NotRun {
            self.committer.add_release(request);
            self.committer.flush(now, effects);
        }
        self.answers.store(request, answer.clone(), now);
        self.deliver_answer(request, answer, now, effects);
    }

    /// Gives up a claim that is not decided yet. If the log grants it later, it is released then.
    fn withdraw(&mut self, request: ids::RequestId, now: ids::Timestamp, effects: &mut Effects) {
        let Some(waiting) = self.stop_waiting(request) else { return };
        let was_sent = self.committer.withdraw(request);
        if was_sent || waiting.stage != waiting::Stage::Committing {
            self.answers.store(request, Answer::NotRun, now);
        }
        self.deliver_answer(request, Answer::NotRun, now, effects);
    }

    fn receive(
        &mut self,
        from: ids::InstanceId,
        message: Message,
        now: ids::Timestamp,
        effects: &mut Effects,
    ) {
        match message {
            Message::AnswerRequest { holder } => {
                let answer = match self.waiting.contains_key(&holder) {
                    true => None,
                    false => self.answers.reply(holder, self.incarnation),
                };
                effects.push(Effect::Send {
                    to: from,
                    message: Message::AnswerReply { holder, answer },
                });
            }
            Message::AnswerReply { holder, answer: Some(answer) } => {
                self.deliver_answer(holder, answer, now, effects);
            }
            Message::AnswerReply { holder, answer: None } => self.holder_is_running(holder, now),
        }
    }

    /// Restarts the timeout of the requests that wait for a holder which is still running.
    fn holder_is_running(&mut self, holder: ids::RequestId, now: ids::Timestamp) {
        for request in self.waiters.get(&holder).into_iter().flatten() {
            if let Some(waiting) = self.waiting.get_mut(request)
                && let waiting::Stage::AwaitingAnswer { received_at, .. } = &mut waiting.stage
            {
                *received_at = now;
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
            waiting::Stage::AwaitingRelease { .. } => self.retry_claim(request, now, effects),
            waiting::Stage::AwaitingAnswer { holder, asked_at, received_at } => {
                let holder = *holder;
                *asked_at = now;
                if now.saturating_sub(*received_at) > constants::HOLDER_TIMEOUT {
                    self.apply_answer(request, holder, Answer::Unknown, now, effects);
                } else {
                    self.request_answer(request, holder, now, effects);
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
            Event::Read(batch) => self.read_batch(batch, now, effects),
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
