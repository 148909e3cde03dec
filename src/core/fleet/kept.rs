//! The engines that still hold the KV cache of recent prompts, so that a caller that returns after
//! its stream was cut does not have its prompt prefilled again.
//!
//! Load pattern: an engine's answer is lost, or all instances fail together and the callers of all
//! streams return within a second.

use std::collections::VecDeque;
use std::time;

use crate::core::collections;
use crate::core::fleet::call;
use crate::core::ids;

/// The time for which an engine is assumed to hold a prompt that was sent to it: most callers
/// return within a third of their deadline.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// The maximum number of remembered prompts; bounds their memory to about 1 MB.
const MAX_PROMPTS: usize = 8_192;

/// Where prompts were last sent.
#[derive(Debug, Default)]
pub struct KeptPrompts {
    engines: collections::Map<call::PromptId, (ids::ServerId, ids::Timestamp)>,
    by_age: VecDeque<(ids::Timestamp, call::PromptId)>,
}

impl KeptPrompts {
    /// Records that an engine holds a prompt from now on.
    pub fn record(&mut self, prompt: call::PromptId, engine: &ids::ServerId, now: ids::Timestamp) {
        self.drop_old(now);
        self.engines.insert(prompt, (engine.clone(), now));
        self.by_age.push_back((now, prompt));
    }

    /// Returns the engine that is assumed to hold a prompt.
    pub fn engine(&self, prompt: call::PromptId, now: ids::Timestamp) -> Option<&ids::ServerId> {
        let (engine, recorded) = self.engines.get(&prompt)?;
        (now.saturating_sub(*recorded) <= RETENTION).then_some(engine)
    }

    fn drop_old(&mut self, now: ids::Timestamp) {
        while let Some((recorded, prompt)) = self.by_age.front().copied() {
            let is_old = now.saturating_sub(recorded) > RETENTION;
            if !is_old && self.by_age.len() < MAX_PROMPTS {
                return;
            }
            self.by_age.pop_front();
            // A prompt that was recorded again since stays.
            if self.engines.get(&prompt).is_some_and(|(_, last)| *last == recorded) {
                self.engines.remove(&prompt);
            }
        }
    }
}

#[cfg(test)]
mod tests;
