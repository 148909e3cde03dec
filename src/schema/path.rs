//! The path of a value within a TOML text, and the line that it stands on.

use std::fmt;

use toml::de;

/// The longest part of a path that is shown, in characters.
const SHOWN_KEY_CHARACTERS: usize = 64;

/// One step of a path.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Segment {
    Key(String),
    Index(usize),
}

/// Where a value stands in a text, from the outermost table on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Path {
    segments: Vec<Segment>,
}

impl Path {
    /// Returns the path of a field of the table at this path.
    pub fn key(&self, name: &str) -> Path {
        self.join(Segment::Key(name.to_string()))
    }

    /// Returns the path of an entry, counted from 0, of the list at this path.
    pub fn index(&self, index: usize) -> Path {
        self.join(Segment::Index(index))
    }

    fn join(&self, segment: Segment) -> Path {
        let mut segments = self.segments.clone();
        segments.push(segment);
        Path { segments }
    }

    /// Returns the byte at which the value, or the nearest table around it, begins.
    pub fn locate(&self, table: &de::DeTable<'_>) -> Option<usize> {
        let mut position = None;
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
            position = Some(start);
            value = Some(found);
        }
        position
    }
}

fn entry<'a, 'i>(table: &'a de::DeTable<'i>, name: &str) -> Option<(usize, &'a de::DeValue<'i>)> {
    table.get_key_value(name).map(|(key, value)| (key.span().start, value.get_ref()))
}

impl fmt::Display for Path {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, segment) in self.segments.iter().enumerate() {
            match segment {
                Segment::Key(name) => {
                    let separator = if position == 0 { "" } else { "." };
                    let shown: String = name.chars().take(SHOWN_KEY_CHARACTERS).collect();
                    write!(formatter, "{separator}{}", shown.escape_debug())?;
                }
                Segment::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}
