//! Messages between instances about shares and tokens.
//!
//! Variants have short names on the wire, since the encoding includes the name.

use serde::{Deserialize, Serialize};

use crate::core::escrow;
use crate::core::ids;

/// Identifies a claim, token request, pull or report; unique for its sender.
pub type Number = u64;

/// A message about shares and tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver for permission to hold shares.
    #[serde(rename = "c")]
    Claim {
        /// The number that the permit repeats.
        number: Number,
        /// The offset of the claimant's join record.
        joined: ids::Offset,
        /// The version of the claimant's view.
        version: ids::Offset,
        /// The claimed shares, by workspace.
        claims: Vec<ClaimedShares>,
    },
    /// Permits the claimant to hold shares; the sender no longer holds them.
    #[serde(rename = "p")]
    Permit {
        /// The number of the claim.
        number: Number,
        /// The shares that the sender did not hold.
        free: Vec<PermittedShares>,
        /// The shares that the sender held until now.
        handed: Vec<HandedShare>,
    },
    /// Announces that the sender is leaving and that others are to claim its shares.
    #[serde(rename = "l")]
    Leaving,
    /// Asks a broker for tokens.
    #[serde(rename = "a")]
    TokenRequest {
        /// The number that the answer repeats.
        number: Number,
        /// The workspace whose limit is charged.
        workspace: ids::WorkspaceId,
        /// The tokens that are needed, all or none.
        tokens: u64,
        /// How long the request may wait in the broker's queue, in milliseconds.
        wait_ms: u64,
    },
    /// Confirms that a token request waits in the broker's queue.
    #[serde(rename = "q")]
    Queued {
        /// The number of the token request.
        number: Number,
    },
    /// Grants the requested tokens.
    #[serde(rename = "g")]
    Grant {
        /// The number of the token request.
        number: Number,
        /// The time within which they may be spent, counted from the sending of the request.
        ttl_ms: u64,
    },
    /// Denies the requested tokens.
    #[serde(rename = "d")]
    Deny {
        /// The number of the token request.
        number: Number,
        /// Milliseconds after which the tokens are expected to be available.
        retry_after_ms: u64,
        /// Why they are denied.
        reason: escrow::Refusal,
    },
    /// Asks a quota holder for as many tokens as it has, up to an amount.
    #[serde(rename = "u")]
    Pull {
        /// The number that the answer repeats.
        number: Number,
        /// The workspace whose limit is charged.
        workspace: ids::WorkspaceId,
        /// The largest amount that the broker wants.
        tokens: u64,
    },
    /// Answers a pull with tokens of the sender's shares.
    #[serde(rename = "v")]
    PullReply {
        /// The number of the pull.
        number: Number,
        /// Tokens that the receiver may grant or spend.
        tokens: u64,
        /// Tokens that remain in the sender's bucket.
        #[serde(rename = "left_tokens")]
        remaining_tokens: u64,
    },
    /// Reports the outcomes of grants and returns unused tokens of reservations.
    #[serde(rename = "r")]
    Report {
        /// The number of the report.
        number: Number,
        /// The outcomes of grants that the receiver issued.
        settled: Vec<GrantOutcome>,
        /// Tokens that were reserved and not used.
        refunds: Vec<Refund>,
    },
}

/// The claimed shares of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedShares {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The claimed shares, one bit for each.
    pub shares: u8,
    /// Those of them for which only the receiver's permit is missing, one bit for each.
    #[serde(rename = "last")]
    pub last_missing: u8,
}

/// Shares of one workspace that the sender of a permit did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermittedShares {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The permitted shares, one bit for each.
    pub shares: u8,
}

/// A share that the sender of a permit held and hands over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedShare {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The index of the share within the workspace.
    pub share: u8,
    /// The bucket level that comes with it, in millionths of a token.
    pub level_microtokens: u64,
    /// Granted tokens of the share that may still be spent, in millionths of a token.
    pub outstanding_microtokens: u64,
}

/// The outcome of a grant so far. The counts are totals, so a repeated or reordered report changes
/// nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantOutcome {
    /// The number of the token request or pull that was granted.
    pub number: Number,
    /// Tokens of the grant that have been spent so far.
    pub spent_tokens: u64,
    /// Tokens of the grant that have been returned so far.
    pub returned_tokens: u64,
}

/// Tokens of a workspace that were reserved and not used.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refund {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The unused tokens.
    pub tokens: u64,
    /// The number of quota holders that had no free capacity for them.
    pub hops: u8,
}
