//! Entries, agents and endpoints in simulated time, with the checks that always hold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use sassafras_dispatch::Dispatcher;
use sassafras_dispatch::Effect;
use sassafras_dispatch::JobSpec;
use sassafras_dispatch::Outcome;
use sassafras_dispatch::Resources;
use sassafras_dispatch::Route;
use sassafras_dispatch::Runner;
use sassafras_dispatch::Site;
use sassafras_dispatch::Step;
use sassafras_dispatch::Submission;
use sassafras_dispatch::agent;
use sassafras_dispatch::agent::call::Call;
use sassafras_dispatch::agent::call::Response;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;

use crate::endpoint::Endpoint;

/// Time on the way between two processes.
const WAY: Duration = Duration::from_millis(1);
/// When an order that a endpoint did not answer is carried out.
const LATE: Duration = Duration::from_secs(3);

/// Part of a core that an entry may use unless a test says otherwise.
const PROCESSOR: f64 = 0.5;

fn site(processor: f64) -> Site {
    Site {
        zone: Name::from("z"),
        processor,
        remote: 1.5,
    }
}

#[derive(Debug)]
enum Event {
    ToAgent(usize, usize, Body),
    ToEntry(usize, usize, Body),
    Order(usize, Call),
    Silent(usize, u64),
    Answer(usize, u64, Response),
}

/// One entry. A frozen one handles nothing and keeps what arrives.
pub struct Entry {
    pub dispatcher: Dispatcher,
    pub frozen: bool,
    pub cut: bool,
    /// Messages of agents so far.
    pub heard: u32,
}

pub struct World {
    pub now: Instant,
    pub rng: SmallRng,
    pub entries: Vec<Entry>,
    pub agents: Vec<Option<Runner>>,
    pub endpoints: Vec<Endpoint>,
    pub answers: BTreeMap<u64, (Instant, Outcome)>,
    elapsed: Duration,
    events: BTreeMap<(Instant, u64), Event>,
    held: Vec<Event>,
    next: u64,
    tokens: u64,
    calls: FastSet<(usize, u64)>,
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

fn agent_ref(index: usize, incarnation: u64) -> NodeRef {
    NodeRef {
        name: Name::from(format!("a{index}")),
        incarnation,
    }
}

fn entry_ref(index: usize) -> NodeRef {
    NodeRef {
        name: Name::from(format!("e{index}")),
        incarnation: 1,
    }
}

impl World {
    /// Creates entries and endpoints with these factors on run times, all linked.
    pub fn new(seed: u64, entries: usize, slowness: &[f64]) -> Self {
        Self::with_processors(seed, &vec![PROCESSOR; entries], slowness)
    }

    /// Creates entries that may use these parts of a core, and endpoints, all linked.
    pub fn with_processors(seed: u64, processors: &[f64], slowness: &[f64]) -> Self {
        let now = Instant::now();
        let entry = |(i, processor): (usize, &f64)| Entry {
            dispatcher: Dispatcher::new(now, site(*processor), seed + i as u64, log()),
            frozen: false,
            cut: false,
            heard: 0,
        };
        let mut world = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            entries: processors.iter().enumerate().map(entry).collect(),
            agents: Vec::new(),
            endpoints: Vec::new(),
            answers: BTreeMap::new(),
            elapsed: Duration::ZERO,
            events: BTreeMap::new(),
            held: Vec::new(),
            next: 0,
            tokens: 1,
            calls: FastSet::default(),
        };
        for (index, factor) in slowness.iter().enumerate() {
            let name = format!("w{index}");
            world
                .endpoints
                .push(Endpoint::new(now, &name, 16_000, *factor));
            world.agents.push(None);
            world.start_agent(index);
        }
        world.run(Duration::from_millis(400));
        world
    }

