//! A cluster of real processes with a proxied link between every two that communicate.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tempfile::TempDir;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use sassafras_proxy::Faults;
use sassafras_proxy::Link;
use sassafras_util::Name;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::StatusReply;

use crate::history::GracefulStop;
use crate::history::History;
use crate::history::LeavingEndpoint;
use crate::history::Submission;
use crate::history::VersionSample;
use crate::history::parse_starts;
use crate::job::Job;
use crate::operator::OperatorClient;
use crate::oracle::check;
use crate::process::Process;
use crate::settings;
use crate::wait::unix_ms;
use crate::wait::wait_until;

mod layout;

pub(crate) use self::layout::AGENTS;
pub(crate) use self::layout::CONTROL;
pub(crate) use self::layout::ENTRIES;
pub(crate) use self::layout::endpoint_of;

/// Limits the clusters that run concurrently in one test process; more than three would starve
/// each other of processor time.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(3);
/// The age that a leader reports for a node from which it has received no heartbeat.
const NO_HEARTBEAT_AGE_MS: u64 = u64::MAX;
/// Interval between the attempts of a caller, and between status samples.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller abandons an unanswered submission and sends it again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which a caller without an outcome fails the test; far above the time that any
/// job of the tests takes.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(80);
const LAG_TIMER_PERIOD: Duration = Duration::from_millis(5);

/// Options of a [`Cluster`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the run and of its link faults.
    pub seed: u64,
    /// Slots that the test team may use concurrently.
    pub quota: u32,
    /// Growth of a control member's log, in megabytes, between two snapshots.
    pub snapshot_mb: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            quota: 1000,
            snapshot_mb: 64,
        }
    }
}

/// A running cluster. Dropping it kills its processes; after a panic it also prints the tails
/// of their logs.
#[derive(Debug)]
pub struct Cluster {
    /// The options it was started with.
    pub options: Options,
    /// The operator's client, which connects to control directly, without a proxy.
    pub operator: OperatorClient,
    processes: BTreeMap<String, Process>,
    links: BTreeMap<(String, String), Link>,
    start_files: BTreeMap<String, PathBuf>,
    submissions: Arc<Mutex<Vec<Submission>>>,
    history: History,
    lag: Arc<AtomicU64>,
    lag_task: JoinHandle<()>,
    listen_addrs: BTreeMap<String, SocketAddr>,
    dir: TempDir,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts a cluster, applies the test team's declaration and waits until every node is ready.
    ///
    /// # Panics
    ///
    /// Panics when the cluster does not become ready.
    pub async fn start(options: Options) -> Self {
        let permit = CLUSTER_PERMITS
            .acquire()
            .await
            .expect("the semaphore stays open");
        let layout = layout::build(&options).await;
        let lag = Arc::new(AtomicU64::new(0));
        let mut cluster = Self {
            operator: OperatorClient::new(
                layout.members,
                settings::CLUSTER_KEY,
                settings::OPERATOR_TOKEN,
            ),
            processes: layout.processes,
            links: layout.links,
            start_files: layout.start_files,
            submissions: Arc::default(),
            history: History::default(),
            lag_task: tokio::spawn(measure_lag(Arc::clone(&lag))),
            lag,
            listen_addrs: layout.listen_addrs,
            dir: layout.dir,
            options,
            _permit: permit,
        };
        for process in cluster.processes.values_mut() {
            process.start();
        }
        cluster.declare_team().await;
        cluster
    }

    async fn declare_team(&mut self) {
        let team = settings::team_ini(self.options.quota, settings::TEAM_TOKEN);
        self.put_config("team/bookings", &team).await;
        self.wait_until_ready().await;
    }

    /// Sets a configuration item and returns the new version.
    ///
    /// # Panics
    ///
    /// Panics when control does not accept the change.
    pub async fn put_config(&mut self, name: &str, text: &str) -> u64 {
        let version = self.try_put_config(name, text).await;
        version.unwrap_or_else(|e| panic!("change of {name}: {e}"))
    }

