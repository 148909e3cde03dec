//! Stops an instance gracefully: ends its requests before the process ends.

use std::rc;
use std::time;

use tokio::signal::unix;

use crate::core::fleet;
use crate::core::fleet::shutdown;
use crate::core::ids;
use crate::router;
use crate::router::context;

/// The fraction of the grace period in which streams are accepted and sent to servers. A stream that
/// lasts no longer than the rest of the period, about 5 s of 8, can still end.
const SEND_STREAMS_FRACTION: f64 = 0.35;

/// The fraction of the grace period in which requests are accepted: callers stop using this
/// instance only after a few lifetimes of the list of addresses.
const ACCEPT_REQUESTS_FRACTION: f64 = 0.55;

/// The fraction of the grace period after which requests without an answer get their final one.
const ANSWER_FRACTION: f64 = 0.94;

/// The fraction of the grace period after which the process ends even if streams are in progress.
const DRAIN_FRACTION: f64 = 0.95;

/// How often the instance checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Waits for SIGTERM, then until all requests have ended or most of the grace period has passed.
///
/// # Errors
///
/// Fails if the signal handler cannot be installed.
pub async fn wait(
    context: rc::Rc<context::Context>,
    grace: time::Duration,
) -> Result<(), router::RouterError> {
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).map_err(router::RouterError::Signals)?;
    terminate.recv().await;
    log::info!("received SIGTERM; draining requests");
    drain(&context, grace).await;
    Ok(())
}

/// Lets callers move to other instances and ends all requests, for most of the grace period at most.
pub async fn drain(context: &context::Context, grace: time::Duration) {
    let stop_requested_at = context.now();
    let at = |fraction: f64| stop_requested_at + grace.mul_f64(fraction);
    let answers_until = at(ANSWER_FRACTION);
    let shutdown = shutdown::Shutdown { streams_until: at(SEND_STREAMS_FRACTION), answers_until };
    context.apply(fleet::Event::ShutdownStarted(shutdown));
    context.stopping.send_replace(true);
    wait_until(context, at(ACCEPT_REQUESTS_FRACTION), || false).await;
    // What is accepted from now on could be cut off, so nothing is.
    context.closing.send_replace(true);
    let is_idle = || {
        context.read(|fleet| fleet.request_count()) == 0 && context.caller_connections.get() == 0
    };
    wait_until(context, answers_until, is_idle).await;
    context.ending.send_replace(true);
    wait_until(context, at(DRAIN_FRACTION), is_idle).await;
    let remaining = context.read(|fleet| fleet.request_count());
    log::info!("stopped with {remaining} requests in progress");
    // Gives the last responses and log lines time to be written.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL * 3).await;
}

/// Waits until a time, or until a condition holds. Unlike the timers of the runtime, the context's
/// clock includes the time for which the machine was suspended.
async fn wait_until<C: Fn() -> bool>(
    context: &context::Context,
    until: ids::Timestamp,
    is_reached: C,
) {
    while !is_reached() {
        let remaining = until.saturating_sub(context.now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(DRAIN_CHECK_INTERVAL)).await;
    }
}
