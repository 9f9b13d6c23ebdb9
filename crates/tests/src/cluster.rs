//! A cluster of real processes with a proxied link between every two that talk.

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

use crate::caller::Job;
use crate::evidence::Call;
use crate::evidence::Evidence;
use crate::evidence::GracefulStop;
use crate::evidence::Leaving;
use crate::evidence::VersionSample;
use crate::evidence::parse_starts;
use crate::operator::Operator;
use crate::oracle::check;
use crate::process::Process;
use crate::settings;
use crate::wait::unix_ms;
use crate::wait::until;

mod layout;

pub(crate) use self::layout::AGENTS;
pub(crate) use self::layout::CONTROL;
pub(crate) use self::layout::ENTRIES;
pub(crate) use self::layout::endpoint_of;

/// Clusters that run at a time in one test process; more would starve each other of processor time.
static CLUSTERS: Semaphore = Semaphore::const_new(3);
/// The age that a leader gives for a node from which it has had no heartbeat yet.
const NO_REPORT: u64 = u64::MAX;
/// Pause of a caller before it asks again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// A caller that hears nothing for this long gives the connection up and asks again.
const CALLER_PATIENCE: Duration = Duration::from_secs(8);
/// Time after which a caller that still has no outcome fails the test; far above every time
/// that the system needs.
const CALLER_LIMIT: Duration = Duration::from_secs(80);
const LAG_PERIOD: Duration = Duration::from_millis(5);

/// Choices for a cluster.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of the run.
    pub seed: u64,
    /// Slots that the test team may use at a time.
    pub quota: u32,
    /// Megabytes of a control member's log between two snapshots.
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

/// A running cluster. Dropping it kills its processes, and prints their logs after a panic.
#[derive(Debug)]
pub struct Cluster {
    /// The choices it was built with.
    pub options: Options,
    /// The operator's connection, past the proxies.
    pub operator: Operator,
    processes: BTreeMap<String, Process>,
    links: BTreeMap<(String, String), Link>,
    records: BTreeMap<String, PathBuf>,
    calls: Arc<Mutex<Vec<Call>>>,
    evidence: Evidence,
    lag: Arc<AtomicU64>,
    lag_task: JoinHandle<()>,
    direct: BTreeMap<String, SocketAddr>,
    folder: TempDir,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Starts a cluster and waits until every node serves under the test team's declaration.
    ///
    /// # Panics
    ///
    /// Panics when the cluster does not come into service.
    pub async fn start(options: Options) -> Self {
        let permit = CLUSTERS.acquire().await.expect("the semaphore stays open");
        let layout = layout::build(&options).await;
        let lag = Arc::new(AtomicU64::new(0));
        let mut cluster = Self {
            operator: Operator::new(layout.members, settings::KEY, settings::OPERATOR_TOKEN),
            processes: layout.processes,
            links: layout.links,
            records: layout.records,
            calls: Arc::default(),
            evidence: Evidence::default(),
            lag_task: tokio::spawn(measure_lag(Arc::clone(&lag))),
            lag,
            direct: layout.direct,
            folder: layout.folder,
            options,
            _permit: permit,
        };
        for process in cluster.processes.values_mut() {
            process.start();
        }
        cluster.declare().await;
        cluster
    }

    async fn declare(&mut self) {
        let team = settings::team(self.options.quota, settings::TEAM_TOKEN);
        self.configure("team/bookings", &team).await;
        self.wait_in_service().await;
    }

    /// Puts a configuration item in force and returns its version.
    ///
    /// # Panics
    ///
    /// Panics when control does not accept it.
    pub async fn configure(&mut self, name: &str, text: &str) -> u64 {
        let version = self.try_configure(name, text).await;
        version.unwrap_or_else(|e| panic!("change of {name}: {e}"))
    }

    /// Puts a configuration item in force and returns its version.
    ///
    /// # Errors
    ///
    /// Fails when there is no clear answer; the change may be in force or not.
    pub async fn try_configure(&mut self, name: &str, text: &str) -> Result<u64, String> {
        let version = self.operator.put(name, text).await?;
        self.evidence.accepted.push((version, unix_ms()));
        Ok(version)
    }

    /// Changes the test team's quota and returns the version.
    pub async fn set_quota(&mut self, slots: u32) -> u64 {
        let team = settings::team(slots, settings::TEAM_TOKEN);
        self.configure("team/bookings", &team).await
    }

    /// Changes the test team's quota, and returns the version if it was accepted in time.
    pub(crate) async fn try_quota(&mut self, slots: u32, limit: Duration) -> Option<u64> {
        let team = settings::team(slots, settings::TEAM_TOKEN);
        let change = self.try_configure("team/bookings", &team);
        tokio::time::timeout(limit, change).await.ok()?.ok()
    }

