//! The inputs of a request's placement, at whichever instance the request arrived.

use std::time;

use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::ids;

/// The servers that may generate the next events of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Binding {
    /// It has no events yet: any server.
    #[default]
    Any,
    /// Servers of the software version that generated its first event.
    Version(servers::SoftwareVersion),
    /// The version that generated its first event is not known: no server.
    Unknown,
}

impl Binding {
    /// Returns the software version, if it is bound to one.
    pub fn version(&self) -> Option<&servers::SoftwareVersion> {
        match self {
            Self::Version(version) => Some(version),
            Self::Any | Self::Unknown => None,
        }
    }

    /// Returns whether a server may generate the next events.
    pub fn allows(&self, server: &servers::Server) -> bool {
        match self {
            Self::Any => true,
            Self::Version(version) => server.entry.software_version.as_ref() == Some(version),
            Self::Unknown => false,
        }
    }
}

/// A request for placement at a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// The service that the request is for.
    pub service: catalog::ServiceId,
    /// The capacity of the service's engines; `None` for a plain service.
    pub engine: Option<catalog::EngineShape>,
    /// The token counts; those of a short prompt if the request contains none.
    pub tokens: call::Tokens,
    /// The id of the prompt, if the request contains one.
    pub prompt: Option<call::PromptId>,
    /// The workspace that it runs for, if the instance that grants it knows that.
    pub workspace: Option<quota::WorkspaceName>,
    /// The priority, 0 first.
    pub priority: u8,
    /// The expected time from placing the request until its answer begins.
    pub start_time: time::Duration,
    /// When the request arrived, or when the instance that grants it first learned of it.
    pub arrived: ids::Timestamp,
    /// The time at which the objective is missed.
    pub objective_at: ids::Timestamp,
    /// The time by which the answer must begin, as the caller gives up then.
    pub begin_by: ids::Timestamp,
    /// Servers to which the request was sent already.
    pub tried: Vec<ids::ServerId>,
    /// The failure domain of the instance at which the request arrived.
    pub domain: String,
    /// The servers that may generate its next events.
    pub binding: Binding,
}

impl Claim {
    /// Returns the sort key of the queue: requests that can still meet their objective come first,
    /// by priority and objective, or in overload of a plain service the newest of a priority; late
    /// ones follow by the time at which their callers give up.
    ///
    /// At engines the newest would not be served more often in time, as the work of a prompt is known
    /// from its length, and more of the older ones would be refused.
    pub fn order(&self, is_overload: bool, now: ids::Timestamp) -> (bool, u8, ids::Timestamp) {
        let is_late = self.is_late(now);
        let at = if is_late {
            self.begin_by
        } else if is_overload && self.engine.is_none() {
            ids::Timestamp::MAX.saturating_sub(self.arrived)
        } else {
            self.objective_at
        };
        (is_late, self.priority, at)
    }

    /// Returns whether the objective will be missed even if the request is placed now.
    ///
    /// The estimate contains the prefill of the request's own prompt. Without it, capacity would go
    /// to requests that are just about to miss their objective and then do, and all later ones
    /// would wait until the same happens to them.
    pub fn is_late(&self, now: ids::Timestamp) -> bool {
        now + self.start_time >= self.objective_at
    }
}
