//! The rate limits that servers name in their answers.
//!
//! Load pattern: a server in need takes a few requests a second from the whole fleet, and answers of
//! several requests, received at several instances, overtake each other.

use crate::core::ids;

pub mod allowance;

pub use allowance::Allowance;
pub use allowance::Pacing;
pub use allowance::SendCounts;

/// What the head of an answer states about the rate limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Statement {
    /// The server names no limit.
    Unlimited,
    /// The server takes this many requests a second from the whole fleet.
    PerSecond(f64),
    /// The server names a limit that is not a number of requests a second, or several.
    Invalid,
}

/// The newest answer that named a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Named {
    /// The requests a second that the server takes from the whole fleet.
    pub rate_per_s: f64,
    /// When the request was sent.
    pub sent: ids::Timestamp,
    /// When the answer was received.
    pub received: ids::Timestamp,
}

/// The newest answers that show whether a server has a limit.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Evidence {
    named: Option<Named>,
    /// When the newest request was sent whose answer names no limit.
    unlimited_sent: Option<ids::Timestamp>,
}

impl Evidence {
    /// Creates the evidence that an instance has.
    pub fn new(named: Option<Named>, unlimited_sent: Option<ids::Timestamp>) -> Self {
        Self { named, unlimited_sent }
    }

    /// Returns the newest answer that named a limit, whether that is in force or not.
    pub fn named(&self) -> Option<Named> {
        self.named
    }

    /// Returns when the newest request was sent whose answer names no limit.
    pub fn unlimited_sent(&self) -> Option<ids::Timestamp> {
        self.unlimited_sent
    }

    /// Returns the limit in force, in requests a second. Only a request that was sent after the
    /// newest answer that named a limit shows that it is withdrawn.
    pub fn rate_per_s(&self) -> Option<f64> {
        let named = self.named?;
        let is_withdrawn = self.unlimited_sent.is_some_and(|sent| sent > named.received);
        (!is_withdrawn).then_some(named.rate_per_s)
    }

    /// Adds what one instance has seen. Of limits named by answers whose order is unknown, the lower
    /// one holds.
    pub fn merge(&mut self, other: Self) {
        self.unlimited_sent = self.unlimited_sent.max(other.unlimited_sent);
        let Some(newer) = other.named else { return };
        let merged = match self.named {
            None => newer,
            Some(known) if newer.sent > known.received => newer,
            Some(known) if known.sent > newer.received => known,
            Some(known) => Named {
                rate_per_s: known.rate_per_s.min(newer.rate_per_s),
                sent: known.sent.max(newer.sent),
                received: known.received.max(newer.received),
            },
        };
        self.named = Some(merged);
    }
}

#[cfg(test)]
mod tests;
