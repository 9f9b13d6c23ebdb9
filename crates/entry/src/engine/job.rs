//! State of a job, from its submission to its outcome.

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

/// A caller that waits for the response of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub caller: Caller,
    pub until: Instant,
    /// Whether the caller stated the job's body, and not only its name.
    pub has_body: bool,
}

/// State of a task.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    /// To be sent: for the first time, after an attempt that did not run, or as a retry.
    Pending,
    /// Sent to the agent with this index; the outcome of the attempt is unknown. After a takeover
    /// another agent may have recorded a later attempt.
    Sent {
        agent: usize,
        attempt: u64,
        /// The link on which it was sent, or on which the agent reported it.
        link: u64,
    },
    /// Ended with a result.
    Done(Bytes),
    /// Without a result, for this reason. Final, except while fences are outstanding: a task found
    /// failed or lost then may be retried.
    Failed(&'static str),
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub input: TaskInput,
    pub state: TaskState,
    /// Highest number of an attempt so far; the first is 1.
    pub attempt: u64,
    /// Number of attempts that may have run and returned no result.
    pub failed_attempts: u32,
    /// Whether an earlier owner of the job started the attempt.
    pub adopted: bool,
    /// Agent of the last attempt without a result.
    pub avoid: Option<usize>,
}

/// Slots and tasks of a job at one agent.
#[derive(Clone, Debug)]
pub(super) struct Allocation {
    pub agent: usize,
    /// Incarnation of the agent that the claim lists.
    pub incarnation: u64,
    /// Slots requested and not granted yet.
    pub requested: u32,
    /// Slots granted and not used yet.
    pub granted: u32,
    pub in_flight: u32,
    /// Whether attempts that do not count as in flight may still run there.
    pub unsettled: bool,
    /// No slots are requested before this time, after granted slots were returned.
    pub paused_until: Option<Instant>,
    /// When to fence the agent again because it had not received some tasks by the reconnect.
    pub recheck_at: Option<Instant>,
    /// Whether the agent has replied to a fence since the link was re-established. A task that
    /// is missing from a second reply was never received.
    pub reconciled: bool,
}

/// A fence at one of the agents that an earlier claim lists.
#[derive(Clone, Debug)]
pub(super) struct AgentFence {
    pub node: NodeRef,
    pub state: FenceState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FenceState {
    /// No reply yet.
    Pending,
    /// The agent replied, and its record of the job is complete.
    Complete,
    /// The agent is gone, or its record of the job is incomplete.
    Gone,
    /// The agent cannot be reached and may still run tasks.
    Unreachable,
}

#[derive(Debug)]
pub(super) enum Phase {
    /// Waits for quota; not claimed by this entry yet.
    Queued,
    /// Rejected here, and control is asked whether the job was claimed before; the reply decides
    /// what the rejection says about `ran`.
    Checking { request: u64, rejection: Rejection },
    /// A claim was sent to control.
    Claiming { request: u64 },
    /// The agents of an earlier claim are being fenced after a takeover.
    Fencing {
        fences: Vec<AgentFence>,
        since: Instant,
    },
    /// Claimed by this entry; tasks may run.
    Running,
    /// The outcome is decided and was sent to control to be recorded.
    Finishing {
        request: u64,
        outcome: Outcome,
        response: Response,
        reason: &'static str,
    },
    /// Another entry owns the job.
    Remote {
        owner: NodeRef,
        /// Link and ID of the outstanding request to the owner.
        attach: Option<(u64, u64)>,
        retry_at: Instant,
    },
    /// The job is recorded as complete, and its results are fetched from the agents.
    Gathering {
        fences: Vec<AgentFence>,
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
    /// Sequence number of the job in this process.
    pub id: u64,
    pub digest: Digest,
    pub team: Arc<Team>,
    pub phase: Phase,
    pub epoch: u64,
    pub claimed_ms: u64,
    pub tasks: Vec<Task>,
    /// Indexes of the unsent tasks, by ascending expected run time.
    pub pending: Vec<u32>,
    /// Number of tasks without a result.
    pub unfinished: usize,
    pub allocs: Vec<Allocation>,
    /// Number of attempts that may be running or have run; after a takeover, one more for those
    /// without a record.
    pub started: u32,
    pub in_flight: u32,
    /// The first two agents that completed tasks of the job.
    pub success_agents: [Option<usize>; 2],
    /// Agents at which attempts of the job were lost.
    pub lost_agents: Vec<usize>,
    pub deadline: Instant,
    /// No task is placed before this time, after an agent refused one.
    pub paused_until: Option<Instant>,
    pub waiters: Vec<Waiter>,
    pub cancelled: bool,
    /// Whether the owner of the complete job was asked for its response.
    pub owner_asked: bool,
    /// When idle slots at other agents were last requested.
    pub idle_checked: Option<Instant>,
    /// Whether an `Extend` request is outstanding.
    pub extending: bool,
    /// Whether the job is in its team's list of quota waiters.
    pub awaiting_quota: bool,
    /// Whether no earlier claim exists under which tasks can have run.
    pub first_claim: bool,
    /// Epoch that the last claim replaces, or 0 for none.
    pub takeover: u64,
    /// Whether the job is to be removed from the map of jobs.
    pub ended: bool,
    pub submitted: Instant,
    /// Expected response time if all agents were idle, estimated at the first slot request.
    pub ideal_time: Option<Duration>,
}

/// An ended job whose response is retained.
#[derive(Debug)]
pub(super) struct FinishedJob {
    pub id: u64,
    pub digest: Digest,
    pub response: Response,
}

impl Task {
    /// Returns whether the task is at this agent, under this attempt number if one is given.
    pub fn is_sent(&self, agent: usize, attempt: Option<u64>) -> bool {
        matches!(self.state, TaskState::Sent { agent: at, attempt: number, .. }
            if at == agent && attempt.is_none_or(|a| a == number))
    }

