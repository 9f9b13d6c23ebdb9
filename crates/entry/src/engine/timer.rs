//! Timer-driven work: deadlines, retries and expiry.

use std::time::Duration;
use std::time::Instant;

use sassafras_config::Objective;

use crate::engine::Engine;
use crate::engine::job::Job;
use crate::engine::job::Phase;
use crate::response::Ran;
use crate::response::Response;

/// Interval at which a job with unsent tasks requests idle slots at further agents. Shorter
/// intervals withdrew many requests unused and did not shorten response times.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same for teams with the objective `waste`, where it only has to move tasks away from a
/// hung agent.
const WASTE_IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

impl Engine {
    pub(super) fn tick(&mut self, now: Instant) {
        self.send_heartbeat(now);
        self.expire_responses(now);
        let lost = self.unreachable_agents(now);
        for key in self.job_keys() {
            self.with_job(&key, |engine, job| engine.job_tick(now, job, &lost));
        }
        self.expire_searches(now);
        self.schedule_teams(now);
    }

    fn job_tick(&mut self, now: Instant, job: &mut Job, lost: &[usize]) {
        if now >= job.deadline && matches!(job.phase, Phase::Queued | Phase::Running) {
            // The earliest deadline may belong to a task that has a result.
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
                    self.mark_attempts_lost(now, job, lost);
                }
                self.send_rechecks(now, job);
                self.retry_placement(now, job);
            }
            Phase::Fencing { .. } | Phase::Gathering { .. } => self.check_fences(now, job),
            Phase::Remote { .. } => self.retry_owner(now, job),
            _ => {}
        }
        self.expire_waiters(now, job);
    }

    fn retry_placement(&mut self, now: Instant, job: &mut Job) {
        if job.pending.is_empty() || !matches!(job.phase, Phase::Running) {
            return;
        }
        if job.paused_until.is_some_and(|until| now >= until) {
            job.paused_until = None;
        }
        self.dispatch(now, job);
        let interval = match job.team.objective {
            Objective::Response => IDLE_CHECK_INTERVAL,
            Objective::Waste => WASTE_IDLE_CHECK_INTERVAL,
        };
        let due = job.idle_checked.is_none_or(|last| now >= last + interval);
        if due && job.idle_checked.replace(now).is_some() {
            self.reserve_idle_slots(now, job);
        }
    }

    /// Responds to callers whose wait is over.
    fn expire_waiters(&mut self, now: Instant, job: &mut Job) {
        if job.ended || !job.waiters.iter().any(|w| now >= w.until) {
            return;
        }
        let response = match &job.phase {
            Phase::Checking { rejection, .. } => rejection.response(Ran::Unknown),
            Phase::Claiming { .. } => Response::unknown("control has not replied yet"),
            Phase::Remote { attach: None, .. } => {
                Response::unknown("the entry that owns the job cannot be reached")
            }
            _ => Response::running(),
        };
        let waiters = std::mem::take(&mut job.waiters);
        for waiter in waiters {
            if now >= waiter.until {
                self.respond(waiter.caller, response.clone());
            } else {
                job.waiters.push(waiter);
            }
        }
        if job.waiters.is_empty() && matches!(job.phase, Phase::Remote { .. }) {
            job.ended = true;
        }
    }
}
