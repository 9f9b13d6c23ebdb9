//! Whether an endpoint can be trusted with tasks, judged by its agent from their ends.
//!
//! Load pattern: an endpoint fails or stalls everything that it starts while it reports itself
//! well. Each failure costs a caller a retry, so few of them must suffice; a job that fails
//! wherever it runs must not take endpoints out.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::Name;

/// Ends that are remembered.
const WINDOW: usize = 12;
/// Ends older than this say nothing about the present.
const MEMORY: Duration = Duration::from_secs(4);
/// Failures of at least this many different jobs are needed.
const MIN_JOBS: usize = 3;
/// First pause before an endpoint is tried again; doubled after each failed try.
const FIRST_PAUSE: Duration = Duration::from_millis(700);
/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(6);

/// The recent ends of an endpoint's tasks.
#[derive(Clone, Debug, Default)]
pub struct Health {
    ends: VecDeque<(Instant, Name, bool)>,
    suspect: Option<(Instant, Duration)>,
}

impl Health {
    /// Takes the end of a task of `job`. Returns whether the judgement changed.
    pub fn record(&mut self, now: Instant, job: &Name, ok: bool) -> bool {
        if let Some((until, pause)) = self.suspect {
            // Tasks that were under way when the judgement was made are no tries.
            if !ok && now < until {
                return false;
            }
            if ok {
                self.suspect = None;
                self.ends.clear();
                return true;
            }
            let pause = (pause * 2).min(MAX_PAUSE);
            self.suspect = Some((now + pause, pause));
            return false;
        }
        self.ends.push_back((now, job.clone(), ok));
        let old = |at: &Instant| now.saturating_duration_since(*at) > MEMORY;
        while self.ends.len() > WINDOW || self.ends.front().is_some_and(|(at, ..)| old(at)) {
            self.ends.pop_front();
        }
        if ok || !self.failing() {
            return false;
        }
        self.suspect = Some((now + FIRST_PAUSE, FIRST_PAUSE));
        true
    }

    /// Reports whether most recent tasks failed.
    pub fn is_suspect(&self) -> bool {
        self.suspect.is_some()
    }

    /// Reports whether a suspect endpoint may be tried again.
    pub fn may_probe(&self, now: Instant) -> bool {
        self.suspect.is_some_and(|(until, _)| now >= until)
    }

    fn failing(&self) -> bool {
        let failed = self.ends.iter().filter(|(_, _, ok)| !ok);
        let mut jobs: Vec<&Name> = failed.map(|(_, job, _)| job).collect();
        let most = jobs.len() * 3 >= self.ends.len() * 2;
        jobs.sort_unstable();
        jobs.dedup();
        most && jobs.len() >= MIN_JOBS
    }
}
