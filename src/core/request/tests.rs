//! Tests of the request reducer alone.

use std::sync;
use std::time;

use bytes::Bytes;

use crate::core::configuration;
use crate::core::reducer::Reducer as _;
use crate::core::request;
use crate::core::scheduler;
use crate::document;

const KEY: [u8; 32] = [7; 32];
const REQUEST: u128 = 1;
const NOW: time::Duration = time::Duration::from_secs(1);

fn server(id: &'static str, role: document::Role, port: u16) -> document::Server {
    let text = format!(
        "id = \"{id}\"\nkind = \"engine\"\nfailure_domain = \"west\"\nmodels = [\"m\"]\n\
         addresses = {{ trial = \"127.0.0.1:{port}\" }}\n"
    );
    let server: document::Server = toml::from_str(&text).expect("a server");
    document::Server { role, ..server }
}

fn snapshot() -> configuration::SharedSnapshot {
    let document = document::Document {
        workspaces: vec![document::Workspace {
            id: Bytes::from_static(b"w"),
            rate_tokens_per_s: 1_000,
            burst_tokens: 10_000,
            weight: 1,
            keys: vec![document::Key { id: Bytes::from_static(b"k"), sha256: key_text().into() }],
        }],
        servers: vec![
            server("p", document::Role::Prefill, 9_001),
            server("d", document::Role::Decode, 9_002),
        ],
        language_routes: vec![document::LanguageRoute {
            id: Bytes::from_static(b"r"),
            model: Bytes::from_static(b"m"),
            servers: vec![Bytes::from_static(b"p"), Bytes::from_static(b"d")],
            workspaces: Vec::new(),
        }],
        plain_routes: Vec::new(),
    };
    sync::Arc::new(configuration::Snapshot::new(1, [0; 32], document))
}

fn key_text() -> String {
    "07".repeat(32)
}

fn apply(requests: &mut request::Requests, event: request::Event) -> Vec<request::Effect> {
    let mut effects = Vec::new();
    requests.apply(event, NOW, &mut effects);
    effects.retain(|effect| !matches!(effect, request::Effect::Explain { .. }));
    effects
}

fn placed(phase: scheduler::Phase, server: &'static str) -> request::Event {
    let server = Bytes::from_static(server.as_bytes());
    request::Event::Placed { request: REQUEST, phase, server, waited_ms: 0 }
}

/// Requests of an instance with one that is being prefilled.
fn prefilling() -> request::Requests {
    let mut requests =
        request::Requests::new(document::Environment::Trial, request::RequestLimits::default());
    apply(&mut requests, request::Event::Applied(snapshot()));
    apply(&mut requests, request::Event::KeysFresh(true));
    apply(&mut requests, request::Event::Validity(true));
    let call = request::LanguageCall {
        model: Bytes::from_static(b"m"),
        prompt_bytes: 4_000,
        prefix: Vec::new(),
        output_limit_tokens: 10,
        deterministic: true,
    };
    let target = request::Target::Language(call);
    let arrival = request::Arrival { key: Some(KEY), target };
    apply(&mut requests, request::Event::Arrived { request: REQUEST, arrival });
    apply(&mut requests, request::Event::Admitted { request: REQUEST });
    apply(&mut requests, placed(scheduler::Phase::Decode, "d"));
    apply(&mut requests, placed(scheduler::Phase::Prefill, "p"));
    requests
}

#[test]
fn attempt_that_failed_without_a_lease_is_repeated_with_the_next_one() {
    let mut requests = prefilling();
    apply(&mut requests, request::Event::Validity(false));
    let failure = request::Failure { fault: request::Fault::Closed, ran: request::Ran::Unknown };
    let failed = request::Event::Failed { request: REQUEST, attempt: 1, failure };
    let mut effects = apply(&mut requests, failed);
    assert!(!effects.iter().any(|effect| matches!(effect, request::Effect::Choose { .. })));
    effects.extend(apply(&mut requests, request::Event::Validity(true)));
    insta::assert_debug_snapshot!(effects);
}

#[test]
fn answer_of_an_earlier_attempt_is_ignored() {
    let mut requests = prefilling();
    let failure = request::Failure { fault: request::Fault::Closed, ran: request::Ran::Unknown };
    apply(&mut requests, request::Event::Failed { request: REQUEST, attempt: 1, failure });
    let late = request::Event::Prefilled {
        request: REQUEST,
        attempt: 1,
        usage: request::Usage::default(),
    };
    assert_eq!(apply(&mut requests, late), Vec::new());
    assert_eq!(requests.live(), 1);
}
