//! Tests of timeouts during pauses of the process.

use std::future;
use std::time;

use tokio::sync::oneshot;
use tokio::task;
use tokio::time as tokio_time;

use crate::borders::timer;

const TIMEOUT: time::Duration = time::Duration::from_secs(1);
const PAUSE: time::Duration = time::Duration::from_secs(10);

#[tokio::test(start_paused = true)]
async fn data_that_arrived_during_a_pause_is_read() {
    let (sender, receiver) = oneshot::channel();
    let waiting = tokio::spawn(timer::timeout(TIMEOUT, receiver));
    task::yield_now().await;
    tokio_time::advance(PAUSE).await;
    // The timer fires before the sockets are read.
    task::yield_now().await;
    sender.send(7).expect("the timeout is still waiting");
    assert_eq!(waiting.await.expect("a task"), Ok(Ok(7)));
}

#[tokio::test(start_paused = true)]
async fn timeout_without_a_pause_is_not_extended() {
    let started = tokio_time::Instant::now();
    let outcome = timer::timeout(TIMEOUT, future::pending::<()>()).await;
    assert_eq!(outcome, Err(timer::Elapsed));
    assert!(started.elapsed() < TIMEOUT + timer::MAX_LATENESS);
}
