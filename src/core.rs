//! The decisions of one instance: reducers over events that return effects as data.
//!
//! Nothing in this module reads a clock, performs I/O or draws unseeded random numbers. Each
//! reducer owns one concern; [`state::State`] passes what one reducer emits to the others.

pub mod claims;
pub mod collections;
pub mod configuration;
pub mod effect;
pub mod escrow;
pub mod event;
pub mod fleet;
pub mod ids;
pub mod log;
pub mod membership;
pub mod message;
pub mod placement;
pub mod reducer;
pub mod request;
pub mod scheduler;
pub mod state;
