//! The cases.

use std::io::Error;
use std::io::Result;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Verdict;
use crate::cluster::CLIENT_HOST;
use crate::cluster::Cluster;
use crate::http::Request;
use crate::http::send;
use crate::json::Json;
use crate::json::object;
use crate::record::Record;
use crate::worker::Event;
use crate::worker::Needs;
use crate::worker::Profile;
use crate::worker::Worker;

/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `catchUpS`.
const CATCH_UP: Duration = Duration::from_secs(4);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `stopTimeoutMs`.
const STOP_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a client waits for a response beyond its `Deadline-Ms`.
const CLIENT_MARGIN: Duration = Duration::from_millis(500);

pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Verdict> {
    match case {
        "replaced" => replaced(trouble, record),
        "capacity" => capacity(trouble, record),
        "cancelled" => cancelled(trouble, record),
        "unused" => unused(trouble, record),
        "unreadable" => unreadable(trouble, record),
        "late" => late(trouble, record),
        _ => Err(Error::other("no such case")),
    }
}

/// A route of a manifest: its host, path prefix and service.
type Route<'a> = (&'a str, &'a str, &'a str);

fn manifest(version: u64, routes: &[Route<'_>]) -> String {
    let route = |(n, (host, prefix, service)): (usize, &Route<'_>)| {
        object([
            ("name", format!("r-{n}").into()),
            ("host", (*host).into()),
            ("pathPrefix", (*prefix).into()),
            ("kind", "non_idempotent".into()),
            ("timeoutMs", 30_000.into()),
            ("targetDurationMs", 60.into()),
            ("priority", 0.into()),
            ("service", (*service).into()),
            ("maxAttempts", 4.into()),
            ("slackFactor", Json::Float(1.6)),
        ])
    };
    let routes: Vec<Json> = routes.iter().enumerate().map(route).collect();
    let service = object([
        ("name", "s1".into()),
        ("healthPath", "/health".into()),
        ("maxConns", 64.into()),
        ("protocol", "h1".into()),
        ("tls", false.into()),
        ("enforcesCapacity", false.into()),
        ("standby", false.into()),
    ]);
    let limits = object([
        ("maxHeaderBytes", 16_384.into()),
        ("maxBodyBytes", 262_144.into()),
        ("headerTimeoutMs", 3_000.into()),
        ("idleTimeoutMs", 15_000.into()),
    ]);
    let manifest = object([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", vec![service].into()),
        ("limits", limits),
    ]);
    manifest.to_string()
}

/// The only route of most cases.
const ROUTE: Route<'_> = (CLIENT_HOST, "/q1/", "s1");

/// Requirements of a step of a job.
#[derive(Clone, Copy)]
struct Step<'a> {
    tasks: u64,
    estimate_ms: u64,
    after: Option<u64>,
    label: Option<&'a str>,
    rack: Option<&'a str>,
}

impl Step<'_> {
    const fn new(tasks: u64, estimate_ms: u64) -> Self {
        Self {
            tasks,
            estimate_ms,
            after: None,
            label: None,
            rack: None,
        }
    }
}

/// A job whose tasks take one core each.
struct Job<'a> {
    id: &'a str,
    /// Run times of the tasks of each step, in milliseconds.
    spec: &'a str,
    steps: &'a [Step<'a>],
    deadline: Duration,
}

/// `cpu` of each task.
const TASK_CPU: u64 = 1_000;

/// The clients of a case.
#[derive(Clone)]
struct Clients {
    record: Record,
    needs: Needs,
}

