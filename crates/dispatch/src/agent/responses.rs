//! Responses of the endpoint, and the state of runs derived from them.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use sassafras_util::Name;
use sassafras_wire::proto::task_end::Kind;

use super::PendingCall;
use super::RETRY_INTERVAL;
use super::Runner;
use super::call::Completion;
use super::call::Rejection;
use super::call::Response;
use super::call::RunList;
use super::call::TaskOutcome;
use super::run::Run;
use super::run::RunState;
use crate::timing::PULSE_INTERVAL;

/// Added to the attempt number of a run that the endpoint rejects as stale. Attempts of a
/// resubmitted job are numbered from the start again.
const ATTEMPT_INCREMENT: u32 = 16;
/// Starts sent for a run before its task is returned to the entry. If one of them got no response, a
/// listing shows whether it runs.
const MAX_START_TRIES: u32 = 6;
/// How long an endpoint that refused work as unhealthy receives no tasks.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(500);

impl Runner {
    /// Handles the response to a call.
    pub fn handle_response(&mut self, now: Instant, id: u64, response: Response) {
        self.now = now;
        match self.calls.remove(&id) {
            Some(PendingCall::Start { run, token, .. }) => {
                self.handle_start_response(&run, token, &response);
            }
            Some(PendingCall::Poll {
                endpoint,
                token,
                acked,
            }) => {
                self.handle_poll_response(&endpoint, id, (token, acked), response);
            }
            Some(PendingCall::Stop { .. }) | None => {}
        }
        self.send_commands();
    }

    /// Handles the response to a start that was sent with `token`.
    pub(super) fn handle_start_response(
        &mut self,
        key: &(Name, u64),
        token: u64,
        response: &Response,
    ) {
        let heard = self.is_heard(&key.0);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        run.start_answered = Some(self.now);
        match response {
            Response::Accepted { clock_ms } => {
                endpoint.update_clock(self.now, *clock_ms);
                if run.is_starting() {
                    run.mark_started(self.now);
                }
            }
            Response::Rejected { reason, clock_ms } => {
                if let Some(clock_ms) = clock_ms {
                    endpoint.update_clock(self.now, *clock_ms);
                }
                self.handle_rejected_start(key, token, *reason, *clock_ms);
            }
            Response::NotSent => {
                warn!(self.log, "no connection for task start"; "task" => %run.task,
                    "attempt" => run.attempt, "tries" => run.tries);
                run.tries += 1;
                endpoint.record_failed_call(self.now);
                endpoint.unavailable_until = Some(self.now + RETRY_INTERVAL);
                if run.is_starting() && run.unanswered.is_some() {
                    run.state = RunState::Uncertain;
                } else if run.is_starting() {
                    // Returned to the entry as not run if it cannot be started in time.
                    run.state = RunState::Queued;
                }
            }
            Response::Failed | Response::Runs(_) => {
                warn!(self.log, "no response to task start"; "task" => %run.task,
                    "attempt" => run.attempt, "tries" => run.tries);
                run.tries += 1;
                run.unanswered = run.unanswered.max(Some(token));
                endpoint.record_failed_call(self.now);
                self.token.fence(token);
                let again = heard && endpoint.doubted.is_none() && run.tries < MAX_START_TRIES;
                if run.is_starting() && again {
                    // Repeating the command is safe: the endpoint starts an attempt only once.
                    self.send_start(key);
                } else if run.is_starting() {
                    run.state = RunState::Uncertain;
                }
            }
        }
    }

    /// Handles the rejection of a start. If an earlier try got no response, the endpoint may run the
    /// task all the same, and only a listing can tell.
    fn handle_rejected_start(
        &mut self,
        key: &(Name, u64),
        token: u64,
        reason: Rejection,
        clock_ms: Option<u64>,
    ) {
        let heard = self.is_heard(&key.0);
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        let RunState::Starting { expires_ms, .. } = run.state else {
            return;
        };
        info!(self.log, "endpoint rejected task start"; "task" => %run.task,
            "attempt" => run.attempt, "tries" => run.tries,
            "uncertain" => run.unanswered.is_some(), "reason" => ?reason,
            "expires_ms" => expires_ms, "clock_ms" => clock_ms);
        let overtaken = reason == Rejection::Token && self.token.is_above(token);
        if overtaken && heard && endpoint.doubted.is_none() {
            return self.send_start(key);
        }
        run.tries += 1;
        let again = heard && run.tries < MAX_START_TRIES;
        match reason {
            Rejection::Token => self.token.advance(token),
            Rejection::Unhealthy => {
                endpoint.unavailable_until = Some(self.now + UNAVAILABLE_BACKOFF);
            }
            Rejection::Replaced => endpoint.unavailable_until = Some(self.now + PULSE_INTERVAL),
            _ => {}
        }
        match reason {
            _ if run.unanswered.is_some() => run.state = RunState::Uncertain,
            Rejection::Token | Rejection::Late if again => run.state = RunState::Queued,
            Rejection::Stale if again => {
                run.attempt += ATTEMPT_INCREMENT;
                run.state = RunState::Queued;
            }
            Rejection::Invalid => {
                self.runs.remove(key);
                self.report(&key.0, key.1, Kind::Failed, 0);
            }
            _ => self.return_task(key, "its starts were rejected"),
        }
    }

