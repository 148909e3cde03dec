//! Keeps the decisions on the most recent requests in memory, for `galenayard explain`.

use std::collections as std_collections;
use std::sync;

use serde::{Deserialize, Serialize};

use crate::core::collections;
use crate::core::ids;
use crate::core::request;
use crate::core::scheduler;

/// The maximum number of requests whose decisions are kept.
const MAX_REQUESTS: usize = 4_096;

/// The maximum number of decisions kept per request; later ones are dropped.
const MAX_STEPS: usize = 64;

/// A decision on a request and the time at which it was taken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the process started.
    pub at_ms: u64,
    /// The decision that the reducer reported.
    pub step: request::Step,
}

impl Entry {
    /// Returns the decision as readable text, with its time.
    pub fn describe(&self) -> Description {
        Description { at_ms: self.at_ms, text: describe(&self.step) }
    }
}

/// A decision as readable text, in the form in which operators receive it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Description {
    /// Milliseconds since the process started.
    pub at_ms: u64,
    /// What was decided, as one line of text.
    pub text: String,
}

/// Describes a decision as one line of text.
pub fn describe(step: &request::Step) -> String {
    match step {
        request::Step::Arrived => "arrived".to_string(),
        request::Step::Admitted { workspace, tokens } => {
            format!("{tokens} tokens reserved for workspace {}", text(workspace))
        }
        request::Step::Candidates { phase, servers, cached_tokens } => {
            let servers: Vec<_> = servers.iter().map(text).collect();
            let servers = servers.join(", ");
            format!(
                "{} candidates: {servers}; {cached_tokens} tokens estimated to be cached",
                phase_name(*phase)
            )
        }
        request::Step::Placed { phase, server, waited_ms } => {
            format!("{} reservation on {} after {waited_ms} ms", phase_name(*phase), text(server))
        }
        request::Step::Attempted { attempt, server } => {
            format!("attempt {attempt} at {}", text(server))
        }
        request::Step::Failed { attempt, failure } => {
            format!("attempt {attempt} failed: {:?}; ran: {:?}", failure.fault, failure.ran)
        }
        request::Step::Started => "first token or response head relayed".to_string(),
        request::Step::Ended { usage } => format!(
            "answered: {} prompt tokens, {} of them cached, {} generated",
            usage.prompt_tokens, usage.cached_tokens, usage.completion_tokens
        ),
        request::Step::Refused(refusal) => format!(
            "refused: {}; ran: {:?}; retry after {} ms",
            refusal.reason.name(),
            refusal.ran,
            refusal.retry_after_ms.unwrap_or_default()
        ),
        request::Step::Disconnected => "the caller disconnected".to_string(),
    }
}

fn phase_name(phase: scheduler::Phase) -> &'static str {
    match phase {
        scheduler::Phase::Prefill => "prefill",
        scheduler::Phase::Decode => "decode",
    }
}

fn text(name: &bytes::Bytes) -> String {
    String::from_utf8_lossy(name).into_owned()
}

#[derive(Debug, Default)]
struct Buffer {
    entries: collections::Map<ids::RequestId, Vec<Entry>>,
    order: std_collections::VecDeque<ids::RequestId>,
}

/// A buffer of decisions, bounded by `MAX_REQUESTS` and `MAX_STEPS`.
#[derive(Debug, Default)]
pub struct Explanations {
    buffer: sync::Mutex<Buffer>,
}

impl Explanations {
    /// Records a decision; drops the decisions on the oldest request if there are too many
    /// requests.
    pub fn push(&self, request: ids::RequestId, step: request::Step, now: ids::Timestamp) {
        let at_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let mut buffer = self.lock();
        let buffer = &mut *buffer;
        let entries = buffer.entries.entry(request).or_insert_with(|| {
            buffer.order.push_back(request);
            Vec::new()
        });
        if entries.len() < MAX_STEPS {
            entries.push(Entry { at_ms, step });
        }
        if buffer.order.len() > MAX_REQUESTS
            && let Some(oldest) = buffer.order.pop_front()
        {
            buffer.entries.remove(&oldest);
        }
    }

    /// Returns the decisions on a request, if they are still kept.
    pub fn decisions(&self, request: ids::RequestId) -> Option<Vec<Entry>> {
        self.lock().entries.get(&request).cloned()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
