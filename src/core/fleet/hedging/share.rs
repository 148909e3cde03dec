//! The part of the operators' share of hedged requests that this instance may spend.

/// The most hedges that an instance saves up for one service. Without a bound, the hedges saved in
/// hours of normal work could all be sent within the first moments of a fault.
const MAX_SAVED_HEDGES: f64 = 10.0;

/// The hedges that an instance may still send for one service. It starts with none, so that the sum
/// over all instances stays within the share, however few requests each of them has.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Bucket {
    hedges: f64,
}

impl Bucket {
    /// Adds the share of one request.
    pub fn earn(&mut self, share: f64) {
        self.hedges = (self.hedges + share).min(MAX_SAVED_HEDGES);
    }

    /// Returns whether a hedge may be sent.
    pub fn has_hedge(&self) -> bool {
        self.hedges >= 1.0
    }

    /// Takes one hedge.
    pub fn spend(&mut self) {
        self.hedges = (self.hedges - 1.0).max(0.0);
    }

    /// Gives back a hedge that was not sent.
    pub fn refund(&mut self) {
        self.earn(1.0);
    }

    /// Returns the hedges left.
    pub fn hedges(&self) -> f64 {
        self.hedges
    }
}