    /// Starts the agent beside an endpoint, which announces itself to it.
    pub fn start_agent(&mut self, index: usize) {
        self.tokens += 1;
        let mut runner = Runner::new(self.now, self.tokens, log());
        runner.announce(self.now, self.endpoints[index].announced.clone());
        for entry in 0..self.entries.len() {
            runner.entry_up(self.now, entry_ref(entry));
        }
        self.agents[index] = Some(runner);
        let node = agent_ref(index, self.tokens);
        for entry in &mut self.entries {
            let zone = Name::from("z");
            entry.dispatcher.agent_up(self.now, node.clone(), zone);
        }
    }

    /// Ends an agent's process; its endpoint runs on.
    pub fn kill_agent(&mut self, index: usize) {
        self.agents[index] = None;
        let name = agent_ref(index, 0).name;
        for entry in &mut self.entries {
            entry.dispatcher.agent_down(self.now, &name);
        }
    }

    /// Announces an endpoint again, as it now describes itself.
    pub fn announce(&mut self, index: usize) {
        self.endpoints[index].announced.sequence += 1;
        let announced = self.endpoints[index].announced.clone();
        if let Some(runner) = &mut self.agents[index] {
            runner.announce(self.now, announced);
        }
    }

    /// Submits a job of one step; tasks need 1.6 cores and take `ms`, declared as `declared_ms`.
    pub fn submit(&mut self, entry: usize, job: u64, tasks: u32, ms: u64, declared_ms: u64) {
        self.submit_near(entry, job, tasks, ms, declared_ms, None);
    }

    /// Submits a job whose data is on this rack.
    pub fn submit_near(
        &mut self,
        entry: usize,
        job: u64,
        tasks: u32,
        ms: u64,
        declared_ms: u64,
        rack: Option<&str>,
    ) {
        let spec = JobSpec {
            id: Name::from(format!("{job:016x}")),
            payload: Arc::from(format!("1600 {ms}")),
            steps: vec![Step {
                tasks,
                needs: Resources {
                    cpu: 1_600,
                    memory_mb: 1,
                    accelerators: 0,
                },
                estimate: Duration::from_millis(declared_ms),
                depends_on: Vec::new(),
                label: None,
                rack: rack.map(Name::from),
                endpoint_limit: 0,
            }],
        };
        let submission = Submission {
            ticket: job,
            request: Name::from(format!("r{job}")),
            route: Route {
                name: Name::from("q"),
                pool: Name::from("pool"),
                priority: 1,
                max_attempts: 3,
                slack: 1.6,
                target: Duration::from_millis(60),
            },
            spec,
            timeout: Duration::from_secs(20),
        };
        self.entries[entry].dispatcher.submit(self.now, submission);
    }

