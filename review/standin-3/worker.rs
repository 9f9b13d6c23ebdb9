//! A sound worker, as PROTOCOL.md describes it. It does what it is told at once, keeps leases on its
//! steady clock, and reports to the agent on its machine. A task takes the time that the payload
//! `ms:A,B,...` gives for its step.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;

const MAX_HOLD_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

struct Run {
    task: String,
    attempt: u64,
    start_ms: u64,
    length_ms: u64,
}

struct Ended {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

struct State {
    token: u64,
    lease_ms: u64,
    running: Vec<Run>,
    finished: Vec<Ended>,
    count: u64,
    /// Highest attempt of each task that was stopped or has ended here.
    highest: HashMap<String, u64>,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    pub labels: Vec<String>,
    born: u64,
    begin: Instant,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    pub fn start(
        id: &str,
        address: SocketAddr,
        agent: SocketAddr,
        zone: &str,
        (service, labels): (&str, &[&str]),
        record: &Record,
    ) -> std::io::Result<Arc<Worker>> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let worker = Arc::new(Worker {
            id: id.into(),
            address,
            zone: zone.into(),
            service: service.into(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            born,
            begin: Instant::now(),
            record: record.clone(),
            state: Mutex::new(State {
                token: 0,
                lease_ms: 0,
                running: Vec::new(),
                finished: Vec::new(),
                count: 0,
                highest: HashMap::new(),
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&worker);
        http::serve(address, move |m| served.handle(m))?;
        let ticking = Arc::clone(&worker);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(1));
            ticking.advance(&mut ticking.state.lock().unwrap());
        });
        let reporting = Arc::clone(&worker);
        std::thread::spawn(move || reporting.report(agent));
        Ok(worker)
    }

    fn clock(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    fn report(&self, agent: SocketAddr) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let labels: Vec<String> = self.labels.iter().map(|l| format!("\"{l}\"")).collect();
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}},\
                 \"labels\":[{}],\"clockMs\":{},\"sequence\":{sequence},\"born\":{}}}",
                self.service,
                self.address,
                self.zone,
                labels.join(","),
                self.clock(),
                self.born
            );
            let path = format!("/-/instances/{}", self.id);
            let host = agent.to_string();
            let second = Duration::from_secs(1);
            let answer = http::call(agent, "PUT", &host, &path, &[], body.as_bytes(), second);
            let acked = answer.is_some_and(|a| a.status() / 100 == 2);
            std::thread::sleep(if acked { HEARTBEAT } else { Duration::from_millis(200) });
        }
    }

    /// Ends the runs that are done, and all of them when the lease has expired.
    fn advance(&self, state: &mut State) {
        let now = self.clock();
        let lapsed = now > state.lease_ms;
        let mut at = 0;
        while at < state.running.len() {
            let done = now >= state.running[at].start_ms + state.running[at].length_ms;
            if done || lapsed {
                let run = state.running.remove(at);
                self.finish(state, &run.task, run.attempt, if done { "done" } else { "lapsed" });
            } else {
                at += 1;
            }
        }
    }

    fn finish(&self, state: &mut State, task: &str, attempt: u64, how: &'static str) {
        self.record.end(&self.id, task, attempt, how);
        state.count += 1;
        let ended = Ended { number: state.count, task: task.into(), attempt, how };
        state.finished.push(ended);
        let highest = state.highest.entry(task.into()).or_default();
        *highest = attempt.max(*highest);
        self.changed.notify_all();
    }

    fn extend(&self, state: &mut State, expires: Option<u64>) {
        let limit = self.clock() + MAX_HOLD_MS;
        if let Some(end) = expires {
            state.lease_ms = state.lease_ms.max(end.min(limit));
        }
    }

    fn handle(&self, request: &Message) -> Option<(u16, String)> {
        let path = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|id| id != self.id) {
            return Some((421, String::new()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, format!("{{\"clockMs\":{}}}", self.clock())));
        };
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let token = body.number("fencingToken").unwrap_or(0);
        let refuse = |reason: &str| {
            Some((409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock())))
        };
        let accept = || Some((200, format!("{{\"clockMs\":{}}}", self.clock())));
        if token < state.token {
            return refuse("fence");
        }
        state.token = token;
        let (task, attempt) = (body.text("task"), body.number("attempt").unwrap_or(0));
        match path.as_str() {
            "/-/run-start" => {
                let expires = body.number("expiresMs");
                let same = |r: &Run| r.task == task && r.attempt == attempt;
                if state.running.iter().any(same) {
                    return accept();
                }
                if state.highest.get(&task).is_some_and(|h| attempt <= *h) {
                    self.extend(&mut state, expires);
                    return refuse("old");
                }
                if expires.is_none_or(|e| e <= self.clock()) {
                    return refuse("late");
                }
                self.extend(&mut state, expires);
                let length_ms = length(&body.text("spec"), &task);
                self.record.start(&self.id, &task, attempt);
                let start_ms = self.clock();
                state.running.push(Run { task, attempt, start_ms, length_ms });
                accept()
            }
            "/-/run-stop" => {
                let same = |r: &Run| r.task == task && r.attempt == attempt;
                if let Some(at) = state.running.iter().position(same) {
                    state.running.remove(at);
                    self.finish(&mut state, &task, attempt, "stopped");
                }
                let highest = state.highest.entry(task).or_default();
                *highest = attempt.max(*highest);
                accept()
            }
            "/-/hold" => {
                let acked = body.number("ackedThrough").unwrap_or(0);
                state.finished.retain(|e| e.number > acked);
                self.extend(&mut state, body.number("expiresMs"));
                let wait = body.number("waitMs").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.finished.is_empty() && Instant::now() < until {
                    let left = until - Instant::now();
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    self.advance(&mut state);
                }
                Some((200, self.listing(&state)))
            }
            _ => Some((404, String::new())),
        }
    }

    fn listing(&self, state: &State) -> String {
        let now = self.clock();
        let running = state.running.iter().map(|r| {
            let percent = (now - r.start_ms) * 100 / r.length_ms.max(1);
            format!("[\"{}\",{},\"\",{},0]", r.task, r.attempt, percent.min(99))
        });
        let finished = state.finished.iter().take(500);
        let finished = finished
            .map(|e| format!("[{},\"{}\",{},\"{}\",\"\"]", e.number, e.task, e.attempt, e.how));
        format!(
            "{{\"clockMs\":{now},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.born,
            running.collect::<Vec<_>>().join(","),
            finished.collect::<Vec<_>>().join(",")
        )
    }
}

/// Returns the run time of a task, whose name is ID.K.STEP.INDEX.
fn length(spec: &str, task: &str) -> u64 {
    let step: usize = task.split('.').nth(2).and_then(|s| s.parse().ok()).unwrap_or(0);
    let times = spec.strip_prefix("ms:").unwrap_or("100");
    let time = times.split(',').nth(step).or(times.split(',').next());
    time.and_then(|t| t.parse().ok()).unwrap_or(100)
}
