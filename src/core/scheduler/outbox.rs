//! Collects effects, and separately the messages that an instance sends to itself.

use std::collections::VecDeque;

use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::message;

/// Collects the output of the reducer's parts.
#[derive(Debug)]
pub struct Outbox<'a> {
    /// The id of this instance.
    pub own: &'a ids::InstanceId,
    /// Messages of this instance to itself, in order.
    pub messages: &'a mut VecDeque<message::Message>,
    /// All other effects.
    pub effects: &'a mut Vec<scheduler::Effect>,
}

impl Outbox<'_> {
    /// Sends a message to a member, which may be this instance.
    pub fn send(&mut self, to: &ids::InstanceId, message: message::Message) {
        if to == self.own {
            self.messages.push_back(message);
            return;
        }
        self.effects.push(scheduler::Effect::Send { to: to.clone(), message });
    }
}
