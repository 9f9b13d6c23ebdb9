//! Membership and links: the agents and the other entries.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_policy::Candidate;
use sassafras_policy::Capacity;
use sassafras_policy::Health;
use sassafras_policy::HealthStatus;
use sassafras_runtime::Peer;
use sassafras_util::Name;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Load;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::MembersDelta;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;

use crate::engine::Effect;
use crate::engine::Engine;
use crate::engine::LinkPeer;
use crate::engine::job::Job;

/// Initial mean run time of an agent, before any of its tasks has ended.
const INITIAL_MEAN_RUN: Duration = Duration::from_millis(100);
/// Weight of a new run time in an agent's moving average.
const MEAN_WEIGHT: f64 = 0.1;

/// An order to stop the tasks of a failed job at an agent.
#[derive(Debug)]
pub(super) struct Stop {
    pub key: JobKey,
    pub epoch: u64,
    /// The process of the agent that may run the tasks.
    pub incarnation: u64,
    /// When the tasks have ended at the latest.
    pub until: Instant,
}

/// State of an agent as this entry sees it.
#[derive(Debug)]
pub(super) struct Agent {
    pub name: Name,
    /// Incarnation that control lists.
    pub incarnation: u64,
    pub state: NodeState,
    pub zone: Name,
    pub rack: u32,
    pub address: String,
    pub capacity: Capacity,
    /// Whether a link to the address is kept up.
    pub dialled: bool,
    /// The open link, and the agent's incarnation on it.
    pub link: Option<(u64, u64)>,
    /// When the link was lost.
    pub lost_at: Option<Instant>,
    /// Whether the agent reports that it is leaving.
    pub leaving: bool,
    pub load: Load,
    /// Change of the load by this entry since the last report.
    pub load_delta: i64,
    pub in_flight: u32,
    /// Moving average of the run time of its tasks, in seconds.
    pub mean_run: f64,
    pub health: Health,
    /// No task is placed there before this time, after the agent refused one.
    pub paused_until: Option<Instant>,
    /// Orders that a lost link may have swallowed, about in the order of their ends.
    pub stops: VecDeque<Stop>,
}

