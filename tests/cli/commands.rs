//! Commands on files and against running environments.

use std::net::{SocketAddr, TcpListener};

use galenayard::cli::{Exit, diff};
use galenayard::document::Environment;
use galenayard::settings::LogLevel;

use crate::site::{Fault, REQUEST, Site, run};

const DOCUMENT: &str = include_str!("../../samples/document.toml");
const APPLY: &str = "config apply DIR/document.toml --to ADDRESS --key-file KEY --author ada";

fn site() -> Site {
    let site = Site::new(Environment::Production);
    site.file("document.toml", DOCUMENT);
    site
}

/// A site with the sample document in force.
fn applied() -> Site {
    let site = site();
    assert_eq!(site.run(APPLY).exit, Exit::Done);
    site
}

fn changed() -> String {
    DOCUMENT.replace("rate_tokens_per_s = 5000", "rate_tokens_per_s = 6000")
}

/// Runs commands one after the other and returns what each wrote.
fn session(site: &Site, lines: &[&str]) -> String {
    let ended = lines.iter().map(|line| format!("$ {line}\n{}", site.run(line)));
    ended.collect::<Vec<_>>().join("\n")
}

#[test]
fn documents_are_applied_shown_and_compared() {
    let site = site();
    site.file("changed.toml", &changed());
    let session = session(
        &site,
        &[
            "config show --from ADDRESS --key-file KEY",
            APPLY,
            "config apply DIR/changed.toml --to ADDRESS --key-file KEY --author bob --base 1",
            "config apply DIR/document.toml --to ADDRESS --key-file KEY --author ada --base 1",
            "config apply DIR/document.toml --to ADDRESS --key-file KEY --author ada --base 1 --json",
            "config diff DIR/document.toml --from ADDRESS --key-file KEY",
            "config diff DIR/changed.toml --from ADDRESS --key-file KEY",
            "config history --from ADDRESS --key-file KEY",
        ],
    );
    insta::assert_snapshot!(session);
    let shown = site.run("config show --from ADDRESS --key-file KEY");
    assert_eq!(shown.out, changed());
}

#[test]
fn faults_of_a_document_are_told() {
    let site = site();
    site.file("bad.toml", "[[workspaces]]\nid = \"\"\n\n[[workspaces]]\nid = \"b\"\nburst = 1\n");
    let session = session(
        &site,
        &[
            "config check DIR/bad.toml",
            "config check DIR/bad.toml --json",
            "config check DIR/missing.toml",
            "config apply DIR/bad.toml --to ADDRESS --key-file KEY --author ada",
        ],
    );
    insta::assert_snapshot!(session);
    assert_eq!(site.records(), 0);
}

#[test]
fn unknown_end_is_asked_again_with_the_same_id() {
    let site = site();
    site.fail(Fault::Unknown);
    let ended = site.run(APPLY);
    assert_eq!(ended.exit, Exit::Done);
    let proposals = site.proposals();
    assert_eq!(proposals.len(), 2);
    assert_eq!(proposals[0], proposals[1]);
    assert_eq!(site.records(), 1);
}

#[test]
fn log_that_is_down() {
    let site = site();
    site.fail(Fault::Unavailable);
    insta::assert_snapshot!(site.run(APPLY));
}

#[test]
fn instance_that_hangs_up_leaves_the_end_unknown() {
    let site = site();
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = std::io::Read::read(&mut stream, &mut [0; 64]);
        }
    });
    let id = "000000000000000a000000000000000b";
    let ended = site.run(&format!(
        "config apply DIR/document.toml --to {address} --key-file KEY --base 0 --proposal {id}"
    ));
    server.join().unwrap();
    assert_eq!(ended.exit, Exit::Unknown);
    assert!(ended.err.contains(&format!("`--proposal {id} --base 0`")), "{ended}");
}

#[test]
fn nothing_listens() {
    let site = site();
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let ended = site.run(&format!("status --from {address} --key-file KEY"));
    assert_eq!(ended.exit, Exit::Unreachable);
}

#[test]
fn wrong_operator_key() {
    let site = site();
    site.file("wrong", "not-the-key");
    site.file("empty", "\n");
    let session = session(
        &site,
        &[
            "status --from ADDRESS --key-file DIR/wrong",
            "status --from ADDRESS --key-file DIR/empty",
            "status --from ADDRESS --key-file DIR/missing",
        ],
    );
    insta::assert_snapshot!(session);
}

#[test]
fn promotion_is_byte_identical() {
    let trial = Site::new(Environment::Trial);
    trial.file("document.toml", DOCUMENT);
    assert_eq!(trial.run(APPLY).exit, Exit::Done);
    let production = site();
    let promote =
        format!("config promote --from {} --to ADDRESS --key-file KEY --author ada", trial.address);
    let wrong = production.run(&format!("{promote} --digest {}", "00".repeat(32)));
    insta::assert_snapshot!(wrong);
    assert_eq!(production.records(), 0);
    insta::assert_snapshot!(production.run(&promote));
    let shown = production.run("config show --from ADDRESS --key-file KEY");
    assert_eq!(shown.out, DOCUMENT);
}

