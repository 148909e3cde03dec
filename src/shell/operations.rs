//! Implements the operators' requests on the reducer's state and the part of it that is published.

use std::sync;

use futures_util::future;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use serde_json::json;

use crate::borders::operators;
use crate::core::configuration;
use crate::core::escrow;
use crate::core::ids;
use crate::core::scheduler;
use crate::core::state;
use crate::settings;
use crate::shell::explain;
use crate::shell::handle;
use crate::shell::logging;

/// The operators' requests to one instance.
pub struct Operations {
    handle: handle::Handle,
    instance: String,
    metrics: PrometheusHandle,
    logging: sync::Arc<logging::Logging>,
}

/// The status of an instance.
#[derive(Debug, Serialize)]
struct Status {
    instance: String,
    incarnation: String,
    valid: bool,
    fresh: bool,
    leaving: bool,
    live_requests: usize,
    view_version: ids::Offset,
    members: usize,
    configuration: configuration::Status,
    limits: Vec<Limit>,
    servers: Vec<Server>,
}

/// The rights of this instance to the tokens of a workspace.
#[derive(Debug, Serialize)]
struct Limit {
    workspace: String,
    held_shares: Vec<u8>,
    level_tokens: u64,
    outstanding_tokens: u64,
    waiting_requests: usize,
    debt_tokens: u64,
}

/// The usage of a server that this instance schedules.
#[derive(Debug, Serialize)]
struct Server {
    id: String,
    usage: scheduler::Usage,
}

/// A member of the fleet.
#[derive(Debug, Serialize)]
struct Member {
    id: String,
    incarnation: String,
    failure_domain: String,
    weight: u32,
    caller_address: std::net::SocketAddr,
    peer_address: std::net::SocketAddr,
    leaving: bool,
}

impl Operations {
    /// Creates the operators' interface of an instance.
    pub fn new(
        handle: handle::Handle,
        instance: String,
        metrics: PrometheusHandle,
        logging: sync::Arc<logging::Logging>,
    ) -> Self {
        Self { handle, instance, metrics, logging }
    }

    async fn read_status(&self) -> serde_json::Value {
        let published = self.handle.published();
        let now = self.handle.now();
        let queried = self
            .handle
            .query(move |state| (state.configuration().status(now), limits(state), servers(state)));
        let Some((configuration, limits, servers)) = queried.await else {
            return json!({ "error": "the reducer's task has ended; restart the instance" });
        };
        let status = Status {
            instance: self.instance.clone(),
            incarnation: format!("{:016x}", self.handle.incarnation()),
            valid: published.valid,
            fresh: published.fresh,
            leaving: published.leaving,
            live_requests: published.live_requests,
            view_version: published.view.version,
            members: published.view.members.len(),
            configuration,
            limits,
            servers,
        };
        json!(status)
    }

    fn read_instances(&self) -> serde_json::Value {
        let published = self.handle.published();
        let members = published.view.members.iter();
        let instances: Vec<Member> = members
            .map(|member| Member {
                id: text(&member.id),
                incarnation: format!("{:016x}", member.incarnation),
                failure_domain: text(&member.failure_domain),
                weight: member.weight,
                caller_address: member.caller_address,
                peer_address: member.peer_address,
                leaving: member.leaving,
            })
            .collect();
        json!({ "version": published.view.version, "instances": instances })
    }
}

impl operators::Operations for Operations {
    fn propose(
        &self,
        proposal: configuration::Proposal,
    ) -> future::BoxFuture<'_, configuration::ProposalOutcome> {
        Box::pin(self.handle.propose(proposal))
    }

    fn current(&self) -> future::BoxFuture<'_, Option<operators::CurrentDocument>> {
        Box::pin(async move {
            let current = self.handle.query(|state| {
                let (entry, body) = state.configuration().current_body()?;
                Some(operators::CurrentDocument { entry: entry.clone(), body: body.clone() })
            });
            current.await.flatten()
        })
    }

    fn history(&self) -> future::BoxFuture<'_, Vec<configuration::Entry>> {
        Box::pin(async move {
            let history = self
                .handle
                .query(|state| state.configuration().history().cloned().collect::<Vec<_>>());
            history.await.unwrap_or_default()
        })
    }

    fn status(&self) -> future::BoxFuture<'_, serde_json::Value> {
        Box::pin(self.read_status())
    }

    fn explain(&self, request: ids::RequestId) -> future::BoxFuture<'_, Option<serde_json::Value>> {
        let entries = self.handle.explanations().decisions(request);
        let explanation = entries.map(|entries| {
            let steps: Vec<_> = entries.iter().map(explain::Entry::describe).collect();
            json!({
                "request": ids::request_text(request),
                "instance": self.instance,
                "steps": steps,
            })
        });
        Box::pin(future::ready(explanation))
    }

    fn instances(&self) -> future::BoxFuture<'_, serde_json::Value> {
        Box::pin(future::ready(self.read_instances()))
    }

    fn metrics(&self) -> String {
        self.metrics.run_upkeep();
        self.metrics.render()
    }

    fn set_log_level(&self, level: settings::LogLevel) {
        self.logging.set_level(level);
    }
}

fn limits(state: &state::State) -> Vec<Limit> {
    state.escrow().status().into_iter().map(limit).collect()
}

fn limit(status: escrow::status::Status) -> Limit {
    Limit {
        workspace: text(&status.workspace),
        held_shares: status.held_shares,
        level_tokens: status.level_tokens,
        outstanding_tokens: status.outstanding_tokens,
        waiting_requests: status.waiting + status.queued,
        debt_tokens: status.debt_tokens,
    }
}

fn servers(state: &state::State) -> Vec<Server> {
    let snapshot = state.configuration().current();
    let servers = snapshot.into_iter().flat_map(|snapshot| &snapshot.document.servers);
    servers
        .filter_map(|server| {
            let usage = state.scheduler().usage(&server.id)?;
            Some(Server { id: text(&server.id), usage })
        })
        .collect()
}

fn text(name: &bytes::Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}