impl Clients {
    fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            needs: Needs::default(),
        }
    }

    /// Submits a job and waits for its end. Returns the status and the body of the response.
    fn submit(&self, entry: (usize, std::net::SocketAddr), job: &Job<'_>) -> Option<(u16, String)> {
        let phase = |step: &Step<'_>| {
            let mut fields = vec![
                ("count".to_owned(), step.tasks.into()),
                ("cpu".to_owned(), TASK_CPU.into()),
                ("memMb".to_owned(), 64.into()),
                ("estimateMs".to_owned(), step.estimate_ms.into()),
            ];
            let after = step.after.map(|n| Json::List(vec![n.into()]));
            fields.extend(after.map(|after| ("after".to_owned(), after)));
            fields.extend(step.label.map(|l| ("requiredLabel".to_owned(), l.into())));
            fields.extend(step.rack.map(|r| ("affinity".to_owned(), r.into())));
            Json::Object(fields)
        };
        let phases: Vec<Json> = job.steps.iter().map(phase).collect();
        let body = object([
            ("spec", job.spec.into()),
            ("phases", phases.into()),
            ("bestEffort", true.into()),
        ]);
        let body = body.to_string();
        self.needs
            .lock()
            .unwrap()
            .insert(job.id.to_owned(), TASK_CPU);
        let deadline_ms = job.deadline.as_millis();
        let path = format!("/q1/{}", job.id);
        self.record.note(format!(
            "client: POST {path} to entry-{}, Deadline-Ms {deadline_ms}: {body}",
            entry.0
        ));
        let request = Request {
            method: "POST",
            path: &path,
            host: CLIENT_HOST,
            headers: &[("Deadline-Ms", deadline_ms.to_string())],
            body: body.as_bytes(),
            timeout: job.deadline + CLIENT_MARGIN,
        };
        let response = send(entry.1, &request).ok();
        let response = response.map(|(s, b)| (s, String::from_utf8_lossy(&b).into_owned()));
        self.record
            .note(format!("client: response to {}: {response:?}", job.id));
        response
    }
}

/// Starts the worker of a side machine.
fn start_worker(
    cluster: &Cluster,
    machine: usize,
    id: &str,
    (cpu, labels): (u64, &[&str]),
    clients: &Clients,
) -> Result<Worker> {
    let profile = Profile {
        id: id.to_owned(),
        address: cluster.app(machine),
        agent: cluster.reports(machine),
        service: "s1".to_owned(),
        cpu,
        labels: labels.iter().map(|l| (*l).to_owned()).collect(),
    };
    Worker::start(profile, clients.needs.clone(), &clients.record)
}

/// Sends a status report of another writer to the agent of a side machine.
fn report_odd(cluster: &Cluster, machine: usize, id: &str, body: &Json, record: &Record) {
    let path = format!("/-/instances/{id}");
    let body = body.to_string();
    let request = Request {
        method: "PUT",
        path: &path,
        host: "agent",
        headers: &[],
        body: body.as_bytes(),
        timeout: Duration::from_secs(1),
    };
    let response = send(cluster.reports(machine), &request).ok();
    record.note(format!(
        "another writer: PUT {path} to agent-{machine}: {body} -> {:?}",
        response.map(|(status, _)| status)
    ));
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}

/// One of the machines with a disk is replaced as planned, and then another one is lost for good and
/// replaced. The manifest must still be read back.
fn replaced(trouble: bool, record: &Record) -> Result<Verdict> {
    /// Time that the first successor has before its predecessor is stopped.
    const SUCCESSOR_TIME: Duration = Duration::from_secs(8);
    /// Time from the end of the predecessor's control member to the loss of the other machine. It is
    /// longer than `CATCH_UP`, although the predecessor does not count as lost at all.
    const LOSS_DELAY: Duration = Duration::from_millis(4_200);
    /// Time from the loss to the start of the second successor.
    const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);
    const VERSION: u64 = 6;
    let mut cluster = Cluster::start(record, 1)?;
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE]).as_bytes())?;
    sleep(CATCH_UP);
    cluster.start_edge(4, false)?;
    sleep(SUCCESSOR_TIME);
    let newest = manifest(VERSION, &[ROUTE]);
    cluster.apply_manifest(&[1, 2, 3, 4], newest.as_bytes())?;
    let ended = cluster.terminate_edge(3)?;
    sleep(LOSS_DELAY.saturating_sub(ended.elapsed()));
    let running = if trouble {
        cluster.lose_edge(2)?;
        sleep(SUCCESSOR_DELAY);
        cluster.start_edge(5, false)?;
        [1, 4, 5]
    } else {
        [1, 2, 4]
    };
    sleep(RECOVERY);
    record.note("all machines are back for recoveryS; the operator reads the manifest");
    // Ten times as long as the operator asks at least.
    let end = Instant::now() + CONTACT * 10;
    let mut verdict = Verdict::Broken;
    while Instant::now() < end {
        for n in running {
            let read = cluster.get_manifest(n);
            let status = read.as_ref().map(|(status, _)| *status);
            record.note(format!(
                "operator: GET /-/config at control-{n} -> {status:?}"
            ));
            if read.is_some_and(|(s, body)| s == 200 && body == newest.as_bytes()) {
                verdict = Verdict::Held;
            }
        }
        if matches!(verdict, Verdict::Held) {
            break;
        }
        sleep(Duration::from_secs(1));
    }
    let next = manifest(VERSION + 3, &[ROUTE]);
    for n in running {
        let status = cluster.put_manifest(n, next.as_bytes());
        record.note(format!(
            "operator: PUT /-/config at control-{n} -> {status:?}"
        ));
    }
    record.note(format!(
        "processes that ended by themselves: {:?}",
        cluster.exited()
    ));
    cluster.quote_log("control-1", &["leader changed", "member change proposed"]);
    cluster.quote_log("control-4", &["leader changed", "member change proposed"]);
    Ok(verdict)
}

