//! The figures of one run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use sassafras_util::Error;

use crate::driver::JobResult;
use crate::driver::Outcome;
use crate::records::Starts;
use crate::records::WastedMessages;

/// Ratios are recorded in thousandths.
const RATIO_UNIT: f64 = 1000.0;
/// Largest ratio that is recorded; a larger one counts as this.
const MAX_RATIO: u64 = 1_000_000;
/// The target for the ratio covers jobs up to this many tasks.
pub const SMALL_JOB: usize = 100;

/// A distribution of response over ideal.
#[derive(Debug)]
pub struct Ratios(Histogram<u64>);

impl Ratios {
    /// Creates an empty distribution.
    ///
    /// # Errors
    ///
    /// Fails when the histogram cannot be created.
    pub fn new() -> Result<Self, Error> {
        let histogram = Histogram::new_with_bounds(1, MAX_RATIO, 3).map_err(Error::new)?;
        Ok(Self(histogram))
    }

    /// Records one ratio.
    pub fn record(&mut self, ratio: f64) {
        self.0.saturating_record((ratio * RATIO_UNIT) as u64);
    }

    /// Returns the ratio at a quantile, and zero when there is none.
    pub fn at(&self, quantile: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(quantile) as f64 / RATIO_UNIT
    }
}

/// One job's part in the figures.
#[derive(Clone, Debug)]
pub struct Row {
    /// Position of the team.
    pub team: usize,
    /// Time of the submission after the start of the run.
    pub at: Duration,
    /// Number of tasks.
    pub tasks: usize,
    /// Ideal response time.
    pub ideal: Duration,
    /// What became of it.
    pub outcome: Outcome,
}

impl Row {
    /// Returns the response time over the ideal response time.
    pub fn ratio(&self) -> f64 {
        self.outcome.response.as_secs_f64() / self.ideal.as_secs_f64()
    }
}

/// Which run the figures belong to.
#[derive(Clone, Debug, Serialize)]
pub struct RunKey {
    /// The scenario.
    pub scenario: String,
    /// The placement policy, or `-` when the entries' policy is not known.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The offered load.
    pub load: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Which run this is.
    pub key: RunKey,
    /// Jobs that count, which are those after the warm-up.
    pub jobs: usize,
    /// Their tasks.
    pub tasks: usize,
    /// Starts beyond the first of a task, from the stand-ins' records.
    pub double_starts: u64,
    /// Answers that say complete and are not.
    pub partial_answers: usize,
    /// Jobs without an answer.
    pub lost_answers: usize,
    /// Jobs that failed, by code.
    pub failed: BTreeMap<String, usize>,
    /// Jobs that were refused, by status and code.
    pub refused: BTreeMap<String, usize>,
    /// Jobs that were cancelled as asked.
    pub cancelled: usize,
    /// Ratio of complete jobs of up to 100 tasks.
    pub ratio_p50: f64,
    /// Ratio of complete jobs of up to 100 tasks.
    pub ratio_p99: f64,
    /// Ratio of all complete jobs.
    pub all_p50: f64,
    /// Ratio of all complete jobs.
    pub all_p99: f64,
    /// Ratio of the second team's complete jobs of up to 100 tasks.
    pub other_p99: f64,
    /// Wasted messages for each 1,000 tasks.
    pub wasted_per_1000: f64,
    /// Wasted messages by reason.
    pub waste: BTreeMap<String, u64>,
    /// The counted jobs.
    #[serde(skip)]
    pub rows: Vec<Row>,
}

impl Summary {
    /// Computes the figures of a run from its counted jobs, the stand-ins' records and the
    /// waste that the processes counted. `sent` is the number of tasks of the whole run,
    /// warm-up included, which is what the waste belongs to.
    ///
    /// # Errors
    ///
    /// Fails when a histogram cannot be created.
    pub fn new(
        key: RunKey,
        rows: Vec<Row>,
        starts: Starts,
        waste: &WastedMessages,
        sent: usize,
    ) -> Result<Self, Error> {
        let mut small = Ratios::new()?;
        let mut all = Ratios::new()?;
        let mut other = Ratios::new()?;
        let mut failed = BTreeMap::new();
        let mut refused = BTreeMap::new();
        for row in &rows {
            match &row.outcome.result {
                JobResult::Complete => {
                    all.record(row.ratio());
                    if row.tasks <= SMALL_JOB {
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
        let count = |verdict: &JobResult| {
            let same = rows.iter().filter(|r| r.outcome.result == *verdict);
            same.count()
        };
        Ok(Self {
            key,
            jobs: rows.len(),
            tasks: rows.iter().map(|r| r.tasks).sum(),
            double_starts: starts.doubles,
            partial_answers: count(&JobResult::Partial),
            lost_answers: count(&JobResult::Lost),
            failed,
            refused,
            cancelled: count(&JobResult::Cancelled),
            ratio_p50: small.at(0.5),
            ratio_p99: small.at(0.99),
            all_p50: all.at(0.5),
            all_p99: all.at(0.99),
            other_p99: other.at(0.99),
            wasted_per_1000: waste.total() as f64 * 1000.0 / sent.max(1) as f64,
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
        let list = [("failed", &self.failed), ("refused", &self.refused)];
        for (name, codes) in list {
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
