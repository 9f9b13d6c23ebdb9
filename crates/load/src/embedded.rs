//! An embedded cluster, which runs on threads of this process and listens on loopback.
//!
//! Each role runs on its own thread with a single-threaded runtime. Its settings are parsed from
//! the INI text that a process would read. All files are in a temporary directory that is removed
//! with the [`Cluster`].

mod node;
mod spec;
mod temp_dir;
mod zone_links;

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
pub use crate::embedded::spec::WorkerSpec;

use crate::embedded::node::Node;
use crate::embedded::temp_dir::TempDir;
use crate::embedded::zone_links::ZoneLinks;
use crate::http_client::HttpClient;
use crate::operator::OperatorClient;

/// Number of members of the control group.
const CONTROL_MEMBERS: usize = 3;
/// Timeout for the cluster to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the status of the cluster is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a graceful stop, after which a role is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Bearer token of the operator that an embedded cluster is bootstrapped with.
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
    links: ZoneLinks,
    log: Logger,
    // Declared last, so that it is removed after the roles that use its files.
    _dir: TempDir,
}

/// The parts of a cluster that are being started.
struct ClusterBuilder<'a> {
    spec: &'a ClusterSpec,
    dir: &'a TempDir,
    links: ZoneLinks,
    control: Vec<(Name, SocketAddr)>,
    log: Logger,
    nodes: Vec<Node>,
}

impl Cluster {
    /// Starts a cluster and waits until its entries accept jobs.
    ///
    /// # Errors
    ///
    /// Fails when a role cannot start or the cluster is not ready within 20 s.
    pub async fn start(spec: &ClusterSpec, log: Logger) -> Result<Self, Error> {
        sassafras_runtime::install_metrics();
        let dir = TempDir::create()?;
        let key = format!("{:016x}{:016x}", random(), random());
        std::fs::write(dir.path().join("key"), &key)?;
        std::fs::write(dir.path().join("operators.ini"), operators_ini())?;
        let mut builder = ClusterBuilder {
            spec,
            dir: &dir,
            links: ZoneLinks::new(spec.proxied),
            control: Vec::new(),
            log: log.clone(),
            nodes: Vec::new(),
        };
        let metrics = sassafras_runtime::serve_metrics(free_addr()).await?;
        builder.start_control().await?;
        let mut entries = Vec::new();
        for nth in 0..spec.entries {
            entries.push(builder.start_entry(nth).await?);
        }
        let mut standins = Vec::new();
        for worker in &spec.workers {
            standins.push(builder.start_worker(worker).await?);
        }
        let ClusterBuilder {
            links,
            control,
            nodes,
            ..
        } = builder;
        let cluster = Self {
            entries,
            standins,
            metrics,
            control,
            key: ClusterKey::new(key.as_bytes()),
            nodes,
            links,
            log,
            _dir: dir,
        };
        cluster.initialize(spec).await?;
        Ok(cluster)
    }

    /// Returns the addresses of the caller APIs of the entries.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Returns the addresses of the stand-ins.
    pub fn standins(&self) -> &[SocketAddr] {
        &self.standins
    }

    /// Returns the address of the metrics page that all roles share.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Returns the names and addresses of the control members.
    pub fn control(&self) -> &[(Name, SocketAddr)] {
        &self.control
    }

    /// Returns the cluster key.
    pub fn key(&self) -> ClusterKey {
        self.key.clone()
    }

    /// Creates an operator client of this cluster.
    pub fn operator(&self) -> OperatorClient {
        let members = self.control.clone();
        OperatorClient::new(members, self.key(), OPERATOR_TOKEN, self.log.clone())
    }

