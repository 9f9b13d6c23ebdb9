//! Random faults, overlapping, on a cluster under load.
//!
//! A [`plan`] follows from its seed alone. [`run`] plays it: it injects each fault from outside the
//! processes while callers submit jobs and an operator changes the configuration, ends all
//! faults, and verifies every promise on what callers and endpoints saw.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::caller::Job;
use crate::cluster::AGENTS;
use crate::cluster::CONTROL;
use crate::cluster::Cluster;
use crate::cluster::ENTRIES;
use crate::cluster::Options;
use crate::cluster::endpoint_of;
use crate::evidence::Call;
use crate::matrix::FAULTS;
use crate::matrix::Fault;
use crate::matrix::tear_tail;

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Longest pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 900;
/// Longest duration of a fault, in milliseconds: beyond a lease and the silence after which
/// control declares a node gone.
const MAX_LENGTH_MS: u64 = 5_500;
/// A control member counts as lost for this long after its fault, until it has caught up.
const CATCH_UP: Duration = Duration::from_secs(3);
/// Longest pause between two jobs, in milliseconds.
const MAX_JOB_PAUSE_MS: u64 = 250;
/// Pause between two changes of the configuration.
const CHANGE_PAUSE: Duration = Duration::from_secs(2);
/// Time for a change to be accepted.
const CHANGE_LIMIT: Duration = Duration::from_secs(1);

/// A fault of a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it begins.
    pub at: Duration,
    /// When it ends.
    pub until: Duration,
    /// What happens.
    pub fault: Fault,
    /// The process that it hits.
    pub target: String,
}

/// Draws the faults of a run of this length. One control member is hit at a time, since the group
/// of three has to bear the loss of one; all else may be hit together.
pub fn plan(seed: u64, length: Duration) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let endpoints = AGENTS.iter().filter_map(|a| endpoint_of(a));
    let nodes = ENTRIES.iter().chain(&AGENTS).map(|n| (*n).to_owned());
    let others: Vec<String> = nodes.chain(endpoints).collect();
    // Overlapping events hit several processes together.
    let faults = FAULTS.into_iter().filter(|f| *f != Fault::Pair);
    let faults: Vec<Fault> = faults.collect();
    let mut events: Vec<Event> = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS));
        let until = at + Duration::from_millis(rng.random_range(100..MAX_LENGTH_MS));
        if at >= length {
            return events;
        }
        let control = rng.random_bool(0.4);
        let target = if control {
            CONTROL[rng.random_range(0..CONTROL.len())].to_owned()
        } else {
            others[rng.random_range(0..others.len())].clone()
        };
        let fault = faults[rng.random_range(0..faults.len())];
        let hit = |e: &&Event| {
            let member = control && CONTROL.contains(&e.target.as_str());
            (member && e.until + CATCH_UP > at) || (e.target == target && e.until > at)
        };
        // An endpoint shares its host with its agent, and its leaving has a test of its own.
        let endpoint = target.starts_with('s');
        let fits = match fault {
            Fault::DiskFull | Fault::DamagedTail => control,
            Fault::Kill | Fault::Restart | Fault::PauseResume => true,
            _ => !endpoint,
        };
        if fits && !events.iter().any(|e| hit(&e)) {
            events.push(Event {
                at,
                until,
                fault,
                target,
            });
        }
    }
}

/// Plays the plan of a seed.
///
/// # Errors
///
/// Describes the promises that did not hold, or the wait that was in vain, and prints the ends of
/// the processes' logs to stderr.
pub async fn run(seed: u64, length: Duration) -> Result<(), String> {
    let options = Options {
        seed,
        snapshot_mb: 1,
        ..Options::default()
    };
    let mut soak = Soak {
        cluster: Cluster::start(options).await,
        active: Vec::new(),
        jobs: Vec::new(),
        rng: StdRng::seed_from_u64(!seed),
    };
    let result = soak.play(plan(seed, length)).await;
    if let Err(e) = &result {
        eprintln!("seed={seed}: {e}\n{}", soak.cluster.report());
    }
    result
}

