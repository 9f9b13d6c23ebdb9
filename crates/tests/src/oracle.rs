//! Verifies the guarantees P1 to P8 of the design on the history of a run.

use std::collections::BTreeMap;
use std::fmt;

use crate::history::History;
use crate::history::JobResponse;
use crate::history::Submission;
use crate::history::TaskResult;

/// P6: a leaving endpoint receives no new work after this time.
const LEAVE_BOUND_MS: u64 = 2000;
/// P8: an accepted configuration is in force everywhere within this time.
const CONFIG_BOUND_MS: u64 = 3000;

/// A violated guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The guarantee, such as `P1`.
    pub guarantee: &'static str,
    /// The observation that violates it.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.detail)
    }
}

/// The team and name of a job.
type JobKey<'a> = (&'a str, &'a str);

/// The lease of a node. A report after a longer gap comes from a node that has stopped serving.
const LEASE_MS: u64 = 2500;

/// Verifies every guarantee that applies to the history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_single_starts(history, &mut violations);
    check_complete_results(history, &mut violations);
    check_result_ownership(history, &mut violations);
    check_same_outcome(history, &mut violations);
    check_rejections(history, &mut violations);
    check_leaving(history, &mut violations);
    check_graceful_stops(history, &mut violations);
    check_versions(history, &mut violations);
    violations
}

fn add_violation(violations: &mut Vec<Violation>, guarantee: &'static str, detail: String) {
    violations.push(Violation { guarantee, detail });
}

fn job_key(submission: &Submission) -> JobKey<'_> {
    (&submission.team, &submission.job)
}

/// P1 and P5: no attempt starts twice, and no task does unless its job is repeatable.
fn check_single_starts(history: &History, violations: &mut Vec<Violation>) {
    let mut tasks = BTreeMap::<_, u32>::new();
    let mut attempts = BTreeMap::<_, u32>::new();
    for s in &history.starts {
        let task = (s.team.as_str(), s.job.as_str(), s.index);
        *tasks.entry(task).or_default() += 1;
        *attempts.entry((task, s.attempt)).or_default() += 1;
    }
    for (((team, job, index), attempt), n) in attempts.iter().filter(|(_, n)| **n > 1) {
        let detail = format!("{team}/{job}/{index}/{attempt} started {n} times");
        add_violation(violations, "P1", detail);
    }
    for ((team, job, index), n) in tasks.iter().filter(|(_, n)| **n > 1) {
        let of_job = |s: &&Submission| job_key(s) == (*team, *job);
        if !history
            .submissions
            .iter()
            .filter(of_job)
            .any(|s| s.repeatable)
        {
            let detail = format!("{team}/{job}/{index} started {n} times, not repeatable");
            add_violation(violations, "P5", detail);
        }
    }
}

/// P2: responses carry every result or none.
fn check_complete_results(history: &History, violations: &mut Vec<Violation>) {
    for submission in &history.submissions {
        let name = format!(
            "{}/{} at {}",
            submission.team, submission.job, submission.entry
        );
        match &submission.response {
            JobResponse::Complete(results) if results.len() != submission.payload_numbers.len() => {
                let (n, of) = (results.len(), submission.payload_numbers.len());
                add_violation(violations, "P2", format!("{name}: {n} of {of} results"));
            }
            JobResponse::Failed { results: true, .. } => {
                add_violation(violations, "P2", format!("{name}: failed with results"));
            }
            JobResponse::Malformed(what) => {
                add_violation(violations, "P2", format!("{name}: {what}"));
            }
            _ => {}
        }
    }
}

/// P3: every result belongs to the caller's own job, in task order.
fn check_result_ownership(history: &History, violations: &mut Vec<Violation>) {
    for submission in &history.submissions {
        let JobResponse::Complete(results) = &submission.response else {
            continue;
        };
        for (position, (index, task, number)) in results.iter().enumerate() {
            let prefix = format!("{}/{}/{position}/", submission.team, submission.job);
            let own = submission.payload_numbers.get(position) == Some(number);
            if *index != position as u64 || !own || !task.starts_with(&prefix) {
                let detail = format!(
                    "{prefix} at {}: got {index} {task} {number}",
                    submission.entry
                );
                add_violation(violations, "P3", detail);
            }
        }
    }
}

