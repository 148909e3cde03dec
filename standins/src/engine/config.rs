//! Settings of a fake engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use toml::Table;

use crate::settings;

/// What an engine takes on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills only.
    Prefill,
    /// Decodes, and prefills in place what comes without a KV cache.
    Decode,
    /// Does both.
    #[default]
    Both,
}

/// Settings of one engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// What the engine takes on.
    pub role: Role,
    /// Models that it serves; empty serves any.
    pub models: Vec<String>,
    /// Requests that run together.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are refused with `engine_full`.
    pub queue_limit: usize,
    /// Memory in pieces of [`super::PIECE_TOKENS`] tokens.
    pub pieces_total: u64,
    /// Prefill rate at speed 1.
    pub prefill_tokens_per_s: f64,
    /// Factor on the prefill rate.
    pub prefill_speed: f64,
    /// Time between tokens of a lone request at speed 1.
    #[serde(rename = "token_ms", deserialize_with = "settings::millis")]
    pub token_time: Duration,
    /// Factor on the decode rate.
    pub decode_speed: f64,
    /// Rate at which KV caches are imported.
    pub link_tokens_per_s: f64,
    /// Prefix blocks that the cache keeps.
    pub cache_blocks: usize,
    /// Delay of cache events.
    #[serde(rename = "event_delay_ms", deserialize_with = "settings::millis")]
    pub event_delay: Duration,
    /// One in this many cache events is never published; 0 publishes all.
    pub event_drop_every: u64,
    /// Interval at which the reported load is measured.
    #[serde(rename = "load_lag_ms", deserialize_with = "settings::millis")]
    pub load_lag: Duration,
    /// Time for which an exported KV cache is kept.
    #[serde(rename = "export_lifetime_ms", deserialize_with = "settings::millis")]
    pub export_lifetime: Duration,
    /// Time for which a model takes to load after an order.
    #[serde(rename = "load_model_ms", deserialize_with = "settings::millis")]
    pub load_model_time: Duration,
    /// One-way network latency.
    #[serde(rename = "latency_ms", deserialize_with = "settings::millis")]
    pub latency: Duration,
    /// Bytes of prompt that make one token.
    pub bytes_per_token: f64,
    /// Whether orders with old fencing numbers are accepted.
    pub ignore_fence: bool,
    /// Whether answers end between half of and the whole of `max_tokens`, by the prompt's digest.
    pub early_stop: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            role: Role::Both,
            models: Vec::new(),
            slots: 20,
            queue_limit: 16,
            pieces_total: 120,
            prefill_tokens_per_s: 8_000.0,
            prefill_speed: 1.0,
            token_time: Duration::from_millis(26),
            decode_speed: 1.0,
            link_tokens_per_s: 100_000.0,
            cache_blocks: 1_024,
            event_delay: Duration::from_millis(200),
            event_drop_every: 50,
            load_lag: Duration::from_millis(250),
            export_lifetime: Duration::from_millis(800),
            load_model_time: Duration::ZERO,
            latency: Duration::ZERO,
            bytes_per_token: 4.0,
            ignore_fence: false,
            early_stop: false,
        }
    }
}

/// Reads the settings of a group of engines, whose ports count up and whose speeds may differ.
///
/// # Errors
///
/// Fails if a setting is unknown or has a value of the wrong kind.
pub fn group(mut table: Table) -> Result<Vec<Config>, settings::Fault> {
    let count: Option<u16> = settings::take(&mut table, "count")?;
    let prefill_speeds: settings::Numbers = settings::take(&mut table, "prefill_speeds")?;
    let decode_speeds: settings::Numbers = settings::take(&mut table, "decode_speeds")?;
    let config: Config = table.try_into()?;
    let member = |index| Config {
        listen: listen_address(config.listen, index),
        prefill_speed: config.prefill_speed * prefill_speeds.nth(usize::from(index)),
        decode_speed: config.decode_speed * decode_speeds.nth(usize::from(index)),
        ..config.clone()
    };
    Ok((0..count.unwrap_or(1)).map(member).collect())
}

/// The address of member `index` of a group; port 0 stays free to choose.
pub fn listen_address(first: SocketAddr, index: u16) -> SocketAddr {
    let port = if first.port() == 0 { 0 } else { first.port().saturating_add(index) };
    SocketAddr::new(first.ip(), port)
}