    /// Sets a configuration item and returns the new version.
    ///
    /// # Errors
    ///
    /// Fails when control does not confirm the change, which may still be in force.
    pub async fn try_put_config(&mut self, name: &str, text: &str) -> Result<u64, String> {
        let version = self.operator.put_item(name, text).await?;
        self.history.accepted.push((version, unix_ms()));
        Ok(version)
    }

    /// Changes the test team's quota and returns the version.
    pub async fn set_quota(&mut self, slots: u32) -> u64 {
        let team = settings::team_ini(slots, settings::TEAM_TOKEN);
        self.put_config("team/bookings", &team).await
    }

    /// Changes the test team's quota, and returns the version if it was accepted within `timeout`.
    pub(crate) async fn try_set_quota(&mut self, slots: u32, timeout: Duration) -> Option<u64> {
        let team = settings::team_ini(slots, settings::TEAM_TOKEN);
        let change = self.try_put_config("team/bookings", &team);
        tokio::time::timeout(timeout, change).await.ok()?.ok()
    }

    /// Changes the test team's bearer token and returns the version.
    pub async fn set_team_token(&mut self, token: &str) -> u64 {
        let team = settings::team_ini(self.options.quota, token);
        self.put_config("team/bookings", &team).await
    }

    /// Waits until every entry and agent is active with the configuration in force.
    ///
    /// # Panics
    ///
    /// Panics when this takes longer than [`wait_until`] allows.
    pub async fn wait_until_ready(&mut self) {
        let nodes: Vec<String> = layout::node_names();
        let ready = wait_until(
            "every node is active with the current configuration",
            async || {
                let Some(status) = self.sample_status().await else {
                    return false;
                };
                nodes.iter().all(|n| is_ready(&status, n))
            },
        );
        if let Err(e) = ready.await {
            let status = self.operator.status().await;
            panic!("{e}: {status:?}");
        }
    }

    /// Queries the control group's status, and records the versions in force in the history.
    pub async fn sample_status(&mut self) -> Option<StatusReply> {
        let status = self.operator.status().await.ok()?;
        let now = unix_ms();
        let sample = |node: &str, incarnation, reported_ms, version| VersionSample {
            node: node.to_owned(),
            incarnation,
            reported_ms,
            version,
            suspended: false,
        };
        let versions = &mut self.history.versions;
        versions.push(sample("control", 0, now, status.config_version));
        for node in &status.nodes {
            let Some(member) = &node.member else { continue };
            let Some(id) = &member.node else { continue };
            if node.age_ms == NO_HEARTBEAT_AGE_MS {
                continue;
            }
            let reported_ms = now.saturating_sub(node.age_ms);
            versions.push(VersionSample {
                suspended: node.suspended,
                ..sample(&id.name, id.incarnation, reported_ms, node.config_version)
            });
        }
        Some(status)
    }

