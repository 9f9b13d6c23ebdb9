//! Running a cell: reach the step, inject the fault, recover, verify.

use tokio::task::JoinHandle;

use super::Cell;
use super::Fault;
use super::Step;
use crate::cluster::Cluster;
use crate::history::JobResponse;
use crate::history::Submission;
use crate::job::Job;
use crate::wait::wait_until;

/// Jobs that may be submitted after the recovery until one of them completes.
const MAX_RECOVERY_JOBS: u64 = 50;

type CallerTask = JoinHandle<Result<Submission, String>>;

/// The state of running a cell.
pub(super) struct CellRun {
    pub(super) cluster: Cluster,
    pub(super) cell: Cell,
    /// The agent that a fault with the target `Agent` or `Endpoint` affects.
    pub(super) agent: String,
    /// The process into which the fault was injected.
    pub(super) faulted: Option<String>,
    /// The control member that the step affects: isolated, behind, stopped or without its disk.
    pub(super) affected_member: Option<String>,
    jobs: Vec<(Job, CallerTask)>,
}

impl CellRun {
    pub(super) fn new(cluster: Cluster, cell: Cell) -> Self {
        Self {
            cluster,
            cell,
            agent: "a1".to_owned(),
            faulted: None,
            affected_member: None,
            jobs: Vec::new(),
        }
    }

    pub(super) async fn execute(&mut self) -> Result<(), String> {
        if self.cell.fault == Fault::GracefulStop && self.cell.step != Step::EndpointAnnouncing {
            self.cluster.expect_only_graceful();
        }
        self.reach_step().await?;
        self.inject().await?;
        self.finish_step().await?;
        self.wait_for_stops().await?;
        let jobs = std::mem::take(&mut self.jobs);
        for (job, caller) in jobs {
            caller.await.map_err(|e| e.to_string())??;
            self.resubmit(&job).await?;
        }
        self.recover().await?;
        self.cluster.verify()
    }

    /// Submits a job to the owner, and again until its outcome is known.
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
        if let Some(member) = &self.affected_member {
            return member.clone();
        }
        let leader = self.cluster.leader().await;
        if leader == "c1" { "c2" } else { "c1" }.to_owned()
    }

    /// Waits until the processes that were asked to stop have exited.
    async fn wait_for_stops(&mut self) -> Result<(), String> {
        let stops = self.cluster.history().stops;
        for stop in stops {
            // A process that the fault killed during its shutdown cannot exit gracefully.
            if self.cell.fault.kills_target() && self.faulted.as_ref() == Some(&stop.process) {
                self.cluster.discard_stop(&stop.process);
            } else {
                self.cluster.wait_stopped(&stop.process).await?;
            }
        }
        Ok(())
    }

    /// Submits a finished job to every running entry, each of which must return the same outcome.
    async fn resubmit(&mut self, job: &Job) -> Result<(), String> {
        for entry in ["e1", "e2"] {
            if self.cluster.process(entry).is_running() {
                let caller = self.cluster.submit_until_final(job, entry);
                caller.await.map_err(|e| e.to_string())??;
            }
        }
        Ok(())
    }

    /// Starts all processes that are down, and waits until the cluster is ready and completes a
    /// new job.
    async fn recover(&mut self) -> Result<(), String> {
        if let Some(faulted) = self.faulted.clone()
            && self.cell.fault == Fault::DiskFull
        {
            // Like a full disk, the file size limit persists until the process is replaced.
            self.cluster.process(&faulted).kill();
        }
        self.cluster.start_all();
        self.cluster.wait_until_ready().await;
        self.cluster.set_quota(500).await;
        self.cluster.wait_until_ready().await;
        let mut n = 0;
        let cluster = &self.cluster;
        wait_until("a new job completes", async || {
            n += 1;
            let entry = if n % 2 == 0 { "e1" } else { "e2" };
            let job = Job::new(&format!("fresh-{n}"), 4, 20);
            let submission = cluster.submit_until_final(&job, entry).await;
            let complete = |s: Submission| matches!(s.response, JobResponse::Complete(_));
            n > MAX_RECOVERY_JOBS || submission.is_ok_and(|s| s.is_ok_and(complete))
        })
        .await?;
        if n > MAX_RECOVERY_JOBS {
            return Err(format!("none of {MAX_RECOVERY_JOBS} new jobs completed"));
        }
        Ok(())
    }
}

impl Fault {
    /// Reports whether the fault kills the target.
    fn kills_target(self) -> bool {
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
