//! Answers of the endpoint: what they tell about runs, and what follows.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use sassafras_util::Name;
use sassafras_wire::proto::task_end::Kind;

use super::Pending;
use super::RETRY_PAUSE;
use super::Runner;
use super::call::Completion;
use super::call::Rejection;
use super::call::Response;
use super::call::RunList;
use super::call::TaskOutcome;
use super::run::Run;
use super::run::RunState;
use crate::timing::PULSE;

/// Added to the number of a run that the endpoint rejects as stale; a job that was submitted
/// again starts counting anew.
const ATTEMPT_STEP: u32 = 16;
/// Tries with growing run numbers before the task is handed back.
const MAX_TRIES: u32 = 6;
/// How long an endpoint is left alone after it said that it takes no work.
const UNWELL_PAUSE: Duration = Duration::from_millis(500);

impl Runner {
    /// Takes the answer to a call.
    pub fn answered(&mut self, now: Instant, number: u64, answer: Response) {
        self.now = now;
        match self.calls.remove(&number) {
            Some(Pending::Start(key)) => self.start_answered(&key, &answer),
            Some(Pending::Hold(endpoint)) => self.hold_answered(&endpoint, number, answer),
            Some(Pending::Stop) | None => {}
        }
        self.give_orders();
    }

    pub(super) fn start_answered(&mut self, key: &(Name, u64), answer: &Response) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let RunState::Starting { expires_ms, .. } = run.state else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        match answer {
            Response::Accepted { clock_ms } => {
                endpoint.note_clock(self.now, *clock_ms);
                run.started(self.now);
            }
            Response::Rejected { reason, clock_ms } => {
                if let Some(clock_ms) = clock_ms {
                    endpoint.note_clock(self.now, *clock_ms);
                }
                let (task, attempt) = (run.task.clone(), run.attempt);
                info!(self.log, "start rejected"; "task" => %task, "attempt" => attempt,
                    "reason" => ?reason, "expires_ms" => expires_ms, "clock_ms" => clock_ms);
                run.tries += 1;
                let again = run.tries < MAX_TRIES;
                match reason {
                    // An earlier order may have been carried out; a listing tells.
                    Rejection::Stale | Rejection::Late | Rejection::Token if run.unanswered => {
                        run.state = RunState::Unsure { expires_ms };
                    }
                    Rejection::Token if again => {
                        endpoint.raise_token();
                        run.state = RunState::Queued;
                    }
                    Rejection::Stale if again => {
                        run.attempt += ATTEMPT_STEP;
                        run.state = RunState::Queued;
                    }
                    Rejection::Late if again => run.state = RunState::Queued,
                    Rejection::Invalid => {
                        self.runs.remove(key);
                        self.report(&key.0, key.1, Kind::Failed, 0);
                    }
                    reason => {
                        if *reason == Rejection::Unhealthy {
                            endpoint.unwell_until = Some(self.now + UNWELL_PAUSE);
                        }
                        if *reason == Rejection::Replaced {
                            endpoint.unwell_until = Some(self.now + PULSE);
                        }
                        self.runs.remove(key);
                        self.report(&key.0, key.1, Kind::NotRun, 0);
                        self.view_changed = true;
                    }
                }
            }
            Response::Failed | Response::Runs(_) => {
                warn!(self.log, "start not answered"; "task" => %run.task,
                    "attempt" => run.attempt, "tries" => run.tries);
                run.tries += 1;
                run.unanswered = true;
                endpoint.note_silence(self.now);
                if run.tries < MAX_TRIES {
                    // An endpoint starts a run once, however often it is told to.
                    self.order_start(key);
                } else {
                    // A listing, or the end of the order's lease, tells what became of it.
                    run.state = RunState::Unsure { expires_ms };
                }
            }
        }
    }

    pub(super) fn hold_answered(&mut self, key: &Name, number: u64, answer: Response) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let Some((_, sent)) = endpoint.hold.take_if(|(n, _)| *n == number) else {
            return;
        };
        match answer {
            Response::Runs(runs)
                if runs
                    .started_ms
                    .is_some_and(|b| b != endpoint.announced.started_ms) =>
            {
                self.forget_endpoint(key, "another start answered");
                self.elect();
            }
            Response::Runs(runs) => {
                endpoint.note_clock(now, runs.clock_ms);
                endpoint.next_hold = now;
                endpoint.confirmed = endpoint.confirmed.max(endpoint.acked);
                self.listed(key, sent, &runs);
            }
            Response::Rejected { reason, clock_ms } => {
                warn!(self.log, "hold rejected"; "endpoint" => %key, "reason" => ?reason);
                if reason == Rejection::Token {
                    endpoint.raise_token();
                }
                if let Some(clock_ms) = clock_ms {
                    endpoint.note_clock(now, clock_ms);
                }
                endpoint.next_hold = now + RETRY_PAUSE;
            }
            Response::Accepted { .. } | Response::Failed => {
                warn!(self.log, "hold not answered"; "endpoint" => %key,
                    "silence_ms" => now.saturating_duration_since(endpoint.answered).as_millis() as u64);
                // An endpoint that refuses connections answers at once.
                endpoint.next_hold = now.max(sent + RETRY_PAUSE);
                endpoint.silent_since.get_or_insert(sent);
                endpoint.note_silence(now);
                self.view_changed = true;
            }
        }
    }

    /// Compares a listing that was asked for at `sent` with the runs.
    pub(super) fn listed(&mut self, key: &Name, sent: Instant, runs: &RunList) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let first = !endpoint.listed;
        endpoint.listed = true;
        let ends = endpoint.take_ends(runs);
        for end in &ends {
            endpoint.unknown.remove(&(end.task.clone(), end.attempt));
        }
        let mut seen = Vec::new();
        for running in &runs.running {
            let of_row = |r: &Run| r.endpoint == *key && r.is(&running.task, running.attempt);
            if let Some((run, found)) = self.runs.iter_mut().find(|(_, r)| of_row(r)) {
                found.listed(self.now, running.percent);
                if let Some(ratio) = found.first_pace(self.now) {
                    endpoint.pace.sample(self.now, &found.job, ratio);
                }
                seen.push(run.clone());
                continue;
            }
            let row = (running.task.clone(), running.attempt);
            endpoint.unknown.entry(row).or_insert_with(|| {
                warn!(self.log, "unknown run"; "endpoint" => %key,
                    "task" => %running.task, "attempt" => running.attempt);
                None
            });
        }
        // An unknown run that is no longer listed has ended.
        let listed = |task: &Name, attempt: u32| {
            let mut rows = runs.running.iter();
            rows.any(|r| r.task == *task && r.attempt == attempt)
        };
        endpoint.unknown.retain(|(task, n), _| listed(task, *n));
        if first {
            info!(self.log, "endpoint listed"; "endpoint" => %key, "running" => runs.running.len(),
                "ends" => runs.completed.len(), "unknown" => endpoint.unknown.len());
            // The first listing says nothing about runs of this agent.
            endpoint.acked = runs
                .completed
                .iter()
                .map(|e| e.sequence)
                .fold(endpoint.acked, u64::max);
        }
        for end in ends {
            self.run_ended(key, &end);
        }
        self.check_missing(key, sent, runs.clock_ms, &seen);
        self.view_changed = true;
    }

    /// Judges runs that a listing does not name.
    pub(super) fn check_missing(
        &mut self,
        key: &Name,
        sent: Instant,
        clock_ms: u64,
        seen: &[(Name, u64)],
    ) {
        let missing = |(run, r): (&(Name, u64), &Run)| {
            let here = r.endpoint == *key && !seen.contains(run);
            (here && r.gone(sent, clock_ms)).then(|| run.clone())
        };
        let gone: Vec<_> = self.runs.iter().filter_map(missing).collect();
        for run in gone {
            let Some(r) = self.runs.remove(&run) else {
                continue;
            };
            let unsure = matches!(r.state, RunState::Unsure { .. });
            let kind = match r.state {
                RunState::Stopping { kind, .. } => kind,
                _ if unsure => Kind::NotRun,
                _ => Kind::Lost,
            };
            warn!(self.log, "run not listed"; "task" => %r.task, "attempt" => r.attempt,
                "kind" => kind.as_str_name());
            self.report(&run.0, run.1, kind, 0);
        }
    }

    pub(super) fn run_ended(&mut self, key: &Name, end: &Completion) {
        let ended = |r: &Run| r.endpoint == *key && r.is(&end.task, end.attempt);
        let found = self.runs.iter().find(|(_, r)| ended(r));
        let Some(id) = found.map(|(id, _)| id.clone()) else {
            return;
        };
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let ran = run.ran(self.now);
        let kind = match (end.outcome, &run.state) {
            (TaskOutcome::Done, _) => Kind::Done,
            (TaskOutcome::Failed, _) => Kind::Failed,
            (TaskOutcome::Stopped | TaskOutcome::Lapsed, RunState::Stopping { kind, .. }) => *kind,
            (TaskOutcome::Stopped | TaskOutcome::Lapsed, _) => Kind::Lost,
        };
        info!(self.log, "task ended"; "task" => %run.task, "attempt" => run.attempt,
            "entry" => %id.0, "how" => ?end.outcome, "kind" => kind.as_str_name(),
            "ran_ms" => ran.as_millis() as u64, "estimate_ms" => run.estimate.as_millis() as u64);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let judged = match kind {
                Kind::Done => {
                    let ratio = ran.as_secs_f64() / run.estimate.as_secs_f64().max(0.001);
                    endpoint.pace.sample(self.now, &run.job, ratio);
                    Some(true)
                }
                Kind::Failed | Kind::Stalled => Some(false),
                _ => None,
            };
            let changed = judged.is_some_and(|ok| endpoint.health.record(self.now, &run.job, ok));
            if changed {
                warn!(self.log, "endpoint judged"; "endpoint" => %key,
                    "suspect" => endpoint.health.is_suspect());
            }
        }
        self.report(&id.0, id.1, kind, ran.as_millis() as u32);
    }
}
