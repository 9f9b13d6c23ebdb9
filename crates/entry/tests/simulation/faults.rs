//! Injected faults: lost links, and killed and paused processes.

use rand::RngExt as _;

use sassafras_agent as agent;

use crate::simulation::world::AGENTS;
use crate::simulation::world::ENTRIES;
use crate::simulation::world::Fault;
use crate::simulation::world::LinkEnd;
use crate::simulation::world::MS;
use crate::simulation::world::SimEvent;
use crate::simulation::world::World;
use crate::simulation::world::new_entry;

impl World {
    /// Breaks a link. Each side detects the loss after a random delay of its own, so that a new
    /// link may be up before the other side has read the frames of the old one.
    fn break_link(&mut self, e: usize, link: u64, end: LinkEnd) {
        let local_delay = self.rng.random_range(0..3000) * MS;
        let remote_delay = self.rng.random_range(0..3000) * MS;
        self.schedule(local_delay, SimEvent::EntryLinkDown(e, link));
        match end {
            LinkEnd::Agent(a) => {
                self.closing.insert(link, self.now_us + remote_delay);
                self.schedule(remote_delay, SimEvent::AgentLinkDown(a, link));
            }
            LinkEnd::Entry(o) => self.schedule(remote_delay, SimEvent::EntryLinkDown(o, link)),
        }
        let closed = local_delay.max(if matches!(end, LinkEnd::Entry(_)) {
            remote_delay
        } else {
            0
        });
        let pause = self.rng.random_range(50..2000) * MS;
        self.schedule(closed + pause, SimEvent::Connect(e, end));
    }

    pub fn inject(&mut self, fault: Fault) {
        let e = self.rng.random_range(0..ENTRIES);
        match fault {
            Fault::Link => {
                let links: Vec<_> = self.entries[e].links.clone().into_iter().collect();
                if !links.is_empty() {
                    let (link, end) = links[self.rng.random_range(0..links.len())];
                    self.break_link(e, link, end);
                }
            }
            Fault::Entry => self.kill_entry(e),
            Fault::Pause => {
                if !self.entries[e].paused {
                    self.entries[e].paused = true;
                    let pause = self.rng.random_range(500..8000) * MS;
                    self.schedule(pause, SimEvent::Resume(e));
                }
            }
            Fault::Agent => self.kill_agent(),
        }
    }

    fn kill_entry(&mut self, e: usize) {
        let incarnation = self.entries[e].incarnation + 1;
        let links = std::mem::take(&mut self.entries[e].links);
        for (link, end) in links {
            let remote_delay = self.rng.random_range(0..3000) * MS;
            let restart_delay = self.rng.random_range(1000..9000) * MS;
            match end {
                LinkEnd::Agent(a) => self.schedule(remote_delay, SimEvent::AgentLinkDown(a, link)),
                LinkEnd::Entry(o) => self.schedule(remote_delay, SimEvent::EntryLinkDown(o, link)),
            }
            self.schedule(remote_delay.max(restart_delay), SimEvent::Connect(e, end));
        }
        // Deferred ticks must survive the process, because each tick schedules the next one.
        let deferred = std::mem::take(&mut self.entries[e].deferred);
        for ev in deferred
            .into_iter()
            .filter(|ev| matches!(ev, SimEvent::EntryTick(_)))
        {
            self.schedule(0, ev);
        }
        self.entries[e].engine = new_entry(self.now(), e, incarnation, self.faults.placement);
        self.entries[e].incarnation = incarnation;
        self.list_entry(e);
        // The connections of callers break, and they repeat their requests at the next entry.
        for number in 0..self.jobs.len() {
            let job = &mut self.jobs[number];
            if job.pending_call.is_some_and(|(_, at)| at == e) {
                job.pending_call = None;
                job.maybe_accepted = true;
                let pause = self.rng.random_range(10..1000) * MS;
                self.schedule(pause, SimEvent::Submit(number as u64, (e + 1) % ENTRIES));
            }
        }
    }

    fn kill_agent(&mut self) {
        let a = self.rng.random_range(0..AGENTS);
        let agent = &mut self.agents[a];
        agent.incarnation += 1;
        agent.engine = agent::Engine::new(agent.incarnation, agent::Options::default());
        agent.running.clear();
        self.list_agent(a);
        for e in 0..ENTRIES {
            let links: Vec<u64> = self.entries[e]
                .links
                .iter()
                .filter(|(_, end)| **end == LinkEnd::Agent(a))
                .map(|(link, _)| *link)
                .collect();
            for link in links {
                self.schedule(MS, SimEvent::EntryLinkDown(e, link));
                self.queue.retain(|_, ev| {
                    !matches!(
                        ev,
                        SimEvent::ToAgent(_, l, _) | SimEvent::AgentLinkUp(_, l) if *l == link
                    )
                });
            }
            let restart_delay = self.rng.random_range(500..9000) * MS;
            self.schedule(restart_delay, SimEvent::Connect(e, LinkEnd::Agent(a)));
        }
    }
}
