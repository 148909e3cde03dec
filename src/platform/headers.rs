//! The platform's HTTP headers and paths, for callers and servers.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http;

use crate::core::fleet;
use crate::core::fleet::call;
use crate::core::fleet::notices;
use crate::core::fleet::refusal;
use crate::core::fleet::server_limits;
use crate::core::fleet::server_load;
use crate::core::ids;
use crate::lists;
use crate::router::body;
use crate::router::dialect;

/// The id that the caller gives an attempt; servers echo it.
const ATTEMPT_ID: &str = "attempt-id";
/// How long the caller, or this instance, waits for the response, in milliseconds.
const DEADLINE: &str = "deadline-ms";
/// The prompt's tokens and the maximum of output tokens, separated by a comma.
const TOKEN_COUNT: &str = "token-count";
/// The parts of the prompt in order, as ID:TOKENS separated by commas, with hexadecimal ids.
const PREFIX_HASH: &str = "prefix-hash";
/// The caller's estimate of the output tokens.
const LENGTH_HINT: &str = "length-hint";
/// The id of the event after which a stream is resumed.
const LAST_EVENT_ID: &str = "last-event-id";
/// The id of the attempt that brought the first event of the stream that a request resumes.
const RESUMES: &str = "resumes";
/// The name of the workspace.
const TENANT: &str = "tenant";
/// The server that the request is meant for; another server rejects it.
const EXPECT_INSTANCE: &str = "expect-instance";
/// Set to request only the prefill of a prompt.
const STAGE: &str = "stage";
/// The prefill server and the handle of the prompt's KV cache.
const KV_SOURCE: &str = "kv-source";
/// Present if the server has not run the request.
const NOT_EXECUTED: &str = "not-executed";
/// The server's signature of its response.
const SERVER_STAMP: &str = "server-stamp";

/// The requests a second that the server takes from all instances together.
const SERVER_LIMIT: &str = "server-limit";

/// The requests that the server runs, those that wait there and its slots, separated by commas; after
/// them, the time that work takes in percent of the usual time, if the server states it.
const SERVER_LOAD: &str = "server-load";

/// Present if the server leaves, with the value 1.
const SERVER_LEAVING: &str = "server-leaving";

/// The time for which the server is still cold, in milliseconds.
const COLD_TIME: &str = "cold-ms";

/// Headers that only the router and the servers set; a caller's values are removed.
const RESERVED_HEADERS: [&str; 12] = [
    TENANT,
    EXPECT_INSTANCE,
    STAGE,
    KV_SOURCE,
    DEADLINE,
    "kv-fetch",
    "kv-hold",
    "kv-backup",
    "pin-ms",
    "request-urgency",
    "expect-version",
    "content-length",
];

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How long callers may use the list of addresses, in seconds. Some use it three times as long, and
/// a stopping instance must still accept requests for all that time.
const ADDRESSES_TTL_S: f64 = 1.4;

/// The maximum number of parts of a prompt that are read, besides the last one.
const MAX_SHARED_PARTS: usize = 32;

/// The longest pause or cold time that is taken from a server, in seconds.
const MAX_PAUSE_S: f64 = 86_400.0;

/// Translates the platform's HTTP messages.
#[derive(Debug, Clone, Copy)]
pub struct PlatformDialect;

#[derive(serde::Serialize)]
#[serde(rename_all = "PascalCase")]
struct Addresses {
    addresses: Vec<String>,
    ttl_s: f64,
}

#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct PrefillResponse {
    kv_handle: String,
}

/// The parts of prompts that a server keeps.
#[derive(serde::Deserialize)]
struct PromptList {
    #[serde(deserialize_with = "lists::readable_entries")]
    held: Vec<KeptPart>,
}

/// An unused text, the id of the part, its tokens and the model.
#[derive(serde::Deserialize)]
struct KeptPart(serde::de::IgnoredAny, String, serde::de::IgnoredAny, serde::de::IgnoredAny);

impl dialect::Dialect for PlatformDialect {
    fn read_id(&self, head: &http::request::Parts) -> Bytes {
        let id = head.headers.get(ATTEMPT_ID);
        id.map(|id| Bytes::copy_from_slice(id.as_bytes())).unwrap_or_default()
    }

