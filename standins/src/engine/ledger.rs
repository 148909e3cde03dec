//! What a fake engine has done, kept for judging.

use serde::{Deserialize, Serialize};

/// Executions kept; later ones are only counted.
const EXECUTION_LIMIT: usize = 500_000;

/// Index of an execution in its engine's ledger.
pub type ExecutionNumber = u64;

/// Kind of an execution.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Prefill whose KV cache is exported.
    Prefill,
    /// Decode of an imported KV cache.
    Decode,
    /// Prefill and decode in one place.
    Whole,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It has not ended.
    Open,
    /// Its answer was read to the end, or its KV cache was imported.
    Delivered,
    /// It was cancelled.
    Cancelled,
    /// Its exported KV cache was evicted before an import.
    Evicted,
    /// The KV cache to import was gone.
    KvGone,
    /// The engine crashed.
    Crashed,
}

/// One execution of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Execution {
    /// Value of `x-request-id`.
    pub id: String,
    /// Digest of the prompt, in decimal.
    pub digest: String,
    /// Kind of the execution.
    pub kind: Kind,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether it took a slot.
    pub ran: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed here.
    pub prefill_tokens: u64,
    /// Answer tokens computed here.
    pub decoded_tokens: u64,
    /// Whether the answer was read to its end.
    pub delivered: bool,
    /// Pieces of memory held now.
    pub held_pieces: u64,
    /// Time of arrival since the Unix epoch.
    pub arrived_ms: u64,
}

/// The record of one engine.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Records {
    /// Name of the engine.
    pub engine_id: String,
    /// Requests refused as `engine_full`.
    pub refused: u64,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
    /// Orders accepted with a number below an earlier one.
    pub orders_out_of_turn: u64,
    /// Requests that carried an `authorization` header.
    pub authorization_seen: u64,
    /// Executions not kept for want of room.
    pub dropped: u64,
    /// The executions, in order of arrival.
    pub executions: Vec<Execution>,
}

impl Records {
    /// Adds an execution and returns its number.
    pub fn open(&mut self, execution: Execution) -> ExecutionNumber {
        let number = u64::try_from(self.executions.len()).unwrap_or(u64::MAX) + self.dropped;
        if self.executions.len() < EXECUTION_LIMIT {
            self.executions.push(execution);
        } else {
            self.dropped += 1;
        }
        number
    }

    /// Returns the prompt tokens that an execution found in the cache.
    pub fn cached_tokens(&self, number: ExecutionNumber) -> u64 {
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        self.executions.get(index).map_or(0, |execution| execution.cached_tokens)
    }

    /// Changes an execution that is kept.
    pub fn update(&mut self, number: ExecutionNumber, change: impl FnOnce(&mut Execution)) {
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        if let Some(execution) = self.executions.get_mut(index) {
            change(execution);
        }
    }
}
