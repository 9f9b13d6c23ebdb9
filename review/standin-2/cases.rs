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
/// `ackMs`.
const ACK: Duration = Duration::from_millis(4_000);
/// `cancel_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `stopTimeoutMs`.
const STOP_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a client waits for a response beyond its `Deadline-Ms`.
const CLIENT_MARGIN: Duration = Duration::from_millis(500);

pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Verdict> {
    match case {
        "reborn" => reborn(trouble, record),
        "replaced" => replaced(trouble, record),
        "capacity" => capacity(trouble, record),
        "dropped" => dropped(trouble, record),
        "unused" => unused(trouble, record),
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
    rack: Option<&'a str>,
    tasks: u64,
    estimate_ms: u64,
    after: Option<u64>,
}

impl Step<'_> {
    const fn new(tasks: u64, estimate_ms: u64) -> Self {
        Self {
            tasks,
            estimate_ms,
            after: None,
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

/// A manifest removes the route of a running job, which is then cancelled at another entry than the one
/// that took it. None of its tasks may start or run on once the cancelling has waited for `ackMs` and
/// `cancel_ms`.
fn dropped(trouble: bool, record: &Record) -> Result<Verdict> {
    /// Number of steps of the job, which takes 18 s.
    const STEPS: u64 = 20;
    const STEP_MS: u64 = 900;
    /// Pause between two tries of the cancelling, which the platform leaves to the client.
    const RETRY_INTERVAL: Duration = Duration::from_millis(500);
    let clients = Clients::new(record);
    let cluster = Cluster::start(record, 2)?;
    let first = start_worker(&cluster, 1, "i-1", (16_000, &["a", "r1"]), &clients)?;
    let second = start_worker(&cluster, 2, "i-2", (16_000, &["a", "r2"]), &clients)?;
    let other: Route<'_> = (CLIENT_HOST, "/q2/", "s1");
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE, other]).as_bytes())?;
    cluster.await_entries(&[1, 2, 3])?;
    sleep(CONTACT);
    let entry = (1, cluster.frontend(1));
    let id = "00000000000000e1";
    let submitted = {
        let clients = clients.clone();
        std::thread::spawn(move || {
            let mut steps = Vec::new();
            for n in 0..STEPS {
                let mut step = Step::new(2, STEP_MS);
                step.after = n.checked_sub(1);
                steps.push(step);
            }
            let job = Job {
                id,
                spec: &vec![STEP_MS.to_string(); STEPS as usize].join(","),
                steps: &steps,
                deadline: Duration::from_secs(40),
            };
            clients.submit(entry, &job)
        })
    };
    sleep(Duration::from_millis(500));
    let routes: &[Route<'_>] = if trouble { &[other] } else { &[ROUTE, other] };
    cluster.apply_manifest(&[1, 2, 3], manifest(6, routes).as_bytes())?;
    sleep(CONTACT);
    let path = format!("/q1/{id}");
    let request = Request {
        method: "DELETE",
        path: &path,
        host: CLIENT_HOST,
        headers: &[],
        body: &[],
        timeout: Duration::from_secs(1),
    };
    let sent = record.now();
    let mut counted = sent + ACK;
    while record.now() < sent + ACK + CANCEL {
        let status = send(cluster.frontend(2), &request).map_or(0, |(status, _)| status);
        record.note(format!("client: DELETE {path} at entry-2 -> {status}"));
        if status / 100 == 2 || status == 410 {
            counted = record.now();
            break;
        }
        sleep(RETRY_INTERVAL);
    }
    let response = submitted.join();
    record.note(format!("response to the submission: {response:?}"));
    let events: Vec<Event> = [first, second].iter().flat_map(Worker::events).collect();
    let limit = counted + CANCEL;
    let late = events.iter().filter(|e| match e.how {
        None => e.at > limit,
        Some(_) => e.at > limit + STOP_TIMEOUT,
    });
    let late: Vec<&Event> = late.collect();
    for event in &late {
        let after = (event.at - sent).as_millis();
        record.note(format!(
            "{after} ms after the first DELETE: run {} of task {}: {}",
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

/// A worker with a run crashes and starts again under its id at once. Some of its answers are lost, and
/// then it hangs for a moment. No task may run twice at a time.
fn reborn(trouble: bool, record: &Record) -> Result<Verdict> {
    /// Until when answers of the new boot are lost, and until when it hangs, from its start.
    const LOST: Duration = Duration::from_millis(400);
    const HUNG: Duration = Duration::from_millis(1_600);
    const JOBS: u64 = 12;
    let clients = Clients::new(record);
    let cluster = Cluster::start(record, 2)?;
    let first = start_worker(&cluster, 1, "i-1", (16_000, &["a", "r1"]), &clients)?;
    let second = start_worker(&cluster, 2, "i-2", (32_000, &["a", "r2"]), &clients)?;
    cluster.apply_manifest(&[1, 2, 3], manifest(3, &[ROUTE]).as_bytes())?;
    cluster.await_entries(&[1, 2, 3])?;
    sleep(CONTACT);
    let entry = (1, cluster.frontend(1));
    let submit = |n: u64, ms: u64| {
        let clients = clients.clone();
        std::thread::spawn(move || {
            let mut step = Step::new(1, ms);
            // The data is near the first worker.
            step.rack = Some("r1");
            let job = Job {
                id: &format!("00000000000f{n:04}"),
                spec: &ms.to_string(),
                steps: &[step],
                deadline: Duration::from_secs(8),
            };
            clients.submit(entry, &job)
        })
    };
    let mut jobs = vec![submit(0, 4_000)];
    sleep(Duration::from_millis(500));
    let mut workers = vec![first, second];
    if trouble {
        workers[0].crash();
        let end = Instant::now() + CONTACT;
        let next = loop {
            match start_worker(&cluster, 1, "i-1", (16_000, &["a", "r1"]), &clients) {
                Ok(next) => break next,
                Err(e) if Instant::now() > end => return Err(e),
                Err(_) => sleep(Duration::from_millis(1)),
            }
        };
        next.fail_after_start(LOST, HUNG);
        workers.push(next);
    }
    for n in 1..=JOBS {
        jobs.push(submit(n, 1_800));
        sleep(Duration::from_millis(15));
    }
    let answered = jobs.into_iter().filter_map(|job| job.join().ok().flatten());
    record.note(format!("{} responses", answered.count()));
    let mut events: Vec<Event> = workers.iter().flat_map(Worker::events).collect();
    events.sort_by_key(|e| e.at);
    let mut verdict = Verdict::Held;
    let mut running = std::collections::HashMap::<String, u32>::new();
    for event in &events {
        let runs = running.entry(event.task.clone()).or_default();
        if event.how.is_some() {
            *runs -= 1;
            continue;
        }
        *runs += 1;
        if *runs > 1 {
            verdict = Verdict::Broken;
            record.note(format!(
                "task {} runs {runs} times from {:.3} s on",
                event.task,
                event.at.as_secs_f64()
            ));
        }
    }
    Ok(verdict)
}