    /// Samples the status repeatedly for `duration`, to record violations that appear only after
    /// some time.
    pub async fn sample_for(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.sample_status().await;
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Returns the name of the leading control member.
    ///
    /// # Panics
    ///
    /// Panics when there is no leader.
    pub async fn leader(&mut self) -> String {
        let status = self.operator.status().await;
        status.expect("the control group has a leader").leader
    }

    /// Returns the directory with the settings, logs and data of the processes.
    pub fn dir(&self) -> &std::path::Path {
        self.dir.path()
    }

    /// Returns the names of all processes.
    pub fn process_names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Returns the process with the given name.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let process = self.processes.get_mut(name);
        process.unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Asks a process to stop gracefully, and records it in the history.
    pub fn terminate(&mut self, name: &str) {
        let requested_ms = unix_ms();
        let endpoint = layout::endpoint_of(name);
        self.process(name).terminate();
        if name.starts_with('s') {
            let endpoint = name.to_owned();
            self.history.leaving.push(LeavingEndpoint {
                endpoint,
                requested_ms,
                restarted_ms: None,
            });
            return;
        }
        self.history.stops.push(GracefulStop {
            process: name.to_owned(),
            endpoint,
            requested_ms,
            clean: false,
        });
    }

    /// Waits until a process that was asked to stop has exited.
    ///
    /// # Errors
    ///
    /// Names the process when it does not exit.
    pub async fn wait_stopped(&mut self, name: &str) -> Result<(), String> {
        let process = self.process(name);
        let exited = wait_until(&format!("{name} has exited"), async || {
            !process.is_running()
        })
        .await;
        let clean = process.exit_status().is_some_and(|s| s.success());
        for stop in &mut self.history.stops {
            if stop.process == name {
                stop.clean |= clean;
            }
        }
        exited
    }

    /// Removes a graceful stop from the history, since a fault killed the process before it exited.
    pub(crate) fn discard_stop(&mut self, name: &str) {
        self.history.stops.retain(|s| s.process != name);
    }

    /// Starts a process, unless it runs.
    pub fn start_process(&mut self, name: &str) {
        if self.process(name).is_running() {
            return;
        }
        for leaving in &mut self.history.leaving {
            if leaving.endpoint == name && leaving.restarted_ms.is_none() {
                leaving.restarted_ms = Some(unix_ms());
            }
        }
        self.process(name).start();
    }

    /// Starts every process that is down.
    pub fn start_all(&mut self) {
        for name in self.process_names() {
            self.start_process(&name);
        }
    }

    /// Declares that this run has no faults other than graceful stops, which must fail no job.
    pub fn expect_only_graceful(&mut self) {
        self.history.only_graceful = true;
    }

    /// Sets the faults of the links for whose ends, `(from, to)`, `selects` returns true.
    pub fn set_faults(&self, selects: impl Fn(&str, &str) -> bool, faults: Faults) {
        for ((from, to), link) in &self.links {
            if selects(from, to) {
                link.set_faults(faults);
            }
        }
    }

    /// Resets the connections of the links for whose ends `selects` returns true.
    pub fn reset_connections(&self, selects: impl Fn(&str, &str) -> bool) {
        for ((from, to), link) in &self.links {
            if selects(from, to) {
                link.reset_connections();
            }
        }
    }

    /// Blocks what `name` sends, what it receives, or both, on every link that ends at it. The
    /// entries share their links to other nodes, which end at `entries`.
    pub fn block_traffic(&self, name: &str, sends: bool, receives: bool) {
        for ((from, to), link) in &self.links {
            let (block_to, block_back) = if from == name {
                (sends, receives)
            } else if to == name {
                (receives, sends)
            } else {
                continue;
            };
            link.set_faults(Faults {
                block_to,
                block_back,
                ..Faults::default()
            });
        }
    }

    /// Clears the faults of all links.
    pub fn clear_faults(&self) {
        self.set_faults(|_, _| true, Faults::default());
    }

    /// Returns the address at which callers reach an entry, through the proxy.
    ///
    /// # Panics
    ///
    /// Panics when there is no such entry.
    pub fn entry_addr(&self, name: &str) -> SocketAddr {
        self.links[&("callers".to_owned(), name.to_owned())].addr()
    }

    /// Returns a listening address of a process, without the proxy: `e1`, or `e1/http`.
    ///
    /// # Panics
    ///
    /// Panics when there is no such address.
    pub fn listen_addr(&self, name: &str) -> SocketAddr {
        self.listen_addrs[name]
    }

    /// Returns the listening addresses of all processes, without the proxies.
    pub fn listen_addrs(&self) -> Vec<(String, SocketAddr)> {
        self.listen_addrs
            .iter()
            .map(|(n, a)| (n.clone(), *a))
            .collect()
    }

    /// Submits a job once and records the response in the history.
    pub fn submit(&self, job: &Job, entry: &str) -> JoinHandle<Submission> {
        let (job, entry, addr) = (job.clone(), entry.to_owned(), self.entry_addr(entry));
        let submissions = Arc::clone(&self.submissions);
        tokio::spawn(async move {
            let submission = job.submit(&entry, addr).await;
            lock(&submissions).push(submission.clone());
            submission
        })
    }

    /// Submits a job to `first`, then alternately to both entries, until its outcome is known.
    pub fn submit_until_final(
        &self,
        job: &Job,
        first: &str,
    ) -> JoinHandle<Result<Submission, String>> {
        let other = if first == "e1" { "e2" } else { "e1" };
        let turns = [first, other].map(|e| (e.to_owned(), self.entry_addr(e)));
        let (job, submissions) = (job.clone(), Arc::clone(&self.submissions));
        tokio::spawn(async move {
            let end = Instant::now() + OUTCOME_TIMEOUT;
            let mut last = None;
            let mut turns = turns.iter().cycle();
            while Instant::now() < end
                && let Some((entry, addr)) = turns.next()
            {
                let sent_ms = unix_ms();
                let submitted = tokio::time::timeout(ATTEMPT_TIMEOUT, job.submit(entry, *addr));
                let submission = submitted
                    .await
                    .unwrap_or_else(|_| timed_out_submission(&job, entry, sent_ms));
                lock(&submissions).push(submission.clone());
                if submission.response.is_final() {
                    return Ok(submission);
                }
                last = Some(submission.response);
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            Err(format!(
                "{} has no outcome, last response {last:?}",
                job.name
            ))
        })
    }

    /// Returns the history so far, including the start records of the endpoints.
    pub fn history(&self) -> History {
        let mut history = self.history.clone();
        history.submissions.clone_from(&lock(&self.submissions));
        history.lag_ms = self.lag.load(Ordering::Relaxed);
        for (endpoint, file) in &self.start_files {
            let text = std::fs::read_to_string(file).unwrap_or_default();
            history.starts.extend(parse_starts(endpoint, &text));
        }
        history
    }

    /// Verifies every guarantee on the history so far.
    ///
    /// # Errors
    ///
    /// Lists the violations.
    pub fn verify(&self) -> Result<(), String> {
        let violations = check(&self.history());
        if violations.is_empty() {
            return Ok(());
        }
        let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
        Err(lines.join("\n"))
    }

    /// Verifies every guarantee on the history so far.
    ///
    /// # Panics
    ///
    /// Panics with the violations.
    pub fn assert_guarantees(&self) {
        if let Err(violations) = self.verify() {
            panic!("{violations}");
        }
    }

    /// Returns the seed and the tails of the processes' logs, for a failure report.
    pub fn diagnostics(&self) -> String {
        let mut text = format!("seed={}\n", self.options.seed);
        for (name, process) in &self.processes {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "---- {name}\n{}", process.log_tail());
        }
        text
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.lag_task.abort();
        if std::thread::panicking() {
            eprintln!("{}", self.diagnostics());
        }
    }
}

fn timed_out_submission(job: &Job, entry: &str, sent_ms: u64) -> Submission {
    Submission {
        team: job.team.clone(),
        job: job.name.clone(),
        entry: entry.to_owned(),
        payload_numbers: job.payload_numbers.clone(),
        repeatable: job.repeatable,
        sent_ms,
        received_ms: unix_ms(),
        response: crate::JobResponse::TimedOut,
    }
}

fn is_ready(status: &StatusReply, name: &str) -> bool {
    status.nodes.iter().any(|n| {
        let member = n.member.as_ref();
        member.is_some_and(|m| {
            let matches = m.node.as_ref().is_some_and(|id| id.name == name);
            let serves = name.starts_with('e') || m.endpoint.is_some();
            matches && serves && m.state() == NodeState::Active
        }) && n.config_version == status.config_version
    })
}

/// Records the longest delay of a timer, as a measure of how late this process runs.
async fn measure_lag(lag: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + LAG_TIMER_PERIOD;
        tokio::time::sleep_until(due).await;
        lag.fetch_max(due.elapsed().as_millis() as u64, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The names and addresses of the control members.
type Members = Vec<(Name, SocketAddr)>;
