//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record, shared by all threads.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            // A record that cannot be written does not change the verdict.
            let _ = writeln!(file, "{seconds:8.3} {text}");
        }
    }
}
