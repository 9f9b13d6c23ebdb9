//! Parses the start records of the stand-ins and the metrics pages of the processes.

use std::collections::BTreeMap;

use serde::Deserialize;

use sassafras_util::Error;
use sassafras_util::FastMap;

/// Counter of wasted messages by the label `reason`.
const WASTE_METRIC: &str = "wasted_messages";
/// Counters of entries whose every increment is a wasted message, with the reason that it counts
/// for. The counters of agents are left out because they count the same refusals again.
const ENTRY_COUNTERS: [(&str, &str); 7] = [
    ("entry_refused_starts", "refused_start"),
    ("entry_refusals", "refused_job"),
    ("entry_late_reports", "late_result"),
    ("entry_stale_reports", "late_result"),
    ("entry_retries", "retry"),
    ("entry_probes", "probe"),
    ("entry_releases", "release"),
];

/// Numbers of task starts in a run, from the start records of the stand-ins.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StartCounts {
    /// Total number of starts.
    pub starts: u64,
    /// Number of tasks that started at least once.
    pub tasks: u64,
    /// Number of starts after the first of each task.
    pub double_starts: u64,
}

#[derive(Deserialize)]
struct StartRecord {
    task: String,
}

/// Counts the starts in the records of all stand-ins, for jobs whose name `filter` accepts.
///
/// A task is identified by team, job and index, so a second start counts as a double start
/// whatever its attempt number. The workloads declare no kind as repeatable, so that no task may
/// start twice.
///
/// # Errors
///
/// Fails on a line that is not a valid start record.
pub fn count_starts(
    records: &[String],
    filter: impl Fn(&str) -> bool,
) -> Result<StartCounts, Error> {
    let mut counts = FastMap::<(String, String, u32), u64>::default();
    for line in records.iter().flat_map(|r| r.lines()) {
        let record: StartRecord = serde_json::from_str(line).map_err(Error::new)?;
        let Some((team, job, index)) = parse_task_id(&record.task) else {
            return Err(Error::new(format!(
                "malformed task id in start record: {:?}",
                record.task
            )));
        };
        if filter(job) {
            *counts
                .entry((team.to_owned(), job.to_owned(), index))
                .or_default() += 1;
        }
    }
    let starts = counts.values().sum();
    let tasks = counts.len() as u64;
    Ok(StartCounts {
        starts,
        tasks,
        double_starts: starts - tasks,
    })
}

/// Parses `team/job/index/attempt` and returns all parts but the attempt.
fn parse_task_id(id: &str) -> Option<(&str, &str, u32)> {
    let mut parts = id.split('/');
    let (team, job) = (parts.next()?, parts.next()?);
    let index = parts.next()?.parse().ok()?;
    parts.next()?.parse::<u32>().ok()?;
    parts.next().is_none().then_some((team, job, index))
}

/// Numbers of wasted messages by reason.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WastedMessages(pub BTreeMap<String, u64>);

impl WastedMessages {
    /// Sums the counters of wasted messages over the text of metrics pages.
    pub fn from_pages(pages: &[String]) -> Self {
        let mut waste = Self::default();
        for line in pages.iter().flat_map(|p| p.lines()) {
            if let Some((reason, count)) = parse_waste_line(line) {
                waste.add(reason, count);
            }
        }
        for (name, reason) in ENTRY_COUNTERS {
            waste.add(reason, metric_value(pages, name) as u64);
        }
        waste
    }

    /// Adds to the count of a reason. A count of zero adds no entry.
    pub fn add(&mut self, reason: &str, count: u64) {
        if count > 0 {
            *self.0.entry(reason.to_owned()).or_default() += count;
        }
    }

    /// Returns the increase of each count since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut waste = Self::default();
        for (reason, count) in &self.0 {
            let before = earlier.0.get(reason).copied().unwrap_or(0);
            waste.add(reason, count.saturating_sub(before));
        }
        waste
    }

    /// Returns the total over all reasons.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// Parses a `wasted_messages` line into reason and count. Returns `None` for other lines.
fn parse_waste_line(line: &str) -> Option<(&str, u64)> {
    let rest = line.strip_prefix(WASTE_METRIC)?;
    let rest = rest.strip_prefix("_total").unwrap_or(rest);
    let (labels, value) = rest.strip_prefix('{')?.split_once('}')?;
    let reason = labels.split(',').find_map(|label| {
        let (key, value) = label.split_once('=')?;
        (key.trim() == "reason").then(|| value.trim_matches('"'))
    })?;
    Some((reason, value.trim().parse().ok()?))
}

/// Returns the value of a metric, summed over its label sets and over all pages.
pub fn metric_value(pages: &[String], name: &str) -> f64 {
    let matching = pages.iter().flat_map(|p| p.lines()).filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        if !rest.starts_with(' ') && !rest.starts_with('{') {
            return None;
        }
        rest.rsplit(' ').next()?.parse::<f64>().ok()
    });
    matching.sum()
}
