//! The command line: arguments, help, exit codes, and commands against a side for operators.

mod arguments;
mod commands;
mod http;
mod pages;
mod site;
