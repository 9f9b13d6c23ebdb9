//! Brings a cluster to the step that the fault interrupts.

use std::time::Duration;

use sassafras_proxy::Faults;
use sassafras_wire::Body;
use sassafras_wire::proto::MemberChange;
use sassafras_wire::proto::member_change::Kind;

use super::CellRun;
use super::Step;
use super::Target;
use crate::history::StartRecord;
use crate::http;
use crate::job::Job;
use crate::settings;
use crate::wait::wait_until;

/// Time for frames to reach the proxy link that blocks them.
const TRANSIT_DELAY: Duration = Duration::from_millis(150);
/// Run time of tasks that still run when the fault is injected.
const LONG_TASK_MS: u64 = 1500;
const SHORT_TASK_MS: u64 = 200;
const TASKS_PER_JOB: u64 = 12;
/// Number of kinds that makes a team's declaration about 30 kB.
const LARGE_TEAM_KINDS: usize = 250;
/// Number of changes of that size that exceed 1 MB of log.
const SNAPSHOT_CHANGES: usize = 45;

const BLOCK_TO: Faults = Faults {
    block_to: true,
    delay_ms: 0,
    back_ms: 0,
    jitter_ms: 0,
    block_back: false,
    refuse: false,
    duplicate: false,
};
const BLOCK_BACK: Faults = Faults {
    block_to: false,
    block_back: true,
    ..BLOCK_TO
};

fn is_control(name: &str) -> bool {
    name.starts_with('c') && name.len() == 2
}

fn is_agent_link(from: &str, to: &str) -> bool {
    from == "entries" && to.starts_with('a')
}

impl CellRun {
    pub(super) async fn reach_step(&mut self) -> Result<(), String> {
        match self.cell.step {
            Step::SubmitReceived => self.submit_received().await,
            Step::ClaimWritten => self.claim_written().await?,
            Step::TaskSent => self.task_sent().await?,
            Step::TaskRunning => self.task_running().await?,
            Step::ResultInFlight => self.result_in_flight().await?,
            Step::AnswerInFlight => self.answer_in_flight().await?,
            Step::ConfigAccepted => self.config_accepted().await,
            Step::ConfigPushed => self.config_pushed().await,
            Step::Snapshot => self.snapshot().await,
            Step::LogTruncation => self.log_truncation().await,
            Step::MemberRepair => self.member_repair().await?,
            Step::EndpointAnnouncing => self.endpoint_announcing().await?,
            Step::EndpointLeaving => self.endpoint_leaving().await?,
            Step::Shutdown => self.shutdown().await?,
            Step::QuotaMoving => self.quota_moving().await?,
            Step::CancelInFlight => self.cancel_in_flight().await?,
        }
        Ok(())
    }

    /// Completes the step after the fault has ended.
    pub(super) async fn finish_step(&mut self) -> Result<(), String> {
        if self.cell.step == Step::MemberRepair {
            self.cluster.start_all();
            let member = self.affected_member.clone().unwrap_or_default();
            self.restore_voter(&member).await?;
        }
        if self.cell.step.is_config() {
            // P8 allows 3 s; an old version would appear in the samples after that.
            self.cluster.sample_for(Duration::from_secs(4)).await;
        }
        Ok(())
    }

    fn submit_jobs(&mut self, work_ms: u64) -> Job {
        self.submit_repeatable("repeatable", TASKS_PER_JOB, work_ms);
        self.submit("main", TASKS_PER_JOB, work_ms)
    }

    fn starts_of(&self, job: &str) -> Vec<StartRecord> {
        let mut starts = self.cluster.history().starts;
        starts.retain(|s| s.job == job);
        starts
    }

    async fn wait_started(&mut self, job: &str) -> Result<(), String> {
        wait_until("a task runs", async || !self.starts_of(job).is_empty()).await?;
        if let Some(first) = self.starts_of(job).first() {
            self.agent = first.endpoint.replace('s', "a");
        }
        Ok(())
    }

    async fn submit_received(&mut self) {
        self.cluster
            .set_faults(|from, to| from == "e1" && is_control(to), BLOCK_TO);
        self.submit_jobs(SHORT_TASK_MS);
        tokio::time::sleep(TRANSIT_DELAY).await;
    }

