//! Tests of the claims reducer.
