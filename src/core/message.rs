//! What instances tell each other, in one type for the transport.

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
    /// About membership.
    #[serde(rename = "m")]
    Membership(membership::Message),
    /// About rights to tokens.
    #[serde(rename = "e")]
    Escrow(escrow::Message),
    /// About the document in force.
    #[serde(rename = "c")]
    Configuration(configuration::Message),
    /// About places on backend servers.
    #[serde(rename = "s")]
    Scheduler(scheduler::Message),
    /// About claims on idempotency keys.
    #[serde(rename = "k")]
    Claims(claims::Message),
}
