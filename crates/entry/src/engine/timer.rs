//! What happens because time has passed.

use std::time::Duration;
use std::time::Instant;

use sassafras_config::Objective;

use crate::answer::Answer;
use crate::answer::Ran;
use crate::engine::Engine;
use crate::engine::job::Job;
use crate::engine::job::Phase;

/// Tasks that wait this long for slots at busy agents are offered to free ones as well. Shorter
/// waits withdrew many requests unused and did not shorten answers.
const SPARE_AFTER: Duration = Duration::from_millis(500);
/// The same for teams that weigh waste more; it only has to rescue tasks from a hung agent.
const SPARE_AFTER_LONG: Duration = Duration::from_secs(2);

impl Engine {
    pub(super) fn tick(&mut self, now: Instant) {
        self.beat(now);
        self.expire_answers(now);
        let lost = self.lost_agents(now);
        for key in self.job_keys() {
            self.with_job(&key, |engine, job| engine.job_tick(now, job, &lost));
        }
        self.expire_searches(now);
        self.serve_teams(now);
    }

    fn job_tick(&mut self, now: Instant, job: &mut Job, lost: &[usize]) {
        if now >= job.deadline && matches!(job.phase, Phase::Queued | Phase::Running) {
            // The first deadline may be that of a task that has ended.
            match job.next_deadline() {
                Some(deadline) if now < deadline => job.deadline = deadline,
                _ => {
                    self.fail(now, job, "deadline");
                    return;
                }
            }
        }
        match &job.phase {
            Phase::Running => {
                if !lost.is_empty() {
                    self.lose_at(now, job, lost);
                }
                self.recheck(now, job);
                self.retry_placement(now, job);
            }
            Phase::Fencing { .. } | Phase::Gathering { .. } => self.check_fences(now, job),
            Phase::Remote { .. } => self.retry_remote(now, job),
            _ => {}
        }
        self.expire_waiters(now, job);
    }

    fn retry_placement(&mut self, now: Instant, job: &mut Job) {
        if job.waiting.is_empty() || !matches!(job.phase, Phase::Running) {
            return;
        }
        if job.pause.is_some_and(|until| now >= until) {
            job.pause = None;
        }
        self.pump(now, job);
        let period = match job.team.objective {
            Objective::Response => SPARE_AFTER,
            Objective::Waste => SPARE_AFTER_LONG,
        };
        let due = job.spare.is_none_or(|last| now >= last + period);
        if due && job.spare.replace(now).is_some() {
            self.ask_spare(now, job);
        }
    }

    /// Answers those who have waited as long as they wanted.
    fn expire_waiters(&mut self, now: Instant, job: &mut Job) {
        if job.ended || !job.waiters.iter().any(|w| now >= w.until) {
            return;
        }
        let answer = match &job.phase {
            Phase::Checking { refusal, .. } => refusal.answer(Ran::Unknown),
            Phase::Claiming { .. } => Answer::unknown("control has not answered yet"),
            Phase::Remote { attach: None, .. } => {
                Answer::unknown("the job's owner cannot be reached")
            }
            _ => Answer::running(),
        };
        let waiters = std::mem::take(&mut job.waiters);
        for waiter in waiters {
            if now >= waiter.until {
                self.answer(waiter.caller, answer.clone());
            } else {
                job.waiters.push(waiter);
            }
        }
        if job.waiters.is_empty() && matches!(job.phase, Phase::Remote { .. }) {
            job.ended = true;
        }
    }
}
