//! Records of task starts, kept in memory and optionally appended to a file.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use sassafras_util::Error;

/// Limit of the records in memory. Later starts are only appended to the file, without their ends.
const MAX_RECORDS: usize = 2_000_000;

/// Record of one task start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StartRecord {
    /// The `Task-Id` header: team, job, index and attempt.
    pub task: String,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time of the end, if it has ended.
    pub end_ms: Option<u64>,
    /// Outcome, if it has ended: `done`, `failed`, `stopped` or `dropped`.
    pub outcome: Option<String>,
}

/// Records task starts and ends.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    starts: Vec<StartRecord>,
    total: usize,
    running: usize,
    peak: usize,
    file: Option<File>,
}

/// Totals of a [`Recorder`].
#[derive(Debug, Serialize)]
pub(crate) struct Stats {
    pub(crate) starts: usize,
    pub(crate) running: usize,
    /// Largest number of tasks that ran at a time.
    pub(crate) peak: usize,
}

impl Recorder {
    /// Creates a recorder that appends to the file at `path`, if given.
    pub(crate) fn open(path: Option<&Path>) -> Result<Self, Error> {
        let open = |p: &Path| {
            OpenOptions::new()
                .create(true)
                .append(true)
                .open(p)
                .map_err(|e| Error::from(e).context(p.display()))
        };
        Ok(Self {
            file: path.map(open).transpose()?,
            ..Self::default()
        })
    }

    /// Records a start and returns its index.
    pub(crate) fn record_start(&mut self, task: &str, start_ms: u64) -> usize {
        self.running += 1;
        self.peak = self.peak.max(self.running);
        let start = StartRecord {
            task: task.to_owned(),
            start_ms,
            end_ms: None,
            outcome: None,
        };
        self.append(&start);
        if self.starts.len() < MAX_RECORDS {
            self.starts.push(start);
        }
        self.total += 1;
        self.total - 1
    }

    /// Records the end of the start with this index.
    pub(crate) fn record_end(&mut self, index: usize, end_ms: u64, outcome: &str) {
        self.running = self.running.saturating_sub(1);
        let Some(start) = self.starts.get_mut(index) else {
            return;
        };
        start.end_ms = Some(end_ms);
        start.outcome = Some(outcome.to_owned());
        let start = start.clone();
        self.append(&start);
    }

    pub(crate) fn stats(&self) -> Stats {
        Stats {
            starts: self.total,
            running: self.running,
            peak: self.peak,
        }
    }

    /// Returns one JSON line for each start in memory.
    pub(crate) fn json_lines(&self) -> String {
        self.starts.iter().map(json_line).collect()
    }

    fn append(&mut self, start: &StartRecord) {
        if let Some(file) = &mut self.file
            && let Err(e) = file.write_all(json_line(start).as_bytes())
        {
            // Readers detect tasks that started twice, and a missing record would hide one.
            panic!("cannot append to the file of start records: {e}");
        }
    }
}

fn json_line(start: &StartRecord) -> String {
    let mut text = serde_json::to_string(start).unwrap_or_default();
    text.push('\n');
    text
}
