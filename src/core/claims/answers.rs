//! Answers of requests that held claims, stored for callers that resend a request.

use std::collections as std_collections;

use crate::core::claims;
use crate::core::claims::constants;
use crate::core::collections;
use crate::core::ids;

/// A store of answers, bounded in bytes.
#[derive(Debug, Default)]
pub struct Answers {
    stored: collections::Map<ids::RequestId, claims::Answer>,
    running: collections::Set<ids::RequestId>,
    order: std_collections::VecDeque<(ids::Timestamp, ids::RequestId)>,
    size_bytes: usize,
}

impl Answers {
    /// Records that a request holds its claim and is running.
    pub fn mark_running(&mut self, request: ids::RequestId) {
        self.running.insert(request);
    }

    /// Returns whether the stored answer of a request says that it did not run.
    pub fn is_not_run(&self, request: ids::RequestId) -> bool {
        self.stored.get(&request) == Some(&claims::Answer::NotRun)
    }

    /// Returns the answer of a request of this process; `None` while it runs, and unknown if the
    /// answer is no longer stored.
    pub fn get(&self, request: ids::RequestId) -> Option<claims::Answer> {
        match self.stored.get(&request) {
            Some(answer) => Some(answer.clone()),
            None if self.running.contains(&request) => None,
            None => Some(claims::Answer::Unknown),
        }
    }

    /// Returns the answer to report to another instance. Requests of another process, such as one
    /// before a restart, have an unknown outcome.
    pub fn reply(
        &self,
        request: ids::RequestId,
        incarnation: ids::Incarnation,
    ) -> Option<claims::Answer> {
        if ids::incarnation_of(request) != incarnation {
            return Some(claims::Answer::Unknown);
        }
        self.get(request)
    }

    /// Stores an answer, and drops the oldest ones if the size limit is exceeded.
    pub fn store(&mut self, request: ids::RequestId, answer: claims::Answer, now: ids::Timestamp) {
        self.running.remove(&request);
        self.size_bytes += size(&answer);
        match self.stored.insert(request, answer) {
            Some(replaced) => self.size_bytes -= size(&replaced),
            None => self.order.push_back((now, request)),
        }
        while self.size_bytes > constants::MAX_ANSWER_BYTES {
            self.drop_oldest();
        }
    }

    /// Drops answers that are older than twice the claim window.
    pub fn prune(&mut self, now: ids::Timestamp) {
        while let Some(&(stored_at, _)) = self.order.front() {
            if now.saturating_sub(stored_at) < 2 * constants::CLAIM_WINDOW {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, request)) = self.order.pop_front() else { return };
        if let Some(answer) = self.stored.remove(&request) {
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
