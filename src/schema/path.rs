//! Paths of values within a TOML text, and their positions in it.

use std::fmt;

use toml::de;

/// The number of characters after which a key is cut off when a path is displayed.
const MAX_SHOWN_KEY_CHARS: usize = 64;

/// A table key or an array index within a path.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Segment {
    Key(String),
    Index(usize),
}

/// The keys and array indices that lead from the root table to a value.
///
/// The default path is empty and refers to the root table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Path {
    segments: Vec<Segment>,
}

impl Path {
    /// Returns the path of the field `name` of the table at this path.
    pub fn key(&self, name: &str) -> Path {
        self.join(Segment::Key(name.to_string()))
    }

    /// Returns the path of an entry of the array at this path; indices start at 0.
    pub fn index(&self, index: usize) -> Path {
        self.join(Segment::Index(index))
    }

    fn join(&self, segment: Segment) -> Path {
        let mut segments = self.segments.clone();
        segments.push(segment);
        Path { segments }
    }

    /// Returns the byte offset of the value at this path.
    ///
    /// If the value is missing, returns the offset of its nearest enclosing value that exists, or
    /// `None` if the path is empty or its first key is missing. The offset of a field is that of
    /// its key.
    pub fn locate(&self, table: &de::DeTable<'_>) -> Option<usize> {
        let mut offset = None;
        let mut value: Option<&de::DeValue<'_>> = None;
        for segment in &self.segments {
            let next = match (segment, value) {
                (Segment::Key(name), None) => entry(table, name),
                (Segment::Key(name), Some(value)) => {
                    value.as_table().and_then(|table| entry(table, name))
                }
                (Segment::Index(index), value) => value
                    .and_then(de::DeValue::as_array)
                    .and_then(|items| items.get(*index))
                    .map(|item| (item.span().start, item.get_ref())),
            };
            let Some((start, found)) = next else { break };
            offset = Some(start);
            value = Some(found);
        }
        offset
    }
}

/// Returns the byte offset of a key in a table, and its value.
fn entry<'a, 'i>(table: &'a de::DeTable<'i>, name: &str) -> Option<(usize, &'a de::DeValue<'i>)> {
    table.get_key_value(name).map(|(key, value)| (key.span().start, value.get_ref()))
}

impl fmt::Display for Path {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, segment) in self.segments.iter().enumerate() {
            match segment {
                Segment::Key(name) => {
                    let separator = if position == 0 { "" } else { "." };
                    let shown: String = name.chars().take(MAX_SHOWN_KEY_CHARS).collect();
                    write!(formatter, "{separator}{}", shown.escape_debug())?;
                }
                Segment::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}
