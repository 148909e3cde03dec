//! Writes results as text or as one line of JSON.

use std::io;

use serde::Serialize;

use crate::cli::exit;

/// Where the result of a command goes, and in which form.
pub struct Output<'a> {
    out: &'a mut dyn io::Write,
    json: bool,
}

impl<'a> Output<'a> {
    /// Creates an output in JSON or as text.
    pub fn new(out: &'a mut dyn io::Write, json: bool) -> Self {
        Self { out, json }
    }

    /// Returns whether the output is machine-readable.
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Writes a text and ends the command.
    pub fn text(&mut self, text: &str) -> Result<exit::Exit, exit::Failure> {
        self.out.write_all(text.as_bytes()).map_err(exit::Failure::Output)?;
        self.out.flush().map_err(exit::Failure::Output)?;
        Ok(exit::Exit::Done)
    }

    /// Writes the version of the program.
    pub fn version(&mut self) -> Result<exit::Exit, exit::Failure> {
        let version = env!("CARGO_PKG_VERSION");
        self.result(&serde_json::json!({ "version": version }), &format!("galenayard {version}\n"))
    }

    /// Writes a result in the wanted form and ends the command.
    pub fn result<T: Serialize>(
        &mut self,
        value: &T,
        text: &str,
    ) -> Result<exit::Exit, exit::Failure> {
        if !self.json {
            return self.text(text);
        }
        let line = serde_json::to_string(value)
            .map_err(|error| exit::Failure::Output(io::Error::other(error)))?;
        self.text(&format!("{line}\n"))
    }
}

/// Formats a failure.
pub fn failure(failure: &exit::Failure, json: bool) -> String {
    if !json {
        return format!("galenayard: {failure}");
    }
    let detail = match failure {
        exit::Failure::Refused(detail) => serde_json::to_value(detail),
        exit::Failure::Invalid { faults, .. } => serde_json::to_value(faults),
        _ => Ok(serde_json::Value::Null),
    };
    // Formatting these types fails on no value.
    let detail = detail.unwrap_or_default();
    serde_json::json!({
        "error": {
            "kind": failure.kind(),
            "exit_code": failure.exit().code(),
            "message": failure.to_string(),
            "detail": detail,
        }
    })
    .to_string()
}
