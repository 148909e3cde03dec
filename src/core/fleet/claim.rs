//! What placement has to know of a request, wherever it arrived.

use crate::core::fleet::call;
use crate::core::fleet::catalog;
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
    /// first, by rank and objective; late ones follow by the end of their callers' patience.
    pub fn order(&self, now: ids::Timestamp) -> (bool, u8, ids::Timestamp) {
        let is_late = self.is_late(now);
        (is_late, self.priority, if is_late { self.begin_by } else { self.objective_at })
    }

    /// Returns whether its objective is missed.
    pub fn is_late(&self, now: ids::Timestamp) -> bool {
        now >= self.objective_at
    }
}
