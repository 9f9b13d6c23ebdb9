//! Generates the jobs of a run from a seed.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::scenario::Fault;
use crate::scenario::KindSpec;
use crate::scenario::Scenario;

/// Shortest and longest usual task, in milliseconds.
const TASK_MS: (f64, f64) = (50.0, 1000.0);
/// Shortest and longest of the few long tasks, in milliseconds.
const LONG_MS: (f64, f64) = (2000.0, 6000.0);
/// Share of long tasks.
const LONG_SHARE: f64 = 0.01;
/// Job sizes: cumulative share of the jobs, smallest and largest number of tasks.
const SIZES: [(f64, u32, u32); 5] = [
    (0.55, 1, 5),
    (0.90, 6, 20),
    (0.99, 21, 100),
    (0.998, 101, 300),
    (1.0, 301, 970),
];
/// Every period starts with a burst of arrivals at twice the mean rate.
const BURST_PERIOD: f64 = 4.0;
const BURST_SECONDS: f64 = 0.5;
const BURST_FACTOR: f64 = 2.0;
/// The burst fault: length, and load as a multiple of the usual load.
pub const FAULT_BURST: Duration = Duration::from_secs(10);
const FAULT_BURST_FACTOR: f64 = 5.0;
/// A cancellation arrives this long after its submission at the latest.
const CANCEL_WITHIN_MS: u64 = 800;

/// One task of a generated job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Run time on an endpoint of speed 1.
    pub work: Duration,
    /// A number unique in the run; the stand-in echoes it.
    pub number: u64,
}

/// One generated job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time of the submission after the start of the run.
    pub submit_at: Duration,
    /// Position of the team.
    pub team: usize,
    /// The job's name.
    pub name: String,
    /// Position of the kind in the scenario.
    pub kind: usize,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// When the caller cancels the job, after its submission.
    pub cancel_after: Option<Duration>,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Offered work as a share of the total speed.
    pub load: f64,
    /// Length of the run.
    pub length: Duration,
    /// Total speed of all slots.
    pub speed: f64,
    /// Start of the random numbers.
    pub seed: u64,
    /// When the fault starts.
    pub fault_at: Duration,
}

/// Generates the jobs of a run, in the order of their submission.
///
/// The offered work is the given share of the total speed over the run. Given their number,
/// the arrivals of a Poisson process are independent draws, so that is how times are drawn.
pub fn generate(scenario: &Scenario, shape: Shape) -> Vec<Job> {
    let mut generator = Generator {
        rng: StdRng::seed_from_u64(shape.seed),
        scenario,
        shape,
        jobs: Vec::new(),
        numbers: 0,
    };
    let seconds = shape.length.as_secs_f64();
    generator.fill(shape.load * shape.speed * seconds, None);
    if scenario.fault == Some(Fault::Burst) {
        let extra = (FAULT_BURST_FACTOR - 1.0) * shape.load * shape.speed;
        generator.fill(extra * FAULT_BURST.as_secs_f64(), Some(0));
    }
    if scenario.fault == Some(Fault::CancelWave) {
        generator.cancel_half();
    }
    let mut jobs = generator.jobs;
    jobs.sort_by_key(|j| j.submit_at);
    jobs
}

struct Generator<'a> {
    rng: StdRng,
    scenario: &'a Scenario,
    shape: Shape,
    jobs: Vec<Job>,
    numbers: u64,
}

impl Generator<'_> {
    /// Adds jobs until their work reaches `total` seconds. Jobs of a given team arrive during
    /// the burst fault, others over the whole run.
    fn fill(&mut self, total: f64, burst_team: Option<usize>) {
        let mut left = total;
        loop {
            let job = self.job(burst_team);
            left -= work(&job.tasks).as_secs_f64();
            if left < 0.0 {
                return;
            }
            self.jobs.push(job);
        }
    }

    fn job(&mut self, burst_team: Option<usize>) -> Job {
        let at = match burst_team {
            None => self.arrival(),
            Some(_) => self.shape.fault_at + FAULT_BURST.mul_f64(self.rng.random::<f64>()),
        };
        let team = burst_team.unwrap_or(self.jobs.len() % 2);
        let kind = pick_kind(self.scenario.kinds, self.rng.random());
        let scale = self.scenario.kinds[kind].scale;
        let size = self.size();
        Job {
            submit_at: at,
            team,
            name: format!("j{}-{}", self.shape.seed, self.jobs.len()),
            kind,
            tasks: (0..size).map(|_| self.task(scale)).collect(),
            cancel_after: None,
        }
    }

    fn arrival(&mut self) -> Duration {
        let length = self.shape.length.as_secs_f64();
        // Draws beyond the density at that time are rejected.
        loop {
            let at = self.rng.random::<f64>() * length;
            let density = if at % BURST_PERIOD < BURST_SECONDS {
                BURST_FACTOR
            } else {
                1.0
            };
            if self.rng.random::<f64>() * BURST_FACTOR < density {
                return Duration::from_secs_f64(at);
            }
        }
    }

    fn size(&mut self) -> u32 {
        let draw = self.rng.random::<f64>();
        let (_, least, most) = SIZES
            .into_iter()
            .find(|(share, _, _)| draw < *share)
            .unwrap_or(SIZES[0]);
        self.rng.random_range(least..=most)
    }

    fn task(&mut self, scale: f64) -> Task {
        let (least, most) = if self.rng.random::<f64>() < LONG_SHARE {
            LONG_MS
        } else {
            TASK_MS
        };
        let ms = least * (most / least).powf(self.rng.random::<f64>()) * scale;
        self.numbers += 1;
        Task {
            work: Duration::from_millis(ms.max(TASK_MS.0) as u64),
            number: self.numbers,
        }
    }

    fn cancel_half(&mut self) {
        for job in &mut self.jobs {
            if job.team == 0 && job.submit_at >= self.shape.fault_at && self.rng.random::<bool>() {
                let after = self.rng.random_range(0..CANCEL_WITHIN_MS);
                job.cancel_after = Some(Duration::from_millis(after));
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

/// Returns the total work of some tasks.
pub fn work(tasks: &[Task]) -> Duration {
    tasks.iter().map(|t| t.work).sum()
}

/// Returns the ideal response time of a job: the larger of its longest task on the fastest
/// endpoint and its total work over the total speed of all slots.
///
/// `endpoints` lists the speed and the slots of each eligible endpoint.
pub fn ideal_response_time(tasks: &[Task], endpoints: &[(f64, u32)]) -> Duration {
    let fastest = endpoints.iter().map(|(s, _)| *s).fold(0.0, f64::max);
    let total: f64 = endpoints.iter().map(|(s, n)| s * f64::from(*n)).sum();
    let longest = tasks.iter().map(|t| t.work).max().unwrap_or_default();
    if total <= 0.0 {
        return Duration::MAX;
    }
    longest.div_f64(fastest).max(work(tasks).div_f64(total))
}
