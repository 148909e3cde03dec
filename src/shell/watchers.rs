//! Polls the engines that this instance schedules: load, held requests and cache events.

use std::net;
use std::sync;
use std::time;

use tokio::sync as tokio_sync;
use tokio::task;
use tokio::time as tokio_time;

use crate::borders::engines;
use crate::core::collections;
use crate::core::event;
use crate::core::ids;
use crate::core::placement;
use crate::shell::handle;

/// The interval between two reads of an engine's load.
const LOAD_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The number of reads of the load per read of the held requests.
const LOAD_READS_PER_HELD_READ: u32 = 2;

/// The pause after a failed read of an engine's cache or its events.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(500);

/// The tasks that poll engines, by server.
pub struct Watchers {
    engines: sync::Arc<dyn engines::Engines>,
    handle: handle::Handle,
    watched: collections::Map<ids::ServerId, Watched>,
}

struct Watched {
    address: net::SocketAddr,
    resynchronise: sync::Arc<tokio_sync::Notify>,
    tasks: [task::JoinHandle<()>; 2],
}

impl Drop for Watched {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Watchers {
    /// Creates an empty set of watchers.
    pub fn new(engines: sync::Arc<dyn engines::Engines>, handle: handle::Handle) -> Self {
        Self { engines, handle, watched: collections::Map::default() }
    }

    /// Polls exactly these engines: starts and stops tasks as needed.
    pub fn set(&mut self, servers: Vec<(ids::ServerId, net::SocketAddr)>) {
        let requested: collections::Map<_, _> = servers.into_iter().collect();
        self.watched.retain(|server, watched| requested.get(server) == Some(&watched.address));
        for (server, address) in requested {
            if !self.watched.contains_key(&server) {
                let watched = self.start(server.clone(), address);
                self.watched.insert(server, watched);
            }
        }
    }

    /// Requests another read of the complete contents of an engine's prefix cache.
    pub fn resynchronise(&self, server: &ids::ServerId) {
        if let Some(watched) = self.watched.get(server) {
            watched.resynchronise.notify_one();
        }
    }

    fn start(&self, server: ids::ServerId, address: net::SocketAddr) -> Watched {
        let resynchronise = sync::Arc::new(tokio_sync::Notify::new());
        let watcher = Watcher {
            engines: sync::Arc::clone(&self.engines),
            handle: self.handle.clone(),
            server,
            address,
            resynchronise: sync::Arc::clone(&resynchronise),
        };
        let tasks =
            [tokio::spawn(watcher.clone().follow_load()), tokio::spawn(watcher.follow_cache())];
        Watched { address, resynchronise, tasks }
    }
}

#[derive(Clone)]
struct Watcher {
    engines: sync::Arc<dyn engines::Engines>,
    handle: handle::Handle,
    server: ids::ServerId,
    address: net::SocketAddr,
    resynchronise: sync::Arc<tokio_sync::Notify>,
}

impl Watcher {
    async fn follow_load(self) {
        let mut interval = tokio_time::interval(LOAD_INTERVAL);
        interval.set_missed_tick_behavior(tokio_time::MissedTickBehavior::Delay);
        let mut round = 0_u32;
        loop {
            interval.tick().await;
            round = round.wrapping_add(1);
            if let Ok(load) = self.engines.load(self.server.clone(), self.address).await {
                self.handle.event(event::Event::LoadReported(load)).await;
            }
            if round.is_multiple_of(LOAD_READS_PER_HELD_READ) {
                self.read_held_requests().await;
            }
        }
    }

    async fn read_held_requests(&self) {
        if let Ok(held) = self.engines.list_requests(self.address).await {
            let server = self.server.clone();
            self.handle.event(event::Event::HeldRequestsListed { server, held }).await;
        }
    }

    async fn follow_cache(self) {
        let mut next = None;
        loop {
            let outcome = match next {
                None => self.read_cache().await,
                Some(from) => tokio::select! {
                    () = self.resynchronise.notified() => Ok(None),
                    outcome = self.read_events(from) => outcome,
                },
            };
            match outcome {
                Ok(from) => next = from,
                Err(failure) => {
                    log::debug!("{failure}");
                    tokio_time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Reads the complete contents of the cache and returns the sequence number of the next event.
    async fn read_cache(&self) -> Result<Option<u64>, engines::QueryError> {
        let change = self.engines.read_cache(self.address).await?;
        let next = match &change {
            placement::CacheEvent::Snapshot { sequence, .. }
            | placement::CacheEvent::Stored { sequence, .. }
            | placement::CacheEvent::Evicted { sequence, .. } => sequence + 1,
        };
        self.report(change).await;
        Ok(Some(next))
    }

    /// Reads cache events and returns the sequence number of the next one. Returns `None` if events
    /// are missing, so that the complete contents must be read again.
    async fn read_events(&self, from: u64) -> Result<Option<u64>, engines::QueryError> {
        let answer = self.engines.cache_events(self.address, from).await?;
        if answer.first > from {
            return Ok(None);
        }
        for change in answer.events {
            self.report(change).await;
        }
        Ok(Some(answer.next.max(from)))
    }

    async fn report(&self, change: placement::CacheEvent) {
        let server = self.server.clone();
        self.handle.event(event::Event::CacheChanged { server, change }).await;
    }
}
