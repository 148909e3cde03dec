//! What the store told, for peers that cannot read it.

use std::io;
use std::net;
use std::rc;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::ids;
use crate::router::callers;
use crate::router::context;

/// How often it is checked whether a peer must be asked.
const CHECK: time::Duration = time::Duration::from_millis(150);

/// Age of a peer's last reading of the store beyond which it tells of no removals.
const STALE: time::Duration = time::Duration::from_millis(1_600);

/// The time in which a newer configuration is left to the store: its link carries a large one to all
/// instances at once, a peer's does not.
const STORE_FIRST: time::Duration = time::Duration::from_millis(600);

/// The longest time that a peer's answer may take: a large configuration over a slow link.
const TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// What an instance has read from the store.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct Reading {
    age_ms: Option<u64>,
    content: Option<catalog::Content>,
    entries: Vec<servers::Entry>,
    servers_end: ids::Offset,
    servers_at: ids::Offset,
    knows_past: bool,
    spending: Vec<quota::Spending>,
}

/// Writes the last reading to each peer that connects.
pub async fn serve(listener: tokio::net::TcpListener, context: rc::Rc<context::Context>) {
    loop {
        let Some(mut stream) = callers::accept(&listener).await else { continue };
        let reading = reading(&context);
        tokio::task::spawn_local(async move {
            let written = async {
                let bytes = rmp_serde::to_vec(&reading).map_err(io::Error::other)?;
                stream.write_all(&bytes).await?;
                stream.shutdown().await
            };
            match tokio::time::timeout(TIMEOUT, written).await {
                Ok(Ok(())) => {}
                Ok(Err(failure)) => log::warn!("a peer got no reading: {failure}"),
                Err(_) => log::warn!("a peer read too slowly"),
            }
        });
    }
}

fn reading(context: &context::Context) -> Reading {
    let now = context.now();
    let age = context.store_read.get().map(|at| now.saturating_sub(at));
    context.read(|fleet| Reading {
        age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        content: fleet.catalog().map(|catalog| catalog.content.clone()),
        entries: fleet.server_entries(),
        servers_end: context.servers_end.get(),
        servers_at: fleet.servers_at(),
        knows_past: fleet.knows_past(),
        spending: fleet.spending(now),
    })
}

/// Asks peers that know of newer changes of the configuration or of servers.
pub async fn follow(context: rc::Rc<context::Context>) {
    let mut outdated_since = None;
    loop {
        tokio::time::sleep(CHECK).await;
        let now = context.now();
        let newer = context.read(|fleet| fleet.newer_peer(now));
        if newer.is_none() {
            outdated_since = None;
        }
        let newer = newer.filter(|_| now >= *outdated_since.get_or_insert(now) + STORE_FIRST);
        let peer = newer.or_else(|| context.read(|fleet| fleet.peer_with_newer_servers(now)));
        let Some(peer) = peer else { continue };
        match tokio::time::timeout(TIMEOUT, ask(peer)).await {
            Ok(Ok(reading)) => take(&context, reading),
            Ok(Err(failure)) => log::warn!("peer {peer} told nothing: {failure}"),
            Err(_) => log::warn!("peer {peer} told nothing in time"),
        }
    }
}

async fn ask(peer: net::SocketAddr) -> io::Result<Reading> {
    let mut stream = tokio::net::TcpStream::connect(peer).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    rmp_serde::from_slice(&bytes).map_err(io::Error::other)
}

fn take(context: &context::Context, reading: Reading) {
    if let Some(content) = reading.content {
        let catalog = catalog::Catalog::new(content);
        context.apply(fleet::Event::Configured(sync::Arc::new(catalog)));
    }
    if reading.knows_past {
        context.apply(fleet::Event::PastSpending(reading.spending));
    }
    // A peer that does not read the store knows of no removals.
    let is_fresh = reading.age_ms.is_some_and(|age_ms| u128::from(age_ms) < STALE.as_millis());
    let is_newer = reading.servers_end > context.servers_end.get();
    let names: collections::Set<_> = reading.entries.iter().map(|entry| entry.id.clone()).collect();
    let listings = reading.entries.into_iter().map(servers::Listing::Present).collect();
    let complete = (is_fresh && is_newer).then_some((names, reading.servers_end));
    if complete.is_some() {
        context.servers_end.set(reading.servers_end);
    }
    let told_at = is_fresh.then_some(reading.servers_at);
    let is_after_outage = false;
    context.apply(fleet::Event::Listed { listings, complete, is_after_outage, told_at });
}