    /// Blocks control's replies to the owner and waits until both jobs are claimed.
    async fn block_claim_replies(&mut self) -> Result<(), String> {
        // The owner claims nothing without a share, and shares arrive in replies too. This job
        // obtains a share beforehand, which becomes free while replies are blocked.
        self.submit("share", 4 * TASKS_PER_JOB, 4 * SHORT_TASK_MS);
        self.wait_started("share").await?;
        tokio::time::sleep(TRANSIT_DELAY).await;
        let before = self.cluster.operator.status().await?.claims;
        self.cluster
            .set_faults(|from, to| from == "e1" && is_control(to), BLOCK_BACK);
        self.submit_jobs(SHORT_TASK_MS);
        let operator = &mut self.cluster.operator;
        wait_until("the claims are committed", async || {
            let status = operator.status().await;
            status.is_ok_and(|s| s.claims >= before + 2)
        })
        .await?;
        let submissions = self.cluster.history().submissions;
        if submissions
            .iter()
            .any(|s| s.job == "main" || s.job == "repeatable")
        {
            return Err("a submission returned while claim replies were blocked".to_owned());
        }
        Ok(())
    }

    async fn claim_written(&mut self) -> Result<(), String> {
        self.block_claim_replies().await
    }

    async fn task_sent(&mut self) -> Result<(), String> {
        self.block_claim_replies().await?;
        tokio::time::sleep(TRANSIT_DELAY).await;
        self.cluster.clear_faults();
        self.cluster.set_faults(is_agent_link, BLOCK_TO);
        tokio::time::sleep(TRANSIT_DELAY).await;
        Ok(())
    }

    async fn task_running(&mut self) -> Result<(), String> {
        self.submit_jobs(LONG_TASK_MS);
        self.wait_started("main").await
    }

    async fn result_in_flight(&mut self) -> Result<(), String> {
        self.submit_jobs(SHORT_TASK_MS);
        self.wait_started("main").await?;
        self.cluster.set_faults(is_agent_link, BLOCK_BACK);
        wait_until("a started task has ended", async || {
            self.starts_of("main").iter().any(|s| s.outcome.is_some())
        })
        .await?;
        tokio::time::sleep(TRANSIT_DELAY).await;
        Ok(())
    }

    async fn answer_in_flight(&mut self) -> Result<(), String> {
        self.cluster
            .set_faults(|from, to| from == "callers" && to == "e1", BLOCK_BACK);
        let job = self.submit_jobs(SHORT_TASK_MS);
        let addr = self.cluster.listen_addr("e1/http");
        wait_until("the outcome is available", async || {
            let response = http::request(addr, "GET", &job.path(), &job.token, "").await;
            response.is_ok_and(|r| r.status == 200)
        })
        .await
    }

    async fn config_accepted(&mut self) {
        self.submit_jobs(SHORT_TASK_MS);
        self.cluster.set_quota(900).await;
    }

    async fn config_pushed(&mut self) {
        self.submit_jobs(SHORT_TASK_MS);
        self.cluster
            .set_faults(|from, to| !is_control(from) && is_control(to), BLOCK_BACK);
        self.cluster.set_quota(900).await;
        tokio::time::sleep(TRANSIT_DELAY).await;
    }

    /// Stops a follower until the leader's log no longer covers what it lacks, then restarts it.
    async fn snapshot(&mut self) {
        let member = self.follower().await;
        self.cluster.process(&member).kill();
        self.submit_jobs(SHORT_TASK_MS);
        let kinds = settings::extra_kinds_ini(LARGE_TEAM_KINDS);
        for n in 0..SNAPSHOT_CHANGES {
            let team = settings::team_ini(1000 + n as u32, settings::TEAM_TOKEN);
            self.cluster
                .put_config("team/bookings", &format!("{team}{kinds}"))
                .await;
        }
        self.cluster.start_process(&member);
        self.affected_member = Some(member);
        tokio::time::sleep(TRANSIT_DELAY).await;
    }

    /// Isolates the leader, whose log then has a change that no other member received.
    async fn log_truncation(&mut self) {
        self.submit_jobs(SHORT_TASK_MS);
        let leader = self.cluster.leader().await;
        self.cluster.block_traffic(&leader, true, true);
        // The operator's connections bypass the proxies, so the change reaches the old leader
        // first, and then the new one.
        self.cluster.set_quota(800).await;
        self.affected_member = Some(leader);
    }

