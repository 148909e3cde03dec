//! Turns sockets, timers and signals into events and carries effects out.

pub mod driver;
pub mod explain;
pub mod handle;
pub mod journal;
pub mod log_reader;
pub mod logging;
pub mod operations;
pub mod runtime;
pub mod watchers;
