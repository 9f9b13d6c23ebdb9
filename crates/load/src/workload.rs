//! Deterministic generation of the jobs of a run.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::scenario::Fault;
use crate::scenario::KindSpec;
use crate::scenario::Scenario;

/// Range of the work of a regular task, in milliseconds.
const TASK_RANGE_MS: (f64, f64) = (50.0, 1000.0);
/// Range of the work of a long task, in milliseconds.
const LONG_TASK_RANGE_MS: (f64, f64) = (2000.0, 6000.0);
/// Share of the tasks that are long.
const LONG_TASK_SHARE: f64 = 0.01;
/// Distribution of job sizes: cumulative share of the jobs, minimum and maximum number of tasks.
const JOB_SIZES: [(f64, u32, u32); 5] = [
    (0.55, 1, 5),
    (0.90, 6, 20),
    (0.99, 21, 100),
    (0.998, 101, 300),
    (1.0, 301, 970),
];
/// Interval between the starts of arrival bursts, in seconds.
const BURST_PERIOD_S: f64 = 4.0;
/// Length of an arrival burst, in seconds.
const BURST_LENGTH_S: f64 = 0.5;
/// Arrival rate during a burst, as a multiple of the rate outside of bursts.
const BURST_RATE_FACTOR: f64 = 2.0;
/// Duration of the load spike that [`Fault::Burst`] injects.
pub const FAULT_BURST_DURATION: Duration = Duration::from_secs(10);
/// Total offered load during the spike, as a multiple of the regular load.
const FAULT_BURST_LOAD_FACTOR: f64 = 5.0;
/// Upper bound of the time from the submission of a job to its cancellation.
const MAX_CANCEL_DELAY_MS: u64 = 800;

/// One task of a generated job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Run time on an endpoint of speed 1.
    pub work: Duration,
    /// Number that is unique in the run. The stand-in echoes it in the result of the task.
    pub number: u64,
}

/// One generated job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time from the start of the run to the submission.
    pub submit_at: Duration,
    /// Index of the submitting team.
    pub team: usize,
    /// Name of the job, unique in the run.
    pub name: String,
    /// Index of the tasks' kind in [`Scenario::kinds`].
    pub kind: usize,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Time from the submission to the cancellation, for a job that its caller cancels.
    pub cancel_after: Option<Duration>,
}

/// Parameters of a generated workload.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadParams {
    /// Offered load, as a fraction of the total speed.
    pub load: f64,
    /// Duration of the run.
    pub duration: Duration,
    /// Sum of the speeds of all slots, in seconds of work per second.
    pub total_speed: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time from the start of the run to the fault.
    pub fault_at: Duration,
}

/// Generates the jobs of a run, ordered by submission time.
///
/// The total work of the jobs is at most `load * total_speed * duration`, to which [`Fault::Burst`]
/// adds the work of its load spike. Arrival times are drawn independently, which yields a Poisson
/// process conditioned on the number of arrivals.
pub fn generate(scenario: &Scenario, params: WorkloadParams) -> Vec<Job> {
    let mut generator = Generator {
        rng: StdRng::seed_from_u64(params.seed),
        scenario,
        params,
        jobs: Vec::new(),
        last_number: 0,
    };
    let seconds = params.duration.as_secs_f64();
    generator.add_jobs(params.load * params.total_speed * seconds, None);
    if scenario.fault == Some(Fault::Burst) {
        let extra = (FAULT_BURST_LOAD_FACTOR - 1.0) * params.load * params.total_speed;
        generator.add_jobs(extra * FAULT_BURST_DURATION.as_secs_f64(), Some(0));
    }
    if scenario.fault == Some(Fault::CancelWave) {
        generator.add_cancellations();
    }
    let mut jobs = generator.jobs;
    jobs.sort_by_key(|j| j.submit_at);
    jobs
}

struct Generator<'a> {
    rng: StdRng,
    scenario: &'a Scenario,
    params: WorkloadParams,
    jobs: Vec<Job>,
    last_number: u64,
}

