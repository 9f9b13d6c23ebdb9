//! The fault matrix: steps of the protocol, faults, and the role that each fault hits.
//!
//! [`cells`] is the whole table. A [`Cell`] that cannot arise says why; the others are run
//! by [`run`], each with a cluster of its own.

mod fault;
mod scene;
mod step;

use std::collections::VecDeque;
use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

pub(crate) use self::fault::tear_tail;
use self::scene::Scene;
use crate::cluster::Cluster;
use crate::cluster::Options;
use crate::isolated::isolated;

/// A step of the protocol that a fault interrupts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// A submission has reached the entry.
    SubmitReceived,
    /// The claim is committed, and its reply is on its way.
    ClaimWritten,
    /// Tasks are on their way to agents.
    TaskSent,
    /// Tasks run on endpoints.
    TaskRunning,
    /// Results are on their way to the entry.
    ResultInFlight,
    /// The answer is on its way to the caller.
    AnswerInFlight,
    /// Control has accepted a configuration change.
    ConfigAccepted,
    /// A configuration change is on its way to nodes.
    ConfigPushed,
    /// A member that is far behind receives a snapshot.
    Snapshot,
    /// A former leader drops entries that were never committed.
    LogTruncation,
    /// A member with an empty disk joins again.
    MemberRepair,
    /// An endpoint announces itself.
    EndpointAnnouncing,
    /// An endpoint leaves with tasks running.
    EndpointLeaving,
    /// The target shuts down with work in progress.
    Shutdown,
    /// Shares of a small quota move between entries.
    QuotaMoving,
    /// A cancellation is on its way to agents.
    CancelInFlight,
}

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The process is killed and stays down.
    Kill,
    /// The process is asked to stop and stays down.
    GracefulStop,
    /// The process is suspended for longer than its lease.
    PauseResume,
    /// The process is killed and started at once.
    Restart,
    /// The connections of the process are reset.
    Reset,
    /// The connections of the process stay open and go silent.
    HalfOpen,
    /// Nothing that the process sends arrives.
    OneWay,
    /// Nothing passes in either direction, and connections are refused.
    Partition,
    /// Everything is delayed.
    Delay,
    /// Every connection attempt arrives twice.
    Duplicate,
    /// Connections are delayed by differing times, so that answers change places.
    Reorder,
    /// No file of the process can grow.
    DiskFull,
    /// The process is killed and its log ends in a torn record.
    DamagedTail,
    /// The process and one of another role are killed together.
    Pair,
}

/// The role that a fault hits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// The entry that owns the job.
    Owner,
    /// An agent that runs tasks of the job.
    Agent,
    /// The endpoint beside that agent.
    Endpoint,
    /// The leading control member.
    Leader,
    /// Another control member.
    Follower,
}

const STEPS: [Step; 16] = [
    Step::SubmitReceived,
    Step::ClaimWritten,
    Step::TaskSent,
    Step::TaskRunning,
    Step::ResultInFlight,
    Step::AnswerInFlight,
    Step::ConfigAccepted,
    Step::ConfigPushed,
    Step::Snapshot,
    Step::LogTruncation,
    Step::MemberRepair,
    Step::EndpointAnnouncing,
    Step::EndpointLeaving,
    Step::Shutdown,
    Step::QuotaMoving,
    Step::CancelInFlight,
];

pub(crate) const FAULTS: [Fault; 14] = [
    Fault::Kill,
    Fault::GracefulStop,
    Fault::PauseResume,
    Fault::Restart,
    Fault::Reset,
    Fault::HalfOpen,
    Fault::OneWay,
    Fault::Partition,
    Fault::Delay,
    Fault::Duplicate,
    Fault::Reorder,
    Fault::DiskFull,
    Fault::DamagedTail,
    Fault::Pair,
];

const TARGETS: [Target; 5] = [
    Target::Owner,
    Target::Agent,
    Target::Endpoint,
    Target::Leader,
    Target::Follower,
];

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cell {
    /// The step that is interrupted.
    pub step: Step,
    /// The fault.
    pub fault: Fault,
    /// The role that it hits.
    pub target: Target,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "step={:?} fault={:?} target={:?}",
            self.step, self.fault, self.target
        )
    }
}

