//! Tests of the membership reducer by sessions and by random schedules of faults.

mod network;
mod safety;
mod sessions;
