//! Random, overlapping faults on a cluster under load.
//!
//! A [`plan`] is determined by its seed. [`run`] executes it: it injects each fault from outside
//! the processes while callers submit jobs and an operator changes the configuration, ends all
//! faults, and verifies every guarantee on what callers and endpoints observed.

use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::cluster::AGENTS;
use crate::cluster::CONTROL;
use crate::cluster::Cluster;
use crate::cluster::ENTRIES;
use crate::cluster::Options;
use crate::cluster::endpoint_of;
use crate::history::Submission;
use crate::job::Job;
use crate::matrix::FAULTS;
use crate::matrix::Fault;
use crate::matrix::append_torn_record;

/// Interval at which due events are processed.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest gap between the starts of two faults.
const MAX_FAULT_GAP_MS: u64 = 900;
/// Longest duration of a fault: longer than a lease and than the time after which control
/// declares a node gone.
const MAX_FAULT_MS: u64 = 5_500;
/// Time after a fault during which a control member is still catching up and counts as lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);
/// Longest gap between two jobs.
const MAX_JOB_GAP_MS: u64 = 250;
/// Interval between configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// A planned fault. The `Debug` output is the plan that `sassafras-soak --plan` prints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it starts, relative to the start of the run.
    pub at: Duration,
    /// When it ends, relative to the start of the run.
    pub until: Duration,
    /// The fault.
    pub fault: Fault,
    /// The process that it targets.
    pub target: String,
}

/// Generates the faults that start within `duration`. Only one control member is faulty at a time,
/// since a group of three tolerates the loss of one; other processes may be faulty together.
pub fn plan(seed: u64, duration: Duration) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let endpoints = AGENTS.iter().filter_map(|a| endpoint_of(a));
    let nodes = ENTRIES.iter().chain(&AGENTS).map(|n| (*n).to_owned());
    let others: Vec<String> = nodes.chain(endpoints).collect();
    // Overlapping events already affect several processes at the same time.
    let faults = FAULTS.into_iter().filter(|f| *f != Fault::Pair);
    let faults: Vec<Fault> = faults.collect();
    let mut events: Vec<Event> = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(0..MAX_FAULT_GAP_MS));
        let until = at + Duration::from_millis(rng.random_range(100..MAX_FAULT_MS));
        if at >= duration {
            return events;
        }
        let is_control = rng.random_bool(0.4);
        let target = if is_control {
            CONTROL[rng.random_range(0..CONTROL.len())].to_owned()
        } else {
            others[rng.random_range(0..others.len())].clone()
        };
        let fault = faults[rng.random_range(0..faults.len())];
        let conflicts = |e: &&Event| {
            let member = is_control && CONTROL.contains(&e.target.as_str());
            (member && e.until + CATCH_UP_TIME > at) || (e.target == target && e.until > at)
        };
        // An endpoint shares its host with its agent, and a separate test covers its graceful stop.
        let is_endpoint = target.starts_with('s');
        let applicable = match fault {
            Fault::DiskFull | Fault::DamagedTail => is_control,
            Fault::Kill | Fault::Restart | Fault::PauseResume => true,
            _ => !is_endpoint,
        };
        if applicable && !events.iter().any(|e| conflicts(&e)) {
            events.push(Event {
                at,
                until,
                fault,
                target,
            });
        }
    }
}

/// Executes the plan of a seed on a new cluster.
///
/// # Errors
///
/// Describes the violated guarantees or the wait that timed out, and prints the tails of the
/// processes' logs to stderr.
pub async fn run(seed: u64, duration: Duration) -> Result<(), String> {
    let options = Options {
        seed,
        snapshot_mb: 1,
        ..Options::default()
    };
    let mut soak_run = SoakRun {
        cluster: Cluster::start(options).await,
        active: Vec::new(),
        jobs: Vec::new(),
        rng: StdRng::seed_from_u64(!seed),
    };
    let result = soak_run.execute(plan(seed, duration)).await;
    if let Err(e) = &result {
        eprintln!("seed={seed}: {e}\n{}", soak_run.cluster.diagnostics());
    }
    result
}

struct SoakRun {
    cluster: Cluster,
    active: Vec<Event>,
    jobs: Vec<JoinHandle<Result<Submission, String>>>,
    rng: StdRng,
}

impl SoakRun {
    async fn execute(&mut self, plan: Vec<Event>) -> Result<(), String> {
        let start = Instant::now();
        let mut pending = plan.into_iter().peekable();
        let (mut next_job, mut next_change) = (start, start + CHANGE_INTERVAL);
        while pending.peek().is_some() || !self.active.is_empty() {
            let elapsed = start.elapsed();
            while let Some(event) = pending.next_if(|e| e.at <= elapsed) {
                self.inject(event)?;
            }
            self.end_expired(|e| e.until <= elapsed);
            if Instant::now() >= next_job {
                self.submit();
                let pause = self.rng.random_range(20..MAX_JOB_GAP_MS);
                next_job = Instant::now() + Duration::from_millis(pause);
            }
            if Instant::now() >= next_change {
                let slots = self.rng.random_range(500..900);
                // Times out while there is no leader. Whether the change is then applied does not
                // matter: each change is based on the version in force.
                self.cluster.try_set_quota(slots, CHANGE_TIMEOUT).await;
                next_change = Instant::now() + CHANGE_INTERVAL;
            }
            // There is no status to record while there is no leader.
            drop(tokio::time::timeout(TICK_INTERVAL, self.cluster.sample_status()).await);
            tokio::time::sleep(TICK_INTERVAL).await;
        }
        for job in std::mem::take(&mut self.jobs) {
            job.await.map_err(|e| e.to_string())??;
        }
        self.cluster.start_all();
        self.cluster.wait_until_ready().await;
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

    fn inject(&mut self, event: Event) -> Result<(), String> {
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
                append_torn_record(&self.cluster.dir().join(&name))?;
                self.cluster.start_process(&name);
            }
            Fault::DiskFull => self.cluster.simulate_full_disk(&name),
            Fault::Reset | Fault::Duplicate => {
                self.cluster
                    .reset_connections(|from, to| from == name || to == name);
            }
            _ => {}
        }
        self.active.push(event);
        self.refresh_link_faults();
        Ok(())
    }

    /// Sets the link faults of all active events.
    fn refresh_link_faults(&self) {
        self.cluster.clear_faults();
        for event in &self.active {
            self.cluster.set_link_faults(&event.target, event.fault);
        }
    }

    fn end_expired(&mut self, is_over: impl Fn(&Event) -> bool) {
        let ended: Vec<Event> = self.active.extract_if(.., |e| is_over(e)).collect();
        if ended.is_empty() {
            return;
        }
        self.refresh_link_faults();
        for event in ended {
            let name = event.target;
            match event.fault {
                Fault::PauseResume => self.cluster.process(&name).resume(),
                // Like a full disk, the file size limit persists until the process is replaced.
                Fault::DiskFull => self.cluster.process(&name).kill(),
                // Other faults may keep the process from finishing its jobs, so it is killed at the
                // end of the event.
                Fault::GracefulStop => {
                    self.cluster.discard_stop(&name);
                    self.cluster.process(&name).kill();
                }
                _ => {}
            }
            self.cluster.start_process(&name);
        }
    }
}
