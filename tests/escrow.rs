//! Tests of the escrow reducers of a small fleet, connected by a simulated network.

#[path = "escrow/fleet.rs"]
mod fleet;
#[path = "escrow/golden.rs"]
mod golden;
#[path = "escrow/properties.rs"]
mod properties;
