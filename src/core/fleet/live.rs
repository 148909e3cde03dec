//! A request from its arrival to exactly one end.

use std::sync;

use crate::core::fleet::Step;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::servers;
use crate::core::ids;

/// A request at a server.
#[derive(Debug, Clone)]
pub struct AtServer {
    /// The server.
    pub server: ids::ServerId,
    /// What it does.
    pub step: Step,
    /// The load that is counted for it.
    pub load: servers::Load,
    /// When it was sent.
    pub sent: ids::Timestamp,
    /// Prompt tokens that the server read before and for this request.
    pub tokens_to_read: u32,
    /// The decode server at which memory is set aside until the prompt is read.
    pub reserved: Option<(ids::ServerId, servers::Load)>,
    /// Whether the answer has begun.
    pub is_started: bool,
}

/// Where a request is.
#[derive(Debug, Clone)]
pub enum Phase {
    /// It waits for a server.
    Waiting,
    /// It is at a server.
    AtServer(AtServer),
    /// A failed answer is kept, or the request has been ended.
    Ending,
}

/// A live request.
#[derive(Debug, Clone)]
pub struct Live {
    /// The caller's request.
    pub call: call::Call,
    /// Its route.
    pub route: sync::Arc<catalog::Route>,
    /// The service that was chosen among the route's.
    pub service: catalog::ServiceId,
    /// The engine's shape if engines serve it.
    pub engine: Option<catalog::EngineShape>,
    /// The workspace it runs for.
    pub workspace: Option<sync::Arc<catalog::Workspace>>,
    /// What was taken from the workspace's bucket.
    pub charge: f64,
    /// When it arrived.
    pub arrived: ids::Timestamp,
    /// When its time is over.
    pub expires: ids::Timestamp,
    /// When its answer must have begun, or its caller leaves.
    pub begin_by: ids::Timestamp,
    /// When its objective is missed.
    pub objective_at: ids::Timestamp,
    /// Where it is.
    pub phase: Phase,
    /// Servers that it has tried.
    pub tried: Vec<ids::ServerId>,
    /// Servers at which a run has arrived.
    pub arrivals: u32,
    /// Calls that only had the prompt read.
    pub prefills: u32,
    /// The server that has read its prompt for a hand-over.
    pub prefilled_at: Option<ids::ServerId>,
    /// Whether a server may have run it.
    pub may_have_run: bool,
    /// Whether a part of the answer was passed on.
    pub is_relaying: bool,
}

impl Live {
    /// Returns the rank, 0 first.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        workspace.unwrap_or(self.route.priority)
    }

    /// Returns its place in the order of waiting: requests that can still meet their objective go
    /// first, by rank and objective; late ones follow by the end of their callers' patience.
    pub fn order(&self, now: ids::Timestamp) -> (bool, u8, ids::Timestamp) {
        let is_late = now >= self.objective_at;
        (is_late, self.priority(), if is_late { self.begin_by } else { self.objective_at })
    }

    /// Returns whether the request may run again.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeat == catalog::Repeat::Idempotent
    }

    /// Returns its tokens; a small prompt if it names none.
    pub fn tokens(&self) -> call::Tokens {
        self.call.tokens.unwrap_or(call::Tokens {
            prompt_tokens: 200,
            output_tokens: 50,
            expected_tokens: 50,
        })
    }

    /// Returns whether another server may be tried.
    pub fn has_tries_left(&self) -> bool {
        (self.tried.len() as u32) < crate::core::fleet::constants::TRIES
    }
}
