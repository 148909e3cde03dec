//! Faults found in a TOML text, each with its location and remedy.

use std::fmt;

use serde::{Deserialize, Serialize};
use toml::de;

use crate::schema::path;

/// The maximum number of faults reported for one text.
const MAX_FAULTS: usize = 200;

/// The number of faults that a summary lists; it only counts the others.
const MAX_SUMMARY_FAULTS: usize = 3;

/// A syntax error, or an invalid, unknown or missing value, in a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, such as `servers[2].id`; empty if the fault concerns the whole text
    /// or is located by its line alone.
    pub place: String,
    /// The line number, starting at 1; `None` if no position in the text is known.
    pub line: Option<usize>,
    /// A description of the fault.
    pub problem: String,
    /// How to correct the fault.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.place.is_empty() {
            write!(formatter, "{}: ", self.place)?;
        }
        write!(formatter, "{}; {}", self.problem, self.remedy)
    }
}

/// The faults of one text, ordered by their position in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Faults {
    /// The faults; if there are too many to report, the last entry says so.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// Creates a list of one fault that concerns a text as a whole.
    pub fn whole(problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        let fault = Fault {
            place: String::new(),
            line: None,
            problem: problem.into(),
            remedy: remedy.into(),
        };
        Self { faults: vec![fault] }
    }

    /// Returns the first faults and the number of the others on one line, for log messages.
    pub fn summary(&self) -> String {
        let shown: Vec<String> =
            self.faults.iter().take(MAX_SUMMARY_FAULTS).map(Fault::to_string).collect();
        let omitted = self.faults.len().saturating_sub(MAX_SUMMARY_FAULTS);
        let more = if omitted == 0 { String::new() } else { format!(" | and {omitted} more") };
        format!("{}{more}", shown.join(" | "))
    }

    /// Returns the message of each fault, in order.
    pub fn lines(&self) -> Vec<String> {
        self.faults.iter().map(Fault::to_string).collect()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.lines().join("\n"))
    }
}

/// The location of a finding: the path of a value, or a byte offset in the text.
#[derive(Debug, Clone)]
enum Location {
    Path(path::Path),
    Byte(usize),
}

/// Collects faults during validation, before their line numbers are known.
#[derive(Debug, Clone, Default)]
pub struct Findings {
    findings: Vec<(Location, String, String)>,
    truncated: bool,
}

impl Findings {
    /// Adds a fault in the value at a path.
    pub fn add(&mut self, path: path::Path, problem: impl Into<String>, remedy: impl Into<String>) {
        self.push(Location::Path(path), problem.into(), remedy.into());
    }

    /// Adds a fault at a byte offset in the text.
    pub fn add_at(&mut self, byte: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        self.push(Location::Byte(byte), problem.into(), remedy.into());
    }

    fn push(&mut self, location: Location, problem: String, remedy: String) {
        if self.findings.len() == MAX_FAULTS {
            self.truncated = true;
            return;
        }
        self.findings.push((location, problem, remedy));
    }

    /// Returns whether no faults have been added.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Resolves the line number of each fault and sorts the faults by their position in `text`.
    ///
    /// Faults without a known position are sorted as if they were at the start of the text.
    pub fn into_faults(self, text: &str) -> Faults {
        let (table, _) = de::DeTable::parse_recoverable(text);
        let mut located: Vec<(usize, Fault)> = self
            .findings
            .into_iter()
            .map(|finding| locate(finding, table.get_ref(), text))
            .collect();
        located.sort_by_key(|(byte, _)| *byte);
        let mut faults: Vec<Fault> = located.into_iter().map(|(_, fault)| fault).collect();
        if self.truncated {
            let problem = format!("more than {MAX_FAULTS} faults");
            faults.extend(Faults::whole(problem, "correct those above first").faults);
        }
        Faults { faults }
    }
}

/// Returns the fault for a finding, with its byte offset as the sort key.
fn locate(
    (location, problem, remedy): (Location, String, String),
    table: &de::DeTable<'_>,
    text: &str,
) -> (usize, Fault) {
    let (byte, place) = match location {
        Location::Path(path) => (path.locate(table), path.to_string()),
        Location::Byte(byte) => (Some(byte), String::new()),
    };
    let line = byte.map(|byte| line_of(text, byte));
    (byte.unwrap_or(0), Fault { place, line, problem, remedy })
}

/// Returns the line number, starting at 1, of a byte offset in a text.
pub fn line_of(text: &str, byte: usize) -> usize {
    text.bytes().take(byte).filter(|byte| *byte == b'\n').count() + 1
}
