//! Servers that are ejected although they answer a part of their requests.
//!
//! Load pattern: two of three plain servers lose two of five answers in a burst. Ejected, they leave
//! all requests to the third one, and far more are refused than the two would lose.

use std::time;

use crate::core::fleet::servers;
use crate::core::ids;

/// The share of lost answers above which a server stays ejected in any case: more requests fail there
/// than are answered.
const MAX_LOSS_SHARE: f64 = 0.5;

/// The time since the last answer after which nothing shows that the server still answers: longer than
/// the first ejection, in which it gets no requests.
const ANSWER_VALIDITY: time::Duration = time::Duration::from_millis(1_500);

impl servers::Server {
    /// Returns whether the server may get a request. With `accepts_partial_failures`, one that the usable
    /// servers cannot answer in time: the server may be ejected then, if it is reachable, has answered
    /// recently, and answers more requests than it loses.
    pub fn may_take(&self, accepts_partial_failures: bool, now: ids::Timestamp) -> bool {
        if !accepts_partial_failures {
            return self.is_usable(now);
        }
        let has_answered_recently =
            self.last_answer.is_some_and(|at| now.saturating_sub(at) <= ANSWER_VALIDITY);
        let fails_partially = self.ejection == Some(servers::Evidence::Failed)
            && has_answered_recently
            && self.failure_share(now) <= MAX_LOSS_SHARE;
        self.is_available(now) && (now >= self.ejected_until || fails_partially)
    }
}
