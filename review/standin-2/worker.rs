//! A sound worker: it reports itself to the agent of its machine, and runs tasks under a lease and
//! fencing tokens as the platform's protocol says. The payload of a job gives the run time of a
//! task in milliseconds, one number for each step.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Message;
use crate::http::Request;
use crate::http::send;
use crate::json::Json;
use crate::json::object;
use crate::record::Record;

/// `heartbeatMs` of the settings.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// A report counts as acknowledged only within this time.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a report that was not acknowledged.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// `maxHoldMs`: longer leases are shortened to it.
const MAX_LEASE_MS: u64 = 1_000;
/// Longest wait of a call for an end.
const MAX_WAIT_MS: u64 = 2_000;
/// Time that a stop takes, below `stopTimeoutMs`.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Interval at which runs that are due end.
const TICK: Duration = Duration::from_millis(1);
/// How long a connection stays open on which a call gets no answer.
const SILENCE: Duration = Duration::from_secs(3);
/// Largest number of ends in a response.
const MAX_LISTED: usize = 500;

/// What a worker says about itself.
#[derive(Clone)]
pub struct Profile {
    pub id: String,
    /// Where it accepts calls.
    pub address: SocketAddr,
    /// Where the agent of its machine accepts reports.
    pub agent: SocketAddr,
    pub service: String,
    /// Thousandths of a core.
    pub cpu: u64,
    pub labels: Vec<String>,
}

/// A start or an end that the worker saw.
#[derive(Clone, Debug)]
pub struct Event {
    /// Time since the start of the case.
    pub at: Duration,
    pub task: String,
    pub attempt: u64,
    /// How the run ended; `None` for a start.
    pub how: Option<&'static str>,
    /// `cpu` in use after the event.
    pub used: u64,
}

struct Run {
    task: String,
    attempt: u64,
    cpu: u64,
    start: Instant,
    end: Instant,
    how: &'static str,
}

struct State {
    profile: Profile,
    record: Record,
    /// `cpu` of the tasks of each step of a job, by job.
    needs: Needs,
    started: Instant,
    born: u64,
    token: u64,
    lease_ms: u64,
    running: Vec<Run>,
    /// Highest attempt of each task that was stopped or has ended here.
    ended: HashMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
    events: Vec<Event>,
    dead: bool,
    connections: Vec<TcpStream>,
    /// How long after its start answers to renewals of the lease are lost.
    loses_until: Duration,
    /// How long after its start it hangs, once it has lost answers.
    hangs_until: Duration,
}

/// `cpu` of a task by job, as its client submitted it. Starts do not carry it.
pub type Needs = Arc<Mutex<HashMap<String, u64>>>;

/// One boot of a worker.
#[derive(Clone)]
pub struct Worker(Arc<Mutex<State>>);

impl Worker {
    pub fn start(profile: Profile, needs: Needs, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(profile.address)?;
        listener.set_nonblocking(true)?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = since_epoch.as_millis() as u64;
        record.note(format!(
            "worker {} starts at {}: cpu {}, labels {:?}, born {born}",
            profile.id, profile.address, profile.cpu, profile.labels
        ));
        let worker = Self(Arc::new(Mutex::new(State {
            profile,
            record: record.clone(),
            needs,
            started: Instant::now(),
            born,
            token: 0,
            lease_ms: 0,
            running: Vec::new(),
            ended: HashMap::new(),
            finished: Vec::new(),
            last_end: 0,
            sequence: 0,
            events: Vec::new(),
            dead: false,
            connections: Vec::new(),
            loses_until: Duration::ZERO,
            hangs_until: Duration::ZERO,
        })));
        let server = worker.clone();
        std::thread::spawn(move || server.serve(&listener));
        let reporter = worker.clone();
        std::thread::spawn(move || reporter.report());
        Ok(worker)
    }

    /// Crashes: all runs end, and all connections close.
    pub fn crash(&self) {
        let mut state = self.state();
        state.dead = true;
        for stream in state.connections.drain(..) {
            // Fails only if the connection has ended.
            drop(stream.shutdown(Shutdown::Both));
        }
        let lost: Vec<Run> = state.running.drain(..).collect();
        let text = format!("worker {} crashes", state.profile.id);
        state.record.note(text);
        for run in lost {
            state.push_event(run.task, run.attempt, Some("crashed"));
        }
    }

