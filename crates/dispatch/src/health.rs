//! Outlier detection: whether an endpoint should receive tasks, judged by their outcomes.
//!
//! Designed for an endpoint that fails or stalls every task while it reports itself healthy. Each
//! failure costs a retry, so few of them must suffice. A job that fails wherever it runs must not
//! make endpoints suspect.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;

/// Number of recent outcomes considered.
const MAX_SAMPLES: usize = 12;
/// Age at which outcomes are dropped.
const MAX_AGE: Duration = Duration::from_secs(4);
/// An endpoint is suspect only after failures of this many different jobs.
const MIN_FAILED_JOBS: usize = 3;
/// Time before the first probe of a suspect endpoint, doubled after each failed one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(700);
/// Longest time between two probes.
const MAX_BACKOFF: Duration = Duration::from_secs(6);

/// Recent task outcomes of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Time, job and success of each task.
    samples: VecDeque<(Instant, Name, bool)>,
    /// While suspect, when the endpoint may be probed, and the current backoff.
    suspect: Option<(Instant, Duration)>,
}

impl Health {
    /// Records the outcome of a task of `job`. Returns whether the endpoint became suspect or
    /// stopped being suspect.
    pub fn record(&mut self, now: Instant, job: &Name, ok: bool) -> bool {
        if let Some((until, backoff)) = self.suspect {
            // An earlier failure belongs to a task that was already running when the endpoint became
            // suspect.
            if !ok && now < until {
                return false;
            }
            if ok {
                self.suspect = None;
                self.samples.clear();
                return true;
            }
            let backoff = (backoff * 2).min(MAX_BACKOFF);
            self.suspect = Some((now + backoff, backoff));
            return false;
        }
        self.samples.push_back((now, job.clone(), ok));
        let old = |at: &Instant| now.saturating_duration_since(*at) > MAX_AGE;
        while self.samples.len() > MAX_SAMPLES
            || self.samples.front().is_some_and(|(at, ..)| old(at))
        {
            self.samples.pop_front();
        }
        if ok || !self.mostly_failing() {
            return false;
        }
        self.suspect = Some((now + INITIAL_BACKOFF, INITIAL_BACKOFF));
        true
    }

    /// Reports whether the endpoint is suspect.
    pub fn is_suspect(&self) -> bool {
        self.suspect.is_some()
    }

    /// Reports whether a suspect endpoint may be probed.
    pub fn may_probe(&self, now: Instant) -> bool {
        self.suspect.is_some_and(|(until, _)| now >= until)
    }

    /// Reports whether at least two thirds of the samples are failures, from enough different jobs.
    fn mostly_failing(&self) -> bool {
        let failed = self.samples.iter().filter(|(_, _, ok)| !ok);
        let mut jobs: Vec<&Name> = failed.map(|(_, job, _)| job).collect();
        let mostly = jobs.len() * 3 >= self.samples.len() * 2;
        jobs.sort_unstable();
        jobs.dedup();
        mostly && jobs.len() >= MIN_FAILED_JOBS
    }
}
