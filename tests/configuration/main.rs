//! Tests of the configuration reducer by sessions and by random schedules of faults.

mod fleet;
mod properties;
mod sessions;
mod wiring;
