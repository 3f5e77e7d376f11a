//! The record of a run: what was sent, answered and run, with times in milliseconds from the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let out = BufWriter::new(File::create(path)?);
        Ok(Self { start: Instant::now(), out: Arc::new(Mutex::new(out)) })
    }

    /// Milliseconds from the start of the run.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    /// Writes a line for the file only.
    pub fn note(&self, line: &str) {
        self.note_at(Instant::now(), line);
    }

    pub fn note_at(&self, at: Instant, line: &str) {
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{:>7} {line}", self.ms(at));
    }

    /// Writes a line for the file and for the terminal.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
