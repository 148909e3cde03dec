//! Keeps the origins of streams in a topic of the store, from which expired records disappear.

use std::rc;
use std::time;

use crate::core::fleet;
use crate::core::fleet::constants;
use crate::core::fleet::streams;
use crate::core::ids;
use crate::platform::keeper;
use crate::platform::store;
use crate::platform::versions;
use crate::platform::watch;
use crate::router::context;

/// The topic with the origins of streams; each record has those of several.
const ORIGINS_TOPIC: &str = "stream-origins";

/// Starts the tasks that write and read origins.
pub fn start<F: Fn() -> store::Store>(new_store: F, context: &rc::Rc<context::Context>) {
    tokio::task::spawn_local(write(new_store(), rc::Rc::clone(context)));
    tokio::task::spawn_local(versions::write(new_store(), rc::Rc::clone(context)));
    tokio::task::spawn_local(answer_lookups(new_store(), new_store(), rc::Rc::clone(context)));
}

/// Writes new origins while this instance is the coordinator that writes to the store.
async fn write(mut store: store::Store, context: rc::Rc<context::Context>) {
    loop {
        tokio::time::sleep(constants::ORIGIN_WRITE_INTERVAL).await;
        let now = context.now();
        if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
            continue;
        }
        let origins = context.read(|fleet| fleet.take_unstored_origins(now));
        if origins.is_empty() {
            continue;
        }
        let record = match rmp_serde::to_vec(&origins) {
            Ok(record) => record,
            Err(failure) => {
                log::error!("cannot encode the origins of streams: {failure}");
                continue;
            }
        };
        if let Err(failure) = store.append(ORIGINS_TOPIC, "", &record).await {
            log::warn!("cannot write the origins of {} streams yet: {failure}", origins.len());
            context.read(|fleet| fleet.put_back_origins(&origins));
            tokio::time::sleep(watch::RETRY_PAUSE).await;
        }
    }
}

/// Reads the origins that were added since the last lookup, whenever a lookup needs them.
async fn answer_lookups(
    versions: store::Store,
    origins: store::Store,
    context: rc::Rc<context::Context>,
) {
    let mut keeper = versions::keeper(versions);
    let mut reader = Reader { store: origins, next: 0, era: None };
    loop {
        context.origin_lookup.notified().await;
        if let Err(failure) = answer_lookup(&mut keeper, &mut reader, &context).await {
            // The fleet state asks again while a request waits.
            log::warn!("cannot read the origins of streams: {failure}");
        }
    }
}

async fn answer_lookup(
    keeper: &mut keeper::Keeper,
    reader: &mut Reader,
    context: &context::Context,
) -> Result<(), store::StoreError> {
    let stored = versions::read(keeper).await?;
    let origins = reader.read().await?;
    context.apply(fleet::Event::SoftwareVersionsRead(stored));
    context.apply(fleet::Event::StreamOriginsRead(origins));
    Ok(())
}

struct Reader {
    store: store::Store,
    /// The offset of the next record.
    next: ids::Offset,
    era: Option<u64>,
}

impl Reader {
    async fn read(&mut self) -> Result<Vec<streams::Origin>, store::StoreError> {
        let mut origins = Vec::new();
        loop {
            let read = self.store.read(ORIGINS_TOPIC, self.next, time::Duration::ZERO).await;
            let records = match read {
                Err(store::StoreError::Deleted { first: Some(first) }) if first > self.next => {
                    self.next = first;
                    continue;
                }
                Err(failure @ store::StoreError::Truncated { offset }) => {
                    log::warn!("ignoring origins of streams: {failure}");
                    self.next = offset + 1;
                    continue;
                }
                other => other?,
            };
            let is_restored = self.era.is_some_and(|era| era < records.era);
            self.era = Some(records.era);
            if is_restored {
                // Offsets are given out again after the store was restored from a copy.
                self.next = 0;
                continue;
            }
            self.next = records.next;
            if records.records.is_empty() {
                return Ok(origins);
            }
            origins.extend(records.records.iter().flat_map(decode));
        }
    }
}

fn decode(record: &store::Record) -> Vec<streams::Origin> {
    let value = record.value.as_deref().unwrap_or_default();
    rmp_serde::from_slice(value).unwrap_or_else(|failure| {
        log::warn!("ignoring invalid origins of streams at {}: {failure}", record.position);
        Vec::new()
    })
}

#[cfg(test)]
mod tests;
