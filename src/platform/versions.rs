//! Keeps the software versions of services in a topic of the store.

use std::rc;
use std::time;

use crate::core::fleet;
use crate::core::fleet::constants;
use crate::core::fleet::streams;
use crate::core::fleet::versions;
use crate::core::ids;
use crate::platform::keeper;
use crate::platform::store;
use crate::platform::watch;
use crate::router::context;

/// The topic with the software versions of all services, and its only key.
const VERSIONS_TOPIC: &str = "keyed.software-versions";
const VERSIONS_KEY: &str = "fleet";

/// How often the writer reads them again: the store may be restored from an older copy.
const READ_INTERVAL: time::Duration = streams::RETENTION;

/// Reads the versions.
///
/// # Errors
///
/// Fails if the store does not return them. Versions that cannot be decoded count as none.
pub async fn read(
    keeper: &mut keeper::Keeper,
) -> Result<Vec<versions::ServiceVersions>, store::StoreError> {
    let value = keeper.read().await?;
    let decoded = value.map(|value| serde_json::from_slice(&value)).transpose();
    let versions = decoded.unwrap_or_else(|failure| {
        log::warn!("ignoring invalid software versions in the store: {failure}");
        None
    });
    Ok(versions.unwrap_or_default())
}

/// Creates a keeper of the versions.
pub fn keeper(store: store::Store) -> keeper::Keeper {
    keeper::Keeper::new(store, VERSIONS_TOPIC, VERSIONS_KEY)
}

/// Writes changed versions while this instance is the coordinator that writes to the store.
pub async fn write(store: store::Store, context: rc::Rc<context::Context>) {
    let mut keeper = keeper(store);
    // When the versions that the fleet state knows were read.
    let mut read_at: Option<ids::Timestamp> = None;
    loop {
        let change = context.version_change.notified();
        // Some versions go without a change of the list: their time has passed.
        let _ = tokio::time::timeout(constants::ORIGIN_WRITE_INTERVAL, change).await;
        let now = context.now();
        if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
            read_at = None;
            continue;
        }
        if read_at.is_none_or(|read| now.saturating_sub(read) >= READ_INTERVAL) {
            read_at = None;
        }
        match maintain(&mut keeper, read_at.is_none(), &context).await {
            Ok(()) => {
                read_at.get_or_insert(now);
            }
            Err(failure) => {
                log::warn!("cannot keep the software versions in the store yet: {failure}");
                // The write may have been carried out.
                read_at = None;
                tokio::time::sleep(watch::RETRY_PAUSE).await;
            }
        }
    }
}

/// Writes the versions if they differ from those in the store, which are read first if `reads`.
async fn maintain(
    keeper: &mut keeper::Keeper,
    reads: bool,
    context: &context::Context,
) -> Result<(), store::StoreError> {
    if reads {
        let stored = read(keeper).await?;
        context.apply(fleet::Event::SoftwareVersionsRead(stored));
    }
    let now = context.now();
    let Some(versions) = context.read(|fleet| fleet.versions_to_store(now)) else { return Ok(()) };
    let value = match serde_json::to_vec(&versions) {
        Ok(value) => value,
        Err(failure) => {
            log::error!("cannot encode the software versions: {failure}");
            return Ok(());
        }
    };
    keeper.write(&value).await?;
    log::info!("the store names these software versions: {}", String::from_utf8_lossy(&value));
    context.apply(fleet::Event::SoftwareVersionsRead(versions));
    Ok(())
}

#[cfg(test)]
mod tests;
