//! Reads entries of backend servers from their format in the store.

use std::net;

use bytes::Bytes;

use crate::core::fleet::servers;
use crate::core::ids;

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    service: String,
    address: net::SocketAddr,
    zone: String,
    slots: u32,
    state: State,
    /// The version of the server's software, not of the weights.
    #[serde(rename = "Version")]
    software_version: String,
    #[serde(default)]
    cold_remaining_ms: Option<f64>,
    #[serde(default)]
    stage: Option<servers::Stage>,
    /// When the server started, in Unix time: milliseconds since 1970.
    #[serde(default, rename = "born")]
    born_ms: u64,
}

#[derive(Debug, PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Why an entry names no server to use.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// A field is missing or of another type.
    #[error("its fields are invalid: {0}")]
    Fields(#[from] serde_json::Error),
    /// Its id cannot be the value of a header, with which every request names its server.
    #[error("its id is not visible ASCII text")]
    Id,
}

/// Reads a server's entry.
///
/// # Errors
///
/// Fails if the id or a field is invalid; the server is then not used.
pub fn read(
    id: ids::ServerId,
    value: &[u8],
    offset: ids::StorePosition,
) -> Result<servers::Entry, EntryError> {
    if id.is_empty() || !id.iter().all(u8::is_ascii_graphic) {
        return Err(EntryError::Id);
    }
    let read: Entry = serde_json::from_slice(value)?;
    Ok(servers::Entry {
        id,
        service: read.service.into(),
        address: read.address,
        domain: read.zone,
        slots: read.slots,
        is_draining: read.state == State::Draining,
        stage: read.stage,
        cold_ms: read.cold_remaining_ms.unwrap_or(0.0).max(0.0) as u32,
        lacks_cold_time: read.cold_remaining_ms.is_none(),
        born_ms: read.born_ms,
        software_version: Some(read.software_version.into()),
        offset,
    })
}

/// Converts a record of the servers' topic into a change of the list of servers; returns `None` if
/// its entry is invalid.
pub fn listing(
    key: Bytes,
    value: Option<&[u8]>,
    offset: ids::StorePosition,
) -> Option<servers::EntryChange> {
    let Some(value) = value else {
        return Some(servers::EntryChange::Removed { id: key, offset });
    };
    match read(key.clone(), value, offset) {
        Ok(entry) => Some(servers::EntryChange::Put(entry)),
        Err(failure) => {
            let name = String::from_utf8_lossy(&key);
            log::warn!(
                "ignoring the invalid entry of server {name:?} at offset {offset}: {failure}"
            );
            None
        }
    }
}
