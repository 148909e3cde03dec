//! The entry point of the `galenayard` command; see [`galenayard::cli`] for its subcommands.

use std::io;
use std::process;

use galenayard::cli;

fn main() -> process::ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    cli::run(arguments, &mut io::stdout(), &mut io::stderr()).into()
}
