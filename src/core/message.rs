//! What instances tell each other, in one type for the transport.

use serde::{Deserialize, Serialize};

use crate::core::claims;
use crate::core::configuration;
use crate::core::escrow;
use crate::core::membership;
use crate::core::scheduler;

/// A message between two instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// About membership.
    Membership(membership::Message),
    /// About rights to tokens.
    Escrow(escrow::Message),
    /// About the document in force.
    Configuration(configuration::Message),
    /// About places on backend servers.
    Scheduler(scheduler::Message),
    /// About claims on idempotency keys.
    Claims(claims::Message),
}
