//! The spending that instances report, and how it is counted.

/// The spending of a workspace at one instance since the start of that instance. Both amounts only
/// grow, so that a report that arrives late or twice has no effect.
#[derive(Debug, Default, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// The amount taken from the limit.
    pub taken: f64,
    /// The amount returned by requests that did not run.
    pub given_back: f64,
}

impl Tally {
    /// Returns the amount taken and not returned.
    pub(super) fn net_spent(self) -> f64 {
        self.taken - self.given_back
    }
}

/// An instance's report of a workspace whose spending has changed recently.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The name of the workspace.
    pub workspace: String,
    /// The spending before the recent changes.
    #[serde(rename = "before")]
    pub baseline: Tally,
    /// The spending with the recent changes.
    pub tally: Tally,
}

/// The spending of a peer as counted here.
#[derive(Debug, Default, Clone)]
pub(super) struct PeerSpending {
    /// The amount that it took itself or by the grant of other instances.
    elsewhere: f64,
    /// The amount that this instance granted to it.
    pub(super) granted: f64,
    /// The amount that it returned.
    given_back: f64,
    /// The amount that it is assumed to have spent while it was unresponsive.
    pub(super) assumed: f64,
}

impl PeerSpending {
    /// Counts a tally as known, so that only later spending is added to the window.
    pub(super) fn from_baseline(tally: Tally) -> Self {
        Self { elsewhere: tally.taken, given_back: tally.given_back, ..Self::default() }
    }

    /// Applies a newer tally; returns the amount to add to the window. A tally that was sent before
    /// the peer received a grant lacks that grant and does not lower the count.
    pub(super) fn update(&mut self, tally: Tally) -> f64 {
        let elsewhere = self.elsewhere.max(tally.taken - self.granted);
        let given_back = self.given_back.max(tally.given_back);
        let change = (elsewhere - self.elsewhere) - (given_back - self.given_back) - self.assumed;
        *self = Self { elsewhere, given_back, granted: self.granted, assumed: 0.0 };
        change
    }
}
