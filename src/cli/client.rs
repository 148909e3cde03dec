//! Asks an instance's side for operators.

use std::fs;
use std::time;

use bytes::Bytes;
use hyper::header;
use serde::de::DeserializeOwned;

use crate::borders::http;
use crate::borders::operators::api;
use crate::cli::{args, exit};
use crate::core::ids;
use crate::core::request;
use crate::document;

/// How long a connection may take.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// How long an instance may take to answer; longer than a proposal may take.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Bytes of an answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Attempts at a proposal whose end is unknown.
const PROPOSAL_ATTEMPTS: usize = 3;

/// A document in force as an instance answers it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Current {
    /// The version.
    pub version: u64,
    /// The SHA-256 digest in hexadecimal digits.
    pub digest: String,
    /// Who proposed it.
    pub author: String,
    /// Its bytes.
    pub body: Bytes,
}

/// A proposal as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Its number, the same in each attempt.
    pub id: u128,
    /// The version that it replaces.
    pub base: u64,
    /// Who proposes it.
    pub author: String,
    /// The document.
    pub body: Bytes,
}

/// An answer that was read to its end.
struct Answer {
    status: hyper::StatusCode,
    headers: header::HeaderMap,
    body: Bytes,
}

/// A client of one instance.
pub struct Client {
    address: std::net::SocketAddr,
    key: header::HeaderValue,
    http: http::Client,
    runtime: tokio::runtime::Runtime,
}

impl Client {
    /// Reads the key and prepares the client.
    pub fn new(remote: &args::Remote) -> Result<Self, exit::Failure> {
        let file = |source| exit::Failure::File { path: remote.key_file.clone(), source };
        let text = fs::read_to_string(&remote.key_file).map_err(file)?;
        let key = text.lines().next().unwrap_or_default().trim();
        if key.is_empty() {
            return Err(exit::Failure::NoKey(remote.key_file.clone()));
        }
        let mut key = header::HeaderValue::try_from(format!("Bearer {key}"))
            .map_err(|_| exit::Failure::NoKey(remote.key_file.clone()))?;
        key.set_sensitive(true);
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(file)?;
        let timeouts = http::Timeouts { connect: CONNECT_TIMEOUT, idle: ANSWER_TIMEOUT };
        Ok(Self { address: remote.address, key, http: http::Client::new(timeouts), runtime })
    }

