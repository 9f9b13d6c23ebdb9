//! A small deployment: three machines with a disk that run control and an entry, four front machines
//! without a disk that run an entry, and six machines with an agent and a worker each, in three
//! zones. Each process is started with the command of the deploy file and settings as its templates
//! render them. Every machine has a loopback address that others use; a proxy there leads to the
//! process, so that a machine can be cut off.

use std::collections::HashMap;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::proxy;
use crate::proxy::Cuts;
use crate::record::Record;
use crate::worker::Worker;

pub const FRONTS: u8 = 7;
pub const CORE: u8 = 3;
pub const SIDES: u8 = 6;
/// Host and prefix of the only route.
pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/jobs/";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ids of the processes that run, for the watchdog.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends this process and all that it has started after `limit`, as a case that could not run.
pub fn watch(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            unsafe { kill(*pid, SIGKILL) };
        }
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
}

pub const SIGKILL: i32 = 9;

pub struct Cluster {
    pub record: Record,
    pub cuts: Cuts,
    folder: PathBuf,
    net: (u8, u8),
    ports: [u16; 7],
    children: HashMap<String, Child>,
    pub workers: Vec<Arc<Worker>>,
}

/// Returns the name of a front's entry, by which it is cut off.
pub fn entry(front: u8) -> String {
    format!("front-{}x", char::from(b'a' + front - 1))
}

/// Returns the service of the worker on a side machine.
fn service(side: u8) -> &'static str {
    if side <= SIDES / 2 { "svc1" } else { "svc2" }
}

/// Returns a manifest. Each route has a name, a host, a path prefix and a service.
pub fn manifest(version: u64, routes: &[(&str, &str, &str, &str)]) -> String {
    let routes = routes.iter().map(|(name, host, prefix, service)| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeoutMs\":30000,\"targetDurationMs\":60,\"priority\":0,\
             \"service\":\"{service}\",\"maxAttempts\":4,\"slackFactor\":1.6}}"
        )
    });
    let services = ["svc1", "svc2"].map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\
             \"tls\":false,\"enforcesCapacity\":false,\"standby\":false}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.collect::<Vec<_>>().join(","),
        services.join(",")
    )
}

fn zone(machine: u8) -> String {
    format!("zone-{}", (machine - 1) % 3 + 1)
}

impl Cluster {
    /// Starts a deployment, with other ports if the first one does not become ready.
    pub fn start(record: &Record) -> Result<Self, String> {
        Self::try_start(record, 1).or_else(|e| {
            record.note(&format!("{e}; starting another one"));
            Self::try_start(record, 2)
        })
    }

