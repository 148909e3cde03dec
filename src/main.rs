//! The `galenayard` command.

fn main() {}
