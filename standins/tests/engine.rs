//! Sessions with the fake engine over HTTP, in paused time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use standins::{engine, http};

const ID: &str = "000102030405060708090a0b0c0d0e0f";

async fn engine(change: impl FnOnce(&mut engine::config::Config)) -> engine::Handle {
    let mut config = engine::config::Config::default();
    change(&mut config);
    engine::spawn(config).await.unwrap()
}

fn post(handle: &engine::Handle, id: &str, body: &Value) -> Request<Full<bytes::Bytes>> {
    Request::post(format!("http://{}/v1/completions", handle.server.address))
        .header("x-request-id", id)
        .body(Full::new(body.to_string().into()))
        .unwrap()
}

async fn send(handle: &engine::Handle, id: &str, body: Value) -> (StatusCode, String) {
    let client = http::client(Duration::from_secs(1));
    let response = client.request(post(handle, id, &body)).await.unwrap();
    let status = response.status();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(bytes.to_vec()).unwrap())
}

async fn ask(handle: &engine::Handle, method: Method, path: &str, body: Value) -> Value {
    let client = http::client(Duration::from_secs(1));
    let url = format!("http://{}{path}", handle.server.address);
    http::call_json(&client, method, &url, &body).await.unwrap().1
}

/// Texts of the chunks of a stream that carry this id.
fn text_of(stream: &str, id: &str) -> String {
    let chunks = stream.lines().filter_map(|line| line.strip_prefix("data: {"));
    let chunks = chunks.map(|rest| serde_json::from_str::<Value>(&format!("{{{rest}")).unwrap());
    let own = chunks.filter(|chunk| chunk["id"] == format!("cmpl-{id}"));
    own.map(|chunk| chunk["choices"][0]["text"].as_str().unwrap_or_default().to_owned()).collect()
}

fn long_prompt() -> String {
    "line of a catalogue; ".repeat(200)
}