    /// Changes the test team's bearer token and returns the version.
    pub async fn set_team_token(&mut self, token: &str) -> u64 {
        let team = settings::team(self.options.quota, token);
        self.configure("team/bookings", &team).await
    }

    /// Waits until every entry and agent is active with the configuration in force.
    ///
    /// # Panics
    ///
    /// Panics when that does not come about.
    pub async fn wait_in_service(&mut self) {
        let nodes: Vec<String> = layout::nodes();
        let waited = until("every node is active and current", async || {
            let Some(status) = self.poll().await else {
                return false;
            };
            nodes.iter().all(|n| current(&status, n))
        });
        if let Err(e) = waited.await {
            let status = self.operator.status().await;
            panic!("{e}: {status:?}");
        }
    }

    /// Reads the state of the group, and keeps the versions in force as evidence.
    pub async fn poll(&mut self) -> Option<StatusReply> {
        let status = self.operator.status().await.ok()?;
        let now = unix_ms();
        let sample = |node: &str, incarnation, at_ms, version| VersionSample {
            node: node.to_owned(),
            incarnation,
            at_ms,
            version,
            suspended: false,
        };
        let versions = &mut self.evidence.versions;
        versions.push(sample("control", 0, now, status.config_version));
        for node in &status.nodes {
            let Some(member) = &node.member else { continue };
            let Some(id) = &member.node else { continue };
            if node.age_ms == NO_REPORT {
                continue;
            }
            let at_ms = now.saturating_sub(node.age_ms);
            versions.push(VersionSample {
                suspended: node.suspended,
                ..sample(&id.name, id.incarnation, at_ms, node.config_version)
            });
        }
        Some(status)
    }