    /// Ends a role abruptly, as a kill of its process would: its sockets close and no work is
    /// finished.
    ///
    /// # Errors
    ///
    /// Fails when no role has that name.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        let found = self.nodes.iter_mut().find(|n| n.name() == name);
        found
            .ok_or_else(|| Error::new(format!("the cluster has no role named {name}")))?
            .kill();
        Ok(())
    }

    /// Partitions a zone from the others, or ends the partition. Has no effect unless
    /// [`ClusterSpec::proxied`] is set.
    pub fn set_partitioned(&self, zone: usize, partitioned: bool) {
        self.links.set_partitioned(zone, partitioned);
    }

    /// Stops all roles gracefully: entries first, then agents, stand-ins and control members.
    /// Returns the errors of the roles that failed.
    pub async fn stop(mut self) -> Vec<Error> {
        let mut errors = Vec::new();
        let mut nodes = std::mem::take(&mut self.nodes);
        nodes.sort_by_key(Node::stop_order);
        while !nodes.is_empty() {
            let order = nodes[0].stop_order();
            let rest = nodes.split_off(nodes.partition_point(|n| n.stop_order() == order));
            nodes.iter().for_each(Node::stop);
            let until = Instant::now() + STOP_TIMEOUT;
            for node in nodes {
                errors.extend(node.join(until).await.err());
            }
            nodes = rest;
        }
        errors
    }

    /// Declares the teams and waits until all nodes are registered with the current configuration
    /// and all endpoints are announced.
    async fn initialize(&self, spec: &ClusterSpec) -> Result<(), Error> {
        let ready = async {
            let mut operator = self.operator();
            let items: Vec<(String, String)> = spec
                .teams
                .iter()
                .map(|t| (team_item(&t.name), t.to_ini(spec.kinds)))
                .collect();
            let version = if items.is_empty() {
                0
            } else {
                operator.apply_config(&items).await?
            };
            loop {
                let status = operator.status(false, true).await?;
                let announced = status.nodes.iter().filter(|n| {
                    let member = n.member.as_ref();
                    member.is_some_and(|m| m.endpoint.is_some() && m.state() == NodeState::Active)
                });
                let up_to_date = status.nodes.iter().all(|n| n.config_version >= version);
                let nodes = spec.workers.len() + spec.entries;
                if announced.count() == spec.workers.len()
                    && status.nodes.len() >= nodes
                    && up_to_date
                {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            if spec.probe_entries {
                self.probe_entries(spec).await;
            }
            Ok(())
        };
        match tokio::time::timeout(START_TIMEOUT, ready).await {
            Ok(done) => done,
            Err(_) => Err(Error::new("cluster was not ready within the start timeout")),
        }
    }

    /// Submits jobs with one task of zero work until each entry has completed one.
    pub async fn probe_entries(&self, spec: &ClusterSpec) {
        let Some(team) = spec.teams.first() else {
            return;
        };
        let authorization = format!("Bearer {}", team.token);
        for addr in &self.entries {
            let client = HttpClient::new(*addr);
            let mut nth = 0;
            loop {
                nth += 1;
                let path = format!("/v1/teams/{}/jobs/ready-{}-{nth}", team.name, addr.port());
                let headers = [
                    ("authorization", authorization.as_str()),
                    ("content-type", "application/json"),
                ];
                let body = Bytes::from_static(br#"{"tasks":[{"payload":{"work_ms":0}}]}"#);
                let response = client.send(Method::PUT, &path, &headers, body).await;
                if response.is_ok_and(|r| r.status == 200) {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

impl ClusterBuilder<'_> {
    async fn start_control(&mut self) -> Result<(), Error> {
        let mut addrs = Vec::new();
        for nth in 0..CONTROL_MEMBERS {
            let addr = free_addr();
            addrs.push(addr);
            self.control
                .push((Name::from(format!("control-{nth}")), addr));
        }
        for (nth, listen) in addrs.iter().enumerate() {
            let name = format!("control-{nth}");
            let data_dir = self.dir.path().join(&name);
            std::fs::create_dir(&data_dir)?;
            let common = self.common_ini(&name, nth % 3, *listen, *listen).await?;
            let text = format!(
                "{common}[storage]\npath = {}\nbootstrap = true\n\
                 [bootstrap]\noperators = {}\n",
                data_dir.display(),
                self.dir.path().join("operators.ini").display()
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
        let http = self.spec.http_addr.filter(|_| nth == 0).unwrap_or(http);
        // The last zone has no entry, because `Fault::ZoneCut` partitions it.
        let common = self.common_ini(&name, nth % 2, listen, listen).await?;
        let placement = &self.spec.placement;
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

    /// Starts the agent and the stand-in of a worker, and returns the stand-in's address.
    async fn start_worker(&mut self, worker: &WorkerSpec) -> Result<SocketAddr, Error> {
        let name = format!("agent-{}", worker.name);
        let listen = free_addr();
        let endpoint = free_addr();
        let standin = free_addr();
        let advertise = self.links.inbound(worker.zone, listen).await?;
        let common = self
            .common_ini(&name, worker.zone, listen, advertise)
            .await?;
        let text = format!("{common}[endpoint]\nlisten = {endpoint}\n[agent]\ndrain_ms = 2000\n");
        self.nodes.push(Node::start(
            &name,
            1,
            &text,
            &self.log,
            sassafras_agent::Settings::load,
            sassafras_agent::run,
        )?);
        let text = worker.standin_ini(endpoint, standin, &self.spec.log_level);
        self.nodes.push(Node::start(
            &format!("standin-{}", worker.name),
            2,
            &text,
            &self.log,
            sassafras_standin::Settings::load,
            sassafras_standin::run,
        )?);
        Ok(standin)
    }

    /// Returns the INI sections that all nodes share. The addresses of control members in other
    /// zones are those of proxies, if links are proxied.
    async fn common_ini(
        &mut self,
        name: &str,
        zone: usize,
        listen: SocketAddr,
        advertise: SocketAddr,
    ) -> Result<String, Error> {
        let mut members = Vec::new();
        for (nth, (member, addr)) in self.control.iter().enumerate() {
            let addr = self.links.between(zone, nth % 3, *addr).await?;
            members.push(format!("{member}@{addr}"));
        }
        Ok(format!(
            "[node]\nname = {name}\nzone = {}\nlisten = {listen}\nadvertise = {advertise}\n\
             [cluster]\ncontrol = {}\nkey_file = {}\n[log]\nlevel = {}\n",
            self.spec.zones[zone],
            members.join(", "),
            self.dir.path().join("key").display(),
            self.spec.log_level
        ))
    }
}

fn operators_ini() -> String {
    let digest = sassafras_util::Digest::of(OPERATOR_TOKEN.as_bytes());
    format!("[operator load]\ntoken_sha256 = {digest}\n")
}

fn random() -> u64 {
    sassafras_util::random_u64()
}
