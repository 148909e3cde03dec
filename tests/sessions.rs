//! Golden files of whole sessions: a script of events in, the trace of effects out.

#[path = "sessions/bench.rs"]
mod bench;
#[path = "sessions/language.rs"]
mod language;
#[path = "sessions/plain.rs"]
mod plain;
