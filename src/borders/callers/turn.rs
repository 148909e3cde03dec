//! What the task that serves one request does next.

use crate::borders::callers::reply;
use crate::core::request;
use crate::shell::handle;

/// What the task does next.
pub enum Turn {
    /// Carry out a command.
    Command(request::Command),
    /// Wait for a command.
    Wait,
    /// Report that the caller has gone away.
    Gone,
    /// End.
    Over,
}

/// Waits for a command or, if it is watched, for the caller to go away.
pub async fn next(
    commands: Option<&mut handle::Commands>,
    reply: &mut reply::Reply,
    is_caller_watched: bool,
) -> Turn {
    let Some(commands) = commands else { return Turn::Over };
    tokio::select! {
        biased;
        command = commands.recv() => command.map_or(Turn::Over, Turn::Command),
        () = reply.closed(), if is_caller_watched => Turn::Gone,
    }
}