    fn read_call(&self, head: &http::request::Parts) -> Result<call::Call, refusal::Reason> {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = text(ATTEMPT_ID).ok_or(refusal::Reason::Malformed)?;
        let host = text("host").or_else(|| head.uri.host()).ok_or(refusal::Reason::Malformed)?;
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let deadline = text(DEADLINE).and_then(|text| text.trim().parse::<f64>().ok());
        let key = text("authorization").and_then(|value| {
            let (scheme, key) = value.split_once(' ')?;
            scheme.eq_ignore_ascii_case("bearer").then(|| Bytes::from(key.trim().to_string()))
        });
        let (prompt, shared_parts) = text(PREFIX_HASH).map(parse_parts).unwrap_or_default();
        Ok(call::Call {
            id: Bytes::from(id.to_string()),
            host,
            path: head.uri.path().to_string(),
            key,
            deadline: deadline
                .filter(|ms| ms.is_finite() && *ms >= 0.0)
                .map(|ms| time::Duration::from_secs_f64((ms / 1_000.0).min(86_400.0))),
            tokens: text(TOKEN_COUNT)
                .and_then(|count| parse_token_counts(count, text(LENGTH_HINT))),
            prompt,
            shared_parts,
            content: None,
            resumes: text(LAST_EVENT_ID)
                .map(|_| Bytes::from(text(RESUMES).unwrap_or_default().to_string())),
        })
    }

    fn write_request(
        &self,
        head: &http::request::Parts,
        body: Bytes,
        dispatch: &fleet::Dispatch,
        remaining: time::Duration,
        after_event: Option<&http::HeaderValue>,
    ) -> http::Request<Full<Bytes>> {
        let mut headers = head.headers.clone();
        remove_hop_by_hop_headers(&mut headers);
        for name in RESERVED_HEADERS {
            headers.remove(name);
        }
        if dispatch.hides_keys {
            headers.remove("authorization");
        }
        set_header(&mut headers, EXPECT_INSTANCE, &String::from_utf8_lossy(&dispatch.server));
        set_header(&mut headers, DEADLINE, &remaining.as_millis().to_string());
        if let Some(workspace) = &dispatch.workspace {
            set_header(&mut headers, TENANT, workspace);
        }
        if let Some(id) = after_event {
            headers.insert(LAST_EVENT_ID, id.clone());
        }
        match &dispatch.step {
            fleet::Step::Run | fleet::Step::Resume => {}
            fleet::Step::Prefill => set_header(&mut headers, STAGE, "prefill"),
            fleet::Step::Decode { source, handle } => {
                set_header(&mut headers, KV_SOURCE, &format!("{source}/{handle}"));
            }
        }
        let has_body = !body.is_empty() || head.headers.contains_key("content-length");
        let mut request = http::Request::new(Full::new(body));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = request_target(&head.uri);
        *request.headers_mut() = headers;
        if !has_body {
            request.headers_mut().remove("content-length");
        }
        request
    }

    fn read_response_head(
        &self,
        head: &http::response::Parts,
        call: &call::Call,
    ) -> dialect::ResponseHead {
        let echoed = head.headers.get(ATTEMPT_ID).map(http::HeaderValue::as_bytes);
        let is_misdirected = head.status == http::StatusCode::MISDIRECTED_REQUEST;
        dialect::ResponseHead {
            is_rejection: head.headers.contains_key(NOT_EXECUTED) || is_misdirected,
            is_misdirected,
            matches_request: echoed == Some(call.id.as_ref()),
            is_foreign: echoed.is_some_and(|echoed| echoed != call.id.as_ref()),
            is_signed: head.headers.contains_key(SERVER_STAMP),
            limit: parse_limit(&head.headers),
            notice: notices::Notice {
                is_leaving: parse_leaving(&head.headers),
                pause: parse_pause(head),
                cold: parse_cold_time(&head.headers),
            },
            load: parse_load(&head.headers),
        }
    }

