//! The messages between instances, as one type for the transport.

use serde::{Deserialize, Serialize};

use crate::core::claims;
use crate::core::configuration;
use crate::core::escrow;
use crate::core::membership;
use crate::core::scheduler;

/// A message between two instances.
///
/// The variants' names on the wire are single letters, since most messages are short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Membership: heartbeats, promises and announcements.
    #[serde(rename = "m")]
    Membership(membership::Message),
    /// Rights to tokens within the workspaces' limits.
    #[serde(rename = "e")]
    Escrow(escrow::Message),
    /// The document in force.
    #[serde(rename = "c")]
    Configuration(configuration::Message),
    /// Reservations on backend servers.
    #[serde(rename = "s")]
    Scheduler(scheduler::Message),
    /// Claims on idempotency keys.
    #[serde(rename = "k")]
    Claims(claims::Message),
}
