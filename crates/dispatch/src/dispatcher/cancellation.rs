//! Cancellation of jobs, wherever it is asked for.
//!
//! Designed for cancellations that reach another entry than the job, and for copies of a submission
//! that arrive after the cancellation. Entries have no links with each other, so agents pass a
//! cancellation on to their other entries. Each entry remembers it for longer than a copy of the
//! submission may take.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom as _;
use slog::info;

use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::CancelTasks;

use super::Dispatcher;
use super::Effect;
use crate::job::Outcome;

/// Agents that pass a cancellation on. They are in different availability zones as far as possible, so
/// that one of them has a link to the entry with the job.
const RELAYS: usize = 3;
/// How long a cancellation is remembered. Copies of a submission arrive some seconds late.
const RETENTION: Duration = Duration::from_secs(60);
/// Largest number of remembered cancellations; the oldest are dropped.
const MAX_REMEMBERED: usize = 10_000;

/// Ids of jobs that were cancelled recently.
#[derive(Debug, Default)]
pub(super) struct Cancelled {
    ids: FastSet<Name>,
    order: VecDeque<(Instant, Name)>,
}

impl Cancelled {
    pub(super) fn contains(&self, id: &Name) -> bool {
        self.ids.contains(id)
    }

    fn insert(&mut self, now: Instant, id: &Name) {
        let old = |at: &Instant| now.saturating_duration_since(*at) > RETENTION;
        while self.order.len() >= MAX_REMEMBERED
            || self.order.front().is_some_and(|(at, _)| old(at))
        {
            let Some((_, dropped)) = self.order.pop_front() else {
                break;
            };
            self.ids.remove(&dropped);
        }
        if self.ids.insert(id.clone()) {
            self.order.push_back((now, id.clone()));
        }
    }
}

impl Dispatcher {
    /// Cancels the job with this id at all entries and agents. Returns whether it was pending at this
    /// entry.
    pub fn cancel(&mut self, now: Instant, id: &Name) -> bool {
        let own = self.cancel_here(now, id);
        let mut linked: Vec<(&Name, &Name)> = Vec::new();
        linked.extend(
            self.hosts
                .values()
                .filter(|h| h.linked)
                .map(|h| (&h.node.name, &h.zone)),
        );
        linked.shuffle(&mut self.rng);
        let mut zones = FastSet::default();
        // The first agent of each zone comes before the second one of any.
        linked.sort_by_cached_key(|(_, zone)| !zones.insert((*zone).clone()));
        info!(self.log, "cancellation sent"; "job" => %id, "own" => own, "agents" => linked.len());
        for (index, (agent, _)) in linked.into_iter().enumerate() {
            let message = Body::CancelTasks(CancelTasks {
                job: id.to_string(),
                relay: index < RELAYS,
            });
            self.effects.push(Effect::Send(agent.clone(), message));
        }
        own
    }

    /// Cancels the job with this id if it is pending here, and refuses it from now on. Returns whether
    /// it was pending.
    pub(super) fn cancel_here(&mut self, now: Instant, id: &Name) -> bool {
        self.advance_clock(now);
        self.cancelled.insert(now, id);
        let found = self.jobs.iter().find(|(_, j)| j.spec.id == *id);
        let found = found.map(|(n, _)| *n);
        if let Some(number) = found {
            self.finish(number, &Outcome::Cancelled);
        }
        found.is_some()
    }
}