    /// Carries out renewals of the lease without an answer until `lost` after the start, and then
    /// carries out and answers nothing until `hung` after the start.
    pub fn fail_after_start(&self, lost: Duration, hung: Duration) {
        let mut state = self.state();
        (state.loses_until, state.hangs_until) = (lost, hung);
    }

    pub fn events(&self) -> Vec<Event> {
        self.state().events.clone()
    }

    pub fn born(&self) -> u64 {
        self.state().born
    }

    /// Returns the sequence number of the last report.
    pub fn sequence(&self) -> u64 {
        self.state().sequence
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.0.lock().unwrap();
        state.advance();
        state
    }

    fn serve(&self, listener: &TcpListener) {
        while !self.state().dead {
            while let Ok((stream, _)) = listener.accept() {
                let Ok(copy) = stream.try_clone() else {
                    continue;
                };
                self.state().connections.push(copy);
                // Without these options the worker only answers later.
                drop(stream.set_nonblocking(false));
                drop(stream.set_nodelay(true));
                let server = self.clone();
                std::thread::spawn(move || server.answer(stream));
            }
            sleep(TICK);
        }
    }

    fn answer(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let Some((status, body)) = self.handle(&request) else {
                return;
            };
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Executes a call. Returns `None` if it cannot be read.
    fn handle(&self, request: &Message) -> Option<(u16, Json)> {
        let path = request.first.split(' ').nth(1)?;
        let body = Json::parse(std::str::from_utf8(&request.body).ok()?)?;
        let mut state = self.state();
        if state.dead {
            return None;
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != state.profile.id) {
            return Some((421, object([("clockMs", state.clock_ms().into())])));
        }
        let age = state.started.elapsed();
        let renews = path == "/-/hold" && body.get("expiresMs").as_u64().is_some();
        let loses = age < state.loses_until && renews;
        let hangs = age >= state.loses_until && age < state.hangs_until;
        if loses || hangs {
            let done = loses.then(|| state.execute(path, &body).0);
            let id = &state.profile.id;
            let text =
                format!("worker {id} leaves {path} {body} unanswered, carried out: {done:?}");
            state.record.note(text);
            drop(state);
            sleep(SILENCE);
            return None;
        }
        let reply = state.execute(path, &body);
        if path != "/-/hold" || reply.0 != 200 {
            return Some(reply);
        }
        let wait_ms = body.get("waitMs").as_u64().unwrap_or(0).min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while state.finished.is_empty() && Instant::now() < deadline {
            drop(state);
            sleep(TICK);
            state = self.state();
        }
        Some((200, state.lists()))
    }

    /// Reports the worker to its agent.
    fn report(&self) {
        loop {
            let (agent, path, body) = {
                let mut state = self.state();
                if state.dead {
                    return;
                }
                state.sequence += 1;
                let path = format!("/-/instances/{}", state.profile.id);
                (state.profile.agent, path, state.description().to_string())
            };
            let request = Request {
                method: "PUT",
                path: &path,
                host: "agent",
                headers: &[],
                body: body.as_bytes(),
                timeout: REPORT_TIMEOUT,
            };
            let acked = send(agent, &request).is_ok_and(|(status, _)| status / 100 == 2);
            sleep(if acked {
                REPORT_INTERVAL
            } else {
                RETRY_INTERVAL
            });
        }
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn description(&self) -> Json {
        let profile = &self.profile;
        let labels: Vec<Json> = profile.labels.iter().map(|l| l.as_str().into()).collect();
        let capacity = object([
            ("cpu", profile.cpu.into()),
            ("memMb", 32_768.into()),
            ("gpu", 0.into()),
        ]);
        object([
            ("service", profile.service.as_str().into()),
            ("address", profile.address.to_string().into()),
            ("zone", "z".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldRemainingMs", 0.into()),
            ("capacity", capacity),
            ("labels", labels.into()),
            ("clockMs", self.clock_ms().into()),
            ("sequence", self.sequence.into()),
            ("born", self.born.into()),
        ])
    }

    /// Ends the runs whose lease or run time is over.
    fn advance(&mut self) {
        let now = Instant::now();
        let lease = self.started + Duration::from_millis(self.lease_ms);
        while let Some(n) = self.running.iter().position(|r| r.end.min(lease) <= now) {
            let run = self.running.remove(n);
            let how = if run.end <= lease { run.how } else { "lapsed" };
            self.forbid(&run.task, run.attempt);
            self.last_end += 1;
            self.finished
                .push((self.last_end, run.task.clone(), run.attempt, how));
            self.push_event(run.task, run.attempt, Some(how));
        }
    }

    fn push_event(&mut self, task: String, attempt: u64, how: Option<&'static str>) {
        let used = self.running.iter().map(|r| r.cpu).sum();
        let id = &self.profile.id;
        let what = how.map_or("starts".to_owned(), |how| format!("ends ({how})"));
        self.record.note(format!(
            "worker {id}: run {attempt} of task {task} {what}, cpu in use {used}"
        ));
        self.events.push(Event {
            at: self.record.now(),
            task,
            attempt,
            how,
            used,
        });
    }

    fn forbid(&mut self, task: &str, attempt: u64) {
        let highest = self.ended.entry(task.to_owned()).or_default();
        *highest = attempt.max(*highest);
    }

    fn execute(&mut self, path: &str, body: &Json) -> (u16, Json) {
        let clock = self.clock_ms();
        let reply = |reason: Option<&str>| {
            let mut fields = vec![("clockMs".to_owned(), Json::from(clock))];
            fields.push(("born".to_owned(), self.born.into()));
            fields.extend(reason.map(|r| ("reason".to_owned(), r.into())));
            let status = if reason.is_some() { 409 } else { 200 };
            (status, Json::Object(fields))
        };
        let (done, fence, late, old) = (
            reply(None),
            reply(Some("fence")),
            reply(Some("late")),
            reply(Some("old")),
        );
        let token = body.get("fencingToken").as_u64().unwrap_or(0);
        if token < self.token {
            return fence;
        }
        self.token = token;
        let expires = body.get("expiresMs").as_u64();
        if path == "/-/run-start" && expires.is_none_or(|e| e <= clock) {
            return late;
        }
        let lease_ms = expires.map_or(0, |e| e.min(clock + MAX_LEASE_MS));
        self.lease_ms = self.lease_ms.max(lease_ms);
        if path == "/-/hold" {
            let acked = body.get("ackedThrough").as_u64().unwrap_or(0);
            self.finished.retain(|f| f.0 > acked);
            return done;
        }
        let task = body.get("task").as_str().map(str::to_owned);
        let (Some(task), Some(attempt)) = (task, body.get("attempt").as_u64()) else {
            return (400, object([("clockMs", clock.into())]));
        };
        let found = self
            .running
            .iter_mut()
            .find(|r| r.task == task && r.attempt == attempt);
        if path == "/-/run-stop" {
            if let Some(run) = found {
                let end = Instant::now() + STOP_TIME;
                if end < run.end {
                    (run.end, run.how) = (end, "stopped");
                }
            }
            self.forbid(&task, attempt);
            return done;
        }
        if found.is_some() {
            return done;
        }
        if self
            .ended
            .get(&task)
            .is_some_and(|highest| attempt <= *highest)
        {
            return old;
        }
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let spec = body.get("spec").as_str().unwrap_or_default();
        let run_ms = spec.split(',').nth(step).and_then(|ms| ms.parse().ok());
        let cpu = self.needs.lock().unwrap().get(job).copied().unwrap_or(0);
        let now = Instant::now();
        self.running.push(Run {
            task: task.clone(),
            attempt,
            cpu,
            start: now,
            end: now + Duration::from_millis(run_ms.unwrap_or(100)),
            how: "done",
        });
        self.push_event(task, attempt, None);
        done
    }

    fn lists(&self) -> Json {
        let running = self.running.iter().map(|r| {
            let total = (r.end - r.start).as_millis().max(1);
            let percent = (100 * r.start.elapsed().as_millis() / total).min(99);
            let (attempt, percent, cpu) =
                (r.attempt.into(), Json::Int(percent as i128), r.cpu.into());
            Json::List(vec![
                r.task.as_str().into(),
                attempt,
                "".into(),
                percent,
                cpu,
            ])
        });
        let finished = self
            .finished
            .iter()
            .take(MAX_LISTED)
            .map(|(n, task, attempt, how)| {
                let (n, attempt) = ((*n).into(), (*attempt).into());
                Json::List(vec![
                    n,
                    task.as_str().into(),
                    attempt,
                    (*how).into(),
                    "".into(),
                ])
            });
        object([
            ("clockMs", self.clock_ms().into()),
            ("born", self.born.into()),
            ("running", running.collect::<Vec<Json>>().into()),
            ("finished", finished.collect::<Vec<Json>>().into()),
        ])
    }
}
