//! What instances say of their spending, and what is counted for them.

/// What an instance has spent of a limit since it started. Both counts only grow, so that a late
/// report of them does no harm.
#[derive(Debug, Default, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// What was taken.
    pub taken: f64,
    /// What requests gave back that did not run.
    pub given_back: f64,
}

impl Tally {
    /// Returns what is left taken.
    pub(super) fn spent(self) -> f64 {
        self.taken - self.given_back
    }
}

/// What an instance tells of a workspace that spent lately.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The workspace.
    pub workspace: String,
    /// What it had spent before.
    pub before: Tally,
    /// What it has spent.
    pub tally: Tally,
}

/// What is counted for a peer.
#[derive(Debug, Default, Clone)]
pub(super) struct PeerSpending {
    /// What it took by itself or by leave of others.
    elsewhere: f64,
    /// What this instance let it take.
    pub(super) granted: f64,
    /// What it gave back.
    given_back: f64,
    /// What it is assumed to have spent while it was silent.
    pub(super) assumed: f64,
}

impl PeerSpending {
    /// Counts all that a peer has told as known before.
    pub(super) fn known(tally: Tally) -> Self {
        Self { elsewhere: tally.taken, given_back: tally.given_back, ..Self::default() }
    }

    /// Takes a newer tally; returns what to add to the window. A tally that was told before its
    /// teller heard of a grant lacks that; it lowers nothing.
    pub(super) fn take(&mut self, tally: Tally) -> f64 {
        let elsewhere = self.elsewhere.max(tally.taken - self.granted);
        let given_back = self.given_back.max(tally.given_back);
        let change = (elsewhere - self.elsewhere) - (given_back - self.given_back) - self.assumed;
        *self = Self { elsewhere, given_back, granted: self.granted, assumed: 0.0 };
        change
    }
}
