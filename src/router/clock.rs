//! A monotonic clock that also counts the time during which the machine is suspended.

use std::time;

use crate::core::ids;

/// Measures the time since it was started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: time::Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> ids::Timestamp {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(now.tv_nsec).unwrap_or(0);
    time::Duration::new(seconds, nanoseconds)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for log lines and records.
pub fn unix_ms() -> u64 {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
