//! Sessions with the fake log, instance list and plain service over HTTP, in paused time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use standins::{http, instances, log, plain};

async fn call(
    address: std::net::SocketAddr,
    method: Method,
    path: &str,
    body: Value,
) -> Result<(StatusCode, Value), http::BoxError> {
    let client = http::client(Duration::from_secs(1));
    http::call_json(&client, method, &format!("http://{address}{path}"), &body).await
}

#[tokio::test(start_paused = true)]
async fn appends_keep_their_effect_when_the_answer_is_lost() {
    let config = log::Config { retention: Duration::from_secs(60), ..log::Config::default() };
    let handle = log::spawn(config).await.unwrap();
    let address = handle.server.address;
    let path = "/v1/streams/s/records";
    let first = call(address, Method::POST, path, json!(1)).await.unwrap();
    assert_eq!(first, (StatusCode::OK, json!({"offset": 1})));
    handle.log.command(&log::Command { lose_answers: Some(1), ..Default::default() });
    assert!(call(address, Method::POST, path, json!(2)).await.is_err());

    let read = call(address, Method::GET, &format!("{path}?from=2"), json!({})).await.unwrap().1;
    assert_eq!(read["next"], 3);
    assert_eq!(read["records"][0]["body"], "Mg==");
    handle.log.command(&log::Command { outage: Some(true), ..Default::default() });
    assert_eq!(call(address, Method::POST, path, json!(3)).await.unwrap().0, 503);
    handle.log.command(&log::Command { outage: Some(false), ..Default::default() });

    let poll = format!("{path}?from=3&wait_ms=5000");
    let (read, appended) = tokio::join!(call(address, Method::GET, &poll, json!({})), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        call(address, Method::POST, path, json!(4)).await
    });
    assert_eq!(read.unwrap().1["records"][0]["offset"], 3);
    assert!(appended.is_ok());
    tokio::time::sleep(Duration::from_secs(61)).await;
    let read = call(address, Method::GET, path, json!({})).await.unwrap().1;
    assert_eq!(read, json!({"first": 4, "next": 4, "records": []}));
    assert_eq!(handle.log.records().lost_answers, 1);
}

#[tokio::test(start_paused = true)]
async fn the_log_refuses_what_exceeds_its_rate() {
    let config = log::Config { appends_per_s: 2.0, ..log::Config::default() };
    let handle = log::spawn(config).await.unwrap();
    let offsets: Vec<_> = (0..3).map(|_| handle.log.append("s", "x".into())).collect();
    assert_eq!(offsets, [Some(1), Some(2), None]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(handle.log.append("s", "x".into()), Some(3));
}

#[tokio::test(start_paused = true)]
async fn the_list_changes_after_its_lag() {
    let handle = instances::spawn(instances::Config::default()).await.unwrap();
    let address = handle.server.address;
    let listing = json!({"instances": [{"id": "a", "peer_address": "127.0.0.1:1",
        "failure_domain": "d1", "state": "leaving"}], "servers": [{"id": "s", "state": "live"}]});
    call(address, Method::PUT, "/__instances", listing.clone()).await.unwrap();
    let before = call(address, Method::GET, "/v1/instances", json!({})).await.unwrap().1;
    assert_eq!(before, json!({"instances": [], "servers": []}));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = call(address, Method::GET, "/v1/instances", json!({})).await.unwrap().1;
    assert_eq!(after, listing);
}

#[tokio::test(start_paused = true)]
async fn plain_calls_are_recorded_even_when_their_answer_is_lost() {
    let handle = plain::spawn(plain::Config::default()).await.unwrap();
    let address = handle.server.address;
    let order = json!({"id": "o1"});
    handle.plain.command(&plain::Command { lose_answers: Some(1), ..Default::default() });
    assert!(call(address, Method::POST, "/orders", order.clone()).await.is_err());
    let second = call(address, Method::POST, "/orders", order.clone()).await.unwrap().1;
    assert_eq!(second["times"], 2);
    let stock = call(address, Method::GET, "/stock/1", json!({})).await.unwrap().1;
    assert_eq!(stock["stock"], 7);
    assert_eq!(call(address, Method::POST, "/echo", order.clone()).await.unwrap().1, order);
    let answered: Vec<_> = handle.plain.records().calls.iter().map(|call| call.answered).collect();
    assert_eq!(answered, [false, true]);
}
