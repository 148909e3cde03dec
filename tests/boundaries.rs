//! The platform's names stand in its folder only.

use std::fs;
use std::path;

/// Names of the platform that no other module may know, in the spelling of the wire.
const NAMES: [&str; 24] = [
    "Attempt-Id",
    "Attempt-ID",
    "attempt-id",
    "Deadline-Ms",
    "deadline-ms",
    "Token-Count",
    "token-count",
    "Prefix-Hash",
    "prefix-hash",
    "Kv-Source",
    "kv-source",
    "kv-handle",
    "Expect-Instance",
    "expect-instance",
    "Not-Executed",
    "not-executed",
    "Server-Stamp",
    "server-stamp",
    "RouteTable",
    "FencingToken",
    "GALENAYARD_CONFIG",
    "keyed.",
    "log-newest",
    "/-/",
];

fn sources(folder: &path::Path, found: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

fn is_platform(path: &path::Path) -> bool {
    path.ends_with("src/platform.rs")
        || path.components().any(|component| component.as_os_str() == "platform")
            && !path.components().any(|component| component.as_os_str() == "borders")
}

#[test]
fn no_name_of_the_platform_stands_outside_its_folder() {
    let mut found = Vec::new();
    sources(&path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut found);
    assert!(found.iter().any(|path| is_platform(path)), "the folder is found");
    for path in found.iter().filter(|path| !is_platform(path)) {
        let text = fs::read_to_string(path).expect("the source can be read");
        for name in NAMES {
            assert!(!text.contains(name), "{} names {name}", path.display());
        }
    }
}
