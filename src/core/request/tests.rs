//! Tests of the request reducer.
