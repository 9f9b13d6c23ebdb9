//! Observed run times per kind of task, and the relative slowness of each agent.

use std::time::Duration;

use sassafras_util::FastMap;
use sassafras_util::Name;

/// Weight of a new run time in the moving average of its kind.
const KIND_GAIN: f64 = 0.02;
/// Weight of a new run time in the moving average of an agent's slowness.
const AGENT_GAIN: f64 = 0.15;
/// Weight of an agent's first run time. The weight then falls to [`AGENT_GAIN`], so that a slow
/// agent is detected after few tasks.
const INITIAL_GAIN: f64 = 0.5;
/// Bounds on a single slowness sample.
const SLOWNESS_RANGE: std::ops::RangeInclusive<f64> = 0.02..=100.0;

#[derive(Clone, Copy, Debug)]
struct AgentSlowness {
    slowness: f64,
    samples: u32,
}

/// Observed run times of all kinds of task on all agents.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    kinds: FastMap<Name, FastMap<Name, f64>>,
    agents: FastMap<(usize, Name), AgentSlowness>,
}

impl RunTimes {
    /// Returns the expected run time of a kind of task on an average agent, or `declared` if no
    /// run time was recorded yet.
    pub fn mean(&self, team: &Name, kind: &Name, declared: Duration) -> Duration {
        let observed = self.kinds.get(team).and_then(|kinds| kinds.get(kind));
        observed.map_or(declared, |secs| Duration::from_secs_f64(*secs))
    }

    /// Returns the run time of a kind of task on an agent as a multiple of the kind's mean.
    pub fn slowness(&self, agent: usize, kind: &Name) -> f64 {
        let known = self.agents.get(&(agent, kind.clone()));
        known.map_or(1.0, |r| r.slowness)
    }

    /// Records a measured run time.
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
            .or_insert(AgentSlowness {
                slowness: 1.0,
                samples: 0,
            });
        let mean = if let Some(mean) = kinds.get_mut(kind) {
            // Run times are normalized to an average agent, so that the mean does not depend on
            // the share of tasks that slow agents receive.
            let normalized = secs / known.slowness;
            *mean += KIND_GAIN * (normalized - *mean);
            *mean
        } else {
            kinds.insert(kind.clone(), secs);
            secs
        };
        known.samples = known.samples.saturating_add(1);
        let gain = (INITIAL_GAIN / f64::from(known.samples)).max(AGENT_GAIN);
        let ratio = (secs / mean).clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end());
        known.slowness += gain * (ratio - known.slowness);
    }

    /// Discards the observations of an agent, for example after it restarted.
    pub fn forget(&mut self, agent: usize) {
        self.agents.retain(|(index, _), _| *index != agent);
    }
}
