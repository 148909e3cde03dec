//! The memory that answers of servers may take, in one instance.

use std::cell;
use std::rc;

/// The part of an instance's memory that all answers together may take.
const ANSWERS_SHARE: usize = 4;

/// The part of an instance's memory that one whole answer may take before it is relayed.
const BUFFERED_ANSWER_SHARE: usize = 32;

/// The part of an instance's memory that the length of an answer without a stated length may reach.
/// A longer one counts as endless.
const UNFRAMED_ANSWER_SHARE: usize = 4;

/// The maximum length of one event of a stream.
pub const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// The maximum length of the head of an answer, interim ones included.
pub const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// The maximum length of an answer that is not for callers, such as that to a prefill.
pub const MAX_INTERNAL_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// The memory for answers of servers that are not delivered yet.
#[derive(Debug)]
pub struct Memory {
    machine_bytes: usize,
    held_bytes: cell::Cell<usize>,
}

impl Memory {
    /// Creates the account of an instance with `machine_bytes` of memory.
    pub fn new(machine_bytes: usize) -> rc::Rc<Self> {
        rc::Rc::new(Self { machine_bytes, held_bytes: cell::Cell::new(0) })
    }

    /// Returns how much of an answer is kept until it is whole.
    pub fn max_buffered_bytes(&self) -> usize {
        self.machine_bytes / BUFFERED_ANSWER_SHARE
    }

    /// Returns how long an answer without a stated length may become.
    pub fn max_unframed_bytes(&self) -> usize {
        self.machine_bytes / UNFRAMED_ANSWER_SHARE
    }

    /// Returns the memory that answers take now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }

    /// Starts to hold memory, none so far.
    pub fn hold(self: &rc::Rc<Self>) -> Held {
        Held { memory: rc::Rc::clone(self), bytes: 0 }
    }
}

/// Memory that is held until this is dropped.
#[derive(Debug)]
pub struct Held {
    memory: rc::Rc<Memory>,
    bytes: usize,
}

impl Held {
    /// Holds more memory; returns `false` and changes nothing if all answers together would take too
    /// much.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.resize(self.bytes.saturating_add(bytes))
    }

    /// Holds another amount of memory; returns `false` and changes nothing if all answers together
    /// would take too much.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.memory.held_bytes.get().saturating_sub(self.bytes);
        let held = others.saturating_add(bytes);
        if bytes > self.bytes && held > self.memory.machine_bytes / ANSWERS_SHARE {
            return false;
        }
        self.memory.held_bytes.set(held);
        self.bytes = bytes;
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = self.memory.held_bytes.get();
        self.memory.held_bytes.set(held.saturating_sub(self.bytes));
    }
}

#[cfg(test)]
mod tests;
