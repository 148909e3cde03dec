//! Malformed settings and documents: every fault is reported at once, with its place and remedy.

use galenayard::document;
use galenayard::settings;

const SETTINGS: &str = include_str!("../samples/settings.toml");
const DOCUMENT: &str = include_str!("../samples/document.toml");
const PRODUCTION: document::Environment = document::Environment::Production;

/// A change to a sample that makes it wrong.
struct Case {
    name: &'static str,
    old: &'static str,
    new: &'static str,
}

const fn case(name: &'static str, old: &'static str, new: &'static str) -> Case {
    Case { name, old, new }
}

fn changed(sample: &str, case: &Case) -> String {
    if case.old.is_empty() {
        return format!("{sample}\n{}", case.new);
    }
    assert!(sample.contains(case.old), "{}: the sample lacks `{}`", case.name, case.old);
    sample.replacen(case.old, case.new, 1)
}

fn report<T>(cases: &[Case], sample: &str, parse: impl Fn(&str) -> Result<T, String>) -> String {
    let mut report = String::new();
    for case in cases {
        let text = changed(sample, case);
        let outcome = match parse(&text) {
            Ok(_) => "ACCEPTED".to_string(),
            Err(faults) => faults,
        };
        report.push_str(&format!("== {}\n{outcome}\n", case.name));
    }
    report
}

fn parse_settings(text: &str) -> Result<settings::Settings, String> {
    settings::Settings::parse(text).map_err(|faults| faults.to_string())
}

fn parse_document(text: &str) -> Result<document::Document, String> {
    document::parse(text.as_bytes(), PRODUCTION).map_err(|faults| faults.to_string())
}

#[test]
fn the_samples_are_valid() {
    insta::assert_debug_snapshot!(parse_settings(SETTINGS).unwrap());
    let document = parse_document(DOCUMENT).unwrap();
    assert_eq!(document.workspaces.len(), 2);
    assert_eq!(document.servers.len(), 7);
    document::parse(DOCUMENT.as_bytes(), document::Environment::Trial).unwrap();
}

#[test]
fn malformed_settings() {
    let cases = [
        case("empty file", SETTINGS, ""),
        case("syntax", "weight = 1", "weight = = 1"),
        case("unclosed string", "\"entry-1\"", "\"entry-1"),
        case("unknown section", "", "[cache]\nsize_bytes = 1\n"),
        case("unknown field", "weight = 1", "wieght = 1"),
        case("field given twice", "weight = 1", "weight = 1\nweight = 2"),
        case("missing field", "id = \"entry-1\"\n", ""),
        case("empty name", "\"entry-1\"", "\"\""),
        case("control character", "\"entry-1\"", "\"entry\\u0007\""),
        case("wrong type", "weight = 1", "weight = \"heavy\""),
        case("table in place of a word", "[log]\nlevel = \"info\"", "[log.level]\na = 1"),
        case("weight zero", "weight = 1", "weight = 0"),
        case("negative number", "weight = 1", "weight = -1"),
        case("number beyond 64 bits", "weight = 1", "weight = 99999999999999999999"),
        case("unknown environment", "environment = \"production\"", "environment = \"staging\""),
        case("host name", "127.0.0.1:7001", "localhost:7001"),
        case("port zero", "127.0.0.1:7001", "127.0.0.1:0"),
        case("same address twice", "127.0.0.1:7002", "127.0.0.1:7001"),
        case("address of no host", "127.0.0.1:7002", "0.0.0.0:7002"),
        case("short credential", "replace-this-fleet-credential", "short"),
        case("short digest", "operator_key_sha256 = \"", "operator_key_sha256 = \"00"),
        case("unknown level", "level = \"info\"", "level = \"loud\""),
        case("unknown policy", "", "[policy]\nplacement = \"random\"\n"),
        case("heartbeats too rare", "", "[membership]\nlease_ms = 300\nheartbeat_ms = 200\n"),
        case("hedged requests", "", "[hedging]\nshare = 0.05\n"),
        case("share of hedges out of range", "", "[hedging]\nshare = 0.2\n"),
        case("share of hedges as text", "", "[hedging]\nshare = \"some\"\n"),
        case("drain cuts requests", "", "[timeouts]\nrequest_ms = 60_000\ndrain_ms = 1_000\n"),
        case(
            "several at once",
            "weight = 1\nenvironment = \"production\"\n",
            "weight = 0\nsize = 3\n\n[discovery]\nttl_ms = false\n",
        ),
    ];
    insta::assert_snapshot!(report(&cases, SETTINGS, parse_settings));
}

