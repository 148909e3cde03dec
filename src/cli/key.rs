//! The commands on keys: create, withdraw and list.

use std::fs;
use std::path;
use std::str;

use crate::cli::{args, client, config, edit, exit, output};
use crate::core::configuration::content;
use crate::document;
use crate::document::hex;

type Outcome = Result<exit::Exit, exit::Failure>;

/// Random bytes of a key.
const KEY_BYTES: usize = 32;

/// The start of each key, by which secret scanners find it.
const KEY_PREFIX: &str = "gyk_";

/// Draws a key, prints it once and prints the lines that add its digest to a workspace.
pub fn create(id: &str, output: &mut output::Output<'_>) -> Outcome {
    let random: [u8; KEY_BYTES] = rand::random();
    let key = format!("{KEY_PREFIX}{}", hex::format(&random));
    let digest = hex::format(&content::digest(key.as_bytes()));
    let quoted = toml::Value::from(id).to_string();
    let snippet = format!("[[workspaces.keys]]\nid = {quoted}\nsha256 = \"{digest}\"\n");
    let text = format!(
        "key: {key}\n\nThe key is not shown again. Add these lines to its workspace:\n\n{snippet}"
    );
    let value = serde_json::json!({ "id": id, "key": key, "sha256": digest, "toml": snippet });
    output.result(&value, &text)
}

/// Removes a key from a document, and puts the document in force if an instance is named.
pub fn withdraw(
    workspace: &str,
    id: &str,
    file: &path::Path,
    to: Option<&args::Remote>,
    proposing: &args::Proposing,
    output: &mut output::Output<'_>,
) -> Outcome {
    let failed = |reason: String| exit::Failure::Key { path: file.to_path_buf(), reason };
    let body = config::read(file)?;
    let text = str::from_utf8(&body)
        .map_err(|_| failed("not UTF-8; save the document as UTF-8".to_string()))?;
    let changed =
        edit::remove_key(text, workspace, id).map_err(|failure| failed(failure.to_string()))?;
    fs::write(file, &changed)
        .map_err(|source| exit::Failure::File { path: file.to_path_buf(), source })?;
    let Some(to) = to else {
        let value = serde_json::json!({ "withdrawn": id, "workspace": workspace });
        return output.result(&value, "the key is removed; apply the document\n");
    };
    let accepted = config::propose(&client::Client::new(to)?, changed.into(), proposing)?;
    config::report(&accepted, output)
}

/// Prints the keys of a document.
pub fn list(source: &args::Source, output: &mut output::Output<'_>) -> Outcome {
    let (path, body) = match source {
        args::Source::File(file) => (file.clone(), config::read(file)?),
        args::Source::Remote(remote) => (
            path::PathBuf::from("the document in force"),
            client::Client::new(remote)?.document()?.body,
        ),
    };
    let unreadable = |reason: String| exit::Failure::Key { path: path.clone(), reason };
    let text = str::from_utf8(&body)
        .map_err(|_| unreadable("not UTF-8; save the document as UTF-8".to_string()))?;
    let document: document::Document = toml::from_str(text).map_err(|error| {
        unreadable(format!("{}; check it with `galenayard config check`", error.message()))
    })?;
    let keys: Vec<serde_json::Value> = document.workspaces.iter().flat_map(describe).collect();
    let text: String = keys.iter().map(line).collect();
    output.result(&serde_json::json!({ "keys": keys }), &text)
}

fn describe(workspace: &document::Workspace) -> impl Iterator<Item = serde_json::Value> {
    workspace.keys.iter().map(|key| {
        serde_json::json!({
            "workspace": String::from_utf8_lossy(&workspace.id),
            "id": String::from_utf8_lossy(&key.id),
            "sha256": String::from_utf8_lossy(&key.sha256),
        })
    })
}

fn line(key: &serde_json::Value) -> String {
    let field = |name: &str| key[name].as_str().unwrap_or_default();
    format!("{}\t{}\t{}\n", field("workspace"), field("id"), config::short(field("sha256")))
}
