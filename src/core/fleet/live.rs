//! A request from its arrival to exactly one end.

use std::net;
use std::sync;

use crate::core::fleet::Step;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::ledger;
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

/// A question to the owner of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asking {
    /// The owner.
    pub owner: ids::Incarnation,
    /// Where it is reached.
    pub to: net::SocketAddr,
    /// When it was asked first.
    pub since: ids::Timestamp,
    /// When it was asked last.
    pub asked: ids::Timestamp,
    /// When it said last that the request waits there.
    pub heard: Option<ids::Timestamp>,
}

/// A question to the coordinator that counts the limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Charging {
    /// What the request spends.
    pub amount: f64,
    /// The coordinators that were asked, the last one last.
    pub keepers: Vec<net::SocketAddr>,
    /// When the last one was asked first.
    pub since: ids::Timestamp,
    /// When it was asked last.
    pub asked: ids::Timestamp,
}

/// Where a request is.
#[derive(Debug, Clone)]
pub enum Phase {
    /// Its charge is not taken from the limit yet.
    Charging(Charging),
    /// It waits for a server.
    Waiting,
    /// The owner of its service is asked for a place.
    Asking(Asking),
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
    /// What placement has to know.
    pub claim: claim::Claim,
    /// The workspace it runs for.
    pub workspace: Option<sync::Arc<catalog::Workspace>>,
    /// What was taken from the workspace's limit.
    pub charge: f64,
    /// When it arrived.
    pub arrived: ids::Timestamp,
    /// When its time is over.
    pub expires: ids::Timestamp,
    /// Where it is.
    pub phase: Phase,
    /// Counts the places that were asked for it.
    pub attempt: u32,
    /// The owner that granted its place, and is told how it goes.
    pub granted_by: Option<net::SocketAddr>,
    /// Servers at which a run has arrived.
    pub arrivals: u32,
    /// The server that has read its prompt for a hand-over.
    pub prefilled_at: Option<ids::ServerId>,
    /// Whether a server may have run it.
    pub may_have_run: bool,
    /// Whether a failed answer of a server is kept.
    pub has_failed_answer: bool,
}

impl Live {
    /// Returns whether the request may run again.
    pub fn is_idempotent(&self) -> bool {
        self.route.repeat == catalog::Repeat::Idempotent
    }

    /// Returns whether another server may be tried.
    pub fn has_tries_left(&self) -> bool {
        (self.claim.tried.len() as u32) < constants::MAX_TRIED_SERVERS
    }

    /// Returns the name of its workspace, if it has one.
    pub fn workspace_name(&self) -> Option<String> {
        self.workspace.as_ref().map(|workspace| workspace.name.to_string())
    }

    /// Returns its work at servers.
    pub fn places(&self) -> Option<ledger::Places> {
        let Phase::AtServer(at) = &self.phase else { return None };
        let first = (at.server.clone(), at.load);
        Some(std::iter::once(first).chain(at.reserved.clone()).collect())
    }
}
