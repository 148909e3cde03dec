//! Client interfaces for the platform's services: the log and the list of instances.

use std::time;

use bytes::Bytes;
use futures_util::future;

use crate::core::ids;
use crate::core::log;
use crate::core::membership;

pub mod http_instances;
pub mod http_log;

/// A service of the platform sent no usable response in time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "the platform's {service} at {address} is unavailable: {problem}; check the [platform] settings and the service"
)]
pub struct Unavailable {
    /// The service: `log` or `instance list`.
    pub service: &'static str,
    /// The address of the service.
    pub address: std::net::SocketAddr,
    /// The problem that occurred.
    pub problem: String,
}

/// A page of records that a read of the log returned.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that the log retains.
    pub first: ids::Offset,
    /// The offset after the newest record.
    pub next: ids::Offset,
    /// The records from the requested offset on, in order.
    pub records: Vec<log::Record>,
}

/// The platform's append-only log.
pub trait Log: Send + Sync {
    /// Appends a record to a stream.
    fn append(&self, stream: log::Stream, body: Bytes)
    -> future::BoxFuture<'_, log::AppendOutcome>;

    /// Reads records from an offset on; long-polls up to `wait` for the first one.
    fn read(
        &self,
        stream: log::Stream,
        from: ids::Offset,
        wait: time::Duration,
    ) -> future::BoxFuture<'_, Result<Page, Unavailable>>;
}

/// The platform's list of instances.
pub trait Instances: Send + Sync {
    /// Reads the list, which may be out of date.
    fn list(&self) -> future::BoxFuture<'_, Result<Vec<membership::ListedInstance>, Unavailable>>;
}