#[tokio::test(start_paused = true)]
async fn prefill_and_decode_hand_the_cache_over() {
    let prefill = engine(|config| config.role = engine::config::Role::Prefill).await;
    let decode = engine(|config| config.role = engine::config::Role::Decode).await;
    let body = json!({"model": "m", "prompt": long_prompt(), "max_tokens": 1,
        "kv_transfer_params": {"do_remote_decode": true}});
    let (status, answer) = send(&prefill, ID, body).await;
    assert_eq!(status, StatusCode::OK);
    let answer: Value = serde_json::from_str(&answer).unwrap();
    let mut params = answer["kv_transfer_params"].clone();
    params["do_remote_prefill"] = json!(true);

    let body = json!({"model": "m", "prompt": long_prompt(), "max_tokens": 7, "stream": true,
        "kv_transfer_params": params});
    let (status, stream) = send(&decode, ID, body.clone()).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(text_of(&stream, ID), engine::output::answer(&long_prompt(), 7, false));
    assert!(stream.ends_with("data: [DONE]\n\n"));
    assert!(stream.contains(r#""completion_tokens":7"#));
    assert_eq!(stream.matches(r#""finish_reason":"length""#).count(), 1);
    assert_eq!(stream.matches(r#""text":"#).count(), 7, "one token a chunk");

    let first = &prefill.engine.records().executions[0];
    assert_eq!((first.prefill_tokens, first.held_pieces, first.delivered), (1_050, 0, true));
    let second = &decode.engine.records().executions[0];
    assert_eq!((second.prefill_tokens, second.decoded_tokens, second.delivered), (0, 7, true));

    let (status, answer) = send(&decode, ID, body).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert!(answer.contains("kv_gone"));
}

#[tokio::test(start_paused = true)]
async fn an_exported_cache_is_evicted_and_its_prefix_found_again() {
    let handle = engine(|_| {}).await;
    let body = json!({"prompt": long_prompt(), "kv_transfer_params": {"do_remote_decode": true}});
    send(&handle, ID, body.clone()).await;
    let held = ask(&handle, Method::GET, "/v1/requests", json!({})).await;
    assert_eq!(held["requests"][0]["phase"], "exported");
    tokio::time::sleep(Duration::from_millis(801)).await;
    let held = ask(&handle, Method::GET, "/v1/requests", json!({})).await;
    assert_eq!(held, json!({"requests": []}));

    send(&handle, ID, body).await;
    let executions = handle.engine.records().executions;
    assert_eq!(executions[0].outcome, engine::ledger::Outcome::Evicted);
    assert_eq!((executions[1].cached_tokens, executions[1].prefill_tokens), (1_024, 26));
    let events = ask(&handle, Method::GET, "/v1/cache/events?from=1&wait_ms=500", json!({})).await;
    assert_eq!(events["next"], 2);
    let hashes = engine::output::block_hashes(&long_prompt());
    let hashes: Vec<String> = hashes.iter().map(ToString::to_string).collect();
    assert_eq!(events["events"][0]["blocks"], json!(hashes));
}

#[tokio::test(start_paused = true)]
async fn a_lost_connection_keeps_the_request_until_it_is_resumed() {
    let handle = engine(|_| {}).await;
    let body = json!({"prompt": "short", "max_tokens": 9, "stream": true});
    let client = http::client(Duration::from_secs(1));
    let mut response = client.request(post(&handle, ID, &body)).await.unwrap();
    let first = response.body_mut().frame().await.unwrap().unwrap().into_data().unwrap();
    let first = text_of(std::str::from_utf8(&first).unwrap(), ID);
    drop(response);
    drop(client);
    tokio::time::sleep(Duration::from_secs(5)).await;
    let held = ask(&handle, Method::GET, "/v1/requests", json!({})).await;
    assert_eq!(held["requests"][0]["pieces"], 1);

    let mut resumed = body;
    resumed["resume"] = json!({"from_token": 1});
    let (_, stream) = send(&handle, ID, resumed.clone()).await;
    assert_eq!(first + &text_of(&stream, ID), engine::output::answer("short", 9, false));
    let (status, _) = send(&handle, ID, resumed).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(handle.engine.records().executions.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_gives_nothing_and_a_new_one_the_rest() {
    let handle = engine(|_| {}).await;
    let body = json!({"prompt": "short", "max_tokens": 9, "stream": true});
    let client = http::client(Duration::from_secs(1));
    let mut response = client.request(post(&handle, ID, &body)).await.unwrap();
    response.body_mut().frame().await.unwrap().unwrap();
    ask(&handle, Method::POST, "/__faults", json!({"stray_chunks": true})).await;
    handle.engine.command(&engine::faults::Command { silence: true, ..Default::default() });
    let gap = tokio::time::timeout(Duration::from_secs(60), response.body_mut().collect()).await;
    assert!(gap.is_err());

    let mut resumed = body;
    resumed["resume"] = json!({"from_token": 0});
    let (_, stream) = send(&handle, ID, resumed).await;
    assert_eq!(text_of(&stream, ID), engine::output::answer("short", 9, false));
    assert!(stream.contains("-other"));
}

#[tokio::test(start_paused = true)]
async fn cancels_release_memory_and_are_remembered() {
    let handle = engine(|config| {
        config.slots = 1;
        config.queue_limit = 1;
    })
    .await;
    let submission = |id: &str, priority| engine::Submission {
        id: id.to_owned(),
        prompt: "short".to_owned(),
        max_tokens: 3_000,
        priority,
        work: engine::Work::Whole,
    };
    let (_, running) = handle.engine.submit(submission("a", 0)).unwrap();
    let (_, queued) = handle.engine.submit(submission("b", 5)).unwrap();
    let refusal = handle.engine.submit(submission("c", 0)).unwrap_err();
    assert_eq!(refusal, engine::Refusal::Full);

    assert_eq!(handle.engine.cancel("a"), 2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(running.has_changed().is_err(), "the cancelled request has ended");
    assert!(queued.borrow().generated > 0, "the queued request has taken its place");
    assert_eq!(handle.engine.cancel("d"), 0);
    let refusal = handle.engine.submit(submission("d", 0)).unwrap_err();
    assert_eq!(refusal, engine::Refusal::Cancelled);
    tokio::time::sleep(Duration::from_secs(11)).await;
    assert!(handle.engine.submit(submission("d", 0)).is_ok());

    handle.engine.command(&engine::faults::Command { crash_ms: Some(500), ..Default::default() });
    let records = handle.engine.records();
    assert_eq!(records.refused, 1);
    let outcomes: Vec<_> = records.executions.iter().map(|execution| execution.outcome).collect();
    let crashed = engine::ledger::Outcome::Crashed;
    assert_eq!(outcomes, [engine::ledger::Outcome::Cancelled, crashed, crashed]);
    let client = http::client(Duration::from_secs(1));
    assert!(client.request(post(&handle, ID, &json!({}))).await.is_err());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(send(&handle, ID, json!({"prompt": "short", "max_tokens": 1})).await.0, 200);
}

#[tokio::test(start_paused = true)]
async fn orders_need_a_current_fence_unless_the_engine_ignores_it() {
    let handle = engine(|_| {}).await;
    let order = |fence: u64| json!({"fence": fence, "order": {"kind": "load_model", "model": "m"}});
    ask(&handle, Method::POST, "/v1/orders", order(9)).await;
    let refused = ask(&handle, Method::POST, "/v1/orders", order(8)).await;
    assert_eq!(refused, json!({"fence": 9}));
    ask(&handle, Method::POST, "/__faults", json!({"ignore_fence": true})).await;
    ask(&handle, Method::POST, "/v1/orders", order(8)).await;
    let records = handle.engine.records();
    assert_eq!((records.orders_refused, records.orders_out_of_turn), (1, 1));
    let (status, _) = send(&handle, ID, json!({"model": "other"})).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[tokio::test(start_paused = true)]
async fn crossed_answers_carry_another_id_and_keys_are_counted() {
    let handle = engine(|_| {}).await;
    ask(&handle, Method::POST, "/__faults", json!({"crossed_answers": 1})).await;
    let body = json!({"prompt": "short", "max_tokens": 3, "stream": true});
    let (_, crossed) = send(&handle, ID, body.clone()).await;
    assert_eq!(text_of(&crossed, ID), "");
    assert!(crossed.contains("-other"));

    let mut request = post(&handle, ID, &body);
    request.headers_mut().insert("authorization", "Bearer k".parse().unwrap());
    let client = http::client(Duration::from_secs(1));
    client.request(request).await.unwrap().into_body().collect().await.unwrap();
    assert_eq!(handle.engine.records().authorization_seen, 1);
}

#[tokio::test(start_paused = true)]
async fn cache_events_are_late_and_have_gaps_and_blocks_are_evicted() {
    let handle = engine(|config| {
        config.event_drop_every = 2;
        config.cache_blocks = 4;
    })
    .await;
    for prompt in ["a", "b"] {
        send(&handle, ID, json!({"prompt": prompt.repeat(4_096), "max_tokens": 1})).await;
    }
    let path = "/v1/cache/events?from=1";
    let early = ask(&handle, Method::GET, path, json!({})).await;
    assert_eq!(early["events"], json!([]), "both prefills are less than 200 ms old");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let events = ask(&handle, Method::GET, path, json!({})).await;
    let seen: Vec<_> = events["events"].as_array().unwrap().iter().collect();
    let seen: Vec<_> = seen.iter().map(|event| (&event["sequence"], &event["kind"])).collect();
    assert_eq!(seen, [(&json!(1), &json!("stored")), (&json!(3), &json!("evicted"))]);
    let snapshot = ask(&handle, Method::GET, "/v1/cache", json!({})).await;
    assert_eq!(
        (&snapshot["sequence"], snapshot["blocks"].as_array().unwrap().len()),
        (&json!(3), 4)
    );
}
