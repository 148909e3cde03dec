//! The interface of all reducers.

use crate::core::ids;

/// A state that changes only through events, and returns effects to be carried out.
pub trait Reducer {
    /// The input of the reducer.
    type Event;
    /// The output of the reducer.
    type Effect;

    /// Applies one event at the time `now` and appends the resulting effects to `effects`.
    fn apply(&mut self, event: Self::Event, now: ids::Timestamp, effects: &mut Vec<Self::Effect>);
}