    /// Handles the response to a poll that was sent with `token` and acknowledged completions up to
    /// `acked`.
    pub(super) fn handle_poll_response(
        &mut self,
        key: &Name,
        id: u64,
        (token, acked): (u64, u64),
        response: Response,
    ) {
        let now = self.now;
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let Some((_, sent)) = endpoint.pending_poll.take_if(|(n, _)| *n == id) else {
            return;
        };
        match response {
            Response::Runs(runs)
                if runs
                    .started_ms
                    .is_some_and(|b| b != endpoint.announced.started_ms) =>
            {
                endpoint.next_poll = now + RETRY_INTERVAL;
                info!(self.log, "another instance responded to poll"; "endpoint" => %key,
                    "started_ms" => runs.started_ms);
                self.settle_replaced(key, sent, token, &runs);
            }
            Response::Runs(runs) => {
                endpoint.update_clock(now, runs.clock_ms);
                endpoint.next_poll = now;
                endpoint.confirmed = endpoint.confirmed.max(acked);
                let confirmed = endpoint.confirm_presence(sent);
                self.reconcile(key, sent, token, &runs);
                if confirmed {
                    self.remove_refuted(key, sent);
                }
                self.select_endpoint();
            }
            Response::Rejected {
                reason: Rejection::Replaced,
                ..
            } if endpoint.doubted.is_some() => {
                self.remove_endpoint(key, "another instance serves its address");
            }
            Response::Rejected { reason, clock_ms } => {
                warn!(self.log, "endpoint rejected poll"; "endpoint" => %key, "reason" => ?reason);
                if reason == Rejection::Token {
                    self.token.advance(token);
                }
                if let Some(clock_ms) = clock_ms {
                    endpoint.update_clock(now, clock_ms);
                }
                endpoint.next_poll = now + RETRY_INTERVAL;
            }
            Response::Accepted { .. } | Response::Failed | Response::NotSent => {
                let silence = now.saturating_duration_since(endpoint.last_response);
                warn!(self.log, "no response to poll"; "endpoint" => %key,
                    "silence_ms" => silence.as_millis() as u64);
                // A refused connection fails at once, so wait before polling again.
                endpoint.next_poll = now.max(sent + RETRY_INTERVAL);
                endpoint.failing_since.get_or_insert(sent);
                endpoint.record_failed_call(now);
                self.token.fence(token);
                self.view_changed = true;
            }
        }
    }

