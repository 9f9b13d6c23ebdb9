//! An entry's engine with scripted agents and control group.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use sassafras_entry::Caller;
use sassafras_entry::Effect;
use sassafras_entry::Engine;
use sassafras_entry::Event;
use sassafras_entry::JobRequest;
use sassafras_entry::Options;
use sassafras_runtime::Peer;
use sassafras_util::Digest;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::ClaimReply;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::JobReport;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Report;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;
use sassafras_wire::proto::claim_reply::Kind;

const TOKEN: &str = "secret";
const SLOTS: u32 = 4;
/// Longest wait of a helper for an effect, in ticks.
const MAX_TICKS: u32 = 1000;

/// Most jobs that it takes to eject an agent.
const MAX_JOBS: u32 = 50;

/// A task that the engine sent to an agent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub agent: String,
    pub index: u32,
    pub attempt: u64,
}

struct Agent {
    name: String,
    incarnation: u64,
    link: Option<u64>,
}

pub struct Harness {
    pub engine: Engine,
    pub now: Instant,
    /// Frames sent and not taken yet, by the name of the agent.
    pub frames: Vec<(String, Body)>,
    /// Requests to control that are not answered yet.
    pub requests: Vec<(u64, Body)>,
    /// Tasks sent and not taken yet.
    runs: VecDeque<Sent>,
    /// Bodies of the responses to callers.
    pub responses: Vec<String>,
    /// Names of the peers to which the engine keeps connections.
    pub dialled: Vec<String>,
    agents: Vec<Agent>,
    members_version: u64,
    next_link: u64,
}

pub fn report(index: u32, attempt: u64, status: TaskStatus) -> TaskReport {
    TaskReport {
        index,
        attempt,
        status: status.into(),
        ..TaskReport::default()
    }
}

fn node(name: &str, incarnation: u64) -> NodeRef {
    NodeRef {
        name: Name::from(name),
        incarnation,
    }
}

fn key(job: &str) -> JobKey {
    JobKey {
        team: Name::from("shop"),
        job: Name::from(job),
    }
}

fn team() -> String {
    let token = Digest::of(TOKEN.as_bytes());
    format!(
        "[team]\nname = shop\ntoken_sha256 = {token}\nweight = 1\nquota_slots = 32\n\
         quota_per_second = 1000\nmax_tasks = 100\ndeadline_ms = 60000\nobjective = response\n\
         [kind again]\nrun_ms = 50\nrepeatable = true\ncores = 0\nmemory_mb = 0\naccelerators = 0\n"
    )
}

impl Harness {
    /// Creates an entry with a lease, a configuration and links to the agents.
    pub fn ready(agents: &[(&str, u64)]) -> Self {
        let now = Instant::now();
        let options = Options::new(node("e1", 1), Name::from("z"));
        let mut harness = Self {
            engine: Engine::new(now, options),
            now,
            frames: Vec::new(),
            requests: Vec::new(),
            runs: VecDeque::new(),
            responses: Vec::new(),
            dialled: Vec::new(),
            agents: Vec::new(),
            members_version: 1,
            next_link: 0,
        };
        for (name, incarnation) in agents {
            harness.agents.push(Agent {
                name: (*name).to_owned(),
                incarnation: *incarnation,
                link: None,
            });
        }
        harness.tick();
        for (name, _) in agents {
            harness.link_up(name);
        }
        // The team's start rate fills up from zero.
        harness.advance(Duration::from_secs(1));
        harness
    }

