//! One job, from its admission to its answer.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use sassafras_config::Team;
use sassafras_util::Digest;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Outcome;

use crate::body::TaskInput;
use crate::engine::Caller;
use crate::response::Rejection;
use crate::response::Response;

/// Someone who waits for the answer of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub caller: Caller,
    pub until: Instant,
}

/// Where a task stands.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    /// Not sent, or certainly not run by the attempts so far.
    Pending,
    /// Sent to the agent with this position; its end is not known yet.
    Sent(usize),
    Done(Bytes),
    /// Ended without a result, for good.
    Failed,
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub input: TaskInput,
    pub state: TaskState,
    /// Number of the last attempt; the first is 1.
    pub attempt: u32,
    /// Attempts that ran and brought no result.
    pub failed_attempts: u32,
    /// Whether the attempt was started by an earlier owner of the job.
    pub adopted: bool,
    /// The agent of the last attempt that brought no result.
    pub avoid: Option<usize>,
}

/// What the job has at one agent.
#[derive(Clone, Debug)]
pub(super) struct Allocation {
    pub agent: usize,
    /// The agent as the claim lists it.
    pub incarnation: u64,
    /// Slots asked for and not granted yet.
    pub requested: u32,
    /// Slots granted and not used yet.
    pub granted: u32,
    pub in_flight: u32,
    /// Nothing is asked for there before this time, after granted slots were given back.
    pub paused_until: Option<Instant>,
    /// When to ask again about tasks that the agent had not seen after a reconnect.
    pub recheck_at: Option<Instant>,
    /// Whether a reconnect fence is out.
    pub reconciled: bool,
}

/// A fence at one agent of an earlier owner's claim.
#[derive(Clone, Debug)]
pub(super) struct AgentFence {
    pub node: NodeRef,
    pub state: FenceState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FenceState {
    /// No reply yet.
    Pending,
    /// Replied with its whole record.
    Complete,
    /// The agent is gone, or has lost its record.
    Gone,
    /// The agent cannot be reached; what it runs is not known.
    Unreachable,
}

#[derive(Debug)]
pub(super) enum Phase {
    /// Waits for a share of the quota; control knows nothing of the job.
    Queued,
    /// The job is refused here; control is asked whether it was claimed before, which decides
    /// what the refusal says.
    Checking {
        request: u64,
        rejection: Rejection,
    },
    /// A claim is on its way.
    Claiming {
        request: u64,
    },
    /// The agents of an earlier owner are being fenced.
    Fencing {
        agents: Vec<AgentFence>,
        since: Instant,
    },
    Running,
    /// The outcome is decided and goes to control.
    Finishing {
        request: u64,
        outcome: Outcome,
        response: Response,
        reason: &'static str,
    },
    /// Another entry owns the job.
    Remote {
        owner: NodeRef,
        /// The link and number of a request to the owner, while one is out.
        attach: Option<(u64, u64)>,
        retry: Instant,
    },
    /// The job is complete on record and its results are fetched from the agents.
    Gathering {
        agents: Vec<AgentFence>,
        since: Instant,
    },
}

#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other and of the phase"
)]
pub(super) struct Job {
    pub key: JobKey,
    /// Number of the job in this process.
    pub id: u64,
    pub digest: Digest,
    pub team: Arc<Team>,
    pub phase: Phase,
    pub epoch: u64,
    pub claimed_ms: u64,
    pub tasks: Vec<Task>,
    /// Tasks to send, the longest last.
    pub pending: Vec<u32>,
    pub unfinished: usize,
    pub allocations: Vec<Allocation>,
    /// Tasks sent that may run or have run.
    pub started: u32,
    pub in_flight: u32,
    /// The first two agents at which tasks of the job succeeded.
    pub success_agents: [Option<usize>; 2],
    /// Agents that lost attempts of the job.
    pub lost_agents: Vec<usize>,
    pub deadline: Instant,
    /// Nothing is placed before this time, after a refusal.
    pub paused_until: Option<Instant>,
    pub waiters: Vec<Waiter>,
    pub cancelled: bool,
    /// Whether the owner of the complete job was asked for its answer.
    pub asked_owner: bool,
    /// When slots that are free elsewhere were last asked for.
    pub idle_reserved: Option<Instant>,
    /// Whether an `Extend` is on its way.
    pub extending: bool,
    /// Whether the job is listed among those that wait for quota.
    pub awaiting_quota: bool,
    /// Whether nothing of the job can have run under an earlier claim.
    pub first_claim: bool,
    /// The epoch that the last claim replaces; 0 for a first claim.
    pub takeover: u64,
    /// Whether the job has left the map of jobs.
    pub ended: bool,
    pub submitted: Instant,
    /// Expected response time in an idle fleet, as known when slots were first asked for.
    pub ideal_time: Option<Duration>,
}

/// A job that has an answer.
#[derive(Debug)]
pub(super) struct FinishedJob {
    pub id: u64,
    pub digest: Digest,
    pub response: Response,
}

impl Job {
    /// Returns what the job has at an agent, with a new record when there is none.
    pub fn allocation(&mut self, agent: usize, incarnation: u64) -> &mut Allocation {
        let position = self.allocations.iter().position(|a| a.agent == agent);
        let index = position.unwrap_or_else(|| {
            self.allocations.push(Allocation {
                agent,
                incarnation,
                requested: 0,
                granted: 0,
                in_flight: 0,
                paused_until: None,
                recheck_at: None,
                reconciled: false,
            });
            self.allocations.len() - 1
        });
        &mut self.allocations[index]
    }

    pub fn find_allocation(&mut self, agent: usize) -> Option<&mut Allocation> {
        self.allocations.iter_mut().find(|a| a.agent == agent)
    }

    pub fn record_success(&mut self, agent: usize) {
        match self.success_agents {
            [None, _] => self.success_agents[0] = Some(agent),
            [Some(first), None] if first != agent => self.success_agents[1] = Some(agent),
            _ => {}
        }
    }

    pub fn succeeded_elsewhere(&self, agent: usize) -> bool {
        self.success_agents.iter().flatten().any(|a| *a != agent)
    }

    /// Returns the slots that were asked for and not used yet.
    pub fn outstanding(&self) -> u32 {
        self.allocations
            .iter()
            .map(|a| a.requested + a.granted)
            .sum()
    }

    /// Returns the first deadline of the tasks that have not ended.
    pub fn next_deadline(&self) -> Option<Instant> {
        let open = self
            .tasks
            .iter()
            .filter(|t| !matches!(t.state, TaskState::Done(_)));
        open.map(|t| self.submitted + t.input.deadline).min()
    }

    pub fn add_waiter(&mut self, caller: Caller, until: Instant) {
        self.waiters.push(Waiter { caller, until });
    }

    /// Sorts the tasks to send by their expected run time.
    pub fn sort_pending(&mut self, estimate: impl Fn(&Task) -> Duration) {
        let tasks = &self.tasks;
        self.pending
            .sort_by_key(|index| estimate(&tasks[*index as usize]));
    }

    pub fn results(&self) -> impl Iterator<Item = &Bytes> + Clone {
        self.tasks.iter().filter_map(|t| match &t.state {
            TaskState::Done(payload) => Some(payload),
            _ => None,
        })
    }
}
