//! Removes a key from the text of a document and leaves the rest as it is.

use toml::de;

use crate::document;

/// Why a key cannot be removed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The text is not a document.
    #[error("the document cannot be read: {0}; check it with `galenayard config check`")]
    Unreadable(String),
    /// There is no such workspace.
    #[error("no workspace has the id `{0}`; list the keys with `galenayard key list`")]
    NoWorkspace(String),
    /// The workspace has no such key.
    #[error("the workspace has no key with the id `{0}`; list the keys with `galenayard key list`")]
    NoKey(String),
    /// The text is arranged in a way that this editor does not know.
    #[error("the key cannot be removed without other changes; remove it by hand")]
    ByHand,
}

/// Returns the text without a key of a workspace.
pub fn remove_key(text: &str, workspace: &str, key: &str) -> Result<String, Failure> {
    let old = parse(text)?;
    let wanted = without(&old, workspace, key)?;
    let (start, end) = span(text, workspace, key).ok_or(Failure::ByHand)?;
    let new = format!("{}{}", &text[..start], &text[end..]);
    if parse(&new).as_ref() != Ok(&wanted) {
        return Err(Failure::ByHand);
    }
    Ok(new)
}

fn parse(text: &str) -> Result<document::Document, Failure> {
    toml::from_str(text).map_err(|error| Failure::Unreadable(error.message().to_string()))
}

/// Returns the document without the key.
fn without(
    old: &document::Document,
    workspace: &str,
    key: &str,
) -> Result<document::Document, Failure> {
    let mut wanted = old.clone();
    let found = wanted.workspaces.iter_mut().find(|found| found.id == workspace.as_bytes());
    let found = found.ok_or_else(|| Failure::NoWorkspace(workspace.to_string()))?;
    let before = found.keys.len();
    found.keys.retain(|found| found.id != key.as_bytes());
    if found.keys.len() == before {
        return Err(Failure::NoKey(key.to_string()));
    }
    Ok(wanted)
}

/// Finds the bytes that make up the key.
fn span(text: &str, workspace: &str, key: &str) -> Option<(usize, usize)> {
    let table = de::DeTable::parse(text).ok()?;
    let workspaces = table.get_ref().get("workspaces")?.get_ref().as_array()?;
    let workspace = workspaces.iter().find(|item| has_id(item, workspace))?;
    let keys = workspace.get_ref().as_table()?.get("keys")?.get_ref().as_array()?;
    let key = keys.iter().find(|item| has_id(item, key))?;
    let start = key.span().start;
    if text[start..].starts_with("[[") {
        let values = key.get_ref().as_table()?.values();
        let end = values.map(|value| value.span().end).max()?;
        return Some((start, line_end(text, end)));
    }
    Some(with_comma(text, start, key.span().end))
}

fn has_id(item: &toml::Spanned<de::DeValue<'_>>, id: &str) -> bool {
    let found = item.get_ref().as_table().and_then(|table| table.get("id"));
    found.and_then(|found| found.get_ref().as_str()) == Some(id)
}

/// Returns the end of the line and of the blank lines that follow it.
fn line_end(text: &str, end: usize) -> usize {
    let rest = &text[end..];
    let line = rest.find('\n').map_or(rest.len(), |newline| newline + 1);
    let blank = rest[line..].bytes().take_while(|byte| *byte == b'\n').count();
    end + line + blank
}

/// Extends an entry of a list by the comma that follows or precedes it.
fn with_comma(text: &str, start: usize, end: usize) -> (usize, usize) {
    let after = text[end..].trim_start();
    if let Some(rest) = after.strip_prefix(',') {
        return (start, text.len() - rest.trim_start_matches(' ').len());
    }
    let before = text[..start].trim_end();
    (before.strip_suffix(',').map_or(start, str::len), end)
}
