//! Logging in JSON lines, with a level that can be changed at runtime.

use log4rs::append::console;
use log4rs::config;
use log4rs::encode::json;

use crate::settings;

/// The name of the only appender.
const APPENDER: &str = "standard_error";

/// Logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The process already has a logger.
    #[error("the process already has a logger: {0}; start one instance per process")]
    Set(#[from] log::SetLoggerError),
    /// The configuration of the logger is invalid.
    #[error("the logger cannot be configured: {0}; this is a bug, report it")]
    Config(#[from] config::runtime::ConfigErrors),
}

/// The logger of this process.
pub struct Logging {
    handle: log4rs::Handle,
}

impl Logging {
    /// Starts logging lines of at least this severity to the standard error output.
    ///
    /// # Errors
    ///
    /// Fails if the process already has a logger.
    pub fn start(level: settings::LogLevel) -> Result<Self, LoggingError> {
        let handle = log4rs::init_config(configuration(level)?)?;
        Ok(Self { handle })
    }

    /// Changes the least severe level that is written.
    pub fn set_level(&self, level: settings::LogLevel) {
        match configuration(level) {
            Ok(configuration) => self.handle.set_config(configuration),
            Err(failure) => log::error!("{failure}"),
        }
    }
}

fn configuration(
    level: settings::LogLevel,
) -> Result<log4rs::Config, config::runtime::ConfigErrors> {
    let appender = console::ConsoleAppender::builder()
        .encoder(Box::new(json::JsonEncoder::new()))
        .target(console::Target::Stderr)
        .build();
    let root = config::Root::builder().appender(APPENDER).build(level.filter());
    let libraries = level.filter().min(log::LevelFilter::Warn);
    log4rs::Config::builder()
        .appender(config::Appender::builder().build(APPENDER, Box::new(appender)))
        .logger(config::Logger::builder().build("hyper", libraries))
        .logger(config::Logger::builder().build("h2", libraries))
        .logger(config::Logger::builder().build("tower", libraries))
        .build(root)
}
