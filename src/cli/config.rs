//! The commands on documents: check, apply, promote, show, diff and history.

use std::fs;
use std::path;

use bytes::Bytes;

use crate::borders::operators::api;
use crate::cli::{args, client, diff as lines, exit, output};
use crate::core::configuration::content;
use crate::core::ids;
use crate::document;
use crate::document::hex;

type Outcome = Result<exit::Exit, exit::Failure>;

/// Reads a file of this machine.
pub fn read(path: &path::Path) -> Result<Bytes, exit::Failure> {
    let body = fs::read(path)
        .map_err(|source| exit::Failure::File { path: path.to_path_buf(), source })?;
    Ok(Bytes::from(body))
}

/// Checks a document for one or all environments.
pub fn check(
    file: &path::Path,
    environment: Option<document::Environment>,
    output: &mut output::Output<'_>,
) -> Outcome {
    let body = read(file)?;
    let all = [document::Environment::Trial, document::Environment::Production];
    let environments = environment.map_or(all.to_vec(), |environment| vec![environment]);
    for environment in &environments {
        document::parse(&body, *environment)
            .map_err(|faults| exit::Failure::Invalid { path: file.to_path_buf(), faults })?;
    }
    let names: Vec<&str> = environments.iter().map(|environment| environment.as_str()).collect();
    let digest = hex::format(&content::digest(&body));
    let text = format!("valid for {}; digest {digest}\n", names.join(" and "));
    output.result(
        &serde_json::json!({ "valid": true, "environments": names, "digest": digest }),
        &text,
    )
}

/// Puts a document in force.
pub fn apply(
    file: &path::Path,
    to: &args::Remote,
    proposing: &args::Proposing,
    output: &mut output::Output<'_>,
) -> Outcome {
    let body = read(file)?;
    let accepted = propose(&client::Client::new(to)?, body, proposing)?;
    report(&accepted, output)
}

/// Proposes a document on the named base, or on the version in force.
pub fn propose(
    client: &client::Client,
    body: Bytes,
    proposing: &args::Proposing,
) -> Result<api::Accepted, exit::Failure> {
    let base = match proposing.base {
        Some(base) => base,
        None => client.current()?.map_or(0, |current| current.version),
    };
    let id = proposing.id.unwrap_or_else(rand::random);
    let author = proposing.author.clone();
    client.propose(&client::Proposal { id, base, author, body })
}

/// Tells which version is in force.
pub fn report(accepted: &api::Accepted, output: &mut output::Output<'_>) -> Outcome {
    let text = format!("version {} is in force; digest {}\n", accepted.version, accepted.digest);
    output.result(accepted, &text)
}

/// Puts the document of one environment in force in another.
pub fn promote(
    from: &args::Remote,
    to: &args::Remote,
    wanted: Option<ids::Digest>,
    proposing: &args::Proposing,
    output: &mut output::Output<'_>,
) -> Outcome {
    let tried = client::Client::new(from)?.document()?;
    let found = hex::format(&content::digest(&tried.body));
    expect_digest(&found, &tried.digest)?;
    if let Some(wanted) = wanted {
        expect_digest(&found, &hex::format(&wanted))?;
    }
    let accepted = propose(&client::Client::new(to)?, tried.body, proposing)?;
    expect_digest(&accepted.digest, &found)?;
    report(&accepted, output)
}

fn expect_digest(found: &str, wanted: &str) -> Result<(), exit::Failure> {
    if found == wanted {
        return Ok(());
    }
    Err(exit::Failure::Digest { found: found.to_string(), wanted: wanted.to_string() })
}

/// Prints the document in force.
pub fn show(from: &args::Remote, output: &mut output::Output<'_>) -> Outcome {
    let current = client::Client::new(from)?.document()?;
    let text = String::from_utf8_lossy(&current.body).into_owned();
    let value = serde_json::json!({
        "version": current.version,
        "digest": current.digest,
        "author": current.author,
        "document": text,
    });
    output.result(&value, &text)
}

/// Compares a document with the one in force.
pub fn diff(file: &path::Path, from: &args::Remote, output: &mut output::Output<'_>) -> Outcome {
    let proposed = read(file)?;
    let current = client::Client::new(from)?.document()?;
    let old = String::from_utf8_lossy(&current.body);
    let new = String::from_utf8_lossy(&proposed);
    let changes = lines::changes(&old, &new);
    let value = serde_json::json!({ "version": current.version, "changes": changes });
    let text: String = changes.iter().map(|change| format!("{change}\n")).collect();
    output.result(&value, &text)?;
    Ok(if changes.is_empty() { exit::Exit::Done } else { exit::Exit::Refused })
}

/// Prints the versions that were in force.
pub fn history(from: &args::Remote, output: &mut output::Output<'_>) -> Outcome {
    let history: api::History = client::Client::new(from)?.get("/v1/config/history")?;
    let text: String = history.entries.iter().map(history_line).collect();
    output.result(&history, &text)
}

/// Digits of a digest that are shown where space is short.
const SHORT_DIGEST_DIGITS: usize = 12;

fn history_line(entry: &api::HistoryEntry) -> String {
    let digest = short(&entry.digest);
    let time = lines::time_text(entry.time_ms);
    format!("{}\ton {}\t{time}\t{}\t{digest}\n", entry.version, entry.base, entry.author)
}

/// Returns the start of a digest.
pub fn short(digest: &str) -> &str {
    digest.get(..SHORT_DIGEST_DIGITS).unwrap_or(digest)
}
