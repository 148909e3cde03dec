//! Checks TOML texts against a description of their fields and reports every fault at once.

use std::fmt;

/// One thing that is wrong with a text.
#[derive(Debug, Clone, PartialEq, Eq)]
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
#[derive(Debug, Clone, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults {
    /// The faults.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{fault}")?;
        }
        Ok(())
    }
}
