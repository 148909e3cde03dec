//! What a fake engine holds: slots, memory, its queue, its cache and the requests in it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::Serialize;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::{PIECE_TOKENS, cache, config, faults, ledger};

/// Time for which a cancel that came before its request is remembered.
const CANCEL_MEMORY: Duration = Duration::from_secs(10);

/// Phase of a held request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It waits for a slot and memory.
    Queued,
    /// Its prompt is computed.
    Prefill,
    /// Its KV cache waits for an import.
    Exported,
    /// Its KV cache is imported or its answer is computed, or waits to be read.
    Decode,
}

/// How far a request has come, as its readers see it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Whether the answer can begin.
    pub started: bool,
    /// Whether the KV cache to import was gone.
    pub kv_gone: bool,
    /// Answer tokens computed.
    pub generated: usize,
    /// Whether all tokens are computed.
    pub finished: bool,
}

/// A request that holds a place in the engine.
#[derive(Debug)]
pub struct Held {
    /// Value of `x-request-id`.
    pub id: String,
    /// Its phase.
    pub phase: Phase,
    /// Whether it takes a slot.
    pub in_slot: bool,
    /// Memory that it needs.
    pub needs_pieces: u64,
    /// Memory that it holds.
    pub pieces: u64,
    /// Time of its arrival.
    pub since: Instant,
    /// Whether an import of its exported KV cache has begun.
    pub import_begun: bool,
    /// Answer tokens in all.
    pub length: usize,
    /// Tells its readers how far it has come.
    pub progress: watch::Sender<Progress>,
}

/// Load as reported.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Load {
    /// Slots in all.
    pub slots: usize,
    /// Slots taken.
    pub running: usize,
    /// Requests waiting.
    pub queued: usize,
    /// Memory in all.
    pub pieces_total: u64,
    /// Memory free.
    pub pieces_free: u64,
}

/// The state of one engine.
#[derive(Debug)]
pub struct State {
    /// What the engine takes on now.
    pub role: config::Role,
    /// Models that it serves; empty serves any.
    pub models: Vec<String>,
    /// Time until which it loads a model.
    pub loading_until: Instant,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Faults in force.
    pub faults: faults::Faults,
    /// The prefix cache.
    pub cache: cache::Cache,
    /// The ledger.
    pub records: ledger::Records,
    /// Requests that hold a place.
    pub held: HashMap<ledger::ExecutionNumber, Held>,
    /// Load at the last measurement, and its time.
    pub measured: (Load, Instant),
    slots: usize,
    running: usize,
    pieces_total: u64,
    pieces_free: u64,
    queue: BTreeMap<(i64, ledger::ExecutionNumber), oneshot::Sender<()>>,
    cancelled: HashMap<String, Instant>,
}

impl State {
    /// Makes an idle engine.
    pub fn new(config: &config::Config, engine_id: &str, now: Instant) -> Self {
        let records =
            ledger::Records { engine_id: engine_id.to_owned(), ..ledger::Records::default() };
        let mut state = Self {
            role: config.role,
            models: config.models.clone(),
            loading_until: now,
            fence: 0,
            faults: faults::Faults {
                ignore_fence: config.ignore_fence,
                ..faults::Faults::default()
            },
            cache: cache::Cache::new(
                config.cache_blocks,
                config.event_delay,
                config.event_drop_every,
            ),
            records,
            held: HashMap::new(),
            measured: (Load::default(), now),
            slots: config.slots,
            running: 0,
            pieces_total: config.pieces_total,
            pieces_free: config.pieces_total,
            queue: BTreeMap::new(),
            cancelled: HashMap::new(),
        };
        state.measured.0 = state.load();
        state
    }

    /// The load at this moment.
    pub fn load(&self) -> Load {
        Load {
            slots: self.slots,
            running: self.running,
            queued: self.queue.len(),
            pieces_total: self.pieces_total,
            pieces_free: self.pieces_free,
        }
    }

