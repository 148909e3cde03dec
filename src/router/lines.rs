//! Writes log lines to the standard output without blocking: lines beyond a buffer are dropped.

use std::io;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use log4rs::append;
use log4rs::config;
use log4rs::encode;
use log4rs::encode::json;
use log4rs::encode::pattern;
use log4rs::encode::writer::simple;

use crate::core::fleet::decision;
use crate::router::clock;

/// The maximum number of bytes that wait for the standard output; further lines are dropped and
/// counted. Holds one second of lines at a few hundred requests per second.
const MAX_BUFFERED_BYTES: usize = 256 * 1_024;

/// How long lines are collected before they are written, so that the writer wakes up less often.
const FLUSH_DELAY: time::Duration = time::Duration::from_millis(100);

/// The log target of decisions, whose messages are JSON already.
const DECISION_TARGET: &str = "decision";

/// The logger could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggerError {
    /// The process has a logger already.
    #[error("a logger is set already: {0}; start one instance in a process")]
    Set(#[from] log::SetLoggerError),
    /// The logger's configuration is invalid.
    #[error("the logger cannot be configured: {0}; this is a defect, report it")]
    Config(#[from] config::runtime::ConfigErrors),
    /// The thread that writes the lines could not be started.
    #[error("cannot start the thread that writes logs: {0}; check the limits of the process")]
    Thread(#[from] io::Error),
}

/// Lines that wait for the writer thread.
#[derive(Debug, Default)]
struct Buffer {
    bytes: sync::Mutex<Vec<u8>>,
    not_empty: sync::Condvar,
    /// Lines dropped since the writer last reported them.
    dropped: atomic::AtomicU64,
}

impl Buffer {
    fn push(&self, line: &[u8]) {
        let Ok(mut bytes) = self.bytes.lock() else { return };
        if bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
            return;
        }
        let was_empty = bytes.is_empty();
        bytes.extend_from_slice(line);
        drop(bytes);
        if was_empty {
            self.not_empty.notify_one();
        }
    }

    /// Waits for lines, collects more for [`FLUSH_DELAY`], and returns all of them.
    fn take(&self) -> Vec<u8> {
        let Ok(mut bytes) = self.bytes.lock() else { return Vec::new() };
        while bytes.is_empty() {
            match self.not_empty.wait(bytes) {
                Ok(guard) => bytes = guard,
                Err(_) => return Vec::new(),
            }
        }
        drop(bytes);
        thread::sleep(FLUSH_DELAY);
        self.bytes.lock().map(|mut bytes| std::mem::take(&mut *bytes)).unwrap_or_default()
    }

    fn write(&self, output: &mut dyn io::Write) -> io::Result<()> {
        let bytes = self.take();
        output.write_all(&bytes)?;
        let dropped = self.dropped.swap(0, atomic::Ordering::Relaxed);
        if dropped > 0 {
            writeln!(output, "{{\"decision\":\"lines_dropped\",\"lines\":{dropped}}}")?;
        }
        output.flush()
    }
}

#[derive(Debug)]
struct BufferAppender {
    buffer: sync::Arc<Buffer>,
    encoder: Box<dyn encode::Encode>,
}

impl append::Append for BufferAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = simple::SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        self.buffer.push(&line.0);
        Ok(())
    }

    fn flush(&self) {}
}

/// Sets up the process's logger: JSON lines, written to the standard output by a separate thread.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn start(level: log::LevelFilter) -> Result<(), LoggerError> {
    let buffer = sync::Arc::new(Buffer::default());
    let appender = |encoder| BufferAppender { buffer: sync::Arc::clone(&buffer), encoder };
    let lines = appender(Box::new(json::JsonEncoder::new()) as Box<dyn encode::Encode>);
    let decisions = appender(Box::new(pattern::PatternEncoder::new("{m}{n}")));
    let configuration = log4rs::Config::builder()
        .appender(config::Appender::builder().build("lines", Box::new(lines)))
        .appender(config::Appender::builder().build("decisions", Box::new(decisions)))
        .logger(
            config::Logger::builder()
                .appender("decisions")
                .additive(false)
                .build(DECISION_TARGET, level),
        )
        .logger(config::Logger::builder().build("hyper", log::LevelFilter::Warn))
        .build(config::Root::builder().appender("lines").build(level))?;
    log4rs::init_config(configuration)?;
    thread::Builder::new().name("lines".to_string()).spawn(move || {
        let mut output = io::stdout().lock();
        // A closed standard output ends only this thread, not the process.
        while buffer.write(&mut output).is_ok() {}
    })?;
    Ok(())
}

/// The log line of a decision, with the wall-clock time.
#[derive(serde::Serialize)]
struct DecisionLine<'a> {
    at_ms: u64,
    #[serde(flatten)]
    decision: &'a decision::Decision,
}

/// Logs a decision as a JSON line.
pub fn write_decision(decision: &decision::Decision) {
    match serde_json::to_string(&DecisionLine { at_ms: clock::unix_ms(), decision }) {
        Ok(line) => log::info!(target: DECISION_TARGET, "{line}"),
        Err(failure) => log::error!("cannot encode a decision: {failure}"),
    }
}
