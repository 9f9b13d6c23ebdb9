//! Stand-ins for the review's scripts: a cluster of the project's programs, workers, clients and an
//! operator, on loopback addresses.
//!
//! Uses only the standard library, so that `rustc` builds it without a network. `standin worker ...`
//! is one boot of a worker as the platform's pages describe it. `standin SCENARIO FOLDER` runs one
//! case and writes `record.txt` to its folder.

mod soak;

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// `maxHoldMs` of the small installations.
const MAX_HOLD_MS: u64 = 1_000;
/// `cancel_ms` of the small installations.
const CANCEL_MS: u64 = 3_000;
/// `ackMs` of the small installations.
const ACK_MS: u64 = 4_000;
/// `retryDelayMs` of the small installations.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// `heartbeatMs` of the small installations.
const BEAT: Duration = Duration::from_millis(1_500);

const HOST: &str = "yard.example";
const PREFIX: &str = "/hold/";
const SERVICE: &str = "reservas";

type Res<T> = Result<T, String>;

fn unix_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_micros() as u64)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["worker", rest @ ..] => {
            worker::run(rest);
            ExitCode::SUCCESS
        }
        ["soak", folder, seed] => soak::run(seed.parse().unwrap_or(1), Path::new(folder)),
        [name, folder] => {
            let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
            let scenario = match *name {
                "late-copy" => scenario::late_copy,
                "other-kind" => scenario::other_kind,
                "stale-start" => scenario::stale_start,
                "dropped-route" => scenario::dropped_route,
                "other-node" => scenario::other_node,
                _ => {
                    eprintln!("unknown scenario {name}");
                    return ExitCode::from(2);
                }
            };
            finish(scenario, trouble, Path::new(folder))
        }
        _ => {
            eprintln!(
                "usage: standin SCENARIO FOLDER | standin soak FOLDER SEED | standin worker OPTIONS"
            );
            ExitCode::from(2)
        }
    }
}

fn finish(
    scenario: fn(bool, &Cluster) -> Res<Vec<String>>,
    trouble: bool,
    folder: &Path,
) -> ExitCode {
    let result = Cluster::start().and_then(|cluster| {
        let result = scenario(trouble, &cluster);
        cluster.stop();
        cluster.write_record(&folder.join("record.txt"), trouble, &result)?;
        result
    });
    match result {
        Ok(breaks) if breaks.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            println!("the rule was broken {} times; the first:", breaks.len());
            println!("{}", breaks[0]);
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

// ---- HTTP ----

struct Message {
    /// Request line or status line.
    first: String,
    headers: HashMap<String, String>,
    body: String,
}

fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Message {
        first: first.trim().to_owned(),
        headers,
        body,
    })
}

/// Sends one request on a new connection. Returns the status and the body, or why there was no
/// complete response.
fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    extra: &str,
    body: &str,
    wait: Duration,
) -> Res<(u16, String)> {
    let fail = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&addr, ms(1_000)).map_err(fail)?;
    stream.set_read_timeout(Some(wait)).map_err(fail)?;
    stream.set_nodelay(true).map_err(fail)?;
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         {extra}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).map_err(fail)?;
    let reply =
        read_message(&mut BufReader::new(stream)).ok_or("no response, or a broken connection")?;
    let status = reply.first.split(' ').nth(1).and_then(|s| s.parse().ok());
    Ok((status.ok_or("unreadable response")?, reply.body))
}

// ---- the few fields of JSON objects that the stand-ins read ----

/// Returns the text after `"name":` of a flat object.
fn raw<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    body.find(&key)
        .map(|at| body[at + key.len()..].trim_start())
}

fn number(body: &str, name: &str) -> Option<u64> {
    let text = raw(body, name)?;
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    text[..end].parse().ok()
}

/// Returns a text field. The texts of the review contain nothing that JSON escapes.
fn text<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let text = raw(body, name)?.strip_prefix('"')?;
    text.split('"').next()
}

// ---- worker ----

mod worker {
    use super::*;

    struct Run {
        task: String,
        attempt: u64,
        begun: u64,
        ends: u64,
    }

    struct State {
        start: Instant,
        /// Highest fencing token seen.
        fence: u64,
        /// End of the lease, on this worker's clock.
        lease: u64,
        running: Vec<Run>,
        /// Highest attempt of each task that was started or stopped here.
        highest: HashMap<String, u64>,
        finished: Vec<(u64, String, u64, &'static str)>,
        sequence: u64,
        log: fs::File,
        id: String,
        random: u64,
    }

    impl State {
        fn clock(&self) -> u64 {
            self.start.elapsed().as_millis() as u64
        }

        /// Returns a random number below `n`.
        fn below(&mut self, n: u64) -> u64 {
            self.random = self
                .random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (self.random >> 33) % n
        }

