//! The part of an instance's status that shows its shares of the limits.

use serde::{Deserialize, Serialize};

use crate::core::escrow::Escrow;
use crate::core::escrow::account;
use crate::core::ids;

/// What an instance holds of the limit of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The indices of the shares that this instance holds.
    pub held_shares: Vec<u8>,
    /// The indices of the shares that it claims and does not hold yet.
    pub claimed_shares: Vec<u8>,
    /// The level of its bucket.
    pub level_tokens: u64,
    /// Tokens that it granted to other instances and that may still be spent.
    pub outstanding_tokens: u64,
    /// Tokens that were pulled from other quota holders and are not granted yet.
    pub pooled_tokens: u64,
    /// Requests of this instance that wait for tokens.
    pub waiting: usize,
    /// Requests in the queue of this instance as their broker.
    pub queued: usize,
    /// Tokens that requests used beyond their reservations and that are not charged yet.
    pub debt_tokens: u64,
    /// Reserved and unused tokens that were put back into this bucket since the process started.
    pub refunded_tokens: u64,
}

impl Escrow {
    /// Returns the state of each workspace as of the last event, ordered by workspace.
    pub fn status(&self) -> Vec<Status> {
        let mut status: Vec<_> = self.accounts.values().map(|account| of(account)).collect();
        status.sort_by(|left, right| left.workspace.cmp(&right.workspace));
        status
    }
}

fn of(account: &account::Account) -> Status {
    Status {
        workspace: account.limit.workspace.clone(),
        held_shares: numbers(account, |share| matches!(share, account::Share::Held)),
        claimed_shares: numbers(account, |share| matches!(share, account::Share::Claiming(_))),
        level_tokens: account.bucket.level_tokens(),
        outstanding_tokens: account.bucket.outstanding_tokens(),
        pooled_tokens: account.pulled.iter().map(|grant| grant.available_tokens).sum(),
        waiting: account.waiting.len(),
        queued: account.queue.len(),
        debt_tokens: account.debt_tokens,
        refunded_tokens: account.refunded_tokens,
    }
}

fn numbers(account: &account::Account, is: impl Fn(&account::Share) -> bool) -> Vec<u8> {
    let shares = account.shares.iter().zip(0..);
    shares.filter(|(share, _)| is(share)).map(|(_, number)| number).collect()
}
