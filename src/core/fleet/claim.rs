//! What placement has to know of a request, wherever it arrived.

use std::time;

use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::ids;

/// A request for a place at a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// The service.
    pub service: catalog::ServiceId,
    /// The engine's shape if engines serve it.
    pub engine: Option<catalog::EngineShape>,
    /// Its tokens; a small prompt if it names none.
    pub tokens: call::Tokens,
    /// The rank, 0 first.
    pub priority: u8,
    /// When its objective is missed.
    pub objective_at: ids::Timestamp,
    /// When its answer must have begun, or its caller leaves.
    pub begin_by: ids::Timestamp,
    /// Servers that it has tried.
    pub tried: Vec<ids::ServerId>,
    /// The failure domain of the instance that serves it.
    pub domain: String,
}

impl Claim {
    /// Returns its place in the order of waiting: requests that can still meet their objective go
    /// first, by rank and objective; late ones follow by the time at which their callers leave.
    pub fn order(&self, now: ids::Timestamp) -> (bool, u8, ids::Timestamp) {
        let is_late = self.is_late(now);
        (is_late, self.priority, if is_late { self.begin_by } else { self.objective_at })
    }

    /// Returns whether its objective will be missed even if it is placed now.
    ///
    /// Without the time that its own prompt takes, places would go to requests at the brink, which
    /// then are late, and all that follow wait until they are at the brink too.
    pub fn is_late(&self, now: ids::Timestamp) -> bool {
        now + self.least_time() >= self.objective_at
    }

    fn least_time(&self) -> time::Duration {
        let least_ms = match self.engine {
            Some(_) => {
                let reading_ms =
                    f64::from(self.tokens.prompt_tokens) / constants::INITIAL_PREFILL_TOKENS_PER_MS;
                reading_ms + constants::HANDOVER_MS + constants::OBJECTIVE_MARGIN_MS
            }
            None => constants::INITIAL_PLAIN_WORK_MS,
        };
        time::Duration::from_secs_f64(least_ms / 1_000.0)
    }
}
