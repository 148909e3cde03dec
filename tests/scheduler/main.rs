//! Sessions and properties of the scheduler reducer, with several instances joined by a queue.

mod fleet;
mod golden;
mod properties;
