//! The command that runs an instance.

use std::path;
use std::str;

use crate::cli::{config, exit};
use crate::platform;
use crate::schema;
use crate::settings;
use crate::shell::runtime;

/// Runs an instance until it is told to stop.
pub fn serve(file: &path::Path) -> Result<exit::Exit, exit::Failure> {
    let settings = read(file)?;
    let instance = settings.instance.id.clone();
    log_mdc::insert("instance", instance.clone());
    let tokio = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .on_thread_start(move || {
            log_mdc::insert("instance", instance.clone());
        })
        .build()
        .map_err(|source| exit::Failure::File { path: file.to_path_buf(), source })?;
    tokio.block_on(runtime::serve(settings))?;
    Ok(exit::Exit::Done)
}

/// Runs an instance on the users' platform until it is told to stop.
pub fn node(metrics_port: Option<u16>, hedge_percent: f64) -> Result<exit::Exit, exit::Failure> {
    platform::serve(metrics_port, hedge_percent / 100.0)?;
    Ok(exit::Exit::Done)
}

fn read(file: &path::Path) -> Result<settings::Settings, exit::Failure> {
    let body = config::read(file)?;
    let invalid = |faults| exit::Failure::Invalid { path: file.to_path_buf(), faults };
    let text = str::from_utf8(&body)
        .map_err(|_| invalid(schema::Faults::whole("not UTF-8", "save the settings as UTF-8")))?;
    settings::Settings::parse(text).map_err(invalid)
}
