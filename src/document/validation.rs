//! Parses a document and checks all of its rules.

use serde::de::DeserializeOwned;
use toml::de;

use crate::document::{self, constants, rules, shape};
use crate::schema;

/// Parses a document and checks it for an environment.
///
/// Reports all faults together, but checks a document no further if it is too long, not UTF-8 or
/// not valid TOML.
pub fn parse(
    body: &[u8],
    environment: document::Environment,
) -> Result<document::Document, schema::Faults> {
    let text = checked_text(body)?;
    let mut findings = schema::Findings::default();
    let table = schema::parse(text, &mut findings);
    if !findings.is_empty() {
        return Err(findings.into_faults(text));
    }
    schema::check_table(&table, &shape::DOCUMENT, &schema::Path::default(), &mut findings);
    let draft = Draft::new(table);
    rules::check(&draft, environment, &mut findings);
    if findings.is_empty() && !draft.is_complete() {
        findings.add_at(0, "a field that cannot be read", "compare it with docs/DOCUMENT.md");
    }
    if findings.is_empty() { Ok(draft.into_document()) } else { Err(findings.into_faults(text)) }
}

/// Returns the body as text if it is within the size limit and valid UTF-8.
fn checked_text(body: &[u8]) -> Result<&str, schema::Faults> {
    if body.len() > constants::MAX_DOCUMENT_BYTES {
        return Err(schema::Faults::whole(
            format!("{} bytes long", body.len()),
            format!("keep the document within {} bytes", constants::MAX_DOCUMENT_BYTES),
        ));
    }
    std::str::from_utf8(body).map_err(|error| {
        let problem = format!("byte {} is not UTF-8", error.valid_up_to());
        schema::Faults::whole(problem, "save the document as UTF-8")
    })
}

/// An entry of one of the document's lists, which may have failed to parse.
#[derive(Debug)]
pub struct Item<T> {
    /// The entry's id, if it has one that is a string.
    pub id: Option<String>,
    /// The names of the fields that the text sets.
    pub fields: Vec<String>,
    /// The parsed entry; `None` if any field could not be parsed.
    pub value: Option<T>,
}

/// A document in which some entries may have failed to parse.
///
/// The rules are checked on the entries that parsed, so that their faults are reported too.
#[derive(Debug, Default)]
pub struct Draft {
    /// The entries of `workspaces`.
    pub workspaces: Vec<Item<document::Workspace>>,
    /// The entries of `servers`.
    pub servers: Vec<Item<document::Server>>,
    /// The entries of `language_routes`.
    pub language_routes: Vec<Item<document::LanguageRoute>>,
    /// The entries of `plain_routes`.
    pub plain_routes: Vec<Item<document::PlainRoute>>,
}

impl Draft {
    fn new(mut table: de::DeTable<'_>) -> Self {
        Self {
            workspaces: take_items(&mut table, "workspaces"),
            servers: take_items(&mut table, "servers"),
            language_routes: take_items(&mut table, "language_routes"),
            plain_routes: take_items(&mut table, "plain_routes"),
        }
    }

    fn is_complete(&self) -> bool {
        self.workspaces.iter().all(|item| item.value.is_some())
            && self.servers.iter().all(|item| item.value.is_some())
            && self.language_routes.iter().all(|item| item.value.is_some())
            && self.plain_routes.iter().all(|item| item.value.is_some())
    }

    fn into_document(self) -> document::Document {
        document::Document {
            workspaces: parsed_values(self.workspaces),
            servers: parsed_values(self.servers),
            language_routes: parsed_values(self.language_routes),
            plain_routes: parsed_values(self.plain_routes),
        }
    }
}

/// Returns the entries that parsed.
fn parsed_values<T>(items: Vec<Item<T>>) -> Vec<T> {
    items.into_iter().filter_map(|item| item.value).collect()
}

/// Removes a list from the table and parses its entries.
fn take_items<T: DeserializeOwned>(table: &mut de::DeTable<'_>, name: &str) -> Vec<Item<T>> {
    let Some(value) = table.remove(name) else { return Vec::new() };
    let de::DeValue::Array(items) = value.into_inner() else { return Vec::new() };
    items.into_iter().map(|item| parse_item(item)).collect()
}

fn parse_item<T: DeserializeOwned>(item: toml::Spanned<de::DeValue<'_>>) -> Item<T> {
    let table = item.get_ref().as_table();
    let id = table
        .and_then(|table| table.get("id"))
        .and_then(|id| id.get_ref().as_str())
        .map(str::to_string);
    let fields = table
        .map(|table| table.keys().map(|key| key.get_ref().to_string()).collect())
        .unwrap_or_default();
    let value = T::deserialize(de::ValueDeserializer::from(item)).ok();
    Item { id, fields, value }
}