    fn try_start(record: &Record, attempt: u32) -> Result<Self, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{pid}-{attempt}"));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        // All are held until the last one is chosen, so that they differ.
        let listeners: Result<Vec<_>, _> = (0..7).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let listeners = listeners.map_err(|e| e.to_string())?;
        let mut ports = [0; 7];
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            *port = listener.local_addr().map_err(|e| e.to_string())?.port();
        }
        drop(listeners);
        let mut cluster = Self {
            record: record.clone(),
            cuts: Cuts::default(),
            folder,
            net: (100 + (pid >> 8) as u8 % 100, pid as u8),
            ports,
            children: HashMap::new(),
            workers: Vec::new(),
        };
        cluster.open_proxies().map_err(|e| format!("proxies: {e}"))?;
        for front in 1..=CORE {
            cluster.spawn(&format!("control-{front}"))?;
        }
        for front in 1..=FRONTS {
            cluster.spawn(&entry(front))?;
        }
        for side in 1..=SIDES {
            cluster.spawn(&format!("side-{side}"))?;
            let (id, address) = (format!("i-{side:04}"), cluster.at(3, side, 6));
            let labels = [if side % 2 == 0 { "a" } else { "b" }];
            let agent = cluster.at(3, side, 5);
            let worker = Worker::start(&id, address, agent, &zone(side), (service(side), &labels), record);
            cluster.workers.push(worker.map_err(|e| e.to_string())?);
        }
        cluster.configure()?;
        Ok(cluster)
    }

    /// Address of a machine: 1 public address of a front, 2 its own, 3 that of a side machine, 4 public
    /// address of a side machine.
    fn at(&self, kind: u8, machine: u8, port: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net.0, self.net.1, kind * 40 + machine);
        SocketAddr::from((ip, self.ports[port]))
    }

    /// Address at which clients reach the entry of a front.
    pub fn callers(&self, front: u8) -> SocketAddr {
        self.at(2, front, 2)
    }

    fn open_proxies(&self) -> std::io::Result<()> {
        let names: Vec<String> = (1..=FRONTS).map(entry).collect();
        for front in 1..=CORE {
            proxy::serve(self.at(1, front, 0), self.at(2, front, 0), &names, &self.cuts)?;
        }
        for side in 1..=SIDES {
            proxy::serve(self.at(4, side, 0), self.at(3, side, 0), &names, &self.cuts)?;
        }
        Ok(())
    }

    fn settings(&self, name: &str) -> (&'static str, String) {
        let seeds: Vec<String> = (1..=CORE).map(|f| self.at(1, f, 3).to_string()).collect();
        let cluster = format!(
            "[cluster]\nseeds = {}\ncontrol_port = {}\nkey_file = deploy/cluster.key\n",
            seeds.join(","),
            self.ports[0]
        );
        let node = |name: &str, zone: &str, listen: SocketAddr, public: Option<SocketAddr>| {
            let public = public.map_or(String::new(), |a| format!("advertise = {a}\n"));
            format!("[node]\nname = {name}\nzone = {zone}\nlisten = {listen}\n{public}")
        };
        let log = "[log]\nlevel = info\n";
        if let Some(front) = name.strip_prefix("control-") {
            let front: u8 = front.parse().unwrap();
            let public = self.at(1, front, 0);
            let data = self.folder.join(format!("data-{front}"));
            let _ = std::fs::create_dir_all(&data);
            let node = node(&public.ip().to_string(), &zone(front), self.at(2, front, 0), Some(public));
            let own = format!(
                "[storage]\npath = {}\nbootstrap = true\n[control]\njoin = true\ntolerated = 1\n\
                 grace_s = 6\n[platform]\noperators = {}\n",
                data.display(),
                self.at(2, front, 3)
            );
            return ("control", node + &cluster + &own + log);
        }
        if let Some(side) = name.strip_prefix("side-") {
            let side: u8 = side.parse().unwrap();
            let node = node(name, &zone(side), self.at(3, side, 0), Some(self.at(4, side, 0)));
            let own = format!("[agent]\ngrace_s = 6\n[platform]\nendpoint = {}\n", self.at(3, side, 5));
            return ("agent", node + &cluster + &own + log);
        }
        let front = (1..=FRONTS).find(|f| entry(*f) == name).unwrap();
        let node = node(name, &zone(front), self.at(2, front, 1), None);
        let own = format!(
            "[dispatch]\noverload = priority\nremote_factor = 1.5\nprocessor = 0.5\n\
             [entry]\nlinger_ms = 2600\ngrace_s = 6\n[platform]\ncallers = {}\nreadiness = {}\n",
            self.callers(front),
            self.at(2, front, 4)
        );
        ("entry", node + &cluster + &own + log)
    }

    /// Starts a process with the command of the deploy file, in the folder of the repository.
    pub fn spawn(&mut self, name: &str) -> Result<(), String> {
        let (role, settings) = self.settings(name);
        let file = self.folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(format!("target/release/sassafras-platform-{role}"))
            .env_clear()
            .env("SASSAFRASLEVER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{role}: {e}"))?;
        self.record.note(&format!("process {name} started"));
        RUNNING.lock().unwrap().push(child.id() as i32);
        self.children.insert(name.to_owned(), child);
        Ok(())
    }

    pub fn signal(&self, name: &str, signal: i32) {
        self.record.note(&format!("signal {signal} to {name}"));
        unsafe { kill(self.children[name].id() as i32, signal) };
    }

    /// Waits until a process has ended, at most 10 s.
    pub fn wait_end(&mut self, name: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let child = self.children.get_mut(name).ok_or("unknown process")?;
            if child.try_wait().map_err(|e| e.to_string())?.is_some() {
                self.record.note(&format!("process {name} has ended"));
                let ended = self.children.remove(name).map(|c| c.id() as i32);
                RUNNING.lock().unwrap().retain(|pid| Some(*pid) != ended);
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(format!("{name} does not end"))
    }

    pub fn cut(&self, name: &str) {
        self.record.note(&format!("{name} is cut off from all other machines of the system"));
        self.cuts.lock().unwrap().insert(name.to_owned());
    }

    pub fn heal(&self, name: &str) {
        self.record.note(&format!("{name} is connected again"));
        self.cuts.lock().unwrap().remove(name);
    }

    /// Sends a manifest until it is acknowledged, and waits until all entries are ready.
    fn configure(&self) -> Result<(), String> {
        let manifest = manifest(3, &[("r-1", HOST, PREFIX, "svc1")]);
        let until = Instant::now() + Duration::from_secs(20);
        let mut acked = false;
        let mut front = 0;
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(100));
            front = front % CORE + 1;
            let address = self.at(2, front, 3);
            let wait = Duration::from_secs(2);
            if !acked {
                let host = address.to_string();
                let answer = http::call(address, "PUT", &host, "/-/config", &[], manifest.as_bytes(), wait);
                acked = answer.is_some_and(|a| a.status() == 200);
                if acked {
                    self.record.note("manifest version 3 acknowledged");
                }
                continue;
            }
            if (1..=FRONTS).all(|f| self.is_ready(f)) {
                self.record.note("all entries are ready");
                std::thread::sleep(Duration::from_secs(4));
                return Ok(());
            }
        }
        for name in self.children.keys() {
            let log = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            self.record.note(&format!("{name} wrote last: {}", log.lines().last().unwrap_or("nothing")));
        }
        Err("the deployment did not become ready".into())
    }

    pub fn is_ready(&self, front: u8) -> bool {
        let address = self.at(2, front, 4);
        let host = address.to_string();
        let answer = http::call(address, "GET", &host, "/-/ready", &[], b"", Duration::from_secs(1));
        answer.is_some_and(|a| a.status() == 200)
    }

    /// Sends a manifest to the control process of a front, as an operator does. Returns the status of
    /// the answer.
    pub fn put_config(&self, front: u8, what: &str, body: &[u8]) -> Option<u16> {
        self.record.note(&format!("operator sends {what} to control-{front}"));
        let address = self.at(2, front, 3);
        let host = address.to_string();
        let wait = Duration::from_secs(2);
        let answer = http::call(address, "PUT", &host, "/-/config", &[], body, wait);
        let text = answer.as_ref().map_or("no answer".into(), |a| format!("{} {}", a.status(), a.body));
        self.record.note(&format!("operator gets {text}"));
        answer.map(|a| a.status())
    }

    /// Reads the manifest back from the control process of a front.
    pub fn get_config(&self, front: u8) -> Option<http::Message> {
        let address = self.at(2, front, 3);
        let host = address.to_string();
        http::call(address, "GET", &host, "/-/config", &[], b"", Duration::from_secs(2))
    }

    /// Sends a client's request to the entry of a front, and records it with its answer.
    pub fn request(&self, front: u8, method: &str, id: &str, body: &str, wait: Duration) -> Option<u16> {
        request(&self.record, self.callers(front), &entry(front), (method, HOST, id), body, (wait, wait))
    }

    /// Sends a submission whose connection breaks after `patience`.
    pub fn break_off(&self, front: u8, id: &str, body: &str, patience: Duration) -> Option<u16> {
        let (address, deadline) = (self.callers(front), Duration::from_secs(30));
        let times = (deadline, patience);
        request(&self.record, address, &entry(front), ("POST", HOST, id), body, times)
    }

    /// Sends a client's request in the background.
    pub fn request_later(
        &self,
        front: u8,
        (method, host): (&'static str, &'static str),
        id: &str,
        body: &str,
        wait: Duration,
    ) -> std::thread::JoinHandle<Option<u16>> {
        let (record, address, name) = (self.record.clone(), self.callers(front), entry(front));
        let (id, body) = (id.to_owned(), body.to_owned());
        std::thread::spawn(move || request(&record, address, &name, (method, host, &id), &body, (wait, wait)))
    }
}

fn request(
    record: &Record,
    address: SocketAddr,
    name: &str,
    (method, host, id): (&str, &str, &str),
    body: &str,
    (deadline, wait): (Duration, Duration),
) -> Option<u16> {
    record.note(&format!("client sends {method} {host}{PREFIX}{id} to {name}"));
    let headers = [("Deadline-Ms", deadline.as_millis().to_string())];
    let path = format!("{PREFIX}{id}");
    let answer = http::call(address, method, host, &path, &headers, body.as_bytes(), wait);
    match &answer {
        Some(a) => record.note(&format!("client gets {} for {method} {id}: {}", a.status(), a.body)),
        None => record.note(&format!("client gets no answer for {method} {id}")),
    }
    answer.map(|a| a.status())
}

impl Drop for Cluster {
    fn drop(&mut self) {
        RUNNING.lock().unwrap().clear();
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
