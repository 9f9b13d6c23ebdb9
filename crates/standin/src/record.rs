//! The record of every start, in memory and on request in a file.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;

use sassafras_util::Error;

/// Starts kept in memory; a longer run keeps only the file complete.
const MAX_STARTS: usize = 2_000_000;

/// One start of a task.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StartRecord {
    /// The `Task-Id` header: team, job, index and attempt.
    pub task: String,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time of the end, if it has ended.
    pub end_ms: Option<u64>,
    /// How it ended: `done`, `failed`, `stopped` or `dropped`.
    pub outcome: Option<String>,
}

/// Records starts and ends.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    starts: Vec<StartRecord>,
    total: usize,
    running: usize,
    peak: usize,
    file: Option<File>,
}

/// Totals of a recorder.
#[derive(Debug, Serialize)]
pub(crate) struct Stats {
    pub(crate) starts: usize,
    pub(crate) running: usize,
    pub(crate) peak: usize,
}

impl Recorder {
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

    /// Records a start and returns its number.
    pub(crate) fn start(&mut self, task: &str, start_ms: u64) -> usize {
        self.running += 1;
        self.peak = self.peak.max(self.running);
        let start = StartRecord {
            task: task.to_owned(),
            start_ms,
            end_ms: None,
            outcome: None,
        };
        self.append(&start);
        if self.starts.len() < MAX_STARTS {
            self.starts.push(start);
        }
        self.total += 1;
        self.total - 1
    }

    /// Records the end of a start.
    pub(crate) fn end(&mut self, number: usize, end_ms: u64, outcome: &str) {
        self.running = self.running.saturating_sub(1);
        let Some(start) = self.starts.get_mut(number) else {
            return;
        };
        start.end_ms = Some(end_ms);
        start.outcome = Some(outcome.to_owned());
        let line = start.clone();
        self.append(&line);
    }

    pub(crate) fn stats(&self) -> Stats {
        Stats {
            starts: self.total,
            running: self.running,
            peak: self.peak,
        }
    }

    /// Returns every start as a JSON line.
    pub(crate) fn lines(&self) -> String {
        self.starts.iter().map(line).collect()
    }

    fn append(&mut self, start: &StartRecord) {
        if let Some(file) = &mut self.file
            && let Err(e) = file.write_all(line(start).as_bytes())
        {
            // A record with a gap would hide double starts from the reader.
            panic!("cannot append to the record of starts: {e}");
        }
    }
}

fn line(start: &StartRecord) -> String {
    let mut text = serde_json::to_string(start).unwrap_or_default();
    text.push('\n');
    text
}