    /// Polls for a while, for what only shows with time.
    pub async fn watch(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.poll().await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the name of the leading control member.
    ///
    /// # Panics
    ///
    /// Panics when nobody leads.
    pub async fn leader(&mut self) -> String {
        let status = self.operator.status().await;
        status.expect("a leader answers").leader
    }

    /// Returns the folder with the settings, logs and data of the processes.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Returns the names of all processes.
    pub fn names(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Returns the process with the given name.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn process(&mut self, name: &str) -> &mut Process {
        let found = self.processes.get_mut(name);
        found.unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Asks a process to stop gracefully, and notes it as evidence.
    pub fn terminate(&mut self, name: &str) {
        let at_ms = unix_ms();
        let endpoint = layout::endpoint_of(name);
        self.process(name).terminate();
        if name.starts_with('s') {
            let endpoint = name.to_owned();
            self.evidence.leaving.push(Leaving {
                endpoint,
                at_ms,
                until_ms: None,
            });
            return;
        }
        self.evidence.stops.push(GracefulStop {
            process: name.to_owned(),
            endpoint,
            at_ms,
            clean: false,
        });
    }

    /// Waits until a process that was asked to stop has ended.
    ///
    /// # Errors
    ///
    /// Names the process that does not end.
    pub async fn wait_stopped(&mut self, name: &str) -> Result<(), String> {
        let process = self.process(name);
        let ended = until(&format!("{name} has ended"), async || !process.is_running()).await;
        let clean = process.exit().is_some_and(|s| s.success());
        for stop in &mut self.evidence.stops {
            if stop.process == name {
                stop.clean |= clean;
            }
        }
        ended
    }

    /// Drops a graceful stop from the evidence, after the process was killed on its way.
    pub(crate) fn forget_stop(&mut self, name: &str) {
        self.evidence.stops.retain(|s| s.process != name);
    }

    /// Starts a process that is down.
    pub fn start_process(&mut self, name: &str) {
        if self.process(name).is_running() {
            return;
        }
        for left in &mut self.evidence.leaving {
            if left.endpoint == name && left.until_ms.is_none() {
                left.until_ms = Some(unix_ms());
            }
        }
        self.process(name).start();
    }

    /// Starts every process that is down.
    pub fn start_all(&mut self) {
        for name in self.names() {
            self.start_process(&name);
        }
    }

    /// Says that graceful stops are the only disturbance of this run.
    pub fn only_graceful(&mut self) {
        self.evidence.only_graceful = true;
    }

    /// Puts faults in force on the links that `choose` accepts by their two ends.
    pub fn set(&self, choose: impl Fn(&str, &str) -> bool, faults: Faults) {
        for ((from, to), link) in &self.links {
            if choose(from, to) {
                link.set_faults(faults);
            }
        }
    }

    /// Resets the connections of the links that `choose` accepts.
    pub fn reset(&self, choose: impl Fn(&str, &str) -> bool) {
        for ((from, to), link) in &self.links {
            if choose(from, to) {
                link.reset_connections();
            }
        }
    }

    /// Blocks what `name` sends, what it receives, or both, on every link of its own.
    pub fn cut(&self, name: &str, sends: bool, receives: bool) {
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

    /// Ends all faults on links.
    pub fn heal(&self) {
        self.set(|_, _| true, Faults::default());
    }

    /// Returns the address at which callers reach an entry, through the proxy.
    ///
    /// # Panics
    ///
    /// Panics when there is no such entry.
    pub fn entry(&self, name: &str) -> SocketAddr {
        self.links[&("callers".to_owned(), name.to_owned())].addr()
    }

    /// Returns a listening address of a process past the proxy: `e1`, or `e1/http`.
    ///
    /// # Panics
    ///
    /// Panics when there is no such address.
    pub fn direct(&self, name: &str) -> SocketAddr {
        self.direct[name]
    }

    /// Returns every listening address, past the proxies.
    pub fn listeners(&self) -> Vec<(String, SocketAddr)> {
        self.direct.iter().map(|(n, a)| (n.clone(), *a)).collect()
    }

    /// Submits a job once, as a caller that waits for its answer.
    pub fn submit(&self, job: &Job, entry: &str) -> JoinHandle<Call> {
        let (job, entry, addr) = (job.clone(), entry.to_owned(), self.entry(entry));
        let calls = Arc::clone(&self.calls);
        tokio::spawn(async move {
            let call = job.submit(&entry, addr).await;
            lock(&calls).push(call.clone());
            call
        })
    }

    /// Submits a job at `first`, and again at both entries in turn until its outcome is known.
    pub fn submit_until_final(&self, job: &Job, first: &str) -> JoinHandle<Result<Call, String>> {
        let other = if first == "e1" { "e2" } else { "e1" };
        let turns = [first, other].map(|e| (e.to_owned(), self.entry(e)));
        let (job, calls) = (job.clone(), Arc::clone(&self.calls));
        tokio::spawn(async move {
            let end = Instant::now() + CALLER_LIMIT;
            let mut last = None;
            let mut turns = turns.iter().cycle();
            while Instant::now() < end
                && let Some((entry, addr)) = turns.next()
            {
                let sent_ms = unix_ms();
                let submitted = tokio::time::timeout(CALLER_PATIENCE, job.submit(entry, *addr));
                let call = submitted
                    .await
                    .unwrap_or_else(|_| gave_up(&job, entry, sent_ms));
                lock(&calls).push(call.clone());
                if call.answer.is_final() {
                    return Ok(call);
                }
                last = Some(call.answer);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(format!("{} has no outcome, last answer {last:?}", job.name))
        })
    }

    /// Collects the evidence so far.
    pub fn evidence(&self) -> Evidence {
        let mut evidence = self.evidence.clone();
        evidence.calls.clone_from(&lock(&self.calls));
        evidence.lag_ms = self.lag.load(Ordering::Relaxed);
        for (endpoint, file) in &self.records {
            let text = std::fs::read_to_string(file).unwrap_or_default();
            evidence.starts.extend(parse_starts(endpoint, &text));
        }
        evidence
    }

    /// Verifies every promise on the evidence so far.
    ///
    /// # Errors
    ///
    /// Lists the violations.
    pub fn verify(&self) -> Result<(), String> {
        let found = check(&self.evidence());
        if found.is_empty() {
            return Ok(());
        }
        let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
        Err(lines.join("\n"))
    }

    /// Verifies every promise on the evidence so far.
    ///
    /// # Panics
    ///
    /// Panics with the violations.
    pub fn assert_promises(&self) {
        if let Err(found) = self.verify() {
            panic!("{found}");
        }
    }

    /// Returns the seed and the ends of the processes' logs.
    pub fn report(&self) -> String {
        let mut text = format!("seed={}\n", self.options.seed);
        for (name, process) in &self.processes {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "---- {name}\n{}", process.tail());
        }
        text
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.lag_task.abort();
        if std::thread::panicking() {
            eprintln!("{}", self.report());
        }
    }
}

fn gave_up(job: &Job, entry: &str, sent_ms: u64) -> Call {
    Call {
        team: job.team.clone(),
        job: job.name.clone(),
        entry: entry.to_owned(),
        numbers: job.numbers.clone(),
        repeatable: job.repeatable,
        sent_ms,
        answered_ms: unix_ms(),
        answer: crate::Answer::GaveUp,
    }
}

fn current(status: &StatusReply, name: &str) -> bool {
    status.nodes.iter().any(|n| {
        let member = n.member.as_ref();
        member.is_some_and(|m| {
            let named = m.node.as_ref().is_some_and(|id| id.name == name);
            let serves = name.starts_with('e') || m.endpoint.is_some();
            named && serves && m.state() == NodeState::Active
        }) && n.config_version == status.config_version
    })
}

/// Keeps the longest delay of a due timer.
async fn measure_lag(lag: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + LAG_PERIOD;
        tokio::time::sleep_until(due).await;
        lag.fetch_max(due.elapsed().as_millis() as u64, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The names and addresses of the control members.
type Members = Vec<(Name, SocketAddr)>;
