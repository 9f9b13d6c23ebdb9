//! Starts a whole cluster on threads of this process, on loopback.
//!
//! Each role runs on a thread of its own with its own runtime of one thread, from settings
//! in INI text as a process would read them. All files are in a temporary folder that is
//! removed with the [`Cluster`].

mod folder;
mod node;
mod spec;
mod zones;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use slog::Logger;

use sassafras_config::team_item;
use sassafras_proxy::free_addr;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_wire::ClusterKey;
use sassafras_wire::proto::NodeState;

pub use crate::embedded::spec::ClusterSpec;
pub use crate::embedded::spec::TeamSpec;
pub use crate::embedded::spec::Worker;

use crate::embedded::folder::TempFolder;
use crate::embedded::node::Node;
use crate::embedded::zones::Zones;
use crate::http_client::HttpClient;
use crate::operator::OperatorClient;

/// Members of the control group.
const CONTROLS: usize = 3;
/// Time for the whole cluster to come up.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Pause between looks at the cluster's state.
const POLL: Duration = Duration::from_millis(50);
/// Time for one role to end after a stop was asked for.
const STOP_LIMIT: Duration = Duration::from_secs(10);
const OPERATOR_TOKEN: &str = "embedded-operator";

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    entries: Vec<SocketAddr>,
    standins: Vec<SocketAddr>,
    metrics: SocketAddr,
    control: Vec<(Name, SocketAddr)>,
    key: ClusterKey,
    nodes: Vec<Node>,
    zones: Zones,
    log: Logger,
    // Removed last, when no role uses its files any more.
    _folder: TempFolder,
}

/// What the starting functions of the roles share.
struct Starter<'a> {
    plan: &'a ClusterSpec,
    folder: &'a TempFolder,
    zones: Zones,
    control: Vec<(Name, SocketAddr)>,
    log: Logger,
    nodes: Vec<Node>,
}

impl Cluster {
    /// Starts a cluster and waits until its entries accept jobs.
    ///
    /// # Errors
    ///
    /// Fails when a role cannot start or the cluster does not come up in time.
    pub async fn start(plan: &ClusterSpec, log: Logger) -> Result<Self, Error> {
        sassafras_runtime::install_metrics();
        let folder = TempFolder::create()?;
        let key = format!("{:016x}{:016x}", random(), random());
        std::fs::write(folder.path().join("key"), &key)?;
        std::fs::write(folder.path().join("operators.ini"), operators())?;
        let mut starter = Starter {
            plan,
            folder: &folder,
            zones: Zones::new(plan.proxied),
            control: Vec::new(),
            log: log.clone(),
            nodes: Vec::new(),
        };
        let metrics = sassafras_runtime::serve_metrics(free_addr()).await?;
        starter.start_control().await?;
        let mut entries = Vec::new();
        for nth in 0..plan.entries {
            entries.push(starter.start_entry(nth).await?);
        }
        let mut standins = Vec::new();
        for worker in &plan.workers {
            standins.push(starter.start_worker(worker).await?);
        }
        let Starter {
            zones,
            control,
            nodes,
            ..
        } = starter;
        let cluster = Self {
            entries,
            standins,
            metrics,
            control,
            key: ClusterKey::new(key.as_bytes()),
            nodes,
            zones,
            log,
            _folder: folder,
        };
        cluster.make_ready(plan).await?;
        Ok(cluster)
    }

    /// Returns where callers reach the entries.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Returns the addresses of the stand-ins.
    pub fn standins(&self) -> &[SocketAddr] {
        &self.standins
    }

    /// Returns the address of the metrics page, which all roles share.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Returns the control members.
    pub fn control(&self) -> &[(Name, SocketAddr)] {
        &self.control
    }

    /// Returns the key of the cluster.
    pub fn key(&self) -> ClusterKey {
        self.key.clone()
    }

    /// Creates an operator of this cluster.
    pub fn operator(&self) -> OperatorClient {
        let members = self.control.clone();
        OperatorClient::new(members, self.key(), OPERATOR_TOKEN, self.log.clone())
    }

