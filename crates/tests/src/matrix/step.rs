//! Brings a scene to the step that the fault interrupts.

use std::time::Duration;

use sassafras_proxy::Faults;
use sassafras_wire::Body;
use sassafras_wire::proto::MemberChange;
use sassafras_wire::proto::member_change::Kind;

use super::Scene;
use super::Step;
use super::Target;
use crate::caller::Job;
use crate::evidence::Started;
use crate::http;
use crate::settings;
use crate::wait::until;

/// Time for frames to reach the proxy link that holds them back.
const SETTLE: Duration = Duration::from_millis(150);
/// Work of tasks that are to run while a fault is injected.
const LONG_MS: u64 = 1500;
const SHORT_MS: u64 = 200;
const TASKS: u64 = 12;
/// Kinds of a team whose declaration is about 30 kB, and the changes that fill 1 MB of log.
const BIG_KINDS: usize = 250;
const BIG_CHANGES: usize = 45;

const HOLD_TO: Faults = Faults {
    block_to: true,
    delay_ms: 0,
    back_ms: 0,
    jitter_ms: 0,
    block_back: false,
    refuse: false,
    duplicate: false,
};
const HOLD_BACK: Faults = Faults {
    block_to: false,
    block_back: true,
    ..HOLD_TO
};

fn is_control(name: &str) -> bool {
    name.starts_with('c') && name.len() == 2
}

fn to_agents(from: &str, to: &str) -> bool {
    from == "entries" && to.starts_with('a')
}

