//! Tests of the claims reducer.

mod fleet;
mod properties;
mod scenarios;