#[test]
fn malformed_documents() {
    let cases = [
        case("syntax", "id = \"north\"", "id = north"),
        case("unknown list", "", "[[tenants]]\nid = \"x\"\n"),
        case("unknown field", "weight = 2", "share = 2"),
        case("missing field", "burst_tokens = 200000\n", ""),
        case("rate zero", "rate_tokens_per_s = 20000", "rate_tokens_per_s = 0"),
        case("burst zero", "burst_tokens = 200000", "burst_tokens = 0"),
        case("weight zero", "weight = 2", "weight = 0"),
        case("workspace twice", "id = \"south\"", "id = \"north\""),
        case("key id twice", "id = \"2026-12\"", "id = \"2026-11\""),
        case(
            "key of two workspaces",
            "[[workspaces]]\nid = \"south\"",
            "[[workspaces]]\nid = \"east\"\nrate_tokens_per_s = 1\nburst_tokens = 1\n\n\
             [[workspaces.keys]]\nid = \"k\"\nsha256 = \
             \"4ab4bc02e9b2b0d65f8d2d6c6b3a9c9f6b0d4c42ce1f7f1c2c4c3b4dd0a0b0c1\"\n\n\
             [[workspaces.keys]]\nid = \"l\"\nsha256 = \
             \"4ab4bc02e9b2b0d65f8d2d6c6b3a9c9f6b0d4c42ce1f7f1c2c4c3b4dd0a0b0c1\"\n\n\
             [[workspaces]]\nid = \"south\"",
        ),
        case("key in clear", "sha256 = \"", "sha256 = \"secret-"),
        case("server twice", "id = \"prefill-2\"", "id = \"prefill-1\""),
        case("empty server id", "id = \"orders-1\"", "id = \"\""),
        case("unknown kind", "kind = \"plain\"", "kind = \"cache\""),
        case("plain server with a role", "kind = \"plain\"", "kind = \"plain\"\nrole = \"both\""),
        case("engine without a model", "models = [\"small\"]\n", ""),
        case("slots zero", "slots = 20", "slots = 0"),
        case("no address here", ", production = \"127.0.0.1:7110\"", ""),
        case("address of another server", "127.0.0.1:7110", "127.0.0.1:7100"),
        case("unknown environment", "{ trial =", "{ staging ="),
        case("unknown server", "servers = [\"prefill-1\", ", "servers = [\"prefill-9\", "),
        case("server twice in a route", "[\"prefill-1\", ", "[\"prefill-2\", "),
        case("plain server in a language route", "[\"prefill-1\", ", "[\"orders-1\", "),
        case("engine in a plain route", "servers = [\"orders-1\"]", "servers = [\"decode-1\"]"),
        case("route without a server", "servers = [\"orders-1\"]", "servers = []"),
        case("unknown workspace", "workspaces = [\"north\"]", "workspaces = [\"west\"]"),
        case("no prefill engine", "\"prefill-1\", \"prefill-2\", \"prefill-3\", ", ""),
        case("model not listed", "model = \"small\"", "model = \"large\""),
        case("path without a slash", "path_prefix = \"/orders\"", "path_prefix = \"orders\""),
        case("path with dots", "path_prefix = \"/orders\"", "path_prefix = \"/a/../b\""),
        case("reserved path", "path_prefix = \"/orders\"", "path_prefix = \"/v1/models\""),
        case("same path twice", "path_prefix = \"/stock\"", "path_prefix = \"/orders\""),
        case("method in lower case", "methods = [\"GET\", ", "methods = [\"get\", "),
        case(
            "open to a workspace",
            "workspaces = [\"north\"]",
            "workspaces = [\"north\"]\nopen = true",
        ),
        case(
            "same model twice",
            "",
            "[[language_routes]]\nid = \"other\"\nmodel = \"small\"\nservers = [\"prefill-1\", \"decode-1\"]\nworkspaces = [\"south\"]\n",
        ),
        case("route id twice", "id = \"stock\"", "id = \"small\""),
        case("not a list", "[[workspaces]]\nid = \"north\"", "[[servers]]\nid = \"north\""),
        case(
            "several at once",
            "id = \"north\"\nrate_tokens_per_s = 20000",
            "id = \"\"\nrate_tokens_per_s = \"fast\"\nbrust = 1",
        ),
    ];
    insta::assert_snapshot!(report(&cases, DOCUMENT, parse_document));
}

#[test]
fn documents_that_are_no_text_or_too_long() {
    let broken = document::parse(b"\xff\xfe", PRODUCTION).unwrap_err().to_string();
    insta::assert_snapshot!(broken, @"byte 0 is not UTF-8; save the document as UTF-8");
    let limit = document::constants::MAX_DOCUMENT_BYTES;
    let long = document::parse(&vec![b'#'; limit + 1], PRODUCTION).unwrap_err().to_string();
    insta::assert_snapshot!(
        long,
        @"524289 bytes long; keep the document within 524288 bytes"
    );
    assert!(document::parse(&vec![b'#'; limit], PRODUCTION).is_ok());
}

#[test]
fn faults_of_a_hopeless_document_are_bounded() {
    let text = "[[servers]]\n".repeat(4_000);
    let faults = document::parse(text.as_bytes(), PRODUCTION).unwrap_err();
    assert_eq!(faults.faults.len(), 201);
    let last = faults.lines().pop().unwrap();
    insta::assert_snapshot!(last, @"more than 200 faults; correct those above first");
}

/// Texts whose nesting would exhaust the stack of a parser that does not bound it.
fn deep_texts() -> Vec<String> {
    let depth = 100_000;
    vec![
        format!("a = {}", "[".repeat(depth)),
        format!("a = {}{}", "[".repeat(depth), "]".repeat(depth)),
        format!("a = {}", "{a=".repeat(depth)),
        format!("a{} = 1", ".a".repeat(depth)),
        format!("[a{}]", ".a".repeat(depth)),
        format!("[[a{}]]", ".a".repeat(depth)),
        format!("servers = [{{ a{} = 1 }}]", ".a".repeat(depth)),
    ]
}

#[test]
fn deeply_nested_texts_are_refused() {
    for text in deep_texts() {
        assert!(parse_document(&text).is_err(), "{}", &text[..20]);
        assert!(parse_settings(&text).is_err(), "{}", &text[..20]);
    }
}
