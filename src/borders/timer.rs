//! Timeouts that tolerate pauses of the process.
//!
//! After a pause, expired timers fire before any socket has been read. A timer that fires late
//! therefore waits for a grace period, so that data which arrived during the pause is read first.

use std::future;
use std::pin;
use std::sync;
use std::task;
use std::time;

use hyper::rt;
use tokio::time as tokio_time;

#[cfg(test)]
mod tests;

/// A timer that fires later than this after its deadline is treated as delayed by a pause.
const MAX_LATENESS: time::Duration = time::Duration::from_millis(250);

/// How long a delayed timer waits before it fires.
const GRACE_PERIOD: time::Duration = time::Duration::from_millis(500);

/// The timeout has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Sleeps for a duration, and for [`GRACE_PERIOD`] after it if the process was paused.
pub async fn sleep(duration: time::Duration) {
    sleep_until(tokio_time::Instant::now() + duration).await;
}

async fn sleep_until(deadline: tokio_time::Instant) {
    tokio_time::sleep_until(deadline).await;
    if deadline.elapsed() > MAX_LATENESS {
        tokio_time::sleep(GRACE_PERIOD).await;
    }
}

/// Waits for a future until a timeout expires.
///
/// # Errors
///
/// Fails if the future does not complete in time.
pub async fn timeout<F: Future>(duration: time::Duration, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep(duration) => Err(Elapsed),
    }
}

/// A timer for `hyper` that tolerates pauses of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseAwareTimer;

impl rt::Timer for PauseAwareTimer {
    fn sleep(&self, duration: time::Duration) -> pin::Pin<Box<dyn rt::Sleep>> {
        Box::pin(HyperSleep::new(tokio_time::Instant::now() + duration))
    }

    fn sleep_until(&self, deadline: time::Instant) -> pin::Pin<Box<dyn rt::Sleep>> {
        Box::pin(HyperSleep::new(deadline.into()))
    }
}

type BoxedSleep = pin::Pin<Box<dyn future::Future<Output = ()> + Send>>;

/// A sleep of a `hyper` connection.
struct HyperSleep(sync::Mutex<BoxedSleep>);

impl HyperSleep {
    fn new(deadline: tokio_time::Instant) -> Self {
        Self(sync::Mutex::new(Box::pin(sleep_until(deadline))))
    }
}

impl future::Future for HyperSleep {
    type Output = ();

    fn poll(self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> task::Poll<()> {
        let sleep = self.get_mut().0.get_mut().unwrap_or_else(sync::PoisonError::into_inner);
        sleep.as_mut().poll(context)
    }
}

impl rt::Sleep for HyperSleep {}
