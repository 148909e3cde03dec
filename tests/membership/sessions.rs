//! sessions
