//! Sessions and properties of the configuration reducer.

mod fleet;
mod properties;
mod sessions;
mod wiring;
