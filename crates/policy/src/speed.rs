//! Learned run times per kind of task, and how each agent compares with the mean.

use std::time::Duration;

use sassafras_util::FastMap;
use sassafras_util::Name;

/// Weight of a new run time in the mean of its kind.
const KIND_GAIN: f64 = 0.02;
/// Weight of a new run time in an agent's relative speed.
const AGENT_GAIN: f64 = 0.15;
/// The first run times of an agent weigh more, so that a slow agent is known early.
const FIRST_GAIN: f64 = 0.5;
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.02..=100.0;

#[derive(Clone, Copy, Debug)]
struct Relative {
    slowness: f64,
    samples: u32,
}

/// Learned run times of all kinds on all agents.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    kinds: FastMap<Name, FastMap<Name, f64>>,
    agents: FastMap<(usize, Name), Relative>,
}

impl RunTimes {
    /// Returns the expected run time of a kind on an average agent; `declared` is used
    /// until something was learned.
    pub fn mean(&self, team: &Name, kind: &Name, declared: Duration) -> Duration {
        let learned = self.kinds.get(team).and_then(|kinds| kinds.get(kind));
        learned.map_or(declared, |secs| Duration::from_secs_f64(*secs))
    }

    /// Returns the run time on an agent relative to the kind's mean.
    pub fn slowness(&self, agent: usize, kind: &Name) -> f64 {
        let known = self.agents.get(&(agent, kind.clone()));
        known.map_or(1.0, |r| r.slowness)
    }

    /// Takes a measured run time.
    pub fn record(&mut self, agent: usize, team: &Name, kind: &Name, run: Duration) {
        let secs = run.as_secs_f64().max(1e-6);
        if !self.kinds.contains_key(team) {
            self.kinds.insert(team.clone(), FastMap::default());
        }
        let Some(kinds) = self.kinds.get_mut(team) else {
            return;
        };
        let known = self
            .agents
            .entry((agent, kind.clone()))
            .or_insert(Relative {
                slowness: 1.0,
                samples: 0,
            });
        let mean = if let Some(mean) = kinds.get_mut(kind) {
            // Run times are taken at the speed of an average agent, so that the mean does not
            // move with the share of work that slow agents get.
            let normal = secs / known.slowness;
            *mean += KIND_GAIN * (normal - *mean);
            *mean
        } else {
            kinds.insert(kind.clone(), secs);
            secs
        };
        known.samples = known.samples.saturating_add(1);
        let gain = (FIRST_GAIN / f64::from(known.samples)).max(AGENT_GAIN);
        let ratio = (secs / mean).clamp(*SLOWNESS.start(), *SLOWNESS.end());
        known.slowness += gain * (ratio - known.slowness);
    }

    /// Forgets an agent, for example because it has started again.
    pub fn forget(&mut self, agent: usize) {
        self.agents.retain(|(index, _), _| *index != agent);
    }
}
