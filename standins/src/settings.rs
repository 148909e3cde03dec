//! Settings of stand-ins, from arguments or TOML tables.

use std::time::Duration;

use serde::de::{DeserializeOwned, Deserializer};
use serde::{Deserialize, Serialize};
use toml::{Table, Value};

/// A setting that is not understood.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// An argument does not begin with two dashes.
    #[error("unexpected argument {0}; write settings as --name value")]
    Stray(String),
    /// A setting is unknown or has a value of the wrong kind.
    #[error("{0}; see --help")]
    Invalid(#[from] toml::de::Error),
}

/// Collects arguments of the form `--some-name value` in a table under `some_name`.
///
/// # Errors
///
/// Fails on an argument that belongs to no name.
pub fn from_arguments(arguments: Vec<String>) -> Result<Table, Fault> {
    let mut table = Table::new();
    let mut arguments = arguments.into_iter().peekable();
    while let Some(argument) = arguments.next() {
        let Some(name) = argument.strip_prefix("--") else { return Err(Fault::Stray(argument)) };
        let text = arguments.next_if(|next| !next.starts_with("--"));
        let value = text.map_or(Value::Boolean(true), |text| parse_value(&text));
        table.insert(name.replace('-', "_"), value);
    }
    Ok(table)
}

/// Reads one setting out of a table.
///
/// # Errors
///
/// Fails if the value has the wrong kind.
pub fn take<T: DeserializeOwned + Default>(table: &mut Table, name: &str) -> Result<T, Fault> {
    Ok(table.remove(name).map(Value::try_into).transpose()?.unwrap_or_default())
}

/// Reads a time in milliseconds.
///
/// # Errors
///
/// Fails if it is not a number of at least zero.
pub fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let time_ms = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(time_ms / 1_000.0).map_err(serde::de::Error::custom)
}

/// One value, or several.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "OneOrMany")]
pub struct Numbers(pub Vec<f64>);

#[derive(Deserialize)]
#[serde(untagged)]
enum OneOrMany {
    One(f64),
    Many(Vec<f64>),
}

impl From<OneOrMany> for Numbers {
    fn from(values: OneOrMany) -> Self {
        match values {
            OneOrMany::One(value) => Self(vec![value]),
            OneOrMany::Many(values) => Self(values),
        }
    }
}

impl Numbers {
    /// The value at `index`, counted round; 1 if there is none.
    pub fn nth(&self, index: usize) -> f64 {
        self.0.get(index % self.0.len().max(1)).copied().unwrap_or(1.0)
    }
}

fn parse_value(text: &str) -> Value {
    let parse = |text: &str| toml::from_str::<Table>(&format!("value = {text}"));
    let parsed = parse(text).or_else(|_| parse(&format!("[{text}]")));
    let value = parsed.ok().and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| Value::String(text.to_owned()))
}