impl Agent {
    pub fn node(&self) -> NodeRef {
        NodeRef {
            name: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Returns whether the agent is a member with an endpoint.
    pub fn has_endpoint(&self) -> bool {
        self.state != NodeState::Gone && self.capacity.slots > 0
    }

    /// Returns whether tasks may be sent to the agent now, regardless of its health.
    pub fn usable(&self, now: Instant) -> bool {
        self.state == NodeState::Active
            && !self.leaving
            && self.capacity.slots > 0
            && self.link.is_some_and(|(_, i)| i == self.incarnation)
            && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Returns the number of occupied slots and of tasks that wait for one.
    pub fn busy(&self) -> u32 {
        let reported = self.load.running + self.load.granted + self.load.queued;
        let current = i64::from(reported) + self.load_delta;
        current.max(i64::from(self.in_flight)).max(0) as u32
    }

    pub fn expected_delay(&self) -> f64 {
        f64::from(self.busy()) / f64::from(self.capacity.slots.max(1)) * self.mean_run
    }

    pub fn update_mean_run(&mut self, run: Duration) {
        self.mean_run += MEAN_WEIGHT * (run.as_secs_f64() - self.mean_run);
    }
}

impl Engine {
    /// Applies a membership change, unless it is outdated or based on a version not yet seen.
    pub(super) fn apply_members(&mut self, now: Instant, delta: MembersDelta) {
        if delta.to <= self.members_version || delta.from > self.members_version {
            return;
        }
        if delta.from == 0 {
            self.remove_unlisted(&delta.members);
        }
        self.members_version = delta.to;
        let were_usable: Vec<bool> = self.agents.iter().map(|a| a.usable(now)).collect();
        for member in delta.members {
            let role = member.role();
            let Ok(node) = NodeRef::try_from(member.node.clone()) else {
                continue;
            };
            match role {
                Role::Agent => self.update_agent(&node, member),
                Role::Entry => self.update_entry(node, &member),
                _ => {}
            }
        }
        for (agent, was_usable) in were_usable.into_iter().enumerate() {
            if was_usable && !self.agents[agent].usable(now) {
                self.withdraw_from(now, agent);
            }
        }
        self.schedule_teams(now);
    }

    /// Withdraws the slot requests at an agent that grants no more slots, so that the jobs request
    /// them elsewhere.
    pub(super) fn withdraw_from(&mut self, now: Instant, agent: usize) {
        for key in self.job_keys() {
            self.with_job(&key, |engine, job| {
                engine.release_at(job, agent);
                engine.dispatch(now, job);
            });
        }
    }

    fn remove_unlisted(&mut self, members: &[Member]) {
        let listed = |name: &Name| {
            let has_name = |m: &Member| m.node.as_ref().is_some_and(|n| *n.name == **name);
            members.iter().any(has_name)
        };
        for index in 0..self.agents.len() {
            if !listed(&self.agents[index].name) {
                self.agents[index].state = NodeState::Gone;
                self.disconnect_gone(index);
            }
        }
        self.entries.retain(|name, _| listed(name));
    }

    fn update_agent(&mut self, node: &NodeRef, member: Member) {
        let index = self.agent_index(&node.name);
        let state = member.state();
        let endpoint = member.endpoint.unwrap_or_default();
        let rack = self.rack_id(&endpoint.rack);
        let agent = &mut self.agents[index];
        let address_changed = agent.address != member.address;
        agent.incarnation = node.incarnation;
        agent.state = state;
        agent.zone = Name::from(member.zone);
        agent.rack = rack;
        agent.capacity = Capacity {
            slots: endpoint.slots,
            cores: endpoint.cores,
            memory: endpoint.memory_mb,
            accelerators: endpoint.accelerators,
            kinds: endpoint.kinds.into_iter().map(Name::from).collect(),
        };
        if state == NodeState::Gone {
            self.disconnect_gone(index);
        } else if address_changed || !agent.dialled {
            agent.dialled = true;
            agent.address.clone_from(&member.address);
            self.effects
                .push(Effect::Dial(agent_peer_name(&node.name), member.address));
        }
    }

    /// Stops connecting to an agent that is gone. An open link is kept: control does not hear the
    /// agent, but its tasks go on and their results arrive.
    fn disconnect_gone(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if agent.state == NodeState::Gone && agent.link.is_none() && agent.dialled {
            agent.dialled = false;
            let name = agent_peer_name(&agent.name);
            self.effects.push(Effect::Disconnect(name));
        }
    }

    fn rack_id(&mut self, name: &str) -> u32 {
        let next = self.racks.len() as u32;
        *self.racks.entry(Name::from(name)).or_insert(next)
    }

    fn agent_index(&mut self, name: &Name) -> usize {
        if let Some(index) = self.agent_names.get(name) {
            return *index;
        }
        let index = self.agents.len();
        self.agents.push(Agent {
            name: name.clone(),
            incarnation: 0,
            state: NodeState::Gone,
            zone: self.options.zone.clone(),
            rack: 0,
            address: String::new(),
            dialled: false,
            capacity: Capacity::default(),
            link: None,
            lost_at: None,
            leaving: false,
            load: Load::default(),
            load_delta: 0,
            in_flight: 0,
            mean_run: INITIAL_MEAN_RUN.as_secs_f64(),
            health: Health::default(),
            paused_until: None,
            stops: VecDeque::new(),
        });
        self.agent_names.insert(name.clone(), index);
        index
    }

    fn update_entry(&mut self, node: NodeRef, member: &Member) {
        if node.name == self.options.node.name {
            return;
        }
        let name = Name::from(format!("entry/{}", node.name));
        if member.state() == NodeState::Gone {
            if self.entries.remove(&node.name).is_some() {
                self.effects.push(Effect::Disconnect(name));
            }
            return;
        }
        let known = self.entries.get(&node.name);
        let address_changed = known.is_none_or(|(_, address)| *address != member.address);
        // One link serves both directions, so that only one side connects.
        if address_changed && node.name > self.options.node.name {
            self.effects
                .push(Effect::Dial(name, member.address.clone()));
        }
        let address = member.address.clone();
        self.entries.insert(node.name.clone(), (node, address));
    }

    pub(super) fn agent_link_up(&mut self, now: Instant, link: u64, peer: &Peer) {
        let index = self.agent_index(&peer.node.name);
        self.links.insert(link, LinkPeer::Agent(index));
        let agent = &mut self.agents[index];
        agent.link = Some((link, peer.node.incarnation));
        agent.lost_at = None;
        agent.leaving = false;
        if agent.incarnation < peer.node.incarnation {
            // No task is placed there until control lists the new incarnation.
            agent.load_delta = 0;
            agent.load = Load::default();
        }
        let incarnation = peer.node.incarnation;
        self.repeat_stops(now, index);
        for key in self.job_keys() {
            self.with_job(&key, |engine, job| {
                engine.agent_reconnected(now, job, index, incarnation);
            });
        }
        self.schedule_teams(now);
    }

    pub(super) fn agent_link_down(&mut self, now: Instant, index: usize, link: u64) {
        let agent = &mut self.agents[index];
        if agent.link.is_none_or(|(open, _)| open != link) {
            return;
        }
        agent.link = None;
        agent.lost_at = Some(now);
        agent.load_delta = 0;
        agent.load = Load::default();
        self.disconnect_gone(index);
        for key in self.job_keys() {
            self.with_job(&key, |engine, job| {
                engine.clear_reservations(job, index);
                engine.dispatch(now, job);
            });
        }
    }

    /// Returns the keys of all jobs, oldest first.
    pub(super) fn job_keys(&self) -> Vec<JobKey> {
        let by_id = self.jobs.iter().map(|(key, job)| (job.id, key));
        let mut keys: Vec<(u64, &JobKey)> = by_id.collect();
        keys.sort_unstable_by_key(|(id, _)| *id);
        keys.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Returns the open link to an agent.
    pub(super) fn agent_link(&self, agent: usize) -> Option<u64> {
        self.agents[agent].link.map(|(link, _)| link)
    }

    /// Returns the open link to the given incarnation of another entry.
    pub(super) fn entry_link(&self, node: &NodeRef) -> Option<u64> {
        let matches = |peer: &LinkPeer| matches!(peer, LinkPeer::Entry(n) if n == node);
        let found = self.links.iter().find(|(_, peer)| matches(peer));
        found.map(|(link, _)| *link)
    }

    /// Returns whether an agent can run a task of a job.
    pub(super) fn fits_task(&self, job: &Job, agent: usize, index: u32) -> bool {
        let input = &job.tasks[index as usize].input;
        let kind = &job.team.kinds[input.kind].name;
        self.agents[agent].capacity.fits(kind, &input.needs)
    }

    /// Returns whether an agent can run any unsent task of a job.
    pub(super) fn fits_any(&self, job: &Job, agent: usize) -> bool {
        let mut last = None;
        job.pending.iter().any(|index| {
            let input = &job.tasks[*index as usize].input;
            let class = (input.kind, input.needs);
            if last == Some(class) {
                return false;
            }
            last = Some(class);
            self.fits_task(job, agent, *index)
        })
    }

    /// Returns the agents that a job may use now, and their states for the placement policy.
    pub(super) fn candidates(&self, now: Instant, job: &Job) -> (Vec<usize>, Vec<Candidate>) {
        let first = job.pending.last();
        let kind = first.map(|i| &job.team.kinds[job.tasks[*i as usize].input.kind].name);
        let mut agents = Vec::with_capacity(job.allocs.len());
        let mut candidates = Vec::with_capacity(job.allocs.len());
        for alloc in &job.allocs {
            let agent = &self.agents[alloc.agent];
            let current = agent.incarnation == alloc.incarnation;
            let healthy = agent.health.status(now) == HealthStatus::Healthy;
            let paused = alloc.paused_until.is_some_and(|until| now < until);
            if paused
                || !current
                || !healthy
                || !agent.usable(now)
                || !self.fits_any(job, alloc.agent)
            {
                continue;
            }
            agents.push(alloc.agent);
            candidates.push(Candidate {
                slots: agent.capacity.slots,
                busy: agent.busy() + alloc.requested,
                slowness: kind.map_or(1.0, |k| self.run_times.slowness(alloc.agent, k)),
                mean_run_time: Duration::from_secs_f64(agent.mean_run.max(1e-6)),
                remote: agent.zone != self.options.zone,
                rack: agent.rack,
            });
        }
        (agents, candidates)
    }
}

fn agent_peer_name(name: &Name) -> Name {
    Name::from(format!("agent/{name}"))
}
