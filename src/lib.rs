//! A router for language engines with separate prefill and decode pools, and for plain services.

pub mod borders;
pub mod cli;
pub mod core;
pub mod document;
pub mod lists;
pub mod platform;
pub mod router;
pub mod schema;
pub mod settings;
pub mod shell;
