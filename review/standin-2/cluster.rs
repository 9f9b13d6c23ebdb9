//! A small deployment on loopback addresses: edge machines with a control member and an entry, and
//! side machines with an agent. The programs run with the commands and the templates of the
//! deploy file, and each machine has an address of its own.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::io::Error;
use std::io::Result;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::send;
use crate::record::Record;

/// Control hosts at the first start, which are the seeds of all settings.
const SEEDS: usize = 3;
/// How long an operator waits for a response.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two tries of an order that got no clear answer.
const OPERATOR_PAUSE: Duration = Duration::from_millis(200);
/// How long the deployment may take to become ready. If it takes longer, the case cannot run.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Host name of the requests of clients.
pub const CLIENT_HOST: &str = "q.example";

/// Offsets of the ports from the first one, which are the same on all machines.
#[derive(Clone, Copy)]
enum Port {
    ControlPlane,
    Frontend,
    Readiness,
    Internal0,
    Internal1,
    App,
}

const PORTS: u16 = 6;

/// The deployment. All processes are killed when it is dropped.
pub struct Cluster {
    record: Record,
    folder: PathBuf,
    /// Second part of all addresses, so that cases can run side by side.
    network: u8,
    first_port: u16,
    programs: HashMap<String, String>,
    processes: BTreeMap<String, Child>,
}