#[test]
fn promotion_of_a_document_without_addresses_is_refused() {
    let trial = Site::new(Environment::Trial);
    let text = DOCUMENT.replace(", production = \"127.0.0.1:7110\"", "");
    trial.file("document.toml", &text);
    assert_eq!(trial.run(APPLY).exit, Exit::Done);
    let production = site();
    let ended = production
        .run(&format!("config promote --from {} --to ADDRESS --key-file KEY", trial.address));
    insta::assert_snapshot!(ended);
}

#[test]
fn keys_are_listed_and_withdrawn() {
    let site = applied();
    let session = session(
        &site,
        &[
            "key list --file DIR/document.toml",
            "key list --from ADDRESS --key-file KEY --json",
            "key withdraw --workspace west --id 2026-11 --file DIR/document.toml",
            "key withdraw --workspace north --id 2025-01 --file DIR/document.toml",
            "key withdraw --workspace north --id 2026-11 --file DIR/document.toml \
             --to ADDRESS --key-file KEY --author ada",
            "key list --from ADDRESS --key-file KEY",
            "config diff DIR/document.toml --from ADDRESS --key-file KEY",
        ],
    );
    insta::assert_snapshot!(session);
}

#[test]
fn keys_in_inline_lists_are_withdrawn() {
    let site = site();
    let digest = |digit: &str| digit.repeat(64);
    let key =
        |id: &str, digit: &str| format!("{{ id = \"{id}\", sha256 = \"{}\" }}", digest(digit));
    let text = format!(
        "# kept\n[[workspaces]]\nid = \"w\"\nrate_tokens_per_s = 1\nburst_tokens = 1\n\
         keys = [{}, {},\n  {}]\n",
        key("a", "a"),
        key("b", "b"),
        key("c", "c")
    );
    for id in ["a", "b", "c"] {
        let file = site.file("inline.toml", &text);
        let ended = site.run(&format!("key withdraw --workspace w --id {id} --file {file}"));
        assert_eq!(ended.exit, Exit::Done, "{ended}");
        let left = std::fs::read_to_string(&file).unwrap();
        assert!(!left.contains(&digest(id)) && left.starts_with("# kept\n"), "{left}");
        let listed = site.run(&format!("key list --file {file}"));
        assert_eq!(listed.out.lines().count(), 2);
    }
}

#[test]
fn created_keys_differ_and_match_their_digest() {
    let create = || -> serde_json::Value {
        serde_json::from_str(&run("key create --id 2027-01 --json").out).unwrap()
    };
    let (one, other) = (create(), create());
    assert_ne!(one["key"], other["key"]);
    let digest =
        galenayard::core::configuration::content::digest(one["key"].as_str().unwrap().as_bytes());
    assert_eq!(one["sha256"], galenayard::document::hex::format(&digest));
    let text = format!(
        "[[workspaces]]\nid = \"w\"\nrate_tokens_per_s = 1\nburst_tokens = 1\n\n{}",
        one["toml"].as_str().unwrap()
    );
    galenayard::document::parse(text.as_bytes(), Environment::Trial).unwrap();
}

#[test]
fn instances_status_and_explanations() {
    let site = applied();
    let explain = format!("explain {REQUEST} --from ADDRESS --key-file KEY");
    let session = session(
        &site,
        &[
            "instances --from ADDRESS --key-file KEY",
            "status --from ADDRESS --key-file KEY --json",
            &explain,
            "explain 0000000000000000000000000000000c --from ADDRESS --key-file KEY",
            "log-level debug --to ADDRESS --key-file KEY",
        ],
    );
    insta::assert_snapshot!(session);
    assert_eq!(site.level(), Some(LogLevel::Debug));
}

#[test]
fn differences_are_the_shortest() {
    let old = "a\nb\nc\nd\ne\n";
    let new = "a\nc\nx\nd\ne\nf\n";
    assert_eq!(diff::changes(old, new), ["-2: b", "+3: x", "+6: f"]);
    assert_eq!(diff::changes(old, old), Vec::<String>::new());
    assert_eq!(diff::changes("", "a\n"), ["+1: a"]);
}

#[test]
fn times_are_written_in_utc() {
    assert_eq!(diff::time_text(0), "1970-01-01T00:00:00.000Z");
    assert_eq!(diff::time_text(951_782_400_001), "2000-02-29T00:00:00.001Z");
    assert_eq!(diff::time_text(1_764_000_000_000), "2025-11-24T16:00:00.000Z");
}