        /// Returns true once in `n` times.
        fn chance(&mut self, n: u64) -> bool {
            self.below(n) == 0
        }

        /// Returns how late an order is executed, in milliseconds: at once or after seconds.
        fn delay(&mut self) -> u64 {
            if self.chance(2) {
                0
            } else {
                50 + self.random % 6_000
            }
        }

        fn note(&mut self, text: &str) {
            let line = format!("{} worker {} {text}\n", unix_us(), self.id);
            // The record is what the case judges, so a lost line must not pass unnoticed.
            self.log.write_all(line.as_bytes()).expect("write the log");
        }

        fn end(&mut self, at: usize, how: &'static str) {
            let run = self.running.remove(at);
            self.sequence += 1;
            self.note(&format!("end {} attempt {} {how}", run.task, run.attempt));
            self.finished
                .push((self.sequence, run.task, run.attempt, how));
        }

        /// Ends what is done, and everything if the lease has expired.
        fn advance(&mut self) {
            let now = self.clock();
            let lease = self.lease;
            while let Some(at) = self.running.iter().position(|r| r.ends <= now.min(lease)) {
                self.end(at, "done");
            }
            while now > lease && !self.running.is_empty() {
                self.end(0, "lapsed");
            }
        }

        /// Executes a command other than the wait of `hold`. Returns the status and the body.
        fn execute(&mut self, path: &str, body: &str) -> (u16, String) {
            self.advance();
            let clock = self.clock();
            let token = number(body, "fencingToken").unwrap_or(0);
            let refuse = |reason: &str| {
                (
                    409,
                    format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"),
                )
            };
            if token < self.fence {
                return refuse("fence");
            }
            self.fence = token;
            let expires = number(body, "expiresMs");
            let task = text(body, "task").unwrap_or_default().to_owned();
            let attempt = number(body, "attempt").unwrap_or(0);
            let ok = (200, format!("{{\"clockMs\":{clock}}}"));
            match path {
                "/-/run-start" => {
                    let Some(expires) = expires else {
                        return (400, String::new());
                    };
                    if expires <= clock {
                        return refuse("late");
                    }
                    self.lease = self.lease.max(expires.min(clock + MAX_HOLD_MS));
                    if self
                        .running
                        .iter()
                        .any(|r| r.task == task && r.attempt == attempt)
                    {
                        return ok;
                    }
                    if self.highest.get(&task).is_some_and(|h| attempt <= *h) {
                        return refuse("old");
                    }
                    // The payload is the work in milliseconds.
                    let Some(work) = text(body, "spec").and_then(|s| s.parse::<u64>().ok()) else {
                        return (400, String::new());
                    };
                    self.note(&format!("start {task} attempt {attempt}"));
                    self.highest.insert(task.clone(), attempt);
                    self.running.push(Run {
                        task,
                        attempt,
                        begun: clock,
                        ends: clock + work,
                    });
                    ok
                }
                "/-/run-stop" => {
                    let highest = self.highest.entry(task.clone()).or_default();
                    *highest = (*highest).max(attempt);
                    let found = self
                        .running
                        .iter()
                        .position(|r| r.task == task && r.attempt == attempt);
                    if let Some(at) = found {
                        self.end(at, "stopped");
                    }
                    ok
                }
                "/-/hold" => {
                    if let Some(expires) = expires {
                        self.lease = self.lease.max(expires.min(clock + MAX_HOLD_MS));
                    }
                    let acked = number(body, "ackedThrough").unwrap_or(0);
                    self.finished.retain(|f| f.0 > acked);
                    ok
                }
                _ => (404, String::new()),
            }
        }

        fn lists(&self, born: u64) -> String {
            let clock = self.clock();
            let running = self.running.iter();
            let running: Vec<String> = running
                .map(|r| {
                    let percent = 100 * clock.saturating_sub(r.begun) / (r.ends - r.begun).max(1);
                    format!("[\"{}\",{},\"\",{percent},0]", r.task, r.attempt)
                })
                .collect();
            let finished = self.finished.iter().take(500);
            let finished: Vec<String> = finished
                .map(|(n, task, attempt, how)| format!("[{n},\"{task}\",{attempt},\"{how}\",\"\"]"))
                .collect();
            let (running, finished) = (running.join(","), finished.join(","));
            format!(
                "{{\"clockMs\":{clock},\"born\":{born},\"running\":[{running}],\"finished\":[{finished}]}}"
            )
        }
    }

