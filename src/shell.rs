//! The I/O around the core: turns network input, timers and signals into events for the reducer
//! and executes the effects that it returns.

pub mod driver;
pub mod explain;
pub mod handle;
pub mod journal;
pub mod log_reader;
pub mod logging;
pub mod operations;
pub mod runtime;
pub mod watchers;
