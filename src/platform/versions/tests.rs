//! Tests of the calls by which the software versions in the store are read and written.

use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use super::*;
use crate::core::fleet::servers;
use crate::platform::breaker;

/// Starts a store that gives one response; returns its address and the request line that it gets.
async fn store_with(
    status: &str,
    body: &str,
) -> (net::SocketAddr, tokio::task::JoinHandle<String>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let response =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
    let serving = tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let mut bytes = [0; 4_096];
        let length = stream.read(&mut bytes).await.expect("a request arrives");
        stream.write_all(&response).await.expect("the response is sent");
        String::from_utf8_lossy(&bytes[..length]).lines().next().unwrap_or_default().to_string()
    });
    (address, serving)
}

fn run<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("the runtime starts"), test);
}

#[test]
fn invalid_versions_in_the_store_count_as_none() {
    let valid = r#"[{"service":"llm","versions":["v1","v2"]}]"#;
    let versions = ["v1", "v2"].map(servers::SoftwareVersion::from).to_vec();
    let of_llm = versions::ServiceVersions { service: "llm".into(), versions };
    for (value, expected) in [(valid, vec![of_llm]), ("[{", Vec::new())] {
        run(async {
            use base64::Engine as _;
            let value = base64::prelude::BASE64_STANDARD.encode(value);
            let item = format!(r#"{{"Key":"fleet","Value":"{value}","Offset":3}}"#);
            let body = format!(r#"{{"items":[{item}],"HasMore":false,"EndOffset":4}}"#);
            let (address, _serving) = store_with("200 OK", &body).await;
            let mut keeper = keeper(store::Store::new(address, breaker::Breaker::new()));
            assert_eq!(read(&mut keeper).await.expect("the store answers"), expected);
        });
    }
}
