//! Adapters for the systems outside the process: callers, operators, peers, the platform, and
//! backend servers. The systems that the instance calls are traits with one adapter each.

pub mod callers;
pub mod engines;
pub mod http;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod services;
pub mod timer;