/// Another writer reports a larger capacity for a worker, without some of the fields. The agent
/// must not fill the worker beyond its own capacity.
fn capacity(trouble: bool, record: &Record) -> Result<Verdict> {
    const CPU: u64 = 4_000;
    let clients = Clients::new(record);
    let cluster = Cluster::start(record, 1)?;
    let worker = start_worker(&cluster, 1, "i-1", (CPU, &["a", "r1"]), &clients)?;
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE]).as_bytes())?;
    cluster.await_entries(&[1, 2, 3])?;
    sleep(CONTACT);
    if trouble {
        // Lacks `zone`, `version`, `slots`, `coldRemainingMs` and `clockMs`.
        let odd = object([
            ("service", "s1".into()),
            ("address", cluster.app(1).to_string().into()),
            ("state", "ready".into()),
            (
                "capacity",
                object([
                    ("cpu", 64_000.into()),
                    ("memMb", 131_072.into()),
                    ("gpu", 0.into()),
                ]),
            ),
            ("labels", vec!["a".into(), "r1".into()].into()),
            ("sequence", (worker.sequence() + 1).into()),
            ("born", worker.born().into()),
        ]);
        report_odd(&cluster, 1, "i-1", &odd, record);
    }
    let job = Job {
        id: "00000000000000a1",
        spec: "300",
        steps: &[Step::new(8, 300)],
        deadline: Duration::from_secs(5),
    };
    let entry = (1, cluster.frontend(1));
    let answered = clients.submit(entry, &job);
    if answered.is_none_or(|(status, _)| status != 200) && !trouble {
        return Err(Error::other("the job was not served"));
    }
    let most = worker.events().iter().map(|e| e.used).max().unwrap_or(0);
    record.note(format!("most cpu in use on i-1: {most} of {CPU}"));
    Ok(if most > CPU {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// A job waits at its entry for a worker that has crashed, and is cancelled at another entry. None of
/// its tasks may start or run on later than `cancel_ms` after the confirmation.
fn cancelled(trouble: bool, record: &Record) -> Result<Verdict> {
    /// Downtime of the worker, at most 5 s.
    const DOWNTIME: Duration = Duration::from_millis(4_900);
    let clients = Clients::new(record);
    let cluster = Cluster::start(record, 2)?;
    let first = start_worker(&cluster, 1, "i-1", (16_000, &["a", "r1"]), &clients)?;
    let second = start_worker(&cluster, 2, "i-2", (16_000, &["b", "r2"]), &clients)?;
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE]).as_bytes())?;
    cluster.await_entries(&[1, 2, 3])?;
    sleep(CONTACT);
    let entry = (1, cluster.frontend(1));
    // Keeps the second worker in use, so that its agent notices the crash soon.
    let other = {
        let clients = clients.clone();
        std::thread::spawn(move || {
            let mut step = Step::new(1, 2_000);
            step.rack = Some("r2");
            let job = Job {
                id: "00000000000000b1",
                spec: "2000",
                steps: &[step],
                deadline: Duration::from_secs(8),
            };
            clients.submit(entry, &job)
        })
    };
    sleep(Duration::from_millis(300));
    let id = "00000000000000b2";
    let submitted = {
        let clients = clients.clone();
        std::thread::spawn(move || {
            let mut first = Step::new(1, 600);
            first.rack = Some("r1");
            let mut last = Step::new(1, 4_500);
            last.after = Some(0);
            last.label = Some("b");
            let job = Job {
                id,
                spec: "600,4500",
                steps: &[first, last],
                deadline: Duration::from_secs(20),
            };
            clients.submit(entry, &job)
        })
    };
    sleep(Duration::from_millis(300));
    if trouble {
        second.crash();
    }
    let crashed = Instant::now();
    sleep(Duration::from_millis(1_400));
    let path = format!("/q1/{id}");
    let request = Request {
        method: "DELETE",
        path: &path,
        host: CLIENT_HOST,
        headers: &[],
        body: &[],
        timeout: Duration::from_secs(1),
    };
    let status = send(cluster.frontend(2), &request).map_or(0, |(status, _)| status);
    let acked = record.now();
    record.note(format!("client: DELETE {path} at entry-2 -> {status}"));
    if status / 100 != 2 && status != 410 {
        return Err(Error::other("the cancelling was not acknowledged"));
    }
    let mut workers = vec![first, second];
    if trouble {
        sleep(DOWNTIME.saturating_sub(crashed.elapsed()));
        workers.push(start_worker(
            &cluster,
            2,
            "i-3",
            (16_000, &["b", "r2"]),
            &clients,
        )?);
    }
    let outcomes = [submitted.join(), other.join()];
    record.note(format!("responses: {outcomes:?}"));
    let events: Vec<Event> = workers.iter().flat_map(Worker::events).collect();
    let of_job = |e: &&Event| e.task.starts_with(id);
    let limit = acked + CANCEL;
    let late_start = |e: &&Event| e.how.is_none() && e.at > limit;
    let late_end = |e: &&Event| e.how.is_some() && e.at > limit + STOP_TIMEOUT;
    let late = events.iter().filter(of_job);
    let late: Vec<&Event> = late.filter(|e| late_start(e) || late_end(e)).collect();
    for event in &late {
        let after = (event.at - acked).as_millis();
        record.note(format!(
            "{after} ms after the confirmation: run {} of task {}: {}",
            event.attempt,
            event.task,
            event.how.unwrap_or("starts")
        ));
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Another writer reports a worker of a service that is not named anywhere to each agent. The sound
/// workers must be used all the same.
fn unused(trouble: bool, record: &Record) -> Result<Verdict> {
    const SIDES: usize = 2;
    /// Time for which clients send jobs.
    const DAY: Duration = Duration::from_secs(40);
    let clients = Clients::new(record);
    let cluster = Cluster::start(record, SIDES)?;
    let mut workers = Vec::new();
    for n in 1..=SIDES {
        let id = format!("i-{n}");
        workers.push(start_worker(
            &cluster,
            n,
            &id,
            (16_000, &["a", "r1"]),
            &clients,
        )?);
    }
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE]).as_bytes())?;
    cluster.await_entries(&[1, 2, 3])?;
    sleep(CONTACT);
    if trouble {
        for n in 1..=SIDES {
            // Nothing accepts connections at this address.
            let mut address = cluster.app(n);
            address.set_port(9);
            let odd = object([
                ("service", "other-7".into()),
                ("address", address.to_string().into()),
                ("zone", "z".into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("coldRemainingMs", 0.into()),
                (
                    "capacity",
                    object([
                        ("cpu", 16_000.into()),
                        ("memMb", 32_768.into()),
                        ("gpu", 0.into()),
                    ]),
                ),
                ("labels", vec!["a".into(), "r1".into()].into()),
                ("clockMs", 5.into()),
                ("sequence", 1.into()),
                ("born", unix_ms().into()),
            ]);
            report_odd(&cluster, n, &format!("i-odd-{n}"), &odd, record);
        }
        sleep(CONTACT);
    }
    let (mut served, mut sent) = (0, 0);
    let end = Instant::now() + DAY;
    while Instant::now() < end {
        sent += 1;
        let job = Job {
            id: &format!("00000000000c{sent:04}"),
            spec: "60",
            steps: &[Step::new(2, 60)],
            deadline: Duration::from_millis(1_500),
        };
        let n = sent % 3 + 1;
        let response = clients.submit((n, cluster.frontend(n)), &job);
        served += u32::from(response.is_some_and(|(status, _)| status == 200));
        sleep(Duration::from_millis(500));
    }
    record.note(format!("{served} of {sent} requests were served"));
    Ok(if served == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// An operator sends manifests that cannot be read or that give one place to two routes. They must be
/// refused.
fn unreadable(trouble: bool, record: &Record) -> Result<Verdict> {
    let cluster = Cluster::start(record, 1)?;
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE]).as_bytes())?;
    sleep(CONTACT);
    let mut verdict = Verdict::Held;
    let text = manifest(6, &[ROUTE]);
    let mut bytes = text.clone().into_bytes();
    if trouble {
        // The byte FF occurs in no UTF-8 text, so this is not JSON.
        let at = text
            .find("non_idempotent")
            .ok_or_else(|| Error::other("no kind"))?;
        bytes[at] = 0xff;
    }
    let status = cluster.put_manifest(1, &bytes);
    record.note(format!(
        "operator: PUT version 6 -> {status:?}: {}",
        String::from_utf8_lossy(&bytes)
    ));
    let read = cluster.get_manifest(2);
    let body = read.map(|(_, body)| body).unwrap_or_default();
    let readable = std::str::from_utf8(&body)
        .ok()
        .and_then(Json::parse)
        .is_some();
    record.note(format!(
        "operator: GET: readable={readable}: {}",
        String::from_utf8_lossy(&body)
    ));
    if trouble && status == Some(200) {
        verdict = Verdict::Broken;
    }
    if !trouble && (status != Some(200) || !readable) {
        return Err(Error::other("a valid manifest was refused"));
    }
    Ok(verdict)
}

