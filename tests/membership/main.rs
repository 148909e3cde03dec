//! Proves membership by sessions and by random schedules of failures.

mod network;
mod safety;
mod sessions;
