//! The shape that all reducers share.

use crate::core::ids;

/// A state that changes only through events and answers with effects.
pub trait Reducer {
    /// What happened.
    type Event;
    /// What is to be done about it.
    type Effect;

    /// Applies one event at the time `now` and appends what is to be done to `effects`.
    fn apply(&mut self, event: Self::Event, now: ids::Timestamp, effects: &mut Vec<Self::Effect>);
}
