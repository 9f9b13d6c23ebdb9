//! The fault matrix: protocol steps, faults, and the role that each fault targets.
//!
//! [`cells`] returns the whole table. [`Cell::exclusion_reason`] states why a combination is
//! impossible; [`run_cell`] runs the others, each on its own cluster.

mod cell_run;
mod fault;
mod step;

use std::collections::VecDeque;
use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use self::cell_run::CellRun;
pub(crate) use self::fault::append_torn_record;
use crate::cluster::Cluster;
use crate::cluster::Options;
use crate::isolation::run_isolated;

/// A protocol step that a fault interrupts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// A submission has reached the entry.
    SubmitReceived,
    /// The claim is committed, and its reply is in flight.
    ClaimWritten,
    /// Task starts are in flight to agents.
    TaskSent,
    /// Tasks run on endpoints.
    TaskRunning,
    /// Results are in flight to the entry.
    ResultInFlight,
    /// The response is in flight to the caller.
    AnswerInFlight,
    /// Control has accepted a configuration change.
    ConfigAccepted,
    /// A configuration change is in flight to nodes.
    ConfigPushed,
    /// A member that lags beyond the leader's log receives a snapshot.
    Snapshot,
    /// A former leader truncates uncommitted log entries.
    LogTruncation,
    /// A member with an empty disk rejoins.
    MemberRepair,
    /// An endpoint announces itself.
    EndpointAnnouncing,
    /// An endpoint leaves with tasks running.
    EndpointLeaving,
    /// The target shuts down with work in progress.
    Shutdown,
    /// Shares of a small quota move between entries.
    QuotaMoving,
    /// A cancellation is in flight to agents.
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
    /// The process is killed and immediately restarted.
    Restart,
    /// The connections of the process are reset.
    Reset,
    /// The connections of the process stay open, but no data passes.
    HalfOpen,
    /// Data that the process sends is not delivered.
    OneWay,
    /// No data passes in either direction, and new connections are refused.
    Partition,
    /// All data is delayed.
    Delay,
    /// Every connection attempt from or to the process arrives twice.
    Duplicate,
    /// Each connection is delayed by a different time, so that responses are reordered.
    Reorder,
    /// The files of the process cannot grow.
    DiskFull,
    /// The process is killed, a torn record is appended to its log, and it is restarted.
    DamagedTail,
    /// The process and one of another role are killed at the same time.
    Pair,
}

/// The role that a fault targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// The entry that owns the job.
    Owner,
    /// An agent that runs tasks of the job.
    Agent,
    /// The endpoint on the host of that agent.
    Endpoint,
    /// The leader of the control group.
    Leader,
    /// A follower in the control group.
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
    /// The role that it targets.
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
    /// Returns why the combination is impossible, or `None` for a cell that can run.
    pub fn exclusion_reason(&self) -> Option<&'static str> {
        let control = matches!(self.target, Target::Leader | Target::Follower);
        if matches!(self.fault, Fault::DiskFull | Fault::DamagedTail) && !control {
            return Some("the role keeps no files");
        }
        if !self.step.roles().contains(&self.target) {
            return Some("the role takes no part in the step");
        }
        let endpoint = matches!(self.target, Target::Endpoint);
        let link_fault = matches!(
            self.fault,
            Fault::Reset
                | Fault::HalfOpen
                | Fault::OneWay
                | Fault::Partition
                | Fault::Delay
                | Fault::Duplicate
                | Fault::Reorder
        );
        if endpoint && link_fault && self.step == Step::TaskRunning {
            return Some(
                "an endpoint shares its host with its agent, so that only announcements pass through a proxy",
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

/// Returns every cell of the matrix, including impossible combinations.
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

/// The result of running a cell.
#[derive(Clone, Debug)]
pub struct CellResult {
    /// The cell.
    pub cell: Cell,
    /// The seed of the run.
    pub seed: u64,
    /// The failure, if the run failed.
    pub failure: Option<String>,
    /// The duration of the run, in milliseconds.
    pub duration_ms: u64,
}

impl fmt::Display for CellResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (cell, seed, ms) = (self.cell, self.seed, self.duration_ms);
        match &self.failure {
            None => write!(f, "{cell} seed={seed} result=pass ms={ms}"),
            Some(e) => write!(f, "{cell} seed={seed} result=fail ms={ms} detail={e:?}"),
        }
    }
}

/// Runs one cell on its own cluster.
///
/// # Errors
///
/// Describes the violated guarantees or the wait that timed out, and prints the tails of the
/// processes' logs to stderr.
pub async fn run_cell(cell: Cell, seed: u64) -> Result<(), String> {
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
    let mut cell_run = CellRun::new(cluster, cell);
    let result = cell_run.execute().await;
    if let Err(e) = &result {
        eprintln!("{cell}: {e}\n{}", cell_run.cluster.diagnostics());
    }
    result
}

/// Runs cells on `parallel` threads, as long as `may_start` returns true, and calls `done` with
/// each result.
pub fn run_cells(
    cells: &[Cell],
    seed: u64,
    parallel: usize,
    may_start: impl Fn() -> bool + Sync,
    done: impl Fn(CellResult) + Sync,
) {
    let queue = Mutex::new(cells.iter().copied().collect::<VecDeque<_>>());
    let next = || {
        let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
        queue.pop_front().filter(|_| may_start())
    };
    std::thread::scope(|scope| {
        for _ in 0..parallel {
            scope.spawn(|| {
                while let Some(cell) = next() {
                    done(run_cell_isolated(cell, seed));
                }
            });
        }
    });
}

/// Runs a cell on its own thread, so that a panic fails only this cell.
fn run_cell_isolated(cell: Cell, seed: u64) -> CellResult {
    let start = Instant::now();
    let result = run_isolated(move || run_cell(cell, seed));
    CellResult {
        cell,
        seed,
        failure: result.err(),
        duration_ms: start.elapsed().as_millis() as u64,
    }
}