impl Scene {
    pub(super) async fn reach(&mut self) -> Result<(), String> {
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

    /// Completes what the step began, after the fault has ended.
    pub(super) async fn finish_step(&mut self) -> Result<(), String> {
        if self.cell.step == Step::MemberRepair {
            self.cluster.start_all();
            let member = self.member.clone().unwrap_or_default();
            self.join(&member).await?;
        }
        if self.cell.step.is_config() {
            // The bound is 3 s; old versions would show in the polls after it.
            self.cluster.watch(Duration::from_secs(4)).await;
        }
        Ok(())
    }

    fn jobs(&mut self, work_ms: u64) -> Job {
        self.submit_repeatable("repeatable", TASKS, work_ms);
        self.submit("main", TASKS, work_ms)
    }

    fn starts(&self, job: &str) -> Vec<Started> {
        let mut starts = self.cluster.evidence().starts;
        starts.retain(|s| s.job == job);
        starts
    }

    async fn wait_started(&mut self, job: &str) -> Result<(), String> {
        until("a task runs", async || !self.starts(job).is_empty()).await?;
        if let Some(first) = self.starts(job).first() {
            self.agent = first.endpoint.replace('s', "a");
        }
        Ok(())
    }

    async fn submit_received(&mut self) {
        self.cluster
            .set(|from, to| from == "e1" && is_control(to), HOLD_TO);
        self.jobs(SHORT_MS);
        tokio::time::sleep(SETTLE).await;
    }

    /// Holds back control's replies to the owner until both jobs are claimed.
    async fn hold_claim_replies(&mut self) -> Result<(), String> {
        // Shares arrive in replies as well, and without one the owner claims nothing; the share
        // of this job becomes free while replies are held.
        self.submit("share", 4 * TASKS, 4 * SHORT_MS);
        self.wait_started("share").await?;
        tokio::time::sleep(SETTLE).await;
        let before = self.cluster.operator.status().await?.claims;
        self.cluster
            .set(|from, to| from == "e1" && is_control(to), HOLD_BACK);
        self.jobs(SHORT_MS);
        let operator = &mut self.cluster.operator;
        until("the claims are written", async || {
            let status = operator.status().await;
            status.is_ok_and(|s| s.claims >= before + 2)
        })
        .await?;
        let calls = self.cluster.evidence().calls;
        if calls
            .iter()
            .any(|c| c.job == "main" || c.job == "repeatable")
        {
            return Err("the owner did not claim while replies were held".to_owned());
        }
        Ok(())
    }

    async fn claim_written(&mut self) -> Result<(), String> {
        self.hold_claim_replies().await
    }

    async fn task_sent(&mut self) -> Result<(), String> {
        self.hold_claim_replies().await?;
        tokio::time::sleep(SETTLE).await;
        self.cluster.heal();
        self.cluster.set(to_agents, HOLD_TO);
        tokio::time::sleep(SETTLE).await;
        Ok(())
    }

    async fn task_running(&mut self) -> Result<(), String> {
        self.jobs(LONG_MS);
        self.wait_started("main").await
    }

    async fn result_in_flight(&mut self) -> Result<(), String> {
        self.jobs(SHORT_MS);
        self.wait_started("main").await?;
        self.cluster.set(to_agents, HOLD_BACK);
        until("a started task has ended", async || {
            self.starts("main").iter().any(|s| s.outcome.is_some())
        })
        .await?;
        tokio::time::sleep(SETTLE).await;
        Ok(())
    }

    async fn answer_in_flight(&mut self) -> Result<(), String> {
        self.cluster
            .set(|from, to| from == "callers" && to == "e1", HOLD_BACK);
        let job = self.jobs(SHORT_MS);
        let addr = self.cluster.direct("e1/http");
        until("the answer is known", async || {
            let reply = http::request(addr, "GET", &job.path(), &job.token, "").await;
            reply.is_ok_and(|r| r.status == 200)
        })
        .await
    }

    async fn config_accepted(&mut self) {
        self.jobs(SHORT_MS);
        self.cluster.set_quota(900).await;
    }

    async fn config_pushed(&mut self) {
        self.jobs(SHORT_MS);
        self.cluster
            .set(|from, to| !is_control(from) && is_control(to), HOLD_BACK);
        self.cluster.set_quota(900).await;
        tokio::time::sleep(SETTLE).await;
    }

    /// Leaves a member behind by more than the leader's log, then lets it return.
    async fn snapshot(&mut self) {
        let member = self.follower().await;
        self.cluster.process(&member).kill();
        self.jobs(SHORT_MS);
        let kinds = settings::kinds(BIG_KINDS);
        for n in 0..BIG_CHANGES {
            let team = settings::team(1000 + n as u32, settings::TEAM_TOKEN);
            self.cluster
                .configure("team/bookings", &format!("{team}{kinds}"))
                .await;
        }
        self.cluster.start_process(&member);
        self.member = Some(member);
        tokio::time::sleep(SETTLE).await;
    }

    /// Isolates the leader, which then holds a change that the others never saw.
    async fn log_truncation(&mut self) {
        self.jobs(SHORT_MS);
        let leader = self.cluster.leader().await;
        self.cluster.cut(&leader, true, true);
        // The change reaches the old leader first, past the proxies, and then the new one.
        self.cluster.set_quota(800).await;
        self.member = Some(leader);
    }

    async fn member_repair(&mut self) -> Result<(), String> {
        self.jobs(SHORT_MS);
        let member = self.follower().await;
        self.cluster.process(&member).kill();
        until("the lost member is removed", async || {
            self.change_member(Kind::Remove, &member).await
        })
        .await?;
        let data = self.cluster.folder().join(&member);
        std::fs::remove_dir_all(&data)
            .and_then(|()| std::fs::create_dir(&data))
            .map_err(|e| e.to_string())?;
        // A replacement waits to be added; only the first members found a group.
        let file = self.cluster.folder().join(format!("{member}.ini"));
        let text = std::fs::read_to_string(&file).map_err(|e| e.to_string())?;
        let text = text.replace("bootstrap = true", "bootstrap = false");
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        self.cluster.start_process(&member);
        self.member = Some(member.clone());
        self.change_member(Kind::AddLearner, &member).await;
        Ok(())
    }

    /// Adds and promotes the member until the group counts it among its voters.
    async fn join(&mut self, member: &str) -> Result<(), String> {
        until("the repaired member votes", async || {
            self.change_member(Kind::AddLearner, member).await;
            self.change_member(Kind::Promote, member).await
        })
        .await
    }

    async fn change_member(&mut self, kind: Kind, member: &str) -> bool {
        let change = MemberChange {
            kind: kind.into(),
            member: member.to_owned(),
            address: self.cluster.direct(member).to_string(),
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
        self.jobs(SHORT_MS);
        self.wait_started("main").await?;
        let endpoint = self.agent.replace('a', "s");
        self.cluster.process(&endpoint).kill();
        self.cluster.start_process(&endpoint);
        Ok(())
    }

    async fn endpoint_leaving(&mut self) -> Result<(), String> {
        self.jobs(LONG_MS);
        self.wait_started("main").await?;
        let endpoint = self.agent.replace('a', "s");
        self.cluster.terminate(&endpoint);
        // The bound counts from an announcement that the agent has received.
        tokio::time::sleep(SETTLE).await;
        for n in 0..4 {
            self.submit(&format!("later-{n}"), TASKS, LONG_MS);
        }
        Ok(())
    }

    async fn shutdown(&mut self) -> Result<(), String> {
        self.jobs(LONG_MS);
        self.wait_started("main").await?;
        let name = match self.cell.target {
            Target::Owner => "e1".to_owned(),
            Target::Agent => self.agent.clone(),
            _ => self.cluster.leader().await,
        };
        self.member = Some(name.clone()).filter(|n| is_control(n));
        self.cluster.terminate(&name);
        Ok(())
    }

    async fn quota_moving(&mut self) -> Result<(), String> {
        for n in 0..3 {
            self.submit_at("e1", Job::new(&format!("first-{n}"), TASKS, SHORT_MS));
            self.submit_at("e2", Job::new(&format!("second-{n}"), TASKS, SHORT_MS));
        }
        self.wait_started("first-0").await?;
        self.wait_started("second-0").await
    }

    async fn cancel_in_flight(&mut self) -> Result<(), String> {
        let job = self.jobs(LONG_MS);
        self.wait_started("main").await?;
        self.cluster.set(to_agents, HOLD_TO);
        let addr = self.cluster.direct("e1/http");
        let (path, token) = (job.path(), job.token.clone());
        // The answer of the job tells how the cancellation went.
        tokio::spawn(async move { http::request(addr, "DELETE", &path, &token, "").await });
        tokio::time::sleep(SETTLE).await;
        Ok(())
    }
}
