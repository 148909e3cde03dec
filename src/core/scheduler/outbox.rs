//! Collects effects and delivers messages that an instance sends to itself.

use std::collections::VecDeque;

use crate::core::ids;
use crate::core::scheduler;
use crate::core::scheduler::message;

/// Where the parts of the reducer put what they want done.
#[derive(Debug)]
pub struct Outbox<'a> {
    /// This instance.
    pub own: &'a ids::InstanceId,
    /// Messages to itself, in order.
    pub local: &'a mut VecDeque<message::Message>,
    /// Everything else.
    pub effects: &'a mut Vec<scheduler::Effect>,
}

impl Outbox<'_> {
    /// Sends a message to a member, which may be this instance.
    pub fn send(&mut self, to: &ids::InstanceId, message: message::Message) {
        if to == self.own {
            self.local.push_back(message);
            return;
        }
        self.effects.push(scheduler::Effect::Send { to: to.clone(), message });
    }
}