/// P3: all callers of a job receive the same outcome.
fn check_same_outcome(history: &History, violations: &mut Vec<Violation>) {
    let mut first = BTreeMap::<(JobKey<'_>, &[u64]), &Submission>::new();
    for submission in &history.submissions {
        if !submission.response.is_final() || is_expired(&submission.response) {
            continue;
        }
        let earlier = *first
            .entry((job_key(submission), &submission.payload_numbers))
            .or_insert(submission);
        if outcome(&earlier.response) != outcome(&submission.response) {
            let detail = format!(
                "{}/{}: {} returned {:?}, {} returned {:?}",
                submission.team,
                submission.job,
                earlier.entry,
                earlier.response,
                submission.entry,
                submission.response
            );
            add_violation(violations, "P3", detail);
        }
    }
}

/// Reports whether the entry no longer holds the outcome, which is not a different outcome.
fn is_expired(response: &JobResponse) -> bool {
    matches!(response, JobResponse::Failed { reason, .. } if reason == "answer_expired")
}

fn outcome(response: &JobResponse) -> (Option<&[TaskResult]>, Option<(u16, &str)>) {
    match response {
        JobResponse::Complete(results) => (Some(results), None),
        JobResponse::Failed { status, reason, .. } => (None, Some((*status, reason))),
        _ => (None, None),
    }
}

/// P4: a job whose response says `ran: false` has no recorded start, unless it was submitted
/// again.
///
/// A 409 is exempt: starts under that name belong to the job with the other body.
fn check_rejections(history: &History, violations: &mut Vec<Violation>) {
    for submission in &history.submissions {
        let conflict = matches!(
            submission.response,
            JobResponse::Rejected { status: 409, .. }
        );
        if submission.response.ran() != Some(false) || conflict {
            continue;
        }
        let resubmitted_ms = history
            .submissions
            .iter()
            .filter(|s| job_key(s) == job_key(submission) && s.sent_ms >= submission.received_ms)
            .map(|s| s.sent_ms)
            .min();
        let started = history
            .starts
            .iter()
            .filter(|s| (s.team.as_str(), s.job.as_str()) == job_key(submission))
            .find(|s| resubmitted_ms.is_none_or(|at| s.start_ms < at));
        if let Some(s) = started {
            let detail = format!(
                "{}/{} at {}: answered {:?} at {}, task {} started on {} at {}",
                submission.team,
                submission.job,
                submission.entry,
                submission.response,
                submission.received_ms,
                s.index,
                s.endpoint,
                s.start_ms
            );
            add_violation(violations, "P4", detail);
        }
    }
}

/// P6: a leaving endpoint receives no new work after 2 s.
fn check_leaving(history: &History, violations: &mut Vec<Violation>) {
    for leaving in &history.leaving {
        let end = leaving.requested_ms + LEAVE_BOUND_MS + history.lag_ms;
        let is_late = |s: &&crate::StartRecord| {
            s.start_ms > end && leaving.restarted_ms.is_none_or(|t| s.start_ms < t)
        };
        let starts = history
            .starts
            .iter()
            .filter(|s| s.endpoint == leaving.endpoint);
        for s in starts.filter(is_late) {
            let late = s.start_ms - leaving.requested_ms;
            let detail = format!(
                "{}/{} started {late} ms after {} was asked to leave",
                s.job, s.index, s.endpoint
            );
            add_violation(violations, "P6", detail);
        }
    }
}

/// P7: a graceful stop exits with status 0 and interrupts no work in progress.
fn check_graceful_stops(history: &History, violations: &mut Vec<Violation>) {
    for stop in &history.stops {
        if !stop.clean {
            let detail = format!("{} did not exit on its own with status 0", stop.process);
            add_violation(violations, "P7", detail);
        }
        let in_progress = |s: &&Submission| {
            s.entry == stop.process
                && s.sent_ms <= stop.requested_ms
                && s.received_ms > stop.requested_ms
        };
        for submission in history.submissions.iter().filter(in_progress) {
            if let JobResponse::ConnectionFailed(reason) = &submission.response {
                let detail = format!(
                    "{}/{} at {}: {reason}",
                    submission.team, submission.job, submission.entry
                );
                add_violation(violations, "P7", detail);
            }
        }
        let interrupted = |s: &&crate::StartRecord| {
            stop.endpoint.as_ref() == Some(&s.endpoint)
                && s.start_ms <= stop.requested_ms
                && s.outcome.is_none()
        };
        for s in history.starts.iter().filter(interrupted) {
            let detail = format!(
                "{}/{} on {} has no recorded end",
                s.job, s.index, s.endpoint
            );
            add_violation(violations, "P7", detail);
        }
    }
    if !history.only_graceful {
        return;
    }
    for submission in &history.submissions {
        let cancelled = matches!(
            &submission.response,
            JobResponse::Failed { status: 410, .. }
        );
        if matches!(submission.response, JobResponse::Failed { .. }) && !cancelled {
            let detail = format!(
                "{}/{}: {:?}",
                submission.team, submission.job, submission.response
            );
            add_violation(violations, "P7", detail);
        }
    }
}

/// P8: versions never decrease, and an accepted version is in force everywhere within 3 s.
fn check_versions(history: &History, violations: &mut Vec<Violation>) {
    let mut last = BTreeMap::<(&str, u64), (u64, u64)>::new();
    for sample in &history.versions {
        let node = (sample.node.as_str(), sample.incarnation);
        let (previous_ms, version) = *last.get(&node).unwrap_or(&(0, 0));
        if sample.reported_ms >= previous_ms {
            if sample.version < version {
                let detail = format!(
                    "{}: version {version}, then {}",
                    sample.node, sample.version
                );
                add_violation(violations, "P8", detail);
            }
            last.insert(node, (sample.reported_ms, sample.version));
        }
        let is_due =
            |(_, at): &&(u64, u64)| at + CONFIG_BOUND_MS + history.lag_ms < sample.reported_ms;
        let due = history
            .accepted
            .iter()
            .filter(is_due)
            .map(|(v, _)| *v)
            .max();
        // The first report after an outage, and the reports of a node without a lease, may state an
        // old version. Such a node serves nothing, so the version is not in force.
        let leased =
            !sample.suspended && sample.reported_ms.saturating_sub(previous_ms) <= LEASE_MS;
        if leased && sample.version != 0 && due.is_some_and(|v| sample.version < v) {
            let detail = format!(
                "{}: version {} in force at {} ms where {due:?} was due",
                sample.node, sample.version, sample.reported_ms
            );
            add_violation(violations, "P8", detail);
        }
    }
}
