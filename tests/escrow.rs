//! The escrow reducers of a small fleet, joined by an in-test queue.

#[path = "escrow/fleet.rs"]
mod fleet;
#[path = "escrow/golden.rs"]
mod golden;
#[path = "escrow/properties.rs"]
mod properties;
