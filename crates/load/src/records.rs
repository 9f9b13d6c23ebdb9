//! Reads the stand-ins' records of starts and the processes' metrics pages.

use std::collections::BTreeMap;

use serde::Deserialize;

use sassafras_util::Error;
use sassafras_util::FastMap;

/// Name of the counter of wasted messages, with the label `reason`.
const WASTED: &str = "wasted_messages";
/// Counters of entries that count one wasted message each, and the reason they stand for.
/// Agents count the same refusals once more, so their counters are left out.
const REASONS: [(&str, &str); 7] = [
    ("entry_refused_starts", "refused_start"),
    ("entry_refusals", "refused_job"),
    ("entry_late_reports", "late_result"),
    ("entry_stale_reports", "late_result"),
    ("entry_retries", "retry"),
    ("entry_probes", "probe"),
    ("entry_releases", "release"),
];

/// What the stand-ins' records say about one run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starts {
    /// Starts in total.
    pub starts: u64,
    /// Tasks that were started at least once.
    pub tasks: u64,
    /// Starts beyond the first of each task.
    pub doubles: u64,
}

#[derive(Deserialize)]
struct Line {
    task: String,
}

/// Counts the starts in the records of all stand-ins for jobs whose name `wanted` accepts.
///
/// A task is identified by team, job and index: whatever attempt a second start belongs to,
/// it counts as a double start. The loads use no repeatable tasks.
///
/// # Errors
///
/// Fails on a line that is not a record of a start.
pub fn count_starts(records: &[String], wanted: impl Fn(&str) -> bool) -> Result<Starts, Error> {
    let mut counts = FastMap::<(String, String, u32), u64>::default();
    for line in records.iter().flat_map(|r| r.lines()) {
        let line: Line = serde_json::from_str(line).map_err(Error::new)?;
        let Some((team, job, index)) = parse_task(&line.task) else {
            return Err(Error::new(format!("not a task id: {:?}", line.task)));
        };
        if wanted(job) {
            *counts
                .entry((team.to_owned(), job.to_owned(), index))
                .or_default() += 1;
        }
    }
    let starts = counts.values().sum();
    let tasks = counts.len() as u64;
    Ok(Starts {
        starts,
        tasks,
        doubles: starts - tasks,
    })
}

/// Splits `team/job/index/attempt`.
fn parse_task(id: &str) -> Option<(&str, &str, u32)> {
    let mut parts = id.split('/');
    let (team, job) = (parts.next()?, parts.next()?);
    let index = parts.next()?.parse().ok()?;
    parts.next()?.parse::<u32>().ok()?;
    parts.next().is_none().then_some((team, job, index))
}

/// Wasted messages by reason.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WastedMessages(pub BTreeMap<String, u64>);

impl WastedMessages {
    /// Reads the counter from the text of metrics pages.
    pub fn from_pages(pages: &[String]) -> Self {
        let mut waste = Self::default();
        for line in pages.iter().flat_map(|p| p.lines()) {
            if let Some((reason, count)) = parse_counter(line) {
                waste.add(reason, count);
            }
        }
        for (name, reason) in REASONS {
            waste.add(reason, metric(pages, name) as u64);
        }
        waste
    }

    /// Adds messages to a reason; zero messages add no entry.
    pub fn add(&mut self, reason: &str, count: u64) {
        if count > 0 {
            *self.0.entry(reason.to_owned()).or_default() += count;
        }
    }

    /// Returns what was counted after `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut waste = Self::default();
        for (reason, count) in &self.0 {
            let before = earlier.0.get(reason).copied().unwrap_or(0);
            waste.add(reason, count.saturating_sub(before));
        }
        waste
    }

    /// Returns the sum over all reasons.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// Returns the reason and the count of a `wasted_messages` line, and `None` for other lines.
fn parse_counter(line: &str) -> Option<(&str, u64)> {
    let rest = line.strip_prefix(WASTED)?;
    let rest = rest.strip_prefix("_total").unwrap_or(rest);
    let (labels, value) = rest.strip_prefix('{')?.split_once('}')?;
    let reason = labels.split(',').find_map(|label| {
        let (key, value) = label.split_once('=')?;
        (key.trim() == "reason").then(|| value.trim_matches('"'))
    })?;
    Some((reason, value.trim().parse().ok()?))
}

/// Returns the value of a metric without labels, or the sum over all its labels.
pub fn metric(pages: &[String], name: &str) -> f64 {
    let matching = pages.iter().flat_map(|p| p.lines()).filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        if !rest.starts_with(' ') && !rest.starts_with('{') {
            return None;
        }
        rest.rsplit(' ').next()?.parse::<f64>().ok()
    });
    matching.sum()
}
