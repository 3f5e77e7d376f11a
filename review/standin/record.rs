//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fmt::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Collects the lines of `record.txt`. Clones share the lines.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line with the current time.
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Writes all lines in the order of their times.
    pub fn save(&self, dir: &Path) -> Result<(), String> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let ms = at.saturating_duration_since(self.start).as_secs_f64() * 1_000.0;
            let _ = writeln!(text, "{ms:10.1} ms  {line}");
        }
        std::fs::write(dir.join("record.txt"), text).map_err(|err| format!("record.txt: {err}"))
    }
}
