//! A fake of the platform's instance list, which shows changes with a lag.

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::{http, network, settings};

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It stays.
    #[default]
    Live,
    /// It is about to go.
    Leaving,
}

/// One instance on the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Instance {
    /// Its id.
    pub id: String,
    /// Address for the other instances.
    pub peer_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it stays.
    #[serde(default)]
    pub state: Presence,
}

/// One backend server on the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Server {
    /// Its id.
    pub id: String,
    /// Whether it stays.
    #[serde(default)]
    pub state: Presence,
}

/// The whole list.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listing {
    /// The instances.
    pub instances: Vec<Instance>,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// Settings of an instance list.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// One-way network latency.
    #[serde(rename = "latency_ms", deserialize_with = "settings::millis")]
    pub latency: Duration,
    /// Time after which a change shows.
    #[serde(rename = "lag_ms", deserialize_with = "settings::millis")]
    pub lag: Duration,
    /// The list at the start.
    pub listing: Listing,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency: Duration::ZERO,
            lag: Duration::from_secs(1),
            listing: Listing::default(),
        }
    }
}

/// A fake instance list.
#[derive(Debug)]
pub struct Instances {
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    shown: Listing,
    coming: VecDeque<(Instant, Listing)>,
}

/// An instance list that runs until the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    /// Its server.
    pub server: http::Server,
    /// The list itself.
    pub instances: Arc<Instances>,
}

/// Starts an instance list.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let network = Arc::new(network::Network::default());
    let state = State { shown: config.listing, coming: VecDeque::new() };
    let instances = Arc::new(Instances { lag: config.lag, state: Mutex::new(state) });
    let server = http::serve(listener, network, config.latency, Arc::clone(&instances))?;
    Ok(Handle { server, instances })
}

impl Instances {
    /// Changes the list, which shows after the lag.
    pub fn set(&self, listing: Listing, now: Instant) {
        self.state().coming.push_back((now + self.lag, listing));
    }

    /// The list as shown at `now`.
    pub fn shown(&self, now: Instant) -> Listing {
        let mut state = self.state();
        while state.coming.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, listing)) = state.coming.pop_front() {
                state.shown = listing;
            }
        }
        state.shown.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl http::Service for Instances {
    type Command = ();
    type Records = Listing;

    fn records(&self) -> Listing {
        self.shown(Instant::now())
    }

    fn command(&self, _command: &()) {}

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> http::Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/instances") => http::json(StatusCode::OK, &self.records()),
            (&Method::PUT, "/__instances") => match http::read_json(request).await {
                Ok(listing) => {
                    self.set(listing, Instant::now());
                    http::json(StatusCode::OK, &json!({}))
                }
                Err(reply) => reply,
            },
            _ => http::error(StatusCode::NOT_FOUND, "not_found", "no such path"),
        }
    }
}
