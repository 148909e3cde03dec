//! A plain server.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// Requests that a server runs at once, and those that wait there.
const SLOTS: u32 = 6;
const QUEUE: u32 = 24;

/// Starts a server with an id, whose requests take some time.
pub fn start(
    id: &str,
    address: SocketAddr,
    work: Duration,
    record: &Record,
) -> std::io::Result<SocketAddr> {
    let (id, record) = (id.to_string(), record.clone());
    let taken = AtomicU32::new(0);
    let slots = Mutex::new(0_u32);
    let free = std::sync::Condvar::new();
    http::serve(address, move |request, stream| {
        let attempt = request.header("attempt-id").unwrap_or_default().to_string();
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            return http::answer(stream, "421 Misdirected Request", &[("Not-Executed", "1")], b"");
        }
        if taken.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            taken.fetch_sub(1, Ordering::SeqCst);
            record.line(&format!("server {id}: {attempt} rejected, full"));
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt.as_str())];
            return http::answer(stream, "503 Service Unavailable", &headers, b"");
        }
        let mut running = slots.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= SLOTS {
            running = free.wait(running).unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        drop(running);
        record.line(&format!("server {id}: {attempt} runs, {} bytes", request.body.len()));
        thread::sleep(work);
        *slots.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        free.notify_one();
        taken.fetch_sub(1, Ordering::SeqCst);
        let headers = [("Attempt-Id", attempt.as_str()), ("Server-Stamp", id.as_str())];
        let body = vec![b'x'; 800];
        http::answer(stream, "200 OK", &headers, &body)
    })
}