    /// Whether a request that needs `pieces` would have to wait behind a full queue.
    pub fn is_full(&self, pieces: u64, queue_limit: usize) -> bool {
        let runs_now =
            self.queue.is_empty() && self.running < self.slots && pieces <= self.pieces_free;
        !runs_now && self.queue.len() >= queue_limit
    }

    /// Queues a held request; the receiver fires when it has a slot and its memory.
    pub fn enqueue(
        &mut self,
        number: ledger::ExecutionNumber,
        priority: i64,
    ) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.queue.insert((priority, number), sender);
        self.dispatch();
        receiver
    }

    /// Gives the slot of a request to the next one.
    pub fn leave_slot(&mut self, number: ledger::ExecutionNumber) {
        let Some(held) = self.held.get_mut(&number) else { return };
        if std::mem::take(&mut held.in_slot) {
            self.running -= 1;
        }
        self.dispatch();
    }

    /// Ends a request and returns the pieces that it held.
    pub fn release(
        &mut self,
        number: ledger::ExecutionNumber,
        outcome: ledger::Outcome,
    ) -> Option<u64> {
        self.leave_slot(number);
        let held = self.held.remove(&number)?;
        self.queue.retain(|(_, queued), _| *queued != number);
        self.pieces_free += held.pieces;
        self.records.update(number, |execution| {
            execution.outcome = outcome;
            execution.delivered = outcome == ledger::Outcome::Delivered;
            execution.held_pieces = 0;
        });
        self.dispatch();
        Some(held.pieces)
    }

    /// Cancels all requests of this id, or remembers the cancel.
    pub fn cancel(&mut self, id: &str, now: Instant) -> u64 {
        self.cancelled.retain(|_, at| now < *at + CANCEL_MEMORY);
        let numbers = self.numbers_of(id);
        if numbers.is_empty() {
            self.cancelled.insert(id.to_owned(), now);
        }
        let released = numbers
            .into_iter()
            .filter_map(|number| self.release(number, ledger::Outcome::Cancelled));
        released.sum()
    }

    /// Whether a cancel of this id came within the last seconds.
    pub fn is_cancelled(&self, id: &str, now: Instant) -> bool {
        self.cancelled.get(id).is_some_and(|at| now < *at + CANCEL_MEMORY)
    }

    /// The held requests of this id, oldest first.
    pub fn numbers_of(&self, id: &str) -> Vec<ledger::ExecutionNumber> {
        let matching = self.held.iter().filter(|(_, held)| held.id == id);
        let mut numbers: Vec<_> = matching.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Loses everything, as a crash does.
    pub fn crash(&mut self) {
        let numbers: Vec<_> = self.held.keys().copied().collect();
        for number in numbers {
            self.release(number, ledger::Outcome::Crashed);
        }
        self.cancelled.clear();
        self.cache.clear();
        self.fence = 0;
    }

    /// Requests running now.
    pub fn running(&self) -> usize {
        self.running
    }

    fn dispatch(&mut self) {
        while self.running < self.slots
            && let Some(entry) = self.queue.first_entry()
        {
            let number = entry.key().1;
            let Some(held) = self.held.get_mut(&number) else {
                entry.remove();
                continue;
            };
            if held.needs_pieces > self.pieces_free {
                return;
            }
            self.pieces_free -= held.needs_pieces;
            self.running += 1;
            held.in_slot = true;
            held.pieces = held.needs_pieces;
            held.phase = Phase::Prefill;
            let pieces = held.pieces;
            self.records.update(number, |execution| {
                execution.ran = true;
                execution.held_pieces = pieces;
            });
            let _cancelled = entry.remove().send(());
        }
    }
}

/// Pieces of memory for a number of tokens.
pub fn pieces_for(tokens: u64) -> u64 {
    tokens.div_ceil(PIECE_TOKENS)
}