    fn clean_response_head(&self, head: &mut http::response::Parts) {
        remove_hop_by_hop_headers(&mut head.headers);
        for name in ["content-length", SERVER_LOAD, "instance-id"] {
            head.headers.remove(name);
        }
        head.version = http::Version::HTTP_11;
    }

    fn read_prefill_response(&self, body: &[u8]) -> Option<fleet::HandleId> {
        serde_json::from_slice::<PrefillResponse>(body).ok().map(|response| response.kv_handle)
    }

    fn write_release(&self, server: net::SocketAddr, handle: &str) -> http::Request<Full<Bytes>> {
        let mut request = http::Request::new(Full::new(Bytes::new()));
        *request.method_mut() = http::Method::DELETE;
        // A handle that is not valid in a path cannot belong to any KV cache.
        *request.uri_mut() = format!("/-/kv-handle/{handle}").parse().unwrap_or_default();
        set_header(request.headers_mut(), "host", &server.to_string());
        request
    }

    fn write_prompt_list_query(
        &self,
        server: &ids::ServerId,
        address: net::SocketAddr,
    ) -> http::Request<Full<Bytes>> {
        let mut request = http::Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static("/-/kv-list");
        set_header(request.headers_mut(), "host", &address.to_string());
        set_header(request.headers_mut(), EXPECT_INSTANCE, &String::from_utf8_lossy(server));
        request
    }

    fn read_prompt_list(&self, body: &[u8]) -> Result<Vec<call::PromptId>, serde_json::Error> {
        let list: PromptList = serde_json::from_slice(body)?;
        Ok(list.held.iter().filter_map(|part| parse_part_id(&part.1)).collect())
    }

    fn read_discovery_query(&self, head: &http::request::Parts) -> dialect::DiscoveryQuery {
        match head.uri.path() {
            "/-/readyz" => dialect::DiscoveryQuery::Readiness,
            "/-/resolve" => dialect::DiscoveryQuery::CallerAddresses,
            _ => dialect::DiscoveryQuery::Unknown,
        }
    }

    fn write_caller_addresses(&self, addresses: &[net::SocketAddr]) -> http::Response<body::Body> {
        let addresses = addresses.iter().map(net::SocketAddr::to_string).collect();
        json_response(&Addresses { addresses, ttl_s: ADDRESSES_TTL_S })
    }

    fn write_refusal(&self, refusal: refusal::Refusal) -> http::Response<body::Body> {
        let mut response = json_response(&serde_json::json!({ "reason": refusal.reason }));
        *response.status_mut() = http::StatusCode::from_u16(refusal.status())
            .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        if let Some(wait) = refusal.retry_after {
            set_header(
                response.headers_mut(),
                "retry-after",
                &format!("{:.3}", wait.as_secs_f64()),
            );
        }
        response
    }
}

fn parse_limit(headers: &http::HeaderMap) -> server_limits::Statement {
    let mut values = headers.get_all(SERVER_LIMIT).iter();
    let Some(value) = values.next() else { return server_limits::Statement::Unlimited };
    let rate = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match rate.filter(|rate| rate.is_finite() && *rate >= 0.0) {
        Some(rate) if values.next().is_none() => server_limits::Statement::PerSecond(rate),
        _ => server_limits::Statement::Invalid,
    }
}

fn parse_load(headers: &http::HeaderMap) -> server_load::Reading {
    let mut values = headers.get_all(SERVER_LOAD).iter();
    let Some(value) = values.next() else { return server_load::Reading::Absent };
    let statement = value.to_str().ok().and_then(parse_load_figures);
    match statement.filter(server_load::Statement::is_valid) {
        Some(statement) if values.next().is_none() => server_load::Reading::Stated(statement),
        _ => server_load::Reading::Invalid,
    }
}

fn parse_load_figures(text: &str) -> Option<server_load::Statement> {
    let mut figures = text.split(',').map(str::trim);
    let mut count = || figures.next()?.parse::<u32>().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let work_percent = match figures.next() {
        Some(percent) => Some(percent.parse::<f64>().ok()?),
        None => None,
    };
    let is_whole = figures.next().is_none();
    is_whole.then_some(server_load::Statement { running, waiting, slots, work_percent })
}

