//! Losses of links and processes.

use rand::RngExt as _;

use sassafras_agent as agent;

use crate::simulation::world::AGENTS;
use crate::simulation::world::ENTRIES;
use crate::simulation::world::End;
use crate::simulation::world::Ev;
use crate::simulation::world::Fault;
use crate::simulation::world::MS;
use crate::simulation::world::World;
use crate::simulation::world::new_entry;

impl World {
    /// Breaks a link: each side notices after a time of its own, and a new link may be up
    /// before the other side has read what was sent on the old one.
    fn break_link(&mut self, e: usize, link: u64, end: End) {
        let here = self.rng.random_range(0..3000) * MS;
        let there = self.rng.random_range(0..3000) * MS;
        self.later(here, Ev::EntryDown(e, link));
        match end {
            End::Agent(a) => {
                self.broken.insert(link, self.us + there);
                self.later(there, Ev::AgentDown(a, link));
            }
            End::Entry(o) => self.later(there, Ev::EntryDown(o, link)),
        }
        let again = here.max(if matches!(end, End::Entry(_)) {
            there
        } else {
            0
        });
        let pause = self.rng.random_range(50..2000) * MS;
        self.later(again + pause, Ev::Connect(e, end));
    }

    pub fn fault(&mut self, fault: Fault) {
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
                    self.later(pause, Ev::Resume(e));
                }
            }
            Fault::Agent => self.kill_agent(),
        }
    }

    fn kill_entry(&mut self, e: usize) {
        let incarnation = self.entries[e].incarnation + 1;
        let links = std::mem::take(&mut self.entries[e].links);
        for (link, end) in links {
            let there = self.rng.random_range(0..3000) * MS;
            let again = self.rng.random_range(1000..9000) * MS;
            match end {
                End::Agent(a) => self.later(there, Ev::AgentDown(a, link)),
                End::Entry(o) => self.later(there, Ev::EntryDown(o, link)),
            }
            self.later(there.max(again), Ev::Connect(e, end));
        }
        // Ticks that are held must not get lost with the process.
        let held = std::mem::take(&mut self.entries[e].held);
        for ev in held.into_iter().filter(|ev| matches!(ev, Ev::EntryTick(_))) {
            self.later(0, ev);
        }
        self.entries[e].engine = new_entry(self.now(), e, incarnation, self.faults.placement);
        self.entries[e].incarnation = incarnation;
        self.list_entry(e);
        // Callers see their connections break and ask elsewhere.
        for number in 0..self.jobs.len() {
            let job = &mut self.jobs[number];
            if job.waiting.is_some_and(|(_, at)| at == e) {
                job.waiting = None;
                job.doubt = true;
                let pause = self.rng.random_range(10..1000) * MS;
                self.later(pause, Ev::Submit(number as u64, (e + 1) % ENTRIES));
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
                .filter(|(_, end)| **end == End::Agent(a))
                .map(|(link, _)| *link)
                .collect();
            for link in links {
                self.later(MS, Ev::EntryDown(e, link));
                self.queue.retain(
                    |_, ev| !matches!(ev, Ev::ToAgent(_, l, _) | Ev::AgentUp(_, l) if *l == link),
                );
            }
            let again = self.rng.random_range(500..9000) * MS;
            self.later(again, Ev::Connect(e, End::Agent(a)));
        }
    }
}
