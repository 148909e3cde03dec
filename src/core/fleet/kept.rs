//! The engines that still hold the KV cache of recent prompts, so that a caller that returns after
//! its stream was cut does not have its prompt prefilled again.
//!
//! Load pattern: an engine's answer is lost, or all instances fail together and the callers of all
//! streams return within a second.

use std::time;

use crate::core::fleet::call;
use crate::core::fleet::recent;
use crate::core::ids;

/// The time for which an engine is assumed to hold a prompt that was sent to it: most callers
/// return within a third of their deadline.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// The maximum number of remembered prompts; bounds their memory to about 1 MB.
const MAX_PROMPTS: usize = 8_192;

/// Where prompts were last sent.
#[derive(Debug)]
pub struct KeptPrompts {
    engines: recent::RecentMap<call::PromptId, ids::ServerId>,
}

impl Default for KeptPrompts {
    fn default() -> Self {
        Self { engines: recent::RecentMap::new(RETENTION, MAX_PROMPTS) }
    }
}

impl KeptPrompts {
    /// Records that an engine holds a prompt from now on.
    pub fn record(&mut self, prompt: call::PromptId, engine: &ids::ServerId, now: ids::Timestamp) {
        self.engines.record(prompt, engine.clone(), now);
    }

    /// Returns the engine that is assumed to hold a prompt.
    pub fn engine(&self, prompt: call::PromptId, now: ids::Timestamp) -> Option<&ids::ServerId> {
        self.engines.get(&prompt, now).map(|(engine, _)| engine)
    }
}

#[cfg(test)]
mod tests;
