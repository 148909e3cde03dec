//! Decoding of lists whose entries other systems write.

use serde::Deserialize as _;
use serde::de;
use serde_json::value;

/// Decodes the entries of a JSON list one by one and skips those that cannot be decoded, so that one
/// of them does not hide the others.
///
/// # Errors
///
/// Fails if the value is not a list.
pub fn readable_entries<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: de::Deserializer<'de>,
    T: de::DeserializeOwned,
{
    let entries = Vec::<Box<value::RawValue>>::deserialize(deserializer)?;
    let decode = |entry: &value::RawValue| {
        serde_json::from_str(entry.get())
            .inspect_err(|failure| log::warn!("ignoring an unreadable entry of a list: {failure}"))
            .ok()
    };
    Ok(entries.iter().filter_map(|entry| decode(entry)).collect())
}
