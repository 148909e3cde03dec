//! Shares the contents of the store among instances, for those that cannot read the store.

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
use crate::core::fleet::evacuation;
use crate::core::fleet::message;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::ids;
use crate::router::callers;
use crate::router::context;

/// How often this instance checks whether a peer has newer data.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// The maximum age of a peer's last read of the store for it to count as a read by this instance.
/// An older read does not show which servers were removed since.
const MAX_STORE_READ_AGE: time::Duration = time::Duration::from_millis(1_600);

/// The timeout of an exchange with a peer: allows for a large configuration over a slow link.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The maximum length of an encoded request.
const MAX_REQUEST_BYTES: u64 = 256;

/// The maximum length of an encoded response; a longer one cannot be decoded.
const MAX_RESPONSE_BYTES: u64 = 16 * 1_024 * 1_024;

/// A request for changes, with what the requesting instance has already. Encoded by position, so
/// the order of the fields is fixed.
#[derive(Debug, Clone, Copy, serde::Serialize, serde::Deserialize)]
struct SyncRequest {
    /// The version of its configuration; 0 without one.
    version: u64,
    /// The position after its last change of the list of servers.
    #[serde(rename = "servers_at")]
    servers_position: ids::StorePosition,
    /// Whether it knows the spending history.
    #[serde(rename = "knows_past")]
    knows_history: bool,
}

/// What the responding instance has read from the store and the requesting one lacks. Encoded by
/// position, so the order of the fields is fixed.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct SyncResponse {
    /// The time since the last read of the store, in milliseconds.
    age_ms: Option<u64>,
    /// The configuration, if it is newer than the requesting instance's.
    content: Option<catalog::Content>,
    /// The entries that changed after the requested position.
    entries: Vec<servers::Entry>,
    /// The removals after the requested position.
    removals: Vec<servers::Removal>,
    /// The names of all servers, if not all removals after the requested position are known.
    names: Option<Vec<ids::ServerId>>,
    /// The position after the last change of the list of servers.
    #[serde(rename = "servers_at")]
    servers_position: ids::StorePosition,
    /// The spending history, if the responding instance is a coordinator that knows it and the
    /// requesting one does not.
    #[serde(rename = "past")]
    history: Option<Vec<quota::Spending>>,
    /// What is known of evacuations; sent in the extension.
    #[serde(skip)]
    evacuations: Vec<evacuation::Report>,
}

/// What follows a response, encoded by name. Builds that do not know it ignore what follows a
/// response.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
struct SyncExtension {
    /// The software versions of the servers in the response.
    software_versions: Vec<(ids::ServerId, servers::SoftwareVersion)>,
    /// What is known of evacuations.
    evacuations: Vec<evacuation::Report>,
    /// The bounds on requests to cold servers in the configuration of the response.
    cold_bounds: Vec<(catalog::ServiceId, catalog::ColdBound)>,
}

/// Responds to requests of peers.
pub async fn serve(listener: tokio::net::TcpListener, context: rc::Rc<context::Context>) {
    loop {
        let Some(stream) = callers::accept(&listener).await else { continue };
        let context = rc::Rc::clone(&context);
        tokio::task::spawn_local(async move {
            match tokio::time::timeout(EXCHANGE_TIMEOUT, respond(stream, &context)).await {
                Ok(Ok(())) => {}
                Ok(Err(failure)) => log::warn!("cannot respond to a peer: {failure}"),
                Err(_) => log::warn!("timeout of an exchange with a peer"),
            }
        });
    }
}

async fn respond(mut stream: tokio::net::TcpStream, context: &context::Context) -> io::Result<()> {
    let mut bytes = Vec::new();
    (&mut stream).take(MAX_REQUEST_BYTES).read_to_end(&mut bytes).await?;
    let request = rmp_serde::from_slice(&bytes).map_err(io::Error::other)?;
    let bytes = encode(&sync_response(context, request)).map_err(io::Error::other)?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await
}

fn encode(response: &SyncResponse) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let versioned = response.entries.iter().filter_map(|entry| {
        let version = entry.software_version.clone()?;
        Some((entry.id.clone(), version))
    });
    let services = response.content.iter().flat_map(|content| &content.services);
    let bounded = services.filter_map(|it| Some((sync::Arc::clone(&it.name), it.cold_bound?)));
    let extension = SyncExtension {
        software_versions: versioned.collect(),
        evacuations: response.evacuations.clone(),
        cold_bounds: bounded.collect(),
    };
    let mut bytes = rmp_serde::to_vec(response)?;
    bytes.extend(rmp_serde::to_vec_named(&extension)?);
    Ok(bytes)
}

/// Decodes a response, and the extension if the peer has sent one.
fn decode(mut bytes: &[u8]) -> Result<SyncResponse, rmp_serde::decode::Error> {
    let mut response: SyncResponse = rmp_serde::from_read(&mut bytes)?;
    if bytes.is_empty() {
        return Ok(response);
    }
    let extension: SyncExtension = rmp_serde::from_slice(bytes)?;
    response.evacuations = extension.evacuations;
    let mut versions: collections::Map<_, _> = extension.software_versions.into_iter().collect();
    for entry in &mut response.entries {
        entry.software_version = versions.remove(&entry.id);
    }
    let bounds: collections::Map<_, _> = extension.cold_bounds.into_iter().collect();
    for service in response.content.iter_mut().flat_map(|content| &mut content.services) {
        service.cold_bound = bounds.get(&service.name).copied();
    }
    Ok(response)
}