    /// Ends a role at once, as a kill would: its sockets close and nothing is finished.
    ///
    /// # Errors
    ///
    /// Fails when no role has that name.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        let found = self.nodes.iter_mut().find(|n| n.name() == name);
        found
            .ok_or_else(|| Error::new(format!("no role is named {name}")))?
            .kill();
        Ok(())
    }

    /// Cuts the links between a zone and the others, or mends them. Works only for a
    /// cluster whose plan is `proxied`.
    pub fn cut(&self, zone: usize, cut: bool) {
        self.zones.cut(zone, cut);
    }

    /// Stops all roles gracefully: entries first, control last. Returns the errors with
    /// which roles ended.
    pub async fn stop(mut self) -> Vec<Error> {
        let mut errors = Vec::new();
        let mut nodes = std::mem::take(&mut self.nodes);
        nodes.sort_by_key(Node::rank);
        while !nodes.is_empty() {
            let rank = nodes[0].rank();
            let rest = nodes.split_off(nodes.partition_point(|n| n.rank() == rank));
            nodes.iter().for_each(Node::stop);
            let until = Instant::now() + STOP_LIMIT;
            for node in nodes {
                errors.extend(node.join(until).await.err());
            }
            nodes = rest;
        }
        errors
    }

    async fn make_ready(&self, plan: &ClusterSpec) -> Result<(), Error> {
        let ready = async {
            let mut operator = self.operator();
            let items: Vec<(String, String)> = plan
                .teams
                .iter()
                .map(|t| (team_item(&t.name), t.to_ini(plan.kinds)))
                .collect();
            let version = if items.is_empty() {
                0
            } else {
                operator.apply(&items).await?
            };
            loop {
                let status = operator.status(false, true).await?;
                let announced = status.nodes.iter().filter(|n| {
                    let member = n.member.as_ref();
                    member.is_some_and(|m| m.endpoint.is_some() && m.state() == NodeState::Active)
                });
                let current = status.nodes.iter().all(|n| n.config_version >= version);
                let nodes = plan.workers.len() + plan.entries;
                if announced.count() == plan.workers.len() && status.nodes.len() >= nodes && current
                {
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
            if plan.probe {
                self.probe_entries(plan).await;
            }
            Ok(())
        };
        match tokio::time::timeout(START_LIMIT, ready).await {
            Ok(done) => done,
            Err(_) => Err(Error::new("the cluster did not come up in time")),
        }
    }

    /// Submits one-task jobs of no work until each entry has answered one.
    pub async fn probe_entries(&self, plan: &ClusterSpec) {
        let Some(team) = plan.teams.first() else {
            return;
        };
        let bearer = format!("Bearer {}", team.token);
        for addr in &self.entries {
            let caller = HttpClient::new(*addr);
            let mut nth = 0;
            loop {
                nth += 1;
                let path = format!("/v1/teams/{}/jobs/ready-{}-{nth}", team.name, addr.port());
                let headers = [
                    ("authorization", bearer.as_str()),
                    ("content-type", "application/json"),
                ];
                let body = Bytes::from_static(br#"{"tasks":[{"payload":{"work_ms":0}}]}"#);
                let reply = caller.send(Method::PUT, &path, &headers, body).await;
                if reply.is_ok_and(|r| r.status == 200) {
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }
}

impl Starter<'_> {
    async fn start_control(&mut self) -> Result<(), Error> {
        let mut listens = Vec::new();
        for nth in 0..CONTROLS {
            let addr = free_addr();
            listens.push(addr);
            self.control
                .push((Name::from(format!("control-{nth}")), addr));
        }
        for (nth, listen) in listens.iter().enumerate() {
            let name = format!("control-{nth}");
            let data = self.folder.path().join(&name);
            std::fs::create_dir(&data)?;
            let common = self.common(&name, nth % 3, *listen, *listen).await?;
            let text = format!(
                "{common}[storage]\npath = {}\nbootstrap = true\n\
                 [bootstrap]\noperators = {}\n",
                data.display(),
                self.folder.path().join("operators.ini").display()
            );
            self.nodes.push(Node::start(
                &name,
                3,
                &text,
                &self.log,
                sassafras_control::Settings::load,
                sassafras_control::run,
            )?);
        }
        Ok(())
    }

    async fn start_entry(&mut self, nth: usize) -> Result<SocketAddr, Error> {
        let name = format!("entry-{nth}");
        let listen = free_addr();
        let http = free_addr();
        let http = self.plan.http_addr.filter(|_| nth == 0).unwrap_or(http);
        // Entries avoid the last zone, which is the one that a scenario cuts off.
        let common = self.common(&name, nth % 2, listen, listen).await?;
        let placement = &self.plan.placement;
        let text = format!(
            "{common}[entry]\nhttp = {http}\ndrain_ms = 2000\n[policy]\nplacement = {placement}\n"
        );
        self.nodes.push(Node::start(
            &name,
            0,
            &text,
            &self.log,
            sassafras_entry::Settings::load,
            sassafras_entry::run,
        )?);
        Ok(http)
    }

    /// Starts an agent and the stand-in beside it, and returns the stand-in's address.
    async fn start_worker(&mut self, worker: &Worker) -> Result<SocketAddr, Error> {
        let name = format!("agent-{}", worker.name);
        let listen = free_addr();
        let endpoint = free_addr();
        let tasks = free_addr();
        let advertise = self.zones.inbound(worker.zone, listen).await?;
        let common = self.common(&name, worker.zone, listen, advertise).await?;
        let text = format!("{common}[endpoint]\nlisten = {endpoint}\n[agent]\ndrain_ms = 2000\n");
        self.nodes.push(Node::start(
            &name,
            1,
            &text,
            &self.log,
            sassafras_agent::Settings::load,
            sassafras_agent::run,
        )?);
        let text = worker.standin_ini(endpoint, tasks, &self.plan.log_level);
        self.nodes.push(Node::start(
            &format!("standin-{}", worker.name),
            2,
            &text,
            &self.log,
            sassafras_standin::Settings::load,
            sassafras_standin::run,
        )?);
        Ok(tasks)
    }

    /// Returns the sections that every process has. A node reaches control members of
    /// other zones through the links of its zone.
    async fn common(
        &mut self,
        name: &str,
        zone: usize,
        listen: SocketAddr,
        advertise: SocketAddr,
    ) -> Result<String, Error> {
        let mut members = Vec::new();
        for (nth, (member, addr)) in self.control.iter().enumerate() {
            let addr = self.zones.between(zone, nth % 3, *addr).await?;
            members.push(format!("{member}@{addr}"));
        }
        Ok(format!(
            "[node]\nname = {name}\nzone = {}\nlisten = {listen}\nadvertise = {advertise}\n\
             [cluster]\ncontrol = {}\nkey_file = {}\n[log]\nlevel = {}\n",
            self.plan.zones[zone],
            members.join(", "),
            self.folder.path().join("key").display(),
            self.plan.log_level
        ))
    }
}

fn operators() -> String {
    let digest = sassafras_util::Digest::of(OPERATOR_TOKEN.as_bytes());
    format!("[operator load]\ntoken_sha256 = {digest}\n")
}

fn random() -> u64 {
    sassafras_util::random_u64()
}
