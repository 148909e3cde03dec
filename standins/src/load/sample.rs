//! What a caller has seen of one request.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A language request.
    Language,
    /// A call that may run only once.
    Order,
    /// A call that may be repeated.
    Enquiry,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole right answer came.
    Answered,
    /// The system refused it and says that it did not run.
    RefusedNotRun,
    /// The system failed it and says that it may have run.
    Unknown,
    /// The answer broke off, or none came.
    Missing,
    /// The answer was another request's.
    Crossed,
    /// The caller went away.
    Cancelled,
}

/// What a caller has seen of one request. Times count from the start of the run.
#[derive(Clone, Debug, Serialize)]
pub struct Sample {
    /// Index of the workspace.
    pub workspace: usize,
    /// Kind of the request.
    pub kind: Kind,
    /// Digest of the prompt in decimal, or id of the call, as in the ledgers.
    pub id: String,
    /// Value of `x-request-id` in the answer.
    pub request_id: String,
    /// Instance that was asked.
    pub target: Option<SocketAddr>,
    /// How it ended.
    pub outcome: Outcome,
    /// Status of the answer, 0 without one.
    pub status: u16,
    /// Type of the error, if it was refused.
    pub reason: String,
    /// Time of sending.
    pub sent: Duration,
    /// Time of the first token.
    pub first: Option<Duration>,
    /// Time of the last token.
    pub last: Option<Duration>,
    /// Time of the end.
    pub ended: Duration,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Largest length of the answer.
    pub max_tokens: u64,
    /// Tokens received.
    pub tokens: u64,
}

impl Sample {
    /// Tokens that the request may use at most.
    pub fn reserved_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_tokens
    }

    /// Tokens that the request has used, as its caller has seen.
    pub fn used_tokens(&self) -> u64 {
        if self.first.is_some() { self.prompt_tokens + self.tokens } else { 0 }
    }

    /// Mean time between tokens.
    pub fn mean_gap(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.tokens.checked_sub(1)?).ok()?;
        self.last?.saturating_sub(self.first?).checked_div(gaps)
    }

    /// Time from sending to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        Some(self.first?.saturating_sub(self.sent))
    }
}
