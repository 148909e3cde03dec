//! The outside parties, each behind a trait object with one adapter.

pub mod callers;
pub mod engines;
pub mod http;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod services;
pub mod timer;