    /// Settles the runs of an endpoint at whose address another instance responded. Runs that had
    /// started have ended. A start on its way may be executed by the other instance, if both have the
    /// same id; its listing shows that.
    fn settle_replaced(&mut self, key: &Name, sent: Instant, token: u64, runs: &RunList) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.doubted.get_or_insert(self.now);
            endpoint.replaced = true;
        }
        // What is on its way must not be executed after the next listing.
        self.token.fence(token);
        let listed = |r: &Run| {
            let mut rows = runs.running.iter();
            r.endpoint == *key && rows.any(|row| r.matches(&row.task, row.attempt))
        };
        let seen = self.runs.iter().filter(|(_, r)| listed(r));
        let seen: Vec<_> = seen.map(|(run, _)| run.clone()).collect();
        for run in &seen {
            self.stop(run, Kind::Lost);
        }
        self.end_unlisted(key, sent, token, &seen);
        if !self.runs_at(key) {
            self.remove_endpoint(key, "another instance responded at its address");
        }
        self.select_endpoint();
    }

    /// Reconciles the runs with a listing that was requested at `sent` with `token`.
    pub(super) fn reconcile(&mut self, key: &Name, sent: Instant, token: u64, runs: &RunList) {
        let Some(endpoint) = self.endpoints.get_mut(key) else {
            return;
        };
        let first = !endpoint.listed;
        endpoint.listed = true;
        if first {
            endpoint.inherit_lease(runs.clock_ms, self.max_lease);
        }
        let completions = endpoint.take_completions(runs);
        for end in &completions {
            endpoint.unknown.remove(&(end.task.clone(), end.attempt));
        }
        let mut seen = Vec::new();
        for running in &runs.running {
            let is_listed =
                |r: &Run| r.endpoint == *key && r.matches(&running.task, running.attempt);
            if let Some((run, found)) = self.runs.iter_mut().find(|(_, r)| is_listed(r)) {
                found.mark_listed(self.now, running.percent);
                if let Some(ratio) = found.take_pace_sample(self.now) {
                    endpoint.pace.sample(self.now, &found.job, ratio);
                }
                seen.push(run.clone());
                continue;
            }
            let row = (running.task.clone(), running.attempt);
            endpoint.unknown.entry(row).or_insert_with(|| {
                warn!(self.log, "unknown run at endpoint"; "endpoint" => %key,
                    "task" => %running.task, "attempt" => running.attempt, "first" => first);
                metrics::counter!("agent_unknown_runs").increment(1);
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
            info!(self.log, "first run list received from endpoint"; "endpoint" => %key,
                "running" => runs.running.len(), "ends" => runs.completed.len(),
                "unknown" => endpoint.unknown.len());
            // Completions in the first listing belong to earlier agents.
            endpoint.acked = runs
                .completed
                .iter()
                .map(|e| e.sequence)
                .fold(endpoint.acked, u64::max);
        }
        for end in completions {
            self.complete_run(key, &end);
        }
        // The next listing shows what this one leaves out.
        if runs.complete {
            self.end_unlisted(key, sent, token, &seen);
        }
        self.view_changed = true;
    }

    /// Removes and reports the runs that a listing without them proves not to run: with the reason of
    /// the stop if they were stopped, else as lost. No listing proves that a start without response
    /// never was or will be executed: an earlier instance may have done so, and the next one does not
    /// know the fencing token.
    pub(super) fn end_unlisted(
        &mut self,
        key: &Name,
        sent: Instant,
        token: u64,
        seen: &[(Name, u64)],
    ) {
        let missing = |(run, r): (&(Name, u64), &Run)| {
            let here = r.endpoint == *key && !seen.contains(run);
            (here && r.has_ended(sent, token)).then(|| run.clone())
        };
        let ended: Vec<_> = self.runs.iter().filter_map(missing).collect();
        for run in ended {
            let Some(r) = self.runs.remove(&run) else {
                continue;
            };
            let kind = match r.state {
                RunState::Stopping { kind, .. } => kind,
                _ => Kind::Lost,
            };
            warn!(self.log, "run missing from run list"; "endpoint" => %key, "task" => %r.task,
                "entry" => %run.0, "attempt" => r.attempt, "tries" => r.tries,
                "unanswered" => r.unanswered.is_some(), "kind" => kind.as_str_name());
            self.report(&run.0, run.1, kind, 0);
        }
    }

    /// Handles the end of a run that the endpoint has listed.
    pub(super) fn complete_run(&mut self, key: &Name, end: &Completion) {
        let ended = |r: &Run| r.endpoint == *key && r.matches(&end.task, end.attempt);
        let found = self.runs.iter().find(|(_, r)| ended(r));
        let Some(id) = found.map(|(id, _)| id.clone()) else {
            return;
        };
        let Some(run) = self.runs.remove(&id) else {
            return;
        };
        let ran = run.elapsed(self.now);
        let kind = match (end.outcome, &run.state) {
            (TaskOutcome::Done, _) => Kind::Done,
            (TaskOutcome::Failed, _) => Kind::Failed,
            (TaskOutcome::Stopped | TaskOutcome::Lapsed, RunState::Stopping { kind, .. }) => *kind,
            (TaskOutcome::Stopped | TaskOutcome::Lapsed, _) => Kind::Lost,
        };
        info!(self.log, "task ended"; "task" => %run.task, "attempt" => run.attempt,
            "entry" => %id.0, "how" => ?end.outcome, "kind" => kind.as_str_name(),
            "ran_ms" => ran.as_millis() as u64, "estimate_ms" => run.estimate.as_millis() as u64);
        if kind == Kind::Done {
            self.zone_state = self.zone_state.with_completion();
        }
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            let success = match kind {
                Kind::Done => {
                    let ratio = ran.as_secs_f64() / run.estimate.as_secs_f64().max(0.001);
                    endpoint.pace.sample(self.now, &run.job, ratio);
                    Some(true)
                }
                Kind::Failed | Kind::Stalled => Some(false),
                _ => None,
            };
            let changed = success.is_some_and(|ok| endpoint.health.record(self.now, &run.job, ok));
            if changed {
                warn!(self.log, "endpoint health changed"; "endpoint" => %key,
                    "suspect" => endpoint.health.is_suspect());
            }
        }
        self.report(&id.0, id.1, kind, ran.as_millis() as u32);
    }
}
