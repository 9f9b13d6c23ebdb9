//! Injects the fault of a cell into its target.

use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use sassafras_proxy::Faults;

use super::CellRun;
use super::Fault;
use super::Step;
use super::Target;
use crate::cluster::Cluster;

/// Longer than a lease (2.5 s), the time without data after which a link closes (3 s) and the
/// time until control declares a node gone (4 s).
const OUTAGE_DURATION: Duration = Duration::from_secs(5);
/// Duration of all other faults, such as delays and reordering.
const DISTURBANCE_DURATION: Duration = Duration::from_secs(2);
/// Time for resets to reach the connections before blocked data is delivered.
const RESET_DELAY: Duration = Duration::from_millis(50);
const DELAY_MS: u64 = 60;
const JITTER_MS: u64 = 120;
/// The beginning of a log record whose write was interrupted.
const TORN_RECORD: &[u8] = &[40, 0, 0, 0, 7, 7, 7];

impl CellRun {
    /// Injects the fault, unblocks the links that the step blocked, and ends the fault after its
    /// duration. Processes that were killed or stopped stay down until [`CellRun::recover`].
    pub(super) async fn inject(&mut self) -> Result<(), String> {
        let name = self.target_name().await;
        self.faulted = Some(name.clone());
        match self.cell.fault {
            Fault::Kill => self.cluster.process(&name).kill(),
            Fault::GracefulStop => self.cluster.terminate(&name),
            Fault::Restart => {
                self.cluster.process(&name).kill();
                self.cluster.start_process(&name);
            }
            Fault::PauseResume => self.cluster.process(&name).pause(),
            Fault::Pair => {
                let other = self.second_target().await;
                self.cluster.process(&name).kill();
                self.cluster.process(&other).kill();
            }
            Fault::DiskFull => self.cluster.simulate_full_disk(&name),
            Fault::DamagedTail => {
                self.cluster.process(&name).kill();
                append_torn_record(&self.cluster.dir().join(&name))?;
                self.cluster.start_process(&name);
            }
            Fault::Reset => {
                self.cluster
                    .reset_connections(|from, to| from == name || to == name);
                tokio::time::sleep(RESET_DELAY).await;
            }
            _ => {}
        }
        self.apply_link_faults(&name);
        self.sustain_fault(&name).await;
        Ok(())
    }

    /// Replaces the link faults of the step by those of the cell's fault.
    fn apply_link_faults(&self, name: &str) {
        self.cluster.clear_faults();
        self.cluster.set_link_faults(name, self.cell.fault);
        if self.cell.fault == Fault::Duplicate {
            self.cluster
                .reset_connections(|from, to| from == name || to == name);
        }
    }

    /// Waits for the duration of the fault, then ends it.
    async fn sustain_fault(&mut self, name: &str) {
        let duration = match self.cell.fault {
            Fault::PauseResume | Fault::HalfOpen | Fault::OneWay | Fault::Partition => {
                OUTAGE_DURATION
            }
            _ => DISTURBANCE_DURATION,
        };
        // Samples continuously, so that a gap between two reports of a node is a gap in its lease.
        drop(tokio::time::timeout(duration, self.cluster.sample_for(duration)).await);
        if self.cell.fault == Fault::PauseResume {
            self.cluster.process(name).resume();
        }
        self.cluster.clear_faults();
    }

    /// Returns the process that the fault targets.
    async fn target_name(&mut self) -> String {
        match self.cell.target {
            Target::Owner => "e1".to_owned(),
            Target::Agent => self.agent.clone(),
            Target::Endpoint => self.agent.replace('a', "s"),
            Target::Leader if self.cell.step == Step::Shutdown => {
                self.affected_member.clone().unwrap_or_default()
            }
            Target::Leader => self.cluster.leader().await,
            Target::Follower => self.follower().await,
        }
    }

    /// Returns the process that `Fault::Pair` kills together with the target.
    async fn second_target(&mut self) -> String {
        match self.cell.target {
            Target::Agent | Target::Endpoint => "e1".to_owned(),
            Target::Owner => self.follower().await,
            Target::Leader | Target::Follower => self.agent.clone(),
        }
    }
}

impl Cluster {
    /// Sets the link faults of `fault` on all links of a process.
    pub(crate) fn set_link_faults(&self, name: &str, fault: Fault) {
        let is_own = |from: &str, to: &str| from == name || to == name;
        let set_all = |faults| self.set_faults(is_own, faults);
        match fault {
            Fault::HalfOpen => set_all(Faults::partition()),
            Fault::Partition => set_all(Faults {
                refuse: true,
                ..Faults::partition()
            }),
            Fault::OneWay => self.block_traffic(name, true, false),
            Fault::Delay => set_all(Faults {
                delay_ms: DELAY_MS,
                back_ms: DELAY_MS,
                ..Faults::default()
            }),
            Fault::Reorder => set_all(Faults {
                jitter_ms: JITTER_MS,
                ..Faults::default()
            }),
            Fault::Duplicate => set_all(Faults {
                duplicate: true,
                ..Faults::default()
            }),
            _ => {}
        }
    }

    /// Prevents the files of a control member from growing, so that its next log write fails.
    pub(crate) fn simulate_full_disk(&mut self, name: &str) {
        let largest = log_files(&self.dir().join(name))
            .iter()
            .filter_map(|f| f.metadata().ok())
            .map(|m| m.len())
            .max();
        self.process(name).limit_file_size(largest.unwrap_or(0));
    }
}

fn log_files(dir: &Path) -> Vec<PathBuf> {
    let files = std::fs::read_dir(dir).into_iter().flatten().flatten();
    let mut logs: Vec<PathBuf> = files
        .map(|f| f.path())
        .filter(|p| p.extension().is_some_and(|e| e == "log"))
        .collect();
    logs.sort();
    logs
}

/// Appends the beginning of a record to the newest log file, as an interrupted write does.
pub(crate) fn append_torn_record(dir: &Path) -> Result<(), String> {
    let logs = log_files(dir);
    let newest = logs.last().ok_or("the member has no log file")?;
    let file = std::fs::OpenOptions::new().append(true).open(newest);
    file.and_then(|mut f| f.write_all(TORN_RECORD))
        .map_err(|e| e.to_string())
}
