//! Metrics of one run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use sassafras_util::Error;

use crate::driver::JobResult;
use crate::driver::Outcome;
use crate::records::StartCounts;
use crate::records::WastedMessages;

/// Histogram units per ratio of 1.0.
const UNITS_PER_RATIO: f64 = 1000.0;
/// Largest recorded ratio, 1000.0, in units. Larger ratios are recorded as this one.
const MAX_RATIO_UNITS: u64 = 1_000_000;
/// Largest number of tasks of a job that the target for the ratio applies to.
pub const MAX_SMALL_JOB_TASKS: usize = 100;

/// A histogram of the ratio of response time to ideal response time.
#[derive(Debug)]
pub struct RatioHistogram(Histogram<u64>);

impl RatioHistogram {
    /// Creates an empty histogram.
    ///
    /// # Errors
    ///
    /// Fails when the histogram cannot be created.
    pub fn new() -> Result<Self, Error> {
        let histogram = Histogram::new_with_bounds(1, MAX_RATIO_UNITS, 3).map_err(Error::new)?;
        Ok(Self(histogram))
    }

    /// Records one ratio.
    pub fn record(&mut self, ratio: f64) {
        self.0.saturating_record((ratio * UNITS_PER_RATIO) as u64);
    }

    /// Returns the ratio at a quantile, or zero when the histogram is empty.
    pub fn quantile(&self, quantile: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(quantile) as f64 / UNITS_PER_RATIO
    }
}

/// A job of the measured part of a run.
#[derive(Clone, Debug)]
pub struct Row {
    /// Index of the submitting team.
    pub team: usize,
    /// Time from the start of the run to the submission.
    pub at: Duration,
    /// Number of tasks.
    pub tasks: usize,
    /// Ideal response time.
    pub ideal: Duration,
    /// Outcome of the job.
    pub outcome: Outcome,
}

impl Row {
    /// Returns the ratio of the response time to the ideal response time.
    pub fn ratio(&self) -> f64 {
        self.outcome.response_time.as_secs_f64() / self.ideal.as_secs_f64()
    }
}

/// Identification of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunKey {
    /// Name of the scenario.
    pub scenario: String,
    /// Placement policy of the entries, or `-` when it is not known.
    pub policy: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Offered load, as a fraction of the total speed.
    pub load: f64,
}

/// Metrics of one run, computed from the jobs submitted after the warm-up.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Identification of the run.
    pub key: RunKey,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of tasks of these jobs.
    pub tasks: usize,
    /// Number of starts after the first of a task in the whole run, from the start records of the
    /// stand-ins.
    pub double_starts: u64,
    /// Number of jobs with the result [`JobResult::Partial`].
    pub partial_answers: usize,
    /// Number of jobs with the result [`JobResult::Lost`].
    pub lost_answers: usize,
    /// Number of failed jobs by code.
    pub failed: BTreeMap<String, usize>,
    /// Number of refused jobs by HTTP status and code.
    pub refused: BTreeMap<String, usize>,
    /// Number of jobs that were cancelled by their caller.
    pub cancelled: usize,
    /// Median ratio of complete jobs with up to 100 tasks.
    pub ratio_p50: f64,
    /// 99th percentile of the ratio of complete jobs with up to 100 tasks.
    pub ratio_p99: f64,
    /// Median ratio of all complete jobs.
    pub all_p50: f64,
    /// 99th percentile of the ratio of all complete jobs.
    pub all_p99: f64,
    /// 99th percentile of the ratio of the second team's complete jobs with up to 100 tasks.
    pub other_p99: f64,
    /// Sum of `waste` per 1,000 tasks of the whole run.
    pub wasted_per_1000: f64,
    /// Number of wasted messages by reason. Those that the processes counted are of the whole run;
    /// `caller_resubmit` and `caller_poll` count only for the jobs submitted after the warm-up.
    pub waste: BTreeMap<String, u64>,
    /// The jobs submitted after the warm-up.
    #[serde(skip)]
    pub rows: Vec<Row>,
}

impl Summary {
    /// Computes the metrics of a run from the jobs submitted after the warm-up, the start counts
    /// and the wasted messages. `task_count` is the number of tasks of the whole run including
    /// the warm-up, because the messages that the processes counted include the warm-up as well.
    ///
    /// # Errors
    ///
    /// Fails when a histogram cannot be created.
    pub fn new(
        key: RunKey,
        rows: Vec<Row>,
        starts: StartCounts,
        waste: &WastedMessages,
        task_count: usize,
    ) -> Result<Self, Error> {
        let mut small = RatioHistogram::new()?;
        let mut all = RatioHistogram::new()?;
        let mut other = RatioHistogram::new()?;
        let mut failed = BTreeMap::new();
        let mut refused = BTreeMap::new();
        for row in &rows {
            match &row.outcome.result {
                JobResult::Complete => {
                    all.record(row.ratio());
                    if row.tasks <= MAX_SMALL_JOB_TASKS {
                        small.record(row.ratio());
                        if row.team == 1 {
                            other.record(row.ratio());
                        }
                    }
                }
                JobResult::Failed(code) => *failed.entry(code.clone()).or_default() += 1,
                JobResult::Refused(code) => *refused.entry(code.clone()).or_default() += 1,
                JobResult::Partial | JobResult::Cancelled | JobResult::Lost => {}
            }
        }
        let count = |result: &JobResult| {
            let matching = rows.iter().filter(|r| r.outcome.result == *result);
            matching.count()
        };
        Ok(Self {
            key,
            jobs: rows.len(),
            tasks: rows.iter().map(|r| r.tasks).sum(),
            double_starts: starts.double_starts,
            partial_answers: count(&JobResult::Partial),
            lost_answers: count(&JobResult::Lost),
            failed,
            refused,
            cancelled: count(&JobResult::Cancelled),
            ratio_p50: small.quantile(0.5),
            ratio_p99: small.quantile(0.99),
            all_p50: all.quantile(0.5),
            all_p99: all.quantile(0.99),
            other_p99: other.quantile(0.99),
            wasted_per_1000: waste.total() as f64 * 1000.0 / task_count.max(1) as f64,
            waste: waste.0.clone(),
            rows,
        })
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        write!(
            f,
            "scenario={} policy={} seed={} load={} jobs={} tasks={} double_starts={} \
             partial_answers={} lost_answers={} failed={} refused={} cancelled={} ratio_p50={:.3} \
             ratio_p99={:.3} all_p50={:.3} all_p99={:.3} other_p99={:.3} wasted_per_1000={:.1}",
            key.scenario,
            key.policy,
            key.seed,
            key.load,
            self.jobs,
            self.tasks,
            self.double_starts,
            self.partial_answers,
            self.lost_answers,
            self.failed.values().sum::<usize>(),
            self.refused.values().sum::<usize>(),
            self.cancelled,
            self.ratio_p50,
            self.ratio_p99,
            self.all_p50,
            self.all_p99,
            self.other_p99,
            self.wasted_per_1000
        )?;
        let groups = [("failed", &self.failed), ("refused", &self.refused)];
        for (name, codes) in groups {
            for (code, count) in codes {
                write!(f, " {name}_{code}={count}")?;
            }
        }
        for (reason, count) in &self.waste {
            write!(f, " waste_{reason}={count}")?;
        }
        Ok(())
    }
}
