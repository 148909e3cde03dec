//! The instances, servers and configuration of a simulated fleet.

use super::*;

pub fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn route(host: &str, service: &str, repeat: catalog::Repeat, is_stream: bool) -> catalog::Route {
    let (timeout, objective) = if is_stream { (14_000, 900) } else { (1_000, 150) };
    catalog::Route {
        name: host.to_string(),
        host: host.to_string(),
        path_prefix: "/".to_string(),
        is_stream,
        repeat,
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(objective),
        first_event_timeout: Duration::from_millis(3_600),
        priority: 1,
        services: vec![(service.into(), 1)],
        attempts: 2,
        is_open: true,
    }
}

pub fn configuration() -> catalog::Catalog {
    let keyed = |host: &str, service: &str, is_stream: bool| catalog::Route {
        is_open: false,
        ..route(host, service, catalog::Repeat::Once, is_stream)
    };
    let routes = [
        route("stream", "llm", catalog::Repeat::Once, true),
        route("resumable", "llm", catalog::Repeat::Idempotent, true),
        route("order", "desk", catalog::Repeat::Once, false),
        route("query", "desk", catalog::Repeat::Idempotent, false),
        keyed("limited", "desk", false),
        keyed("busy", "desk", false),
        keyed("quiet", "desk", false),
        keyed("calm", "desk", false),
        keyed("urgent", "desk", false),
        keyed("busy-stream", "llm", true),
        keyed("quiet-stream", "llm", true),
        keyed("urgent-stream", "llm", true),
    ];
    let limit = catalog::Limit {
        rate_per_s: LIMIT_PER_S,
        burst: LIMIT_BURST,
        counts_tokens: false,
        plain_tokens: 1.0,
    };
    let workspace = catalog::Workspace {
        name: "w".into(),
        keys: vec![catalog::key_digest(&Bytes::from_static(KEY))],
        priority: None,
        limit: Some(limit),
    };
    let unlimited = |name: &str| catalog::Workspace {
        name: name.into(),
        keys: vec![catalog::key_digest(&Bytes::from(name.to_string()))],
        priority: (name == "urgent").then_some(0),
        limit: None,
    };
    let cold_bound = Some(catalog::ColdBound::default());
    let engine = catalog::EngineShape { slots: 64, memory_tokens: MEMORY_TOKENS };
    catalog::Catalog::new(catalog::Content {
        version: 1,
        routes: routes.into_iter().map(sync::Arc::new).collect(),
        services: vec![
            catalog::Service { name: "llm".into(), engine: Some(engine), cold_bound },
            catalog::Service { name: "desk".into(), engine: None, cold_bound },
        ],
        workspaces: Some(
            [workspace]
                .into_iter()
                .chain(["busy", "quiet", "calm", "urgent"].map(unlimited))
                .map(sync::Arc::new)
                .collect(),
        ),
        caller_limits: catalog::CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            idle: Duration::from_secs(1),
        },
    })
}

pub fn entry(name: &str, service: &str, stage: Option<servers::Stage>) -> servers::Entry {
    let port = name.bytes().fold(0_u16, |port, byte| port.wrapping_mul(31) ^ u16::from(byte));
    servers::Entry {
        id: Bytes::from(name.to_string()),
        service: service.into(),
        address: address(port),
        domain: "a".to_string(),
        slots: if stage.is_some() { 64 } else { 6 },
        is_draining: false,
        stage,
        cold_ms: 0,
        lacks_cold_time: false,
        born_ms: 1,
        software_version: Some("v1".into()),
        offset: 1,
    }
}

pub fn member(index: usize, address: net::SocketAddr) -> peers::Member {
    peers::Member {
        name: format!("instance-{index}"),
        incarnation: index as u64 + 1,
        peer_address: address,
        caller_address: address,
        is_ready: true,
        capacity_cores: 0.25,
        started_unix_ms: index as u64,
    }
}

/// An instance of a fleet that starts for the first time.
pub fn new_fleet(index: usize, own: net::SocketAddr) -> fleet::Fleet {
    hedging_fleet(index, own, 0.0)
}

/// An instance of a fleet that starts for the first time and may hedge a share of requests.
pub fn hedging_fleet(index: usize, own: net::SocketAddr, hedge_share: f64) -> fleet::Fleet {
    let is_first_start = true;
    let options = options(member(index, own), is_first_start);
    fleet::Fleet::new(fleet::Options { hedge_share, ..options })
}

pub fn restarted_fleet(own: peers::Member) -> fleet::Fleet {
    let is_first_start = false;
    fleet::Fleet::new(options(own, is_first_start))
}

fn options(own: peers::Member, is_first_start: bool) -> fleet::Options {
    fleet::Options {
        seed: own.incarnation,
        own,
        domain: "a".to_string(),
        is_first_start,
        quota_window: LIMIT_WINDOW,
        retries: budget::RetryBounds {
            ratio: RETRY_RATIO,
            slack: RETRY_SLACK,
            window: Duration::from_secs(10),
        },
        hedge_share: 0.0,
        seeds: vec![address(1_000)],
    }
}

/// Three prefill engines, six decode engines and three plain servers.
pub fn servers() -> Vec<servers::Entry> {
    let engine = |index: usize| {
        let stage = if index < 3 { servers::Stage::Prefill } else { servers::Stage::Decode };
        entry(&format!("llm-{index}"), "llm", Some(stage))
    };
    let plain = |index: usize| entry(&format!("desk-{index}"), "desk", None);
    (0..9).map(engine).chain((0..3).map(plain)).collect()
}

/// The same servers; half of the decode engines run another version of their software.
pub fn servers_of_two_versions() -> Vec<servers::Entry> {
    let mut entries = servers();
    for entry in
        entries.iter_mut().filter(|entry| ["llm-6", "llm-7", "llm-8"].contains(&name(entry)))
    {
        entry.software_version = Some("v2".into());
    }
    entries
}

fn name(entry: &servers::Entry) -> &str {
    std::str::from_utf8(&entry.id).expect("the names of servers are text")
}

pub fn listed(changes: Vec<servers::EntryChange>) -> fleet::Event {
    fleet::Event::ServersChanged {
        changes,
        complete: None,
        source: servers::Source::Steady,
        sender_position: None,
    }
}