impl Cluster {
    /// Starts three edge machines and `sides` side machines.
    pub fn start(record: &Record, sides: usize) -> Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder)?;
        let network = 20 + (pid % 200) as u8;
        let address = Ipv4Addr::new(127, network, 1, 1);
        let free = |first: &u16| {
            let mut ports = *first..*first + PORTS;
            ports.all(|port| TcpListener::bind((address, port)).is_ok())
        };
        let first_port = (21_000..60_000).step_by(101).find(free);
        let first_port = first_port.ok_or_else(|| Error::other("no free ports"))?;
        let mut cluster = Self {
            record: record.clone(),
            folder,
            network,
            first_port,
            programs: read_programs(&fs::read_to_string("deploy/system.toml")?),
            processes: BTreeMap::new(),
        };
        for n in 1..=SEEDS {
            cluster.start_edge(n, true)?;
        }
        for n in 1..=sides {
            cluster.start_process("agent", n, false)?;
        }
        Ok(cluster)
    }

    /// Starts the processes of an edge machine.
    pub fn start_edge(&mut self, n: usize, bootstrap: bool) -> Result<()> {
        self.start_process("control", n, bootstrap)?;
        self.start_process("entry", n, bootstrap)
    }

    fn start_process(&mut self, role: &str, n: usize, bootstrap: bool) -> Result<()> {
        let name = format!("{role}-{n}");
        let settings = self.folder.join(format!("{name}.ini"));
        let template = fs::read_to_string(format!("deploy/{role}.ini"))?;
        fs::write(
            &settings,
            render(&template, &self.fields(role, n, bootstrap)?),
        )?;
        let log = fs::File::create(self.folder.join(format!("{name}.log")))?;
        let command = self.programs.get(role);
        let command = command.ok_or_else(|| Error::other("no such role in the deploy file"))?;
        let child = Command::new(command)
            .env("SASSAFRASLEVER_CONFIG", settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record
            .note(format!("{name} is started at {}", self.ip(role, n)));
        self.processes.insert(name, child);
        Ok(())
    }

    /// Returns the fields of a process's settings that the templates use.
    fn fields(&self, role: &str, n: usize, bootstrap: bool) -> Result<HashMap<String, String>> {
        let ip = self.ip(role, n);
        let address = |port: Port| format!("{ip}:{}", self.port(port));
        let seeds = (1..=SEEDS).map(|n| {
            let ip = self.ip("control", n);
            format!("{ip}:{}", self.port(Port::ControlPlane))
        });
        let seeds: Vec<String> = seeds.collect();
        let mut fields = vec![
            ("nodeName", format!("{role}-{n}")),
            ("zone", "z".to_owned()),
            ("ip", ip.to_string()),
            ("internalPorts.0", self.port(Port::Internal0).to_string()),
            ("internalPorts.1", self.port(Port::Internal1).to_string()),
            ("seeds", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            ("faultTolerance.machines", "1".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.remoteFactor", "1.5".to_owned()),
            ("limits.cpuShare", "0.5".to_owned()),
            ("listenAddrs.controlPlane", address(Port::ControlPlane)),
            ("listenAddrs.frontend", address(Port::Frontend)),
            ("listenAddrs.readiness", address(Port::Readiness)),
        ];
        if role == "control" {
            let data = self.data(n);
            fs::create_dir_all(&data)?;
            fields.push(("dataDir", data.display().to_string()));
        }
        Ok(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
    }

    fn data(&self, n: usize) -> PathBuf {
        self.folder.join(format!("data-{n}"))
    }

    fn ip(&self, role: &str, n: usize) -> Ipv4Addr {
        let class = if role == "agent" { 3 } else { 1 };
        Ipv4Addr::new(127, self.network, class, n as u8)
    }

    fn port(&self, port: Port) -> u16 {
        self.first_port + port as u16
    }

    fn address(&self, role: &str, n: usize, port: Port) -> SocketAddr {
        (self.ip(role, n), self.port(port)).into()
    }

    /// Returns where the agent of a side machine accepts reports.
    pub fn reports(&self, n: usize) -> SocketAddr {
        self.address("agent", n, Port::ControlPlane)
    }

    /// Returns where the worker of a side machine accepts calls.
    pub fn app(&self, n: usize) -> SocketAddr {
        self.address("agent", n, Port::App)
    }

    /// Returns where the entry of an edge machine accepts clients.
    pub fn frontend(&self, n: usize) -> SocketAddr {
        self.address("entry", n, Port::Frontend)
    }

    /// Stops the processes of an edge machine with SIGTERM, and waits until they have ended. Returns
    /// when its control member had ended, which comes first.
    pub fn terminate_edge(&mut self, n: usize) -> Result<Instant> {
        let names = [format!("control-{n}"), format!("entry-{n}")];
        for name in &names {
            let pid = self.processes[name].id().to_string();
            Command::new("kill").args(["-TERM", &pid]).status()?;
            self.record.note(format!("{name} gets SIGTERM"));
        }
        let mut ended = None;
        for name in &names {
            if let Some(mut child) = self.processes.remove(name) {
                let status = child.wait()?;
                self.record.note(format!("{name} has ended: {status}"));
                ended.get_or_insert_with(Instant::now);
            }
        }
        ended.ok_or_else(|| Error::other("the machine does not run"))
    }

    /// Kills the processes of an edge machine and removes its disk.
    pub fn lose_edge(&mut self, n: usize) -> Result<()> {
        for name in [format!("control-{n}"), format!("entry-{n}")] {
            if let Some(mut child) = self.processes.remove(&name) {
                child.kill()?;
                child.wait()?;
                self.record.note(format!("{name} is killed"));
            }
        }
        fs::remove_dir_all(self.data(n))?;
        self.record
            .note(format!("edge machine {n} is gone with its disk"));
        Ok(())
    }

    /// Returns the processes that have ended by themselves.
    pub fn exited(&mut self) -> Vec<String> {
        let ended = |child: &mut Child| !matches!(child.try_wait(), Ok(None));
        let ended = self
            .processes
            .iter_mut()
            .filter_map(|(n, c)| ended(c).then(|| n.clone()));
        ended.collect()
    }

    /// Writes the lines of a process's log that contain one of the words to the record.
    pub fn quote_log(&self, process: &str, words: &[&str]) {
        let log = fs::read_to_string(self.folder.join(format!("{process}.log")));
        for line in log.unwrap_or_default().lines() {
            if words.iter().any(|w| line.contains(w)) {
                self.record.note(format!("log of {process}: {line}"));
            }
        }
    }

    /// Sends a manifest to a control host once. Returns the status of the response.
    pub fn put_manifest(&self, n: usize, manifest: &[u8]) -> Option<u16> {
        let addr = self.address("control", n, Port::ControlPlane);
        let request = Request {
            method: "PUT",
            path: "/-/config",
            host: "control",
            headers: &[],
            body: manifest,
            timeout: OPERATOR_TIMEOUT,
        };
        send(addr, &request).ok().map(|(status, _)| status)
    }

    /// Reads the manifest at a control host.
    pub fn get_manifest(&self, n: usize) -> Option<(u16, Vec<u8>)> {
        let addr = self.address("control", n, Port::ControlPlane);
        let request = Request {
            method: "GET",
            path: "/-/config",
            host: "control",
            headers: &[],
            body: &[],
            timeout: OPERATOR_TIMEOUT,
        };
        send(addr, &request).ok()
    }

    /// Sends a manifest to the control hosts in turn until one acknowledges it.
    pub fn apply_manifest(&self, hosts: &[usize], manifest: &[u8]) -> Result<()> {
        let start = Instant::now();
        for n in hosts.iter().cycle() {
            let status = self.put_manifest(*n, manifest);
            if status == Some(200) {
                self.record
                    .note(format!("control-{n} acknowledges a manifest"));
                return Ok(());
            }
            if start.elapsed() > READY_TIMEOUT {
                break;
            }
            sleep(OPERATOR_PAUSE);
        }
        Err(Error::other("no control host acknowledges the manifest"))
    }

    /// Waits until the entries of these edge machines report themselves ready.
    pub fn await_entries(&self, machines: &[usize]) -> Result<()> {
        let start = Instant::now();
        for n in machines {
            let request = Request {
                method: "GET",
                path: "/-/ready",
                host: "entry",
                headers: &[],
                body: &[],
                timeout: OPERATOR_TIMEOUT,
            };
            let addr = self.address("entry", *n, Port::Readiness);
            while send(addr, &request).map_or(0, |(status, _)| status) != 200 {
                if start.elapsed() > READY_TIMEOUT {
                    return Err(Error::other(format!("entry-{n} is not ready")));
                }
                sleep(OPERATOR_PAUSE);
            }
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            // Fails only for a process that has ended.
            drop(child.kill());
            drop(child.wait());
        }
        // The folder is in the system's temporary folder, so a file left behind does no harm.
        drop(fs::remove_dir_all(&self.folder));
    }
}

/// Reads the command of each role from the deploy file.
fn read_programs(deploy: &str) -> HashMap<String, String> {
    let mut programs = HashMap::new();
    let mut role = "";
    for line in deploy.lines() {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']');
        } else if let Some(command) = line.strip_prefix("run = ") {
            programs.insert(role.to_owned(), command.trim_matches('"').to_owned());
        }
    }
    programs
}

/// Fills a template. Only the forms `{{a}}`, `{{#a}}` and `{{/a}}` occur in this project's templates.
fn render(template: &str, fields: &HashMap<String, String>) -> String {
    let mut text = String::new();
    let mut skipped: Option<&str> = None;
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        if skipped.is_none() {
            text += before;
        }
        let (name, after) = after.split_once("}}").unwrap_or((after, ""));
        rest = after;
        if let Some(section) = name.strip_prefix('#') {
            rest = rest.strip_prefix('\n').unwrap_or(rest);
            if skipped.is_none() && !fields.contains_key(section) {
                skipped = Some(section);
            }
        } else if let Some(section) = name.strip_prefix('/') {
            rest = rest.strip_prefix('\n').unwrap_or(rest);
            if skipped == Some(section) {
                skipped = None;
            }
        } else if skipped.is_none() {
            text += fields.get(name).map_or("", String::as_str);
        }
    }
    if skipped.is_none() {
        text += rest;
    }
    text
}
