//! The decision logic of one instance: reducers that take events and return effects as data.
//!
//! Nothing in this module reads a clock, performs I/O or draws unseeded random numbers. Each
//! reducer has one responsibility; [`state::State`] passes the effects of one reducer to the others
//! as events.

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