impl Cell {
    /// Returns why the cell cannot arise, if so.
    pub fn excluded(&self) -> Option<&'static str> {
        let control = matches!(self.target, Target::Leader | Target::Follower);
        if matches!(self.fault, Fault::DiskFull | Fault::DamagedTail) && !control {
            return Some("the role keeps no files");
        }
        if !self.step.roles().contains(&self.target) {
            return Some("the role takes no part in the step");
        }
        let bare = matches!(self.target, Target::Endpoint);
        let link = matches!(
            self.fault,
            Fault::Reset
                | Fault::HalfOpen
                | Fault::OneWay
                | Fault::Partition
                | Fault::Delay
                | Fault::Duplicate
                | Fault::Reorder
        );
        if bare && link && self.step == Step::TaskRunning {
            return Some(
                "an endpoint shares its host with its agent, so that only announcements pass a proxy",
            );
        }
        None
    }
}

impl Step {
    /// Returns the roles that take part in the step.
    fn roles(self) -> &'static [Target] {
        use Target::Agent;
        use Target::Endpoint;
        use Target::Follower;
        use Target::Leader;
        use Target::Owner;
        match self {
            Self::SubmitReceived | Self::TaskSent | Self::Shutdown | Self::CancelInFlight => {
                &[Owner, Agent, Leader]
            }
            Self::ClaimWritten | Self::ConfigAccepted => &[Owner, Leader, Follower],
            Self::TaskRunning => &[Owner, Agent, Endpoint, Leader],
            Self::ResultInFlight => &[Owner, Agent],
            Self::AnswerInFlight | Self::QuotaMoving => &[Owner, Leader],
            Self::ConfigPushed => &[Owner, Agent, Leader],
            Self::Snapshot | Self::LogTruncation | Self::MemberRepair => &[Leader, Follower],
            Self::EndpointAnnouncing => &[Agent, Endpoint],
            Self::EndpointLeaving => &[Owner, Agent, Endpoint],
        }
    }
}

/// Returns every cell of the matrix, those that cannot arise included.
pub fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for step in STEPS {
        for fault in FAULTS {
            for target in TARGETS {
                cells.push(Cell {
                    step,
                    fault,
                    target,
                });
            }
        }
    }
    cells
}

/// What a run of a cell showed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The cell.
    pub cell: Cell,
    /// The seed of its run.
    pub seed: u64,
    /// What went wrong, if anything.
    pub failure: Option<String>,
    /// How long the run took, in milliseconds.
    pub took_ms: u64,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (cell, seed, ms) = (self.cell, self.seed, self.took_ms);
        match &self.failure {
            None => write!(f, "{cell} seed={seed} result=pass ms={ms}"),
            Some(e) => write!(f, "{cell} seed={seed} result=fail ms={ms} detail={e:?}"),
        }
    }
}

/// Runs one cell and reports what went wrong.
///
/// # Errors
///
/// Describes the promise that did not hold, or the wait that was in vain, and prints the
/// ends of the processes' logs to stderr.
pub async fn run(cell: Cell, seed: u64) -> Result<(), String> {
    let quota = if cell.step == Step::QuotaMoving {
        8
    } else {
        1000
    };
    let options = Options {
        seed,
        quota,
        snapshot_mb: 1,
    };
    let cluster = Cluster::start(options).await;
    let mut scene = Scene::new(cluster, cell);
    let result = scene.play().await;
    if let Err(e) = &result {
        eprintln!("{cell}: {e}\n{}", scene.cluster.report());
    }
    result
}

/// Runs cells in `parallel` threads and calls `done` with each outcome.
pub fn run_all(
    cells: &[Cell],
    seed: u64,
    parallel: usize,
    go_on: impl Fn() -> bool + Sync,
    done: impl Fn(Outcome) + Sync,
) {
    let queue = Mutex::new(cells.iter().copied().collect::<VecDeque<_>>());
    let next = || {
        let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.pop_front().filter(|_| go_on())
    };
    std::thread::scope(|scope| {
        for _ in 0..parallel {
            scope.spawn(|| {
                while let Some(cell) = next() {
                    done(run_caught(cell, seed));
                }
            });
        }
    });
}

/// Runs a cell so that a panic ends nothing else.
fn run_caught(cell: Cell, seed: u64) -> Outcome {
    let start = Instant::now();
    let result = isolated(move || run(cell, seed));
    Outcome {
        cell,
        seed,
        failure: result.err(),
        took_ms: start.elapsed().as_millis() as u64,
    }
}
