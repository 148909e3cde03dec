//! The next step of the task that serves one request.

use crate::borders::callers::reply;
use crate::core::request;
use crate::shell::handle;

/// The next step of a request's task.
pub enum Step {
    /// Execute a command of the reducer.
    Command(request::Command),
    /// Wait for the next command.
    Wait,
    /// Report to the reducer that the caller has disconnected, and end the task.
    CallerDisconnected,
    /// End the task.
    Done,
}

/// Waits for the next command or, if `is_caller_watched`, until the caller disconnects.
pub async fn next(
    commands: Option<&mut handle::Commands>,
    reply: &mut reply::Reply,
    is_caller_watched: bool,
) -> Step {
    let Some(commands) = commands else { return Step::Done };
    tokio::select! {
        biased;
        command = commands.recv() => command.map_or(Step::Done, Step::Command),
        () = reply.closed(), if is_caller_watched => Step::CallerDisconnected,
    }
}
