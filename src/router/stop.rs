//! Stops an instance without cutting a request.

use std::rc;
use std::time;

use tokio::signal::unix;

use crate::core::fleet;
use crate::router;
use crate::router::context;

/// The share of the grace in which streams are taken: one that lasts as long as the rest of it, some
/// 5 s of 8, still ends.
const ACCEPT_STREAMS_FRACTION: f64 = 0.35;

/// The share of the grace during which requests are still taken: callers learn within a few
/// lifetimes of the list of addresses that this instance leaves.
const ACCEPT_REQUESTS_FRACTION: f64 = 0.55;

/// The share of the grace after which the process ends whatever is under way.
const DRAIN_FRACTION: f64 = 0.95;

/// How often it is checked whether all requests have ended.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Waits for a request to stop, and for the end of all requests.
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
    log::info!("told to stop; callers are sent elsewhere");
    let stop_requested_at = context.now();
    let streams_until = stop_requested_at + grace.mul_f64(ACCEPT_STREAMS_FRACTION);
    context.apply(fleet::Event::ShutdownStarted { streams_until });
    context.stopping.send_replace(true);
    tokio::time::sleep(grace.mul_f64(ACCEPT_REQUESTS_FRACTION)).await;
    while context.read(|fleet| fleet.request_count()) > 0
        && context.now().saturating_sub(stop_requested_at) < grace.mul_f64(DRAIN_FRACTION)
    {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    let remaining = context.read(|fleet| fleet.request_count());
    log::info!("stopped with {remaining} requests under way");
    // The last answers and lines leave the process.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL * 3).await;
    Ok(())
}
