//! Validates TOML texts against a schema and reports all faults of a text together.

use std::collections;
use std::net;

use serde::de::DeserializeOwned;
use toml::de;

use crate::document::hex;

pub mod fault;
pub mod path;
#[cfg(test)]
mod tests;

pub use fault::{Fault, Faults, Findings};
pub use path::Path;

/// The schema of a TOML table.
#[derive(Debug)]
pub struct Shape {
    /// The accepted fields; any other field is reported as unknown.
    pub fields: &'static [Field],
}

/// The schema of one field of a table.
#[derive(Debug)]
pub struct Field {
    /// The key of the field in the TOML text.
    pub name: &'static str,
    /// The type of the value and its limits.
    pub kind: Kind,
    /// Whether a table without this field is reported as faulty.
    pub required: bool,
    /// The purpose of the field, worded to complete the remedy "set it to ...".
    pub purpose: &'static str,
}

/// The type of a field's value and the limits on it.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A string without control characters.
    Text {
        /// The minimum length, in bytes.
        min_bytes: usize,
        /// The maximum length, in bytes.
        max_bytes: usize,
    },
    /// An integer within an inclusive range.
    Integer {
        /// The smallest accepted value.
        min: u64,
        /// The largest accepted value.
        max: u64,
    },
    /// A number within an inclusive range.
    Number {
        /// The smallest accepted value.
        min: f64,
        /// The largest accepted value.
        max: f64,
    },
    /// A TOML boolean, `true` or `false`.
    Boolean,
    /// A string with an IP address and a port other than 0.
    Address,
    /// A string with a SHA-256 digest in hexadecimal digits.
    Digest,
    /// One of the listed strings.
    Choice(&'static [&'static str]),
    /// An array of strings, each of which must be a valid [`NAME`].
    Texts {
        /// The maximum number of entries.
        max: usize,
    },
    /// A nested table with its own schema.
    Table(&'static Shape),
    /// An array of tables that share one schema.
    Tables {
        /// The schema of each entry.
        shape: &'static Shape,
        /// The maximum number of entries.
        max: usize,
    },
    /// A table whose keys are among the listed names and whose values are addresses.
    Addresses(&'static [&'static str]),
}

/// The maximum length of a name, in bytes.
pub const NAME_BYTES: usize = 128;

/// The kind of a name: a string of 1 to [`NAME_BYTES`] bytes.
pub const NAME: Kind = Kind::Text { min_bytes: 1, max_bytes: NAME_BYTES };

/// Parses a TOML text and adds its syntax errors to the findings.
///
/// The parser recovers from errors, so the returned table may be incomplete.
pub fn parse<'a>(text: &'a str, findings: &mut Findings) -> de::DeTable<'a> {
    let (table, errors) = de::DeTable::parse_recoverable(text);
    for error in errors {
        let start = error.span().map_or(0, |span| span.start);
        findings.add_at(start, error.message(), "correct the TOML syntax at this place");
    }
    table.into_inner()
}

/// Validates a TOML text against a schema and deserializes it.
///
/// The schema is checked only if the syntax is correct. Errors that only deserialization detects
/// are returned as faults too.
pub fn read<T: DeserializeOwned>(text: &str, shape: &'static Shape) -> Result<T, Faults> {
    let mut findings = Findings::default();
    let table = parse(text, &mut findings);
    if findings.is_empty() {
        check_table(&table, shape, &Path::default(), &mut findings);
    }
    if !findings.is_empty() {
        return Err(findings.into_faults(text));
    }
    toml::from_str(text).map_err(|error| {
        findings.add_at(
            error.span().map_or(0, |span| span.start),
            error.message(),
            "correct this value",
        );
        findings.into_faults(text)
    })
}

/// Checks a table and its nested values against a schema.
///
/// Adds a finding for each unknown field, invalid value and missing required field. `path` is the
/// path of the table in the text.
pub fn check_table(
    table: &de::DeTable<'_>,
    shape: &'static Shape,
    path: &Path,
    findings: &mut Findings,
) {
    for (name, value) in table {
        let name = name.get_ref().as_ref();
        let field_path = path.key(name);
        match shape.fields.iter().find(|field| field.name == name) {
            Some(field) => check_value(value.get_ref(), field, &field_path, findings),
            None => findings.add(field_path, "unknown field", unknown_remedy(name, shape)),
        }
    }
    let present: collections::BTreeSet<&str> =
        table.keys().map(|name| name.get_ref().as_ref()).collect();
    for field in shape.fields.iter().filter(|field| field.required) {
        if !present.contains(field.name) {
            findings.add(
                path.key(field.name),
                "missing field",
                format!("set it to {}", field.purpose),
            );
        }
    }
}

/// Returns the remedy for an unknown field.
///
/// Names longer than [`NAME_BYTES`] get no suggestion to correct the name.
fn unknown_remedy(name: &str, shape: &Shape) -> String {
    let known: Vec<&str> = shape.fields.iter().map(|field| field.name).collect();
    let known = known.join(", ");
    if name.len() > NAME_BYTES {
        return format!("remove it; the fields here are {known}");
    }
    format!("remove it or correct its name; the fields here are {known}")
}

fn check_value(value: &de::DeValue<'_>, field: &Field, path: &Path, findings: &mut Findings) {
    match field.kind {
        Kind::Table(shape) => match value.as_table() {
            Some(table) => check_table(table, shape, path, findings),
            None => wrong_type(value, "a table", field, path, findings),
        },
        Kind::Tables { shape, max } => match value.as_array() {
            Some(items) => check_tables(items, shape, max, path, findings),
            None => wrong_type(value, "a list of tables", field, path, findings),
        },
        Kind::Texts { max } => match value.as_array() {
            Some(items) => check_texts(items, field, max, path, findings),
            None => wrong_type(value, "a list of strings", field, path, findings),
        },
        Kind::Addresses(names) => match value.as_table() {
            Some(table) => check_addresses(table, names, field, path, findings),
            None => wrong_type(value, "a table of addresses", field, path, findings),
        },
        kind => check_scalar(value, kind, field, path, findings),
    }
}