    /// Returns whether the task was sent to this agent on an earlier link than this one.
    pub fn is_sent_before(&self, agent: usize, link: u64) -> bool {
        matches!(self.state, TaskState::Sent { agent: at, link: sent, .. }
            if at == agent && sent != link)
    }
}

impl Job {
    /// Returns the job's allocation at an agent, which is created if missing.
    pub fn allocation(&mut self, agent: usize, incarnation: u64) -> &mut Allocation {
        let position = self.allocs.iter().position(|a| a.agent == agent);
        let index = position.unwrap_or_else(|| {
            self.allocs.push(Allocation {
                agent,
                incarnation,
                requested: 0,
                granted: 0,
                in_flight: 0,
                unsettled: false,
                paused_until: None,
                recheck_at: None,
                reconciled: false,
            });
            self.allocs.len() - 1
        });
        &mut self.allocs[index]
    }

    pub fn find_allocation(&mut self, agent: usize) -> Option<&mut Allocation> {
        self.allocs.iter_mut().find(|a| a.agent == agent)
    }

    /// Returns whether control has replied that this body was claimed under the job's name.
    pub fn is_claimed(&self) -> bool {
        self.epoch > 0 || !self.first_claim
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

    /// Returns the number of slots requested or granted and not used yet.
    pub fn outstanding(&self) -> u32 {
        self.allocs.iter().map(|a| a.requested + a.granted).sum()
    }

    /// Returns the earliest deadline of the tasks without a result.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines().min()
    }

    /// Returns the latest deadline of the tasks without a result. Agents end tasks at their
    /// deadlines by themselves.
    pub fn last_deadline(&self) -> Option<Instant> {
        self.deadlines().max()
    }

    fn deadlines(&self) -> impl Iterator<Item = Instant> {
        let unfinished = self
            .tasks
            .iter()
            .filter(|t| !matches!(t.state, TaskState::Done(_)));
        unfinished.map(|t| self.submitted + t.input.deadline)
    }

    pub fn add_waiter(&mut self, caller: Caller, until: Instant, has_body: bool) {
        self.waiters.push(Waiter {
            caller,
            until,
            has_body,
        });
    }

    /// Returns whether a task may be sent to an agent that has failed others. If it is not
    /// repeatable its failure ends the job, which costs least when it is the only task.
    pub fn may_probe(&self, index: u32) -> bool {
        self.tasks[index as usize].input.repeatable || self.tasks.len() == 1
    }

    /// Sorts the unsent tasks by expected run time, ascending.
    pub fn sort_pending(&mut self, run_time: impl Fn(&Task) -> Duration) {
        let tasks = &self.tasks;
        self.pending
            .sort_by_key(|index| run_time(&tasks[*index as usize]));
    }

    pub fn results(&self) -> impl Iterator<Item = &Bytes> + Clone {
        self.tasks.iter().filter_map(|t| match &t.state {
            TaskState::Done(payload) => Some(payload),
            _ => None,
        })
    }
}
