//! The result of a run as a table.

use std::fmt::{self, Display, Formatter};

use serde::Serialize;
use serde_json::Value;

use super::{fleet, judge};

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time for which requests were sent.
    pub seconds: f64,
    /// Factor on the rates of arrival.
    pub scale: f64,
    /// The figures.
    pub figures: judge::Figures,
    /// What the instances cost, if the tool has started them.
    pub cost: Option<fleet::Cost>,
}

impl Display for Report {
    fn fmt(&self, output: &mut Formatter<'_>) -> fmt::Result {
        rows(output, &serde_json::to_value(self).map_err(|_| fmt::Error)?)
    }
}

/// Writes a row for each field; groups of figures take a row for each of their fields.
fn rows(output: &mut Formatter<'_>, value: &Value) -> fmt::Result {
    for (name, value) in value.as_object().into_iter().flatten() {
        match (name.as_str(), value) {
            ("figures" | "cost" | "violations" | "refusals", Value::Object(_)) => {
                rows(output, value)?;
            }
            (_, Value::Array(entries)) => {
                for entry in entries {
                    row(output, name, entry)?;
                }
            }
            _ => row(output, name, value)?,
        }
    }
    Ok(())
}

fn row(output: &mut Formatter<'_>, name: &str, value: &Value) -> fmt::Result {
    let text = match value {
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| format!("{name} {}", scalar(value)));
            fields.collect::<Vec<_>>().join(", ")
        }
        _ => scalar(value),
    };
    writeln!(output, "{name:<28} {text}")
}

fn scalar(value: &Value) -> String {
    match value {
        Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        Value::String(text) => text.clone(),
        _ => value.to_string(),
    }
}
