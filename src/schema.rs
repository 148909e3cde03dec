//! Checks TOML texts against a description of their fields and reports every fault at once.

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

/// The fields of a table.
#[derive(Debug)]
pub struct Shape {
    /// The fields; all others are refused.
    pub fields: &'static [Field],
}

/// One field of a table.
#[derive(Debug)]
pub struct Field {
    /// Its name.
    pub name: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// Whether the table is not complete without it.
    pub required: bool,
    /// What it is for, as a clause that completes "set it to".
    pub purpose: &'static str,
}

/// What a field holds.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A text without control characters.
    Text {
        /// The shortest text, in bytes.
        min_bytes: usize,
        /// The longest text, in bytes.
        max_bytes: usize,
    },
    /// A whole number.
    Integer {
        /// The smallest.
        min: u64,
        /// The largest.
        max: u64,
    },
    /// `true` or `false`.
    Boolean,
    /// An IP address with a port.
    Address,
    /// A SHA-256 digest in hexadecimal digits.
    Digest,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// A list of texts.
    Texts {
        /// The most of them.
        max: usize,
    },
    /// A table.
    Table(&'static Shape),
    /// A list of tables.
    Tables {
        /// The fields of each.
        shape: &'static Shape,
        /// The most of them.
        max: usize,
    },
    /// A table of addresses with one of several words as the key of each.
    Addresses(&'static [&'static str]),
}

/// The longest name of anything, in bytes.
pub const NAME_BYTES: usize = 128;

/// A name of one to [`NAME_BYTES`] bytes.
pub const NAME: Kind = Kind::Text { min_bytes: 1, max_bytes: NAME_BYTES };

/// Parses a text as a table; faults of syntax are added to the findings.
pub fn parse<'a>(text: &'a str, findings: &mut Findings) -> de::DeTable<'a> {
    let (table, errors) = de::DeTable::parse_recoverable(text);
    for error in errors {
        let start = error.span().map_or(0, |span| span.start);
        findings.add_at(start, error.message(), "correct the TOML syntax at this place");
    }
    table.into_inner()
}

/// Checks a text against a shape and reads it.
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

/// Checks the fields of a table.
pub fn check_table(
    table: &de::DeTable<'_>,
    shape: &'static Shape,
    path: &Path,
    findings: &mut Findings,
) {
    for (name, value) in table {
        let name = name.get_ref().as_ref();
        let place = path.key(name);
        match shape.fields.iter().find(|field| field.name == name) {
            Some(field) => check_value(value.get_ref(), field, &place, findings),
            None => findings.add(place, "unknown field", unknown_remedy(name, shape)),
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
        let place = path.index(index);
        match item.get_ref().as_table() {
            Some(table) => check_table(table, shape, &place, findings),
            None => findings.add(place, "not a table", "write it as a table"),
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
        let place = path.key(name);
        if names.contains(&name) {
            check_scalar(value.get_ref(), Kind::Address, field, &place, findings);
        } else {
            findings.add(place, "unknown name", format!("use one of {}", names.join(", ")));
        }
    }
}

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
    wanted: &str,
    field: &Field,
    path: &Path,
    findings: &mut Findings,
) {
    let problem = format!("a TOML {} where {wanted} belongs", value.type_str());
    findings.add(path.clone(), problem, format!("set it to {}", field.purpose));
}
