//! Lists the instances and models for callers, and serves the readiness check.

use std::collections as std_collections;

use bytes::Bytes;
use hyper::header;
use serde::Serialize;

use crate::borders::callers;
use crate::borders::callers::errors;
use crate::borders::callers::read;
use crate::borders::callers::routes;
use crate::borders::http;
use crate::core::request;

#[derive(Debug, Serialize)]
struct Instances {
    instances: Vec<Instance>,
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct Instance {
    address: std::net::SocketAddr,
    failure_domain: String,
    weight: u32,
}

#[derive(Debug, Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Debug, Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the instances that callers may use, without those that are shutting down.
pub fn instances(context: &callers::Context) -> http::Response {
    let published = context.handle.published();
    let incarnation = context.handle.incarnation();
    let members = published.view.members.iter().filter(|member| {
        let is_own = member.incarnation == incarnation;
        let is_leaving = member.leaving || (is_own && published.leaving);
        !is_leaving
    });
    let instances = members
        .map(|member| Instance {
            address: member.caller_address,
            failure_domain: String::from_utf8_lossy(&member.failure_domain).into_owned(),
            weight: member.weight,
        })
        .collect();
    let ttl_ms = u64::try_from(context.discovery_ttl.as_millis()).unwrap_or(u64::MAX);
    json(&Instances { instances, ttl_ms })
}

/// Lists the models that the caller's workspace may use.
pub fn models(context: &callers::Context, headers: &header::HeaderMap) -> http::Response {
    let published = context.handle.published();
    let Some(snapshot) = published.snapshot else { return refuse(request::Reason::Stale) };
    let key = read::key_digest(headers);
    let Some(workspace) = key.and_then(|key| snapshot.workspace_of(&key)) else {
        return refuse(request::Reason::Unauthenticated);
    };
    let routes = snapshot.document.language_routes.iter();
    let allowed = routes
        .filter(|route| route.workspaces.is_empty() || route.workspaces.contains(workspace))
        .map(|route| String::from_utf8_lossy(&route.model).into_owned())
        .collect::<std_collections::BTreeSet<_>>();
    let data = allowed
        .into_iter()
        .map(|id| Model { id, object: "model", owned_by: "galenayard" })
        .collect();
    json(&Models { object: "list", data })
}

/// Returns whether this instance accepts requests, for load balancers.
pub fn readiness(context: &callers::Context) -> http::Response {
    let published = context.handle.published();
    if published.leaving {
        return refuse(request::Reason::Draining);
    }
    if !published.valid {
        return refuse(request::Reason::NoLease);
    }
    if !published.fresh || published.snapshot.is_none() {
        return refuse(request::Reason::Stale);
    }
    routes::text("ready\n")
}

fn refuse(reason: request::Reason) -> http::Response {
    errors::refusal(&request::Refusal { reason, ran: request::Ran::No, retry_after_ms: None })
}

fn json<T: Serialize>(value: &T) -> http::Response {
    let body = serde_json::to_vec(value).map(Bytes::from).unwrap_or_default();
    let mut response = hyper::Response::new(http::full(body));
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