    /// Options: ADDRESS AGENT ID LABELS CPU LOG, where LABELS are separated by commas.
    pub fn run(options: &[&str]) {
        let [address, agent, id, labels, cpu, log] = options else {
            panic!("six options expected")
        };
        let address: SocketAddr = address.parse().expect("address");
        let agent: SocketAddr = agent.parse().expect("agent");
        let born = unix_us() / 1_000;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("open the log");
        let mut state = State {
            start: Instant::now(),
            fence: 0,
            lease: 0,
            running: Vec::new(),
            highest: HashMap::new(),
            finished: Vec::new(),
            sequence: 0,
            log,
            id: (*id).to_owned(),
            random: unix_us(),
        };
        state.note(&format!("born at {address} labels {labels}"));
        let state = Arc::new(Mutex::new(state));
        let listener = TcpListener::bind(address).expect("listen");
        {
            let state = Arc::clone(&state);
            thread::spawn(move || {
                loop {
                    state.lock().unwrap().advance();
                    thread::sleep(ms(1));
                }
            });
        }
        {
            let (state, id) = (Arc::clone(&state), (*id).to_owned());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (state, id) = (Arc::clone(&state), id.clone());
                    thread::spawn(move || serve(stream, &state, &id, born));
                }
            });
        }
        let labels: Vec<String> = labels.split(',').map(|l| format!("\"{l}\"")).collect();
        let labels = labels.join(",");
        for sequence in 1_u64.. {
            let clock = state.lock().unwrap().clock();
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"capacity\":{{\"cpu\":{cpu},\"memMb\":32768,\"gpu\":0}},\"labels\":[{labels}],\
                 \"clockMs\":{clock},\"sequence\":{sequence},\"born\":{born}}}"
            );
            let path = format!("/-/instances/{id}");
            let sent = call(agent, "PUT", &path, "", &body, ms(1_000));
            let accepted = sent.is_ok_and(|(status, _)| status / 100 == 2);
            // A report that was not accepted is sent again soon, here to the same agent.
            thread::sleep(if accepted { BEAT } else { ms(200) });
        }
    }

    fn serve(stream: TcpStream, state: &Arc<Mutex<State>>, id: &str, born: u64) {
        let late = std::env::var("LATE").is_ok();
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let (mut reader, mut stream) = (BufReader::new(reading), stream);
        while let Some(request) = read_message(&mut reader) {
            let path = request.first.split(' ').nth(1).unwrap_or_default();
            let expected = request.headers.get("expect-instance");
            let (status, body) = if expected.is_some_and(|e| e != id) {
                (421, String::new())
            } else {
                if late && state.lock().unwrap().chance(12) {
                    // The order gets no answer, and may be executed seconds later.
                    let (path, body) = (path.to_owned(), request.body.clone());
                    let state = Arc::clone(state);
                    thread::spawn(move || {
                        let wait = state.lock().unwrap().delay();
                        thread::sleep(ms(wait));
                        state.lock().unwrap().execute(&path, &body);
                    });
                    thread::sleep(ms(3_000));
                    return;
                }
                let (status, body) = state.lock().unwrap().execute(path, &request.body);
                // The answer to a start takes a moment.
                if path == "/-/run-start" {
                    thread::sleep(ms(2));
                }
                if path == "/-/hold" && status == 200 {
                    let wait = number(&request.body, "waitMs").unwrap_or(0).min(2_000);
                    let until = Instant::now() + ms(wait);
                    while state.lock().unwrap().finished.is_empty() && Instant::now() < until {
                        thread::sleep(ms(1));
                    }
                    (200, state.lock().unwrap().lists(born))
                } else {
                    (status, body)
                }
            };
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---- cluster ----

/// Machines with an entry, each also with a member of the control group.
const EDGES: usize = 3;
/// Machines beside a worker.
const SIDES: usize = 3;

/// Processes of the project and workers, all on loopback addresses, and what was recorded.
struct Cluster {
    folder: PathBuf,
    net: [u8; 2],
    processes: Mutex<HashMap<String, Child>>,
    record: Mutex<Vec<String>>,
    begun: u64,
}

impl Cluster {
    fn start() -> Res<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{process}-{}", unix_us()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let net = free_net()?;
        let cluster = Self {
            folder,
            net,
            processes: Mutex::default(),
            record: Mutex::default(),
            begun: unix_us(),
        };
        for edge in 1..=EDGES {
            cluster.start_program("control", edge, true)?;
            cluster.start_program("entry", edge, true)?;
        }
        for side in 1..=SIDES {
            cluster.start_program("agent", EDGES + side, true)?;
        }
        Ok(cluster)
    }

    fn ip(&self, machine: usize) -> IpAddr {
        Ipv4Addr::new(127, self.net[0], self.net[1], machine as u8).into()
    }

    fn frontend(&self, edge: usize) -> SocketAddr {
        (self.ip(edge), 8161).into()
    }

    fn readiness(&self, edge: usize) -> SocketAddr {
        (self.ip(edge), 8167).into()
    }

    fn control_plane(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), 8166).into()
    }

    fn note(&self, text: &str) {
        self.record
            .lock()
            .unwrap()
            .push(format!("{} {text}", unix_us()));
    }

    /// Starts a program as the deploy file says, with its rendered settings.
    fn start_program(&self, role: &str, machine: usize, bootstrap: bool) -> Res<()> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let section = deploy
            .split(&format!("[roles.{role}]"))
            .nth(1)
            .ok_or("no such role")?;
        let line = section.lines().find_map(|l| l.strip_prefix("run = \""));
        let run = line
            .and_then(|l| l.strip_suffix('"'))
            .ok_or("no run line")?;
        let template =
            fs::read_to_string(format!("deploy/{role}.ini")).map_err(|e| e.to_string())?;
        let name = format!("{role}-{machine}");
        let data = self.folder.join(&name);
        fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        let seeds: Vec<String> = (1..=EDGES)
            .map(|m| self.control_plane(m).to_string())
            .collect();
        let values = [
            ("nodeName", name.clone()),
            ("ip", self.ip(machine).to_string()),
            ("zone", format!("z{}", (machine - 1) % 3 + 1)),
            ("internalPorts.0", "7720".to_owned()),
            ("internalPorts.1", "7721".to_owned()),
            ("seeds", seeds.join(",")),
            ("bootstrap", bootstrap.to_string()),
            ("dataDir", data.display().to_string()),
            ("faultTolerance.machines", "1".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.remoteFactor", "1.5".to_owned()),
            ("limits.cpuShare", "0.5".to_owned()),
            ("listenAddrs.frontend", self.frontend(machine).to_string()),
            ("listenAddrs.readiness", self.readiness(machine).to_string()),
            (
                "listenAddrs.controlPlane",
                self.control_plane(machine).to_string(),
            ),
        ];
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, render(&template, &values)).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut words = run.split(' ');
        let child = Command::new(words.next().unwrap_or_default())
            .args(words)
            .env("SASSAFRASLEVER_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{run}: {e}"))?;
        self.note(&format!("platform starts {name}"));
        self.processes.lock().unwrap().insert(name, child);
        Ok(())
    }

    /// Starts a boot of the worker beside agent `side`.
    fn start_worker(&self, side: usize, id: &str, kind: &str, cpu: u32) -> Res<()> {
        let machine = EDGES + side;
        let own = std::env::current_exe().map_err(|e| e.to_string())?;
        let child = Command::new(own)
            .arg("worker")
            .arg(SocketAddr::from((self.ip(machine), 8080)).to_string())
            .arg(self.control_plane(machine).to_string())
            .args([id, &format!("{kind},r1-{side}"), &cpu.to_string()])
            .arg(self.folder.join(format!("{id}.events")))
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())?;
        self.processes.lock().unwrap().insert(id.to_owned(), child);
        Ok(())
    }

    /// Kills a process that this case started.
    fn kill(&self, name: &str) {
        let child = self.processes.lock().unwrap().remove(name);
        if let Some(mut child) = child {
            self.note(&format!("disruption: SIGKILL {name}"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Submits the first manifest until it is acknowledged.
    fn configure(&self) -> Res<()> {
        self.submit_manifest(7, &[PREFIX, "/feed/"])
    }

    /// Submits a manifest with these routes until it is acknowledged.
    fn submit_manifest(&self, version: u64, prefixes: &[&str]) -> Res<()> {
        let routes: Vec<String> = prefixes
            .iter()
            .map(|prefix| {
                let name = prefix.trim_matches('/');
                format!(
                    "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
                     \"kind\":\"non_idempotent\",\"timeoutMs\":60000,\"targetDurationMs\":60,\
                     \"priority\":0,\"service\":\"{SERVICE}\",\"maxAttempts\":3,\"slackFactor\":1.6}}"
                )
            })
            .collect();
        let routes = routes.join(",");
        let manifest = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\
             \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":64,\
             \"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\"standby\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}}}}"
        );
        self.wait_for(&format!("manifest {version} is acknowledged"), || {
            let put = call(
                self.control_plane(1),
                "PUT",
                "/-/config",
                "",
                &manifest,
                ms(1_000),
            );
            put.is_ok_and(|(status, _)| status == 200)
        })
    }

    /// Sends a signal to a process that this case started.
    fn signal(&self, name: &str, signal: &str) {
        let processes = self.processes.lock().unwrap();
        if let Some(child) = processes.get(name) {
            self.note(&format!("disruption: SIG{signal} {name}"));
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .args([format!("-{signal}"), pid])
                .status();
        }
    }

    /// Waits until a process that was asked to end has ended.
    fn reap(&self, name: &str) {
        let child = self.processes.lock().unwrap().remove(name);
        if let Some(mut child) = child {
            let _ = child.wait();
        }
    }

    fn wait_for(&self, what: &str, ready: impl Fn() -> bool) -> Res<()> {
        let end = Instant::now() + ms(20_000);
        while !ready() {
            if Instant::now() > end {
                return Err(format!("not within 20 s: {what}"));
            }
            thread::sleep(ms(100));
        }
        self.note(&format!("platform sees: {what}"));
        Ok(())
    }

    /// Waits until all entries serve, and `contactMs` more, so that all machines are in touch.
    fn settle(&self) -> Res<()> {
        for edge in 1..=EDGES {
            self.wait_for(&format!("entry {edge} is ready"), || self.is_ready(edge))?;
        }
        thread::sleep(ms(3_500));
        Ok(())
    }

    fn is_ready(&self, edge: usize) -> bool {
        let get = call(self.readiness(edge), "GET", "/-/ready", "", "", ms(500));
        get.is_ok_and(|(status, _)| status == 200)
    }

    fn submit(&self, edge: usize, id: &str, body: &str, deadline: u64) -> Res<(u16, String)> {
        self.note(&format!("client POST {id} to entry {edge}"));
        let extra = format!("Deadline-Ms: {deadline}\r\n");
        let path = format!("{PREFIX}{id}");
        let reply = call(
            self.frontend(edge),
            "POST",
            &path,
            &extra,
            body,
            ms(deadline),
        );
        self.note(&format!(
            "client POST {id} to entry {edge} ended: {reply:?}"
        ));
        reply
    }

    /// Cancels a job. Returns when the answer had arrived, if it was an acknowledgement.
    fn cancel(&self, edge: usize, id: &str) -> Option<u64> {
        self.note(&format!("client DELETE {id} to entry {edge}"));
        let path = format!("{PREFIX}{id}");
        let reply = call(
            self.frontend(edge),
            "DELETE",
            &path,
            "Deadline-Ms: 1500\r\n",
            "",
            ms(1_500),
        );
        let at = unix_us();
        self.note(&format!(
            "client DELETE {id} to entry {edge} ended: {reply:?}"
        ));
        reply
            .is_ok_and(|(s, _)| s / 100 == 2 || s == 410)
            .then_some(at)
    }

    fn start_workers(&self, kinds: [&str; SIDES], cpu: u32) -> Res<()> {
        for (at, kind) in kinds.iter().enumerate() {
            self.start_worker(at + 1, &format!("i-{:08x}", 0xa0 + at), kind, cpu)?;
        }
        Ok(())
    }

    /// Returns what all workers have recorded: time, worker, and the event.
    fn worker_events(&self) -> Vec<(u64, String, String)> {
        let mut events = Vec::new();
        for file in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let path = file.path();
            if path.extension().is_none_or(|e| e != "events") {
                continue;
            }
            for line in fs::read_to_string(path).unwrap_or_default().lines() {
                let mut words = line.splitn(4, ' ');
                let at = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
                let (_, id) = (words.next(), words.next().unwrap_or_default());
                events.push((
                    at,
                    id.to_owned(),
                    words.next().unwrap_or_default().to_owned(),
                ));
            }
        }
        events.sort();
        events
    }

    /// Returns the starts: time, worker and task.
    fn starts(&self) -> Vec<(u64, String, String)> {
        let events = self.worker_events().into_iter();
        let starts = events.filter_map(|(at, id, event)| {
            let task = event.strip_prefix("start ")?.split(' ').next()?.to_owned();
            Some((at, id, task))
        });
        starts.collect()
    }

    /// Fails if fewer tasks have started than the case needs to mean anything.
    fn check_started(&self, least: usize) -> Res<()> {
        match self.starts().len() {
            n if n < least => Err(format!("only {n} tasks were started")),
            _ => Ok(()),
        }
    }

    fn seconds(&self, at: u64) -> f64 {
        at.saturating_sub(self.begun) as f64 / 1e6
    }

    fn stop(&self) {
        let mut processes = self.processes.lock().unwrap();
        for child in processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        processes.clear();
    }

    fn write_record(&self, path: &Path, trouble: bool, result: &Res<Vec<String>>) -> Res<()> {
        let mut lines: Vec<(u64, String)> = Vec::new();
        for line in self.record.lock().unwrap().iter() {
            let (at, text) = line.split_once(' ').unwrap_or_default();
            lines.push((at.parse().unwrap_or(0), text.to_owned()));
        }
        for (at, id, event) in self.worker_events() {
            lines.push((at, format!("worker {id} {event}")));
        }
        lines.sort();
        let mut out = format!("TROUBLE={}\n", u8::from(trouble));
        for (at, text) in lines {
            out += &format!("{:9.3} s  {text}\n", self.seconds(at));
        }
        match result {
            Ok(breaks) => {
                for line in breaks {
                    out += &format!("BROKEN {line}\n");
                }
                out += &format!("breaks: {}\n", breaks.len());
            }
            Err(e) => out += &format!("could not run: {e}\n"),
        }
        fs::write(path, out).map_err(|e| e.to_string())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
        if std::env::var("KEEP").is_ok() {
            eprintln!("kept {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Chooses loopback addresses on which all ports of the cluster are free.
fn free_net() -> Res<[u8; 2]> {
    let mut seed = unix_us() ^ u64::from(std::process::id()) << 20;
    for _ in 0..200 {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let net = [(seed >> 40) as u8 | 1, (seed >> 50) as u8];
        let free = |machine: usize, port: u16| {
            let ip = Ipv4Addr::new(127, net[0], net[1], machine as u8);
            TcpListener::bind((ip, port)).is_ok()
        };
        let ports = [7720, 7721, 8080, 8161, 8166, 8167];
        if (1..=EDGES + SIDES).all(|m| ports.iter().all(|p| free(m, *p))) {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".to_owned())
}

/// Fills in a template of the deploy file: values, and sections that hold if there is a value.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
        for mark in ['#', '/'] {
            text = text.replace(&format!("{{{{{mark}{name}}}}}\n"), "");
        }
    }
    text
}

// ---- scenarios ----

mod scenario {
    use super::*;

    fn job_id(n: usize) -> String {
        // Any 16 hexadecimal digits; different in each run.
        let salt = unix_us() & 0xffff_ffff;
        format!("{salt:08x}{n:08x}")
    }

    /// Client jobs are cancelled while they run, and a copy of the submission arrives seconds after
    /// the 2xx response for its id.
    pub fn late_copy(trouble: bool, cluster: &Cluster) -> Res<Vec<String>> {
        cluster.start_workers(["a", "a", "b"], 16_000)?;
        cluster.configure()?;
        cluster.settle()?;
        let body = "{\"spec\":\"900\",\"phases\":[{\"count\":4,\"cpu\":1600,\"memMb\":64,\
                    \"estimateMs\":900}],\"bestEffort\":true}";
        let mut cancelled = Vec::new();
        let mut copies = Vec::new();
        for n in 0..5 {
            let id = job_id(n);
            let outcome = thread::scope(|s| {
                let post = s.spawn(|| cluster.submit(1, &id, body, 10_000));
                thread::sleep(ms(300));
                let acked = cluster.cancel(1, &id);
                (post.join().unwrap(), acked)
            });
            let (Ok((status, _)), Some(acked)) = outcome else {
                return Err(format!("job {id}: {outcome:?}"));
            };
            if status / 100 != 2 {
                return Err(format!(
                    "job {id}: the submission was answered with {status}"
                ));
            }
            cancelled.push((id.clone(), acked));
            copies.push((Instant::now() + ms(4_000), id));
        }
        for (due, id) in copies {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if trouble {
                cluster.note(&format!(
                    "disruption: a copy of the submission of {id} arrives"
                ));
                let _ = cluster.submit(2, &id, body, 10_000);
            }
        }
        thread::sleep(ms(1_500));
        cluster.check_started(20)?;
        Ok(late_starts(cluster, &cancelled))
    }

    /// Returns the starts of cancelled jobs later than `cancel_ms` after the given times: that of the
    /// acknowledgement, or `ackMs` after the first DELETE was sent.
    fn late_starts(cluster: &Cluster, cancelled: &[(String, u64)]) -> Vec<String> {
        let mut breaks = Vec::new();
        for (at, worker, task) in cluster.starts() {
            let job = task.split('.').next().unwrap_or_default();
            let found = cancelled.iter().find(|(id, _)| id == job);
            let Some((_, acked)) = found else { continue };
            if at > acked + CANCEL_MS * 1_000 {
                breaks.push(format!(
                    "UNASKED: {worker} starts {task} at {:.3} s; its cancelling counts as acknowledged at {:.3} s",
                    cluster.seconds(at),
                    cluster.seconds(*acked)
                ));
            }
        }
        breaks
    }

    /// A worker crashes while tasks wait for it, and its next boot is of another kind.
    pub fn other_kind(trouble: bool, cluster: &Cluster) -> Res<Vec<String>> {
        cluster.start_workers(["a", "a", "b"], 16_000)?;
        cluster.configure()?;
        cluster.settle()?;
        let job = |tasks: u32| {
            format!(
                "{{\"spec\":\"10000\",\"phases\":[{{\"count\":{tasks},\"cpu\":1600,\"memMb\":64,\
                 \"estimateMs\":10000,\"requiredLabel\":\"a\"}}],\"bestEffort\":true}}"
            )
        };
        thread::scope(|s| -> Res<()> {
            // Both workers of kind a are full with these.
            for n in 0..5 {
                let body = job(4);
                s.spawn(move || cluster.submit(n % EDGES + 1, &job_id(n), &body, 40_000));
            }
            thread::sleep(ms(4_600));
            // These wait for about 5.4 s, which leaves them within their objective of 16 s.
            for n in 5..8 {
                let body = job(2);
                s.spawn(move || cluster.submit(n % EDGES + 1, &job_id(n), &body, 40_000));
            }
            thread::sleep(ms(300));
            if trouble {
                cluster.kill("i-000000a0");
                thread::sleep(ms(4_500));
                cluster.start_worker(1, "i-000000c0", "b", 16_000)?;
            }
            Ok(())
        })?;
        let without: Vec<String> = cluster
            .worker_events()
            .into_iter()
            .filter(|(_, _, event)| event.starts_with("born") && !event.contains("labels a,"))
            .map(|(_, id, _)| id)
            .collect();
        cluster.check_started(20)?;
        let starts = cluster.starts();
        let wrong = starts
            .into_iter()
            .filter(|(_, worker, _)| without.contains(worker));
        let breaks = wrong.map(|(at, worker, task)| {
            format!(
                "ROUTE: {worker}, which lacks label a, starts {task} at {:.3} s",
                cluster.seconds(at)
            )
        });
        Ok(breaks.collect())
    }

    /// Returns the starts of tasks that run elsewhere at the same time. Runs of a killed worker end
    /// with it.
    fn runs_at_once(cluster: &Cluster) -> Vec<String> {
        let mut events = cluster.worker_events();
        for line in cluster.record.lock().unwrap().iter() {
            let (at, text) = line.split_once(' ').unwrap_or_default();
            if let Some(id) = text.strip_prefix("disruption: SIGKILL i-") {
                let at = at.parse().unwrap_or(0);
                events.push((at, format!("i-{id}"), "killed".to_owned()));
            }
        }
        events.sort();
        let mut breaks = Vec::new();
        let mut at_work = HashMap::<String, Vec<String>>::new();
        for (at, id, event) in events {
            let words: Vec<&str> = event.split(' ').collect();
            match words.as_slice() {
                ["start", task, ..] => {
                    let places = at_work.entry((*task).to_owned()).or_default();
                    if let Some(other) = places.first() {
                        let when = cluster.seconds(at);
                        breaks.push(format!(
                            "TWICE: {id} starts {task} at {when:.3} s, while it runs at {other}"
                        ));
                    }
                    places.push(id);
                }
                ["end", task, ..] => {
                    let places = at_work.entry((*task).to_owned()).or_default();
                    if let Some(place) = places.iter().position(|p| *p == id) {
                        places.remove(place);
                    }
                }
                ["killed"] => at_work.values_mut().for_each(|p| p.retain(|w| *w != id)),
                _ => {}
            }
        }
        breaks
    }

    /// A machine beside a worker freezes while it starts tasks. Meanwhile its worker crashes and
    /// starts again under the same id.
    pub fn stale_start(trouble: bool, cluster: &Cluster) -> Res<Vec<String>> {
        const JOBS: usize = 6;
        const TASKS: usize = 30;
        cluster.start_workers(["a", "a", "b"], 64_000)?;
        cluster.configure()?;
        cluster.settle()?;
        let body = &format!(
            "{{\"spec\":\"8000\",\"phases\":[{{\"count\":{TASKS},\"cpu\":400,\"memMb\":64,\
             \"estimateMs\":8000}}],\"bestEffort\":true}}"
        );
        let agent = format!("agent-{}", EDGES + 1);
        thread::scope(|s| -> Res<()> {
            for n in 0..JOBS {
                s.spawn(move || cluster.submit(n % EDGES + 1, &job_id(n), body, 30_000));
            }
            // The agent has started some of its tasks, and is about to start the others.
            let begin = Instant::now();
            while !cluster.starts().iter().any(|(_, id, _)| id == "i-000000a0") {
                if begin.elapsed() > ms(5_000) {
                    return Err("the worker has started nothing".to_owned());
                }
                thread::sleep(ms(1));
            }
            if trouble {
                cluster.signal(&agent, "STOP");
                thread::sleep(ms(1_000));
                cluster.kill("i-000000a0");
                thread::sleep(ms(1_000));
                cluster.start_worker(1, "i-000000a0", "a", 64_000)?;
                thread::sleep(ms(3_000));
                cluster.signal(&agent, "CONT");
            }
            Ok(())
        })?;
        cluster.check_started(JOBS * TASKS)?;
        Ok(runs_at_once(cluster))
    }

    /// Jobs are cancelled while they run, after a manifest has removed their route.
    pub fn dropped_route(trouble: bool, cluster: &Cluster) -> Res<Vec<String>> {
        const JOBS: usize = 5;
        const PHASES: usize = 20;
        cluster.start_workers(["a", "a", "b"], 16_000)?;
        cluster.configure()?;
        cluster.settle()?;
        let phases: Vec<String> = (0..PHASES)
            .map(|n| {
                let after = match n {
                    0 => String::new(),
                    _ => format!(",\"after\":[{}]", n - 1),
                };
                format!("{{\"count\":2,\"cpu\":1600,\"memMb\":64,\"estimateMs\":900{after}}}")
            })
            .collect();
        let phases = phases.join(",");
        let body = &format!("{{\"spec\":\"900\",\"phases\":[{phases}],\"bestEffort\":true}}");
        let ids: Vec<String> = (0..JOBS).map(job_id).collect();
        let begin = Instant::now();
        let wait_until =
            |at: u64| thread::sleep((begin + ms(at)).saturating_duration_since(Instant::now()));
        let mut cancelled = Vec::new();
        thread::scope(|s| -> Res<()> {
            for (n, id) in ids.iter().enumerate() {
                s.spawn(move || cluster.submit(n % EDGES + 1, id, body, 30_000));
            }
            wait_until(1_000);
            if trouble {
                cluster.note("disruption: the manifest changes, and has one route less");
                cluster.submit_manifest(8, &["/feed/"])?;
            }
            wait_until(4_000);
            // Each client sends its DELETE again until it is acknowledged.
            let clients: Vec<_> = ids
                .iter()
                .enumerate()
                .map(|(n, id)| {
                    s.spawn(move || {
                        let sent = unix_us();
                        for _ in 0..24 {
                            if let Some(at) = cluster.cancel(n % EDGES + 1, id) {
                                return at.min(sent + ACK_MS * 1_000);
                            }
                            thread::sleep(ms(500));
                        }
                        sent + ACK_MS * 1_000
                    })
                })
                .collect();
            for (client, id) in clients.into_iter().zip(&ids) {
                cancelled.push((id.clone(), client.join().unwrap()));
            }
            cluster.stop();
            Ok(())
        })?;
        cluster.check_started(20)?;
        Ok(late_starts(cluster, &cancelled))
    }

    /// Jobs that were submitted again at another node, after the first one was killed, are cancelled
    /// at the first one, where new connections of their clients go again. The only worker that can
    /// run them is down at that moment.
    pub fn other_node(trouble: bool, cluster: &Cluster) -> Res<Vec<String>> {
        const JOBS: usize = 5;
        const HOME: usize = 1;
        const OTHER: usize = 2;
        cluster.start_workers(["a", "a", "b"], 16_000)?;
        cluster.configure()?;
        cluster.settle()?;
        let body = "{\"spec\":\"12000\",\"phases\":[{\"count\":2,\"cpu\":1600,\"memMb\":64,\
                    \"estimateMs\":12000,\"requiredLabel\":\"b\"}],\"bestEffort\":true}";
        let ids: Vec<String> = (0..JOBS).map(job_id).collect();
        let mut cancelled = Vec::new();
        let begin = Instant::now();
        let wait_until =
            |at: u64| thread::sleep((begin + ms(at)).saturating_duration_since(Instant::now()));
        thread::scope(|s| -> Res<()> {
            for id in &ids {
                s.spawn(move || {
                    let first = cluster.submit(HOME, id, body, 30_000);
                    if first.is_ok_and(|(status, _)| ![502, 504].contains(&status)) {
                        return;
                    }
                    thread::sleep(RETRY_DELAY);
                    let _ = cluster.submit(OTHER, id, body, 30_000);
                });
            }
            wait_until(500);
            if trouble {
                cluster.kill(&format!("entry-{HOME}"));
                thread::sleep(ms(500));
                cluster.start_program("entry", HOME, false)?;
                cluster.wait_for("the entry that was killed is ready", || {
                    cluster.is_ready(HOME)
                })?;
            }
            wait_until(6_000);
            if trouble {
                cluster.kill("i-000000a2");
            }
            wait_until(7_000);
            for id in &ids {
                if let Some(at) = cluster.cancel(HOME, id) {
                    cancelled.push((id.clone(), at));
                }
            }
            if trouble {
                wait_until(10_500);
                cluster.start_worker(3, "i-000000c2", "b", 16_000)?;
            }
            wait_until(13_500);
            // What is not cancelled would run on for long, so its clients leave with the cluster.
            cluster.stop();
            Ok(())
        })?;
        if cancelled.is_empty() {
            return Err("no cancelling was acknowledged".to_owned());
        }
        cluster.check_started(10)?;
        Ok(late_starts(cluster, &cancelled))
    }
}
