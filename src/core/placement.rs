//! Chooses the candidate servers of a language request.

use serde::{Deserialize, Serialize};

use crate::core::configuration;
use crate::core::ids;
use crate::core::reducer;
use crate::core::scheduler;
use crate::document;

/// A change of a server's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The whole content at a sequence number.
    Snapshot {
        /// The sequence number up to which events are included.
        sequence: u64,
        /// The blocks.
        blocks: Vec<ids::BlockHash>,
    },
    /// Blocks were stored.
    Stored {
        /// The event's sequence number.
        sequence: u64,
        /// The blocks.
        blocks: Vec<ids::BlockHash>,
    },
    /// Blocks were evicted.
    Evicted {
        /// The event's sequence number.
        sequence: u64,
        /// The blocks.
        blocks: Vec<ids::BlockHash>,
    },
}

/// What the placement reducer is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A document is in force.
    Applied(configuration::SharedSnapshot),
    /// A request asks for candidates.
    Choose {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The model.
        model: ids::ModelId,
        /// The chain of hashes of the prompt's blocks.
        prefix: Vec<ids::BlockHash>,
        /// The prompt's estimated length.
        prompt_tokens: u32,
        /// Servers to leave out, since they have failed this request.
        avoid: Vec<ids::ServerId>,
    },
    /// A server's prefix cache has changed.
    Cached {
        /// The server.
        server: ids::ServerId,
        /// The change.
        change: CacheEvent,
    },
    /// A server reported its load.
    Loaded(scheduler::Load),
    /// A request has made progress on a server, or failed there.
    Observed(scheduler::Observation),
}

/// What the placement reducer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// The candidates of a request, best first; none if no server serves the model.
    Chosen {
        /// The request.
        request: ids::RequestId,
        /// The phase.
        phase: scheduler::Phase,
        /// The candidates.
        candidates: Vec<ids::ServerId>,
        /// Prompt tokens that the best candidate's cache is believed to hold.
        cached_tokens: u32,
    },
    /// A gap in a server's cache events: read its snapshot again.
    Resynchronise {
        /// The server.
        server: ids::ServerId,
    },
}

/// What is known of the servers' caches and speeds.
#[derive(Debug, Default)]
pub struct Placement {
    snapshot: Option<configuration::SharedSnapshot>,
}

impl Placement {
    /// Creates a state that knows no server.
    pub fn new(_seed: u64) -> Self {
        Self::default()
    }

    fn candidates(
        &self,
        model: &ids::ModelId,
        phase: scheduler::Phase,
        avoid: &[ids::ServerId],
    ) -> Vec<ids::ServerId> {
        let Some(snapshot) = &self.snapshot else { return Vec::new() };
        let document = &snapshot.document;
        let Some(route) = document.language_routes.iter().find(|route| route.model == *model)
        else {
            return Vec::new();
        };
        document
            .servers
            .iter()
            .filter(|server| route.servers.contains(&server.id) && !server.leaving)
            .filter(|server| !avoid.contains(&server.id))
            .filter(|server| {
                matches!(
                    (server.role, phase),
                    (document::Role::Both, _)
                        | (document::Role::Prefill, scheduler::Phase::Prefill)
                        | (document::Role::Decode, scheduler::Phase::Decode)
                )
            })
            .map(|server| server.id.clone())
            .collect()
    }
}

impl reducer::Reducer for Placement {
    type Event = Event;
    type Effect = Effect;

    fn apply(&mut self, event: Event, _now: ids::Timestamp, effects: &mut Vec<Effect>) {
        match event {
            Event::Applied(snapshot) => self.snapshot = Some(snapshot),
            Event::Choose { request, phase, model, avoid, .. } => {
                let mut candidates = self.candidates(&model, phase, &avoid);
                if !candidates.is_empty() {
                    let turn = (request as u64 as usize) % candidates.len();
                    candidates.rotate_left(turn);
                }
                effects.push(Effect::Chosen { request, phase, candidates, cached_tokens: 0 });
            }
            _ => {}
        }
    }
}
