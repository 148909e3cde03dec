//! Timeouts that outlast a pause of the process, so that bytes which arrived meanwhile are read.
//!
//! After a pause all timers are due at once, before any socket has been read. A timer that fires
//! late therefore waits a little longer.

use std::future;
use std::pin;
use std::sync;
use std::task;
use std::time;

use hyper::rt;
use tokio::time as tokio_time;

#[cfg(test)]
mod tests;

/// A timer that fires later than this after its deadline counts as delayed by a pause.
const MAX_LATENESS: time::Duration = time::Duration::from_millis(250);

/// The further time that a delayed timer waits.
const GRACE: time::Duration = time::Duration::from_millis(500);

/// The time is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Waits for a duration, and a little longer after a pause of the process.
pub async fn sleep(duration: time::Duration) {
    sleep_until(tokio_time::Instant::now() + duration).await;
}

async fn sleep_until(deadline: tokio_time::Instant) {
    tokio_time::sleep_until(deadline).await;
    if deadline.elapsed() > MAX_LATENESS {
        tokio_time::sleep(GRACE).await;
    }
}

/// Waits for a future for at most a duration.
///
/// # Errors
///
/// Fails if the future is not ready in time.
pub async fn timeout<F: Future>(duration: time::Duration, future: F) -> Result<F::Output, Elapsed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep(duration) => Err(Elapsed),
    }
}

/// The timer for connections of `hyper`.
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

/// One sleep of a connection.
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