    /// Asks for a JSON value.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, exit::Failure> {
        let answer = self.send(self.request(hyper::Method::GET, path), Bytes::new());
        self.json(answer.map_err(|failure| self.unreachable(&failure))?)
    }

    /// Changes what the instance logs.
    pub fn set_log_level(&self, level: api::Level) -> Result<api::Level, exit::Failure> {
        let body = serde_json::to_vec(&level).unwrap_or_default();
        let request = self.request(hyper::Method::PUT, "/v1/log-level");
        let answer = self.send(request, Bytes::from(body));
        self.json(answer.map_err(|failure| self.unreachable(&failure))?)
    }

    /// Asks for the document in force; `None` if there is none.
    pub fn current(&self) -> Result<Option<Current>, exit::Failure> {
        let answer = self.send(self.request(hyper::Method::GET, "/v1/config"), Bytes::new());
        let answer = answer.map_err(|failure| self.unreachable(&failure))?;
        match self.checked(answer) {
            Ok(answer) => self.read_current(&answer).map(Some),
            Err(exit::Failure::Refused(detail)) if detail.kind == api::Kind::NotFound => Ok(None),
            Err(failure) => Err(failure),
        }
    }

    /// Asks for the document in force and refuses if there is none.
    pub fn document(&self) -> Result<Current, exit::Failure> {
        self.current()?.ok_or_else(|| {
            exit::Failure::Refused(api::ErrorDetail::new(
                api::Kind::NotFound,
                "no document is in force",
                "apply one with `galenayard config apply`",
            ))
        })
    }

    /// Proposes a document; repeats the proposal while its end is unknown.
    pub fn propose(&self, proposal: &Proposal) -> Result<api::Accepted, exit::Failure> {
        let mut uncertain = false;
        for _ in 0..PROPOSAL_ATTEMPTS {
            match self.send(self.proposal(proposal), proposal.body.clone()) {
                Ok(answer) => match self.json(answer) {
                    Err(exit::Failure::Refused(detail)) if detail.kind == api::Kind::Unknown => {
                        uncertain = true;
                    }
                    Err(exit::Failure::Refused(detail))
                        if uncertain && detail.kind == api::Kind::Unavailable => {}
                    result => return result,
                },
                Err(failure) if failure.ran == request::Ran::No && !uncertain => {
                    return Err(self.unreachable(&failure));
                }
                Err(_) => uncertain = true,
            }
        }
        Err(exit::Failure::Unknown { proposal: proposal.id, base: proposal.base })
    }

    fn proposal(&self, proposal: &Proposal) -> hyper::http::request::Builder {
        self.request(hyper::Method::POST, "/v1/config")
            .header(api::BASE_HEADER, proposal.base)
            .header(api::PROPOSAL_HEADER, ids::request_text(proposal.id))
            .header(api::AUTHOR_HEADER, proposal.author.as_bytes())
    }

    fn request(&self, method: hyper::Method, path: &str) -> hyper::http::request::Builder {
        hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::AUTHORIZATION, self.key.clone())
    }

    fn send(
        &self,
        builder: hyper::http::request::Builder,
        body: Bytes,
    ) -> Result<Answer, request::Failure> {
        let not_sent = request::Failure { fault: request::Fault::Malformed, ran: request::Ran::No };
        let request = builder.body(http::full(body)).map_err(|_| not_sent)?;
        self.runtime.block_on(async {
            let response =
                self.http.send(self.address, request, http::Reuse::Never, ANSWER_TIMEOUT).await?;
            let (head, body) = response.into_parts();
            let body = http::read_body(body, MAX_ANSWER_BYTES, ANSWER_TIMEOUT)
                .await
                .map_err(|fault| request::Failure { fault, ran: request::Ran::Unknown })?;
            Ok(Answer { status: head.status, headers: head.headers, body })
        })
    }

    fn unreachable(&self, failure: &request::Failure) -> exit::Failure {
        let reason = format!("no answer ({:?})", failure.fault);
        exit::Failure::Unreachable { address: self.address, reason }
    }

    fn unreadable(&self, reason: impl Into<String>) -> exit::Failure {
        exit::Failure::Unreadable { address: self.address, reason: reason.into() }
    }

    /// Turns an answer that tells of a failure into one.
    fn checked(&self, answer: Answer) -> Result<Answer, exit::Failure> {
        if answer.status.is_success() {
            return Ok(answer);
        }
        match serde_json::from_slice::<api::ErrorBody>(&answer.body) {
            Ok(body) => Err(exit::Failure::Refused(body.error)),
            Err(_) => Err(self.unreadable(format!("status {}", answer.status))),
        }
    }

    fn json<T: DeserializeOwned>(&self, answer: Answer) -> Result<T, exit::Failure> {
        let answer = self.checked(answer)?;
        serde_json::from_slice(&answer.body).map_err(|error| self.unreadable(error.to_string()))
    }

    fn read_current(&self, answer: &Answer) -> Result<Current, exit::Failure> {
        let text = |name: &str| {
            let value = answer.headers.get(name).map(|value| value.as_bytes());
            value.map(|value| String::from_utf8_lossy(value).into_owned())
        };
        let version = text(api::VERSION_HEADER).and_then(|version| version.parse().ok());
        let (Some(version), Some(digest)) = (version, text(api::DIGEST_HEADER)) else {
            return Err(self.unreadable("no version or digest"));
        };
        if answer.body.len() > document::constants::MAX_DOCUMENT_BYTES {
            return Err(self.unreadable("the document is too long"));
        }
        let author = text(api::AUTHOR_HEADER).unwrap_or_default();
        Ok(Current { version, digest, author, body: answer.body.clone() })
    }
}