fn check_tables(
    items: &[toml::Spanned<de::DeValue<'_>>],
    shape: &'static Shape,
    max: usize,
    path: &Path,
    findings: &mut Findings,
) {
    if items.len() > max {
        findings.add(
            path.clone(),
            format!("{} entries", items.len()),
            format!("keep at most {max}"),
        );
        return;
    }
    for (index, item) in items.iter().enumerate() {
        let entry_path = path.index(index);
        match item.get_ref().as_table() {
            Some(table) => check_table(table, shape, &entry_path, findings),
            None => findings.add(entry_path, "not a table", "write it as a table"),
        }
    }
}

fn check_texts(
    items: &[toml::Spanned<de::DeValue<'_>>],
    field: &Field,
    max: usize,
    path: &Path,
    findings: &mut Findings,
) {
    if items.len() > max {
        findings.add(
            path.clone(),
            format!("{} entries", items.len()),
            format!("keep at most {max}"),
        );
        return;
    }
    for (index, item) in items.iter().enumerate() {
        check_scalar(item.get_ref(), NAME, field, &path.index(index), findings);
    }
}

fn check_addresses(
    table: &de::DeTable<'_>,
    names: &[&str],
    field: &Field,
    path: &Path,
    findings: &mut Findings,
) {
    for (name, value) in table {
        let name = name.get_ref().as_ref();
        let field_path = path.key(name);
        if names.contains(&name) {
            check_scalar(value.get_ref(), Kind::Address, field, &field_path, findings);
        } else {
            findings.add(field_path, "unknown name", format!("use one of {}", names.join(", ")));
        }
    }
}

/// Checks a value that is neither a table nor an array; other kinds are ignored.
fn check_scalar(
    value: &de::DeValue<'_>,
    kind: Kind,
    field: &Field,
    path: &Path,
    findings: &mut Findings,
) {
    match kind {
        Kind::Boolean if !value.is_bool() => {
            wrong_type(value, "true or false", field, path, findings);
        }
        Kind::Integer { min, max } => match value.as_integer() {
            Some(integer) => check_integer(integer, min, max, path, findings),
            None => wrong_type(value, "a whole number", field, path, findings),
        },
        Kind::Number { min, max } => {
            let float = value.as_float().map(|float| float.as_str());
            match float.or_else(|| value.as_integer().map(|integer| integer.as_str())) {
                Some(text) => check_number(text, min, max, path, findings),
                None => wrong_type(value, "a number", field, path, findings),
            }
        }
        Kind::Text { min_bytes, max_bytes } => match value.as_str() {
            Some(text) => check_text(text, min_bytes, max_bytes, path, findings),
            None => wrong_type(value, "a string", field, path, findings),
        },
        Kind::Address => match value.as_str() {
            Some(text) => check_address(text, path, findings),
            None => {
                wrong_type(value, "a string with an IP address and a port", field, path, findings)
            }
        },
        Kind::Digest => match value.as_str() {
            Some(text) if hex::parse_digest(text).is_some() => {}
            _ => findings.add(
                path.clone(),
                "not a SHA-256 digest",
                "write its 64 hexadecimal digits, as `galenayard key create` prints them",
            ),
        },
        Kind::Choice(words) => match value.as_str() {
            Some(text) if words.contains(&text) => {}
            _ => findings.add(
                path.clone(),
                "unknown word",
                format!("use one of {}", words.join(", ")),
            ),
        },
        _ => {}
    }
}

fn check_integer(
    integer: &de::DeInteger<'_>,
    min: u64,
    max: u64,
    path: &Path,
    findings: &mut Findings,
) {
    let value = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
    if !value.is_some_and(|value| (min..=max).contains(&value)) {
        findings.add(path.clone(), "out of range", format!("use a number from {min} to {max}"));
    }
}

fn check_number(text: &str, min: f64, max: f64, path: &Path, findings: &mut Findings) {
    if !text.parse().is_ok_and(|value: f64| (min..=max).contains(&value)) {
        findings.add(path.clone(), "out of range", format!("use a number from {min} to {max}"));
    }
}

fn check_text(
    text: &str,
    min_bytes: usize,
    max_bytes: usize,
    path: &Path,
    findings: &mut Findings,
) {
    if text.len() < min_bytes || text.len() > max_bytes {
        findings.add(
            path.clone(),
            format!("{} bytes long", text.len()),
            format!("use {min_bytes} to {max_bytes} bytes"),
        );
    }
    if text.chars().any(char::is_control) {
        findings.add(path.clone(), "a control character", "remove it");
    }
}

fn check_address(text: &str, path: &Path, findings: &mut Findings) {
    match text.parse::<net::SocketAddr>() {
        Ok(address) if address.port() == 0 => {
            findings.add(path.clone(), "port 0", "name the port");
        }
        Ok(_) => {}
        Err(_) => findings.add(
            path.clone(),
            "not an IP address with a port",
            "write it as 192.0.2.1:8080 or [2001:db8::1]:8080",
        ),
    }
}

fn wrong_type(
    value: &de::DeValue<'_>,
    expected: &str,
    field: &Field,
    path: &Path,
    findings: &mut Findings,
) {
    let problem = format!("a TOML {} where {expected} belongs", value.type_str());
    findings.add(path.clone(), problem, format!("set it to {}", field.purpose));
}
