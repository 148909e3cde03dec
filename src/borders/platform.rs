//! The platform's log and its list of instances.

use std::time;

use bytes::Bytes;
use futures_util::future;

use crate::core::ids;
use crate::core::log;
use crate::core::membership;

pub mod http_instances;
pub mod http_log;

/// The platform did not answer, or not in time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "the platform's {service} at {address} did not answer: {problem}; check the [platform] settings and the service"
)]
pub struct Unavailable {
    /// Which service.
    pub service: &'static str,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// What went wrong.
    pub problem: String,
}

/// Records that a read returned, without the time of the read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that the log still keeps.
    pub first: ids::Offset,
    /// The offset after the newest record.
    pub next: ids::Offset,
    /// The records from the requested offset on.
    pub records: Vec<log::Record>,
}

/// The platform's append-only log.
pub trait Log: Send + Sync {
    /// Appends a record to a stream.
    fn append(&self, stream: log::Stream, body: Bytes)
    -> future::BoxFuture<'_, log::AppendOutcome>;

    /// Reads records from an offset on; waits up to `wait` for the first one.
    fn read(
        &self,
        stream: log::Stream,
        from: ids::Offset,
        wait: time::Duration,
    ) -> future::BoxFuture<'_, Result<Page, Unavailable>>;
}

/// The platform's list of instances.
pub trait Instances: Send + Sync {
    /// Reads the list, which lags.
    fn list(&self) -> future::BoxFuture<'_, Result<Vec<membership::ListedInstance>, Unavailable>>;
}
