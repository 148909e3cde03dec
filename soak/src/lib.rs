//! Runs real instances as processes under faults and checks the promises from outside.

pub mod backend;
pub mod callers;
pub mod fleet;
pub mod http;
pub mod judge;
pub mod proxy;
pub mod run;
pub mod servers;
pub mod store;
pub mod streams;