    pub fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.engine.handle(self.now, event) {
                match effect {
                    Effect::ControlRequest {
                        id,
                        body: Body::Heartbeat(heartbeat),
                        ..
                    } => {
                        let reply = Body::HeartbeatReply(self.heartbeat_reply(&heartbeat));
                        events.push(Event::ControlReply(id, Ok(reply)));
                    }
                    Effect::ControlRequest { id, body, .. } => self.requests.push((id, body)),
                    Effect::Send(link, Frame { body, .. }) => {
                        let agent = self.agents.iter().find(|a| a.link == Some(link));
                        let agent = agent.expect("a frame on an open link");
                        let body = body.expect("a frame with a body");
                        self.frames.push((agent.name.clone(), body));
                    }
                    Effect::Dial(name, _) => {
                        self.dialled.retain(|n| *n != *name);
                        self.dialled.push(name.to_string());
                    }
                    Effect::Disconnect(name) => {
                        self.dialled.retain(|n| *n != *name);
                        let mut agents = self.agents.iter_mut();
                        let agent = agents.find(|a| *name == *format!("agent/{}", a.name));
                        let link = agent.and_then(|a| a.link.take());
                        events.extend(link.map(Event::LinkDown));
                    }
                    Effect::Respond(_, response) => {
                        let text = String::from_utf8_lossy(&response.body);
                        self.responses.push(text.into_owned());
                    }
                }
            }
        }
    }

    pub fn tick(&mut self) {
        self.handle(Event::Tick);
    }

    /// Lets time pass, with a tick at each interval.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Engine::TICK_INTERVAL;
            self.tick();
        }
    }

    pub fn link_up(&mut self, name: &str) {
        self.next_link += 1;
        let link = self.next_link;
        let agent = self.agent(name);
        agent.link = Some(link);
        let peer = Peer {
            node: node(name, agent.incarnation),
            role: Role::Agent,
            zone: Name::from("z"),
            addr: ([127, 0, 0, 1], 1).into(),
        };
        self.handle(Event::LinkUp(link, peer));
    }

    pub fn link_down(&mut self, name: &str) {
        let link = self.agent(name).link.take().expect("an open link");
        self.handle(Event::LinkDown(link));
    }

    /// Submits a job of `tasks` tasks.
    pub fn submit(&mut self, job: &str, tasks: usize, repeatable: bool) {
        let task = format!(r#"{{"payload":1,"repeatable":{repeatable}}}"#);
        self.submit_tasks(job, &vec![task.as_str(); tasks]);
    }

    /// Submits a job of these tasks.
    pub fn submit_tasks(&mut self, job: &str, tasks: &[&str]) {
        let body = format!(r#"{{"tasks":[{}]}}"#, tasks.join(","));
        self.handle(Event::Submit(Self::request(job, body.into())));
    }

    pub fn cancel(&mut self, job: &str) {
        self.handle(Event::Cancel(Self::request(job, Bytes::new())));
    }

    fn request(job: &str, body: Bytes) -> JobRequest {
        JobRequest {
            caller: Caller::Http(1),
            key: key(job),
            token: Digest::of(TOKEN.as_bytes()),
            body,
            wait: Duration::from_secs(60),
        }
    }

    /// Takes the oldest request to control that is not answered.
    pub fn take_request(&mut self) -> (u64, Body) {
        assert!(!self.requests.is_empty(), "no request to control");
        self.requests.remove(0)
    }

    fn take_claim(&mut self) -> (u64, proto::Claim) {
        match self.take_request() {
            (id, Body::Claim(claim)) => (id, claim),
            other => panic!("no claim but {other:?}"),
        }
    }

    /// Takes the request that records a job's outcome.
    pub fn take_finish(&mut self) -> proto::Finish {
        match self.take_request() {
            (_, Body::Finish(finish)) => finish,
            other => panic!("no outcome but {other:?}"),
        }
    }

    /// Takes the requests to control up to the one that records a job's outcome.
    pub fn find_finish(&mut self) -> proto::Finish {
        loop {
            if let (_, Body::Finish(finish)) = self.take_request() {
                return finish;
            }
        }
    }

    pub fn reply(&mut self, id: u64, body: Body) {
        self.handle(Event::ControlReply(id, Ok(body)));
    }

    /// Grants the first claim of a job.
    pub fn grant_claim(&mut self, epoch: u64) {
        let (id, claim) = self.take_claim();
        let reply = ClaimReply {
            kind: Kind::Granted.into(),
            epoch,
            owner: claim.owner,
            agents: claim.agents,
            ..ClaimReply::default()
        };
        self.reply(id, Body::ClaimReply(reply));
    }

    /// Lets this entry take over a job from another one that is gone.
    pub fn take_over(&mut self, epoch: u64, agents: &[(&str, u64)]) {
        let (id, _) = self.take_claim();
        let agents = agents.iter().map(|(n, i)| (&node(n, *i)).into()).collect();
        let owned = ClaimReply {
            kind: Kind::Owned.into(),
            epoch: epoch - 1,
            owner: Some((&node("e2", 1)).into()),
            agents,
            ..ClaimReply::default()
        };
        self.reply(id, Body::ClaimReply(owned.clone()));
        let (id, claim) = self.take_claim();
        assert_eq!(claim.takeover, epoch - 1);
        let granted = ClaimReply {
            kind: Kind::Granted.into(),
            epoch,
            owner: claim.owner,
            ..owned
        };
        self.reply(id, Body::ClaimReply(granted));
    }

    /// Tells this entry that a job is complete, under an owner that is gone.
    pub fn find_complete(&mut self, epoch: u64, agents: &[(&str, u64)]) {
        let (id, _) = self.take_claim();
        let agents = agents.iter().map(|(n, i)| (&node(n, *i)).into()).collect();
        let finished = ClaimReply {
            kind: Kind::Finished.into(),
            epoch,
            owner: Some((&node("e2", 1)).into()),
            agents,
            outcome: proto::Outcome::Complete.into(),
            ..ClaimReply::default()
        };
        self.reply(id, Body::ClaimReply(finished));
    }

    /// Delivers a complete reply of an agent to a fence.
    pub fn fence_reply(&mut self, agent: &str, job: &str, epoch: u64, tasks: Vec<TaskReport>) {
        let incarnation = self.agent(agent).incarnation;
        let reply = proto::FenceReply {
            key: Some((&key(job)).into()),
            epoch,
            incarnation,
            tasks,
            complete: true,
        };
        self.frame(agent, Body::FenceReply(reply));
    }

    /// Delivers an agent's report on one task.
    pub fn report(&mut self, agent: &str, job: &str, epoch: u64, task: TaskReport) {
        let job = JobReport {
            key: Some((&key(job)).into()),
            epoch,
            tasks: vec![task],
            granted: 0,
        };
        self.send_report(agent, job);
    }

    fn send_report(&mut self, agent: &str, job: JobReport) {
        let incarnation = self.agent(agent).incarnation;
        let report = Report {
            jobs: vec![job],
            incarnation,
            ..Report::default()
        };
        self.frame(agent, Body::Report(report));
    }

    fn frame(&mut self, agent: &str, body: Body) {
        let link = self.agent(agent).link.expect("an open link");
        let frame = Frame {
            request: 0,
            reply: false,
            body: Some(body),
        };
        self.handle(Event::Frame(link, frame));
    }

    /// Grants slots of an agent to a job.
    pub fn grant(&mut self, agent: &str, job: &str, count: u32) {
        let granted = JobReport {
            key: Some((&key(job)).into()),
            granted: count,
            ..JobReport::default()
        };
        self.send_report(agent, granted);
    }

    /// Grants the slots that the engine requests for a job, until it sends a task.
    pub fn next_run(&mut self, job: &str) -> Sent {
        for _ in 0..MAX_TICKS {
            for (agent, body) in std::mem::take(&mut self.frames) {
                match body {
                    Body::Reserve(reserve) => self.grant(&agent, job, reserve.count),
                    body => self.frames.push((agent, body)),
                }
            }
            if self.frames.iter().any(|(_, f)| matches!(f, Body::Run(_))) || !self.runs.is_empty() {
                return self.next_sent();
            }
            self.now += Engine::TICK_INTERVAL;
            self.tick();
        }
        panic!("no task was sent");
    }

    /// Takes the oldest task that the engine has sent.
    pub fn next_sent(&mut self) -> Sent {
        for (agent, body) in std::mem::take(&mut self.frames) {
            match body {
                Body::Run(run) => self.runs.extend(run.tasks.iter().map(|task| Sent {
                    agent: agent.clone(),
                    index: task.index,
                    attempt: task.attempt,
                })),
                body => self.frames.push((agent, body)),
            }
        }
        self.runs.pop_front().expect("a task was sent")
    }

    /// Returns the number of slots that the engine requested and nobody granted.
    pub fn requested_slots(&self) -> u32 {
        let count = |(_, body): &(String, Body)| match body {
            Body::Reserve(reserve) => reserve.count,
            _ => 0,
        };
        self.frames.iter().map(count).sum()
    }

    /// Fails the tasks of some jobs at one agent, which other agents complete, until that agent is
    /// due for a probe. Returns its name.
    pub fn eject_agent(&mut self) -> String {
        let mut suspect = None;
        let mut failures = 0;
        for number in 0..MAX_JOBS {
            let job = format!("eject-{number}");
            self.submit(&job, 1, true);
            self.grant_claim(1);
            let mut status = TaskStatus::Errored;
            while status == TaskStatus::Errored {
                let sent = self.next_run(&job);
                if *suspect.get_or_insert_with(|| sent.agent.clone()) == sent.agent {
                    failures += 1;
                } else {
                    status = TaskStatus::Done;
                }
                self.report(&sent.agent, &job, 1, report(0, sent.attempt, status));
            }
            self.take_finish();
            self.frames.clear();
            // The first failure does not count, because nothing has succeeded elsewhere.
            if failures > 3 {
                break;
            }
        }
        self.advance(Duration::from_secs(1));
        suspect.expect("a first agent")
    }

    /// Takes the stops sent to an agent and returns their number.
    pub fn take_stops(&mut self, agent: &str) -> u32 {
        let is_stop =
            |(to, body): &(String, Body)| to == agent && matches!(body, Body::CancelJob(_));
        let stops = self.frames.iter().filter(|f| is_stop(f)).count();
        self.frames.retain(|f| !is_stop(f));
        stops as u32
    }

    /// Replaces an agent's process, and lists the new one.
    pub fn restart(&mut self, name: &str) {
        self.agent(name).incarnation += 1;
        self.list_agent(name, NodeState::Active);
    }

    /// Lists an agent in a state.
    pub fn list_agent(&mut self, name: &str, state: NodeState) {
        let mut listed = member(self.agent(name));
        listed.set_state(state);
        self.members_version += 1;
        let delta = proto::MembersDelta {
            from: self.members_version - 1,
            to: self.members_version,
            members: vec![listed],
        };
        let push = proto::Push {
            members: Some(delta),
            ..proto::Push::default()
        };
        self.handle(Event::Push(push));
    }

    fn agent(&mut self, name: &str) -> &mut Agent {
        let found = self.agents.iter_mut().find(|a| a.name == name);
        found.expect("a known agent")
    }

    fn heartbeat_reply(&self, heartbeat: &proto::Heartbeat) -> proto::HeartbeatReply {
        let item = proto::ConfigItem {
            name: "team/shop".to_owned(),
            text: team(),
            version: 1,
        };
        let config = proto::ConfigDelta {
            from: 0,
            to: 1,
            upserts: vec![item],
            removals: Vec::new(),
        };
        let members = proto::MembersDelta {
            from: 0,
            to: self.members_version,
            members: self.agents.iter().map(member).collect(),
        };
        let share = |demand: &proto::ShareDemand| proto::Share {
            team: demand.team.clone(),
            slots: 16,
            per_second: 1000,
        };
        proto::HeartbeatReply {
            lease_ms: 2500,
            config: (heartbeat.config_version < 1).then_some(config),
            members: (heartbeat.members_version < 1).then_some(members),
            shares: heartbeat.demand.iter().map(share).collect(),
            config_version: 1,
            state: NodeState::Active.into(),
            ..proto::HeartbeatReply::default()
        }
    }
}

fn member(agent: &Agent) -> Member {
    Member {
        node: Some((&node(&agent.name, agent.incarnation)).into()),
        role: Role::Agent.into(),
        zone: "z".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        state: NodeState::Active.into(),
        endpoint: Some(proto::EndpointInfo {
            slots: SLOTS,
            ..proto::EndpointInfo::default()
        }),
        version: 0,
    }
}
