//! What is wrong with a text, with its place and remedy.

use std::fmt;

use serde::{Deserialize, Serialize};
use toml::de;

use crate::schema::path;

/// The most faults that are reported of one text.
const MAX_FAULTS: usize = 200;

/// The faults that a summary names.
const SUMMARY_FAULTS: usize = 3;

/// One thing that is wrong with a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, such as `servers[2].id`; empty for the whole text.
    pub place: String,
    /// The line of the field, from 1; `None` if the place has no line of its own.
    pub line: Option<usize>,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
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

/// Everything that is wrong with a text, in the order of the text.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct Faults {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// Creates a report of one fault of a whole text.
    pub fn whole(problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        let fault = Fault {
            place: String::new(),
            line: None,
            problem: problem.into(),
            remedy: remedy.into(),
        };
        Self { faults: vec![fault] }
    }

    /// Returns the first faults on one line, for a log.
    pub fn summary(&self) -> String {
        let shown: Vec<String> =
            self.faults.iter().take(SUMMARY_FAULTS).map(Fault::to_string).collect();
        let rest = self.faults.len().saturating_sub(SUMMARY_FAULTS);
        let more = if rest == 0 { String::new() } else { format!(" | and {rest} more") };
        format!("{}{more}", shown.join(" | "))
    }

    /// Returns one line for each fault.
    pub fn lines(&self) -> Vec<String> {
        self.faults.iter().map(Fault::to_string).collect()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.lines().join("\n"))
    }
}

/// Where a finding stands.
#[derive(Debug, Clone)]
enum Place {
    Path(path::Path),
    Byte(usize),
}

/// Faults as they are found, before their lines are known.
#[derive(Debug, Clone, Default)]
pub struct Findings {
    findings: Vec<(Place, String, String)>,
    truncated: bool,
}

impl Findings {
    /// Adds a fault of the value at a path.
    pub fn add(&mut self, path: path::Path, problem: impl Into<String>, remedy: impl Into<String>) {
        self.push(Place::Path(path), problem.into(), remedy.into());
    }

    /// Adds a fault at a byte of the text.
    pub fn add_at(&mut self, byte: usize, problem: impl Into<String>, remedy: impl Into<String>) {
        self.push(Place::Byte(byte), problem.into(), remedy.into());
    }

    fn push(&mut self, place: Place, problem: String, remedy: String) {
        if self.findings.len() == MAX_FAULTS {
            self.truncated = true;
            return;
        }
        self.findings.push((place, problem, remedy));
    }

    /// Returns whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Finds the line of each fault and puts the faults in the order of the text.
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

fn locate(
    (place, problem, remedy): (Place, String, String),
    table: &de::DeTable<'_>,
    text: &str,
) -> (usize, Fault) {
    let (byte, place) = match place {
        Place::Path(path) => (path.locate(table), path.to_string()),
        Place::Byte(byte) => (Some(byte), String::new()),
    };
    let line = byte.map(|byte| line_of(text, byte));
    (byte.unwrap_or(0), Fault { place, line, problem, remedy })
}

/// Returns the line, from 1, that a byte of a text stands on.
pub fn line_of(text: &str, byte: usize) -> usize {
    text.bytes().take(byte).filter(|byte| *byte == b'\n').count() + 1
}
