//! Small fakes of the systems that galenayard meets: engines, plain services, the platform's log
//! and its instance list.

pub mod answers;
pub mod engine;
pub mod http;
pub mod instances;
pub mod load;
pub mod log;
pub mod network;
pub mod plain;
pub mod settings;
