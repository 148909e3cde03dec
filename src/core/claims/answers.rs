//! Answers of requests that held claims, kept for callers that resend.

use std::collections as std_collections;

use crate::core::claims;
use crate::core::claims::constants;
use crate::core::collections;
use crate::core::ids;

/// A bounded store of answers.
#[derive(Debug, Default)]
pub struct Answers {
    kept: collections::Map<ids::RequestId, claims::Answer>,
    expected: collections::Set<ids::RequestId>,
    order: std_collections::VecDeque<(ids::Timestamp, ids::RequestId)>,
    size_bytes: usize,
}

impl Answers {
    /// Notes that a request holds its claim and will have an answer.
    pub fn expect(&mut self, request: ids::RequestId) {
        self.expected.insert(request);
    }

    /// Returns whether a request is known not to have run.
    pub fn is_not_run(&self, request: ids::RequestId) -> bool {
        self.kept.get(&request) == Some(&claims::Answer::NotRun)
    }

    /// Returns the answer of a request of this process.
    pub fn of(&self, request: ids::RequestId) -> Option<claims::Answer> {
        match self.kept.get(&request) {
            Some(answer) => Some(answer.clone()),
            None if self.expected.contains(&request) => None,
            None => Some(claims::Answer::Unknown),
        }
    }

    /// Returns what to tell a peer about a request; another process's requests are unknown.
    pub fn reply(
        &self,
        request: ids::RequestId,
        incarnation: ids::Incarnation,
    ) -> Option<claims::Answer> {
        if ids::incarnation_of(request) != incarnation {
            return Some(claims::Answer::Unknown);
        }
        self.of(request)
    }

    /// Keeps an answer; the oldest ones make room.
    pub fn keep(&mut self, request: ids::RequestId, answer: claims::Answer, now: ids::Timestamp) {
        self.expected.remove(&request);
        self.size_bytes += size(&answer);
        match self.kept.insert(request, answer) {
            Some(replaced) => self.size_bytes -= size(&replaced),
            None => self.order.push_back((now, request)),
        }
        while self.size_bytes > constants::MAX_ANSWER_BYTES {
            self.drop_oldest();
        }
    }

    /// Forgets answers whose claim's window has passed.
    pub fn prune(&mut self, now: ids::Timestamp) {
        while let Some(&(kept_at, _)) = self.order.front() {
            if now.saturating_sub(kept_at) < 2 * constants::CLAIM_WINDOW {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, request)) = self.order.pop_front() else { return };
        if let Some(answer) = self.kept.remove(&request) {
            self.size_bytes = self.size_bytes.saturating_sub(size(&answer));
        }
    }
}

fn size(answer: &claims::Answer) -> usize {
    let body_bytes = match answer {
        claims::Answer::Complete { body, content_type, .. } => body.len() + content_type.len(),
        claims::Answer::TooLarge { .. } | claims::Answer::NotRun | claims::Answer::Unknown => 0,
    };
    body_bytes + constants::ANSWER_OVERHEAD_BYTES
}
