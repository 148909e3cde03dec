//! Arguments that are refused, help texts, and the exit code of the process.

use std::process::Command;

use galenayard::cli::{self, help};

use crate::site::run;

#[test]
fn wrong_arguments_are_refused() {
    let lines = [
        "",
        "frob",
        "node --hedge-percent 11",
        "node --hedge-percent -1",
        "node --hedge-percent NaN",
        "config",
        "config frob",
        "key frob",
        "serve",
        "serve --settings",
        "serve --settings a b",
        "serve --settings a --settings b",
        "serve a",
        "--verbose serve",
        "config check",
        "config check a b",
        "config check a --environment staging",
        "config check a --environment trial --environment trial",
        "config check --nope",
        "config check a --nope",
        "config apply a",
        "config apply a --to localhost:1 --key-file k",
        "config apply a --to 127.0.0.1:1",
        "config apply a --to 127.0.0.1:1 --key-file k --base -1",
        "config apply a --to 127.0.0.1:1 --key-file k --proposal 12 --base 1",
        "config apply a --to 127.0.0.1:1 --key-file k --proposal 000000000000000a000000000000000b",
        "config promote --from 127.0.0.1:1 --key-file k",
        "config promote --from 127.0.0.1:1 --to 127.0.0.1:2 --key-file k --digest 00",
        "config show",
        "config show a --from 127.0.0.1:1 --key-file k",
        "config diff --from 127.0.0.1:1 --key-file k",
        "config history extra --from 127.0.0.1:1 --key-file k",
        "key create",
        "key create --id",
        "key create --id= ",
        "key create extra --id a",
        "key withdraw --workspace w --id i",
        "key withdraw --workspace w --id i --file f --to 127.0.0.1:1",
        "key withdraw --workspace w --id i --file f --key-file k",
        "key withdraw --workspace w --id i --file f --to 127.0.0.1:1 --key-file k --base 1 --proposal 000000000000000a000000000000000b",
        "key list",
        "key list --file a --from 127.0.0.1:1 --key-file k",
        "instances --from 127.0.0.1",
        "status --from 127.0.0.1:1",
        "explain --from 127.0.0.1:1 --key-file k",
        "explain 12 --from 127.0.0.1:1 --key-file k",
        "log-level --to 127.0.0.1:1 --key-file k",
        "log-level loud --to 127.0.0.1:1 --key-file k",
        "--version extra",
    ];
    let mut report = String::new();
    for line in lines {
        let ended = run(line);
        assert_eq!(ended.exit, cli::Exit::Usage, "{line}");
        assert_eq!(ended.out, "", "{line}");
        report.push_str(&format!("$ {line}\n{}", ended.err));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn every_command_has_a_help() {
    let mut report = run("--help").out;
    for topic in help::topics() {
        let ended = run(&format!("{} --help", topic.name));
        assert_eq!(ended.exit, cli::Exit::Done);
        let usage = format!("Usage: galenayard {}", topic.name);
        assert!(ended.out.starts_with(&usage), "{}", topic.name);
        assert!(help::OVERVIEW.text.contains(&format!("\n  {} ", topic.name)), "{}", topic.name);
        report.push_str(&format!("\n$ {} --help\n{}", topic.name, ended.out));
    }
    insta::assert_snapshot!(report);
}

#[test]
fn usage_in_json() {
    insta::assert_snapshot!(run("config check --json a b"));
}

#[test]
fn the_process_ends_with_the_exit_code() {
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_galenayard")).args(arguments).output();
        output.expect("the program runs").status.code()
    };
    assert_eq!(run(&["--version"]), Some(0));
    assert_eq!(run(&["config", "check", "samples/document.toml"]), Some(0));
    assert_eq!(run(&["config", "check", "samples/settings.toml"]), Some(1));
    assert_eq!(run(&["config", "check"]), Some(2));
    assert_eq!(run(&["serve", "--settings", "/nowhere/settings.toml"]), Some(6));
    assert_eq!(run(&["serve", "--settings", "samples/document.toml"]), Some(1));
}
