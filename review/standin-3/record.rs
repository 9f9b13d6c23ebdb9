//! The record of what was sent, answered and run, with times since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A start that a worker has carried out.
#[derive(Clone)]
pub struct Start {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub attempt: u64,
}

struct Inner {
    file: File,
    starts: Vec<Start>,
}

#[derive(Clone)]
pub struct Record {
    begin: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let inner = Inner { file: File::create(path)?, starts: Vec::new() };
        Ok(Self { begin: Instant::now(), inner: Arc::new(Mutex::new(inner)) })
    }

    /// Milliseconds since the start of the record.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let at = self.now();
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{:>7.3} s  {text}", at as f64 / 1000.0);
    }

    pub fn start(&self, worker: &str, task: &str, attempt: u64) {
        self.note(&format!("{worker} starts {task} attempt {attempt}"));
        let start = Start { at_ms: self.now(), worker: worker.into(), task: task.into(), attempt };
        self.inner.lock().unwrap().starts.push(start);
    }

    pub fn end(&self, worker: &str, task: &str, attempt: u64, how: &str) {
        self.note(&format!("{worker} ends {task} attempt {attempt}: {how}"));
    }

    /// Returns the starts of a job's tasks.
    pub fn starts(&self, job: &str) -> Vec<Start> {
        let inner = self.inner.lock().unwrap();
        let of_job = inner.starts.iter().filter(|s| s.task.starts_with(&format!("{job}.")));
        of_job.cloned().collect()
    }
}
