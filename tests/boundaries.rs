//! Tests that the platform's names are used only in its own folder.

use std::fs;
use std::path;

/// Names of the platform, as spelled on the wire, that no other module may contain.
const PLATFORM_NAMES: [&str; 24] = [
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

fn collect_sources(folder: &path::Path, found: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            collect_sources(&path, found);
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
fn no_name_of_the_platform_is_used_outside_its_folder() {
    let mut found = Vec::new();
    collect_sources(&path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut found);
    assert!(found.iter().any(|path| is_platform(path)), "the platform's folder is found");
    for path in found.iter().filter(|path| !is_platform(path)) {
        let text = fs::read_to_string(path).expect("the source can be read");
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{} contains {name}", path.display());
        }
    }
}
