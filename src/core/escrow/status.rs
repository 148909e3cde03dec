//! What an operator sees of an instance's rights.

use serde::{Deserialize, Serialize};

use crate::core::escrow::Escrow;
use crate::core::escrow::account;
use crate::core::ids;

/// The rights of an instance to the tokens of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The numbers of the shares that are held.
    pub held_shares: Vec<u8>,
    /// The numbers of the shares that are claimed and not held yet.
    pub claimed_shares: Vec<u8>,
    /// The level of the bucket.
    pub level_tokens: u64,
    /// Tokens that others may spend.
    pub outstanding_tokens: u64,
    /// Tokens that were pulled from other quota holders and are free.
    pub pooled_tokens: u64,
    /// Requests of this instance that wait.
    pub waiting: usize,
    /// Requests that wait at this instance as their broker.
    pub queued: usize,
    /// Tokens that were used beyond what was reserved.
    pub debt_tokens: u64,
    /// Tokens that were reserved, not used, and put back here, since the process started.
    pub refunded_tokens: u64,
}

impl Escrow {
    /// Returns the rights of this instance in the order of the workspaces, as they were at the
    /// last event.
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
        pooled_tokens: account.lots.iter().map(|lot| lot.free_tokens).sum(),
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
