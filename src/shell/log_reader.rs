//! Reads a stream of the platform's log and passes each batch of records to the reducer.

use std::sync;
use std::time;

use tokio::time as tokio_time;

use crate::borders::platform;
use crate::core::event;
use crate::core::ids;
use crate::core::log;
use crate::shell::handle;

/// The pause after the first failed read; it doubles with every further failure in a row.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// The longest pause after a failed read.
const MAX_BACKOFF: time::Duration = time::Duration::from_millis(1_000);

/// Reads one stream until the process ends. Each read waits up to `wait` for new records.
pub async fn follow(
    log: sync::Arc<dyn platform::Log>,
    stream: log::Stream,
    wait: time::Duration,
    handle: handle::Handle,
) {
    let mut from = 1;
    let mut backoff = MIN_BACKOFF;
    loop {
        let requested_at = handle.now();
        match log.read(stream, from, wait).await {
            Ok(page) => {
                backoff = MIN_BACKOFF;
                from = next_offset(from, &page);
                let batch = log::Batch {
                    requested_at,
                    first: page.first,
                    next: page.next,
                    records: page.records,
                };
                handle.event(event::Event::Read { stream, batch }).await;
            }
            Err(failure) => {
                ::log::debug!(stream = stream.as_str(); "{failure}");
                metrics::counter!("galenayard_log_read_failures", "stream" => stream.as_str())
                    .increment(1);
                tokio_time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns the offset to read next: after the last record, and never before the first record that
/// the log still keeps or the offset just read.
fn next_offset(from: ids::Offset, page: &platform::Page) -> ids::Offset {
    let after_records = page.records.last().map(|record| record.offset + 1);
    after_records.unwrap_or(from).max(page.first).max(from)
}