fn sync_response(context: &context::Context, request: SyncRequest) -> SyncResponse {
    let now = context.now();
    let age = context.store_read_at.get().map(|at| now.saturating_sub(at));
    context.read(|fleet| {
        let catalog = fleet.catalog().filter(|it| it.content.version > request.version);
        let sends_history =
            fleet.knows_history() && fleet.is_coordinator() && !request.knows_history;
        SyncResponse {
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            content: catalog.map(|catalog| catalog.content.clone()),
            entries: fleet.server_entries_since(request.servers_position, now),
            removals: fleet.server_removals_since(request.servers_position),
            names: fleet.server_names_unless_removals_known(request.servers_position),
            servers_position: fleet.servers_position(),
            history: sends_history.then(|| fleet.spending(now)),
            evacuations: fleet.evacuation_reports(now),
        }
    })
}

/// Requests newer configurations, changes of servers and the spending history from peers.
pub async fn follow(context: rc::Rc<context::Context>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = context.now();
        let peer = context.read(|fleet| {
            let peer = fleet.configuration_peer(now).or(fleet.peer_with_newer_servers(now));
            peer.or(fleet.peer_with_history(now))
        });
        let Some(peer) = peer else { continue };
        match tokio::time::timeout(EXCHANGE_TIMEOUT, fetch(peer, sync_request(&context))).await {
            Ok(Ok(response)) => apply_response(&context, peer, response),
            Ok(Err(failure)) => log::warn!("cannot get changes from peer {peer}: {failure}"),
            Err(_) => log::warn!("peer {peer} did not send changes in time"),
        }
    }
}

fn sync_request(context: &context::Context) -> SyncRequest {
    context.read(|fleet| SyncRequest {
        version: fleet.version(),
        servers_position: fleet.servers_position(),
        knows_history: fleet.knows_history(),
    })
}

async fn fetch(peer: net::SocketAddr, request: SyncRequest) -> io::Result<SyncResponse> {
    let bytes = rmp_serde::to_vec(&request).map_err(io::Error::other)?;
    let mut stream = tokio::net::TcpStream::connect(peer).await?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    let mut bytes = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut bytes).await?;
    decode(&bytes).map_err(io::Error::other)
}

fn apply_response(context: &context::Context, peer: net::SocketAddr, response: SyncResponse) {
    // An instance that has a configuration sends requests, so evacuations come first.
    let message = message::Message::Evacuations(response.evacuations);
    context.apply(fleet::Event::Received { from: peer, message });
    if let Some(content) = response.content {
        let catalog = catalog::Catalog::new(content);
        context.apply(fleet::Event::Configured(sync::Arc::new(catalog)));
    }
    if let Some(history) = response.history {
        context.apply(fleet::Event::SpendingHistory(history));
    }
    let age =
        response.age_ms.map(time::Duration::from_millis).filter(|age| *age < MAX_STORE_READ_AGE);
    let read_at = age.map(|age| context.now().saturating_sub(age));
    context.store_read_at.set(context.store_read_at.get().max(read_at));
    let (expired, removed): (Vec<_>, Vec<_>) =
        response.removals.into_iter().partition(|removal| removal.is_after_outage);
    let entries = response.entries.into_iter().map(servers::EntryChange::Put);
    apply_listings(
        context,
        ListingUpdate { changes: entries.collect(), ..ListingUpdate::default() },
    );
    let changes = expired.into_iter().map(removed_listing).collect();
    apply_listings(
        context,
        ListingUpdate { changes, source: servers::Source::AfterOutage, ..ListingUpdate::default() },
    );
    // The offset is passed with the last update: only then are all changes before it applied.
    let changes = removed.into_iter().map(removed_listing).collect();
    let sender_position = Some(response.servers_position);
    let names = response.names.map(|names| names.into_iter().collect());
    let complete = names.map(|names| (names, response.servers_position));
    apply_listings(
        context,
        ListingUpdate { changes, complete, sender_position, ..ListingUpdate::default() },
    );
}

/// Changes of servers received from a peer.
#[derive(Default)]
struct ListingUpdate {
    changes: Vec<servers::EntryChange>,
    complete: Option<(collections::Set<ids::ServerId>, ids::StorePosition)>,
    source: servers::Source,
    sender_position: Option<ids::StorePosition>,
}

fn removed_listing(removal: servers::Removal) -> servers::EntryChange {
    servers::EntryChange::Removed { id: removal.id, offset: removal.offset }
}

fn apply_listings(context: &context::Context, update: ListingUpdate) {
    let ListingUpdate { changes, complete, source, sender_position } = update;
    context.apply(fleet::Event::ServersChanged { changes, complete, source, sender_position });
}

#[cfg(test)]
mod tests;