struct Soak {
    cluster: Cluster,
    active: Vec<Event>,
    jobs: Vec<JoinHandle<Result<Call, String>>>,
    rng: StdRng,
}

impl Soak {
    async fn play(&mut self, plan: Vec<Event>) -> Result<(), String> {
        let start = Instant::now();
        let mut due = plan.into_iter().peekable();
        let (mut job_at, mut change_at) = (start, start + CHANGE_PAUSE);
        while due.peek().is_some() || !self.active.is_empty() {
            let passed = start.elapsed();
            while let Some(event) = due.next_if(|e| e.at <= passed) {
                self.begin(event)?;
            }
            self.end_where(|e| e.until <= passed);
            if Instant::now() >= job_at {
                self.submit();
                let pause = self.rng.random_range(20..MAX_JOB_PAUSE_MS);
                job_at = Instant::now() + Duration::from_millis(pause);
            }
            if Instant::now() >= change_at {
                let slots = self.rng.random_range(500..900);
                // Without a leader there is no answer, which the next change shows.
                self.cluster.try_quota(slots, CHANGE_LIMIT).await;
                change_at = Instant::now() + CHANGE_PAUSE;
            }
            // Without a leader there is no state to keep.
            drop(tokio::time::timeout(TICK, self.cluster.poll()).await);
            tokio::time::sleep(TICK).await;
        }
        for job in std::mem::take(&mut self.jobs) {
            job.await.map_err(|e| e.to_string())??;
        }
        self.cluster.start_all();
        self.cluster.wait_in_service().await;
        self.cluster.verify()
    }

    fn submit(&mut self) {
        let n = self.jobs.len();
        let (tasks, work_ms) = (self.rng.random_range(1..6), self.rng.random_range(10..400));
        let mut job = Job::new(&format!("soak-{n}"), tasks, work_ms);
        job.repeatable = self.rng.random_bool(0.3);
        let entry = ENTRIES[n % ENTRIES.len()];
        self.jobs.push(self.cluster.submit_until_final(&job, entry));
    }

    fn begin(&mut self, event: Event) -> Result<(), String> {
        eprintln!(
            "at_ms={} until_ms={} fault={:?} target={}",
            event.at.as_millis(),
            event.until.as_millis(),
            event.fault,
            event.target
        );
        let name = event.target.clone();
        match event.fault {
            Fault::Kill => self.cluster.process(&name).kill(),
            Fault::GracefulStop => self.cluster.terminate(&name),
            Fault::PauseResume => self.cluster.process(&name).pause(),
            Fault::Restart => {
                self.cluster.process(&name).kill();
                self.cluster.start_process(&name);
            }
            Fault::DamagedTail => {
                self.cluster.process(&name).kill();
                tear_tail(&self.cluster.folder().join(&name))?;
                self.cluster.start_process(&name);
            }
            Fault::DiskFull => self.cluster.fill_disk(&name),
            Fault::Reset | Fault::Duplicate => {
                self.cluster.reset(|from, to| from == name || to == name);
            }
            _ => {}
        }
        self.active.push(event);
        self.disturb_links();
        Ok(())
    }

    /// Puts the link faults of all active events in force.
    fn disturb_links(&self) {
        self.cluster.heal();
        for event in &self.active {
            self.cluster.disturb_links(&event.target, event.fault);
        }
    }

    fn end_where(&mut self, over: impl Fn(&Event) -> bool) {
        let ended: Vec<Event> = self.active.extract_if(.., |e| over(e)).collect();
        if ended.is_empty() {
            return;
        }
        self.disturb_links();
        for event in ended {
            let name = event.target;
            match event.fault {
                Fault::PauseResume => self.cluster.process(&name).resume(),
                // The limit stays with the process, as a full disk does.
                Fault::DiskFull => self.cluster.process(&name).kill(),
                // Other faults may keep it from ending its jobs, so that it is killed after a while.
                Fault::GracefulStop => {
                    self.cluster.forget_stop(&name);
                    self.cluster.process(&name).kill();
                }
                _ => {}
            }
            self.cluster.start_process(&name);
        }
    }
}