/// A worker leaves a start unanswered and carries it out later, and its agent stands still meanwhile.
/// The task must not run twice at a time.
fn late(trouble: bool, record: &Record) -> Result<Verdict> {
    /// From 2 to 12 s are allowed.
    const LATE_BY: Duration = Duration::from_millis(3_200);
    /// Time for which the agent stands still, at most 7.1 s.
    const FREEZE: Duration = Duration::from_secs(6);
    /// `retryDelayMs`.
    const RETRY_DELAY: Duration = Duration::from_millis(1_300);
    let clients = Clients::new(record);
    let cluster = Cluster::start(record, 2)?;
    let first = start_worker(&cluster, 1, "i-1", (16_000, &["a", "r1"]), &clients)?;
    let second = start_worker(&cluster, 2, "i-2", (16_000, &["a", "r2"]), &clients)?;
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE]).as_bytes())?;
    cluster.await_entries(&[1, 2, 3])?;
    sleep(CONTACT);
    if trouble {
        first.delay_start(LATE_BY);
    }
    let entries = [1, 2, 3].map(|n| (n, cluster.frontend(n)));
    let client = {
        let clients = clients.clone();
        std::thread::spawn(move || {
            let mut step = Step::new(1, 900);
            step.rack = Some("r1");
            let job = Job {
                id: "00000000000000d1",
                spec: "900",
                steps: &[step],
                deadline: Duration::from_millis(1_500),
            };
            for entry in entries {
                let response = clients.submit(entry, &job);
                if response.is_some_and(|(status, _)| status != 502 && status != 504) {
                    break;
                }
                sleep(RETRY_DELAY);
            }
        })
    };
    if trouble {
        while first.delays_start() && !client.is_finished() {
            sleep(Duration::from_millis(1));
        }
        cluster.signal_agent(1, "STOP")?;
        sleep(FREEZE);
        cluster.signal_agent(1, "CONT")?;
    }
    if client.join().is_err() {
        return Err(Error::other("the client failed"));
    }
    sleep(Duration::from_secs(1));
    let mut events: Vec<Event> = [first, second].iter().flat_map(Worker::events).collect();
    events.sort_by_key(|e| e.at);
    let (mut running, mut most) = (0, 0);
    for event in &events {
        running += if event.how.is_none() { 1 } else { -1 };
        most = most.max(running);
    }
    record.note(format!("most runs of the only task at a time: {most}"));
    Ok(if most > 1 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
