//! The event queue of the simulated fleet, in the order of time.

use std::cmp;

use galenayard::core::{escrow, ids};

use super::Action;

#[derive(Debug)]
pub enum Step {
    Act(Action),
    Tick(usize, u64),
    Deliver { to: usize, from: usize, incarnation: ids::Incarnation, message: escrow::Message },
    Settle(Settlement),
    Limit { at: usize },
}

#[derive(Debug)]
pub struct Settlement {
    pub at: usize,
    pub incarnation: ids::Incarnation,
    pub request: ids::RequestId,
    pub used: u64,
}

pub struct Entry {
    pub at_us: u64,
    pub sequence: u64,
    pub step: Step,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_us, other.sequence).cmp(&(self.at_us, self.sequence))
    }
}