    async fn member_repair(&mut self) -> Result<(), String> {
        self.submit_jobs(SHORT_TASK_MS);
        let member = self.follower().await;
        self.cluster.process(&member).kill();
        wait_until("the lost member is removed", async || {
            self.change_member(Kind::Remove, &member).await
        })
        .await?;
        let data = self.cluster.dir().join(&member);
        std::fs::remove_dir_all(&data)
            .and_then(|()| std::fs::create_dir(&data))
            .map_err(|e| e.to_string())?;
        // A replacement must wait to be added; only initial members bootstrap a group.
        let file = self.cluster.dir().join(format!("{member}.ini"));
        let text = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
        let text = text.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        self.cluster.start_process(&member);
        self.affected_member = Some(member.clone());
        self.change_member(Kind::AddLearner, &member).await;
        Ok(())
    }

    /// Adds and promotes the member, repeatedly, until it is a voter.
    async fn restore_voter(&mut self, member: &str) -> Result<(), String> {
        wait_until("the repaired member is a voter", async || {
            self.change_member(Kind::AddLearner, member).await;
            self.change_member(Kind::Promote, member).await
        })
        .await
    }

    async fn change_member(&mut self, kind: Kind, member: &str) -> bool {
        let change = MemberChange {
            kind: kind.into(),
            member: member.to_owned(),
            address: self.cluster.listen_addr(member).to_string(),
            operator: "ops".to_owned(),
            credential: settings::OPERATOR_TOKEN.to_owned(),
        };
        let reply = self
            .cluster
            .operator
            .request(Body::MemberChange(change))
            .await;
        matches!(reply, Ok(Body::MemberChangeReply(r)) if r.accepted)
    }

    async fn endpoint_announcing(&mut self) -> Result<(), String> {
        self.submit_jobs(SHORT_TASK_MS);
        self.wait_started("main").await?;
        let endpoint = self.agent.replace('a', "s");
        self.cluster.process(&endpoint).kill();
        self.cluster.start_process(&endpoint);
        Ok(())
    }

    async fn endpoint_leaving(&mut self) -> Result<(), String> {
        self.submit_jobs(LONG_TASK_MS);
        self.wait_started("main").await?;
        let endpoint = self.agent.replace('a', "s");
        self.cluster.terminate(&endpoint);
        // The bound of P6 starts when the agent receives the announcement.
        tokio::time::sleep(TRANSIT_DELAY).await;
        for n in 0..4 {
            self.submit(&format!("later-{n}"), TASKS_PER_JOB, LONG_TASK_MS);
        }
        Ok(())
    }

    async fn shutdown(&mut self) -> Result<(), String> {
        self.submit_jobs(LONG_TASK_MS);
        self.wait_started("main").await?;
        let name = match self.cell.target {
            Target::Owner => "e1".to_owned(),
            Target::Agent => self.agent.clone(),
            _ => self.cluster.leader().await,
        };
        self.affected_member = Some(name.clone()).filter(|n| is_control(n));
        self.cluster.terminate(&name);
        Ok(())
    }

    async fn quota_moving(&mut self) -> Result<(), String> {
        for n in 0..3 {
            self.submit_at(
                "e1",
                Job::new(&format!("first-{n}"), TASKS_PER_JOB, SHORT_TASK_MS),
            );
            self.submit_at(
                "e2",
                Job::new(&format!("second-{n}"), TASKS_PER_JOB, SHORT_TASK_MS),
            );
        }
        self.wait_started("first-0").await?;
        self.wait_started("second-0").await
    }

    async fn cancel_in_flight(&mut self) -> Result<(), String> {
        let job = self.submit_jobs(LONG_TASK_MS);
        self.wait_started("main").await?;
        self.cluster.set_faults(is_agent_link, BLOCK_TO);
        let addr = self.cluster.listen_addr("e1/http");
        let (path, token) = (job.path(), job.token.clone());
        // The response to the submission shows the result of the cancellation.
        tokio::spawn(async move { http::request(addr, "DELETE", &path, &token, "").await });
        tokio::time::sleep(TRANSIT_DELAY).await;
        Ok(())
    }
}
