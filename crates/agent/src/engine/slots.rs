//! Slots granted to jobs, and what waits for a free slot.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_policy::FairQueue;
use sassafras_policy::Rank;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::JobKey;

use crate::engine::Link;

/// A granted slot that is not used for this long is given to others.
const GRANT_LIMIT: Duration = Duration::from_secs(1);

/// What waits for a free slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Waiter {
    /// A reservation of an entry for a job.
    Reserved(Link, JobKey),
    /// The next queued task of a job.
    Queued(JobKey),
}

impl Waiter {
    pub(crate) fn key(&self) -> &JobKey {
        match self {
            Self::Reserved(_, key) | Self::Queued(key) => key,
        }
    }
}

/// Slots granted to jobs, and what waits for a free slot.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    queue: FairQueue<Waiter>,
    grants: FastMap<(Link, JobKey), VecDeque<Instant>>,
    granted: u32,
}

impl Slots {
    pub(crate) fn granted(&self) -> u32 {
        self.granted
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    pub(crate) fn wait(&mut self, waiter: Waiter, weight: u32, count: u32, rank: Option<Rank>) {
        let team = waiter.key().team.clone();
        self.queue.push(&team, weight, waiter, count, rank);
    }

    /// Learns how long a task of the team held its slot.
    pub(crate) fn observe(&mut self, team: &Name, used: Duration) {
        self.queue.record_run_time(team, used);
    }

    /// Takes what is due next.
    pub(crate) fn next(&mut self, now: Instant) -> Option<Waiter> {
        self.queue.pop(now)
    }

    pub(crate) fn withdraw(&mut self, waiter: &Waiter, count: u32) {
        self.queue.remove(&waiter.key().team, waiter, count);
    }

    pub(crate) fn grant(&mut self, now: Instant, link: Link, key: JobKey) {
        self.grants.entry((link, key)).or_default().push_back(now);
        self.granted += 1;
    }

    /// Takes one granted slot of the job, if there is one.
    pub(crate) fn redeem(&mut self, link: Link, key: &JobKey) -> bool {
        self.give_back(link, key, 1) == 1
    }

    /// Returns up to `count` granted slots of the job to the free ones.
    pub(crate) fn give_back(&mut self, link: Link, key: &JobKey, count: u32) -> u32 {
        let id = (link, key.clone());
        let Some(grants) = self.grants.get_mut(&id) else {
            return 0;
        };
        let taken = count.min(grants.len() as u32);
        grants.drain(..taken as usize);
        if grants.is_empty() {
            self.grants.remove(&id);
        }
        self.granted -= taken;
        taken
    }

    /// Returns grants that were not used in time, and reports how many.
    pub(crate) fn expire(&mut self, now: Instant) -> u32 {
        let before = self.granted;
        for grants in self.grants.values_mut() {
            while grants
                .front()
                .is_some_and(|at| now.duration_since(*at) >= GRANT_LIMIT)
            {
                grants.pop_front();
                self.granted -= 1;
            }
        }
        if self.granted != before {
            self.grants.retain(|_, g| !g.is_empty());
        }
        before - self.granted
    }

    /// Drops the grants and reservations that `keep` rejects.
    pub(crate) fn retain(&mut self, keep: impl Fn(Link, &JobKey) -> bool) {
        self.grants.retain(|(link, key), _| keep(*link, key));
        self.granted = self.grants.values().map(|g| g.len() as u32).sum();
        self.queue.retain(|waiter| match waiter {
            Waiter::Reserved(link, key) => keep(*link, key),
            Waiter::Queued(_) => true,
        });
    }
}
