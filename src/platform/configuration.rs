//! Reads the operator's configuration from its format in the store.

use std::sync;
use std::time;

use bytes::Bytes;

use crate::core::fleet::catalog;

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Configuration {
    version: u64,
    route_table: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    tenants: Option<Vec<Tenant>>,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Route {
    name: String,
    host: String,
    path_prefix: String,
    route_type: String,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: Option<f64>,
    #[serde(default)]
    gap_aim_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<Split>,
    #[serde(default)]
    attempts: Option<u32>,
    #[serde(default)]
    anonymous: bool,
    #[serde(default)]
    resumable: bool,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Split {
    service: String,
    weight: f64,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    name: String,
    #[serde(default)]
    engine: Option<Engine>,
    /// The seconds for which a server stays cold after a start.
    #[serde(default)]
    cold_start_s: Option<f64>,
    /// The requests a second that a cold server takes; unbounded if 0 or missing.
    #[serde(default)]
    cold_per_s: Option<f64>,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Engine {
    slots: u32,
    /// The tokens that fit into the KV cache.
    kv_capacity: u32,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_ms: f64,
}

#[derive(Debug, serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Tenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
    /// The unit of the rate and the burst: tokens if `token_stream`, otherwise requests.
    #[serde(default)]
    unit: Option<String>,
    #[serde(default)]
    plain_tokens: Option<f64>,
    /// Unlimited if 0 or missing.
    #[serde(default)]
    rate_per_s: Option<f64>,
    #[serde(default)]
    burst: Option<f64>,
}

/// The factor from weights of a traffic split to integers, so that fractional weights stay
/// distinct.
const SPLIT_WEIGHT_SCALE: f64 = 1_000.0;

/// Callers abandon a stream after a gap as long as the maximum of this time, a multiple of the
/// latency objective and a multiple of the longest intended gap between events. The timeout for the
/// first event is the same maximum.
const MIN_FIRST_EVENT_TIMEOUT_MS: f64 = 2_000.0;
const FIRST_EVENT_OBJECTIVES: f64 = 4.0;
const FIRST_EVENT_GAP_AIMS: f64 = 8.0;

/// Reads a configuration from a record of the store.
///
/// # Errors
///
/// Fails if the record is not a valid configuration.
pub fn read(record: &[u8]) -> Result<catalog::Content, serde_json::Error> {
    let read: Configuration = serde_json::from_slice(record)?;
    Ok(catalog::Content {
        version: read.version,
        routes: read.route_table.into_iter().map(|it| sync::Arc::new(route(it))).collect(),
        services: read.services.into_iter().map(service).collect(),
        workspaces: read
            .tenants
            .map(|tenants| tenants.into_iter().map(|it| sync::Arc::new(workspace(it))).collect()),
        caller_limits: catalog::CallerLimits {
            header_bytes: read.limits.max_header_bytes,
            body_bytes: read.limits.max_body_bytes,
            idle: millis(read.limits.idle_timeout_ms),
        },
    })
}

fn route(read: Route) -> catalog::Route {
    let is_stream = read.route_type == "streaming";
    let is_idempotent = read.route_type == "idempotent" || (is_stream && read.resumable);
    let mut services: Vec<_> = read
        .traffic_split
        .into_iter()
        .map(|split| (split.service.into(), (split.weight * SPLIT_WEIGHT_SCALE) as u32))
        .collect();
    if let Some(service) = read.service.filter(|_| services.is_empty()) {
        services.push((service.into(), 1));
    }
    let objective_ms = read.target_latency_ms.unwrap_or(read.timeout_ms);
    let gap_aims_ms = read.gap_aim_ms.unwrap_or(0.0) * FIRST_EVENT_GAP_AIMS;
    let first_event_timeout_ms =
        MIN_FIRST_EVENT_TIMEOUT_MS.max(objective_ms * FIRST_EVENT_OBJECTIVES).max(gap_aims_ms);
    catalog::Route {
        name: read.name,
        host: read.host.to_ascii_lowercase(),
        path_prefix: read.path_prefix,
        is_stream,
        repeat: if is_idempotent { catalog::Repeat::Idempotent } else { catalog::Repeat::Once },
        timeout: millis(read.timeout_ms),
        objective: millis(objective_ms),
        first_event_timeout: millis(first_event_timeout_ms),
        priority: read.priority,
        services,
        attempts: read.attempts.unwrap_or(1),
        is_open: read.anonymous,
    }
}

fn service(read: Service) -> catalog::Service {
    let engine = read.engine.map(|engine| catalog::EngineShape {
        slots: engine.slots,
        memory_tokens: engine.kv_capacity,
    });
    let cold_bound = catalog::ColdBound {
        start: millis(read.cold_start_s.unwrap_or(0.0) * 1_000.0),
        per_s: read.cold_per_s.unwrap_or(0.0).max(0.0),
    };
    catalog::Service { name: read.name.into(), engine, cold_bound: Some(cold_bound) }
}

fn workspace(read: Tenant) -> catalog::Workspace {
    let rate_per_s = read.rate_per_s.filter(|rate| *rate > 0.0);
    let limit = rate_per_s.map(|rate_per_s| catalog::Limit {
        rate_per_s,
        burst: read.burst.unwrap_or(0.0),
        counts_tokens: read.unit.as_deref() == Some("token_stream"),
        plain_tokens: read.plain_tokens.unwrap_or(1.0),
    });
    catalog::Workspace {
        name: read.name.into(),
        keys: read.api_keys.into_iter().map(|key| catalog::key_digest(&Bytes::from(key))).collect(),
        priority: read.priority,
        limit,
    }
}

fn millis(ms: f64) -> time::Duration {
    time::Duration::from_secs_f64(ms.clamp(0.0, 86_400_000.0) / 1_000.0)
}