impl Generator<'_> {
    /// Adds jobs until the next one would exceed `work` seconds of total work. With a
    /// `burst_team`, all jobs belong to it and arrive during [`Fault::Burst`]; otherwise they
    /// alternate between the teams and arrive over the whole run.
    fn add_jobs(&mut self, work: f64, burst_team: Option<usize>) {
        let mut remaining = work;
        loop {
            let job = self.draw_job(burst_team);
            remaining -= total_work(&job.tasks).as_secs_f64();
            if remaining < 0.0 {
                return;
            }
            self.jobs.push(job);
        }
    }

    fn draw_job(&mut self, burst_team: Option<usize>) -> Job {
        let at = match burst_team {
            None => self.draw_arrival(),
            Some(_) => {
                self.params.fault_at + FAULT_BURST_DURATION.mul_f64(self.rng.random::<f64>())
            }
        };
        let team = burst_team.unwrap_or(self.jobs.len() % 2);
        let kind = pick_kind(self.scenario.kinds, self.rng.random());
        let scale = self.scenario.kinds[kind].scale;
        let size = self.draw_size();
        Job {
            submit_at: at,
            team,
            name: format!("j{}-{}", self.params.seed, self.jobs.len()),
            kind,
            tasks: (0..size).map(|_| self.draw_task(scale)).collect(),
            cancel_after: None,
        }
    }

    fn draw_arrival(&mut self) -> Duration {
        let length = self.params.duration.as_secs_f64();
        // Rejection sampling: the acceptance probability follows the arrival rate at that time.
        loop {
            let at = self.rng.random::<f64>() * length;
            let rate = if at % BURST_PERIOD_S < BURST_LENGTH_S {
                BURST_RATE_FACTOR
            } else {
                1.0
            };
            if self.rng.random::<f64>() * BURST_RATE_FACTOR < rate {
                return Duration::from_secs_f64(at);
            }
        }
    }

    fn draw_size(&mut self) -> u32 {
        let draw = self.rng.random::<f64>();
        let (_, min, max) = JOB_SIZES
            .into_iter()
            .find(|(share, _, _)| draw < *share)
            .unwrap_or(JOB_SIZES[0]);
        self.rng.random_range(min..=max)
    }

    fn draw_task(&mut self, scale: f64) -> Task {
        let (min, max) = if self.rng.random::<f64>() < LONG_TASK_SHARE {
            LONG_TASK_RANGE_MS
        } else {
            TASK_RANGE_MS
        };
        let ms = min * (max / min).powf(self.rng.random::<f64>()) * scale;
        self.last_number += 1;
        Task {
            work: Duration::from_millis(ms.max(TASK_RANGE_MS.0) as u64),
            number: self.last_number,
        }
    }

    /// Cancels about half of the first team's jobs from the start of the fault on.
    fn add_cancellations(&mut self) {
        for job in &mut self.jobs {
            if job.team == 0 && job.submit_at >= self.params.fault_at && self.rng.random::<bool>() {
                let delay_ms = self.rng.random_range(0..MAX_CANCEL_DELAY_MS);
                job.cancel_after = Some(Duration::from_millis(delay_ms));
            }
        }
    }
}

fn pick_kind(kinds: &[KindSpec], draw: f64) -> usize {
    let mut sum = 0.0;
    let found = kinds.iter().position(|k| {
        sum += k.share;
        draw < sum
    });
    found.unwrap_or(0)
}

/// Returns the sum of the work of the tasks.
pub fn total_work(tasks: &[Task]) -> Duration {
    tasks.iter().map(|t| t.work).sum()
}

/// Returns a lower bound of the response time of a job: the larger of the run time of its longest
/// task on the fastest endpoint and its total work divided by the total speed of all slots.
///
/// `endpoints` lists the speed and the number of slots of each eligible endpoint.
pub fn ideal_response_time(tasks: &[Task], endpoints: &[(f64, u32)]) -> Duration {
    let fastest = endpoints.iter().map(|(s, _)| *s).fold(0.0, f64::max);
    let total: f64 = endpoints.iter().map(|(s, n)| s * f64::from(*n)).sum();
    let longest = tasks.iter().map(|t| t.work).max().unwrap_or_default();
    if total <= 0.0 {
        return Duration::MAX;
    }
    longest
        .div_f64(fastest)
        .max(total_work(tasks).div_f64(total))
}