fn parse_leaving(headers: &http::HeaderMap) -> bool {
    let values = || headers.get_all(SERVER_LEAVING).iter();
    let is_leaving = values().any(|value| value.as_bytes().trim_ascii() == b"1");
    let is_valid = |value: &http::HeaderValue| matches!(value.as_bytes().trim_ascii(), b"0" | b"1");
    if !values().all(is_valid) {
        log::warn!("ignoring an invalid statement of a server that it leaves");
    }
    is_leaving
}

/// Returns the longest time for which a server states that it is still cold.
fn parse_cold_time(headers: &http::HeaderMap) -> Option<time::Duration> {
    let values: Vec<_> = headers.get_all(COLD_TIME).iter().collect();
    let millis = |value: &http::HeaderValue| value.to_str().ok()?.trim().parse::<f64>().ok();
    let is_valid = |ms: &f64| ms.is_finite() && *ms >= 0.0;
    let valid: Vec<_> = values.iter().filter_map(|it| millis(it).filter(is_valid)).collect();
    if valid.len() < values.len() {
        log::warn!("ignoring an invalid cold time that a server states: {values:?}");
    }
    let longest = valid.into_iter().max_by(f64::total_cmp)?;
    Some(time::Duration::from_secs_f64((longest / 1_000.0).min(MAX_PAUSE_S)))
}

/// Returns the time for which a server that turns a request away wants none; longer than a day means
/// a day.
fn parse_pause(head: &http::response::Parts) -> Option<time::Duration> {
    if head.status != http::StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values: Vec<_> = head.headers.get_all(http::header::RETRY_AFTER).iter().collect();
    let seconds = |value: &http::HeaderValue| value.to_str().ok()?.trim().parse::<f64>().ok();
    let seconds: Vec<_> = values.iter().filter_map(|value| seconds(value)).collect();
    let is_valid = |seconds: &f64| seconds.is_finite() && *seconds >= 0.0;
    let longest = seconds.iter().copied().filter(is_valid).max_by(f64::total_cmp);
    if seconds.len() < values.len() || !seconds.iter().all(is_valid) {
        log::warn!("ignoring an invalid pause that a server asks for: {values:?}");
    }
    longest.map(|seconds| time::Duration::from_secs_f64(seconds.min(MAX_PAUSE_S)))
}

fn parse_token_counts(count: &str, hint: Option<&str>) -> Option<call::Tokens> {
    let (prompt, output) = count.split_once(',')?;
    let output_tokens: u32 = output.trim().parse().ok()?;
    let hinted = hint.and_then(|hint| hint.trim().parse::<f64>().ok());
    let expected_tokens = hinted.map_or(output_tokens, |hint| hint.max(0.0) as u32);
    Some(call::Tokens {
        prompt_tokens: prompt.trim().parse().ok()?,
        output_tokens,
        expected_tokens: expected_tokens.min(output_tokens),
    })
}

/// Returns the id of the last part of a prompt, and those of the parts before it.
fn parse_parts(parts: &str) -> (Option<call::PromptId>, Vec<call::PartId>) {
    let id_of = |part: &str| parse_part_id(part.split_once(':')?.0);
    let (shared, last) = parts.rsplit_once(',').unwrap_or(("", parts));
    let shared = shared.split(',').filter_map(id_of).take(MAX_SHARED_PARTS).collect();
    (id_of(last), shared)
}

fn parse_part_id(id: &str) -> Option<call::PromptId> {
    u64::from_str_radix(id.trim(), 16).ok()
}

fn request_target(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map(http::Uri::from).unwrap_or_default()
}

fn remove_hop_by_hop_headers(headers: &mut http::HeaderMap) {
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

fn set_header(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    match http::HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(failure) => log::warn!("cannot set header {name}: {failure}"),
    }
}

fn json_response<T: serde::Serialize>(value: &T) -> http::Response<body::Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = http::Response::new(body::Body::full(text));
    set_header(response.headers_mut(), "content-type", "application/json");
    response
}
