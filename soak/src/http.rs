//! Small HTTP servers and whole answers.

use std::convert;
use std::future;
use std::io;
use std::net;
use std::rc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::combinators;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;

/// An answer, whole or streamed.
pub type Response = hyper::Response<combinators::UnsyncBoxBody<Bytes, convert::Infallible>>;

/// Returns an answer with a body.
pub fn response<B: Into<Bytes>>(status: u16, body: B) -> Response {
    let mut response = hyper::Response::new(Full::new(body.into()).boxed_unsync());
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Serves every connection of an address with a function.
///
/// # Errors
///
/// Fails if the address is taken.
pub async fn serve<F, R>(address: net::SocketAddr, answer: F) -> io::Result<net::SocketAddr>
where
    F: Fn(hyper::Request<Incoming>) -> R + 'static,
    R: future::Future<Output = Response> + 'static,
{
    let listener = tokio::net::TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let answer = rc::Rc::new(answer);
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = rc::Rc::clone(&answer);
            tokio::task::spawn_local(async move {
                let service = service::service_fn(move |request| {
                    let answering = answer(request);
                    async move { Ok::<_, convert::Infallible>(answering.await) }
                });
                // A connection that the other side breaks is part of the run.
                let _ =
                    http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(bound)
}

/// Returns the value of a parameter of the query, decoded like that of a form.
pub fn parameter(request: &hyper::Request<Incoming>, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| {
        let value = value.replace('+', " ");
        percent_encoding::percent_decode_str(&value).decode_utf8_lossy().into_owned()
    })
}