    /// Lets time pass, a millisecond at a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(1);
            self.elapsed += Duration::from_millis(1);
            self.step();
            self.check();
        }
    }

    fn step(&mut self) {
        for index in 0..self.endpoints.len() {
            for (number, answer) in self.endpoints[index].tick(self.now) {
                self.later(WAY / 4, Event::Answer(index, number, answer));
            }
            // Announcements keep coming.
            if self.elapsed.as_millis().is_multiple_of(1_500) {
                self.announce(index);
            }
        }
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let event = entry.remove();
            self.handle(event);
        }
        for entry in self.entries.iter_mut().filter(|e| !e.frozen) {
            if self.now >= entry.dispatcher.deadline() {
                entry.dispatcher.tick(self.now);
            }
        }
        for runner in self.agents.iter_mut().flatten() {
            if self.now >= runner.deadline() {
                runner.tick(self.now);
            }
        }
        self.carry_out();
    }

    fn later(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToAgent(entry, agent, body) => {
                if let Some(runner) = &mut self.agents[agent] {
                    runner.receive(self.now, &entry_ref(entry).name, body);
                }
            }
            Event::ToEntry(entry, ..) if self.entries[entry].frozen => self.held.push(event),
            Event::ToEntry(entry, agent, body) => {
                let name = agent_ref(agent, 0).name;
                self.entries[entry].heard += 1;
                let dispatcher = &mut self.entries[entry].dispatcher;
                dispatcher.receive(self.now, &name, body);
            }
            Event::Order(index, call) => {
                let lost = self.rng.random_bool(self.endpoints[index].answers_lost);
                let answer = self.endpoints[index].order(self.now, &call);
                if let Some(answer) = answer.filter(|_| !lost) {
                    self.later(WAY / 4, Event::Answer(index, call.id, answer));
                }
            }
            Event::Silent(index, number) => self.answer(index, number, Response::Failed),
            Event::Answer(index, number, answer) => self.answer(index, number, answer),
        }
    }

    /// Passes the first answer to a call on.
    fn answer(&mut self, index: usize, number: u64, answer: Response) {
        let open = self.calls.remove(&(index, number));
        if let Some(runner) = self.agents[index].as_mut().filter(|_| open) {
            runner.answered(self.now, number, answer);
        }
    }

    fn carry_out(&mut self) {
        for index in 0..self.entries.len() {
            if self.entries[index].frozen {
                continue;
            }
            for effect in self.entries[index].dispatcher.effects() {
                match effect {
                    Effect::Send(name, body) => {
                        let agent = name[1..].parse().unwrap();
                        if !self.entries[index].cut {
                            self.later(WAY, Event::ToAgent(index, agent, body));
                        }
                    }
                    Effect::Answer(ticket, outcome) => {
                        self.answers.insert(ticket, (self.now, outcome));
                    }
                    Effect::Reopen(_) => {}
                }
            }
        }
        for index in 0..self.agents.len() {
            let Some(runner) = &mut self.agents[index] else {
                continue;
            };
            for effect in runner.effects() {
                match effect {
                    agent::Effect::Send(name, body) => {
                        let entry: usize = name[1..].parse().unwrap();
                        if !self.entries[entry].cut {
                            self.later(WAY, Event::ToEntry(entry, index, body));
                        }
                    }
                    agent::Effect::Call(call) => self.place(index, call),
                }
            }
        }
    }

    fn place(&mut self, index: usize, call: Call) {
        self.calls.insert((index, call.id));
        let (number, limit) = (call.id, call.timeout);
        let lost = self.rng.random_bool(self.endpoints[index].unanswered);
        let after = if lost { LATE } else { WAY / 4 };
        self.later(after, Event::Order(index, call));
        self.later(limit, Event::Silent(index, number));
    }

    /// Lets a frozen entry go on, with all that it missed.
    pub fn thaw(&mut self, index: usize) {
        self.entries[index].frozen = false;
        for event in std::mem::take(&mut self.held) {
            self.later(Duration::ZERO, event);
        }
    }

    /// Returns how many runs of a job there are at all endpoints.
    pub fn runs_of(&self, job: u64) -> usize {
        let prefix = format!("{job:016x}.");
        let works = self.endpoints.iter().flat_map(|e| &e.running);
        works.filter(|w| w.task.starts_with(&prefix)).count()
    }

    /// Checks that no endpoint is over its room and no task runs twice at a time.
    fn check(&self) {
        let mut tasks = BTreeMap::<&str, u32>::new();
        for endpoint in &self.endpoints {
            let used: u32 = endpoint.running.iter().map(|w| w.cpu).sum();
            assert!(
                used <= endpoint.announced.capacity.cpu,
                "{} runs {used}",
                endpoint.announced.id
            );
            for work in &endpoint.running {
                *tasks.entry(&work.task).or_default() += 1;
            }
        }
        for (task, runs) in tasks {
            assert!(runs <= 1, "{task} runs {runs} times");
        }
    }

    /// Returns the answered jobs by outcome.
    pub fn completed(&self) -> usize {
        let outcomes = self.answers.values().map(|(_, o)| o);
        outcomes.filter(|o| **o == Outcome::Completed).count()
    }
}
