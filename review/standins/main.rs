//! The cases of the review: each starts instances as the deploy file does, with stand-ins of the
//! store, the servers and the clients on loopback addresses, and checks one rule.
//!
//! Usage: cases NAME FOLDER; the variable TROUBLE is 0 to leave the disruption out.

mod client;
mod engine;
mod http;
mod node;
mod plain;
mod record;
mod store;
mod world;

mod carriage_returns;
mod leaving_queue;
mod lost_capacity;
mod uploads;

use std::env;
use std::path::Path;
use std::process;

/// What a case has found.
pub enum Verdict {
    /// The rule was broken.
    Broken(String),
    /// The rule held.
    Held(String),
}

/// A case that could not run.
pub type Failure = Box<dyn std::error::Error>;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(folder);
    let result = match name.as_str() {
        "leaving-queue" => leaving_queue::run(folder, has_trouble),
        "lost-capacity" => lost_capacity::run(folder, has_trouble),
        "uploads" => uploads::run(folder, has_trouble),
        "carriage-returns" => carriage_returns::run(folder, has_trouble),
        _ => Err(format!("no case {name}").into()),
    };
    match result {
        Ok(Verdict::Broken(what)) => {
            println!("broken: {what}");
            process::exit(1);
        }
        Ok(Verdict::Held(what)) => println!("held: {what}"),
        Err(failure) => {
            eprintln!("cannot run: {failure}");
            process::exit(2);
        }
    }
}
