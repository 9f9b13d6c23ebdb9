//! The record of a case: what was sent, answered and run, with the time of each event.

use std::fs::File;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines to a file and to standard output. Clones refer to the same record.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now().as_secs_f64(), text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}
