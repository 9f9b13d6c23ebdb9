//! One run of a cell: reach the step, inject the fault, recover, verify.

use tokio::task::JoinHandle;

use super::Cell;
use super::Fault;
use super::Step;
use crate::caller::Job;
use crate::cluster::Cluster;
use crate::evidence::Answer;
use crate::evidence::Call;
use crate::wait::until;

/// Names that a fresh job may take until one of them completes.
const FRESH_JOBS: u64 = 50;

type Caller = JoinHandle<Result<Call, String>>;

/// One run of a cell.
pub(super) struct Scene {
    pub(super) cluster: Cluster,
    pub(super) cell: Cell,
    /// The agent that agent faults hit.
    pub(super) agent: String,
    /// The process that the fault hit.
    pub(super) hit: Option<String>,
    /// The control member that lost its disk, or that was behind.
    pub(super) member: Option<String>,
    jobs: Vec<(Job, Caller)>,
}

impl Scene {
    pub(super) fn new(cluster: Cluster, cell: Cell) -> Self {
        Self {
            cluster,
            cell,
            agent: "a1".to_owned(),
            hit: None,
            member: None,
            jobs: Vec::new(),
        }
    }

    pub(super) async fn play(&mut self) -> Result<(), String> {
        if self.cell.fault == Fault::GracefulStop && self.cell.step != Step::EndpointAnnouncing {
            self.cluster.only_graceful();
        }
        self.reach().await?;
        self.inject().await?;
        self.finish_step().await?;
        self.collect_stops().await?;
        let jobs = std::mem::take(&mut self.jobs);
        for (job, caller) in jobs {
            caller.await.map_err(|e| e.to_string())??;
            self.ask_again(&job).await?;
        }
        self.recover().await?;
        self.cluster.verify()
    }

    /// Submits a job at the owner, and again until its outcome is known.
    pub(super) fn submit(&mut self, name: &str, tasks: u64, work_ms: u64) -> Job {
        let job = Job::new(name, tasks, work_ms);
        self.submit_at("e1", job.clone());
        job
    }

    pub(super) fn submit_at(&mut self, entry: &str, job: Job) {
        let caller = self.cluster.submit_until_final(&job, entry);
        self.jobs.push((job, caller));
    }

    /// Submits a job whose attempts may be repeated.
    pub(super) fn submit_repeatable(&mut self, name: &str, tasks: u64, work_ms: u64) {
        let mut job = Job::new(name, tasks, work_ms);
        job.repeatable = true;
        self.submit_at("e1", job);
    }

    pub(super) async fn follower(&mut self) -> String {
        if let Some(member) = &self.member {
            return member.clone();
        }
        let leader = self.cluster.leader().await;
        if leader == "c1" { "c2" } else { "c1" }.to_owned()
    }

    /// Waits for the graceful stops that were asked for.
    async fn collect_stops(&mut self) -> Result<(), String> {
        let stops = self.cluster.evidence().stops;
        for stop in stops {
            // A process that the fault killed while it shut down has no graceful end.
            if self.cell.fault.kills() && self.hit.as_ref() == Some(&stop.process) {
                self.cluster.forget_stop(&stop.process);
            } else {
                self.cluster.wait_stopped(&stop.process).await?;
            }
        }
        Ok(())
    }

    /// Every caller who asks under the job's name hears the same outcome.
    async fn ask_again(&mut self, job: &Job) -> Result<(), String> {
        for entry in ["e1", "e2"] {
            if self.cluster.process(entry).is_running() {
                let caller = self.cluster.submit_until_final(job, entry);
                caller.await.map_err(|e| e.to_string())??;
            }
        }
        Ok(())
    }

    /// Starts what is down, and waits until the cluster serves as before.
    async fn recover(&mut self) -> Result<(), String> {
        if let Some(hit) = self.hit.clone()
            && self.cell.fault == Fault::DiskFull
        {
            // The limit stays with the process, as a full disk does, so that a new one is needed.
            self.cluster.process(&hit).kill();
        }
        self.cluster.start_all();
        self.cluster.wait_in_service().await;
        self.cluster.set_quota(500).await;
        self.cluster.wait_in_service().await;
        let mut n = 0;
        let cluster = &self.cluster;
        until("a fresh job completes", async || {
            n += 1;
            let entry = if n % 2 == 0 { "e1" } else { "e2" };
            let job = Job::new(&format!("fresh-{n}"), 4, 20);
            let call = cluster.submit_until_final(&job, entry).await;
            let complete = |c: Call| matches!(c.answer, Answer::Complete(_));
            n > FRESH_JOBS || call.is_ok_and(|c| c.is_ok_and(complete))
        })
        .await?;
        if n > FRESH_JOBS {
            return Err(format!("none of {FRESH_JOBS} fresh jobs completed"));
        }
        Ok(())
    }
}

impl Fault {
    /// Reports whether the fault ends the target by force.
    fn kills(self) -> bool {
        matches!(
            self,
            Self::Kill | Self::Restart | Self::Pair | Self::DiskFull | Self::DamagedTail
        )
    }
}

impl Step {
    /// Reports whether the step concerns the configuration.
    pub(super) fn is_config(self) -> bool {
        matches!(self, Self::ConfigAccepted | Self::ConfigPushed)
    }
}
