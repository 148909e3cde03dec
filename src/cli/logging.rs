//! Sets up logging as JSON lines on the standard output.

use log4rs::append::console;
use log4rs::config;
use log4rs::encode::json;

use crate::settings;

/// The name of the appender.
const APPENDER: &str = "stdout";

/// The target of this crate's log lines; libraries log warnings and errors only.
const OWN_TARGET: &str = "galenayard";

/// Starts logging; `log::set_max_level` changes the level later.
pub fn start(level: settings::LogLevel) -> Result<(), log::SetLoggerError> {
    let encoder = Box::new(json::JsonEncoder::new());
    let appender = console::ConsoleAppender::builder().encoder(encoder).build();
    let appender = config::Appender::builder().build(APPENDER, Box::new(appender));
    // The crate's logger passes everything, so that the level can be raised while it runs.
    let own = config::Logger::builder().build(OWN_TARGET, log::LevelFilter::Trace);
    let root = config::Root::builder().appender(APPENDER).build(log::LevelFilter::Warn);
    let config = config::Config::builder().appender(appender).logger(own);
    let (config, _) = config.build_lossy(root);
    log4rs::init_config(config)?;
    log::set_max_level(level.filter());
    Ok(())
}
