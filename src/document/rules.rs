//! Rules that span several fields or entries of a document.

use bytes::Bytes;

use crate::core::collections;
use crate::document::{self, validation};
use crate::schema;

mod routes;

/// Checks the rules that span several fields or entries, and adds a finding for each violation.
pub fn check(
    draft: &validation::Draft,
    environment: document::Environment,
    findings: &mut schema::Findings,
) {
    check_unique(&draft.workspaces, "workspaces", findings);
    check_unique(&draft.servers, "servers", findings);
    check_unique(&draft.language_routes, "language_routes", findings);
    check_unique(&draft.plain_routes, "plain_routes", findings);
    check_keys(draft, findings);
    check_servers(draft, environment, findings);
    routes::check(draft, findings);
}

/// Returns the path of a top-level list of the document.
fn list_path(name: &str) -> schema::Path {
    schema::Path::default().key(name)
}

/// Iterates over the entries that parsed, with their positions in the list.
fn parsed<T>(items: &[validation::Item<T>]) -> impl Iterator<Item = (usize, &T)> {
    items.iter().enumerate().filter_map(|(index, item)| Some((index, item.value.as_ref()?)))
}

/// Formats a name for a message, with control characters and quotes escaped.
fn escaped(name: &[u8]) -> String {
    String::from_utf8_lossy(name).escape_debug().to_string()
}

/// Checks that no two entries of a list have the same id.
fn check_unique<T>(items: &[validation::Item<T>], name: &str, findings: &mut schema::Findings) {
    let mut seen = collections::Map::default();
    for (index, item) in items.iter().enumerate() {
        let Some(id) = item.id.as_deref() else { continue };
        if let Some(first) = seen.insert(id, index) {
            let problem = format!("the same id as {name}[{first}]");
            findings.add(list_path(name).index(index).key("id"), problem, "use another id");
        }
    }
}

/// Checks that key ids are unique in their workspace and digests in the whole document.
fn check_keys(draft: &validation::Draft, findings: &mut schema::Findings) {
    let mut digests = collections::Map::default();
    for (index, workspace) in parsed(&draft.workspaces) {
        let keys = list_path("workspaces").index(index).key("keys");
        let mut ids = collections::Set::default();
        for (position, key) in workspace.keys.iter().enumerate() {
            let place = keys.index(position);
            if !ids.insert(&key.id) {
                let problem = "the same id as another key of the workspace";
                findings.add(place.key("id"), problem, "use another id");
            }
            let Some(digest) = key.digest() else { continue };
            if let Some(owner) = digests.insert(digest, &workspace.id) {
                let problem = format!("a key of the workspace `{}` already", escaped(owner));
                findings.add(place.key("sha256"), problem, "create a key of its own");
            }
        }
    }
}

/// Checks that each server's fields fit its kind, that it has an address for the environment, and
/// that no two servers share an address in any environment.
fn check_servers(
    draft: &validation::Draft,
    environment: document::Environment,
    findings: &mut schema::Findings,
) {
    let mut addresses = collections::Map::default();
    for (index, server) in parsed(&draft.servers) {
        let place = list_path("servers").index(index);
        check_kind(&draft.servers[index].fields, server, &place, findings);
        let name = environment.as_str();
        if !server.addresses.contains_key(name) {
            let problem = format!("no address for the environment `{name}`");
            let remedy = format!("add `{name} = \"IP:PORT\"`");
            findings.add(place.key("addresses"), problem, remedy);
        }
        for (environment, address) in &server.addresses {
            let key = (environment.as_str(), *address);
            if let Some(other) = addresses.insert(key, &server.id) {
                let problem = format!("the address of the server `{}`", escaped(other));
                let place = place.key("addresses").key(environment);
                findings.add(place, problem, "give each server an address of its own");
            }
        }
    }
}

/// The fields that are allowed only on engines.
const ENGINE_FIELDS: &[&str] =
    &["role", "models", "memory_pieces", "link_bytes_per_s", "checks_fencing"];

/// Checks that a server's fields fit its kind.
fn check_kind(
    fields: &[String],
    server: &document::Server,
    place: &schema::Path,
    findings: &mut schema::Findings,
) {
    match server.kind {
        document::Kind::Engine if server.models.is_empty() => {
            let remedy = "list the models that the engine can run";
            findings.add(place.key("models"), "an engine without a model", remedy);
        }
        document::Kind::Engine => {
            check_repeated(&server.models, &place.key("models"), findings);
        }
        document::Kind::Plain => {
            for field in fields.iter().filter(|field| ENGINE_FIELDS.contains(&field.as_str())) {
                let problem = "a field of engines on a plain server";
                findings.add(place.key(field), problem, "remove it or set kind to \"engine\"");
            }
        }
    }
}

/// Checks that a list has no duplicate names.
fn check_repeated(names: &[Bytes], place: &schema::Path, findings: &mut schema::Findings) {
    let mut seen = collections::Set::default();
    for (index, name) in names.iter().enumerate() {
        if !seen.insert(name) {
            findings.add(place.index(index), "named twice", "remove one of the two");
        }
    }
}
