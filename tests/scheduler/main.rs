//! Golden files and properties of the scheduler reducer, with several instances connected by a
//! queue.

mod fleet;
mod golden;
mod properties;
