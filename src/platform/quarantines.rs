//! Keeps the quarantines of requests that crash servers in a topic of the store, for instances that
//! start after all others were lost.

use std::rc;
use std::time;

use bytes::Bytes;

use crate::core::fleet;
use crate::core::fleet::constants;
use crate::core::fleet::quarantine;
use crate::platform::keeper;
use crate::platform::store;
use crate::platform::watch;
use crate::router::clock;
use crate::router::context;

/// The topic with the quarantines, and its only key.
const QUARANTINES_TOPIC: &str = "keyed.quarantines";
const QUARANTINES_KEY: &str = "fleet";

/// The maximum number of quarantines in the store, well below the maximum size of a record.
const MAX_STORED: usize = 64;

/// The interval at which quarantines are written again: the store may be restored from an older copy.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(20);

/// The stored quarantines, and when they were written, in milliseconds since the Unix epoch.
#[derive(serde::Serialize, serde::Deserialize)]
struct Record {
    written_ms: u64,
    quarantines: Vec<quarantine::Report>,
}

/// Starts the task that reads the quarantines and writes those that are new.
pub fn start(store: store::Store, context: &rc::Rc<context::Context>) {
    tokio::task::spawn_local(maintain(store, rc::Rc::clone(context)));
}

async fn maintain(store: store::Store, context: rc::Rc<context::Context>) {
    let mut keeper = keeper::Keeper::new(store, QUARANTINES_TOPIC, QUARANTINES_KEY);
    let mut has_failed = false;
    // What is written replaces what is stored, so it has to be known first.
    loop {
        match keeper.read().await {
            Ok(value) => {
                apply(&context, value.as_ref());
                break;
            }
            Err(failure) if !std::mem::replace(&mut has_failed, true) => {
                log::warn!("cannot read the quarantines yet, retrying: {failure}");
            }
            Err(failure) => log::debug!("cannot read the quarantines yet: {failure}"),
        }
        tokio::time::sleep(watch::RETRY_PAUSE).await;
    }
    let mut repeats_at = context.now();
    loop {
        tokio::time::sleep(constants::QUARANTINE_WRITE_INTERVAL).await;
        let now = context.now();
        if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
            continue;
        }
        if now >= repeats_at && context.read(|fleet| !fleet.quarantines(now).is_empty()) {
            repeats_at = now + REPEAT_INTERVAL;
            context.read(|fleet| fleet.put_back_quarantines());
        }
        write(&mut keeper, &context).await;
    }
}

async fn write(keeper: &mut keeper::Keeper, context: &context::Context) {
    let now = context.now();
    let Some(mut quarantines) = context.read(|fleet| fleet.take_unstored_quarantines(now)) else {
        return;
    };
    quarantines.sort_by_key(|quarantine| std::cmp::Reverse(quarantine.remaining_ms));
    quarantines.truncate(MAX_STORED);
    let record = Record { written_ms: clock::unix_ms(), quarantines };
    let value = match serde_json::to_vec(&record) {
        Ok(value) => value,
        Err(failure) => return log::error!("cannot encode the quarantines: {failure}"),
    };
    if let Err(failure) = keeper.replace(&value).await {
        log::warn!("cannot write the quarantines yet: {failure}");
        context.read(|fleet| fleet.put_back_quarantines());
        tokio::time::sleep(watch::RETRY_PAUSE).await;
    }
}

/// Applies the stored quarantines, with the time that has passed since they were written.
fn apply(context: &context::Context, value: Option<&Bytes>) {
    let Some(value) = value else { return };
    match serde_json::from_slice::<Record>(value) {
        Ok(mut record) => {
            let passed_ms = clock::unix_ms().saturating_sub(record.written_ms);
            let passed = time::Duration::from_millis(passed_ms);
            log::info!("{} quarantines were stored {passed:?} ago", record.quarantines.len());
            for quarantine in &mut record.quarantines {
                quarantine.remaining_ms = quarantine.remaining_ms.saturating_sub(passed_ms);
            }
            record.quarantines.retain(|quarantine| quarantine.remaining_ms > 0);
            context.apply(fleet::Event::QuarantinesRead(record.quarantines));
        }
        Err(failure) => log::warn!("ignoring invalid quarantines in the store: {failure}"),
    }
}

#[cfg(test)]
mod tests;
