//! Keeps the software versions of services in a topic of the store.

use std::rc;
use std::time;

use crate::core::fleet;
use crate::core::fleet::constants;
use crate::core::fleet::streams;
use crate::core::fleet::versions;
use crate::core::ids;
use crate::platform::store;
use crate::platform::watch;
use crate::router::context;

/// The topic with the software versions of all services, and its only key.
const VERSIONS_TOPIC: &str = "keyed.software-versions";
const VERSIONS_KEY: &str = "fleet";

/// How often the writer reads them again: the store may be restored from an older copy.
const READ_INTERVAL: time::Duration = streams::RETENTION;

/// The stored versions, and the end of the topic when they were read.
type Stored = (Vec<versions::ServiceVersions>, ids::Offset);

/// Reads the versions.
///
/// # Errors
///
/// Fails if the store does not return them. Versions that cannot be decoded count as none.
pub async fn read(store: &mut store::Store) -> Result<Stored, store::StoreError> {
    let records = store.newest(VERSIONS_TOPIC).await?;
    let value = records.records.iter().find_map(|record| record.value.as_ref());
    let decoded = value.map(|value| serde_json::from_slice(value)).transpose();
    let versions = decoded.unwrap_or_else(|failure| {
        log::warn!("ignoring invalid software versions in the store: {failure}");
        None
    });
    Ok((versions.unwrap_or_default(), records.next))
}

/// Writes changed versions while this instance is the coordinator that writes to the store.
pub async fn write(mut store: store::Store, context: rc::Rc<context::Context>) {
    // The end of the topic after the versions that the fleet state knows, and when they were read.
    let mut known: Option<(ids::Offset, ids::Timestamp)> = None;
    loop {
        let change = context.version_change.notified();
        // Some versions go without a change of the list: their time has passed.
        let _ = tokio::time::timeout(constants::ORIGIN_WRITE_INTERVAL, change).await;
        let now = context.now();
        if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
            known = None;
            continue;
        }
        let is_read = known.is_some_and(|(_, read)| now.saturating_sub(read) < READ_INTERVAL);
        let result = match known.filter(|_| is_read) {
            Some((end, read)) => {
                write_change(&mut store, &context, end).await.map(|end| (end, read))
            }
            None => refresh(&mut store, &context).await.map(|end| (end, now)),
        };
        match result {
            Ok(current) => known = Some(current),
            Err(failure) => {
                log::warn!("cannot keep the software versions in the store yet: {failure}");
                // The write may have been carried out.
                known = None;
                tokio::time::sleep(watch::RETRY_PAUSE).await;
            }
        }
    }
}

async fn refresh(
    store: &mut store::Store,
    context: &context::Context,
) -> Result<ids::Offset, store::StoreError> {
    let (stored, end) = read(store).await?;
    context.apply(fleet::Event::SoftwareVersionsRead(stored));
    write_change(store, context, end).await
}

/// Writes the versions if they differ from those in the store; returns the end of the topic.
async fn write_change(
    store: &mut store::Store,
    context: &context::Context,
    end: ids::Offset,
) -> Result<ids::Offset, store::StoreError> {
    let now = context.now();
    let Some(versions) = context.read(|fleet| fleet.versions_to_store(now)) else {
        return Ok(end);
    };
    let value = match serde_json::to_vec(&versions) {
        Ok(value) => value,
        Err(failure) => {
            log::error!("cannot encode the software versions: {failure}");
            return Ok(end);
        }
    };
    store.append_at(VERSIONS_TOPIC, VERSIONS_KEY, &value, end).await?;
    log::info!("the store names these software versions: {}", String::from_utf8_lossy(&value));
    context.apply(fleet::Event::SoftwareVersionsRead(versions));
    Ok(end + 1)
}

#[cfg(test)]
mod tests;
