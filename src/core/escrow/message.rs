//! What instances tell each other about rights.
//!
//! Variants have short names on the wire, since the name is a part of the encoding.

use serde::{Deserialize, Serialize};

use crate::core::escrow;
use crate::core::ids;

/// Names a claim, a request for tokens or a report; unique for its sender.
pub type Number = u64;

/// A message about rights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for permission to hold shares.
    #[serde(rename = "c")]
    Claim {
        /// The number that the answer repeats.
        number: Number,
        /// The offset of the claimant's join record.
        joined: ids::Offset,
        /// The version of the claimant's view.
        version: ids::Offset,
        /// The shares.
        claims: Vec<Claimed>,
    },
    /// Permits the asker to hold shares; the sender holds them no longer.
    #[serde(rename = "p")]
    Permit {
        /// The number of the claim.
        number: Number,
        /// The shares that the sender did not hold.
        free: Vec<Permitted>,
        /// The shares that the sender held until now.
        handed: Vec<Handed>,
    },
    /// Tells that the sender is leaving and that others are to claim its shares.
    #[serde(rename = "l")]
    Depart,
    /// Asks a broker for tokens.
    #[serde(rename = "a")]
    Ask {
        /// The number that the answer repeats.
        number: Number,
        /// The workspace that pays.
        workspace: ids::WorkspaceId,
        /// Tokens, all or none.
        tokens: u64,
        /// How long the answer may take, in milliseconds.
        wait_ms: u64,
    },
    /// Tells that an asker's request waits in the broker's queue.
    #[serde(rename = "q")]
    Queued {
        /// The number of the request.
        number: Number,
    },
    /// Grants the tokens that were asked for.
    #[serde(rename = "g")]
    Grant {
        /// The number of the request.
        number: Number,
        /// The time within which they may be spent, from the sending of the request.
        ttl_ms: u64,
    },
    /// Denies the tokens that were asked for.
    #[serde(rename = "d")]
    Deny {
        /// The number of the request.
        number: Number,
        /// Milliseconds until the tokens would be there.
        retry_after_ms: u64,
        /// Why.
        reason: escrow::Refusal,
    },
    /// Asks a quota holder for as many tokens as it has, up to an amount.
    #[serde(rename = "u")]
    Pull {
        /// The number that the answer repeats.
        number: Number,
        /// The workspace that pays.
        workspace: ids::WorkspaceId,
        /// The most tokens that are wanted.
        tokens: u64,
    },
    /// Gives tokens of the sender's shares.
    #[serde(rename = "v")]
    Pulled {
        /// The number of the request.
        number: Number,
        /// Tokens that the receiver may spend.
        tokens: u64,
        /// Tokens that the sender has left.
        left_tokens: u64,
    },
    /// Reports the outcome of grants and gives unused reservations back.
    #[serde(rename = "r")]
    Report {
        /// The number of the report.
        number: Number,
        /// The outcomes.
        settled: Vec<Settled>,
        /// Tokens that were reserved and not used.
        refunds: Vec<Refund>,
    },
}

/// Shares of a workspace that are claimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// One bit for each share.
    pub shares: u8,
    /// The shares for which only the receiver's permission is missing.
    pub last: u8,
}

/// Shares of a workspace that the sender of a permission did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permitted {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// One bit for each share.
    pub shares: u8,
}

/// A share that passes to another holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handed {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The number of the share.
    pub share: u8,
    /// The level that comes with it, in millionths of a token.
    pub level_microtokens: u64,
    /// What may still be spent of its former grants, in millionths of a token.
    pub outstanding_microtokens: u64,
}

/// The outcome of a grant so far; a repeated or late report changes nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The number of the request that was granted.
    pub number: Number,
    /// All tokens of the grant that have been spent.
    pub spent_tokens: u64,
    /// All tokens of the grant that have been given back.
    pub returned_tokens: u64,
}

/// Tokens of a workspace that were reserved and not used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refund {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The tokens.
    pub tokens: u64,
    /// Quota holders that had no room for them.
    pub hops: u8,
}
