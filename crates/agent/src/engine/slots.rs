//! Slots granted to jobs, and the queue for free slots.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_policy::FairQueue;
use sassafras_policy::Rank;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::JobKey;

use crate::engine::LinkId;

/// A granted slot that is not used within this time is given to others.
const GRANT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request for free slots.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Waiter {
    /// A reservation that an entry made for a job.
    Reserved(LinkId, JobKey),
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

/// Slots granted to jobs, and the queue for free slots.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    queue: FairQueue<Waiter>,
    /// When each granted slot was granted, oldest first.
    grants: FastMap<(LinkId, JobKey), VecDeque<Instant>>,
    granted: u32,
}

impl Slots {
    pub(crate) fn granted(&self) -> u32 {
        self.granted
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.queue.len() as u32
    }

    pub(crate) fn enqueue(&mut self, waiter: Waiter, weight: u32, count: u32, rank: Option<Rank>) {
        let team = waiter.key().team.clone();
        self.queue.push(&team, weight, waiter, count, rank);
    }

    /// Records how long a task of the team occupied its slot.
    pub(crate) fn record_run_time(&mut self, team: &Name, run_time: Duration) {
        self.queue.record_run_time(team, run_time);
    }

    /// Removes and returns the next request in the fair order.
    pub(crate) fn pop(&mut self, now: Instant) -> Option<Waiter> {
        self.queue.pop(now)
    }

    pub(crate) fn withdraw(&mut self, waiter: &Waiter, count: u32) {
        self.queue.remove(&waiter.key().team, waiter, count);
    }

    pub(crate) fn grant(&mut self, now: Instant, link: LinkId, key: JobKey) {
        self.grants.entry((link, key)).or_default().push_back(now);
        self.granted += 1;
    }

    /// Uses one granted slot of the job and returns whether there was one.
    pub(crate) fn use_grant(&mut self, link: LinkId, key: &JobKey) -> bool {
        self.release(link, key, 1) == 1
    }

    /// Releases up to `count` granted slots of the job and returns how many were released.
    pub(crate) fn release(&mut self, link: LinkId, key: &JobKey, count: u32) -> u32 {
        let id = (link, key.clone());
        let Some(grants) = self.grants.get_mut(&id) else {
            return 0;
        };
        let released = count.min(grants.len() as u32);
        grants.drain(..released as usize);
        if grants.is_empty() {
            self.grants.remove(&id);
        }
        self.granted -= released;
        released
    }

    /// Releases the grants that were not used in time and returns how many.
    pub(crate) fn expire_grants(&mut self, now: Instant) -> u32 {
        let before = self.granted;
        for grants in self.grants.values_mut() {
            while grants
                .front()
                .is_some_and(|since| now.duration_since(*since) >= GRANT_TIMEOUT)
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

    /// Drops the grants and reservations for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(LinkId, &JobKey) -> bool) {
        self.grants.retain(|(link, key), _| keep(*link, key));
        self.granted = self.grants.values().map(|g| g.len() as u32).sum();
        self.queue.retain(|waiter| match waiter {
            Waiter::Reserved(link, key) => keep(*link, key),
            Waiter::Queued(_) => true,
        });
    }
}
