//! Stops an instance without cutting a request.

use std::rc;
use std::time;

use tokio::signal::unix;

use crate::core::fleet;
use crate::router;
use crate::router::context;

/// The share of the grace in which streams are taken: one that lasts as long as the rest of it, some
/// 5 s of 8, still ends.
const STREAMS_SHARE: f64 = 0.35;

/// The share of the grace during which requests are still taken: callers learn within a few
/// lifetimes of the list of addresses that this instance leaves.
const TAKING_SHARE: f64 = 0.55;

/// The share of the grace after which the process ends whatever is under way.
const ENDING_SHARE: f64 = 0.95;

/// How often it is checked whether all requests have ended.
const CHECK: time::Duration = time::Duration::from_millis(50);

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
    let asked = context.now();
    let streams_until = asked + grace.mul_f64(STREAMS_SHARE);
    context.apply(fleet::Event::ShutdownStarted { streams_until });
    context.stopping.send_replace(true);
    tokio::time::sleep(grace.mul_f64(TAKING_SHARE)).await;
    while context.read(|fleet| fleet.request_count()) > 0
        && context.now().saturating_sub(asked) < grace.mul_f64(ENDING_SHARE)
    {
        tokio::time::sleep(CHECK).await;
    }
    let left = context.read(|fleet| fleet.request_count());
    log::info!("stopped with {left} requests under way");
    // The last answers and lines leave the process.
    tokio::time::sleep(CHECK * 3).await;
    Ok(())
}
